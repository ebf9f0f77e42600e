//! Working hours of a customer. Work that cannot end before the end of the working day waits,
//! because nobody is present at night.

use std::time::Duration;
use wax_types::TimePoint;

const DAY: Duration = Duration::from_secs(86_400);

/// Working hours of a customer, as offsets from midnight of the clock that decisions use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkDay {
    /// Start of the working hours.
    pub start: Duration,
    /// End of the working hours.
    pub end: Duration,
}

impl Default for WorkDay {
    fn default() -> Self {
        Self {
            start: Duration::ZERO,
            end: DAY,
        }
    }
}

impl WorkDay {
    /// Returns whether the working hours cover the whole day.
    pub fn is_around_the_clock(&self) -> bool {
        self.start.is_zero() && self.end >= DAY
    }

    /// Returns the time until the end of today's working hours; zero outside them.
    pub fn remaining(&self, now: TimePoint) -> Duration {
        let midnight = TimePoint(now.0 - now.0 % DAY.as_micros() as u64);
        let offset = now.since(midnight);
        if offset < self.start {
            return Duration::ZERO;
        }
        self.end.saturating_sub(offset)
    }

    /// Returns whether work of this length ends within today's working hours.
    pub fn ends_today(&self, now: TimePoint, work: Duration) -> bool {
        self.is_around_the_clock() || work <= self.remaining(now)
    }
}
