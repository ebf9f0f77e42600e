//! Group commit: merges small transactions of many requests into few commits.

use crate::table::{CommitOutcome, TableClient, TableTransaction};
use compio::time::timeout;
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use futures_channel::oneshot;
use futures_util::StreamExt;
use futures_util::future::join_all;
use std::collections::HashSet;
use std::time::Duration;
use wax_types::{ErrorKind, ProcessClock, Step, TimePoint, WaxError};

/// Maximum number of transactions that are merged into one commit.
const MAX_GROUP_SIZE: usize = 64;

#[derive(Debug)]
struct GroupItem {
    transaction: TableTransaction,
    deadline: TimePoint,
    reply: oneshot::Sender<CommitOutcome>,
}

/// Writer that queues transactions. A background task commits them, one group at a time.
#[derive(Debug, Clone)]
pub struct GroupWriter {
    queue: UnboundedSender<GroupItem>,
    clock: ProcessClock,
}

impl GroupWriter {
    /// Starts the background task. It ends when the last clone of the writer is dropped.
    pub fn start(table: TableClient) -> Self {
        let (queue, items) = unbounded();
        let clock = table.store().clock();
        compio::runtime::spawn(write_groups(table, items)).detach();
        Self { queue, clock }
    }

    /// Commits a transaction, merged with others that are queued.
    ///
    /// A conflict of another transaction in the group does not affect the outcome. If there is no outcome by
    /// `deadline`, the result is `Unknown`.
    pub async fn commit(
        &self,
        transaction: TableTransaction,
        deadline: TimePoint,
    ) -> CommitOutcome {
        let (reply, outcome) = oneshot::channel();
        let item = GroupItem {
            transaction,
            deadline,
            reply,
        };
        let unavailable = |text| {
            let kind = ErrorKind::Unavailable(Duration::from_secs(1));
            WaxError::new(kind, Step::CommitTable, "table", text)
        };
        if self.queue.unbounded_send(item).is_err() {
            return CommitOutcome::NotSent(unavailable("the writer has stopped"));
        }
        // The caller gets an answer by the deadline even if the writer is busy with other groups.
        match timeout(deadline.since(self.clock.now()), outcome).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) => CommitOutcome::Unknown(unavailable("the writer stopped")),
            Err(_) => CommitOutcome::Unknown(unavailable("the table did not answer in time")),
        }
    }
}

async fn write_groups(table: TableClient, mut items: UnboundedReceiver<GroupItem>) {
    let mut deferred: Option<GroupItem> = None;
    loop {
        let first = match deferred.take() {
            Some(item) => item,
            None => match items.next().await {
                Some(item) => item,
                None => return,
            },
        };
        let mut group = vec![first];
        deferred = fill_group(&mut group, &mut items);
        // Drops transactions that are not sent yet and whose callers no longer wait.
        group.retain(|item| !item.reply.is_canceled());
        if !group.is_empty() {
            commit_group(&table, group).await;
        }
    }
}

/// Adds queued items whose keys do not overlap with those of the group. Returns the first item whose keys do.
fn fill_group(
    group: &mut Vec<GroupItem>,
    items: &mut UnboundedReceiver<GroupItem>,
) -> Option<GroupItem> {
    let mut keys: HashSet<Box<str>> = group[0]
        .transaction
        .condition_keys()
        .map(Into::into)
        .collect();
    while group.len() < MAX_GROUP_SIZE {
        let Ok(item) = items.try_recv() else {
            return None;
        };
        if item
            .transaction
            .condition_keys()
            .any(|key| keys.contains(key))
        {
            return Some(item);
        }
        keys.extend(item.transaction.condition_keys().map(Box::from));
        group.push(item);
    }
    None
}

/// Commits a group as one transaction. After a conflict or an indeterminate result, commits each item on its own.
async fn commit_group(table: &TableClient, group: Vec<GroupItem>) {
    let mut may_be_sent = false;
    if group.len() > 1 {
        let merged = merge(&group);
        let deadline = group.iter().map(|item| item.deadline).min();
        match table.commit(&merged, deadline.unwrap_or_default()).await {
            CommitOutcome::Conflict(_) => {}
            CommitOutcome::Unknown(_) => may_be_sent = true,
            shared => return answer_all(group, &shared),
        }
    }
    let commits = group.into_iter().map(|item| async move {
        let outcome = table
            .resume_commit(&item.transaction, item.deadline, may_be_sent)
            .await;
        // Fails only if the caller no longer waits.
        let _ = item.reply.send(outcome);
    });
    join_all(commits).await;
}

fn answer_all(group: Vec<GroupItem>, outcome: &CommitOutcome) {
    for item in group {
        let _ = item.reply.send(outcome.clone());
    }
}

fn merge(group: &[GroupItem]) -> TableTransaction {
    let mut merged = group[0].transaction.clone();
    for item in &group[1..] {
        merged.append(&item.transaction);
    }
    merged
}
