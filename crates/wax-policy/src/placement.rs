//! Chooses the worker for a task, and the tasks to evict for an urgent one.

use crate::interference::{LoadBand, PairTable};
use crate::kinds::KindKey;
use fastrand::Rng;
use slotmap::{SlotMap, new_key_type};
use std::str::FromStr;
use std::time::Duration;
use wax_types::{ResourceVector, TaskId, TimePoint};

new_key_type! {
    /// Key of a worker in a [`WorkerTable`].
    pub struct WorkerKey;
}

/// Maximum number of workers that are scored for one task, so that the cost of a decision does not
/// grow with the number of workers.
const MAX_SCORED_WORKERS: usize = 24;
/// Weight of a worker's utilization in its score, where a task that takes twice as long as alone
/// counts as 1.
const FIT_WEIGHT: f64 = 0.15;
/// Slowdown of a latency-critical task above which a further slowdown adds little to its cost.
const SATURATION: f64 = 0.5;
/// Number of workers on which batch tasks must leave free capacity for an urgent task, so that it
/// does not need to evict. Each further worker would reduce batch throughput.
const HEADROOM_WORKERS: usize = 1;
/// Maximum number of workers on which evictions are compared for one task.
const MAX_EVICTION_CANDIDATES: usize = 64;

/// Policy by which a worker is chosen. All but `Weighed` are baselines for comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum PlacementPolicy {
    /// The best score of utilization and interference between neighbours.
    #[default]
    Weighed,
    /// A random worker on which the task fits.
    Random,
    /// The workers in turn, skipping those on which the task does not fit.
    RoundRobin,
    /// The worker with the lowest share of its capacity reserved.
    LeastLoaded,
    /// The first worker on which the task fits.
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

/// Customer's weights of the objectives; only their ratios matter.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CustomerWeights {
    /// Weight of the tail latency of latency-critical tasks.
    pub tail: f64,
    /// Weight of batch throughput.
    pub throughput: f64,
    /// Weight of avoiding evictions.
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

/// Task that runs on a worker, with what placement and eviction depend on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunningTask {
    /// Id of the task.
    pub task: TaskId,
    /// Kind of the task, by which interference is estimated.
    pub kind: KindKey,
    /// Resources reserved for the task.
    pub size: ResourceVector,
    /// Whether the task is latency-critical.
    pub urgent: bool,
    /// Whether the task may be evicted for an urgent one.
    pub evictable: bool,
    /// Time of the start or of the last checkpoint; an eviction loses the work done since then.
    pub saved_at: TimePoint,
    /// Time before which the task is not evicted.
    pub protected_until: TimePoint,
    /// Whether an eviction would keep the task from ending before the end of the working day.
    pub due_today: bool,
}

/// Capacity, reservations and tasks of one worker.
#[derive(Debug, Clone)]
pub struct WorkerCapacity {
    capacity: ResourceVector,
    reserved: ResourceVector,
    open: bool,
    tasks: Vec<RunningTask>,
}

/// Requirements of a task that is to be placed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TaskDemand {
    /// Kind of the task, by which interference is estimated.
    pub kind: KindKey,
    /// Resources to reserve for the task.
    pub size: ResourceVector,
    /// Whether the task is latency-critical and may evict batch tasks.
    pub urgent: bool,
}

/// Input of a placement decision besides the workers and the task.
#[derive(Debug, Clone, Copy)]
pub struct PlacementContext<'a> {
    /// Estimated interference of all pairs of kinds.
    pub pairs: &'a PairTable,
    /// Customer's weights of the objectives.
    pub weights: CustomerWeights,
    /// Workers on which the task has failed and which are not chosen.
    pub avoid: &'a [WorkerKey],
    /// Policy by which the worker is chosen.
    pub policy: PlacementPolicy,
}

/// Result of a placement decision.
#[derive(Debug, Clone, PartialEq)]
pub enum PlacementChoice {
    /// Place the task on this worker.
    Place(WorkerKey),
    /// Evict these tasks from the worker; the task fits on it afterwards.
    Evict(WorkerKey, Vec<TaskId>),
    /// The task fits nowhere at present.
    Wait,
    /// The task is larger than every worker.
    Impossible,
}

/// Workers of one shard.
#[derive(Debug, Clone, Default)]
pub struct WorkerTable {
    workers: SlotMap<WorkerKey, WorkerCapacity>,
    order: Vec<WorkerKey>,
    next_start: usize,
    /// Free capacity that batch tasks must leave on some worker: the size of the last urgent task
    /// that did not fit in the value before.
    urgent_size: Option<ResourceVector>,
}

