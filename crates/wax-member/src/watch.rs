//! Who is alive, by the observer's own clock: a row that changes is a sign of life.

use crate::row::MemberRow;
use std::collections::BTreeMap;
use std::time::Duration;
use wax_platform::RowEntry;
use wax_types::{RowVersion, TimePoint};

/// A member as last observed.
#[derive(Debug, Clone, PartialEq)]
pub struct MemberState {
    /// Its row.
    pub row: MemberRow,
    /// The version of the row.
    pub version: RowVersion,
    /// When this version was first seen.
    pub changed_at: TimePoint,
}

/// All members, by name; no two clocks are ever compared.
#[derive(Debug, Clone, Default)]
pub struct MemberWatch {
    members: BTreeMap<Box<str>, MemberState>,
}

impl MemberWatch {
    /// Takes a scan of all rows that was begun at `now`.
    pub fn observe(&mut self, now: TimePoint, rows: Vec<RowEntry<MemberRow>>) {
        let mut members = BTreeMap::new();
        for entry in rows {
            let name = entry.value.name.clone();
            let changed_at = match self.members.get(&name) {
                Some(state) if state.version == entry.version => state.changed_at,
                _ => now,
            };
            let state = MemberState {
                row: entry.value,
                version: entry.version,
                changed_at,
            };
            members.insert(name, state);
        }
        self.members = members;
    }

    /// The members whose rows changed within `ttl`.
    pub fn live_members(
        &self,
        now: TimePoint,
        ttl: Duration,
    ) -> impl Iterator<Item = &MemberState> {
        self.members
            .values()
            .filter(move |state| now.since(state.changed_at) < ttl)
    }

    /// A member by name, alive or not.
    pub fn get(&self, name: &str) -> Option<&MemberState> {
        self.members.get(name)
    }

    /// Members whose rows have stood still for `span` or longer.
    pub fn stale(&self, now: TimePoint, min_age: Duration) -> impl Iterator<Item = &MemberState> {
        self.members
            .values()
            .filter(move |state| now.since(state.changed_at) >= min_age)
    }
}
