//! What has changed of what filling images press on serving ones, for agents to be told with their heartbeats.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use wax_types::TimePoint;
use wax_wire::{InterferenceFrame, InterferenceUpdate};

/// Changes of a pair within this are told as one.
const ROUND_PERIOD: Duration = Duration::from_millis(1_000);
/// Rounds that are kept: an agent that has missed more is told of all pairs.
const MOST_ROUNDS: usize = 4;

/// What an agent is to be told.
#[derive(Debug, Clone, PartialEq)]
pub enum PressStep {
    /// Nothing has changed.
    Nothing,
    /// These pairs have changed.
    Changes(InterferenceUpdate),
    /// It has missed too much.
    All,
}

/// Changes of pairs, in rounds.
#[derive(Debug, Default)]
pub struct PressLog {
    open: BTreeMap<(String, String), InterferenceFrame>,
    opened_at: Option<TimePoint>,
    rounds: VecDeque<Vec<InterferenceFrame>>,
    /// How many rounds were ever closed.
    closed: u64,
}

impl PressLog {
    /// A pair has changed.
    pub fn note(&mut self, pair: InterferenceFrame, now: TimePoint) {
        self.opened_at.get_or_insert(now);
        let names = (pair.serving.clone(), pair.best_effort.clone());
        self.open.insert(names, pair);
    }

    /// How many rounds were ever closed: what an agent knows that is told of all pairs now.
    pub fn closed(&self) -> u64 {
        self.closed
    }

    /// What an agent is to be told that knows the first `seen` rounds.
    pub fn news_after(&mut self, seen: u64, now: TimePoint) -> PressStep {
        self.close_round(now);
        let missed = self.closed.saturating_sub(seen) as usize;
        if missed == 0 {
            return PressStep::Nothing;
        }
        if missed > self.rounds.len() {
            return PressStep::All;
        }
        let rounds = self.rounds.iter().skip(self.rounds.len() - missed);
        PressStep::Changes(InterferenceUpdate {
            pairs: rounds.flatten().cloned().collect(),
            headrooms: Vec::new(),
        })
    }

    fn close_round(&mut self, now: TimePoint) {
        let is_due = self
            .opened_at
            .is_some_and(|at| now.since(at) >= ROUND_PERIOD);
        if !is_due {
            return;
        }
        self.opened_at = None;
        let pairs = std::mem::take(&mut self.open).into_values();
        self.rounds.push_back(pairs.collect());
        self.closed += 1;
        if self.rounds.len() > MOST_ROUNDS {
            self.rounds.pop_front();
        }
    }
}
