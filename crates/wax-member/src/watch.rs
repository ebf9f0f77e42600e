//! Failure detection: a member is live while its row keeps changing, measured by the observer's own
//! clock.

use crate::row::MemberRow;
use std::collections::BTreeMap;
use std::time::Duration;
use wax_platform::RowEntry;
use wax_types::{RowVersion, TimePoint};

/// Last observed state of a member.
#[derive(Debug, Clone, PartialEq)]
pub struct MemberState {
    /// Row of the member.
    pub row: MemberRow,
    /// Version of the row.
    pub version: RowVersion,
    /// Time at which this version was first observed, by the observer's clock.
    pub changed_at: TimePoint,
}

/// All observed members by name. Clocks of different processes are never compared.
#[derive(Debug, Clone, Default)]
pub struct MemberWatch {
    members: BTreeMap<Box<str>, MemberState>,
}

impl MemberWatch {
    /// Replaces the known members by the result of a scan of all rows that was started at `now`.
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

    /// Returns the members whose rows have changed within `ttl`.
    pub fn live_members(
        &self,
        now: TimePoint,
        ttl: Duration,
    ) -> impl Iterator<Item = &MemberState> {
        self.members
            .values()
            .filter(move |state| now.since(state.changed_at) < ttl)
    }

    /// Returns a member by name, whether it is live or not.
    pub fn get(&self, name: &str) -> Option<&MemberState> {
        self.members.get(name)
    }

    /// Returns the members whose rows have not changed for `min_age` or longer.
    pub fn stale_members(
        &self,
        now: TimePoint,
        min_age: Duration,
    ) -> impl Iterator<Item = &MemberState> {
        self.members
            .values()
            .filter(move |state| now.since(state.changed_at) >= min_age)
    }
}
