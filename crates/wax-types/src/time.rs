//! Monotonic time points, which decisions take as an argument, and the clocks that they come from.

use rustix::time::{ClockId, clock_gettime};
use std::ops::{Add, Sub};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Microseconds on the monotonic clock of one process or on the virtual clock of a replay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct TimePoint(pub u64);

impl TimePoint {
    /// Creates a time point from milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the time from `earlier` to this point; zero if `earlier` is later.
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

/// Milliseconds on the steady clock of the store, which all its clients share.
///
/// Not comparable with the wall clock or with a [`TimePoint`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoreTime(pub u64);

impl StoreTime {
    /// Returns the time from `earlier` to this point; zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for StoreTime {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration.as_millis() as u64))
    }
}

/// Clock since the VM's boot that also counts while the VM is suspended.
///
/// Leases and ownership terms use it, so that they are seen to have expired after a suspension.
#[derive(Debug, Clone, Copy)]
pub struct ProcessClock {
    origin: Duration,
}

impl ProcessClock {
    /// Starts the clock at one day, so that durations can be subtracted from early time points
    /// without reaching zero.
    pub fn start() -> Self {
        Self {
            origin: time_since_boot(),
        }
    }

    /// Returns the present time.
    pub fn now(&self) -> TimePoint {
        let elapsed = time_since_boot().saturating_sub(self.origin);
        TimePoint::default() + Duration::from_secs(86_400) + elapsed
    }
}

fn time_since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Returns milliseconds since the Unix epoch, for records that people read and for times that callers
/// give as dates.
///
/// Decisions about safety and about ages must not use it, because the wall clock may jump.
pub fn wall_clock_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |duration| duration.as_millis() as u64)
}
