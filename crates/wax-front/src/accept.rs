//! Accepts a job: stores it and then acknowledges it.

use crate::show::query_owner;
use crate::state::FrontState;
use crate::store_route::transact_by_any_route;
use crate::store_view::{invalid_job, unknown_outcome};
use crate::submit_queue::submit_job;
use platform::{RowWrite, TxRequest};
use prost::Message;
use std::rc::Rc;
use wax_batch::{JobName, JobRow, JobSpec, QueueRules};
use wax_owner::{TxResolution, job_key, owner_key, record_owner_row};
use wax_types::{TimePoint, WaxError, wall_clock_ms};

/// How a job came to be stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AcceptOutcome {
    /// This request stored it.
    Stored,
    /// An earlier request with the same job name stored it.
    AlreadyStored,
}

/// Stores a job unless a job of the same name is stored.
///
/// # Errors
///
/// `Unavailable` if the job was not stored and will not be stored by this request; `Timeout` if
/// the result is unknown, so that the job may be stored.
pub(crate) async fn accept_job(
    state: &Rc<FrontState>,
    queue: &QueueRules,
    job: JobName,
    spec: &JobSpec,
    deadline: TimePoint,
) -> Result<AcceptOutcome, WaxError> {
    let shared = &state.shared;
    if state.acceptance.get().is_enabled() {
        if state.is_store_down() || state.is_store_too_slow(deadline) {
            // A job that is stored must not be refused: its caller may not have received the answer.
            return match query_owner(state, job).await {
                Some(_) => Ok(AcceptOutcome::AlreadyStored),
                None => Err(state.refuse_job_at_once(job)),
            };
        }
        return submit_job(state, job, new_row(queue, spec), deadline).await;
    }
    if state.is_cut_off() {
        let text = "neither the store nor the owner can be reached";
        return Err(state.refuse_job(job, text));
    }
    let mut row = new_row(queue, spec);
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
                    return Err(state.refuse_job(job, "the owner changes again and again"));
                }
            }
            TxResolution::NotSent(error) => return Err(state.refuse_job(job, &error.label)),
            TxResolution::Refused(error) => {
                return Err(invalid_job(&error.label));
            }
            TxResolution::Unknown(error) => {
                return Err(unknown_outcome(&error.label));
            }
        }
    }
}

fn new_row(queue: &QueueRules, spec: &JobSpec) -> JobRow {
    JobRow::new(
        spec,
        &queue.name,
        &queue.service,
        wall_clock_ms(),
        fastrand::u64(1..),
    )
}
