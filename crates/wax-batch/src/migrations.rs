//! Moves runs to other workers: best-effort runs that have stalled, and runs on workers that are
//! about to shut down.

use crate::names::RunId;
use crate::reasons::StopReason;
use crate::records::TaskPlacement;
use crate::scheduler::{JobScheduler, StopOrder, TaskRef, WorkerRecord};
use crate::worker::{WorkerKey, WorkerState};
use std::time::Duration;
use wax_policy::ExpectedFinish;
use wax_types::TimePoint;

/// Runs with at least this share of their work done are not moved, percent.
pub(crate) const NEARLY_DONE_PERCENT: u32 = 80;

impl JobScheduler {
    /// Orders the stop of stalled best-effort runs that could make progress on another worker.
    ///
    /// The tasks keep their checkpoints and are placed again once the ends of the runs are
    /// reported.
    pub fn move_stalled(&mut self, now: TimePoint) {
        let mut stalled: Vec<(Duration, WorkerKey, RunId, TaskRef)> = Vec::new();
        for (key, worker) in self.workers.iter().filter(|(_, worker)| worker.reachable) {
            for (run_id, run) in worker
                .runs
                .iter()
                .filter(|(_, run)| run.best_effort_milli > 0)
            {
                let stalled_for = run
                    .task
                    .and_then(|task_ref| Some((task_ref, self.stalled_for(task_ref, now)?)));
                stalled.extend(
                    stalled_for
                        .map(|(task_ref, stalled_for)| (stalled_for, key, *run_id, task_ref)),
                );
            }
        }
        stalled.sort_unstable_by_key(|(stalled_for, ..)| std::cmp::Reverse(*stalled_for));
        // Each move consists of a stop and a later start, and moves in progress take up capacity
        // that is not reserved yet.
        stalled.truncate((self.rules.max_moves as usize).saturating_sub(self.moves_in_progress()));
        for (_, worker, run_id, task_ref) in stalled {
            if self.can_keep_pace_elsewhere(task_ref, worker, now) {
                self.stop_run(task_ref, worker, run_id, StopReason::Stalled);
            }
        }
    }

    /// Returns the number of best-effort runs with an ordered stop whose end is not reported yet.
    fn moves_in_progress(&self) -> usize {
        let runs = self.workers.values().flat_map(|worker| &worker.runs);
        let stop_ordered =
            runs.filter(|(_, run)| run.best_effort_milli > 0 && self.is_stop_ordered(run.task));
        stop_ordered.count()
    }

    fn is_stop_ordered(&self, task_ref: Option<TaskRef>) -> bool {
        let placement = task_ref.and_then(|task_ref| self.placement_of(task_ref));
        placement.is_some_and(|placement| placement.stop_ordered)
    }

    /// Returns the placement of a task, if it has one.
    pub(crate) fn placement_of(&self, task_ref: TaskRef) -> Option<&TaskPlacement> {
        let job = self.jobs.get(task_ref.step.job)?;
        let occurrence = job.occurrences.get(&task_ref.step.occurrence)?;
        let step = &occurrence.steps[usize::from(task_ref.step.step)];
        step.tasks.get(task_ref.index as usize)?.placement()
    }

    /// Orders the stop of runs on draining workers if another worker has capacity: of long-running
    /// tasks at once, and of tasks with checkpoints that would not complete before the worker may
    /// shut down.
    pub fn evacuate(&mut self, now: TimePoint) {
        let mut to_stop: Vec<(WorkerKey, RunId, TaskRef)> = Vec::new();
        for (key, worker) in self.workers.iter().filter(|(_, worker)| worker.reachable) {
            if worker.view.state != WorkerState::Draining {
                continue;
            }
            let remaining = Duration::from_millis(worker.view.remaining_ms.into());
            let runs = worker
                .runs
                .iter()
                .filter_map(|(run_id, run)| Some((*run_id, run.task?)));
            for (run_id, task_ref) in runs {
                if self.would_be_lost(task_ref, remaining)
                    && self.fits_elsewhere(task_ref, key, now)
                {
                    to_stop.push((key, run_id, task_ref));
                }
            }
        }
        for (worker, run_id, task_ref) in to_stop {
            self.stop_run(task_ref, worker, run_id, StopReason::Evacuated);
        }
    }

