//! Failure domains to which nothing new is sent, as the operator asked, and how sure of it a process is.

use std::collections::BTreeSet;
use std::time::Duration;
use wax_types::TimePoint;

/// Between an agent's look at its view and the start at the worker lie at most 700 ms until the start is
/// given up, and what two clocks differ by.
const START_MARGIN: Duration = Duration::from_millis(800);
/// An owner stops so much sooner: an order that its agent would refuse is not worth sending, and an
/// agent's view is older than the owner's by up to a heartbeat and its way.
const ORDER_MARGIN: Duration = Duration::from_millis(600);

/// How old a view of drains may be for a start to be sent by it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DrainRules {
    /// Nothing starts in a failure domain so long after its drain was acknowledged; `None` where the
    /// platform asks for no bound.
    pub bound: Option<Duration>,
}

impl DrainRules {
    /// The oldest view by which an agent sends a start.
    pub fn max_age_for_start(&self) -> Option<Duration> {
        self.bound.map(|bound| bound.saturating_sub(START_MARGIN))
    }

    /// The oldest view by which an owner orders one.
    pub fn max_age_for_order(&self) -> Option<Duration> {
        let start = self.max_age_for_start();
        start.map(|age| age.saturating_sub(ORDER_MARGIN))
    }
}

/// Whether a start may be sent to a failure domain now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainVerdict {
    /// It takes starts.
    Open,
    /// It is drained.
    Drained,
    /// It may have been drained since the last reading, for too long.
    Unsure,
}

/// The drained failure domains as the store had them at one version.
///
/// A version never goes back: what an owner of the past or a slower way says later changes nothing.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DrainView {
    version: u64,
    domains: BTreeSet<Box<str>>,
    as_of: Option<TimePoint>,
}

impl DrainView {
    /// The drained failure domains.
    pub fn domains(&self) -> &BTreeSet<Box<str>> {
        &self.domains
    }

    /// The store's version that it stands for.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Takes all that are drained at `version` of the store, read no sooner than `as_of`; says whether
    /// the domains have changed.
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

    /// Takes what has changed up to `version`, in order: each domain with whether it is drained; says
    /// whether the domains have changed.
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

    /// For how long a drain may have gone unseen; `None` before the first reading.
    pub fn age(&self, now: TimePoint) -> Option<Duration> {
        self.as_of.map(|as_of| now.since(as_of))
    }

    /// Whether it is no older than `most`; without a bound any view will do, and none.
    pub fn is_fresh(&self, now: TimePoint, max_age: Option<Duration>) -> bool {
        let Some(max_age) = max_age else {
            return true;
        };
        self.age(now).is_some_and(|age| age < max_age)
    }

    /// Whether a start may be sent to a failure domain by a view no older than `most`.
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
