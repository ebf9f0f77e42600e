//! Reconstructs the history of jobs from the log lines of a pool, and attributes the delay of late
//! jobs to causes.
//!
//! Reads the JSON lines that fronts and agents write, from files in any order. A line may have a
//! prefix, such as log collectors add. The crate sends no requests to processes.

mod cause;
mod event;
mod history;
mod line;
mod plot;
mod report;
mod run_ends;

pub use cause::{DelayCause, DelayShare, attribute_delay};
pub use event::LogEvent;
pub use history::{JobHistory, PoolHistory, RunHistory, StepWait};
pub use line::{LineError, LogLine, parse_lines};
pub use plot::plot_history;
pub use report::{LogReport, QueueRow, WindowRow, build_report, job_timeline};
