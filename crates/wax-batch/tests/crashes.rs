//! Crash attribution: tasks that crash their workers are found, and no other task is taken for the
//! cause.

mod support;

use std::time::Duration;
use support::*;
use wax_batch::{
    CrashVerdict, JobOutcome, JobScheduler, LostRun, RunId, StartOrder, WorkerKey, WorkerState,
    WorkerView,
};

/// Returns a run that was lost `ran_ms` milliseconds after its start.
fn lost_run(run_id: RunId, ran_ms: u64) -> LostRun {
    LostRun {
        run_id,
        min_run_time: Some(Duration::from_millis(ran_ms)),
    }
}

/// Crashes the worker of a VM. `runs` are all runs on the worker.
fn crash_worker(
    scheduler: &mut JobScheduler,
    (worker, vm): (WorkerKey, &str),
    runs: &[LostRun],
    millis: u64,
) -> Vec<CrashVerdict> {
    let findings = scheduler.record_crash(vm, runs, at(millis), unix_ms(millis));
    scheduler.remove_lost_worker(worker, at(millis), unix_ms(millis));
    findings.iter().map(|finding| finding.verdict).collect()
}

fn stored_outcome(scheduler: &mut JobScheduler, job: u64) -> JobOutcome {
    store_all(scheduler);
    let job_info = scheduler.job_info(wax_batch::JobName(job));
    job_info.expect("the job is known").outcome
}

/// Returns the only order for a job.
fn only_order_of(orders: &[StartOrder], job: u64) -> &StartOrder {
    let mut of_job = orders
        .iter()
        .filter(|order| order.run_id.task.job == wax_batch::JobName(job));
    let order = of_job.next().expect("an order for the job");
    assert!(of_job.next().is_none(), "more than one order for the job");
    order
}

/// Starts the only task on a new worker of a VM, and crashes the worker `ran_ms` milliseconds after
/// the start.
fn crash_on_vm(scheduler: &mut JobScheduler, vm: &str, ran_ms: u64, millis: u64) -> CrashVerdict {
    let worker = worker(scheduler, vm, 4_000);
    let run_id = only_order_of(&scheduler.place(at(millis)), 7).run_id;
    let verdicts = crash_worker(
        scheduler,
        (worker, vm),
        &[lost_run(run_id, ran_ms)],
        millis + 20,
    );
    assert_eq!(verdicts.len(), 1);
    verdicts[0]
}

#[test]
fn a_task_with_early_crashes_on_two_vms_fails_its_job() {
    let mut scheduler = scheduler(1);
    add_job(&mut scheduler, 7, 1, &spec(vec![step(1, 1_000)]), None);
    assert_eq!(
        crash_on_vm(&mut scheduler, "x", 3, 0),
        CrashVerdict::Suspected
    );
    assert_eq!(
        crash_on_vm(&mut scheduler, "y", 3, 1_000),
        CrashVerdict::GivenUp
    );
    assert_eq!(stored_outcome(&mut scheduler, 7), JobOutcome::Failed);
    worker(&mut scheduler, "z", 4_000);
    assert!(
        scheduler.place(at(5_000)).is_empty(),
        "the task is given up and not started again"
    );
}

/// A worker that crashes again within a few seconds may crash on its own, so one more crash is
/// required as evidence.
#[test]
fn repeated_crashes_on_one_vm_are_weaker_evidence_but_count_in_the_end() {
    let mut scheduler = scheduler(1);
    add_job(&mut scheduler, 7, 1, &spec(vec![step(1, 1_000)]), None);
    let verdicts: Vec<CrashVerdict> = (0..3)
        .map(|nth| crash_on_vm(&mut scheduler, "x", 3, nth * 4_000))
        .collect();
    let open = CrashVerdict::Suspected;
    assert_eq!(verdicts, [open, open, CrashVerdict::GivenUp]);
}

/// The second run lasts 700 ms, which shows that the start of the task did not crash the worker.
#[test]
fn a_start_that_its_worker_survives_clears_earlier_early_crashes() {
    let mut scheduler = scheduler(1);
    add_job(&mut scheduler, 7, 1, &spec(vec![step(1, 1_000)]), None);
    let run_times = [("x", 3), ("y", 700), ("z", 3)];
    for (nth, (vm, ran_ms)) in (0..).zip(run_times) {
        let verdict = crash_on_vm(&mut scheduler, vm, ran_ms, nth * 1_000);
        assert_eq!(verdict, CrashVerdict::Suspected);
    }
}

