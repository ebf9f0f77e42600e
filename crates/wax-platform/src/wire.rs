//! JSON bodies of the calls to the table service and the workers.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use wax_types::{ResourceVector, RowVersion, ShardEpoch, TaskEpoch, TaskId, WorkerId};

/// Body of `POST /table/read`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ReadRequest {
    /// Keys of the rows to read.
    pub keys: Vec<Box<str>>,
}

/// Body of `POST /table/scan`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ScanRequest {
    /// Prefix of the keys to return.
    pub prefix: Box<str>,
    /// Only keys after this one are returned; empty for no such limit.
    pub after: Box<str>,
    /// Maximum number of rows to return.
    pub limit: u32,
}

/// Row that exists.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireRow {
    /// Key of the row.
    pub key: Box<str>,
    /// Version of the row, set by its last write.
    pub version: RowVersion,
    /// Value of the row.
    pub value: Value,
}

/// Answer to a read or a scan.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ReadReply {
    /// The rows that exist, ordered by key.
    pub rows: Vec<WireRow>,
}

/// Condition of a commit: a row must have this version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RowCondition {
    /// Key of the row.
    pub key: Box<str>,
    /// Required version; 0 if the row must not exist.
    pub version: RowVersion,
}

/// Row to write or to delete.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RowWrite {
    /// Key of the row.
    pub key: Box<str>,
    /// New value; `None` deletes the row.
    pub value: Option<Value>,
}

/// Body of `POST /table/commit`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CommitRequest {
    /// Conditions; all must hold for the commit to take effect.
    pub conditions: Vec<RowCondition>,
    /// Rows that are written and deleted together.
    pub writes: Vec<RowWrite>,
}

/// Answer to a commit.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommitReply {
    /// The commit took effect. Contains the version of the written rows.
    Committed(RowVersion),
    /// Nothing was written. Contains the keys of the rows whose conditions failed.
    Conflict(Vec<Box<str>>),
}

/// Worker as listed by the platform.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerInfo {
    /// Id of the worker.
    pub id: WorkerId,
    /// Address of the worker's HTTP interface, as `IP:port`.
    pub address: Box<str>,
    /// Rack of the worker.
    pub rack: Box<str>,
    /// Failure domain of the worker.
    pub failure_domain: Box<str>,
    /// Resources of the worker.
    pub capacity: ResourceVector,
}

/// Answer to `GET /workers`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WorkerList {
    /// All workers of the platform.
    pub workers: Vec<WorkerInfo>,
}

/// One run of a task: the task and the epoch of its placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TaskRunId {
    /// Id of the task.
    pub task: TaskId,
    /// Epoch of the placement; rises with each placement of the task.
    pub epoch: TaskEpoch,
}

/// Body of `POST /start` at a worker.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StartRequest {
    /// Fencing token of the owner. The worker refuses a token lower than the highest that it has seen.
    pub owner: ShardEpoch,
    /// The run: its task and epoch.
    #[serde(rename = "mark")]
    pub run_id: TaskRunId,
    /// Resources that the run may use.
    pub size: ResourceVector,
    /// Kind of the job.
    pub kind: Box<str>,
    /// Input of the job, passed on unchanged.
    pub input: Value,
    /// Name of the object with the checkpoint to resume from, if any.
    pub checkpoint: Option<Box<str>>,
    /// Lease duration in milliseconds. The worker stops the task if the lease is not renewed for this long.
    pub lease_ms: u64,
    /// Time on the worker's clock, in milliseconds, after which the worker refuses the call.
    pub valid_until_ms: u64,
}

/// Answer to a start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StartReply {
    /// The run has started.
    Started,
    /// A run with this epoch had already been started.
    Already,
    /// The worker knows a run of the task with a later epoch.
    Fenced,
    /// The call arrived after [`StartRequest::valid_until_ms`].
    Late,
    /// The worker cannot run the task; contains the reason.
    Refused(Box<str>),
}

