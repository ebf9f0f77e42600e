//! What an owner knows of a worker's leases, by the owner's own clock.

use std::time::Duration;
use wax_types::TimePoint;

/// Terms that bound how long a lease may outlive its last renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTimings {
    /// Term of a lease at a worker.
    pub duration: Duration,
    /// A renewal or start takes effect at the worker at most this long after it was sent.
    pub call_timeout: Duration,
    /// For the difference in the speed of two clocks.
    pub clock_margin: Duration,
    /// Renewals go on for this long after the last confirmed contact with the store.
    pub renewal_grace: Duration,
}

impl LeaseTimings {
    /// After this time without a renewal, a lease has surely lapsed.
    pub fn expiry_delay(&self) -> Duration {
        self.duration + self.call_timeout + self.clock_margin
    }
}

/// What to do about a worker now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ContactChoice {
    /// Renew the leases of its tasks.
    Renew,
    /// Ask without renewing, so that the leases run out while it does not answer.
    Probe,
    /// Every lease there has surely lapsed.
    Lapsed,
}

/// Failed renewals in a row after which no further lease is risked.
const MAX_FAILED_CALLS: u32 = 3;

/// The contact with one worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkerContact {
    /// No renewal that was sent before can hold a lease after this time.
    leases_until: TimePoint,
    failed_calls: u32,
    answered: bool,
}

impl WorkerContact {
    /// At the takeover of a shard: the owner before may renew until its grace ends.
    pub fn after_takeover(now: TimePoint, timings: &LeaseTimings) -> Self {
        Self {
            leases_until: now + timings.renewal_grace + timings.expiry_delay(),
            failed_calls: 0,
            answered: false,
        }
    }

    /// Decides what to send.
    pub fn decide(&self, now: TimePoint) -> ContactChoice {
        if self.failed_calls < MAX_FAILED_CALLS {
            ContactChoice::Renew
        } else if now < self.leases_until {
            ContactChoice::Probe
        } else {
            ContactChoice::Lapsed
        }
    }

    /// Notes that a renewal is about to be sent.
    pub fn note_renewal(&mut self, now: TimePoint, timings: &LeaseTimings) {
        self.leases_until = self.leases_until.max(now + timings.expiry_delay());
    }

    /// Notes an answer to a call that was sent at `sent`.
    pub fn note_answer(&mut self, sent: TimePoint, timings: &LeaseTimings) {
        if !self.answered {
            // The worker's runs are known now; only our own renewals count from here.
            self.leases_until = sent + timings.expiry_delay();
        }
        self.answered = true;
        self.failed_calls = 0;
    }

    /// Notes that a call failed.
    pub fn note_failure(&mut self) {
        self.failed_calls += 1;
    }

    /// Whether the worker has answered since the takeover.
    pub fn has_answered(&self) -> bool {
        self.answered
    }

    /// Whether it answered the last call.
    pub fn is_reachable(&self) -> bool {
        self.answered && self.failed_calls == 0
    }
}
