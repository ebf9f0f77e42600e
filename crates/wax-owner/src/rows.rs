//! The rows of a shard. All are in one part of the store, so that one transaction can cover them.

use platform::RowKey;
use prost::Message;
use std::time::Duration;
use wax_batch::{BootId, JobName, ProgressRow};
use wax_policy::{VersionAgesSnapshot, VersionMark};
use wax_types::StoreTime;

/// Table of the owner's row, which names the owner of the shard and changes only at a takeover and
/// a release.
pub const OWNER_TABLE: &str = "owner";
/// Table of the heartbeat row, which changes with each transaction of the owner.
pub(crate) const HEARTBEAT_TABLE: &str = "beat";
/// Table of accepted jobs and of cancel requests.
pub const JOB_TABLE: &str = "job";
/// Table of the jobs' progress, written by the owner.
pub const PROGRESS_TABLE: &str = "progress";
/// Table of agents that may have received orders.
pub(crate) const AGENT_TABLE: &str = "agent";
/// Table of the measured interference between images. The data only improves placement: if it is
/// lost, the owner learns it again.
pub(crate) const INTERFERENCE_TABLE: &str = "press";
/// Table of the times by which the store's versions had been written.
pub(crate) const VERSION_AGES_TABLE: &str = "ages";
/// The shard's part. One owner can serve a pool of the size that the system is designed for, so
/// there is one shard.
pub(crate) const PART: &str = "s0";
/// Suffix that turns a job's key into the key of its cancel request.
pub const CANCEL_SUFFIX: &str = ".cancel";
/// Separates a job from the number of a part row in the key of that row.
const PART_MARK: char = '.';

/// Row that names the owner of the shard.
#[derive(Clone, PartialEq, Message)]
pub struct OwnerRow {
    /// Number of the term; rises with each takeover.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Address at which agents and fronts reach the owner.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Name of the owner's VM.
    #[prost(string, tag = "3")]
    pub node: String,
    /// Whether the owner has released the shard, so that any front may take over at once.
    #[prost(bool, tag = "4")]
    pub released: bool,
    /// Random number that distinguishes the takeover attempts of one process.
    #[prost(fixed64, tag = "5")]
    pub nonce: u64,
    /// Fitness of the strongest front known to the owner, in thousandths of a core.
    #[prost(uint32, tag = "6")]
    pub best_fitness: u32,
}

/// Heartbeat row: candidates watch whether it still changes.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct HeartbeatRow {
    /// Number of the term.
    #[prost(uint64, tag = "1")]
    pub(crate) epoch: u64,
    /// Number of transactions that the owner has sent in this term.
    #[prost(uint64, tag = "2")]
    pub(crate) count: u64,
}

/// Row of an agent: what may still run on its worker after a takeover.
#[derive(Clone, PartialEq, Message)]
pub struct AgentRow {
    /// Name of the agent's VM.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Id of the worker; empty in rows written by older versions.
    #[prost(string, tag = "2")]
    pub worker: String,
    /// Whether the worker gets no orders until this row is changed again.
    #[prost(bool, tag = "3")]
    pub unlinked: bool,
    /// Jobs that may have a run on the worker; set only if `unlinked` is true.
    #[prost(fixed64, repeated, tag = "4")]
    pub jobs: Vec<u64>,
    /// When the worker's boot started, in Unix milliseconds; `None` if unknown.
    #[prost(uint64, optional, tag = "5")]
    pub started_ms: Option<u64>,
}

impl AgentRow {
    /// Returns the row of an agent whose worker may receive orders.
    pub(crate) fn linked(node: &str, boot: &BootId) -> Self {
        Self {
            node: node.into(),
            worker: boot.worker_id().into(),
            started_ms: boot.started_ms(),
            ..Default::default()
        }
    }

    /// Returns the boot of the agent's worker.
    pub(crate) fn boot(&self) -> BootId {
        BootId::new(&*self.worker, self.started_ms)
    }
}

/// Row of the times by which the store's versions had been written, for the retention of ended jobs.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct VersionAgesRow {
    /// The store's clock at the owner's last recorded answer, in milliseconds.
    #[prost(uint64, optional, tag = "1")]
    answered_ms: Option<u64>,
    /// Time counted up to that answer, in milliseconds.
    #[prost(uint64, tag = "2")]
    counted_ms: u64,
    #[prost(message, repeated, tag = "3")]
    marks: Vec<VersionMarkRow>,
}

/// One mark of a [`VersionAgesRow`].
#[derive(Clone, PartialEq, Message)]
struct VersionMarkRow {
    #[prost(uint64, tag = "1")]
    version: u64,
    #[prost(uint64, tag = "2")]
    counted_ms: u64,
}

impl From<VersionAgesSnapshot> for VersionAgesRow {
    fn from(snapshot: VersionAgesSnapshot) -> Self {
        let marks = snapshot.marks.into_iter().map(|mark| VersionMarkRow {
            version: mark.version,
            counted_ms: mark.counted.as_millis() as u64,
        });
        Self {
            answered_ms: snapshot.answered_at.map(|time| time.0),
            counted_ms: snapshot.counted.as_millis() as u64,
            marks: marks.collect(),
        }
    }
}

impl From<VersionAgesRow> for VersionAgesSnapshot {
    fn from(row: VersionAgesRow) -> Self {
        let marks = row.marks.into_iter().map(|mark| VersionMark {
            version: mark.version,
            counted: Duration::from_millis(mark.counted_ms),
        });
        Self {
            answered_at: row.answered_ms.map(StoreTime),
            counted: Duration::from_millis(row.counted_ms),
            marks: marks.collect(),
        }
    }
}

/// Returns the key of the owner's row.
pub fn owner_key() -> RowKey {
    RowKey::new(OWNER_TABLE, PART, "owner")
}

pub(crate) fn heartbeat_key() -> RowKey {
    RowKey::new(HEARTBEAT_TABLE, PART, "beat")
}

/// Returns the key of a job's row.
pub fn job_key(job: JobName) -> RowKey {
    RowKey::new(JOB_TABLE, PART, job.to_string())
}

/// Returns the key of a job's cancel request.
pub fn cancel_key(job: JobName) -> RowKey {
    RowKey::new(JOB_TABLE, PART, format!("{job}{CANCEL_SUFFIX}"))
}

/// Returns the key of the head row with a job's progress.
pub fn progress_key(job: JobName) -> RowKey {
    RowKey::new(PROGRESS_TABLE, PART, job.to_string())
}

/// Returns the key of one of the rows with a job's progress.
pub(crate) fn progress_row_key(job: JobName, row: ProgressRow) -> RowKey {
    match row {
        ProgressRow::Head => progress_key(job),
        ProgressRow::Part(number) => {
            RowKey::new(PROGRESS_TABLE, PART, format!("{job}{PART_MARK}{number}"))
        }
    }
}

/// Decodes the key of a row with a job's progress; `None` if it is malformed.
pub(crate) fn parse_progress_key(key: &str) -> Option<(JobName, ProgressRow)> {
    let (job, row) = match key.split_once(PART_MARK) {
        Some((job, number)) => (job, ProgressRow::Part(number.parse().ok()?)),
        None => (key, ProgressRow::Head),
    };
    Some((job.parse().ok()?, row))
}

pub(crate) fn interference_key() -> RowKey {
    RowKey::new(INTERFERENCE_TABLE, PART, "pairs")
}

pub(crate) fn version_ages_key() -> RowKey {
    RowKey::new(VERSION_AGES_TABLE, PART, "versions")
}

pub(crate) fn agent_key(node: &str) -> RowKey {
    RowKey::new(AGENT_TABLE, PART, node)
}
