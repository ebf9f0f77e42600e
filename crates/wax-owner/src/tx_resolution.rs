//! Sends a transaction and retries it until its effect is known.

use compio::time::sleep;
use fastrand::Rng;
use platform::{CallError, StoreClient, StoredRow, TxCommit, TxOutcome, TxRequest};
use std::time::Duration;
use wax_policy::BackoffPlan;
use wax_types::{ProcessClock, TimePoint, WaxError};

/// Timeout for one attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_000);
const MIN_RETRY_DELAY: Duration = Duration::from_millis(40);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);

/// What is known of a transaction's effect.
#[derive(Debug)]
pub enum TxResolution {
    /// The transaction took effect.
    Committed(TxCommit),
    /// The conditions did not hold. The transaction had no effect, unless an earlier attempt
    /// without an answer took effect; the current rows show which.
    Conflict(Vec<StoredRow>),
    /// The transaction has had no effect and will have none.
    NotSent(WaxError),
    /// The transaction may have taken effect, or may still do so.
    Unknown(WaxError),
    /// The transaction has had no effect, and the store would refuse it again unless it is changed.
    Refused(WaxError),
}

impl TxResolution {
    /// Returns whether the store has evaluated the transaction's conditions.
    pub fn is_known(&self) -> bool {
        matches!(self, Self::Committed(_) | Self::Conflict(_))
    }

    /// Combines the results of a transaction that was sent on two paths. A known result takes
    /// precedence, then an unknown one, then a refusal, then `NotSent`.
    pub fn join(self, other: Self) -> Self {
        match (self, other) {
            (known, _) if known.is_known() => known,
            (_, known) if known.is_known() => known,
            (unknown @ Self::Unknown(_), _) | (_, unknown @ Self::Unknown(_)) => unknown,
            (refused @ Self::Refused(_), _) | (_, refused @ Self::Refused(_)) => refused,
            (none, _) => none,
        }
    }
}

/// Sends a transaction, unchanged, until it is answered or `deadline` has passed.
///
/// The conditions name the versions of the rows that it writes, so it takes effect at most once.
pub async fn transact(
    store: &StoreClient,
    clock: ProcessClock,
    tx: &TxRequest,
    deadline: TimePoint,
) -> TxResolution {
    let mut may_apply = false;
    let mut backoff = BackoffPlan::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    loop {
        let left = deadline
            .since(clock.now())
            .clamp(MIN_RETRY_DELAY, ATTEMPT_TIMEOUT);
        let error = match store.transact(tx, left).await {
            Ok(TxOutcome::Committed(commit)) => return TxResolution::Committed(commit),
            Ok(TxOutcome::Conflict(rows)) => return TxResolution::Conflict(rows),
            Ok(TxOutcome::Refused(error)) if may_apply => return TxResolution::Unknown(error),
            Ok(TxOutcome::Refused(error)) => return TxResolution::Refused(error),
            Err(CallError::NotSent(error)) => error,
            Err(CallError::Unknown(error)) => {
                may_apply = true;
                error
            }
        };
        let wait = backoff.next_delay(&mut Rng::new());
        if clock.now() + wait >= deadline {
            return if may_apply {
                TxResolution::Unknown(error)
            } else {
                TxResolution::NotSent(error)
            };
        }
        sleep(wait).await;
    }
}
