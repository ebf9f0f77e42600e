//! The agent's guards: capacity, leases, and runs whose fate is unknown.

use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;
use wax_agent::{LeaseClock, LeaseRules, RunStand, RunTable, SeatInfo};
use wax_batch::{
    JobName, RunEnd, RunEndKind, RunId, RunReport, StartRefusal, TaskName, TaskSize, WorkerState,
    WorkerView,
};
use wax_types::TimePoint;

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(100_000 + millis)
}

fn mark(index: u32, run: u64) -> RunId {
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

fn seat(cpu_milli: u32) -> SeatInfo {
    SeatInfo {
        booked: TaskSize {
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

fn report(mark: RunId) -> RunReport {
    RunReport {
        run_id: mark,
        checkpoint: "".into(),
        percent: 10,
        load_metric: 0,
        confirmed_by_worker: true,
    }
}

fn end(number: u64, mark: RunId) -> RunEnd {
    RunEnd {
        number,
        run_id: mark,
        kind: RunEndKind::Stopped,
        checkpoint: "".into(),
    }
}

#[test]
fn what_is_being_stopped_keeps_its_room_until_its_end_is_listed() {
    let mut table = RunTable::default();
    assert_eq!(
        table.begin(mark(0, 1), seat(1_000), &view(1_000), at(0)),
        Ok(())
    );
    table.started(mark(0, 1));
    table.stopping(mark(0, 1));
    table.stopped(mark(0, 1), 5);
    assert_eq!(
        table.begin(mark(1, 1), seat(1), &view(1_000), at(0)),
        Err(StartRefusal::Room)
    );
    table.observe(&[report(mark(0, 1))], &[], 6);
    assert_eq!(
        table.begin(mark(1, 1), seat(1), &view(1_000), at(0)),
        Err(StartRefusal::Room)
    );
    table.observe(&[], &[end(1, mark(0, 1))], 7);
    assert_eq!(
        table.begin(mark(1, 1), seat(1), &view(1_000), at(0)),
        Ok(())
    );
}

#[test]
fn nothing_starts_beside_a_run_of_unknown_size() {
    let mut table = RunTable::default();
    table.observe(&[report(mark(0, 1))], &[], 1);
    assert_eq!(
        table.begin(mark(1, 1), seat(1), &view(1_000), at(0)),
        Err(StartRefusal::Room)
    );
    table.learn(mark(0, 1), seat(500));
    assert_eq!(
        table.begin(mark(1, 1), seat(500), &view(1_000), at(0)),
        Ok(())
    );
}

#[test]
fn a_start_without_an_answer_keeps_its_room_until_a_later_hold_omits_it() {
    let mut table = RunTable::default();
    assert_eq!(
        table.begin(mark(0, 1), seat(1_000), &view(1_000), at(0)),
        Ok(())
    );
    table.stopping(mark(0, 1));
    // The hold under way may have been answered before the stop.
    table.stopped(mark(0, 1), 3);
    assert!(table.observe(&[], &[], 3).never.is_empty());
    assert_eq!(table.stand(mark(0, 1)), Some(RunStand::Stopped { hold: 3 }));
    let news = table.observe(&[], &[], 4);
    assert_eq!(news.never, vec![mark(0, 1)]);
    assert!(table.is_empty());
}

#[test]
fn a_lost_answer_to_a_start_is_settled_by_the_list() {
    let mut table = RunTable::default();
    assert_eq!(
        table.begin(mark(0, 1), seat(1_000), &view(1_000), at(0)),
        Ok(())
    );
    table.observe(&[report(mark(0, 1))], &[], 1);
    assert_eq!(table.stand(mark(0, 1)), Some(RunStand::Running));
}

#[test]
fn an_end_is_told_once_and_may_overtake_the_list() {
    let mut table = RunTable::default();
    assert_eq!(
        table.begin(mark(0, 1), seat(1_000), &view(1_000), at(0)),
        Ok(())
    );
    let ended = [end(1, mark(0, 1))];
    assert_eq!(table.observe(&[], &ended, 1).ends.len(), 1);
    assert_eq!(
        table.observe(&[], &ended, 2).ends.len(),
        0,
        "until it is acknowledged it is listed again"
    );
}

#[test]
fn a_run_surely_ran_from_its_start_to_the_last_answer_of_its_worker() {
    let mut table = RunTable::default();
    let begun = table.begin(mark(0, 1), seat(1), &view(1_000), at(0));
    assert_eq!(begun, Ok(()));
    let begun = table.begin(mark(1, 1), seat(1), &view(1_000), at(500));
    assert_eq!(begun, Ok(()));
    // A process before this one started it.
    table.observe(&[report(mark(2, 1))], &[], 1);
    let mut lost = table.lost_runs(at(300));
    lost.sort_by_key(|lost| lost.run_id.task.index);
    let ran: Vec<Option<Duration>> = lost.iter().map(|lost| lost.min_run_time).collect();
    let known = Duration::from_millis(300);
    assert_eq!(ran, [Some(known), Some(Duration::ZERO), None]);
}

#[test]
fn a_draining_worker_starts_nothing() {
    let mut table = RunTable::default();
    let draining = WorkerView {
        state: WorkerState::Draining,
        ..view(1_000)
    };
    assert_eq!(
        table.begin(mark(0, 1), seat(1), &draining, at(0)),
        Err(StartRefusal::Stale)
    );
}

#[test]
fn a_silent_worker_gets_no_extension_so_that_its_leases_lapse() {
    let rules = LeaseRules::default();
    let mut lease = LeaseClock::default();
    lease.note(at(0), 5_000);
    let authority = at(1_000_000);
    assert!(lease.extend(at(10), authority, &rules).is_some());
    let mut now = at(10);
    // Every try of a hold asks for an extension; none may push the bound away for ever.
    while !lease.has_lapsed(now) {
        now = now + Duration::from_millis(60);
        lease.extend(now, authority, &rules);
        assert!(now < at(6_000), "leases never lapse");
    }
    assert!(now.since(at(0)) >= rules.ahead);
}

#[test]
fn leases_end_with_the_owners_authority_and_its_grace() {
    let rules = LeaseRules::default();
    let mut lease = LeaseClock::default();
    lease.note(at(0), 5_000);
    let authority = at(0);
    let mut now = at(0);
    let last = loop {
        assert!(now < at(60_000), "leases are extended without an owner");
        lease.note(now, 5_000 + now.since(at(0)).as_millis() as u64);
        match lease.extend(now, authority, &rules) {
            Some(until) => now = now + Duration::from_millis((until - 5_000) % 7 + 100),
            None => break now,
        }
    };
    assert!(last <= authority + rules.grace);
    let slow = (rules.grace + rules.ahead).mul_f64(0.02);
    assert!(lease.bound() <= authority + rules.grace + slow + Duration::from_millis(2));
}

/// A stopped run that a later hold omits never began.
fn forget(truth: &mut BTreeMap<u32, u32>, never: &[RunId]) {
    for gone in never {
        truth.remove(&gone.task.index);
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
    /// Whatever is answered, lost, late or repeated: the worker is never given more than it has.
    #[test]
    fn the_table_never_books_more_than_the_worker_has(steps in prop::collection::vec(table_step(), 1..80)) {
        let mut table = RunTable::default();
        let mut hold = 0;
        let mut number = 0;
        let mut truth = BTreeMap::new();
        for step in steps {
            match step {
                TableStep::Begin(index, cpu) => {
                    if table.begin(mark(index, 1), seat(cpu), &view(1_000), at(0)).is_ok() {
                        truth.insert(index, cpu);
                    }
                }
                TableStep::Answer(index) => table.started(mark(index, 1)),
                TableStep::Refuse(index) => {
                    // A refusal is final: it only comes for a start that is not answered yet.
                    if table.stand(mark(index, 1)) == Some(RunStand::Starting) {
                        table.remove(mark(index, 1));
                        truth.remove(&index);
                    }
                }
                TableStep::Stop(index) => {
                    table.stopping(mark(index, 1));
                }
                TableStep::StopAnswered(index) => {
                    if table.stand(mark(index, 1)) == Some(RunStand::Stopping) {
                        table.stopped(mark(index, 1), hold);
                    }
                }
                TableStep::HoldRunning(index) => {
                    hold += 1;
                    if truth.contains_key(&index) {
                        let news = table.observe(&[report(mark(index, 1))], &[], hold);
                        forget(&mut truth, &news.never);
                    }
                }
                TableStep::HoldEnded(index) => {
                    hold += 1;
                    if truth.remove(&index).is_some() {
                        number += 1;
                        let news = table.observe(&[], &[end(number, mark(index, 1))], hold);
                        forget(&mut truth, &news.never);
                    }
                }
                TableStep::HoldEmpty => {
                    hold += 1;
                    let news = table.observe(&[], &[], hold);
                    forget(&mut truth, &news.never);
                }
            }
            let given: u32 = truth.values().sum();
            prop_assert!(given <= 1_000, "given {given}");
        }
    }
}

#[test]
fn a_run_that_was_not_listed_may_be_on_the_next_boot() {
    let mut table = RunTable::default();
    let begun = table.begin(mark(0, 1), seat(1_000), &view(1_000), at(0));
    assert_eq!(begun, Ok(()));
    table.started(mark(0, 1));
    assert!(table.has_unlisted(), "an answer does not tell the boot");
    table.observe(&[report(mark(0, 1))], &[], 1);
    assert!(!table.has_unlisted());
}
