//! How fast the tasks that fill may work beside tasks that serve.
//!
//! A serving task is taken as a queue: with the load `u` its tail is its tail without load divided
//! by `1 - u`. Tasks that fill slow its work, so that `u` is its own load times one plus the
//! press: for each filling image the cores in use, times what a core of that image presses
//! (`wax_policy::PressTable`). The own load is what the last looks leave after the press. The pace
//! of an image is what keeps every predicted load below the aim.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use wax_batch::RunMark;
use wax_policy::{CoreUse, LoadChange, LoadLook, PaceRules, PairPress, PressTable};
use wax_types::TimePoint;

/// One serving run as the worker shows it.
#[derive(Debug, Clone, PartialEq)]
pub struct ServingSample {
    /// The run.
    pub run_id: RunMark,
    /// Its image.
    pub image: Box<str>,
    /// Its tail as a share of its target.
    pub tail_ratio: f64,
}

/// All runs of one filling image on the worker.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct BestEffortSample {
    /// Cores in use over the last half second.
    pub used_cores: f64,
    /// Cores that they would use at full pace.
    pub requested_cores: f64,
}

/// What one look at the worker shows.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct PaceSample {
    /// Runs that serve and are at work.
    pub serving: Vec<ServingSample>,
    /// Images that fill.
    pub best_effort: BTreeMap<Box<str>, BestEffortSample>,
}

impl PaceSample {
    fn cores_used(&self) -> CoreUse {
        let samples = self.best_effort.iter();
        samples
            .map(|(image, usage)| (image.clone(), usage.used_cores))
            .collect()
    }
}

/// The load of one serving run, by one look.
struct RunLoad<'a> {
    run: &'a ServingSample,
    load: f64,
}

/// What is known of one serving run.
#[derive(Debug, Clone, Copy, PartialEq)]
struct ServingLoad {
    /// Its load without what fills beside it.
    baseline_load: f64,
    /// Its load with what fills, by the last look.
    last_load: f64,
    /// The figure of the last look.
    tail_ratio: f64,
    /// When its load was last too high to be told.
    saturated_at: TimePoint,
    /// Since when its tail has been near its target or over it.
    over_target_since: Option<TimePoint>,
    /// Since when all that fills stands still for it.
    mitigation_since: Option<TimePoint>,
    /// Until when what fills is taken as not the cause: relief has not helped.
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

    /// Follows how long the tail has been too long, and whether relief helps.
    fn track_tail(&mut self, tail_ratio: f64, now: TimePoint, rules: &PaceRules) {
        if tail_ratio < rules.near {
            self.over_target_since = None;
            self.mitigation_since = None;
            return;
        }
        let over_since = *self.over_target_since.get_or_insert(now);
        if now < self.mitigation_off_until {
            return;
        }
        match self.mitigation_since {
            None if now.since(over_since) >= rules.bear => self.mitigation_since = Some(now),
            Some(mitigation) if now.since(mitigation) >= rules.relief => {
                self.mitigation_since = None;
                self.over_target_since = Some(now);
                self.mitigation_off_until = now + rules.cleared;
            }
            _ => {}
        }
    }
}

/// A pace that has changed by much, and the serving run that decided it; for the log.
#[derive(Debug, Clone, PartialEq)]
pub struct PaceChange {
    /// The image that fills.
    pub image: Box<str>,
    /// Its pace from now on, percent.
    pub percent: u32,
    /// The run that bears least of it; `None` if nothing bounds it.
    pub cause: Option<PaceCause>,
}

/// The serving run that bounds a pace, and by which figures.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PaceCause {
    /// The run.
    pub run: RunMark,
    /// Its tail as a share of its target, by the last look.
    pub tail_ratio: f64,
    /// Its load without what fills.
    pub baseline_load: f64,
    /// How much press it bears in all.
    pub headroom: f64,
    /// What the image would press at full pace.
    pub interference: f64,
}

