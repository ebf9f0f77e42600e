//! Processes the events of the worker links: turns reports about runs into changes of tasks,
//! mitigates interference, and quarantines failing workers.

use crate::placement::team_weights;
use crate::rows::{TaskRow, TaskState};
use crate::shard_loop::ShardLoop;
use crate::shard_state::{ShardState, StartState, TaskChange};
use crate::transition::{RunChoice, decide_run};
use crate::worker_link::{WorkerEvent, start_run, throttle_run};
use compio::runtime::spawn;
use std::collections::HashMap;
use std::time::Duration;
use wax_platform::{RenewReply, TaskReport, TaskRunId, TaskRunStatus, UsageReport};
use wax_policy::{CustomerWeights, MitigationChoice, MitigationView, THROTTLED_PERCENT};
use wax_settings::SettingsTree;
use wax_trace::{Counter, count, count_many};
use wax_types::{TaskId, TimePoint, WorkerId};

/// Share of its size that a task may use when it is not throttled.
const FULL_SIZE_PERCENT: u8 = 100;
/// Number of consecutive failed runs after which a worker is quarantined.
const FAILURES_TO_QUARANTINE: u32 = 5;
/// Time that a worker stays in quarantine. After it the worker gets tasks again; the first one that
/// fails starts a new quarantine.
const QUARANTINE_TIME: Duration = Duration::from_secs(30);

impl ShardLoop {
    /// Processes all queued events and returns the resulting changes, at most one per task.
    pub(crate) fn process_events(&mut self) -> Vec<TaskChange> {
        let mut changes: HashMap<TaskId, TaskChange> = HashMap::new();
        while let Ok(event) = self.events.try_recv() {
            for change in self.process_event(event) {
                changes.entry(change.task).or_insert(change);
            }
        }
        changes.into_values().collect()
    }

    pub(crate) fn process_event(&mut self, event: WorkerEvent) -> Vec<TaskChange> {
        match event {
            WorkerEvent::Renewed(worker, reply, sent_at) => {
                self.process_renewal(&worker, reply, sent_at)
            }
            WorkerEvent::RunChanged(worker, report) => {
                let mut state = self.shared.state.borrow_mut();
                if let Some(task) = state.tasks.get_mut(&report.run_id.task) {
                    task.stopping = false;
                }
                drop(state);
                self.process_run(&worker, &report).into_iter().collect()
            }
            WorkerEvent::StartRefused(worker, run_id, reason) => {
                let run = TaskRunStatus::Failed(reason);
                let report = TaskReport { run_id, run };
                self.process_run(&worker, &report).into_iter().collect()
            }
            WorkerEvent::StopFailed(run_id) => {
                if let Some(task) = self.shared.state.borrow_mut().tasks.get_mut(&run_id.task) {
                    task.stopping = false;
                }
                Vec::new()
            }
            WorkerEvent::LeasesExpired(worker) => self.process_lease_expiry(&worker),
        }
    }

    /// Handles a worker's answer to a renewal: the runs that it reports, the runs that are missing in
    /// it, and its usage reports.
    pub(crate) fn process_renewal(
        &mut self,
        worker: &WorkerId,
        reply: RenewReply,
        sent_at: TimePoint,
    ) -> Vec<TaskChange> {
        let mut changes = Vec::new();
        self.update_boot(worker, reply.boot);
        for report in &reply.runs {
            changes.extend(self.process_run(worker, report));
        }
        let missing = self.find_missing_runs(worker, &reply, sent_at);
        changes.extend(missing);
        self.mitigate_interference(worker, &reply.usage);
        for report in &reply.usage {
            if self.shared.ledger.borrow().is_new(worker, report) {
                self.shared
                    .state
                    .borrow_mut()
                    .learn_from_usage(worker, report);
            }
        }
        self.shared.ledger.borrow_mut().add_reports(
            &self.shared.state.borrow(),
            worker,
            reply.usage,
        );
        changes
    }

