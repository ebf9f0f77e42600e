//! Slow workers: no short task starts there while another worker fits, long-running tasks leave
//! within the limit of their step, and no other worker is taken for slow.

mod support;

use support::*;
use wax_batch::{
    EndPage, JobScheduler, RunEndKind, RunId, RunReport, StartOrder, StartRefusal, StepSpec,
    StopReason, WorkerKey, WorkerState,
};
use wax_policy::{OrderRules, PerformanceRules, SpeedVerdict};

fn rules() -> PerformanceRules {
    PerformanceRules {
        enabled: 1,
        ..Default::default()
    }
}

fn enabled_scheduler(epoch: u64) -> JobScheduler {
    let mut scheduler = scheduler(epoch);
    scheduler.set_performance_rules(rules());
    scheduler
}

fn serving_step(count: u32, max_unavailable: Option<u32>) -> StepSpec {
    StepSpec {
        long_running: true,
        tail_target_ms: 100,
        image: "serve".into(),
        max_unavailable,
        max_per_worker: 1,
        ..step(count, 1_000)
    }
}

fn report(run_id: RunId, percent: u32, load_metric: u32) -> RunReport {
    RunReport {
        percent,
        load_metric,
        ..running(run_id)
    }
}

/// Records the contact of all agents.
fn contact_all(scheduler: &mut JobScheduler, millis: u64) {
    let workers: Vec<WorkerKey> = scheduler.workers().map(|(key, _)| key).collect();
    for worker in workers {
        scheduler.record_contact(worker, at(millis));
    }
}

/// Makes the worker slow by short tasks of a job with the given number: starts one task on each
/// worker with `max_per_worker`, ends those on others after 300 ms, and leaves those on `slow`.
fn slow_down(scheduler: &mut JobScheduler, slow: &[WorkerKey], job: u64, millis: u64) {
    let workers = scheduler.workers().count() as u32;
    let short = StepSpec {
        max_per_worker: 2,
        ..step(workers * 2, 500)
    };
    add_job(scheduler, job, 1, &spec(vec![short]), None);
    let orders = scheduler.place(at(millis));
    assert_eq!(orders.len(), workers as usize * 2);
    record_all_starts(scheduler, &orders, at(millis));
    for (number, order) in (1..).zip(&orders) {
        if !slow.contains(&order.worker) {
            let end = end(job * 1_000 + number, order.run_id, RunEndKind::Done);
            scheduler.record_end(order.worker, &end, at(millis + 300), unix_ms(millis + 300));
        }
    }
    scheduler.review_performance(at(millis + 1_000));
    contact_all(scheduler, millis + 1_100);
    scheduler.review_performance(at(millis + 1_200));
    scheduler.review_performance(at(millis + 1_400));
}

fn workers(scheduler: &mut JobScheduler, count: usize) -> Vec<WorkerKey> {
    (0..count)
        .map(|nth| worker(scheduler, &format!("w{nth}"), 16_000))
        .collect()
}

/// Places the serving tasks of a job and reports them as working.
fn start_serving(
    scheduler: &mut JobScheduler,
    job: u64,
    step: StepSpec,
    millis: u64,
) -> Vec<StartOrder> {
    add_job(scheduler, job, 1, &spec(vec![step]), None);
    let orders = scheduler.place(at(millis));
    record_all_starts(scheduler, &orders, at(millis));
    for order in &orders {
        scheduler.record_progress(order.worker, &report(order.run_id, 100, 40), at(millis));
    }
    orders
}

#[test]
fn a_run_at_three_times_the_median_is_evidence_before_it_ends() {
    let mut scheduler = enabled_scheduler(1);
    let keys = workers(&mut scheduler, 5);
    slow_down(&mut scheduler, &keys[..1], 7, 0);
    assert_eq!(scheduler.speed_verdict(keys[0]), SpeedVerdict::Slow);
    for key in &keys[1..] {
        assert_eq!(scheduler.speed_verdict(*key), SpeedVerdict::Normal);
    }
    let changes = scheduler.take_speed_changes();
    assert_eq!(changes.len(), 1);
    assert!(changes[0].speed < 0.4, "{changes:?}");
}

