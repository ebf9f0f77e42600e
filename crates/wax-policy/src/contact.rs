//! Tracks, by the owner's own clock, until when a worker's leases may be valid, and whether the
//! owner may renew them.

use std::time::Duration;
use wax_types::TimePoint;

/// Durations that determine how long a lease may be valid after its last renewal was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTimings {
    /// Duration of a lease at the worker.
    pub duration: Duration,
    /// Time after which a renewal or start that has been sent can no longer take effect at the
    /// worker.
    pub call_timeout: Duration,
    /// Allowance for clocks that run at different speeds.
    pub clock_margin: Duration,
    /// Time for which an owner continues to send renewals after its last confirmed contact with the
    /// store.
    pub renewal_grace: Duration,
}

impl LeaseTimings {
    /// Returns the time after the last renewal at which a lease is known to have expired.
    pub fn expiry_delay(&self) -> Duration {
        self.duration + self.call_timeout + self.clock_margin
    }
}

/// Call that the owner makes to a worker now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ContactChoice {
    /// Renew the leases of the worker's tasks.
    Renew,
    /// Call the worker without renewing, so that its leases expire if it does not answer.
    Probe,
    /// All leases on the worker are known to have expired.
    Lapsed,
}

/// Consecutive failed calls after which the owner sends no renewals until the worker answers.
const MAX_FAILED_CALLS: u32 = 3;

/// State of the contact with one worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkerContact {
    /// Time after which no renewal sent so far can keep a lease valid.
    leases_until: TimePoint,
    failed_calls: u32,
    answered: bool,
}

impl WorkerContact {
    /// Creates the state at the takeover of a shard. The former owner may have sent renewals until
    /// its grace ended.
    pub fn after_takeover(now: TimePoint, timings: &LeaseTimings) -> Self {
        Self {
            leases_until: now + timings.renewal_grace + timings.expiry_delay(),
            failed_calls: 0,
            answered: false,
        }
    }

    /// Decides which call to make now.
    pub fn decide(&self, now: TimePoint) -> ContactChoice {
        if self.failed_calls < MAX_FAILED_CALLS {
            ContactChoice::Renew
        } else if now < self.leases_until {
            ContactChoice::Probe
        } else {
            ContactChoice::Lapsed
        }
    }

    /// Records that a renewal is about to be sent.
    pub fn record_renewal(&mut self, now: TimePoint, timings: &LeaseTimings) {
        self.leases_until = self.leases_until.max(now + timings.expiry_delay());
    }

    /// Records an answer to a call that was sent at `sent`.
    pub fn record_answer(&mut self, sent: TimePoint, timings: &LeaseTimings) {
        if !self.answered {
            // The first answer tells which runs the worker has and fences the former owner, so only
            // renewals by this owner count from here on.
            self.leases_until = sent + timings.expiry_delay();
        }
        self.answered = true;
        self.failed_calls = 0;
    }

    /// Records a failed call.
    pub fn record_failure(&mut self) {
        self.failed_calls += 1;
    }

    /// Returns whether the worker has answered since the takeover.
    pub fn has_answered(&self) -> bool {
        self.answered
    }

    /// Returns whether the worker answered the last call.
    pub fn is_reachable(&self) -> bool {
        self.answered && self.failed_calls == 0
    }
}
