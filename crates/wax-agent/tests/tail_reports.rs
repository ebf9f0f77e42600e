//! The owner learns which serving tasks exceed their target: it compares the speed of workers by
//! them. A task that has reached 100 percent makes no progress that would be reported.

use wax_agent::{PlacementInfo, RunTable};
use wax_batch::{EndPage, JobName, RunId, RunReport, TaskName, TaskSize, WorkerView};
use wax_types::TimePoint;

const TARGET_MS: u32 = 100;

fn run_id() -> RunId {
    RunId {
        task: TaskName {
            job: JobName(1),
            occurrence: 0,
            step: 0,
            index: 0,
        },
        run: 1,
    }
}

fn table_with_run(best_effort: bool) -> RunTable {
    let size = TaskSize {
        cpu_milli: 1_000,
        memory_mb: 1,
        accelerators: 0,
    };
    let placement = PlacementInfo {
        reserved: size,
        cpu_milli: size.cpu_milli,
        best_effort,
        tail_target_ms: TARGET_MS,
        ..Default::default()
    };
    let view = WorkerView {
        capacity: size,
        ..Default::default()
    };
    let mut table = RunTable::default();
    let reserved = table.reserve(run_id(), placement, &view, TimePoint::from_millis(0));
    reserved.expect("the worker has capacity");
    table.mark_running(run_id());
    table
}

/// Applies a hold and returns the reported tail latencies.
fn tails_after_hold(table: &mut RunTable, percent: u32, load_metric: u32) -> Vec<u32> {
    let report = RunReport {
        run_id: run_id(),
        checkpoint: "".into(),
        percent,
        load_metric,
        confirmed_by_worker: true,
    };
    table.reconcile(&[report], &EndPage::all(&[]), 1);
    let reports = table.tail_reports();
    reports.iter().map(|report| report.load_metric).collect()
}

#[test]
fn a_tail_over_its_target_is_reported_until_it_is_below_again() {
    let mut table = table_with_run(false);
    assert!(tails_after_hold(&mut table, 100, 40).is_empty());
    assert_eq!(tails_after_hold(&mut table, 100, 240), [240]);
    assert_eq!(tails_after_hold(&mut table, 100, 250), [250]);
    assert_eq!(tails_after_hold(&mut table, 100, 60), [60]);
    assert!(tails_after_hold(&mut table, 100, 60).is_empty());
}

#[test]
fn a_task_that_is_not_working_yet_has_no_tail() {
    let mut table = table_with_run(false);
    assert!(tails_after_hold(&mut table, 50, 240).is_empty());
}

#[test]
fn the_load_metric_of_a_best_effort_task_is_no_tail_latency() {
    let mut table = table_with_run(true);
    assert!(tails_after_hold(&mut table, 100, 240).is_empty());
}
