//! The spans of time that ownership keeps; all are counted on a clock that suspension does not stop.

use std::time::Duration;

/// Spans of one shard's ownership.
#[derive(Debug, Clone, Copy)]
pub struct OwnerSpans {
    /// A candidate takes over from an owner whose link is silent when the beat row has stood still
    /// for this long.
    pub silence: Duration,
    /// The same for an owner that still answers on its link: its store may only be slow, and a takeover
    /// would be one more load on it.
    pub patience: Duration,
    /// Fronts look at the beat row themselves once the owner's store has been silent for this long.
    pub doubt: Duration,
    /// An owner acts for this long after the store last confirmed its term.
    pub acting: Duration,
    /// An agent's authority reaches this far beyond its heartbeat.
    pub grant: Duration,
    /// An agent extends leases this long beyond its authority.
    pub lease_grace: Duration,
    /// Room for clocks that differ by some hundredths.
    pub slack: Duration,
    /// The beat row is written at least this often.
    pub beat: Duration,
    /// Ends are written at least this often.
    pub flush: Duration,
    /// A link without a heartbeat for this long is closed.
    pub link: Duration,
}

impl Default for OwnerSpans {
    fn default() -> Self {
        Self {
            silence: Duration::from_millis(900),
            patience: Duration::from_millis(2_200),
            doubt: Duration::from_millis(1_400),
            acting: Duration::from_millis(6_000),
            grant: Duration::from_millis(2_500),
            lease_grace: Duration::from_millis(6_000),
            slack: Duration::from_millis(500),
            beat: Duration::from_millis(600),
            flush: Duration::from_millis(250),
            link: Duration::from_millis(2_500),
        }
    }
}

impl OwnerSpans {
    /// After the last grant to an agent, everything on its worker has lapsed by then.
    pub fn lapse_after_grant(&self) -> Duration {
        self.lease_grace + self.slack
    }

    /// After a takeover from an owner that surely acts no more, as it let go or its process is
    /// dead, everything on a worker that the new owner has not heard of has lapsed.
    pub fn lapse_after_release(&self) -> Duration {
        self.grant + self.lapse_after_grant()
    }

    /// After a takeover, everything on a worker that the new owner has not heard of has lapsed.
    pub fn lapse_after_takeover(&self) -> Duration {
        self.acting + self.grant + self.lapse_after_grant()
    }
}
