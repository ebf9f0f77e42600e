//! What a front knows of the store's state, and the refusals that follow from it.

use crate::state::{FrontState, STORE_RETRY_AFTER};
use fastrand::Rng;
use platform::CallError;
use std::time::Duration;
use wax_batch::JobName;
use wax_policy::{StoreAnswer, StoreState};
use wax_trace::{Counter, count};
use wax_types::{ErrorKind, Step, TimePoint, WaxError};

impl FrontState {
    /// Records the result of a call to the store that was sent at `sent_at`.
    pub(crate) fn record_store_call(&self, answer: StoreAnswer, sent_at: TimePoint) {
        self.note_store_answer(answer == StoreAnswer::Answered);
        if !self.acceptance.get().is_enabled() {
            return;
        }
        let now = self.shared.now();
        self.health.borrow_mut().record(answer, sent_at, now);
        self.log_store_state();
    }

    /// Records whether the owner, by its report, has lost the store. If the owner has it again, the
    /// store is probed at once.
    pub(crate) fn record_owner_report(&self, store_lost: bool) {
        if !self.acceptance.get().is_enabled() {
            return;
        }
        let now = self.shared.now();
        let mut health = self.health.borrow_mut();
        if health.record_owner_report(store_lost, now) {
            self.probe_due.notify(usize::MAX);
        }
        drop(health);
        self.log_store_state();
    }

    /// Returns the present state of the store.
    pub(crate) fn store_state(&self) -> StoreState {
        let rules = self.acceptance.get();
        let now = self.shared.now();
        let has_relay = self.is_owner_reachable();
        self.health.borrow().state(&rules, has_relay, now)
    }

    /// Returns whether the store is known to be unavailable by any route. Always `false` while the
    /// rules of acceptance are off.
    pub(crate) fn is_store_down(&self) -> bool {
        self.acceptance.get().is_enabled() && self.store_state().is_down()
    }

    /// Returns whether a slow store is expected to answer only after `deadline`.
    pub(crate) fn is_store_too_slow(&self, deadline: TimePoint) -> bool {
        let now = self.shared.now();
        let expected = self.health.borrow().expected_answer(now);
        self.store_state() == StoreState::Slow && expected.is_some_and(|time| now + time > deadline)
    }

    /// Returns the retry delay for a caller that this front refused `refusals` times before.
    pub(crate) fn store_retry_after(&self, refusals: u32) -> Duration {
        let rules = self.acceptance.get();
        if !rules.is_enabled() {
            return STORE_RETRY_AFTER;
        }
        let now = self.shared.now();
        let health = self.health.borrow();
        health.retry_after(&rules, refusals, now, &mut Rng::new())
    }

    /// Returns the refusal of a submission that was not stored and will not be stored. If an earlier
    /// transaction may still store the job, the result is unknown instead.
    pub(crate) fn refuse_job(&self, job: JobName, text: &str) -> WaxError {
        let now = self.shared.now();
        if !self.acceptance.get().is_enabled() {
            return not_stored(STORE_RETRY_AFTER, text);
        }
        if self.refusals.borrow().is_unresolved(job.0, now) {
            let text = format!("an earlier submission may still be stored; {text}");
            return unknown_outcome(&text);
        }
        let refusals = self.refusals.borrow_mut().record(job.0, now);
        not_stored(self.store_retry_after(refusals), text)
    }

    /// Returns the refusal of a submission without any call to the store.
    pub(crate) fn refuse_job_at_once(&self, job: JobName) -> WaxError {
        count(Counter::JobsRefusedAtOnce);
        self.refuse_job(job, &self.describe_store())
    }

    /// Returns the refusal of a query or a cancellation while the store is unavailable.
    pub(crate) fn refuse_query(&self, step: Step) -> WaxError {
        let kind = ErrorKind::Unavailable(self.store_retry_after(0));
        WaxError::new(kind, step, "store", self.describe_store())
            .with_help("ask again after the given time")
    }

    /// Gives a refusal by the store the retry delay that submissions get.
    pub(crate) fn with_retry_after(&self, mut error: WaxError) -> WaxError {
        if self.acceptance.get().is_enabled() && matches!(error.kind, ErrorKind::Unavailable(_)) {
            error.kind = ErrorKind::Unavailable(self.store_retry_after(0));
        }
        error
    }

    fn describe_store(&self) -> String {
        let age = self.health.borrow().outage_age(self.shared.now());
        let state = self.store_state();
        format!(
            "the store is unavailable ({state:?}) for {} ms",
            age.as_millis()
        )
    }

    /// Logs a change of the store's state. A single failure is no change.
    fn log_store_state(&self) {
        let now = self.shared.now();
        let state = self.store_state();
        if state == StoreState::Unknown || self.logged_store_state.get() == state {
            return;
        }
        let before = self.logged_store_state.replace(state);
        let health = self.health.borrow();
        let age_ms = health.outage_age(now).as_millis() as u64;
        let expected_ms = health
            .expected_answer(now)
            .map(|time| time.as_millis() as u64);
        let refused_jobs = self.refusals.borrow().len();
        if state.is_outage() {
            // `waxwing logs report` finds outages by this line.
            tracing::warn!(
                ?state,
                ?before,
                age_ms,
                expected_ms,
                refused_jobs,
                "the store does not answer"
            );
        } else {
            tracing::info!(
                ?state,
                ?before,
                age_ms,
                expected_ms,
                refused_jobs,
                "state of the store changed"
            );
        }
    }
}

/// Returns the class of a failed call.
pub(crate) fn classify_failure(error: &WaxError) -> StoreAnswer {
    match (&error.kind, error.step) {
        (_, Step::Connect) => StoreAnswer::Unreachable,
        (ErrorKind::Unavailable(_) | ErrorKind::Overload(_), _) => StoreAnswer::Busy,
        _ => StoreAnswer::Lost,
    }
}

/// Returns the class of the result of a call.
pub(crate) fn classify_result<T>(result: &Result<T, WaxError>) -> StoreAnswer {
    match result {
        Ok(_) => StoreAnswer::Answered,
        Err(error) => classify_failure(error),
    }
}

/// Returns the class of the result of a transaction.
pub(crate) fn classify_transaction<T>(result: &Result<T, CallError>) -> StoreAnswer {
    match result {
        Ok(_) => StoreAnswer::Answered,
        Err(error) => classify_failure(error.error()),
    }
}

fn not_stored(retry_after: Duration, text: &str) -> WaxError {
    let kind = ErrorKind::Unavailable(retry_after);
    WaxError::new(kind, Step::SubmitJob, "store", text)
        .with_help("the job was not accepted; submit it again after the given time")
}

/// Returns the error for a submission whose result is not known.
pub(crate) fn unknown_outcome(text: &str) -> WaxError {
    let text = format!("it is not known whether the job is stored: {text}");
    WaxError::new(ErrorKind::Timeout, Step::SubmitJob, "store", text)
        .with_help("submit the same job again")
}

/// Returns the error for a job that the store rejects.
pub(crate) fn invalid_job(text: &str) -> WaxError {
    let text = format!("the store takes no such job: {text}");
    WaxError::new(ErrorKind::Invalid, Step::SubmitJob, "store", text)
        .with_help("submit a smaller job")
}
