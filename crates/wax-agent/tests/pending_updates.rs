//! Updates that wait for the next heartbeat, and updates that must be dropped.

use wax_agent::PendingUpdates;
use wax_batch::{JobName, RunEnd, RunEndKind, RunId, RunReport, StartRefusal, TaskName};
use wax_wire::{RefusalFrame, RunUpdates};

fn run_id(index: u32) -> RunId {
    let task = TaskName {
        job: JobName(7),
        occurrence: 0,
        step: 0,
        index,
    };
    RunId { task, run: 1 }
}

fn report(index: u32, percent: u32) -> RunReport {
    RunReport {
        run_id: run_id(index),
        checkpoint: "".into(),
        percent,
        load_metric: 0,
        confirmed_by_worker: true,
    }
}

fn end(index: u32) -> RunEnd {
    RunEnd {
        number: 1,
        run_id: run_id(index),
        kind: RunEndKind::Done,
        checkpoint: "".into(),
    }
}

/// Updates by which runs 1 and 2 have started and made progress.
fn pending() -> PendingUpdates {
    let mut updates = PendingUpdates::default();
    for index in [1, 2] {
        updates.note_started(run_id(index));
        updates.note_progress(report(index, 10));
    }
    updates
}

fn decode(updates: &RunUpdates) -> (Vec<RunId>, Vec<RunReport>) {
    let started = updates.started.iter().map(Into::into);
    let progressed = updates.running.iter().map(Into::into);
    (started.collect(), progressed.collect())
}

#[test]
fn updates_are_taken_once() {
    let mut updates = pending();
    let (started, progressed) = decode(&updates.take().expect("there are updates"));
    assert_eq!(started, [run_id(1), run_id(2)]);
    assert_eq!(progressed, [report(1, 10), report(2, 10)]);
    assert_eq!(updates.take(), None);
}

#[test]
fn later_report_replaces_an_earlier_one() {
    let mut updates = pending();
    updates.note_progress(report(1, 60));
    let (_, progressed) = decode(&updates.take().expect("there are updates"));
    assert_eq!(progressed, [report(1, 60), report(2, 10)]);
}

#[test]
fn full_list_clears_pending_updates() {
    let mut updates = pending();
    updates.clear();
    assert_eq!(updates.take(), None);
}

macro_rules! ended_cases {
    ($($name:ident: $updates:expr;)*) => {
        $(
            /// An owner that gets progress after the end of a run would reserve resources for it
            /// again.
            #[test]
            fn $name() {
                let (started, progressed) = decode(&pending().merge_into($updates));
                assert_eq!(started, [run_id(2)]);
                assert_eq!(progressed, [report(2, 10)]);
            }
        )*
    };
}

ended_cases! {
    progress_of_an_ended_run_is_dropped:
        RunUpdates { ends: vec![(&end(1)).into()], ..Default::default() };
    progress_of_a_refused_run_is_dropped:
        RunUpdates { refused: vec![RefusalFrame::new(run_id(1), StartRefusal::Unwell)], ..Default::default() };
}
