//! Crashes of workers: attributes them to tasks, and isolates the starts of suspected tasks.

use crate::crash_history::{
    CrashContext, CrashHistory, CrashVerdict, EARLY_CRASH_LIMIT, RunInCrash,
};
use crate::names::RunId;
use crate::progress::JobOutcome;
use crate::scheduler::{JobScheduler, TaskRef, WorkerRecord};
use crate::worker::{LostRun, WorkerKey, WorkerState};
use std::time::Duration;
use wax_types::TimePoint;

/// At most one in this many workers of a service is isolated at a time. Each suspected task may
/// crash its worker and lose the other runs on it.
const WORKERS_PER_ISOLATION: usize = 3;
/// Additional cost, in shares of a worker's processors, of a VM whose worker has just crashed for
/// any reason, since its worker may keep crashing. Applies to tasks with crashes and falls linearly
/// to 0 over [`RECENT_CRASH_WINDOW`].
const RECENT_CRASH_COST: f64 = 5.0;
const RECENT_CRASH_WINDOW: Duration = Duration::from_secs(30);
/// Two crashes of workers on the same VM within this time count as repeated: the worker may crash
/// and restart on its own.
const REPEATED_CRASH_WINDOW: Duration = Duration::from_secs(6);
/// Additional cost, in shares of a worker's processors, of the worker that is reserved for a
/// suspected task. Negative, so that this worker is preferred to any other.
const RESERVED_WORKER_COST: f64 = -20.0;

/// Isolation of a worker for a suspected task: nothing else starts there. Runs that started earlier
/// continue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WorkerIsolation {
    /// The worker is reserved until `until` for the task, which starts there once no other start is
    /// recent.
    Reserved { task: TaskRef, until: TimePoint },
    /// The task has started, and nothing else starts until `until`, or for longer while the worker
    /// does not answer. Ends with the run.
    Running { run_id: RunId, until: TimePoint },
}

/// Verdict on one run that ended in a crash of its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashFinding {
    /// Run that ended.
    pub run_id: RunId,
    /// Lower bound on the run time at the crash.
    pub min_run_time: Duration,
    /// Number of workers that have crashed under the task so far.
    pub crashes: usize,
    /// Verdict on the task.
    pub verdict: CrashVerdict,
}

impl WorkerRecord {
    /// Returns whether the worker is isolated for another task than this one; `None` stands for any
    /// task without crashes.
    pub(crate) fn is_isolated_from(&self, task_ref: Option<TaskRef>, now: TimePoint) -> bool {
        match self.isolation {
            Some(WorkerIsolation::Reserved { task, until }) => {
                now < until && Some(task) != task_ref
            }
            Some(WorkerIsolation::Running { run_id, until }) => {
                // A worker that does not answer may have been crashed by this run, which shows only
                // after its restart.
                let is_open = now < until || self.view.state == WorkerState::Silent;
                is_open && self.runs.contains_key(&run_id)
            }
            None => false,
        }
    }

    /// Returns the cost that crashes of a task add to [`WorkerRecord::cost`] if it starts here.
    pub(crate) fn crash_cost(
        &self,
        task_ref: TaskRef,
        is_suspected: bool,
        last_crash: Option<TimePoint>,
        now: TimePoint,
    ) -> f64 {
        let mut cost = 0.0;
        if let Some(crashed_at) = last_crash {
            let age_share = now.since(crashed_at).div_duration_f64(RECENT_CRASH_WINDOW);
            cost += RECENT_CRASH_COST * (1.0 - age_share.min(1.0));
        }
        if is_suspected {
            // Other runs on the worker may be lost if the task crashes it.
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
    /// Records a crash of a worker and the runs that it ended. Each run counts once, however often
    /// and by whichever agent it is reported. A task that is found to be the cause fails its job.
    pub fn record_crash(
        &mut self,
        vm: &str,
        runs: &[LostRun],
        now: TimePoint,
        now_ms: u64,
    ) -> Vec<CrashFinding> {
        self.last_vm_crash
            .retain(|_, crashed_at| now.since(*crashed_at) < RECENT_CRASH_WINDOW);
        let previous_crash = self.last_vm_crash.insert(vm.into(), now);
        let repeated =
            previous_crash.is_some_and(|crashed_at| now.since(crashed_at) < REPEATED_CRASH_WINDOW);
        let timed_runs = runs
            .iter()
            .filter_map(|lost| Some((lost.run_id, lost.min_run_time?)));
        let timed_runs: Vec<(RunId, Duration)> = timed_runs.collect();
        let context = CrashContext { vm, repeated };
        let mut findings = Vec::with_capacity(timed_runs.len());
        for (run_id, min_run_time) in &timed_runs {
            let recent_starts = timed_runs
                .iter()
                .filter(|(_, other)| *other < *min_run_time + EARLY_CRASH_LIMIT);
            let is_only_recent_start = recent_starts.count() == 1;
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
            service_vms: self.worker_count(job.rules.service()),
            long_running: job.spec.steps[usize::from(task_ref.step.step)].long_running,
        };
        let task = self.task_mut(task_ref)?;
        let history_before = task.crash_history.clone();
        let verdict = task.crash_history.record(crashed, context, now);
        task.last_run = task.last_run.max(run_id.run);
        let crashes = task.crash_history.crash_count();
        if task.crash_history != history_before {
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

    /// Returns whether the task must currently avoid the VMs on which it had crashes, because the
    /// service has workers on other VMs.
    pub(crate) fn avoids_vms(
        &self,
        crash_history: &CrashHistory,
        service: &str,
        now: TimePoint,
    ) -> bool {
        let mut workers = self.workers.values();
        crash_history.avoids_vms(now)
            && workers.any(|worker| {
                *worker.view.service == *service && !crash_history.includes_vm(&worker.vm)
            })
    }

    /// Returns for how long nothing else may start on a task's worker after its next start; `None`
    /// if the start need not be isolated. Members of a gang are never isolated: they start together
    /// wherever there is capacity, and if each waited for an isolated worker they might never
    /// start.
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

    /// Returns whether the maximum number of workers of a service is isolated for tasks other than
    /// this one.
    pub(crate) fn is_isolation_limit_reached(
        &self,
        task_ref: TaskRef,
        service: &str,
        now: TimePoint,
    ) -> bool {
        let workers = self.workers.values();
        let of_service = workers.filter(|worker| *worker.view.service == *service);
        let isolated = of_service.filter(|worker| worker.is_isolated_from(Some(task_ref), now));
        isolated.count() >= (self.worker_count(service) / WORKERS_PER_ISOLATION).max(1)
    }

    /// Prepares an isolated start of a suspected task on a worker. Returns whether the task can
    /// start there now. Otherwise the worker is reserved until its last start is no longer recent,
    /// since a crash after two starts would not show which of them caused it.
    pub(crate) fn prepare_isolated_start(
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

    /// Records a start on a worker, which is then isolated for the time given by `isolation`, if
    /// any.
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
        if let Some(duration) = isolation {
            let until = now + duration;
            record.isolation = Some(WorkerIsolation::Running { run_id, until });
        }
    }
}
