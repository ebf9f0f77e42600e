//! Placement of tasks: the capacity of workers is never exceeded, and no job starves.

mod support;

use support::*;
use wax_batch::{JobScheduler, StepSpec, TaskSize, WorkerKey};
use wax_policy::PairInterference;

fn best_effort_step(count: u32, cpu_milli: u32, image: &str) -> StepSpec {
    StepSpec {
        best_effort: true,
        checkpoints: true,
        image: image.into(),
        ..step(count, cpu_milli)
    }
}

fn long_running_step(count: u32, cpu_milli: u32, image: &str) -> StepSpec {
    StepSpec {
        long_running: true,
        tail_target_ms: 100,
        image: image.into(),
        ..step(count, cpu_milli)
    }
}

fn likely_interference(interference: f64) -> PairInterference {
    PairInterference {
        per_core: interference,
        precision: 100.0,
    }
}

fn certain_interference(interference: f64) -> PairInterference {
    PairInterference {
        per_core: interference,
        precision: 100_000.0,
    }
}

/// Reserves most of the service's processors for tasks that are neither best-effort nor serving.
fn reserve_most_capacity(scheduler: &mut JobScheduler) {
    worker(scheduler, "full", 40_000);
    add_job(scheduler, 99, 1, &spec(vec![step(4, 10_000)]), None);
    let orders = scheduler.place(at(0));
    assert_eq!(orders.len(), 4);
    record_all_starts(scheduler, &orders, at(0));
}

fn count_on(scheduler: &JobScheduler, worker: WorkerKey) -> usize {
    scheduler
        .workers()
        .find(|(key, _)| *key == worker)
        .map_or(0, |(_, record)| record.runs.len())
}

#[test]
fn capacity_is_never_exceeded_and_remaining_tasks_wait() {
    let mut scheduler = scheduler(1);
    let one = worker(&mut scheduler, "one", 2_500);
    let other = worker(&mut scheduler, "other", 1_000);
    add_job(&mut scheduler, 7, 1, &spec(vec![step(9, 1_000)]), None);
    let orders = scheduler.place(at(0));
    assert_eq!(orders.len(), 3);
    assert_eq!(
        (count_on(&scheduler, one), count_on(&scheduler, other)),
        (2, 1)
    );
}

#[test]
fn the_tasks_of_a_step_on_one_worker_are_limited() {
    let mut scheduler = scheduler(1);
    worker(&mut scheduler, "one", 8_000);
    worker(&mut scheduler, "other", 8_000);
    let spread_out = StepSpec {
        max_per_worker: 1,
        ..step(5, 1_000)
    };
    add_job(&mut scheduler, 7, 1, &spec(vec![spread_out]), None);
    assert_eq!(scheduler.place(at(0)).len(), 2);
}

#[test]
fn a_label_is_required_and_a_rack_preferred() {
    let mut scheduler = scheduler(1);
    worker(&mut scheduler, "plain", 8_000);
    let view = wax_batch::WorkerView {
        boot: "special".into(),
        service: "svc".into(),
        labels: vec!["gpu".into(), "r1".into()],
        rack: Some("r1".into()),
        capacity: TaskSize {
            memory_mb: 60_000,
            ..size(8_000)
        },
        ..Default::default()
    };
    let labelled_worker = scheduler.add_worker(view, "special");
    let labelled = StepSpec {
        label: Some("gpu".into()),
        ..step(1, 1_000)
    };
    let near = StepSpec {
        data_rack: Some("r1".into()),
        ..step(1, 1_000)
    };
    add_job(&mut scheduler, 7, 1, &spec(vec![labelled, near]), None);
    let orders = scheduler.place(at(0));
    assert_eq!(orders.len(), 2);
    assert!(orders.iter().all(|order| order.worker == labelled_worker));
}

