//! The life of a job in its owner's memory: occurrences, steps, tasks.

use crate::crash_history::{CrashHistory, CrashedRun};
use crate::names::JobName;
use crate::progress::{JobOutcome, JobProgress, OccurrenceProgress, StepProgress, TaskFailures};
use crate::queue::QueueRules;
use crate::reasons::WaitReason;
use crate::spec::{JobSpec, StepSpec};
use crate::worker::WorkerKey;
use std::collections::BTreeMap;
use std::rc::Rc;
use wax_types::TimePoint;

/// Where one task stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum TaskState {
    /// It waits for a worker.
    #[default]
    Waiting,
    /// It was sent to a worker, and may run there.
    Placed(TaskPlacement),
    /// It has ended with its result.
    Done,
}

/// Where a placed task is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskPlacement {
    /// The worker.
    pub worker: WorkerKey,
    /// The number of the start.
    pub run: u64,
    /// When it was sent.
    pub sent_at: TimePoint,
    /// Whether the worker has said that it runs.
    pub running: bool,
    /// Whether a stop was sent.
    pub stop_ordered: bool,
    /// How much of its work is done, by the worker's last report.
    pub percent: u32,
    /// When `percent` last rose.
    pub progressed_at: TimePoint,
}

/// One task.
#[derive(Debug, Clone, Default)]
pub struct TaskRecord {
    /// Where it stands.
    pub state: TaskState,
    /// The numbers of runs that ended by a fault; kept for tasks that do not last.
    pub failed_runs: Vec<u64>,
    /// Its runs that ended with their workers.
    pub crash_history: CrashHistory,
    /// The number of its last start.
    pub last_run: u64,
    /// The checkpoint to resume from; empty for none.
    pub checkpoint: Box<str>,
    /// The worker of its last failed run, and until when it does not go back there.
    pub excluded_worker: Option<(WorkerKey, TimePoint)>,
    /// Whether a worker listed a run of it as running in this term: no other worker has one.
    pub located_in_term: bool,
}

impl TaskRecord {
    /// Whether it waits for a worker.
    pub fn is_waiting(&self) -> bool {
        matches!(self.state, TaskState::Waiting)
    }

    /// Its seat, if it is placed.
    pub fn placement(&self) -> Option<&TaskPlacement> {
        match &self.state {
            TaskState::Placed(placement) => Some(placement),
            _ => None,
        }
    }

    /// Its seat, if it is placed.
    pub fn placement_mut(&mut self) -> Option<&mut TaskPlacement> {
        match &mut self.state {
            TaskState::Placed(placement) => Some(placement),
            _ => None,
        }
    }
}

/// One step of an occurrence.
#[derive(Debug, Clone, Default)]
pub struct StepRecord {
    /// Whether the steps that it waits for are done.
    pub open: bool,
    /// The tasks; empty until the step is open.
    pub tasks: Vec<TaskRecord>,
    /// Since when a task of the step has waited that could be placed.
    pub waiting_since: TimePoint,
    /// How many tasks wait.
    pub waiting: u32,
    /// How many tasks are done.
    pub done: u32,
    /// Why its tasks wait, as last told, and when that was.
    pub reported_wait: Option<(WaitReason, TimePoint)>,
    /// Not before this is it looked for a worker again: none took a task.
    pub next_check: Option<TimePoint>,
    /// Tasks on each worker, for steps that are kept apart.
    pub spread: BTreeMap<WorkerKey, u32>,
    /// Whether a run of it was listed as running in this term, or it was opened after such a step.
    pub confirmed_in_term: bool,
    /// Whether no owner of an earlier term can have started its tasks.
    pub is_new_in_term: bool,
}

impl StepRecord {
    /// Whether all tasks are done.
    pub fn is_done(&self, spec: &StepSpec) -> bool {
        self.done >= spec.count
    }

    /// Opens the step: its tasks may be placed.
    pub fn open(&mut self, spec: &StepSpec, now: TimePoint) {
        self.open = true;
        self.waiting_since = now;
        if self.tasks.is_empty() && !self.is_done(spec) {
            self.tasks = vec![TaskRecord::default(); spec.count as usize];
            self.waiting = spec.count;
        }
    }

    fn progress(&self, spec: &StepSpec) -> StepProgress {
        let mut progress = StepProgress::default();
        if self.is_done(spec) {
            progress.all_done = true;
            return progress;
        }
        for (index, task) in self.tasks.iter().enumerate() {
            if matches!(task.state, TaskState::Done) {
                progress.mark_done(index as u32);
            }
            let counts_failures = !task.failed_runs.is_empty() && !spec.long_running;
            if counts_failures || !task.crash_history.is_empty() {
                progress.failures.push(TaskFailures {
                    index: index as u32,
                    runs: task.failed_runs.clone(),
                    crashes: task.crash_history.runs.iter().map(Into::into).collect(),
                });
            }
        }
        progress
    }

