//! Batch tasks in a replay: scheduling, placement, eviction, mitigation of interference and
//! recovery.

mod report;
mod runs;
mod usage;

use crate::engine::ReplayRun;
use crate::events::ReplayEvent;
use crate::report::{BatchReport, LatencyHistogram, UrgentReport};
use crate::world::ReplayWorld;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;
use wax_policy::{
    LoadBand, MitigationChoice, MitigationState, MitigationView, PairTable, PlacementChoice,
    PlacementContext, RunningTask, SizeTable, THROTTLED_PERCENT, TaskDemand, WorkerKey,
    WorkerTable,
};
use wax_types::{JobId, ResourceVector, TaskId, TimePoint};

/// Interval between two scheduling rounds of the owner.
pub(crate) const SCHEDULING_PERIOD: Duration = Duration::from_millis(25);
/// Time from a placement decision to the start on the worker: one commit and one call.
const START_DELAY: Duration = Duration::from_millis(15);
/// Time that a stop with a checkpoint takes.
const STOP_DELAY: Duration = Duration::from_millis(500);
/// Interval at which a run writes checkpoints unless it is being stopped.
const CHECKPOINT_PERIOD: Duration = Duration::from_secs(60);
/// Time after the loss of a worker until its leases have expired.
pub(crate) const LEASE_EXPIRY: Duration = Duration::from_secs(12);
/// Limit on the waiting tasks that one scheduling round considers.
const MAX_TASKS_PER_ROUND: usize = 256;
/// Time for which a restarted task is protected from eviction, for each of its earlier evictions;
/// at most 10 evictions count.
const EVICTION_PROTECTION: Duration = Duration::from_secs(30);
/// Number of consecutive failed runs after which a worker is quarantined.
const FAILURES_TO_QUARANTINE: u32 = 5;
const QUARANTINE_DURATION: Duration = Duration::from_secs(30);
/// Time from the start of a run on a failing worker to the report of its failure.
const FAILURE_DETECTION_DELAY: Duration = Duration::from_millis(200);

/// Life-cycle state of a task. `Running` holds the index of the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TaskState {
    Waiting,
    Running(usize),
    Done,
    Failed,
    Cancelled,
}

#[derive(Debug)]
struct TaskRecord {
    kind: usize,
    work: Duration,
    submitted: TimePoint,
    state: TaskState,
    /// Work that the last checkpoint holds.
    saved: Duration,
    /// Work done since the last checkpoint.
    unsaved: Duration,
    /// Time up to which the progress is recorded.
    progress_at: TimePoint,
    /// Progress per time, relative to a run alone with enough processors.
    speed: f64,
    /// Share of its reservation that the task may use: 1 unless it is throttled.
    throttle: f64,
    reserved: ResourceVector,
    /// Incremented whenever the planned end of the run becomes invalid.
    generation: u64,
    stopping: bool,
    evictions: u32,
    failures: u32,
    failed_on: BTreeSet<usize>,
    next_checkpoint: TimePoint,
}

/// Usage samples that are on their way to the owner.
#[derive(Debug, Clone)]
struct UsageBatch {
    samples: Vec<UsageSample>,
}

#[derive(Debug, Clone)]
struct UsageSample {
    worker: usize,
    /// `None` for a resident upstream.
    task: Option<TaskId>,
    kind: wax_policy::KindKey,
    declared: ResourceVector,
    /// Processors that the task would use without a limit.
    used_cpu_milli: u32,
    /// Share by which the task takes longer because of its neighbours.
    excess: f64,
    neighbours: Vec<wax_policy::KindKey>,
    band: LoadBand,
}

#[derive(Debug, Default)]
struct WorkerRecord {
    failures: u32,
    quarantined_until: TimePoint,
    mitigation: MitigationState,
}

