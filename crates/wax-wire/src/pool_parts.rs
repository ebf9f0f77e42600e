//! Parts of the pool's messages: encodings of run ids, workers, boots, and reports and ends of runs.

use prost::Message;
use std::time::Duration;
use wax_batch::{
    BootId, JobName, LostRun, RunEnd, RunEndKind, RunId, RunReport, StartRefusal, TaskName,
    TaskSize, WorkerState, WorkerView,
};

/// Encoded [`RunId`]: a task and the number of its run.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct RunIdFrame {
    #[prost(fixed64, tag = "1")]
    job: u64,
    #[prost(uint32, tag = "2")]
    occurrence: u32,
    #[prost(uint32, tag = "3")]
    step: u32,
    #[prost(uint32, tag = "4")]
    index: u32,
    #[prost(uint64, tag = "5")]
    run: u64,
}

impl From<RunId> for RunIdFrame {
    fn from(run_id: RunId) -> Self {
        Self {
            job: run_id.task.job.0,
            occurrence: run_id.task.occurrence,
            step: run_id.task.step.into(),
            index: run_id.task.index,
            run: run_id.run,
        }
    }
}

impl From<&RunIdFrame> for RunId {
    fn from(frame: &RunIdFrame) -> Self {
        Self {
            task: TaskName {
                job: JobName(frame.job),
                occurrence: frame.occurrence,
                step: frame.step as u16,
                index: frame.index,
            },
            run: frame.run,
        }
    }
}

/// Encoded [`WorkerView`]: a worker's description of itself.
#[derive(Clone, PartialEq, Message)]
pub struct WorkerFrame {
    #[prost(string, tag = "1")]
    id: String,
    #[prost(string, tag = "2")]
    service: String,
    #[prost(string, tag = "3")]
    failure_domain: String,
    #[prost(string, optional, tag = "4")]
    rack: Option<String>,
    #[prost(string, repeated, tag = "5")]
    labels: Vec<String>,
    #[prost(uint32, tag = "6")]
    cpu_milli: u32,
    #[prost(uint32, tag = "7")]
    memory_mb: u32,
    #[prost(uint32, tag = "8")]
    accelerators: u32,
    #[prost(bool, tag = "9")]
    draining: bool,
    #[prost(uint32, tag = "10")]
    cold_ms: u32,
    #[prost(uint32, tag = "11")]
    remaining_ms: u32,
    #[prost(bool, tag = "12")]
    silent: bool,
    #[prost(uint64, optional, tag = "13")]
    started_ms: Option<u64>,
}

impl WorkerFrame {
    /// Returns the boot of the worker that is described.
    pub fn boot(&self) -> BootId {
        BootId::new(&*self.id, self.started_ms)
    }
}

/// Encoded [`BootId`]: one process life of a worker, by its id and start time.
#[derive(Clone, PartialEq, Message)]
pub struct BootFrame {
    #[prost(string, tag = "1")]
    worker: String,
    #[prost(uint64, optional, tag = "2")]
    started_ms: Option<u64>,
}

impl From<&BootId> for BootFrame {
    fn from(boot: &BootId) -> Self {
        Self {
            worker: boot.worker_id().into(),
            started_ms: boot.started_ms(),
        }
    }
}

impl From<&BootFrame> for BootId {
    fn from(frame: &BootFrame) -> Self {
        Self::new(&*frame.worker, frame.started_ms)
    }
}

impl From<&WorkerView> for WorkerFrame {
    fn from(view: &WorkerView) -> Self {
        Self {
            id: view.boot.worker_id().into(),
            service: view.service.to_string(),
            failure_domain: view.failure_domain.to_string(),
            rack: view.rack.as_deref().map(Into::into),
            labels: view.labels.iter().map(ToString::to_string).collect(),
            cpu_milli: view.capacity.cpu_milli,
            memory_mb: view.capacity.memory_mb,
            accelerators: view.capacity.accelerators,
            draining: view.state == WorkerState::Draining,
            cold_ms: view.cold_ms,
            remaining_ms: view.remaining_ms,
            silent: view.state == WorkerState::Silent,
            started_ms: view.boot.started_ms(),
        }
    }
}

impl From<WorkerFrame> for WorkerView {
    fn from(frame: WorkerFrame) -> Self {
        Self {
            boot: frame.boot(),
            service: frame.service.into(),
            failure_domain: frame.failure_domain.into(),
            rack: frame.rack.map(Into::into),
            labels: frame.labels.into_iter().map(Into::into).collect(),
            capacity: TaskSize {
                cpu_milli: frame.cpu_milli,
                memory_mb: frame.memory_mb,
                accelerators: frame.accelerators,
            },
            state: match (frame.draining, frame.silent) {
                (true, _) => WorkerState::Draining,
                (false, true) => WorkerState::Silent,
                (false, false) => WorkerState::Ready,
            },
            cold_ms: frame.cold_ms,
            remaining_ms: frame.remaining_ms,
        }
    }
}

