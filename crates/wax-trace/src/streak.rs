//! Logs a dependency's failures by their first and their last, not by each.

use std::cell::Cell;
use std::fmt::Display;

/// Failures of one dependency in a row.
#[derive(Debug)]
pub struct FailureStreak {
    dependency: &'static str,
    failures: Cell<u64>,
}

impl FailureStreak {
    /// Follows the dependency that `what` names.
    pub const fn new(dependency: &'static str) -> Self {
        Self {
            dependency,
            failures: Cell::new(0),
        }
    }

    /// Notes a failure; the first of a row is logged.
    pub fn record_failure(&self, error: &dyn Display) {
        let failures = self.failures.get();
        self.failures.set(failures + 1);
        if failures == 0 {
            tracing::warn!(what = self.dependency, %error, "dependency lost");
        }
    }

    /// Notes a success; one after failures is logged with their count.
    pub fn record_success(&self) {
        let failures = self.failures.replace(0);
        if failures > 0 {
            tracing::info!(what = self.dependency, failures, "dependency regained");
        }
    }
}
