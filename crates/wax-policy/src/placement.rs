//! Chooses the worker for a task, and the tasks that make room for an urgent one.

use crate::interference::{LoadBand, PairTable};
use crate::kinds::KindKey;
use fastrand::Rng;
use slotmap::{SlotMap, new_key_type};
use std::str::FromStr;
use std::time::Duration;
use wax_types::{ResourceVector, TaskId, TimePoint};

new_key_type! {
    /// Names a worker in a [`WorkerTable`].
    pub struct WorkerKey;
}

/// Workers that are scored for one task at most, so that the cost does not grow with their number.
const MAX_SCORED_WORKERS: usize = 24;
/// How much a full worker counts against a task that takes twice as long.
const FIT_WEIGHT: f64 = 0.15;
/// Slowdown of a latency-critical task beyond which more of it matters little.
const SATURATION: f64 = 0.5;
/// Workers that keep room for an urgent task, so that it need not evict; each costs batch work.
const HEADROOM_WORKERS: usize = 1;
/// Workers on which evictions are weighed for one task at most.
const MAX_EVICTION_CANDIDATES: usize = 64;

/// How a worker is chosen; all but the first are baselines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum PlacementPolicy {
    /// By a score of fit and of the harm that neighbours do to each other.
    #[default]
    Weighed,
    /// Any that fits.
    Random,
    /// Each in turn that fits.
    RoundRobin,
    /// The one with the most room.
    LeastLoaded,
    /// The first that fits.
    FirstFit,
}

impl FromStr for PlacementPolicy {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "weighed" => Ok(Self::Weighed),
            "random" => Ok(Self::Random),
            "round-robin" => Ok(Self::RoundRobin),
            "least-loaded" => Ok(Self::LeastLoaded),
            "first-fit" => Ok(Self::FirstFit),
            _ => Err(()),
        }
    }
}

/// What counts for a firm; only the proportions matter.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CustomerWeights {
    /// Tail latency of what is latency-critical.
    pub tail: f64,
    /// Batch throughput.
    pub throughput: f64,
    /// Evictions.
    pub eviction: f64,
}

impl Default for CustomerWeights {
    fn default() -> Self {
        Self {
            tail: 50.0,
            throughput: 50.0,
            eviction: 50.0,
        }
    }
}

/// A task that runs on a worker, as far as decisions need it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunningTask {
    /// The task.
    pub task: TaskId,
    /// Its kind.
    pub kind: KindKey,
    /// What is reserved for it.
    pub size: ResourceVector,
    /// Whether it is latency-critical.
    pub urgent: bool,
    /// Whether it may be evicted for an urgent task.
    pub evictable: bool,
    /// When it started or was last checkpointed: later work would be lost.
    pub saved_at: TimePoint,
    /// It is not evicted again before this time.
    pub protected_until: TimePoint,
    /// Whether an eviction would keep it from ending before evening.
    pub due_today: bool,
}

/// A worker as far as decisions need it.
#[derive(Debug, Clone)]
pub struct WorkerCapacity {
    capacity: ResourceVector,
    reserved: ResourceVector,
    open: bool,
    tasks: Vec<RunningTask>,
}

/// What a task needs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TaskDemand {
    /// Its kind.
    pub kind: KindKey,
    /// What is reserved for it.
    pub size: ResourceVector,
    /// Whether it may evict batch tasks.
    pub urgent: bool,
}

/// What a choice looks at besides the workers.
#[derive(Debug, Clone, Copy)]
pub struct PlacementContext<'a> {
    /// What is known of pairs of kinds.
    pub pairs: &'a PairTable,
    /// What counts for the firm.
    pub weights: CustomerWeights,
    /// Workers on which the task failed.
    pub avoid: &'a [WorkerKey],
    /// How to choose.
    pub policy: PlacementPolicy,
}

/// What to do with a task that waits.
#[derive(Debug, Clone, PartialEq)]
pub enum PlacementChoice {
    /// Place it on this worker.
    Place(WorkerKey),
    /// Evict these tasks of the worker; then there is room.
    Evict(WorkerKey, Vec<TaskId>),
    /// Nothing fits now.
    Wait,
    /// It is larger than every worker.
    Impossible,
}

