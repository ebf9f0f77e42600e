//! How fast the tasks that fill may work beside tasks that serve.
//!
//! A serving task is taken as a queue: with the load `u` its tail is its tail without load divided
//! by `1 - u`. Tasks that fill slow its work, so that `u` is its own load times one plus the
//! press: for each filling image the cores in use, times what a core of that image presses
//! (`wax_policy::InterferenceTable`). The own load is what the last looks leave after the press. The pace
//! of an image is what keeps every predicted load below the aim.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use wax_batch::RunId;
use wax_policy::{
    CoresByImage, InterferenceTable, LoadChange, LoadSample, PaceRules, PairInterference,
};
use wax_types::TimePoint;

/// One serving run as the worker shows it.
#[derive(Debug, Clone, PartialEq)]
pub struct ServingSample {
    /// The run.
    pub mark: RunId,
    /// Its image.
    pub image: Box<str>,
    /// Its tail as a share of its target.
    pub tail: f64,
}

/// All runs of one filling image on the worker.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct FillingSample {
    /// Cores in use over the last half second.
    pub used: f64,
    /// Cores that they would use at full pace.
    pub wanted: f64,
}

/// What one look at the worker shows.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct PaceSample {
    /// Runs that serve and are at work.
    pub serving: Vec<ServingSample>,
    /// Images that fill.
    pub filling: BTreeMap<Box<str>, FillingSample>,
}

impl PaceSample {
    fn cores_used(&self) -> CoresByImage {
        let fills = self.filling.iter();
        fills
            .map(|(image, fill)| (image.clone(), fill.used))
            .collect()
    }
}

/// The load of one serving run, by one look.
struct RunLook<'a> {
    run: &'a ServingSample,
    load: f64,
}

/// What is known of one serving run.
#[derive(Debug, Clone, Copy, PartialEq)]
struct ServingLoad {
    /// Its load without what fills beside it.
    own: f64,
    /// Its load with what fills, by the last look.
    seen: f64,
    /// The figure of the last look.
    tail: f64,
    /// When its load was last too high to be told.
    alarmed: TimePoint,
    /// Since when its tail has been near its target or over it.
    over_since: Option<TimePoint>,
    /// Since when all that fills stands still for it.
    relief_since: Option<TimePoint>,
    /// Until when what fills is taken as not the cause: relief has not helped.
    cleared_until: TimePoint,
}

impl ServingLoad {
    fn new(own: f64, tail: f64) -> Self {
        Self {
            own,
            seen: own,
            tail,
            alarmed: TimePoint::default(),
            over_since: None,
            relief_since: None,
            cleared_until: TimePoint::default(),
        }
    }

    /// Follows how long the tail has been too long, and whether relief helps.
    fn follow(&mut self, tail: f64, now: TimePoint, rules: &PaceRules) {
        if tail < rules.overrun_share {
            self.over_since = None;
            self.relief_since = None;
            return;
        }
        let since = *self.over_since.get_or_insert(now);
        if now < self.cleared_until {
            return;
        }
        match self.relief_since {
            None if now.since(since) >= rules.stop_after => self.relief_since = Some(now),
            Some(relief) if now.since(relief) >= rules.stop_timeout => {
                self.relief_since = None;
                self.over_since = Some(now);
                self.cleared_until = now + rules.stop_exemption;
            }
            _ => {}
        }
    }
}

/// A pace that has changed by much, and the serving run that decided it; for the log.
#[derive(Debug, Clone, PartialEq)]
pub struct PaceChange {
    /// The image that fills.
    pub filling: Box<str>,
    /// Its pace from now on, percent.
    pub percent: u32,
    /// The run that bears least of it; `None` if nothing bounds it.
    pub cause: Option<PaceCause>,
}

/// The serving run that bounds a pace, and by which figures.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PaceCause {
    /// The run.
    pub run: RunId,
    /// Its tail as a share of its target, by the last look.
    pub tail: f64,
    /// Its load without what fills.
    pub own: f64,
    /// How much press it bears in all.
    pub room: f64,
    /// What the image would press at full pace.
    pub press: f64,
}

/// The paces of all images that fill on one worker.
#[derive(Debug, Clone, Default)]
pub struct PaceControl {
    pairs: InterferenceTable,
    loads: HashMap<RunId, ServingLoad>,
    /// The least tail of each serving image, as a share of its target.
    idle: HashMap<Box<str>, f64>,
    paces: BTreeMap<Box<str>, u32>,
    /// Paces as last told to the log, and what is to be told.
    logged: BTreeMap<Box<str>, u32>,
    changes: Vec<PaceChange>,
    looked: TimePoint,
    /// Cores in use by what fills, by the last look.
    cores: CoresByImage,
    /// What was observed of pairs since they were last told.
    fresh: InterferenceTable,
    /// How much press each serving image bears in all, by the last look, and as last told.
    rooms: BTreeMap<Box<str>, f64>,
    rooms_told: BTreeMap<Box<str>, f64>,
}

