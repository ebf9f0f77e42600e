//! Workers as an owner sees them, and what they report.

use crate::boot::BootId;
use crate::names::RunId;
use crate::spec::TaskSize;
use std::time::Duration;

slotmap::new_key_type! {
    /// A worker that an owner knows.
    pub struct WorkerKey;
}

/// How a worker stands by its own word.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum WorkerState {
    /// It takes work.
    #[default]
    Ready,
    /// It is about to leave.
    Draining,
    /// Its agent gets no answer from it; it may be gone.
    Silent,
}

/// What a worker says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct WorkerView {
    /// Which boot of the worker says so.
    pub boot: BootId,
    /// The service whose tasks it runs.
    pub service: Box<str>,
    /// Its failure domain.
    pub failure_domain: Box<str>,
    /// Its rack, if it names one.
    pub rack: Option<Box<str>>,
    /// Its labels.
    pub labels: Vec<Box<str>>,
    /// What it has.
    pub capacity: TaskSize,
    /// Whether it takes work.
    pub state: WorkerState,
    /// How much longer it is slow after its start, milliseconds.
    pub cold_ms: u32,
    /// How long it stays at least while it drains, milliseconds.
    pub remaining_ms: u32,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEndKind {
    /// With its result.
    Done,
    /// By its own fault or the worker's.
    Failed,
    /// By a stop.
    Stopped,
    /// Its lease lapsed.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come.
    Alone,
}

/// An end as the worker lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunEnd {
    /// The worker's own count of ends in this boot, from 1.
    pub number: u64,
    /// The run.
    pub run_id: RunId,
    /// How it ended.
    pub kind: RunEndKind,
    /// Its last checkpoint; empty for none.
    pub checkpoint: Box<str>,
}

/// A run that was on a worker when that ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LostRun {
    /// The run.
    pub run_id: RunId,
    /// For how long it surely ran: from its start to the worker's last answer. `None` if that is not
    /// known: another process of the worker's machine has sent its start.
    pub min_run_time: Option<Duration>,
}

/// A run that goes on, as the worker lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunReport {
    /// The run.
    pub run_id: RunId,
    /// Its last checkpoint; empty for none.
    pub checkpoint: Box<str>,
    /// How much of its work is done; 100 for a lasting task at work.
    pub percent: u32,
    /// For a serving task its tail latency in milliseconds, else the thousandths of a core in use.
    pub load_metric: u32,
    /// Whether the worker itself lists it as running; else it may only begin yet.
    pub confirmed_by_worker: bool,
}
