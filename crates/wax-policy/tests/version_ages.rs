//! Rows that are kept for a retention time must not be removed earlier, whatever the owners and the
//! clocks do, and must be removed in the end.

use proptest::prelude::*;
use std::time::Duration;
use wax_policy::{VersionAges, VersionAgesSnapshot, VersionMark};
use wax_types::StoreTime;

/// `status_s` of the users' sites.
const RETENTION_MS: u64 = 120_000;
/// Longest interval between two transactions of an owner that reaches the store.
const HEARTBEAT_MS: u64 = 500;
/// Longest gap between two answers that counts in full.
const COUNTED_GAP_MS: u64 = 15_000;
/// Interval between two marks.
const MARK_PERIOD_MS: u64 = RETENTION_MS / 32;

/// Shard with its store, whose versions and clock survive its owners.
struct Shard {
    /// True time, in milliseconds.
    now: u64,
    /// Reading of the store's clock at time 0.
    store_offset: u64,
    version: u64,
    ages: VersionAges,
    stored: VersionAgesSnapshot,
    /// Version and time of each commit.
    commits: Vec<(u64, u64)>,
}

impl Shard {
    fn new() -> Self {
        Self {
            now: 0,
            store_offset: 1_000_000,
            version: 0,
            ages: new_ages(),
            stored: VersionAgesSnapshot::default(),
            commits: Vec::new(),
        }
    }

    /// Performs a transaction of the owner that the store commits and answers after these times.
    /// The answer carries the store's clock at the commit, the earliest moment that it can name.
    fn transact(&mut self, commit_after: u64, answer_after: u64) {
        let known = self.version;
        let stores_marks = self.ages.has_unstored_mark();
        let snapshot = self.ages.snapshot();
        self.now += commit_after;
        self.version += 1;
        self.commits.push((self.version, self.now));
        if stores_marks {
            self.stored = snapshot;
            self.ages.mark_stored();
        }
        let clock = StoreTime(self.now + self.store_offset);
        self.now += answer_after;
        self.ages.record(known, clock);
    }

    /// Lets another owner begin after `gap` milliseconds without one.
    fn take_over(&mut self, gap: u64) {
        self.now += gap;
        self.ages = new_ages();
        assert!(
            self.ages.restore(self.stored.clone()),
            "marks must be valid"
        );
    }

    /// Keeps the owner writing for this time.
    fn run(&mut self, ms: u64) {
        let until = self.now + ms;
        while self.now < until {
            self.now += HEARTBEAT_MS - 10;
            self.transact(5, 5);
        }
    }

    /// Returns the age of the youngest commit whose rows count as expired.
    fn youngest_expired(&self) -> Option<u64> {
        let expired = self.ages.expired_version();
        let commits = self.commits.iter().rev();
        let mut covered = commits.filter(|(version, _)| expired.covers(*version));
        covered.next().map(|(_, at)| self.now - at)
    }

    /// Returns the age of the oldest commit whose rows are kept.
    fn oldest_kept(&self) -> Option<u64> {
        let expired = self.ages.expired_version();
        let mut kept = self
            .commits
            .iter()
            .filter(|(version, _)| !expired.covers(*version));
        kept.next().map(|(_, at)| self.now - at)
    }
}

fn new_ages() -> VersionAges {
    VersionAges::new(Duration::from_millis(RETENTION_MS))
}

#[derive(Debug, Clone, Copy)]
enum Event {
    Run(u64),
    SlowTransaction(u64, u64),
    TakeOver(u64),
    StoreClockBack(u64),
}

fn any_event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0..40_000_u64).prop_map(Event::Run),
        1 => (0..20_000_u64, 0..20_000_u64).prop_map(|(a, b)| Event::SlowTransaction(a, b)),
        3 => (0..10_000_u64).prop_map(Event::TakeOver),
        1 => (0..600_000_u64).prop_map(Event::TakeOver),
        1 => (0..900_000_u64).prop_map(Event::StoreClockBack),
    ]
}