#[test]
fn a_task_with_late_crashes_is_given_up_on_the_fourth_vm() {
    let mut scheduler = scheduler(1);
    add_job(&mut scheduler, 7, 1, &spec(vec![step(1, 1_000)]), None);
    let vms = ["u", "v", "x", "y"];
    // With four VMs in the service, crashes on four VMs are required as evidence.
    let _small_workers: Vec<WorkerKey> = (0..3)
        .map(|nth| worker(&mut scheduler, &format!("o{nth}"), 10))
        .collect();
    for (nth, vm) in (0..).zip(vms) {
        let verdict = crash_on_vm(&mut scheduler, vm, 900, nth * 1_000);
        let last = vm == "y";
        assert_eq!(verdict == CrashVerdict::GivenUp, last, "{vm}");
    }
}

/// A restarted worker is empty and would otherwise attract the task again.
#[test]
fn a_task_avoids_vms_that_it_may_have_crashed_while_another_has_capacity() {
    let mut scheduler = scheduler(1);
    add_job(&mut scheduler, 7, 1, &spec(vec![step(1, 1_000)]), None);
    crash_on_vm(&mut scheduler, "x", 900, 0);
    worker(&mut scheduler, "x", 4_000);
    let busy = worker(&mut scheduler, "y", 1_500);
    add_job(&mut scheduler, 8, 1, &spec(vec![step(1, 1_000)]), None);
    let orders = scheduler.place(at(1_000));
    assert_eq!(only_order_of(&orders, 7).worker, busy);
}

#[test]
fn a_run_of_some_age_next_to_a_recent_start_is_not_isolated() {
    let mut scheduler = scheduler(1);
    let first = worker(&mut scheduler, "w", 4_000);
    add_job(&mut scheduler, 7, 1, &spec(vec![step(1, 1_000)]), None);
    add_job(&mut scheduler, 8, 1, &spec(vec![step(1, 1_000)]), None);
    let orders = scheduler.place(at(0));
    let (bystander, cause) = (
        only_order_of(&orders, 7).run_id,
        only_order_of(&orders, 8).run_id,
    );
    crash_worker(
        &mut scheduler,
        (first, "w"),
        &[lost_run(bystander, 900), lost_run(cause, 3)],
        1_000,
    );
    assert_eq!(stored_outcome(&mut scheduler, 7), JobOutcome::Open);
    // The next start of the task isolates no worker, so other tasks start next to it.
    let next = worker(&mut scheduler, "x", 1_000);
    assert_eq!(only_order_of(&scheduler.place(at(1_300)), 7).worker, next);
    worker(&mut scheduler, "y", 4_000);
    assert_eq!(only_order_of(&scheduler.place(at(1_310)), 8).run_id.run, 2);
}

/// At each crash exactly one other task has just started. Each crash by itself would point to that
/// other task.
#[test]
fn a_task_with_late_crashes_is_given_up_though_others_have_just_started() {
    let mut scheduler = scheduler(1);
    add_job(&mut scheduler, 7, 1, &spec(vec![step(1, 1_000)]), None);
    let _small_workers: Vec<WorkerKey> = (0..3)
        .map(|nth| worker(&mut scheduler, &format!("o{nth}"), 10))
        .collect();
    for nth in 0..5 {
        let vm = format!("m{nth}");
        let crashing = worker(&mut scheduler, &vm, 4_000);
        let now = nth * 20_000;
        let run_id = only_order_of(&scheduler.place(at(now)), 7).run_id;
        let fresh = support::run_id(100 + nth, 0, 0, 1);
        add_job(
            &mut scheduler,
            100 + nth,
            1,
            &spec(vec![step(1, 1_000)]),
            None,
        );
        scheduler.record_crash(
            &vm,
            &[lost_run(run_id, 900), lost_run(fresh, 3)],
            at(now + 1_000),
            unix_ms(now + 1_000),
        );
        scheduler.remove_lost_worker(crashing, at(now + 1_000), unix_ms(now + 1_000));
        scheduler.cancel(wax_batch::JobName(100 + nth), unix_ms(now + 1_000));
    }
    assert_eq!(stored_outcome(&mut scheduler, 7), JobOutcome::Failed);
}