/// The paces of all images that fill on one worker.
#[derive(Debug, Clone, Default)]
pub struct PaceControl {
    pairs: PressTable,
    loads: HashMap<RunMark, ServingLoad>,
    /// The least tail of each serving image, as a share of its target.
    idle_tail_ratios: HashMap<Box<str>, f64>,
    paces: BTreeMap<Box<str>, u32>,
    /// Paces as last told to the log, and what is to be told.
    logged_paces: BTreeMap<Box<str>, u32>,
    changes: Vec<PaceChange>,
    updated_at: TimePoint,
    /// Cores in use by what fills, by the last look.
    last_cores: CoreUse,
    /// What was observed of pairs since they were last told.
    unsent_pairs: PressTable,
    /// How much press each serving image bears in all, by the last look, and as last told.
    headrooms: BTreeMap<Box<str>, f64>,
    reported_headrooms: BTreeMap<Box<str>, f64>,
}

/// Smaller changes of a pace are not worth a line of the log, percent.
const LOG_STEP_PERCENT: u32 = 20;
/// A change of the room by less is not worth telling.
const MIN_HEADROOM_CHANGE: f64 = 0.05;
/// The same as a share of the room.
const MIN_HEADROOM_CHANGE_SHARE: f64 = 0.15;
/// Loads beyond this cannot be told apart by their tails.
const MAX_LOAD: f64 = 0.95;
/// From here on a load is only known to be at least that.
const SATURATED_LOAD: f64 = 0.9;
/// Own loads below this are taken as this: what presses on them cannot be seen.
const MIN_LOAD: f64 = 0.05;
/// What a figure of a tail covers, seconds.
const TAIL_WINDOW_S: f64 = 0.5;
/// Looks further apart than this say nothing of what changed between them.
const MAX_SAMPLE_GAP: Duration = Duration::from_millis(1_200);
/// Tails beyond this many times their target are those of a worker that stands still: what fills was
/// seen to bring up to 30, a hang over 400.
const STALL_TAIL_RATIO: f64 = 150.0;
/// Observations of a pair that come to this much certainty are worth telling.
const MIN_REPORT_WEIGHT: f64 = 12.0;
/// More room for presses than this is not told.
const MAX_HEADROOM: f64 = 10.0;

impl PaceControl {
    /// The pace of an image, percent.
    pub fn pace_percent(&self, image: &str) -> u32 {
        self.paces.get(image).copied().unwrap_or(100)
    }

    /// What a core of a filling image is expected to press on a serving one.
    pub fn interference(&self, serving: &str, best_effort: &str) -> f64 {
        self.pairs.get(serving, best_effort).expected()
    }

    /// How much press each serving image bears in all, by the last look.
    pub fn headrooms(&self) -> &BTreeMap<Box<str>, f64> {
        &self.headrooms
    }

    /// How many pairs are known.
    pub fn known_pairs(&self) -> usize {
        self.pairs.len()
    }

    /// Takes what the owner has gathered of a pair.
    pub fn set_pair(&mut self, serving: &str, best_effort: &str, interference: PairPress) {
        self.pairs.set(serving, best_effort, interference);
    }

