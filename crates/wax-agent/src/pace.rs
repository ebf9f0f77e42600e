//! Plans the paces of best-effort tasks: how fast they may run on the same worker as serving tasks.
//!
//! A serving task is modelled as a queue: at the load `u`, its tail latency is its tail latency
//! without load, divided by `1 - u`. Best-effort tasks slow the serving task down, so `u` is its
//! baseline load times one plus the total interference. Each best-effort image contributes to the
//! total the number of cores that it uses, times the interference of one core of the image
//! ([`wax_policy::InterferenceTable`]). The baseline load is estimated from the last samples by
//! removing the interference from the measured load. Paces are chosen so that the predicted load of
//! each serving task stays at or below the load at which its tail latency reaches the allowed share
//! of its target.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use wax_batch::RunId;
use wax_policy::{
    CoresByImage, InterferenceTable, LoadChange, LoadSample, PaceRules, PairInterference,
};
use wax_types::TimePoint;

/// One serving run, as the worker reports it.
#[derive(Debug, Clone, PartialEq)]
pub struct ServingSample {
    /// Id of the run.
    pub run_id: RunId,
    /// Image of the run.
    pub image: Box<str>,
    /// Tail latency divided by its target.
    pub tail_ratio: f64,
}

/// Processor use of all best-effort runs of one image on the worker.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct BestEffortSample {
    /// Cores in use over the last half second.
    pub used_cores: f64,
    /// Cores that the runs would use without throttling.
    pub requested_cores: f64,
}

/// Sample of the worker's runs by which paces are planned.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct PaceSample {
    /// Serving runs that the worker reports as working ([`wax_batch::RunReport::percent`] is 100).
    pub serving: Vec<ServingSample>,
    /// Best-effort runs by image.
    pub best_effort: BTreeMap<Box<str>, BestEffortSample>,
}

impl PaceSample {
    fn cores_used(&self) -> CoresByImage {
        let samples = self.best_effort.iter();
        samples
            .map(|(image, usage)| (image.clone(), usage.used_cores))
            .collect()
    }
}

/// Load of one serving run in one sample.
struct RunLoad<'a> {
    run: &'a ServingSample,
    load: f64,
}

/// State that is kept for one serving run.
#[derive(Debug, Clone, Copy, PartialEq)]
struct ServingLoad {
    /// Load without interference.
    baseline_load: f64,
    /// Load with interference in the last sample.
    last_load: f64,
    /// Tail latency divided by its target, in the last sample.
    tail_ratio: f64,
    /// When the load was last too high to be measured.
    saturated_at: TimePoint,
    /// Since when the tail latency has been near or above its target.
    over_target_since: Option<TimePoint>,
    /// Since when all best-effort runs are stopped on behalf of this run.
    mitigation_since: Option<TimePoint>,
    /// Until when best-effort runs are not stopped for this run, since stopping them did not help.
    mitigation_off_until: TimePoint,
}

impl ServingLoad {
    fn new(baseline_load: f64, tail_ratio: f64) -> Self {
        Self {
            baseline_load,
            last_load: baseline_load,
            tail_ratio,
            saturated_at: TimePoint::default(),
            over_target_since: None,
            mitigation_since: None,
            mitigation_off_until: TimePoint::default(),
        }
    }

    /// Tracks how long the tail latency has been too high, and whether stopping best-effort runs
    /// helps.
    fn track_tail(&mut self, tail_ratio: f64, now: TimePoint, rules: &PaceRules) {
        if tail_ratio < rules.overrun_ratio {
            self.over_target_since = None;
            self.mitigation_since = None;
            return;
        }
        let over_since = *self.over_target_since.get_or_insert(now);
        if now < self.mitigation_off_until {
            return;
        }
        match self.mitigation_since {
            None if now.since(over_since) >= rules.stop_after => self.mitigation_since = Some(now),
            Some(since) if now.since(since) >= rules.stop_timeout => {
                self.mitigation_since = None;
                self.over_target_since = Some(now);
                self.mitigation_off_until = now + rules.stop_exemption;
            }
            _ => {}
        }
    }
}

/// A large change of a pace and the serving run that caused it, for the log.
#[derive(Debug, Clone, PartialEq)]
pub struct PaceChange {
    /// Best-effort image.
    pub image: Box<str>,
    /// New pace in percent.
    pub percent: u32,
    /// Serving run that limits the pace most; `None` if no serving run limits it.
    pub cause: Option<PaceCause>,
}

