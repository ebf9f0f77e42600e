//! The spans of time that ownership keeps; all are counted on a clock that suspension does not stop.

use std::time::Duration;

/// Spans of one shard's ownership.
#[derive(Debug, Clone, Copy)]
pub struct OwnerTimeouts {
    /// A candidate takes over from an owner whose link is silent when the beat row has stood still
    /// for this long.
    pub takeover_if_unreachable: Duration,
    /// The same for an owner that still answers on its link: its store may only be slow, and a takeover
    /// would be one more load on it.
    pub takeover_if_reachable: Duration,
    /// Fronts look at the beat row themselves once the owner's store has been silent for this long.
    pub store_suspected: Duration,
    /// An owner acts for this long after the store last confirmed its term.
    pub term_validity: Duration,
    /// An agent's authority reaches this far beyond its heartbeat.
    pub grant: Duration,
    /// An agent extends leases this long beyond its authority.
    pub lease_grace: Duration,
    /// Room for clocks that differ by some hundredths.
    pub clock_slack: Duration,
    /// The beat row is written at least this often.
    pub heartbeat_interval: Duration,
    /// Ends are written at least this often.
    pub flush_interval: Duration,
    /// A link without a heartbeat for this long is closed.
    pub link: Duration,
}

impl Default for OwnerTimeouts {
    fn default() -> Self {
        Self {
            takeover_if_unreachable: Duration::from_millis(900),
            takeover_if_reachable: Duration::from_millis(2_200),
            store_suspected: Duration::from_millis(1_400),
            term_validity: Duration::from_millis(6_000),
            grant: Duration::from_millis(2_500),
            lease_grace: Duration::from_millis(6_000),
            clock_slack: Duration::from_millis(500),
            heartbeat_interval: Duration::from_millis(600),
            flush_interval: Duration::from_millis(250),
            link: Duration::from_millis(2_500),
        }
    }
}

impl OwnerTimeouts {
    /// After the last grant to an agent, everything on its worker has lapsed by then.
    pub fn expiry_after_grant(&self) -> Duration {
        self.lease_grace + self.clock_slack
    }

    /// After a takeover from an owner that surely acts no more, as it let go or its process is
    /// dead, everything on a worker that the new owner has not heard of has lapsed.
    pub fn expiry_after_release(&self) -> Duration {
        self.grant + self.expiry_after_grant()
    }

    /// After a takeover, everything on a worker that the new owner has not heard of has lapsed.
    pub fn expiry_after_takeover(&self) -> Duration {
        self.term_validity + self.grant + self.expiry_after_grant()
    }
}