#[test]
fn without_a_message_of_the_agent_an_overdue_run_is_no_evidence() {
    // The link or the agent may be slow: the end may have been reported and not arrived.
    let mut scheduler = enabled_scheduler(1);
    let keys = workers(&mut scheduler, 5);
    let short = StepSpec {
        max_per_worker: 2,
        ..step(10, 500)
    };
    add_job(&mut scheduler, 7, 1, &spec(vec![short]), None);
    let orders = scheduler.place(at(0));
    record_all_starts(&mut scheduler, &orders, at(0));
    for order in orders.iter().filter(|order| order.worker != keys[0]) {
        let end = end(
            order.run_id.task.index.into(),
            order.run_id,
            RunEndKind::Done,
        );
        scheduler.record_end(order.worker, &end, at(300), unix_ms(300));
    }
    for millis in [1_000, 1_200, 1_400, 3_000] {
        scheduler.review_performance(at(millis));
    }
    assert_eq!(scheduler.speed_verdict(keys[0]), SpeedVerdict::Normal);
}

#[test]
fn runs_from_before_a_stall_of_the_owner_are_no_evidence() {
    let mut scheduler = enabled_scheduler(1);
    let keys = workers(&mut scheduler, 5);
    scheduler.ignore_performance_until(at(2_000));
    slow_down(&mut scheduler, &keys[..1], 7, 0);
    assert_eq!(scheduler.speed_verdict(keys[0]), SpeedVerdict::Normal);
}

#[test]
fn a_worker_that_has_just_started_is_not_taken_for_slow() {
    let mut scheduler = enabled_scheduler(1);
    let keys = workers(&mut scheduler, 5);
    let (_, record) = scheduler.workers().next().expect("five workers");
    let cold = wax_batch::WorkerView {
        cold_ms: 5_000,
        ..record.view.clone()
    };
    scheduler.update_worker(keys[0], cold);
    slow_down(&mut scheduler, &keys[..1], 7, 0);
    assert_eq!(scheduler.speed_verdict(keys[0]), SpeedVerdict::Normal);
}

#[test]
fn no_short_task_starts_on_a_slow_worker_while_another_fits() {
    let mut scheduler = enabled_scheduler(1);
    let keys = workers(&mut scheduler, 5);
    slow_down(&mut scheduler, &keys[..1], 7, 0);
    add_job(&mut scheduler, 8, 1, &spec(vec![step(64, 1_000)]), None);
    let orders = scheduler.place(at(1_500));
    assert_eq!(orders.len(), 64, "the four normal workers have 64 cores");
    assert!(orders.iter().all(|order| order.worker != keys[0]));
    add_job(&mut scheduler, 9, 1, &spec(vec![step(2, 1_000)]), None);
    let orders = scheduler.place(at(1_600));
    assert_eq!(orders.len(), 2, "slowness does not exclude a worker");
    assert!(orders.iter().all(|order| order.worker == keys[0]));
}

#[test]
fn with_the_part_off_nothing_counts_as_slow() {
    let mut scheduler = scheduler(1);
    let keys = workers(&mut scheduler, 5);
    slow_down(&mut scheduler, &keys[..1], 7, 0);
    assert_eq!(scheduler.speed_verdict(keys[0]), SpeedVerdict::Normal);
    assert_eq!(scheduler.move_off_slow(at(1_500)), 0);
    assert!(scheduler.take_speed_changes().is_empty());
}

#[test]
fn switching_the_part_off_ends_all_verdicts() {
    let mut scheduler = enabled_scheduler(1);
    let keys = workers(&mut scheduler, 5);
    slow_down(&mut scheduler, &keys[..1], 7, 0);
    scheduler.set_performance_rules(PerformanceRules::default());
    scheduler.review_performance(at(1_600));
    assert_eq!(scheduler.speed_verdict(keys[0]), SpeedVerdict::Normal);
}

#[test]
fn at_most_two_of_five_workers_count_as_slow() {
    let mut scheduler = enabled_scheduler(1);
    let keys = workers(&mut scheduler, 5);
    slow_down(&mut scheduler, &keys[..3], 7, 0);
    assert!(scheduler.slow_workers().count() <= 2);
}