    fn restore(&mut self, spec: &StepSpec, progress: &StepProgress) {
        if progress.all_done {
            self.done = spec.count;
            return;
        }
        if progress.done.is_empty() && progress.failures.is_empty() {
            return;
        }
        self.tasks = vec![TaskRecord::default(); spec.count as usize];
        self.waiting = spec.count;
        for (index, task) in self.tasks.iter_mut().enumerate() {
            if progress.is_done(index as u32) {
                task.state = TaskState::Done;
                self.done += 1;
                self.waiting -= 1;
            }
        }
        for failure in &progress.failures {
            if let Some(task) = self.tasks.get_mut(failure.index as usize) {
                let failed = failure.runs.iter().copied().max().unwrap_or(0);
                task.failed_runs.clone_from(&failure.runs);
                task.crash_history.runs = failure.crashes.iter().map(CrashedRun::from).collect();
                task.last_run = failed.max(task.crash_history.last_run());
            }
        }
    }
}

/// One occurrence of a job's steps.
#[derive(Debug, Clone)]
pub struct OccurrenceRecord {
    /// The steps, in order.
    pub steps: Vec<StepRecord>,
    /// When it was due; the acceptance for a job that runs once.
    pub due: TimePoint,
}

impl OccurrenceRecord {
    pub(crate) fn new(spec: &JobSpec, due: TimePoint) -> Self {
        Self {
            steps: vec![StepRecord::default(); spec.steps.len()],
            due,
        }
    }

    /// Opens steps whose earlier steps are done; returns their numbers.
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
                // An earlier owner cannot have opened it: a task before it still ran in this term.
                let mut earlier = step_spec.after.iter().map(|step| usize::from(*step));
                let is_new = self.steps[number].tasks.is_empty()
                    && earlier.any(|step| self.steps[step].confirmed_in_term);
                self.steps[number].is_new_in_term = is_new;
                self.steps[number].confirmed_in_term |= is_new;
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

/// One job.
#[derive(Debug, Clone)]
pub struct JobRecord {
    /// Its name.
    pub name: JobName,
    /// What its caller asked for.
    pub spec: Rc<JobSpec>,
    /// Its queue's rules, of the newest version that has the queue.
    pub queue: Rc<QueueRules>,
    /// The service at the time of acceptance; the queue's newest goes first.
    pub service: Box<str>,
    /// The term in which it was accepted.
    pub epoch: u64,
    /// When it was accepted, as near as the owner knows.
    pub accepted: TimePoint,
    /// Occurrences under way, by number.
    pub occurrences: BTreeMap<u32, OccurrenceRecord>,
    /// Occurrences before this one are done or under way.
    pub next_occurrence: u32,
    /// How it ended, in memory.
    pub outcome: JobOutcome,
    /// When it ended, Unix milliseconds.
    pub ended_ms: u64,
    /// How it ended, in the store: only this is shown to callers.
    pub stored_outcome: JobOutcome,
    /// Whether any of its tasks has begun.
    pub started: bool,
    /// Why it failed.
    pub reason: Option<Box<str>>,
    /// Rises with each change that the store must learn.
    pub changes: u64,
    /// The value of `changes` that the store has.
    pub stored_changes: u64,
}

impl JobRecord {
    /// Whether it has ended, in memory.
    pub fn is_over(&self) -> bool {
        self.outcome != JobOutcome::Open
    }

    /// Whether any of its tasks is on a worker.
    pub fn has_placed(&self) -> bool {
        let steps = self
            .occurrences
            .values()
            .flat_map(|occurrence| &occurrence.steps);
        let mut tasks = steps.flat_map(|step| &step.tasks);
        tasks.any(|task| task.placement().is_some())
    }

    /// What the store must know.
    pub fn progress(&self) -> JobProgress {
        let mut progress = JobProgress {
            outcome: self.outcome.into(),
            ended_ms: self.ended_ms,
            ..Default::default()
        };
        if self.is_over() {
            return progress;
        }
        progress.done_before = self
            .occurrences
            .keys()
            .next()
            .copied()
            .unwrap_or(self.next_occurrence);
        for (number, occurrence) in &self.occurrences {
            let steps = occurrence.steps.iter().zip(self.spec.steps.iter());
            progress.occurrences.push(OccurrenceProgress {
                number: *number,
                steps: steps.map(|(step, spec)| step.progress(spec)).collect(),
            });
        }
        progress
    }

    /// Takes over what the store knows.
    pub(crate) fn restore(&mut self, progress: &JobProgress) {
        self.outcome = progress.outcome();
        self.stored_outcome = self.outcome;
        self.ended_ms = progress.ended_ms;
        self.next_occurrence = progress.done_before;
        for kept in &progress.occurrences {
            let mut occurrence = OccurrenceRecord::new(&self.spec, self.accepted);
            for (number, step) in kept.steps.iter().enumerate() {
                if let Some(spec) = self.spec.steps.get(number) {
                    occurrence.steps[number].restore(spec, step);
                }
            }
            self.started = true;
            self.occurrences.insert(kept.number, occurrence);
            self.next_occurrence = self.next_occurrence.max(kept.number + 1);
        }
    }
}
