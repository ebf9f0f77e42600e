//! Which ends of a boot count as crashes, and how long new owners get them.

use std::time::Duration;
use wax_agent::CrashLog;
use wax_batch::{BootId, JobName, LostRun, RunId, TaskName, WorkerState, WorkerView};
use wax_types::TimePoint;

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(100_000 + millis)
}

fn boot(id: &str) -> BootId {
    id.into()
}

fn view(id: &str, state: WorkerState) -> WorkerView {
    WorkerView {
        boot: id.into(),
        state,
        ..Default::default()
    }
}

fn lost_run() -> LostRun {
    let task = TaskName {
        job: JobName(1),
        occurrence: 0,
        step: 0,
        index: 0,
    };
    LostRun {
        run_id: RunId { task, run: 1 },
        min_run_time: Some(Duration::from_millis(3)),
    }
}

fn reported_workers(log: &CrashLog, millis: u64) -> Vec<String> {
    let crashes = log.recent(at(millis));
    crashes.map(|crash| crash.worker.clone()).collect()
}

#[test]
fn boot_that_ended_without_leaving_is_reported_as_crashed_for_a_limited_time() {
    let mut log = CrashLog::default();
    let crash = log.note_ended(&view("i-1", WorkerState::Ready), &[lost_run()], at(0));
    let crash = crash.expect("the boot counts as crashed");
    assert_eq!(LostRun::from(&crash.runs[0]), lost_run());
    assert_eq!(reported_workers(&log, 9_000), ["i-1"]);
    assert!(reported_workers(&log, 11_000).is_empty());
}

#[test]
fn draining_boot_that_ended_is_not_a_crash() {
    let mut log = CrashLog::default();
    let draining = view("i-1", WorkerState::Draining);
    assert_eq!(log.note_ended(&draining, &[lost_run()], at(0)), None);
    log.note_expired(&draining, vec![lost_run()]);
    assert_eq!(log.note_active(&boot("i-2"), at(10)), None);
}

#[test]
fn boot_with_expired_leases_crashed_if_another_boot_follows() {
    let mut log = CrashLog::default();
    let silent = view("i-1", WorkerState::Ready);
    log.note_expired(&silent, vec![lost_run()]);
    assert_eq!(
        log.note_active(&boot("i-1"), at(10)),
        None,
        "the same boot is active again"
    );
    log.note_expired(&silent, vec![lost_run()]);
    log.note_left(&boot("i-1"));
    assert_eq!(
        log.note_active(&boot("i-2"), at(20)),
        None,
        "the boot announced its end"
    );
    log.note_expired(&silent, vec![lost_run()]);
    let crash = log
        .note_active(&boot("i-2"), at(30))
        .expect("the boot counts as crashed");
    assert_eq!(crash.worker, "i-1");
}

#[test]
fn repeated_crashes_use_bounded_memory() {
    let mut log = CrashLog::default();
    for boot in 0..100 {
        let ready = view(&format!("i-{boot}"), WorkerState::Ready);
        log.note_ended(&ready, &[lost_run()], at(boot));
    }
    assert_eq!(reported_workers(&log, 100).len(), 8);
}

#[test]
fn boot_with_expired_leases_crashed_if_the_worker_restarts_under_its_id() {
    let mut log = CrashLog::default();
    let before = BootId::new("i-1", Some(1_000));
    let silent = WorkerView {
        boot: before.clone(),
        ..Default::default()
    };
    log.note_expired(&silent, vec![lost_run()]);
    let after = BootId::new("i-1", Some(2_000));
    let crash = log
        .note_active(&after, at(10))
        .expect("the boot counts as crashed");
    assert_eq!(crash.boot(), before);
}
