//! When further copies of a call without an answer are sent.

use std::time::Duration;
use wax_types::TimePoint;

/// What to do next with a call that has no answer yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResendChoice {
    /// Send a copy now.
    Send,
    /// Wait this long for an answer, then decide again.
    Wait(Duration),
    /// The time for answers has passed: the call stays unanswered.
    GiveUp,
}

/// Schedule of the copies of one call: the delay between two copies doubles. Each delay counts from
/// the time at which the copy before was really sent, so that a process that was suspended does not
/// send several copies at once.
#[derive(Debug, Clone, Copy)]
pub struct ResendPlan {
    /// Delay after the next copy.
    delay: Duration,
    /// Time that the worker may hold back its answer to the first copy, in addition to `delay`.
    first_wait: Duration,
    due_at: TimePoint,
    ends_at: TimePoint,
    copies_left: u32,
}

impl ResendPlan {
    /// Creates the schedule of a call that is first sent at `now`. Its second copy is due after
    /// `delay`; it is given up at `ends_at`.
    pub fn new(now: TimePoint, delay: Duration, ends_at: TimePoint, max_copies: u32) -> Self {
        Self {
            delay,
            first_wait: Duration::ZERO,
            due_at: now,
            ends_at,
            copies_left: max_copies,
        }
    }

    /// Returns the same schedule for a call whose first copy the worker may answer only after
    /// `first_wait`.
    pub fn with_first_wait(self, first_wait: Duration) -> Self {
        Self { first_wait, ..self }
    }

    /// Decides what to do at `now`.
    pub fn choose(&self, now: TimePoint) -> ResendChoice {
        if now >= self.ends_at {
            ResendChoice::GiveUp
        } else if self.copies_left == 0 {
            ResendChoice::Wait(self.ends_at.since(now))
        } else if now >= self.due_at {
            ResendChoice::Send
        } else {
            ResendChoice::Wait(self.due_at.min(self.ends_at).since(now))
        }
    }

    /// Records that a copy was sent at `now`.
    pub fn note_sent(&mut self, now: TimePoint) {
        self.copies_left = self.copies_left.saturating_sub(1);
        self.due_at = now + self.delay + std::mem::take(&mut self.first_wait);
        self.delay *= 2;
    }

    /// Sends no further copies.
    pub fn stop_sending(&mut self) {
        self.copies_left = 0;
    }

    /// Returns whether no further copy is sent.
    pub fn is_exhausted(&self) -> bool {
        self.copies_left == 0
    }

    /// Returns the time until the call is given up.
    pub fn time_left(&self, now: TimePoint) -> Duration {
        self.ends_at.since(now)
    }
}
