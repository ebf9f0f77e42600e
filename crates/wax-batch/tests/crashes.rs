//! Tasks that take their workers with them are found, and nobody else is blamed for it.

mod support;

use std::time::Duration;
use support::*;
use wax_batch::{
    CrashVerdict, JobBook, JobOutcome, LostRun, RunMark, StartOrder, WorkerKey, WorkerState,
    WorkerView,
};

/// A run that was lost `ran_ms` milliseconds after its start.
fn lost(mark: RunMark, ran_ms: u64) -> LostRun {
    LostRun {
        mark,
        ran: Some(Duration::from_millis(ran_ms)),
    }
}

/// The worker of a machine crashes under these runs, which are all that it has.
fn crash(
    book: &mut JobBook,
    (worker, machine): (WorkerKey, &str),
    runs: &[LostRun],
    millis: u64,
) -> Vec<CrashVerdict> {
    let notes = book.worker_crashed(machine, runs, at(millis), wall(millis));
    book.worker_lost(worker, at(millis), wall(millis));
    notes.iter().map(|note| note.verdict).collect()
}

fn outcome(book: &mut JobBook, job: u64) -> JobOutcome {
    store_all(book);
    let info = book.info(wax_batch::JobName(job));
    info.expect("the job is known").outcome
}

/// The only order for a task.
fn order_of(orders: &[StartOrder], job: u64) -> &StartOrder {
    let mut of_job = orders
        .iter()
        .filter(|order| order.mark.task.job == wax_batch::JobName(job));
    let order = of_job.next().expect("an order for the job");
    assert!(of_job.next().is_none(), "one order");
    order
}

/// The worker of a machine has the only task, and crashes under it so long after its start.
fn crash_on(book: &mut JobBook, machine: &str, ran_ms: u64, millis: u64) -> CrashVerdict {
    let worker = worker(book, machine, 4_000);
    let mark = order_of(&book.place(at(millis)), 7).mark;
    let verdicts = crash(book, (worker, machine), &[lost(mark, ran_ms)], millis + 20);
    assert_eq!(verdicts.len(), 1);
    verdicts[0]
}

#[test]
fn a_task_under_which_two_machines_end_at_once_fails_its_job() {
    let mut book = book(1);
    add(&mut book, 7, 1, &spec(vec![step(1, 1_000)]), None);
    assert_eq!(crash_on(&mut book, "x", 3, 0), CrashVerdict::Suspected);
    assert_eq!(crash_on(&mut book, "y", 3, 1_000), CrashVerdict::GivenUp);
    assert_eq!(outcome(&mut book, 7), JobOutcome::Failed);
    worker(&mut book, "z", 4_000);
    assert!(book.place(at(5_000)).is_empty(), "it is not started again");
}

#[test]
fn a_machine_that_crashes_again_and_again_says_less_but_is_not_believed_for_ever() {
    let mut book = book(1);
    add(&mut book, 7, 1, &spec(vec![step(1, 1_000)]), None);
    let verdicts: Vec<CrashVerdict> = (0..3)
        .map(|nth| crash_on(&mut book, "x", 3, nth * 4_000))
        .collect();
    let open = CrashVerdict::Suspected;
    assert_eq!(verdicts, [open, open, CrashVerdict::GivenUp]);
}

#[test]
fn a_start_that_its_worker_outlived_clears_those_that_ended_one_at_once() {
    let mut book = book(1);
    add(&mut book, 7, 1, &spec(vec![step(1, 1_000)]), None);
    let ran = [("x", 3), ("y", 700), ("z", 3)];
    for (nth, (machine, ran_ms)) in (0..).zip(ran) {
        let verdict = crash_on(&mut book, machine, ran_ms, nth * 1_000);
        assert_eq!(verdict, CrashVerdict::Suspected);
    }
}

#[test]
fn a_task_that_ends_its_workers_after_a_while_is_given_up_on_the_fourth_machine() {
    let mut book = book(1);
    add(&mut book, 7, 1, &spec(vec![step(1, 1_000)]), None);
    let machines = ["u", "v", "x", "y"];
    // Four machines have workers for it, so that four must have shown it.
    let _others: Vec<WorkerKey> = (0..3)
        .map(|nth| worker(&mut book, &format!("o{nth}"), 10))
        .collect();
    for (nth, machine) in (0..).zip(machines) {
        let verdict = crash_on(&mut book, machine, 900, nth * 1_000);
        let last = machine == "y";
        assert_eq!(verdict == CrashVerdict::GivenUp, last, "{machine}");
    }
}

