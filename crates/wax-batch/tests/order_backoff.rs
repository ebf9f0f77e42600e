//! Workers that leave starts unanswered get one start at a time, with growing delays.

mod support;

use proptest::prelude::*;
use support::{add_job, at, running, scheduler, spec, step, unix_ms, worker};
use wax_batch::{JobScheduler, StartOrder, StartRefusal, StepSpec, WaitReason, WorkerKey};
use wax_policy::OrderRules;

fn rules() -> OrderRules {
    OrderRules {
        enabled: 1,
        ..Default::default()
    }
}

/// Returns a scheduler with this number of workers, which have room for four tasks each.
fn pool(workers: usize) -> (JobScheduler, Vec<WorkerKey>) {
    let mut scheduler = scheduler(1);
    scheduler.set_order_rules(rules());
    let keys = (0..workers).map(|number| worker(&mut scheduler, &format!("w{number}"), 4_000));
    let keys = keys.collect();
    (scheduler, keys)
}

fn refuse(scheduler: &mut JobScheduler, order: &StartOrder, millis: u64) {
    let refusal = StartRefusal::Unanswered;
    scheduler.record_refusal(
        order.worker,
        order.run_id,
        refusal,
        at(millis),
        unix_ms(millis),
    );
}

fn on(orders: &[StartOrder], worker: WorkerKey) -> Vec<StartOrder> {
    let orders = orders.iter().filter(|order| order.worker == worker);
    orders.cloned().collect()
}

/// Places tasks on all of two workers and leaves one start of the first worker unanswered. Returns
/// the other starts of that worker, too.
fn limited_pool() -> (JobScheduler, Vec<WorkerKey>, Vec<StartOrder>) {
    let (mut scheduler, keys) = pool(2);
    add_job(&mut scheduler, 1, 1, &spec(vec![step(8, 1_000)]), None);
    let orders = scheduler.place(at(0));
    assert_eq!(orders.len(), 8);
    for order in on(&orders, keys[1]) {
        scheduler.record_start(order.worker, order.run_id, at(5));
    }
    let orders = on(&orders, keys[0]);
    refuse(&mut scheduler, &orders[0], 800);
    (scheduler, keys, orders)
}

/// Guards against several starts that are lost on the same worker at the same time, and against
/// starts that follow each other without a delay.
#[test]
fn limited_worker_gets_one_start_at_a_time_with_growing_delays() {
    let (mut scheduler, keys, orders) = limited_pool();
    for order in &orders[1..] {
        refuse(&mut scheduler, order, 810);
    }
    let limit = scheduler
        .start_limit(keys[0])
        .expect("the worker is limited");
    assert_eq!(
        limit.unanswered, 1,
        "starts that were lost together count once"
    );
    let mut now = 810;
    let mut delays = Vec::new();
    for _ in 0..6 {
        let began = now;
        let order = loop {
            let orders = scheduler.place(at(now));
            assert!(orders.len() <= 1, "one start at a time");
            if let Some(order) = orders.first() {
                break order.clone();
            }
            now += 10;
        };
        assert_eq!(order.worker, keys[0], "the other worker is full");
        assert!(
            scheduler.place(at(now + 100)).is_empty(),
            "the start is unresolved"
        );
        delays.push(now - began);
        now += 700;
        refuse(&mut scheduler, &order, now);
    }
    assert_eq!(delays, [240, 500, 1_000, 2_000, 4_000, 4_000]);
}

/// Guards against a worker that stays limited although it answers again.
#[test]
fn answered_start_ends_the_limit() {
    let (mut scheduler, keys, orders) = limited_pool();
    for order in &orders[1..] {
        refuse(&mut scheduler, order, 810);
    }
    let trial = scheduler.place(at(2_000));
    assert_eq!(trial.len(), 1);
    scheduler.record_start(keys[0], trial[0].run_id, at(2_005));
    assert_eq!(scheduler.start_limit(keys[0]), None);
    assert_eq!(scheduler.place(at(2_010)).len(), 3);
}

/// Guards against a limit that lasts because the message about the start was lost with a link, while
/// the worker lists the run.
#[test]
fn listed_run_ends_the_limit_like_an_answer() {
    let (mut scheduler, keys, orders) = limited_pool();
    scheduler.record_progress(keys[0], &running(orders[1].run_id), at(900));
    assert!(
        scheduler.start_limit(keys[0]).is_some(),
        "an older run shows nothing"
    );
    let trial = scheduler.place(at(2_000));
    scheduler.record_progress(keys[0], &running(trial[0].run_id), at(2_010));
    assert_eq!(scheduler.start_limit(keys[0]), None);
}

