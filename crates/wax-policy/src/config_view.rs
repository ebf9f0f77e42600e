//! How sure a process is that its config is the newest, and when it reads the operator's rows again.

use crate::drains::DrainRules;
use std::time::Duration;
use wax_types::TimePoint;

/// By when a change of the config is in force everywhere, and what follows from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfigRules {
    /// A change is in force so long after the store has acknowledged it.
    pub bound: Duration,
    /// What readings keep to: `bound`, or the shortest span for which an owner may go by its drains.
    read_bound: Duration,
}

/// Who reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigReader {
    /// The owner: others go by what it has read.
    Owner,
    /// A front: it reads only what no owner has told it in time.
    Front,
}

/// Whether the operator's rows are to be read now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadChoice {
    /// Not before this time has passed.
    Wait(Duration),
    /// Now; the reading is given up after this time.
    Read(Duration),
}

impl ConfigRules {
    /// Rules for these bounds.
    pub fn new(bound: Duration, drains: DrainRules) -> Self {
        let read_bound = drains
            .max_age_for_order()
            .map_or(bound, |age| bound.min(age));
        Self { bound, read_bound }
    }

    /// The age at which the rows are read again. A reading that fails and the next one fit into the bound
    /// together; a front leaves the owner room for its own reading, a heartbeat and the way.
    pub fn refresh_age(&self, reader: ConfigReader) -> Duration {
        match reader {
            ConfigReader::Owner => self.read_bound / 4,
            ConfigReader::Front => self.read_bound * 3 / 8,
        }
    }

    /// Longest time for a reading. One that follows a failure has twice as long: a store that is slow
    /// would answer none otherwise.
    fn read_timeout(&self, failures: u32) -> Duration {
        match failures {
            0 => self.read_bound / 4,
            _ => self.read_bound / 2,
        }
    }

    /// Between a reading that failed and the next one, with as much again at random.
    pub fn retry_delay(&self) -> Duration {
        self.read_bound / 16
    }
}

/// Up to when the config in force is known to be the newest.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConfigView {
    /// By the store's own word.
    last_read: Option<TimePoint>,
    /// By the owner's word.
    last_report: Option<TimePoint>,
    /// Readings in a row that failed.
    failures: u32,
}

impl ConfigView {
    /// The store was asked at `as_of`, and what it answered is in force.
    pub fn note_read(&mut self, as_of: TimePoint) {
        self.last_read = self.last_read.max(Some(as_of));
        self.failures = 0;
    }

    /// The owner knew of nothing newer at `as_of`.
    pub fn note_report(&mut self, as_of: TimePoint) {
        self.last_report = self.last_report.max(Some(as_of));
    }

    /// A reading has failed.
    pub fn note_read_failure(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// For how long a newer config may have gone unseen; `None` before the first reading.
    pub fn age(&self, now: TimePoint) -> Option<Duration> {
        let newest = self.last_read.max(self.last_report);
        newest.map(|newest| now.since(newest))
    }

    /// The same by this process's own readings: what it may tell others.
    pub fn own_read_age(&self, now: TimePoint) -> Option<Duration> {
        self.last_read.map(|read| now.since(read))
    }

    /// Whether a newer config may have been in the store for longer than the bound.
    pub fn may_be_stale(&self, now: TimePoint, rules: &ConfigRules) -> bool {
        self.age(now).is_none_or(|age| age > rules.bound)
    }

    /// Whether the operator's rows are to be read now.
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
