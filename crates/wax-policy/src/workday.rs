//! The working day: nobody is there at night, so work that cannot end before evening waits.

use std::time::Duration;
use wax_types::TimePoint;

const DAY: Duration = Duration::from_secs(86_400);

/// The working hours of a firm, as offsets from midnight of the clock that decisions use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkDay {
    /// Start of work.
    pub start: Duration,
    /// End of work.
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
    /// Whether work goes on around the clock.
    pub fn is_around_the_clock(&self) -> bool {
        self.start.is_zero() && self.end >= DAY
    }

    /// The time left until this evening; zero outside working hours.
    pub fn remaining(&self, now: TimePoint) -> Duration {
        let midnight = TimePoint(now.0 - now.0 % DAY.as_micros() as u64);
        let offset = now.since(midnight);
        if offset < self.start {
            return Duration::ZERO;
        }
        self.end.saturating_sub(offset)
    }

    /// Whether work of this length still ends before evening.
    pub fn ends_today(&self, now: TimePoint, work: Duration) -> bool {
        self.is_around_the_clock() || work <= self.remaining(now)
    }
}
