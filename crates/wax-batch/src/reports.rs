//! Applies what agents report about workers and runs: adopts runs, records their progress, and
//! stops runs that no job needs.

use crate::names::RunId;
use crate::order_backoff::StartLimit;
use crate::reasons::StopReason;
use crate::records::TaskState;
use crate::scheduler::{JobScheduler, RunReservation, StopOrder, WorkerRecord};
use crate::spec::TaskSize;
use crate::worker::{EndPage, RunEndKind, RunReport, WorkerKey, WorkerView};
use std::collections::{HashMap, HashSet, VecDeque};
use wax_policy::WorkerInterference;
use wax_types::TimePoint;

impl JobScheduler {
    /// Adds a worker that has registered at a reachable agent.
    pub fn add_worker(&mut self, view: WorkerView, vm: &str) -> WorkerKey {
        let drained = self.drained.contains(&view.failure_domain);
        self.workers.insert(WorkerRecord {
            view,
            drained,
            runs: HashMap::new(),
            reserved: TaskSize::default(),
            best_effort_milli: 0,
            long_running_milli: 0,
            last_end_number: 0,
            ack_cursor: 0,
            pending_ends: VecDeque::new(),
            unlisted_runs: HashSet::new(),
            failed_tasks: HashSet::new(),
            excluded_until: TimePoint::default(),
            reachable: true,
            last_contact: TimePoint::default(),
            interference: WorkerInterference::default(),
            vm: vm.into(),
            last_start: TimePoint::default(),
            isolation: None,
            start_limit: StartLimit::default(),
        })
    }

    /// Replaces the worker's description of itself.
    pub fn update_worker(&mut self, worker: WorkerKey, view: WorkerView) {
        if let Some(record) = self.workers.get_mut(worker) {
            record.drained = self.drained.contains(&view.failure_domain);
            record.view = view;
        }
    }

    /// Sets whether the worker's agent can be reached.
    pub fn set_worker_reachable(&mut self, worker: WorkerKey, reachable: bool) {
        if let Some(record) = self.workers.get_mut(worker) {
            record.reachable = reachable;
        }
    }

    /// Removes a worker whose runs are known to have ended, because it terminated or its leases
    /// expired.
    pub fn remove_lost_worker(&mut self, worker: WorkerKey, now: TimePoint, now_ms: u64) {
        let Some(record) = self.workers.get(worker) else {
            return;
        };
        let run_ids: Vec<RunId> = record.runs.keys().copied().collect();
        for run_id in run_ids {
            self.end_run(worker, run_id, RunEndKind::Lapsed, "", now, now_ms);
        }
        self.workers.remove(worker);
    }

    /// Returns whether a start was sent to the worker that its agent has neither confirmed nor
    /// refused.
    pub fn has_unconfirmed_starts(&self, worker: WorkerKey) -> bool {
        let run_ids = (self.workers.get(worker)).map(|record| record.runs.keys());
        (run_ids.into_iter().flatten()).any(|run_id| self.is_unconfirmed(worker, *run_id))
    }

    fn is_unconfirmed(&self, worker: WorkerKey, run_id: RunId) -> bool {
        let task = self.task_of_run(worker, run_id);
        let placement = task.and_then(|task_ref| self.task(task_ref)?.placement());
        placement.is_some_and(|placement| placement.run == run_id.run && !placement.running)
    }

    /// Ends the runs of a worker whose leases have expired, except those of unconfirmed starts. The
    /// next boot of the worker under the same id may have executed these and granted longer leases.
    pub fn end_confirmed_runs(&mut self, worker: WorkerKey, now: TimePoint, now_ms: u64) {
        let Some(record) = self.workers.get(worker) else {
            return;
        };
        let mut run_ids: Vec<RunId> = record.runs.keys().copied().collect();
        run_ids.retain(|run_id| !self.is_unconfirmed(worker, *run_id));
        for run_id in run_ids {
            self.end_run(worker, run_id, RunEndKind::Lapsed, "", now, now_ms);
        }
    }

    /// Reconciles the worker's runs with a report of its agent, which must be newer than any order.
    /// A run that the report lacks has ended without a result, unless the worker has more ends than
    /// the report: [`JobScheduler::finish_reconciliation`] follows once all are recorded.
    pub fn reconcile_worker(
        &mut self,
        worker: WorkerKey,
        runs: &[RunReport],
        page: &EndPage,
        now: TimePoint,
        now_ms: u64,
    ) {
        for end in &page.ends {
            self.record_end(worker, end, now, now_ms);
        }
        let reported_runs: HashSet<RunId> = runs.iter().map(|run| run.run_id).collect();
        for run in runs {
            let is_orphan = self.is_orphan(worker, run.run_id);
            self.adopt_run(worker, run, now);
            if is_orphan || self.is_being_stopped(worker, run.run_id) {
                let (run_id, reason) = (run.run_id, StopReason::Repeated);
                self.stops.push(StopOrder {
                    worker,
                    run_id,
                    reason,
                });
            }
        }
        if let Some(record) = self.workers.get_mut(worker) {
            let missing = record.runs.keys().copied();
            record.unlisted_runs = missing
                .filter(|run_id| !reported_runs.contains(run_id))
                .collect();
        }
        if !page.has_more {
            self.finish_reconciliation(worker, now, now_ms);
        }
    }

