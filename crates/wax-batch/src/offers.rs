//! Offers of workers for the tasks of one step, the cheapest first.
//!
//! All tasks of a step are placed in one pass. Each placement changes only one worker, so the
//! offers of the other workers remain valid.

use crate::reasons::WaitReason;
use crate::worker::WorkerKey;
use std::cmp::{Ordering, Reverse};
use std::collections::{BinaryHeap, HashMap};

/// Cost of placing a task of the step on a worker.
#[derive(Debug, Clone, Copy, PartialEq)]
struct WorkerOffer {
    cost: f64,
    /// Position of the worker in the scheduler; breaks ties between equal costs.
    position: usize,
    worker: WorkerKey,
    /// Version of the worker's offer; the offer is outdated once the worker's current version is
    /// higher.
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

/// Cheapest worker, and the cost of the second cheapest.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct BestOffer {
    pub(crate) worker: WorkerKey,
    pub(crate) cost: f64,
    pub(crate) next_cost: Option<f64>,
}

/// Offers of the evaluated workers for the tasks of one step.
#[derive(Debug)]
pub(crate) struct StepOffers {
    offers: BinaryHeap<Reverse<WorkerOffer>>,
    versions: HashMap<WorkerKey, u32>,
    /// Reason given by the worker that came closest to accepting a task.
    nearest_obstacle: WaitReason,
    covers_all_workers: bool,
}

impl StepOffers {
    /// Evaluates workers, each given with its position in the scheduler, until at least
    /// `sample_size` workers were evaluated and `enough_offers` offers were found, or no worker is
    /// left.
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

    /// Returns whether all workers were evaluated.
    pub(crate) fn covers_all_workers(&self) -> bool {
        self.covers_all_workers
    }

    /// Returns the cheapest worker.
    ///
    /// # Errors
    ///
    /// The reason why no worker accepts a task.
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

    /// Returns the cheapest offer that is not outdated, and drops outdated ones before it.
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

    /// Replaces the offer of a worker on which a task was placed.
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
