//! Places waiting tasks within the quotas of their teams, and stops tasks that are evicted or
//! cancelled.

use crate::quota::{adjust_grants, quota_of};
use crate::rows::{TaskRow, TaskState};
use crate::shard_loop::{COMMIT_TIMEOUT, ShardLoop};
use crate::shard_state::{ShardState, TaskChange};
use crate::worker_link::stop_run;
use compio::runtime::spawn;
use std::cell::RefCell;
use std::time::Duration;
use wax_platform::TaskRunId;
use wax_policy::{CustomerWeights, PlacementChoice, PlacementContext, RunningTask};
use wax_settings::{NodePath, SettingsTree};
use wax_types::{ResourceVector, TaskId, TimePoint, WorkerId};

/// Interval between two adjustments of the quota grants.
const QUOTA_PERIOD: Duration = Duration::from_millis(100);
/// Maximum number of tasks placed in one transaction.
const MAX_PLACEMENTS_PER_COMMIT: usize = 64;
/// Maximum number of queued tasks that are considered in one iteration of the shard's loop.
const MAX_QUEUE_SCAN: usize = 256;

impl ShardLoop {
    /// Returns the changes that end the waiting tasks of cancelled jobs.
    pub(crate) fn cancel_waiting(&self) -> Vec<TaskChange> {
        let state = self.shared.state.borrow();
        if state.cancelled.is_empty() {
            return Vec::new();
        }
        state
            .queue
            .iter()
            .filter(|(_, _, task)| state.cancelled.contains(&task.job))
            .take(MAX_QUEUE_SCAN)
            .map(|(_, _, task)| TaskChange {
                task: *task,
                next: state.cancelled_row(*task),
                release: None,
                reserve: None,
            })
            .collect()
    }

    /// Returns the changes that place waiting tasks, latency-critical ones first, and starts to
    /// evict tasks where a latency-critical task needs their capacity.
    ///
    /// `earlier_changes` are the changes of the same iteration, which are not committed yet.
    /// Nothing is placed before the drains are known.
    pub(crate) fn place_waiting(&mut self, earlier_changes: &[TaskChange]) -> Vec<TaskChange> {
        if !self.shared.drains.are_known() {
            return Vec::new();
        }
        let now = self.shared.now();
        let waiting: Vec<TaskId> = {
            let state = self.shared.state.borrow();
            let is_changing =
                |task: &TaskId| earlier_changes.iter().any(|change| change.task == *task);
            let tasks = state.queue.iter().map(|(_, _, task)| *task);
            tasks
                .filter(|task| !is_changing(task))
                .take(MAX_QUEUE_SCAN)
                .collect()
        };
        if waiting.is_empty() {
            return Vec::new();
        }
        let mut planned_table = self.shared.state.borrow().table_without_stopping();
        self.exclude_drained(&mut planned_table);
        for change in earlier_changes {
            if let Some(worker) = &change.release
                && let Some(entry) = self.shared.state.borrow().workers.get(worker)
            {
                planned_table.release(entry.key, change.task);
            }
        }
        {
            let mut state = self.shared.state.borrow_mut();
            let placed = state.placed_by_team();
            let placed = placed.iter().map(|(team, size)| (&**team, *size));
            state.quotas.begin_pass(placed);
        }
        let tree = self.shared.settings.tree();
        let mut changes = Vec::new();
        for task in waiting {
            if changes.len() >= MAX_PLACEMENTS_PER_COMMIT {
                break;
            }
            if !self.try_reserve_quota(&tree, task) {
                continue;
            }
            match self.place_task(now, &tree, task, &mut planned_table) {
                Some(change) => changes.push(change),
                None => self.unreserve_quota(task),
            }
        }
        changes
    }

    /// Closes drained workers, and those in drained failure domains, to placements.
    fn exclude_drained(&self, planned_table: &mut wax_policy::WorkerTable) {
        for entry in self.shared.state.borrow().workers.values() {
            if self.shared.drains.is_drained(&entry.info) {
                planned_table.set_open(entry.key, false);
            }
        }
    }

