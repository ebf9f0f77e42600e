//! Jobs and their tasks: submission, ownership of shards, leases, placement and recovery.
//!
//! `job_service` accepts submissions at every entry. `coordinator` claims and releases shards. For
//! each shard that this process owns, one async task runs the loop in `shard`, and one async task
//! per worker of the shard runs the loop in `worker_link`.

mod commit;
#[cfg(test)]
mod commit_tests;
mod coordinator;
mod drains;
mod explain;
mod housekeeping;
mod job_service;
mod ledger_feed;
mod ownership;
mod placement;
mod quota;
#[cfg(test)]
mod quota_tests;
mod rows;
mod shard;
mod shard_load;
mod shard_loop;
mod shard_state;
mod split;
mod term;
mod transition;
mod worker_events;
mod worker_link;

pub use coordinator::{CoordinatorHandle, CoordinatorProcess, ShardStatus};
pub use drains::{DrainTarget, OperatorDrains};
pub use explain::TaskExplanation;
pub use job_service::{JobService, JobView, SubmitRequest, TaskView};
pub use ownership::{ProcessIdentity, ShardChoice, decide_shard};
pub use quota::QuotaRow;
pub use rows::{AllocEntry, AllocRow, JobRow, JobSpec, PartRow, ShardRow, TaskRow, TaskState};
pub use split::{WorkerShape, shard_of_worker, split_job};
pub use term::OwnerTerm;
pub use transition::{RunChoice, decide_run};
