//! The life of jobs in their owner's book: ends count once, and are forgotten only when stored.

mod support;

use support::*;
use wax_batch::{JobOutcome, RunEndKind, StartRefusal};

#[test]
fn steps_follow_each_other_and_the_job_completes_once_stored() {
    let mut book = book(1);
    let worker = worker(&mut book, "w", 4_000);
    let mut second = step(1, 1_000);
    second.after = [0].into();
    let job = add(&mut book, 7, 1, &spec(vec![step(2, 1_000), second]), None);
    let orders = book.place(at(0));
    assert_eq!(orders.len(), 2, "the second step waits");
    for (number, order) in (1..).zip(&orders) {
        assert_eq!(order.mark.run, 1);
        book.run_ended(
            worker,
            &end(number, order.mark, RunEndKind::Done),
            at(10),
            wall(10),
        );
    }
    let orders = book.place(at(20));
    assert_eq!(orders.len(), 1);
    book.run_ended(
        worker,
        &end(3, orders[0].mark, RunEndKind::Done),
        at(30),
        wall(30),
    );
    let told = book.info(job).expect("the job is known");
    assert_eq!(told.outcome, JobOutcome::Open, "not before it is stored");
    store_all(&mut book);
    assert_eq!(
        book.info(job).expect("known").outcome,
        JobOutcome::Completed
    );
}

#[test]
fn an_end_is_acknowledged_only_after_it_is_stored() {
    let mut book = book(1);
    let worker = worker(&mut book, "w", 4_000);
    add(&mut book, 7, 1, &spec(vec![step(2, 1_000)]), None);
    let orders = book.place(at(0));
    book.run_ended(
        worker,
        &end(1, orders[0].mark, RunEndKind::Done),
        at(10),
        wall(10),
    );
    assert_eq!(book.take_cursors(), vec![]);
    let notes = book.take_notes(10);
    // An end that comes while the write is under way is not covered by it.
    book.run_ended(
        worker,
        &end(2, orders[1].mark, RunEndKind::Done),
        at(20),
        wall(20),
    );
    book.notes_stored(&notes);
    assert_eq!(book.take_cursors(), vec![(worker, 1)]);
    store_all(&mut book);
    assert_eq!(book.take_cursors(), vec![(worker, 2)]);
}

#[test]
fn an_end_of_a_job_that_failed_is_acknowledged_only_after_the_failure_is_stored() {
    let mut book = book(1);
    let worker = worker(&mut book, "w", 4_000);
    add(&mut book, 7, 1, &spec(vec![step(2, 1_000)]), None);
    let first = book.place(at(0));
    book.run_ended(
        worker,
        &end(1, first[0].mark, RunEndKind::Failed),
        at(10),
        wall(10),
    );
    let again = book.place(at(5_000));
    book.run_ended(
        worker,
        &end(2, again[0].mark, RunEndKind::Failed),
        at(5_010),
        wall(5_010),
    );
    // The other task ends well after the job has failed: forgotten unstored, it could run again.
    book.run_ended(
        worker,
        &end(3, first[1].mark, RunEndKind::Done),
        at(5_020),
        wall(5_020),
    );
    assert_eq!(book.take_cursors(), vec![]);
    store_all(&mut book);
    assert_eq!(book.take_cursors(), vec![(worker, 3)]);
}

#[test]
fn a_failed_run_that_two_owners_hear_of_counts_once() {
    let mut first = book(1);
    let worker_key = worker(&mut first, "w", 4_000);
    let job_spec = spec(vec![step(1, 1_000)]);
    add(&mut first, 7, 1, &job_spec, None);
    let orders = first.place(at(0));
    let failed = end(1, orders[0].mark, RunEndKind::Failed);
    first.run_ended(worker_key, &failed, at(10), wall(10));
    let stored = store_all(&mut first);
    // The owner lets go before the worker hears that the end may be forgotten.
    let mut second = book(2);
    let job = add(&mut second, 7, 1, &job_spec, Some(&stored[0].1));
    let worker_key = worker(&mut second, "w", 4_000);
    second.sync_worker(worker_key, &[], &[failed], at(20), wall(20));
    store_all(&mut second);
    assert_eq!(second.info(job).expect("known").outcome, JobOutcome::Open);
    let orders = second.place(at(4_000));
    assert_eq!(orders.len(), 1, "one attempt is left");
    assert!(orders[0].mark.run > 1);
    second.run_ended(
        worker_key,
        &end(2, orders[0].mark, RunEndKind::Failed),
        at(4_010),
        wall(4_010),
    );
    store_all(&mut second);
    assert_eq!(second.info(job).expect("known").outcome, JobOutcome::Failed);
}

