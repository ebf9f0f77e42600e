//! Recent response times of one worker, and the time after which a call counts as unanswered.

use std::collections::VecDeque;
use std::time::Duration;
use wax_types::TimePoint;

/// Number of the latest answers that are kept.
const MAX_ANSWERS: usize = 64;
/// Number of the latest losses that are kept.
const MAX_LOSSES: usize = 16;
/// With fewer answers the estimate is not used.
const MIN_ANSWERS: usize = 8;
/// Answers older than this are not used.
const MAX_AGE: Duration = Duration::from_secs(30);
/// Quantile of the response times from which the time-out is derived.
const QUANTILE: f64 = 0.95;
/// The time-out as a multiple of the quantile, so that the slowest answers of a worker without
/// losses arrive before it.
const QUANTILE_FACTOR: u32 = 3;
/// A worker begins to count as losing calls from this number of losses within [`LOSS_WINDOW`] on. Single
/// losses also occur when a worker pauses briefly.
const MIN_LOSSES: usize = 3;
/// Time for which a loss counts.
const LOSS_WINDOW: Duration = Duration::from_secs(3);

/// Response times of the latest answers of one worker, and its latest losses.
#[derive(Debug, Clone, Default)]
pub struct AnswerTimes {
    answers: VecDeque<(TimePoint, Duration)>,
    losses: VecDeque<TimePoint>,
}

impl AnswerTimes {
    /// Records an answer that arrived at `now`, after `elapsed`.
    pub fn record_answer(&mut self, now: TimePoint, elapsed: Duration) {
        if self.answers.len() >= MAX_ANSWERS {
            self.answers.pop_front();
        }
        self.answers.push_back((now, elapsed));
    }

    /// Records that a call, or one copy of it, was given up without an answer.
    pub fn record_loss(&mut self, now: TimePoint) {
        if self.losses.len() >= MAX_LOSSES {
            self.losses.pop_front();
        }
        self.losses.push_back(now);
    }

    /// Returns the time without an answer after which a call is sent again, from `floor` to
    /// `ceiling`. `None` if there are too few recent answers.
    pub fn resend_after(
        &self,
        now: TimePoint,
        floor: Duration,
        ceiling: Duration,
    ) -> Option<Duration> {
        let recent = self.answers.iter();
        let mut recent: Vec<Duration> = recent
            .filter(|(answered_at, _)| now.since(*answered_at) <= MAX_AGE)
            .map(|(_, elapsed)| *elapsed)
            .collect();
        if recent.len() < MIN_ANSWERS {
            return None;
        }
        recent.sort_unstable();
        let index = ((recent.len() - 1) as f64 * QUANTILE).ceil() as usize;
        let limit = recent[index].saturating_mul(QUANTILE_FACTOR);
        Some(limit.max(floor).min(ceiling))
    }

    /// Returns whether the worker loses calls: it begins with several recent losses and lasts until
    /// there is none, so that the result does not change with each call.
    pub fn is_losing_calls(&self, now: TimePoint, was_losing: bool) -> bool {
        let required = if was_losing { 1 } else { MIN_LOSSES };
        let recent = self.losses.iter();
        recent
            .filter(|lost_at| now.since(**lost_at) <= LOSS_WINDOW)
            .count()
            >= required
    }
}