/// Serving run that limits a pace, with the figures of this decision.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PaceCause {
    /// Id of the serving run.
    pub run_id: RunId,
    /// Tail latency divided by its target, in the last sample.
    pub tail_ratio: f64,
    /// Load without interference.
    pub baseline_load: f64,
    /// Total interference that the serving run tolerates.
    pub headroom: f64,
    /// Interference of the image at full pace.
    pub interference: f64,
}

/// Plans the paces of all best-effort images on one worker.
#[derive(Debug, Clone, Default)]
pub struct PaceControl {
    pairs: InterferenceTable,
    loads: HashMap<RunId, ServingLoad>,
    /// Lowest tail latency of each serving image, divided by its target.
    idle_tail_ratios: HashMap<Box<str>, f64>,
    paces: BTreeMap<Box<str>, u32>,
    /// Paces that were logged last, and changes that are to be logged.
    logged_paces: BTreeMap<Box<str>, u32>,
    changes: Vec<PaceChange>,
    updated_at: TimePoint,
    /// Cores in use by best-effort images in the last sample.
    last_cores: CoresByImage,
    /// Observations of pairs that were not yet sent to the owner.
    unsent_pairs: InterferenceTable,
    /// Total interference that each serving image tolerates, by the last plan and as last sent to
    /// the owner.
    headrooms: BTreeMap<Box<str>, f64>,
    reported_headrooms: BTreeMap<Box<str>, f64>,
}

/// Smallest change of a pace that is logged.
const LOG_STEP_PERCENT: u32 = 20;
/// Smallest change of a headroom that is sent to the owner.
const MIN_HEADROOM_CHANGE: f64 = 0.05;
/// Smallest change of a headroom that is sent to the owner, as a share of the headroom.
const MIN_HEADROOM_CHANGE_SHARE: f64 = 0.15;
/// Upper bound for loads: higher ones cannot be told apart by the tail latency.
const MAX_LOAD: f64 = 0.95;
/// From this load on, the tail latency gives only a lower bound for the load.
const SATURATED_LOAD: f64 = 0.9;
/// Lower bound for baseline loads: interference with a lower load cannot be observed.
const MIN_LOAD: f64 = 0.05;
/// Period over which the worker measures a reported tail latency, in seconds.
const TAIL_WINDOW_S: f64 = 0.5;
/// Maximum time between two samples from whose difference interference is learned.
const MAX_SAMPLE_GAP: Duration = Duration::from_millis(1_200);
/// Tail latencies beyond this multiple of the target come from a suspended worker. Interference
/// was seen to cause up to 30 times the target, a suspension over 400 times.
const STALL_TAIL_RATIO: f64 = 150.0;
/// Precision from which on observations of a pair are sent to the owner.
const MIN_REPORT_PRECISION: f64 = 12.0;
/// Upper bound for headrooms.
const MAX_HEADROOM: f64 = 10.0;

impl PaceControl {
    /// Returns the pace of an image in percent; 100 if it is not throttled.
    pub fn pace_percent(&self, image: &str) -> u32 {
        self.paces.get(image).copied().unwrap_or(100)
    }

    /// Returns the expected interference of one core of a best-effort image with a serving image.
    pub fn interference(&self, serving: &str, best_effort: &str) -> f64 {
        self.pairs.get(serving, best_effort).expected()
    }

    /// Returns the total interference that each serving image tolerates, by the last plan.
    pub fn headrooms(&self) -> &BTreeMap<Box<str>, f64> {
        &self.headrooms
    }

    /// Returns the number of known pairs of images.
    pub fn known_pairs(&self) -> usize {
        self.pairs.len()
    }

    /// Sets what the owner knows about a pair of images.
    pub fn set_pair(&mut self, serving: &str, best_effort: &str, interference: PairInterference) {
        if !self.pairs.set(serving, best_effort, interference) {
            tracing::warn!(
                serving,
                best_effort,
                "left out an interference estimate that is out of range"
            );
        }
    }

    /// Returns whether there are changes since the last report that may alter the owner's placement
    /// decisions.
    pub fn has_unsent_updates(&self) -> bool {
        let has_pairs = self
            .unsent_pairs
            .iter()
            .any(|(.., interference)| interference.precision >= MIN_REPORT_PRECISION);
        has_pairs || self.has_headroom_change()
    }

    fn has_headroom_change(&self) -> bool {
        self.headrooms.iter().any(|(image, headroom)| {
            let reported = self
                .reported_headrooms
                .get(image)
                .copied()
                .unwrap_or(f64::INFINITY);
            (headroom - reported).abs()
                > MIN_HEADROOM_CHANGE.max(MIN_HEADROOM_CHANGE_SHARE * headroom)
        })
    }

