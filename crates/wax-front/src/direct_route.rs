//! Transactions of a front that it sends to the store itself.

use crate::state::FrontState;
use crate::store_view::classify_transaction;
use compio::time::sleep;
use fastrand::Rng;
use platform::{CallError, TxOutcome, TxRequest};
use std::time::Duration;
use wax_owner::{TxResolution, transact};
use wax_policy::BackoffPlan;
use wax_types::TimePoint;

/// Timeout for one attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_000);
const MIN_RETRY_DELAY: Duration = Duration::from_millis(40);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Sends a transaction, unchanged, until it is answered or `deadline` has passed. With the rules of
/// acceptance enabled, a transaction that is known to have had no effect is given up as soon as the
/// store is known to be unavailable.
pub(crate) async fn transact_directly(
    state: &FrontState,
    tx: &TxRequest,
    deadline: TimePoint,
) -> TxResolution {
    let shared = &state.shared;
    if !state.acceptance.get().is_enabled() {
        let resolution = transact(&shared.store, shared.clock, tx, deadline).await;
        state.note_store_answer(resolution.is_known());
        return resolution;
    }
    let mut may_apply = false;
    let mut backoff = BackoffPlan::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    loop {
        let sent_at = shared.now();
        let limit = deadline
            .since(sent_at)
            .clamp(MIN_RETRY_DELAY, ATTEMPT_TIMEOUT);
        let result = shared.store.transact(tx, limit).await;
        state.record_store_call(classify_transaction(&result), sent_at);
        let error = match result {
            Ok(TxOutcome::Committed(version)) => return TxResolution::Committed(version),
            Ok(TxOutcome::Conflict(rows)) => return TxResolution::Conflict(rows),
            Ok(TxOutcome::Refused(error)) if may_apply => return TxResolution::Unknown(error),
            Ok(TxOutcome::Refused(error)) => return TxResolution::Refused(error),
            Err(CallError::NotSent(error)) => error,
            Err(CallError::Unknown(error)) => {
                may_apply = true;
                error
            }
        };
        let delay = backoff.next_delay(&mut Rng::new());
        let is_late = shared.now() + delay >= deadline;
        match may_apply {
            true if is_late => return TxResolution::Unknown(error),
            false if is_late || state.is_store_down() => return TxResolution::NotSent(error),
            _ => sleep(delay).await,
        }
    }
}
