//! The settings file of one daemon: who it is and where its peers are.

use crate::files::{SettingsFile, parse_yaml};
use crate::policy::PolicySettings;
use crate::pool::PoolSettings;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;
use wax_types::WaxError;

/// What a daemon does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ProcessRole {
    /// Takes requests of callers and operators, routes them, and may own shards.
    Entry,
    /// Stands beside one upstream.
    Sidecar,
    /// Takes jobs of callers into queues, and may own a shard of them.
    Front,
    /// Stands beside one worker and carries out orders of the owner of its shard.
    Agent,
}

/// The whole file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    /// What the daemon does.
    pub role: ProcessRole,
    /// Its name, unique among the processes of the system.
    pub name: Box<str>,
    /// Its region.
    pub region: Box<str>,
    /// Its failure domain.
    pub failure_domain: Box<str>,
    /// The platform's services.
    pub platform: PlatformSettings,
    /// Needed for the role `entry`.
    pub entry: Option<EntrySettings>,
    /// Needed for the role `sidecar`.
    pub sidecar: Option<SidecarSettings>,
    /// Whether and how this daemon owns shards; absent means that it does not.
    pub coordinator: Option<CoordinatorSettings>,
    /// Needed for the roles `front` and `agent`.
    pub pool: Option<PoolSettings>,
    /// Limits and weights of the pool's decisions.
    #[serde(default)]
    pub policy: PolicySettings,
    /// Log lines, metrics and traces.
    #[serde(default)]
    pub logs: LogSettings,
}

/// Where the platform is and how it is called.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the table service, object store and list of workers.
    pub address: SocketAddr,
    /// Longest time for one call, milliseconds.
    #[serde(default = "defaults::call_ms")]
    pub call_ms: u32,
    /// Calls under way at once.
    #[serde(default = "defaults::concurrency")]
    pub concurrency: u32,
}

/// Settings of an entry.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where operators connect.
    pub operators: SocketAddr,
    /// Where sidecars connect; must be reachable under this address.
    pub peers: SocketAddr,
    /// Requests of callers under way at once.
    #[serde(default = "defaults::max_requests")]
    pub max_requests: u32,
    /// The version of the settings tree is read from the table this often, milliseconds.
    #[serde(default = "defaults::settings_poll_ms")]
    pub settings_poll_ms: u32,
}

/// Settings of a sidecar.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SidecarSettings {
    /// The service that the upstream serves.
    pub service: Box<str>,
    /// The upstream's HTTP address.
    pub upstream: SocketAddr,
    /// Some entries' peer addresses; the others are learned from them.
    pub entries: Vec<SocketAddr>,
    /// Requests that the upstream runs at once.
    #[serde(default = "defaults::slots")]
    pub slots: u32,
    /// Connections that the upstream accepts.
    #[serde(default = "defaults::connections")]
    pub connections: u32,
    /// Requests that may wait for a slot.
    #[serde(default = "defaults::queue")]
    pub queue: u32,
    /// Longest time without an answer from the upstream before its connection is given up, milliseconds.
    #[serde(default = "defaults::answer_ms")]
    pub answer_ms: u32,
    /// Longest drain after a stop is asked for, milliseconds.
    #[serde(default = "defaults::drain_ms")]
    pub drain_ms: u32,
}

/// Settings of the part that owns shards.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CoordinatorSettings {
    /// Into how many shards workers and jobs are cut; the same everywhere and never changed.
    #[serde(default = "defaults::shards")]
    pub shards: u16,
    /// The membership row is renewed this often, milliseconds.
    #[serde(default = "defaults::heartbeat_ms")]
    pub heartbeat_ms: u32,
    /// A member whose row stands still for this long is taken for dead, milliseconds.
    #[serde(default = "defaults::member_ttl_ms")]
    pub member_ttl_ms: u32,
    /// Term of a lease at a worker, milliseconds.
    #[serde(default = "defaults::lease_ms")]
    pub lease_ms: u32,
    /// Leases are renewed this often, milliseconds.
    #[serde(default = "defaults::renew_ms")]
    pub renew_ms: u32,
    /// Leases are renewed for this long after the last confirmed contact with the store, milliseconds.
    #[serde(default = "defaults::grace_ms")]
    pub grace_ms: u32,
}

