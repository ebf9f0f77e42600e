//! Workers that crashed: which task was it, and where may a suspected one start.

use crate::crash_history::{
    CrashContext, CrashHistory, CrashVerdict, EARLY_CRASH_LIMIT, RunInCrash,
};
use crate::names::RunId;
use crate::progress::JobOutcome;
use crate::scheduler::{JobScheduler, TaskRef, WorkerRecord};
use crate::worker::{LostRun, WorkerKey, WorkerState};
use std::time::Duration;
use wax_types::TimePoint;

/// Suspected tasks are started on at most one of so many workers of a service at a time: each may
/// end its worker, and what runs beside it.
const WORKERS_PER_ISOLATION: usize = 3;
/// A machine whose worker has just crashed, under whatever ran there, is taken late for such a task: it
/// may go down and up by turns. In shares of a worker's processors; falls to nothing over the span.
const RECENT_CRASH_COST: f64 = 5.0;
const RECENT_CRASH_WINDOW: Duration = Duration::from_secs(30);
/// A machine whose worker crashes again within this may go down and up by turns.
const REPEATED_CRASH_WINDOW: Duration = Duration::from_secs(6);
/// The worker that is kept for a task is taken before any other, in shares of a worker's processors.
const RESERVED_WORKER_COST: f64 = -20.0;

/// A worker that is kept for a suspected task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WorkerIsolation {
    /// Until this task is started there, once no other start is near.
    Reserved { task: TaskRef, until: TimePoint },
    /// Until its run has ended or has run for a while.
    Running { run_id: RunId, until: TimePoint },
}

/// What was made of a run that ended with its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashFinding {
    /// The run.
    pub run_id: RunId,
    /// For how long it surely ran.
    pub min_run_time: Duration,
    /// How many workers have ended under its task.
    pub crashes: usize,
    /// The outcome.
    pub verdict: CrashVerdict,
}

impl WorkerRecord {
    /// Whether it is kept for the trial of another task than this one; `None` stands for any task under which
    /// no worker has ended.
    pub(crate) fn is_reserved_against(&self, task_ref: Option<TaskRef>, now: TimePoint) -> bool {
        match self.isolation {
            Some(WorkerIsolation::Reserved { task, until }) => {
                now < until && Some(task) != task_ref
            }
            Some(WorkerIsolation::Running { run_id, until }) => {
                // One that fell silent may have ended by this run: that shows once it is back.
                let is_open = now < until || self.view.state == WorkerState::Silent;
                is_open && self.runs.contains_key(&run_id)
            }
            None => false,
        }
    }

    /// What it costs, beside [`WorkerRecord::cost`], to start a task here under which workers have ended.
    pub(crate) fn crash_cost(
        &self,
        task_ref: TaskRef,
        is_suspected: bool,
        crashed: Option<TimePoint>,
        now: TimePoint,
    ) -> f64 {
        let mut cost = 0.0;
        if let Some(task_ref) = crashed {
            let age = now.since(task_ref).div_duration_f64(RECENT_CRASH_WINDOW);
            cost += RECENT_CRASH_COST * (1.0 - age.min(1.0));
        }
        if is_suspected {
            // What runs beside it may be lost with the worker.
            cost += self.reserved_share();
        }
        if let Some(WorkerIsolation::Reserved { task, until }) = self.isolation
            && task == task_ref
            && now < until
        {
            cost += RESERVED_WORKER_COST;
        }
        cost
    }
}

impl JobScheduler {
    /// A worker of a machine crashed under these runs. Each counts once, however often and by whomever
    /// it is told; a task that is found to be the cause fails its job.
    pub fn record_crash(
        &mut self,
        vm: &str,
        runs: &[LostRun],
        now: TimePoint,
        now_ms: u64,
    ) -> Vec<CrashFinding> {
        self.last_vm_crash
            .retain(|_, crashed_at| now.since(*crashed_at) < RECENT_CRASH_WINDOW);
        let before = self.last_vm_crash.insert(vm.into(), now);
        let repeated =
            before.is_some_and(|crashed_at| now.since(crashed_at) < REPEATED_CRASH_WINDOW);
        let known = runs
            .iter()
            .filter_map(|lost| Some((lost.run_id, lost.min_run_time?)));
        let known: Vec<(RunId, Duration)> = known.collect();
        let context = CrashContext { vm, repeated };
        let mut findings = Vec::with_capacity(known.len());
        for (run_id, min_run_time) in &known {
            let near = known
                .iter()
                .filter(|(_, other)| *other < *min_run_time + EARLY_CRASH_LIMIT);
            let is_only_recent_start = near.count() == 1;
            let finding = self.record_run_crash(
                (*run_id, *min_run_time),
                is_only_recent_start,
                context,
                (now, now_ms),
            );
            findings.extend(finding);
        }
        findings
    }

