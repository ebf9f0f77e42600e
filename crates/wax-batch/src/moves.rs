//! Moves runs that fill and that have stalled on their worker.

use crate::book::{JobBook, StopOrder, TaskAt};
use crate::life::TaskSeat;
use crate::names::RunMark;
use crate::why::StopReason;
use crate::worker::{WorkerKey, WorkerState};
use std::time::Duration;
use wax_policy::ExpectedFinish;
use wax_types::TimePoint;

/// Work that is nearly done is not worth a move, percent.
const NEARLY_DONE: u32 = 80;

impl JobBook {
    /// Orders the stop of runs that have stalled and that another worker would bear.
    ///
    /// They keep their checkpoint, and are placed anew when their end is heard.
    pub fn move_stalled(&mut self, now: TimePoint) {
        let mut stalled: Vec<(Duration, WorkerKey, RunMark, TaskAt)> = Vec::new();
        for (key, worker) in self.workers.iter().filter(|(_, worker)| worker.reachable) {
            for (mark, run) in worker.runs.iter().filter(|(_, run)| run.filling_milli > 0) {
                let still = run
                    .task
                    .and_then(|at| Some((at, self.stalled_for(at, now)?)));
                stalled.extend(still.map(|(at, still)| (still, key, *mark, at)));
            }
        }
        stalled.sort_unstable_by_key(|(still, ..)| std::cmp::Reverse(*still));
        // A move takes its stop and its start; what is under way takes room that shows later.
        stalled.truncate((self.rules.max_moves as usize).saturating_sub(self.moves_under_way()));
        for (_, worker, mark, at) in stalled {
            if self.borne_elsewhere(at, worker, now) {
                self.stop_seat(at, worker, mark, StopReason::Stalled);
            }
        }
    }

    /// Stops of runs that fill whose ends were not heard yet.
    fn moves_under_way(&self) -> usize {
        let runs = self.workers.values().flat_map(|worker| &worker.runs);
        let stopping = runs.filter(|(_, run)| run.filling_milli > 0 && self.is_stopping(run.task));
        stopping.count()
    }

    fn is_stopping(&self, at: Option<TaskAt>) -> bool {
        let seat = at.and_then(|at| self.seat_of(at));
        seat.is_some_and(|seat| seat.stopping)
    }

    /// Where a task is, if it is placed.
    fn seat_of(&self, at: TaskAt) -> Option<&TaskSeat> {
        let job = self.jobs.get(at.step.job)?;
        let occurrence = job.occurrences.get(&at.step.occurrence)?;
        let step = &occurrence.steps[usize::from(at.step.step)];
        step.tasks.get(at.index as usize)?.seat()
    }

    /// Orders the stop of runs on workers that leave, where another worker has room: lasting ones
    /// at once, and those that can resume and would not be done before the worker may go.
    pub fn evacuate(&mut self, now: TimePoint) {
        let mut leaving: Vec<(WorkerKey, RunMark, TaskAt)> = Vec::new();
        for (key, worker) in self.workers.iter().filter(|(_, worker)| worker.reachable) {
            if worker.view.state != WorkerState::Draining {
                continue;
            }
            let remaining = Duration::from_millis(worker.view.remaining_ms.into());
            let runs = worker
                .runs
                .iter()
                .filter_map(|(mark, run)| Some((*mark, run.task?)));
            for (mark, at) in runs {
                if self.would_be_lost(at, remaining) && self.fits_elsewhere(at, key, now) {
                    leaving.push((key, mark, at));
                }
            }
        }
        for (worker, mark, at) in leaving {
            self.stop_seat(at, worker, mark, StopReason::Evacuated);
        }
    }

    /// Whether a run loses work, or its users, when its worker goes.
    fn would_be_lost(&self, at: TaskAt, remaining: Duration) -> bool {
        let Some(job) = self.jobs.get(at.step.job).filter(|job| !job.is_over()) else {
            return false;
        };
        let spec = &job.spec.steps[usize::from(at.step.step)];
        let seat = self.seat_of(at);
        let Some(seat) = seat.filter(|seat| seat.running && !seat.stopping) else {
            return false;
        };
        let left = f64::from(100 - seat.percent.min(100)) / 100.0;
        let left = Duration::from_millis(spec.estimate_ms.into()).mul_f64(left);
        spec.lasts || (spec.checkpoints && !spec.gang && left > remaining)
    }

    fn fits_elsewhere(&self, at: TaskAt, worker: WorkerKey, now: TimePoint) -> bool {
        let Some(job) = self.jobs.get(at.step.job) else {
            return false;
        };
        let step = &job.spec.steps[usize::from(at.step.step)];
        let rules = (
            self.rules.best_effort_limit(ExpectedFinish::InTime),
            &self.rules,
        );
        let mut others = self.workers.iter().filter(|(key, _)| *key != worker);
        others.any(|(_, other)| other.has_room(&job.queue.service, step, rules, now))
    }

    /// For how long a run has stalled, if that is long enough to move it.
    fn stalled_for(&self, at: TaskAt, now: TimePoint) -> Option<Duration> {
        let job = self.jobs.get(at.step.job).filter(|job| !job.is_over())?;
        let spec = &job.spec.steps[usize::from(at.step.step)];
        let seat = self
            .seat_of(at)
            .filter(|seat| seat.running && !seat.stopping)?;
        if !spec.checkpoints || seat.percent >= NEARLY_DONE {
            return None;
        }
        let share = Duration::from_millis(spec.estimate_ms.into()).mul_f64(self.rules.stall_share);
        let still = now.since(seat.moved);
        (still >= self.rules.stall_time.max(share)).then_some(still)
    }

    fn borne_elsewhere(&self, at: TaskAt, worker: WorkerKey, now: TimePoint) -> bool {
        let Some(job) = self.jobs.get(at.step.job) else {
            return false;
        };
        let step = &job.spec.steps[usize::from(at.step.step)];
        let mut others = self.workers.iter().filter(|(key, _)| *key != worker);
        others.any(|(_, other)| {
            other.has_room(
                &job.queue.service,
                step,
                (
                    self.rules.best_effort_limit(ExpectedFinish::InTime),
                    &self.rules,
                ),
                now,
            ) && other.bears(step, self.rules.preferred_pace, &self.pairs, &self.rules)
        })
    }

    fn stop_seat(&mut self, at: TaskAt, worker: WorkerKey, mark: RunMark, why: StopReason) {
        if let Some(seat) = self.task_mut(at).and_then(|task| task.seat_mut()) {
            seat.stopping = true;
            self.stops.push(StopOrder { worker, mark, why });
        }
    }
}
