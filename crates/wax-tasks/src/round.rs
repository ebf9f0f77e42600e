//! One round of ownership on one loaded state: decide, commit, act.

use crate::commit::{ChangeGroup, build_group};
use crate::rows::{TaskRow, TaskState};
use crate::shard::{RoundEnd, ShardShared};
use crate::shard_state::{ShardState, TaskChange};
use crate::worker_link::{SHARD_TICK, WorkerEvent, keep_worker, start_run};
use compio::runtime::spawn;
use compio::time::sleep;
use fastrand::Rng;
use futures_channel::mpsc::UnboundedReceiver;
use std::rc::Rc;
use std::time::Duration;
use wax_platform::{CommitOutcome, TaskRunId};
use wax_trace::{Counter, count};
use wax_types::{TimePoint, WorkerId};

/// Between two looks at the platform's list of workers.
pub(crate) const DIRECTORY_PERIOD: Duration = Duration::from_secs(2);
/// A commit is offered this long before its fate is looked at again.
pub(crate) const COMMIT_SPAN: Duration = Duration::from_secs(2);
/// After a commit that could not be sent.
const COMMIT_PAUSE: Duration = Duration::from_millis(100);

/// One round of ownership on one loaded state.
pub(crate) struct ShardRound {
    pub(crate) shared: Rc<ShardShared>,
    pub(crate) events: UnboundedReceiver<WorkerEvent>,
    pub(crate) rng: Rng,
    pub(crate) inbox_due: TimePoint,
    pub(crate) quota_due: TimePoint,
    pub(crate) directory_due: TimePoint,
}

impl ShardRound {
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

    pub(crate) async fn run(mut self) -> RoundEnd {
        let workers: Vec<WorkerId> = self.shared.state.borrow().workers.keys().cloned().collect();
        for worker in workers {
            spawn(keep_worker(self.shared.clone(), worker)).detach();
        }
        spawn(crate::ledger_feed::write_usage(self.shared.clone())).detach();
        self.shared.state.borrow_mut().forget_stops();
        while self.shared.holds() {
            let mut changes = self.take_events();
            changes.extend(self.cancel_waiting());
            changes.extend(self.place_waiting(&changes));
            if let Some(end) = self.commit(changes).await {
                return end;
            }
            self.stop_cancelled();
            self.stop_orphans();
            self.read_notes().await;
            self.adjust_quotas().await;
            self.refresh_workers().await;
            sleep(SHARD_TICK).await;
        }
        RoundEnd::Ended
    }

    /// Commits a group; `None` where the round goes on.
    pub(crate) async fn commit(&mut self, changes: Vec<TaskChange>) -> Option<RoundEnd> {
        if changes.is_empty() {
            return None;
        }
        let group = build_group(&self.shared.state.borrow(), &self.shared.term, changes);
        if group.transaction.is_empty() {
            return None;
        }
        let mut sent = false;
        loop {
            let deadline = self.shared.now() + COMMIT_SPAN;
            let outcome = self
                .shared
                .table
                .resume_commit(&group.transaction, deadline, sent)
                .await;
            match outcome {
                CommitOutcome::Committed(version) => {
                    self.finish_commit(&group, version);
                    return None;
                }
                CommitOutcome::Conflict(keys) => {
                    tracing::debug!(shard = %self.shared.term.shard(), ?keys, "commit refused");
                    let own = crate::rows::shard_key(self.shared.term.shard());
                    if keys.iter().any(|key| **key == *own) {
                        self.shared.term.end();
                        return Some(RoundEnd::Ended);
                    }
                    return Some(RoundEnd::Reload);
                }
                CommitOutcome::NotSent(_) => sleep(COMMIT_PAUSE).await,
                CommitOutcome::Unknown(_) => sent = true,
            }
            if !self.shared.holds() {
                return Some(RoundEnd::Ended);
            }
        }
    }

    pub(crate) fn finish_commit(&self, group: &ChangeGroup, version: wax_types::RowVersion) {
        let now = self.shared.now();
        group.apply(&mut self.shared.state.borrow_mut(), now, version);
        for change in &group.changes {
            count_change(&change.next);
            if let Some((worker, _)) = &change.reserve {
                let mark = TaskRunId {
                    task: change.task,
                    epoch: change.next.epoch,
                };
                spawn(start_run(self.shared.clone(), worker.clone(), mark)).detach();
            }
        }
    }
}

impl ShardState {
    /// Forgets stops that an earlier round began.
    pub(crate) fn forget_stops(&mut self) {
        for task in self.tasks.values_mut() {
            task.stopping = false;
        }
    }
}

fn count_change(row: &TaskRow) {
    let counter = match &row.state {
        TaskState::Placed(_) => Counter::TasksPlaced,
        TaskState::Done(_) => Counter::TasksDone,
        TaskState::Waiting => Counter::TasksEvicted,
        TaskState::Failed(_) => Counter::TasksFailed,
        TaskState::Cancelled => return,
    };
    count(counter);
}
