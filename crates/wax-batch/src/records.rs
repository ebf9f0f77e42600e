//! State that the owner keeps in memory of jobs, their occurrences, steps and tasks.

use crate::crash_history::{CrashHistory, CrashedRun};
use crate::job_rules::JobRules;
use crate::names::JobName;
use crate::progress::{JobOutcome, StepProgress};
use crate::progress_rows::ProgressRow;
use crate::reasons::WaitReason;
use crate::scheduler::RUNS_PER_TERM;
use crate::spec::{JobSpec, StepSpec};
use crate::worker::WorkerKey;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::rc::Rc;
use wax_types::TimePoint;

/// Number of a task's first start in the term in which its job was accepted. Starts in later terms
/// have higher numbers, whether or not there were any before.
const FIRST_RUN: u64 = 1;

/// Life-cycle state of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum TaskState {
    /// The task waits for a worker.
    #[default]
    Waiting,
    /// A start was sent to a worker, where the task may be running.
    Placed(TaskPlacement),
    /// A run of the task has completed.
    Done,
}

/// Placement of a task on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskPlacement {
    /// Worker that the task was placed on.
    pub worker: WorkerKey,
    /// Number of the start.
    pub run: u64,
    /// Time at which the start was sent, or the run was adopted.
    pub sent_at: TimePoint,
    /// Whether the worker has reported that the task runs.
    pub running: bool,
    /// Whether a stop of the run was ordered.
    pub stop_ordered: bool,
    /// Share of the work that is done, in percent, as last reported by the worker.
    pub percent: u32,
    /// Time of the last increase of `percent`, or of the start before the first increase.
    pub progressed_at: TimePoint,
    /// Whether the last report gave 100 percent; a long-running task is then working. Unlike
    /// `percent`, this follows a decrease.
    pub working: bool,
    /// Whether the run was found on its worker, so that its start time is unknown.
    pub adopted: bool,
}

/// State of one task.
#[derive(Debug, Clone, Default)]
pub struct TaskRecord {
    /// Life-cycle state.
    pub state: TaskState,
    /// Numbers of the failed runs. Always empty for long-running tasks.
    pub failed_runs: Vec<u64>,
    /// Runs that ended in a crash of their worker.
    pub crash_history: CrashHistory,
    /// Number of the last start; 0 before the first.
    pub last_run: u64,
    /// Checkpoint to resume from; empty for none.
    pub checkpoint: Box<str>,
    /// Worker of the last failed run, and the time until which the task may not return there.
    pub excluded_worker: Option<(WorkerKey, TimePoint)>,
    /// Run of the task that a worker was the first to list as running in this term; `None` if none
    /// has. No other worker has a run of it, but one may have the end of an earlier run.
    pub located_run: Option<u64>,
    /// Whether no owner of an earlier term can learn of an end of the task: a worker has listed the
    /// task's first run as running in this term. A later run does not show this, because the first
    /// one may have completed before its leases expired, and an earlier owner may learn of it late.
    pub ends_in_term: bool,
}

impl TaskRecord {
    /// Returns whether the task waits for a worker.
    pub fn is_waiting(&self) -> bool {
        matches!(self.state, TaskState::Waiting)
    }

    /// Returns whether the workers differ for the task by its failed runs or crashes.
    pub(crate) fn has_failures(&self) -> bool {
        self.excluded_worker.is_some() || !self.crash_history.is_empty()
    }

    /// Returns how many runs of a located task may have ended `failed` without the owner's knowledge:
    /// those before the listed one, without the runs whose ends are known from `failures` or from
    /// crashes. Runs after `last_earlier_run` are of this term, so that the owner knows their ends.
    pub(crate) fn max_unknown_failures(&self, failures: &[u64], last_earlier_run: u64) -> u64 {
        let Some(located) = self.located_run.filter(|run| *run <= last_earlier_run) else {
            return 0;
        };
        if located > RUNS_PER_TERM {
            // The number does not tell how many runs there were in the terms before.
            return u64::MAX;
        }
        let crashes = self.crash_history.runs.iter().map(|crashed| crashed.run);
        let known: BTreeSet<u64> = failures.iter().copied().chain(crashes).collect();
        let known_before = known.range(..located).count() as u64;
        (located - FIRST_RUN).saturating_sub(known_before)
    }