#[test]
fn long_running_tasks_of_one_image_share_workers() {
    let mut scheduler = scheduler(1);
    for id in ["a", "b", "c", "d"] {
        worker(&mut scheduler, id, 8_000);
    }
    add_job(
        &mut scheduler,
        7,
        1,
        &spec(vec![long_running_step(4, 2_000, "red")]),
        None,
    );
    add_job(
        &mut scheduler,
        8,
        1,
        &spec(vec![long_running_step(4, 2_000, "blue")]),
        None,
    );
    assert_eq!(scheduler.place(at(0)).len(), 8);
    let empty = scheduler
        .workers()
        .filter(|(_, record)| record.runs.is_empty())
        .count();
    assert_eq!(empty, 2, "two workers stay free for tasks that interfere");
    let mixed = scheduler
        .workers()
        .filter(|(_, record)| record.interference.serving().len() > 1);
    assert_eq!(mixed.count(), 0);
}

#[test]
fn an_interfering_task_waits_for_a_worker_with_headroom_but_not_forever() {
    let mut scheduler = scheduler(1);
    reserve_most_capacity(&mut scheduler);
    let busy = worker(&mut scheduler, "busy", 8_000);
    add_job(
        &mut scheduler,
        7,
        1,
        &spec(vec![long_running_step(1, 2_000, "red")]),
        None,
    );
    let orders = scheduler.place(at(0));
    record_all_starts(&mut scheduler, &orders, at(0));
    scheduler.merge_interference("red", "heavy", likely_interference(0.5));
    scheduler.set_headroom(busy, "red", 0.1);
    add_job(
        &mut scheduler,
        8,
        1,
        &spec(vec![best_effort_step(1, 2_000, "heavy")]),
        None,
    );
    assert!(scheduler.place(at(100)).is_empty());
    scheduler.merge_interference("red", "light", likely_interference(0.01));
    add_job(
        &mut scheduler,
        9,
        1,
        &spec(vec![best_effort_step(1, 2_000, "light")]),
        None,
    );
    assert_eq!(
        scheduler.place(at(200)).len(),
        1,
        "a task without interference is placed"
    );
    assert!(scheduler.place(at(9_900)).is_empty());
    assert_eq!(
        scheduler.place(at(10_100)).len(),
        1,
        "one task of an old job accepts any worker"
    );
}

/// The agent reports a headroom that does not account yet for tasks placed a moment ago.
#[test]
fn recent_placements_still_count_after_a_headroom_update() {
    let mut scheduler = scheduler(1);
    let busy = worker(&mut scheduler, "busy", 16_000);
    add_job(
        &mut scheduler,
        7,
        1,
        &spec(vec![long_running_step(1, 2_000, "red")]),
        None,
    );
    let orders = scheduler.place(at(0));
    record_all_starts(&mut scheduler, &orders, at(0));
    scheduler.merge_interference("red", "heavy", certain_interference(0.1));
    let mut placed = 0;
    for (number, name) in [8, 9, 10, 11].into_iter().enumerate() {
        scheduler.set_headroom(busy, "red", 0.5);
        add_job(
            &mut scheduler,
            name,
            1,
            &spec(vec![best_effort_step(1, 2_000, "heavy")]),
            None,
        );
        placed += scheduler.place(at(100 * number as u64)).len();
    }
    assert_eq!(placed, 2, "each task interferes by 0.2");
}

#[test]
fn an_old_job_without_placed_tasks_gets_one_task_placed_on_a_full_worker() {
    let mut scheduler = scheduler(1);
    reserve_most_capacity(&mut scheduler);
    worker(&mut scheduler, "w", 4_000);
    add_job(
        &mut scheduler,
        7,
        1,
        &spec(vec![best_effort_step(4, 1_000, "a")]),
        None,
    );
    let orders = scheduler.place(at(0));
    assert_eq!(orders.len(), 4, "all processors are requested");
    record_all_starts(&mut scheduler, &orders, at(0));
    add_job(
        &mut scheduler,
        8,
        1,
        &spec(vec![best_effort_step(3, 1_000, "a")]),
        None,
    );
    assert!(scheduler.place(at(5_000)).is_empty());
    let orders = scheduler.place(at(10_500));
    assert_eq!(orders.len(), 1);
    assert_eq!(orders[0].run_id.task.job.0, 8);
}

