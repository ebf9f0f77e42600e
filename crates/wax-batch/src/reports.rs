//! What workers and their agents say of themselves and of what runs: it is adopted, kept or stopped.

use crate::book::{JobBook, RunSeat, StopOrder, WorkerLife};
use crate::life::TaskStand;
use crate::names::RunMark;
use crate::spec::TaskSize;
use crate::why::StopReason;
use crate::worker::{RunEnd, RunEndKind, RunReport, WorkerKey, WorkerView};
use std::collections::{HashMap, HashSet, VecDeque};
use wax_policy::WorkerInterference;
use wax_types::TimePoint;

impl JobBook {
    /// A worker has registered at an agent that can be reached.
    pub fn worker_joined(&mut self, view: WorkerView, machine: &str) -> WorkerKey {
        let drained = self.drained.contains(&view.failure_domain);
        self.workers.insert(WorkerLife {
            view,
            drained,
            runs: HashMap::new(),
            booked: TaskSize::default(),
            filling_milli: 0,
            lasting_milli: 0,
            heard: 0,
            cursor: 0,
            pending: VecDeque::new(),
            failed_tasks: HashSet::new(),
            shunned_until: TimePoint::default(),
            reachable: true,
            heard_at: TimePoint::default(),
            press: WorkerInterference::default(),
            machine: machine.into(),
            last_start: TimePoint::default(),
            trial: None,
        })
    }

    /// A worker says something new of itself.
    pub fn worker_changed(&mut self, worker: WorkerKey, view: WorkerView) {
        if let Some(life) = self.workers.get_mut(worker) {
            life.drained = self.drained.contains(&view.failure_domain);
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
}
