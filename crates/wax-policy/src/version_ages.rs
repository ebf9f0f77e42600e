//! How long ago the rows of the store were written, counted on the store's clock.
//!
//! Wall clocks jump and differ between VMs, and the monotonic clock of a process ends with the
//! process. The store orders all writes by one counter of versions, and its answers carry a steady
//! clock that all owners of a shard share. An owner therefore records which version was written by
//! which time, and stores these marks for its successors.

use std::time::Duration;
use wax_types::StoreTime;

/// Longest time between two answers of the store that counts in full. During a longer one the shard
/// had no owner or the store's clock has jumped, and callers had no answer.
const MAX_COUNTED_GAP: Duration = Duration::from_secs(15);
/// Number of marks within the retention time, and so the precision of the ages.
const MARKS_PER_RETENTION: u32 = 32;

/// Version of the store and the counted time by which it had been written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionMark {
    /// All rows of this version and of earlier ones had been written by `counted`.
    pub version: u64,
    /// Time counted since the shard's first owner.
    pub counted: Duration,
}

/// State that an owner stores for its successors.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VersionAgesSnapshot {
    /// The store's clock at the last recorded answer; `None` before the first one.
    pub answered_at: Option<StoreTime>,
    /// Time counted up to that answer.
    pub counted: Duration,
    /// The marks, ordered by version.
    pub marks: Vec<VersionMark>,
}

impl VersionAgesSnapshot {
    /// Returns whether versions and times rise and no mark lies in the future.
    fn is_consistent(&self) -> bool {
        let rises = self
            .marks
            .is_sorted_by(|a, b| a.version < b.version && a.counted <= b.counted);
        rises
            && self
                .marks
                .last()
                .is_none_or(|mark| mark.counted <= self.counted)
    }
}

/// Newest version of the store whose rows are all older than the retention time.
///
/// Only [`VersionAges`] creates values other than the default, which covers no version, so that no
/// other clock can decide what is removed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ExpiredVersion(u64);

impl ExpiredVersion {
    /// Returns whether a row of this version has expired.
    pub fn covers(self, version: u64) -> bool {
        version <= self.0
    }
}

/// Ages of the store's versions, for rows that are kept for a retention time.
///
/// An age is never overestimated while the store's clock is steady, whichever owners there were. It
/// is underestimated by at most the time between two marks, and by the part of each gap between two
/// answers that exceeds 15 seconds.
#[derive(Debug)]
pub struct VersionAges {
    retention: Duration,
    state: VersionAgesSnapshot,
    has_unstored_mark: bool,
}

impl VersionAges {
    /// Creates the ages of a shard that has had no owner, for rows that are kept for `retention`.
    pub fn new(retention: Duration) -> Self {
        Self {
            retention,
            state: VersionAgesSnapshot::default(),
            has_unstored_mark: false,
        }
    }

    /// Continues with the state that an earlier owner has stored. Returns whether the state is
    /// consistent; otherwise all ages are counted from now on.
    pub fn restore(&mut self, snapshot: VersionAgesSnapshot) -> bool {
        let is_consistent = snapshot.is_consistent();
        if is_consistent {
            self.state = snapshot;
        }
        is_consistent
    }

    /// Returns the state to be stored for later owners.
    pub fn snapshot(&self) -> VersionAgesSnapshot {
        self.state.clone()
    }

    /// Records an answer of the store in which its clock read `now`. When the request was sent, all
    /// rows up to `version` were known to be written.
    pub fn record(&mut self, version: u64, now: StoreTime) {
        let state = &mut self.state;
        let gap = state
            .answered_at
            .map_or(Duration::ZERO, |earlier| now.since(earlier));
        state.answered_at = Some(now);
        state.counted += gap.min(MAX_COUNTED_GAP);
        let counted = state.counted;
        let is_due = state.marks.last().is_none_or(|last| {
            last.version < version && counted - last.counted >= self.retention / MARKS_PER_RETENTION
        });
        if is_due {
            state.marks.push(VersionMark { version, counted });
            self.has_unstored_mark = true;
            self.remove_old_marks();
        }
    }

    /// Removes the marks before the newest expired one, which they add nothing to.
    fn remove_old_marks(&mut self) {
        let expired = self.expired_mark_count();
        self.state.marks.drain(..expired.saturating_sub(1));
    }

    fn expired_mark_count(&self) -> usize {
        let state = &self.state;
        state
            .marks
            .partition_point(|mark| mark.counted + self.retention <= state.counted)
    }

    /// Returns the newest version whose rows are all older than the retention time.
    pub fn expired_version(&self) -> ExpiredVersion {
        let expired = &self.state.marks[..self.expired_mark_count()];
        ExpiredVersion(expired.last().map_or(0, |mark| mark.version))
    }

    /// Returns whether a mark was added since the state was last stored.
    pub fn has_unstored_mark(&self) -> bool {
        self.has_unstored_mark
    }

    /// Records that the state has been stored.
    pub fn mark_stored(&mut self) {
        self.has_unstored_mark = false;
    }
}
