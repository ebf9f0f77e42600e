//! Tracks how old a process's knowledge of the config may be, and decides when it reads the
//! operator's rows again.

use crate::drains::DrainRules;
use std::time::Duration;
use wax_types::TimePoint;

/// Time limit for applying config changes, and the read intervals and timeouts that follow from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfigRules {
    /// Time after the store's acknowledgement of a config change by which the change must be in
    /// force in every process.
    pub bound: Duration,
    /// Time within which a read must have succeeded: `bound`, or the maximum age of a drain view
    /// for which the owner orders starts, whichever is shorter.
    read_bound: Duration,
}

/// Role of the process that reads the operator's rows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigReader {
    /// The owner, which reports the age of its last read to the fronts.
    Owner,
    /// A front, which reads the rows only if the owner has not reported a recent read in time.
    Front,
}

/// Whether the operator's rows are read now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadChoice {
    /// Read again after this time.
    Wait(Duration),
    /// Read now, with this timeout.
    Read(Duration),
}

impl ConfigRules {
    /// Creates rules for a config bound and the rules of drains.
    pub fn new(bound: Duration, drains: DrainRules) -> Self {
        let read_bound = drains
            .max_age_for_order()
            .map_or(bound, |age| bound.min(age));
        Self { bound, read_bound }
    }

    /// Returns the age of the config view at which the rows are read again. It leaves time for a
    /// failed read and a second attempt within the bound. A front waits longer than the owner, so
    /// that the owner's read, a heartbeat and its transit fit in between.
    pub fn refresh_age(&self, reader: ConfigReader) -> Duration {
        match reader {
            ConfigReader::Owner => self.read_bound / 4,
            ConfigReader::Front => self.read_bound * 3 / 8,
        }
    }

    /// Timeout for one read, twice as long after a failure: with the short timeout, a slow store
    /// would never answer in time.
    fn read_timeout(&self, failures: u32) -> Duration {
        match failures {
            0 => self.read_bound / 4,
            _ => self.read_bound / 2,
        }
    }

    /// Delay between a failed read and the next one; the caller adds up to the same time again at
    /// random.
    pub fn retry_delay(&self) -> Duration {
        self.read_bound / 16
    }
}

/// Times up to which the config in force is known to be the newest.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConfigView {
    /// Start of the last successful read from the store by this process.
    last_read: Option<TimePoint>,
    /// Time at which the owner last knew of no newer config.
    last_report: Option<TimePoint>,
    /// Number of consecutive failed reads.
    failures: u32,
}

impl ConfigView {
    /// Records a successful read that started at `as_of` and whose result is in force.
    pub fn record_read(&mut self, as_of: TimePoint) {
        self.last_read = self.last_read.max(Some(as_of));
        self.failures = 0;
    }

    /// Records a report by the owner that it knew of no newer config at `as_of`.
    pub fn record_report(&mut self, as_of: TimePoint) {
        self.last_report = self.last_report.max(Some(as_of));
    }

    /// Records a failed read.
    pub fn record_read_failure(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// Returns the longest time for which a newer config may exist without being known here; `None`
    /// before the first read or report.
    pub fn age(&self, now: TimePoint) -> Option<Duration> {
        let newest = self.last_read.max(self.last_report);
        newest.map(|newest| now.since(newest))
    }

    /// Returns the age of this process's own last read, which is the age that it may report to
    /// others; `None` before the first read.
    pub fn own_read_age(&self, now: TimePoint) -> Option<Duration> {
        self.last_read.map(|read| now.since(read))
    }

    /// Returns whether a newer config may have been in the store for longer than the bound.
    pub fn may_be_stale(&self, now: TimePoint, rules: &ConfigRules) -> bool {
        self.age(now).is_none_or(|age| age > rules.bound)
    }

    /// Decides whether the operator's rows are read now.
    pub fn next_read(
        &self,
        now: TimePoint,
        rules: &ConfigRules,
        reader: ConfigReader,
    ) -> ReadChoice {
        let age = match reader {
            ConfigReader::Owner => self.own_read_age(now),
            ConfigReader::Front => self.age(now),
        };
        let left = age.map(|age| rules.refresh_age(reader).saturating_sub(age));
        match left.filter(|left| !left.is_zero()) {
            Some(left) => ReadChoice::Wait(left),
            None => ReadChoice::Read(rules.read_timeout(self.failures)),
        }
    }
}
