//! Quotas of teams, held across shards by grants: the sum of all grants never exceeds the quota.
//!
//! Row `quota/TEAM` holds what each shard was granted. A shard places tasks of a team only within
//! its grant, asks for more by compare-and-set of the row, and gives back what it does not use.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use wax_platform::{CommitOutcome, RowEntry, TableClient, TableTransaction};
use wax_settings::{NodePath, SettingsTree};
use wax_types::{ResourceVector, RowVersion, ShardId, TimePoint, WaxError};

pub(crate) const QUOTA_PREFIX: &str = "quota/";

/// Row `quota/TEAM`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct QuotaRow {
    /// What each shard may use.
    pub grants: BTreeMap<ShardId, ResourceVector>,
}

impl QuotaRow {
    /// The sum of all grants.
    pub fn total(&self) -> ResourceVector {
        self.grants
            .values()
            .fold(ResourceVector::ZERO, |sum, grant| {
                saturating_add(sum, *grant)
            })
    }

    /// Changes a shard's grant towards `wanted`: down at once, up within what the quota leaves.
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

/// The larger of two in each component.
fn component_max(a: ResourceVector, b: ResourceVector) -> ResourceVector {
    ResourceVector {
        cpu_milli: a.cpu_milli.max(b.cpu_milli),
        memory_mib: a.memory_mib.max(b.memory_mib),
        accelerators: a.accelerators.max(b.accelerators),
    }
}

/// The quota of a team in the settings in force.
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
    row: QuotaRow,
    used: ResourceVector,
    /// Waiting tasks that the grant did not let through in the last look at the queue.
    wanted: ResourceVector,
    /// The largest waiting task that the grant did let through and that found no room.
    retained: ResourceVector,
}

impl TeamGrant {
    /// What the grant should be: all that runs or waits.
    fn target(&self) -> ResourceVector {
        saturating_add(saturating_add(self.used, self.wanted), self.retained)
    }
}

/// What one shard knows of the quotas.
#[derive(Debug, Default)]
pub(crate) struct ShardQuotas {
    teams: HashMap<Box<str>, TeamGrant>,
}

impl ShardQuotas {
    /// Begins with the rows of the table.
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

    /// Begins a look at the queue: what is placed now counts as used.
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
        self.teams.get_mut(team).expect("it was inserted")
    }

    /// Takes room for a task from the team's grant; says whether there was enough.
    ///
    /// Nothing is taken while the grants of all shards exceed a quota that was lowered.
    pub(crate) fn try_reserve(
        &mut self,
        shard: ShardId,
        team: &str,
        size: ResourceVector,
        quota: ResourceVector,
    ) -> bool {
        let grant = self.grant_mut(team);
        let own = grant.row.grants.get(&shard).copied().unwrap_or_default();
        let used = saturating_add(grant.used, size);
        if used.fits_in(own) && grant.row.total().fits_in(quota) {
            grant.used = used;
            return true;
        }
        grant.wanted = saturating_add(grant.wanted, size);
        false
    }

    /// Gives back what [`QuotaBook::take`] took for a task that found no room.
    ///
    /// The grant is kept for the largest such task: given back and asked for again, it would be
    /// written each time; kept for all, it would hold back other shards that have room.
    pub(crate) fn unreserve(&mut self, team: &str, size: ResourceVector) {
        let grant = self.grant_mut(team);
        grant.used = grant.used.saturating_sub(size);
        grant.retained = component_max(grant.retained, size);
    }

    /// Teams whose grant should change: too little for what waits, or more than is used.
    fn teams_to_adjust(&self, shard: ShardId) -> Vec<Box<str>> {
        self.teams
            .iter()
            .filter(|(_, grant)| {
                let own = grant.row.grants.get(&shard).copied().unwrap_or_default();
                grant.target() != own
            })
            .map(|(team, _)| team.clone())
            .collect()
    }

    /// What a team's grant should become, if that is another than it is.
    #[cfg(test)]
    pub(crate) fn pending_target(&self, shard: ShardId, team: &str) -> Option<ResourceVector> {
        let teams = self.teams_to_adjust(shard);
        teams
            .iter()
            .find(|name| ***name == *team)
            .map(|team| self.teams[team].target())
    }

    /// Grants at once what the table would grant.
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

    /// Teams with waiting tasks that the quota holds back.
    pub(crate) fn limited_teams(&self) -> impl Iterator<Item = &str> {
        self.teams
            .iter()
            .filter(|(_, grant)| grant.wanted != ResourceVector::ZERO)
            .map(|(team, _)| &**team)
    }
}

/// Changes the grants that are due, each by one transaction.
///
/// # Errors
///
/// The store does not answer; grants stay as they are in the table.
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
                // Another shard was first, or the fate is open: the row is read again next time.
                continue;
            }
        }
        if let Some(grant) = quotas.borrow_mut().teams.get_mut(&team) {
            grant.row = row;
        }
    }
    Ok(())
}
