//! Rows of jobs, tasks, allocations and shards in the table, and their keys.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use wax_settings::TaskClass;
use wax_types::{
    JobId, ProcessIncarnation, ResourceVector, ShardEpoch, ShardId, TaskEpoch, TaskId, WorkerId,
};

/// Specification of a job, with all settings resolved at its submission.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Team that is charged for the job.
    pub team: Box<str>,
    /// Service to which the job belongs.
    pub service: Box<str>,
    /// Kind of the job.
    pub kind: Box<str>,
    /// Number of tasks.
    pub tasks: u32,
    /// Whether the tasks are latency-critical or batch work.
    pub class: TaskClass,
    /// Resources that each task requests.
    pub size: ResourceVector,
    /// Expected run time of each task, seconds.
    pub run_time_s: u32,
    /// Number of failed runs after which a task fails for good.
    pub attempts: u32,
    /// Input of the job, passed to the workers unchanged.
    pub input: Value,
}

/// Row `job/JOB`: a submitted job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRow {
    /// Specification of the job.
    pub spec: JobSpec,
    /// Parts of the job; together they hold each task once.
    pub parts: Vec<PartLocation>,
    /// Time of the submission, Unix milliseconds.
    pub submitted_ms: u64,
    /// Whether the job was cancelled.
    pub cancelled: bool,
}

/// Shard and task range of one part of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartLocation {
    /// Shard that runs the part.
    pub shard: ShardId,
    /// Index of the part's first task.
    pub first: u32,
    /// Number of tasks in the part.
    pub count: u32,
}

/// Row `part/SHARD/JOB.FIRST`: a part of a job in which not all tasks have ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PartRow {
    /// Job to which the part belongs.
    pub job: JobId,
    /// Shard and task range of the part.
    #[serde(rename = "place")]
    pub location: PartLocation,
    /// Specification of the job.
    pub spec: JobSpec,
    /// Time of the submission, Unix milliseconds.
    pub submitted_ms: u64,
}

/// Row `jobkey/TEAM/KEY`: the job that was submitted with an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct IdempotencyKeyRow {
    /// Job that was submitted with the key.
    pub(crate) job: JobId,
}

/// Row `inbox/SHARD/...`: message that notifies the owner of a shard of a change of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum InboxRow {
    /// A part was added: its job and the index of its first task.
    Part(JobId, u32),
    /// The job was cancelled.
    Cancel(JobId),
}

/// Life-cycle state of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskState {
    /// Placed on a worker under the row's epoch.
    Placed(WorkerId),
    /// The task has run before and waits to run again.
    Waiting,
    /// The task has ended with this result object.
    Done(Box<str>),
    /// The task has failed for good, for the given reason.
    Failed(Box<str>),
    /// The job was cancelled before the task ended.
    Cancelled,
}

impl TaskState {
    /// Returns whether the state is final.
    pub fn is_terminal(&self) -> bool {
        matches!(self, Self::Done(_) | Self::Failed(_) | Self::Cancelled)
    }
}

/// State of one task. A task without a row waits for its first placement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRow {
    /// Number of placements so far; identifies the current one.
    pub epoch: TaskEpoch,
    /// Life-cycle state.
    pub state: TaskState,
    /// Number of runs that have failed.
    pub failures: u32,
    /// Workers on which a run of the task has failed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub failed_on: Vec<WorkerId>,
    /// Object with the last checkpoint, from which the next run resumes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<Box<str>>,
    /// Number of times that a run was stopped before its end.
    #[serde(default)]
    pub evictions: u32,
}

/// Row `tasks/SHARD/JOB.FIRST`: states of the tasks of a part, in the order of their indices.
///
/// The whole part shares one row, so that a commit that changes several of its tasks writes one
/// row.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct TasksRow {
    pub(crate) tasks: Vec<Option<TaskRow>>,
}

/// Reservation of one task in an allocation row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllocEntry {
    /// Task that holds the reservation.
    pub task: TaskId,
    /// Epoch of the task's placement.
    pub epoch: TaskEpoch,
    /// Reserved resources.
    pub size: ResourceVector,
}

/// Row `alloc/SHARD/WORKER`: reservations on a worker. Each placement writes this row on condition
/// of its version, which is the only protection against placing more than a worker's capacity.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllocRow {
    /// Reservations of the tasks that are placed on the worker.
    pub tasks: Vec<AllocEntry>,
}

impl AllocRow {
    /// Returns the sum of the reservations; `None` if it overflows.
    pub fn reserved(&self) -> Option<ResourceVector> {
        self.tasks
            .iter()
            .try_fold(ResourceVector::ZERO, |sum, entry| {
                sum.checked_add(entry.size)
            })
    }
}

/// Row `shard/SHARD`: ownership of a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRow {
    /// Member name of the owner; `None` after a handover.
    pub owner: Option<Box<str>>,
    /// Run of the owner's process; a restarted process is no longer the owner.
    pub incarnation: ProcessIncarnation,
    /// Number of claims so far; the fencing token of the current owner.
    pub epoch: ShardEpoch,
}

/// Row `closed/JOB/FIRST`: final states of the tasks of a part.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct ClosedRow {
    /// Final rows of the tasks, in the order of their indices.
    pub(crate) tasks: Vec<TaskRow>,
}

pub(crate) fn job_key(job: JobId) -> String {
    format!("job/{job}")
}

/// Returns the row key. The caller's key is hex-encoded, because it may contain the separator `/`.
pub(crate) fn idempotency_row_key(team: &str, key: &str) -> String {
    let hex: String = key.bytes().map(|byte| format!("{byte:02x}")).collect();
    format!("jobkey/{team}/{hex}")
}

pub(crate) fn part_prefix(shard: ShardId) -> String {
    format!("part/{:04}/", shard.0)
}

pub(crate) fn part_key(shard: ShardId, job: JobId, first: u32) -> String {
    format!("{}{job}.{first}", part_prefix(shard))
}

pub(crate) fn inbox_prefix(shard: ShardId) -> String {
    format!("inbox/{:04}/", shard.0)
}

pub(crate) fn inbox_part_key(shard: ShardId, job: JobId, first: u32) -> String {
    format!("{}{job}.{first}", inbox_prefix(shard))
}

pub(crate) fn inbox_cancel_key(shard: ShardId, job: JobId) -> String {
    format!("{}{job}/cancel", inbox_prefix(shard))
}

pub(crate) fn tasks_prefix(shard: ShardId) -> String {
    format!("tasks/{:04}/", shard.0)
}

pub(crate) fn tasks_key(shard: ShardId, job: JobId, first: u32) -> String {
    format!("{}{job}.{first}", tasks_prefix(shard))
}

pub(crate) fn alloc_prefix(shard: ShardId) -> String {
    format!("alloc/{:04}/", shard.0)
}

pub(crate) fn alloc_key(shard: ShardId, worker: &str) -> String {
    format!("{}{worker}", alloc_prefix(shard))
}

/// Prefix of the keys of all [`ShardRow`]s.
pub(crate) const SHARD_PREFIX: &str = "shard/";

pub(crate) fn shard_key(shard: ShardId) -> String {
    format!("{SHARD_PREFIX}{:04}", shard.0)
}

pub(crate) fn closed_key(job: JobId, first: u32) -> String {
    format!("closed/{job}/{first}")
}