#[test]
fn a_failed_run_of_a_worker_given_up_still_counts() {
    let mut book = book(1);
    let lost = worker(&mut book, "lost", 4_000);
    let job = add(&mut book, 7, 1, &spec(vec![step(1, 1_000)]), None);
    let orders = book.place(at(0));
    book.worker_lost(lost, at(10_000), wall(10_000));
    let back = worker(&mut book, "lost", 4_000);
    let again = book.place(at(10_010));
    assert_eq!(again.len(), 1);
    book.run_ended(
        back,
        &end(1, orders[0].mark, RunEndKind::Failed),
        at(10_020),
        wall(10_020),
    );
    book.run_ended(
        back,
        &end(2, again[0].mark, RunEndKind::Failed),
        at(10_030),
        wall(10_030),
    );
    store_all(&mut book);
    assert_eq!(book.info(job).expect("known").outcome, JobOutcome::Failed);
    assert!(book.place(at(20_000)).is_empty(), "no third attempt");
}

#[test]
fn a_task_that_a_run_given_up_has_done_does_not_run_again() {
    let mut book = book(1);
    let lost = worker(&mut book, "lost", 4_000);
    let job = add(&mut book, 7, 1, &spec(vec![step(1, 1_000)]), None);
    let orders = book.place(at(0));
    book.worker_lost(lost, at(10_000), wall(10_000));
    let back = worker(&mut book, "lost", 4_000);
    let again = book.place(at(10_010));
    book.run_ended(
        back,
        &end(1, orders[0].mark, RunEndKind::Done),
        at(10_020),
        wall(10_020),
    );
    let stops = book.take_stops();
    assert_eq!(stops.len(), 1);
    assert_eq!(stops[0].mark, again[0].mark);
    store_all(&mut book);
    assert_eq!(
        book.info(job).expect("known").outcome,
        JobOutcome::Completed
    );
}

#[test]
fn a_takeover_adopts_and_starts_nothing_of_earlier_terms_until_all_were_heard() {
    let job_spec = spec(vec![step(2, 1_000)]);
    let mut book = wax_batch::JobBook::new(2, Default::default());
    book.set_config(config(2).into());
    add(&mut book, 7, 1, &job_spec, None);
    add(&mut book, 8, 2, &job_spec, None);
    let worker = worker(&mut book, "w", 8_000);
    let orders = book.place(at(0));
    assert!(
        orders.iter().all(|order| order.mark.task.job.0 == 8),
        "only the new job"
    );
    assert_eq!(orders.len(), 2);
    let adopted = running(mark(7, 0, 1, 1));
    let own: Vec<_> = orders.iter().map(|order| running(order.mark)).collect();
    let runs: Vec<_> = own.into_iter().chain([adopted]).collect();
    book.sync_worker(worker, &runs, &[], at(10), wall(10));
    assert!(book.place(at(20)).is_empty());
    book.settle();
    let orders = book.place(at(30));
    assert_eq!(orders.len(), 1, "the adopted task is not started again");
    assert_eq!(orders[0].mark.task.index, 0);
    assert!(orders[0].mark.run > 1, "above any run of the earlier term");
}