/// Body of `POST /renew` at a worker.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RenewRequest {
    /// Fencing token of the owner.
    pub owner: ShardEpoch,
    /// New lease duration in milliseconds, counted by the worker from the arrival of the request.
    pub lease_ms: u64,
    /// Time on the worker's clock, in milliseconds, after which the worker renews nothing.
    pub valid_until_ms: u64,
    /// Runs whose leases are renewed.
    pub renew: Vec<TaskRunId>,
    /// Ended runs that the worker may forget.
    pub forget: Vec<TaskRunId>,
    /// Sequence number up to which the worker may forget usage reports.
    pub usage_through: u64,
}

/// Status of a run on its worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskRunStatus {
    /// The run is in progress.
    Running,
    /// The run finished. Contains the name of the object with its result.
    Done(Box<str>),
    /// The run failed. Contains the reason.
    Failed(Box<str>),
    /// The run was stopped or its lease expired. Contains the name of the object with its last checkpoint, if any.
    Stopped(Option<Box<str>>),
}

/// Report about a run that a worker knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The run: its task and epoch.
    #[serde(rename = "mark")]
    pub run_id: TaskRunId,
    /// Status of the run.
    pub run: TaskRunStatus,
}

/// Resources that a run used in one interval.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Number of the report, counted by the worker since its start, from 1.
    pub sequence: u64,
    /// Number of the worker's boot to which the report belongs; see [`RenewReply::boot`].
    pub boot: u64,
    /// The run: its task and epoch.
    #[serde(rename = "mark")]
    pub run_id: TaskRunId,
    /// Position of the interval in the run, from 0.
    pub interval: u32,
    /// Start of the interval in Unix milliseconds.
    pub start_ms: u64,
    /// Length of the interval in milliseconds.
    pub length_ms: u32,
    /// Processor time used, in thousandths of a core second.
    pub cpu_milli_seconds: u64,
    /// Memory used, in mebibyte seconds.
    pub memory_mib_seconds: u64,
    /// Accelerator time used, in milliseconds.
    pub accelerator_ms: u64,
    /// Peak processor use, in thousandths of a core.
    pub peak_cpu_milli: u32,
    /// Peak memory use, in mebibytes.
    pub peak_memory_mib: u32,
    /// Time per unit of work relative to a run without interference, in percent; 100 means no slowdown.
    pub slowdown_percent: u32,
}

/// Answer to a renewal: all runs that the worker knows, and usage reports not yet acknowledged.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct RenewReply {
    /// All runs that the worker knows, including those not named in the request.
    pub runs: Vec<TaskReport>,
    /// Usage reports after [`RenewRequest::usage_through`], oldest first, up to a limit.
    pub usage: Vec<UsageReport>,
    /// Random number drawn when the worker starts. If it changes, the worker has restarted and lost all runs.
    pub boot: u64,
    /// The worker's monotonic clock, in milliseconds since its start.
    pub clock_ms: u64,
}

/// Body of `POST /checkpoint` and `POST /stop` at a worker.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct ControlRequest {
    /// Fencing token of the owner.
    pub owner: ShardEpoch,
    /// The run: its task and epoch.
    #[serde(rename = "mark")]
    pub run_id: TaskRunId,
}

/// Body of `POST /throttle` at a worker.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ThrottleRequest {
    /// Fencing token of the owner.
    pub owner: ShardEpoch,
    /// The run: its task and epoch.
    #[serde(rename = "mark")]
    pub run_id: TaskRunId,
    /// Share of its resources that the run may use, in percent.
    pub percent: u8,
}

/// Answer to `POST /checkpoint` and `POST /stop` at a worker: state of the run after the call.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ControlReply {
    /// Status of the run; `None` if the worker does not know it.
    pub run: Option<TaskRunStatus>,
    /// Name of the object with the last checkpoint, if any.
    pub checkpoint: Option<Box<str>>,
}