    /// Takes the large changes of paces since the last call.
    pub fn take_changes(&mut self) -> Vec<PaceChange> {
        std::mem::take(&mut self.changes)
    }

    /// Takes the observations of pairs since the last call.
    pub fn take_unsent_pairs(&mut self) -> Vec<(Box<str>, Box<str>, PairInterference)> {
        self.reported_headrooms.clone_from(&self.headrooms);
        let unsent = std::mem::take(&mut self.unsent_pairs);
        let pairs = unsent.iter().map(|(serving, best_effort, interference)| {
            (serving.into(), best_effort.into(), interference)
        });
        pairs.collect()
    }

    /// Learns from a sample and plans the paces. Returns whether it did: samples that follow within
    /// `rules.period` are ignored.
    pub fn update(&mut self, sample: &PaceSample, now: TimePoint, rules: &PaceRules) -> bool {
        if now.since(self.updated_at) < rules.period {
            return false;
        }
        let span = now.since(self.updated_at);
        self.updated_at = now;
        self.loads
            .retain(|run_id, _| sample.serving.iter().any(|run| run.run_id == *run_id));
        let run_loads = self.run_loads(sample, span, rules);
        let cores = sample.cores_used();
        if span <= MAX_SAMPLE_GAP {
            self.learn_interference(&run_loads, &cores, span);
        }
        for run_load in &run_loads {
            self.update_load(run_load, &cores, now, rules);
        }
        self.last_cores = cores;
        self.plan_paces(sample, now, rules);
        true
    }