#[test]
fn what_no_job_asks_for_is_stopped_and_keeps_its_room_until_it_has_ended() {
    let mut book = book(1);
    let worker = worker(&mut book, "w", 4_000);
    book.sync_worker(worker, &[running(mark(9, 0, 0, 1))], &[], at(0), wall(0));
    assert_eq!(book.take_stops().len(), 1);
    add(&mut book, 7, 1, &spec(vec![step(1, 1_000)]), None);
    assert!(book.place(at(0)).is_empty(), "its size is not known");
    book.run_ended(
        worker,
        &end(1, mark(9, 0, 0, 1), RunEndKind::Stopped),
        at(10),
        wall(10),
    );
    assert_eq!(book.place(at(20)).len(), 1);
}

#[test]
fn a_cancelled_job_stops_and_starts_nothing() {
    let mut book = book(1);
    let worker = worker(&mut book, "w", 1_000);
    let job = add(&mut book, 7, 1, &spec(vec![step(2, 1_000)]), None);
    let orders = book.place(at(0));
    assert_eq!(orders.len(), 1);
    book.cancel(job, wall(10));
    assert_eq!(book.take_stops().len(), 1);
    book.run_ended(
        worker,
        &end(1, orders[0].mark, RunEndKind::Stopped),
        at(20),
        wall(20),
    );
    assert!(book.place(at(30)).is_empty());
    store_all(&mut book);
    assert_eq!(
        book.info(job).expect("known").outcome,
        JobOutcome::Cancelled
    );
}

#[test]
fn a_lasting_task_is_restarted_however_it_ends() {
    let mut book = book(1);
    let worker = worker(&mut book, "w", 4_000);
    let mut lasting = step(1, 1_000);
    lasting.lasts = true;
    let job = add(&mut book, 7, 1, &spec(vec![lasting]), None);
    for (number, kind) in (1..).zip([
        RunEndKind::Done,
        RunEndKind::Failed,
        RunEndKind::Failed,
        RunEndKind::Lapsed,
    ]) {
        let now = number * 10_000;
        let orders = book.place(at(now));
        assert_eq!(orders.len(), 1, "before end {number}");
        book.run_ended(
            worker,
            &end(number, orders[0].mark, kind),
            at(now + 10),
            wall(now + 10),
        );
    }
    store_all(&mut book);
    assert_eq!(book.info(job).expect("known").outcome, JobOutcome::Open);
}

/// It is the task that fails, not its worker: other work was kept away for 3 s, again and again.
#[test]
fn a_lasting_task_that_always_fails_bars_its_worker_from_no_other_work() {
    let mut book = book(1);
    let worker = worker(&mut book, "w", 4_000);
    let mut lasting = step(1, 1_000);
    lasting.lasts = true;
    add(&mut book, 7, 1, &spec(vec![lasting]), None);
    for number in 1..=4 {
        let now = number * 1_100;
        let orders = book.place(at(now));
        assert_eq!(orders.len(), 1, "before end {number}");
        book.run_ended(
            worker,
            &end(number, orders[0].mark, RunEndKind::Failed),
            at(now + 10),
            wall(now + 10),
        );
    }
    let job = add(&mut book, 8, 1, &spec(vec![step(1, 1_000)]), None);
    let orders = book.place(at(4_420));
    assert!(orders.iter().any(|order| order.mark.task.job == job));
}

#[test]
fn a_gang_starts_whole_or_not_at_all_and_stops_whole() {
    let mut book = book(1);
    let small = worker(&mut book, "small", 1_000);
    let mut gang = step(2, 1_000);
    gang.gang = true;
    add(&mut book, 7, 1, &spec(vec![gang]), None);
    assert!(
        book.place(at(0)).is_empty(),
        "there is room for one member only"
    );
    let other = worker(&mut book, "other", 1_000);
    let orders = book.place(at(10));
    assert_eq!(orders.len(), 2);
    assert_eq!(orders[0].mark.run, orders[1].mark.run);
    book.run_refused(
        small,
        orders
            .iter()
            .find(|order| order.worker == small)
            .expect("one there")
            .mark,
        StartRefusal::Room,
        at(20),
        wall(20),
    );
    let stops = book.take_stops();
    assert_eq!(stops.len(), 1, "the other member would wait in vain");
    assert_eq!(stops[0].worker, other);
}