/// Several agents, or one agent on several links, may report the same crash.
#[test]
fn a_crash_that_is_reported_again_counts_once() {
    let mut scheduler = scheduler(1);
    let first = worker(&mut scheduler, "w", 4_000);
    add_job(&mut scheduler, 7, 1, &spec(vec![step(1, 1_000)]), None);
    let run_id = only_order_of(&scheduler.place(at(0)), 7).run_id;
    for _ in 0..6 {
        scheduler.record_crash("w", &[lost_run(run_id, 3)], at(10), unix_ms(10));
    }
    scheduler.remove_lost_worker(first, at(10), unix_ms(10));
    assert_eq!(stored_outcome(&mut scheduler, 7), JobOutcome::Open);
}

/// If crashes were not stored, a task could crash further workers after each takeover.
#[test]
fn the_next_owner_knows_which_task_crashed_a_worker() {
    let mut old = scheduler(1);
    let first = worker(&mut old, "w", 4_000);
    let crashing = spec(vec![step(1, 1_000)]);
    add_job(&mut old, 7, 1, &crashing, None);
    let run_id = only_order_of(&old.place(at(0)), 7).run_id;
    crash_worker(&mut old, (first, "w"), &[lost_run(run_id, 3)], 10);
    let stored = store_all(&mut old);
    let (_, progress) = stored.last().expect("the crash is stored");

    let mut new = scheduler(2);
    add_job(&mut new, 7, 1, &crashing, Some(progress));
    let second = worker(&mut new, "w", 4_000);
    let run_id = only_order_of(&new.place(at(2_000)), 7).run_id;
    assert!(run_id.run > 1, "run numbers increase across terms");
    let verdicts = crash_worker(&mut new, (second, "w"), &[lost_run(run_id, 3)], 2_010);
    assert_eq!(verdicts, [CrashVerdict::GivenUp]);
}

#[test]
fn a_crash_that_was_not_stored_is_reported_to_the_next_owner() {
    let mut new = scheduler(2);
    add_job(&mut new, 7, 1, &spec(vec![step(1, 1_000)]), None);
    let findings = new.record_crash("w", &[lost_run(run_id(7, 0, 0, 1), 3)], at(0), unix_ms(0));
    assert_eq!(findings.len(), 1);
    assert_eq!(findings[0].verdict, CrashVerdict::Suspected);
}

#[test]
fn a_suspected_task_is_isolated_and_others_start_elsewhere() {
    let mut scheduler = scheduler(1);
    let first = worker(&mut scheduler, "w", 4_000);
    add_job(&mut scheduler, 7, 1, &spec(vec![step(1, 1_000)]), None);
    let run_id = only_order_of(&scheduler.place(at(0)), 7).run_id;
    crash_worker(&mut scheduler, (first, "w"), &[lost_run(run_id, 3)], 10);

    let only = worker(&mut scheduler, "x", 4_000);
    add_job(&mut scheduler, 8, 1, &spec(vec![step(1, 1_000)]), None);
    let orders = scheduler.place(at(1_000));
    // Whichever task is placed first, the other one must not start next to it.
    assert_eq!(orders.len(), 1);
    let mut started = vec![orders[0].run_id.task.job.0];
    let other = worker(&mut scheduler, "y", 4_000);
    for millis in (1_010..2_000).step_by(50) {
        for order in scheduler.place(at(millis)) {
            started.push(order.run_id.task.job.0);
        }
    }
    started.sort_unstable();
    assert_eq!(started, [7, 8]);
    let on = |key| scheduler.jobs_on(key).len();
    assert_eq!((on(only), on(other)), (1, 1));
}

#[test]
fn a_worker_accepts_starts_again_after_the_isolation_of_a_suspected_task() {
    let mut scheduler = scheduler(1);
    let first = worker(&mut scheduler, "w", 4_000);
    add_job(&mut scheduler, 7, 1, &spec(vec![step(1, 1_000)]), None);
    let run_id = only_order_of(&scheduler.place(at(0)), 7).run_id;
    crash_worker(&mut scheduler, (first, "w"), &[lost_run(run_id, 3)], 10);
    worker(&mut scheduler, "x", 4_000);
    assert_eq!(scheduler.place(at(1_000)).len(), 1);
    add_job(&mut scheduler, 8, 1, &spec(vec![step(1, 1_000)]), None);
    assert!(
        scheduler.place(at(1_400)).is_empty(),
        "the worker is isolated for the suspected task"
    );
    assert_eq!(scheduler.place(at(1_600)).len(), 1);
}