    /// Returns the loads that the tail latencies of a sample imply.
    fn run_loads<'a>(
        &mut self,
        sample: &'a PaceSample,
        span: Duration,
        rules: &PaceRules,
    ) -> Vec<RunLoad<'a>> {
        let carry_over = rules
            .tail_retention
            .powf(span.as_secs_f64() / TAIL_WINDOW_S);
        let mut run_loads = Vec::with_capacity(sample.serving.len());
        for run in sample.serving.iter().filter(|run| run.tail_ratio > 0.0) {
            let first = rules.initial_idle_tail_ratio;
            let idle_ratio = self
                .idle_tail_ratios
                .entry(run.image.clone())
                .or_insert(first);
            *idle_ratio = idle_ratio.min(run.tail_ratio);
            let last_ratio = self
                .loads
                .get(&run.run_id)
                .map_or(run.tail_ratio, |load| load.tail_ratio);
            let tail_ratio =
                ((run.tail_ratio - carry_over * last_ratio) / (1.0 - carry_over)).max(*idle_ratio);
            let load = (1.0 - *idle_ratio / tail_ratio).clamp(MIN_LOAD, MAX_LOAD);
            run_loads.push(RunLoad { run, load });
        }
        run_loads
    }

    /// Learns interference from the changes since the last sample. All runs of an image on the
    /// worker suffer the same interference, so the median change is used: a single run that is slow
    /// for another reason does not count as interference.
    fn learn_interference(
        &mut self,
        run_loads: &[RunLoad<'_>],
        cores: &CoresByImage,
        span: Duration,
    ) {
        let mut changes: BTreeMap<&str, Vec<(f64, f64, f64)>> = BTreeMap::new();
        for run_load in run_loads {
            let serving_load = self.loads.get(&run_load.run.run_id);
            if let Some(serving_load) = serving_load.filter(|serving_load| {
                run_load.run.tail_ratio.max(serving_load.tail_ratio) < STALL_TAIL_RATIO
            }) {
                let growth = (run_load.load / serving_load.last_load).ln();
                let change = (growth, serving_load.last_load, run_load.load);
                changes.entry(&run_load.run.image).or_default().push(change);
            }
        }
        for (serving, mut runs) in changes {
            runs.sort_by(|one, other| one.0.total_cmp(&other.0));
            let (growth, before, after) = runs[runs.len() / 2];
            let change = LoadChange {
                serving,
                before: LoadSample {
                    cores: &self.last_cores,
                    saturated: before >= SATURATED_LOAD,
                },
                after: LoadSample {
                    cores,
                    saturated: after >= SATURATED_LOAD,
                },
                log_growth: growth,
                load: after,
                interval: span,
            };
            for (best_effort, observed) in self.pairs.learn(&change) {
                self.unsent_pairs.merge(serving, &best_effort, observed);
            }
        }
    }

    /// Updates the state of one serving run.
    fn update_load(
        &mut self,
        run_load: &RunLoad<'_>,
        cores: &CoresByImage,
        now: TimePoint,
        rules: &PaceRules,
    ) {
        let baseline_load =
            run_load.load / (1.0 + self.pairs.interference_on(&run_load.run.image, cores));
        let serving_load = self
            .loads
            .entry(run_load.run.run_id)
            .or_insert_with(|| ServingLoad::new(baseline_load, run_load.run.tail_ratio));
        serving_load.track_tail(run_load.run.tail_ratio, now, rules);
        serving_load.last_load = run_load.load;
        serving_load.tail_ratio = run_load.run.tail_ratio;
        if run_load.load >= SATURATED_LOAD {
            serving_load.saturated_at = now;
            // At a saturated load the tail latency only bounds the load from below.
            serving_load.baseline_load =
                serving_load.baseline_load.max(baseline_load).min(MAX_LOAD);
        } else {
            let rate = if baseline_load > serving_load.baseline_load {
                1.0
            } else {
                rules.baseline_fall_rate
            };
            serving_load.baseline_load = (serving_load.baseline_load
                + rate * (baseline_load - serving_load.baseline_load))
                .max(MIN_LOAD);
        }
    }

    /// Plans the paces by the current knowledge. Also called when runs have started that are not in
    /// the worker's figures yet.
    pub fn plan_paces(&mut self, sample: &PaceSample, now: TimePoint, rules: &PaceRules) {
        let mut shares: BTreeMap<Box<str>, (f64, Option<PaceCause>)> = sample
            .best_effort
            .keys()
            .map(|image| (image.clone(), (1.0, None)))
            .collect();
        self.headrooms.clear();
        for run in &sample.serving {
            let Some(load) = self.loads.get(&run.run_id).copied() else {
                continue;
            };
            let idle_ratio = self
                .idle_tail_ratios
                .get(&run.image)
                .copied()
                .unwrap_or(rules.initial_idle_tail_ratio);
            let target_load = (1.0 - idle_ratio / rules.max_tail_ratio).max(MIN_LOAD);
            let is_saturated = now.since(load.saturated_at) <= rules.settle_time;
            let headroom = if is_saturated {
                0.0
            } else {
                (target_load / load.baseline_load - 1.0).max(0.0)
            };
            let mut contributions: Vec<(&Box<str>, f64, f64)> = sample
                .best_effort
                .iter()
                .map(|(image, usage)| (image, self.pairs.get(&run.image, image), usage))
                .filter(|(_, pair, _)| !pair.is_negligible(rules.negligible_interference))
                .map(|(image, pair, usage)| (image, pair.expected(), usage.requested_cores))
                .map(|(image, interference, requested_cores)| {
                    (image, interference, interference * requested_cores)
                })
                .collect();
            let lowest = self
                .headrooms
                .entry(run.image.clone())
                .or_insert(MAX_HEADROOM);
            *lowest = lowest.min(headroom);
            // Images with the least interference per core are served first; the others share the
            // remaining headroom.
            contributions.sort_by(|one, other| one.1.total_cmp(&other.1));
            let mut left = headroom;
            for (image, _, interference) in contributions {
                let share = if interference > left {
                    left / interference
                } else {
                    1.0
                };
                left = (left - interference).max(0.0);
                if let Some(lowest) = shares.get_mut(image).filter(|(lowest, _)| share < *lowest) {
                    let cause = PaceCause {
                        run_id: run.run_id,
                        tail_ratio: load.tail_ratio,
                        baseline_load: load.baseline_load,
                        headroom,
                        interference,
                    };
                    *lowest = (share, Some(cause));
                }
            }
        }
        // Bounds how long a tail latency can stay too high because of best-effort runs, even if the
        // learned interference is wrong.
        let mitigates = self
            .loads
            .values()
            .any(|load| load.mitigation_since.is_some());
        let percent = |share: f64| match mitigates {
            true => 0,
            false => ((share * 100.0) as u32).clamp(rules.min_pace_percent, 100),
        };
        self.paces = shares
            .iter()
            .map(|(image, (share, _))| (image.clone(), percent(*share)))
            .collect();
        self.record_changes(&shares);
    }

    fn record_changes(&mut self, shares: &BTreeMap<Box<str>, (f64, Option<PaceCause>)>) {
        self.logged_paces
            .retain(|image, _| shares.contains_key(image));
        for (image, (_, cause)) in shares {
            let percent = self.pace_percent(image);
            let logged = self.logged_paces.entry(image.clone()).or_insert(100);
            if logged.abs_diff(percent) >= LOG_STEP_PERCENT {
                *logged = percent;
                self.changes.push(PaceChange {
                    image: image.clone(),
                    percent,
                    cause: *cause,
                });
            }
        }
    }
}
