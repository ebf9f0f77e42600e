//! Counters, log lines and trace contexts.

mod context;
mod counter;
mod exporter;
mod logs;
mod streak;

pub use context::TraceContext;
pub use counter::{Counter, count, count_many, counter_values};
pub use exporter::MetricsExporter;
pub use logs::{LogFormat, start_logs};
pub use streak::FailureStreak;
