//! Tasks that a new owner may start before it has reconciled with all workers. If it started any
//! other, the task could run twice at the same time.

mod support;

use support::*;
use wax_batch::{
    EndPage, JobName, JobOutcome, JobProgress, JobScheduler, JobSpec, LostRun, RunEndKind,
    RunReport, StepSpec, UnreconciledRuns,
};

/// Returns a scheduler of term 2 with one worker and no reconciliation yet.
fn new_owner() -> (JobScheduler, wax_batch::WorkerKey) {
    let mut scheduler = JobScheduler::new(2, Default::default());
    scheduler.set_config(config(2).into(), unix_ms(0));
    let worker = worker(&mut scheduler, "w", 8_000);
    (scheduler, worker)
}

#[test]
fn a_task_reported_as_running_may_restart_before_all_workers_are_reconciled() {
    let (mut scheduler, worker) = new_owner();
    add_job(&mut scheduler, 7, 1, &spec(vec![step(2, 1_000)]), None);
    scheduler.reconcile_worker(
        worker,
        &[running(run_id(7, 0, 0, 1))],
        &EndPage::all(&[]),
        at(0),
        unix_ms(0),
    );
    assert!(
        scheduler.place(at(10)).is_empty(),
        "the other task may be running on an unreconciled worker"
    );
    let failed = end(1, run_id(7, 0, 0, 1), RunEndKind::Failed);
    scheduler.record_end(worker, &failed, at(20), unix_ms(20));
    let orders = scheduler.place(at(2_000));
    assert_eq!(orders.len(), 1, "the task had no other run");
    assert_eq!(orders[0].run_id.task.index, 0);
    assert_eq!(scheduler.held_back_task_count(), 1);
}

#[test]
fn a_run_that_may_not_have_started_does_not_locate_its_task() {
    let (mut scheduler, worker) = new_owner();
    add_job(&mut scheduler, 7, 1, &spec(vec![step(1, 1_000)]), None);
    let sent = RunReport {
        confirmed_by_worker: false,
        ..running(run_id(7, 0, 0, 1))
    };
    scheduler.reconcile_worker(worker, &[sent], &EndPage::all(&[]), at(0), unix_ms(0));
    let never_started = end(1, run_id(7, 0, 0, 1), RunEndKind::Stopped);
    scheduler.record_end(worker, &never_started, at(20), unix_ms(20));
    assert!(
        scheduler.place(at(2_000)).is_empty(),
        "a later run may be on an unreconciled worker"
    );
    scheduler.mark_all_reconciled();
    assert_eq!(scheduler.place(at(2_100)).len(), 1);
}

#[test]
fn a_reported_end_does_not_locate_its_task() {
    let (mut scheduler, worker) = new_owner();
    add_job(&mut scheduler, 7, 1, &spec(vec![step(1, 1_000)]), None);
    let failed = end(1, run_id(7, 0, 0, 1), RunEndKind::Failed);
    scheduler.reconcile_worker(worker, &[], &EndPage::all(&[failed]), at(0), unix_ms(0));
    assert!(scheduler.place(at(2_000)).is_empty());
}

#[test]
fn a_step_after_tasks_reported_in_this_term_is_new_in_the_term() {
    let (mut scheduler, worker) = new_owner();
    let mut second = step(3, 1_000);
    second.after = [0].into();
    let mut third = step(2, 1_000);
    third.after = [1].into();
    let job_spec = spec(vec![step(2, 1_000), second, third]);
    add_job(&mut scheduler, 7, 1, &job_spec, None);
    let runs = [running(run_id(7, 0, 1, 1))];
    let ends = [end(1, run_id(7, 0, 0, 1), RunEndKind::Done)];
    scheduler.reconcile_worker(worker, &runs, &EndPage::all(&ends), at(0), unix_ms(0));
    assert!(scheduler.place(at(10)).is_empty());
    let done = end(2, run_id(7, 0, 1, 1), RunEndKind::Done);
    scheduler.record_end(worker, &done, at(20), unix_ms(20));
    let orders = scheduler.place(at(30));
    assert_eq!(
        orders.len(),
        3,
        "no earlier owner can have opened the second step"
    );
    for (number, order) in (3..).zip(&orders) {
        scheduler.record_end(
            worker,
            &end(number, order.run_id, RunEndKind::Done),
            at(40),
            unix_ms(40),
        );
    }
    assert_eq!(
        scheduler.place(at(50)).len(),
        2,
        "no earlier owner can have opened the third step"
    );
}

