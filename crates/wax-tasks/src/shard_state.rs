//! What the owner of a shard holds in memory; every change is committed to the table first.

use crate::rows::{AllocEntry, AllocRow, PartRow, TaskRow, TaskState};
use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::Duration;
use wax_platform::{TaskMark, WorkerInfo};
use wax_policy::{RunningTask, TaskDemand, WorkerContact, WorkerKey, WorkerTable};
use wax_settings::TaskClass;
use wax_types::{JobId, RowVersion, TaskEpoch, TaskId, TimePoint, WorkerId};

/// Each eviction that a task has suffered keeps it safe for this long after its next placement.
const EVICTED_SPAN: Duration = Duration::from_secs(30);
const MOST_EVICTIONS_COUNTED: u32 = 10;

/// Names a part: its job and the index of its first task.
pub(crate) type PartKey = (JobId, u32);

/// A part whose tasks have not all ended.
#[derive(Debug)]
pub(crate) struct PartEntry {
    pub(crate) row: PartRow,
    pub(crate) version: RowVersion,
    /// Tasks that have not ended.
    pub(crate) open: u32,
}

/// How far the start of a run has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StartState {
    /// It is not known whether the worker has the run.
    Unsure,
    /// A start is under way.
    Sending,
    /// The worker has said that it runs, in this start of the worker.
    Running(u64),
}

/// A task of an open part.
#[derive(Debug)]
pub(crate) struct TaskEntry {
    pub(crate) part: PartKey,
    pub(crate) row: Option<TaskRow>,
    pub(crate) version: RowVersion,
    pub(crate) start: StartState,
    /// A stop is under way, for an eviction or a cancellation.
    pub(crate) stopping: bool,
}

/// A worker of the shard.
#[derive(Debug)]
pub(crate) struct WorkerEntry {
    pub(crate) info: WorkerInfo,
    pub(crate) key: WorkerKey,
    pub(crate) alloc: AllocRow,
    pub(crate) version: RowVersion,
    pub(crate) contact: WorkerContact,
    /// The worker's clock when it answered, and our time when the answer came.
    pub(crate) clock: Option<(u64, TimePoint)>,
    pub(crate) boot: u64,
    pub(crate) orphans: HashMap<TaskMark, TimePoint>,
    pub(crate) forget: HashSet<TaskMark>,
    pub(crate) usage_through: u64,
    /// Runs that failed since one last succeeded.
    pub(crate) failures: u32,
    pub(crate) quarantined_until: Option<TimePoint>,
}

/// A change of one task, before it is committed.
#[derive(Debug, Clone)]
pub(crate) struct TaskChange {
    pub(crate) task: TaskId,
    pub(crate) next: TaskRow,
    /// The worker whose room is given back.
    pub(crate) release: Option<WorkerId>,
    /// The worker whose room is taken.
    pub(crate) reserve: Option<WorkerId>,
}

/// The state of one shard.
#[derive(Debug, Default)]
pub(crate) struct ShardState {
    pub(crate) parts: HashMap<PartKey, PartEntry>,
    pub(crate) tasks: HashMap<TaskId, TaskEntry>,
    /// Waiting tasks: urgent ones first, then by time of submission.
    pub(crate) queue: BTreeSet<(bool, u64, TaskId)>,
    pub(crate) workers: HashMap<WorkerId, WorkerEntry>,
    pub(crate) table: WorkerTable,
    pub(crate) worker_ids: HashMap<WorkerKey, WorkerId>,
    pub(crate) cancelled: HashSet<JobId>,
}

impl ShardState {
    /// Adds a part; tasks without a row wait.
    pub(crate) fn add_part(&mut self, row: PartRow, version: RowVersion) {
        let key = (row.job, row.place.first);
        if self.parts.contains_key(&key) {
            return;
        }
        for offset in 0..row.place.count {
            let task = TaskId {
                job: row.job,
                index: row.place.first + offset,
            };
            self.tasks.insert(
                task,
                TaskEntry {
                    part: key,
                    row: None,
                    version: RowVersion::default(),
                    start: StartState::Unsure,
                    stopping: false,
                },
            );
            self.queue.insert(queue_order(&row, task));
        }
        let open = row.place.count;
        self.parts.insert(key, PartEntry { row, version, open });
    }

    /// Takes the row of a task as it was loaded.
    pub(crate) fn load_task(&mut self, task: TaskId, row: TaskRow, version: RowVersion) {
        let Some(entry) = self.tasks.get_mut(&task) else {
            return;
        };
        entry.version = version;
        let part = entry.part;
        let waiting = row.state == TaskState::Waiting;
        let ended = row.state.is_terminal();
        entry.row = Some(row);
        if let Some(part) = self.parts.get_mut(&part) {
            if !waiting {
                self.queue.remove(&queue_order(&part.row, task));
            }
            if ended {
                part.open -= 1;
            }
        }
    }

