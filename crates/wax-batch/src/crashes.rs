//! Workers that crashed: which task was it, and where may a suspected one start.

use crate::blame::{CrashBlame, CrashPart, CrashScene, CrashVerdict, EARLY};
use crate::book::{JobBook, TaskAt, WorkerLife};
use crate::names::RunMark;
use crate::progress::JobOutcome;
use crate::worker::{LostRun, WorkerKey, WorkerState};
use std::time::Duration;
use wax_types::TimePoint;

/// Suspected tasks are started on at most one of so many workers of a service at a time: each may
/// end its worker, and what runs beside it.
const WORKERS_PER_TRIAL: usize = 3;
/// A machine whose worker has just crashed, under whatever ran there, is taken late for such a task: it
/// may go down and up by turns. In shares of a worker's processors; falls to nothing over the span.
const CRASHED_COST: f64 = 5.0;
const CRASHED_SPAN: Duration = Duration::from_secs(30);
/// A machine whose worker crashes again within this may go down and up by turns.
const AGAIN_WITHIN: Duration = Duration::from_secs(6);
/// The worker that is kept for a task is taken before any other, in shares of a worker's processors.
const KEPT_COST: f64 = -20.0;

/// A worker that is kept for a suspected task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WorkerTrial {
    /// Until this task is started there, once no other start is near.
    Reserved { task: TaskAt, until: TimePoint },
    /// Until its run has ended or has run for a while.
    Running { mark: RunMark, until: TimePoint },
}

/// What was made of a run that ended with its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashNote {
    /// The run.
    pub mark: RunMark,
    /// For how long it surely ran.
    pub ran: Duration,
    /// How many workers have ended under its task.
    pub crashes: usize,
    /// The outcome.
    pub verdict: CrashVerdict,
}

impl WorkerLife {
    /// Whether it is kept for the trial of another task than this one; `None` stands for any task under which
    /// no worker has ended.
    pub(crate) fn is_kept_from(&self, at: Option<TaskAt>, now: TimePoint) -> bool {
        match self.trial {
            Some(WorkerTrial::Reserved { task, until }) => now < until && Some(task) != at,
            Some(WorkerTrial::Running { mark, until }) => {
                // One that fell silent may have ended by this run: that shows once it is back.
                let is_open = now < until || self.view.state == WorkerState::Silent;
                is_open && self.runs.contains_key(&mark)
            }
            None => false,
        }
    }

    /// What it costs, beside [`WorkerLife::cost`], to start a task here under which workers have ended.
    pub(crate) fn blame_cost(
        &self,
        at: TaskAt,
        is_suspected: bool,
        crashed: Option<TimePoint>,
        now: TimePoint,
    ) -> f64 {
        let mut cost = 0.0;
        if let Some(at) = crashed {
            let age = now.since(at).div_duration_f64(CRASHED_SPAN);
            cost += CRASHED_COST * (1.0 - age.min(1.0));
        }
        if is_suspected {
            // What runs beside it may be lost with the worker.
            cost += self.booked_share();
        }
        if let Some(WorkerTrial::Reserved { task, until }) = self.trial
            && task == at
            && now < until
        {
            cost += KEPT_COST;
        }
        cost
    }
}

impl JobBook {
    /// A worker of a machine crashed under these runs. Each counts once, however often and by whomever
    /// it is told; a task that is found to be the cause fails its job.
    pub fn worker_crashed(
        &mut self,
        machine: &str,
        runs: &[LostRun],
        now: TimePoint,
        now_ms: u64,
    ) -> Vec<CrashNote> {
        self.crashed.retain(|_, at| now.since(*at) < CRASHED_SPAN);
        let before = self.crashed.insert(machine.into(), now);
        let again = before.is_some_and(|at| now.since(at) < AGAIN_WITHIN);
        let known = runs.iter().filter_map(|lost| Some((lost.mark, lost.ran?)));
        let known: Vec<(RunMark, Duration)> = known.collect();
        let scene = CrashScene { machine, again };
        let mut notes = Vec::with_capacity(known.len());
        for (mark, ran) in &known {
            let near = known.iter().filter(|(_, other)| *other < *ran + EARLY);
            let alone = near.count() == 1;
            let note = self.note_crash((*mark, *ran), alone, scene, (now, now_ms));
            notes.extend(note);
        }
        notes
    }

