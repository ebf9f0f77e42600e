//! Settings of the roles `front` and `agent`.

use crate::daemon::{BoundCheck, ProcessRole, bound};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Where a process of the pool listens, whom it calls, and the spans it keeps.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolSettings {
    /// Where other processes of the pool connect; the port is the same on all machines.
    pub peers: SocketAddr,
    /// Addresses of some fronts, of any port; they may be stale.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Front: where callers connect.
    pub callers: Option<SocketAddr>,
    /// Front: where the balancer asks whether it takes connections.
    pub readiness: Option<SocketAddr>,
    /// Agent: where the worker checks in.
    pub check_ins: Option<SocketAddr>,
    /// Agent: where the worker takes orders.
    pub worker: Option<SocketAddr>,
    /// Where counters and histograms are served.
    pub metrics: Option<SocketAddr>,
    /// Where workers are asked for that a queue's policy allows.
    pub advisor: Option<SocketAddr>,
    /// The platform's list of machines.
    #[serde(rename = "machines")]
    pub vm_list: Option<SocketAddr>,
    /// Front: what this machine has.
    #[serde(rename = "machine", default)]
    pub vm: VmSettings,
    /// Longest lease that a worker takes, milliseconds.
    #[serde(rename = "most_lease_ms", default = "defaults::max_lease_ms")]
    pub max_lease_ms: u32,
    /// How long a job that has ended can still be asked for, seconds.
    #[serde(default = "defaults::keep_ended_s")]
    pub keep_ended_s: u32,
    /// After SIGTERM the process is killed after this, seconds.
    #[serde(default = "defaults::stop_grace_s")]
    pub stop_grace_s: u32,
    /// Nothing starts in a drained failure domain so long after the drain, milliseconds; without it a
    /// drain holds from when it is heard of.
    pub drain_bound_ms: Option<u32>,
    /// Front: a change of the config is in force so long after the store has acknowledged it, milliseconds.
    pub config_bound_ms: Option<u32>,
}

/// What a machine has: strong ones own the shard first.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmSettings {
    /// The share of a core.
    pub cpu_share: Option<f64>,
    /// How many times as fast that core is.
    pub cores: Option<f64>,
    /// Its link, megabits a second.
    pub link_mbps: Option<f64>,
    /// Its memory, mebibytes.
    pub memory_mb: Option<f64>,
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
    /// The seeds' peer addresses: their machines with our own port.
    pub fn peer_seeds(&self) -> Vec<SocketAddr> {
        let peer = |seed: &SocketAddr| SocketAddr::new(seed.ip(), self.peers.port());
        self.seeds.iter().map(peer).collect()
    }

    /// By when nothing starts in a drained failure domain any more, from the drain's acknowledgement.
    pub fn drain_bound(&self) -> Option<Duration> {
        self.drain_bound_ms
            .map(|bound| Duration::from_millis(bound.into()))
    }

    /// By when a change of the config is in force, from its acknowledgement.
    pub fn config_bound(&self) -> Option<Duration> {
        self.config_bound_ms
            .map(|bound| Duration::from_millis(bound.into()))
    }

    /// A key that the role needs and that is not there.
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
        // Below this not even a view that was read just now would do.
        let drain =
            drain.map(|bound_ms| bound("pool.drain_bound_ms", bound_ms.into(), 3_000, 600_000));
        // Below this the platform's store would be asked more often than eight times a second.
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