/// The workers of one shard.
#[derive(Debug, Clone, Default)]
pub struct WorkerTable {
    workers: SlotMap<WorkerKey, WorkerCapacity>,
    order: Vec<WorkerKey>,
    next_start: usize,
    /// The largest of the latest urgent tasks: room for it is kept free somewhere.
    urgent_size: Option<ResourceVector>,
}

impl WorkerCapacity {
    /// What is not reserved.
    pub fn free(&self) -> ResourceVector {
        self.capacity.saturating_sub(self.reserved)
    }

    /// What it has.
    pub fn capacity(&self) -> ResourceVector {
        self.capacity
    }

    /// What is reserved.
    pub fn reserved(&self) -> ResourceVector {
        self.reserved
    }

    /// What runs there.
    pub fn tasks(&self) -> &[RunningTask] {
        &self.tasks
    }

    /// The band of its load.
    pub fn load_band(&self) -> LoadBand {
        LoadBand::of(self.load())
    }

    fn load(&self) -> f64 {
        self.reserved.dominant_share(self.capacity)
    }
}

impl WorkerTable {
    /// Adds an idle worker.
    pub fn add(&mut self, capacity: ResourceVector) -> WorkerKey {
        let key = self.workers.insert(WorkerCapacity {
            capacity,
            reserved: ResourceVector::ZERO,
            open: true,
            tasks: Vec::new(),
        });
        self.order.push(key);
        key
    }

    /// Removes a worker.
    pub fn remove(&mut self, key: WorkerKey) {
        self.workers.remove(key);
        self.order.retain(|other| *other != key);
    }