    fn record_run_crash(
        &mut self,
        (run_id, min_run_time): (RunId, Duration),
        is_only_recent_start: bool,
        context: CrashContext<'_>,
        (now, now_ms): (TimePoint, u64),
    ) -> Option<CrashFinding> {
        let task_ref = self.resolve_task(run_id.task, now)?;
        let job = &self.jobs[task_ref.step.job];
        let crashed = RunInCrash {
            run: run_id.run,
            min_run_time,
            is_only_recent_start,
            vms: self.worker_count(&job.queue.service),
            long_running: job.spec.steps[usize::from(task_ref.step.step)].long_running,
        };
        let task = self.task_mut(task_ref)?;
        let before = task.crash_history.clone();
        let verdict = task.crash_history.update(crashed, context, now);
        task.last_run = task.last_run.max(run_id.run);
        let crashes = task.crash_history.crashes();
        if task.crash_history != before {
            self.mark_changed(task_ref.step.job);
        }
        if verdict == CrashVerdict::GivenUp {
            let reason = format!("{crashes} workers ended under task {}", run_id.task);
            self.end_job(
                task_ref.step.job,
                JobOutcome::Failed,
                Some(reason.into()),
                now_ms,
            );
        }
        Some(CrashFinding {
            run_id,
            min_run_time,
            crashes,
            verdict,
        })
    }

    fn worker_count(&self, service: &str) -> usize {
        let workers = self.workers.values();
        let of_service = workers.filter(|worker| *worker.view.service == *service);
        of_service.count()
    }

    /// Whether a task is to start on machines only under which no worker has ended, and there is one.
    pub(crate) fn avoids_vms(
        &self,
        crash_history: &CrashHistory,
        service: &str,
        now: TimePoint,
    ) -> bool {
        let mut workers = self.workers.values();
        crash_history.avoids_vms(now)
            && workers
                .any(|worker| *worker.view.service == *service && !crash_history.names(&worker.vm))
    }

    /// How long the next start of a task must have its worker to itself. Members of a gang start
    /// together wherever there is room: to wait for one worker each could keep them from ever starting.
    pub(crate) fn isolation_of(&self, task_ref: TaskRef) -> Option<Duration> {
        let job = self.jobs.get(task_ref.step.job)?;
        let spec = &job.spec.steps[usize::from(task_ref.step.step)];
        if spec.gang {
            return None;
        }
        let step = self.step_record(task_ref.step)?;
        step.tasks
            .get(task_ref.index as usize)?
            .crash_history
            .isolation(spec.long_running)
    }

    /// Whether as many workers of a service are kept for trials as may be, but for this task's own.
    pub(crate) fn is_isolation_limit_reached(
        &self,
        task_ref: TaskRef,
        service: &str,
        now: TimePoint,
    ) -> bool {
        let workers = self.workers.values();
        let of_service = workers.filter(|worker| *worker.view.service == *service);
        let kept = of_service.filter(|worker| worker.is_reserved_against(Some(task_ref), now));
        kept.count() >= (self.worker_count(service) / WORKERS_PER_ISOLATION).max(1)
    }

    /// Keeps a worker for a suspected task; says whether it can start there now, as the only one: a trial
    /// beside another fresh start proves nothing.
    pub(crate) fn reserve_isolated_worker(
        &mut self,
        task_ref: TaskRef,
        worker: WorkerKey,
        now: TimePoint,
    ) -> bool {
        let Some(record) = self.workers.get_mut(worker) else {
            return false;
        };
        if now.since(record.last_start) >= EARLY_CRASH_LIMIT {
            return true;
        }
        record.isolation = Some(WorkerIsolation::Reserved {
            task: task_ref,
            until: now + EARLY_CRASH_LIMIT + EARLY_CRASH_LIMIT,
        });
        false
    }

    /// Notes a start on a worker, which has it to itself for the span of a trial.
    pub(crate) fn record_last_start(
        &mut self,
        worker: WorkerKey,
        run_id: RunId,
        isolation: Option<Duration>,
        now: TimePoint,
    ) {
        let Some(record) = self.workers.get_mut(worker) else {
            return;
        };
        record.last_start = now;
        if let Some(span) = isolation {
            let until = now + span;
            record.isolation = Some(WorkerIsolation::Running { run_id, until });
        }
    }
}
