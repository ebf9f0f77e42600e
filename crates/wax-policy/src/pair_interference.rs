//! Learns how much best-effort tasks of one image slow down serving tasks of another image, from
//! changes of the serving tasks' load.
//!
//! The load of a serving task is modelled as its baseline load times one plus the interference. The
//! interference is the sum over all best-effort images of the cores in use times the interference
//! per core of that image. The baseline load drifts slowly, while starts, ends and changes of pace
//! change the cores in use at once. The ratio of two loads half a second apart therefore depends on
//! the interference alone, except for a drift of known size. Each ratio is one step of a Kalman
//! filter that keeps a mean and a variance for each pair of images.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Interference per core assumed for a pair without observations. In the users' trace about four of
/// nine images cause none and the others 0.05 to 0.2.
const PRIOR_PER_CORE: f64 = 0.08;
/// Precision (one over the variance) of [`PRIOR_PER_CORE`]; the standard deviation is 0.12.
const PRIOR_PRECISION: f64 = 70.0;
/// Upper bound on the precision of the observations (a standard deviation of 0.02), so that the
/// estimate follows later changes.
const MAX_PRECISION: f64 = 2_500.0;
/// Upper bound on the estimated interference per core.
const MAX_PER_CORE: f64 = 2.0;
/// Standard deviation of the change of the logarithm of a baseline load within [`DRIFT_PERIOD_S`].
const LOAD_DRIFT: f64 = 0.10;
/// Standard deviation of the logarithm of a measured load at [`REFERENCE_LOAD`]; it grows as the
/// load falls.
const MEASUREMENT_STD_DEV: f64 = 0.08;
/// Load to which [`MEASUREMENT_STD_DEV`] refers.
const REFERENCE_LOAD: f64 = 0.3;
/// Period to which [`LOAD_DRIFT`] refers, in seconds.
const DRIFT_PERIOD_S: f64 = 0.5;
/// Residuals of more standard deviations than this are clamped.
const MAX_DEVIATIONS: f64 = 2.5;
/// Observations of a lower precision than this are ignored.
const MIN_PRECISION: f64 = 1e-6;

/// Observed interference of one best-effort image with one serving image.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct PairInterference {
    /// Share by which the load of the serving image grows per core that the best-effort image uses.
    pub per_core: f64,
    /// Precision of `per_core`, as one over its variance; 0 without observations.
    pub precision: f64,
}

impl PairInterference {
    /// Returns the estimated interference per core: the observations combined with the prior, 0 or
    /// more.
    pub fn expected(self) -> f64 {
        let sum = PRIOR_PER_CORE * PRIOR_PRECISION + self.per_core * self.precision;
        (sum / (PRIOR_PRECISION + self.precision)).clamp(0.0, MAX_PER_CORE)
    }

    /// Returns the standard deviation of the estimate.
    pub fn std_dev(self) -> f64 {
        self.variance().sqrt()
    }

    /// Returns whether the estimate plus one standard deviation is below `bound`.
    pub fn is_negligible(self, bound: f64) -> bool {
        self.expected() + self.std_dev() < bound
    }

    /// Returns whether an observation can have this mean and precision. Otherwise the variance may be
    /// negative or no number.
    fn is_in_range(self) -> bool {
        self.per_core.is_finite() && (0.0..=MAX_PRECISION).contains(&self.precision)
    }

    fn variance(self) -> f64 {
        1.0 / (PRIOR_PRECISION + self.precision)
    }

    /// Combines two sets of observations, weighted by their precision.
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

/// Cores in use by each best-effort image on a worker.
pub type CoresByImage = BTreeMap<Box<str>, f64>;

/// Circumstances of one sample of a serving image's load on a worker. [`LoadChange`] has the load
/// itself.
#[derive(Debug, Clone, Copy)]
pub struct LoadSample<'a> {
    /// Cores in use by best-effort images on the worker.
    pub cores: &'a CoresByImage,
    /// Whether the load is too high to be determined: the measured value is only a lower bound.
    pub saturated: bool,
}

/// Change of a serving image's load between two samples of one worker.
#[derive(Debug, Clone, Copy)]
pub struct LoadChange<'a> {
    /// Serving image.
    pub serving: &'a str,
    /// Earlier sample.
    pub before: LoadSample<'a>,
    /// Later sample.
    pub after: LoadSample<'a>,
    /// Logarithm of the ratio of the later load to the earlier one.
    pub log_growth: f64,
    /// Load at the later sample, 0 to 1.
    pub load: f64,
    /// Time between the two samples.
    pub interval: Duration,
}

/// Observed interference of all pairs, by serving image and then best-effort image.
#[derive(Debug, Clone, Default)]
pub struct InterferenceTable {
    /// The maps are nested so that lookups copy no names; each placement makes some hundreds of
    /// them.
    pairs: HashMap<Box<str>, HashMap<Box<str>, PairInterference>>,
}

impl InterferenceTable {
    /// Returns the observed interference of a pair; without observations a precision of 0.
    pub fn get(&self, serving: &str, best_effort: &str) -> PairInterference {
        let of_serving = self.pairs.get(serving);
        let known = of_serving.and_then(|pairs| pairs.get(best_effort));
        known.copied().unwrap_or_default()
    }

    /// Adds observations of a pair and returns all that is known of it.
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

    /// Replaces the observations of a pair. Returns whether they are in range; otherwise nothing
    /// changes.
    pub fn set(
        &mut self,
        serving: &str,
        best_effort: &str,
        interference: PairInterference,
    ) -> bool {
        let is_in_range = interference.is_in_range();
        if is_in_range {
            *self.entry(serving, best_effort) = interference;
        }
        is_in_range
    }