/// Guards against losing jobs that never start: while less than 60 % of a service's processors are
/// reserved, a job must make progress whatever its age.
#[test]
fn in_a_lightly_loaded_service_a_young_job_without_placed_tasks_gets_one_task_placed() {
    let mut scheduler = scheduler(1);
    worker(&mut scheduler, "w", 4_000);
    add_job(
        &mut scheduler,
        7,
        1,
        &spec(vec![best_effort_step(4, 1_200, "a")]),
        None,
    );
    let orders = scheduler.place(at(0));
    assert_eq!(orders.len(), 4, "all processors are requested");
    record_all_starts(&mut scheduler, &orders, at(0));
    add_job(
        &mut scheduler,
        8,
        1,
        &spec(vec![best_effort_step(3, 1_200, "a")]),
        None,
    );
    assert!(scheduler.place(at(1_000)).is_empty());
    let orders = scheduler.place(at(1_300));
    assert_eq!(orders.len(), 1);
    assert_eq!(orders[0].run_id.task.job.0, 8);
    assert!(
        scheduler.place(at(3_000)).is_empty(),
        "only one task is placed this way"
    );
}

#[test]
fn a_stalled_run_is_moved_if_another_worker_can_run_it() {
    let mut scheduler = scheduler(1);
    let first = worker(&mut scheduler, "first", 4_000);
    add_job(
        &mut scheduler,
        7,
        1,
        &spec(vec![best_effort_step(1, 1_000, "a")]),
        None,
    );
    let orders = scheduler.place(at(0));
    record_all_starts(&mut scheduler, &orders, at(0));
    scheduler.move_stalled(at(5_000));
    assert!(
        scheduler.take_stops().is_empty(),
        "there is no other worker"
    );
    let other = worker(&mut scheduler, "other", 4_000);
    scheduler.move_stalled(at(5_000));
    let stops = scheduler.take_stops();
    assert_eq!(stops.len(), 1);
    let stopped = wax_batch::RunEnd {
        checkpoint: "saved".into(),
        ..end(1, stops[0].run_id, wax_batch::RunEndKind::Stopped)
    };
    scheduler.record_end(first, &stopped, at(5_100), unix_ms(5_100));
    let retry = scheduler.place(at(5_200));
    assert_eq!(&*retry[0].checkpoint, "saved");
    let _ = other;
}

#[test]
fn the_job_with_the_least_remaining_work_is_placed_first() {
    let mut scheduler = scheduler(1);
    worker(&mut scheduler, "w", 1_000);
    add_job(&mut scheduler, 7, 1, &spec(vec![step(9, 1_000)]), None);
    add_job(&mut scheduler, 8, 1, &spec(vec![step(1, 1_000)]), None);
    let orders = scheduler.place(at(0));
    assert_eq!(orders[0].run_id.task.job.0, 8);
}

#[test]
fn a_worker_on_which_all_tasks_fail_is_excluded_for_a_while() {
    let mut scheduler = scheduler(1);
    let bad = worker(&mut scheduler, "bad", 1_000);
    let mut now = 0;
    for number in 1..=3 {
        add_job(&mut scheduler, number, 1, &spec(vec![step(1, 1_000)]), None);
        let orders = scheduler.place(at(now));
        assert_eq!(orders.len(), 1);
        scheduler.record_end(
            bad,
            &end(number, orders[0].run_id, wax_batch::RunEndKind::Failed),
            at(now),
            unix_ms(now),
        );
        now += 10;
    }
    assert!(scheduler.place(at(now)).is_empty());
    assert_eq!(
        scheduler.place(at(now + 3_100)).len(),
        1,
        "the worker is tried again after the exclusion"
    );
}

