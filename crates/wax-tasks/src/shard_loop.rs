//! Main loop of the owner of a shard: decides changes of tasks, commits them, and then makes the
//! resulting calls to workers. The loop ends when the term ends or the state must be loaded again.

use crate::commit::{ChangeGroup, build_group};
use crate::rows::{TaskRow, TaskState};
use crate::shard::{LoopExit, ShardShared};
use crate::shard_state::{ShardState, TaskChange};
use crate::worker_link::{SHARD_LOOP_PERIOD, WorkerEvent, run_worker_link, start_run};
use compio::runtime::spawn;
use compio::time::sleep;
use fastrand::Rng;
use futures_channel::mpsc::UnboundedReceiver;
use std::rc::Rc;
use std::time::Duration;
use wax_platform::{CommitOutcome, TaskRunId};
use wax_trace::{Counter, count};
use wax_types::{TimePoint, WorkerId};

/// Interval between two reads of the platform's list of workers.
pub(crate) const DIRECTORY_PERIOD: Duration = Duration::from_secs(2);
/// Time-out of one attempt to commit. The owner then checks its term before it tries again.
pub(crate) const COMMIT_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before a commit that could not be sent is retried.
const COMMIT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Main loop of the owner of a shard on one loaded state.
pub(crate) struct ShardLoop {
    pub(crate) shared: Rc<ShardShared>,
    pub(crate) events: UnboundedReceiver<WorkerEvent>,
    pub(crate) rng: Rng,
    /// Time of the next read of the shard's inbox.
    pub(crate) inbox_due: TimePoint,
    /// Time of the next adjustment of the quota grants.
    pub(crate) quota_due: TimePoint,
    /// Time of the next read of the platform's list of workers.
    pub(crate) directory_due: TimePoint,
}

impl ShardLoop {
    pub(crate) fn new(shared: Rc<ShardShared>, events: UnboundedReceiver<WorkerEvent>) -> Self {
        let now = shared.now();
        Self {
            shared,
            events,
            rng: Rng::new(),
            inbox_due: now,
            quota_due: now,
            directory_due: now + DIRECTORY_PERIOD,
        }
    }

    pub(crate) async fn run(mut self) -> LoopExit {
        let workers: Vec<WorkerId> = self.shared.state.borrow().workers.keys().cloned().collect();
        for worker in workers {
            spawn(run_worker_link(self.shared.clone(), worker)).detach();
        }
        spawn(crate::ledger_feed::run_usage_writer(self.shared.clone())).detach();
        self.shared.state.borrow_mut().clear_stopping();
        while self.shared.is_term_active() {
            let mut changes = self.process_events();
            changes.extend(self.cancel_waiting());
            changes.extend(self.place_waiting(&changes));
            if let Some(exit) = self.commit(changes).await {
                return exit;
            }
            self.stop_cancelled();
            self.stop_orphans();
            self.process_inbox().await;
            self.adjust_quotas().await;
            self.refresh_workers().await;
            sleep(SHARD_LOOP_PERIOD).await;
        }
        LoopExit::TermEnded
    }

    /// Commits `changes` and applies them to the state. Returns `None` if the main loop continues,
    /// otherwise the reason for which it must end.
    pub(crate) async fn commit(&mut self, changes: Vec<TaskChange>) -> Option<LoopExit> {
        if changes.is_empty() {
            return None;
        }
        let group = build_group(&self.shared.state.borrow(), &self.shared.term, changes);
        if group.transaction.is_empty() {
            return None;
        }
        let mut maybe_sent = false;
        loop {
            let deadline = self.shared.now() + COMMIT_TIMEOUT;
            let outcome = self
                .shared
                .table
                .resume_commit(&group.transaction, deadline, maybe_sent)
                .await;
            match outcome {
                CommitOutcome::Committed(version) => {
                    self.apply_commit(&group, version);
                    return None;
                }
                CommitOutcome::Conflict(keys) => {
                    tracing::debug!(
                        shard = %self.shared.term.shard(), ?keys,
                        "commit conflicts with the table"
                    );
                    let own_key = crate::rows::shard_key(self.shared.term.shard());
                    if keys.iter().any(|key| **key == *own_key) {
                        self.shared.term.end();
                        return Some(LoopExit::TermEnded);
                    }
                    return Some(LoopExit::Reload);
                }
                CommitOutcome::NotSent(_) => sleep(COMMIT_RETRY_DELAY).await,
                CommitOutcome::Unknown(_) => maybe_sent = true,
            }
            if !self.shared.is_term_active() {
                return Some(LoopExit::TermEnded);
            }
        }
    }

    /// Applies a committed group to the state, and starts the runs that the group has placed.
    pub(crate) fn apply_commit(&self, group: &ChangeGroup, version: wax_types::RowVersion) {
        let now = self.shared.now();
        group.apply(&mut self.shared.state.borrow_mut(), now, version);
        for change in &group.changes {
            count_new_state(&change.next);
            if let Some((worker, _)) = &change.reserve {
                let run_id = TaskRunId {
                    task: change.task,
                    epoch: change.next.epoch,
                };
                spawn(start_run(self.shared.clone(), worker.clone(), run_id)).detach();
            }
        }
    }
}

impl ShardState {
    /// Clears the `stopping` flag of all tasks: no stop of this loop is in progress yet.
    pub(crate) fn clear_stopping(&mut self) {
        for task in self.tasks.values_mut() {
            task.stopping = false;
        }
    }
}

fn count_new_state(row: &TaskRow) {
    let counter = match &row.state {
        TaskState::Placed(_) => Counter::TasksPlaced,
        TaskState::Done(_) => Counter::TasksDone,
        TaskState::Waiting => Counter::TasksEvicted,
        TaskState::Failed(_) => Counter::TasksFailed,
        TaskState::Cancelled => return,
    };
    count(counter);
}
