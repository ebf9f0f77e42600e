//! What a new owner may start before every worker was heard.

mod support;

use support::*;
use wax_batch::{JobBook, JobName, RunEndKind, RunReport, UnheardRuns};

/// A book of term 2 that has heard nobody yet, with one worker.
fn new_owner() -> (JobBook, wax_batch::WorkerKey) {
    let mut book = JobBook::new(2, Default::default());
    book.set_config(config(2).into());
    let worker = worker(&mut book, "w", 8_000);
    (book, worker)
}

#[test]
fn a_task_that_was_heard_to_run_starts_again_though_others_are_unheard() {
    let (mut book, worker) = new_owner();
    add(&mut book, 7, 1, &spec(vec![step(2, 1_000)]), None);
    book.sync_worker(worker, &[running(mark(7, 0, 0, 1))], &[], at(0), wall(0));
    assert!(
        book.place(at(10)).is_empty(),
        "the other task may run unheard"
    );
    let failed = end(1, mark(7, 0, 0, 1), RunEndKind::Failed);
    book.run_ended(worker, &failed, at(20), wall(20));
    let orders = book.place(at(2_000));
    assert_eq!(orders.len(), 1, "it was its only run");
    assert_eq!(orders[0].mark.task.index, 0);
    assert_eq!(book.held_back(), 1);
}

#[test]
fn a_run_that_may_only_begin_yet_does_not_show_where_the_task_is() {
    let (mut book, worker) = new_owner();
    add(&mut book, 7, 1, &spec(vec![step(1, 1_000)]), None);
    let sent = RunReport {
        listed: false,
        ..running(mark(7, 0, 0, 1))
    };
    book.sync_worker(worker, &[sent], &[], at(0), wall(0));
    let never = end(1, mark(7, 0, 0, 1), RunEndKind::Stopped);
    book.run_ended(worker, &never, at(20), wall(20));
    assert!(
        book.place(at(2_000)).is_empty(),
        "a later run may be on a worker that was not heard"
    );
    book.settle();
    assert_eq!(book.place(at(2_100)).len(), 1);
}

#[test]
fn an_end_alone_does_not_show_that_no_later_run_was_started() {
    let (mut book, worker) = new_owner();
    add(&mut book, 7, 1, &spec(vec![step(1, 1_000)]), None);
    let failed = end(1, mark(7, 0, 0, 1), RunEndKind::Failed);
    book.sync_worker(worker, &[], &[failed], at(0), wall(0));
    assert!(book.place(at(2_000)).is_empty());
}

#[test]
fn a_step_after_tasks_that_were_heard_to_run_is_new_in_the_term() {
    let (mut book, worker) = new_owner();
    let mut second = step(3, 1_000);
    second.after = [0].into();
    let mut third = step(2, 1_000);
    third.after = [1].into();
    let job_spec = spec(vec![step(2, 1_000), second, third]);
    add(&mut book, 7, 1, &job_spec, None);
    let runs = [running(mark(7, 0, 1, 1))];
    let ends = [end(1, mark(7, 0, 0, 1), RunEndKind::Done)];
    book.sync_worker(worker, &runs, &ends, at(0), wall(0));
    assert!(book.place(at(10)).is_empty());
    let done = end(2, mark(7, 0, 1, 1), RunEndKind::Done);
    book.run_ended(worker, &done, at(20), wall(20));
    let orders = book.place(at(30));
    assert_eq!(orders.len(), 3, "no earlier owner can have opened it");
    for (number, order) in (3..).zip(&orders) {
        book.run_ended(
            worker,
            &end(number, order.mark, RunEndKind::Done),
            at(40),
            wall(40),
        );
    }
    assert_eq!(book.place(at(50)).len(), 2, "nor what comes after it");
}

#[test]
fn a_step_whose_earlier_tasks_had_all_ended_may_run_unheard() {
    let (mut book, worker) = new_owner();
    let mut second = step(1, 1_000);
    second.after = [0].into();
    add(&mut book, 7, 1, &spec(vec![step(1, 1_000), second]), None);
    let ends = [end(1, mark(7, 0, 0, 1), RunEndKind::Done)];
    book.sync_worker(worker, &[], &ends, at(0), wall(0));
    assert!(
        book.place(at(10)).is_empty(),
        "the owner before may have opened the second step"
    );
}

#[test]
fn only_jobs_that_an_unheard_worker_may_run_are_held_back() {
    let (mut book, _) = new_owner();
    for job in [7, 8] {
        add(&mut book, job, 1, &spec(vec![step(1, 1_000)]), None);
    }
    book.set_unheard(UnheardRuns::Only([JobName(7)].into()));
    let orders = book.place(at(0));
    assert_eq!(orders.len(), 1);
    assert_eq!(orders[0].mark.task.job, JobName(8));
    assert!(!book.is_settled());
    assert_eq!(book.held_back(), 1);
}

#[test]
fn a_gang_waits_until_all_its_members_were_heard() {
    let (mut book, worker) = new_owner();
    let mut gang = step(2, 1_000);
    gang.gang = true;
    add(&mut book, 7, 1, &spec(vec![gang]), None);
    book.sync_worker(worker, &[running(mark(7, 0, 0, 1))], &[], at(0), wall(0));
    let broken = end(1, mark(7, 0, 0, 1), RunEndKind::Broken);
    book.run_ended(worker, &broken, at(20), wall(20));
    assert!(
        book.place(at(2_000)).is_empty(),
        "the other member may run unheard"
    );
    book.settle();
    assert_eq!(book.place(at(2_100)).len(), 2);
}
