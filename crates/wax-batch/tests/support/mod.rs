//! A book with workers and jobs for tests.

#![allow(dead_code, reason = "each test file uses its own part")]

use wax_batch::{
    JobBook, JobName, JobProgress, JobRow, JobSpec, QueueConfig, QueueRules, RunEnd, RunEndKind,
    RunMark, RunReport, StartOrder, StepSpec, TaskName, TaskSize, WorkerKey, WorkerView,
};
use wax_policy::PlacementRules;
use wax_types::TimePoint;

/// Unix milliseconds at [`at`] zero.
pub(crate) const EPOCH_MS: u64 = 1_000_000;

pub(crate) fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(100_000 + millis)
}

pub(crate) fn wall(millis: u64) -> u64 {
    EPOCH_MS + millis
}

pub(crate) fn size(cpu_milli: u32) -> TaskSize {
    TaskSize {
        cpu_milli,
        memory_mb: 100,
        accelerators: 0,
    }
}

pub(crate) fn step(count: u32, cpu_milli: u32) -> StepSpec {
    StepSpec {
        count,
        size: size(cpu_milli),
        estimate_ms: 1_000,
        ..Default::default()
    }
}

pub(crate) fn spec(steps: Vec<StepSpec>) -> JobSpec {
    JobSpec {
        text: "work".into(),
        steps: steps.into(),
        repeat: None,
    }
}

pub(crate) fn config(most_attempts: u32) -> QueueConfig {
    QueueConfig {
        version: 1,
        queues: vec![
            QueueRules {
                name: "gauges".into(),
                host: "h".into(),
                prefix: "/g/".into(),
                service: "svc".into(),
                priority: 0,
                most_attempts,
                stretch: 2.0,
                target_latency_ms: 500,
                timeout_ms: 3_000,
                advice: None,
            }
            .into(),
        ],
        services: Vec::new(),
        body_bytes: 1 << 18,
    }
}

/// A settled book of term `epoch`.
pub(crate) fn book(epoch: u64) -> JobBook {
    let mut book = JobBook::new(epoch, PlacementRules::default());
    book.set_config(config(2).into());
    book.settle();
    book
}

pub(crate) fn add(
    book: &mut JobBook,
    job: u64,
    epoch: u64,
    spec: &JobSpec,
    progress: Option<&JobProgress>,
) -> JobName {
    let mut row = JobRow::new(spec, "gauges", "svc", wall(0), 1);
    row.epoch = epoch;
    book.add_job(JobName(job), row, progress, at(0), wall(0));
    JobName(job)
}

pub(crate) fn worker(book: &mut JobBook, id: &str, cpu_milli: u32) -> WorkerKey {
    book.worker_joined(
        WorkerView {
            boot: id.into(),
            service: "svc".into(),
            capacity: TaskSize {
                cpu_milli,
                memory_mb: 60_000,
                accelerators: 0,
            },
            ..Default::default()
        },
        id,
    )
}

pub(crate) fn mark(job: u64, step: u16, index: u32, run: u64) -> RunMark {
    RunMark {
        task: TaskName {
            job: JobName(job),
            occurrence: 0,
            step,
            index,
        },
        run,
    }
}

pub(crate) fn end(number: u64, mark: RunMark, kind: RunEndKind) -> RunEnd {
    RunEnd {
        number,
        mark,
        kind,
        checkpoint: "".into(),
    }
}

pub(crate) fn running(mark: RunMark) -> RunReport {
    RunReport {
        mark,
        checkpoint: "".into(),
        percent: 10,
        figure: 0,
        listed: true,
    }
}

/// Tells the book that all orders were carried out.
pub(crate) fn start_all(book: &mut JobBook, orders: &[StartOrder], now: TimePoint) {
    for order in orders {
        book.run_started(order.worker, order.mark, now);
    }
}

/// Writes everything to the store and returns what was written.
pub(crate) fn store_all(book: &mut JobBook) -> Vec<(JobName, JobProgress)> {
    let notes = book.take_notes(1_000);
    book.notes_stored(&notes);
    notes
        .into_iter()
        .map(|note| (note.name, note.progress))
        .collect()
}
