//! How much tasks of one image press on tasks of another, learned from changes of their load.
//!
//! A serving task's load is its own load times one plus the press: for each filling image the cores
//! in use, times what a core of that image presses. The own load drifts slowly, while starts, ends
//! and changes of pace change the cores at once. So the ratio of two loads half a second apart tells
//! of the press alone, but for the drift, which is known in size. Each ratio is one step of a Kalman
//! filter that keeps a mean and a variance for each pair of images.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// What a core presses before anything is known: by the users' trace some four of nine images
/// press on none, the others by 0.05 to 0.2.
const PRIOR_PER_CORE: f64 = 0.08;
/// Certainty of that, as one over its variance: a spread of 0.12.
const PRIOR_PRECISION: f64 = 70.0;
/// Observations beyond this certainty (a spread of 0.02) count no more, so that what changes is
/// followed.
const MAX_PRECISION: f64 = 2_500.0;
/// The greatest press of a core that is believed.
const MAX_PER_CORE: f64 = 2.0;
/// By how much the logarithm of an own load drifts in half a second.
const LOAD_DRIFT: f64 = 0.10;
/// Spread of the logarithm of a load that is measured at [`MEASURED_LOAD`]; lower loads show worse.
const MEASUREMENT_SPREAD: f64 = 0.08;
/// See [`MEASURE`].
const REFERENCE_LOAD: f64 = 0.3;
/// The period of the drift, seconds.
const DRIFT_PERIOD_S: f64 = 0.5;
/// An observation that misses by more than this many spreads counts as missing by this many.
const MAX_DEVIATIONS: f64 = 2.5;
/// Less certainty than this is not worth noting.
const MIN_PRECISION: f64 = 1e-6;

/// What is known of a pair of images by observation.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct PairInterference {
    /// By what share the load of the serving image grows for each core that the filling one uses.
    pub per_core: f64,
    /// How certain that is: one over its variance; 0 without an observation.
    pub precision: f64,
}

impl PairInterference {
    /// The press of a core as far as it is known; never below 0.
    pub fn expected(self) -> f64 {
        let sum = PRIOR_PER_CORE * PRIOR_PRECISION + self.per_core * self.precision;
        (sum / (PRIOR_PRECISION + self.precision)).clamp(0.0, MAX_PER_CORE)
    }

    /// The spread of what is expected.
    pub fn spread(self) -> f64 {
        self.variance().sqrt()
    }

    /// Whether it is surely below `bound`.
    pub fn is_negligible(self, bound: f64) -> bool {
        self.expected() + self.spread() < bound
    }

    fn variance(self) -> f64 {
        1.0 / (PRIOR_PRECISION + self.precision)
    }

    /// Both pieces of knowledge together.
    fn combined_with(self, other: Self) -> Self {
        let precision = self.precision + other.precision;
        if precision <= 0.0 {
            return self;
        }
        let sum = self.per_core * self.precision + other.per_core * other.precision;
        Self {
            per_core: sum / precision,
            precision,
        }
    }

    fn capped(self) -> Self {
        Self {
            precision: self.precision.min(MAX_PRECISION),
            ..self
        }
    }
}

/// Cores in use by each filling image.
pub type CoresByImage = BTreeMap<Box<str>, f64>;

/// What one look shows of an image that serves on a worker.
#[derive(Debug, Clone, Copy)]
pub struct LoadSample<'a> {
    /// Cores in use beside it.
    pub cores: &'a CoresByImage,
    /// Whether the load is too high to be told: it is only known to be at least that.
    pub saturated: bool,
}

/// The change of a serving image's load between two looks at one worker.
#[derive(Debug, Clone, Copy)]
pub struct LoadChange<'a> {
    /// The image that serves.
    pub serving: &'a str,
    /// The look before.
    pub before: LoadSample<'a>,
    /// The look now.
    pub after: LoadSample<'a>,
    /// The logarithm of the load now over the load before.
    pub log_growth: f64,
    /// The load now, 0 to 1.
    pub load: f64,
    /// The time between the two looks.
    pub interval: Duration,
}

/// What is known of all pairs: the image that serves, then the one that fills.
#[derive(Debug, Clone, Default)]
pub struct InterferenceTable {
    /// A look-up, of which each placement makes some hundreds, copies no name.
    pairs: HashMap<Box<str>, HashMap<Box<str>, PairInterference>>,
}