#[test]
fn a_step_may_be_running_unreconciled_if_its_prerequisites_had_ended_before() {
    let (mut scheduler, worker) = new_owner();
    let mut second = step(1, 1_000);
    second.after = [0].into();
    add_job(
        &mut scheduler,
        7,
        1,
        &spec(vec![step(1, 1_000), second]),
        None,
    );
    let ends = [end(1, run_id(7, 0, 0, 1), RunEndKind::Done)];
    scheduler.reconcile_worker(worker, &[], &EndPage::all(&ends), at(0), unix_ms(0));
    assert!(
        scheduler.place(at(10)).is_empty(),
        "the earlier owner may have opened the second step"
    );
}

#[test]
fn only_jobs_that_an_unreconciled_worker_may_run_are_held_back() {
    let (mut scheduler, _) = new_owner();
    for job in [7, 8] {
        add_job(&mut scheduler, job, 1, &spec(vec![step(1, 1_000)]), None);
    }
    scheduler.set_unreconciled(UnreconciledRuns::Only([JobName(7)].into()));
    let orders = scheduler.place(at(0));
    assert_eq!(orders.len(), 1);
    assert_eq!(orders[0].run_id.task.job, JobName(8));
    assert!(!scheduler.is_reconciled());
    assert_eq!(scheduler.held_back_task_count(), 1);
}

#[test]
fn a_gang_waits_until_all_its_members_are_reconciled() {
    let (mut scheduler, worker) = new_owner();
    let mut gang = step(2, 1_000);
    gang.gang = true;
    add_job(&mut scheduler, 7, 1, &spec(vec![gang]), None);
    scheduler.reconcile_worker(
        worker,
        &[running(run_id(7, 0, 0, 1))],
        &EndPage::all(&[]),
        at(0),
        unix_ms(0),
    );
    let broken = end(1, run_id(7, 0, 0, 1), RunEndKind::Broken);
    scheduler.record_end(worker, &broken, at(20), unix_ms(20));
    assert!(
        scheduler.place(at(2_000)).is_empty(),
        "the other member may be running on an unreconciled worker"
    );
    scheduler.mark_all_reconciled();
    assert_eq!(scheduler.place(at(2_100)).len(), 2);
}

/// Returns a scheduler of term 2 with a job of a gang of two and a step of two tasks after it.
fn new_owner_with_gang() -> (JobScheduler, wax_batch::WorkerKey) {
    let (mut scheduler, worker) = new_owner();
    let mut gang = step(2, 1_000);
    gang.gang = true;
    let mut second = step(2, 1_000);
    second.after = [0].into();
    add_job(&mut scheduler, 7, 1, &spec(vec![gang, second]), None);
    (scheduler, worker)
}

/// Guards against tasks that run twice after a cut: the former owner hears the end of a gang from the
/// agent of another member, and opens the next step as well.
#[test]
fn a_step_after_a_gang_is_not_new_while_an_earlier_owner_may_hear_the_end_of_a_member() {
    let (mut scheduler, worker) = new_owner_with_gang();
    let listed = [running(run_id(7, 0, 0, 1))];
    scheduler.reconcile_worker(worker, &listed, &EndPage::all(&[]), at(0), unix_ms(0));
    let done = end(1, run_id(7, 0, 0, 1), RunEndKind::Done);
    scheduler.record_end(worker, &done, at(20), unix_ms(20));
    assert!(
        scheduler.place(at(30)).is_empty(),
        "the former owner may have opened the second step"
    );
    scheduler.mark_all_reconciled();
    assert_eq!(scheduler.place(at(40)).len(), 2);
}

#[test]
fn a_step_after_a_gang_is_new_once_all_members_are_reported_in_this_term() {
    let (mut scheduler, worker) = new_owner_with_gang();
    let other = support::worker(&mut scheduler, "other", 8_000);
    for (key, index) in [(worker, 0), (other, 1)] {
        let listed = [running(run_id(7, 0, index, 1))];
        scheduler.reconcile_worker(key, &listed, &EndPage::all(&[]), at(0), unix_ms(0));
    }
    let done = end(1, run_id(7, 0, 0, 1), RunEndKind::Done);
    scheduler.record_end(worker, &done, at(20), unix_ms(20));
    assert_eq!(
        scheduler.place(at(30)).len(),
        2,
        "no earlier owner hears the end of a member"
    );
}

