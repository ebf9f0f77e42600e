//! Drained failure domains: running tasks continue, no new tasks are placed, and waiting steps
//! report the drain as the reason.

mod support;

use support::*;
use wax_batch::{JobScheduler, RunEndKind, StepSpec, TaskSize, WaitReason, WorkerKey, WorkerView};

fn worker_in(scheduler: &mut JobScheduler, id: &str, domain: &str) -> WorkerKey {
    scheduler.add_worker(view_in(id, domain), id)
}

fn view_in(id: &str, domain: &str) -> WorkerView {
    WorkerView {
        boot: id.into(),
        service: "svc".into(),
        failure_domain: domain.into(),
        rack: Some(format!("rack-{domain}").into()),
        labels: vec![format!("only-{domain}").into()],
        capacity: TaskSize {
            memory_mb: 60_000,
            ..size(4_000)
        },
        ..Default::default()
    }
}

fn drain(scheduler: &mut JobScheduler, domains: &[&str]) {
    scheduler.set_drained(&domains.iter().map(|domain| (*domain).into()).collect());
}

/// Returns a scheduler with a worker in each of two domains, the second of which is drained.
fn half_drained() -> (JobScheduler, WorkerKey, WorkerKey) {
    let mut scheduler = scheduler(1);
    let open = worker_in(&mut scheduler, "open", "a");
    let drained = worker_in(&mut scheduler, "drained", "b");
    drain(&mut scheduler, &["b"]);
    (scheduler, open, drained)
}

fn reasons(scheduler: &mut JobScheduler) -> Vec<WaitReason> {
    let waits = scheduler.take_waits();
    waits.into_iter().map(|wait| wait.reason).collect()
}

#[test]
fn nothing_is_placed_in_a_drained_domain_until_the_drain_ends() {
    let (mut scheduler, open, drained) = half_drained();
    add_job(&mut scheduler, 7, 1, &spec(vec![step(6, 1_000)]), None);
    let orders = scheduler.place(at(0));
    assert_eq!(orders.len(), 4);
    assert!(orders.iter().all(|order| order.worker == open));
    assert_eq!(
        reasons(&mut scheduler),
        [WaitReason::Capacity],
        "the worker that is not drained is full"
    );
    drain(&mut scheduler, &[]);
    let orders = scheduler.place(at(1_500));
    assert_eq!(orders.len(), 2);
    assert!(orders.iter().all(|order| order.worker == drained));
}

#[test]
fn runs_in_a_drained_domain_continue() {
    let mut scheduler = scheduler(1);
    let worker = worker_in(&mut scheduler, "w", "b");
    worker_in(&mut scheduler, "other", "a");
    let long_running_step = StepSpec {
        long_running: true,
        ..step(1, 1_000)
    };
    let saving = StepSpec {
        checkpoints: true,
        ..step(7, 1_000)
    };
    add_job(
        &mut scheduler,
        7,
        1,
        &spec(vec![long_running_step, saving]),
        None,
    );
    let orders = scheduler.place(at(0));
    assert!(orders.iter().any(|order| order.worker == worker));
    record_all_starts(&mut scheduler, &orders, at(0));
    drain(&mut scheduler, &["b"]);
    scheduler.evacuate(at(200));
    scheduler.move_stalled(at(200));
    assert!(scheduler.take_stops().is_empty());
}

#[test]
fn a_long_running_task_that_fails_in_a_drained_domain_restarts_elsewhere_at_once() {
    let mut scheduler = scheduler(1);
    let worker = worker_in(&mut scheduler, "w", "b");
    let long_running_step = StepSpec {
        long_running: true,
        ..step(1, 1_000)
    };
    add_job(&mut scheduler, 7, 1, &spec(vec![long_running_step]), None);
    let orders = scheduler.place(at(0));
    record_all_starts(&mut scheduler, &orders, at(0));
    let other = worker_in(&mut scheduler, "other", "a");
    drain(&mut scheduler, &["b"]);
    let failed = end(1, orders[0].run_id, RunEndKind::Failed);
    scheduler.record_end(worker, &failed, at(100), unix_ms(100));
    let orders = scheduler.place(at(100));
    assert_eq!(orders.len(), 1);
    assert_eq!(orders[0].worker, other);
}

#[test]
fn a_step_waits_for_a_label_that_only_the_drained_domain_has() {
    let (mut scheduler, _, drained) = half_drained();
    let wanted = StepSpec {
        label: Some("only-b".into()),
        ..step(2, 1_000)
    };
    add_job(&mut scheduler, 7, 1, &spec(vec![wanted]), None);
    assert!(scheduler.place(at(0)).is_empty());
    assert_eq!(reasons(&mut scheduler), [WaitReason::Drained]);
    drain(&mut scheduler, &[]);
    let orders = scheduler.place(at(2_000));
    assert_eq!(orders.len(), 2);
    assert!(orders.iter().all(|order| order.worker == drained));
}

