//! Learns how much one kind of task slows another down, per pair and band of load.
//!
//! The only evidence is late usage: how much slower a task ran than alone, beside which kinds. A
//! report names all neighbours at once, so what was observed beyond the sum of the estimates is
//! shared among them, as in a least-mean-squares filter.

use crate::kinds::KindKey;
use std::collections::HashMap;

/// At this share of its processors in use, a worker counts as loaded.
const LOADED_SHARE: f64 = 0.6;
/// Samples over which an estimate forgets.
const SAMPLE_WINDOW: f64 = 40.0;
/// Excess expected of a pair of which nothing is known.
const PRIOR_EXCESS: f64 = 0.08;
/// Spread of that expectation.
const PRIOR_SPREAD: f64 = 0.25;

/// Whether a worker is loaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LoadBand {
    /// Less than [`LOADED_SHARE`] in use.
    Light,
    /// At least that.
    Loaded,
}

impl LoadBand {
    /// The band of a share of processors in use.
    pub fn of(share: f64) -> Self {
        if share < LOADED_SHARE {
            Self::Light
        } else {
            Self::Loaded
        }
    }
}

/// What is known of one pair in one band.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PairEstimate {
    /// How much longer the victim takes beside one neighbour; 0.5 is half as long again.
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
    /// How far the true excess may be from the estimate.
    pub fn spread(&self) -> f64 {
        PRIOR_SPREAD / (1.0 + self.samples).sqrt()
    }

    fn learn(&mut self, error: f64) {
        self.samples = (self.samples + 1.0).min(SAMPLE_WINDOW);
        self.excess = (self.excess + error / self.samples.max(2.0)).max(0.0);
    }
}

/// The estimates of all pairs that were seen.
#[derive(Debug, Clone, Default)]
pub struct PairTable {
    pairs: HashMap<(KindKey, KindKey, LoadBand), PairEstimate>,
}

impl PairTable {
    /// What `neighbour` does to `victim`.
    pub fn estimate(&self, affected: KindKey, neighbour: KindKey, band: LoadBand) -> PairEstimate {
        let key = (affected, neighbour, band);
        self.pairs.get(&key).copied().unwrap_or_default()
    }

    /// Learns from one report: the victim took `1 + excess` times as long beside `neighbours`.
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

    /// How many pairs are known.
    pub fn len(&self) -> usize {
        self.pairs.len()
    }

    /// Whether nothing was learned yet.
    pub fn is_empty(&self) -> bool {
        self.pairs.is_empty()
    }
}
