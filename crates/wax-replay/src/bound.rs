//! What no scheduler could exceed: work of known size, placed freely on the processors that there are.
//!
//! Taken as free: moving, stopping and going on; knowing what comes; running beside one another; any
//! number of processors for one job. So a day below the bound may still be out of reach, while one near
//! it lacks capacity. Work within windows of time is a flow, and flows form a polymatroid: taking jobs by
//! worth for their work, each as far as it still goes beside those before it, is best.

use serde::Serialize;
use std::collections::VecDeque;

/// Amounts below this are rounding, core seconds.
const EPSILON_CORE_S: f64 = 1e-6;

/// A job as far as the bound knows it. Times in seconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BoundJob {
    /// When it comes.
    pub arrival_s: f64,
    /// By when it must be done to count.
    pub deadline_s: f64,
    /// Its work, core seconds.
    pub work_core_s: f64,
    /// What it is worth if all of it is done; a part counts as its share.
    pub value: f64,
}

/// Processors over a span of time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BoundSlot {
    /// Its beginning, seconds.
    pub start_s: f64,
    /// Its end.
    pub end_s: f64,
    /// Cores that there are.
    pub cores: f64,
}

/// The bound of a day.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize)]
pub struct WorkBound {
    /// Jobs that were looked at.
    pub jobs: usize,
    /// Work that was asked for, core seconds.
    #[serde(rename = "asked")]
    pub requested_core_s: f64,
    /// Of it, what can be done in time.
    #[serde(rename = "possible")]
    pub possible_core_s: f64,
    /// What all jobs are worth.
    #[serde(rename = "worth_asked")]
    pub requested_value: f64,
    /// What of that can be had.
    #[serde(rename = "worth_possible")]
    pub possible_value: f64,
}

impl WorkBound {
    /// The share of the worth that can be had; all of nothing.
    pub fn share(&self) -> f64 {
        match self.requested_value > 0.0 {
            true => self.possible_value / self.requested_value,
            false => 1.0,
        }
    }
}

/// The most that can be had of `jobs` with the processors of `slots`.
pub fn compute_bound(jobs: &[BoundJob], slots: &[BoundSlot]) -> WorkBound {
    let mut flow = FlowNetwork::new(jobs, slots);
    let mut order: Vec<usize> = (0..jobs.len())
        .filter(|job| jobs[*job].work_core_s > EPSILON_CORE_S)
        .collect();
    let density = |job: &usize| jobs[*job].value / jobs[*job].work_core_s;
    order.sort_by(|one, other| density(other).total_cmp(&density(one)));
    let mut bound = WorkBound::default();
    for job in order {
        let done = flow.place_job(job, jobs[job].work_core_s);
        bound.jobs += 1;
        bound.requested_core_s += jobs[job].work_core_s;
        bound.possible_core_s += done;
        bound.requested_value += jobs[job].value;
        bound.possible_value += jobs[job].value * done / jobs[job].work_core_s;
    }
    bound
}

/// Which work is done in which slot.
struct FlowNetwork {
    /// Slots that each job may use, and how much of each at most.
    usable_slots: Vec<Vec<(usize, f64)>>,
    /// What is left of each slot.
    free: Vec<f64>,
    /// What each slot holds: the job, how much.
    placements: Vec<Vec<(usize, f64)>>,
}

impl FlowNetwork {
    fn new(jobs: &[BoundJob], slots: &[BoundSlot]) -> Self {
        let overlap = |job: &BoundJob, slot: &BoundSlot| {
            let seconds = job.deadline_s.min(slot.end_s) - job.arrival_s.max(slot.start_s);
            seconds.max(0.0) * slot.cores
        };
        let usable = |job: &BoundJob| {
            let all = slots.iter().enumerate();
            let open = all.map(|(number, slot)| (number, overlap(job, slot)));
            open.filter(|(_, limit)| *limit > EPSILON_CORE_S).collect()
        };
        Self {
            usable_slots: jobs.iter().map(usable).collect(),
            free: slots
                .iter()
                .map(|slot| (slot.end_s - slot.start_s) * slot.cores)
                .collect(),
            placements: vec![Vec::new(); slots.len()],
        }
    }

