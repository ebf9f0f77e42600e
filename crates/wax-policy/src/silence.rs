//! How long a peer has been silent, by the time in which the observer was running.

use std::time::Duration;
use wax_types::TimePoint;

/// A longer time between two checks shows that the observer was suspended: a call that is given up
/// takes at most 1.05 s.
const MAX_CHECK_GAP: Duration = Duration::from_millis(1_500);

/// Time of the last answer of a peer. Time in which the observer was suspended does not count as
/// silence, because the answers of that time have not been read yet.
#[derive(Debug, Clone, Copy)]
pub struct SilenceClock {
    answered_at: TimePoint,
    silent_from: TimePoint,
    checked_at: TimePoint,
}

impl SilenceClock {
    /// Creates the clock of a peer that has just answered.
    pub fn new(now: TimePoint) -> Self {
        Self {
            answered_at: now,
            silent_from: now,
            checked_at: now,
        }
    }

    /// Records an answer.
    pub fn note_answer(&mut self, now: TimePoint) {
        self.answered_at = now;
        self.silent_from = now;
        self.checked_at = now;
    }

    /// Returns when the peer answered last.
    pub fn answered_at(&self) -> TimePoint {
        self.answered_at
    }

    /// Returns whether the peer has been silent for `limit`, and records the check.
    pub fn is_silent(&mut self, now: TimePoint, limit: Duration) -> bool {
        if now.since(self.checked_at) > MAX_CHECK_GAP {
            self.silent_from = now;
        }
        self.checked_at = now;
        now.since(self.silent_from) >= limit
    }
}
