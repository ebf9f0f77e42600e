//! Protobuf messages in which jobs and their progress are stored.

use crate::crash_history::CrashedRun;
use crate::job_rules::VersionedRules;
use crate::progress_rows::ProgressRow;
use crate::queue::{AdviceRules, QueueRules};
use crate::spec::{JobSpec, RepeatPlan, SpecError, StepSpec, TaskSize};
use prost::Message;
use std::collections::BTreeMap;
use std::time::Duration;
use wax_types::{StoreTime, TimePoint};

/// Present time on the clocks that an owner reads.
#[derive(Debug, Clone, Copy)]
pub struct OwnerClocks {
    /// Clock of the owner's process.
    pub now: TimePoint,
    /// Wall clock of the owner's VM, Unix milliseconds.
    pub wall_ms: u64,
    /// The store's clock; `None` if it is not known.
    pub store_time: Option<StoreTime>,
}

/// Job as accepted. Written once, by the front that accepted the job.
#[derive(Clone, PartialEq, Message)]
pub struct JobRow {
    /// Term in which the job was accepted. Owners of earlier terms never knew the job.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Name of the queue.
    #[prost(string, tag = "2")]
    pub queue: String,
    /// Service of the queue at the time of acceptance.
    #[prost(string, tag = "3")]
    pub service: String,
    /// Time of acceptance, Unix milliseconds by the front's wall clock. Used only if
    /// `accepted_store_ms` is missing.
    #[prost(uint64, tag = "4")]
    pub accepted_ms: u64,
    /// Text that is passed on to the workers unchanged.
    #[prost(string, tag = "5")]
    pub text: String,
    /// Steps in the order of the specification.
    #[prost(message, repeated, tag = "6")]
    pub steps: Vec<StepRow>,
    /// Number of occurrences; 0 for a job that runs once.
    #[prost(uint32, tag = "7")]
    pub repeat_count: u32,
    /// Time at which the first occurrence is due, Unix milliseconds.
    #[prost(uint64, tag = "8")]
    pub repeat_first_ms: u64,
    /// Interval between two occurrences, milliseconds.
    #[prost(uint64, tag = "9")]
    pub repeat_interval_ms: u64,
    /// Identifies the front that wrote the row and the time of the write, so that the front
    /// recognizes its own write.
    #[prost(fixed64, tag = "10")]
    pub nonce: u64,
    /// Time of acceptance on the store's clock, in milliseconds; `None` if the front did not know it.
    #[prost(uint64, optional, tag = "11")]
    pub accepted_store_ms: Option<u64>,
    /// Rules of the queue at the time of acceptance; `None` in rows of releases that did not store
    /// them.
    #[prost(message, optional, tag = "12")]
    pub rules: Option<QueueRulesRow>,
}

/// Rules of a queue in a [`JobRow`], as far as they concern its jobs.
#[derive(Clone, PartialEq, Message)]
pub struct QueueRulesRow {
    /// Version of the config that the rules are from.
    #[prost(uint64, tag = "1")]
    config_version: u64,
    #[prost(uint32, tag = "2")]
    priority: u32,
    #[prost(uint32, tag = "3")]
    max_attempts: u32,
    #[prost(double, tag = "4")]
    stretch: f64,
    #[prost(uint32, tag = "5")]
    target_latency_ms: u32,
    #[prost(message, optional, tag = "6")]
    advice: Option<AdviceRow>,
}

/// Rules of the placement advisor in a [`QueueRulesRow`].
#[derive(Clone, Copy, PartialEq, Message)]
struct AdviceRow {
    #[prost(double, tag = "1")]
    decision_ms: f64,
    #[prost(double, tag = "2")]
    per_worker_ms: f64,
    #[prost(uint64, tag = "3")]
    validity_ms: u64,
}

impl From<&VersionedRules> for QueueRulesRow {
    fn from(versioned: &VersionedRules) -> Self {
        let rules = &versioned.rules;
        Self {
            config_version: versioned.version,
            priority: rules.priority,
            max_attempts: rules.max_attempts,
            stretch: rules.stretch,
            target_latency_ms: rules.target_latency_ms,
            advice: rules.advice.map(|advice| AdviceRow {
                decision_ms: advice.decision_ms,
                per_worker_ms: advice.per_worker_ms,
                validity_ms: advice.validity_ms,
            }),
        }
    }
}

