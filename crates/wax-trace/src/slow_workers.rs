//! Metrics of the workers that the owner in this process counts as slow.

use std::fmt::Write;
use std::sync::{Mutex, PoisonError};

/// Slow worker as shown in the metrics.
#[derive(Debug, Clone, PartialEq)]
pub struct SlowWorker {
    /// Boot of the worker.
    pub boot: String,
    /// Verdict on the worker: `slow` or `probing`.
    pub verdict: &'static str,
    /// Cause of the last change of the verdict.
    pub cause: &'static str,
    /// Speed as a share of that of other workers.
    pub speed: f64,
    /// Time since which the worker has not been normal, Unix milliseconds.
    pub slow_since_ms: u64,
}

static SLOW_WORKERS: Mutex<Vec<SlowWorker>> = Mutex::new(Vec::new());

/// Replaces the workers shown in the metrics.
pub fn set_slow_workers(workers: Vec<SlowWorker>) {
    *SLOW_WORKERS.lock().unwrap_or_else(PoisonError::into_inner) = workers;
}

/// Returns the number of workers shown in the metrics.
pub fn shown_slow_workers() -> usize {
    let workers = SLOW_WORKERS.lock().unwrap_or_else(PoisonError::into_inner);
    workers.len()
}

/// Appends one row for each slow worker, in the Prometheus text format.
pub fn render_slow_workers(text: &mut String) {
    let workers = SLOW_WORKERS.lock().unwrap_or_else(PoisonError::into_inner);
    for worker in workers.iter() {
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "waxwing_worker_speed{{worker=\"{}\",verdict=\"{}\",why=\"{}\",since_ms=\"{}\"}} {:.3}",
            worker.boot, worker.verdict, worker.cause, worker.slow_since_ms, worker.speed
        );
    }
}
