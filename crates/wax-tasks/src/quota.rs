//! Quotas of teams. Each shard holds a grant from the quota of a team; the sum of the grants of all
//! shards never exceeds the quota.
//!
//! Row `quota/TEAM` holds the grant of each shard. A shard places tasks of a team only within its
//! grant, requests more by compare-and-set of the row, and returns the part that it does not use.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use wax_platform::{CommitOutcome, RowEntry, TableClient, TableTransaction};
use wax_settings::{NodePath, SettingsTree};
use wax_types::{ResourceVector, RowVersion, ShardId, TimePoint, WaxError};

/// Prefix of the keys of the rows.
pub(crate) const QUOTA_PREFIX: &str = "quota/";

/// Row `quota/TEAM`: grants from the quota of a team.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct QuotaRow {
    /// Resources that each shard may use; a shard without a grant has no entry.
    pub grants: BTreeMap<ShardId, ResourceVector>,
}

impl QuotaRow {
    /// Returns the sum of all grants.
    pub fn total(&self) -> ResourceVector {
        self.grants
            .values()
            .fold(ResourceVector::ZERO, |sum, grant| {
                saturating_add(sum, *grant)
            })
    }

    /// Sets a shard's grant to `wanted`, limited to the part of the quota that the other shards'
    /// grants leave.
    pub fn adjust(&mut self, shard: ShardId, wanted: ResourceVector, quota: ResourceVector) {
        self.grants.remove(&shard);
        let left = quota.saturating_sub(self.total());
        let grant = ResourceVector {
            cpu_milli: wanted.cpu_milli.min(left.cpu_milli),
            memory_mib: wanted.memory_mib.min(left.memory_mib),
            accelerators: wanted.accelerators.min(left.accelerators),
        };
        if grant != ResourceVector::ZERO {
            self.grants.insert(shard, grant);
        }
    }
}

fn saturating_add(a: ResourceVector, b: ResourceVector) -> ResourceVector {
    ResourceVector {
        cpu_milli: a.cpu_milli.saturating_add(b.cpu_milli),
        memory_mib: a.memory_mib.saturating_add(b.memory_mib),
        accelerators: a.accelerators.saturating_add(b.accelerators),
    }
}

/// Returns the maximum of each component.
fn component_max(a: ResourceVector, b: ResourceVector) -> ResourceVector {
    ResourceVector {
        cpu_milli: a.cpu_milli.max(b.cpu_milli),
        memory_mib: a.memory_mib.max(b.memory_mib),
        accelerators: a.accelerators.max(b.accelerators),
    }
}

/// Returns the quota of a team by the settings in force.
pub(crate) fn quota_of(tree: &SettingsTree, team: &str) -> ResourceVector {
    let settings = tree.resolve(&NodePath::team(team));
    ResourceVector::new(
        settings.quota_cpu_milli,
        settings.quota_memory_mib,
        settings.quota_accelerators,
    )
}

#[derive(Debug, Default)]
struct TeamGrant {
    /// Last known row of the team.
    row: QuotaRow,
    /// Sum of the sizes of the placed tasks and of the reservations in the current pass over the
    /// queue.
    used: ResourceVector,
    /// Sum of the sizes of the waiting tasks that exceeded the grant in the last pass over the queue.
    wanted: ResourceVector,
    /// Maximum size, by component, of the waiting tasks that fitted the grant but no worker.
    retained: ResourceVector,
}

impl TeamGrant {
    /// Returns the size that the grant should have: the sum of `used`, `wanted` and `retained`.
    fn target(&self) -> ResourceVector {
        saturating_add(saturating_add(self.used, self.wanted), self.retained)
    }
}

/// Grants of one shard and their use, by team.
#[derive(Debug, Default)]
pub(crate) struct ShardQuotas {
    teams: HashMap<Box<str>, TeamGrant>,
}

impl ShardQuotas {
    /// Creates the grants from the rows of the table.
    pub(crate) fn load(rows: Vec<RowEntry<QuotaRow>>) -> Self {
        let teams = rows
            .into_iter()
            .map(|entry| {
                let team = entry.key[QUOTA_PREFIX.len()..].into();
                let grant = TeamGrant {
                    row: entry.value,
                    ..TeamGrant::default()
                };
                (team, grant)
            })
            .collect();
        Self { teams }
    }

    /// Starts a pass over the queue: resets the use of each grant to the tasks that are placed.
    pub(crate) fn begin_pass<'a>(
        &mut self,
        placed: impl Iterator<Item = (&'a str, ResourceVector)>,
    ) {
        for grant in self.teams.values_mut() {
            grant.used = ResourceVector::ZERO;
            grant.wanted = ResourceVector::ZERO;
            grant.retained = ResourceVector::ZERO;
        }
        for (team, size) in placed {
            let grant = self.grant_mut(team);
            grant.used = saturating_add(grant.used, size);
        }
    }

