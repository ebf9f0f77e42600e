//! The first wire form of the platform: JSON bodies.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use wax_types::{ResourceVector, RowVersion, ShardEpoch, TaskEpoch, TaskId, WorkerId};

/// Body of `POST /table/read`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ReadRequest {
    /// Keys to read.
    pub keys: Vec<Box<str>>,
}

/// Body of `POST /table/scan`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ScanRequest {
    /// Only keys that start with it.
    pub prefix: Box<str>,
    /// Only keys after this one; empty for all.
    pub after: Box<str>,
    /// At most this many rows.
    pub limit: u32,
}

/// One row that exists.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireRow {
    /// The key.
    pub key: Box<str>,
    /// The version that the last write gave it.
    pub version: RowVersion,
    /// The value.
    pub value: Value,
}

/// Answer to a read or a scan.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ReadReply {
    /// The rows that exist, by key.
    pub rows: Vec<WireRow>,
}

/// A row must have this version for the commit to take effect.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RowCondition {
    /// The key.
    pub key: Box<str>,
    /// The version; 0 means that the row must be absent.
    pub version: RowVersion,
}

/// A row to write or, without a value, to delete.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RowWrite {
    /// The key.
    pub key: Box<str>,
    /// The value; `None` deletes.
    pub value: Option<Value>,
}

/// Body of `POST /table/commit`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CommitRequest {
    /// All must hold.
    pub conditions: Vec<RowCondition>,
    /// Written together.
    pub writes: Vec<RowWrite>,
}

/// Answer to a commit.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommitReply {
    /// It took effect; the rows written have this version.
    Committed(RowVersion),
    /// These rows failed their conditions; nothing was written.
    Conflict(Vec<Box<str>>),
}

/// A worker as the platform lists it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerInfo {
    /// The platform's name for it.
    pub id: WorkerId,
    /// `IP:port` of its interface.
    pub address: Box<str>,
    /// Its rack.
    pub rack: Box<str>,
    /// Its failure domain.
    pub failure_domain: Box<str>,
    /// What it has.
    pub capacity: ResourceVector,
}

/// Answer to `GET /workers`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WorkerList {
    /// All workers of the platform.
    pub workers: Vec<WorkerInfo>,
}

/// A task at one of its placements.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TaskRunId {
    /// The task.
    pub task: TaskId,
    /// The placement.
    pub epoch: TaskEpoch,
}

/// Body of `POST /start` at a worker.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StartRequest {
    /// The owner's fencing token: the worker refuses a lower one than it has seen.
    pub owner: ShardEpoch,
    /// The task and its epoch.
    #[serde(rename = "mark")]
    pub run_id: TaskRunId,
    /// What it may use.
    pub size: ResourceVector,
    /// The job kind.
    pub kind: Box<str>,
    /// Input of the job, passed on as it is.
    pub input: Value,
    /// Object to resume from.
    pub checkpoint: Option<Box<str>>,
    /// The worker stops the task when no renewal comes for this long.
    pub lease_ms: u64,
    /// The worker refuses the call after this time on its own clock.
    pub valid_until_ms: u64,
}

/// Answer to a start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StartReply {
    /// It runs now.
    Started,
    /// This epoch was started before.
    Already,
    /// The worker knows a later epoch of the task.
    Fenced,
    /// The call came after the time until which it was valid.
    Late,
    /// The worker cannot run it.
    Refused(Box<str>),
}

/// Body of `POST /renew` at a worker.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RenewRequest {
    /// The owner's fencing token.
    pub owner: ShardEpoch,
    /// New term, counted by the worker from the arrival.
    pub lease_ms: u64,
    /// The worker renews nothing after this time on its own clock.
    pub valid_until_ms: u64,
    /// Tasks whose leases are renewed.
    pub renew: Vec<TaskRunId>,
    /// Ended tasks that the worker may forget.
    pub forget: Vec<TaskRunId>,
    /// Usage reports up to this sequence number may be forgotten.
    pub usage_through: u64,
}

/// How a run of a task stands at its worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskRunStatus {
    /// It runs.
    Running,
    /// It ended and wrote this object.
    Done(Box<str>),
    /// It ended without a result.
    Failed(Box<str>),
    /// It was stopped, or its lease lapsed; the object holds its last checkpoint.
    Stopped(Option<Box<str>>),
}

/// A run that a worker knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The task and its epoch.
    #[serde(rename = "mark")]
    pub run_id: TaskRunId,
    /// How it stands.
    pub run: TaskRunStatus,
}

/// What a run used in one interval.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The worker's own count of reports since its start, from 1.
    pub sequence: u64,
    /// The worker's start that the report belongs to.
    pub boot: u64,
    /// The task and its epoch.
    #[serde(rename = "mark")]
    pub run_id: TaskRunId,
    /// The position of the interval in the run, from 0.
    pub interval: u32,
    /// Start of the interval, Unix milliseconds.
    pub start_ms: u64,
    /// Length of the interval in milliseconds.
    pub length_ms: u32,
    /// Thousandths of core seconds used.
    pub cpu_milli_seconds: u64,
    /// Mebibyte seconds used.
    pub memory_mib_seconds: u64,
    /// Accelerator milliseconds used.
    pub accelerator_ms: u64,
    /// The most processors used at once, thousandths of a core.
    pub peak_cpu_milli: u32,
    /// The most memory used at once, mebibytes.
    pub peak_memory_mib: u32,
    /// How much longer each unit of work took than alone, in percent; 100 means no slowdown.
    pub slowdown_percent: u32,
}

/// Answer to a renewal: every run that the worker knows, and late usage.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct RenewReply {
    /// All runs, also those not named in the request.
    pub runs: Vec<TaskReport>,
    /// Reports after `usage_through`, oldest first, bounded.
    pub usage: Vec<UsageReport>,
    /// Drawn at the worker's start: another number means that it has lost all runs.
    pub boot: u64,
    /// The worker's monotonic clock, milliseconds since its start.
    pub clock_ms: u64,
}

/// Body of `POST /checkpoint` and `POST /stop` at a worker.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct ControlRequest {
    /// The owner's fencing token.
    pub owner: ShardEpoch,
    /// The task and its epoch.
    #[serde(rename = "mark")]
    pub run_id: TaskRunId,
}

/// Body of `POST /throttle` at a worker.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ThrottleRequest {
    /// The owner's fencing token.
    pub owner: ShardEpoch,
    /// The task and its epoch.
    #[serde(rename = "mark")]
    pub run_id: TaskRunId,
    /// Share of its size that it may use.
    pub percent: u8,
}

/// Answer to `POST /checkpoint` and `POST /stop` at a worker: the run after the call.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CheckpointReply {
    /// `None` if the worker does not know the run.
    pub run: Option<TaskRunStatus>,
    /// The last checkpoint.
    pub checkpoint: Option<Box<str>>,
}