    /// Whether new tasks may be placed on a worker.
    pub fn set_open(&mut self, key: WorkerKey, open: bool) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.open = open;
        }
    }

    /// The worker.
    pub fn get(&self, key: WorkerKey) -> Option<&WorkerCapacity> {
        self.workers.get(key)
    }

    /// All workers.
    pub fn keys(&self) -> impl Iterator<Item = WorkerKey> + '_ {
        self.workers.keys()
    }

    /// Reserves room; says whether it fitted. Nothing is reserved beyond the capacity.
    pub fn reserve(&mut self, key: WorkerKey, task: RunningTask) -> bool {
        let Some(worker) = self.workers.get_mut(key) else {
            return false;
        };
        match worker.reserved.checked_add(task.size) {
            Some(reserved) if reserved.fits_in(worker.capacity) => {
                worker.reserved = reserved;
                worker.tasks.push(task);
                true
            }
            _ => false,
        }
    }

    /// Gives the room of a task back.
    pub fn release(&mut self, key: WorkerKey, task: TaskId) -> Option<RunningTask> {
        let worker = self.workers.get_mut(key)?;
        let position = worker.tasks.iter().position(|other| other.task == task)?;
        let task = worker.tasks.swap_remove(position);
        worker.reserved = worker.reserved.saturating_sub(task.size);
        Some(task)
    }

    /// Chooses for one task.
    pub fn choose(
        &mut self,
        now: TimePoint,
        demand: TaskDemand,
        context: PlacementContext<'_>,
        rng: &mut Rng,
    ) -> PlacementChoice {
        let count = self.order.len().max(1);
        let start = match context.policy {
            PlacementPolicy::FirstFit | PlacementPolicy::LeastLoaded => 0,
            PlacementPolicy::RoundRobin => self.next_start % count,
            PlacementPolicy::Random | PlacementPolicy::Weighed => rng.usize(..count),
        };
        self.next_start = self.next_start.wrapping_add(1);
        if demand.urgent
            && self
                .urgent_size
                .is_none_or(|size| !demand.size.fits_in(size))
        {
            self.urgent_size = Some(demand.size);
        }
        let required_headroom = self.required_headroom(demand, context.policy);
        let mut workers_that_fit =
            self.workers_that_fit(start, demand, context.avoid)
                .filter(|(_, worker)| {
                    required_headroom.is_none_or(|size| keeps_headroom(worker, demand, size))
                });
        let chosen = match context.policy {
            PlacementPolicy::Random | PlacementPolicy::RoundRobin | PlacementPolicy::FirstFit => {
                workers_that_fit.next().map(|(key, _)| key)
            }
            PlacementPolicy::LeastLoaded => workers_that_fit
                .min_by(|(_, a), (_, b)| a.load().total_cmp(&b.load()))
                .map(|(key, _)| key),
            PlacementPolicy::Weighed => workers_that_fit
                .take(MAX_SCORED_WORKERS)
                .map(|(key, worker)| (key, score(worker, demand, &context)))
                .min_by(|(_, a), (_, b)| a.total_cmp(b))
                .map(|(key, _)| key),
        };
        match chosen {
            Some(key) => PlacementChoice::Place(key),
            None => self.choose_eviction(now, start, demand, context.policy),
        }
    }

    /// The size for which a batch task must leave room, where few workers have it.
    fn required_headroom(
        &self,
        demand: TaskDemand,
        policy: PlacementPolicy,
    ) -> Option<ResourceVector> {
        let size = self.urgent_size?;
        if demand.urgent || policy != PlacementPolicy::Weighed {
            return None;
        }
        let with_headroom = self
            .workers
            .values()
            .filter(|worker| worker.open && size.fits_in(worker.free()))
            .take(HEADROOM_WORKERS + 1)
            .count();
        (with_headroom <= HEADROOM_WORKERS).then_some(size)
    }

    fn workers_from(&self, start: usize) -> impl Iterator<Item = (WorkerKey, &WorkerCapacity)> {
        let (before, after) = self.order.split_at(start.min(self.order.len()));
        after
            .iter()
            .chain(before)
            .map(|key| (*key, &self.workers[*key]))
    }

    fn workers_that_fit<'a>(
        &'a self,
        start: usize,
        demand: TaskDemand,
        avoid: &'a [WorkerKey],
    ) -> impl Iterator<Item = (WorkerKey, &'a WorkerCapacity)> + 'a {
        self.workers_from(start).filter(move |(key, worker)| {
            worker.open && demand.size.fits_in(worker.free()) && !avoid.contains(key)
        })
    }

    /// For an urgent task: the worker where eviction loses the least work.
    fn choose_eviction(
        &self,
        now: TimePoint,
        start: usize,
        demand: TaskDemand,
        policy: PlacementPolicy,
    ) -> PlacementChoice {
        let can_ever_fit = |worker: &WorkerCapacity| demand.size.fits_in(worker.capacity);
        if !self.workers.values().any(can_ever_fit) {
            return PlacementChoice::Impossible;
        }
        if !demand.urgent {
            return PlacementChoice::Wait;
        }
        let weighed = policy == PlacementPolicy::Weighed;
        let mut plans = self
            .workers_from(start)
            .filter(|(_, worker)| worker.open && can_ever_fit(worker))
            .filter_map(|(key, worker)| {
                Some((key, plan_eviction(worker, now, demand.size, weighed)?))
            })
            .take(MAX_EVICTION_CANDIDATES);
        let plan = if weighed {
            plans.min_by_key(|(_, plan)| (plan.due_today, plan.lost_work, plan.victims.len()))
        } else {
            plans.next()
        };
        plan.map_or(PlacementChoice::Wait, |(key, plan)| {
            PlacementChoice::Evict(key, plan.victims)
        })
    }
}

/// Whether a worker has no room for `size` anyway, or has it also beside the new task.
fn keeps_headroom(worker: &WorkerCapacity, demand: TaskDemand, size: ResourceVector) -> bool {
    let free = worker.free();
    !size.fits_in(free) || size.fits_in(free.saturating_sub(demand.size))
}

/// Lower is better: how full the worker becomes, and the harm that the neighbours do.
///
/// All tasks spread: a fuller worker is in the worse band for everybody on it.
fn score(worker: &WorkerCapacity, demand: TaskDemand, context: &PlacementContext<'_>) -> f64 {
    let reserved = worker
        .reserved
        .checked_add(demand.size)
        .unwrap_or(worker.reserved);
    let after = reserved.dominant_share(worker.capacity);
    let total = context.weights.tail + context.weights.throughput;
    let interference_cost = interference_cost(worker, demand, LoadBand::of(after), context);
    after * FIT_WEIGHT + interference_cost / total.max(1.0)
}

