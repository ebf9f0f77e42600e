//! How fast the tasks that fill may work beside tasks that serve.
//!
//! A serving task is taken as a queue: with the load `u` its tail is its tail without load divided
//! by `1 - u`. Tasks that fill slow its work, so that `u` is its own load times one plus the
//! press: for each filling image the cores in use, times what a core of that image presses. The own
//! load moves slowly, a press belongs to a pair of images; both are learned from the worker's
//! figures. The pace of an image is what keeps every predicted load below the aim.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use wax_batch::{PairPress, PairTable, RunMark};
use wax_types::TimePoint;

/// When to slow down, and how fast to learn.
#[derive(Debug, Clone, Copy)]
pub struct PaceRules {
    /// Between two observations: the worker's figures cover half a second.
    pub period: Duration,
    /// Predicted tails are kept below this share of their target.
    pub aim: f64,
    /// A tail over this share of its target slows what may be the cause at once.
    pub alarm: f64,
    /// Tails over this share of their target count as too long in a row.
    pub near: f64,
    /// Tails that are too long for this long stop all that fills.
    pub bear: Duration,
    /// A stop that has not helped after this long shows another cause.
    pub relief: Duration,
    /// What fills then goes on for this long, whatever the tail.
    pub cleared: Duration,
    /// After an alarm, figures show for this long what is over already.
    pub settle: Duration,
    /// The least pace, percent: what stands still teaches nothing.
    pub least: u32,
    /// How much of an error goes to the presses.
    pub press_rate: f64,
    /// An alarm adds at least this much press to what was at work.
    pub alarm_press: f64,
    /// How much of an error goes to the own load.
    pub own_rate: f64,
    /// The same while next to nothing that fills is at work.
    pub alone_rate: f64,
    /// Cores of fills up to which a serving task counts as alone.
    pub alone_cores: f64,
    /// What a core of an image presses before anything is known.
    pub first_press: f64,
    /// The share of its target that a tail without load takes, before anything is known.
    pub first_idle: f64,
    /// A press below this, borne out well, is none.
    pub benign_press: f64,
    /// Observations that bear out well.
    pub benign_weight: f64,
}

impl Default for PaceRules {
    fn default() -> Self {
        Self {
            period: Duration::from_millis(450),
            aim: 0.82,
            alarm: 1.0,
            near: 0.95,
            bear: Duration::from_millis(1_400),
            relief: Duration::from_millis(2_800),
            cleared: Duration::from_millis(1_500),
            settle: Duration::from_millis(900),
            least: 5,
            press_rate: 0.3,
            alarm_press: 0.4,
            own_rate: 0.3,
            alone_rate: 0.6,
            alone_cores: 0.6,
            first_press: 0.06,
            first_idle: 0.17,
            benign_press: 0.09,
            benign_weight: 12.0,
        }
    }
}

impl PaceRules {
    /// Whether a pair is known well enough to press on nothing.
    fn is_benign(&self, pair: PairPress) -> bool {
        pair.per_core < self.benign_press && pair.weight >= self.benign_weight
    }
}

/// One serving run as the worker shows it.
#[derive(Debug, Clone, PartialEq)]
pub struct ServingSample {
    /// The run.
    pub mark: RunMark,
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

/// What is known of one serving run.
#[derive(Debug, Clone, Copy, PartialEq)]
struct ServingLoad {
    /// Its load without what fills beside it.
    own: f64,
    /// When its tail was last over the alarm.
    alarmed: TimePoint,
    /// When what was at work was last blamed for that.
    blamed: TimePoint,
    /// Since when its tail has been near its target or over it.
    over_since: Option<TimePoint>,
    /// Since when all that fills stands still for it.
    relief_since: Option<TimePoint>,
    /// Until when what fills is taken as not the cause: relief has not helped.
    cleared_until: TimePoint,
}

impl ServingLoad {
    fn new(own: f64) -> Self {
        Self {
            own,
            alarmed: TimePoint::default(),
            blamed: TimePoint::default(),
            over_since: None,
            relief_since: None,
            cleared_until: TimePoint::default(),
        }
    }