/// Guards against tasks that run twice: the task's first run had completed before its leases expired,
/// and an earlier owner learns of that end late, after it has started the task again.
#[test]
fn a_step_is_not_new_while_an_earlier_owner_may_hear_the_end_of_an_earlier_run() {
    let (mut scheduler, worker) = new_owner();
    let mut second = step(1, 1_000);
    second.after = [0].into();
    let job_spec = spec(vec![step(1, 1_000), second]);
    add_job(&mut scheduler, 7, 1, &job_spec, None);
    let listed = [running(run_id(7, 0, 0, 2))];
    scheduler.reconcile_worker(worker, &listed, &EndPage::all(&[]), at(0), unix_ms(0));
    let done = end(1, run_id(7, 0, 0, 2), RunEndKind::Done);
    scheduler.record_end(worker, &done, at(20), unix_ms(20));
    assert!(
        scheduler.place(at(30)).is_empty(),
        "the former owner may have opened the second step"
    );
    scheduler.mark_all_reconciled();
    assert_eq!(scheduler.place(at(40)).len(), 1);
}

/// Returns a scheduler with one worker and a job of three tasks, which it has placed there.
fn owner_with_three_runs() -> (JobScheduler, wax_batch::WorkerKey) {
    let mut scheduler = JobScheduler::new(1, Default::default());
    scheduler.set_config(config(2).into(), unix_ms(0));
    scheduler.mark_all_reconciled();
    let worker = worker(&mut scheduler, "w", 8_000);
    add_job(&mut scheduler, 7, 1, &spec(vec![step(3, 1_000)]), None);
    assert_eq!(scheduler.place(at(0)).len(), 3);
    (scheduler, worker)
}

fn first_page() -> EndPage {
    EndPage {
        ends: vec![end(1, run_id(7, 0, 0, 1), RunEndKind::Done)],
        has_more: true,
    }
}

/// Guards against a task that runs again after its end: a list of ends that has more was taken as
/// complete.
#[test]
fn a_run_missing_from_a_list_is_not_started_again_while_the_worker_has_further_ends() {
    let (mut scheduler, worker) = owner_with_three_runs();
    scheduler.reconcile_worker(worker, &[], &first_page(), at(10), unix_ms(10));
    assert!(scheduler.place(at(2_000)).is_empty());
    let done = end(2, run_id(7, 0, 1, 1), RunEndKind::Done);
    scheduler.record_end(worker, &done, at(2_010), unix_ms(2_010));
    assert!(scheduler.place(at(2_020)).is_empty());
    scheduler.finish_reconciliation(worker, at(2_030), unix_ms(2_030));
    let orders = scheduler.place(at(4_000));
    assert_eq!(orders.len(), 1, "one run has no end");
    assert_eq!(orders[0].run_id.task.index, 2);
}

#[test]
fn a_run_ordered_after_an_incomplete_list_is_not_ended_with_the_missing_ones() {
    let (mut scheduler, worker) = owner_with_three_runs();
    scheduler.reconcile_worker(worker, &[], &first_page(), at(10), unix_ms(10));
    add_job(&mut scheduler, 8, 1, &spec(vec![step(1, 1_000)]), None);
    let orders = scheduler.place(at(20));
    assert_eq!(orders.len(), 1);
    scheduler.finish_reconciliation(worker, at(30), unix_ms(30));
    let again = scheduler.place(at(2_000));
    assert!(
        again
            .iter()
            .all(|order| order.run_id.task.job == JobName(7))
    );
    assert_eq!(again.len(), 2);
}

/// Guards against a task that runs again after its end on the boot that followed the one for which
/// its start was ordered.
#[test]
fn runs_of_a_replaced_boot_await_the_further_ends_of_the_next_one() {
    let (mut scheduler, before) = owner_with_three_runs();
    let next = worker(&mut scheduler, "w2", 8_000);
    scheduler.move_runs(before, next, at(10));
    scheduler.remove_lost_worker(before, at(10), unix_ms(10));
    scheduler.reconcile_worker(next, &[], &first_page(), at(10), unix_ms(10));
    assert!(scheduler.place(at(2_000)).is_empty());
    scheduler.finish_reconciliation(next, at(2_010), unix_ms(2_010));
    assert_eq!(scheduler.place(at(4_000)).len(), 2);
}

