//! Group commit: builds one transaction from the changes of many tasks and leaves out placements
//! that would exceed the capacity of a worker.

use crate::rows::{
    AllocRow, ClosedRow, TaskRow, TasksRow, alloc_key, closed_key, part_key, shard_key, tasks_key,
};
use crate::shard_state::{PartEntry, PartKey, ShardState, TaskChange};
use crate::term::OwnerTerm;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use wax_platform::TableTransaction;
use wax_types::{RowVersion, TaskId, TimePoint, WorkerId, wall_clock_ms};

/// Changes that are committed in one transaction.
#[derive(Debug)]
pub(crate) struct ChangeGroup {
    pub(crate) transaction: TableTransaction,
    pub(crate) changes: Vec<TaskChange>,
    allocs: BTreeMap<WorkerId, AllocRow>,
    closing: Vec<PartKey>,
}

/// Builds a group from `changes`. Placements that would exceed the capacity of their worker are
/// left out.
pub(crate) fn build_group(
    state: &ShardState,
    term: &OwnerTerm,
    changes: Vec<TaskChange>,
) -> ChangeGroup {
    let mut allocs = BTreeMap::new();
    let changes: Vec<TaskChange> = changes
        .into_iter()
        .filter(|change| update_allocations(state, &mut allocs, change))
        .collect();
    let closing = closing_parts(state, &changes);
    let mut group = ChangeGroup {
        transaction: TableTransaction::default(),
        changes,
        allocs,
        closing,
    };
    group.fill_transaction(state, term);
    group
}

/// Builds the transaction that deletes processed messages from the inbox of a shard.
///
/// The transaction requires that the shard's row is unchanged, so a former owner cannot delete
/// messages. Otherwise a new owner that loaded the shard before the messages were written would
/// never learn of their jobs.
pub(crate) fn build_inbox_removal(
    term: &OwnerTerm,
    messages: Vec<(Box<str>, RowVersion)>,
) -> TableTransaction {
    let mut transaction = TableTransaction::default();
    for (key, version) in messages {
        transaction.delete(key, version);
    }
    transaction.require(shard_key(term.shard()), term.version());
    transaction
}

/// Adds and removes the allocations of a change in `allocs`. Returns false, without any update, if
/// the placement would exceed the capacity of the worker.
fn update_allocations(
    state: &ShardState,
    allocs: &mut BTreeMap<WorkerId, AllocRow>,
    change: &TaskChange,
) -> bool {
    if let (Some((worker, _)), Some(added)) = (&change.reserve, change.allocation()) {
        let Some(entry) = state.workers.get(worker) else {
            return false;
        };
        let mut row = allocs.get(worker).unwrap_or(&entry.alloc).clone();
        row.tasks.push(added);
        let fits = row
            .reserved()
            .is_some_and(|reserved| reserved.fits_in(entry.info.capacity));
        if !fits {
            return false;
        }
        allocs.insert(worker.clone(), row);
    }
    if let Some(worker) = &change.release
        && let Some(entry) = state.workers.get(worker)
    {
        let row = allocs
            .entry(worker.clone())
            .or_insert_with(|| entry.alloc.clone());
        row.tasks.retain(|alloc| alloc.task != change.task);
    }
    true
}

/// Returns the parts whose last open tasks end with these changes.
fn closing_parts(state: &ShardState, changes: &[TaskChange]) -> Vec<PartKey> {
    let mut ended_tasks: HashMap<PartKey, u32> = HashMap::new();
    for change in changes
        .iter()
        .filter(|change| change.next.state.is_terminal())
    {
        if let Some(entry) = state.tasks.get(&change.task) {
            *ended_tasks.entry(entry.part).or_default() += 1;
        }
    }
    ended_tasks
        .into_iter()
        .filter(|(key, ended_tasks)| {
            state
                .parts
                .get(key)
                .is_some_and(|part| part.open_tasks == *ended_tasks)
        })
        .map(|(key, _)| key)
        .collect()
}

impl ChangeGroup {
    fn fill_transaction(&mut self, state: &ShardState, term: &OwnerTerm) {
        let shard = term.shard();
        for key in self.closing.clone() {
            self.close_part(state, term, key);
        }
        for key in self.open_parts(state) {
            if let Some(part) = state.parts.get(&key) {
                let row = TasksRow {
                    tasks: self.task_rows(state, part),
                };
                let version = part.tasks_version;
                self.transaction
                    .put(tasks_key(shard, key.0, key.1), version, &row);
            }
        }
        for (worker, row) in &self.allocs {
            let version = state.workers.get(worker).map(|entry| entry.alloc_version);
            let key = alloc_key(shard, worker);
            self.transaction.put(key, version.unwrap_or_default(), row);
        }
        if !self.transaction.is_empty() {
            self.transaction.require(shard_key(shard), term.version());
        }
    }

    /// Returns the parts that have changed tasks and stay open.
    fn open_parts(&self, state: &ShardState) -> BTreeSet<PartKey> {
        let changed = self
            .changes
            .iter()
            .filter_map(|change| Some(state.tasks.get(&change.task)?.part));
        changed.filter(|key| !self.closing.contains(key)).collect()
    }

    /// Returns the rows of all tasks of a part with the changes of this group applied.
    fn task_rows(&self, state: &ShardState, part: &PartEntry) -> Vec<Option<TaskRow>> {
        let location = part.row.location;
        let tasks = (location.first..location.first + location.count).map(|index| TaskId {
            job: part.row.job,
            index,
        });
        tasks
            .map(|task| {
                let change = self.changes.iter().find(|change| change.task == task);
                match change {
                    Some(change) => Some(change.next.clone()),
                    None => state.tasks.get(&task)?.row.clone(),
                }
            })
            .collect()
    }

    /// Writes the final rows of a part's tasks into one closed row, and deletes the rows of the
    /// part and of its tasks.
    fn close_part(&mut self, state: &ShardState, term: &OwnerTerm, key: PartKey) {
        let Some(part) = state.parts.get(&key) else {
            return;
        };
        let shard = term.shard();
        let closed = ClosedRow {
            tasks: self.task_rows(state, part).into_iter().flatten().collect(),
        };
        self.transaction
            .put(closed_key(key.0, key.1), RowVersion::default(), &closed);
        self.transaction
            .delete(part_key(shard, key.0, key.1), part.version);
        if part.tasks_version != RowVersion::default() {
            self.transaction
                .delete(tasks_key(shard, key.0, key.1), part.tasks_version);
        }
    }

    /// Applies the group to the in-memory state after its commit, which gave the rows `version`.
    pub(crate) fn apply(&self, state: &mut ShardState, now: TimePoint, version: RowVersion) {
        for change in &self.changes {
            state.apply(now, change, version);
        }
        for (worker, row) in &self.allocs {
            if let Some(entry) = state.workers.get_mut(worker) {
                entry.alloc = row.clone();
                entry.tasks_changed_ms = wall_clock_ms();
                entry.alloc_version = version;
            }
        }
        for key in &self.closing {
            state.remove_part(*key);
        }
    }
}
