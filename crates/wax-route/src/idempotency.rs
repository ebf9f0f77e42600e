//! At most once: a caller's idempotency key is reserved in the table before the first dispatch.

use crate::process::EntryShared;
use compio::time::timeout;
use serde::{Deserialize, Serialize};
use std::rc::Rc;
use std::time::Duration;
use wax_platform::{CommitOutcome, TableTransaction};
use wax_types::{ErrorKind, RowVersion, RunOutcome, Step, TimePoint, WaxError, wall_clock_ms};

/// How long the outcome of a request is offered to the table.
const RECORD_TIMEOUT: Duration = Duration::from_secs(30);

/// Where a key stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum IdempotencyState {
    /// An entry holds it and may dispatch or have dispatched.
    Reserved,
    /// The request ran and was answered.
    Ran,
    /// The request was dispatched; whether it ran is not known.
    Unknown,
    /// The request surely did not run; the key may be reserved again.
    Released,
}

/// The row of one key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct IdempotencyRow {
    pub(crate) state: IdempotencyState,
    /// The entry that reserved it.
    pub(crate) entry: Box<str>,
    /// Drawn for this reservation.
    pub(crate) nonce: u64,
    /// Unix milliseconds.
    pub(crate) at_ms: u64,
}

/// A key that this request holds.
#[derive(Debug)]
pub(crate) struct IdempotencyLock {
    key: Box<str>,
    version: RowVersion,
    row: IdempotencyRow,
}

/// What came of a reservation.
pub(crate) enum ReserveResult {
    /// This request may be dispatched.
    Acquired(IdempotencyLock),
    /// An earlier request with the key ran, or may have run.
    Repeated(IdempotencyState),
    /// The table cannot be asked; nothing was dispatched.
    Unavailable(WaxError),
}

/// The table key; the caller's key is hexadecimal so that it holds no separator.
fn row_key(team: &str, service: &str, key: &str) -> Box<str> {
    let hex: String = key.bytes().map(|byte| format!("{byte:02x}")).collect();
    format!("once/{team}/{service}/{hex}").into()
}

/// Reserves a key by one insert-if-absent.
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
    // Twice: a key that was released is reserved over its row.
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
    let after = error.retry_after().unwrap_or(Duration::from_secs(1));
    let kind = ErrorKind::Unavailable(after);
    WaxError::new(kind, Step::ReserveKey, "table", error.label)
        .with_help("ask again with the same key")
}

impl IdempotencyLock {
    /// Records how the request ended; a key that did not run is free again.
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
        // The key stays reserved: a caller that asks again is told "unknown", which is safe.
        tracing::debug!(%key, ?outcome, "outcome of a key not recorded");
    }
}

/// A reservation whose fate is open was never dispatched: once it shows, it is released.
async fn release_indeterminate(shared: Rc<EntryShared>, (key, row): (Box<str>, IdempotencyRow)) {
    let end = shared.clock.now() + RECORD_TIMEOUT;
    while shared.clock.now() < end {
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
