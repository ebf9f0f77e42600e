//! State transitions of a task that follow from a worker's report of one of its runs.

use crate::rows::{TaskRow, TaskState};
use wax_platform::{TaskRunId, TaskRunStatus};
use wax_types::WorkerId;

/// Consequence of a report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunChoice {
    /// The current run is still in progress; nothing changes.
    NoChange,
    /// The run has ended: the task gets this row, and its allocation is released.
    Change(TaskRow),
    /// The run is in progress but is not the current one. It is to be stopped once the ownership of
    /// the shard has been confirmed again, since a newer owner may have started the run.
    Orphan,
    /// The run has ended and its end is recorded or irrelevant; the worker may delete it.
    Forget,
}

/// Decides what follows from the report of a run by `worker`.
///
/// `row` is the last committed row of the task; `attempts` is the number of failed runs after which
/// the task fails for good.
pub fn decide_run(
    row: Option<&TaskRow>,
    worker: &WorkerId,
    run_id: TaskRunId,
    status: &TaskRunStatus,
    attempts: u32,
) -> RunChoice {
    let Some(row) = row.filter(|row| is_current(row, worker, run_id)) else {
        return match status {
            TaskRunStatus::Running => RunChoice::Orphan,
            _ => RunChoice::Forget,
        };
    };
    match status {
        TaskRunStatus::Running => RunChoice::NoChange,
        TaskRunStatus::Done(result) => {
            RunChoice::Change(with_state(row, TaskState::Done(result.clone())))
        }
        TaskRunStatus::Stopped(checkpoint) => {
            let mut next = with_state(row, TaskState::Waiting);
            next.checkpoint = checkpoint.clone().or(next.checkpoint);
            next.evictions += 1;
            RunChoice::Change(next)
        }
        TaskRunStatus::Failed(reason) => {
            RunChoice::Change(after_failure(row, worker, reason, attempts))
        }
    }
}

fn is_current(row: &TaskRow, worker: &WorkerId, run_id: TaskRunId) -> bool {
    row.epoch == run_id.epoch && row.state == TaskState::Placed(worker.clone())
}

fn with_state(row: &TaskRow, state: TaskState) -> TaskRow {
    TaskRow {
        state,
        ..row.clone()
    }
}

/// Returns the row of a task after a failed run: waiting again, or failed for good with the reason.
pub(crate) fn after_failure(
    row: &TaskRow,
    worker: &WorkerId,
    reason: &str,
    attempts: u32,
) -> TaskRow {
    let mut next = row.clone();
    next.failures += 1;
    if !next.failed_on.contains(worker) {
        next.failed_on.push(worker.clone());
    }
    next.state = if next.failures >= attempts {
        let workers = next.failed_on.join(", ");
        let text = format!(
            "failed {} times, on {workers}; last: {reason}",
            next.failures
        );
        TaskState::Failed(text.into())
    } else {
        TaskState::Waiting
    };
    next
}
