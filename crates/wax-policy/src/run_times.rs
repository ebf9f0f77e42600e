//! Reference run times of steps and images, and what a run time says of its worker.

use crate::average::DecayedMean;
use crate::performance::SpeedFinding;
use crate::performance_rules::PerformanceRules;
use hdrhistogram::Histogram;
use std::time::Duration;

/// A run that takes at most this multiple of its reference is evidence of normal speed. Tasks of one
/// step differ by 15 to 30%.
const NORMAL_FACTOR: f64 = 1.5;
/// Number of run times that the reference of an image stands for.
const IMAGE_WINDOW: f64 = 64.0;
/// Number of run times of an image before they serve as a reference.
const IMAGE_MIN_SAMPLES: f64 = 8.0;
/// Number of standard deviations by which the logarithm of a run time exceeds the mean of its image
/// if it counts as slow.
const IMAGE_DEVIATIONS: f64 = 2.5;
/// Smallest progress that an agent reports, percent. The progress of a run is less than this ahead of
/// its last report.
const PROGRESS_STEP_PERCENT: u32 = 10;
/// Time between two reports of a worker to its agent.
const REPORT_DELAY: Duration = Duration::from_millis(250);
/// Longest run time that a step's histogram distinguishes; longer ones count as this.
const MAX_RUN_TIME_MS: u64 = 3_600_000;

/// Run times of the ended runs of one step.
///
/// A histogram of one significant digit, so that the cost of a run does not grow with the step.
#[derive(Debug, Clone)]
pub struct StepRunTimes<K> {
    run_times: Histogram<u16>,
    first_worker: K,
    has_other_workers: bool,
}

impl<K: Copy + PartialEq> StepRunTimes<K> {
    /// Returns the run times of a step of which a first run has ended on `worker`; `None` if the
    /// histogram cannot be created.
    pub fn new(worker: K) -> Option<Self> {
        let run_times = Histogram::new_with_bounds(1, MAX_RUN_TIME_MS, 1).ok()?;
        Some(Self {
            run_times,
            first_worker: worker,
            has_other_workers: false,
        })
    }

    /// Adds the run time of a completed run.
    pub fn add(&mut self, worker: K, run_time: Duration) {
        let run_time_ms = run_time.as_millis() as u64;
        self.run_times.saturating_record(run_time_ms.max(1));
        self.has_other_workers |= worker != self.first_worker;
    }

    /// Returns the median; `None` before enough runs have ended, or if all ran on one worker.
    pub fn median(&self, rules: &PerformanceRules) -> Option<Duration> {
        let is_enough = self.run_times.len() >= u64::from(rules.min_siblings);
        (is_enough && self.has_other_workers)
            .then(|| Duration::from_millis(self.run_times.value_at_quantile(0.5)))
    }
}

/// Returns what the run time of a run says when it is compared with the median of its step; `None`
/// if it says nothing.
pub fn compare_with_step(
    run_time: Duration,
    median: Duration,
    rules: &PerformanceRules,
) -> Option<SpeedFinding> {
    if run_time >= slow_run_time(median, rules) {
        Some(SpeedFinding::Slow)
    } else {
        (run_time <= median.mul_f64(NORMAL_FACTOR)).then_some(SpeedFinding::Normal)
    }
}

/// Returns the run time from which a run counts as slow.
fn slow_run_time(median: Duration, rules: &PerformanceRules) -> Duration {
    let by_factor = median.mul_f64(rules.slow_factor);
    by_factor.max(overdue_after(median, rules))
}

/// Returns the time after the start order from which a run that has not ended is compared with its
/// reference.
pub fn overdue_after(reference: Duration, rules: &PerformanceRules) -> Duration {
    reference + rules.min_excess
}

/// Returns a lower bound of the run time of a run that has not ended `elapsed` after its start
/// order, by its reported progress.
pub fn projected_run_time(elapsed: Duration, percent: u32) -> Duration {
    let share = f64::from((percent + PROGRESS_STEP_PERCENT).min(100)) / 100.0;
    let reported_for = elapsed.saturating_sub(REPORT_DELAY);
    elapsed.max(reported_for.div_f64(share))
}

/// Run times of an image in all jobs, as mean and variance of their logarithms.
#[derive(Debug, Clone, Copy)]
pub struct ImageRunTimes {
    mean: DecayedMean,
    variance: DecayedMean,
}

impl Default for ImageRunTimes {
    fn default() -> Self {
        Self {
            mean: DecayedMean::new(IMAGE_WINDOW),
            variance: DecayedMean::new(IMAGE_WINDOW),
        }
    }
}

impl ImageRunTimes {
    /// Adds a run time.
    pub fn add(&mut self, run_time: Duration) {
        let sample = run_time.as_secs_f64().max(0.001).ln();
        self.mean.add(sample);
        self.variance.add((sample - self.mean.value()).powi(2));
    }

    /// Returns the typical run time; `None` with too few run times.
    pub fn typical(&self) -> Option<Duration> {
        (self.mean.samples() >= IMAGE_MIN_SAMPLES)
            .then(|| Duration::from_secs_f64(self.mean.value().exp()))
    }

    /// Returns what a run time says when it is compared with those of the image. Images whose run
    /// times differ widely give less evidence.
    pub fn compare(&self, run_time: Duration, rules: &PerformanceRules) -> Option<SpeedFinding> {
        let typical = self.typical()?;
        let finding = compare_with_step(run_time, typical, rules)?;
        let deviation = self.variance.value().sqrt() * IMAGE_DEVIATIONS;
        let is_usual = run_time.as_secs_f64() < typical.as_secs_f64() * deviation.exp();
        (finding == SpeedFinding::Normal || !is_usual).then_some(finding)
    }
}