    fn grant_mut(&mut self, team: &str) -> &mut TeamGrant {
        if !self.teams.contains_key(team) {
            self.teams.insert(team.into(), TeamGrant::default());
        }
        self.teams
            .get_mut(team)
            .expect("the team was inserted above")
    }

    /// Reserves the size of a task in the grant of its team; returns whether the grant was
    /// sufficient.
    ///
    /// Nothing is reserved while the grants of all shards exceed the quota, as they may after the
    /// quota was lowered.
    pub(crate) fn try_reserve(
        &mut self,
        shard: ShardId,
        team: &str,
        size: ResourceVector,
        quota: ResourceVector,
    ) -> bool {
        let grant = self.grant_mut(team);
        let own_grant = grant.row.grants.get(&shard).copied().unwrap_or_default();
        let used = saturating_add(grant.used, size);
        if used.fits_in(own_grant) && grant.row.total().fits_in(quota) {
            grant.used = used;
            return true;
        }
        grant.wanted = saturating_add(grant.wanted, size);
        false
    }

    /// Reverts [`ShardQuotas::try_reserve`] for a task that fits no worker.
    ///
    /// The grant stays large enough for the largest such task. Otherwise the shard would return and
    /// request it in turns, with a write each time; a grant for all such tasks would withhold quota
    /// from other shards that have free workers.
    pub(crate) fn unreserve(&mut self, team: &str, size: ResourceVector) {
        let grant = self.grant_mut(team);
        grant.used = grant.used.saturating_sub(size);
        grant.retained = component_max(grant.retained, size);
    }

    /// Returns the teams whose grant differs from the size that it should have.
    fn teams_to_adjust(&self, shard: ShardId) -> Vec<Box<str>> {
        self.teams
            .iter()
            .filter(|(_, grant)| {
                let own_grant = grant.row.grants.get(&shard).copied().unwrap_or_default();
                grant.target() != own_grant
            })
            .map(|(team, _)| team.clone())
            .collect()
    }

    /// Returns the size that a team's grant should get, or `None` if the grant is right.
    #[cfg(test)]
    pub(crate) fn pending_target(&self, shard: ShardId, team: &str) -> Option<ResourceVector> {
        let teams = self.teams_to_adjust(shard);
        teams
            .iter()
            .find(|name| ***name == *team)
            .map(|team| self.teams[team].target())
    }

    /// Adjusts the grant in memory as [`adjust_grants`] does in the table.
    #[cfg(test)]
    pub(crate) fn apply_grant(
        &mut self,
        shard: ShardId,
        team: &str,
        wanted: ResourceVector,
        quota: ResourceVector,
    ) {
        self.grant_mut(team).row.adjust(shard, wanted, quota);
    }

    /// Returns the teams with waiting tasks that exceed their grant.
    pub(crate) fn limited_teams(&self) -> impl Iterator<Item = &str> {
        self.teams
            .iter()
            .filter(|(_, grant)| grant.wanted != ResourceVector::ZERO)
            .map(|(team, _)| &**team)
    }
}

/// Adjusts the grants that differ from the size that they should have, each in one transaction.
///
/// `guard` is the key and the version of the shard's row, a condition of each transaction.
///
/// # Errors
///
/// Returns an error if a row cannot be read; the remaining grants stay unchanged.
pub(crate) async fn adjust_grants(
    quotas: &std::cell::RefCell<ShardQuotas>,
    table: &TableClient,
    tree: &SettingsTree,
    shard: ShardId,
    guard: (&str, RowVersion),
    deadline: TimePoint,
) -> Result<(), WaxError> {
    let teams = quotas.borrow().teams_to_adjust(shard);
    for team in teams {
        let key = format!("{QUOTA_PREFIX}{team}");
        let found = table.read::<QuotaRow>(&key).await?;
        let (mut row, version) = match found {
            Some(entry) => (entry.value, entry.version),
            None => (QuotaRow::default(), RowVersion::default()),
        };
        let before = row.clone();
        let wanted = {
            let quotas = quotas.borrow();
            let grant = &quotas.teams[&team];
            grant.target()
        };
        row.adjust(shard, wanted, quota_of(tree, &team));
        if row != before {
            let mut transaction = TableTransaction::default();
            transaction.put(key, version, &row);
            transaction.require(guard.0, guard.1);
            let outcome = table.commit(&transaction, deadline).await;
            if !matches!(outcome, CommitOutcome::Committed(_)) {
                // The row has changed, or the store did not confirm the commit. The next call reads
                // the row again.
                continue;
            }
        }
        if let Some(grant) = quotas.borrow_mut().teams.get_mut(&team) {
            grant.row = row;
        }
    }
    Ok(())
}