    /// Returns the task's placement, if it has one.
    pub fn placement(&self) -> Option<&TaskPlacement> {
        match &self.state {
            TaskState::Placed(placement) => Some(placement),
            _ => None,
        }
    }

    /// Returns the task's placement for changes, if it has one.
    pub fn placement_mut(&mut self) -> Option<&mut TaskPlacement> {
        match &mut self.state {
            TaskState::Placed(placement) => Some(placement),
            _ => None,
        }
    }
}

/// State of one step of an occurrence.
#[derive(Debug, Clone, Default)]
pub struct StepRecord {
    /// Whether all steps that this step depends on are done.
    pub open: bool,
    /// Tasks of the step; empty until they are needed, and again once all are done.
    pub tasks: Vec<TaskRecord>,
    /// Time since which a task of the step that could be placed has waited.
    pub waiting_since: TimePoint,
    /// Number of tasks that wait.
    pub waiting: u32,
    /// Number of tasks that are done.
    pub done: u32,
    /// Last reported reason of the wait, and the time of the report.
    pub reported_wait: Option<(WaitReason, TimePoint)>,
    /// Earliest time of the next search for a worker, set after a search on a large pool found
    /// none.
    pub next_check: Option<TimePoint>,
    /// Number of the step's tasks on each worker.
    pub spread: BTreeMap<WorkerKey, u32>,
    /// Whether no owner of an earlier term can learn that the step is done; see
    /// [`StepRecord::record_location`].
    pub ends_in_term: bool,
    /// Whether no owner of an earlier term can have started tasks of this step.
    pub is_new_in_term: bool,
}

impl StepRecord {
    /// Returns whether all tasks are done.
    pub fn is_done(&self, spec: &StepSpec) -> bool {
        self.done >= spec.count
    }

    /// Records that a worker has listed a run of a task as running in this term.
    ///
    /// The worker's agent has left the owners of earlier terms, so that none of them learns the end
    /// of this run. A step of plain tasks is done only once each task has ended, so that one such
    /// task is enough; the end of a single member completes a gang, so that all must be listed.
    pub(crate) fn record_location(&mut self, spec: &StepSpec, index: u32, run: u64) {
        let Some(task) = self.tasks.get_mut(index as usize) else {
            return;
        };
        task.located_run.get_or_insert(run);
        task.ends_in_term |= run == FIRST_RUN;
        let mut tasks = self.tasks.iter();
        self.ends_in_term |= match spec.gang {
            true => tasks.all(|task| task.ends_in_term),
            false => tasks.any(|task| task.ends_in_term),
        };
    }

    /// Returns whether one more task of the step may run on a worker.
    pub(crate) fn allows_task_on(&self, spec: &StepSpec, worker: WorkerKey) -> bool {
        let tasks_here = self.spread.get(&worker).copied().unwrap_or(0);
        spec.max_per_worker == 0 || tasks_here < spec.max_per_worker
    }

    /// Opens the step, so that its tasks may be placed.
    pub fn open(&mut self, spec: &StepSpec, now: TimePoint) {
        self.open = true;
        self.waiting_since = now;
        if self.tasks.is_empty() && !self.is_done(spec) {
            self.tasks = vec![TaskRecord::default(); spec.count as usize];
            self.waiting = spec.count;
        }
    }

    /// Restores the stored progress of some tasks, whose numbers count from the first one.
    pub(crate) fn restore(&mut self, spec: &StepSpec, tasks: Range<u32>, progress: &StepProgress) {
        if progress.all_done {
            self.done = spec.count;
            return;
        }
        let is_empty = progress.done.is_empty() && progress.failures.is_empty();
        if is_empty || self.is_done(spec) {
            return;
        }
        if self.tasks.is_empty() {
            self.tasks = vec![TaskRecord::default(); spec.count as usize];
            self.waiting = spec.count;
        }
        let records = self.tasks.iter_mut().skip(tasks.start as usize);
        for (index, task) in (0..tasks.end - tasks.start).zip(records) {
            if progress.is_done(index) {
                task.state = TaskState::Done;
                self.done += 1;
                self.waiting -= 1;
            }
        }
        for failure in &progress.failures {
            let index = tasks.start as usize + failure.index as usize;
            if let Some(task) = self.tasks.get_mut(index) {
                let failed = failure.runs.iter().copied().max().unwrap_or(0);
                task.failed_runs.clone_from(&failure.runs);
                task.crash_history.runs = failure.crashes.iter().map(CrashedRun::from).collect();
                task.last_run = failed.max(task.crash_history.last_run());
            }
        }
    }
}