    /// Moves the runs of a boot that its worker has replaced to the next boot, which may have
    /// started them. The next boot's report decides which of them it has.
    pub fn move_runs(&mut self, from: WorkerKey, to: WorkerKey, now: TimePoint) {
        let Some(record) = self.workers.get(from) else {
            return;
        };
        let run_ids: Vec<RunId> = record.runs.keys().copied().collect();
        for run_id in run_ids {
            let task_ref = self.release_run(from, run_id).and_then(|run| run.task);
            let placement = task_ref
                .and_then(|task_ref| self.task_mut(task_ref)?.placement().copied())
                .filter(|placement| placement.run == run_id.run && placement.worker == from);
            if let Some((task_ref, placement)) = task_ref.zip(placement) {
                self.reset_to_waiting(task_ref, from, now);
                self.reserve_task(task_ref, to, run_id.run, placement.running, now);
            }
        }
    }

    /// Completes a reconciliation after all ends that the worker had at the report are recorded:
    /// the runs that are neither running nor among the ends have ended without a result.
    pub fn finish_reconciliation(&mut self, worker: WorkerKey, now: TimePoint, now_ms: u64) {
        let Some(record) = self.workers.get_mut(worker) else {
            return;
        };
        for run_id in std::mem::take(&mut record.unlisted_runs) {
            self.end_run(worker, run_id, RunEndKind::Stopped, "", now, now_ms);
        }
    }

    /// Adopts a run that a worker lists, or orders its stop if its task has another placement or is
    /// not needed.
    pub fn adopt_run(&mut self, worker: WorkerKey, run: &RunReport, now: TimePoint) {
        let is_known = self
            .workers
            .get(worker)
            .is_some_and(|record| record.runs.contains_key(&run.run_id));
        if is_known {
            self.record_progress(worker, run, now);
            return;
        }
        let task_ref = self.resolve_task(run.run_id.task, now);
        let waiting_task = task_ref.filter(|task_ref| {
            self.task_mut(*task_ref).is_some_and(|task| {
                matches!(task.state, TaskState::Waiting) && task.last_run <= run.run_id.run
            })
        });
        match waiting_task {
            Some(task_ref) => {
                self.reserve_task(task_ref, worker, run.run_id.run, true, now);
                self.record_progress(worker, run, now);
            }
            None => self.stop_orphan(worker, run.run_id),
        }
    }

    /// Returns whether a stop of the run was ordered. That order may have been lost with a link.
    fn is_being_stopped(&mut self, worker: WorkerKey, run_id: RunId) -> bool {
        let placement = self
            .task_of_run(worker, run_id)
            .and_then(|task_ref| self.task_mut(task_ref)?.placement().copied());
        placement.is_some_and(|placement| placement.stop_ordered && placement.run == run_id.run)
    }

    /// Returns whether the run is one that no job needs. Its stop was ordered when it was first
    /// reported.
    fn is_orphan(&self, worker: WorkerKey, run_id: RunId) -> bool {
        let record = self.workers.get(worker);
        let reservation = record.and_then(|record| record.runs.get(&run_id));
        reservation.is_some_and(|reservation| reservation.task.is_none())
    }

    fn stop_orphan(&mut self, worker: WorkerKey, run_id: RunId) {
        let size = self.run_size(run_id);
        // The size of a run is unknown if its job was deleted. Nothing else is placed on the worker
        // until the run has ended.
        let reserved = size.unwrap_or(TaskSize {
            cpu_milli: u32::MAX,
            memory_mb: u32::MAX,
            accelerators: u32::MAX,
        });
        let reservation = RunReservation {
            task: None,
            reserved,
            best_effort_milli: 0,
            long_running_milli: 0,
            long_running: false,
        };
        self.reserve_run(worker, run_id, reservation);
        let reason = StopReason::Orphan;
        self.stops.push(StopOrder {
            worker,
            run_id,
            reason,
        });
    }

    /// Returns the resources that a run reserves, if its job is known.
    pub fn run_size(&self, run_id: RunId) -> Option<TaskSize> {
        let job = self.job(run_id.task.job)?;
        Some(
            job.spec
                .steps
                .get(usize::from(run_id.task.step))?
                .reserved(),
        )
    }

    /// Records that a worker has started a run.
    pub fn record_start(&mut self, worker: WorkerKey, run_id: RunId, now: TimePoint) {
        self.note_start_answered(worker);
        let Some(task_ref) = self.task_of_run(worker, run_id) else {
            return;
        };
        if let Some(placement) = self
            .task_mut(task_ref)
            .and_then(|task| task.placement_mut())
            && placement.run == run_id.run
        {
            placement.running = true;
            placement.progressed_at = now;
        }
        self.jobs[task_ref.step.job].started = true;
    }

    /// Records the reported progress of a run.
    pub fn record_progress(&mut self, worker: WorkerKey, report: &RunReport, now: TimePoint) {
        self.note_run_listed(worker, report.run_id);
        let Some(task_ref) = self.task_of_run(worker, report.run_id) else {
            return;
        };
        let Some(task) = self.task_mut(task_ref) else {
            return;
        };
        if !report.checkpoint.is_empty() && task.checkpoint != report.checkpoint {
            task.checkpoint = report.checkpoint.clone();
        }
        if let Some(placement) = task.placement_mut() {
            placement.running = true;
            placement.working = report.percent == 100;
            if report.percent > placement.percent {
                placement.percent = report.percent;
                placement.progressed_at = now;
            }
        }
        self.observe_load(worker, task_ref, report, now);
        self.jobs[task_ref.step.job].started = true;
        if report.confirmed_by_worker {
            self.mark_located(task_ref, report.run_id.run);
        }
    }
}
