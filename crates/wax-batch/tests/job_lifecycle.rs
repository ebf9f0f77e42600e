//! Life cycle of jobs in the scheduler: each end counts once, and is acknowledged only after it is
//! stored.

mod support;

use std::time::Duration;
use support::*;
use wax_batch::{
    EndPage, JobName, JobOutcome, JobProgress, JobRow, RunEndKind, StartRefusal, StoredProgress,
};
use wax_types::StoreTime;

#[test]
fn steps_follow_each_other_and_the_job_completes_once_stored() {
    let mut scheduler = scheduler(1);
    let worker = worker(&mut scheduler, "w", 4_000);
    let mut second = step(1, 1_000);
    second.after = [0].into();
    let job = add_job(
        &mut scheduler,
        7,
        1,
        &spec(vec![step(2, 1_000), second]),
        None,
    );
    let orders = scheduler.place(at(0));
    assert_eq!(orders.len(), 2, "the second step waits for the first");
    for (number, order) in (1..).zip(&orders) {
        assert_eq!(order.run_id.run, 1);
        scheduler.record_end(
            worker,
            &end(number, order.run_id, RunEndKind::Done),
            at(10),
            unix_ms(10),
        );
    }
    let orders = scheduler.place(at(20));
    assert_eq!(orders.len(), 1);
    scheduler.record_end(
        worker,
        &end(3, orders[0].run_id, RunEndKind::Done),
        at(30),
        unix_ms(30),
    );
    let info = scheduler.job_info(job).expect("the job is known");
    assert_eq!(
        info.outcome,
        JobOutcome::Open,
        "the outcome is shown only after it is stored"
    );
    store_all(&mut scheduler);
    assert_eq!(
        scheduler.job_info(job).expect("the job is known").outcome,
        JobOutcome::Completed
    );
}

#[test]
fn an_end_is_acknowledged_only_after_it_is_stored() {
    let mut scheduler = scheduler(1);
    let worker = worker(&mut scheduler, "w", 4_000);
    add_job(&mut scheduler, 7, 1, &spec(vec![step(2, 1_000)]), None);
    let orders = scheduler.place(at(0));
    scheduler.record_end(
        worker,
        &end(1, orders[0].run_id, RunEndKind::Done),
        at(10),
        unix_ms(10),
    );
    assert_eq!(scheduler.advance_ack_cursors(), vec![]);
    let updates = scheduler.take_updates(10);
    // An end that is reported during a write is not covered by that write.
    scheduler.record_end(
        worker,
        &end(2, orders[1].run_id, RunEndKind::Done),
        at(20),
        unix_ms(20),
    );
    scheduler.confirm_updates(&updates, 1, at(30));
    assert_eq!(scheduler.advance_ack_cursors(), vec![(worker, 1)]);
    store_all(&mut scheduler);
    assert_eq!(scheduler.advance_ack_cursors(), vec![(worker, 2)]);
}

#[test]
fn an_end_of_a_failed_job_is_acknowledged_only_after_the_failure_is_stored() {
    let mut scheduler = scheduler(1);
    let worker = worker(&mut scheduler, "w", 4_000);
    add_job(&mut scheduler, 7, 1, &spec(vec![step(2, 1_000)]), None);
    let first = scheduler.place(at(0));
    scheduler.record_end(
        worker,
        &end(1, first[0].run_id, RunEndKind::Failed),
        at(10),
        unix_ms(10),
    );
    let retry = scheduler.place(at(5_000));
    scheduler.record_end(
        worker,
        &end(2, retry[0].run_id, RunEndKind::Failed),
        at(5_010),
        unix_ms(5_010),
    );
    // The other task ends after the job has failed. If this end were acknowledged before the
    // failure is stored, the task could run again after a restart of the owner.
    scheduler.record_end(
        worker,
        &end(3, first[1].run_id, RunEndKind::Done),
        at(5_020),
        unix_ms(5_020),
    );
    assert_eq!(scheduler.advance_ack_cursors(), vec![]);
    store_all(&mut scheduler);
    assert_eq!(scheduler.advance_ack_cursors(), vec![(worker, 3)]);
}

