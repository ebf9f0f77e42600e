//! The life of a job in its owner's memory: occurrences, steps, tasks.

use crate::blame::{CrashBlame, CrashedRun};
use crate::names::JobName;
use crate::progress::{JobOutcome, JobProgress, OccurrenceProgress, StepProgress, TaskFailures};
use crate::queue::QueueRules;
use crate::spec::{JobSpec, StepSpec};
use crate::why::WaitReason;
use crate::worker::WorkerKey;
use std::collections::BTreeMap;
use std::rc::Rc;
use wax_types::TimePoint;

/// Where one task stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum TaskStand {
    /// It waits for a worker.
    #[default]
    Waiting,
    /// It was sent to a worker, and may run there.
    Placed(TaskSeat),
    /// It has ended with its result.
    Done,
}

/// Where a placed task is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskSeat {
    /// The worker.
    pub worker: WorkerKey,
    /// The number of the start.
    pub run: u64,
    /// When it was sent.
    pub since: TimePoint,
    /// Whether the worker has said that it runs.
    pub running: bool,
    /// Whether a stop was sent.
    pub stopping: bool,
    /// How much of its work is done, by the worker's last report.
    pub percent: u32,
    /// When `percent` last rose.
    pub moved: TimePoint,
}

/// One task.
#[derive(Debug, Clone, Default)]
pub struct TaskLife {
    /// Where it stands.
    pub stand: TaskStand,
    /// The numbers of runs that ended by a fault; kept for tasks that do not last.
    pub failed_runs: Vec<u64>,
    /// Its runs that ended with their workers.
    pub blame: CrashBlame,
    /// The number of its last start.
    pub last_run: u64,
    /// The checkpoint to resume from; empty for none.
    pub checkpoint: Box<str>,
    /// The worker of its last failed run, and until when it does not go back there.
    pub shuns: Option<(WorkerKey, TimePoint)>,
    /// Whether a worker listed a run of it as running in this term: no other worker has one.
    pub located: bool,
}

impl TaskLife {
    /// Whether it waits for a worker.
    pub fn is_waiting(&self) -> bool {
        matches!(self.stand, TaskStand::Waiting)
    }

    /// Its seat, if it is placed.
    pub fn seat(&self) -> Option<&TaskSeat> {
        match &self.stand {
            TaskStand::Placed(seat) => Some(seat),
            _ => None,
        }
    }

    /// Its seat, if it is placed.
    pub fn seat_mut(&mut self) -> Option<&mut TaskSeat> {
        match &mut self.stand {
            TaskStand::Placed(seat) => Some(seat),
            _ => None,
        }
    }
}

/// One step of an occurrence.
#[derive(Debug, Clone, Default)]
pub struct StepLife {
    /// Whether the steps that it waits for are done.
    pub open: bool,
    /// The tasks; empty until the step is open.
    pub tasks: Vec<TaskLife>,
    /// Since when a task of the step has waited that could be placed.
    pub since: TimePoint,
    /// How many tasks wait.
    pub waiting: u32,
    /// How many tasks are done.
    pub done: u32,
    /// Why its tasks wait, as last told, and when that was.
    pub told_wait: Option<(WaitReason, TimePoint)>,
    /// Not before this is it looked for a worker again: none took a task.
    pub look_at: Option<TimePoint>,
    /// Tasks on each worker, for steps that are kept apart.
    pub spread: BTreeMap<WorkerKey, u32>,
    /// Whether a run of it was listed as running in this term, or it was opened after such a step.
    pub outlived_takeover: bool,
    /// Whether no owner of an earlier term can have started its tasks.
    pub is_new_in_term: bool,
}

impl StepLife {
    /// Whether all tasks are done.
    pub fn is_done(&self, spec: &StepSpec) -> bool {
        self.done >= spec.count
    }

    /// Opens the step: its tasks may be placed.
    pub fn open(&mut self, spec: &StepSpec, now: TimePoint) {
        self.open = true;
        self.since = now;
        if self.tasks.is_empty() && !self.is_done(spec) {
            self.tasks = vec![TaskLife::default(); spec.count as usize];
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
            if matches!(task.stand, TaskStand::Done) {
                progress.mark_done(index as u32);
            }
            let counts_failures = !task.failed_runs.is_empty() && !spec.lasts;
            if counts_failures || !task.blame.is_empty() {
                progress.failures.push(TaskFailures {
                    index: index as u32,
                    runs: task.failed_runs.clone(),
                    crashes: task.blame.runs.iter().map(Into::into).collect(),
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
        self.tasks = vec![TaskLife::default(); spec.count as usize];
        self.waiting = spec.count;
        for (index, task) in self.tasks.iter_mut().enumerate() {
            if progress.is_done(index as u32) {
                task.stand = TaskStand::Done;
                self.done += 1;
                self.waiting -= 1;
            }
        }
        for failure in &progress.failures {
            if let Some(task) = self.tasks.get_mut(failure.index as usize) {
                let failed = failure.runs.iter().copied().max().unwrap_or(0);
                task.failed_runs.clone_from(&failure.runs);
                task.blame.runs = failure.crashes.iter().map(CrashedRun::from).collect();
                task.last_run = failed.max(task.blame.last_run());
            }
        }
    }
}

/// One occurrence of a job's steps.
#[derive(Debug, Clone)]
pub struct OccurrenceLife {
    /// The steps, in order.
    pub steps: Vec<StepLife>,
    /// When it was due; the acceptance for a job that runs once.
    pub due: TimePoint,
}

impl OccurrenceLife {
    pub(crate) fn new(spec: &JobSpec, due: TimePoint) -> Self {
        Self {
            steps: vec![StepLife::default(); spec.steps.len()],
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
            let free = step_spec.after.iter().all(|earlier| {
                let earlier = usize::from(*earlier);
                self.steps[earlier].is_done(&spec.steps[earlier])
            });
            if free {
                // An earlier owner cannot have opened it: a task before it still ran in this term.
                let mut earlier = step_spec.after.iter().map(|step| usize::from(*step));
                let is_new = self.steps[number].tasks.is_empty()
                    && earlier.any(|step| self.steps[step].outlived_takeover);
                self.steps[number].is_new_in_term = is_new;
                self.steps[number].outlived_takeover |= is_new;
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
pub struct JobLife {
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
    pub occurrences: BTreeMap<u32, OccurrenceLife>,
    /// Occurrences before this one are done or under way.
    pub next_occurrence: u32,
    /// How it ended, in memory.
    pub outcome: JobOutcome,
    /// When it ended, Unix milliseconds.
    pub ended_ms: u64,
    /// How it ended, in the store: only this is shown to callers.
    pub stored_outcome: JobOutcome,
    /// Whether any of its tasks has begun.
    pub begun: bool,
    /// Why it failed.
    pub reason: Option<Box<str>>,
    /// Rises with each change that the store must learn.
    pub changes: u64,
    /// The value of `changes` that the store has.
    pub stored_changes: u64,
}

impl JobLife {
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
        tasks.any(|task| task.seat().is_some())
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
            let mut occurrence = OccurrenceLife::new(&self.spec, self.accepted);
            for (number, step) in kept.steps.iter().enumerate() {
                if let Some(spec) = self.spec.steps.get(number) {
                    occurrence.steps[number].restore(spec, step);
                }
            }
            self.begun = true;
            self.occurrences.insert(kept.number, occurrence);
            self.next_occurrence = self.next_occurrence.max(kept.number + 1);
        }
    }
}