/// A silent worker may have been crashed by the isolated run, which shows only after its restart.
/// Until then the worker must count as isolated.
#[test]
fn a_worker_that_becomes_silent_stays_isolated() {
    let mut scheduler = scheduler(1);
    let first = worker(&mut scheduler, "w", 4_000);
    add_job(&mut scheduler, 7, 1, &spec(vec![step(1, 1_000)]), None);
    let run_id = only_order_of(&scheduler.place(at(0)), 7).run_id;
    crash_worker(&mut scheduler, (first, "w"), &[lost_run(run_id, 3)], 10);
    // With two workers at most one may be isolated.
    let isolated = worker(&mut scheduler, "x", 4_000);
    worker(&mut scheduler, "y", 4_000);
    add_job(&mut scheduler, 8, 1, &spec(vec![step(1, 1_000)]), None);
    scheduler.record_crash(
        "w",
        &[lost_run(support::run_id(8, 0, 0, 1), 3)],
        at(20),
        unix_ms(20),
    );
    let orders = scheduler.place(at(1_000));
    assert_eq!(orders.len(), 1);
    let worker = orders[0].worker;
    let silent = WorkerView {
        boot: "x".into(),
        service: "svc".into(),
        capacity: size(4_000),
        state: WorkerState::Silent,
        ..Default::default()
    };
    scheduler.update_worker(worker, silent);
    assert!(
        scheduler.place(at(3_000)).is_empty(),
        "at most one worker is isolated"
    );
    let run_id = orders[0].run_id;
    let vm = if worker == isolated { "x" } else { "y" };
    crash_worker(&mut scheduler, (worker, vm), &[lost_run(run_id, 3)], 4_000);
    let orders = scheduler.place(at(4_010));
    assert_eq!(orders.len(), 1);
    assert_ne!(orders[0].run_id.task.job, run_id.task.job);
}

