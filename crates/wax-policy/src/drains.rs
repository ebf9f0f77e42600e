//! Failure domains that the operator has drained, and how recent a process's knowledge of them is.
//! Nothing new is started in a drained domain.

use std::collections::BTreeSet;
use std::time::Duration;
use wax_types::TimePoint;

/// Time from an agent's check of its view to the start at the worker: at most 700 ms, after which
/// the start is given up, plus the difference between two clocks.
const START_MARGIN: Duration = Duration::from_millis(800);
/// An owner stops ordering starts this much earlier than agents stop sending them: agents would
/// refuse later orders, since an agent's view is older than the owner's by up to one heartbeat and
/// its transit time.
const ORDER_MARGIN: Duration = Duration::from_millis(600);

/// Limits on the age of a drain view by which starts are sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DrainRules {
    /// Time after the acknowledgement of a drain from which nothing starts in the failure domain;
    /// `None` if the platform requires no bound.
    pub bound: Option<Duration>,
}

impl DrainRules {
    /// Returns the maximum age of the view by which an agent sends a start; `None` without a bound.
    pub fn max_age_for_start(&self) -> Option<Duration> {
        self.bound.map(|bound| bound.saturating_sub(START_MARGIN))
    }

    /// Returns the maximum age of the view by which an owner orders a start; `None` without a
    /// bound.
    pub fn max_age_for_order(&self) -> Option<Duration> {
        let start = self.max_age_for_start();
        start.map(|age| age.saturating_sub(ORDER_MARGIN))
    }
}

/// Whether a task may be started in a failure domain now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainVerdict {
    /// The domain is not drained.
    Open,
    /// The domain is drained.
    Drained,
    /// The view is too old: the domain may have been drained since it was read.
    Unsure,
}

/// Drained failure domains at one version of the store.
///
/// The version never decreases: late reports from a former owner or over a slower path are ignored.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DrainView {
    version: u64,
    domains: BTreeSet<Box<str>>,
    as_of: Option<TimePoint>,
}

impl DrainView {
    /// Returns the drained failure domains.
    pub fn domains(&self) -> &BTreeSet<Box<str>> {
        &self.domains
    }

    /// Returns the version of the store that the view reflects.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Replaces the view by all domains that are drained at `version` of the store, read at `as_of`
    /// or later. Ignores versions older than the view. Returns whether the set of domains has
    /// changed.
    pub fn replace(&mut self, version: u64, domains: BTreeSet<Box<str>>, as_of: TimePoint) -> bool {
        if version < self.version {
            return false;
        }
        self.version = version;
        self.as_of = self.as_of.max(Some(as_of));
        let changed = self.domains != domains;
        self.domains = domains;
        changed
    }

    /// Applies the changes up to `version` in order; each is a domain and whether it is drained.
    /// Returns whether the set of domains has changed.
    pub fn apply_changes(
        &mut self,
        version: u64,
        changes: impl IntoIterator<Item = (Box<str>, bool)>,
        as_of: TimePoint,
    ) -> bool {
        let mut domains = self.domains.clone();
        for (domain, drained) in changes {
            match drained {
                true => domains.insert(domain),
                false => domains.remove(&domain),
            };
        }
        self.replace(version, domains, as_of)
    }

    /// Returns the longest time for which a drain may exist without being in the view; `None`
    /// before the first read.
    pub fn age(&self, now: TimePoint) -> Option<Duration> {
        self.as_of.map(|as_of| now.since(as_of))
    }

    /// Returns whether the view is younger than `max_age`. Without a maximum, every view is fresh,
    /// even one that was never read.
    pub fn is_fresh(&self, now: TimePoint, max_age: Option<Duration>) -> bool {
        let Some(max_age) = max_age else {
            return true;
        };
        self.age(now).is_some_and(|age| age < max_age)
    }

    /// Decides whether a task may be started in `domain` by a view younger than `max_age`.
    pub fn verdict(&self, domain: &str, now: TimePoint, max_age: Option<Duration>) -> DrainVerdict {
        if self.domains.contains(domain) {
            DrainVerdict::Drained
        } else if self.is_fresh(now, max_age) {
            DrainVerdict::Open
        } else {
            DrainVerdict::Unsure
        }
    }
}
