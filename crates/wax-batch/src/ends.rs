//! Ends of runs, refused ones included, and what follows from them.

use crate::book::{JobBook, PendingEnd, StopOrder, TaskAt};
use crate::life::TaskStand;
use crate::names::RunMark;
use crate::progress::JobOutcome;
use crate::why::StopReason;
use crate::worker::{RunEnd, RunEndKind, WorkerKey};
use std::time::Duration;
use wax_types::TimePoint;

/// After failures of this many tasks in a row a worker gets no work for a while.
const SHUN_AFTER: usize = 3;
/// How long a worker that fails what it starts gets no work.
const SHUN_FOR: Duration = Duration::from_secs(3);

/// A task does not go back to the worker on which it failed for this long: its few attempts
/// would be spent where everything fails.
const FAILED_PAUSE: Duration = Duration::from_millis(1_000);
/// How long a worker gets no work whose agent has refused an order by a newer view than ours.
const SHUN_BRIEFLY: Duration = Duration::from_millis(100);

/// Why a worker did not start a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartRefusal {
    /// It has no room by its own count.
    Room,
    /// It is unhealthy, or did not answer in time; the run can never begin there.
    Unwell,
    /// The order came too late, or from an owner of the past.
    Stale,
    /// Its failure domain is drained, or may be by now.
    Drained,
}

impl JobBook {
    /// A worker has not begun a run and never will.
    pub fn run_refused(
        &mut self,
        worker: WorkerKey,
        mark: RunMark,
        refusal: StartRefusal,
        now: TimePoint,
        now_ms: u64,
    ) {
        if !self.knows_run(worker, mark) {
            return;
        }
        self.end_run(worker, mark, RunEndKind::Stopped, "", now, now_ms);
        let shun = match refusal {
            StartRefusal::Unwell => SHUN_FOR,
            // The views differ for a moment; without a pause the same order would go out at once.
            StartRefusal::Room | StartRefusal::Stale | StartRefusal::Drained => SHUN_BRIEFLY,
        };
        if let Some(life) = self.workers.get_mut(worker) {
            life.shunned_until = life.shunned_until.max(now + shun);
        }
    }

    /// A worker lists an end.
    pub fn run_ended(&mut self, worker: WorkerKey, end: &RunEnd, now: TimePoint, now_ms: u64) {
        let Some(life) = self.workers.get_mut(worker) else {
            return;
        };
        if end.number <= life.heard {
            return;
        }
        life.heard = end.number;
        if !life.runs.contains_key(&end.mark) {
            self.adopt_end(worker, end, now);
        }
        let known = self.knows_run(worker, end.mark);
        if known {
            self.end_run(worker, end.mark, end.kind, &end.checkpoint, now, now_ms);
        } else {
            self.late_end(end, now, now_ms);
        }
        // Whatever this end changed, or repeats: the store has all that is known of the job first.
        let job = self.names.get(&end.mark.task.job);
        let covered = job.map(|key| (*key, self.jobs[*key].changes));
        if let Some(life) = self.workers.get_mut(worker) {
            let number = end.number;
            life.pending.push_back(PendingEnd { number, covered });
            self.unacknowledged.insert(worker);
        }
    }

    /// Seats the run of an end that this owner did not order, so that the end counts.
    fn adopt_end(&mut self, worker: WorkerKey, end: &RunEnd, now: TimePoint) {
        let Some(at) = self.task_at(end.mark.task, now) else {
            return;
        };
        let waits = self
            .task_mut(at)
            .is_some_and(|task| matches!(task.stand, TaskStand::Waiting));
        if waits {
            self.seat(at, worker, end.mark.run, true, now);
        }
    }

