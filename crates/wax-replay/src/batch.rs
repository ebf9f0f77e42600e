//! Tasks through placement, eviction, relief and recovery.

use crate::engine::ReplayRun;
use crate::events::ReplayEvent;
use crate::report::{BatchReport, LatencyRecord, UrgentReport};
use crate::world::ReplayWorld;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;
use wax_policy::{
    LoadBand, PairTable, PlaceChoice, PlaceContext, ReliefChoice, ReliefState, ReliefView,
    RunningTask, SizeTable, THROTTLED_PERCENT, TaskDemand, WorkerKey, WorkerTable,
};
use wax_types::{JobId, ResourceVector, TaskId, TimePoint};

/// Between two looks of the owner at its queue.
pub(crate) const LOOK_PERIOD: Duration = Duration::from_millis(25);
/// From a decision to the start at the worker: a commit and a call.
const START_DELAY: Duration = Duration::from_millis(15);
/// A stop with a checkpoint.
const STOP_DELAY: Duration = Duration::from_millis(500);
/// A run that is not stopped writes a checkpoint this often.
const CHECKPOINT_PERIOD: Duration = Duration::from_secs(60);
/// Leases of a lost worker lapse after this time.
pub(crate) const LAPSE: Duration = Duration::from_secs(12);
/// Tasks of the queue that are looked at once.
const QUEUE_LOOK: usize = 256;
/// Each eviction that a task has suffered keeps it safe for this long.
const EVICTED_SPAN: Duration = Duration::from_secs(30);
/// Failed runs in a row after which a worker is quarantined.
const FAILURES_TO_QUARANTINE: u32 = 5;
const QUARANTINE_SPAN: Duration = Duration::from_secs(30);
/// A failed run is noticed after this time.
const FAIL_DELAY: Duration = Duration::from_millis(200);

/// Where a task stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TaskStand {
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
    stand: TaskStand,
    /// Work done and kept.
    saved: Duration,
    /// Work done since then.
    fresh: Duration,
    since: TimePoint,
    speed: f64,
    /// Share of its size that it may use.
    throttle: f64,
    reserved: ResourceVector,
    generation: u64,
    stopping: bool,
    evictions: u32,
    failures: u32,
    failed_on: BTreeSet<usize>,
    next_checkpoint: TimePoint,
}

/// Late usage on its way to the owner.
#[derive(Debug, Clone)]
struct UsageBatch {
    reports: Vec<UsageNote>,
}

#[derive(Debug, Clone)]
struct UsageNote {
    worker: usize,
    task: Option<TaskId>,
    kind: wax_policy::KindKey,
    declared: ResourceVector,
    used_cpu_milli: u32,
    excess: f64,
    neighbours: Vec<wax_policy::KindKey>,
    band: LoadBand,
}

#[derive(Debug, Default)]
struct WorkerRecord {
    failures: u32,
    quarantined_until: TimePoint,
    relief: ReliefState,
}

/// The state of all tasks.
pub(crate) struct BatchState {
    table: WorkerTable,
    keys: Vec<WorkerKey>,
    records: Vec<WorkerRecord>,
    tasks: BTreeMap<TaskId, TaskRecord>,
    queue: BTreeSet<(bool, bool, TimePoint, TaskId)>,
    running: HashMap<usize, BTreeSet<TaskId>>,
    pairs: PairTable,
    sizes: SizeTable,
    usage: Vec<Option<UsageBatch>>,
    urgent_start: LatencyRecord,
    urgent_tasks: u64,
    placements: u64,
    rows: u64,
    commits: u64,
    evictions: u64,
    lost: Duration,
    worst_over: u64,
    next_job: u128,
}

/// The task of a resident upstream in the worker table.
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
                saved: now,
                settled: now,
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
            urgent_start: LatencyRecord::new(),
            urgent_tasks: 0,
            placements: 0,
            rows: 0,
            commits: 0,
            evictions: 0,
            lost: Duration::ZERO,
            worst_over: 0,
            next_job: 1,
        }
    }

    pub(crate) fn rows_per_placement(&self) -> f64 {
        self.rows as f64 / (self.placements.max(1)) as f64
    }

    pub(crate) fn commits_per_placement(&self) -> f64 {
        self.commits as f64 / (self.placements.max(1)) as f64
    }

    pub(crate) fn worst_over(&self) -> u64 {
        self.worst_over
    }

    fn worker_of(&self, key: WorkerKey) -> usize {
        self.keys
            .iter()
            .position(|known| *known == key)
            .unwrap_or(0)
    }
}

