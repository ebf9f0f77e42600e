//! Which ends of a worker are crashes, and who is told of them.

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

fn lost() -> LostRun {
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

fn told(log: &CrashLog, millis: u64) -> Vec<String> {
    let crashes = log.lately(at(millis));
    crashes.map(|crash| crash.worker.clone()).collect()
}

#[test]
fn a_boot_that_ended_without_a_word_crashed_and_new_owners_are_told_for_a_while() {
    let mut log = CrashLog::default();
    let crash = log.note_ended(&view("i-1", WorkerState::Ready), &[lost()], at(0));
    let crash = crash.expect("it crashed");
    assert_eq!(LostRun::from(&crash.runs[0]), lost());
    assert_eq!(told(&log, 9_000), ["i-1"]);
    assert!(told(&log, 11_000).is_empty());
}

#[test]
fn a_boot_that_said_it_would_go_did_not_crash() {
    let mut log = CrashLog::default();
    let draining = view("i-1", WorkerState::Draining);
    assert_eq!(log.note_ended(&draining, &[lost()], at(0)), None);
    log.note_lapsed(&draining, vec![lost()]);
    assert_eq!(log.note_driven(&boot("i-2"), at(10)), None);
}

#[test]
fn a_boot_whose_leases_lapsed_crashed_if_another_one_comes_after_it() {
    let mut log = CrashLog::default();
    let silent = view("i-1", WorkerState::Ready);
    log.note_lapsed(&silent, vec![lost()]);
    assert_eq!(
        log.note_driven(&boot("i-1"), at(10)),
        None,
        "it was only silent"
    );
    log.note_lapsed(&silent, vec![lost()]);
    log.note_left(&boot("i-1"));
    assert_eq!(
        log.note_driven(&boot("i-2"), at(20)),
        None,
        "it said that it ends"
    );
    log.note_lapsed(&silent, vec![lost()]);
    let crash = log.note_driven(&boot("i-2"), at(30)).expect("it crashed");
    assert_eq!(crash.worker, "i-1");
}

#[test]
fn a_worker_that_crashes_all_the_time_fills_no_memory() {
    let mut log = CrashLog::default();
    for boot in 0..100 {
        let ready = view(&format!("i-{boot}"), WorkerState::Ready);
        log.note_ended(&ready, &[lost()], at(boot));
    }
    assert_eq!(told(&log, 100).len(), 8);
}

#[test]
fn a_boot_whose_leases_lapsed_crashed_if_its_worker_started_again_under_the_id() {
    let mut log = CrashLog::default();
    let before = BootId::new("i-1", Some(1_000));
    let silent = WorkerView {
        boot: before.clone(),
        ..Default::default()
    };
    log.note_lapsed(&silent, vec![lost()]);
    let after = BootId::new("i-1", Some(2_000));
    let crash = log.note_driven(&after, at(10)).expect("it crashed");
    assert_eq!(crash.boot(), before);
}