    /// Ends a run in the book.
    pub(crate) fn end_run(
        &mut self,
        worker: WorkerKey,
        mark: RunMark,
        kind: RunEndKind,
        checkpoint: &str,
        now: TimePoint,
        now_ms: u64,
    ) {
        let Some(at) = self.free_run(worker, mark).and_then(|seat| seat.task) else {
            return;
        };
        let seat = self.task_mut(at).and_then(|task| task.seat().copied());
        if !seat.is_some_and(|seat| seat.run == mark.run && seat.worker == worker) {
            return;
        }
        let key = at.step.job;
        if self.jobs[key].is_over() {
            self.unseat(at, worker, now);
            return;
        }
        if !checkpoint.is_empty()
            && let Some(task) = self.task_mut(at)
        {
            task.checkpoint = checkpoint.into();
        }
        self.unseat(at, worker, now);
        match kind {
            RunEndKind::Done => self.task_done(at, worker, now, now_ms),
            RunEndKind::Failed => self.task_failed(at, mark.run, worker, now, now_ms),
            // An end with the worker counts by the crash, not by the lapse: [`JobBook::worker_crashed`].
            RunEndKind::Stopped | RunEndKind::Lapsed | RunEndKind::Broken | RunEndKind::Alone => {}
        }
        if kind != RunEndKind::Done {
            self.stop_gang(at);
        }
    }

    /// Stops the other members of a gang of which one has ended: they would wait in vain.
    fn stop_gang(&mut self, at: TaskAt) {
        let Some(job) = self.jobs.get(at.step.job) else {
            return;
        };
        if !job.spec.steps[usize::from(at.step.step)].gang {
            return;
        }
        let Some(occurrence) = job.occurrences.get(&at.step.occurrence) else {
            return;
        };
        let tasks = occurrence.steps[usize::from(at.step.step)].tasks.len() as u32;
        for index in 0..tasks {
            let member = TaskAt { index, ..at };
            let name = self.task_name(member);
            if let Some(seat) = self.task_mut(member).and_then(|task| task.seat_mut())
                && !seat.stopping
            {
                seat.stopping = true;
                let mark = RunMark {
                    task: name,
                    run: seat.run,
                };
                let order = StopOrder {
                    worker: seat.worker,
                    mark,
                    why: StopReason::GangEnded,
                };
                self.stops.push(order);
            }
        }
    }

    /// Takes a task from its worker; it waits again.
    pub(crate) fn unseat(&mut self, at: TaskAt, worker: WorkerKey, now: TimePoint) {
        let job = &mut self.jobs[at.step.job];
        let over = job.is_over();
        let Some(occurrence) = job.occurrences.get_mut(&at.step.occurrence) else {
            return;
        };
        let step = &mut occurrence.steps[usize::from(at.step.step)];
        let Some(task) = step.tasks.get_mut(at.index as usize) else {
            return;
        };
        let has_run = task.seat().is_some_and(|seat| seat.running);
        task.stand = TaskStand::Waiting;
        step.waiting += 1;
        if has_run {
            // A start that was refused does not begin the wait anew.
            step.since = now;
        }
        if let Some(tasks) = step.spread.get_mut(&worker) {
            *tasks = tasks.saturating_sub(1);
        }
        if step.open && !over {
            self.ready.insert(at.step);
        }
    }

    fn task_done(&mut self, at: TaskAt, worker: WorkerKey, now: TimePoint, now_ms: u64) {
        if let Some(life) = self.workers.get_mut(worker) {
            life.failed_tasks.clear();
            life.shunned_until = TimePoint::default();
        }
        let job = &mut self.jobs[at.step.job];
        let spec = job.spec.clone();
        let step_spec = &spec.steps[usize::from(at.step.step)];
        if step_spec.lasts {
            // A lasting task runs until the job is cancelled, however it ends.
            return;
        }
        let Some(occurrence) = job.occurrences.get_mut(&at.step.occurrence) else {
            return;
        };
        let step = &mut occurrence.steps[usize::from(at.step.step)];
        if step_spec.gang {
            // One end stands for all members.
            step.done = step_spec.count;
            step.waiting = 0;
            for task in &mut step.tasks {
                task.stand = TaskStand::Done;
            }
        } else {
            let task = &mut step.tasks[at.index as usize];
            task.stand = TaskStand::Done;
            task.checkpoint = "".into();
            step.waiting -= 1;
            step.done += 1;
        }
        if step.waiting == 0 {
            self.ready.remove(&at.step);
        }
        if step.is_done(step_spec) {
            step.tasks = Vec::new();
            step.spread.clear();
            self.open_all(at.step.job, now);
        }
        self.touch(at.step.job);
        self.settle_job(at.step.job, now_ms);
    }