/// State of one occurrence of a job.
#[derive(Debug, Clone)]
pub struct OccurrenceRecord {
    /// State of the steps, in the order of the specification.
    pub steps: Vec<StepRecord>,
    /// Time at which the occurrence was due; the time of acceptance for a job that runs once.
    pub due: TimePoint,
    /// Whether the occurrence has begun as a whole, or a run of it was adopted; see
    /// [`SharingRules`](wax_policy::SharingRules).
    pub begun: bool,
}

impl OccurrenceRecord {
    pub(crate) fn new(spec: &JobSpec, due: TimePoint) -> Self {
        Self {
            steps: vec![StepRecord::default(); spec.steps.len()],
            due,
            begun: false,
        }
    }

    /// Opens the steps whose prerequisites are done. Returns their indexes.
    pub(crate) fn open_steps(&mut self, spec: &JobSpec, now: TimePoint) -> Vec<u16> {
        let mut opened = Vec::new();
        for (number, step_spec) in spec.steps.iter().enumerate() {
            if self.steps[number].open {
                continue;
            }
            let can_open = step_spec.after.iter().all(|earlier| {
                let earlier = usize::from(*earlier);
                self.steps[earlier].is_done(&spec.steps[earlier])
            });
            if can_open {
                // No earlier owner can learn that this prerequisite is done, so none can open this
                // step.
                let mut earlier = step_spec.after.iter().map(|step| usize::from(*step));
                let is_new = self.steps[number].tasks.is_empty()
                    && earlier.any(|step| self.steps[step].ends_in_term);
                self.steps[number].is_new_in_term = is_new;
                self.steps[number].ends_in_term |= is_new;
                self.steps[number].open(step_spec, now);
                opened.push(number as u16);
            }
        }
        opened
    }

    pub(crate) fn is_done(&self, spec: &JobSpec) -> bool {
        let mut pairs = self.steps.iter().zip(spec.steps.iter());
        pairs.all(|(step, step_spec)| step.is_done(step_spec))
    }
}

/// State of one job.
#[derive(Debug, Clone)]
pub struct JobRecord {
    /// Name of the job.
    pub name: JobName,
    /// Specification as the caller submitted it.
    pub spec: Rc<JobSpec>,
    /// Rules of the job's queue.
    pub rules: JobRules,
    /// Term in which the job was accepted.
    pub epoch: u64,
    /// Time of acceptance, converted from the store's clock.
    pub accepted: TimePoint,
    /// Occurrences in progress, by number. All others before `next_occurrence` are done.
    pub occurrences: BTreeMap<u32, OccurrenceRecord>,
    /// Number of the first occurrence that has not been started yet.
    pub next_occurrence: u32,
    /// Outcome in memory; it may not be stored yet.
    pub outcome: JobOutcome,
    /// Time of the end, Unix milliseconds, for logs; 0 while the job is open.
    pub ended_ms: u64,
    /// Outcome in the store. Only this outcome is shown to callers.
    pub stored_outcome: JobOutcome,
    /// Version of the store in which the end was first stored; `None` until then. The state is kept
    /// for a retention time from this version on.
    pub end_version: Option<u64>,
    /// When this owner learned that the end is stored; `None` for an end that an earlier owner
    /// stored.
    pub end_stored_at: Option<TimePoint>,
    /// Whether any task of the job has started.
    pub started: bool,
    /// Reason of a failure.
    pub reason: Option<Box<str>>,
    /// Number of changes that must be stored.
    pub changes: u64,
    /// Value of `changes` at the last successful write to the store.
    pub stored_changes: u64,
    /// Content of the progress rows that the store holds.
    pub(crate) stored_rows: BTreeMap<ProgressRow, Box<[u8]>>,
}

impl JobRecord {
    /// Returns whether the job has ended in memory.
    pub fn is_over(&self) -> bool {
        self.outcome != JobOutcome::Open
    }

    /// Returns whether any task of the job is placed on a worker.
    pub fn has_placed(&self) -> bool {
        let steps = self
            .occurrences
            .values()
            .flat_map(|occurrence| &occurrence.steps);
        let mut tasks = steps.flat_map(|step| &step.tasks);
        tasks.any(|task| task.placement().is_some())
    }
}
