//! Durations that govern ownership. All are measured on a clock that keeps running while the VM is
//! suspended.

use std::time::Duration;
use wax_policy::max_lease_time;

/// Durations that govern the ownership of one shard.
#[derive(Debug, Clone, Copy)]
pub struct OwnerTimeouts {
    /// A candidate whose link to the owner is silent takes over once the heartbeat row has been
    /// unchanged for this long.
    pub takeover_if_unreachable: Duration,
    /// A candidate that still gets answers on its link to the owner takes over once the heartbeat
    /// row has been unchanged for this long. The limit is longer because the store may only be
    /// slow, and a takeover would add to its load.
    pub takeover_if_reachable: Duration,
    /// Once the store has not confirmed the term for this long, the owner reports to fronts that it
    /// has lost the store, and they read the heartbeat row themselves.
    pub store_suspected: Duration,
    /// The owner gives orders for this long after the store last confirmed its term.
    pub term_validity: Duration,
    /// Longest time after a heartbeat for which the owner grants authority to an agent.
    pub grant: Duration,
    /// An agent extends leases by this much beyond the end of its authority.
    pub lease_grace: Duration,
    /// Longest lease that a worker grants, on its own clock.
    pub longest_lease: Duration,
    /// Margin for clocks whose rates differ by a few percent.
    pub clock_slack: Duration,
    /// Longest time between two writes of the heartbeat row.
    pub heartbeat_period: Duration,
    /// Longest delay before progress that is not urgent, such as ends of runs, is written.
    pub flush_period: Duration,
    /// A link without a message for this long is closed.
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
            longest_lease: Duration::from_millis(10_000),
            clock_slack: Duration::from_millis(500),
            heartbeat_period: Duration::from_millis(600),
            flush_period: Duration::from_millis(250),
            link: Duration::from_millis(2_500),
        }
    }
}

impl OwnerTimeouts {
    /// Returns how long after the last grant to an agent all leases on its worker have expired.
    pub fn expiry_after_grant(&self) -> Duration {
        self.lease_grace + self.clock_slack
    }

    /// Returns how long after a moment all leases that a worker granted before it have expired,
    /// whoever sent the calls and for which boot.
    pub fn expiry_of_any_lease(&self) -> Duration {
        max_lease_time(self.longest_lease) + self.clock_slack
    }

    /// Returns how long after a takeover all leases on a worker that has not reported to the new
    /// owner have expired, if the former owner has released the shard or its process has ended.
    pub fn expiry_after_release(&self) -> Duration {
        self.grant + self.expiry_after_grant()
    }

    /// Returns how long after a takeover all leases on a worker that has not reported to the new
    /// owner have expired, if the former owner may still be acting.
    pub fn expiry_after_takeover(&self) -> Duration {
        self.term_validity + self.grant + self.expiry_after_grant()
    }

    /// Returns how long after a takeover all leases on a worker that has not reported to the new
    /// owner have expired. The worker may hold a lease that no grant of the former owner bounds.
    pub fn expiry_of_unreported(&self, former_owner_ended: bool) -> Duration {
        let by_grants = if former_owner_ended {
            self.expiry_after_release()
        } else {
            self.expiry_after_takeover()
        };
        by_grants.max(self.expiry_of_any_lease())
    }
}
