//! Sums of the ledger, by team and by task.

use crate::entry::{LedgerEntry, UsageAmount, UsageKey};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashSet};
use wax_types::TaskId;

/// What one team used for one job kind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRow {
    /// The team.
    pub team: Box<str>,
    /// The service.
    pub service: Box<str>,
    /// The job kind.
    pub kind: Box<str>,
    /// The amount.
    #[serde(flatten)]
    pub amount: UsageAmount,
}

/// What a row of the bill is about.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct ChargeKey {
    team: Box<str>,
    service: Box<str>,
    kind: Box<str>,
}

/// Adds entries up; an interval counts once, however often it is reported.
#[derive(Debug, Clone, Default)]
pub struct UsageSum {
    seen: HashSet<UsageKey>,
    by_kind: BTreeMap<ChargeKey, UsageAmount>,
    by_task: BTreeMap<TaskId, UsageAmount>,
    repeated: u64,
}

impl UsageSum {
    /// Adds an entry unless its interval was added before.
    pub fn add(&mut self, entry: &LedgerEntry) {
        if !self.seen.insert(entry.key) {
            self.repeated += 1;
            return;
        }
        let charge = ChargeKey {
            team: entry.team.clone(),
            service: entry.service.clone(),
            kind: entry.kind.clone(),
        };
        self.by_kind.entry(charge).or_default().add(entry.amount);
        self.by_task
            .entry(entry.key.task)
            .or_default()
            .add(entry.amount);
    }

    /// The sums by team, service and kind.
    pub fn rows(&self) -> Vec<UsageRow> {
        self.by_kind
            .iter()
            .map(|(charge, amount)| UsageRow {
                team: charge.team.clone(),
                service: charge.service.clone(),
                kind: charge.kind.clone(),
                amount: *amount,
            })
            .collect()
    }

    /// The sums by task.
    pub fn tasks(&self) -> &BTreeMap<TaskId, UsageAmount> {
        &self.by_task
    }

    /// How many entries repeated an interval.
    pub fn repeated(&self) -> u64 {
        self.repeated
    }
}
