//! Jobs of dependent steps on workers: model, life, stored progress and decisions.
//!
//! Nothing here does I/O; the present time is an argument of everything that decides.

mod approvals;
mod blame;
mod book;
mod boot;
mod crashes;
mod ends;
mod fit;
mod life;
mod moves;
mod names;
mod notes;
mod offers;
mod patience;
mod place;
mod progress;
mod queue;
mod rank;
mod reports;
mod seats;
mod spec;
mod unheard;
mod why;
mod worker;

pub use approvals::AdviceAsk;
pub use blame::{CrashBlame, CrashVerdict, CrashedRun};
pub use book::{
    BookNote, JobBook, JobInfo, JobKey, RunSeat, StartOrder, StepAt, StopOrder, TaskAt, WorkerLife,
};
pub use boot::BootId;
pub use crashes::CrashNote;
pub use ends::StartRefusal;
pub use life::{JobLife, OccurrenceLife, StepLife, TaskLife, TaskStand};
pub use names::{JobName, RunMark, TaskName};
pub use place::PlaceChoice;
pub use progress::{
    JobOutcome, JobProgress, JobRow, OccurrenceProgress, StepProgress, TaskFailures,
};
pub use queue::{AdviceRules, QueueConfig, QueueRules, QueueTable, ServiceRules};
pub use rank::{JobRank, latest_start_ms, longest_chain_ms, objective_ms};
pub use spec::{JobSpec, RepeatPlan, SpecError, StepSpec, TaskSize};
pub use unheard::UnheardRuns;
pub use why::{PlaceReason, StepWait, StopReason, WaitReason};
pub use worker::{LostRun, RunEnd, RunEndKind, RunReport, WorkerKey, WorkerState, WorkerView};
