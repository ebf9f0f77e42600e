//! Admission by capacity, expiry of leases, and runs with unanswered starts or stops.

use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;
use wax_agent::{LeaseClock, LeaseRules, PlacementInfo, RunState, RunTable};
use wax_batch::{
    JobName, RunEnd, RunEndKind, RunId, RunReport, StartRefusal, TaskName, TaskSize, WorkerState,
    WorkerView,
};
use wax_types::TimePoint;

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(100_000 + millis)
}

fn run_id(index: u32, run: u64) -> RunId {
    RunId {
        task: TaskName {
            job: JobName(1),
            occurrence: 0,
            step: 0,
            index,
        },
        run,
    }
}

fn placement(cpu_milli: u32) -> PlacementInfo {
    PlacementInfo {
        reserved: TaskSize {
            cpu_milli,
            memory_mb: 1,
            accelerators: 0,
        },
        cpu_milli,
        ..Default::default()
    }
}

fn view(cpu_milli: u32) -> WorkerView {
    WorkerView {
        capacity: TaskSize {
            cpu_milli,
            memory_mb: 1_000,
            accelerators: 0,
        },
        ..Default::default()
    }
}

fn report(run_id: RunId) -> RunReport {
    RunReport {
        run_id,
        checkpoint: "".into(),
        percent: 10,
        load_metric: 0,
        confirmed_by_worker: true,
    }
}

fn end(number: u64, run_id: RunId) -> RunEnd {
    RunEnd {
        number,
        run_id,
        kind: RunEndKind::Stopped,
        checkpoint: "".into(),
    }
}

#[test]
fn stopping_run_keeps_its_reservation_until_its_end_is_listed() {
    let mut table = RunTable::default();
    assert_eq!(
        table.reserve(run_id(0, 1), placement(1_000), &view(1_000), at(0)),
        Ok(())
    );
    table.mark_running(run_id(0, 1));
    table.mark_stopping(run_id(0, 1));
    table.mark_stopped(run_id(0, 1), 5);
    assert_eq!(
        table.reserve(run_id(1, 1), placement(1), &view(1_000), at(0)),
        Err(StartRefusal::Room)
    );
    table.reconcile(&[report(run_id(0, 1))], &[], 6);
    assert_eq!(
        table.reserve(run_id(1, 1), placement(1), &view(1_000), at(0)),
        Err(StartRefusal::Room)
    );
    table.reconcile(&[], &[end(1, run_id(0, 1))], 7);
    assert_eq!(
        table.reserve(run_id(1, 1), placement(1), &view(1_000), at(0)),
        Ok(())
    );
}

#[test]
fn nothing_starts_next_to_a_run_of_unknown_size() {
    let mut table = RunTable::default();
    table.reconcile(&[report(run_id(0, 1))], &[], 1);
    assert_eq!(
        table.reserve(run_id(1, 1), placement(1), &view(1_000), at(0)),
        Err(StartRefusal::Room)
    );
    table.set_placement(run_id(0, 1), placement(500));
    assert_eq!(
        table.reserve(run_id(1, 1), placement(500), &view(1_000), at(0)),
        Ok(())
    );
}

#[test]
fn unanswered_start_keeps_its_reservation_until_a_later_hold_omits_it() {
    let mut table = RunTable::default();
    assert_eq!(
        table.reserve(run_id(0, 1), placement(1_000), &view(1_000), at(0)),
        Ok(())
    );
    table.mark_stopping(run_id(0, 1));
    // The hold in progress may have been answered before the stop.
    table.mark_stopped(run_id(0, 1), 3);
    assert!(table.reconcile(&[], &[], 3).never_started.is_empty());
    assert_eq!(
        table.state(run_id(0, 1)),
        Some(RunState::Stopped { hold: 3 })
    );
    let updates = table.reconcile(&[], &[], 4);
    assert_eq!(updates.never_started, vec![run_id(0, 1)]);
    assert!(table.is_empty());
}

#[test]
fn lost_answer_to_a_start_is_resolved_by_the_next_hold() {
    let mut table = RunTable::default();
    assert_eq!(
        table.reserve(run_id(0, 1), placement(1_000), &view(1_000), at(0)),
        Ok(())
    );
    table.reconcile(&[report(run_id(0, 1))], &[], 1);
    assert_eq!(table.state(run_id(0, 1)), Some(RunState::Running));
}

#[test]
fn end_is_reported_once_even_before_the_run_was_listed() {
    let mut table = RunTable::default();
    assert_eq!(
        table.reserve(run_id(0, 1), placement(1_000), &view(1_000), at(0)),
        Ok(())
    );
    let ended = [end(1, run_id(0, 1))];
    assert_eq!(table.reconcile(&[], &ended, 1).ended.len(), 1);
    assert_eq!(
        table.reconcile(&[], &ended, 2).ended.len(),
        0,
        "an end is listed again until it is acknowledged"
    );
}

#[test]
fn lost_run_is_counted_from_its_start_to_the_last_answer() {
    let mut table = RunTable::default();
    let reserved = table.reserve(run_id(0, 1), placement(1), &view(1_000), at(0));
    assert_eq!(reserved, Ok(()));
    let reserved = table.reserve(run_id(1, 1), placement(1), &view(1_000), at(500));
    assert_eq!(reserved, Ok(()));
    // An earlier agent process started this run.
    table.reconcile(&[report(run_id(2, 1))], &[], 1);
    let mut lost = table.lost_runs(at(300));
    lost.sort_by_key(|lost| lost.run_id.task.index);
    let ran: Vec<Option<Duration>> = lost.iter().map(|lost| lost.min_run_time).collect();
    let known = Duration::from_millis(300);
    assert_eq!(ran, [Some(known), Some(Duration::ZERO), None]);
}

