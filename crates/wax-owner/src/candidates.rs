//! Which front is to own the shard next, and how long the others wait.
//!
//! A rank is only a turn: who owns is decided by the store's condition, whoever tries. A weak front that owns a
//! large pool is late, counts as silent and is replaced by the next one, so that strong ones go first.

use std::cmp::Reverse;
use std::time::Duration;
use wax_types::TimePoint;

/// Between two ranks: a takeover and word of it take less.
const RANK_DELAY: Duration = Duration::from_millis(100);
/// Higher ranks wait no longer: those before them may all be gone.
const MAX_RANK: u32 = 6;
/// How much longer a front waits that is far weaker than the strongest one known: by then a strong
/// one that lives has tried.
const WEAK_FRONT_DELAY: Duration = Duration::from_millis(500);
/// A front without a rank draws its turn from this.
const MAX_RANDOM_DELAY: Duration = Duration::from_millis(300);
/// Where nobody has ever owned: a front of a whole core waits this long, one of half a core twice as
/// long, since all machines start within some tenths of a second.
const INITIAL_DELAY_PER_CORE: Duration = Duration::from_millis(40);
/// The longest such wait: traffic starts seconds later.
const MAX_INITIAL_DELAY: Duration = Duration::from_millis(800);
/// A front is weak beside one that is this many times as strong.
const FAR_STRONGER_FACTOR: u32 = 2;
/// Timers that are late by this much halve what a machine is good for.
const HALVING_LATENESS: Duration = Duration::from_millis(100);
/// An owner of a whole core sends as much, megabits a second.
const MBPS_PER_CORE: f64 = 20.0;
/// An owner of a whole core holds as much, mebibytes.
const MEMORY_PER_CORE: f64 = 256.0;
/// A term lasts this long before it is handed over to a stronger machine.
const MIN_TERM_AGE: Duration = Duration::from_millis(2_000);
/// The same where the owner's machine is strong and only late: it may be so for a moment.
const MIN_TERM_AGE_IF_LATE: Duration = Duration::from_millis(8_000);
/// A front that was heard this lately is there to take over.
const CANDIDATE_MAX_SILENCE: Duration = Duration::from_millis(600);

/// What the platform says of a machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct VmCapacity {
    /// Cores, or the share of one.
    pub cores: f64,
    /// Its link, megabits a second.
    pub link_mbps: f64,
    /// Its memory, mebibytes.
    pub memory_mb: f64,
}

impl Default for VmCapacity {
    fn default() -> Self {
        Self {
            cores: 1.0,
            link_mbps: 1_000.0,
            memory_mb: 1_024.0,
        }
    }
}

impl VmCapacity {
    /// How well the machine would carry an owner, its timers being late by `lateness`.
    pub fn fitness(&self, lateness: Duration) -> OwnerFitness {
        let bound = self
            .cores
            .min(self.link_mbps / MBPS_PER_CORE)
            .min(self.memory_mb / MEMORY_PER_CORE);
        let late_ratio = lateness.as_secs_f64() / HALVING_LATENESS.as_secs_f64();
        OwnerFitness((1_000.0 * bound.max(0.0) / (1.0 + late_ratio)) as u32)
    }
}

/// How well a machine would carry an owner: thousandths of a core that it has for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct OwnerFitness(pub u32);

impl OwnerFitness {
    /// Whether this machine is far weaker than another.
    pub fn is_far_weaker_than(self, other: Self) -> bool {
        self.0.saturating_mul(FAR_STRONGER_FACTOR) <= other.0 && self < other
    }
}

/// How late timers fire lately.
#[derive(Debug, Clone, Copy, Default)]
pub struct TimerLateness {
    mean: Duration,
}

impl TimerLateness {
    /// Notes a timer of `span` that took `took`.
    pub fn record(&mut self, span: Duration, took: Duration) {
        let late_ratio = took.saturating_sub(span);
        self.mean = (self.mean * 4 + late_ratio) / 5;
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
    pub best_fitness: OwnerFitness,
}

impl CandidateRank {
    /// The turn of a front that has let go.
    pub fn last(best_fitness: OwnerFitness) -> Self {
        let rank = MAX_RANK;
        Self { rank, best_fitness }
    }
}

/// What a front knows when nobody owns the shard.
#[derive(Debug, Clone, Copy)]
pub struct TakeoverDelay {
    /// Its own machine.
    pub own_fitness: OwnerFitness,
    /// What the last owner has told it.
    pub last_rank: Option<CandidateRank>,
    /// The strongest front, by the last owner's row; `None` if nobody has ever owned.
    pub last_best: Option<OwnerFitness>,
    /// A number from 0 to 1.
    pub random: f64,
}

impl TakeoverDelay {
    /// How long the front lets others go first.
    pub fn duration(&self) -> Duration {
        let Some(last_best) = self.last_best else {
            let cores = f64::from(self.own_fitness.0.max(1)) / 1_000.0;
            return INITIAL_DELAY_PER_CORE.div_f64(cores).min(MAX_INITIAL_DELAY);
        };
        let best_fitness = self
            .last_rank
            .map_or(last_best, |last_rank| last_rank.best_fitness);
        let delay = match self.last_rank {
            Some(last_rank) => RANK_DELAY * last_rank.rank.min(MAX_RANK),
            None => MAX_RANDOM_DELAY.mul_f64(self.random),
        };
        if self.own_fitness.is_far_weaker_than(best_fitness) {
            delay + WEAK_FRONT_DELAY
        } else {
            delay
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
    pub last_heartbeat_at: TimePoint,
}

impl Candidate<'_> {
    /// The least goes first; equal machines have an order, too, so that they do not race.
    fn order(&self) -> (bool, Reverse<OwnerFitness>, &str) {
        (self.store_lost, Reverse(self.fitness), self.node)
    }
}

/// The candidates, the one that goes first at the next takeover in front.
pub fn rank_candidates<'a>(all: impl Iterator<Item = Candidate<'a>>) -> Vec<Candidate<'a>> {
    let mut ranked: Vec<Candidate<'a>> = all.collect();
    ranked.sort_unstable_by(|one, other| one.order().cmp(&other.order()));
    ranked
}

/// The owner as it sees itself.
#[derive(Debug, Clone, Copy)]
pub struct HandoverCheck {
    /// Its machine, timers in time.
    pub nominal: OwnerFitness,
    /// Its machine as late as its timers are.
    pub current: OwnerFitness,
    /// How long its term has lasted.
    pub term_age: Duration,
}

impl HandoverCheck {
    /// Whether a front that is there carries the shard far better.
    pub fn should_hand_over<'a>(
        &self,
        mut all: impl Iterator<Item = Candidate<'a>>,
        now: TimePoint,
    ) -> bool {
        all.any(|front| {
            let is_available =
                !front.store_lost && now.since(front.last_heartbeat_at) <= CANDIDATE_MAX_SILENCE;
            let min_term_age = match self.nominal.is_far_weaker_than(front.fitness) {
                true => MIN_TERM_AGE,
                false => MIN_TERM_AGE_IF_LATE,
            };
            is_available
                && self.term_age >= min_term_age
                && self.current.is_far_weaker_than(front.fitness)
        })
    }
}