    /// Throttles, restores or evicts one task on a worker that slows a latency-critical task.
    pub(crate) fn mitigate_interference(&self, worker: &WorkerId, usage: &[UsageReport]) {
        let now = self.shared.now();
        let tree = self.shared.settings.tree();
        let choice = self
            .shared
            .state
            .borrow_mut()
            .choose_mitigation(now, worker, usage, &tree);
        match choice {
            MitigationChoice::Keep => {}
            MitigationChoice::Throttle(task) => self.throttle(worker, task, THROTTLED_PERCENT),
            MitigationChoice::Restore(task) => self.throttle(worker, task, FULL_SIZE_PERCENT),
            MitigationChoice::Evict(task) => self.stop_task(worker, task),
        }
    }

    /// Limits the current run of a task to a share of its size, in percent.
    pub(crate) fn throttle(&self, worker: &WorkerId, task: TaskId, percent: u8) {
        let state = self.shared.state.borrow();
        let Some(row) = state.tasks.get(&task).and_then(|entry| entry.row.as_ref()) else {
            return;
        };
        let run_id = TaskRunId {
            task,
            epoch: row.epoch,
        };
        let call = throttle_run(self.shared.clone(), worker.clone(), run_id, percent);
        spawn(call).detach();
    }

    /// Resets the state that belongs to an earlier boot of a worker: after a restart the worker has
    /// lost its runs and numbers its usage reports from 1.
    pub(crate) fn update_boot(&self, worker: &WorkerId, boot: u64) {
        let mut state = self.shared.state.borrow_mut();
        if let Some(entry) = state.workers.get_mut(worker)
            && entry.boot != boot
        {
            entry.boot = boot;
            entry.usage_through = 0;
            entry.orphans.clear();
            entry.forget.clear();
        }
    }

    /// Handles the report of one run by a worker. Returns the change of the task if its current run has
    /// ended.
    pub(crate) fn process_run(&self, worker: &WorkerId, report: &TaskReport) -> Option<TaskChange> {
        let now = self.shared.now();
        let mut state = self.shared.state.borrow_mut();
        let run_id = report.run_id;
        let attempts = state
            .part_of(run_id.task)
            .map_or(1, |part| part.row.spec.attempts);
        let row = state
            .tasks
            .get(&run_id.task)
            .and_then(|task| task.row.as_ref());
        let choice = decide_run(row, worker, run_id, &report.run, attempts);
        match choice {
            RunChoice::NoChange => {
                let boot = state.workers.get(worker).map_or(0, |entry| entry.boot);
                if let Some(task) = state.tasks.get_mut(&run_id.task) {
                    task.start = StartState::Running(boot);
                }
                None
            }
            RunChoice::Forget => {
                state.workers.get_mut(worker)?.forget.insert(run_id);
                None
            }
            RunChoice::Orphan => {
                let entry = state.workers.get_mut(worker)?;
                entry.orphans.entry(run_id).or_insert(now);
                None
            }
            RunChoice::Change(mut next) => {
                state.record_run_end(now, worker, &next);
                if next.state == TaskState::Waiting && state.cancelled.contains(&run_id.task.job) {
                    next.state = TaskState::Cancelled;
                }
                Some(TaskChange {
                    task: run_id.task,
                    next,
                    release: Some(worker.clone()),
                    reserve: None,
                })
            }
        }
    }

    /// Finds the runs that are allocated on a worker but missing in its report of all runs.
    ///
    /// A run whose start may not have arrived is started again. A run of an earlier boot of the
    /// worker is lost, and its task waits again.
    pub(crate) fn find_missing_runs(
        &self,
        worker: &WorkerId,
        reply: &RenewReply,
        sent_at: TimePoint,
    ) -> Vec<TaskChange> {
        let mut state = self.shared.state.borrow_mut();
        let mut changes = Vec::new();
        for run_id in state.run_ids_on(worker) {
            if reply.runs.iter().any(|run| run.run_id == run_id) {
                continue;
            }
            let Some(task) = state.tasks.get_mut(&run_id.task) else {
                continue;
            };
            match task.start {
                StartState::Sending => {}
                StartState::Running(boot) if boot == reply.boot => {
                    // The worker wrote its report before it received the start.
                    tracing::debug!(
                        %worker, task = %run_id.task, sent = sent_at.0,
                        "run is not in the worker's report yet"
                    );
                }
                StartState::Unknown => {
                    let shared = self.shared.clone();
                    spawn(start_run(shared, worker.clone(), run_id)).detach();
                }
                StartState::Running(_) => {
                    let Some(mut next) = task.row.clone() else {
                        continue;
                    };
                    count(Counter::TasksLost);
                    next.state = TaskState::Waiting;
                    changes.push(TaskChange {
                        task: run_id.task,
                        next,
                        release: Some(worker.clone()),
                        reserve: None,
                    });
                }
            }
        }
        changes
    }

