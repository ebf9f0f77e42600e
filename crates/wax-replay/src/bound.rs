//! Upper bound of the work that any scheduler could complete: work of known size, placed freely on
//! the available processors.
//!
//! The bound assumes that preemption, migration and resumption cost nothing, that future jobs are
//! known, that tasks do not slow each other down, and that a job can use any number of processors
//! at once. A result below the bound may therefore still be the best achievable, and a result close
//! to the bound can only be improved by more capacity. Work within windows of time is a network
//! flow, and flows form a polymatroid, so a greedy algorithm is optimal: jobs are taken in the order
//! of their value per work, and each is placed as far as it fits beside the jobs before it.

use serde::Serialize;
use std::collections::VecDeque;

/// Amounts below this are rounding errors, core seconds.
const EPSILON_CORE_S: f64 = 1e-6;

/// A job of known arrival, deadline, work and value.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BoundJob {
    /// Arrival time, seconds.
    pub arrival_s: f64,
    /// Time by which work must be done to count, seconds.
    pub deadline_s: f64,
    /// Work of the job, core seconds.
    pub work_core_s: f64,
    /// Value if all of the work is done in time; a part of the work counts proportionally.
    pub value: f64,
}

/// Available processors over an interval of time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BoundSlot {
    /// Start of the interval, seconds.
    pub start_s: f64,
    /// End of the interval, seconds.
    pub end_s: f64,
    /// Number of available cores.
    pub cores: f64,
}

/// Upper bound of the work and value that can be completed in time.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize)]
pub struct WorkBound {
    /// Number of jobs; jobs without work are not counted.
    pub jobs: usize,
    /// Total work of the jobs, core seconds.
    #[serde(rename = "asked")]
    pub requested_core_s: f64,
    /// Part of the work that can be done in time, core seconds.
    #[serde(rename = "possible")]
    pub possible_core_s: f64,
    /// Total value of the jobs.
    #[serde(rename = "worth_asked")]
    pub requested_value: f64,
    /// Part of the value that can be reached.
    #[serde(rename = "worth_possible")]
    pub possible_value: f64,
}

impl WorkBound {
    /// Returns the part of the value that can be reached, 0 to 1; 1 if there is none.
    pub fn share(&self) -> f64 {
        match self.requested_value > 0.0 {
            true => self.possible_value / self.requested_value,
            false => 1.0,
        }
    }
}

/// Computes the highest value that any scheduler could reach for `jobs` with the processors of
/// `slots`.
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

/// Assignment of work to slots as a flow from jobs to slots.
struct FlowNetwork {
    /// Slots that each job may use, with the limit on its work in each.
    usable_slots: Vec<Vec<(usize, f64)>>,
    /// Unused work capacity of each slot.
    free: Vec<f64>,
    /// Work in each slot: the job and its amount.
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

    /// Places as much work of a job as fits beside the jobs that are placed, and returns the
    /// amount.
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

    /// Finds the shortest augmenting path to a slot with free capacity: the job takes a slot, a job
    /// that occupies it moves to another slot, and so on. Returns the steps from the end of the
    /// path, as (job, slot that it takes), and the amount that can be moved along the path.
    ///
    /// `entered_by` holds for each slot that the search has reached the job that takes it, and the
    /// slot from which that job is displaced; `None` for the new job.
    fn find_augmenting_path(&self, job: usize) -> Option<(Vec<(usize, usize)>, f64)> {
        let mut entered_by: Vec<Option<(usize, Option<usize>)>> = vec![None; self.free.len()];
        let mut seen_jobs = vec![false; self.usable_slots.len()];
        seen_jobs[job] = true;
        let mut queue = VecDeque::from([(job, None)]);
        while let Some((occupant, displaced_from)) = queue.pop_front() {
            for (slot, limit) in &self.usable_slots[occupant] {
                if entered_by[*slot].is_some()
                    || limit - self.placed_amount(occupant, *slot) <= EPSILON_CORE_S
                {
                    continue;
                }
                entered_by[*slot] = Some((occupant, displaced_from));
                if self.free[*slot] > EPSILON_CORE_S {
                    return Some(self.read_path(&entered_by, *slot));
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
        entered_by: &[Option<(usize, Option<usize>)>],
        end: usize,
    ) -> (Vec<(usize, usize)>, f64) {
        let mut path = Vec::new();
        let mut limit = self.free[end];
        let mut slot = end;
        while let Some((occupant, displaced_from)) = entered_by[slot] {
            let capacity = self.usable_slots[occupant]
                .iter()
                .find(|(open, _)| *open == slot);
            let capacity = capacity.map_or(0.0, |(_, amount)| *amount);
            limit = limit.min(capacity - self.placed_amount(occupant, slot));
            path.push((occupant, slot));
            let Some(before) = displaced_from else {
                break;
            };
            // The occupant moves at most the amount that it holds in the slot from which it is
            // displaced.
            limit = limit.min(self.placed_amount(occupant, before));
            slot = before;
        }
        (path, limit)
    }

    fn augment(&mut self, path: &[(usize, usize)], amount: f64) {
        // The path starts at the slot with free capacity and ends with the new job. Each occupant
        // takes its slot and leaves the slot of the next step.
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