    /// Whether the owner would place otherwise by what was learned since it was last told.
    pub fn has_unsent_updates(&self) -> bool {
        let has_pairs = self
            .unsent_pairs
            .iter()
            .any(|(.., interference)| interference.weight >= MIN_REPORT_WEIGHT);
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

    /// Paces that have changed by much since the last call.
    pub fn take_changes(&mut self) -> Vec<PaceChange> {
        std::mem::take(&mut self.changes)
    }

    /// What was observed of pairs since the last call.
    pub fn take_unsent_pairs(&mut self) -> Vec<(Box<str>, Box<str>, PairPress)> {
        self.reported_headrooms.clone_from(&self.headrooms);
        let unsent = std::mem::take(&mut self.unsent_pairs);
        let pairs = unsent.iter().map(|(serving, best_effort, interference)| {
            (serving.into(), best_effort.into(), interference)
        });
        pairs.collect()
    }

    /// Learns from a sample and plans the paces; says whether it did.
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

    /// The loads that the tails of a sample show.
    fn run_loads<'a>(
        &mut self,
        sample: &'a PaceSample,
        span: Duration,
        rules: &PaceRules,
    ) -> Vec<RunLoad<'a>> {
        let carry_over = rules.tail_kept.powf(span.as_secs_f64() / TAIL_WINDOW_S);
        let mut run_loads = Vec::with_capacity(sample.serving.len());
        for run in sample.serving.iter().filter(|run| run.tail_ratio > 0.0) {
            let first = rules.first_idle;
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

    /// Learns what presses on each image from the change since the last look. Runs of one image
    /// bear the same press, so that the middle one speaks for all: one that is slow by itself
    /// blames nobody.
    fn learn_interference(&mut self, run_loads: &[RunLoad<'_>], cores: &CoreUse, span: Duration) {
        let mut changes: BTreeMap<&str, Vec<(f64, f64, f64)>> = BTreeMap::new();
        for run_load in run_loads {
            let known = self.loads.get(&run_load.run.run_id);
            if let Some(known) = known
                .filter(|known| run_load.run.tail_ratio.max(known.tail_ratio) < STALL_TAIL_RATIO)
            {
                let growth = (run_load.load / known.last_load).ln();
                let change = (growth, known.last_load, run_load.load);
                changes.entry(&run_load.run.image).or_default().push(change);
            }
        }
        for (serving, mut runs) in changes {
            runs.sort_by(|one, other| one.0.total_cmp(&other.0));
            let (growth, before, after) = runs[runs.len() / 2];
            let change = LoadChange {
                serving,
                before: LoadLook {
                    cores: &self.last_cores,
                    full: before >= SATURATED_LOAD,
                },
                after: LoadLook {
                    cores,
                    full: after >= SATURATED_LOAD,
                },
                growth,
                load: after,
                span,
            };
            for (best_effort, observed) in self.pairs.learn(&change) {
                self.unsent_pairs.merge(serving, &best_effort, observed);
            }
        }
    }

    /// Takes the load of one run.
    fn update_load(
        &mut self,
        run_load: &RunLoad<'_>,
        cores: &CoreUse,
        now: TimePoint,
        rules: &PaceRules,
    ) {
        let baseline_load = run_load.load / (1.0 + self.pairs.press_on(&run_load.run.image, cores));
        let known = self
            .loads
            .entry(run_load.run.run_id)
            .or_insert_with(|| ServingLoad::new(baseline_load, run_load.run.tail_ratio));
        known.track_tail(run_load.run.tail_ratio, now, rules);
        known.last_load = run_load.load;
        known.tail_ratio = run_load.run.tail_ratio;
        if run_load.load >= SATURATED_LOAD {
            known.saturated_at = now;
            // Such a tail only bounds the load from below.
            known.baseline_load = known.baseline_load.max(baseline_load).min(MAX_LOAD);
        } else {
            let rate = if baseline_load > known.baseline_load {
                1.0
            } else {
                rules.own_rate
            };
            known.baseline_load =
                (known.baseline_load + rate * (baseline_load - known.baseline_load)).max(MIN_LOAD);
        }
    }

    /// Plans the paces by what is known: also before new runs show in the worker's figures.
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
                .unwrap_or(rules.first_idle);
            let target_load = (1.0 - idle_ratio / rules.aim).max(MIN_LOAD);
            let is_saturated = now.since(load.saturated_at) <= rules.settle;
            let headroom = if is_saturated {
                0.0
            } else {
                (target_load / load.baseline_load - 1.0).max(0.0)
            };
            let mut contributions: Vec<(&Box<str>, f64, f64)> = sample
                .best_effort
                .iter()
                .map(|(image, usage)| (image, self.pairs.get(&run.image, image), usage))
                .filter(|(_, pair, _)| !pair.is_none(rules.no_press))
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
            // What presses least for its work goes first; the rest shares what is left.
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
                        run: run.run_id,
                        tail_ratio: load.tail_ratio,
                        baseline_load: load.baseline_load,
                        headroom,
                        interference,
                    };
                    *lowest = (share, Some(cause));
                }
            }
        }
        // Nobody's tail stays too long on account of what fills, whatever was learned so far.
        let mitigates = self
            .loads
            .values()
            .any(|load| load.mitigation_since.is_some());
        let percent = |share: f64| match mitigates {
            true => 0,
            false => ((share * 100.0) as u32).clamp(rules.least, 100),
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
