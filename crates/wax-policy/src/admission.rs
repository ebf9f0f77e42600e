//! Admits quick requests per team by a quota, and by fair shares while the capacity is nearly used
//! up.

use crate::average::DecayedMean;
use crate::retry::RetryBudget;
use slotmap::{SlotMap, new_key_type};
use std::collections::HashMap;
use std::time::Duration;

new_key_type! {
    /// Key of a team in a [`TeamTable`].
    pub struct TeamKey;
}

/// Number of requests after which a sample has little weight in the mean duration of a team's
/// requests.
const DURATION_WINDOW: f64 = 64.0;
/// Shortest delay after which a refused caller is told to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);
/// Share of the capacity in use above which a team gets no more than its fair share.
const FAIR_SHARE_THRESHOLD: f64 = 0.8;

/// Limits and weight of one team.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TeamLimits {
    /// Maximum number of requests in flight.
    pub in_flight: u32,
    /// Weight of the team when the capacity is divided into fair shares.
    pub weight: u32,
    /// Retries that are allowed, in percent of the team's requests.
    pub retry_percent: u32,
    /// Hedged requests that are allowed, in percent of the team's requests.
    pub hedge_percent: u32,
}

/// Whether a request is admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmitChoice {
    /// The request is admitted and counts as in flight.
    Admit(TeamKey),
    /// The team has reached its quota; a request of the team is expected to end after this time.
    OverQuota(Duration),
    /// The capacity is used up or nearly so, and the team has its fair share; a request of the team
    /// is expected to end after this time.
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

/// Requests in flight of each team. The cost of a decision does not depend on the number of teams.
#[derive(Debug)]
pub struct TeamTable {
    capacity: u32,
    in_flight: u32,
    active_weight: u64,
    teams: SlotMap<TeamKey, TeamUsage>,
    names: HashMap<Box<str>, TeamKey>,
}

impl TeamTable {
    /// Creates a table that admits at most `capacity` requests at a time over all teams.
    pub fn new(capacity: u32) -> Self {
        Self {
            capacity,
            in_flight: 0,
            active_weight: 0,
            teams: SlotMap::with_key(),
            names: HashMap::new(),
        }
    }

    /// Decides whether a request of `team` is admitted, and counts it as in flight if so.
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

    /// Returns the fair share of `key`: the capacity divided by weight among the teams that have
    /// requests in flight.
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

    /// Ends a request that was in flight for `duration`.
    pub fn release(&mut self, key: TeamKey, duration: Duration) {
        self.in_flight -= 1;
        let usage = &mut self.teams[key];
        usage.in_flight -= 1;
        usage.duration.add(duration.as_secs_f64());
        if usage.in_flight == 0 {
            self.active_weight -= u64::from(usage.weight);
        }
    }

    /// Takes a retry from the team's budget; returns whether the budget allowed it.
    pub fn spend_retry(&mut self, key: TeamKey) -> bool {
        self.teams[key].retries.try_spend()
    }

    /// Takes a hedged request from the team's budget; returns whether the budget allowed it.
    pub fn spend_hedge(&mut self, key: TeamKey) -> bool {
        self.teams[key].hedges.try_spend()
    }

    /// Returns the number of requests in flight over all teams.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }
}

/// Returns the mean time until the next of `in_flight` requests ends, but at least
/// [`MIN_RETRY_AFTER`].
fn retry_after(duration: Duration, in_flight: u32) -> Duration {
    (duration / in_flight.max(1)).max(MIN_RETRY_AFTER)
}