/// Smaller changes of a pace are not worth a line of the log, percent.
const LOG_STEP: u32 = 20;
/// A change of the room by less is not worth telling.
const ROOM_STEP: f64 = 0.05;
/// The same as a share of the room.
const ROOM_SHARE: f64 = 0.15;
/// Loads beyond this cannot be told apart by their tails.
const MOST_LOAD: f64 = 0.95;
/// From here on a load is only known to be at least that.
const FULL_LOAD: f64 = 0.9;
/// Own loads below this are taken as this: what presses on them cannot be seen.
const LEAST_LOAD: f64 = 0.05;
/// What a figure of a tail covers, seconds.
const FIGURE_SPAN: f64 = 0.5;
/// Looks further apart than this say nothing of what changed between them.
const MOST_SPAN: Duration = Duration::from_millis(1_200);
/// Tails beyond this many times their target are those of a worker that stands still: what fills was
/// seen to bring up to 30, a hang over 400.
const STALL_TAIL: f64 = 150.0;
/// Observations of a pair that come to this much certainty are worth telling.
const NEWS_WEIGHT: f64 = 12.0;
/// More room for presses than this is not told.
const MOST_ROOM: f64 = 10.0;

impl PaceControl {
    /// The pace of an image, percent.
    pub fn pace(&self, image: &str) -> u32 {
        self.paces.get(image).copied().unwrap_or(100)
    }

    /// What a core of a filling image is expected to press on a serving one.
    pub fn press(&self, serving: &str, filling: &str) -> f64 {
        self.pairs.get(serving, filling).expected()
    }

    /// How much press each serving image bears in all, by the last look.
    pub fn rooms(&self) -> &BTreeMap<Box<str>, f64> {
        &self.rooms
    }

    /// How many pairs are known.
    pub fn known_pairs(&self) -> usize {
        self.pairs.len()
    }

    /// Takes what the owner has gathered of a pair.
    pub fn set_pair(&mut self, serving: &str, filling: &str, press: PairInterference) {
        self.pairs.set(serving, filling, press);
    }

    /// Whether the owner would place otherwise by what was learned since it was last told.
    pub fn has_news(&self) -> bool {
        let has_pairs = self
            .fresh
            .iter()
            .any(|(.., press)| press.precision >= NEWS_WEIGHT);
        has_pairs || self.rooms_moved()
    }

    fn rooms_moved(&self) -> bool {
        self.rooms.iter().any(|(image, room)| {
            let told = self.rooms_told.get(image).copied().unwrap_or(f64::INFINITY);
            (room - told).abs() > ROOM_STEP.max(ROOM_SHARE * room)
        })
    }

    /// Paces that have changed by much since the last call.
    pub fn take_changes(&mut self) -> Vec<PaceChange> {
        std::mem::take(&mut self.changes)
    }

    /// What was observed of pairs since the last call.
    pub fn take_fresh(&mut self) -> Vec<(Box<str>, Box<str>, PairInterference)> {
        self.rooms_told.clone_from(&self.rooms);
        let fresh = std::mem::take(&mut self.fresh);
        let pairs = fresh
            .iter()
            .map(|(serving, filling, press)| (serving.into(), filling.into(), press));
        pairs.collect()
    }

    /// Learns from a sample and plans the paces; says whether it did.
    pub fn look(&mut self, sample: &PaceSample, now: TimePoint, rules: &PaceRules) -> bool {
        if now.since(self.looked) < rules.period {
            return false;
        }
        let span = now.since(self.looked);
        self.looked = now;
        self.loads
            .retain(|mark, _| sample.serving.iter().any(|run| run.mark == *mark));
        let looks = self.load_looks(sample, span, rules);
        let cores = sample.cores_used();
        if span <= MOST_SPAN {
            self.learn(&looks, &cores, span);
        }
        for look in &looks {
            self.follow(look, &cores, now, rules);
        }
        self.cores = cores;
        self.plan(sample, now, rules);
        true
    }