/// One step of a [`JobRow`].
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
            // An index out of range stays one, so that it is found invalid.
            after: row
                .after
                .iter()
                .map(|step| u16::try_from(*step).unwrap_or(u16::MAX))
                .collect(),
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
    /// Returns the row of a newly accepted job. The term is left at 0.
    pub fn new(spec: &JobSpec, rules: &VersionedRules, accepted_ms: u64, nonce: u64) -> Self {
        Self {
            epoch: 0,
            queue: rules.rules.name.to_string(),
            service: rules.rules.service.to_string(),
            accepted_ms,
            text: spec.text.to_string(),
            steps: spec.steps.iter().map(Into::into).collect(),
            repeat_count: spec.repeat.map_or(0, |plan| plan.count),
            repeat_first_ms: spec.repeat.map_or(0, |plan| plan.first_ms),
            repeat_interval_ms: spec.repeat.map_or(0, |plan| plan.interval_ms),
            nonce,
            accepted_store_ms: None,
            rules: Some(rules.into()),
        }
    }

    /// Returns the rules of the queue at the time of acceptance, without those for routing requests;
    /// `None` if the row does not have them.
    pub fn rules_at_acceptance(&self) -> Option<VersionedRules> {
        let row = self.rules.as_ref()?;
        let rules = QueueRules {
            name: self.queue.as_str().into(),
            host: "".into(),
            prefix: "".into(),
            service: self.service.as_str().into(),
            priority: row.priority,
            max_attempts: row.max_attempts,
            stretch: row.stretch,
            target_latency_ms: row.target_latency_ms,
            timeout_ms: 0,
            advice: row.advice.map(|advice| AdviceRules {
                decision_ms: advice.decision_ms,
                per_worker_ms: advice.per_worker_ms,
                validity_ms: advice.validity_ms,
            }),
        };
        Some(VersionedRules {
            version: row.config_version,
            rules: rules.into(),
        })
    }

    /// Returns the time since the job was accepted. The clocks of two VMs may differ, so the store's
    /// clock goes first.
    pub fn age(&self, clocks: &OwnerClocks) -> Duration {
        match self.accepted_store_ms.zip(clocks.store_time) {
            Some((accepted_ms, now)) => now.since(StoreTime(accepted_ms)),
            None => Duration::from_millis(clocks.wall_ms.saturating_sub(self.accepted_ms)),
        }
    }

    /// Checks the bounds that every accepted job respects. A row that exceeds them was not written by
    /// a front.
    ///
    /// # Errors
    ///
    /// The first violation that is found.
    pub fn validate(&self) -> Result<(), SpecError> {
        self.clone().into_spec().validate()
    }

    /// Returns the job as its caller submitted it.
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

/// Outcome of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum JobOutcome {
    /// The job has not ended.
    Open = 0,
    /// All tasks have completed.
    Completed = 1,
    /// A task failed too often or crashed its workers, or no worker can ever run it.
    Failed = 2,
    /// The caller has cancelled the job.
    Cancelled = 3,
}

/// Stored progress of a job: its head row. Written only by the owner of the job's shard.
#[derive(Clone, PartialEq, Message)]
pub struct JobProgress {
    /// Outcome of the job, as a [`JobOutcome`].
    #[prost(enumeration = "JobOutcome", tag = "1")]
    pub outcome: i32,
    /// Number of the first occurrence that is not done.
    #[prost(uint32, tag = "2")]
    pub done_before: u32,
    /// Occurrences in progress.
    #[prost(message, repeated, tag = "3")]
    pub occurrences: Vec<OccurrenceProgress>,
    /// Time of the end, Unix milliseconds by the owner's wall clock; 0 while the job is open. For
    /// logs, and for owners of releases that count the age of the row from it.
    #[prost(uint64, tag = "4")]
    pub ended_ms: u64,
    /// Number of the first occurrence that has not been started: the others before it that are not
    /// in `occurrences` are done. Earlier releases leave it 0 and list all occurrences from
    /// `done_before` on that have been started.
    #[prost(uint32, tag = "5")]
    pub next_occurrence: u32,
}

