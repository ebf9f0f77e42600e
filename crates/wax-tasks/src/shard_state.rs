//! In-memory state of the owner of a shard. Changes of tasks are committed to the table before they
//! are applied here.

use crate::quota::ShardQuotas;
use crate::rows::{AllocEntry, AllocRow, PartRow, TaskRow, TaskState, TasksRow};
use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::Duration;
use wax_platform::{TaskRunId, UsageReport, WorkerInfo};
use wax_policy::{
    KindKey, KindTable, MitigationState, PairTable, RunningTask, SizeTable, TaskDemand,
    WorkerContact, WorkerKey, WorkerTable,
};
use wax_settings::TaskClass;
use wax_types::{JobId, ResourceVector, RowVersion, TaskEpoch, TaskId, TimePoint, WorkerId};

/// Time for which a task is protected from eviction after a placement, for each eviction so far.
const EVICTION_PROTECTION: Duration = Duration::from_secs(30);
/// Maximum number of evictions that extend the protection of a task.
const MAX_COUNTED_EVICTIONS: u32 = 10;

/// Identifies a part by its job and the index of its first task.
pub(crate) type PartKey = (JobId, u32);

/// Part of a job in which not all tasks have ended.
#[derive(Debug)]
pub(crate) struct PartEntry {
    pub(crate) row: PartRow,
    pub(crate) kind: KindKey,
    /// Version of the part's row; a condition of its deletion.
    pub(crate) version: RowVersion,
    /// Version of the row with the states of the part's tasks; 0 before that row is written.
    pub(crate) tasks_version: RowVersion,
    /// Number of tasks that have not ended.
    pub(crate) open_tasks: u32,
}

/// State of the start of a run at its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StartState {
    /// The worker may or may not have the run.
    Unknown,
    /// A call that starts the run is in progress.
    Sending,
    /// The worker has confirmed the run, in the given boot.
    Running(u64),
}

/// Task of an open part.
#[derive(Debug)]
pub(crate) struct TaskEntry {
    pub(crate) part: PartKey,
    /// Last committed row; `None` before the first placement.
    pub(crate) row: Option<TaskRow>,
    pub(crate) start: StartState,
    /// Whether a stop is in progress, for an eviction, a cancellation or a drain.
    pub(crate) stopping: bool,
}

/// Worker of the shard.
#[derive(Debug)]
pub(crate) struct WorkerEntry {
    pub(crate) info: WorkerInfo,
    pub(crate) key: WorkerKey,
    pub(crate) alloc: AllocRow,
    /// Version of the allocation row; 0 before that row is written.
    pub(crate) alloc_version: RowVersion,
    pub(crate) contact: WorkerContact,
    /// The worker's clock by its last answer, and the local time at which the answer arrived.
    pub(crate) clock: Option<(u64, TimePoint)>,
    /// Boot of the worker by its last answer; 0 before the first one.
    pub(crate) boot: u64,
    /// Runs without an allocation that the worker has reported, with the time of the first report.
    pub(crate) orphans: HashMap<TaskRunId, TimePoint>,
    /// Ended runs that the worker may delete.
    pub(crate) forget: HashSet<TaskRunId>,
    /// Sequence number up to which the worker may delete its usage reports.
    pub(crate) usage_through: u64,
    /// Number of runs that have failed since the last successful one.
    pub(crate) failures: u32,
    /// Time at which the quarantine ends; `None` if there was none since the last successful run.
    pub(crate) quarantined_until: Option<TimePoint>,
    /// Time at which the set of the worker's tasks last changed, Unix milliseconds.
    pub(crate) tasks_changed_ms: u64,
    pub(crate) mitigation: MitigationState,
}

/// Change of one task that is to be committed.
#[derive(Debug, Clone)]
pub(crate) struct TaskChange {
    pub(crate) task: TaskId,
    pub(crate) next: TaskRow,
    /// Worker on which the task's allocation is released.
    pub(crate) release: Option<WorkerId>,
    /// Worker on which the task gets an allocation, and the size of it.
    pub(crate) reserve: Option<(WorkerId, ResourceVector)>,
}

impl TaskChange {
    /// Returns the allocation that the change adds.
    pub(crate) fn allocation(&self) -> Option<AllocEntry> {
        let (_, size) = self.reserve.as_ref()?;
        Some(AllocEntry {
            task: self.task,
            epoch: self.next.epoch,
            size: *size,
        })
    }
}

/// State of one shard.
#[derive(Debug, Default)]
pub(crate) struct ShardState {
    pub(crate) parts: HashMap<PartKey, PartEntry>,
    pub(crate) tasks: HashMap<TaskId, TaskEntry>,
    /// Waiting tasks: latency-critical ones first, then by time of submission.
    pub(crate) queue: BTreeSet<(bool, u64, TaskId)>,
    pub(crate) workers: HashMap<WorkerId, WorkerEntry>,
    /// Capacity and reservations of the workers, on which placements are decided.
    pub(crate) worker_table: WorkerTable,
    pub(crate) worker_ids: HashMap<WorkerKey, WorkerId>,
    /// Jobs that were cancelled. A job is removed once its last part in this shard is closed.
    pub(crate) cancelled: HashSet<JobId>,
    pub(crate) kinds: KindTable,
    pub(crate) pairs: PairTable,
    pub(crate) sizes: SizeTable,
    pub(crate) quotas: ShardQuotas,
}

