//! Logs the first of several consecutive failures of a dependency and its recovery, instead of each
//! failure.

use std::cell::Cell;
use std::fmt::Display;

/// Number of consecutive failures of one dependency.
#[derive(Debug)]
pub struct FailureStreak {
    dependency: &'static str,
    failures: Cell<u64>,
}

impl FailureStreak {
    /// Creates a record without failures. `dependency` is the name for log lines.
    pub const fn new(dependency: &'static str) -> Self {
        Self {
            dependency,
            failures: Cell::new(0),
        }
    }

    /// Counts a failure. Logs the error if it is the first since the last success.
    pub fn record_failure(&self, error: &dyn Display) {
        let failures = self.failures.get();
        self.failures.set(failures + 1);
        if failures == 0 {
            tracing::warn!(what = self.dependency, %error, "dependency lost");
        }
    }

    /// Resets the count. Logs the recovery with the number of failures if there were any.
    pub fn record_success(&self) {
        let failures = self.failures.replace(0);
        if failures > 0 {
            tracing::info!(what = self.dependency, failures, "dependency regained");
        }
    }
}
