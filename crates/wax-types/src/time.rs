//! The monotonic time that decisions are given as an argument.

use rustix::time::{ClockId, clock_gettime};
use std::ops::{Add, Sub};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Microseconds on the monotonic clock of one process, or on a replay's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct TimePoint(pub u64);

impl TimePoint {
    /// Builds a time point from milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// The time from `earlier` to this point; zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for TimePoint {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration.as_micros() as u64))
    }
}

impl Sub<Duration> for TimePoint {
    type Output = Self;

    fn sub(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(duration.as_micros() as u64))
    }
}

/// Reads the machine's clock since its boot, which also counts while the machine is suspended.
///
/// Leases and terms are judged by it: after a suspension they are seen to have lapsed.
#[derive(Debug, Clone, Copy)]
pub struct ProcessClock {
    origin: Duration,
}

impl ProcessClock {
    /// Starts the clock a day after zero, so that subtraction has room.
    pub fn start() -> Self {
        Self {
            origin: time_since_boot(),
        }
    }

    /// The present time.
    pub fn now(&self) -> TimePoint {
        let elapsed = time_since_boot().saturating_sub(self.origin);
        TimePoint::default() + Duration::from_secs(86_400) + elapsed
    }
}

fn time_since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Milliseconds since the Unix epoch, for records that people read.
///
/// No decision about safety uses it.
pub fn wall_clock_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |duration| duration.as_millis() as u64)
}
