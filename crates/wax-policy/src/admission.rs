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
const HOLD_MEMORY: f64 = 64.0;
/// Shortest time after which a refused caller is told to come back.
const RETRY_FLOOR: Duration = Duration::from_millis(20);
/// Above this share of all places, a team gets no more than its fair share.
const LENDING_SHARE: f64 = 0.8;

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
struct TeamFlow {
    in_flight: u32,
    weight: u32,
    hold: DecayedMean,
    retries: RetryBudget,
    hedges: RetryBudget,
}

/// The requests under way of each team; a decision costs the same for 3 teams and for 330.
#[derive(Debug)]
pub struct TeamTable {
    places: u32,
    in_flight: u32,
    active_weight: u64,
    teams: SlotMap<TeamKey, TeamFlow>,
    names: HashMap<Box<str>, TeamKey>,
}

impl TeamTable {
    /// A table with so many places in all.
    pub fn new(places: u32) -> Self {
        Self {
            places,
            in_flight: 0,
            active_weight: 0,
            teams: SlotMap::with_key(),
            names: HashMap::new(),
        }
    }

    /// Decides about a request of a team.
    pub fn admit(&mut self, team: &str, limits: TeamLimits) -> AdmitChoice {
        let key = self.key_of(team, limits.weight);
        let share = self.share(key, limits.weight);
        let flow = &self.teams[key];
        let hold = Duration::from_secs_f64(flow.hold.value());
        if flow.in_flight >= limits.in_flight {
            return AdmitChoice::OverQuota(after(hold, flow.in_flight));
        }
        let lent_out = f64::from(self.in_flight) >= f64::from(self.places) * LENDING_SHARE;
        if self.in_flight >= self.places || (lent_out && flow.in_flight >= share) {
            return AdmitChoice::OverShare(after(hold, flow.in_flight));
        }
        self.take_place(key, limits);
        AdmitChoice::Admit(key)
    }

    fn key_of(&mut self, team: &str, weight: u32) -> TeamKey {
        if let Some(key) = self.names.get(team) {
            return *key;
        }
        let key = self.teams.insert(TeamFlow {
            in_flight: 0,
            weight,
            hold: DecayedMean::new(HOLD_MEMORY),
            retries: RetryBudget::default(),
            hedges: RetryBudget::default(),
        });
        self.names.insert(team.into(), key);
        key
    }

    /// A team's fair share of all places among the teams with requests under way.
    fn share(&self, key: TeamKey, weight: u32) -> u32 {
        let idle = self.teams[key].in_flight == 0;
        let all = self.active_weight + if idle { u64::from(weight) } else { 0 };
        let share = u64::from(self.places) * u64::from(weight) / all.max(1);
        share.max(1) as u32
    }

    fn take_place(&mut self, key: TeamKey, limits: TeamLimits) {
        self.in_flight += 1;
        let flow = &mut self.teams[key];
        if flow.in_flight == 0 {
            flow.weight = limits.weight;
            self.active_weight += u64::from(limits.weight);
        }
        flow.in_flight += 1;
        flow.retries.deposit(limits.retry_percent);
        flow.hedges.deposit(limits.hedge_percent);
    }

    /// Gives a place back after `held`.
    pub fn release(&mut self, key: TeamKey, held: Duration) {
        self.in_flight -= 1;
        let flow = &mut self.teams[key];
        flow.in_flight -= 1;
        flow.hold.add(held.as_secs_f64());
        if flow.in_flight == 0 {
            self.active_weight -= u64::from(flow.weight);
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
fn after(hold: Duration, in_flight: u32) -> Duration {
    (hold / in_flight.max(1)).max(RETRY_FLOOR)
}