/// A worker reports an end until it is acknowledged, also to the next owner. A failure that counted
/// twice would use up the attempts of its job.
#[test]
fn a_failed_run_that_is_reported_to_two_owners_counts_once() {
    let mut first = scheduler(1);
    let worker_key = worker(&mut first, "w", 4_000);
    let job_spec = spec(vec![step(1, 1_000)]);
    add_job(&mut first, 7, 1, &job_spec, None);
    let orders = first.place(at(0));
    let failed = end(1, orders[0].run_id, RunEndKind::Failed);
    first.record_end(worker_key, &failed, at(10), unix_ms(10));
    let stored = store_all(&mut first);
    // The first owner releases its term before the worker learns that the end is acknowledged.
    let mut second = scheduler(2);
    let job = add_job(&mut second, 7, 1, &job_spec, Some(&stored[0].1));
    let worker_key = worker(&mut second, "w", 4_000);
    second.reconcile_worker(
        worker_key,
        &[],
        &EndPage::all(&[failed]),
        at(20),
        unix_ms(20),
    );
    store_all(&mut second);
    assert_eq!(
        second.job_info(job).expect("the job is known").outcome,
        JobOutcome::Open
    );
    let orders = second.place(at(4_000));
    assert_eq!(orders.len(), 1, "one attempt is left");
    assert!(orders[0].run_id.run > 1);
    second.record_end(
        worker_key,
        &end(2, orders[0].run_id, RunEndKind::Failed),
        at(4_010),
        unix_ms(4_010),
    );
    store_all(&mut second);
    assert_eq!(
        second.job_info(job).expect("the job is known").outcome,
        JobOutcome::Failed
    );
}

#[test]
fn a_failed_run_of_a_removed_worker_still_counts() {
    let mut scheduler = scheduler(1);
    let lost = worker(&mut scheduler, "lost", 4_000);
    let job = add_job(&mut scheduler, 7, 1, &spec(vec![step(1, 1_000)]), None);
    let orders = scheduler.place(at(0));
    scheduler.remove_lost_worker(lost, at(10_000), unix_ms(10_000));
    let back = worker(&mut scheduler, "lost", 4_000);
    let retry = scheduler.place(at(10_010));
    assert_eq!(retry.len(), 1);
    scheduler.record_end(
        back,
        &end(1, orders[0].run_id, RunEndKind::Failed),
        at(10_020),
        unix_ms(10_020),
    );
    scheduler.record_end(
        back,
        &end(2, retry[0].run_id, RunEndKind::Failed),
        at(10_030),
        unix_ms(10_030),
    );
    store_all(&mut scheduler);
    assert_eq!(
        scheduler.job_info(job).expect("the job is known").outcome,
        JobOutcome::Failed
    );
    assert!(
        scheduler.place(at(20_000)).is_empty(),
        "the maximum number of attempts is two"
    );
}

/// Guards against a job of short tasks that is shown as queued: the agent does not report the start of a run that has
/// ended already.
#[test]
fn a_job_of_which_only_ends_are_reported_has_started() {
    let mut scheduler = scheduler(1);
    let worker = worker(&mut scheduler, "w", 4_000);
    let job = add_job(&mut scheduler, 7, 1, &spec(vec![step(2, 1_000)]), None);
    let orders = scheduler.place(at(0));
    assert!(!scheduler.job(job).expect("the job is known").started);
    scheduler.record_end(
        worker,
        &end(1, orders[0].run_id, RunEndKind::Done),
        at(20),
        unix_ms(20),
    );
    assert!(scheduler.job(job).expect("the job is known").started);
}