    fn entry(&mut self, serving: &str, best_effort: &str) -> &mut PairInterference {
        let of_serving = self.pairs.entry(serving.into()).or_default();
        of_serving.entry(best_effort.into()).or_default()
    }

    /// Returns the number of pairs in the table.
    pub fn len(&self) -> usize {
        self.pairs.values().map(HashMap::len).sum()
    }

    /// Returns whether the table has no pairs.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns all pairs as serving image, best-effort image and interference.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str, PairInterference)> {
        let images = self.pairs.iter();
        images.flat_map(|(serving, pairs)| {
            let pairs = pairs.iter();
            pairs.map(|(best_effort, interference)| (&**serving, &**best_effort, *interference))
        })
    }

    /// Returns the share by which best-effort tasks with these cores in use raise the load of a
    /// serving image.
    pub fn interference_on(&self, serving: &str, cores: &CoresByImage) -> f64 {
        let increases = cores
            .iter()
            .map(|(best_effort, used)| self.get(serving, best_effort).expected() * used);
        increases.sum()
    }

    /// Learns from a change of load; returns the new observation of each pair.
    pub fn learn(&mut self, change: &LoadChange<'_>) -> Vec<(Box<str>, PairInterference)> {
        let before = 1.0 + self.interference_on(change.serving, change.before.cores);
        let after = 1.0 + self.interference_on(change.serving, change.after.cores);
        let residual = change.log_growth - (after / before).ln();
        if change.is_uninformative(residual) {
            return Vec::new();
        }
        let sensitivities = change.sensitivities(before, after);
        let pair_variance: f64 = sensitivities
            .iter()
            .map(|(best_effort, sensitivity)| {
                sensitivity * sensitivity * self.get(change.serving, best_effort).variance()
            })
            .sum();
        let variance = pair_variance + change.noise();
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
    /// Returns the observation that a residual adds to this pair, where `sensitivity` is the
    /// derivative of the logarithm of the load ratio with respect to the pair's interference per
    /// core, and `variance` the total variance of the residual.
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
    /// Returns whether the residual may come only from a saturated load, whose value is a lower
    /// bound.
    fn is_uninformative(&self, residual: f64) -> bool {
        match (self.before.saturated, self.after.saturated) {
            (true, true) => true,
            (false, true) => residual < 0.0,
            (true, false) => residual > 0.0,
            (false, false) => false,
        }
    }

    /// Returns the derivative of the logarithm of the load ratio with respect to the interference
    /// per core of each image.
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

    /// Returns the variance that interference does not explain: the drift of the baseline load and
    /// the measurement error.
    fn noise(&self) -> f64 {
        let drift = LOAD_DRIFT * self.interval.as_secs_f64() / DRIFT_PERIOD_S;
        let measurement = MEASUREMENT_STD_DEV * REFERENCE_LOAD / self.load;
        drift * drift + measurement * measurement
    }
}

/// Headroom assumed for a serving image until the agent has reported one.
const INITIAL_HEADROOM: f64 = 0.5;
/// Lower bound on a headroom when shares of it are computed.
const MIN_HEADROOM: f64 = 0.05;

/// Serving and best-effort runs on one worker, and the headroom of its serving images.
///
/// The agent reports the headroom of an image without regard to the best-effort tasks on the
/// worker. The owner subtracts those that it has placed, so that placements which the agent has not
/// yet observed count as well.
#[derive(Debug, Clone, Default)]
pub struct WorkerInterference {
    serving: BTreeMap<Box<str>, u32>,
    best_effort_milli: BTreeMap<Box<str>, u32>,
    headroom: BTreeMap<Box<str>, f64>,
}

/// Predicted effect of placing one more best-effort task on a worker.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct InterferenceEstimate {
    /// Pace that the task could run at, 0 to 1.
    pub pace: f64,
    /// Largest share of a serving image's headroom that the task would take at full pace.
    pub headroom_share: f64,
}

impl WorkerInterference {
    /// Counts a run of a serving image that is placed on the worker.
    pub fn add_serving(&mut self, image: &str) {
        *self.serving.entry(image.into()).or_default() += 1;
    }

    /// Removes a run of a serving image that has ended.
    pub fn remove_serving(&mut self, image: &str) {
        subtract_from(&mut self.serving, image, 1);
    }

    /// Counts a run of a best-effort image that is placed on the worker and requests `cpu_milli`
    /// thousandths of a core.
    pub fn add_best_effort(&mut self, image: &str, cpu_milli: u32) {
        *self.best_effort_milli.entry(image.into()).or_default() += cpu_milli;
    }

    /// Removes a run of a best-effort image that has ended.
    pub fn remove_best_effort(&mut self, image: &str, cpu_milli: u32) {
        subtract_from(&mut self.best_effort_milli, image, cpu_milli);
    }

    /// Sets the total interference that a serving image tolerates, as the agent reports it.
    pub fn set_headroom(&mut self, image: &str, image_headroom: f64) {
        self.headroom.insert(image.into(), image_headroom);
    }

    /// Returns the number of runs of each serving image.
    pub fn serving(&self) -> &BTreeMap<Box<str>, u32> {
        &self.serving
    }

    /// Predicts the effect of one more best-effort task of `image`. A pair whose
    /// interference is negligible, with `negligible` as the bound, counts as 0.
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

    /// Returns the interference with a serving image by all best-effort runs placed on the worker,
    /// at full pace.
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

/// Subtracts an amount from the count of an image, and removes the image if the count becomes 0.
fn subtract_from(counts: &mut BTreeMap<Box<str>, u32>, image: &str, amount: u32) {
    if let Some(count) = counts.get_mut(image) {
        *count = count.saturating_sub(amount);
        if *count == 0 {
            counts.remove(image);
        }
    }
}