    /// Follows how long the tail has been too long, and whether relief helps.
    fn follow(&mut self, tail: f64, now: TimePoint, rules: &PaceRules) {
        if tail < rules.near {
            self.over_since = None;
            self.relief_since = None;
            return;
        }
        let since = *self.over_since.get_or_insert(now);
        if now < self.cleared_until {
            return;
        }
        match self.relief_since {
            None if now.since(since) >= rules.bear => self.relief_since = Some(now),
            Some(relief) if now.since(relief) >= rules.relief => {
                self.relief_since = None;
                self.over_since = Some(now);
                self.cleared_until = now + rules.cleared;
            }
            _ => {}
        }
    }
}

/// The paces of all images that fill on one worker.
#[derive(Debug, Clone, Default)]
pub struct PaceControl {
    pairs: PairTable,
    loads: HashMap<RunMark, ServingLoad>,
    /// The least tail of each serving image, as a share of its target.
    idle: HashMap<Box<str>, f64>,
    paces: BTreeMap<Box<str>, u32>,
    looked: TimePoint,
    /// Pairs learned since they were last told, with the observations that are new.
    fresh: HashMap<(Box<str>, Box<str>), f64>,
    room: f64,
    room_told: f64,
}

/// A change of the room by less is not worth telling.
const ROOM_STEP: f64 = 0.05;
/// The greatest press of a core that is believed.
const MOST_PRESS: f64 = 2.0;
/// Suspicion of an image that is known to press on nothing, as if it did by this much.
const SUSPICION: f64 = 0.04;
/// A press that may be noise fades by this much with each observation.
const FADE: f64 = 0.002;
/// Presses up to this may be noise.
const NOISE: f64 = 0.11;
/// Loads beyond this cannot be told apart by their tails.
const MOST_LOAD: f64 = 0.95;
/// Own loads below this are taken as this: what presses on them cannot be seen.
const LEAST_LOAD: f64 = 0.05;
/// Less than this many cores in use teaches nothing of a press.
const LEAST_USED: f64 = 0.15;
/// A worker without serving tasks has this much room for presses.
const MOST_ROOM: f64 = 10.0;

type FillingMap = BTreeMap<Box<str>, FillingSample>;

impl PaceControl {
    /// The pace of an image, percent.
    pub fn pace(&self, image: &str) -> u32 {
        self.paces.get(image).copied().unwrap_or(100)
    }

    /// How much press the worker bears beyond what it has, by the last look.
    pub fn room(&self) -> f64 {
        self.room
    }

    /// Takes what the owner has gathered of a pair.
    pub fn set_pair(&mut self, serving: &str, filling: &str, press: PairPress) {
        self.pairs.set(serving, filling, press);
    }

    /// Whether the owner would place otherwise by what was learned since it was last told.
    pub fn has_news(&self) -> bool {
        !self.fresh.is_empty() || (self.room - self.room_told).abs() > ROOM_STEP
    }

    /// Pairs learned since the last call, with the observations that are new.
    pub fn take_fresh(&mut self) -> Vec<(Box<str>, Box<str>, PairPress)> {
        let fresh = std::mem::take(&mut self.fresh);
        self.room_told = self.room;
        let pairs = fresh.into_iter().map(|((serving, filling), weight)| {
            let per_core = self.pairs.get(&serving, &filling).per_core;
            (serving, filling, PairPress { per_core, weight })
        });
        pairs.collect()
    }

    /// Learns from a sample and plans the paces; says whether it did.
    pub fn look(&mut self, sample: &PaceSample, now: TimePoint, rules: &PaceRules) -> bool {
        if now.since(self.looked) < rules.period {
            return false;
        }
        self.looked = now;
        self.loads
            .retain(|mark, _| sample.serving.iter().any(|run| run.mark == *mark));
        for run in sample.serving.iter().filter(|run| run.tail > 0.0) {
            self.learn(run, &sample.filling, now, rules);
        }
        self.plan(sample, now, rules);
        true
    }

    fn press_of(&self, serving: &str, filling: &str, rules: &PaceRules) -> PairPress {
        let known = self.pairs.get(serving, filling);
        if known.weight > 0.0 {
            return known;
        }
        PairPress {
            per_core: rules.first_press,
            weight: 0.0,
        }
    }

    fn press(&self, image: &str, filling: &FillingMap, rules: &PaceRules) -> f64 {
        let presses = filling
            .iter()
            .map(|(filling, fill)| self.press_of(image, filling, rules).per_core * fill.used);
        presses.sum()
    }

    fn load_of(&mut self, run: &ServingSample, rules: &PaceRules) -> f64 {
        let idle = self
            .idle
            .entry(run.image.clone())
            .or_insert(rules.first_idle);
        *idle = idle.min(run.tail);
        (1.0 - *idle / run.tail).clamp(LEAST_LOAD, MOST_LOAD)
    }

