//! Admits quick requests by team: a quota, and fair shares where all want more than there is.

use crate::average::DecayedMean;
use crate::retry::RetryBudget;
use slotmap::{SlotMap, new_key_type};
use std::collections::HashMap;
use std::time::Duration;

new_key_type! {
    /// Names a team in a [`TeamTable`].
    pub struct TeamKey;
}

/// Requests over which the time that a team's request is held is remembered.
const DURATION_WINDOW: f64 = 64.0;
/// Shortest time after which a refused caller is told to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);
/// Above this share of all places, a team gets no more than its fair share.
const FAIR_SHARE_THRESHOLD: f64 = 0.8;

/// What a team is allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TeamLimits {
    /// Requests under way at once.
    pub in_flight: u32,
    /// Its share where all want more than there is.
    pub weight: u32,
    /// Retries in percent of its requests.
    pub retry_percent: u32,
    /// Hedges in percent of its requests.
    pub hedge_percent: u32,
}

/// What to do with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmitChoice {
    /// A place is taken for it.
    Admit(TeamKey),
    /// The team has used its quota; a place is expected after this time.
    OverQuota(Duration),
    /// All places are taken and the team has its fair share.
    OverShare(Duration),
}

#[derive(Debug)]
struct TeamUsage {
    in_flight: u32,
    weight: u32,
    duration: DecayedMean,
    retries: RetryBudget,
    hedges: RetryBudget,
}

/// The requests under way of each team; a decision costs the same for 3 teams and for 330.
#[derive(Debug)]
pub struct TeamTable {
    capacity: u32,
    in_flight: u32,
    active_weight: u64,
    teams: SlotMap<TeamKey, TeamUsage>,
    names: HashMap<Box<str>, TeamKey>,
}

impl TeamTable {
    /// A table with so many places in all.
    pub fn new(capacity: u32) -> Self {
        Self {
            capacity,
            in_flight: 0,
            active_weight: 0,
            teams: SlotMap::with_key(),
            names: HashMap::new(),
        }
    }

    /// Decides about a request of a team.
    pub fn admit(&mut self, team: &str, limits: TeamLimits) -> AdmitChoice {
        let key = self.key_or_insert(team, limits.weight);
        let share = self.fair_share(key, limits.weight);
        let usage = &self.teams[key];
        let duration = Duration::from_secs_f64(usage.duration.value());
        if usage.in_flight >= limits.in_flight {
            return AdmitChoice::OverQuota(retry_after(duration, usage.in_flight));
        }
        let is_contended =
            f64::from(self.in_flight) >= f64::from(self.capacity) * FAIR_SHARE_THRESHOLD;
        if self.in_flight >= self.capacity || (is_contended && usage.in_flight >= share) {
            return AdmitChoice::OverShare(retry_after(duration, usage.in_flight));
        }
        self.add_request(key, limits);
        AdmitChoice::Admit(key)
    }

    fn key_or_insert(&mut self, team: &str, weight: u32) -> TeamKey {
        if let Some(key) = self.names.get(team) {
            return *key;
        }
        let key = self.teams.insert(TeamUsage {
            in_flight: 0,
            weight,
            duration: DecayedMean::new(DURATION_WINDOW),
            retries: RetryBudget::default(),
            hedges: RetryBudget::default(),
        });
        self.names.insert(team.into(), key);
        key
    }

    /// A team's fair share of all places among the teams with requests under way.
    fn fair_share(&self, key: TeamKey, weight: u32) -> u32 {
        let idle = self.teams[key].in_flight == 0;
        let all = self.active_weight + if idle { u64::from(weight) } else { 0 };
        let share = u64::from(self.capacity) * u64::from(weight) / all.max(1);
        share.max(1) as u32
    }

    fn add_request(&mut self, key: TeamKey, limits: TeamLimits) {
        self.in_flight += 1;
        let usage = &mut self.teams[key];
        if usage.in_flight == 0 {
            usage.weight = limits.weight;
            self.active_weight += u64::from(limits.weight);
        }
        usage.in_flight += 1;
        usage.retries.deposit(limits.retry_percent);
        usage.hedges.deposit(limits.hedge_percent);
    }

    /// Gives a place back after `held`.
    pub fn release(&mut self, key: TeamKey, duration: Duration) {
        self.in_flight -= 1;
        let usage = &mut self.teams[key];
        usage.in_flight -= 1;
        usage.duration.add(duration.as_secs_f64());
        if usage.in_flight == 0 {
            self.active_weight -= u64::from(usage.weight);
        }
    }

    /// Takes a retry from a team's budget.
    pub fn spend_retry(&mut self, key: TeamKey) -> bool {
        self.teams[key].retries.try_spend()
    }

    /// Takes a hedge from a team's budget.
    pub fn spend_hedge(&mut self, key: TeamKey) -> bool {
        self.teams[key].hedges.try_spend()
    }

    /// Places taken.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }
}

/// The mean time until the next of `in_flight` requests ends.
fn retry_after(duration: Duration, in_flight: u32) -> Duration {
    (duration / in_flight.max(1)).max(MIN_RETRY_AFTER)
}
