//! What workers report, and what follows from it.

use crate::book::{JobBook, PendingEnd, RunSeat, StopOrder, TaskAt, WorkerLife};
use crate::life::TaskStand;
use crate::names::RunMark;
use crate::progress::JobOutcome;
use crate::spec::TaskSize;
use crate::why::StopReason;
use crate::worker::{RunEnd, RunEndKind, RunReport, WorkerKey, WorkerView};
use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;
use wax_policy::WorkerPress;
use wax_types::TimePoint;

/// After this many failures in a row a worker gets no work for a while.
const SHUN_AFTER: u32 = 3;
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
}

impl JobBook {
    /// A worker has registered at an agent that can be reached.
    pub fn worker_joined(&mut self, view: WorkerView) -> WorkerKey {
        self.workers.insert(WorkerLife {
            view,
            runs: HashMap::new(),
            booked: TaskSize::default(),
            filling_milli: 0,
            lasting_milli: 0,
            heard: 0,
            cursor: 0,
            pending: VecDeque::new(),
            failed_in_row: 0,
            shunned_until: TimePoint::default(),
            reachable: true,
            heard_at: TimePoint::default(),
            press: WorkerPress::default(),
        })
    }

    /// A worker says something new of itself.
    pub fn worker_changed(&mut self, worker: WorkerKey, view: WorkerView) {
        if let Some(life) = self.workers.get_mut(worker) {
            life.view = view;
        }
    }

    /// Its agent can, or cannot, be reached.
    pub fn worker_reachable(&mut self, worker: WorkerKey, reachable: bool) {
        if let Some(life) = self.workers.get_mut(worker) {
            life.reachable = reachable;
        }
    }

    /// All that ran on the worker has surely ended: it is gone, or its leases have lapsed.
    pub fn worker_lost(&mut self, worker: WorkerKey, now: TimePoint, now_ms: u64) {
        let Some(life) = self.workers.get(worker) else {
            return;
        };
        let marks: Vec<RunMark> = life.runs.keys().copied().collect();
        for mark in marks {
            self.end_run(worker, mark, RunEndKind::Lapsed, "", now, now_ms);
        }
        self.workers.remove(worker);
    }

    /// Compares what an agent says with the book: its word is whole and newer than any order.
    pub fn sync_worker(
        &mut self,
        worker: WorkerKey,
        runs: &[RunReport],
        ends: &[RunEnd],
        now: TimePoint,
        now_ms: u64,
    ) {
        for end in ends {
            self.run_ended(worker, end, now, now_ms);
        }
        let listed: HashSet<RunMark> = runs.iter().map(|run| run.mark).collect();
        for run in runs {
            let is_orphan = self.is_orphan(worker, run.mark);
            self.adopt(worker, run, now);
            if is_orphan || self.is_being_stopped(worker, run.mark) {
                let (mark, why) = (run.mark, StopReason::Repeated);
                self.stops.push(StopOrder { worker, mark, why });
            }
        }
        let Some(life) = self.workers.get(worker) else {
            return;
        };
        let missing: Vec<RunMark> = life
            .runs
            .keys()
            .filter(|mark| !listed.contains(mark))
            .copied()
            .collect();
        for mark in missing {
            self.end_run(worker, mark, RunEndKind::Stopped, "", now, now_ms);
        }
    }

    /// Keeps a run that a worker lists, or orders its stop.
    pub fn adopt(&mut self, worker: WorkerKey, run: &RunReport, now: TimePoint) {
        let known = self
            .workers
            .get(worker)
            .is_some_and(|life| life.runs.contains_key(&run.mark));
        if known {
            self.run_progress(worker, run, now);
            return;
        }
        let at = self.task_at(run.mark.task, now);
        let free = at.filter(|at| {
            self.task_mut(*at).is_some_and(|task| {
                matches!(task.stand, TaskStand::Waiting) && task.last_run <= run.mark.run
            })
        });
        match free {
            Some(at) => {
                self.seat(at, worker, run.mark.run, true, now);
                self.run_progress(worker, run, now);
            }
            None => self.stop_orphan(worker, run.mark),
        }
    }