/// Names cases of a task of which run `located` is listed as running in the third term and then fails,
/// while another agent has not been heard. A case gives the stored failed runs, the located run and
/// `maxAttempts`, and whether the task starts again before that agent is heard.
macro_rules! last_attempt_tests {
    ($($name:ident: $stored:expr, $located:expr, $max_attempts:expr => $starts:expr;)*) => {
        $(
            /// Guards against a start after as many failed runs as the queue allows, of which one is
            /// known only to an agent that was not heard.
            #[test]
            fn $name() {
                assert_eq!(starts_before_reconciliation(step(1, 1_000), &$stored, $located, $max_attempts), $starts);
            }
        )*
    };
}

last_attempt_tests! {
    a_task_located_at_its_first_run_starts_again: [], 1, 2 => true;
    a_task_located_at_its_second_run_waits_before_a_last_start: [], 2, 2 => false;
    a_task_located_at_its_second_run_starts_again_with_attempts_left: [], 2, 3 => true;
    a_task_located_at_its_third_run_waits_for_the_ends_of_two: [], 3, 3 => false;
    a_stored_failure_is_not_counted_twice: [1], 2, 3 => true;
    another_run_than_the_stored_failure_may_have_failed: [1], 3, 3 => false;
    a_task_located_at_a_run_of_the_second_term_waits: [], RUNS_PER_TERM + 1, 4 => false;
}

/// Number of run numbers of each term.
const RUNS_PER_TERM: u64 = 1 << 16;

/// Returns whether a task starts again in the third term after its located run has failed, before
/// all agents are heard.
fn starts_before_reconciliation(
    step: StepSpec,
    stored: &[u64],
    located: u64,
    max_attempts: u32,
) -> bool {
    let (mut scheduler, worker) = owner_with_located_runs(step, stored, located, max_attempts);
    let failed = end(1, run_id(7, 0, 0, located), RunEndKind::Failed);
    scheduler.record_end(worker, &failed, at(20), unix_ms(20));
    for (number, index) in (2..).zip(1..scheduler_step_count(&scheduler)) {
        let broken = end(number, run_id(7, 0, index, located), RunEndKind::Broken);
        scheduler.record_end(worker, &broken, at(20), unix_ms(20));
    }
    let starts_early = !scheduler.place(at(2_000)).is_empty();
    scheduler.mark_all_reconciled();
    let starts_later = !scheduler.place(at(4_000)).is_empty();
    assert!(starts_early || starts_later, "no failed run was heard");
    starts_early
}

fn scheduler_step_count(scheduler: &JobScheduler) -> u32 {
    let job = scheduler.job(JobName(7)).expect("the job is known");
    job.spec.steps[0].count
}

/// Returns an owner of the third term and its worker, which lists run `located` of all tasks.
fn owner_with_located_runs(
    step: StepSpec,
    stored: &[u64],
    located: u64,
    max_attempts: u32,
) -> (JobScheduler, wax_batch::WorkerKey) {
    let mut scheduler = JobScheduler::new(3, Default::default());
    scheduler.set_config(config(max_attempts).into(), unix_ms(0));
    let worker = worker(&mut scheduler, "w", 8_000);
    let count = step.count;
    let job_spec = spec(vec![step]);
    let progress = progress_with_failures(&job_spec, stored);
    add_job(&mut scheduler, 7, 1, &job_spec, progress.as_ref());
    let runs: Vec<RunReport> = (0..count)
        .map(|index| running(run_id(7, 0, index, located)))
        .collect();
    let no_ends = EndPage::all(&[]);
    scheduler.reconcile_worker(worker, &runs, &no_ends, at(0), unix_ms(0));
    (scheduler, worker)
}

/// Returns stored progress with failed runs of the first task; `None` without any.
fn progress_with_failures(job_spec: &JobSpec, runs: &[u64]) -> Option<JobProgress> {
    let mut scheduler = scheduler(1);
    scheduler.set_config(config(9).into(), unix_ms(0));
    let worker = worker(&mut scheduler, "w", 8_000);
    add_job(&mut scheduler, 7, 1, job_spec, None);
    for (number, run) in (1..).zip(runs) {
        let failed = end(number, run_id(7, 0, 0, *run), RunEndKind::Failed);
        scheduler.record_end(worker, &failed, at(0), unix_ms(0));
    }
    let stored = store_all(&mut scheduler);
    stored.into_iter().next().map(|(_, progress)| progress)
}

