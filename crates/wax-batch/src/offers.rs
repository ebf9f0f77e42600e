//! The workers that would take a task of a step, the cheapest first.
//!
//! A step of many tasks is placed in one go. Each placement changes one worker, so that the others need not be
//! looked at again.

use crate::reasons::WaitReason;
use crate::worker::WorkerKey;
use std::cmp::{Ordering, Reverse};
use std::collections::{BinaryHeap, HashMap};

/// What a worker takes for a task.
#[derive(Debug, Clone, Copy, PartialEq)]
struct WorkerOffer {
    cost: f64,
    /// Among equals the first worker of the book goes first.
    position: usize,
    worker: WorkerKey,
    /// The count of the worker's changes that the offer knows of.
    version: u32,
}

impl Eq for WorkerOffer {}

impl Ord for WorkerOffer {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_cost = self.cost.total_cmp(&other.cost);
        by_cost.then(self.position.cmp(&other.position))
    }
}

impl PartialOrd for WorkerOffer {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// The cheapest worker and the cost of the next one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct BestOffer {
    pub(crate) worker: WorkerKey,
    pub(crate) cost: f64,
    pub(crate) next_cost: Option<f64>,
}

/// All offers for the tasks of one step.
#[derive(Debug)]
pub(crate) struct StepOffers {
    offers: BinaryHeap<Reverse<WorkerOffer>>,
    versions: HashMap<WorkerKey, u32>,
    /// The obstacle of the worker that comes nearest_obstacle to taking a task.
    nearest_obstacle: WaitReason,
    covers_all_workers: bool,
}

impl StepOffers {
    /// Takes answers of workers, each with its position in the book, until so many were asked and so many offer
    /// something.
    pub(crate) fn collect(
        worker_offers: impl Iterator<Item = (usize, WorkerKey, Result<f64, WaitReason>)>,
        sample_size: usize,
        enough_offers: usize,
    ) -> Self {
        let mut nearest_obstacle = WaitReason::NoWorker;
        let mut offers = Vec::new();
        let mut evaluated = 0;
        let mut worker_offers = worker_offers.peekable();
        while worker_offers.peek().is_some()
            && (evaluated < sample_size || offers.len() < enough_offers)
        {
            let Some((position, worker, offer)) = worker_offers.next() else {
                break;
            };
            evaluated += 1;
            match offer {
                Ok(cost) => offers.push(Reverse(WorkerOffer {
                    cost,
                    position,
                    worker,
                    version: 0,
                })),
                Err(reason) => nearest_obstacle = nearest_obstacle.max(reason),
            }
        }
        Self {
            covers_all_workers: worker_offers.peek().is_none(),
            offers: offers.into(),
            versions: HashMap::new(),
            nearest_obstacle,
        }
    }

    /// Whether all workers were asked.
    pub(crate) fn covers_all_workers(&self) -> bool {
        self.covers_all_workers
    }

    /// The cheapest worker.
    ///
    /// # Errors
    ///
    /// Why no worker takes a task.
    pub(crate) fn best(&mut self) -> Result<BestOffer, WaitReason> {
        let best = self.peek_current().ok_or(self.nearest_obstacle)?;
        self.offers.pop();
        let next_cost = self.peek_current().map(|next| next.cost);
        self.offers.push(Reverse(best));
        Ok(BestOffer {
            worker: best.worker,
            cost: best.cost,
            next_cost,
        })
    }

    /// The first offer that its worker still stands by.
    fn peek_current(&mut self) -> Option<WorkerOffer> {
        while let Some(Reverse(first)) = self.offers.peek().copied() {
            let version = self.versions.get(&first.worker).copied().unwrap_or(0);
            if first.version == version {
                return Some(first);
            }
            self.offers.pop();
        }
        None
    }

    /// A task was placed on a worker, or taken back from it: what it answers now counts.
    pub(crate) fn update(
        &mut self,
        worker: WorkerKey,
        position: usize,
        offer: Result<f64, WaitReason>,
    ) {
        let version = self.versions.entry(worker).or_default();
        *version += 1;
        match offer {
            Ok(cost) => self.offers.push(Reverse(WorkerOffer {
                cost,
                position,
                worker,
                version: *version,
            })),
            Err(reason) => self.nearest_obstacle = self.nearest_obstacle.max(reason),
        }
    }
}