impl ReplayRun {
    /// How much longer a kind takes on a worker now, beside all others there.
    pub(crate) fn excess_of(
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
            .filter(|task| Some(task.task) != own && (own.is_some() || task.job_is_batch()))
            .map(|task| {
                let record = self.batch.tasks.get(&task.task);
                (task.kind, record.map_or(1.0, |record| record.throttle))
            });
        let loaded = slot.band() == LoadBand::Loaded;
        self.world.excess(kind, neighbours, loaded)
    }

    pub(crate) fn job_arrives(&mut self, now: TimePoint, job: usize) {
        let truth = self.world.jobs[job];
        let id = JobId(self.batch.next_job);
        self.batch.next_job += 1;
        let urgent = self.world.kinds[truth.kind].urgent;
        for index in 0..truth.tasks {
            let task = TaskId { job: id, index };
            self.batch.tasks.insert(
                task,
                TaskRecord {
                    kind: truth.kind,
                    work: truth.work,
                    submitted: now,
                    stand: TaskStand::Waiting,
                    saved: Duration::ZERO,
                    fresh: Duration::ZERO,
                    since: now,
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

    /// Urgent tasks first; then those that can still end before evening; then by submission.
    fn enqueue(&mut self, now: TimePoint, task: TaskId) {
        let record = &self.batch.tasks[&task];
        let urgent = self.world.kinds[record.kind].urgent;
        let left = record.work.saturating_sub(record.saved);
        let ends = self.world.options.day.ends_today(now, left);
        let weighed = self.world.policy.learns();
        let order = (!urgent, weighed && !ends, record.submitted, task);
        self.batch.queue.insert(order);
    }

    fn dequeue(&mut self, task: TaskId) {
        self.batch
            .queue
            .retain(|(_, _, _, waiting)| *waiting != task);
    }

    pub(crate) fn owner_looks(&mut self, now: TimePoint) {
        if self.world.store_down {
            return;
        }
        for (worker, key) in self.batch.keys.clone().into_iter().enumerate() {
            let truth = &self.world.workers[worker];
            let open = !truth.down && self.batch.records[worker].quarantined_until <= now;
            self.batch.table.set_open(key, open);
        }
        let waiting: Vec<TaskId> = self
            .batch
            .queue
            .iter()
            .take(QUEUE_LOOK)
            .map(|(_, _, _, task)| *task)
            .collect();
        let mut placed = 0;
        let mut touched = BTreeSet::new();
        for task in waiting {
            if let Some(worker) = self.place(now, task) {
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

    fn place(&mut self, now: TimePoint, task: TaskId) -> Option<usize> {
        let record = &self.batch.tasks[&task];
        let kind = &self.world.kinds[record.kind];
        let learns = self.world.policy.learns();
        let size = if learns {
            let learned = self.batch.sizes.reserve(kind.key, kind.declared);
            let fits = |worker: &crate::world::WorkerTruth| learned.fits_in(worker.capacity);
            if self.world.workers.iter().any(fits) {
                learned
            } else {
                kind.declared
            }
        } else {
            kind.declared
        };
        let left = record.work.saturating_sub(record.saved);
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
        let context = PlaceContext {
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
            PlaceChoice::Place(key) => {
                let worker = self.batch.worker_of(key);
                self.start(now, task, worker, demand, left);
                Some(worker)
            }
            PlaceChoice::Evict(key, victims) => {
                let worker = self.batch.worker_of(key);
                for victim in victims {
                    self.stop(now, victim);
                }
                let _ = worker;
                None
            }
            PlaceChoice::Wait | PlaceChoice::Impossible => None,
        }
    }

    fn start(
        &mut self,
        now: TimePoint,
        task: TaskId,
        worker: usize,
        demand: TaskDemand,
        left: Duration,
    ) {
        self.dequeue(task);
        let due_today = !self.world.options.day.is_whole()
            && self.world.options.day.ends_today(now, left)
            && !self.world.options.day.ends_today(now, left * 2);
        let record = self.batch.tasks.get_mut(&task).expect("the task is known");
        let started = now + START_DELAY;
        let safe = EVICTED_SPAN * record.evictions.min(10);
        let running = RunningTask {
            task,
            kind: demand.kind,
            size: demand.size,
            urgent: demand.urgent,
            evictable: !demand.urgent,
            saved: started,
            settled: started + safe,
            due_today,
        };
        record.stand = TaskStand::Running(worker);
        record.reserved = demand.size;
        record.since = started;
        record.fresh = Duration::ZERO;
        record.throttle = 1.0;
        record.stopping = false;
        record.next_checkpoint = started + CHECKPOINT_PERIOD;
        if demand.urgent {
            self.batch.urgent_start.add(started.since(record.submitted));
        }
        let key = self.batch.keys[worker];
        self.batch.table.reserve(key, running);
        self.batch.running.entry(worker).or_default().insert(task);
        self.note_over(worker);
        self.respeed(now, worker);
    }

    fn note_over(&mut self, worker: usize) {
        let Some(slot) = self.batch.table.get(self.batch.keys[worker]) else {
            return;
        };
        let reserved: u64 = slot
            .tasks()
            .iter()
            .map(|task| u64::from(task.size.cpu_milli))
            .sum();
        let over = reserved.saturating_sub(slot.capacity().cpu_milli.into());
        self.batch.worst_over = self.batch.worst_over.max(over);
    }

    /// Counts the work done so far and plans the ends anew: the set of tasks has changed.
    fn respeed(&mut self, now: TimePoint, worker: usize) {
        let tasks: Vec<TaskId> = self
            .batch
            .running
            .get(&worker)
            .into_iter()
            .flatten()
            .copied()
            .collect();
        let failing = self.world.workers[worker].fails;
        for task in tasks {
            self.settle(now, task);
            let record = &self.batch.tasks[&task];
            let kind = &self.world.kinds[record.kind];
            let enough =
                f64::from(record.reserved.cpu_milli) / f64::from(kind.true_cpu_milli.max(1));
            let excess = self.excess_of(worker, kind.key, Some(task));
            let speed = enough.min(1.0) * record.throttle / (1.0 + excess);
            let record = self.batch.tasks.get_mut(&task).expect("the task is known");
            record.speed = speed;
            record.generation += 1;
            let left = record.work.saturating_sub(record.saved + record.fresh);
            let begin = now.max(record.since);
            let end = if failing {
                begin + FAIL_DELAY
            } else {
                begin + left.div_f64(speed.max(1e-6))
            };
            let event = ReplayEvent::RunEnds(task, record.generation);
            self.world.queue.push(end, event);
        }
    }

    /// Counts the work that a task did since it was last counted.
    fn settle(&mut self, now: TimePoint, task: TaskId) {
        let record = self.batch.tasks.get_mut(&task).expect("the task is known");
        if now > record.since {
            record.fresh += now.since(record.since).mul_f64(record.speed);
            record.since = now;
        }
        if now >= record.next_checkpoint {
            record.saved += record.fresh;
            record.fresh = Duration::ZERO;
            record.next_checkpoint = now + CHECKPOINT_PERIOD;
        }
    }

    pub(crate) fn run_ends(&mut self, now: TimePoint, task: TaskId, generation: u64) {
        let record = &self.batch.tasks[&task];
        let TaskStand::Running(worker) = record.stand else {
            return;
        };
        if record.generation != generation || self.world.workers[worker].down {
            return;
        }
        self.settle(now, task);
        let failing = self.world.workers[worker].fails;
        let attempts = self.world.kinds[self.batch.tasks[&task].kind].attempts;
        let record = self.batch.tasks.get_mut(&task).expect("the task is known");
        if failing {
            record.failures += 1;
            record.failed_on.insert(worker);
            record.stand = if record.failures >= attempts {
                TaskStand::Failed
            } else {
                TaskStand::Waiting
            };
            let waits = record.stand == TaskStand::Waiting;
            self.leave(now, task, worker);
            self.note_failure(now, worker);
            if waits {
                self.enqueue(now, task);
            }
        } else {
            record.stand = TaskStand::Done;
            self.batch.records[worker].failures = 0;
            self.leave(now, task, worker);
        }
        self.batch.rows += 2;
        self.batch.commits += 1;
    }

    fn note_failure(&mut self, now: TimePoint, worker: usize) {
        let record = &mut self.batch.records[worker];
        record.failures += 1;
        if record.failures >= FAILURES_TO_QUARANTINE {
            record.quarantined_until = now + QUARANTINE_SPAN;
            record.failures = FAILURES_TO_QUARANTINE - 1;
        }
    }

    /// A run has left its worker.
    fn leave(&mut self, now: TimePoint, task: TaskId, worker: usize) {
        let key = self.batch.keys[worker];
        self.batch.table.release(key, task);
        if let Some(tasks) = self.batch.running.get_mut(&worker) {
            tasks.remove(&task);
        }
        self.respeed(now, worker);
    }

    /// Begins to stop a run, with a checkpoint.
    fn stop(&mut self, now: TimePoint, task: TaskId) {
        let Some(record) = self.batch.tasks.get_mut(&task) else {
            return;
        };
        if record.stopping || !matches!(record.stand, TaskStand::Running(_)) {
            return;
        }
        record.stopping = true;
        let event = ReplayEvent::StopDone(task, record.evictions.into());
        self.world.queue.push(now + STOP_DELAY, event);
    }

    pub(crate) fn stop_done(&mut self, now: TimePoint, task: TaskId, evictions: u64) {
        let record = &self.batch.tasks[&task];
        let TaskStand::Running(worker) = record.stand else {
            return;
        };
        if u64::from(record.evictions) != evictions || !record.stopping {
            return;
        }
        self.settle(now, task);
        let record = self.batch.tasks.get_mut(&task).expect("the task is known");
        // What the run did while its checkpoint was written is done again.
        let repeated = STOP_DELAY.mul_f64(record.speed).min(record.fresh);
        record.saved += record.fresh.saturating_sub(repeated);
        record.fresh = Duration::ZERO;
        record.stand = TaskStand::Waiting;
        record.evictions += 1;
        record.generation += 1;
        self.batch.evictions += 1;
        self.batch.lost += repeated;
        self.batch.rows += 2;
        self.batch.commits += 1;
        self.leave(now, task, worker);
        self.enqueue(now, task);
    }

    pub(crate) fn cancel_wave(&mut self, now: TimePoint, cancel: usize) {
        let truth = self.world.cancels[cancel];
        let open: Vec<TaskId> = self
            .batch
            .tasks
            .iter()
            .filter(|(_, record)| record.kind == truth.kind)
            .filter(|(_, record)| {
                matches!(record.stand, TaskStand::Waiting | TaskStand::Running(_))
            })
            .map(|(task, _)| *task)
            .collect();
        for task in open {
            if self.world.rng.u32(0..100) >= truth.percent {
                continue;
            }
            let record = self.batch.tasks.get_mut(&task).expect("the task is known");
            let stand = record.stand;
            record.stand = TaskStand::Cancelled;
            record.generation += 1;
            self.dequeue(task);
            if let TaskStand::Running(worker) = stand {
                self.leave(now, task, worker);
            }
        }
    }

    /// A worker is gone: its tasks wait again once their leases have lapsed.
    pub(crate) fn lose_worker(&mut self, now: TimePoint, worker: usize) {
        let tasks = self.batch.running.remove(&worker).unwrap_or_default();
        for task in tasks {
            self.settle(now, task);
            let record = self.batch.tasks.get_mut(&task).expect("the task is known");
            self.batch.lost += record.fresh;
            record.fresh = Duration::ZERO;
            record.stand = TaskStand::Waiting;
            record.generation += 1;
            record.stopping = false;
            let key = self.batch.keys[worker];
            self.batch.table.release(key, task);
            self.enqueue(now, task);
        }
    }

    pub(crate) fn measure_usage(&mut self, now: TimePoint) {
        let mut reports = Vec::new();
        for worker in 0..self.world.workers.len() {
            if self.world.workers[worker].down {
                continue;
            }
            let Some(slot) = self.batch.table.get(self.batch.keys[worker]) else {
                continue;
            };
            let band = slot.band();
            for running in slot.tasks() {
                let record = self.batch.tasks.get(&running.task);
                let own = record.map(|_| running.task);
                let excess = self.excess_of(worker, running.kind, own);
                let kind = record.map(|record| &self.world.kinds[record.kind]);
                let others = slot.tasks().iter().filter(|task| task.task != running.task);
                reports.push(UsageNote {
                    worker,
                    task: own,
                    kind: running.kind,
                    declared: kind.map_or(running.size, |kind| kind.declared),
                    used_cpu_milli: kind.map_or(running.size.cpu_milli, |kind| kind.true_cpu_milli),
                    excess,
                    neighbours: others.map(|task| task.kind).collect(),
                    band,
                });
            }
        }
        let index = self.batch.usage.len();
        self.batch.usage.push(Some(UsageBatch { reports }));
        let arrival = now + self.world.options.usage_lag;
        self.world
            .queue
            .push(arrival, ReplayEvent::UsageArrives(index));
    }

    pub(crate) fn usage_arrives(&mut self, now: TimePoint, index: usize) {
        let Some(batch) = self.batch.usage[index].take() else {
            return;
        };
        if !self.world.policy.learns() {
            return;
        }
        for note in &batch.reports {
            let batch = &mut self.batch;
            batch
                .pairs
                .learn(note.kind, &note.neighbours, note.band, note.excess);
            if note.task.is_some() {
                let used = ResourceVector::new(note.used_cpu_milli, note.declared.memory_mib, 0);
                batch.sizes.learn(note.kind, note.declared, used);
            }
        }
        for worker in 0..self.world.workers.len() {
            self.relieve(now, worker, &batch.reports);
        }
    }

    /// Throttles, restores or evicts one neighbour of a slowed latency-critical task.
    fn relieve(&mut self, now: TimePoint, worker: usize, reports: &[UsageNote]) {
        let Some(slot) = self.batch.table.get(self.batch.keys[worker]) else {
            return;
        };
        let worst = slot
            .tasks()
            .iter()
            .filter(|task| task.urgent)
            .filter_map(|task| {
                let note = reports
                    .iter()
                    .filter(|note| note.worker == worker && note.kind == task.kind)
                    .max_by(|a, b| a.excess.total_cmp(&b.excess))?;
                Some((*task, note.excess))
            })
            .max_by(|(_, a), (_, b)| a.total_cmp(b));
        let Some((victim, excess)) = worst else {
            return;
        };
        let weights = self.world.options.weights;
        let relief = &mut self.batch.records[worker].relief;
        let view = ReliefView {
            slot,
            victim: &victim,
            excess,
            pairs: &self.batch.pairs,
            weights,
        };
        let choice = relief.decide(now, view);
        match choice {
            ReliefChoice::Keep => {}
            ReliefChoice::Throttle(task) => {
                self.set_throttle(now, worker, task, f64::from(THROTTLED_PERCENT) / 100.0);
            }
            ReliefChoice::Restore(task) => self.set_throttle(now, worker, task, 1.0),
            ReliefChoice::Evict(task) => self.stop(now, task),
        }
    }

    fn set_throttle(&mut self, now: TimePoint, worker: usize, task: TaskId, share: f64) {
        if !self.batch.tasks.contains_key(&task) {
            return;
        }
        self.settle(now, task);
        if let Some(record) = self.batch.tasks.get_mut(&task) {
            record.throttle = share;
        }
        self.respeed(now, worker);
    }

    pub(crate) fn respeed_worker(&mut self, now: TimePoint, worker: usize) {
        self.respeed(now, worker);
    }

    pub(crate) fn batch_report(&mut self, now: TimePoint) -> BatchReport {
        let running: Vec<TaskId> = self.batch.running.values().flatten().copied().collect();
        for task in running {
            self.settle(now, task);
        }
        let records = self.batch.tasks.values();
        let batch: Vec<&TaskRecord> = records
            .filter(|record| !self.world.kinds[record.kind].urgent)
            .collect();
        let count = |stand: TaskStand| {
            let matching = batch.iter().filter(|record| record.stand == stand);
            matching.count() as u64
        };
        let millis = |span: Duration| span.as_millis() as u64;
        BatchReport {
            tasks: batch.len() as u64,
            done: count(TaskStand::Done),
            failed: count(TaskStand::Failed),
            cancelled: count(TaskStand::Cancelled),
            work_done_ms: batch
                .iter()
                .filter(|record| record.stand == TaskStand::Done)
                .map(|record| millis(record.work))
                .sum(),
            work_open_ms: batch
                .iter()
                .filter(|record| record.stand != TaskStand::Done)
                .map(|record| millis(record.saved + record.fresh))
                .sum(),
            evictions: self.batch.evictions,
            lost_work_ms: millis(self.batch.lost),
        }
    }

    pub(crate) fn urgent_report(&self) -> UrgentReport {
        UrgentReport {
            tasks: self.batch.urgent_tasks,
            started: self.batch.urgent_start.len(),
            p50_ms: self.batch.urgent_start.quantile(0.5) / 1_000,
            max_ms: self.batch.urgent_start.max() / 1_000,
        }
    }
}

/// Tells batch tasks from resident upstreams.
trait BatchTask {
    fn job_is_batch(&self) -> bool;
}

impl BatchTask for RunningTask {
    fn job_is_batch(&self) -> bool {
        self.task.job != JobId(0)
    }
}
