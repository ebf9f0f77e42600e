//! Chooses the worker for a task, and the tasks that make room for an urgent one.

use fastrand::Rng;
use slotmap::{SlotMap, new_key_type};
use std::str::FromStr;
use std::time::Duration;
use wax_types::{ResourceVector, TaskId, TimePoint};

new_key_type! {
    /// Names a worker in a [`WorkerTable`].
    pub struct WorkerKey;
}

/// How a worker is chosen; all but the first are baselines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum PlacePolicy {
    /// By a score of fit, spread and neighbours.
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

impl FromStr for PlacePolicy {
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

/// A task that runs on a worker, as far as decisions need it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunningTask {
    /// The task.
    pub task: TaskId,
    /// What is reserved for it.
    pub size: ResourceVector,
    /// Whether it may be evicted for an urgent task.
    pub evictable: bool,
    /// When it started or was last checkpointed: later work would be lost.
    pub saved: TimePoint,
    /// It is not evicted again before this time.
    pub settled: TimePoint,
}

/// A worker as far as decisions need it.
#[derive(Debug, Clone)]
pub struct WorkerSlot {
    capacity: ResourceVector,
    used: ResourceVector,
    open: bool,
    tasks: Vec<RunningTask>,
}

/// What a task needs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TaskDemand {
    /// What is reserved for it.
    pub size: ResourceVector,
    /// Whether it may evict batch tasks.
    pub urgent: bool,
}

/// What to do with a task that waits.
#[derive(Debug, Clone, PartialEq)]
pub enum PlaceChoice {
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
    workers: SlotMap<WorkerKey, WorkerSlot>,
    turn: usize,
}

impl WorkerSlot {
    /// What is not reserved.
    pub fn free(&self) -> ResourceVector {
        self.capacity.saturating_sub(self.used)
    }

    /// What it has.
    pub fn capacity(&self) -> ResourceVector {
        self.capacity
    }

    /// What runs there.
    pub fn tasks(&self) -> &[RunningTask] {
        &self.tasks
    }
}

impl WorkerTable {
    /// Adds an idle worker.
    pub fn add(&mut self, capacity: ResourceVector) -> WorkerKey {
        self.workers.insert(WorkerSlot {
            capacity,
            used: ResourceVector::ZERO,
            open: true,
            tasks: Vec::new(),
        })
    }

    /// Removes a worker.
    pub fn remove(&mut self, key: WorkerKey) {
        self.workers.remove(key);
    }

    /// Whether new tasks may be placed on a worker.
    pub fn set_open(&mut self, key: WorkerKey, open: bool) {
        if let Some(slot) = self.workers.get_mut(key) {
            slot.open = open;
        }
    }

    /// The worker.
    pub fn get(&self, key: WorkerKey) -> Option<&WorkerSlot> {
        self.workers.get(key)
    }

    /// All workers.
    pub fn keys(&self) -> impl Iterator<Item = WorkerKey> + '_ {
        self.workers.keys()
    }

    /// Reserves room; says whether it fitted. Nothing is reserved beyond the capacity.
    pub fn reserve(&mut self, key: WorkerKey, task: RunningTask) -> bool {
        let Some(slot) = self.workers.get_mut(key) else {
            return false;
        };
        match slot.used.checked_add(task.size) {
            Some(used) if used.fits_in(slot.capacity) => {
                slot.used = used;
                slot.tasks.push(task);
                true
            }
            _ => false,
        }
    }

    /// Gives the room of a task back.
    pub fn release(&mut self, key: WorkerKey, task: TaskId) {
        if let Some(slot) = self.workers.get_mut(key)
            && let Some(position) = slot.tasks.iter().position(|other| other.task == task)
        {
            let task = slot.tasks.swap_remove(position);
            slot.used = slot.used.saturating_sub(task.size);
        }
    }

    /// Chooses for one task; `avoid` are workers on which it failed.
    pub fn choose(
        &mut self,
        now: TimePoint,
        demand: TaskDemand,
        avoid: &[WorkerKey],
        policy: PlacePolicy,
        rng: &mut Rng,
    ) -> PlaceChoice {
        let fitting = |key: WorkerKey, slot: &WorkerSlot| {
            slot.open && demand.size.fits_in(slot.free()) && !avoid.contains(&key)
        };
        let count = self.workers.len().max(1);
        let start = match policy {
            PlacePolicy::Random => rng.usize(..count),
            PlacePolicy::RoundRobin => self.turn % count,
            _ => 0,
        };
        self.turn = self.turn.wrapping_add(1);
        let mut candidates = self
            .workers
            .iter()
            .cycle()
            .skip(start)
            .take(self.workers.len())
            .filter(|(key, slot)| fitting(*key, slot));
        let chosen = match policy {
            PlacePolicy::Random | PlacePolicy::RoundRobin | PlacePolicy::FirstFit => {
                candidates.next().map(|(key, _)| key)
            }
            PlacePolicy::LeastLoaded => candidates
                .min_by(|(_, a), (_, b)| load(a).total_cmp(&load(b)))
                .map(|(key, _)| key),
            PlacePolicy::Weighed => candidates
                .map(|(key, slot)| (key, score(slot, demand)))
                .min_by(|(_, a), (_, b)| a.total_cmp(b))
                .map(|(key, _)| key),
        };
        match chosen {
            Some(key) => PlaceChoice::Place(key),
            None => self.choose_victims(now, demand),
        }
    }

    /// For an urgent task: the worker where eviction loses the least work.
    fn choose_victims(&self, now: TimePoint, demand: TaskDemand) -> PlaceChoice {
        let possible = |slot: &WorkerSlot| demand.size.fits_in(slot.capacity);
        if !self.workers.values().any(possible) {
            return PlaceChoice::Impossible;
        }
        if !demand.urgent {
            return PlaceChoice::Wait;
        }
        self.workers
            .iter()
            .filter(|(_, slot)| slot.open && possible(slot))
            .filter_map(|(key, slot)| {
                let (victims, lost) = victims_on(slot, now, demand.size)?;
                Some((key, victims, lost))
            })
            .min_by_key(|(_, victims, lost)| (*lost, victims.len()))
            .map_or(PlaceChoice::Wait, |(key, victims, _)| {
                PlaceChoice::Evict(key, victims)
            })
    }
}

fn load(slot: &WorkerSlot) -> f64 {
    slot.used.dominant_share(slot.capacity)
}

/// Lower is better: batch packs tightly, urgent tasks spread.
fn score(slot: &WorkerSlot, demand: TaskDemand) -> f64 {
    let used = slot.used.checked_add(demand.size).unwrap_or(slot.used);
    let after = used.dominant_share(slot.capacity);
    if demand.urgent { after } else { 1.0 - after }
}

/// The evictable tasks, least work lost first, until the size fits; and the work lost.
fn victims_on(
    slot: &WorkerSlot,
    now: TimePoint,
    size: ResourceVector,
) -> Option<(Vec<TaskId>, Duration)> {
    let mut tasks: Vec<&RunningTask> = slot
        .tasks
        .iter()
        .filter(|task| task.evictable && task.settled <= now)
        .collect();
    tasks.sort_by_key(|task| (now.since(task.saved), task.task));
    let mut used = slot.used;
    let mut victims = Vec::new();
    let mut lost = Duration::ZERO;
    for task in tasks {
        used = used.saturating_sub(task.size);
        victims.push(task.task);
        lost += now.since(task.saved);
        if size.fits_in(slot.capacity.saturating_sub(used)) {
            return Some((victims, lost));
        }
    }
    None
}