    /// Returns the changes after all leases on a worker have expired: its tasks wait for another
    /// worker, and those of cancelled jobs end.
    pub(crate) fn process_lease_expiry(&self, worker: &WorkerId) -> Vec<TaskChange> {
        let state = self.shared.state.borrow();
        let lost: Vec<TaskChange> = state
            .run_ids_on(worker)
            .into_iter()
            .filter_map(|run_id| {
                let mut next = state.tasks.get(&run_id.task)?.row.clone()?;
                next.state = if state.cancelled.contains(&run_id.task.job) {
                    TaskState::Cancelled
                } else {
                    TaskState::Waiting
                };
                Some(TaskChange {
                    task: run_id.task,
                    next,
                    release: Some(worker.clone()),
                    reserve: None,
                })
            })
            .collect();
        if !lost.is_empty() {
            count_many(Counter::TasksLost, lost.len() as u64);
            tracing::warn!(%worker, tasks = lost.len(), "leases expired; tasks wait again");
        }
        lost
    }
}

impl ShardState {
    /// Chooses the mitigation for the latency-critical task on a worker that is slowed down most.
    pub(crate) fn choose_mitigation(
        &mut self,
        now: TimePoint,
        worker: &WorkerId,
        usage: &[UsageReport],
        tree: &SettingsTree,
    ) -> MitigationChoice {
        let Some(entry) = self.workers.get_mut(worker) else {
            return MitigationChoice::Keep;
        };
        let Some(capacity) = self.worker_table.get(entry.key) else {
            return MitigationChoice::Keep;
        };
        let most_slowed = usage
            .iter()
            .filter_map(|report| {
                let mut urgent = capacity.tasks().iter().filter(|task| task.urgent);
                let task = urgent.find(|task| task.task == report.run_id.task)?;
                Some((*task, f64::from(report.slowdown_percent) / 100.0 - 1.0))
            })
            .max_by(|(_, a), (_, b)| a.total_cmp(b));
        let Some((affected, excess)) = most_slowed else {
            return MitigationChoice::Keep;
        };
        let part = self
            .tasks
            .get(&affected.task)
            .and_then(|task| self.parts.get(&task.part));
        let weights = part.map_or_else(CustomerWeights::default, |part| {
            team_weights(tree, &part.row.spec.team)
        });
        let view = MitigationView {
            worker: capacity,
            affected: &affected,
            excess,
            pairs: &self.pairs,
            weights,
        };
        entry.mitigation.decide(now, view)
    }

    /// Records the end of a run and quarantines a worker on which too many runs in a row have
    /// failed.
    pub(crate) fn record_run_end(&mut self, now: TimePoint, worker: &WorkerId, next: &TaskRow) {
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        let failed = next.failed_on.last() == Some(worker) && next.failures > 0;
        if matches!(next.state, TaskState::Done(_)) {
            entry.failures = 0;
            entry.quarantined_until = None;
        } else if failed {
            entry.failures += 1;
        }
        if entry.failures >= FAILURES_TO_QUARANTINE {
            count(Counter::WorkersQuarantined);
            tracing::warn!(%worker, failures = entry.failures, "worker quarantined");
            entry.quarantined_until = Some(now + QUARANTINE_TIME);
            // The first run that fails after the quarantine starts a new one.
            entry.failures = FAILURES_TO_QUARANTINE - 1;
            let key = entry.key;
            self.worker_table.set_open(key, false);
        }
    }
}