#[test]
fn one_end_of_a_gang_stands_for_all_members() {
    let mut book = book(1);
    let worker = worker(&mut book, "w", 4_000);
    let mut gang = step(3, 1_000);
    gang.gang = true;
    let job = add(&mut book, 7, 1, &spec(vec![gang]), None);
    let orders = book.place(at(0));
    for (number, order) in (1..).zip(&orders) {
        book.run_ended(
            worker,
            &end(number, order.mark, RunEndKind::Done),
            at(10),
            wall(10),
        );
    }
    store_all(&mut book);
    assert_eq!(
        book.info(job).expect("known").outcome,
        JobOutcome::Completed
    );
    assert_eq!(book.take_cursors(), vec![(worker, 3)]);
}

/// TWICE on a site of our own: all lost power before the store had the first member's end, and the
/// other ends had been acknowledged already.
#[test]
fn no_end_of_a_gang_is_acknowledged_before_the_store_has_the_first() {
    let mut book = book(1);
    let one = worker(&mut book, "one", 1_000);
    let other = worker(&mut book, "other", 1_000);
    let mut gang = step(2, 1_000);
    gang.gang = true;
    add(&mut book, 7, 1, &spec(vec![gang, step(1, 1_000)]), None);
    for order in book.place(at(0)) {
        let done = end(1, order.mark, RunEndKind::Done);
        book.run_ended(order.worker, &done, at(10), wall(10));
    }
    assert_eq!(book.take_cursors(), vec![]);
    store_all(&mut book);
    let mut cursors = book.take_cursors();
    cursors.sort_unstable();
    assert_eq!(cursors, vec![(one, 1), (other, 1)]);
}

/// The same for two runs of one task, of which the first had been given up.
#[test]
fn a_second_end_of_a_done_task_waits_for_the_store_like_the_first() {
    let mut book = book(1);
    let lost = worker(&mut book, "lost", 1_000);
    add(&mut book, 7, 1, &spec(vec![step(1, 1_000)]), None);
    let first = book.place(at(0));
    start_all(&mut book, &first, at(0));
    book.worker_lost(lost, at(10), wall(10));
    let one = worker(&mut book, "one", 1_000);
    let other = worker(&mut book, "other", 1_000);
    let again = book.place(at(20));
    assert_eq!(again.len(), 1);
    let (runs, idle) = match again[0].worker == one {
        true => (one, other),
        false => (other, one),
    };
    book.run_ended(
        runs,
        &end(1, again[0].mark, RunEndKind::Done),
        at(30),
        wall(30),
    );
    book.run_ended(
        idle,
        &end(1, first[0].mark, RunEndKind::Done),
        at(40),
        wall(40),
    );
    assert_eq!(book.take_cursors(), vec![]);
    store_all(&mut book);
    assert_eq!(book.take_cursors().len(), 2);
}

#[test]
fn a_timed_job_runs_each_occurrence_when_it_is_due() {
    let mut book = book(1);
    let worker = worker(&mut book, "w", 4_000);
    let mut timed = spec(vec![step(1, 1_000)]);
    timed.repeat = Some(wax_batch::RepeatPlan {
        count: 2,
        first_ms: wall(1_000),
        interval_ms: 500,
    });
    let job = add(&mut book, 7, 1, &timed, None);
    assert_eq!(book.open_due(at(900), wall(900)), Some(wall(1_000)));
    assert!(book.place(at(900)).is_empty(), "not before its time");
    assert_eq!(book.open_due(at(1_000), wall(1_000)), Some(wall(1_500)));
    let first = book.place(at(1_000));
    assert_eq!(first[0].mark.task.occurrence, 0);
    book.open_due(at(1_500), wall(1_500));
    let second = book.place(at(1_500));
    assert_eq!(second[0].mark.task.occurrence, 1, "occurrences may overlap");
    book.run_ended(
        worker,
        &end(1, second[0].mark, RunEndKind::Done),
        at(1_600),
        wall(1_600),
    );
    assert_eq!(book.info(job).expect("known").outcome, JobOutcome::Open);
    book.run_ended(
        worker,
        &end(2, first[0].mark, RunEndKind::Done),
        at(1_700),
        wall(1_700),
    );
    store_all(&mut book);
    assert_eq!(
        book.info(job).expect("known").outcome,
        JobOutcome::Completed
    );
}

