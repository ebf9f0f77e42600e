//! Ranks the fronts as candidates for ownership and computes how long each waits before a takeover.
//!
//! A rank only orders the attempts: the condition in the store decides which front owns the shard.
//! A weak front that owns a large pool answers so slowly that it counts as silent and is replaced,
//! so strong fronts try first.

use std::cmp::Reverse;
use std::time::Duration;
use wax_types::TimePoint;

/// Delay between two ranks, long enough for the first to take over and for others to learn of it.
const RANK_DELAY: Duration = Duration::from_millis(100);
/// Highest rank that adds delay. Fronts of higher ranks wait no longer, because all fronts ranked
/// before them may have ended.
const MAX_RANK: u32 = 6;
/// Additional delay of a front that is far weaker than the strongest one known. By then, every
/// strong front that is running has tried to take over.
const WEAK_FRONT_DELAY: Duration = Duration::from_millis(500);
/// Longest random delay of a front without a rank.
const MAX_RANDOM_DELAY: Duration = Duration::from_millis(300);
/// Delay of a front with one core before the first takeover of a shard; a front with half a core
/// waits twice as long. The delay covers the start of all VMs within some tenths of a second.
const INITIAL_DELAY_PER_CORE: Duration = Duration::from_millis(40);
/// Longest delay before the first takeover; traffic starts some seconds later.
const MAX_INITIAL_DELAY: Duration = Duration::from_millis(800);
/// A front is far weaker than one whose fitness is at least this many times its own.
const FAR_STRONGER_FACTOR: u32 = 2;
/// Mean timer lateness that halves the fitness of a VM.
const HALVING_LATENESS: Duration = Duration::from_millis(100);
/// Outgoing traffic of an owner that fully uses one core, in megabits per second.
const MBPS_PER_CORE: f64 = 20.0;
/// Memory of an owner that fully uses one core, in mebibytes.
const MEMORY_PER_CORE: f64 = 256.0;
/// Minimum age of a term before it is handed over to a stronger VM.
const MIN_TERM_AGE: Duration = Duration::from_millis(2_000);
/// Minimum age of a term before a handover if the owner's VM is strong but its timers are late,
/// since the lateness may be brief.
const MIN_TERM_AGE_IF_LATE: Duration = Duration::from_millis(8_000);
/// A front whose last heartbeat is at most this old is available for a takeover.
const CANDIDATE_MAX_SILENCE: Duration = Duration::from_millis(600);

/// Capacity of a VM as declared by the platform.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct VmCapacity {
    /// Number of cores; may be a fraction.
    pub cores: f64,
    /// Bandwidth of the network link in megabits per second.
    pub link_mbps: f64,
    /// Memory in mebibytes.
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
    /// Returns the VM's fitness for ownership when its timers are late by `lateness` on average.
    pub fn fitness(&self, lateness: Duration) -> OwnerFitness {
        let bound = self
            .cores
            .min(self.link_mbps / MBPS_PER_CORE)
            .min(self.memory_mb / MEMORY_PER_CORE);
        let late_ratio = lateness.as_secs_f64() / HALVING_LATENESS.as_secs_f64();
        OwnerFitness((1_000.0 * bound.max(0.0) / (1.0 + late_ratio)) as u32)
    }
}

/// Fitness of a VM for ownership, in thousandths of a core. The scarcest of processor, network and
/// memory determines the value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct OwnerFitness(pub u32);

impl OwnerFitness {
    /// Returns whether this VM is far weaker than another.
    pub fn is_far_weaker_than(self, other: Self) -> bool {
        self.0.saturating_mul(FAR_STRONGER_FACTOR) <= other.0 && self < other
    }
}

/// Moving average of how late the timers of this process fire.
#[derive(Debug, Clone, Copy, Default)]
pub struct TimerLateness {
    mean: Duration,
}

impl TimerLateness {
    /// Records a timer that was set for `span` and fired after `took`.
    pub fn record(&mut self, span: Duration, took: Duration) {
        let lateness = took.saturating_sub(span);
        self.mean = (self.mean * 4 + lateness) / 5;
    }

    /// Returns the moving average.
    pub fn mean(&self) -> Duration {
        self.mean
    }
}

/// Rank of a front as a candidate for ownership, as the owner has reported it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CandidateRank {
    /// Number of fronts that try to take over before this one.
    pub rank: u32,
    /// Fitness of the strongest front.
    pub best_fitness: OwnerFitness,
}

impl CandidateRank {
    /// Returns the rank of a front that has released the shard itself.
    pub fn last(best_fitness: OwnerFitness) -> Self {
        let rank = MAX_RANK;
        Self { rank, best_fitness }
    }
}

/// Inputs for the delay of a front before it tries to take over a shard without an owner.
#[derive(Debug, Clone, Copy)]
pub struct TakeoverDelay {
    /// Fitness of this front.
    pub own_fitness: OwnerFitness,
    /// Rank reported by the last owner; `None` if no owner has reported one.
    pub last_rank: Option<CandidateRank>,
    /// Fitness of the strongest front according to the last owner's row; `None` if the shard has
    /// never had an owner.
    pub last_best: Option<OwnerFitness>,
    /// Random number from 0 to 1.
    pub random: f64,
}

impl TakeoverDelay {
    /// Returns how long the front waits before it tries to take over.
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

/// A front that is linked to the owner, seen as a candidate for ownership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Name of the front's VM.
    pub node: &'a str,
    /// Fitness of the front.
    pub fitness: OwnerFitness,
    /// Whether the front cannot reach the store.
    pub store_lost: bool,
    /// When the owner received the front's last heartbeat.
    pub last_heartbeat_at: TimePoint,
}

impl Candidate<'_> {
    /// Returns the sort key; the smallest goes first. Names break ties, so that equal VMs do not
    /// race.
    fn order(&self) -> (bool, Reverse<OwnerFitness>, &str) {
        (self.store_lost, Reverse(self.fitness), self.node)
    }
}

/// Sorts the candidates by the order in which they try to take over.
pub fn rank_candidates<'a>(all: impl Iterator<Item = Candidate<'a>>) -> Vec<Candidate<'a>> {
    let mut ranked: Vec<Candidate<'a>> = all.collect();
    ranked.sort_unstable_by(|one, other| one.order().cmp(&other.order()));
    ranked
}

/// Inputs for the decision whether the owner hands the shard over.
#[derive(Debug, Clone, Copy)]
pub struct HandoverCheck {
    /// Fitness of the owner's VM if its timers were on time.
    pub nominal: OwnerFitness,
    /// Fitness of the owner's VM at the present timer lateness.
    pub current: OwnerFitness,
    /// Age of the owner's term.
    pub term_age: Duration,
}

impl HandoverCheck {
    /// Returns whether an available front could serve the shard far better.
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