#[test]
fn a_gang_starts_with_all_members_or_not_at_all() {
    let (mut scheduler, _, _) = half_drained();
    let gang = StepSpec {
        gang: true,
        ..step(6, 1_000)
    };
    add_job(&mut scheduler, 7, 1, &spec(vec![gang]), None);
    assert!(scheduler.place(at(0)).is_empty());
    drain(&mut scheduler, &[]);
    assert_eq!(scheduler.place(at(2_000)).len(), 6);
}

/// An agent that learns of a drain before the owner refuses one member. The others are stopped,
/// because they cannot work without it.
#[test]
fn the_members_of_a_gang_are_stopped_when_one_is_refused() {
    let mut scheduler = scheduler(1);
    worker_in(&mut scheduler, "open", "a");
    let drained = worker_in(&mut scheduler, "drained", "b");
    let gang = StepSpec {
        gang: true,
        ..step(6, 1_000)
    };
    add_job(&mut scheduler, 7, 1, &spec(vec![gang]), None);
    let orders = scheduler.place(at(0));
    assert_eq!(orders.len(), 6);
    let refused = orders.iter().find(|order| order.worker == drained);
    let refused = refused
        .expect("a member is placed in the drained domain")
        .run_id;
    let reason = wax_batch::StartRefusal::Drained;
    scheduler.record_refusal(drained, refused, reason, at(10), unix_ms(10));
    assert_eq!(scheduler.take_stops().len(), 5);
}

#[test]
fn a_step_with_data_on_a_drained_rack_runs_on_another_rack() {
    let (mut scheduler, open, _) = half_drained();
    let near = StepSpec {
        data_rack: Some("rack-b".into()),
        ..step(2, 1_000)
    };
    add_job(&mut scheduler, 7, 1, &spec(vec![near]), None);
    let orders = scheduler.place(at(0));
    assert_eq!(orders.len(), 2);
    assert!(orders.iter().all(|order| order.worker == open));
}

#[test]
fn a_one_rack_step_uses_a_rack_that_is_not_drained() {
    let (mut scheduler, open, _) = half_drained();
    let together = StepSpec {
        one_rack: true,
        ..step(3, 1_000)
    };
    add_job(&mut scheduler, 7, 1, &spec(vec![together]), None);
    let orders = scheduler.place(at(0));
    assert_eq!(orders.len(), 3);
    assert!(orders.iter().all(|order| order.worker == open));
}

/// Several domains, or all of them, can be drained at once, and each drain ends independently.
#[test]
fn drains_of_several_domains_do_not_depend_on_each_other() {
    let mut scheduler = scheduler(1);
    let workers = ["a", "b", "c"].map(|domain| worker_in(&mut scheduler, domain, domain));
    drain(&mut scheduler, &["a", "b", "c"]);
    add_job(&mut scheduler, 7, 1, &spec(vec![step(12, 1_000)]), None);
    assert!(scheduler.place(at(0)).is_empty());
    assert_eq!(reasons(&mut scheduler), [WaitReason::Drained]);
    for (nth, left) in [&["a", "b"][..], &["b"], &[]].into_iter().enumerate() {
        drain(&mut scheduler, left);
        let orders = scheduler.place(at(2_000 * (nth as u64 + 1)));
        assert_eq!(orders.len(), 4, "domains still drained: {left:?}");
    }
    let full = |(_, record): (WorkerKey, &wax_batch::WorkerRecord)| record.runs.len() == 4;
    assert_eq!(
        scheduler.workers().filter(|worker| full(*worker)).count(),
        workers.len()
    );
}

/// Workers that join, restart or send a new description while their domain is drained get no tasks,
/// whether they are cold or not.
#[test]
fn workers_that_join_a_drained_domain_get_no_tasks() {
    let mut scheduler = scheduler(1);
    drain(&mut scheduler, &["b"]);
    let late = worker_in(&mut scheduler, "late", "b");
    scheduler.update_worker(
        late,
        WorkerView {
            cold_ms: 4_000,
            ..view_in("late", "b")
        },
    );
    add_job(&mut scheduler, 7, 1, &spec(vec![step(1, 1_000)]), None);
    assert!(scheduler.place(at(0)).is_empty());
    assert_eq!(reasons(&mut scheduler), [WaitReason::Drained]);
}
