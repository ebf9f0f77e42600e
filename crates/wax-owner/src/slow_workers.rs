//! Reviews the speeds of the workers, logs changes, and orders moves off slow workers.

use std::time::Duration;
use wax_batch::{JobScheduler, SpeedChange};
use wax_policy::SpeedVerdict;
use wax_trace::{Counter, SlowWorker, count, count_many, set_slow_workers, shown_slow_workers};
use wax_types::{TimePoint, wall_clock_ms};

/// Updates the verdicts on the workers and orders the moves that follow from them.
pub(crate) fn review_slow_workers(scheduler: &mut JobScheduler, now: TimePoint) {
    scheduler.review_performance(now);
    let changes = scheduler.take_speed_changes();
    for change in &changes {
        log_change(change);
    }
    // A slow worker that leaves the pool causes no change of a verdict.
    if !changes.is_empty() || scheduler.slow_workers().count() != shown_slow_workers() {
        set_slow_workers(slow_worker_rows(scheduler, now));
    }
    let moves = scheduler.move_off_slow(now);
    count_many(Counter::RunsMovedOffSlow, moves as u64);
}

fn slow_worker_rows(scheduler: &JobScheduler, now: TimePoint) -> Vec<SlowWorker> {
    let workers = scheduler.slow_workers();
    let rows = workers.map(|worker| SlowWorker {
        boot: worker.boot.to_string(),
        verdict: worker.verdict.as_str(),
        cause: worker.cause.as_str(),
        speed: worker.speed,
        slow_since_ms: wall_clock_ms() - now.since(worker.slow_since).as_millis() as u64,
    });
    rows.collect()
}

fn log_change(change: &SpeedChange) {
    match change.verdict {
        SpeedVerdict::Slow => count(Counter::WorkersFoundSlow),
        SpeedVerdict::Normal => count(Counter::WorkersFoundNormal),
        SpeedVerdict::Probing => {}
    }
    tracing::info!(
        worker = %change.boot,
        verdict = change.verdict.as_str(),
        why = change.cause.as_str(),
        speed = rounded(change.speed),
        confidence = rounded(change.confidence),
        age_ms = change.age.map(millis),
        hold_off_ms = millis(change.hold_off),
        slow_workers = change.slow_workers,
        "speed of a worker changed"
    );
}

fn millis(span: Duration) -> u64 {
    span.as_millis() as u64
}

/// Rounds to three decimal places for the log.
fn rounded(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}
