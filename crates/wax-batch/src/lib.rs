//! Scheduling of batch jobs with dependent steps: job model, run-time state, stored progress and
//! placement decisions.
//!
//! This crate performs no I/O. Functions that depend on the time receive the current time as an
//! argument.

mod approvals;
mod boot;
mod crash_history;
mod crashes;
mod ends;
mod fit;
mod job_rules;
mod migrations;
mod names;
mod offers;
mod order_backoff;
mod performance;
mod placement;
mod progress;
mod progress_rows;
mod queue;
mod rank;
mod reasons;
mod records;
mod relaxation;
mod reports;
mod reservations;
mod scheduler;
mod sharing;
mod slow_moves;
mod spec;
mod start_rule;
mod unreconciled;
mod updates;
mod worker;

pub use approvals::AdviceRequest;
pub use boot::BootId;
pub use crash_history::{CrashHistory, CrashVerdict, CrashedRun};
pub use crashes::CrashFinding;
pub use ends::StartRefusal;
pub use job_rules::{JobRules, VersionedRules};
pub use names::{JobName, RunId, TaskName};
pub use order_backoff::StartLimit;
pub use performance::{SlowWorkerInfo, SpeedChange};
pub use placement::WorkerChoice;
pub use progress::{
    JobOutcome, JobProgress, JobRow, OccurrenceProgress, OwnerClocks, PartProgress, StepProgress,
    StoredProgress, TaskFailures,
};
pub use progress_rows::{MAX_ROW_BYTES, ProgressRow, RowChange};
pub use queue::{AdviceRules, QueueConfig, QueueRules, QueueTable, ServiceRules};
pub use rank::{JobRank, critical_path_ms, latest_start_ms, objective_ms};
pub use reasons::{PlacementReason, StepWait, StopReason, WaitReason};
pub use records::{JobRecord, OccurrenceRecord, StepRecord, TaskRecord, TaskState};
pub use scheduler::{
    JobInfo, JobKey, JobScheduler, ProgressUpdate, RunReservation, StartOrder, StepRef, StopOrder,
    TaskRef, WorkerRecord,
};
pub use spec::{JobSpec, MAX_STEPS, RepeatPlan, SpecError, StepSpec, TaskSize};
pub use unreconciled::{StepEligibility, UnreconciledRuns};
pub use worker::{
    EndPage, LostRun, RunEnd, RunEndKind, RunReport, WorkerKey, WorkerState, WorkerView,
};
