//! Shows jobs and queues to callers, from the owner's memory or else from the store.

use crate::cancel::read_job_rows;
use crate::state::FrontState;
use compio::time::timeout;
use futures_channel::oneshot;
use platform::JobState;
use prost::Message;
use std::time::Duration;
use wax_batch::{JobName, JobOutcome, JobProgress};
use wax_owner::{JobStatus, cancel_key, job_key, progress_key};
use wax_types::{ErrorKind, Step, TimePoint, WaxError};
use wax_wire::{JobQuery, JobReply, PoolBody};

/// Timeout for a query to the owner, before the store is read.
const OWNER_TIMEOUT: Duration = Duration::from_millis(400);

/// Returns the state of a job; `None` if no such job exists.
///
/// # Errors
///
/// Neither the owner nor the store answers in time.
pub(crate) async fn read_job_state(
    state: &FrontState,
    job: JobName,
    deadline: TimePoint,
) -> Result<Option<JobState>, WaxError> {
    if let Some((outcome, started)) = query_owner(state, job).await {
        return Ok(Some(to_state(outcome, started)));
    }
    let left = deadline.since(state.shared.now());
    // The progress is read first: both rows are removed at once, and a job whose progress is
    // missing would be shown as queued.
    let progress = state.shared.store.read_row(&progress_key(job), left).await;
    state.note_store_answer(progress.is_ok());
    let progress = progress?;
    let left = deadline.since(state.shared.now());
    let rows = read_job_rows(state, job, left).await?;
    if !rows.iter().any(|row| row.key == job_key(job)) {
        return Ok(None);
    }
    let progress = match progress {
        Some(row) => JobProgress::decode(&*row.value)
            .map_err(|error| WaxError::new(ErrorKind::Protocol, Step::ReadJob, "store", error))?,
        None => JobProgress::default(),
    };
    let cancelled = rows.iter().any(|row| row.key == cancel_key(job));
    let outcome = match progress.outcome() {
        JobOutcome::Open if cancelled => JobOutcome::Cancelled,
        outcome => outcome,
    };
    Ok(Some(to_state(outcome, !progress.occurrences.is_empty())))
}

fn to_state(outcome: JobOutcome, started: bool) -> JobState {
    match outcome {
        JobOutcome::Completed => JobState::Completed,
        JobOutcome::Failed => JobState::Failed,
        JobOutcome::Cancelled => JobState::Cancelled,
        JobOutcome::Open if started => JobState::Running,
        JobOutcome::Open => JobState::Queued,
    }
}

async fn query_owner(state: &FrontState, job: JobName) -> Option<(JobOutcome, bool)> {
    if let Some(term) = state.shared.current_term() {
        return match term.job_status(job) {
            JobStatus::Known { outcome, started } => Some((outcome, started)),
            JobStatus::Unknown => None,
        };
    }
    let reply = query(state, job.0, "").await.filter(|reply| reply.known)?;
    let outcome = JobOutcome::try_from(reply.outcome).ok()?;
    Some((outcome, reply.started))
}

/// Returns how many accepted jobs of a queue have not started.
///
/// # Errors
///
/// No owner that has loaded the whole queue answers in time.
pub(crate) async fn read_queue_pending(state: &FrontState, queue: &str) -> Result<u64, WaxError> {
    let pending = match state.shared.current_term() {
        Some(term) => term.pending_job_count(queue, state.shared.now()),
        None => query(state, 0, queue)
            .await
            .filter(|reply| reply.known)
            .map(|reply| reply.pending_job_count),
    };
    pending.ok_or_else(|| {
        let kind = ErrorKind::Unavailable(Duration::from_secs(1));
        WaxError::new(
            kind,
            Step::ReadJob,
            "owner",
            "no owner has the whole queue now",
        )
        .with_help("ask again after the given time")
    })
}

async fn query(state: &FrontState, job: u64, queue: &str) -> Option<JobReply> {
    let number = state.next_request.get();
    state.next_request.set(number + 1);
    let (sender, answer) = oneshot::channel();
    let query = JobQuery {
        request_id: number,
        job,
        queue: queue.into(),
    };
    state
        .outbox
        .borrow()
        .as_ref()?
        .unbounded_send(PoolBody::JobQuery(query))
        .ok()?;
    state.queries.borrow_mut().insert(number, sender);
    let reply = timeout(OWNER_TIMEOUT, answer).await;
    state.queries.borrow_mut().remove(&number);
    reply.ok()?.ok()
}