/// Guards against a gang that exceeds its attempts, which its first member counts for all.
#[test]
fn a_gang_waits_for_the_ends_of_earlier_runs_before_a_last_start() {
    let gang = || StepSpec {
        gang: true,
        ..step(2, 1_000)
    };
    assert!(!starts_before_reconciliation(gang(), &[], 2, 2));
    assert!(starts_before_reconciliation(gang(), &[], 1, 2));
    assert!(starts_before_reconciliation(gang(), &[1], 2, 3));
}

/// Guards against a long-running task that stands still: however its runs end, it starts again.
#[test]
fn a_long_running_task_waits_for_no_end_of_an_earlier_run() {
    let long_running = StepSpec {
        long_running: true,
        ..step(1, 1_000)
    };
    assert!(starts_before_reconciliation(
        long_running,
        &[],
        RUNS_PER_TERM + 5,
        1
    ));
}

/// Guards against a task that waits although its earlier run is known to have crashed its worker.
#[test]
fn a_run_that_ended_in_a_crash_of_its_worker_has_not_failed() {
    let (mut scheduler, worker) = owner_with_located_runs(step(1, 1_000), &[], 2, 2);
    let lost = LostRun {
        run_id: run_id(7, 0, 0, 1),
        min_run_time: Some(std::time::Duration::from_millis(300)),
    };
    scheduler.record_crash("other", &[lost], at(10), unix_ms(10));
    let failed = end(1, run_id(7, 0, 0, 2), RunEndKind::Failed);
    scheduler.record_end(worker, &failed, at(20), unix_ms(20));
    assert!(!scheduler.place(at(2_000)).is_empty());
}

/// Guards against an outcome that depends on the order in which agents are heard.
#[test]
fn a_job_fails_when_the_end_of_its_first_run_is_heard_last() {
    let (mut scheduler, second) = owner_with_located_runs(step(1, 1_000), &[], 2, 2);
    let failed = end(1, run_id(7, 0, 0, 2), RunEndKind::Failed);
    scheduler.record_end(second, &failed, at(20), unix_ms(20));
    assert!(scheduler.place(at(2_000)).is_empty());
    assert_eq!(scheduler.held_back_task_count(), 1);
    let first = worker(&mut scheduler, "first", 8_000);
    let failed = end(1, run_id(7, 0, 0, 1), RunEndKind::Failed);
    let ends = EndPage::all(&[failed]);
    scheduler.reconcile_worker(first, &[], &ends, at(2_100), unix_ms(2_100));
    scheduler.mark_all_reconciled();
    assert!(scheduler.place(at(4_000)).is_empty());
    store_all(&mut scheduler);
    let info = scheduler.job_info(JobName(7)).expect("the job is known");
    assert_eq!(info.outcome, JobOutcome::Failed);
}

/// Guards against a task that waits for ends that cannot exist: the owner has started each run since
/// the located one itself.
#[test]
fn runs_of_the_present_term_leave_no_end_unknown() {
    let (mut scheduler, worker) = owner_with_located_runs(step(1, 1_000), &[], 1, 4);
    let mut run = run_id(7, 0, 0, 1);
    for number in 1..4 {
        let failed = end(number, run, RunEndKind::Failed);
        let millis = number * 2_000;
        scheduler.record_end(worker, &failed, at(millis - 1_500), unix_ms(0));
        let orders = scheduler.place(at(millis));
        assert_eq!(orders.len(), 1, "start {number}");
        run = orders[0].run_id;
        scheduler.record_progress(worker, &running(run), at(millis));
    }
}

/// Guards against a next owner that starts a task whose end only the worker of an unlinked agent has:
/// the agent's row names the jobs of which it must be heard first.
#[test]
fn a_job_is_on_a_worker_until_the_ends_there_are_stored() {
    let mut scheduler = scheduler(1);
    let worker = worker(&mut scheduler, "w", 8_000);
    let job_spec = spec(vec![step(1, 1_000), step(1, 1_000)]);
    add_job(&mut scheduler, 7, 1, &job_spec, None);
    let orders = scheduler.place(at(0));
    assert!(scheduler.jobs_on(worker).contains(&JobName(7)));
    for (number, order) in (1..).zip(&orders) {
        let done = end(number, order.run_id, RunEndKind::Done);
        scheduler.record_end(worker, &done, at(10), unix_ms(10));
    }
    assert!(
        scheduler.jobs_on(worker).contains(&JobName(7)),
        "the end is not stored"
    );
    store_all(&mut scheduler);
    scheduler.advance_ack_cursors();
    assert!(scheduler.jobs_on(worker).is_empty());
}