/// Guards against slow workers that count as normal because drained ones, which get no tasks in any
/// case, take up the permitted share.
#[test]
fn only_ready_workers_take_up_the_share_that_may_count_as_slow() {
    let mut scheduler = enabled_scheduler(1);
    let keys = workers(&mut scheduler, 7);
    slow_down(&mut scheduler, &keys[..3], 7, 0);
    let (slow, others): (Vec<WorkerKey>, Vec<WorkerKey>) = keys[..3]
        .iter()
        .copied()
        .partition(|key| scheduler.speed_verdict(*key) == SpeedVerdict::Slow);
    assert_eq!((slow.len(), others.len()), (2, 1));
    for key in slow {
        let view = scheduler.workers().find(|(other, _)| *other == key);
        let mut view = view.expect("the worker is known").1.view.clone();
        view.state = WorkerState::Draining;
        scheduler.update_worker(key, view);
    }
    scheduler.review_performance(at(1_500));
    assert_eq!(scheduler.speed_verdict(others[0]), SpeedVerdict::Slow);
    assert_eq!(scheduler.slow_workers().count(), 3);
}

/// Guards against a task that is taken down on a slow worker only to wait for another worker that
/// leaves starts unanswered.
#[test]
fn a_task_is_not_moved_to_a_worker_that_leaves_starts_unanswered() {
    let mut scheduler = enabled_scheduler(1);
    let orders = OrderRules {
        enabled: 1,
        ..Default::default()
    };
    scheduler.set_order_rules(orders);
    let keys = workers(&mut scheduler, 5);
    let labelled = |step: StepSpec| StepSpec {
        label: Some("x".into()),
        ..step
    };
    let add_label = |scheduler: &mut JobScheduler, key: WorkerKey| {
        let record = scheduler.workers().find(|(other, _)| *other == key);
        let mut view = record.expect("the worker is known").1.view.clone();
        view.labels = ["x".into()].into();
        scheduler.update_worker(key, view);
    };
    add_label(&mut scheduler, keys[0]);
    start_serving(&mut scheduler, 6, labelled(serving_step(1, None)), 0);
    slow_down(&mut scheduler, &keys[..1], 7, 0);
    add_label(&mut scheduler, keys[1]);
    add_job(
        &mut scheduler,
        8,
        1,
        &spec(vec![labelled(step(1, 1_000))]),
        None,
    );
    let order = scheduler.place(at(1_410)).remove(0);
    assert_eq!(order.worker, keys[1]);
    let refusal = StartRefusal::Unanswered;
    scheduler.record_refusal(keys[1], order.run_id, refusal, at(1_450), unix_ms(1_450));
    assert_eq!(scheduler.move_off_slow(at(1_800)), 0);
    scheduler.record_start(keys[1], order.run_id, at(1_810));
    assert_eq!(
        scheduler.move_off_slow(at(2_400)),
        1,
        "the worker answers again"
    );
}

#[test]
fn the_estimate_of_a_boot_ends_with_the_boot() {
    let mut scheduler = enabled_scheduler(1);
    let keys = workers(&mut scheduler, 5);
    slow_down(&mut scheduler, &keys[..1], 7, 0);
    assert_eq!(scheduler.speed_verdict(keys[0]), SpeedVerdict::Slow);
    scheduler.remove_lost_worker(keys[0], at(1_500), unix_ms(1_500));
    let next_boot = worker(&mut scheduler, "w0", 16_000);
    scheduler.review_performance(at(1_600));
    assert_eq!(scheduler.speed_verdict(next_boot), SpeedVerdict::Normal);
    assert_eq!(scheduler.slow_workers().count(), 0);
}

