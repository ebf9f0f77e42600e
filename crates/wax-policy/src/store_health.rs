//! Estimates the state of the store from the answers that a front measures, and how long a caller
//! should wait before it submits again.

use crate::acceptance_rules::AcceptanceRules;
use crate::average::DecayedMean;
use fastrand::Rng;
use std::time::Duration;
use wax_types::TimePoint;

/// Number of times that callers submit again after a refusal.
const CALLER_RETRIES: u32 = 4;
/// Failures in a row that confirm an outage.
const MIN_FAILURES: u32 = 2;
/// A failure within this time after the end of an outage continues that outage, so that a store
/// that answers single calls does not reset the age.
const RECOVERY_TIME: Duration = Duration::from_millis(1_500);
/// Age after which measured answers are not used any more.
const MAX_ANSWER_AGE: Duration = Duration::from_secs(5);
/// Age after which a single missing answer is not reported any more.
const MAX_LOSS_AGE: Duration = Duration::from_secs(2);
/// Mean response time from which the store counts as slow. A healthy store answers within 10 ms, a
/// slow one takes a second.
const SLOW_ANSWER: Duration = Duration::from_millis(250);
/// Number of answers that the mean response time covers.
const ANSWER_WINDOW: f64 = 8.0;
/// Answers before a mean response time is used.
const MIN_ANSWERS: f64 = 3.0;

/// Result of one call to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreAnswer {
    /// The store has carried out the call, or evaluated its conditions.
    Answered,
    /// The store refused the call (503, 429); it had no effect.
    Busy,
    /// No connection could be opened; the call had no effect.
    Unreachable,
    /// No answer came; the call may take effect.
    Lost,
}

/// State of the store as seen by one front.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreState {
    /// There is no recent information, or a failure that is not confirmed yet.
    Unknown,
    /// The store answers.
    Healthy,
    /// The store answers, and takes long.
    Slow,
    /// The store answers, and single answers were lost.
    AnswersLost,
    /// The store has answered again after an outage.
    Recovering,
    /// The store refuses this front, and the owner reaches it.
    RefusesThisFront,
    /// The store refuses all calls, and no owner is known to reach it.
    Busy,
    /// The store does not answer, and no owner is known to reach it.
    Silent,
}

impl StoreState {
    /// Returns whether this front's own calls fail.
    pub fn is_outage(self) -> bool {
        matches!(self, Self::RefusesThisFront) || self.is_down()
    }

    /// Returns whether a submission cannot be stored by any route.
    pub fn is_down(self) -> bool {
        matches!(self, Self::Busy | Self::Silent)
    }
}

/// Failures without a success in between.
#[derive(Debug, Clone, Copy, PartialEq)]
struct FailureRun {
    /// When the first failed call was sent.
    failing_since: TimePoint,
    /// Start of the outage that these failures belong to.
    outage_since: TimePoint,
    failures: u32,
    last: StoreAnswer,
}

/// Outage that has ended.
#[derive(Debug, Clone, Copy, PartialEq)]
struct EndedOutage {
    since: TimePoint,
    ended_at: TimePoint,
}

/// Estimate of the store's state from measured answers.
#[derive(Debug, Clone, PartialEq)]
pub struct StoreHealth {
    failing: Option<FailureRun>,
    last_outage: Option<EndedOutage>,
    /// Since when the owner has reported that it has lost the store, too.
    owner_lost_since: Option<TimePoint>,
    response_ms: DecayedMean,
    answered_at: Option<TimePoint>,
    lost_at: Option<TimePoint>,
}

impl Default for StoreHealth {
    fn default() -> Self {
        Self {
            failing: None,
            last_outage: None,
            owner_lost_since: None,
            response_ms: DecayedMean::new(ANSWER_WINDOW),
            answered_at: None,
            lost_at: None,
        }
    }
}

impl StoreHealth {
    /// Records the result of a call that was sent at `sent_at`.
    pub fn record(&mut self, answer: StoreAnswer, sent_at: TimePoint, now: TimePoint) {
        if answer == StoreAnswer::Answered {
            self.record_success(sent_at, now);
            return;
        }
        if answer == StoreAnswer::Lost {
            self.lost_at = Some(now);
        }
        // The store has answered a call that was sent later or at the same time.
        let is_outdated = self.answered_at.is_some_and(|at| at >= sent_at);
        if is_outdated && answer != StoreAnswer::Busy {
            return;
        }
        let since = if is_outdated { now } else { sent_at };
        let resumed = self
            .last_outage
            .filter(|outage| now.since(outage.ended_at) < RECOVERY_TIME);
        let run = self.failing.get_or_insert(FailureRun {
            failing_since: since,
            outage_since: resumed.map_or(since, |outage| outage.since),
            failures: 0,
            last: answer,
        });
        run.failures += 1;
        run.last = answer;
    }

