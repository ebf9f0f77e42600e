//! Stores submitted jobs, several in one transaction when several are waiting.

use crate::accept::AcceptOutcome;
use crate::job_batch::{BatchStep, JobBatch, JobResult, QueuedJob};
use crate::state::FrontState;
use crate::store_route::transact_by_any_route;
use crate::store_view::{invalid_job, unknown_outcome};
use compio::runtime::spawn;
use compio::time::timeout;
use futures_channel::oneshot;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use wax_batch::{JobName, JobRow};
use wax_owner::{TxResolution, record_owner_row};
use wax_trace::{Counter, count_many};
use wax_types::{TimePoint, WaxError};

/// Maximum number of transactions of the queue that are in flight. Jobs that arrive meanwhile wait
/// and share the next one. With more than one, a job need not wait behind a transaction whose answer
/// was lost.
const MAX_IN_FLIGHT: u32 = 4;

/// Channel to the request of a job.
type ResultSender = oneshot::Sender<JobResult>;

/// Jobs that wait for a transaction.
#[derive(Debug, Default)]
pub(crate) struct SubmitQueue {
    waiting: RefCell<Vec<QueuedJob<ResultSender>>>,
    in_flight: Cell<u32>,
}

/// Stores a job together with others that wait.
///
/// # Errors
///
/// As for [`crate::accept::accept_job`].
pub(crate) async fn submit_job(
    state: &Rc<FrontState>,
    name: JobName,
    row: JobRow,
    deadline: TimePoint,
) -> Result<AcceptOutcome, WaxError> {
    let now = state.shared.now();
    let refusals = state.refusals.borrow().get(name.0);
    let nonce = row.nonce;
    let (tag, result) = oneshot::channel();
    state.submissions.waiting.borrow_mut().push(QueuedJob {
        name,
        row,
        deadline,
        first_at: refusals.map_or(now, |refusals| refusals.first_at),
        tag,
    });
    start_sender(state);
    match timeout(deadline.since(now), result).await {
        Ok(Ok(JobResult::Stored)) => {
            state.refusals.borrow_mut().remove(name.0);
            Ok(AcceptOutcome::Stored)
        }
        Ok(Ok(JobResult::AlreadyStored)) => Ok(AcceptOutcome::AlreadyStored),
        Ok(Ok(JobResult::NotStored(text))) => Err(state.refuse_job(name, &text)),
        Ok(Ok(JobResult::Refused(text))) => Err(invalid_job(&text)),
        Ok(Ok(JobResult::Unknown(text))) => Err(record_unknown(state, name, &text)),
        Err(_) if remove_waiting(state, nonce) => {
            Err(state.refuse_job(name, "no transaction was sent in time"))
        }
        Ok(Err(_)) | Err(_) => Err(record_unknown(state, name, "no answer in time")),
    }
}

fn record_unknown(state: &FrontState, name: JobName, text: &str) -> WaxError {
    let mut refusals = state.refusals.borrow_mut();
    refusals.record_unresolved(name.0, state.shared.now());
    unknown_outcome(text)
}

/// Removes a job that no transaction was sent for; returns whether it was still waiting.
fn remove_waiting(state: &FrontState, nonce: u64) -> bool {
    let mut waiting = state.submissions.waiting.borrow_mut();
    let count = waiting.len();
    waiting.retain(|job| job.row.nonce != nonce);
    waiting.len() < count
}

/// Starts a task that sends the waiting jobs, unless enough tasks are running.
fn start_sender(state: &Rc<FrontState>) {
    let in_flight = &state.submissions.in_flight;
    if in_flight.get() >= MAX_IN_FLIGHT {
        return;
    }
    in_flight.set(in_flight.get() + 1);
    let state = state.clone();
    spawn(async move {
        while let Some(batch) = take_waiting(&state) {
            send_batch(&state, batch).await;
        }
        let in_flight = &state.submissions.in_flight;
        in_flight.set(in_flight.get() - 1);
    })
    .detach();
}

/// Takes the jobs of the next transaction; `None` if no job is waiting.
fn take_waiting(state: &FrontState) -> Option<JobBatch<ResultSender>> {
    let max_jobs = state.acceptance.get().max_jobs_per_tx as usize;
    let mut waiting = state.submissions.waiting.borrow_mut();
    // Requests that have ended, because their callers closed the connection, do not wait any more.
    waiting.retain(|job| !job.tag.is_canceled());
    let batch = JobBatch::take(&mut waiting, max_jobs);
    (!batch.jobs().is_empty()).then_some(batch)
}

/// Sends a batch until each of its jobs has a result.
async fn send_batch(state: &FrontState, batch: JobBatch<ResultSender>) {
    let mut batches = vec![batch];
    while let Some(mut batch) = batches.pop() {
        if send_until_resolved(state, &mut batch).await == BatchStep::SendEachAlone {
            batches.extend(batch.split());
        }
    }
}

async fn send_until_resolved(state: &FrontState, batch: &mut JobBatch<ResultSender>) -> BatchStep {
    let shared = &state.shared;
    let deadline = batch.deadline();
    loop {
        if batch.jobs().len() > 1 {
            count_many(Counter::JobsInSharedTransactions, batch.jobs().len() as u64);
        }
        let owner = shared.owner.borrow().clone();
        let (epoch, version) = owner.map_or((0, 0), |owner| (owner.epoch, owner.row_version));
        let tx = batch.request(epoch, version);
        let resolution = transact_by_any_route(state, &tx, deadline).await;
        if let TxResolution::Conflict(rows) = &resolution {
            // The owner may have changed: its row is in the answer.
            if !record_owner_row(shared, rows) {
                shared.owner.borrow_mut().take();
            }
        }
        let (ended, step) = batch.resolve(&resolution);
        reply_all(ended);
        if step != BatchStep::SendAgain {
            return step;
        }
        if shared.now() >= deadline {
            let text = "the owner changes again and again".into();
            let (ended, step) = batch.end_all(&JobResult::NotStored(text));
            reply_all(ended);
            return step;
        }
    }
}

fn reply_all(ended: Vec<(QueuedJob<ResultSender>, JobResult)>) {
    for (job, result) in ended {
        // The request may have ended at its deadline.
        let _ = job.tag.send(result);
    }
}