/// Guards against a second run of a task whose start the next boot of a restarted worker has executed.
#[test]
fn an_unconfirmed_start_keeps_its_placement_when_the_confirmed_runs_of_its_worker_end() {
    let mut scheduler = scheduler(1);
    let lost = worker(&mut scheduler, "lost", 4_000);
    add_job(&mut scheduler, 7, 1, &spec(vec![step(2, 1_000)]), None);
    let orders = scheduler.place(at(0));
    scheduler.record_start(lost, orders[0].run_id, at(100));
    assert!(scheduler.has_unconfirmed_starts(lost));
    scheduler.set_worker_reachable(lost, false);
    scheduler.end_confirmed_runs(lost, at(9_000), unix_ms(9_000));
    worker(&mut scheduler, "other", 4_000);
    let again = scheduler.place(at(9_010));
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].run_id.task, orders[0].run_id.task);
    scheduler.remove_lost_worker(lost, at(13_200), unix_ms(13_200));
    let last = scheduler.place(at(13_210));
    assert_eq!(last.len(), 1);
    assert_eq!(last[0].run_id.task, orders[1].run_id.task);
}

#[test]
fn a_task_completed_by_a_run_given_up_as_lost_does_not_run_again() {
    let mut scheduler = scheduler(1);
    let lost = worker(&mut scheduler, "lost", 4_000);
    let job = add_job(&mut scheduler, 7, 1, &spec(vec![step(1, 1_000)]), None);
    let orders = scheduler.place(at(0));
    scheduler.remove_lost_worker(lost, at(10_000), unix_ms(10_000));
    let back = worker(&mut scheduler, "lost", 4_000);
    let retry = scheduler.place(at(10_010));
    scheduler.record_end(
        back,
        &end(1, orders[0].run_id, RunEndKind::Done),
        at(10_020),
        unix_ms(10_020),
    );
    let stops = scheduler.take_stops();
    assert_eq!(stops.len(), 1);
    assert_eq!(stops[0].run_id, retry[0].run_id);
    store_all(&mut scheduler);
    assert_eq!(
        scheduler.job_info(job).expect("the job is known").outcome,
        JobOutcome::Completed
    );
}

#[test]
fn a_new_owner_adopts_runs_and_starts_earlier_jobs_only_after_reconciliation() {
    let job_spec = spec(vec![step(2, 1_000)]);
    let mut scheduler = wax_batch::JobScheduler::new(2, Default::default());
    scheduler.set_config(config(2).into(), unix_ms(0));
    add_job(&mut scheduler, 7, 1, &job_spec, None);
    add_job(&mut scheduler, 8, 2, &job_spec, None);
    let worker = worker(&mut scheduler, "w", 8_000);
    let orders = scheduler.place(at(0));
    assert!(
        orders.iter().all(|order| order.run_id.task.job.0 == 8),
        "only the job of this term may start"
    );
    assert_eq!(orders.len(), 2);
    let adopted = running(run_id(7, 0, 1, 1));
    let own: Vec<_> = orders.iter().map(|order| running(order.run_id)).collect();
    let runs: Vec<_> = own.into_iter().chain([adopted]).collect();
    scheduler.reconcile_worker(worker, &runs, &EndPage::all(&[]), at(10), unix_ms(10));
    assert!(scheduler.place(at(20)).is_empty());
    scheduler.mark_all_reconciled();
    let orders = scheduler.place(at(30));
    assert_eq!(orders.len(), 1, "the adopted task is not started again");
    assert_eq!(orders[0].run_id.task.index, 0);
    assert!(
        orders[0].run_id.run > 1,
        "run numbers are above those of the earlier term"
    );
}

/// A task that is placed before the orphan run has ended could exceed the capacity of the worker.
#[test]
fn an_orphan_run_is_stopped_and_keeps_its_reservation_until_it_has_ended() {
    let mut scheduler = scheduler(1);
    let worker = worker(&mut scheduler, "w", 4_000);
    scheduler.reconcile_worker(
        worker,
        &[running(run_id(9, 0, 0, 1))],
        &EndPage::all(&[]),
        at(0),
        unix_ms(0),
    );
    assert_eq!(scheduler.take_stops().len(), 1);
    add_job(&mut scheduler, 7, 1, &spec(vec![step(1, 1_000)]), None);
    assert!(
        scheduler.place(at(0)).is_empty(),
        "the reservation of the orphan run is unknown"
    );
    scheduler.record_end(
        worker,
        &end(1, run_id(9, 0, 0, 1), RunEndKind::Stopped),
        at(10),
        unix_ms(10),
    );
    assert_eq!(scheduler.place(at(20)).len(), 1);
}