/// Progress of a job as read from the store.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct StoredProgress {
    /// Content of the row.
    pub progress: JobProgress,
    /// Version of the row.
    pub version: u64,
    /// Content of the part rows, by number.
    pub parts: BTreeMap<u64, PartProgress>,
}

impl StoredProgress {
    /// Returns the content of all rows.
    pub(crate) fn rows(&self) -> BTreeMap<ProgressRow, Box<[u8]>> {
        let parts = self.parts.iter();
        let parts = parts.map(|(row, part)| (ProgressRow::Part(*row), part.encode_to_vec()));
        let head = (ProgressRow::Head, self.progress.encode_to_vec());
        let rows = parts.chain([head]);
        rows.map(|(row, value)| (row, value.into())).collect()
    }
}

/// Progress of consecutive tasks of a job that has more of them than a row has room for.
#[derive(Clone, PartialEq, Message)]
pub struct PartProgress {
    #[prost(message, repeated, tag = "1")]
    segments: Vec<SegmentProgress>,
}

/// Progress of the tasks of one step in a [`PartProgress`].
#[derive(Clone, PartialEq, Message)]
struct SegmentProgress {
    /// Number of the occurrence.
    #[prost(uint32, tag = "1")]
    occurrence: u32,
    /// Index of the step in the specification.
    #[prost(uint32, tag = "2")]
    step: u32,
    /// The tasks count from the first one in the row.
    #[prost(message, required, tag = "3")]
    progress: StepProgress,
}

impl PartProgress {
    /// Adds the progress of the tasks of one step.
    pub(crate) fn add(&mut self, occurrence: u32, step: u32, progress: StepProgress) {
        self.segments.push(SegmentProgress {
            occurrence,
            step,
            progress,
        });
    }

    /// Returns the progress by occurrence and step.
    pub(crate) fn steps(&self) -> impl Iterator<Item = (u32, usize, &StepProgress)> {
        let segments = self.segments.iter();
        segments.map(|part| (part.occurrence, part.step as usize, &part.progress))
    }

    /// Returns the failures of all tasks for changes.
    pub(crate) fn failures_mut(&mut self) -> impl Iterator<Item = &mut Vec<TaskFailures>> {
        let segments = self.segments.iter_mut();
        segments.map(|part| &mut part.progress.failures)
    }
}

/// Progress of one occurrence in a [`JobProgress`].
#[derive(Clone, PartialEq, Message)]
pub struct OccurrenceProgress {
    /// Number of the occurrence.
    #[prost(uint32, tag = "1")]
    pub number: u32,
    /// Steps in the order of the specification, up to the last one with progress.
    #[prost(message, repeated, tag = "2")]
    pub steps: Vec<StepProgress>,
}

/// Progress of one step in an [`OccurrenceProgress`].
#[derive(Clone, PartialEq, Message)]
pub struct StepProgress {
    /// Whether all tasks are done; `done` is then empty.
    #[prost(bool, tag = "1")]
    pub all_done: bool,
    /// Bit set of the tasks that are done, lowest bit first.
    #[prost(bytes = "vec", tag = "2")]
    pub done: Vec<u8>,
    /// Tasks with failed runs or with runs that ended in a crash of their worker.
    #[prost(message, repeated, tag = "3")]
    pub failures: Vec<TaskFailures>,
}

/// Failed and crashed runs of one task.
#[derive(Clone, PartialEq, Message)]
pub struct TaskFailures {
    /// Index of the task within its step.
    #[prost(uint32, tag = "1")]
    pub index: u32,
    /// Numbers of the failed runs. A list rather than a count, so that an end that is reported
    /// twice counts once.
    #[prost(uint64, repeated, tag = "2")]
    pub runs: Vec<u64>,
    /// Runs that ended in a crash of their worker.
    #[prost(message, repeated, tag = "3")]
    pub crashes: Vec<TaskCrash>,
}

/// Run that ended in a crash of its worker.
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
    /// Returns whether the task is done.
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
