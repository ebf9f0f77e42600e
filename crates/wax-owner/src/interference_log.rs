//! Collects changes of interference estimates in rounds, which agents receive with the answers to
//! their heartbeats.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use wax_types::TimePoint;
use wax_wire::{InterferenceFrame, InterferenceUpdate};

/// Length of a round; changes of one pair within a round are merged.
const ROUND_PERIOD: Duration = Duration::from_millis(1_000);
/// Number of rounds that are kept. An agent that has missed more receives all pairs.
const MAX_ROUNDS: usize = 4;

/// What is to be sent to an agent.
#[derive(Debug, Clone, PartialEq)]
pub enum PendingInterference {
    /// No pair has changed.
    Nothing,
    /// These pairs have changed.
    Changes(InterferenceUpdate),
    /// The agent has missed more rounds than are kept and must receive all pairs.
    All,
}

/// Changes of interference estimates, grouped into rounds.
#[derive(Debug, Default)]
pub struct InterferenceLog {
    open: BTreeMap<(String, String), InterferenceFrame>,
    opened_at: Option<TimePoint>,
    rounds: VecDeque<Vec<InterferenceFrame>>,
    /// Number of rounds closed so far.
    closed_rounds: u64,
}

impl InterferenceLog {
    /// Records a changed pair.
    pub fn record(&mut self, pair: InterferenceFrame, now: TimePoint) {
        self.opened_at.get_or_insert(now);
        let names = (pair.serving.clone(), pair.best_effort.clone());
        self.open.insert(names, pair);
    }

    /// Returns the number of rounds closed so far. An agent that receives all pairs now has seen
    /// these rounds.
    pub fn closed_rounds(&self) -> u64 {
        self.closed_rounds
    }

    /// Returns what to send to an agent that has seen the first `seen` rounds.
    pub fn updates_after(&mut self, seen: u64, now: TimePoint) -> PendingInterference {
        self.close_round(now);
        let missed = self.closed_rounds.saturating_sub(seen) as usize;
        if missed == 0 {
            return PendingInterference::Nothing;
        }
        if missed > self.rounds.len() {
            return PendingInterference::All;
        }
        let rounds = self.rounds.iter().skip(self.rounds.len() - missed);
        PendingInterference::Changes(InterferenceUpdate {
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
        self.closed_rounds += 1;
        if self.rounds.len() > MAX_ROUNDS {
            self.rounds.pop_front();
        }
    }
}