#[test]
fn draining_worker_starts_nothing() {
    let mut table = RunTable::default();
    let draining = WorkerView {
        state: WorkerState::Draining,
        ..view(1_000)
    };
    assert_eq!(
        table.reserve(run_id(0, 1), placement(1), &draining, at(0)),
        Err(StartRefusal::Stale)
    );
}

#[test]
fn leases_of_a_silent_worker_expire() {
    let rules = LeaseRules::default();
    let mut lease = LeaseClock::default();
    lease.note_clock(at(0), 5_000);
    let authority = at(1_000_000);
    assert!(lease.extend(at(10), authority, &rules).is_some());
    let mut now = at(10);
    // Each attempt of a hold asks for an extension. Failed attempts must not move the end of the
    // leases forward for ever.
    while !lease.has_expired(now) {
        now = now + Duration::from_millis(60);
        lease.extend(now, authority, &rules);
        assert!(now < at(6_000), "leases do not expire");
    }
    assert!(now.since(at(0)) >= rules.length);
}

#[test]
fn leases_end_with_the_owners_authority_and_its_grace_period() {
    let rules = LeaseRules::default();
    let mut lease = LeaseClock::default();
    lease.note_clock(at(0), 5_000);
    let authority = at(0);
    let mut now = at(0);
    let last = loop {
        assert!(
            now < at(60_000),
            "leases are extended without an owner's authority"
        );
        lease.note_clock(now, 5_000 + now.since(at(0)).as_millis() as u64);
        match lease.extend(now, authority, &rules) {
            Some(until) => now = now + Duration::from_millis((until - 5_000) % 7 + 100),
            None => break now,
        }
    };
    assert!(last <= authority + rules.grace);
    let slowdown = (rules.grace + rules.length).mul_f64(0.02);
    assert!(lease.bound() <= authority + rules.grace + slowdown + Duration::from_millis(2));
}

/// Removes runs that never started: their stop was answered, and a later hold did not list them.
fn remove_never_started(actual: &mut BTreeMap<u32, u32>, never_started: &[RunId]) {
    for run_id in never_started {
        actual.remove(&run_id.task.index);
    }
}

#[derive(Debug, Clone)]
enum TableStep {
    Begin(u32, u32),
    Answer(u32),
    Refuse(u32),
    Stop(u32),
    StopAnswered(u32),
    HoldRunning(u32),
    HoldEnded(u32),
    HoldEmpty,
}

fn table_step() -> impl Strategy<Value = TableStep> {
    prop_oneof![
        (0..6_u32, 1..900_u32).prop_map(|(index, cpu)| TableStep::Begin(index, cpu)),
        (0..6_u32).prop_map(TableStep::Answer),
        (0..6_u32).prop_map(TableStep::Refuse),
        (0..6_u32).prop_map(TableStep::Stop),
        (0..6_u32).prop_map(TableStep::StopAnswered),
        (0..6_u32).prop_map(TableStep::HoldRunning),
        (0..6_u32).prop_map(TableStep::HoldEnded),
        Just(TableStep::HoldEmpty),
    ]
}

proptest! {
    /// Answers may be lost, late or repeated: reservations must still not exceed the capacity.
    #[test]
    fn reservations_never_exceed_the_capacity(steps in prop::collection::vec(table_step(), 1..80)) {
        let mut table = RunTable::default();
        let mut hold = 0;
        let mut number = 0;
        let mut actual = BTreeMap::new();
        for step in steps {
            match step {
                TableStep::Begin(index, cpu) => {
                    if table.reserve(run_id(index, 1), placement(cpu), &view(1_000), at(0)).is_ok() {
                        actual.insert(index, cpu);
                    }
                }
                TableStep::Answer(index) => table.mark_running(run_id(index, 1)),
                TableStep::Refuse(index) => {
                    // A refusal is final: it is only sent for a start that has not been answered.
                    if table.state(run_id(index, 1)) == Some(RunState::Starting) {
                        table.remove(run_id(index, 1));
                        actual.remove(&index);
                    }
                }
                TableStep::Stop(index) => {
                    table.mark_stopping(run_id(index, 1));
                }
                TableStep::StopAnswered(index) => {
                    if table.state(run_id(index, 1)) == Some(RunState::Stopping) {
                        table.mark_stopped(run_id(index, 1), hold);
                    }
                }
                TableStep::HoldRunning(index) => {
                    hold += 1;
                    if actual.contains_key(&index) {
                        let updates = table.reconcile(&[report(run_id(index, 1))], &[], hold);
                        remove_never_started(&mut actual, &updates.never_started);
                    }
                }
                TableStep::HoldEnded(index) => {
                    hold += 1;
                    if actual.remove(&index).is_some() {
                        number += 1;
                        let updates = table.reconcile(&[], &[end(number, run_id(index, 1))], hold);
                        remove_never_started(&mut actual, &updates.never_started);
                    }
                }
                TableStep::HoldEmpty => {
                    hold += 1;
                    let updates = table.reconcile(&[], &[], hold);
                    remove_never_started(&mut actual, &updates.never_started);
                }
            }
            let reserved: u32 = actual.values().sum();
            prop_assert!(reserved <= 1_000, "reserved {reserved} of 1000");
        }
    }
}

#[test]
fn run_that_was_not_listed_may_be_on_the_next_boot() {
    let mut table = RunTable::default();
    let reserved = table.reserve(run_id(0, 1), placement(1_000), &view(1_000), at(0));
    assert_eq!(reserved, Ok(()));
    table.mark_running(run_id(0, 1));
    assert!(
        table.has_unlisted(),
        "an answer does not show which boot started the run"
    );
    table.reconcile(&[report(run_id(0, 1))], &[], 1);
    assert!(!table.has_unlisted());
}
