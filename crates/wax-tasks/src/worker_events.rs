//! What the workers say, turned into changes of tasks.

use crate::placement::team_weights;
use crate::rows::{TaskRow, TaskState};
use crate::shard_loop::ShardLoop;
use crate::shard_state::{ShardState, StartState, TaskChange};
use crate::transition::{RunChoice, decide_run};
use crate::worker_link::{WorkerEvent, start_run, throttle_run};
use compio::runtime::spawn;
use std::collections::HashMap;
use std::time::Duration;
use wax_platform::{RenewReply, TaskMark, TaskReport, TaskRun, UsageReport};
use wax_policy::{CustomerWeights, MitigationChoice, MitigationView, THROTTLED_PERCENT};
use wax_settings::SettingsTree;
use wax_trace::{Counter, count, count_many};
use wax_types::{TaskId, TimePoint, WorkerId};

/// A task that is no longer throttled, in percent of its size.
const FULL_SIZE_PERCENT: u8 = 100;
/// Failed runs in a row after which a worker is quarantined.
const FAILURES_TO_QUARANTINE: u32 = 5;
/// After this time a quarantined worker gets a task again, as a probe.
const QUARANTINE_TIME: Duration = Duration::from_secs(30);

impl ShardLoop {
    /// Turns what the workers said into changes, one at most for each task.
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
            WorkerEvent::Renewed(worker, reply, sent) => self.process_renewal(&worker, reply, sent),
            WorkerEvent::RunChanged(worker, report) => {
                let mut state = self.shared.state.borrow_mut();
                if let Some(task) = state.tasks.get_mut(&report.mark.task) {
                    task.stopping = false;
                }
                drop(state);
                self.process_run(&worker, &report).into_iter().collect()
            }
            WorkerEvent::StartRefused(worker, run_id, reason) => {
                let run = TaskRun::Failed(reason);
                let report = TaskReport { mark: run_id, run };
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

    pub(crate) fn process_renewal(
        &mut self,
        worker: &WorkerId,
        reply: RenewReply,
        sent: TimePoint,
    ) -> Vec<TaskChange> {
        let mut changes = Vec::new();
        self.update_boot(worker, reply.boot);
        for report in &reply.runs {
            changes.extend(self.process_run(worker, report));
        }
        let missing = self.find_missing_runs(worker, &reply, sent);
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

    /// Throttles, restores or evicts one neighbour of a slowed latency-critical task.
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

    pub(crate) fn throttle(&self, worker: &WorkerId, task: TaskId, percent: u8) {
        let state = self.shared.state.borrow();
        let Some(row) = state.tasks.get(&task).and_then(|entry| entry.row.as_ref()) else {
            return;
        };
        let run_id = TaskMark {
            task,
            epoch: row.epoch,
        };
        let call = throttle_run(self.shared.clone(), worker.clone(), run_id, percent);
        spawn(call).detach();
    }

    /// A worker that started anew has forgotten what it was told to keep.
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

    pub(crate) fn process_run(&self, worker: &WorkerId, report: &TaskReport) -> Option<TaskChange> {
        let now = self.shared.now();
        let mut state = self.shared.state.borrow_mut();
        let run_id = report.mark;
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

    /// Runs that should be at the worker and are not: started again, or lost with its memory.
    pub(crate) fn find_missing_runs(
        &self,
        worker: &WorkerId,
        reply: &RenewReply,
        sent: TimePoint,
    ) -> Vec<TaskChange> {
        let mut state = self.shared.state.borrow_mut();
        let mut changes = Vec::new();
        for run_id in state.run_ids_on(worker) {
            if reply.runs.iter().any(|run| run.mark == run_id) {
                continue;
            }
            let Some(task) = state.tasks.get_mut(&run_id.task) else {
                continue;
            };
            match task.start {
                StartState::Sending => {}
                StartState::Running(boot) if boot == reply.boot => {
                    // The report was on its way while the start was answered.
                    tracing::debug!(%worker, task = %run_id.task, sent = sent.0, "run not in report");
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

    /// Every lease at a worker has lapsed: its tasks wait for another one.
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
            tracing::warn!(%worker, tasks = lost.len(), "leases lapsed; tasks wait again");
        }
        lost
    }
}

impl ShardState {
    /// Decides what to do about the worst slowdown of a latency-critical task at a worker.
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
        let Some(capacity) = self.table.get(entry.key) else {
            return MitigationChoice::Keep;
        };
        let most_slowed = usage
            .iter()
            .filter_map(|report| {
                let mut urgent = capacity.tasks().iter().filter(|task| task.urgent);
                let task = urgent.find(|task| task.task == report.mark.task)?;
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

    /// Learns about the worker from the end of a run: one that fails every task is quarantined.
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
            // The probe after the quarantine must succeed, or it begins again.
            entry.failures = FAILURES_TO_QUARANTINE - 1;
            let key = entry.key;
            self.table.set_open(key, false);
        }
    }
}
