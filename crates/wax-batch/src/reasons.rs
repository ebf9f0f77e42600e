//! Reasons why tasks are placed, wait, or are stopped, for logs and explanations.

use crate::names::TaskName;
use crate::rank::JobRank;
use crate::unreconciled::StepEligibility;
use std::fmt;
use std::time::Duration;

/// Figures that decided a placement.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementReason {
    /// Why the task cannot have a run of an earlier term.
    pub eligibility: StepEligibility,
    /// Time for which the step's tasks had waited.
    pub waited: Duration,
    /// Rank of the step among all waiting steps.
    pub rank: JobRank,
    /// Cost of the chosen worker, in shares of a worker's processors.
    pub cost: f64,
    /// Cost of the second cheapest worker; `None` if no other worker would take the task.
    pub next_cost: Option<f64>,
    /// Expected pace on the chosen worker: the share of the task's full speed, 0 to 1.
    pub pace: f64,
    /// Time since the last message of the chosen worker's agent.
    pub view_age: Duration,
}

/// Reason why no worker takes a task now: the obstacle at the worker that came closest to taking
/// it. Later variants are closer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum WaitReason {
    /// No worker of the service is known.
    NoWorker,
    /// No worker has the required label.
    Label,
    /// Each worker is unreachable, unhealthy, about to leave, or excluded for a while after
    /// failures or refusals.
    NotReady,
    /// All otherwise suitable workers have left starts unanswered and get one start at a time.
    Unanswered,
    /// All otherwise suitable workers are in drained failure domains.
    Drained,
    /// No worker has enough free capacity.
    Capacity,
    /// The processors left to best-effort tasks do not suffice.
    Spare,
    /// Each worker runs the maximum number of the step's tasks.
    Spread,
    /// On no worker would the task run at the required pace, because of its interference with
    /// serving tasks.
    Interference,
    /// Only workers are left on which the task has just failed or may have caused a crash.
    FailedThere,
    /// The task is suspected of crashing its workers and waits for an isolated worker, or the
    /// workers that could take it are isolated for other tasks.
    Trial,
    /// All otherwise suitable workers lack a valid ticket of the placement advisor.
    Advice,
    /// The members of a gang do not all fit at the same time.
    Gang,
    /// The job has not begun, and jobs that have begun take the capacity.
    Turn,
}

impl fmt::Display for WaitReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::NoWorker => "no_worker",
            Self::NotReady => "not_ready",
            Self::Unanswered => "unanswered",
            Self::Drained => "drained",
            Self::Label => "label",
            Self::Spread => "spread",
            Self::Capacity => "capacity",
            Self::Spare => "spare",
            Self::Interference => "interference",
            Self::Advice => "advice",
            Self::FailedThere => "failed_there",
            Self::Trial => "trial",
            Self::Gang => "gang",
            Self::Turn => "turn",
        })
    }
}

/// A step whose tasks wait for a reason that was not reported yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StepWait {
    /// First waiting task.
    pub task: TaskName,
    /// Number of waiting tasks.
    pub waiting: u32,
    /// Time for which the tasks have waited so far.
    pub waited: Duration,
    /// Reason of the wait.
    pub reason: WaitReason,
}

/// Reason why a run is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// The job is completed, failed or cancelled.
    JobEnded,
    /// No known job has requested the run.
    Orphan,
    /// Repeated order, because the first one may have been lost with a link.
    Repeated,
    /// Another member of the run's gang has ended.
    GangEnded,
    /// Another run has completed the task.
    DoneElsewhere,
    /// The run makes no progress, and another worker could run the task.
    Stalled,
    /// The worker is shutting down.
    Evacuated,
    /// The worker is slow, and a normal worker has capacity.
    SlowWorker,
}

impl fmt::Display for StopReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::JobEnded => "job_ended",
            Self::Orphan => "orphan",
            Self::Repeated => "repeated",
            Self::GangEnded => "gang_ended",
            Self::DoneElsewhere => "done_elsewhere",
            Self::Stalled => "stalled",
            Self::Evacuated => "evacuated",
            Self::SlowWorker => "slow_worker",
        })
    }
}
