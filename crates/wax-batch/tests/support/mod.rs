//! Scheduler, workers and jobs for tests.

#![allow(dead_code, reason = "each test file uses its own part")]

use wax_batch::{
    JobName, JobProgress, JobRow, JobScheduler, JobSpec, OwnerClocks, QueueConfig, QueueRules,
    RunEnd, RunEndKind, RunId, RunReport, StartOrder, StepSpec, StoredProgress, TaskName, TaskSize,
    VersionedRules, WorkerKey, WorkerView,
};
use wax_policy::PlacementRules;
use wax_types::TimePoint;

/// Unix time in milliseconds that corresponds to `at(0)`.
pub(crate) const START_UNIX_MS: u64 = 1_000_000;

/// Returns the monotonic time `millis` after the start of a test.
pub(crate) fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(100_000 + millis)
}

/// Returns the Unix time in milliseconds at `at(millis)`.
pub(crate) fn unix_ms(millis: u64) -> u64 {
    START_UNIX_MS + millis
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

pub(crate) fn config(max_attempts: u32) -> QueueConfig {
    QueueConfig {
        version: 1,
        queues: vec![
            QueueRules {
                name: "gauges".into(),
                host: "h".into(),
                prefix: "/g/".into(),
                service: "svc".into(),
                priority: 0,
                max_attempts,
                stretch: 2.0,
                target_latency_ms: 500,
                timeout_ms: 3_000,
                advice: None,
            }
            .into(),
        ],
        services: Vec::new(),
        max_body_bytes: 1 << 18,
    }
}

/// Returns the rules of a queue of a config.
pub(crate) fn rules_of(config: &QueueConfig, queue: usize) -> VersionedRules {
    VersionedRules {
        version: config.version,
        rules: config.queues[queue].clone(),
    }
}

/// Returns the rules of the only queue of [`config`].
pub(crate) fn queue_rules(max_attempts: u32) -> VersionedRules {
    rules_of(&config(max_attempts), 0)
}

/// Returns the clocks of an owner at `at(millis)`; the store's clock is not known.
pub(crate) fn clocks(millis: u64) -> OwnerClocks {
    OwnerClocks {
        now: at(millis),
        wall_ms: unix_ms(millis),
        store_time: None,
    }
}

/// Returns a fully reconciled scheduler of term `epoch`.
pub(crate) fn scheduler(epoch: u64) -> JobScheduler {
    let mut scheduler = JobScheduler::new(epoch, PlacementRules::default());
    scheduler.set_config(config(2).into(), unix_ms(0));
    scheduler.mark_all_reconciled();
    scheduler
}

pub(crate) fn add_job(
    scheduler: &mut JobScheduler,
    job: u64,
    epoch: u64,
    spec: &JobSpec,
    progress: Option<&JobProgress>,
) -> JobName {
    let mut row = JobRow::new(spec, &queue_rules(2), unix_ms(0), 1);
    row.epoch = epoch;
    let stored = progress.map(|progress| StoredProgress {
        progress: progress.clone(),
        version: 1,
        ..Default::default()
    });
    scheduler.add_job(JobName(job), row, stored.as_ref(), &clocks(0));
    JobName(job)
}

pub(crate) fn worker(scheduler: &mut JobScheduler, id: &str, cpu_milli: u32) -> WorkerKey {
    scheduler.add_worker(
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

pub(crate) fn run_id(job: u64, step: u16, index: u32, run: u64) -> RunId {
    RunId {
        task: TaskName {
            job: JobName(job),
            occurrence: 0,
            step,
            index,
        },
        run,
    }
}

pub(crate) fn end(number: u64, run_id: RunId, kind: RunEndKind) -> RunEnd {
    RunEnd {
        number,
        run_id,
        kind,
        checkpoint: "".into(),
    }
}

pub(crate) fn running(run_id: RunId) -> RunReport {
    RunReport {
        run_id,
        checkpoint: "".into(),
        percent: 10,
        load_metric: 0,
        confirmed_by_worker: true,
    }
}

/// Records the starts of all ordered runs.
pub(crate) fn record_all_starts(
    scheduler: &mut JobScheduler,
    orders: &[StartOrder],
    now: TimePoint,
) {
    for order in orders {
        scheduler.record_start(order.worker, order.run_id, now);
    }
}

/// Confirms all pending updates as stored, and returns what was written.
pub(crate) fn store_all(scheduler: &mut JobScheduler) -> Vec<(JobName, JobProgress)> {
    let updates = scheduler.take_updates(1_000);
    scheduler.confirm_updates(&updates, 1, at(0));
    updates
        .into_iter()
        .map(|update| (update.name, update.progress))
        .collect()
}
