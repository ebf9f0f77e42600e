//! What the owner of a shard holds in memory; every change is committed to the table first.

use crate::quota::ShardQuotas;
use crate::rows::{AllocEntry, AllocRow, PartRow, TaskRow, TaskState, TasksRow};
use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::Duration;
use wax_platform::{TaskMark, UsageReport, WorkerInfo};
use wax_policy::{
    KindKey, KindTable, MitigationState, PairTable, RunningTask, SizeTable, TaskDemand,
    WorkerContact, WorkerKey, WorkerTable,
};
use wax_settings::TaskClass;
use wax_types::{JobId, ResourceVector, RowVersion, TaskEpoch, TaskId, TimePoint, WorkerId};

/// Each eviction that a task has suffered keeps it safe for this long after its next placement.
const EVICTION_PROTECTION: Duration = Duration::from_secs(30);
const MAX_COUNTED_EVICTIONS: u32 = 10;

/// Names a part: its job and the index of its first task.
pub(crate) type PartKey = (JobId, u32);

/// A part whose tasks have not all ended.
#[derive(Debug)]
pub(crate) struct PartEntry {
    pub(crate) row: PartRow,
    pub(crate) kind: KindKey,
    pub(crate) version: RowVersion,
    /// The version of the row that says how its tasks stand; 0 before there is one.
    pub(crate) tasks_version: RowVersion,
    /// Tasks that have not ended.
    pub(crate) open_tasks: u32,
}

/// How far the start of a run has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StartState {
    /// It is not known whether the worker has the run.
    Unknown,
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
    pub(crate) alloc_version: RowVersion,
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
    /// When the set of its tasks last changed, Unix milliseconds.
    pub(crate) tasks_changed_ms: u64,
    pub(crate) mitigation: MitigationState,
}

/// A change of one task, before it is committed.
#[derive(Debug, Clone)]
pub(crate) struct TaskChange {
    pub(crate) task: TaskId,
    pub(crate) next: TaskRow,
    /// The worker whose room is given back.
    pub(crate) release: Option<WorkerId>,
    /// The worker whose room is taken, and how much of it.
    pub(crate) reserve: Option<(WorkerId, ResourceVector)>,
}

