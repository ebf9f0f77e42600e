//! Moves runs off slow workers: long-running tasks, within the limit of their step, and runs with
//! checkpoints that finish sooner elsewhere.

use crate::migrations::NEARLY_DONE_PERCENT;
use crate::names::RunId;
use crate::performance::SlowMove;
use crate::reasons::StopReason;
use crate::records::{StepRecord, TaskRecord};
use crate::scheduler::{JobScheduler, StepRef, TaskRef};
use crate::spec::StepSpec;
use crate::worker::WorkerKey;
use std::collections::BTreeMap;
use std::time::Duration;
use wax_policy::{SpeedVerdict, is_move_worthwhile};
use wax_types::TimePoint;

/// Time after which a move counts as over even if the task is not working again.
pub(crate) const MAX_MOVE_TIME: Duration = Duration::from_secs(10);
/// Number of searches for a normal worker per round; each goes through all workers.
const MAX_SEARCHES_PER_ROUND: usize = 4;
/// Time for which a step without capacity on normal workers is not searched for again, so that
/// others have their turn.
const FULL_STEP_PAUSE: Duration = Duration::from_millis(500);
/// Share of the estimated run time that a resumed run is assumed to repeat.
const REPEATED_SHARE: f64 = 0.1;

impl TaskRecord {
    /// Returns whether a long-running task is working, and no stop of it was ordered.
    fn is_available(&self) -> bool {
        self.placement().is_some_and(|placement| {
            placement.running && placement.working && !placement.stop_ordered
        })
    }
}

impl StepRecord {
    /// Returns whether one more task may be taken down within the step's limit. Tasks that are down
    /// for any cause count.
    fn may_take_down_one(&self, spec: &StepSpec) -> bool {
        let Some(limit) = spec.max_unavailable else {
            return true;
        };
        let unavailable = self.tasks.iter().filter(|task| !task.is_available());
        (unavailable.count() as u64) < u64::from(limit)
    }
}

impl JobScheduler {
    /// Orders the stop of runs on slow workers that another, normal worker can take: of long-running
    /// tasks first, then of those with checkpoints that finish sooner elsewhere.
    ///
    /// Returns the number of stops ordered.
    pub fn move_off_slow(&mut self, now: TimePoint) -> usize {
        if !self.performance.is_enabled() {
            return 0;
        }
        let mut candidates: Vec<(bool, TaskRef, WorkerKey, RunId)> = Vec::new();
        for (key, worker) in self.workers.iter().filter(|(_, worker)| worker.reachable) {
            if self.performance.verdict(key) != SpeedVerdict::Slow {
                continue;
            }
            let runs = worker.runs.iter();
            candidates.extend(
                runs.filter_map(|(run_id, run)| Some((!run.long_running, run.task?, key, *run_id))),
            );
        }
        candidates.sort_unstable();
        let mut moving = self.slow_moves_in_progress(now);
        let mut may_take_down: BTreeMap<StepRef, bool> = BTreeMap::new();
        let (mut searches, mut ordered) = (0, 0);
        for (_, task_ref, worker, run_id) in candidates {
            if moving >= self.performance.rules.max_moves as usize
                || searches >= MAX_SEARCHES_PER_ROUND
            {
                break;
            }
            let was_full = self.performance.full_steps.get(&task_ref.step);
            if was_full.is_some_and(|searched_at| now.since(*searched_at) < FULL_STEP_PAUSE)
                || !self.gains_by_move(task_ref, worker, now)
            {
                continue;
            }
            let may_take_down_one = may_take_down
                .entry(task_ref.step)
                .or_insert_with(|| self.may_take_down_one(task_ref.step));
            if !*may_take_down_one {
                continue;
            }
            searches += 1;
            if !self.fits_normal_worker(task_ref, moving, now) {
                self.performance.full_steps.insert(task_ref.step, now);
                continue;
            }
            self.stop_run(task_ref, worker, run_id, StopReason::SlowWorker);
            let slow_move = SlowMove {
                run: run_id.run,
                ordered_at: now,
            };
            self.performance.moves.insert(task_ref, slow_move);
            may_take_down.remove(&task_ref.step);
            moving += 1;
            ordered += 1;
        }
        ordered
    }

