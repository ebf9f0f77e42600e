//! Observability of a process: counters, latency histograms, log output and trace contexts.

mod context;
mod counter;
mod exporter;
mod latency;
mod logs;
mod slow_workers;
mod streak;

pub use context::TraceContext;
pub use counter::{Counter, count, count_many, counter_values};
pub use exporter::MetricsExporter;
pub use latency::{Latency, record_latency, render_latencies};
pub use logs::{LogFormat, LogOutput, start_logs};
pub use slow_workers::{SlowWorker, render_slow_workers, set_slow_workers, shown_slow_workers};
pub use streak::FailureStreak;
