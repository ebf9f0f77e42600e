//! Which front is to own the shard next, and how long the others wait.
//!
//! A rank is only a turn: who owns is decided by the store's condition, whoever tries. A weak front that owns a
//! large pool is late, counts as silent and is replaced by the next one, so that strong ones go first.

use std::cmp::Reverse;
use std::time::Duration;
use wax_types::TimePoint;

/// Between two ranks: a takeover and word of it take less.
const RANK_STEP: Duration = Duration::from_millis(100);
/// Higher ranks wait no longer: those before them may all be gone.
const MOST_RANK: u32 = 6;
/// How much longer a front waits that is far weaker than the strongest one known: by then a strong
/// one that lives has tried.
const WEAK_WAIT: Duration = Duration::from_millis(500);
/// A front without a rank draws its turn from this.
const DRAWN_WAIT: Duration = Duration::from_millis(300);
/// Where nobody has ever owned: a front of a whole core waits this long, one of half a core twice as
/// long, since all machines start within some tenths of a second.
const FIRST_WAIT: Duration = Duration::from_millis(40);
/// The longest such wait: traffic starts seconds later.
const MOST_FIRST_WAIT: Duration = Duration::from_millis(800);
/// A front is weak beside one that is this many times as strong.
const FAR_STRONGER: u32 = 2;
/// Timers that are late by this much halve what a machine is good for.
const HALVING_LATENESS: Duration = Duration::from_millis(100);
/// An owner of a whole core sends as much, megabits a second.
const MBPS_PER_CORE: f64 = 20.0;
/// An owner of a whole core holds as much, mebibytes.
const MEMORY_PER_CORE: f64 = 256.0;
/// A term lasts this long before it is handed over to a stronger machine.
const SETTLE_IN: Duration = Duration::from_millis(2_000);
/// The same where the owner's machine is strong and only late: it may be so for a moment.
const LATE_SETTLE_IN: Duration = Duration::from_millis(8_000);
/// A front that was heard this lately is there to take over.
const HEARD_LATELY: Duration = Duration::from_millis(600);

/// What the platform says of a machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MachineStrength {
    /// Cores, or the share of one.
    pub cores: f64,
    /// Its link, megabits a second.
    pub link_mbps: f64,
    /// Its memory, mebibytes.
    pub memory_mb: f64,
}

impl Default for MachineStrength {
    fn default() -> Self {
        Self {
            cores: 1.0,
            link_mbps: 1_000.0,
            memory_mb: 1_024.0,
        }
    }
}

impl MachineStrength {
    /// How well the machine would carry an owner, its timers being late by `lateness`.
    pub fn fitness(&self, lateness: Duration) -> OwnerFitness {
        let bound = self
            .cores
            .min(self.link_mbps / MBPS_PER_CORE)
            .min(self.memory_mb / MEMORY_PER_CORE);
        let late = lateness.as_secs_f64() / HALVING_LATENESS.as_secs_f64();
        OwnerFitness((1_000.0 * bound.max(0.0) / (1.0 + late)) as u32)
    }
}

/// How well a machine would carry an owner: thousandths of a core that it has for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct OwnerFitness(pub u32);

impl OwnerFitness {
    /// Whether this machine is far weaker than another.
    pub fn is_weak_beside(self, other: Self) -> bool {
        self.0.saturating_mul(FAR_STRONGER) <= other.0 && self < other
    }
}

/// How late timers fire lately.
#[derive(Debug, Clone, Copy, Default)]
pub struct TimerLateness {
    mean: Duration,
}

impl TimerLateness {
    /// Notes a timer of `span` that took `took`.
    pub fn note(&mut self, span: Duration, took: Duration) {
        let late = took.saturating_sub(span);
        self.mean = (self.mean * 4 + late) / 5;
    }

    /// The mean of the last ones.
    pub fn mean(&self) -> Duration {
        self.mean
    }
}

/// What an owner has told a front of its turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CandidateRank {
    /// How many go before it.
    pub rank: u32,
    /// The strongest front.
    pub best: OwnerFitness,
}

impl CandidateRank {
    /// The turn of a front that has let go.
    pub fn last(best: OwnerFitness) -> Self {
        let rank = MOST_RANK;
        Self { rank, best }
    }
}

/// What a front knows when nobody owns the shard.
#[derive(Debug, Clone, Copy)]
pub struct TakeoverChance {
    /// Its own machine.
    pub own: OwnerFitness,
    /// What the last owner has told it.
    pub told: Option<CandidateRank>,
    /// The strongest front, by the last owner's row; `None` if nobody has ever owned.
    pub row_best: Option<OwnerFitness>,
    /// A number from 0 to 1.
    pub draw: f64,
}

impl TakeoverChance {
    /// How long the front lets others go first.
    pub fn wait(&self) -> Duration {
        let Some(row_best) = self.row_best else {
            let cores = f64::from(self.own.0.max(1)) / 1_000.0;
            return FIRST_WAIT.div_f64(cores).min(MOST_FIRST_WAIT);
        };
        let best = self.told.map_or(row_best, |told| told.best);
        let turn = match self.told {
            Some(told) => RANK_STEP * told.rank.min(MOST_RANK),
            None => DRAWN_WAIT.mul_f64(self.draw),
        };
        if self.own.is_weak_beside(best) {
            turn + WEAK_WAIT
        } else {
            turn
        }
    }
}

/// A front that is linked to the owner, as a candidate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Its name.
    pub node: &'a str,
    /// Its machine.
    pub fitness: OwnerFitness,
    /// Whether the store turns it away.
    pub store_lost: bool,
    /// When it was last heard.
    pub heard_at: TimePoint,
}

impl Candidate<'_> {
    /// The least goes first; equal machines have an order, too, so that they do not race.
    fn order(&self) -> (bool, Reverse<OwnerFitness>, &str) {
        (self.store_lost, Reverse(self.fitness), self.node)
    }
}

/// The candidates, the one that goes first at the next takeover in front.
pub fn rank_all<'a>(all: impl Iterator<Item = Candidate<'a>>) -> Vec<Candidate<'a>> {
    let mut ranked: Vec<Candidate<'a>> = all.collect();
    ranked.sort_unstable_by(|one, other| one.order().cmp(&other.order()));
    ranked
}

/// The owner as it sees itself.
#[derive(Debug, Clone, Copy)]
pub struct OwnerStanding {
    /// Its machine, timers in time.
    pub machine: OwnerFitness,
    /// Its machine as late as its timers are.
    pub present: OwnerFitness,
    /// How long its term has lasted.
    pub age: Duration,
}

impl OwnerStanding {
    /// Whether a front that is there carries the shard far better.
    pub fn gives_way<'a>(
        &self,
        mut all: impl Iterator<Item = Candidate<'a>>,
        now: TimePoint,
    ) -> bool {
        all.any(|front| {
            let is_there = !front.store_lost && now.since(front.heard_at) <= HEARD_LATELY;
            let settle_in = match self.machine.is_weak_beside(front.fitness) {
                true => SETTLE_IN,
                false => LATE_SETTLE_IN,
            };
            is_there && self.age >= settle_in && self.present.is_weak_beside(front.fitness)
        })
    }
}
