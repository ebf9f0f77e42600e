//! Cancels a job: stored, then acknowledged; its owner stops what runs.

use crate::state::{FrontState, STORE_RETRY_AFTER};
use platform::{RowWrite, StoredRow, TxRequest};
use std::time::Duration;
use wax_batch::JobName;
use wax_owner::{JOB_TABLE, TxFate, cancel_key, job_key, transact};
use wax_types::{ErrorKind, Step, TimePoint, WaxError};
use wax_wire::{JobCancelled, PoolBody};

/// What became of a cancel.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CancelOutcome {
    /// The job is, or was before, cancelled.
    Cancelled,
    /// There is no such job.
    NoJob,
}

/// The rows of a job in the job table: the job's own and its cancel.
pub(crate) async fn read_job_rows(
    state: &FrontState,
    job: JobName,
    limit: Duration,
) -> Result<Vec<StoredRow>, WaxError> {
    let own = job_key(job);
    let end = format!("{}%00", cancel_key(job).key);
    let page = state
        .shared
        .store
        .read(JOB_TABLE, &own.part, &own.key, &end, limit)
        .await;
    state.note_store_answer(page.is_ok());
    Ok(page?.rows)
}

/// Stores the cancel of a job.
///
/// # Errors
///
/// The store does not answer in time.
pub(crate) async fn cancel_job(
    state: &FrontState,
    job: JobName,
    deadline: TimePoint,
) -> Result<CancelOutcome, WaxError> {
    let shared = &state.shared;
    loop {
        let time_left = deadline.since(shared.now());
        let rows = read_job_rows(state, job, time_left).await?;
        let Some(own) = rows.iter().find(|row| row.key == job_key(job)) else {
            return Ok(CancelOutcome::NoJob);
        };
        if rows.iter().any(|row| row.key == cancel_key(job)) {
            return Ok(CancelOutcome::Cancelled);
        }
        let tx = TxRequest {
            expect: vec![(job_key(job), own.version), (cancel_key(job), 0)],
            writes: vec![RowWrite {
                key: cancel_key(job),
                value: b"1".to_vec(),
            }],
            remove: Vec::new(),
        };
        match transact(&shared.store, shared.clock, &tx, deadline).await {
            TxFate::Committed(_) => {
                notify_owner(state, job);
                return Ok(CancelOutcome::Cancelled);
            }
            // Another cancel was first, or the job was forgotten: the rows tell.
            TxFate::Conflict(_) => {}
            TxFate::NotSent(error) | TxFate::Unknown(error) | TxFate::Refused(error) => {
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

/// Tells the owner at once: its own feed may be cut off while callers are served.
fn notify_owner(state: &FrontState, job: JobName) {
    if let Some(term) = state.shared.current_tenure() {
        term.cancel(job);
    } else if let Some(outbox) = &*state.outbox.borrow() {
        // Without a link the feed of the owner brings it.
        let _ = outbox.unbounded_send(PoolBody::Cancelled(JobCancelled { job: job.0 }));
    }
}
