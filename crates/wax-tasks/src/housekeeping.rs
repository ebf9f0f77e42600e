//! Periodic work of a shard's owner: stops orphaned runs, processes the shard's inbox, and reads
//! the platform's list of workers.

use crate::commit::build_inbox_removal;
use crate::rows::{InboxRow, PartRow, part_key};
use crate::shard_load::{add_worker, read_inbox};
use crate::shard_loop::{COMMIT_TIMEOUT, DIRECTORY_PERIOD, ShardLoop};
use crate::split::shard_of_worker;
use crate::worker_link::{run_worker_link, stop_run};
use compio::runtime::spawn;
use std::time::Duration;
use wax_platform::{TaskRunId, WorkerInfo};
use wax_policy::WorkerContact;
use wax_trace::{Counter, count};
use wax_types::{WaxError, WorkerId};

/// Interval between two reads of the shard's inbox.
const INBOX_PERIOD: Duration = Duration::from_millis(200);

impl ShardLoop {
    /// Stops orphans, which are runs without an allocation. A run is stopped only if the ownership of
    /// the shard was confirmed after the run was first reported, since a newer owner may have started
    /// it.
    pub(crate) fn stop_orphans(&self) {
        let confirmed_at = self.shared.term.confirmed_at();
        let due_stops: Vec<(WorkerId, TaskRunId)> = {
            let mut state = self.shared.state.borrow_mut();
            let mut due_stops = Vec::new();
            for (worker, entry) in &mut state.workers {
                let run_ids: Vec<TaskRunId> = entry
                    .orphans
                    .iter()
                    .filter(|(_, reported_at)| **reported_at < confirmed_at)
                    .map(|(run_id, _)| *run_id)
                    .collect();
                for run_id in run_ids {
                    entry.orphans.remove(&run_id);
                    due_stops.push((worker.clone(), run_id));
                }
            }
            due_stops
        };
        for (worker, run_id) in due_stops {
            count(Counter::TasksOrphaned);
            tracing::warn!(
                %worker, task = %run_id.task, epoch = %run_id.epoch,
                "stopping a run without an allocation"
            );
            spawn(stop_run(self.shared.clone(), worker, run_id)).detach();
        }
    }

    /// Processes the messages in the shard's inbox, then deletes them.
    pub(crate) async fn process_inbox(&mut self) {
        if self.shared.now() < self.inbox_due {
            return;
        }
        self.inbox_due = self.shared.now() + INBOX_PERIOD;
        let shard = self.shared.term.shard();
        let Ok(messages) = read_inbox(&self.shared.table, shard).await else {
            return;
        };
        let mut processed = Vec::new();
        for message in messages {
            if self.process_message(message.value).await.is_err() {
                break;
            }
            processed.push((message.key, message.version));
        }
        if !processed.is_empty() {
            let transaction = build_inbox_removal(&self.shared.term, processed);
            let deadline = self.shared.now() + COMMIT_TIMEOUT;
            // If the commit fails, the messages are processed again, which is idempotent.
            let _ = self.shared.table.commit(&transaction, deadline).await;
        }
    }

    pub(crate) async fn process_message(&self, message: InboxRow) -> Result<(), WaxError> {
        match message {
            InboxRow::Cancel(job) => {
                self.shared.state.borrow_mut().cancelled.insert(job);
            }
            InboxRow::Part(job, first) => {
                let key = part_key(self.shared.term.shard(), job, first);
                if let Some(part) = self.shared.table.read::<PartRow>(&key).await? {
                    let mut state = self.shared.state.borrow_mut();
                    state.add_part(part.value, part.version);
                }
            }
        }
        Ok(())
    }

    /// Adds workers that the platform newly lists, and updates addresses that have changed.
    pub(crate) async fn refresh_workers(&mut self) {
        if self.shared.now() < self.directory_due {
            return;
        }
        self.directory_due = self.shared.now() + DIRECTORY_PERIOD;
        let Ok(workers) = self.shared.directory.list().await else {
            return;
        };
        let shards = self.shared.options.shards;
        let own_shard = self.shared.term.shard();
        for info in workers {
            if shard_of_worker(&info.id, shards) == own_shard {
                self.refresh_worker(info);
            }
        }
    }

    pub(crate) fn refresh_worker(&self, info: WorkerInfo) {
        let now = self.shared.now();
        let mut state = self.shared.state.borrow_mut();
        if let Some(entry) = state.workers.get_mut(&info.id) {
            entry.info.address = info.address;
            return;
        }
        let worker = info.id.clone();
        tracing::info!(%worker, "new worker listed by the platform");
        let contact = WorkerContact::after_takeover(now, &self.shared.options.lease_timings);
        add_worker(&mut state, info, None, contact, now);
        drop(state);
        spawn(run_worker_link(self.shared.clone(), worker)).detach();
    }
}