#[test]
fn a_task_that_ran_for_long_enough_is_cleared() {
    let mut scheduler = scheduler(1);
    add_job(&mut scheduler, 7, 1, &spec(vec![step(1, 1_000)]), None);
    let mut verdicts = Vec::new();
    for (number, ran_ms) in [(0, 3), (1, 20_000), (2, 3)] {
        let worker = worker(&mut scheduler, "w", 4_000);
        let start = number * 100_000;
        let run_id = only_order_of(&scheduler.place(at(start)), 7).run_id;
        verdicts.extend(crash_worker(
            &mut scheduler,
            (worker, "w"),
            &[lost_run(run_id, ran_ms)],
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

/// VMs whose workers crash and restart repeatedly hit the same task again and again.
#[test]
fn late_crashes_on_the_same_few_vms_prove_nothing() {
    let mut scheduler = scheduler(1);
    add_job(&mut scheduler, 7, 1, &spec(vec![step(1, 1_000)]), None);
    let _small_workers: Vec<WorkerKey> = (0..3)
        .map(|nth| worker(&mut scheduler, &format!("o{nth}"), 10))
        .collect();
    for nth in 0..6 {
        let vm = ["x", "y"][nth as usize % 2];
        let verdict = crash_on_vm(&mut scheduler, vm, 900, nth * 5_000);
        assert_eq!(verdict, CrashVerdict::Suspected, "crash {nth}");
    }
}

#[test]
fn crashes_before_a_long_enough_run_do_not_count() {
    let mut scheduler = scheduler(1);
    add_job(&mut scheduler, 7, 1, &spec(vec![step(1, 1_000)]), None);
    let _small_workers: Vec<WorkerKey> = (0..3)
        .map(|nth| worker(&mut scheduler, &format!("o{nth}"), 10))
        .collect();
    let run_times = [
        ("u", 900),
        ("v", 900),
        ("x", 900),
        ("y", 12_000),
        ("z", 900),
    ];
    for (nth, (vm, ran_ms)) in (0..).zip(run_times) {
        let verdict = crash_on_vm(&mut scheduler, vm, ran_ms, nth * 20_000);
        assert_ne!(verdict, CrashVerdict::GivenUp, "{vm}");
    }
}

/// A crash after two recent starts would not show which of them caused it.
#[test]
fn a_suspected_task_waits_on_a_reserved_worker_until_no_other_start_is_recent() {
    let mut scheduler = scheduler(1);
    let first = worker(&mut scheduler, "x", 1_000);
    add_job(&mut scheduler, 7, 1, &spec(vec![step(1, 1_000)]), None);
    let run_id = only_order_of(&scheduler.place(at(0)), 7).run_id;
    worker(&mut scheduler, "y", 4_000);
    add_job(&mut scheduler, 8, 1, &spec(vec![step(1, 1_000)]), None);
    assert_eq!(scheduler.place(at(1_000)).len(), 1);
    crash_worker(&mut scheduler, (first, "x"), &[lost_run(run_id, 3)], 1_010);
    assert!(
        scheduler.place(at(1_020)).is_empty(),
        "another start on the worker is recent"
    );
    add_job(&mut scheduler, 9, 1, &spec(vec![step(1, 1_000)]), None);
    assert!(
        scheduler.place(at(1_100)).is_empty(),
        "the worker is reserved for the suspected task"
    );
    assert_eq!(only_order_of(&scheduler.place(at(1_260)), 7).run_id.run, 2);
}

#[test]
fn a_task_waits_rather_than_return_at_once_to_a_vm_that_it_may_have_crashed() {
    let mut scheduler = scheduler(1);
    add_job(&mut scheduler, 7, 1, &spec(vec![step(1, 1_000)]), None);
    crash_on_vm(&mut scheduler, "x", 900, 0);
    worker(&mut scheduler, "x", 4_000);
    worker(&mut scheduler, "full", 10);
    assert!(scheduler.place(at(1_000)).is_empty());
    assert_eq!(
        scheduler.place(at(3_100)).len(),
        1,
        "no other worker has capacity"
    );
}

#[test]
fn a_task_with_a_crash_prefers_vms_without_recent_crashes() {
    let mut scheduler = scheduler(1);
    add_job(&mut scheduler, 7, 1, &spec(vec![step(1, 1_000)]), None);
    crash_on_vm(&mut scheduler, "x", 900, 0);
    // Another VM has had a crash since then, under other tasks.
    let other = worker(&mut scheduler, "y", 4_000);
    scheduler.record_crash("y", &[], at(3_000), unix_ms(3_000));
    scheduler.remove_lost_worker(other, at(3_000), unix_ms(3_000));
    worker(&mut scheduler, "x", 4_000);
    worker(&mut scheduler, "y", 4_000);
    let steady = worker(&mut scheduler, "z", 1_200);
    let orders = scheduler.place(at(4_000));
    assert_eq!(
        only_order_of(&orders, 7).worker,
        steady,
        "preferred though more of it is reserved"
    );
}

#[test]
fn a_long_running_task_that_crashes_its_workers_is_given_up() {
    let mut scheduler = scheduler(1);
    let mut long_running_step = step(1, 1_000);
    long_running_step.long_running = true;
    add_job(&mut scheduler, 7, 1, &spec(vec![long_running_step]), None);
    assert_eq!(
        crash_on_vm(&mut scheduler, "x", 3, 0),
        CrashVerdict::Suspected
    );
    assert_eq!(
        crash_on_vm(&mut scheduler, "y", 3, 1_000),
        CrashVerdict::GivenUp
    );
    assert_eq!(stored_outcome(&mut scheduler, 7), JobOutcome::Failed);
}

/// If each member waited for an isolated worker, the gang might never start.
#[test]
fn members_of_a_gang_are_never_isolated() {
    let mut scheduler = scheduler(1);
    let first = worker(&mut scheduler, "w", 8_000);
    let mut gang = step(6, 1_000);
    gang.gang = true;
    add_job(&mut scheduler, 7, 1, &spec(vec![gang]), None);
    let orders = scheduler.place(at(0));
    let runs: Vec<LostRun> = orders
        .iter()
        .map(|order| lost_run(order.run_id, 3))
        .collect();
    assert_eq!(runs.len(), 6);
    crash_worker(&mut scheduler, (first, "w"), &runs, 10);
    worker(&mut scheduler, "x", 8_000);
    assert_eq!(
        scheduler.place(at(1_000)).len(),
        6,
        "all members start together"
    );
}

/// A new link repeats the report of a crash after a newer one. The evidence from the newer crash
/// must stand.
#[test]
fn a_repeated_report_of_an_older_crash_does_not_undo_a_newer_one() {
    let mut scheduler = scheduler(1);
    add_job(&mut scheduler, 7, 1, &spec(vec![step(1, 1_000)]), None);
    let older = worker(&mut scheduler, "x", 4_000);
    let late = lost_run(only_order_of(&scheduler.place(at(0)), 7).run_id, 900);
    crash_worker(&mut scheduler, (older, "x"), &[late], 1_000);
    assert_eq!(
        crash_on_vm(&mut scheduler, "y", 3, 2_000),
        CrashVerdict::Suspected
    );
    scheduler.record_crash("x", &[late], at(3_000), unix_ms(3_000));
    assert_eq!(
        crash_on_vm(&mut scheduler, "z", 3, 4_000),
        CrashVerdict::GivenUp
    );
}