proptest! {
    /// Guards against ended jobs that are forgotten before `status_s` has passed.
    #[test]
    fn no_version_expires_early(events in prop::collection::vec(any_event(), 1..60)) {
        let mut shard = Shard::new();
        for event in events {
            match event {
                Event::Run(ms) => shard.run(ms),
                Event::SlowTransaction(commit, answer) => shard.transact(commit, answer),
                Event::TakeOver(gap) => shard.take_over(gap),
                Event::StoreClockBack(ms) => {
                    shard.store_offset = shard.store_offset.saturating_sub(ms);
                }
            }
            if let Some(age) = shard.youngest_expired() {
                prop_assert!(age >= RETENTION_MS, "expired after {age} ms");
            }
        }
    }

    /// Guards against rows that stay for as long as owners replace each other within the retention
    /// time.
    #[test]
    fn versions_expire_although_owners_change(
        terms in prop::collection::vec((1_000..30_000_u64, 0..3_000_u64), 30..80),
    ) {
        let mut shard = Shard::new();
        for (length, gap) in terms {
            shard.run(length);
            shard.take_over(gap);
            shard.run(HEARTBEAT_MS);
            if let Some(age) = shard.oldest_kept() {
                let bound = RETENTION_MS + MARK_PERIOD_MS + 3_000 + 4 * HEARTBEAT_MS;
                prop_assert!(age <= bound, "kept for {age} ms");
            }
        }
    }
}

/// Time that a shard runs after a commit, so that a mark covers the commit.
const MARKED_MS: u64 = 10_000;

/// Guards against callers that find no state after an outage that was longer than the retention
/// time.
#[test]
fn time_without_an_owner_counts_for_fifteen_seconds_at_most() {
    let mut shard = Shard::new();
    shard.run(50_000);
    let marked = shard.version;
    shard.run(MARKED_MS);
    let newest = shard.version;
    shard.take_over(3_600_000);
    shard.run(RETENTION_MS - COUNTED_GAP_MS - MARKED_MS - HEARTBEAT_MS);
    assert!(!shard.ages.expired_version().covers(marked));
    shard.run(2 * MARK_PERIOD_MS);
    assert!(shard.ages.expired_version().covers(marked));
    // No mark covers the newest commits before the gap, so that it does not count for them at all.
    assert!(!shard.ages.expired_version().covers(newest));
    shard.run(COUNTED_GAP_MS + MARKED_MS);
    assert!(shard.ages.expired_version().covers(newest));
}

#[test]
fn a_forward_jump_of_the_stores_clock_counts_for_fifteen_seconds_at_most() {
    let mut shard = Shard::new();
    shard.run(10_000);
    let version = shard.version;
    shard.run(MARKED_MS);
    shard.store_offset += 3_600_000;
    shard.run(RETENTION_MS - COUNTED_GAP_MS - MARKED_MS - HEARTBEAT_MS);
    assert!(!shard.ages.expired_version().covers(version));
}

#[test]
fn the_number_of_marks_is_bounded() {
    let mut shard = Shard::new();
    shard.run(10 * RETENTION_MS);
    assert!(shard.ages.snapshot().marks.len() <= 34);
}

macro_rules! inconsistent_snapshot_tests {
    ($($name:ident: $counted:expr, $marks:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let marks = $marks.map(|(version, seconds)| VersionMark {
                    version,
                    counted: Duration::from_secs(seconds),
                });
                let snapshot = VersionAgesSnapshot {
                    answered_at: Some(StoreTime(1)),
                    counted: Duration::from_secs($counted),
                    marks: marks.to_vec(),
                };
                let mut ages = new_ages();
                assert!(!ages.restore(snapshot), "the snapshot is refused");
                ages.record(9, StoreTime(2));
                assert!(!ages.expired_version().covers(1));
            }
        )*
    };
}

inconsistent_snapshot_tests! {
    marks_whose_versions_fall_are_refused: 500, [(7, 1), (5, 2)];
    marks_whose_times_fall_are_refused: 500, [(5, 2), (7, 1)];
    a_mark_in_the_future_is_refused: 1, [(5, 2)];
}