impl ShardState {
    /// Adds a part with all its tasks waiting, unless the part is known already.
    pub(crate) fn add_part(&mut self, row: PartRow, version: RowVersion) {
        let key = (row.job, row.location.first);
        if self.parts.contains_key(&key) {
            return;
        }
        for offset in 0..row.location.count {
            let task = TaskId {
                job: row.job,
                index: row.location.first + offset,
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
        let open_tasks = row.location.count;
        let entry = PartEntry {
            row,
            kind,
            version,
            tasks_version: RowVersion::default(),
            open_tasks,
        };
        self.parts.insert(key, entry);
    }

    /// Applies the loaded row with the states of a part's tasks.
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

    /// Returns the part that a task belongs to.
    pub(crate) fn part_of(&self, task: TaskId) -> Option<&PartEntry> {
        self.parts.get(&self.tasks.get(&task)?.part)
    }

    /// Returns the ids of the runs that are allocated on a worker.
    pub(crate) fn run_ids_on(&self, worker: &WorkerId) -> Vec<TaskRunId> {
        self.workers.get(worker).map_or_else(Vec::new, |entry| {
            entry
                .alloc
                .tasks
                .iter()
                .map(|alloc| TaskRunId {
                    task: alloc.task,
                    epoch: alloc.epoch,
                })
                .collect()
        })
    }

    /// Returns the demand of a task on a worker. The size is corrected by the measured use of its
    /// job kind.
    pub(crate) fn demand(&self, task: TaskId) -> Option<TaskDemand> {
        let part = self.part_of(task)?;
        let declared = part.row.spec.size;
        let corrected = self.sizes.corrected_size(part.kind, declared);
        let fits = |entry: &WorkerEntry| corrected.fits_in(entry.info.capacity);
        Some(TaskDemand {
            kind: part.kind,
            // The corrected size must not make the task too large for every worker.
            size: if self.workers.values().any(fits) {
                corrected
            } else {
                declared
            },
            urgent: part.row.spec.class == TaskClass::LatencyCritical,
        })
    }

    /// Returns the row of a task for its next placement, under a new epoch.
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

    /// Returns the team and the size of each task that is placed in this shard.
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

    /// Updates the estimates from a usage report: the actual size of tasks of a kind, and the
    /// interference between kinds on the same worker.
    ///
    /// If the worker's tasks have changed since the reported interval began, the report is used for
    /// the size only, because it says nothing about the current neighbours.
    pub(crate) fn learn_from_usage(&mut self, worker: &WorkerId, report: &UsageReport) {
        let Some(part) = self.part_of(report.run_id.task) else {
            return;
        };
        let (kind, declared) = (part.kind, part.row.spec.size);
        let used = ResourceVector::new(report.peak_cpu_milli, report.peak_memory_mib, 0);
        self.sizes.learn(kind, declared, used);
        let Some(entry) = self.workers.get(worker) else {
            return;
        };
        let Some(capacity) = self.worker_table.get(entry.key) else {
            return;
        };
        if report.start_ms < entry.tasks_changed_ms {
            return;
        }
        let others = capacity
            .tasks()
            .iter()
            .filter(|task| task.task != report.run_id.task);
        let neighbours: Vec<KindKey> = others.map(|task| task.kind).collect();
        let band = capacity.load_band();
        let excess = f64::from(report.slowdown_percent) / 100.0 - 1.0;
        self.pairs.learn(kind, &neighbours, band, excess.max(0.0));
    }

    /// Applies a committed change; `version` is the new version of the rows written.
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
            self.worker_table.release(entry.key, task);
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
        self.worker_table.reserve(entry.key, running);
    }

    /// Removes a closed part and its tasks.
    pub(crate) fn remove_part(&mut self, key: PartKey) {
        let Some(part) = self.parts.remove(&key) else {
            return;
        };
        for offset in 0..part.row.location.count {
            let task = TaskId {
                job: part.row.job,
                index: part.row.location.first + offset,
            };
            self.tasks.remove(&task);
            self.queue.remove(&queue_order(&part.row, task));
        }
        if !self.parts.keys().any(|(job, _)| *job == key.0) {
            self.cancelled.remove(&key.0);
        }
    }
}

/// Returns the position in the queue: latency-critical tasks before others, then by time of
/// submission.
pub(crate) fn queue_order(part: &PartRow, task: TaskId) -> (bool, u64, TaskId) {
    let urgent = part.spec.class == TaskClass::LatencyCritical;
    (!urgent, part.submitted_ms, task)
}