/// State of the workers' reservations, the queue and all tasks.
pub(crate) struct BatchState {
    table: WorkerTable,
    keys: Vec<WorkerKey>,
    records: Vec<WorkerRecord>,
    tasks: BTreeMap<TaskId, TaskRecord>,
    /// Waiting tasks, in the order that `enqueue` gives them.
    queue: BTreeSet<(bool, bool, TimePoint, TaskId)>,
    /// Tasks that run on a worker, by the index of the worker.
    running: HashMap<usize, BTreeSet<TaskId>>,
    pairs: PairTable,
    sizes: SizeTable,
    /// Usage samples by number of the measurement; `None` once they have arrived.
    usage: Vec<Option<UsageBatch>>,
    urgent_start: LatencyHistogram,
    urgent_tasks: u64,
    placements: u64,
    rows: u64,
    commits: u64,
    evictions: u64,
    lost_work: Duration,
    max_overallocation_milli: u64,
    next_job: u128,
}

/// Returns the id under which a resident upstream is listed in the worker table. Job 0 marks
/// resident upstreams.
fn resident_task(upstream: usize) -> TaskId {
    TaskId {
        job: JobId(0),
        index: upstream as u32,
    }
}

impl BatchState {
    pub(crate) fn new(world: &ReplayWorld, now: TimePoint) -> Self {
        let mut table = WorkerTable::default();
        let keys: Vec<WorkerKey> = world
            .workers
            .iter()
            .map(|worker| table.add(worker.capacity))
            .collect();
        for (index, upstream) in world.upstreams.iter().enumerate() {
            let resident = RunningTask {
                task: resident_task(index),
                kind: upstream.kind,
                size: upstream.size,
                urgent: true,
                evictable: false,
                saved_at: now,
                protected_until: now,
                due_today: false,
            };
            table.reserve(keys[upstream.worker], resident);
        }
        let records = world.workers.iter().map(|_| WorkerRecord::default());
        Self {
            table,
            keys,
            records: records.collect(),
            tasks: BTreeMap::new(),
            queue: BTreeSet::new(),
            running: HashMap::new(),
            pairs: PairTable::default(),
            sizes: SizeTable::default(),
            usage: Vec::new(),
            urgent_start: LatencyHistogram::new(),
            urgent_tasks: 0,
            placements: 0,
            rows: 0,
            commits: 0,
            evictions: 0,
            lost_work: Duration::ZERO,
            max_overallocation_milli: 0,
            next_job: 1,
        }
    }

    pub(crate) fn rows_per_placement(&self) -> f64 {
        self.rows as f64 / (self.placements.max(1)) as f64
    }

    pub(crate) fn commits_per_placement(&self) -> f64 {
        self.commits as f64 / (self.placements.max(1)) as f64
    }

    pub(crate) fn max_overallocation_milli(&self) -> u64 {
        self.max_overallocation_milli
    }

    fn worker_of(&self, key: WorkerKey) -> usize {
        self.keys
            .iter()
            .position(|known| *known == key)
            .unwrap_or(0)
    }
}

impl ReplayRun {
    /// Returns the share by which tasks of a kind currently take longer on a worker because of the
    /// other tasks there. `own` is the task itself; `None` for an upstream, which only batch tasks
    /// slow down.
    pub(crate) fn excess_on_worker(
        &self,
        worker: usize,
        kind: wax_policy::KindKey,
        own: Option<TaskId>,
    ) -> f64 {
        let Some(slot) = self.batch.table.get(self.batch.keys[worker]) else {
            return 0.0;
        };
        let neighbours = slot
            .tasks()
            .iter()
            .filter(|task| Some(task.task) != own && (own.is_some() || task.is_batch()))
            .map(|task| {
                let record = self.batch.tasks.get(&task.task);
                (task.kind, record.map_or(1.0, |record| record.throttle))
            });
        let loaded = slot.load_band() == LoadBand::Loaded;
        self.world.excess(kind, neighbours, loaded)
    }

    pub(crate) fn handle_job_arrival(&mut self, now: TimePoint, job: usize) {
        let spec = self.world.jobs[job];
        let id = JobId(self.batch.next_job);
        self.batch.next_job += 1;
        let urgent = self.world.kinds[spec.kind].urgent;
        for index in 0..spec.tasks {
            let task = TaskId { job: id, index };
            self.batch.tasks.insert(
                task,
                TaskRecord {
                    kind: spec.kind,
                    work: spec.work,
                    submitted: now,
                    state: TaskState::Waiting,
                    saved: Duration::ZERO,
                    unsaved: Duration::ZERO,
                    progress_at: now,
                    speed: 0.0,
                    throttle: 1.0,
                    reserved: ResourceVector::ZERO,
                    generation: 0,
                    stopping: false,
                    evictions: 0,
                    failures: 0,
                    failed_on: BTreeSet::new(),
                    next_checkpoint: now,
                },
            );
            self.enqueue(now, task);
            if urgent {
                self.batch.urgent_tasks += 1;
            }
        }
    }