/// Encoded [`RunReport`]: a run in progress.
#[derive(Clone, PartialEq, Message)]
pub struct RunReportFrame {
    #[prost(message, required, tag = "1")]
    run_id: RunIdFrame,
    #[prost(string, tag = "2")]
    checkpoint: String,
    #[prost(uint32, tag = "3")]
    percent: u32,
    #[prost(uint32, tag = "4")]
    load_metric: u32,
    #[prost(bool, tag = "5")]
    confirmed_by_worker: bool,
}

impl From<&RunReport> for RunReportFrame {
    fn from(report: &RunReport) -> Self {
        Self {
            run_id: report.run_id.into(),
            checkpoint: report.checkpoint.to_string(),
            percent: report.percent,
            load_metric: report.load_metric,
            confirmed_by_worker: report.confirmed_by_worker,
        }
    }
}

impl From<&RunReportFrame> for RunReport {
    fn from(frame: &RunReportFrame) -> Self {
        Self {
            run_id: (&frame.run_id).into(),
            checkpoint: frame.checkpoint.as_str().into(),
            percent: frame.percent,
            load_metric: frame.load_metric,
            confirmed_by_worker: frame.confirmed_by_worker,
        }
    }
}

/// Encoded [`LostRun`]: a run that was on a worker when the worker ended.
#[derive(Clone, PartialEq, Message)]
pub struct LostRunFrame {
    #[prost(message, required, tag = "1")]
    run_id: RunIdFrame,
    /// Lower bound on the run time in milliseconds; `None` if unknown.
    #[prost(uint64, optional, tag = "2")]
    min_run_time_ms: Option<u64>,
}

impl From<&LostRun> for LostRunFrame {
    fn from(lost: &LostRun) -> Self {
        Self {
            run_id: lost.run_id.into(),
            min_run_time_ms: lost
                .min_run_time
                .map(|run_time| run_time.as_millis() as u64),
        }
    }
}

impl From<&LostRunFrame> for LostRun {
    fn from(frame: &LostRunFrame) -> Self {
        Self {
            run_id: (&frame.run_id).into(),
            min_run_time: frame.min_run_time_ms.map(Duration::from_millis),
        }
    }
}

/// Encoded [`RunEnd`]: a run that has ended.
#[derive(Clone, PartialEq, Message)]
pub struct RunEndFrame {
    #[prost(uint64, tag = "1")]
    number: u64,
    #[prost(message, required, tag = "2")]
    run_id: RunIdFrame,
    #[prost(uint32, tag = "3")]
    kind: u32,
    #[prost(string, tag = "4")]
    checkpoint: String,
}

/// Kinds of end; the index of each is its number on the wire.
const END_KINDS: [RunEndKind; 6] = [
    RunEndKind::Stopped,
    RunEndKind::Done,
    RunEndKind::Failed,
    RunEndKind::Lapsed,
    RunEndKind::Broken,
    RunEndKind::Alone,
];

impl From<&RunEnd> for RunEndFrame {
    fn from(end: &RunEnd) -> Self {
        let kind = END_KINDS.iter().position(|kind| *kind == end.kind);
        Self {
            number: end.number,
            run_id: end.run_id.into(),
            kind: kind.unwrap_or_default() as u32,
            checkpoint: end.checkpoint.to_string(),
        }
    }
}

impl RunEndFrame {
    /// Returns the id of the run that has ended.
    pub fn run_id(&self) -> RunId {
        (&self.run_id).into()
    }
}

impl From<&RunEndFrame> for RunEnd {
    fn from(frame: &RunEndFrame) -> Self {
        let kind = END_KINDS.get(frame.kind as usize).copied();
        Self {
            number: frame.number,
            run_id: (&frame.run_id).into(),
            kind: kind.unwrap_or(RunEndKind::Stopped),
            checkpoint: frame.checkpoint.as_str().into(),
        }
    }
}

/// A run that the worker did not start and never will, with the reason.
#[derive(Clone, PartialEq, Message)]
pub struct RefusalFrame {
    #[prost(message, required, tag = "1")]
    run_id: RunIdFrame,
    #[prost(uint32, tag = "2")]
    reason: u32,
    /// Whether the worker left the start unanswered. The reason is then that of an unhealthy
    /// worker, which is how peers without this field read it.
    #[prost(bool, tag = "3")]
    unanswered: bool,
}

impl RefusalFrame {
    /// Encodes the refusal of a run.
    pub fn new(run_id: RunId, refusal: StartRefusal) -> Self {
        let reason = match refusal {
            StartRefusal::Stale => 0,
            StartRefusal::Room => 1,
            StartRefusal::Unwell | StartRefusal::Unanswered => 2,
            StartRefusal::Drained => 3,
        };
        Self {
            run_id: run_id.into(),
            reason,
            unanswered: refusal == StartRefusal::Unanswered,
        }
    }

    /// Decodes the run and the reason. An unknown reason counts as [`StartRefusal::Stale`].
    pub fn decode(&self) -> (RunId, StartRefusal) {
        let refusal = match self.reason {
            1 => StartRefusal::Room,
            2 if self.unanswered => StartRefusal::Unanswered,
            2 => StartRefusal::Unwell,
            3 => StartRefusal::Drained,
            _ => StartRefusal::Stale,
        };
        ((&self.run_id).into(), refusal)
    }
}