#[test]
fn a_new_owner_starts_without_an_estimate_and_ignores_the_times_of_adopted_runs() {
    let mut scheduler = enabled_scheduler(2);
    let keys = workers(&mut scheduler, 5);
    add_job(&mut scheduler, 7, 1, &spec(vec![step(10, 500)]), None);
    for (nth, worker) in (0..).zip(&keys) {
        let listed = [nth, nth + 5].map(|index| report(run_id(7, 0, index, 1), 10, 0));
        scheduler.reconcile_worker(*worker, &listed, &EndPage::all(&[]), at(0), unix_ms(0));
    }
    // The runs on the first worker end much later, because they were started later.
    let (on_first, on_others): (Vec<u32>, Vec<u32>) = (0..10).partition(|index| index % 5 == 0);
    for (millis, indexes) in [(100, on_others), (2_000, on_first)] {
        for index in indexes {
            let run_id = run_id(7, 0, index, 1);
            let end = end(u64::from(index) + 1, run_id, RunEndKind::Done);
            scheduler.record_end(keys[index as usize % 5], &end, at(millis), unix_ms(millis));
        }
    }
    scheduler.review_performance(at(2_100));
    assert_eq!(scheduler.slow_workers().count(), 0);
    assert!(scheduler.take_speed_changes().is_empty());
}

/// Tests how many of the serving tasks on two slow workers are stopped at a time, with the given
/// limit of unavailable tasks per step.
macro_rules! limit_tests {
    ($($name:ident: $limit:expr => $stops:literal,)*) => {
        $(
            #[test]
            fn $name() {
                let mut scheduler = enabled_scheduler(1);
                let keys = workers(&mut scheduler, 8);
                start_serving(&mut scheduler, 6, serving_step(6, $limit), 0);
                let serving: Vec<WorkerKey> = scheduler
                    .workers()
                    .filter(|(_, record)| !record.runs.is_empty())
                    .map(|(key, _)| key)
                    .collect();
                assert_eq!((keys.len(), serving.len()), (8, 6));
                slow_down(&mut scheduler, &serving[..2], 7, 0);
                assert_eq!(scheduler.slow_workers().count(), 2);
                assert_eq!(scheduler.move_off_slow(at(1_500)), $stops);
                let stops = scheduler.take_stops();
                assert_eq!(stops.len(), $stops);
                assert!(stops.iter().all(|stop| stop.reason == StopReason::SlowWorker));
                assert_eq!(scheduler.move_off_slow(at(1_600)), 0, "no stop is repeated");
            }
        )*
    };
}

limit_tests! {
    none_may_be_unavailable: Some(0) => 0,
    one_may_be_unavailable: Some(1) => 1,
    two_may_be_unavailable: Some(2) => 2,
    any_number_may_be_unavailable: None => 2,
}

/// State of a third serving task, on a normal worker, while one of the step may be unavailable.
#[derive(Debug, Clone, Copy, PartialEq)]
enum OtherTask {
    Working,
    /// Its run has ended.
    Lost,
    /// Its next run has started but is not working yet.
    Starting,
    /// It was working and reports less than 100 percent.
    Fallen,
}

/// Tests whether a task is moved while another task of the step is in the given state.
macro_rules! availability_tests {
    ($($name:ident: $state:ident => $moves:literal,)*) => {
        $(
            #[test]
            fn $name() {
                let mut scheduler = enabled_scheduler(1);
                workers(&mut scheduler, 8);
                let orders = start_serving(&mut scheduler, 6, serving_step(4, Some(1)), 0);
                slow_down(&mut scheduler, &[orders[0].worker], 7, 0);
                let other = &orders[1];
                match OtherTask::$state {
                    OtherTask::Working => {}
                    OtherTask::Fallen => {
                        scheduler.record_progress(other.worker, &report(other.run_id, 60, 40), at(1_400));
                    }
                    state => {
                        let end = end(99_999, other.run_id, RunEndKind::Failed);
                        scheduler.record_end(other.worker, &end, at(1_400), unix_ms(1_400));
                        if state == OtherTask::Starting {
                            let orders = scheduler.place(at(1_410));
                            assert_eq!(orders.len(), 1);
                            record_all_starts(&mut scheduler, &orders, at(1_420));
                            let started = report(orders[0].run_id, 90, 0);
                            scheduler.record_progress(orders[0].worker, &started, at(1_450));
                        }
                    }
                }
                assert_eq!(scheduler.move_off_slow(at(1_500)), $moves);
            }
        )*
    };
}

availability_tests! {
    a_task_moves_while_all_others_work: Working => 1,
    no_task_moves_while_another_is_lost: Lost => 0,
    no_task_moves_while_another_is_not_working_yet: Starting => 0,
    no_task_moves_while_another_has_fallen_below_100_percent: Fallen => 0,
}