    /// Adds a task to the queue. Order: urgent tasks, then tasks that can end before the end of the
    /// working day (only if the policy learns), then the time of submission.
    fn enqueue(&mut self, now: TimePoint, task: TaskId) {
        let record = &self.batch.tasks[&task];
        let urgent = self.world.kinds[record.kind].urgent;
        let remaining = record.work.saturating_sub(record.saved);
        let ends_today = self.world.options.day.ends_today(now, remaining);
        let learns = self.world.policy.learns();
        let order = (!urgent, learns && !ends_today, record.submitted, task);
        self.batch.queue.insert(order);
    }

    fn dequeue(&mut self, task: TaskId) {
        self.batch
            .queue
            .retain(|(_, _, _, waiting)| *waiting != task);
    }

    pub(crate) fn schedule_queue(&mut self, now: TimePoint) {
        if self.world.store_down {
            return;
        }
        for (worker, key) in self.batch.keys.clone().into_iter().enumerate() {
            let state = &self.world.workers[worker];
            let open = !state.down && self.batch.records[worker].quarantined_until <= now;
            self.batch.table.set_open(key, open);
        }
        let waiting: Vec<TaskId> = self
            .batch
            .queue
            .iter()
            .take(MAX_TASKS_PER_ROUND)
            .map(|(_, _, _, task)| *task)
            .collect();
        let mut placed = 0;
        let mut touched = BTreeSet::new();
        for task in waiting {
            if let Some(worker) = self.place_task(now, task) {
                placed += 1;
                touched.insert(worker);
            }
        }
        if placed > 0 {
            self.batch.placements += placed;
            self.batch.rows += placed + touched.len() as u64;
            self.batch.commits += 1;
        }
    }

    fn place_task(&mut self, now: TimePoint, task: TaskId) -> Option<usize> {
        let record = &self.batch.tasks[&task];
        let kind = &self.world.kinds[record.kind];
        let learns = self.world.policy.learns();
        let size = if learns {
            let learned = self.batch.sizes.corrected_size(kind.key, kind.declared);
            let fits = |worker: &crate::world::ReplayWorker| learned.fits_in(worker.capacity);
            if self.world.workers.iter().any(fits) {
                learned
            } else {
                kind.declared
            }
        } else {
            kind.declared
        };
        let remaining = record.work.saturating_sub(record.saved);
        let demand = TaskDemand {
            kind: kind.key,
            size,
            urgent: kind.urgent,
        };
        let avoid: Vec<WorkerKey> = if record.failed_on.len() < self.world.workers.len() {
            let failed = record.failed_on.iter();
            failed.map(|worker| self.batch.keys[*worker]).collect()
        } else {
            Vec::new()
        };
        let context = PlacementContext {
            pairs: &self.batch.pairs,
            weights: self.world.options.weights,
            avoid: &avoid,
            policy: self.world.policy.place,
        };
        let choice = self
            .batch
            .table
            .choose(now, demand, context, &mut self.world.rng);
        match choice {
            PlacementChoice::Place(key) => {
                let worker = self.batch.worker_of(key);
                self.start_run(now, task, worker, demand, remaining);
                Some(worker)
            }
            PlacementChoice::Evict(key, victims) => {
                let worker = self.batch.worker_of(key);
                for victim in victims {
                    self.begin_stop(now, victim);
                }
                let _ = worker;
                None
            }
            PlacementChoice::Wait | PlacementChoice::Impossible => None,
        }
    }
}

/// Distinguishes batch tasks from resident upstreams.
trait BatchTask {
    fn is_batch(&self) -> bool;
}

impl BatchTask for RunningTask {
    fn is_batch(&self) -> bool {
        self.task.job != JobId(0)
    }
}
