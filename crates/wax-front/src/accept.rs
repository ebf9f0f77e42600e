//! Accepts a job: stores it and then acknowledges it.

use crate::state::{FrontState, STORE_RETRY_AFTER};
use crate::store_route::transact_by_any_route;
use platform::{RowWrite, TxRequest};
use prost::Message;
use wax_batch::{JobName, JobRow, JobSpec, VersionedRules};
use wax_owner::{TxResolution, job_key, owner_key, record_owner_row};
use wax_types::{ErrorKind, Step, TimePoint, WaxError, wall_clock_ms};

/// How a job came to be stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AcceptOutcome {
    /// This request stored it.
    Stored,
    /// An earlier request with the same job name stored it.
    AlreadyStored,
}

/// Stores a job of the queue with these rules unless a job of the same name is stored.
///
/// # Errors
///
/// `Unavailable` if the job was not stored and will not be stored by this request; `Timeout` if
/// the result is unknown, so that the job may be stored.
pub(crate) async fn accept_job(
    state: &FrontState,
    rules: &VersionedRules,
    job: JobName,
    spec: &JobSpec,
    deadline: TimePoint,
) -> Result<AcceptOutcome, WaxError> {
    let shared = &state.shared;
    if state.is_cut_off() {
        return Err(not_stored("neither the store nor the owner can be reached"));
    }
    let mut row = JobRow::new(spec, rules, wall_clock_ms(), fastrand::u64(1..));
    row.accepted_store_ms = shared.store.now().map(|time| time.0);
    loop {
        let owner = shared.owner.borrow().clone();
        // The row carries the number of the current term. Owners of earlier terms have never seen
        // the job, so it has no runs of their terms; a former owner that reads the row ends its own
        // term.
        row.epoch = owner.as_ref().map_or(0, |owner| owner.epoch);
        let owner_version = owner.as_ref().map_or(0, |owner| owner.row_version);
        let tx = TxRequest {
            expect: vec![(owner_key(), owner_version), (job_key(job), 0)],
            writes: vec![RowWrite {
                key: job_key(job),
                value: row.encode_to_vec(),
            }],
            remove: Vec::new(),
        };
        match transact_by_any_route(state, &tx, deadline).await {
            TxResolution::Committed(_) => return Ok(AcceptOutcome::Stored),
            TxResolution::Conflict(rows) => {
                if let Some(stored) = rows.iter().find(|row| row.key == job_key(job)) {
                    let is_ours = JobRow::decode(&*stored.value)
                        .is_ok_and(|stored| stored.nonce == row.nonce);
                    return Ok(if is_ours {
                        AcceptOutcome::Stored
                    } else {
                        AcceptOutcome::AlreadyStored
                    });
                }
                // The owner has changed: its row is in the answer, and the next attempt uses it.
                if !record_owner_row(shared, &rows) {
                    shared.owner.borrow_mut().take();
                }
                if shared.now() >= deadline {
                    return Err(not_stored("the owner changes again and again"));
                }
            }
            TxResolution::NotSent(error) => return Err(not_stored(&error.label)),
            TxResolution::Refused(error) => {
                let text = format!("the store takes no such job: {}", error.label);
                return Err(
                    WaxError::new(ErrorKind::Invalid, Step::SubmitJob, "store", text)
                        .with_help("submit a smaller job"),
                );
            }
            TxResolution::Unknown(error) => {
                let text = format!("it is not known whether the job is stored: {}", error.label);
                return Err(
                    WaxError::new(ErrorKind::Timeout, Step::SubmitJob, "store", text)
                        .with_help("submit the same job again"),
                );
            }
        }
    }
}

fn not_stored(text: &str) -> WaxError {
    WaxError::new(
        ErrorKind::Unavailable(STORE_RETRY_AFTER),
        Step::SubmitJob,
        "store",
        text,
    )
    .with_help("the job was not accepted; submit it again after the given time")
}
