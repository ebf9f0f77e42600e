//! Why a task was placed, waits, or is stopped: for logs and explanations.

use crate::names::TaskName;
use crate::rank::JobRank;
use std::fmt;
use std::time::Duration;

/// What decided a placement.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementReason {
    /// How long the step's tasks had waited.
    pub waited: Duration,
    /// The step's rank among all that waited.
    pub rank: JobRank,
    /// The cost of the worker that was chosen, in shares of a worker's processors.
    pub cost: f64,
    /// The cost of the next best one; `None` if no other would take the task.
    pub next_cost: Option<f64>,
    /// The pace that is expected there, 0 to 1.
    pub pace: f64,
    /// How long ago the chosen worker's agent was heard.
    pub view_age: Duration,
}

/// Why no worker takes a task now: the last obstacle at the worker that comes nearest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum WaitReason {
    /// No worker of its service is known.
    NoWorker,
    /// No worker has the label.
    Label,
    /// No worker can be reached, is healthy and stays.
    NotReady,
    /// No worker is left but in failure domains that are drained.
    Drained,
    /// No worker has capacity left.
    Capacity,
    /// Too little is left to tasks that fill.
    Spare,
    /// Workers have as many tasks of the step as they may.
    Spread,
    /// Tasks that serve would bear it nowhere at the pace that is asked for.
    Interference,
    /// No ticket of the advisor is valid.
    Advice,
    /// Only the worker is left on which it has just failed.
    FailedThere,
    /// It may end its worker, and workers are kept for others that may, or not yet for it.
    Trial,
    /// A gang's members do not fit all at once.
    Gang,
}

impl fmt::Display for WaitReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::NoWorker => "no_worker",
            Self::NotReady => "not_ready",
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
        })
    }
}

/// A step whose tasks wait for a reason that was not told yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StepWait {
    /// The first task that waits.
    pub task: TaskName,
    /// How many tasks wait.
    pub waiting: u32,
    /// For how long by now.
    pub waited: Duration,
    /// Why.
    pub reason: WaitReason,
}

/// Why a run is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// Its job is completed, failed or cancelled.
    JobEnded,
    /// No known job asks for it.
    Orphan,
    /// The order may have been lost with a link.
    Repeated,
    /// Another member of its gang ended.
    GangEnded,
    /// Another run has done its task.
    DoneElsewhere,
    /// It makes no progress, and another worker would bear it.
    Stalled,
    /// Its worker leaves.
    Evacuated,
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
        })
    }
}