    /// Returns whether the end of the worker would interrupt a long-running task or lose work that
    /// could resume elsewhere.
    fn would_be_lost(&self, task_ref: TaskRef, remaining: Duration) -> bool {
        let Some(job) = self
            .jobs
            .get(task_ref.step.job)
            .filter(|job| !job.is_over())
        else {
            return false;
        };
        let spec = &job.spec.steps[usize::from(task_ref.step.step)];
        let placement = self.placement_of(task_ref);
        let Some(placement) =
            placement.filter(|placement| placement.running && !placement.stop_ordered)
        else {
            return false;
        };
        let remaining_share = f64::from(100 - placement.percent.min(100)) / 100.0;
        let remaining_work =
            Duration::from_millis(spec.estimate_ms.into()).mul_f64(remaining_share);
        spec.long_running || (spec.checkpoints && !spec.gang && remaining_work > remaining)
    }

    fn fits_elsewhere(&self, task_ref: TaskRef, worker: WorkerKey, now: TimePoint) -> bool {
        let mut others = self.workers.iter().filter(|(key, _)| *key != worker);
        others.any(|(key, other)| self.can_take_moved(task_ref, (key, other), now))
    }

    /// Returns whether a task that is stopped on another worker could start on this one, whatever its
    /// pace there. The worker may still need the advisor's approval.
    pub(crate) fn can_take_moved(
        &self,
        task_ref: TaskRef,
        (key, worker): (WorkerKey, &WorkerRecord),
        now: TimePoint,
    ) -> bool {
        let (Some(job), Some(record)) = (
            self.jobs.get(task_ref.step.job),
            self.step_record(task_ref.step),
        ) else {
            return false;
        };
        let step = &job.spec.steps[usize::from(task_ref.step.step)];
        let limit = self.rules.best_effort_limit(ExpectedFinish::InTime);
        record.allows_task_on(step, key)
            && !worker.is_isolated_from(Some(task_ref), now)
            && !self.is_denied(task_ref.step, key)
            && worker.can_fit(job.rules.service(), step, (limit, &self.rules), now)
    }

    /// Returns for how long a run has stalled, if that is long enough to move it.
    fn stalled_for(&self, task_ref: TaskRef, now: TimePoint) -> Option<Duration> {
        let job = self
            .jobs
            .get(task_ref.step.job)
            .filter(|job| !job.is_over())?;
        let spec = &job.spec.steps[usize::from(task_ref.step.step)];
        let placement = self
            .placement_of(task_ref)
            .filter(|placement| placement.running && !placement.stop_ordered)?;
        if !spec.checkpoints || placement.percent >= NEARLY_DONE_PERCENT {
            return None;
        }
        let share = Duration::from_millis(spec.estimate_ms.into()).mul_f64(self.rules.stall_share);
        let stalled = now.since(placement.progressed_at);
        (stalled >= self.rules.stall_time.max(share)).then_some(stalled)
    }

    fn can_keep_pace_elsewhere(
        &self,
        task_ref: TaskRef,
        worker: WorkerKey,
        now: TimePoint,
    ) -> bool {
        let Some(job) = self.jobs.get(task_ref.step.job) else {
            return false;
        };
        let step = &job.spec.steps[usize::from(task_ref.step.step)];
        let mut others = self.workers.iter().filter(|(key, _)| *key != worker);
        others.any(|(key, other)| {
            self.can_take_moved(task_ref, (key, other), now)
                && other.can_keep_pace(step, self.rules.preferred_pace, &self.pairs, &self.rules)
        })
    }

    pub(crate) fn stop_run(
        &mut self,
        task_ref: TaskRef,
        worker: WorkerKey,
        run_id: RunId,
        reason: StopReason,
    ) {
        if let Some(placement) = self
            .task_mut(task_ref)
            .and_then(|task| task.placement_mut())
        {
            placement.stop_ordered = true;
            self.stops.push(StopOrder {
                worker,
                run_id,
                reason,
            });
        }
    }
}