impl InterferenceTable {
    /// What is known of a pair.
    pub fn get(&self, serving: &str, best_effort: &str) -> PairInterference {
        let of_serving = self.pairs.get(serving);
        let known = of_serving.and_then(|pairs| pairs.get(best_effort));
        known.copied().unwrap_or_default()
    }

    /// Adds observations of a pair; says what is known now.
    pub fn merge(
        &mut self,
        serving: &str,
        best_effort: &str,
        other: PairInterference,
    ) -> PairInterference {
        let known = self.entry(serving, best_effort);
        *known = known.combined_with(other).capped();
        *known
    }

    /// Sets what is known of a pair.
    pub fn set(&mut self, serving: &str, best_effort: &str, interference: PairInterference) {
        *self.entry(serving, best_effort) = interference;
    }

    fn entry(&mut self, serving: &str, best_effort: &str) -> &mut PairInterference {
        let of_serving = self.pairs.entry(serving.into()).or_default();
        of_serving.entry(best_effort.into()).or_default()
    }

    /// How many pairs are known.
    pub fn len(&self) -> usize {
        self.pairs.values().map(HashMap::len).sum()
    }

    /// Whether no pair is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// All pairs.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str, PairInterference)> {
        let images = self.pairs.iter();
        images.flat_map(|(serving, pairs)| {
            let pairs = pairs.iter();
            pairs.map(|(best_effort, interference)| (&**serving, &**best_effort, *interference))
        })
    }

    /// By what share all that fills beside an image raises its load.
    pub fn interference_on(&self, serving: &str, cores: &CoresByImage) -> f64 {
        let increases = cores
            .iter()
            .map(|(best_effort, used)| self.get(serving, best_effort).expected() * used);
        increases.sum()
    }

    /// Learns from a change of load; returns what was observed of each pair.
    pub fn learn(&mut self, change: &LoadChange<'_>) -> Vec<(Box<str>, PairInterference)> {
        let before = 1.0 + self.interference_on(change.serving, change.before.cores);
        let after = 1.0 + self.interference_on(change.serving, change.after.cores);
        let residual = change.log_growth - (after / before).ln();
        if change.is_uninformative(residual) {
            return Vec::new();
        }
        let sensitivities = change.sensitivities(before, after);
        let spread: f64 = sensitivities
            .iter()
            .map(|(best_effort, sensitivity)| {
                sensitivity * sensitivity * self.get(change.serving, best_effort).variance()
            })
            .sum();
        let variance = spread + change.noise();
        let max_residual = MAX_DEVIATIONS * variance.sqrt();
        let residual = residual.clamp(-max_residual, max_residual);
        let mut observed = Vec::new();
        for (best_effort, sensitivity) in sensitivities {
            let known = self.get(change.serving, &best_effort);
            let seen = known.observe(sensitivity, residual, variance);
            if seen.precision > MIN_PRECISION {
                self.merge(change.serving, &best_effort, seen);
                observed.push((best_effort, seen));
            }
        }
        observed
    }
}

impl PairInterference {
    /// What an observation that missed by `missed` adds to what is known, if it answers with
    /// `slope` to the press of this pair.
    fn observe(self, sensitivity: f64, residual: f64, variance: f64) -> Self {
        let gain = self.variance() * sensitivity / variance;
        let remaining = 1.0 - gain * sensitivity;
        let precision = (PRIOR_PRECISION + self.precision) * (1.0 / remaining - 1.0);
        if precision <= MIN_PRECISION {
            return Self::default();
        }
        let mean = self.expected();
        let updated = mean + gain * residual;
        let prior = PRIOR_PRECISION + self.precision;
        Self {
            per_core: (updated * (prior + precision) - mean * prior) / precision,
            precision,
        }
    }
}

impl LoadChange<'_> {
    /// Whether the miss is one that a load too high to be told explains.
    fn is_uninformative(&self, residual: f64) -> bool {
        match (self.before.saturated, self.after.saturated) {
            (true, true) => true,
            (false, true) => residual < 0.0,
            (true, false) => residual > 0.0,
            (false, false) => false,
        }
    }

    /// How the logarithm of the ratio answers to the press of each image.
    fn sensitivities(&self, before: f64, after: f64) -> BTreeMap<Box<str>, f64> {
        let mut sensitivities = BTreeMap::new();
        for (best_effort, used) in self.after.cores {
            *sensitivities.entry(best_effort.clone()).or_insert(0.0) += used / after;
        }
        for (best_effort, used) in self.before.cores {
            *sensitivities.entry(best_effort.clone()).or_insert(0.0) -= used / before;
        }
        sensitivities
    }

    /// The variance of what is not told by the presses: drift and the measure itself.
    fn noise(&self) -> f64 {
        let drift = LOAD_DRIFT * self.interval.as_secs_f64() / DRIFT_PERIOD_S;
        let measurement = MEASUREMENT_SPREAD * REFERENCE_LOAD / self.load;
        drift * drift + measurement * measurement
    }
}

