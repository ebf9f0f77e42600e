//! Cancels a job: stores the cancellation and acknowledges it; the owner then stops running tasks.

use crate::state::{FrontState, STORE_RETRY_AFTER};
use platform::{RowWrite, StoredRow, TxRequest};
use std::time::Duration;
use wax_batch::JobName;
use wax_owner::{JOB_TABLE, TxResolution, cancel_key, job_key, transact};
use wax_types::{ErrorKind, Step, TimePoint, WaxError};
use wax_wire::{JobCancelled, PoolBody};

/// Result of a request to cancel a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CancelOutcome {
    /// The job is cancelled, by this request or an earlier one.
    Cancelled,
    /// No such job exists.
    NoJob,
}

/// Reads a job's rows from the job table: the job itself and its cancellation.
pub(crate) async fn read_job_rows(
    state: &FrontState,
    job: JobName,
    limit: Duration,
) -> Result<Vec<StoredRow>, WaxError> {
    let key = job_key(job);
    let end = format!("{}\0", cancel_key(job).key);
    let page = state
        .shared
        .store
        .read(JOB_TABLE, &key.part, &key.key, &end, limit)
        .await;
    state.note_store_answer(page.is_ok());
    Ok(page?.rows)
}

/// Stores the cancellation of a job.
///
/// # Errors
///
/// `Timeout` if the store has not confirmed the cancellation in time; `Unavailable` if the job's
/// rows kept changing until the deadline.
pub(crate) async fn cancel_job(
    state: &FrontState,
    job: JobName,
    deadline: TimePoint,
) -> Result<CancelOutcome, WaxError> {
    let shared = &state.shared;
    loop {
        let time_left = deadline.since(shared.now());
        let rows = read_job_rows(state, job, time_left).await?;
        let Some(job_row) = rows.iter().find(|row| row.key == job_key(job)) else {
            return Ok(CancelOutcome::NoJob);
        };
        if rows.iter().any(|row| row.key == cancel_key(job)) {
            return Ok(CancelOutcome::Cancelled);
        }
        let tx = TxRequest {
            expect: vec![(job_key(job), job_row.version), (cancel_key(job), 0)],
            writes: vec![RowWrite {
                key: cancel_key(job),
                value: b"1".to_vec(),
            }],
            remove: Vec::new(),
        };
        match transact(&shared.store, shared.clock, &tx, deadline).await {
            TxResolution::Committed(_) => {
                notify_owner(state, job);
                return Ok(CancelOutcome::Cancelled);
            }
            // Another request has cancelled the job, or the job was deleted: read the rows again.
            TxResolution::Conflict(_) => {}
            TxResolution::NotSent(error)
            | TxResolution::Unknown(error)
            | TxResolution::Refused(error) => {
                state.note_store_answer(false);
                let kind = ErrorKind::Timeout;
                return Err(WaxError::new(kind, Step::SubmitJob, "store", error.label)
                    .with_help("cancel the job again"));
            }
        }
        if shared.now() >= deadline {
            let kind = ErrorKind::Unavailable(STORE_RETRY_AFTER);
            return Err(WaxError::new(
                kind,
                Step::SubmitJob,
                "store",
                "the job's rows keep changing",
            ));
        }
    }
}

/// Notifies the owner at once. Its own feed of the job table may be interrupted while this front
/// still serves callers.
fn notify_owner(state: &FrontState, job: JobName) {
    if let Some(term) = state.shared.current_term() {
        term.cancel(job);
    } else if let Some(outbox) = &*state.outbox.borrow() {
        // Without a link, the owner gets the cancellation from its feed.
        let _ = outbox.unbounded_send(PoolBody::Cancelled(JobCancelled { job: job.0 }));
    }
}