    /// Reserves the size of a task in the quota of its team; returns whether the quota allows it.
    pub(crate) fn try_reserve_quota(&self, tree: &SettingsTree, task: TaskId) -> bool {
        let mut state = self.shared.state.borrow_mut();
        let Some((team, size)) = state.quota_charge(task) else {
            return false;
        };
        let quota = quota_of(tree, &team);
        let shard = self.shared.term.shard();
        state.quotas.try_reserve(shard, &team, size, quota)
    }

    /// Reverts [`ShardLoop::try_reserve_quota`] for a task that fits no worker.
    pub(crate) fn unreserve_quota(&self, task: TaskId) {
        let mut state = self.shared.state.borrow_mut();
        if let Some((team, size)) = state.quota_charge(task) {
            state.quotas.unreserve(&team, size);
        }
    }

    /// Requests missing grants from the teams' quotas and returns unused ones.
    pub(crate) async fn adjust_quotas(&mut self) {
        if self.shared.now() < self.quota_due {
            return;
        }
        self.quota_due = self.shared.now() + QUOTA_PERIOD;
        if self.shared.state.borrow().queue.is_empty() {
            let mut state = self.shared.state.borrow_mut();
            let placed = state.placed_by_team();
            let placed = placed.iter().map(|(team, size)| (&**team, *size));
            state.quotas.begin_pass(placed);
        }
        let quotas = RefCell::new(std::mem::take(&mut self.shared.state.borrow_mut().quotas));
        let shard = self.shared.term.shard();
        let key = crate::rows::shard_key(shard);
        let deadline = self.shared.now() + COMMIT_TIMEOUT;
        let tree = self.shared.settings.tree();
        let guard = (key.as_str(), self.shared.term.version());
        // If the store does not answer, the grants stay unchanged.
        let _ = adjust_grants(&quotas, &self.shared.table, &tree, shard, guard, deadline).await;
        self.shared.state.borrow_mut().quotas = quotas.into_inner();
    }

    /// Chooses a worker for a waiting task and reserves its capacity in `planned_table`.
    ///
    /// Returns `None` if the task cannot be placed now. If other tasks must be evicted first, their
    /// stops are started; the task is placed in a later iteration, once their capacity is released.
    pub(crate) fn place_task(
        &mut self,
        now: TimePoint,
        tree: &SettingsTree,
        task: TaskId,
        planned_table: &mut wax_policy::WorkerTable,
    ) -> Option<TaskChange> {
        let state = self.shared.state.borrow();
        let demand = state.demand(task)?;
        let avoid = state.failed_workers(task);
        let context = PlacementContext {
            pairs: &state.pairs,
            weights: team_weights(tree, &state.part_of(task)?.row.spec.team),
            avoid: &avoid,
            policy: self.shared.options.policy,
        };
        match planned_table.choose(now, demand, context, &mut self.rng) {
            PlacementChoice::Place(key) => {
                let worker = state.worker_ids.get(&key)?.clone();
                let next = state.placed_row(task, &worker)?;
                let running = RunningTask {
                    task,
                    kind: demand.kind,
                    size: demand.size,
                    urgent: demand.urgent,
                    evictable: false,
                    saved_at: now,
                    protected_until: now,
                    due_today: false,
                };
                planned_table.reserve(key, running).then_some(TaskChange {
                    task,
                    next,
                    release: None,
                    reserve: Some((worker, demand.size)),
                })
            }
            PlacementChoice::Evict(key, evicted) => {
                let worker = state.worker_ids.get(&key)?.clone();
                drop(state);
                for evicted_task in evicted {
                    planned_table.release(key, evicted_task);
                    self.stop_task(&worker, evicted_task);
                }
                None
            }
            PlacementChoice::Wait | PlacementChoice::Impossible => None,
        }
    }