/// Before an agent has told of it, an image that serves is taken to bear this much press.
const INITIAL_HEADROOM: f64 = 0.5;
/// A room below this is reckoned as this when shares of it are compared.
const MIN_HEADROOM: f64 = 0.05;

/// What serves and what fills on one worker, and how much press it bears.
///
/// The room of an image is told by the worker's agent without regard to what fills beside it; what
/// was placed is counted here. So a placement that the agent has yet to see is not forgotten.
#[derive(Debug, Clone, Default)]
pub struct WorkerInterference {
    serving: BTreeMap<Box<str>, u32>,
    best_effort_milli: BTreeMap<Box<str>, u32>,
    headroom: BTreeMap<Box<str>, f64>,
}

/// How one more filling task would fare on a worker, and at whose cost.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct InterferenceEstimate {
    /// The pace that is left to it, 0 to 1.
    pub pace: f64,
    /// The greatest share of a serving image's room that it would take at full pace.
    pub headroom_share: f64,
}

impl WorkerInterference {
    /// A run of an image that serves is placed here.
    pub fn add_serving(&mut self, image: &str) {
        *self.serving.entry(image.into()).or_default() += 1;
    }

    /// A run of an image that serves has ended.
    pub fn remove_serving(&mut self, image: &str) {
        subtract_from(&mut self.serving, image, 1);
    }

    /// A run of an image that fills is placed here, asking for thousandths of a core.
    pub fn add_best_effort(&mut self, image: &str, cpu_milli: u32) {
        *self.best_effort_milli.entry(image.into()).or_default() += cpu_milli;
    }

    /// A run of an image that fills has ended.
    pub fn remove_best_effort(&mut self, image: &str, cpu_milli: u32) {
        subtract_from(&mut self.best_effort_milli, image, cpu_milli);
    }

    /// The agent tells how much press an image that serves bears in all.
    pub fn set_headroom(&mut self, image: &str, image_headroom: f64) {
        self.headroom.insert(image.into(), image_headroom);
    }

    /// Runs that serve, by image.
    pub fn serving(&self) -> &BTreeMap<Box<str>, u32> {
        &self.serving
    }

    /// How one more filling task of `image` would fare; a press surely below `no_press` is none.
    pub fn estimate(
        &self,
        table: &InterferenceTable,
        image: &str,
        cpu_milli: u32,
        negligible: f64,
    ) -> InterferenceEstimate {
        let mut estimate = InterferenceEstimate {
            pace: 1.0,
            headroom_share: 0.0,
        };
        let cores = f64::from(cpu_milli) / 1_000.0;
        for serving in self.serving.keys() {
            let pair = table.get(serving, image);
            let interference = pair.expected() * cores;
            if pair.is_negligible(negligible) || interference <= 0.0 {
                continue;
            }
            let image_headroom = self
                .headroom
                .get(serving)
                .copied()
                .unwrap_or(INITIAL_HEADROOM);
            let left = image_headroom - self.reserved_interference(table, serving, negligible);
            estimate.pace = estimate.pace.min((left / interference).max(0.0));
            estimate.headroom_share = estimate
                .headroom_share
                .max(interference / image_headroom.max(MIN_HEADROOM));
        }
        estimate
    }

    /// The press on an image of all that is placed here, at full pace.
    fn reserved_interference(
        &self,
        table: &InterferenceTable,
        serving: &str,
        negligible: f64,
    ) -> f64 {
        let increases = self
            .best_effort_milli
            .iter()
            .map(|(best_effort, cpu_milli)| {
                let pair = table.get(serving, best_effort);
                match pair.is_negligible(negligible) {
                    true => 0.0,
                    false => pair.expected() * f64::from(*cpu_milli) / 1_000.0,
                }
            });
        increases.sum()
    }
}

/// Takes an amount from a count; a count of nothing is dropped.
fn subtract_from(counts: &mut BTreeMap<Box<str>, u32>, image: &str, amount: u32) {
    if let Some(count) = counts.get_mut(image) {
        *count = count.saturating_sub(amount);
        if *count == 0 {
            counts.remove(image);
        }
    }
}
