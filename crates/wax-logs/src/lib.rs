//! What the processes' log lines tell of a day: the life of each job, and why it was late.
//!
//! It reads what the pool's fronts and agents write as JSON, a line each, in any order of files; a
//! line may stand behind a prefix, as log collectors write them. Nothing here asks a process.

mod cause;
mod event;
mod history;
mod line;
mod plot;
mod report;

pub use cause::{DelayCause, DelayShare, attribute_delay};
pub use event::LogEvent;
pub use history::{JobHistory, PoolHistory, RunHistory, StepWait};
pub use line::{LineError, LogLine, parse_lines};
pub use plot::plot_history;
pub use report::{LogReport, QueueRow, WindowRow, build_report, job_timeline};
