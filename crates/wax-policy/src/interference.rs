//! Learns how much one kind of task slows down another, per pair of kinds and band of worker load.
//!
//! The only evidence is usage reports, which arrive late: how much slower a task ran than alone,
//! and which kinds ran on the same worker. A report names all neighbours at once, so the difference
//! between the observed slowdown and the sum of the estimates is divided among them, as in a
//! least-mean-squares filter.

use crate::kinds::KindKey;
use std::collections::HashMap;

/// Share of a worker's processors in use from which the worker counts as loaded.
const LOADED_SHARE: f64 = 0.6;
/// Number of samples after which a sample has little weight in an estimate.
const SAMPLE_WINDOW: f64 = 40.0;
/// Excess assumed for a pair without samples.
const PRIOR_EXCESS: f64 = 0.08;
/// Standard deviation of [`PRIOR_EXCESS`].
const PRIOR_STD_DEV: f64 = 0.25;

/// Band of a worker's load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LoadBand {
    /// Less than `LOADED_SHARE` of the processors in use.
    Light,
    /// At least `LOADED_SHARE` of the processors in use.
    Loaded,
}

impl LoadBand {
    /// Returns the band for a share of processors in use, 0 to 1.
    pub fn of(share: f64) -> Self {
        if share < LOADED_SHARE {
            Self::Light
        } else {
            Self::Loaded
        }
    }
}

/// Estimate for one pair of kinds in one load band.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PairEstimate {
    /// Slowdown of the affected task by one neighbour: 0.5 means that it takes 50 % longer than
    /// alone.
    pub excess: f64,
    samples: f64,
}

impl Default for PairEstimate {
    fn default() -> Self {
        Self {
            excess: PRIOR_EXCESS,
            samples: 0.0,
        }
    }
}

impl PairEstimate {
    /// Returns the standard deviation of the estimate.
    pub fn std_dev(&self) -> f64 {
        PRIOR_STD_DEV / (1.0 + self.samples).sqrt()
    }

    fn learn(&mut self, error: f64) {
        self.samples = (self.samples + 1.0).min(SAMPLE_WINDOW);
        self.excess = (self.excess + error / self.samples.max(2.0)).max(0.0);
    }
}

/// Estimates of all pairs of kinds that have run on the same worker.
#[derive(Debug, Clone, Default)]
pub struct PairTable {
    pairs: HashMap<(KindKey, KindKey, LoadBand), PairEstimate>,
}

impl PairTable {
    /// Returns the estimate of how much `neighbour` slows down `affected`; the prior if the pair
    /// has no samples.
    pub fn estimate(&self, affected: KindKey, neighbour: KindKey, band: LoadBand) -> PairEstimate {
        let key = (affected, neighbour, band);
        self.pairs.get(&key).copied().unwrap_or_default()
    }

    /// Learns from one report, in which the affected task took `1 + excess` times as long on a
    /// worker with `neighbours` as alone.
    pub fn learn(
        &mut self,
        affected: KindKey,
        neighbours: &[KindKey],
        band: LoadBand,
        excess: f64,
    ) {
        if neighbours.is_empty() {
            return;
        }
        let expected: f64 = neighbours
            .iter()
            .map(|neighbour| self.estimate(affected, *neighbour, band).excess)
            .sum();
        let share = (excess - expected) / neighbours.len() as f64;
        for neighbour in neighbours {
            let key = (affected, *neighbour, band);
            self.pairs.entry(key).or_default().learn(share);
        }
    }

    /// Returns the number of pairs with samples, counted once per load band.
    pub fn len(&self) -> usize {
        self.pairs.len()
    }

    /// Returns whether no pair has samples.
    pub fn is_empty(&self) -> bool {
        self.pairs.is_empty()
    }
}