    /// Starts to stop a placed task, unless a stop is already in progress.
    pub(crate) fn stop_task(&self, worker: &WorkerId, task: TaskId) {
        let mut state = self.shared.state.borrow_mut();
        let Some(entry) = state.tasks.get_mut(&task) else {
            return;
        };
        let Some(row) = entry.row.as_ref().filter(|_| !entry.stopping) else {
            return;
        };
        let run_id = TaskRunId {
            task,
            epoch: row.epoch,
        };
        entry.stopping = true;
        spawn(stop_run(self.shared.clone(), worker.clone(), run_id)).detach();
    }

    /// Starts to stop the placed tasks of cancelled jobs.
    pub(crate) fn stop_cancelled(&self) {
        let placed: Vec<(TaskId, WorkerId)> = {
            let state = self.shared.state.borrow();
            if state.cancelled.is_empty() {
                return;
            }
            state.cancelled_runs()
        };
        for (task, worker) in placed {
            self.stop_task(&worker, task);
        }
    }
}

impl ShardState {
    /// Returns the team whose quota a task is charged to, and the size that is charged.
    pub(crate) fn quota_charge(&self, task: TaskId) -> Option<(Box<str>, ResourceVector)> {
        let size = self.demand(task)?.size;
        let team = self.part_of(task)?.row.spec.team.clone();
        Some((team, size))
    }

    /// Returns the row of a waiting task after its cancellation.
    pub(crate) fn cancelled_row(&self, task: TaskId) -> TaskRow {
        let row = self.tasks.get(&task).and_then(|entry| entry.row.clone());
        TaskRow {
            state: TaskState::Cancelled,
            ..row.unwrap_or(TaskRow {
                epoch: wax_types::TaskEpoch::default(),
                state: TaskState::Cancelled,
                failures: 0,
                failed_on: Vec::new(),
                checkpoint: None,
                evictions: 0,
            })
        }
    }

    /// Returns the worker table as it will be once all stops in progress have finished.
    ///
    /// Capacity that is about to be released counts as free, so that the waiting task that needs it
    /// does not evict more tasks than necessary. A placement on capacity that is not released yet
    /// is left out of the commit.
    pub(crate) fn table_without_stopping(&self) -> wax_policy::WorkerTable {
        let mut table = self.worker_table.clone();
        for (task, entry) in self.tasks.iter().filter(|(_, entry)| entry.stopping) {
            if let Some(TaskState::Placed(worker)) = entry.row.as_ref().map(|row| &row.state)
                && let Some(worker) = self.workers.get(worker)
            {
                table.release(worker.key, *task);
            }
        }
        table
    }

    /// Returns the placed tasks of cancelled jobs that are not being stopped yet, with their
    /// workers.
    pub(crate) fn cancelled_runs(&self) -> Vec<(TaskId, WorkerId)> {
        self.tasks
            .iter()
            .filter(|(task, entry)| self.cancelled.contains(&task.job) && !entry.stopping)
            .filter_map(|(task, entry)| match &entry.row.as_ref()?.state {
                TaskState::Placed(worker) => Some((*task, worker.clone())),
                _ => None,
            })
            .collect()
    }

    /// Returns the workers that a task avoids because one of its runs has failed there.
    pub(crate) fn failed_workers(&self, task: TaskId) -> Vec<wax_policy::WorkerKey> {
        let row = self.tasks.get(&task).and_then(|entry| entry.row.as_ref());
        row.map_or_else(Vec::new, |row| {
            let failed_on = row.failed_on.iter();
            let keys: Vec<_> = failed_on
                .filter_map(|worker| self.workers.get(worker).map(|entry| entry.key))
                .collect();
            // A task that has failed on every worker may be placed on any of them.
            if keys.len() >= self.workers.len() {
                Vec::new()
            } else {
                keys
            }
        })
    }
}

/// Returns the weights of a team's objectives by the settings in force.
pub(crate) fn team_weights(tree: &SettingsTree, team: &str) -> CustomerWeights {
    let settings = tree.resolve(&NodePath::team(team));
    CustomerWeights {
        tail: settings.weight_tail.into(),
        throughput: settings.weight_throughput.into(),
        eviction: settings.weight_eviction.into(),
    }
}