#[test]
fn a_cancelled_job_stops_and_starts_nothing() {
    let mut scheduler = scheduler(1);
    let worker = worker(&mut scheduler, "w", 1_000);
    let job = add_job(&mut scheduler, 7, 1, &spec(vec![step(2, 1_000)]), None);
    let orders = scheduler.place(at(0));
    assert_eq!(orders.len(), 1);
    scheduler.cancel(job, unix_ms(10));
    assert_eq!(scheduler.take_stops().len(), 1);
    scheduler.record_end(
        worker,
        &end(1, orders[0].run_id, RunEndKind::Stopped),
        at(20),
        unix_ms(20),
    );
    assert!(scheduler.place(at(30)).is_empty());
    store_all(&mut scheduler);
    assert_eq!(
        scheduler.job_info(job).expect("the job is known").outcome,
        JobOutcome::Cancelled
    );
}

#[test]
fn a_long_running_task_is_restarted_however_its_run_ends() {
    let mut scheduler = scheduler(1);
    let worker = worker(&mut scheduler, "w", 4_000);
    let mut long_running_step = step(1, 1_000);
    long_running_step.long_running = true;
    let job = add_job(&mut scheduler, 7, 1, &spec(vec![long_running_step]), None);
    for (number, kind) in (1..).zip([
        RunEndKind::Done,
        RunEndKind::Failed,
        RunEndKind::Failed,
        RunEndKind::Lapsed,
    ]) {
        let now = number * 10_000;
        let orders = scheduler.place(at(now));
        assert_eq!(orders.len(), 1, "before end {number}");
        scheduler.record_end(
            worker,
            &end(number, orders[0].run_id, kind),
            at(now + 10),
            unix_ms(now + 10),
        );
    }
    store_all(&mut scheduler);
    assert_eq!(
        scheduler.job_info(job).expect("the job is known").outcome,
        JobOutcome::Open
    );
}

/// The task is at fault, not its worker. Excluding the worker would keep other tasks away for 3 s
/// again and again.
#[test]
fn a_long_running_task_that_always_fails_does_not_exclude_its_worker() {
    let mut scheduler = scheduler(1);
    let worker = worker(&mut scheduler, "w", 4_000);
    let mut long_running_step = step(1, 1_000);
    long_running_step.long_running = true;
    add_job(&mut scheduler, 7, 1, &spec(vec![long_running_step]), None);
    for number in 1..=4 {
        let now = number * 1_100;
        let orders = scheduler.place(at(now));
        assert_eq!(orders.len(), 1, "before end {number}");
        scheduler.record_end(
            worker,
            &end(number, orders[0].run_id, RunEndKind::Failed),
            at(now + 10),
            unix_ms(now + 10),
        );
    }
    let job = add_job(&mut scheduler, 8, 1, &spec(vec![step(1, 1_000)]), None);
    let orders = scheduler.place(at(4_420));
    assert!(orders.iter().any(|order| order.run_id.task.job == job));
}

#[test]
fn a_gang_starts_and_stops_with_all_members() {
    let mut scheduler = scheduler(1);
    let small = worker(&mut scheduler, "small", 1_000);
    let mut gang = step(2, 1_000);
    gang.gang = true;
    add_job(&mut scheduler, 7, 1, &spec(vec![gang]), None);
    assert!(scheduler.place(at(0)).is_empty(), "only one member fits");
    let other = worker(&mut scheduler, "other", 1_000);
    let orders = scheduler.place(at(10));
    assert_eq!(orders.len(), 2);
    assert_eq!(orders[0].run_id.run, orders[1].run_id.run);
    scheduler.record_refusal(
        small,
        orders
            .iter()
            .find(|order| order.worker == small)
            .expect("a member is placed on the small worker")
            .run_id,
        StartRefusal::Room,
        at(20),
        unix_ms(20),
    );
    let stops = scheduler.take_stops();
    assert_eq!(stops.len(), 1, "the other member is stopped");
    assert_eq!(stops[0].worker, other);
}