    fn may_take_down_one(&self, step_ref: StepRef) -> bool {
        let spec = self
            .jobs
            .get(step_ref.job)
            .and_then(|job| job.spec.steps.get(usize::from(step_ref.step)));
        let record = self.step_record(step_ref);
        spec.zip(record)
            .is_some_and(|(spec, record)| !spec.long_running || record.may_take_down_one(spec))
    }

    /// Returns the number of moves whose tasks are not running again.
    fn slow_moves_in_progress(&self, now: TimePoint) -> usize {
        let moves = self.performance.moves.iter();
        let in_progress = moves.filter(|(task_ref, slow_move)| {
            now.since(slow_move.ordered_at) < MAX_MOVE_TIME
                && self.is_move_in_progress(**task_ref, slow_move.run)
        });
        in_progress.count()
    }

    fn is_move_in_progress(&self, task_ref: TaskRef, stopped_run: u64) -> bool {
        let is_open = self
            .jobs
            .get(task_ref.step.job)
            .is_some_and(|job| !job.is_over());
        let task = self
            .step_record(task_ref.step)
            .and_then(|step| step.tasks.get(task_ref.index as usize));
        is_open
            && task.is_some_and(|task| match task.placement() {
                Some(placement) => placement.run == stopped_run || !placement.running,
                None => task.is_waiting(),
            })
    }

    /// Returns whether a run on a slow worker should be moved, apart from the capacity elsewhere and
    /// the limit of its step.
    fn gains_by_move(&self, task_ref: TaskRef, worker: WorkerKey, now: TimePoint) -> bool {
        let Some(job) = self
            .jobs
            .get(task_ref.step.job)
            .filter(|job| !job.is_over())
        else {
            return false;
        };
        let rules = &self.performance.rules;
        let last_move = self.performance.moves.get(&task_ref);
        if last_move.is_some_and(|slow_move| now.since(slow_move.ordered_at) < rules.move_pause) {
            return false;
        }
        let Some(record) = self.step_record(task_ref.step) else {
            return false;
        };
        let Some(task) = record.tasks.get(task_ref.index as usize) else {
            return false;
        };
        let placement = task
            .placement()
            .filter(|placement| placement.running && !placement.stop_ordered);
        let Some(placement) = placement.filter(|_| task.crash_history.is_empty()) else {
            return false;
        };
        let spec = &job.spec.steps[usize::from(task_ref.step.step)];
        if spec.gang {
            return false;
        }
        if spec.long_running {
            return true;
        }
        if !spec.checkpoints || placement.percent >= NEARLY_DONE_PERCENT {
            return false;
        }
        let estimate = Duration::from_millis(spec.estimate_ms.into());
        let done = f64::from(placement.percent) / 100.0;
        let repeated = match task.checkpoint.is_empty() {
            true => done,
            false => done.min(REPEATED_SHARE),
        };
        is_move_worthwhile(
            estimate.mul_f64(1.0 - done),
            estimate.mul_f64(repeated),
            self.performance.counted_speed(worker),
            rules,
        )
    }

    /// Returns whether normal workers have capacity for the task, after as many other moves as are
    /// in progress. Each of those counts as one task of the same size. Workers whose
    /// starts are limited do not count: the moved tasks might wait for an answer there.
    fn fits_normal_worker(&self, task_ref: TaskRef, moving: usize, now: TimePoint) -> bool {
        let (Some(job), Some(record)) = (
            self.jobs.get(task_ref.step.job),
            self.step_record(task_ref.step),
        ) else {
            return false;
        };
        let step = &job.spec.steps[usize::from(task_ref.step.step)];
        let mut room = 0;
        for (key, worker) in &self.workers {
            let lacks_ticket =
                job.rules.advice().is_some() && self.ticket(task_ref.step, key, now).is_none();
            if self.performance.verdict(key) != SpeedVerdict::Normal
                || lacks_ticket
                || worker.start_limit.is_in_force(now)
                || !self.can_take_moved(task_ref, (key, worker), now)
                || !worker.can_keep_pace(step, self.rules.preferred_pace, &self.pairs, &self.rules)
            {
                continue;
            }
            let mut count = step.reserved().count_that_fit(worker.free_capacity());
            if step.max_per_worker > 0 {
                let tasks_here = record.spread.get(&key).copied().unwrap_or(0);
                count = count.min(step.max_per_worker - tasks_here);
            }
            room += match step.best_effort {
                true => 1,
                false => count as usize,
            };
            if room > moving {
                return true;
            }
        }
        false
    }
}
