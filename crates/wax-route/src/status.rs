//! Status of the system as this entry knows it, for operators.

use crate::process::EntryShared;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;
use wax_tasks::{DrainTarget, ShardStatus};
use wax_trace::counter_values;
use wax_types::SettingsVersion;

/// Time for which a lost sidecar is counted as unreachable; after that it is left out.
const LOST_SIDECAR_RETENTION: Duration = Duration::from_secs(60);

/// Rollout of a version of the settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RolloutStatus {
    /// Version whose rollout is shown.
    pub(crate) version: SettingsVersion,
    /// Number of reachable processes that apply this version or a newer one.
    pub(crate) in_force: usize,
    /// Number of known processes: members, connected sidecars and recently lost sidecars.
    pub(crate) processes: usize,
    /// Processes that have not confirmed the version or cannot be reached.
    pub(crate) missing: Vec<MissingProcess>,
}

/// Process that has not confirmed a version or cannot be reached.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MissingProcess {
    pub(crate) name: Box<str>,
    pub(crate) version: SettingsVersion,
    /// Milliseconds since the connection was lost; `None` if the process can be reached.
    pub(crate) unreachable_ms: Option<u64>,
}

/// Status of one known process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MemberStatus {
    name: Box<str>,
    role: &'static str,
    failure_domain: Box<str>,
    service: Option<Box<str>>,
    /// Address for operators; `None` for sidecars.
    operators: Option<Box<str>>,
    settings: SettingsVersion,
    leaving: bool,
}

/// Reply to `GET /v1/status`.
#[derive(Debug, Serialize)]
pub(crate) struct EntryStatus {
    entry: Box<str>,
    uptime_ms: u64,
    settings: RolloutStatus,
    /// Milliseconds since the store stopped answering; `None` while it answers.
    store_down_ms: Option<u64>,
    /// Drained failure domains, in which no new task starts.
    drained: Vec<Box<str>>,
    /// Drained workers, on which no new task starts.
    drained_workers: Vec<Box<str>>,
    members: Vec<MemberStatus>,
    shards: Vec<ShardStatus>,
    requests_in_flight: u32,
    counters: BTreeMap<&'static str, u64>,
}

/// Returns the rollout of a version among the processes that this entry knows.
pub(crate) fn rollout_status(shared: &EntryShared, version: SettingsVersion) -> RolloutStatus {
    let now = shared.clock.now();
    let mut known: BTreeMap<Box<str>, (SettingsVersion, Option<u64>)> = BTreeMap::new();
    for member in shared.members.live_members(now) {
        known.insert(member.name, (member.settings, None));
    }
    known.insert(shared.name.clone(), (shared.settings.version(), None));
    for (name, lost) in shared.peers.recently_lost(now - LOST_SIDECAR_RETENTION) {
        let lost_ms = now.since(lost.lost_at).as_millis() as u64;
        known.insert(name, (lost.settings_version, Some(lost_ms)));
    }
    for peer in shared.peers.all() {
        let name = peer.hello.name.as_str().into();
        known.insert(name, (peer.settings_version.get(), None));
    }
    let processes = known.len();
    let missing: Vec<MissingProcess> = known
        .into_iter()
        .filter(|(_, (applied, lost_ms))| *applied < version || lost_ms.is_some())
        .map(|(name, (applied, lost_ms))| MissingProcess {
            name,
            version: applied,
            unreachable_ms: lost_ms,
        })
        .collect();
    RolloutStatus {
        version,
        in_force: processes - missing.len(),
        processes,
        missing,
    }
}

/// Returns the status of the system as this entry knows it.
pub(crate) fn entry_status(shared: &EntryShared) -> EntryStatus {
    let now = shared.clock.now();
    let mut members: Vec<MemberStatus> = shared
        .members
        .live_members(now)
        .into_iter()
        .map(|member| MemberStatus {
            name: member.name,
            role: if member.peers.is_some() {
                "entry"
            } else {
                "sidecar"
            },
            failure_domain: member.failure_domain,
            service: None,
            operators: member.operators,
            settings: member.settings,
            leaving: member.leaving,
        })
        .collect();
    members.extend(shared.peers.all().into_iter().map(|peer| MemberStatus {
        name: peer.hello.name.as_str().into(),
        role: "sidecar",
        failure_domain: peer.hello.failure_domain.as_str().into(),
        service: Some(peer.hello.service.as_str().into()),
        operators: None,
        settings: peer.settings_version.get(),
        leaving: peer.leaving.get(),
    }));
    EntryStatus {
        entry: shared.name.clone(),
        uptime_ms: now.since(shared.started_at).as_millis() as u64,
        settings: rollout_status(shared, shared.settings.version()),
        store_down_ms: shared
            .table
            .store()
            .down_since()
            .map(|since| now.since(since).as_millis() as u64),
        drained: shared.drains.names(DrainTarget::Domain),
        drained_workers: shared.drains.names(DrainTarget::Worker),
        members,
        shards: shared.coordinator.status(now),
        requests_in_flight: shared.teams.borrow().in_flight(),
        counters: counter_values().collect(),
    }
}