#[test]
fn one_completed_member_completes_a_gang() {
    let mut scheduler = scheduler(1);
    let worker = worker(&mut scheduler, "w", 4_000);
    let mut gang = step(3, 1_000);
    gang.gang = true;
    let job = add_job(&mut scheduler, 7, 1, &spec(vec![gang]), None);
    let orders = scheduler.place(at(0));
    for (number, order) in (1..).zip(&orders) {
        scheduler.record_end(
            worker,
            &end(number, order.run_id, RunEndKind::Done),
            at(10),
            unix_ms(10),
        );
    }
    store_all(&mut scheduler);
    assert_eq!(
        scheduler.job_info(job).expect("the job is known").outcome,
        JobOutcome::Completed
    );
    assert_eq!(scheduler.advance_ack_cursors(), vec![(worker, 3)]);
}

/// Guards against running a gang twice: if the other members' ends are acknowledged before the
/// first member's end is stored, and all processes then lose power, no record of the completion is
/// left.
#[test]
fn no_end_of_a_gang_is_acknowledged_before_the_first_end_is_stored() {
    let mut scheduler = scheduler(1);
    let one = worker(&mut scheduler, "one", 1_000);
    let other = worker(&mut scheduler, "other", 1_000);
    let mut gang = step(2, 1_000);
    gang.gang = true;
    add_job(
        &mut scheduler,
        7,
        1,
        &spec(vec![gang, step(1, 1_000)]),
        None,
    );
    for order in scheduler.place(at(0)) {
        let done = end(1, order.run_id, RunEndKind::Done);
        scheduler.record_end(order.worker, &done, at(10), unix_ms(10));
    }
    assert_eq!(scheduler.advance_ack_cursors(), vec![]);
    store_all(&mut scheduler);
    let mut cursors = scheduler.advance_ack_cursors();
    cursors.sort_unstable();
    assert_eq!(cursors, vec![(one, 1), (other, 1)]);
}

/// Guards against running a task twice, as in the test above, with two runs of one task of which
/// the first was given up as lost.
#[test]
fn a_second_end_of_a_done_task_is_acknowledged_only_after_it_is_stored() {
    let mut scheduler = scheduler(1);
    let lost = worker(&mut scheduler, "lost", 1_000);
    add_job(&mut scheduler, 7, 1, &spec(vec![step(1, 1_000)]), None);
    let first = scheduler.place(at(0));
    record_all_starts(&mut scheduler, &first, at(0));
    scheduler.remove_lost_worker(lost, at(10), unix_ms(10));
    let one = worker(&mut scheduler, "one", 1_000);
    let other = worker(&mut scheduler, "other", 1_000);
    let retry = scheduler.place(at(20));
    assert_eq!(retry.len(), 1);
    let (runs, idle) = match retry[0].worker == one {
        true => (one, other),
        false => (other, one),
    };
    scheduler.record_end(
        runs,
        &end(1, retry[0].run_id, RunEndKind::Done),
        at(30),
        unix_ms(30),
    );
    scheduler.record_end(
        idle,
        &end(1, first[0].run_id, RunEndKind::Done),
        at(40),
        unix_ms(40),
    );
    assert_eq!(scheduler.advance_ack_cursors(), vec![]);
    store_all(&mut scheduler);
    assert_eq!(scheduler.advance_ack_cursors().len(), 2);
}

