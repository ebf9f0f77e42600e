//! How far the worker's leases may be extended, and when they are known to have expired.

use std::time::Duration;
use wax_policy::max_lease_time;
use wax_types::TimePoint;

/// Durations of leases. The owner's takeover waits for the same durations.
#[derive(Debug, Clone, Copy)]
pub struct LeaseRules {
    /// Length of an extension: leases are extended to at most this long after now.
    pub length: Duration,
    /// Leases are extended up to this long after the end of the owner's authority.
    pub grace: Duration,
    /// Longest lease that the worker grants, on its own clock. It shortens longer ones.
    pub longest: Duration,
}

impl Default for LeaseRules {
    fn default() -> Self {
        Self {
            length: Duration::from_millis(4_000),
            grace: Duration::from_millis(6_000),
            longest: Duration::from_millis(10_000),
        }
    }
}

/// Maximum age of the last reading of the worker's clock. A worker that has not answered for longer
/// gets no extension: otherwise its leases could never be assumed to have expired.
const MAX_READING_AGE: Duration = Duration::from_millis(1_000);
/// How far a reading from the answer to an order may be ahead of the expected clock. Answers to
/// orders do not name the boot, and a boot that has replaced the active one has a clock of its own.
const MAX_CLOCK_LEAD_MS: u64 = 1_000;
/// Extensions that are shorter than this are not granted.
const MIN_EXTENSION: Duration = Duration::from_millis(50);

/// Last reading of the worker's clock, and the latest end of any lease.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeaseClock {
    last_reading: Option<(TimePoint, u64)>,
    bound: TimePoint,
}

impl LeaseClock {
    /// Records a reading of the worker's clock from an answer that has just arrived.
    pub fn note_clock(&mut self, now: TimePoint, clock_ms: u64) {
        if self
            .last_reading
            .is_none_or(|(_, last_ms)| clock_ms >= last_ms)
        {
            self.last_reading = Some((now, clock_ms));
        }
    }

    /// Records a reading of the worker's clock from the answer to an order that has just arrived.
    /// The reading is ignored if it does not continue the readings from holds.
    pub fn note_order_clock(&mut self, now: TimePoint, clock_ms: u64) {
        let Some((read_at, last_ms)) = self.last_reading else {
            return;
        };
        let expected_ms = last_ms + now.since(read_at).as_millis() as u64;
        if clock_ms <= expected_ms + MAX_CLOCK_LEAD_MS {
            self.note_clock(now, clock_ms);
        }
    }

    /// Returns the time on the worker's clock up to which leases may be extended now, and records
    /// it as granted. `None` if no extension is allowed.
    pub fn extend(
        &mut self,
        now: TimePoint,
        authority: TimePoint,
        rules: &LeaseRules,
    ) -> Option<u64> {
        let (read_at, clock_ms) = self.last_reading?;
        if now.since(read_at) > MAX_READING_AGE {
            return None;
        }
        let end = (now + rules.length).min(authority + rules.grace);
        if end.since(now) < MIN_EXTENSION {
            return None;
        }
        let until_ms = clock_ms + end.since(read_at).as_millis() as u64;
        let length = Duration::from_millis(until_ms - clock_ms);
        self.bound = self.bound.max(read_at + max_lease_time(length));
        Some(until_ms)
    }

    /// Returns whether all leases that were ever granted are known to have expired.
    pub fn has_expired(&self, now: TimePoint) -> bool {
        now > self.bound
    }

    /// Returns for how long a lease may still be valid.
    pub fn remaining(&self, now: TimePoint) -> Duration {
        self.bound.since(now)
    }

    /// Returns the latest time at which a lease may still be valid.
    pub fn bound(&self) -> TimePoint {
        self.bound
    }

    /// Records that calls which were not sent by this clock may have granted leases of up to
    /// `longest`, until `latest`: calls of an earlier process, or calls for another boot, whose
    /// leases end by the clock of that boot.
    pub fn assume_granted(&mut self, latest: TimePoint, longest: Duration) {
        self.bound = self.bound.max(latest + max_lease_time(longest));
    }
}