impl Default for CoordinatorSettings {
    fn default() -> Self {
        Self {
            shards: defaults::shards(),
            heartbeat_ms: defaults::heartbeat_ms(),
            member_ttl_ms: defaults::member_ttl_ms(),
            lease_ms: defaults::lease_ms(),
            renew_ms: defaults::renew_ms(),
            grace_ms: defaults::grace_ms(),
        }
    }
}

/// Log lines, metrics and traces.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// One JSON object a line instead of text.
    pub json: bool,
    /// Log lines go to standard output instead of standard error.
    pub stdout: bool,
    /// Filter directive.
    pub filter: Box<str>,
    /// One in this many requests without a `traceparent` is traced; 0 for none.
    pub trace_one_in: u32,
    /// StatsD address for the counters.
    pub metrics: Option<SocketAddr>,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            json: false,
            stdout: false,
            filter: "info".into(),
            trace_one_in: 1_000,
            metrics: None,
        }
    }
}

mod defaults {
    pub(super) fn call_ms() -> u32 {
        1_000
    }
    pub(super) fn concurrency() -> u32 {
        16
    }
    pub(super) fn max_requests() -> u32 {
        4_096
    }
    pub(super) fn settings_poll_ms() -> u32 {
        1_000
    }
    pub(super) fn slots() -> u32 {
        8
    }
    pub(super) fn connections() -> u32 {
        64
    }
    pub(super) fn queue() -> u32 {
        64
    }
    pub(super) fn answer_ms() -> u32 {
        60_000
    }
    pub(super) fn drain_ms() -> u32 {
        30_000
    }
    pub(super) fn shards() -> u16 {
        4
    }
    pub(super) fn heartbeat_ms() -> u32 {
        1_000
    }
    pub(super) fn member_ttl_ms() -> u32 {
        5_000
    }
    pub(super) fn lease_ms() -> u32 {
        10_000
    }
    pub(super) fn renew_ms() -> u32 {
        2_000
    }
    pub(super) fn grace_ms() -> u32 {
        600_000
    }
}

/// A number in the file and the bounds that it must keep.
pub(crate) struct BoundCheck {
    key: &'static str,
    value: u64,
    min: u64,
    max: u64,
}

pub(crate) const fn bound(key: &'static str, value: u64, min: u64, max: u64) -> BoundCheck {
    BoundCheck {
        key,
        value,
        min,
        max,
    }
}

impl DaemonSettings {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// The file is missing, is not YAML of this shape, or breaks a bound.
    pub fn read(path: &Path) -> Result<Self, WaxError> {
        Self::parse(&SettingsFile::read(path)?)
    }

    /// Decodes and checks the text of a file.
    ///
    /// # Errors
    ///
    /// As for [`DaemonSettings::read`], but for the missing file.
    pub fn parse(file: &SettingsFile) -> Result<Self, WaxError> {
        let settings: Self = parse_yaml(file)?;
        settings.check_sections(file)?;
        for check in settings.bounds() {
            check_bound(file, &check)?;
        }
        settings.check_timings(file)?;
        Ok(settings)
    }

    fn check_sections(&self, file: &SettingsFile) -> Result<(), WaxError> {
        let missing = match self.role {
            ProcessRole::Entry => self.entry.is_none().then_some("entry"),
            ProcessRole::Sidecar => self.sidecar.is_none().then_some("sidecar"),
            ProcessRole::Front | ProcessRole::Agent => self.pool.is_none().then_some("pool"),
        };
        if let Some(section) = missing {
            let help = format!("add a section `{section}:` with its addresses");
            return Err(file.key_error(
                "role",
                format!("the section `{section}` is missing"),
                &help,
            ));
        }
        if let Some(key) = self
            .pool
            .as_ref()
            .and_then(|pool| pool.missing_key(self.role))
        {
            let help = "a front needs callers and readiness, an agent check_ins and worker";
            return Err(file.key_error(key, "the key is missing", help));
        }
        if self.name.is_empty() || self.name.contains('/') {
            return Err(file.key_error("name", "expected a name without `/`", "name the process"));
        }
        if let Some(sidecar) = &self.sidecar
            && sidecar.entries.is_empty()
        {
            let help = "list the peer address of one entry or more";
            return Err(file.key_error("sidecar.entries", "the list is empty", help));
        }
        Ok(())
    }