    /// The loads that the tails of a sample show.
    fn load_looks<'a>(
        &mut self,
        sample: &'a PaceSample,
        span: Duration,
        rules: &PaceRules,
    ) -> Vec<RunLook<'a>> {
        let kept = rules.tail_retention.powf(span.as_secs_f64() / FIGURE_SPAN);
        let mut looks = Vec::with_capacity(sample.serving.len());
        for run in sample.serving.iter().filter(|run| run.tail > 0.0) {
            let first = rules.initial_idle_tail;
            let idle = self.idle.entry(run.image.clone()).or_insert(first);
            *idle = idle.min(run.tail);
            let shown = self.loads.get(&run.mark).map_or(run.tail, |load| load.tail);
            let tail = ((run.tail - kept * shown) / (1.0 - kept)).max(*idle);
            let load = (1.0 - *idle / tail).clamp(LEAST_LOAD, MOST_LOAD);
            looks.push(RunLook { run, load });
        }
        looks
    }

    /// Learns what presses on each image from the change since the last look. Runs of one image
    /// bear the same press, so that the middle one speaks for all: one that is slow by itself
    /// blames nobody.
    fn learn(&mut self, looks: &[RunLook<'_>], cores: &CoresByImage, span: Duration) {
        let mut changes: BTreeMap<&str, Vec<(f64, f64, f64)>> = BTreeMap::new();
        for look in looks {
            let known = self.loads.get(&look.run.mark);
            if let Some(known) = known.filter(|known| look.run.tail.max(known.tail) < STALL_TAIL) {
                let growth = (look.load / known.seen).ln();
                let change = (growth, known.seen, look.load);
                changes.entry(&look.run.image).or_default().push(change);
            }
        }
        for (serving, mut runs) in changes {
            runs.sort_by(|one, other| one.0.total_cmp(&other.0));
            let (growth, before, after) = runs[runs.len() / 2];
            let change = LoadChange {
                serving,
                before: LoadSample {
                    cores: &self.cores,
                    saturated: before >= FULL_LOAD,
                },
                after: LoadSample {
                    cores,
                    saturated: after >= FULL_LOAD,
                },
                log_growth: growth,
                load: after,
                interval: span,
            };
            for (filling, seen) in self.pairs.learn(&change) {
                self.fresh.merge(serving, &filling, seen);
            }
        }
    }

    /// Takes the load of one run.
    fn follow(
        &mut self,
        look: &RunLook<'_>,
        cores: &CoresByImage,
        now: TimePoint,
        rules: &PaceRules,
    ) {
        let own = look.load / (1.0 + self.pairs.interference_on(&look.run.image, cores));
        let known = self
            .loads
            .entry(look.run.mark)
            .or_insert_with(|| ServingLoad::new(own, look.run.tail));
        known.follow(look.run.tail, now, rules);
        known.seen = look.load;
        known.tail = look.run.tail;
        if look.load >= FULL_LOAD {
            known.alarmed = now;
            // Such a tail only bounds the load from below.
            known.own = known.own.max(own).min(MOST_LOAD);
        } else {
            let rate = if own > known.own {
                1.0
            } else {
                rules.baseline_fall_rate
            };
            known.own = (known.own + rate * (own - known.own)).max(LEAST_LOAD);
        }
    }

    /// Plans the paces by what is known: also before new runs show in the worker's figures.
    pub fn plan(&mut self, sample: &PaceSample, now: TimePoint, rules: &PaceRules) {
        let mut shares: BTreeMap<Box<str>, (f64, Option<PaceCause>)> = sample
            .filling
            .keys()
            .map(|image| (image.clone(), (1.0, None)))
            .collect();
        self.rooms.clear();
        for run in &sample.serving {
            let Some(load) = self.loads.get(&run.mark).copied() else {
                continue;
            };
            let idle = self
                .idle
                .get(&run.image)
                .copied()
                .unwrap_or(rules.initial_idle_tail);
            let aim = (1.0 - idle / rules.max_tail_share).max(LEAST_LOAD);
            let alarmed = now.since(load.alarmed) <= rules.settle_time;
            let room = if alarmed {
                0.0
            } else {
                (aim / load.own - 1.0).max(0.0)
            };
            let mut presses: Vec<(&Box<str>, f64, f64)> = sample
                .filling
                .iter()
                .map(|(image, fill)| (image, self.pairs.get(&run.image, image), fill))
                .filter(|(_, pair, _)| !pair.is_negligible(rules.negligible_interference))
                .map(|(image, pair, fill)| (image, pair.expected(), fill.wanted))
                .map(|(image, press, wanted)| (image, press, press * wanted))
                .collect();
            let least = self.rooms.entry(run.image.clone()).or_insert(MOST_ROOM);
            *least = least.min(room);
            // What presses least for its work goes first; the rest shares what is left.
            presses.sort_by(|one, other| one.1.total_cmp(&other.1));
            let mut left = room;
            for (image, _, press) in presses {
                let share = if press > left { left / press } else { 1.0 };
                left = (left - press).max(0.0);
                if let Some(least) = shares.get_mut(image).filter(|(least, _)| share < *least) {
                    let cause = PaceCause {
                        run: run.mark,
                        tail: load.tail,
                        own: load.own,
                        room,
                        press,
                    };
                    *least = (share, Some(cause));
                }
            }
        }
        // Nobody's tail stays too long on account of what fills, whatever was learned so far.
        let relief = self.loads.values().any(|load| load.relief_since.is_some());
        let percent = |share: f64| match relief {
            true => 0,
            false => ((share * 100.0) as u32).clamp(rules.min_pace_percent, 100),
        };
        self.paces = shares
            .iter()
            .map(|(image, (share, _))| (image.clone(), percent(*share)))
            .collect();
        self.note_changes(&shares);
    }

    fn note_changes(&mut self, shares: &BTreeMap<Box<str>, (f64, Option<PaceCause>)>) {
        self.logged.retain(|image, _| shares.contains_key(image));
        for (image, (_, cause)) in shares {
            let percent = self.pace(image);
            let logged = self.logged.entry(image.clone()).or_insert(100);
            if logged.abs_diff(percent) >= LOG_STEP {
                *logged = percent;
                self.changes.push(PaceChange {
                    filling: image.clone(),
                    percent,
                    cause: *cause,
                });
            }
        }
    }
}