    /// Whether a run's stop was ordered: the order may have been lost with a link.
    fn is_being_stopped(&mut self, worker: WorkerKey, mark: RunMark) -> bool {
        let seat = self
            .run_task(worker, mark)
            .and_then(|at| self.task_mut(at)?.seat().copied());
        seat.is_some_and(|seat| seat.stopping && seat.run == mark.run)
    }

    /// Whether a run of no known job is booked, which is always being stopped.
    fn is_orphan(&self, worker: WorkerKey, mark: RunMark) -> bool {
        let life = self.workers.get(worker);
        let seat = life.and_then(|life| life.runs.get(&mark));
        seat.is_some_and(|seat| seat.task.is_none())
    }

    fn stop_orphan(&mut self, worker: WorkerKey, mark: RunMark) {
        let size = self.known_size(mark);
        // Of a job that is gone the size is not known: nothing else fits until it has ended.
        let booked = size.unwrap_or(TaskSize {
            cpu_milli: u32::MAX,
            memory_mb: u32::MAX,
            accelerators: u32::MAX,
        });
        let seat = RunSeat {
            task: None,
            booked,
            filling_milli: 0,
            lasting_milli: 0,
            lasts: false,
        };
        self.book_run(worker, mark, seat);
        let why = StopReason::Orphan;
        self.stops.push(StopOrder { worker, mark, why });
    }

    /// The size that a run books, if its job is known.
    pub fn known_size(&self, mark: RunMark) -> Option<TaskSize> {
        let job = self.job(mark.task.job)?;
        Some(job.spec.steps.get(usize::from(mark.task.step))?.booked())
    }

    /// A worker has begun a run.
    pub fn run_started(&mut self, worker: WorkerKey, mark: RunMark, now: TimePoint) {
        let Some(at) = self.run_task(worker, mark) else {
            return;
        };
        if let Some(seat) = self.task_mut(at).and_then(|task| task.seat_mut())
            && seat.run == mark.run
        {
            seat.running = true;
            seat.moved = now;
        }
        self.jobs[at.step.job].begun = true;
    }

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
            StartRefusal::Room | StartRefusal::Stale => SHUN_BRIEFLY,
        };
        if let Some(life) = self.workers.get_mut(worker) {
            life.shunned_until = life.shunned_until.max(now + shun);
        }
    }

    /// How a run goes on.
    pub fn run_progress(&mut self, worker: WorkerKey, report: &RunReport, now: TimePoint) {
        let Some(at) = self.run_task(worker, report.mark) else {
            return;
        };
        let Some(task) = self.task_mut(at) else {
            return;
        };
        if !report.checkpoint.is_empty() && task.checkpoint != report.checkpoint {
            task.checkpoint = report.checkpoint.clone();
        }
        if let Some(seat) = task.seat_mut() {
            seat.running = true;
            if report.percent > seat.percent {
                seat.percent = report.percent;
                seat.moved = now;
            }
        }
        self.jobs[at.step.job].begun = true;
        if report.listed {
            self.note_located(at);
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
            life.failed_in_row = 0;
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
        if let Some(life) = self.workers.get_mut(worker) {
            life.failed_in_row += 1;
            if life.failed_in_row >= SHUN_AFTER {
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

    fn run_task(&self, worker: WorkerKey, mark: RunMark) -> Option<TaskAt> {
        self.workers.get(worker)?.runs.get(&mark)?.task
    }

    /// Up to which end a worker may forget.
    pub fn acknowledged(&self, worker: WorkerKey) -> u64 {
        self.workers.get(worker).map_or(0, |life| life.cursor)
    }

    /// Moves the cursors of workers past ends that the store knows; returns those that moved.
    pub fn take_cursors(&mut self) -> Vec<(WorkerKey, u64)> {
        let mut moved = Vec::new();
        for (key, life) in &mut self.workers {
            let before = life.cursor;
            while let Some(first) = life.pending.front() {
                let known = first.covered.is_none_or(|(job, changes)| {
                    self.jobs
                        .get(job)
                        .is_none_or(|job| job.stored_changes >= changes)
                });
                if !known {
                    break;
                }
                life.cursor = first.number;
                life.pending.pop_front();
            }
            if life.cursor > before {
                moved.push((key, life.cursor));
            }
        }
        moved
    }
}