impl TaskChange {
    /// The allocation that the change adds.
    pub(crate) fn allocation(&self) -> Option<AllocEntry> {
        let (_, size) = self.reserve.as_ref()?;
        Some(AllocEntry {
            task: self.task,
            epoch: self.next.epoch,
            size: *size,
        })
    }
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
    pub(crate) kinds: KindTable,
    pub(crate) pairs: PairTable,
    pub(crate) sizes: SizeTable,
    pub(crate) quotas: ShardQuotas,
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
                    start: StartState::Unknown,
                    stopping: false,
                },
            );
            self.queue.insert(queue_order(&row, task));
        }
        let spec = &row.spec;
        let kind = self
            .kinds
            .key(&format!("{}/{}/{}", spec.team, spec.service, spec.kind));
        let open_tasks = row.place.count;
        let entry = PartEntry {
            row,
            kind,
            version,
            tasks_version: RowVersion::default(),
            open_tasks,
        };
        self.parts.insert(key, entry);
    }

    /// Takes the row of a part's tasks as it was loaded.
    pub(crate) fn load_task_rows(&mut self, key: PartKey, row: TasksRow, version: RowVersion) {
        if let Some(part) = self.parts.get_mut(&key) {
            part.tasks_version = version;
        }
        for (offset, row) in row.tasks.into_iter().enumerate() {
            let task = TaskId {
                job: key.0,
                index: key.1 + offset as u32,
            };
            if let Some(row) = row {
                self.load_task_row(task, row);
            }
        }
    }

    fn load_task_row(&mut self, task: TaskId, row: TaskRow) {
        let Some(entry) = self.tasks.get_mut(&task) else {
            return;
        };
        let part = entry.part;
        let waiting = row.state == TaskState::Waiting;
        let ended = row.state.is_terminal();
        entry.row = Some(row);
        if let Some(part) = self.parts.get_mut(&part) {
            if !waiting {
                self.queue.remove(&queue_order(&part.row, task));
            }
            if ended {
                part.open_tasks -= 1;
            }
        }
    }

    /// The spec of a task's job.
    pub(crate) fn part_of(&self, task: TaskId) -> Option<&PartEntry> {
        self.parts.get(&self.tasks.get(&task)?.part)
    }

    /// Marks of the runs that should be at a worker.
    pub(crate) fn run_ids_on(&self, worker: &WorkerId) -> Vec<TaskMark> {
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
        let declared = part.row.spec.size;
        let learned = self.sizes.corrected_size(part.kind, declared);
        let fits = |entry: &WorkerEntry| learned.fits_in(entry.info.capacity);
        Some(TaskDemand {
            kind: part.kind,
            // What was learned never makes a task too large for every worker.
            size: if self.workers.values().any(fits) {
                learned
            } else {
                declared
            },
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

    /// What each team has placed here.
    pub(crate) fn placed_by_team(&self) -> Vec<(Box<str>, ResourceVector)> {
        self.workers
            .values()
            .flat_map(|worker| &worker.alloc.tasks)
            .filter_map(|alloc| {
                let part = self.part_of(alloc.task)?;
                Some((part.row.spec.team.clone(), alloc.size))
            })
            .collect()
    }

    /// Learns from late usage: true sizes, and what neighbours do to each other.
    ///
    /// A report from before the worker's tasks last changed says nothing about its neighbours of
    /// now, and is used for the size only.
    pub(crate) fn learn_from_usage(&mut self, worker: &WorkerId, report: &UsageReport) {
        let Some(part) = self.part_of(report.mark.task) else {
            return;
        };
        let (kind, declared) = (part.kind, part.row.spec.size);
        let used = ResourceVector::new(report.peak_cpu_milli, report.peak_memory_mib, 0);
        self.sizes.learn(kind, declared, used);
        let Some(entry) = self.workers.get(worker) else {
            return;
        };
        let Some(capacity) = self.table.get(entry.key) else {
            return;
        };
        if report.start_ms < entry.tasks_changed_ms {
            return;
        }
        let others = capacity
            .tasks()
            .iter()
            .filter(|task| task.task != report.mark.task);
        let neighbours: Vec<KindKey> = others.map(|task| task.kind).collect();
        let band = capacity.load_band();
        let excess = f64::from(report.slowdown_percent) / 100.0 - 1.0;
        self.pairs.learn(kind, &neighbours, band, excess.max(0.0));
    }

    /// Takes a change that was committed.
    pub(crate) fn apply(&mut self, now: TimePoint, change: &TaskChange, version: RowVersion) {
        let Some(entry) = self.tasks.get_mut(&change.task) else {
            return;
        };
        entry.row = Some(change.next.clone());
        entry.start = StartState::Unknown;
        entry.stopping = false;
        let part = entry.part;
        if let Some(part) = self.parts.get_mut(&part) {
            part.tasks_version = version;
            let order = queue_order(&part.row, change.task);
            if change.next.state == TaskState::Waiting {
                self.queue.insert(order);
            } else {
                self.queue.remove(&order);
            }
            if change.next.state.is_terminal() {
                part.open_tasks -= 1;
            }
        }
        if let Some(worker) = &change.release {
            self.release(worker, change.task);
        }
        if let Some((worker, size)) = &change.reserve {
            self.reserve(now, worker, *size, change);
        }
    }

    fn release(&mut self, worker: &WorkerId, task: TaskId) {
        if let Some(entry) = self.workers.get(worker) {
            self.table.release(entry.key, task);
        }
    }

    fn reserve(
        &mut self,
        now: TimePoint,
        worker: &WorkerId,
        size: ResourceVector,
        change: &TaskChange,
    ) {
        let Some(demand) = self.demand(change.task) else {
            return;
        };
        let Some(entry) = self.workers.get(worker) else {
            return;
        };
        let protection = EVICTION_PROTECTION * change.next.evictions.min(MAX_COUNTED_EVICTIONS);
        let running = RunningTask {
            task: change.task,
            kind: demand.kind,
            size,
            urgent: demand.urgent,
            evictable: !demand.urgent,
            saved_at: now,
            protected_until: now + protection,
            due_today: false,
        };
        self.table.reserve(entry.key, running);
    }

    /// Drops a part that was closed.
    pub(crate) fn remove_part(&mut self, key: PartKey) {
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
