//! Exponential backoff with full jitter.

use fastrand::Rng;
use std::time::Duration;

/// Doubles from `floor` to `ceiling`; each wait is drawn between half of the step and the step.
#[derive(Debug, Clone, Copy)]
pub struct BackoffPlan {
    floor: Duration,
    ceiling: Duration,
    failures: u32,
}

impl BackoffPlan {
    /// Starts with no failure.
    pub const fn new(floor: Duration, ceiling: Duration) -> Self {
        Self {
            floor,
            ceiling,
            failures: 0,
        }
    }

    /// Counts a failure and gives the wait before the next try.
    pub fn next_delay(&mut self, rng: &mut Rng) -> Duration {
        let doubled = self.floor.saturating_mul(1 << self.failures.min(20));
        let step = doubled.min(self.ceiling);
        self.failures += 1;
        step.mul_f64(0.5 + 0.5 * rng.f64())
    }

    /// Forgets the failures.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
