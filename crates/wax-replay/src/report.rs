//! Figures that a replay measures.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Figures of the quick requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QuickReport {
    /// Number of requests.
    pub requests: u64,
    /// Number of requests answered within their deadlines.
    pub answered: u64,
    /// Number of requests not answered within their deadlines, including refused ones.
    pub misses: u64,
    /// Number of requests that failed before their deadlines because no further attempt could be
    /// sent.
    pub refused: u64,
    /// Number of hedges: second attempts sent before the first was answered.
    pub hedges: u64,
    /// Median latency, microseconds. A miss counts as its whole deadline.
    pub p50_us: u64,
    /// 99th percentile of the latency, microseconds.
    pub p99_us: u64,
    /// 99.9th percentile of the latency, microseconds.
    pub p999_us: u64,
}

/// Figures of the batch tasks that are not urgent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BatchReport {
    /// Number of tasks.
    pub tasks: u64,
    /// Number of tasks that ended with a result.
    pub done: u64,
    /// Number of tasks that were given up after the allowed number of failed runs.
    pub failed: u64,
    /// Number of tasks that were cancelled before they ended.
    pub cancelled: u64,
    /// Work of the tasks that ended with a result, as their run time alone with enough processors,
    /// milliseconds.
    pub work_done_ms: u64,
    /// Work done of the other tasks, without lost work, milliseconds.
    pub work_open_ms: u64,
    /// Number of evictions.
    pub evictions: u64,
    /// Work that was done and then lost by evictions and lost workers, milliseconds. Work lost by
    /// failed runs is not counted.
    pub lost_work_ms: u64,
}

/// Figures of the urgent tasks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UrgentReport {
    /// Number of tasks.
    pub tasks: u64,
    /// Number of starts.
    pub started: u64,
    /// Median time from submission to start, milliseconds.
    pub p50_ms: u64,
    /// Longest time from submission to start, milliseconds.
    pub max_ms: u64,
}

/// Result of one replay.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReplayReport {
    /// Name of the policy.
    pub policy: Box<str>,
    /// Seed of the random choices that the trace leaves open.
    pub seed: u64,
    /// Figures of the quick requests.
    pub quick: QuickReport,
    /// Figures of the batch tasks that are not urgent.
    pub batch: BatchReport,
    /// Figures of the urgent tasks.
    pub urgent: UrgentReport,
    /// Rows written to the store, divided by the number of placements.
    pub rows_per_placement: f64,
    /// Commits to the store, divided by the number of placements.
    pub commits_per_placement: f64,
    /// Largest amount by which the reservations on a worker exceeded its processors, thousandths of
    /// a core.
    pub worst_over_milli: u64,
}

/// Histogram of latencies.
#[derive(Debug)]
pub(crate) struct LatencyHistogram {
    histogram: Histogram<u64>,
}

impl LatencyHistogram {
    pub(crate) fn new() -> Self {
        Self {
            histogram: Histogram::new(3).expect("3 significant digits are valid"),
        }
    }

    pub(crate) fn add(&mut self, latency: Duration) {
        // The histogram resizes itself and accepts any value.
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