#[test]
fn a_task_does_not_go_back_to_a_machine_that_it_may_have_ended_while_another_has_room() {
    let mut book = book(1);
    add(&mut book, 7, 1, &spec(vec![step(1, 1_000)]), None);
    crash_on(&mut book, "x", 900, 0);
    worker(&mut book, "x", 4_000);
    let busy = worker(&mut book, "y", 1_500);
    add(&mut book, 8, 1, &spec(vec![step(1, 1_000)]), None);
    let orders = book.place(at(1_000));
    assert_eq!(order_of(&orders, 7).worker, busy);
}

#[test]
fn what_ran_for_a_while_beside_a_fresh_start_is_not_started_alone() {
    let mut book = book(1);
    let first = worker(&mut book, "w", 4_000);
    add(&mut book, 7, 1, &spec(vec![step(1, 1_000)]), None);
    add(&mut book, 8, 1, &spec(vec![step(1, 1_000)]), None);
    let orders = book.place(at(0));
    let (beside, cause) = (order_of(&orders, 7).mark, order_of(&orders, 8).mark);
    crash(
        &mut book,
        (first, "w"),
        &[lost(beside, 900), lost(cause, 3)],
        1_000,
    );
    assert_eq!(outcome(&mut book, 7), JobOutcome::Open);
    // Its next start keeps no worker: others start beside it.
    let next = worker(&mut book, "x", 1_000);
    assert_eq!(order_of(&book.place(at(1_300)), 7).worker, next);
    worker(&mut book, "y", 4_000);
    assert_eq!(order_of(&book.place(at(1_310)), 8).mark.run, 2);
}

/// Each time exactly one other task has just started: by itself the crash points to that one.
#[test]
fn a_task_that_ends_its_workers_late_is_given_up_though_others_have_just_started() {
    let mut book = book(1);
    add(&mut book, 7, 1, &spec(vec![step(1, 1_000)]), None);
    let _others: Vec<WorkerKey> = (0..3)
        .map(|nth| worker(&mut book, &format!("o{nth}"), 10))
        .collect();
    for nth in 0..5 {
        let machine = format!("m{nth}");
        let crashing = worker(&mut book, &machine, 4_000);
        let now = nth * 20_000;
        let mark = order_of(&book.place(at(now)), 7).mark;
        let fresh = support::mark(100 + nth, 0, 0, 1);
        add(&mut book, 100 + nth, 1, &spec(vec![step(1, 1_000)]), None);
        book.worker_crashed(
            &machine,
            &[lost(mark, 900), lost(fresh, 3)],
            at(now + 1_000),
            wall(now + 1_000),
        );
        book.worker_lost(crashing, at(now + 1_000), wall(now + 1_000));
        book.cancel(wax_batch::JobName(100 + nth), wall(now + 1_000));
    }
    assert_eq!(outcome(&mut book, 7), JobOutcome::Failed);
}

#[test]
fn a_crash_that_is_told_again_counts_once() {
    let mut book = book(1);
    let first = worker(&mut book, "w", 4_000);
    add(&mut book, 7, 1, &spec(vec![step(1, 1_000)]), None);
    let mark = order_of(&book.place(at(0)), 7).mark;
    for _ in 0..6 {
        book.worker_crashed("w", &[lost(mark, 3)], at(10), wall(10));
    }
    book.worker_lost(first, at(10), wall(10));
    assert_eq!(outcome(&mut book, 7), JobOutcome::Open);
}

#[test]
fn the_next_owner_knows_which_task_ended_a_worker() {
    let mut old = book(1);
    let first = worker(&mut old, "w", 4_000);
    let crashing = spec(vec![step(1, 1_000)]);
    add(&mut old, 7, 1, &crashing, None);
    let mark = order_of(&old.place(at(0)), 7).mark;
    crash(&mut old, (first, "w"), &[lost(mark, 3)], 10);
    let stored = store_all(&mut old);
    let (_, progress) = stored.last().expect("the crash is stored");

    let mut new = book(2);
    add(&mut new, 7, 1, &crashing, Some(progress));
    let second = worker(&mut new, "w", 4_000);
    let mark = order_of(&new.place(at(2_000)), 7).mark;
    assert!(mark.run > 1, "run numbers rise");
    let verdicts = crash(&mut new, (second, "w"), &[lost(mark, 3)], 2_010);
    assert_eq!(verdicts, [CrashVerdict::GivenUp]);
}

#[test]
fn the_next_owner_is_told_of_a_crash_that_was_not_written_down() {
    let mut new = book(2);
    add(&mut new, 7, 1, &spec(vec![step(1, 1_000)]), None);
    let notes = new.worker_crashed("w", &[lost(mark(7, 0, 0, 1), 3)], at(0), wall(0));
    assert_eq!(notes.len(), 1);
    assert_eq!(notes[0].verdict, CrashVerdict::Suspected);
}