#[test]
fn a_task_moves_to_a_normal_worker_and_is_not_moved_again_at_once() {
    let mut scheduler = enabled_scheduler(1);
    workers(&mut scheduler, 8);
    let orders = start_serving(&mut scheduler, 6, serving_step(4, Some(1)), 0);
    let slow = orders[0].worker;
    slow_down(&mut scheduler, &[slow], 7, 0);
    assert_eq!(scheduler.move_off_slow(at(1_500)), 1);
    let stop = scheduler.take_stops()[0];
    let stopped = end(99_999, stop.run_id, RunEndKind::Stopped);
    scheduler.record_end(stop.worker, &stopped, at(1_600), unix_ms(1_600));
    let moved = scheduler.place(at(1_610));
    assert_eq!(moved.len(), 1);
    assert_ne!(moved[0].worker, slow);
    record_all_starts(&mut scheduler, &moved, at(1_620));
    scheduler.record_progress(
        moved[0].worker,
        &report(moved[0].run_id, 100, 40),
        at(1_700),
    );
    // Its new worker turns slow at once.
    let next_slow = moved[0].worker;
    slow_down(&mut scheduler, &[next_slow, slow], 8, 1_800);
    assert_eq!(scheduler.speed_verdict(next_slow), SpeedVerdict::Slow);
    assert_eq!(scheduler.move_off_slow(at(3_300)), 0, "moved 1.8 s ago");
    assert_eq!(scheduler.move_off_slow(at(6_600)), 1);
}

#[test]
fn a_task_stays_on_a_slow_worker_if_no_normal_worker_has_capacity() {
    let mut scheduler = enabled_scheduler(1);
    let keys = workers(&mut scheduler, 5);
    let orders = start_serving(&mut scheduler, 6, serving_step(1, None), 0);
    slow_down(&mut scheduler, &[orders[0].worker], 7, 0);
    add_job(&mut scheduler, 8, 1, &spec(vec![step(64, 1_000)]), None);
    assert_eq!(scheduler.place(at(1_450)).len(), 64);
    assert_eq!(keys.len(), 5);
    assert_eq!(scheduler.move_off_slow(at(1_500)), 0);
}

#[test]
fn moves_in_progress_are_limited_over_all_steps() {
    let mut scheduler = enabled_scheduler(1);
    workers(&mut scheduler, 8);
    let mut slow = Vec::new();
    for job in 20..26 {
        let orders = start_serving(&mut scheduler, job, serving_step(1, None), 0);
        slow.push(orders[0].worker);
    }
    slow.sort_unstable();
    slow.dedup();
    slow.truncate(2);
    let on_slow: usize = scheduler
        .workers()
        .filter(|(key, _)| slow.contains(key))
        .map(|(_, record)| record.runs.len())
        .sum();
    slow_down(&mut scheduler, &slow, 7, 0);
    let mut limited = rules();
    limited.max_moves = 1;
    scheduler.set_performance_rules(limited);
    assert!(on_slow >= 1);
    assert_eq!(scheduler.move_off_slow(at(1_500)), 1);
    assert_eq!(scheduler.move_off_slow(at(1_600)), 0);
}

#[test]
fn a_checkpointed_run_leaves_a_slow_worker_unless_it_is_nearly_done() {
    for (percent, moves) in [(20, 1), (85, 0)] {
        let mut scheduler = enabled_scheduler(1);
        workers(&mut scheduler, 5);
        let resumable = StepSpec {
            checkpoints: true,
            estimate_ms: 20_000,
            ..step(1, 1_000)
        };
        add_job(&mut scheduler, 6, 1, &spec(vec![resumable]), None);
        let orders = scheduler.place(at(0));
        record_all_starts(&mut scheduler, &orders, at(0));
        let listed = RunReport {
            checkpoint: "c".into(),
            ..report(orders[0].run_id, percent, 0)
        };
        scheduler.record_progress(orders[0].worker, &listed, at(10));
        slow_down(&mut scheduler, &[orders[0].worker], 7, 20);
        assert_eq!(scheduler.move_off_slow(at(1_600)), moves, "{percent}%");
    }
}