    /// Places as much of a job as goes beside what is placed; says how much.
    fn place_job(&mut self, job: usize, work: f64) -> f64 {
        let mut remaining = work;
        while remaining > EPSILON_CORE_S {
            let Some((path, limit)) = self.find_augmenting_path(job) else {
                break;
            };
            let amount = remaining.min(limit);
            if amount <= EPSILON_CORE_S {
                break;
            }
            self.augment(&path, amount);
            remaining -= amount;
        }
        work - remaining
    }

    fn placed_amount(&self, job: usize, slot: usize) -> f64 {
        let placement = self.placements[slot]
            .iter()
            .find(|(holder, _)| *holder == job);
        placement.map_or(0.0, |(_, amount)| *amount)
    }

    /// The shortest way to a slot with room: the job takes a slot, whose holder moves to another, and so
    /// on. Steps are (job, slot that it takes); with them how much can be pushed along.
    fn find_augmenting_path(&self, job: usize) -> Option<(Vec<(usize, usize)>, f64)> {
        let mut from: Vec<Option<(usize, Option<usize>)>> = vec![None; self.free.len()];
        let mut seen_jobs = vec![false; self.usable_slots.len()];
        seen_jobs[job] = true;
        let mut queue = VecDeque::from([(job, None)]);
        while let Some((occupant, displaced_from)) = queue.pop_front() {
            for (slot, limit) in &self.usable_slots[occupant] {
                if from[*slot].is_some()
                    || limit - self.placed_amount(occupant, *slot) <= EPSILON_CORE_S
                {
                    continue;
                }
                from[*slot] = Some((occupant, displaced_from));
                if self.free[*slot] > EPSILON_CORE_S {
                    return Some(self.read_path(&from, *slot));
                }
                for (holder, _) in &self.placements[*slot] {
                    if !std::mem::replace(&mut seen_jobs[*holder], true) {
                        queue.push_back((*holder, Some(*slot)));
                    }
                }
            }
        }
        None
    }

    fn read_path(
        &self,
        from: &[Option<(usize, Option<usize>)>],
        end: usize,
    ) -> (Vec<(usize, usize)>, f64) {
        let mut path = Vec::new();
        let mut limit = self.free[end];
        let mut slot = end;
        while let Some((occupant, displaced_from)) = from[slot] {
            let capacity = self.usable_slots[occupant]
                .iter()
                .find(|(open, _)| *open == slot);
            let capacity = capacity.map_or(0.0, |(_, amount)| *amount);
            limit = limit.min(capacity - self.placed_amount(occupant, slot));
            path.push((occupant, slot));
            let Some(before) = displaced_from else {
                break;
            };
            // The taker gives up as much of the slot through which it was found.
            limit = limit.min(self.placed_amount(occupant, before));
            slot = before;
        }
        (path, limit)
    }

    fn augment(&mut self, path: &[(usize, usize)], amount: f64) {
        // From the end with room back to the job itself; each taker leaves the next slot of the path.
        self.free[path[0].1] -= amount;
        for (step, (occupant, slot)) in path.iter().enumerate() {
            self.add(*occupant, *slot, amount);
            if let Some((_, before)) = path.get(step + 1) {
                self.add(*occupant, *before, -amount);
            }
        }
    }

    fn add(&mut self, job: usize, slot: usize, amount: f64) {
        let placements = &mut self.placements[slot];
        match placements.iter_mut().find(|(holder, _)| *holder == job) {
            Some((_, known)) => *known += amount,
            None => placements.push((job, amount)),
        }
        placements.retain(|(_, amount)| *amount > EPSILON_CORE_S);
    }
}