    fn note_crash(
        &mut self,
        (mark, ran): (RunMark, Duration),
        alone: bool,
        scene: CrashScene<'_>,
        (now, now_ms): (TimePoint, u64),
    ) -> Option<CrashNote> {
        let at = self.task_at(mark.task, now)?;
        let job = &self.jobs[at.step.job];
        let part = CrashPart {
            run: mark.run,
            ran,
            alone,
            machines: self.workers_of(&job.queue.service),
            lasts: job.spec.steps[usize::from(at.step.step)].lasts,
        };
        let task = self.task_mut(at)?;
        let before = task.blame.clone();
        let verdict = task.blame.note(part, scene, now);
        task.last_run = task.last_run.max(mark.run);
        let crashes = task.blame.crashes();
        if task.blame != before {
            self.touch(at.step.job);
        }
        if verdict == CrashVerdict::GivenUp {
            let reason = format!("{crashes} workers ended under task {}", mark.task);
            self.end_job(at.step.job, JobOutcome::Failed, Some(reason.into()), now_ms);
        }
        Some(CrashNote {
            mark,
            ran,
            crashes,
            verdict,
        })
    }

    fn workers_of(&self, service: &str) -> usize {
        let workers = self.workers.values();
        let of_service = workers.filter(|worker| *worker.view.service == *service);
        of_service.count()
    }

    /// Whether a task is to start on machines only under which no worker has ended, and there is one.
    pub(crate) fn avoids_machines(
        &self,
        blame: &CrashBlame,
        service: &str,
        now: TimePoint,
    ) -> bool {
        let mut workers = self.workers.values();
        blame.avoids(now)
            && workers
                .any(|worker| *worker.view.service == *service && !blame.names(&worker.machine))
    }

    /// How long the next start of a task must have its worker to itself. Members of a gang start
    /// together wherever there is room: to wait for one worker each could keep them from ever starting.
    pub(crate) fn trial_of(&self, at: TaskAt) -> Option<Duration> {
        let job = self.jobs.get(at.step.job)?;
        let spec = &job.spec.steps[usize::from(at.step.step)];
        if spec.gang {
            return None;
        }
        let step = self.step_life(at.step)?;
        step.tasks.get(at.index as usize)?.blame.trial(spec.lasts)
    }

    /// Whether as many workers of a service are kept for trials as may be, but for this task's own.
    pub(crate) fn trials_are_full(&self, at: TaskAt, service: &str, now: TimePoint) -> bool {
        let workers = self.workers.values();
        let of_service = workers.filter(|worker| *worker.view.service == *service);
        let kept = of_service.filter(|worker| worker.is_kept_from(Some(at), now));
        kept.count() >= (self.workers_of(service) / WORKERS_PER_TRIAL).max(1)
    }

    /// Keeps a worker for a suspected task; says whether it can start there now, as the only one: a trial
    /// beside another fresh start proves nothing.
    pub(crate) fn reserve_trial(&mut self, at: TaskAt, worker: WorkerKey, now: TimePoint) -> bool {
        let Some(life) = self.workers.get_mut(worker) else {
            return false;
        };
        if now.since(life.last_start) >= EARLY {
            return true;
        }
        life.trial = Some(WorkerTrial::Reserved {
            task: at,
            until: now + EARLY + EARLY,
        });
        false
    }

    /// Notes a start on a worker, which has it to itself for the span of a trial.
    pub(crate) fn note_start(
        &mut self,
        worker: WorkerKey,
        mark: RunMark,
        trial: Option<Duration>,
        now: TimePoint,
    ) {
        let Some(life) = self.workers.get_mut(worker) else {
            return;
        };
        life.last_start = now;
        if let Some(span) = trial {
            let until = now + span;
            life.trial = Some(WorkerTrial::Running { mark, until });
        }
    }
}