impl WorkerCapacity {
    /// Returns the capacity that is not reserved.
    pub fn free(&self) -> ResourceVector {
        self.capacity.saturating_sub(self.reserved)
    }

    /// Returns the total capacity.
    pub fn capacity(&self) -> ResourceVector {
        self.capacity
    }

    /// Returns the capacity that is reserved for the tasks.
    pub fn reserved(&self) -> ResourceVector {
        self.reserved
    }

    /// Returns the tasks on the worker.
    pub fn tasks(&self) -> &[RunningTask] {
        &self.tasks
    }

    /// Returns the load band by the share of capacity that is reserved.
    pub fn load_band(&self) -> LoadBand {
        LoadBand::of(self.load())
    }

    fn load(&self) -> f64 {
        self.reserved.dominant_share(self.capacity)
    }
}

impl WorkerTable {
    /// Adds a worker without tasks that accepts new ones.
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

    /// Removes a worker and its reservations.
    pub fn remove(&mut self, key: WorkerKey) {
        self.workers.remove(key);
        self.order.retain(|other| *other != key);
    }

    /// Sets whether new tasks may be placed on a worker.
    pub fn set_open(&mut self, key: WorkerKey, open: bool) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.open = open;
        }
    }

    /// Returns the worker, if the table has it.
    pub fn get(&self, key: WorkerKey) -> Option<&WorkerCapacity> {
        self.workers.get(key)
    }

    /// Returns the keys of all workers.
    pub fn keys(&self) -> impl Iterator<Item = WorkerKey> + '_ {
        self.workers.keys()
    }

    /// Reserves capacity for a task; returns false if the worker is unknown or the task does not
    /// fit.
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

    /// Releases the reservation of a task; `None` if the worker does not have it.
    pub fn release(&mut self, key: WorkerKey, task: TaskId) -> Option<RunningTask> {
        let worker = self.workers.get_mut(key)?;
        let position = worker.tasks.iter().position(|other| other.task == task)?;
        let task = worker.tasks.swap_remove(position);
        worker.reserved = worker.reserved.saturating_sub(task.size);
        Some(task)
    }

    /// Chooses a worker for one task.
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

    /// Returns the capacity that a batch task must leave free on a worker that has it; `None` if
    /// more than [`HEADROOM_WORKERS`] workers have it or the task need not leave any.
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

    /// Chooses the worker on which an eviction for an urgent task loses the least work.
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

/// Returns whether `size` would still fit on the worker next to the new task, or does not fit even
/// now.
fn keeps_headroom(worker: &WorkerCapacity, demand: TaskDemand, size: ResourceVector) -> bool {
    let free = worker.free();
    !size.fits_in(free) || size.fits_in(free.saturating_sub(demand.size))
}

/// Returns the cost of placing the task on the worker, lower is better: the utilization afterwards
/// and the interference between neighbours.
///
/// Utilization counts for all tasks, so that they spread over the workers: on a worker in the
/// higher load band every task suffers more interference.
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

/// Returns the cost of a slowdown of a latency-critical task, 0 to 1.
///
/// The cost saturates because requests are routed to other workers once a task is slow, so that a
/// further slowdown does little harm. Interfering tasks are therefore better kept on one worker.
fn saturate(excess: f64) -> f64 {
    1.0 - libm::exp(-excess / SATURATION)
}

/// Returns the expected slowdown of one affected task by one neighbour.
///
/// For a latency-critical task, one standard deviation is added to the estimate. For a batch task,
/// half of one is subtracted, so that pairs without samples get tried.
fn expected_slowdown(
    pairs: &PairTable,
    (affected, urgent): (KindKey, bool),
    neighbour: KindKey,
    band: LoadBand,
) -> f64 {
    let estimate = pairs.estimate(affected, neighbour, band);
    let margin = if urgent { 1.0 } else { -0.5 };
    (estimate.excess + margin * estimate.std_dev()).max(0.0)
}

/// Returns the weighted cost of the slowdown of the neighbours by the task and of the task by its
/// neighbours.
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

/// Tasks to evict from one worker, and the cost.
struct EvictionPlan {
    victims: Vec<TaskId>,
    lost_work: Duration,
    due_today: bool,
}

/// Chooses evictable tasks until `size` fits; `None` if it does not fit even without all of them.
/// With `weighed`, tasks that lose the least work come first, otherwise the order of arrival
/// decides.
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

/// Removes tasks from `chosen` that need not be evicted because larger ones were added after them.
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
