//! Jobs and their tasks: submission, shards and their owners, leases, placement, recovery.
//!
//! `desk` takes submissions at any entry. `coordinator` gains and loses shards. One `shard` task
//! runs for each shard that is owned, and one `worker_link` task for each of its workers.

mod commit;
#[cfg(test)]
mod commit_tests;
mod coordinator;
mod desk;
mod drains;
mod explain;
mod ledger_feed;
mod ownership;
mod placing;
mod quota;
#[cfg(test)]
mod quota_tests;
mod reports;
mod round;
mod rows;
mod shard;
mod shard_load;
mod shard_state;
mod split;
mod term;
mod transition;
mod upkeep;
mod worker_link;

pub use coordinator::{CoordinatorHandle, CoordinatorProcess, ShardStatus};
pub use desk::{JobDesk, JobView, SubmitRequest, TaskView};
pub use drains::DomainDrains;
pub use explain::TaskReason;
pub use ownership::{OwnIdentity, ShardChoice, decide_shard};
pub use quota::QuotaRow;
pub use rows::{AllocEntry, AllocRow, JobRow, JobSpec, PartRow, ShardRow, TaskRow, TaskState};
pub use split::{WorkerShape, shard_of_worker, split_job};
pub use term::OwnerTerm;
pub use transition::{RunChoice, decide_run};