    /// The spec of a task's job.
    pub(crate) fn part_of(&self, task: TaskId) -> Option<&PartEntry> {
        self.parts.get(&self.tasks.get(&task)?.part)
    }

    /// Marks of the runs that should be at a worker.
    pub(crate) fn marks_at(&self, worker: &WorkerId) -> Vec<TaskMark> {
        self.workers.get(worker).map_or_else(Vec::new, |entry| {
            entry
                .alloc
                .tasks
                .iter()
                .map(|alloc| TaskMark {
                    task: alloc.task,
                    epoch: alloc.epoch,
                })
                .collect()
        })
    }

    /// What a task needs.
    pub(crate) fn demand(&self, task: TaskId) -> Option<TaskDemand> {
        let part = self.part_of(task)?;
        Some(TaskDemand {
            size: part.row.spec.size,
            urgent: part.row.spec.class == TaskClass::LatencyCritical,
        })
    }

    /// The row of a task under its next placement.
    pub(crate) fn placed_row(&self, task: TaskId, worker: &WorkerId) -> Option<TaskRow> {
        let entry = self.tasks.get(&task)?;
        let mut row = entry.row.clone().unwrap_or(TaskRow {
            epoch: TaskEpoch::default(),
            state: TaskState::Waiting,
            failures: 0,
            failed_on: Vec::new(),
            checkpoint: None,
            evictions: 0,
        });
        row.epoch = row.epoch.next();
        row.state = TaskState::Placed(worker.clone());
        Some(row)
    }

    /// The allocation entry of a placed task.
    pub(crate) fn alloc_entry(&self, task: TaskId, epoch: TaskEpoch) -> Option<AllocEntry> {
        let size = self.part_of(task)?.row.spec.size;
        Some(AllocEntry { task, epoch, size })
    }

    /// Takes a change that was committed.
    pub(crate) fn apply(&mut self, now: TimePoint, change: &TaskChange, version: RowVersion) {
        let Some(entry) = self.tasks.get_mut(&change.task) else {
            return;
        };
        entry.version = version;
        entry.row = Some(change.next.clone());
        entry.start = StartState::Unsure;
        entry.stopping = false;
        let part = entry.part;
        if let Some(part) = self.parts.get_mut(&part) {
            let order = queue_order(&part.row, change.task);
            if change.next.state == TaskState::Waiting {
                self.queue.insert(order);
            } else {
                self.queue.remove(&order);
            }
            if change.next.state.is_terminal() {
                part.open -= 1;
            }
        }
        if let Some(worker) = &change.release {
            self.release(worker, change.task);
        }
        if let Some(worker) = &change.reserve {
            self.reserve(now, worker, change);
        }
    }

    fn release(&mut self, worker: &WorkerId, task: TaskId) {
        if let Some(entry) = self.workers.get(worker) {
            self.table.release(entry.key, task);
        }
    }

    fn reserve(&mut self, now: TimePoint, worker: &WorkerId, change: &TaskChange) {
        let Some(demand) = self.demand(change.task) else {
            return;
        };
        let Some(entry) = self.workers.get(worker) else {
            return;
        };
        let safe = EVICTED_SPAN * change.next.evictions.min(MOST_EVICTIONS_COUNTED);
        let running = RunningTask {
            task: change.task,
            size: demand.size,
            evictable: !demand.urgent,
            saved: now,
            settled: now + safe,
        };
        self.table.reserve(entry.key, running);
    }

    /// Drops a part that was closed.
    pub(crate) fn drop_part(&mut self, key: PartKey) {
        let Some(part) = self.parts.remove(&key) else {
            return;
        };
        for offset in 0..part.row.place.count {
            let task = TaskId {
                job: part.row.job,
                index: part.row.place.first + offset,
            };
            self.tasks.remove(&task);
            self.queue.remove(&queue_order(&part.row, task));
        }
        if !self.parts.keys().any(|(job, _)| *job == key.0) {
            self.cancelled.remove(&key.0);
        }
    }
}

/// Sorts urgent tasks before others, then by time of submission.
pub(crate) fn queue_order(part: &PartRow, task: TaskId) -> (bool, u64, TaskId) {
    let urgent = part.spec.class == TaskClass::LatencyCritical;
    (!urgent, part.submitted_ms, task)
}