    fn record_success(&mut self, sent_at: TimePoint, now: TimePoint) {
        if let Some(run) = self.failing.take()
            && run.failures >= MIN_FAILURES
        {
            self.last_outage = Some(EndedOutage {
                since: run.outage_since,
                ended_at: now,
            });
        }
        // Response times from before a pause say nothing of the present.
        if self
            .answered_at
            .is_none_or(|at| now.since(at) > MAX_ANSWER_AGE)
        {
            self.response_ms = DecayedMean::new(ANSWER_WINDOW);
        }
        self.response_ms
            .add(now.since(sent_at).as_secs_f64() * 1_000.0);
        self.answered_at = Some(now);
    }

    /// Records whether the owner, by its own report, has lost the store. Returns whether the owner
    /// has just regained it.
    pub fn record_owner_report(&mut self, store_lost: bool, now: TimePoint) -> bool {
        let before = self.owner_lost_since;
        self.owner_lost_since = store_lost.then(|| before.unwrap_or(now));
        before.is_some() && !store_lost
    }

    /// Returns the state of the store. `has_relay` tells whether an owner that reaches the store can
    /// be reached.
    pub fn state(&self, rules: &AcceptanceRules, has_relay: bool, now: TimePoint) -> StoreState {
        if let Some(run) = self.failing {
            let is_confirmed =
                run.failures >= MIN_FAILURES && now.since(run.failing_since) >= rules.confirm_after;
            return match (is_confirmed, has_relay, run.last) {
                (false, ..) => StoreState::Unknown,
                (true, true, _) => StoreState::RefusesThisFront,
                (true, false, StoreAnswer::Busy) => StoreState::Busy,
                (true, false, _) => StoreState::Silent,
            };
        }
        let is_recent =
            |at: Option<TimePoint>, max_age| at.is_some_and(|at| now.since(at) < max_age);
        if is_recent(
            self.last_outage.map(|outage| outage.ended_at),
            RECOVERY_TIME,
        ) {
            StoreState::Recovering
        } else if is_recent(self.lost_at, MAX_LOSS_AGE) {
            StoreState::AnswersLost
        } else if !is_recent(self.answered_at, MAX_ANSWER_AGE) {
            StoreState::Unknown
        } else if self
            .expected_answer(now)
            .is_some_and(|time| time >= SLOW_ANSWER)
        {
            StoreState::Slow
        } else {
            StoreState::Healthy
        }
    }

    /// Returns the expected response time of the store; `None` without enough recent answers.
    pub fn expected_answer(&self, now: TimePoint) -> Option<Duration> {
        let is_known = self.response_ms.samples() >= MIN_ANSWERS
            && now.since(self.answered_at?) <= MAX_ANSWER_AGE;
        is_known.then(|| Duration::from_secs_f64(self.response_ms.value() / 1_000.0))
    }

    /// Returns the age of the present outage, by this front or the owner, whichever saw it first;
    /// zero while calls succeed.
    pub fn outage_age(&self, now: TimePoint) -> Duration {
        let Some(run) = self.failing else {
            return Duration::ZERO;
        };
        let owner = self.owner_lost_since.unwrap_or(run.outage_since);
        now.since(run.outage_since.min(owner))
    }

    /// Returns the retry delay for a caller that was refused `refusals` times before, with jitter.
    /// The jitter of a first refusal is in the upper half of its range, that of a later one in the
    /// lower half, so that callers that were refused earlier return earlier.
    pub fn retry_after(
        &self,
        rules: &AcceptanceRules,
        refusals: u32,
        now: TimePoint,
        rng: &mut Rng,
    ) -> Duration {
        let delay = retry_delay(rules, self.outage_age(now));
        let part = if refusals == 0 { 0.5 } else { 0.0 };
        delay.mul_f64(1.0 + rules.jitter * (part + 0.5 * rng.f64()))
    }
}

/// Returns the retry delay at this age of an outage, without jitter.
pub fn retry_delay(rules: &AcceptanceRules, age: Duration) -> Duration {
    let ramp = rules.min_retry_after + age.mul_f64(rules.growth);
    ramp.min(rules.steady_retry_after)
        .max(age / CALLER_RETRIES)
        .min(rules.max_retry_after)
        .max(rules.min_retry_after)
}

/// Returns the time until a front's next probe of a lost store, with jitter. `fronts` is the number
/// of fronts that may probe.
pub fn probe_delay(rules: &AcceptanceRules, fronts: usize, rng: &mut Rng) -> Duration {
    let share = Duration::from_secs_f64(fronts.max(1) as f64 / rules.probe_rate);
    rules
        .probe_period
        .max(share)
        .mul_f64(0.75 + 0.5 * rng.f64())
}