#[test]
fn evacuation_stops_runs_that_a_draining_worker_would_lose() {
    let mut scheduler = scheduler(1);
    let leaving = worker(&mut scheduler, "leaving", 8_000);
    add_job(
        &mut scheduler,
        7,
        1,
        &spec(vec![long_running_step(1, 1_000, "red")]),
        None,
    );
    add_job(
        &mut scheduler,
        8,
        1,
        &spec(vec![best_effort_step(1, 1_000, "a")]),
        None,
    );
    add_job(&mut scheduler, 9, 1, &spec(vec![step(1, 1_000)]), None);
    let orders = scheduler.place(at(0));
    assert_eq!(orders.len(), 3);
    record_all_starts(&mut scheduler, &orders, at(0));
    let view = wax_batch::WorkerView {
        boot: "leaving".into(),
        service: "svc".into(),
        state: wax_batch::WorkerState::Draining,
        remaining_ms: 300,
        ..Default::default()
    };
    scheduler.update_worker(leaving, view);
    scheduler.evacuate(at(100));
    assert!(
        scheduler.take_stops().is_empty(),
        "no other worker can take the runs"
    );
    worker(&mut scheduler, "other", 8_000);
    scheduler.evacuate(at(200));
    let mut jobs: Vec<u64> = scheduler
        .take_stops()
        .iter()
        .map(|stop| stop.run_id.task.job.0)
        .collect();
    jobs.sort_unstable();
    assert_eq!(jobs, [7, 8], "a task without checkpoints runs to its end");
    scheduler.evacuate(at(300));
    assert!(
        scheduler.take_stops().is_empty(),
        "each stop is ordered once"
    );
}

#[test]
fn an_advised_step_starts_only_where_its_ticket_is_valid() {
    let mut scheduler = scheduler(1);
    let mut advised = config(2);
    let mut queue = (*advised.queues[0]).clone();
    queue.advice = Some(wax_batch::AdviceRules {
        decision_ms: 20.0,
        per_worker_ms: 1.0,
        validity_ms: 2_000,
    });
    advised.queues = vec![queue.into()];
    scheduler.set_config(advised.into(), unix_ms(0));
    let allowed = worker(&mut scheduler, "allowed", 1_000);
    worker(&mut scheduler, "other", 4_000);
    add_job(&mut scheduler, 7, 1, &spec(vec![step(2, 1_000)]), None);
    assert!(
        scheduler.place(at(0)).is_empty(),
        "no worker is approved yet"
    );
    let request = scheduler
        .next_advice_request(at(0))
        .expect("a request to the advisor");
    assert_eq!(&*request.name, "0000000000000007.0.0");
    assert_eq!(request.workers.len(), 2);
    assert_eq!(
        scheduler.next_advice_request(at(10)),
        None,
        "no second request right after the first"
    );
    scheduler.record_advice(&request, &[("allowed".into(), "t-1".into())], at(2_000));
    let orders = scheduler.place(at(100));
    assert_eq!(orders.len(), 1);
    assert_eq!((orders[0].worker, &*orders[0].ticket), (allowed, "t-1"));
    scheduler.record_end(
        allowed,
        &end(1, orders[0].run_id, wax_batch::RunEndKind::Done),
        at(1_900),
        unix_ms(1_900),
    );
    assert!(
        scheduler.place(at(1_900)).is_empty(),
        "the ticket expires too soon"
    );
    let retry = scheduler
        .next_advice_request(at(1_900))
        .expect("another request to the advisor");
    assert_eq!(
        retry.workers.len(),
        1,
        "a denied worker is not requested again"
    );
}

/// Otherwise the few attempts of a task could all be spent on a worker on which every task fails.
#[test]
fn a_task_does_not_return_at_once_to_the_worker_on_which_it_failed() {
    let mut scheduler = scheduler(1);
    let only = worker(&mut scheduler, "only", 4_000);
    add_job(&mut scheduler, 7, 1, &spec(vec![step(1, 1_000)]), None);
    let orders = scheduler.place(at(0));
    scheduler.record_end(
        only,
        &end(1, orders[0].run_id, wax_batch::RunEndKind::Failed),
        at(10),
        unix_ms(10),
    );
    assert!(
        scheduler.place(at(20)).is_empty(),
        "the task waits for another worker"
    );
    let other = worker(&mut scheduler, "other", 4_000);
    assert_eq!(scheduler.place(at(30))[0].worker, other);
}