/// The cost of a slowdown of a latency-critical task, between 0 and 1.
///
/// It saturates: requests are routed elsewhere by then, so noise is better kept in one place.
fn saturate(excess: f64) -> f64 {
    1.0 - libm::exp(-excess / SATURATION)
}

/// Expected slowdown of one victim by one neighbour.
///
/// Where the victim is latency-critical the estimate is raised by its spread; where it is batch it
/// is lowered, so that unknown pairs get tried.
fn expected_slowdown(
    pairs: &PairTable,
    (affected, urgent): (KindKey, bool),
    neighbour: KindKey,
    band: LoadBand,
) -> f64 {
    let estimate = pairs.estimate(affected, neighbour, band);
    let margin = if urgent { 1.0 } else { -0.5 };
    (estimate.excess + margin * estimate.spread()).max(0.0)
}

/// Expected slowdown of the neighbours by the task and of the task by them, weighed.
fn interference_cost(
    worker: &WorkerCapacity,
    demand: TaskDemand,
    band: LoadBand,
    context: &PlacementContext<'_>,
) -> f64 {
    let weights = context.weights;
    let mut cost = 0.0;
    for task in &worker.tasks {
        let affected = (task.kind, task.urgent);
        let added = expected_slowdown(context.pairs, affected, demand.kind, band);
        cost += if task.urgent {
            let others = worker.tasks.iter().filter(|other| other.task != task.task);
            let before: f64 = others
                .map(|other| expected_slowdown(context.pairs, affected, other.kind, band))
                .sum();
            weights.tail * (saturate(before + added) - saturate(before))
        } else {
            weights.throughput * added
        };
    }
    let affected = (demand.kind, demand.urgent);
    let suffered: f64 = worker
        .tasks
        .iter()
        .map(|task| expected_slowdown(context.pairs, affected, task.kind, band))
        .sum();
    cost + if demand.urgent {
        weights.tail * saturate(suffered)
    } else {
        weights.throughput * suffered
    }
}

/// What an eviction on one worker costs.
struct EvictionPlan {
    victims: Vec<TaskId>,
    lost_work: Duration,
    due_today: bool,
}

/// The evictable tasks until the size fits: least work lost first, or in the order of arrival.
fn plan_eviction(
    worker: &WorkerCapacity,
    now: TimePoint,
    size: ResourceVector,
    weighed: bool,
) -> Option<EvictionPlan> {
    let mut tasks: Vec<&RunningTask> = worker
        .tasks
        .iter()
        .filter(|task| task.evictable && task.protected_until <= now)
        .collect();
    if weighed {
        tasks.sort_by_key(|task| (task.due_today, now.since(task.saved_at), task.task));
    }
    let mut reserved = worker.reserved;
    let mut chosen: Vec<&RunningTask> = Vec::new();
    for task in tasks {
        reserved = reserved.saturating_sub(task.size);
        chosen.push(task);
        if size.fits_in(worker.capacity.saturating_sub(reserved)) {
            if weighed {
                drop_unneeded_victims(&mut chosen, worker.capacity.saturating_sub(reserved), size);
            }
            return Some(EvictionPlan {
                lost_work: chosen.iter().map(|task| now.since(task.saved_at)).sum(),
                due_today: chosen.iter().any(|task| task.due_today),
                victims: chosen.iter().map(|task| task.task).collect(),
            });
        }
    }
    None
}

/// Takes back victims that are not needed once later, larger ones were added.
fn drop_unneeded_victims(
    chosen: &mut Vec<&RunningTask>,
    mut free: ResourceVector,
    size: ResourceVector,
) {
    let mut index = 0;
    while index < chosen.len() {
        let without = free.saturating_sub(chosen[index].size);
        let enough = size.fits_in(without) && chosen[index].size.fits_in(free);
        if enough {
            free = without;
            chosen.remove(index);
        } else {
            index += 1;
        }
    }
}
