//! Section `pool` of the settings file: settings of the roles `front` and `agent`.

use crate::daemon::{BoundCheck, ProcessRole, bound};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Addresses on which a process of the pool listens, addresses that it calls, and time limits.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolSettings {
    /// Listen address for other processes of the pool; all VMs must use the same port.
    pub peers: SocketAddr,
    /// Addresses of some fronts, used to find the others. The ports are ignored, and the addresses
    /// may be stale.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Listen address of a front for callers; required for fronts.
    pub callers: Option<SocketAddr>,
    /// Listen address of a front for the load balancer's readiness probe; required for fronts.
    pub readiness: Option<SocketAddr>,
    /// Listen address of an agent for the worker's check-ins; required for agents.
    pub check_ins: Option<SocketAddr>,
    /// Address at which an agent sends orders to the worker; required for agents.
    pub worker: Option<SocketAddr>,
    /// Listen address for metrics: counters and latency histograms. `None` serves no metrics.
    pub metrics: Option<SocketAddr>,
    /// Address of the platform's placement advisor; `None` if the platform has none.
    pub advisor: Option<SocketAddr>,
    /// Address of the platform's VM list.
    #[serde(rename = "machines")]
    pub vm_list: Option<SocketAddr>,
    /// Capacity of the VM on which a front runs.
    #[serde(rename = "machine", default)]
    pub vm: VmSettings,
    /// Longest lease that a worker accepts, milliseconds.
    #[serde(rename = "most_lease_ms", default = "defaults::max_lease_ms")]
    pub max_lease_ms: u32,
    /// Time for which an ended job can still be queried, seconds.
    #[serde(default = "defaults::keep_ended_s")]
    pub keep_ended_s: u32,
    /// Time between SIGTERM and the forced end of the process, seconds.
    #[serde(default = "defaults::stop_grace_s")]
    pub stop_grace_s: u32,
    /// Time after the acknowledgement of a drain from which nothing starts in the failure domain,
    /// milliseconds. `None` sets no bound: a process applies the drain when it learns of it.
    pub drain_bound_ms: Option<u32>,
    /// Time after the store's acknowledgement within which a change of the operator's config is in
    /// force at a front, milliseconds. `None` sets no bound.
    pub config_bound_ms: Option<u32>,
}

/// Capacity of a VM. Fronts on VMs with more capacity are preferred as owners of the shard. Where a
/// value is `None`, that of a typical VM is assumed.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmSettings {
    /// Share of a core that the VM may use; multiplied by `cores`.
    pub cpu_share: Option<f64>,
    /// Speed of that core relative to a standard core.
    pub cores: Option<f64>,
    /// Bandwidth of the network link, megabits per second.
    pub link_mbps: Option<f64>,
    /// Memory, mebibytes.
    pub memory_mb: Option<f64>,
    /// File descriptors that the process may open; `None` for its own limit (`RLIMIT_NOFILE`).
    pub descriptors: Option<u32>,
}

mod defaults {
    pub(super) fn max_lease_ms() -> u32 {
        10_000
    }
    pub(super) fn keep_ended_s() -> u32 {
        120
    }
    pub(super) fn stop_grace_s() -> u32 {
        6
    }
}

impl PoolSettings {
    /// Returns the peer addresses of the seeds: the IP addresses of `seeds` with the port of
    /// `peers`.
    pub fn peer_seeds(&self) -> Vec<SocketAddr> {
        let peer = |seed: &SocketAddr| SocketAddr::new(seed.ip(), self.peers.port());
        self.seeds.iter().map(peer).collect()
    }

    /// Returns the longest lease that a worker accepts.
    pub fn max_lease(&self) -> Duration {
        Duration::from_millis(self.max_lease_ms.into())
    }

    /// Returns the time after the acknowledgement of a drain from which nothing starts in the
    /// failure domain; `None` without a bound.
    pub fn drain_bound(&self) -> Option<Duration> {
        self.drain_bound_ms
            .map(|bound| Duration::from_millis(bound.into()))
    }

    /// Returns the time after the acknowledgement of a config change within which the change is in
    /// force; `None` without a bound.
    pub fn config_bound(&self) -> Option<Duration> {
        self.config_bound_ms
            .map(|bound| Duration::from_millis(bound.into()))
    }

    /// Returns the first key that the role requires and the file lacks.
    pub(crate) fn missing_key(&self, role: ProcessRole) -> Option<&'static str> {
        match role {
            ProcessRole::Front if self.callers.is_none() => Some("pool.callers"),
            ProcessRole::Front if self.readiness.is_none() => Some("pool.readiness"),
            ProcessRole::Agent if self.check_ins.is_none() => Some("pool.check_ins"),
            ProcessRole::Agent if self.worker.is_none() => Some("pool.worker"),
            _ => None,
        }
    }

    pub(crate) fn bounds(&self) -> Vec<BoundCheck> {
        let drain = self.drain_bound_ms;
        // With a bound of less than 3 s, even a view of the drains that was read just now would be
        // too old to start a task.
        let drain =
            drain.map(|bound_ms| bound("pool.drain_bound_ms", bound_ms.into(), 3_000, 600_000));
        // With a bound of less than 500 ms, the platform's store would be read more than eight times
        // per second.
        let config = self
            .config_bound_ms
            .map(|bound_ms| bound("pool.config_bound_ms", bound_ms.into(), 500, 600_000));
        let required = [
            bound(
                "pool.most_lease_ms",
                self.max_lease_ms.into(),
                1_000,
                600_000,
            ),
            bound("pool.keep_ended_s", self.keep_ended_s.into(), 1, 86_400),
            bound("pool.stop_grace_s", self.stop_grace_s.into(), 1, 3_600),
        ];
        required.into_iter().chain(drain).chain(config).collect()
    }
}