#[test]
fn a_suspected_task_starts_alone_and_others_start_elsewhere() {
    let mut book = book(1);
    let first = worker(&mut book, "w", 4_000);
    add(&mut book, 7, 1, &spec(vec![step(1, 1_000)]), None);
    let mark = order_of(&book.place(at(0)), 7).mark;
    crash(&mut book, (first, "w"), &[lost(mark, 3)], 10);

    let only = worker(&mut book, "x", 4_000);
    add(&mut book, 8, 1, &spec(vec![step(1, 1_000)]), None);
    let orders = book.place(at(1_000));
    // Whichever goes first, the other one is not started beside it.
    assert_eq!(orders.len(), 1);
    let mut started = vec![orders[0].mark.task.job.0];
    let other = worker(&mut book, "y", 4_000);
    for millis in (1_010..2_000).step_by(50) {
        for order in book.place(at(millis)) {
            started.push(order.mark.task.job.0);
        }
    }
    started.sort_unstable();
    assert_eq!(started, [7, 8]);
    let on = |key| book.jobs_on(key).len();
    assert_eq!((on(only), on(other)), (1, 1));
}

#[test]
fn a_worker_takes_starts_again_once_a_suspected_task_has_held_out_there() {
    let mut book = book(1);
    let first = worker(&mut book, "w", 4_000);
    add(&mut book, 7, 1, &spec(vec![step(1, 1_000)]), None);
    let mark = order_of(&book.place(at(0)), 7).mark;
    crash(&mut book, (first, "w"), &[lost(mark, 3)], 10);
    worker(&mut book, "x", 4_000);
    assert_eq!(book.place(at(1_000)).len(), 1);
    add(&mut book, 8, 1, &spec(vec![step(1, 1_000)]), None);
    assert!(book.place(at(1_400)).is_empty(), "it is on trial");
    assert_eq!(book.place(at(1_600)).len(), 1);
}

#[test]
fn a_worker_that_falls_silent_under_a_trial_stays_kept() {
    let mut book = book(1);
    let first = worker(&mut book, "w", 4_000);
    add(&mut book, 7, 1, &spec(vec![step(1, 1_000)]), None);
    let mark = order_of(&book.place(at(0)), 7).mark;
    crash(&mut book, (first, "w"), &[lost(mark, 3)], 10);
    // Of two workers one may be kept.
    let tried = worker(&mut book, "x", 4_000);
    worker(&mut book, "y", 4_000);
    add(&mut book, 8, 1, &spec(vec![step(1, 1_000)]), None);
    book.worker_crashed("w", &[lost(support::mark(8, 0, 0, 1), 3)], at(20), wall(20));
    let orders = book.place(at(1_000));
    assert_eq!(orders.len(), 1);
    let worker = orders[0].worker;
    let silent = WorkerView {
        boot: "x".into(),
        service: "svc".into(),
        capacity: size(4_000),
        state: WorkerState::Silent,
        ..Default::default()
    };
    book.worker_changed(worker, silent);
    assert!(book.place(at(3_000)).is_empty(), "one trial at a time");
    let mark = orders[0].mark;
    let machine = if worker == tried { "x" } else { "y" };
    crash(&mut book, (worker, machine), &[lost(mark, 3)], 4_000);
    let orders = book.place(at(4_010));
    assert_eq!(orders.len(), 1);
    assert_ne!(orders[0].mark.task.job, mark.task.job);
}

#[test]
fn a_task_that_held_out_for_long_is_cleared() {
    let mut book = book(1);
    add(&mut book, 7, 1, &spec(vec![step(1, 1_000)]), None);
    let mut verdicts = Vec::new();
    for (number, ran_ms) in [(0, 3), (1, 20_000), (2, 3)] {
        let worker = worker(&mut book, "w", 4_000);
        let start = number * 100_000;
        let mark = order_of(&book.place(at(start)), 7).mark;
        verdicts.extend(crash(
            &mut book,
            (worker, "w"),
            &[lost(mark, ran_ms)],
            start + 30_000,
        ));
    }
    assert_eq!(
        verdicts,
        [
            CrashVerdict::Suspected,
            CrashVerdict::Beside,
            CrashVerdict::Suspected
        ]
    );
}

#[test]
fn ends_after_a_while_on_the_same_few_machines_prove_nothing() {
    let mut book = book(1);
    add(&mut book, 7, 1, &spec(vec![step(1, 1_000)]), None);
    let _others: Vec<WorkerKey> = (0..3)
        .map(|nth| worker(&mut book, &format!("o{nth}"), 10))
        .collect();
    for nth in 0..6 {
        let machine = ["x", "y"][nth as usize % 2];
        let verdict = crash_on(&mut book, machine, 900, nth * 5_000);
        assert_eq!(verdict, CrashVerdict::Suspected, "the {nth}th");
    }
}

