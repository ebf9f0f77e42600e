//! At-most-once execution: a caller's idempotency key is reserved in the table before the first
//! attempt is sent.

use crate::process::EntryShared;
use compio::time::timeout;
use serde::{Deserialize, Serialize};
use std::rc::Rc;
use std::time::Duration;
use wax_platform::{CommitOutcome, TableTransaction};
use wax_types::{ErrorKind, RowVersion, RunOutcome, Step, TimePoint, WaxError, wall_clock_ms};

/// Timeout for recording the outcome of a request, and for releasing a reservation whose commit is
/// indeterminate.
const RECORD_TIMEOUT: Duration = Duration::from_secs(30);

/// State of an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum IdempotencyState {
    /// An entry holds the key and may have sent the request to an upstream.
    Reserved,
    /// The request ran and the caller received a response.
    Ran,
    /// The request was sent to an upstream, and it is unknown whether it ran.
    Unknown,
    /// The request provably did not run; the key may be reserved again.
    Released,
}

/// Row of one idempotency key in the table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct IdempotencyRow {
    pub(crate) state: IdempotencyState,
    /// Name of the entry that reserved the key.
    pub(crate) entry: Box<str>,
    /// Random number that identifies this reservation.
    pub(crate) nonce: u64,
    /// Time of the reservation, Unix milliseconds.
    pub(crate) at_ms: u64,
}

/// Key that is reserved for one request.
#[derive(Debug)]
pub(crate) struct IdempotencyLock {
    key: Box<str>,
    version: RowVersion,
    row: IdempotencyRow,
}

/// Result of a reservation.
pub(crate) enum ReserveResult {
    /// The key is reserved; the request may be sent to an upstream.
    Acquired(IdempotencyLock),
    /// An earlier request with this key ran or may have run.
    Repeated(IdempotencyState),
    /// The table is not available; nothing was sent to an upstream.
    Unavailable(WaxError),
}

/// Returns the row key. The caller's key is hex-encoded, because it may contain the separator `/`.
fn row_key(team: &str, service: &str, key: &str) -> Box<str> {
    let hex: String = key.bytes().map(|byte| format!("{byte:02x}")).collect();
    format!("once/{team}/{service}/{hex}").into()
}

/// Reserves a key by a conditional insert, which succeeds only if the row does not exist.
pub(crate) async fn reserve_key(
    shared: &Rc<EntryShared>,
    team: &str,
    service: &str,
    key: &str,
    deadline: TimePoint,
) -> ReserveResult {
    let key = row_key(team, service, key);
    let row = IdempotencyRow {
        state: IdempotencyState::Reserved,
        entry: shared.name.clone(),
        nonce: fastrand::u64(1..),
        at_ms: wall_clock_ms(),
    };
    let mut version = RowVersion::default();
    // The second round overwrites the row of a released key.
    for _ in 0..2 {
        let mut transaction = TableTransaction::default();
        transaction.put(key.clone(), version, &row);
        match shared.writer.commit(transaction, deadline).await {
            CommitOutcome::Committed(version) => {
                return ReserveResult::Acquired(IdempotencyLock { key, version, row });
            }
            CommitOutcome::NotSent(error) => {
                return ReserveResult::Unavailable(unavailable_error(error));
            }
            CommitOutcome::Unknown(error) => {
                let reservation = (key, row);
                compio::runtime::spawn(release_indeterminate(shared.clone(), reservation)).detach();
                return ReserveResult::Unavailable(unavailable_error(error));
            }
            CommitOutcome::Conflict(_) => {}
        }
        let time_left = deadline.since(shared.clock.now());
        let Ok(found) = timeout(time_left, shared.table.read::<IdempotencyRow>(&key)).await else {
            let kind = ErrorKind::Unavailable(Duration::from_secs(1));
            let text = "the table did not answer in time";
            let error = WaxError::new(kind, Step::ReserveKey, "table", text);
            return ReserveResult::Unavailable(unavailable_error(error));
        };
        match found {
            Ok(Some(found)) if found.value.state == IdempotencyState::Released => {
                version = found.version
            }
            Ok(Some(found)) => return ReserveResult::Repeated(found.value.state),
            Ok(None) => version = RowVersion::default(),
            Err(error) => return ReserveResult::Unavailable(unavailable_error(error)),
        }
    }
    ReserveResult::Repeated(IdempotencyState::Reserved)
}

fn unavailable_error(error: WaxError) -> WaxError {
    let retry_after = error.retry_after().unwrap_or(Duration::from_secs(1));
    let kind = ErrorKind::Unavailable(retry_after);
    WaxError::new(kind, Step::ReserveKey, "table", error.label)
        .with_help("ask again with the same key")
}

impl IdempotencyLock {
    /// Records the outcome of the request. If the request did not run, the key may be reserved again.
    pub(crate) fn record(self, shared: &Rc<EntryShared>, outcome: RunOutcome) {
        let shared = shared.clone();
        compio::runtime::spawn(async move {
            let state = match outcome {
                RunOutcome::Ran => IdempotencyState::Ran,
                RunOutcome::NotRun => IdempotencyState::Released,
                RunOutcome::Unknown => IdempotencyState::Unknown,
            };
            write_state(&shared, self.key, self.version, self.row, state).await;
        })
        .detach();
    }
}

async fn write_state(
    shared: &EntryShared,
    key: Box<str>,
    version: RowVersion,
    mut row: IdempotencyRow,
    state: IdempotencyState,
) {
    row.state = state;
    let mut transaction = TableTransaction::default();
    transaction.put(key.clone(), version, &row);
    let deadline = shared.clock.now() + RECORD_TIMEOUT;
    let outcome = shared.writer.commit(transaction, deadline).await;
    if !matches!(outcome, CommitOutcome::Committed(_)) {
        // The key stays reserved. A repeated request gets the outcome "unknown" and is not run, so
        // at-most-once execution holds.
        tracing::debug!(%key, ?outcome, "outcome of an idempotency key not recorded");
    }
}

/// Releases a reservation whose commit is indeterminate, if it took effect. Its request was not sent
/// to an upstream, so the key may be reserved again.
async fn release_indeterminate(shared: Rc<EntryShared>, (key, row): (Box<str>, IdempotencyRow)) {
    let deadline = shared.clock.now() + RECORD_TIMEOUT;
    while shared.clock.now() < deadline {
        compio::time::sleep(Duration::from_secs(1)).await;
        if let Ok(Some(found)) = shared.table.read::<IdempotencyRow>(&key).await {
            if found.value.nonce == row.nonce && found.value.state == IdempotencyState::Reserved {
                return write_state(&shared, key, found.version, row, IdempotencyState::Released)
                    .await;
            }
            return;
        }
    }
}
