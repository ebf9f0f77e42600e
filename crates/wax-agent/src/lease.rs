//! How long the worker's leases may be extended, and when they have surely lapsed.

use std::time::Duration;
use wax_types::TimePoint;

/// Spans of leases; the owner's takeover waits by the same figures.
#[derive(Debug, Clone, Copy)]
pub struct LeaseRules {
    /// A lease is extended to this much ahead of now.
    pub length: Duration,
    /// Leases are extended up to this long after the owner's authority has ended.
    pub grace: Duration,
}

impl Default for LeaseRules {
    fn default() -> Self {
        Self {
            length: Duration::from_millis(4_000),
            grace: Duration::from_millis(6_000),
        }
    }
}

/// The worker's clock may be this much slower than ours, in thousandths.
const MAX_CLOCK_SLOWDOWN_MILLI: u64 = 20;
/// A worker that has not answered for this long gets no extension until it does: otherwise its
/// leases could never be taken as lapsed.
const MAX_READING_AGE: Duration = Duration::from_millis(1_000);
/// An extension shorter than this is not worth an order.
const MIN_EXTENSION: Duration = Duration::from_millis(50);

/// The worker's clock as last read, and how far its leases reach.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeaseClock {
    last_reading: Option<(TimePoint, u64)>,
    bound: TimePoint,
}

impl LeaseClock {
    /// Notes the worker's clock as an answer that came now gave it.
    pub fn note_clock(&mut self, now: TimePoint, clock_ms: u64) {
        if self.last_reading.is_none_or(|(_, known)| clock_ms >= known) {
            self.last_reading = Some((now, clock_ms));
        }
    }

    /// The time on the worker's clock to which leases may be extended now; notes it as granted.
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
        let length_ms = until_ms - clock_ms;
        let real_length =
            Duration::from_millis(length_ms + length_ms * MAX_CLOCK_SLOWDOWN_MILLI / 1_000 + 1);
        self.bound = self.bound.max(read_at + real_length);
        Some(until_ms)
    }

    /// Whether everything that was ever granted has surely lapsed.
    pub fn has_expired(&self, now: TimePoint) -> bool {
        now > self.bound
    }

    /// Until when a lease may hold.
    pub fn bound(&self) -> TimePoint {
        self.bound
    }

    /// Notes that leases of unknown length may hold: an earlier process granted them.
    pub fn assume_granted(&mut self, now: TimePoint, longest: Duration) {
        self.bound = self.bound.max(now + longest);
    }
}