#[test]
fn a_repeated_job_starts_each_occurrence_when_it_is_due() {
    let mut scheduler = scheduler(1);
    let worker = worker(&mut scheduler, "w", 4_000);
    let mut timed = spec(vec![step(1, 1_000)]);
    timed.repeat = Some(wax_batch::RepeatPlan {
        count: 2,
        first_ms: unix_ms(1_000),
        interval_ms: 500,
    });
    let job = add_job(&mut scheduler, 7, 1, &timed, None);
    assert_eq!(
        scheduler.start_due_occurrences(at(900), unix_ms(900)),
        Some(unix_ms(1_000))
    );
    assert!(
        scheduler.place(at(900)).is_empty(),
        "the first occurrence is not due yet"
    );
    assert_eq!(
        scheduler.start_due_occurrences(at(1_000), unix_ms(1_000)),
        Some(unix_ms(1_500))
    );
    let first = scheduler.place(at(1_000));
    assert_eq!(first[0].run_id.task.occurrence, 0);
    scheduler.start_due_occurrences(at(1_500), unix_ms(1_500));
    let second = scheduler.place(at(1_500));
    assert_eq!(
        second[0].run_id.task.occurrence, 1,
        "occurrences may overlap"
    );
    scheduler.record_end(
        worker,
        &end(1, second[0].run_id, RunEndKind::Done),
        at(1_600),
        unix_ms(1_600),
    );
    assert_eq!(
        scheduler.job_info(job).expect("the job is known").outcome,
        JobOutcome::Open
    );
    scheduler.record_end(
        worker,
        &end(2, first[0].run_id, RunEndKind::Done),
        at(1_700),
        unix_ms(1_700),
    );
    store_all(&mut scheduler);
    assert_eq!(
        scheduler.job_info(job).expect("the job is known").outcome,
        JobOutcome::Completed
    );
}

/// The first order may have been lost with its link.
#[test]
fn a_stop_order_is_repeated_on_the_next_link() {
    let mut scheduler = scheduler(1);
    let worker = worker(&mut scheduler, "w", 4_000);
    let mut long_running_step = step(1, 1_000);
    long_running_step.long_running = true;
    add_job(&mut scheduler, 7, 1, &spec(vec![long_running_step]), None);
    let orders = scheduler.place(at(0));
    record_all_starts(&mut scheduler, &orders, at(0));
    scheduler.reconcile_worker(
        worker,
        &[running(orders[0].run_id)],
        &EndPage::all(&[]),
        at(10),
        unix_ms(10),
    );
    assert!(scheduler.take_stops().is_empty());
    let mut gang = step(2, 1_000);
    gang.gang = true;
    add_job(&mut scheduler, 8, 1, &spec(vec![gang]), None);
    let members = scheduler.place(at(20));
    scheduler.record_end(
        worker,
        &end(1, members[0].run_id, RunEndKind::Failed),
        at(30),
        unix_ms(30),
    );
    assert_eq!(scheduler.take_stops().len(), 1);
    let runs = [running(orders[0].run_id), running(members[1].run_id)];
    scheduler.reconcile_worker(worker, &runs, &EndPage::all(&[]), at(40), unix_ms(40));
    let stops = scheduler.take_stops();
    assert_eq!(stops.len(), 1);
    assert_eq!(stops[0].run_id, members[1].run_id);
}

/// The first order may have been lost with its link, and the run would then never stop.
#[test]
fn the_stop_order_for_an_orphan_run_is_repeated_on_the_next_link() {
    let mut scheduler = scheduler(1);
    let worker = worker(&mut scheduler, "w", 2_000);
    let runs = [running(run_id(9, 0, 0, 1))];
    scheduler.reconcile_worker(worker, &runs, &EndPage::all(&[]), at(0), unix_ms(0));
    assert_eq!(scheduler.take_stops().len(), 1);
    scheduler.reconcile_worker(worker, &runs, &EndPage::all(&[]), at(1_000), unix_ms(1_000));
    let stops = scheduler.take_stops();
    assert_eq!(stops.len(), 1);
    assert_eq!(stops[0].run_id, run_id(9, 0, 0, 1));
}

#[test]
fn an_acknowledged_end_can_be_reported_again_after_a_lost_link() {
    let mut scheduler = scheduler(1);
    let worker = worker(&mut scheduler, "w", 4_000);
    add_job(&mut scheduler, 7, 1, &spec(vec![step(1, 1_000)]), None);
    let orders = scheduler.place(at(0));
    let done = end(1, orders[0].run_id, RunEndKind::Done);
    scheduler.record_end(worker, &done, at(10), unix_ms(10));
    store_all(&mut scheduler);
    assert_eq!(scheduler.advance_ack_cursors(), vec![(worker, 1)]);
    // The worker lists the end again on its next link. The cursor stays where it is.
    scheduler.reconcile_worker(worker, &[], &EndPage::all(&[done]), at(20), unix_ms(20));
    assert_eq!(scheduler.advance_ack_cursors(), vec![]);
    assert_eq!(scheduler.acknowledged_end(worker), 1);
}