/// How the move of a task continues after its owner was lost.
#[derive(Debug, Clone, Copy)]
enum StopOutcome {
    /// The worker stopped the run, and its agent lists the end.
    Acknowledged,
    /// The stop was lost, and the agent lists the run.
    Lost,
}

#[test]
fn a_move_that_a_takeover_interrupts_leaves_one_run_of_the_task() {
    for outcome in [StopOutcome::Acknowledged, StopOutcome::Lost] {
        let mut first = enabled_scheduler(1);
        workers(&mut first, 8);
        let orders = start_serving(&mut first, 6, serving_step(4, Some(1)), 0);
        slow_down(&mut first, &[orders[0].worker], 7, 0);
        assert_eq!(first.move_off_slow(at(1_500)), 1);
        let names: Vec<(usize, RunId)> = orders
            .iter()
            .map(|order| {
                let position = first.workers().position(|(key, _)| key == order.worker);
                (position.expect("the worker is known"), order.run_id)
            })
            .collect();

        let mut next = enabled_scheduler(2);
        let keys = workers(&mut next, 8);
        add_job(&mut next, 6, 1, &spec(vec![serving_step(4, Some(1))]), None);
        for (nth, key) in keys.iter().enumerate() {
            let here = names.iter().filter(|(position, _)| *position == nth);
            let (mut runs, mut ends) = (Vec::new(), Vec::new());
            for (_, run_id) in here {
                let is_stopped = *run_id == orders[0].run_id;
                match (is_stopped, outcome) {
                    (true, StopOutcome::Acknowledged) => {
                        ends.push(end(1, *run_id, RunEndKind::Stopped));
                    }
                    _ => runs.push(report(*run_id, 100, 40)),
                }
            }
            next.reconcile_worker(*key, &runs, &EndPage::all(&ends), at(2_000), unix_ms(2_000));
        }
        let started = next.place(at(2_010));
        match outcome {
            StopOutcome::Acknowledged => {
                assert_eq!(started.len(), 1);
                assert_eq!(started[0].run_id.task, orders[0].run_id.task);
                assert!(started[0].run_id.run > orders[0].run_id.run);
            }
            StopOutcome::Lost => assert!(started.is_empty()),
        }
        let runs: usize = next.workers().map(|(_, record)| record.runs.len()).sum();
        assert_eq!(runs, 4, "{outcome:?}: one run of each task");
        assert!(next.take_stops().is_empty());
        assert_eq!(next.slow_workers().count(), 0);
    }
}

/// Reports tail latencies of the step's tasks four times, 400 ms apart: `over` ms of the first task,
/// `others` ms of all others.
fn report_tails(scheduler: &mut JobScheduler, orders: &[StartOrder], over: u32, others: u32) {
    for millis in [400, 800, 1_200, 1_600] {
        for (nth, order) in orders.iter().enumerate() {
            let tail = if nth == 0 { over } else { others };
            let report = report(order.run_id, 100, tail);
            scheduler.record_progress(order.worker, &report, at(millis));
        }
        scheduler.review_performance(at(millis + 100));
    }
}

#[test]
fn a_serving_task_over_its_target_without_best_effort_tasks_shows_a_slow_worker() {
    let mut scheduler = enabled_scheduler(1);
    workers(&mut scheduler, 5);
    let orders = start_serving(&mut scheduler, 6, serving_step(4, None), 0);
    report_tails(&mut scheduler, &orders, 400, 40);
    assert_eq!(
        scheduler.speed_verdict(orders[0].worker),
        SpeedVerdict::Slow
    );
    assert_eq!(scheduler.slow_workers().count(), 1);
}

#[test]
fn a_tail_latency_over_its_target_everywhere_is_the_load_of_the_image() {
    let mut scheduler = enabled_scheduler(1);
    workers(&mut scheduler, 12);
    let orders = start_serving(&mut scheduler, 6, serving_step(4, None), 0);
    report_tails(&mut scheduler, &orders, 400, 400);
    assert_eq!(scheduler.slow_workers().count(), 0);
}

