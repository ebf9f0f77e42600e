//! Sends a transaction until its fate is known.

use compio::time::sleep;
use fastrand::Rng;
use platform::{CallError, StoreClient, StoredRow, TxOutcome, TxRequest};
use std::time::Duration;
use wax_policy::BackoffPlan;
use wax_types::{ProcessClock, TimePoint, WaxError};

/// Longest time for one try.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_000);
const MIN_RETRY_DELAY: Duration = Duration::from_millis(40);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);

/// What became of a transaction.
#[derive(Debug)]
pub enum TxResolution {
    /// It took effect; its rows have this version.
    Committed(u64),
    /// It did not take effect, unless an earlier try with a lost answer did: the rows that exist tell.
    Conflict(Vec<StoredRow>),
    /// It has had no effect and will have none.
    NotSent(WaxError),
    /// It may have taken effect, or may yet.
    Unknown(WaxError),
    /// It has had no effect, and no store takes it as it is.
    Refused(WaxError),
}

impl TxResolution {
    /// Whether the transaction has, or surely has not, taken effect by its conditions.
    pub fn is_known(&self) -> bool {
        matches!(self, Self::Committed(_) | Self::Conflict(_))
    }

    /// The fate of a transaction that went two ways: what is known goes first, then doubt.
    pub fn join(self, other: Self) -> Self {
        match (self, other) {
            (known, _) if known.is_known() => known,
            (_, known) if known.is_known() => known,
            (may_apply @ Self::Unknown(_), _) | (_, may_apply @ Self::Unknown(_)) => may_apply,
            (refused @ Self::Refused(_), _) | (_, refused @ Self::Refused(_)) => refused,
            (none, _) => none,
        }
    }
}

/// Sends a transaction, unchanged, until it is answered or `deadline` has passed.
///
/// Its conditions name the versions of what it writes, so that it takes effect once at most.
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
        let wait = backoff.fail(&mut Rng::new());
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