    fn bounds(&self) -> Vec<BoundCheck> {
        let platform = &self.platform;
        let mut checks = vec![
            bound("platform.call_ms", platform.call_ms.into(), 10, 60_000),
            bound("platform.concurrency", platform.concurrency.into(), 1, 256),
        ];
        if let Some(entry) = &self.entry {
            checks.push(bound(
                "entry.max_requests",
                entry.max_requests.into(),
                1,
                100_000,
            ));
            checks.push(bound(
                "entry.settings_poll_ms",
                entry.settings_poll_ms.into(),
                50,
                2_000,
            ));
        }
        if let Some(sidecar) = &self.sidecar {
            checks.push(bound("sidecar.slots", sidecar.slots.into(), 1, 1_024));
            checks.push(bound(
                "sidecar.connections",
                sidecar.connections.into(),
                sidecar.slots.into(),
                65_535,
            ));
            checks.push(bound("sidecar.queue", sidecar.queue.into(), 0, 10_000));
            checks.push(bound(
                "sidecar.answer_ms",
                sidecar.answer_ms.into(),
                10,
                3_600_000,
            ));
            checks.push(bound(
                "sidecar.drain_ms",
                sidecar.drain_ms.into(),
                0,
                3_600_000,
            ));
        }
        if let Some(pool) = &self.pool {
            checks.extend(pool.bounds());
        }
        if let Some(coordinator) = &self.coordinator {
            checks.extend(coordinator.bounds());
        }
        checks
    }

    fn check_timings(&self, file: &SettingsFile) -> Result<(), WaxError> {
        let Some(coordinator) = &self.coordinator else {
            return Ok(());
        };
        if coordinator.renew_ms * 2 > coordinator.lease_ms {
            let help = "let a lease outlast one lost renewal: at most half of lease_ms";
            return Err(file.key_error("coordinator.renew_ms", "too long for lease_ms", help));
        }
        if coordinator.heartbeat_ms * 2 > coordinator.member_ttl_ms {
            let help = "at most half of member_ttl_ms";
            return Err(file.key_error(
                "coordinator.heartbeat_ms",
                "too long for member_ttl_ms",
                help,
            ));
        }
        let takeover_ms =
            coordinator.member_ttl_ms + 2 * coordinator.heartbeat_ms + coordinator.renew_ms;
        if takeover_ms > coordinator.lease_ms {
            let label = format!("shorter than a takeover, which takes {takeover_ms} ms");
            let help = "at least member_ttl_ms + 2 * heartbeat_ms + renew_ms, so that the next \
                        owner renews the leases of running tasks before they lapse";
            return Err(file.key_error("coordinator.lease_ms", label, help));
        }
        Ok(())
    }
}

impl CoordinatorSettings {
    fn bounds(&self) -> [BoundCheck; 6] {
        [
            bound("coordinator.shards", self.shards.into(), 1, 4_096),
            bound(
                "coordinator.heartbeat_ms",
                self.heartbeat_ms.into(),
                20,
                60_000,
            ),
            bound(
                "coordinator.member_ttl_ms",
                self.member_ttl_ms.into(),
                100,
                600_000,
            ),
            bound("coordinator.lease_ms", self.lease_ms.into(), 100, 600_000),
            bound("coordinator.renew_ms", self.renew_ms.into(), 20, 300_000),
            bound("coordinator.grace_ms", self.grace_ms.into(), 0, 86_400_000),
        ]
    }
}

fn check_bound(file: &SettingsFile, check: &BoundCheck) -> Result<(), WaxError> {
    if (check.min..=check.max).contains(&check.value) {
        return Ok(());
    }
    let label = format!(
        "{} is out of range, expected {} to {}",
        check.value, check.min, check.max
    );
    Err(file.key_error(
        check.key,
        label,
        "docs/SETTINGS.md gives the bounds of every key",
    ))
}
