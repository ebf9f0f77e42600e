//! Circuit breaker for calls to the store.

use crate::backoff::BackoffPlan;
use fastrand::Rng;
use std::time::Duration;
use wax_types::TimePoint;

/// Consecutive failures after which the store counts as down.
const FAILURES_TO_OPEN: u32 = 3;
const PROBE_FLOOR: Duration = Duration::from_millis(100);
const PROBE_CEILING: Duration = Duration::from_secs(2);

/// Whether a call to the store is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BreakerChoice {
    /// Send the call.
    Send,
    /// Refuse the call; the next probe is due after this time.
    Refuse(Duration),
}

/// Circuit breaker that opens after consecutive failures. While it is open, it
/// lets single calls through as probes, with exponential backoff between them.
#[derive(Debug, Clone)]
pub struct StoreBreaker {
    failures: u32,
    down_since: Option<TimePoint>,
    next_probe: TimePoint,
    backoff: BackoffPlan,
}

impl Default for StoreBreaker {
    fn default() -> Self {
        Self {
            failures: 0,
            down_since: None,
            next_probe: TimePoint::default(),
            backoff: BackoffPlan::new(PROBE_FLOOR, PROBE_CEILING),
        }
    }
}

impl StoreBreaker {
    /// Decides whether a call is sent. A call that is sent as a probe delays the next probe.
    pub fn check(&mut self, now: TimePoint, rng: &mut Rng) -> BreakerChoice {
        if self.down_since.is_none() {
            return BreakerChoice::Send;
        }
        if now < self.next_probe {
            return BreakerChoice::Refuse(self.next_probe.since(now));
        }
        self.next_probe = now + self.backoff.next_delay(rng);
        BreakerChoice::Send
    }

    /// Records that a call was answered, which closes the breaker.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.down_since = None;
        self.backoff.reset();
    }

    /// Records that a call failed or timed out; returns whether this failure opened the breaker.
    pub fn record_failure(&mut self, now: TimePoint, rng: &mut Rng) -> bool {
        self.failures += 1;
        if self.down_since.is_some() || self.failures < FAILURES_TO_OPEN {
            return false;
        }
        self.down_since = Some(now);
        self.next_probe = now + self.backoff.next_delay(rng);
        true
    }

    /// Returns the time since which the store counts as down; `None` while it is up.
    pub fn down_since(&self) -> Option<TimePoint> {
        self.down_since
    }
}
