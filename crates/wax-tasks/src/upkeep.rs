//! Orphans, notes of new jobs, and the platform's list of workers.

use crate::commit::build_removal;
use crate::round::{COMMIT_SPAN, DIRECTORY_PERIOD, ShardRound};
use crate::rows::{InboxRow, PartRow, part_key};
use crate::shard_load::{add_worker, read_inbox};
use crate::split::shard_of_worker;
use crate::worker_link::{keep_worker, stop_run};
use compio::runtime::spawn;
use std::time::Duration;
use wax_platform::{TaskRunId, WorkerInfo};
use wax_policy::WorkerContact;
use wax_trace::{Counter, count};
use wax_types::{WaxError, WorkerId};

/// Between two looks at the notes of new jobs.
const INBOX_PERIOD: Duration = Duration::from_millis(200);

impl ShardRound {
    /// Stops runs without an allocation, once the ownership was confirmed after they were seen.
    pub(crate) fn stop_orphans(&self) {
        let confirmed = self.shared.term.confirmed();
        let due: Vec<(WorkerId, TaskRunId)> = {
            let mut state = self.shared.state.borrow_mut();
            let mut due = Vec::new();
            for (worker, entry) in &mut state.workers {
                let marks: Vec<TaskRunId> = entry
                    .orphans
                    .iter()
                    .filter(|(_, seen)| **seen < confirmed)
                    .map(|(mark, _)| *mark)
                    .collect();
                for mark in marks {
                    entry.orphans.remove(&mark);
                    due.push((worker.clone(), mark));
                }
            }
            due
        };
        for (worker, mark) in due {
            count(Counter::TasksOrphaned);
            tracing::warn!(%worker, task = %mark.task, epoch = %mark.epoch, "stopping an orphan");
            spawn(stop_run(self.shared.clone(), worker, mark)).detach();
        }
    }

    /// Takes new parts and cancellations, then deletes the notes.
    pub(crate) async fn read_notes(&mut self) {
        if self.shared.now() < self.inbox_due {
            return;
        }
        self.inbox_due = self.shared.now() + INBOX_PERIOD;
        let shard = self.shared.term.shard();
        let Ok(notes) = read_inbox(&self.shared.table, shard).await else {
            return;
        };
        let mut taken = Vec::new();
        for note in notes {
            if self.take_note(note.value).await.is_err() {
                break;
            }
            taken.push((note.key, note.version));
        }
        if !taken.is_empty() {
            let transaction = build_removal(&self.shared.term, taken);
            let deadline = self.shared.now() + COMMIT_SPAN;
            // A note that stays is taken again, which changes nothing.
            let _ = self.shared.table.commit(&transaction, deadline).await;
        }
    }

    pub(crate) async fn take_note(&self, note: InboxRow) -> Result<(), WaxError> {
        match note {
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

    /// Takes workers that the platform lists anew, and addresses that changed.
    pub(crate) async fn refresh_workers(&mut self) {
        if self.shared.now() < self.directory_due {
            return;
        }
        self.directory_due = self.shared.now() + DIRECTORY_PERIOD;
        let Ok(workers) = self.shared.directory.list().await else {
            return;
        };
        let shards = self.shared.options.shards;
        let own = self.shared.term.shard();
        for info in workers {
            if shard_of_worker(&info.id, shards) == own {
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
        tracing::info!(%worker, "worker listed");
        let contact = WorkerContact::after_takeover(now, &self.shared.options.terms);
        add_worker(&mut state, info, None, contact, now);
        drop(state);
        spawn(keep_worker(self.shared.clone(), worker)).detach();
    }
}