#[test]
fn a_stop_that_was_lost_with_a_link_is_repeated_on_the_next() {
    let mut book = book(1);
    let worker = worker(&mut book, "w", 4_000);
    let mut lasting = step(1, 1_000);
    lasting.lasts = true;
    add(&mut book, 7, 1, &spec(vec![lasting]), None);
    let orders = book.place(at(0));
    start_all(&mut book, &orders, at(0));
    book.sync_worker(worker, &[running(orders[0].mark)], &[], at(10), wall(10));
    assert!(book.take_stops().is_empty());
    let mut gang = step(2, 1_000);
    gang.gang = true;
    add(&mut book, 8, 1, &spec(vec![gang]), None);
    let members = book.place(at(20));
    book.run_ended(
        worker,
        &end(1, members[0].mark, RunEndKind::Failed),
        at(30),
        wall(30),
    );
    assert_eq!(book.take_stops().len(), 1);
    let runs = [running(orders[0].mark), running(members[1].mark)];
    book.sync_worker(worker, &runs, &[], at(40), wall(40));
    let stops = book.take_stops();
    assert_eq!(stops.len(), 1);
    assert_eq!(stops[0].mark, members[1].mark);
}

/// The order may have been lost with its link: the run would go on for ever.
#[test]
fn the_stop_of_what_no_job_asks_for_is_repeated_on_the_next_link() {
    let mut book = book(1);
    let worker = worker(&mut book, "w", 2_000);
    let runs = [running(mark(9, 0, 0, 1))];
    book.sync_worker(worker, &runs, &[], at(0), wall(0));
    assert_eq!(book.take_stops().len(), 1);
    book.sync_worker(worker, &runs, &[], at(1_000), wall(1_000));
    let stops = book.take_stops();
    assert_eq!(stops.len(), 1);
    assert_eq!(stops[0].mark, mark(9, 0, 0, 1));
}

#[test]
fn what_a_worker_may_forget_can_be_told_again_after_a_lost_link() {
    let mut book = book(1);
    let worker = worker(&mut book, "w", 4_000);
    add(&mut book, 7, 1, &spec(vec![step(1, 1_000)]), None);
    let orders = book.place(at(0));
    let done = end(1, orders[0].mark, RunEndKind::Done);
    book.run_ended(worker, &done, at(10), wall(10));
    store_all(&mut book);
    assert_eq!(book.take_cursors(), vec![(worker, 1)]);
    // The worker still lists the end on its next link, and no cursor moves any more.
    book.sync_worker(worker, &[], &[done], at(20), wall(20));
    assert_eq!(book.take_cursors(), vec![]);
    assert_eq!(book.acknowledged(worker), 1);
}

/// The share of late jobs counts those that fill, are open, and are enough to say anything.
#[test]
fn strain_is_the_share_of_open_jobs_that_fill_and_are_late() {
    let mut book = book(1);
    let fills = wax_batch::StepSpec {
        fills: true,
        ..step(1, 1_000)
    };
    for number in 0..3 {
        add(&mut book, 10 + number, 1, &spec(vec![fills.clone()]), None);
    }
    add(&mut book, 20, 1, &spec(vec![step(1, 1_000)]), None);
    assert_eq!(book.overload(at(60_000)), 0.0, "three jobs are too few");
    add(&mut book, 13, 1, &spec(vec![fills]), None);
    assert_eq!(book.overload(at(0)), 0.0);
    assert_eq!(book.overload(at(60_000)), 1.0);
    book.cancel(wax_batch::JobName(13), wall(60_000));
    assert_eq!(book.overload(at(60_000)), 0.0, "again too few");
}
