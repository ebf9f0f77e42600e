//! Exponential backoff with jitter.

use fastrand::Rng;
use std::time::Duration;

/// Delays that double from `floor` to `ceiling`. Each delay is chosen at random between half of the
/// current step and the whole step.
#[derive(Debug, Clone, Copy)]
pub struct BackoffPlan {
    floor: Duration,
    ceiling: Duration,
    failures: u32,
}

impl BackoffPlan {
    /// Creates a backoff without failures.
    pub const fn new(floor: Duration, ceiling: Duration) -> Self {
        Self {
            floor,
            ceiling,
            failures: 0,
        }
    }

    /// Counts a failure and returns the delay before the next attempt.
    pub fn next_delay(&mut self, rng: &mut Rng) -> Duration {
        let doubled = self.floor.saturating_mul(1 << self.failures.min(20));
        let step = doubled.min(self.ceiling);
        self.failures += 1;
        step.mul_f64(0.5 + 0.5 * rng.f64())
    }

    /// Resets the number of failures to 0 after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
