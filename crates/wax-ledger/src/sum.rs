//! Sums of ledger entries by team, service and job kind, and by task.

use crate::entry::{LedgerEntry, UsageAmount, UsageKey};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashSet};
use wax_types::TaskId;

/// Usage of one team for one job kind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRow {
    /// Team that is charged.
    pub team: Box<str>,
    /// Service to which the jobs belong.
    pub service: Box<str>,
    /// Kind of the jobs.
    pub kind: Box<str>,
    /// Total amount of resources used.
    #[serde(flatten)]
    pub amount: UsageAmount,
}

/// Grouping key of [`UsageRow`].
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct ChargeKey {
    team: Box<str>,
    service: Box<str>,
    kind: Box<str>,
}

/// Sums entries. Each interval counts once, even if several entries report it.
#[derive(Debug, Clone, Default)]
pub struct UsageSum {
    seen: HashSet<UsageKey>,
    by_kind: BTreeMap<ChargeKey, UsageAmount>,
    by_task: BTreeMap<TaskId, UsageAmount>,
    repeated: u64,
}

impl UsageSum {
    /// Adds an entry unless an entry for the same interval was added before.
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

    /// Returns the sums by team, service and job kind.
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

    /// Returns the sums by task.
    pub fn tasks(&self) -> &BTreeMap<TaskId, UsageAmount> {
        &self.by_task
    }

    /// Returns the number of entries that were ignored because their interval had been added
    /// before.
    pub fn repeated(&self) -> u64 {
        self.repeated
    }
}