    fn learn(
        &mut self,
        run: &ServingSample,
        filling: &FillingMap,
        now: TimePoint,
        rules: &PaceRules,
    ) {
        let load = self.load_of(run, rules);
        let press = self.press(&run.image, filling, rules);
        let known = self
            .loads
            .get(&run.mark)
            .copied()
            .unwrap_or_else(|| ServingLoad::new(load / (1.0 + press)));
        let mut next = known;
        next.follow(run.tail, now, rules);
        if run.tail > rules.alarm {
            // The tail only bounds the load from below. What is at work at the first look of an
            // alarm is the cause, and again whenever the alarm goes on.
            if now.since(known.blamed) > rules.settle {
                next.blamed = now;
                self.blame(
                    run,
                    filling,
                    rules
                        .alarm_press
                        .max(2.0 * (load - known.own * (1.0 + press)) / known.own),
                    rules,
                );
            }
            next.alarmed = now;
        } else if now.since(known.alarmed) > rules.settle {
            let error = load - known.own * (1.0 + press);
            let used: f64 = filling.values().map(|fill| fill.used).sum();
            let rate = if used < rules.alone_cores {
                rules.alone_rate
            } else {
                rules.own_rate
            };
            next.own = (known.own + rate * error / (1.0 + press)).clamp(LEAST_LOAD, MOST_LOAD);
            self.blame(run, filling, rules.press_rate * error / known.own, rules);
        }
        self.loads.insert(run.mark, next);
    }

    /// Spreads a press that was not predicted over the images that were at work.
    fn blame(&mut self, run: &ServingSample, filling: &FillingMap, missed: f64, rules: &PaceRules) {
        // What is known to press takes most of the blame: few images do.
        let suspicion = |known: PairPress| known.per_core + SUSPICION;
        let sum: f64 = filling
            .iter()
            .map(|(image, fill)| {
                suspicion(self.press_of(&run.image, image, rules)) * fill.used * fill.used
            })
            .sum();
        for (image, fill) in filling.iter().filter(|(_, fill)| fill.used > LEAST_USED) {
            let known = self.press_of(&run.image, image, rules);
            let step = missed * suspicion(known) * fill.used / (sum + SUSPICION);
            let weight = fill.used.min(1.0);
            let fade = if known.per_core < NOISE {
                FADE * weight
            } else {
                0.0
            };
            let learned = PairPress {
                // Noise only ever adds up above zero; what is not seen again fades.
                per_core: (known.per_core + step - fade).clamp(0.0, MOST_PRESS),
                weight: known.weight + weight,
            };
            self.pairs.set(&run.image, image, learned);
            *self
                .fresh
                .entry((run.image.clone(), image.clone()))
                .or_default() += weight;
        }
    }

    /// Plans the paces by what is known: also before new runs show in the worker's figures.
    pub fn plan(&mut self, sample: &PaceSample, now: TimePoint, rules: &PaceRules) {
        let mut shares: BTreeMap<Box<str>, f64> = sample
            .filling
            .keys()
            .map(|image| (image.clone(), 1.0))
            .collect();
        self.room = MOST_ROOM;
        for run in &sample.serving {
            let Some(load) = self.loads.get(&run.mark).copied() else {
                continue;
            };
            let idle = self
                .idle
                .get(&run.image)
                .copied()
                .unwrap_or(rules.first_idle);
            let aim = (1.0 - idle / rules.aim).max(LEAST_LOAD);
            let alarmed = now.since(load.alarmed) <= rules.settle;
            let room = if alarmed {
                0.0
            } else {
                (aim / load.own - 1.0).max(0.0)
            };
            let mut presses: Vec<(&Box<str>, f64, f64)> = sample
                .filling
                .iter()
                .map(|(image, fill)| (image, self.press_of(&run.image, image, rules), fill))
                .filter(|(_, pair, _)| !rules.is_benign(*pair))
                .map(|(image, pair, fill)| (image, pair.per_core, pair.per_core * fill.wanted))
                .collect();
            let whole: f64 = presses.iter().map(|(.., press)| press).sum();
            self.room = self.room.min(room - whole);
            // What presses least for its work goes first; the rest shares what is left.
            presses.sort_by(|one, other| one.1.total_cmp(&other.1));
            let mut left = room;
            for (image, _, press) in presses {
                let share = if press > left { left / press } else { 1.0 };
                left = (left - press).max(0.0);
                if let Some(least) = shares.get_mut(image) {
                    *least = least.min(share);
                }
            }
        }
        // Nobody's tail stays too long on account of what fills, whatever was learned so far.
        let relief = self.loads.values().any(|load| load.relief_since.is_some());
        let percent = |share: f64| match relief {
            true => 0,
            false => ((share * 100.0) as u32).clamp(rules.least, 100),
        };
        self.paces = shares
            .into_iter()
            .map(|(image, share)| (image, percent(share)))
            .collect();
    }
}