    fn task_failed(
        &mut self,
        at: TaskAt,
        run: u64,
        worker: WorkerKey,
        now: TimePoint,
        now_ms: u64,
    ) {
        let task = self.task_name(at);
        if let Some(life) = self.workers.get_mut(worker) {
            // A task that always fails says nothing of its worker: a lasting one would bar it from all work.
            life.failed_tasks.insert(task);
            if life.failed_tasks.len() >= SHUN_AFTER {
                life.shunned_until = now + SHUN_FOR;
            }
        }
        if let Some(task) = self.task_mut(at) {
            task.shuns = Some((worker, now + FAILED_PAUSE));
        }
        self.count_failure(at, run, now_ms);
    }

    /// Counts a failed run once, however often its end is heard.
    fn count_failure(&mut self, at: TaskAt, run: u64, now_ms: u64) {
        let key = at.step.job;
        let spec = self.jobs[key].spec.clone();
        let step_spec = &spec.steps[usize::from(at.step.step)];
        if step_spec.lasts {
            return;
        }
        // A gang fails as one: its first member keeps the count.
        let counted = TaskAt {
            index: if step_spec.gang { 0 } else { at.index },
            ..at
        };
        let Some(task) = self.task_mut(counted) else {
            return;
        };
        if !task.failed_runs.contains(&run) {
            task.failed_runs.push(run);
        }
        let failures = task.failed_runs.len() as u32;
        self.touch(key);
        if failures >= self.jobs[key].queue.most_attempts.max(1) {
            let name = self.task_name(at);
            let reason = format!("task {name} failed {failures} times");
            self.end_job(key, JobOutcome::Failed, Some(reason.into()), now_ms);
        }
    }

    /// Takes an end of a run that the book has given up, as its worker had been taken as lost.
    fn late_end(&mut self, end: &RunEnd, now: TimePoint, now_ms: u64) {
        let Some(at) = self.task_at(end.mark.task, now) else {
            return;
        };
        match end.kind {
            RunEndKind::Failed => self.count_failure(at, end.mark.run, now_ms),
            RunEndKind::Done => self.late_done(at, now, now_ms),
            _ => {}
        }
    }

    /// The task has been done by a run that was given up: another run of it is needless.
    fn late_done(&mut self, at: TaskAt, now: TimePoint, now_ms: u64) {
        let name = self.task_name(at);
        let seat = self.task_mut(at).and_then(|task| task.seat().copied());
        let Some(seat) = seat else {
            return;
        };
        let mark = RunMark {
            task: name,
            run: seat.run,
        };
        let why = StopReason::DoneElsewhere;
        self.stops.push(StopOrder {
            worker: seat.worker,
            mark,
            why,
        });
        self.unseat(at, seat.worker, now);
        self.task_done(at, seat.worker, now, now_ms);
    }

    fn knows_run(&self, worker: WorkerKey, mark: RunMark) -> bool {
        let life = self.workers.get(worker);
        life.is_some_and(|life| life.runs.contains_key(&mark))
    }

    pub(crate) fn run_task(&self, worker: WorkerKey, mark: RunMark) -> Option<TaskAt> {
        self.workers.get(worker)?.runs.get(&mark)?.task
    }

    /// Up to which end a worker may forget.
    pub fn acknowledged(&self, worker: WorkerKey) -> u64 {
        self.workers.get(worker).map_or(0, |life| life.cursor)
    }

    /// Moves the cursors of workers past ends that the store knows; returns those that moved.
    pub fn take_cursors(&mut self) -> Vec<(WorkerKey, u64)> {
        let mut moved = Vec::new();
        let (workers, jobs) = (&mut self.workers, &self.jobs);
        self.unacknowledged.retain(|key| {
            let Some(life) = workers.get_mut(*key) else {
                return false;
            };
            let before = life.cursor;
            while let Some(first) = life.pending.front() {
                let known = first.covered.is_none_or(|(job, changes)| {
                    jobs.get(job)
                        .is_none_or(|job| job.stored_changes >= changes)
                });
                if !known {
                    break;
                }
                life.cursor = first.number;
                life.pending.pop_front();
            }
            if life.cursor > before {
                moved.push((*key, life.cursor));
            }
            !life.pending.is_empty()
        });
        moved
    }
}
