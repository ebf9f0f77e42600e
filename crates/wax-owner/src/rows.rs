//! The rows of a shard, all in one part so that one transaction covers them.

use platform::RowKey;
use prost::Message;
use wax_batch::{BootId, JobName};

/// Who owns the shard; changes at a takeover only.
pub const OWNER_TABLE: &str = "owner";
/// The owner's beat; changes with each of its transactions.
pub(crate) const HEARTBEAT_TABLE: &str = "beat";
/// Jobs as they were accepted, and cancels.
pub const JOB_TABLE: &str = "job";
/// What the owner has taken note of.
pub const PROGRESS_TABLE: &str = "progress";
/// Agents that may have been given orders.
pub(crate) const AGENT_TABLE: &str = "agent";
/// What is known of pairs of images; only ever a help, so that its loss is none.
pub(crate) const INTERFERENCE_TABLE: &str = "press";
/// The shard's part. A pool up to the size that one owner carries has one shard.
pub(crate) const PART: &str = "s0";
/// The key of the cancel of a job is the job's with this behind it.
pub const CANCEL_SUFFIX: &str = ".cancel";

/// The owner's row.
#[derive(Clone, PartialEq, Message)]
pub struct OwnerRow {
    /// The term; rises with each takeover.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Where agents and fronts reach the owner.
    #[prost(string, tag = "2")]
    pub address: String,
    /// The owner's name.
    #[prost(string, tag = "3")]
    pub node: String,
    /// Whether it has let go: anyone may take over at once.
    #[prost(bool, tag = "4")]
    pub released: bool,
    /// Draws the takeovers of one process apart.
    #[prost(fixed64, tag = "5")]
    pub nonce: u64,
    /// How well the strongest front known would carry an owner, thousandths of a core.
    #[prost(uint32, tag = "6")]
    pub best_fitness: u32,
}

/// The beat row.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct HeartbeatRow {
    /// The term.
    #[prost(uint64, tag = "1")]
    pub(crate) epoch: u64,
    /// The count of the owner's transactions in it.
    #[prost(uint64, tag = "2")]
    pub(crate) count: u64,
}

/// An agent's row: what of earlier terms may run beside it.
#[derive(Clone, PartialEq, Message)]
pub struct AgentRow {
    /// The machine's name.
    #[prost(string, tag = "1")]
    pub node: String,
    /// The worker's id; empty in rows of older versions.
    #[prost(string, tag = "2")]
    pub worker: String,
    /// Whether the worker gets no orders until this row says otherwise.
    #[prost(bool, tag = "3")]
    pub unlinked: bool,
    /// If so: the jobs of which a run may be there.
    #[prost(fixed64, repeated, tag = "4")]
    pub jobs: Vec<u64>,
    /// When the worker's boot started, Unix milliseconds, if that is known.
    #[prost(uint64, optional, tag = "5")]
    pub started_ms: Option<u64>,
}

impl AgentRow {
    /// The row of an agent whose worker may be given orders.
    pub(crate) fn linked(node: &str, boot: &BootId) -> Self {
        Self {
            node: node.into(),
            worker: boot.worker_id().into(),
            started_ms: boot.started_ms(),
            ..Default::default()
        }
    }

    /// The boot of its worker.
    pub(crate) fn boot(&self) -> BootId {
        BootId::new(&*self.worker, self.started_ms)
    }
}

/// The key of the owner's row.
pub fn owner_key() -> RowKey {
    RowKey::new(OWNER_TABLE, PART, "owner")
}

pub(crate) fn heartbeat_key() -> RowKey {
    RowKey::new(HEARTBEAT_TABLE, PART, "beat")
}

/// The key of a job's row.
pub fn job_key(job: JobName) -> RowKey {
    RowKey::new(JOB_TABLE, PART, job.to_string())
}

/// The key of a job's cancel.
pub fn cancel_key(job: JobName) -> RowKey {
    RowKey::new(JOB_TABLE, PART, format!("{job}{CANCEL_SUFFIX}"))
}

/// The key of a job's progress.
pub fn progress_key(job: JobName) -> RowKey {
    RowKey::new(PROGRESS_TABLE, PART, job.to_string())
}

pub(crate) fn interference_key() -> RowKey {
    RowKey::new(INTERFERENCE_TABLE, PART, "pairs")
}

pub(crate) fn agent_key(node: &str) -> RowKey {
    RowKey::new(AGENT_TABLE, PART, node)
}
