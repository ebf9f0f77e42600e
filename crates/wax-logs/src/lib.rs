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

pub use cause::{LateCause, LateShare, late_shares};
pub use event::LogEvent;
pub use history::{DayHistory, JobHistory, RunHistory, StepPause};
pub use line::{LineError, LogLine, parse_lines};
pub use plot::plot_day;
pub use report::{DayReport, QueueRow, WindowRow, job_story, report_day};