/// A task lowers its demands the longer it has waited. If each refused start began the wait again,
/// it might never reach the lowest ones.
#[test]
fn a_refused_start_does_not_reset_the_waiting_time() {
    let mut scheduler = scheduler(1);
    let only = worker(&mut scheduler, "w", 4_000);
    add_job(
        &mut scheduler,
        7,
        1,
        &spec(vec![best_effort_step(4, 1_000, "a")]),
        None,
    );
    let orders = scheduler.place(at(0));
    record_all_starts(&mut scheduler, &orders, at(0));
    add_job(
        &mut scheduler,
        8,
        1,
        &spec(vec![best_effort_step(1, 1_000, "a")]),
        None,
    );
    let starved = scheduler.place(at(10_500));
    assert_eq!(starved.len(), 1);
    scheduler.record_refusal(
        only,
        starved[0].run_id,
        wax_batch::StartRefusal::Room,
        at(10_510),
        unix_ms(10_510),
    );
    assert_eq!(
        scheduler.place(at(10_700)).len(),
        1,
        "the refused start did not reset the waiting time"
    );
}

fn rack_of(scheduler: &JobScheduler, key: WorkerKey) -> Box<str> {
    let found = scheduler.workers().find(|(worker, _)| *worker == key);
    found
        .and_then(|(_, record)| record.view.rack.clone())
        .expect("a worker on a rack")
}

fn add_worker_on_rack(scheduler: &mut JobScheduler, id: &str, rack: &str, cpu_milli: u32) {
    scheduler.add_worker(
        wax_batch::WorkerView {
            boot: id.into(),
            service: "svc".into(),
            labels: vec![rack.into()],
            rack: Some(rack.into()),
            capacity: TaskSize {
                memory_mb: 60_000,
                ..size(cpu_milli)
            },
            ..Default::default()
        },
        id,
    );
}

/// Two small workers share one rack; a larger worker is alone on another.
macro_rules! one_rack {
    ($($name:ident: $gang:literal, $spread_out:literal => $rack:literal;)*) => {$(
        #[test]
        fn $name() {
            let mut scheduler = scheduler(1);
            add_worker_on_rack(&mut scheduler, "a", "r1", 2_000);
            add_worker_on_rack(&mut scheduler, "b", "r2", 3_000);
            add_worker_on_rack(&mut scheduler, "c", "r1", 2_000);
            let together = StepSpec {
                one_rack: true,
                gang: $gang,
                max_per_worker: $spread_out,
                ..step(3, 1_000)
            };
            add_job(&mut scheduler, 7, 1, &spec(vec![together]), None);
            let orders = scheduler.place(at(0));
            assert_eq!(orders.len(), 3);
            let mut racks: Vec<_> = orders.iter().map(|order| rack_of(&scheduler, order.worker)).collect();
            racks.dedup();
            assert_eq!(racks, [$rack.into()]);
        }
    )*};
}

one_rack! {
    a_one_rack_step_is_placed_on_the_rack_with_most_capacity: false, 0 => "r1";
    a_one_rack_gang_is_placed_on_the_rack_with_most_capacity: true, 0 => "r1";
    a_one_rack_step_with_a_limit_per_worker_stays_on_one_rack: false, 2 => "r1";
}

/// Guards against a gang that uses up a run number in each round in which it finds no room. After a
/// takeover its runs would be taken for later ones, of which the ends of earlier runs may be missing.
#[test]
fn a_gang_that_waits_for_room_uses_up_no_run_numbers() {
    let mut scheduler = scheduler(1);
    worker(&mut scheduler, "small", 1_000);
    let gang = StepSpec {
        gang: true,
        ..step(2, 1_000)
    };
    add_job(&mut scheduler, 7, 1, &spec(vec![gang]), None);
    for millis in 0..5 {
        assert!(scheduler.place(at(millis)).is_empty());
    }
    worker(&mut scheduler, "other", 1_000);
    let orders = scheduler.place(at(5));
    let runs: Vec<u64> = orders.iter().map(|order| order.run_id.run).collect();
    assert_eq!(runs, [1, 1]);
}
