//! What a replay measures.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Quick requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QuickReport {
    /// How many came.
    pub requests: u64,
    /// Answered within their deadlines.
    pub answered: u64,
    /// Not answered within their deadlines, refusals among them.
    pub misses: u64,
    /// Refused at once.
    pub refused: u64,
    /// Second attempts sent before the first was answered.
    pub hedges: u64,
    /// Latency; a miss counts as its deadline. Microseconds.
    pub p50_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// 99.9th percentile.
    pub p999_us: u64,
}

/// Batch tasks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BatchReport {
    /// Tasks that came.
    pub tasks: u64,
    /// Ended with a result.
    pub done: u64,
    /// Given up after failing too often.
    pub failed: u64,
    /// Cancelled before they ended.
    pub cancelled: u64,
    /// Work of the tasks that ended, milliseconds alone with enough processors.
    pub work_done_ms: u64,
    /// Work done of tasks not ended, without what was lost.
    pub work_open_ms: u64,
    /// Evictions.
    pub evictions: u64,
    /// Work that was done and lost, milliseconds.
    pub lost_work_ms: u64,
}

/// Urgent tasks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UrgentReport {
    /// Tasks that came.
    pub tasks: u64,
    /// Started.
    pub started: u64,
    /// From submission to start, milliseconds.
    pub p50_ms: u64,
    /// The longest.
    pub max_ms: u64,
}

/// The verdict on one replay.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReplayReport {
    /// The policy.
    pub policy: Box<str>,
    /// The seed of what the trace leaves to chance.
    pub seed: u64,
    /// Quick requests.
    pub quick: QuickReport,
    /// Batch tasks.
    pub batch: BatchReport,
    /// Urgent tasks.
    pub urgent: UrgentReport,
    /// Rows written for each task that was placed.
    pub rows_per_placement: f64,
    /// Commits for each task that was placed.
    pub commits_per_placement: f64,
    /// By how much a worker's reservations ever exceeded it, thousandths of a core.
    pub worst_over_milli: u64,
}

/// Collects latencies.
#[derive(Debug)]
pub(crate) struct LatencyHistogram {
    histogram: Histogram<u64>,
}

impl LatencyHistogram {
    pub(crate) fn new() -> Self {
        Self {
            histogram: Histogram::new(3).expect("three digits are allowed"),
        }
    }

    pub(crate) fn add(&mut self, latency: Duration) {
        // The histogram grows by itself and takes any value.
        let _ = self.histogram.record(latency.as_micros().max(1) as u64);
    }

    pub(crate) fn quantile(&self, quantile: f64) -> u64 {
        self.histogram.value_at_quantile(quantile)
    }

    pub(crate) fn max(&self) -> u64 {
        self.histogram.max()
    }

    pub(crate) fn len(&self) -> u64 {
        self.histogram.len()
    }
}