/// The share of late jobs only counts open best-effort jobs, and is 0 unless enough of them are
/// open.
#[test]
fn overload_is_the_share_of_open_best_effort_jobs_that_are_late() {
    let mut scheduler = scheduler(1);
    let best_effort = wax_batch::StepSpec {
        best_effort: true,
        ..step(1, 1_000)
    };
    for number in 0..3 {
        add_job(
            &mut scheduler,
            10 + number,
            1,
            &spec(vec![best_effort.clone()]),
            None,
        );
    }
    add_job(&mut scheduler, 20, 1, &spec(vec![step(1, 1_000)]), None);
    assert_eq!(
        scheduler.overload(at(60_000)),
        0.0,
        "three jobs are too few"
    );
    add_job(&mut scheduler, 13, 1, &spec(vec![best_effort]), None);
    assert_eq!(scheduler.overload(at(0)), 0.0);
    assert_eq!(scheduler.overload(at(60_000)), 1.0);
    scheduler.cancel(wax_batch::JobName(13), unix_ms(60_000));
    assert_eq!(
        scheduler.overload(at(60_000)),
        0.0,
        "three open jobs are too few"
    );
}

/// Returns the version of the store that has expired after a mark at each of `versions`, the last of
/// which is younger than the retention time.
fn expired_before_last_mark(versions: &[u64]) -> wax_policy::ExpiredVersion {
    let retention = Duration::from_secs(10);
    let mut ages = wax_policy::VersionAges::new(retention);
    for (number, version) in (0..).zip(versions) {
        ages.record(*version, StoreTime(number * 10_000));
    }
    ages.expired_version()
}

/// Guards against an ended job that is forgotten by any age but that of the version that stored its
/// end: not while its end is unstored, and not when an update after its end is unstored.
#[test]
fn an_ended_job_is_removable_once_the_version_that_stored_its_end_has_expired() {
    let mut scheduler = scheduler(1);
    add_job(&mut scheduler, 7, 1, &spec(vec![step(1, 1_000)]), None);
    let all = expired_before_last_mark(&[99, 100]);
    assert!(scheduler.removable_jobs(all, 8).is_empty(), "an open job");
    scheduler.cancel(JobName(7), unix_ms(0));
    assert!(scheduler.removable_jobs(all, 8).is_empty(), "not stored");
    let updates = scheduler.take_updates(8);
    scheduler.confirm_updates(&updates, 40, at(0));
    let before = expired_before_last_mark(&[39, 40]);
    assert!(scheduler.removable_jobs(before, 8).is_empty(), "too young");
    let after = expired_before_last_mark(&[40, 41]);
    assert_eq!(scheduler.removable_jobs(after, 8), [JobName(7)]);
}

/// Guards against an owner that counts the age of an end from the wall clock of the one that stored
/// it.
#[test]
fn a_restored_end_has_the_age_of_its_row() {
    let progress = JobProgress {
        outcome: JobOutcome::Completed.into(),
        ended_ms: 1,
        ..Default::default()
    };
    let stored = StoredProgress {
        progress,
        version: 40,
        ..Default::default()
    };
    let mut row = JobRow::new(&spec(vec![step(1, 1_000)]), &queue_rules(2), unix_ms(0), 1);
    row.epoch = 1;
    let mut scheduler = scheduler(2);
    scheduler.add_job(JobName(7), row, Some(&stored), &clocks(0));
    let before = expired_before_last_mark(&[39, 40]);
    assert!(scheduler.removable_jobs(before, 8).is_empty());
    let after = expired_before_last_mark(&[40, 41]);
    assert_eq!(scheduler.removable_jobs(after, 8), [JobName(7)]);
}