#[test]
fn a_tail_latency_over_its_target_beside_best_effort_tasks_is_interference() {
    let mut scheduler = enabled_scheduler(1);
    workers(&mut scheduler, 5);
    let orders = start_serving(&mut scheduler, 6, serving_step(4, None), 0);
    let filler = StepSpec {
        best_effort: true,
        image: "fill".into(),
        max_per_worker: 1,
        ..step(5, 500)
    };
    add_job(&mut scheduler, 7, 1, &spec(vec![filler]), None);
    assert_eq!(scheduler.place(at(10)).len(), 5);
    report_tails(&mut scheduler, &orders, 400, 40);
    assert_eq!(scheduler.slow_workers().count(), 0);
}

#[test]
fn in_a_large_pool_a_normal_worker_beyond_the_sample_is_found() {
    let mut scheduler = enabled_scheduler(1);
    let keys = workers(&mut scheduler, 400);
    let slow = [keys[100], keys[101]];
    slow_down(&mut scheduler, &slow, 7, 0);
    assert_eq!(scheduler.slow_workers().count(), 2);
    // All workers but the slow ones and the last are full.
    add_job(&mut scheduler, 8, 1, &spec(vec![step(397, 16_000)]), None);
    let orders = scheduler.place(at(1_500));
    assert_eq!(orders.len(), 397);
    let used: Vec<WorkerKey> = orders.iter().map(|order| order.worker).collect();
    let free = keys
        .iter()
        .find(|key| !used.contains(key) && !slow.contains(key));
    // The scans begin at different workers, so that some samples lack the free one.
    for job in 9..209 {
        add_job(&mut scheduler, job, 1, &spec(vec![step(1, 1_000)]), None);
        let orders = scheduler.place(at(1_600 + job));
        assert_eq!(Some(&orders[0].worker), free, "job {job}");
        let end = end(100_000 + job, orders[0].run_id, RunEndKind::Stopped);
        scheduler.cancel(wax_batch::JobName(job), unix_ms(1_600 + job));
        scheduler.record_end(
            orders[0].worker,
            &end,
            at(1_600 + job),
            unix_ms(1_600 + job),
        );
    }
}

#[test]
fn a_probe_task_that_gives_no_evidence_is_replaced() {
    let mut scheduler = enabled_scheduler(1);
    let keys = workers(&mut scheduler, 5);
    slow_down(&mut scheduler, &keys[..1], 7, 0);
    add_job(&mut scheduler, 8, 1, &spec(vec![step(4, 15_000)]), None);
    assert_eq!(scheduler.place(at(1_500)).len(), 4);
    scheduler.review_performance(at(5_000));
    assert_eq!(scheduler.speed_verdict(keys[0]), SpeedVerdict::Probing);
    add_job(&mut scheduler, 9, 1, &spec(vec![step(3, 500)]), None);
    let orders = scheduler.place(at(5_100));
    let on_probe: Vec<&StartOrder> = orders
        .iter()
        .filter(|order| order.worker == keys[0])
        .collect();
    assert_eq!(
        (orders.len(), on_probe.len()),
        (3, 2),
        "the probe has two tasks"
    );
    scheduler.cancel(wax_batch::JobName(9), unix_ms(5_200));
    add_job(&mut scheduler, 10, 1, &spec(vec![step(1, 500)]), None);
    assert_ne!(scheduler.place(at(5_250))[0].worker, keys[0]);
    let stopped = end(99_999, on_probe[0].run_id, RunEndKind::Stopped);
    scheduler.record_end(keys[0], &stopped, at(5_300), unix_ms(5_300));
    add_job(&mut scheduler, 11, 1, &spec(vec![step(1, 500)]), None);
    assert_eq!(scheduler.place(at(5_400))[0].worker, keys[0]);
}

#[test]
fn the_part_evaluates_no_worker_more_often_while_none_is_slow() {
    let evaluated = |mut scheduler: JobScheduler| {
        workers(&mut scheduler, 800);
        for job in 7..27 {
            add_job(&mut scheduler, job, 1, &spec(vec![step(3, 1_000)]), None);
            scheduler.place(at(job));
            scheduler.review_performance(at(job));
        }
        scheduler.take_workers_evaluated()
    };
    assert_eq!(evaluated(enabled_scheduler(1)), evaluated(scheduler(1)));
}
