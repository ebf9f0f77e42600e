//! Decides what a worker's report of a run means for its task.

use crate::rows::{TaskRow, TaskState};
use wax_platform::{TaskMark, TaskRun};
use wax_types::WorkerId;

/// What follows from a report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunChoice {
    /// Nothing changes.
    NoChange,
    /// The task's row becomes this, and its allocation is given back.
    Change(TaskRow),
    /// The run belongs to no allocation: stop it once our ownership is confirmed again.
    Orphan,
    /// The run has ended and is recorded: the worker may forget it.
    Forget,
}

/// Decides about one run at `worker`; `row` is the task's row as we wrote it.
pub fn decide_run(
    row: Option<&TaskRow>,
    worker: &WorkerId,
    run_id: TaskMark,
    run: &TaskRun,
    attempts: u32,
) -> RunChoice {
    let Some(row) = row.filter(|row| is_current(row, worker, run_id)) else {
        return match run {
            TaskRun::Running => RunChoice::Orphan,
            _ => RunChoice::Forget,
        };
    };
    match run {
        TaskRun::Running => RunChoice::NoChange,
        TaskRun::Done(result) => {
            RunChoice::Change(with_state(row, TaskState::Done(result.clone())))
        }
        TaskRun::Stopped(checkpoint) => {
            let mut next = with_state(row, TaskState::Waiting);
            next.checkpoint = checkpoint.clone().or(next.checkpoint);
            next.evictions += 1;
            RunChoice::Change(next)
        }
        TaskRun::Failed(reason) => RunChoice::Change(after_failure(row, worker, reason, attempts)),
    }
}

fn is_current(row: &TaskRow, worker: &WorkerId, run_id: TaskMark) -> bool {
    row.epoch == run_id.epoch && row.state == TaskState::Placed(worker.clone())
}

fn with_state(row: &TaskRow, state: TaskState) -> TaskRow {
    TaskRow {
        state,
        ..row.clone()
    }
}

/// The row after a failed run: waiting again, or given up with the reason.
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