/// Guards against a task that waits for the worker that left its start unanswered.
#[test]
fn task_is_placed_elsewhere_at_once() {
    let (mut scheduler, keys) = pool(2);
    add_job(&mut scheduler, 1, 1, &spec(vec![step(1, 1_000)]), None);
    let order = scheduler.place(at(0)).remove(0);
    refuse(&mut scheduler, &order, 700);
    let again = scheduler.place(at(700));
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].worker, order.worker);
    // Also after the back-off, another worker is preferred.
    add_job(&mut scheduler, 2, 1, &spec(vec![step(2, 1_000)]), None);
    let later = scheduler.place(at(2_000));
    assert!(on(&later, order.worker).is_empty(), "{keys:?}");
}

/// Guards against waits whose reason is not shown.
#[test]
fn wait_for_a_limited_worker_has_a_reason_of_its_own() {
    let (mut scheduler, _, _) = limited_pool();
    scheduler.place(at(1_001));
    let reasons: Vec<WaitReason> = scheduler
        .take_waits()
        .iter()
        .map(|wait| wait.reason)
        .collect();
    assert_eq!(
        reasons,
        [WaitReason::Capacity],
        "the other worker came closer"
    );
    assert_eq!(WaitReason::Unanswered.to_string(), "unanswered");
    assert!(WaitReason::NotReady < WaitReason::Unanswered);
    assert!(WaitReason::Unanswered < WaitReason::Capacity);
}

/// Guards against a gang that never starts because its members need several places on a limited
/// worker.
#[test]
fn limit_expires_for_a_gang_that_needs_several_places() {
    let (mut scheduler, _) = pool(2);
    let gang = StepSpec {
        gang: true,
        ..step(8, 1_000)
    };
    add_job(&mut scheduler, 1, 1, &spec(vec![gang]), None);
    let orders = scheduler.place(at(0));
    assert_eq!(orders.len(), 8);
    for order in &orders {
        refuse(&mut scheduler, order, 700);
    }
    assert!(scheduler.place(at(1_000)).is_empty());
    assert_eq!(scheduler.place(at(6_000)).len(), 8);
}

/// Guards against owners that limit workers without the section `policy.orders`.
#[test]
fn owner_without_the_rules_treats_the_refusal_as_that_of_an_unhealthy_worker() {
    let (mut scheduler, keys) = pool(1);
    scheduler.set_order_rules(OrderRules::default());
    add_job(&mut scheduler, 1, 1, &spec(vec![step(1, 1_000)]), None);
    let order = scheduler.place(at(0)).remove(0);
    refuse(&mut scheduler, &order, 700);
    assert_eq!(scheduler.start_limit(keys[0]), None);
    assert!(scheduler.place(at(3_600)).is_empty());
    assert_eq!(scheduler.place(at(3_700)).len(), 1);
}

proptest! {
    /// Guards against a pool that stops starting tasks because most of its workers are limited.
    #[test]
    fn at_most_half_of_the_ready_workers_are_limited(
        workers in 1..9_usize,
        lost in prop::collection::vec(any::<bool>(), 1..200),
    ) {
        let (mut scheduler, keys) = pool(workers);
        add_job(&mut scheduler, 1, 1, &spec(vec![step(1_000, 1_000)]), None);
        let (mut now, mut number) = (0, 0);
        let mut lost = lost.into_iter();
        while let Some(first) = lost.next() {
            now += 300;
            let orders = scheduler.place(at(now));
            let limited = keys.iter().filter(|key| scheduler.start_limit(**key).is_some()).count();
            prop_assert!(limited <= workers / 2, "{} of {} are limited", limited, workers);
            for order in &orders {
                if lost.next().unwrap_or(first) {
                    refuse(&mut scheduler, order, now + 100);
                } else {
                    scheduler.record_start(order.worker, order.run_id, at(now + 100));
                    number += 1;
                    let end = support::end(number, order.run_id, wax_batch::RunEndKind::Done);
                    scheduler.record_end(order.worker, &end, at(now + 100), unix_ms(now + 100));
                }
            }
        }
    }
}
