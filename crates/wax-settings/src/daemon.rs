//! Settings file of one daemon: its role, name, addresses and limits.

use crate::files::{SettingsFile, parse_yaml};
use crate::policy::PolicySettings;
use crate::pool::PoolSettings;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;
use wax_types::WaxError;

/// Role of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ProcessRole {
    /// Accepts requests from callers and operators, routes them to upstreams, and may own shards.
    Entry,
    /// Runs next to one upstream and limits the requests that it executes concurrently.
    Sidecar,
    /// Accepts jobs from callers into queues, and may own a shard of the pool.
    Front,
    /// Runs on the VM of one worker and carries out the orders of the owner of its shard.
    Agent,
}

/// Content of the settings file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    /// Role of the daemon; decides which of the optional sections are required.
    pub role: ProcessRole,
    /// Name of the daemon, unique among the processes of the system.
    pub name: Box<str>,
    /// Region in which the daemon runs.
    pub region: Box<str>,
    /// Failure domain in which the daemon runs.
    pub failure_domain: Box<str>,
    /// Address of the platform's services and limits on calls to them.
    pub platform: PlatformSettings,
    /// Required for the role `entry`.
    pub entry: Option<EntrySettings>,
    /// Required for the role `sidecar`.
    pub sidecar: Option<SidecarSettings>,
    /// Settings of shard ownership; `None` if this daemon owns no shards.
    pub coordinator: Option<CoordinatorSettings>,
    /// Required for the roles `front` and `agent`.
    pub pool: Option<PoolSettings>,
    /// Rules of placement and pacing in the pool.
    #[serde(default)]
    pub policy: PolicySettings,
    /// Settings of logs, metrics and traces.
    #[serde(default)]
    pub logs: LogSettings,
}

/// Address of the platform and limits on calls to it.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the table service, the object store and the worker list.
    pub address: SocketAddr,
    /// Timeout for one call, milliseconds.
    #[serde(default = "defaults::call_ms")]
    pub call_ms: u32,
    /// Maximum number of concurrent calls.
    #[serde(default = "defaults::concurrency")]
    pub concurrency: u32,
}

/// Settings of the role `entry`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for operators.
    pub operators: SocketAddr,
    /// Listen address for sidecars; sidecars must be able to reach this address.
    pub peers: SocketAddr,
    /// Maximum number of concurrent caller requests.
    #[serde(default = "defaults::max_requests")]
    pub max_requests: u32,
    /// Interval at which the version of the settings tree is read from the table, milliseconds.
    #[serde(default = "defaults::settings_poll_ms")]
    pub settings_poll_ms: u32,
}

/// Settings of the role `sidecar`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SidecarSettings {
    /// Service that the upstream provides.
    pub service: Box<str>,
    /// HTTP address of the upstream.
    pub upstream: SocketAddr,
    /// Peer addresses of at least one entry; the sidecar learns the addresses of the others from
    /// it.
    pub entries: Vec<SocketAddr>,
    /// Maximum number of requests that the upstream executes concurrently.
    #[serde(default = "defaults::slots")]
    pub slots: u32,
    /// Maximum number of connections to the upstream; at least `slots`.
    #[serde(default = "defaults::connections")]
    pub connections: u32,
    /// Maximum number of requests that wait for a slot.
    #[serde(default = "defaults::queue")]
    pub queue: u32,
    /// Time without an answer from the upstream after which the connection is closed, milliseconds.
    #[serde(default = "defaults::answer_ms")]
    pub answer_ms: u32,
    /// Maximum time to finish accepted requests after a stop signal, milliseconds.
    #[serde(default = "defaults::drain_ms")]
    pub drain_ms: u32,
}

/// Settings of shard ownership.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CoordinatorSettings {
    /// Number of shards over which workers and jobs are divided. Must be equal in all processes and
    /// must never change.
    #[serde(default = "defaults::shards")]
    pub shards: u16,
    /// Interval between two writes of the membership row, milliseconds.
    #[serde(default = "defaults::heartbeat_ms")]
    pub heartbeat_ms: u32,
    /// Time without a change of its membership row after which a member is considered dead,
    /// milliseconds.
    #[serde(default = "defaults::member_ttl_ms")]
    pub member_ttl_ms: u32,
    /// Duration of a lease on a worker, milliseconds.
    #[serde(default = "defaults::lease_ms")]
    pub lease_ms: u32,
    /// Interval between two lease renewals, milliseconds.
    #[serde(default = "defaults::renew_ms")]
    pub renew_ms: u32,
    /// Time after the last confirmed contact with the store during which leases are still renewed,
    /// milliseconds.
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

/// Settings of logs, metrics and traces.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Whether log lines are JSON objects instead of plain text.
    pub json: bool,
    /// Whether log lines go to standard output instead of standard error.
    pub stdout: bool,
    /// Filter directive of `tracing-subscriber`, such as `info` or `wax_tasks=debug`.
    pub filter: Box<str>,
    /// One in this many requests without a `traceparent` header is traced; 0 disables such traces.
    pub trace_one_in: u32,
    /// StatsD address to which the counters are sent; `None` to send none.
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

/// Value of a key in the file with its inclusive bounds.
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
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// The file cannot be read, is not YAML of this structure, lacks a required section, or has a
    /// value out of its bounds.
    pub fn read(path: &Path) -> Result<Self, WaxError> {
        Self::parse(&SettingsFile::read(path)?)
    }

    /// Decodes and validates the text of a settings file.
    ///
    /// # Errors
    ///
    /// The same as for [`DaemonSettings::read`], except for a file that cannot be read.
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
