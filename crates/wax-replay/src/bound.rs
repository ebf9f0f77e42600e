//! What no scheduler could exceed: work of known size, placed freely on the processors that there are.
//!
//! Taken as free: moving, stopping and going on; knowing what comes; running beside one another; any
//! number of processors for one job. So a day below the bound may still be out of reach, while one near
//! it lacks capacity. Work within windows of time is a flow, and flows form a polymatroid: taking jobs by
//! worth for their work, each as far as it still goes beside those before it, is best.

use serde::Serialize;
use std::collections::VecDeque;

/// Amounts below this are rounding, core seconds.
const LEAST: f64 = 1e-6;

/// A job as far as the bound knows it. Times in seconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BoundJob {
    /// When it comes.
    pub arrives: f64,
    /// By when it must be done to count.
    pub due: f64,
    /// Its work, core seconds.
    pub work: f64,
    /// What it is worth if all of it is done; a part counts as its share.
    pub worth: f64,
}

/// Processors over a span of time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BoundSlot {
    /// Its beginning, seconds.
    pub from: f64,
    /// Its end.
    pub to: f64,
    /// Cores that there are.
    pub cores: f64,
}

/// The bound of a day.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize)]
pub struct DayBound {
    /// Jobs that were looked at.
    pub jobs: usize,
    /// Work that was asked for, core seconds.
    pub asked: f64,
    /// Of it, what can be done in time.
    pub possible: f64,
    /// What all jobs are worth.
    pub worth_asked: f64,
    /// What of that can be had.
    pub worth_possible: f64,
}

impl DayBound {
    /// The share of the worth that can be had; all of nothing.
    pub fn share(&self) -> f64 {
        match self.worth_asked > 0.0 {
            true => self.worth_possible / self.worth_asked,
            false => 1.0,
        }
    }
}

/// The most that can be had of `jobs` with the processors of `slots`.
pub fn bound_day(jobs: &[BoundJob], slots: &[BoundSlot]) -> DayBound {
    let mut flow = WorkFlow::new(jobs, slots);
    let mut order: Vec<usize> = (0..jobs.len())
        .filter(|job| jobs[*job].work > LEAST)
        .collect();
    let density = |job: &usize| jobs[*job].worth / jobs[*job].work;
    order.sort_by(|one, other| density(other).total_cmp(&density(one)));
    let mut bound = DayBound::default();
    for job in order {
        let done = flow.place(job, jobs[job].work);
        bound.jobs += 1;
        bound.asked += jobs[job].work;
        bound.possible += done;
        bound.worth_asked += jobs[job].worth;
        bound.worth_possible += jobs[job].worth * done / jobs[job].work;
    }
    bound
}

/// Which work is done in which slot.
struct WorkFlow {
    /// Slots that each job may use, and how much of each at most.
    windows: Vec<Vec<(usize, f64)>>,
    /// What is left of each slot.
    left: Vec<f64>,
    /// What each slot holds: the job, how much.
    held: Vec<Vec<(usize, f64)>>,
}

impl WorkFlow {
    fn new(jobs: &[BoundJob], slots: &[BoundSlot]) -> Self {
        let overlap = |job: &BoundJob, slot: &BoundSlot| {
            let seconds = job.due.min(slot.to) - job.arrives.max(slot.from);
            seconds.max(0.0) * slot.cores
        };
        let window = |job: &BoundJob| {
            let all = slots.iter().enumerate();
            let open = all.map(|(number, slot)| (number, overlap(job, slot)));
            open.filter(|(_, most)| *most > LEAST).collect()
        };
        Self {
            windows: jobs.iter().map(window).collect(),
            left: slots
                .iter()
                .map(|slot| (slot.to - slot.from) * slot.cores)
                .collect(),
            held: vec![Vec::new(); slots.len()],
        }
    }

    /// Places as much of a job as goes beside what is placed; says how much.
    fn place(&mut self, job: usize, work: f64) -> f64 {
        let mut open = work;
        while open > LEAST {
            let Some((path, most)) = self.find_path(job) else {
                break;
            };
            let amount = open.min(most);
            if amount <= LEAST {
                break;
            }
            self.push(&path, amount);
            open -= amount;
        }
        work - open
    }

    fn placed(&self, job: usize, slot: usize) -> f64 {
        let held = self.held[slot].iter().find(|(holder, _)| *holder == job);
        held.map_or(0.0, |(_, amount)| *amount)
    }

    /// The shortest way to a slot with room: the job takes a slot, whose holder moves to another, and so
    /// on. Steps are (job, slot that it takes); with them how much can be pushed along.
    fn find_path(&self, job: usize) -> Option<(Vec<(usize, usize)>, f64)> {
        let mut from: Vec<Option<(usize, Option<usize>)>> = vec![None; self.left.len()];
        let mut seen_jobs = vec![false; self.windows.len()];
        seen_jobs[job] = true;
        let mut queue = VecDeque::from([(job, None)]);
        while let Some((taker, through)) = queue.pop_front() {
            for (slot, most) in &self.windows[taker] {
                if from[*slot].is_some() || most - self.placed(taker, *slot) <= LEAST {
                    continue;
                }
                from[*slot] = Some((taker, through));
                if self.left[*slot] > LEAST {
                    return Some(self.read_path(&from, *slot));
                }
                for (holder, _) in &self.held[*slot] {
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
        let mut most = self.left[end];
        let mut slot = end;
        while let Some((taker, through)) = from[slot] {
            let window = self.windows[taker].iter().find(|(open, _)| *open == slot);
            let room = window.map_or(0.0, |(_, room)| *room);
            most = most.min(room - self.placed(taker, slot));
            path.push((taker, slot));
            let Some(before) = through else {
                break;
            };
            // The taker gives up as much of the slot through which it was found.
            most = most.min(self.placed(taker, before));
            slot = before;
        }
        (path, most)
    }

    fn push(&mut self, path: &[(usize, usize)], amount: f64) {
        // From the end with room back to the job itself; each taker leaves the next slot of the path.
        self.left[path[0].1] -= amount;
        for (step, (taker, slot)) in path.iter().enumerate() {
            self.add(*taker, *slot, amount);
            if let Some((_, before)) = path.get(step + 1) {
                self.add(*taker, *before, -amount);
            }
        }
    }

    fn add(&mut self, job: usize, slot: usize, amount: f64) {
        let held = &mut self.held[slot];
        match held.iter_mut().find(|(holder, _)| *holder == job) {
            Some((_, known)) => *known += amount,
            None => held.push((job, amount)),
        }
        held.retain(|(_, amount)| *amount > LEAST);
    }
}
