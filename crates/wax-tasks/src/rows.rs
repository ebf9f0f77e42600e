//! The rows of jobs, tasks, allocations and shards, and their keys.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use wax_settings::TaskClass;
use wax_types::{
    JobId, ProcessIncarnation, ResourceVector, ShardEpoch, ShardId, TaskEpoch, TaskId, WorkerId,
};

/// What a job asks for, with all settings resolved at its submission.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The team that is charged.
    pub team: Box<str>,
    /// The service.
    pub service: Box<str>,
    /// The job kind.
    pub kind: Box<str>,
    /// How many tasks.
    pub tasks: u32,
    /// Urgency.
    pub class: TaskClass,
    /// Size of each task.
    pub size: ResourceVector,
    /// Expected run time of each task, seconds.
    pub run_time_s: u32,
    /// Runs of a task that may fail.
    pub attempts: u32,
    /// Passed to the worker as it is.
    pub input: Value,
}

/// Row `job/JOB`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRow {
    /// What it asks for.
    pub spec: JobSpec,
    /// Its parts.
    pub parts: Vec<PartLocation>,
    /// Unix milliseconds.
    pub submitted_ms: u64,
    /// Whether its owner gave it up.
    pub cancelled: bool,
}

/// Where a part of a job is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartLocation {
    /// The shard that runs it.
    pub shard: ShardId,
    /// Index of its first task.
    pub first: u32,
    /// How many tasks.
    pub count: u32,
}

/// Row `part/SHARD/JOB.FIRST`: tasks of a job that are not all ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PartRow {
    /// The job.
    pub job: JobId,
    /// Where it is.
    pub place: PartLocation,
    /// The job's spec.
    pub spec: JobSpec,
    /// Unix milliseconds.
    pub submitted_ms: u64,
}

/// Row `jobkey/TEAM/KEY`: the job of an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct IdempotencyKeyRow {
    /// The job.
    pub(crate) job: JobId,
}

/// Row `inbox/SHARD/...`: tells the owner of a shard to look at a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum InboxRow {
    /// A part was added.
    Part(JobId, u32),
    /// The job was cancelled.
    Cancel(JobId),
}

/// Where a task stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskState {
    /// Placed on a worker under the row's epoch.
    Placed(WorkerId),
    /// It ran before and waits to run again.
    Waiting,
    /// It ended with this result object.
    Done(Box<str>),
    /// It was given up.
    Failed(Box<str>),
    /// Its job was cancelled before it ended.
    Cancelled,
}

impl TaskState {
    /// Whether nothing more happens to the task.
    pub fn is_terminal(&self) -> bool {
        matches!(self, Self::Done(_) | Self::Failed(_) | Self::Cancelled)
    }
}

/// How one task stands; a task without it waits for its first placement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRow {
    /// Counts the placements.
    pub epoch: TaskEpoch,
    /// Where it stands.
    pub state: TaskState,
    /// Runs that failed.
    pub failures: u32,
    /// Workers on which it failed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub failed_on: Vec<WorkerId>,
    /// The last checkpoint; the next run resumes from it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<Box<str>>,
    /// Evictions so far.
    #[serde(default)]
    pub evictions: u32,
}

/// Row `tasks/SHARD/JOB.FIRST`: how the tasks of a part stand, from its first task on.
///
/// One row for the whole part, so that a commit that moves several of its tasks writes it once.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct TasksRow {
    pub(crate) tasks: Vec<Option<TaskRow>>,
}

/// One task in an allocation row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllocEntry {
    /// The task.
    pub task: TaskId,
    /// Its placement.
    pub epoch: TaskEpoch,
    /// What is reserved.
    pub size: ResourceVector,
}

/// Row `alloc/SHARD/WORKER`: the one guard against placing more than a worker has.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllocRow {
    /// What is placed there.
    pub tasks: Vec<AllocEntry>,
}

impl AllocRow {
    /// The sum of what is reserved; `None` if it overflows.
    pub fn reserved(&self) -> Option<ResourceVector> {
        self.tasks
            .iter()
            .try_fold(ResourceVector::ZERO, |sum, entry| {
                sum.checked_add(entry.size)
            })
    }
}

/// Row `shard/SHARD`: who owns the shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRow {
    /// Name of the owner; `None` after a handover.
    pub owner: Option<Box<str>>,
    /// The owner's run.
    pub incarnation: ProcessIncarnation,
    /// Counts the owners.
    pub epoch: ShardEpoch,
}

/// Row `closed/JOB/FIRST`: the ends of the tasks of a part.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct ClosedRow {
    /// The ends, from the part's first task on.
    pub(crate) tasks: Vec<TaskRow>,
}

pub(crate) fn job_key(job: JobId) -> String {
    format!("job/{job}")
}

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

pub(crate) const SHARD_PREFIX: &str = "shard/";

pub(crate) fn shard_key(shard: ShardId) -> String {
    format!("{SHARD_PREFIX}{:04}", shard.0)
}

pub(crate) fn closed_key(job: JobId, first: u32) -> String {
    format!("closed/{job}/{first}")
}