#[test]
fn ends_before_a_run_that_held_out_do_not_count() {
    let mut book = book(1);
    add(&mut book, 7, 1, &spec(vec![step(1, 1_000)]), None);
    let _others: Vec<WorkerKey> = (0..3)
        .map(|nth| worker(&mut book, &format!("o{nth}"), 10))
        .collect();
    let ran = [
        ("u", 900),
        ("v", 900),
        ("x", 900),
        ("y", 12_000),
        ("z", 900),
    ];
    for (nth, (machine, ran_ms)) in (0..).zip(ran) {
        let verdict = crash_on(&mut book, machine, ran_ms, nth * 20_000);
        assert_ne!(verdict, CrashVerdict::GivenUp, "{machine}");
    }
}

#[test]
fn a_suspected_task_waits_until_no_other_start_is_near_and_keeps_its_place() {
    let mut book = book(1);
    let first = worker(&mut book, "x", 1_000);
    add(&mut book, 7, 1, &spec(vec![step(1, 1_000)]), None);
    let mark = order_of(&book.place(at(0)), 7).mark;
    worker(&mut book, "y", 4_000);
    add(&mut book, 8, 1, &spec(vec![step(1, 1_000)]), None);
    assert_eq!(book.place(at(1_000)).len(), 1);
    crash(&mut book, (first, "x"), &[lost(mark, 3)], 1_010);
    assert!(book.place(at(1_020)).is_empty(), "another start is near");
    add(&mut book, 9, 1, &spec(vec![step(1, 1_000)]), None);
    assert!(book.place(at(1_100)).is_empty(), "the place is kept");
    assert_eq!(order_of(&book.place(at(1_260)), 7).mark.run, 2);
}

#[test]
fn a_task_waits_rather_than_go_back_at_once_where_it_may_have_ended_a_worker() {
    let mut book = book(1);
    add(&mut book, 7, 1, &spec(vec![step(1, 1_000)]), None);
    crash_on(&mut book, "x", 900, 0);
    worker(&mut book, "x", 4_000);
    worker(&mut book, "full", 10);
    assert!(book.place(at(1_000)).is_empty());
    assert_eq!(book.place(at(3_100)).len(), 1, "there is no other room");
}

#[test]
fn a_task_that_was_in_a_crash_is_placed_where_none_was_lately() {
    let mut book = book(1);
    add(&mut book, 7, 1, &spec(vec![step(1, 1_000)]), None);
    crash_on(&mut book, "x", 900, 0);
    // Another machine has crashed since, under something else.
    let other = worker(&mut book, "y", 4_000);
    book.worker_crashed("y", &[], at(3_000), wall(3_000));
    book.worker_lost(other, at(3_000), wall(3_000));
    worker(&mut book, "x", 4_000);
    worker(&mut book, "y", 4_000);
    let steady = worker(&mut book, "z", 1_200);
    let orders = book.place(at(4_000));
    assert_eq!(order_of(&orders, 7).worker, steady, "though it is fuller");
}

#[test]
fn a_lasting_task_that_ends_its_workers_is_given_up_too() {
    let mut book = book(1);
    let mut lasting = step(1, 1_000);
    lasting.lasts = true;
    add(&mut book, 7, 1, &spec(vec![lasting]), None);
    assert_eq!(crash_on(&mut book, "x", 3, 0), CrashVerdict::Suspected);
    assert_eq!(crash_on(&mut book, "y", 3, 1_000), CrashVerdict::GivenUp);
    assert_eq!(outcome(&mut book, 7), JobOutcome::Failed);
}

#[test]
fn members_of_a_gang_wait_for_no_trial() {
    let mut book = book(1);
    let first = worker(&mut book, "w", 8_000);
    let mut gang = step(6, 1_000);
    gang.gang = true;
    add(&mut book, 7, 1, &spec(vec![gang]), None);
    let orders = book.place(at(0));
    let runs: Vec<LostRun> = orders.iter().map(|order| lost(order.mark, 3)).collect();
    assert_eq!(runs.len(), 6);
    crash(&mut book, (first, "w"), &runs, 10);
    worker(&mut book, "x", 8_000);
    assert_eq!(book.place(at(1_000)).len(), 6, "they start together");
}

/// A crash is told again on a new link, after a newer one: what the newer one showed stands.
#[test]
fn an_older_crash_that_is_told_again_undoes_nothing_of_a_newer_one() {
    let mut book = book(1);
    add(&mut book, 7, 1, &spec(vec![step(1, 1_000)]), None);
    let older = worker(&mut book, "x", 4_000);
    let late = lost(order_of(&book.place(at(0)), 7).mark, 900);
    crash(&mut book, (older, "x"), &[late], 1_000);
    assert_eq!(crash_on(&mut book, "y", 3, 2_000), CrashVerdict::Suspected);
    book.worker_crashed("x", &[late], at(3_000), wall(3_000));
    assert_eq!(crash_on(&mut book, "z", 3, 4_000), CrashVerdict::GivenUp);
}
