//! Workers as the owner knows them, and the reports about their runs.

use crate::boot::BootId;
use crate::names::RunId;
use crate::spec::TaskSize;
use std::time::Duration;

slotmap::new_key_type! {
    /// Key of a worker within one [`JobScheduler`](crate::JobScheduler).
    pub struct WorkerKey;
}

/// State of a worker as reported by its agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum WorkerState {
    /// The worker accepts tasks.
    #[default]
    Ready,
    /// The worker is about to shut down and accepts no new tasks.
    Draining,
    /// The worker does not answer its agent and may have terminated.
    Silent,
}

/// A worker's description of itself.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct WorkerView {
    /// Boot of the worker that the description is from.
    pub boot: BootId,
    /// Service whose tasks the worker runs.
    pub service: Box<str>,
    /// Failure domain of the worker.
    pub failure_domain: Box<str>,
    /// Rack of the worker, if known.
    pub rack: Option<Box<str>>,
    /// Labels of the worker.
    pub labels: Vec<Box<str>>,
    /// Resources of the worker in total.
    pub capacity: TaskSize,
    /// State of the worker.
    pub state: WorkerState,
    /// Remaining time of reduced speed after the worker's start, milliseconds.
    pub cold_ms: u32,
    /// Minimum time before a draining worker shuts down, milliseconds.
    pub remaining_ms: u32,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEndKind {
    /// The run completed with its result.
    Done,
    /// The run failed by its own fault or the worker's.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The lease of the run expired.
    Lapsed,
    /// Another member of the run's gang ended.
    Broken,
    /// The other members of the run's gang did not start in time.
    Alone,
}

/// End of a run as reported by the worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunEnd {
    /// Number of the end, counted by the worker from 1 in each boot.
    pub number: u64,
    /// Run that ended.
    pub run_id: RunId,
    /// How the run ended.
    pub kind: RunEndKind,
    /// Last checkpoint of the run; empty for none.
    pub checkpoint: Box<str>,
}

/// Ends of runs that a worker lists at one moment, oldest first. An answer of the worker has a
/// limited size: it lists further ends once the first ones are acknowledged.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EndPage {
    /// The ends.
    pub ends: Vec<RunEnd>,
    /// Whether there may be further ends. A run that is neither running nor on the page may then
    /// have ended in any way.
    pub has_more: bool,
}

impl EndPage {
    /// Returns a page with all ends that are not acknowledged.
    pub fn all(ends: &[RunEnd]) -> Self {
        Self {
            ends: ends.to_vec(),
            has_more: false,
        }
    }
}

/// Run that was on a worker when the worker terminated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LostRun {
    /// Run that was lost.
    pub run_id: RunId,
    /// Lower bound on the run time: from the start to the worker's last answer. `None` if the start
    /// was sent by another process on the worker's VM, so that the run time is unknown.
    pub min_run_time: Option<Duration>,
}

/// Progress of a run as reported by the worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunReport {
    /// Run that is in progress.
    pub run_id: RunId,
    /// Last checkpoint of the run; empty for none.
    pub checkpoint: Box<str>,
    /// Share of the work that is done, in percent; 100 for a long-running task that is working.
    pub percent: u32,
    /// Tail latency in milliseconds for a serving task; processors in use, in thousandths of a
    /// core, for other tasks.
    pub load_metric: u32,
    /// Whether the worker itself lists the run. Otherwise a start was sent, but the run may not
    /// have begun.
    pub confirmed_by_worker: bool,
}
