//! What the store keeps of a job, as protobuf.

use crate::crash_history::CrashedRun;
use crate::spec::{JobSpec, RepeatPlan, StepSpec, TaskSize};
use prost::Message;

/// A job as it was accepted; written once, by the entry that accepted it.
#[derive(Clone, PartialEq, Message)]
pub struct JobRow {
    /// The term of ownership in which it was accepted: owners of earlier terms never saw it.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// The queue's name.
    #[prost(string, tag = "2")]
    pub queue: String,
    /// The queue's service at that time.
    #[prost(string, tag = "3")]
    pub service: String,
    /// When it was accepted, Unix milliseconds by the entry's clock.
    #[prost(uint64, tag = "4")]
    pub accepted_ms: u64,
    /// Passed on to the worker.
    #[prost(string, tag = "5")]
    pub text: String,
    /// The steps.
    #[prost(message, repeated, tag = "6")]
    pub steps: Vec<StepRow>,
    /// Occurrences; 0 for a job that runs once.
    #[prost(uint32, tag = "7")]
    pub repeat_count: u32,
    /// When the first occurrence is due, Unix milliseconds.
    #[prost(uint64, tag = "8")]
    pub repeat_first_ms: u64,
    /// Between two occurrences, milliseconds.
    #[prost(uint64, tag = "9")]
    pub repeat_interval_ms: u64,
    /// The entry that wrote the row and the time it did, to know its own write again.
    #[prost(fixed64, tag = "10")]
    pub nonce: u64,
}

/// A step of a [`JobRow`].
#[derive(Clone, PartialEq, Message)]
pub struct StepRow {
    #[prost(uint32, tag = "1")]
    count: u32,
    #[prost(uint32, tag = "2")]
    cpu_milli: u32,
    #[prost(uint32, tag = "3")]
    memory_mb: u32,
    #[prost(uint32, tag = "4")]
    accelerators: u32,
    #[prost(uint32, tag = "5")]
    estimate_ms: u32,
    #[prost(uint32, repeated, tag = "6")]
    after: Vec<u32>,
    #[prost(bool, tag = "7")]
    checkpoints: bool,
    #[prost(bool, tag = "8")]
    gang: bool,
    #[prost(bool, tag = "9")]
    one_rack: bool,
    #[prost(string, optional, tag = "10")]
    label: Option<String>,
    #[prost(string, optional, tag = "11")]
    data_rack: Option<String>,
    #[prost(uint32, tag = "12")]
    max_per_worker: u32,
    #[prost(bool, tag = "13")]
    speculative: bool,
    #[prost(bool, tag = "14")]
    long_running: bool,
    #[prost(string, tag = "15")]
    image: String,
    #[prost(uint32, tag = "16")]
    tail_target_ms: u32,
    #[prost(bool, tag = "17")]
    best_effort: bool,
    #[prost(uint32, optional, tag = "18")]
    max_unavailable: Option<u32>,
}

impl From<&StepSpec> for StepRow {
    fn from(step: &StepSpec) -> Self {
        Self {
            count: step.count,
            cpu_milli: step.size.cpu_milli,
            memory_mb: step.size.memory_mb,
            accelerators: step.size.accelerators,
            estimate_ms: step.estimate_ms,
            after: step.after.iter().map(|step| u32::from(*step)).collect(),
            checkpoints: step.checkpoints,
            gang: step.gang,
            one_rack: step.one_rack,
            label: step.label.as_deref().map(Into::into),
            data_rack: step.data_rack.as_deref().map(Into::into),
            max_per_worker: step.max_per_worker,
            speculative: step.speculative,
            long_running: step.long_running,
            image: step.image.to_string(),
            tail_target_ms: step.tail_target_ms,
            best_effort: step.best_effort,
            max_unavailable: step.max_unavailable,
        }
    }
}

impl From<StepRow> for StepSpec {
    fn from(row: StepRow) -> Self {
        Self {
            count: row.count,
            size: TaskSize {
                cpu_milli: row.cpu_milli,
                memory_mb: row.memory_mb,
                accelerators: row.accelerators,
            },
            estimate_ms: row.estimate_ms,
            after: row.after.iter().map(|step| *step as u16).collect(),
            checkpoints: row.checkpoints,
            gang: row.gang,
            one_rack: row.one_rack,
            label: row.label.map(Into::into),
            data_rack: row.data_rack.map(Into::into),
            max_per_worker: row.max_per_worker,
            speculative: row.speculative,
            long_running: row.long_running,
            image: row.image.into(),
            tail_target_ms: row.tail_target_ms,
            best_effort: row.best_effort,
            max_unavailable: row.max_unavailable,
        }
    }
}

impl JobRow {
    /// The row of a job that is accepted now.
    pub fn new(spec: &JobSpec, queue: &str, service: &str, accepted_ms: u64, nonce: u64) -> Self {
        Self {
            epoch: 0,
            queue: queue.into(),
            service: service.into(),
            accepted_ms,
            text: spec.text.to_string(),
            steps: spec.steps.iter().map(Into::into).collect(),
            repeat_count: spec.repeat.map_or(0, |plan| plan.count),
            repeat_first_ms: spec.repeat.map_or(0, |plan| plan.first_ms),
            repeat_interval_ms: spec.repeat.map_or(0, |plan| plan.interval_ms),
            nonce,
        }
    }

    /// The job as its caller submitted it.
    pub fn into_spec(self) -> JobSpec {
        let repeat = (self.repeat_count > 0).then_some(RepeatPlan {
            count: self.repeat_count,
            first_ms: self.repeat_first_ms,
            interval_ms: self.repeat_interval_ms,
        });
        JobSpec {
            text: self.text.into(),
            steps: self.steps.into_iter().map(Into::into).collect(),
            repeat,
        }
    }
}

/// How a job ended, if it has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum JobOutcome {
    /// It has not ended.
    Open = 0,
    /// All tasks ended with their result.
    Completed = 1,
    /// A task failed too often, or no worker can ever run it.
    Failed = 2,
    /// Its caller cancelled it.
    Cancelled = 3,
}

/// What has been taken note of in a job; written by the owner of its shard only.
#[derive(Clone, PartialEq, Message)]
pub struct JobProgress {
    /// How it ended.
    #[prost(enumeration = "JobOutcome", tag = "1")]
    pub outcome: i32,
    /// Occurrences before this one are done.
    #[prost(uint32, tag = "2")]
    pub done_before: u32,
    /// Occurrences from `done_before` on with something done or failed.
    #[prost(message, repeated, tag = "3")]
    pub occurrences: Vec<OccurrenceProgress>,
    /// When it ended, Unix milliseconds by the owner's clock; 0 while open.
    #[prost(uint64, tag = "4")]
    pub ended_ms: u64,
}

/// One occurrence of a [`JobProgress`].
#[derive(Clone, PartialEq, Message)]
pub struct OccurrenceProgress {
    /// Its number.
    #[prost(uint32, tag = "1")]
    pub number: u32,
    /// Its steps, in order.
    #[prost(message, repeated, tag = "2")]
    pub steps: Vec<StepProgress>,
}

/// One step of an [`OccurrenceProgress`].
#[derive(Clone, PartialEq, Message)]
pub struct StepProgress {
    /// Whether all tasks are done; then `done` is empty.
    #[prost(bool, tag = "1")]
    pub all_done: bool,
    /// A bit for each task that is done, lowest first.
    #[prost(bytes = "vec", tag = "2")]
    pub done: Vec<u8>,
    /// Tasks with runs that failed or that ended with their workers.
    #[prost(message, repeated, tag = "3")]
    pub failures: Vec<TaskFailures>,
}

/// Runs of a task that failed or that ended with their workers.
#[derive(Clone, PartialEq, Message)]
pub struct TaskFailures {
    /// The task's index.
    #[prost(uint32, tag = "1")]
    pub index: u32,
    /// The numbers of its runs that have failed; a list, so that an end heard twice counts once.
    #[prost(uint64, repeated, tag = "2")]
    pub runs: Vec<u64>,
    /// Its runs that ended with their workers.
    #[prost(message, repeated, tag = "3")]
    pub crashes: Vec<TaskCrash>,
}

/// A run that ended with its worker.
#[derive(Clone, PartialEq, Message)]
pub struct TaskCrash {
    #[prost(uint64, tag = "1")]
    run: u64,
    #[prost(string, tag = "2")]
    vm: String,
    #[prost(bool, tag = "3")]
    early: bool,
}

impl From<&CrashedRun> for TaskCrash {
    fn from(crashed: &CrashedRun) -> Self {
        Self {
            run: crashed.run,
            vm: crashed.vm.to_string(),
            early: crashed.early,
        }
    }
}

impl From<&TaskCrash> for CrashedRun {
    fn from(row: &TaskCrash) -> Self {
        Self {
            run: row.run,
            vm: row.vm.as_str().into(),
            early: row.early,
        }
    }
}

impl StepProgress {
    /// Whether the task is done.
    pub fn is_done(&self, index: u32) -> bool {
        let byte = self.done.get(index as usize / 8).copied().unwrap_or(0);
        self.all_done || byte >> (index % 8) & 1 == 1
    }

    /// Marks the task as done.
    pub fn mark_done(&mut self, index: u32) {
        let byte = index as usize / 8;
        if self.done.len() <= byte {
            self.done.resize(byte + 1, 0);
        }
        self.done[byte] |= 1 << (index % 8);
    }
}
