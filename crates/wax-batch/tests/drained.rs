//! Failure domains that are drained: what runs there goes on, nothing new comes, and waits say why.

mod support;

use support::*;
use wax_batch::{JobBook, RunEndKind, StepSpec, TaskSize, WaitReason, WorkerKey, WorkerView};

fn worker_in(book: &mut JobBook, id: &str, domain: &str) -> WorkerKey {
    book.worker_joined(view_in(id, domain), id)
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

fn drain(book: &mut JobBook, domains: &[&str]) {
    book.set_drained(&domains.iter().map(|domain| (*domain).into()).collect());
}

/// A book with a worker in each of two domains, of which the second is drained.
fn half_drained() -> (JobBook, WorkerKey, WorkerKey) {
    let mut book = book(1);
    let open = worker_in(&mut book, "open", "a");
    let drained = worker_in(&mut book, "drained", "b");
    drain(&mut book, &["b"]);
    (book, open, drained)
}

fn reasons(book: &mut JobBook) -> Vec<WaitReason> {
    let waits = book.take_waits();
    waits.into_iter().map(|wait| wait.reason).collect()
}

#[test]
fn nothing_is_placed_there_until_it_is_taken_back() {
    let (mut book, open, drained) = half_drained();
    add(&mut book, 7, 1, &spec(vec![step(6, 1_000)]), None);
    let orders = book.place(at(0));
    assert_eq!(orders.len(), 4);
    assert!(orders.iter().all(|order| order.worker == open));
    assert_eq!(
        reasons(&mut book),
        [WaitReason::Capacity],
        "the open one is only full"
    );
    drain(&mut book, &[]);
    let orders = book.place(at(1_500));
    assert_eq!(orders.len(), 2);
    assert!(orders.iter().all(|order| order.worker == drained));
}

#[test]
fn what_runs_there_goes_on() {
    let mut book = book(1);
    let worker = worker_in(&mut book, "w", "b");
    worker_in(&mut book, "other", "a");
    let lasting = StepSpec {
        lasts: true,
        ..step(1, 1_000)
    };
    let saving = StepSpec {
        checkpoints: true,
        ..step(7, 1_000)
    };
    add(&mut book, 7, 1, &spec(vec![lasting, saving]), None);
    let orders = book.place(at(0));
    assert!(orders.iter().any(|order| order.worker == worker));
    start_all(&mut book, &orders, at(0));
    drain(&mut book, &["b"]);
    book.evacuate(at(200));
    book.move_stalled(at(200));
    assert!(book.take_stops().is_empty());
}

#[test]
fn a_lasting_task_that_fails_there_is_back_at_once_elsewhere() {
    let mut book = book(1);
    let worker = worker_in(&mut book, "w", "b");
    let lasting = StepSpec {
        lasts: true,
        ..step(1, 1_000)
    };
    add(&mut book, 7, 1, &spec(vec![lasting]), None);
    let orders = book.place(at(0));
    start_all(&mut book, &orders, at(0));
    let other = worker_in(&mut book, "other", "a");
    drain(&mut book, &["b"]);
    let failed = end(1, orders[0].mark, RunEndKind::Failed);
    book.run_ended(worker, &failed, at(100), wall(100));
    let orders = book.place(at(100));
    assert_eq!(orders.len(), 1);
    assert_eq!(orders[0].worker, other);
}

#[test]
fn a_label_that_only_the_drained_domain_has_is_waited_for() {
    let (mut book, _, drained) = half_drained();
    let wanted = StepSpec {
        label: Some("only-b".into()),
        ..step(2, 1_000)
    };
    add(&mut book, 7, 1, &spec(vec![wanted]), None);
    assert!(book.place(at(0)).is_empty());
    assert_eq!(reasons(&mut book), [WaitReason::Drained]);
    drain(&mut book, &[]);
    let orders = book.place(at(2_000));
    assert_eq!(orders.len(), 2);
    assert!(orders.iter().all(|order| order.worker == drained));
}

#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let (mut book, _, _) = half_drained();
    let gang = StepSpec {
        gang: true,
        ..step(6, 1_000)
    };
    add(&mut book, 7, 1, &spec(vec![gang]), None);
    assert!(book.place(at(0)).is_empty());
    drain(&mut book, &[]);
    assert_eq!(book.place(at(2_000)).len(), 6);
}

/// A member is refused by its agent, which knew of the drain first: the others do not wait in vain.
#[test]
fn the_members_of_a_gang_are_stopped_when_one_is_refused() {
    let mut book = book(1);
    worker_in(&mut book, "open", "a");
    let drained = worker_in(&mut book, "drained", "b");
    let gang = StepSpec {
        gang: true,
        ..step(6, 1_000)
    };
    add(&mut book, 7, 1, &spec(vec![gang]), None);
    let orders = book.place(at(0));
    assert_eq!(orders.len(), 6);
    let refused = orders.iter().find(|order| order.worker == drained);
    let refused = refused.expect("it is needed").mark;
    let why = wax_batch::StartRefusal::Drained;
    book.run_refused(drained, refused, why, at(10), wall(10));
    assert_eq!(book.take_stops().len(), 5);
}

#[test]
fn data_on_a_rack_that_is_drained_are_read_from_afar() {
    let (mut book, open, _) = half_drained();
    let near = StepSpec {
        data_rack: Some("rack-b".into()),
        ..step(2, 1_000)
    };
    add(&mut book, 7, 1, &spec(vec![near]), None);
    let orders = book.place(at(0));
    assert_eq!(orders.len(), 2);
    assert!(orders.iter().all(|order| order.worker == open));
}

#[test]
fn a_step_that_keeps_to_one_rack_takes_one_that_is_not_drained() {
    let (mut book, open, _) = half_drained();
    let together = StepSpec {
        one_rack: true,
        ..step(3, 1_000)
    };
    add(&mut book, 7, 1, &spec(vec![together]), None);
    let orders = book.place(at(0));
    assert_eq!(orders.len(), 3);
    assert!(orders.iter().all(|order| order.worker == open));
}

/// Two domains at once, all of them, and each taken back by itself.
#[test]
fn drains_of_several_domains_do_not_depend_on_each_other() {
    let mut book = book(1);
    let workers = ["a", "b", "c"].map(|domain| worker_in(&mut book, domain, domain));
    drain(&mut book, &["a", "b", "c"]);
    add(&mut book, 7, 1, &spec(vec![step(12, 1_000)]), None);
    assert!(book.place(at(0)).is_empty());
    assert_eq!(reasons(&mut book), [WaitReason::Drained]);
    for (nth, left) in [&["a", "b"][..], &["b"], &[]].into_iter().enumerate() {
        drain(&mut book, left);
        let orders = book.place(at(2_000 * (nth as u64 + 1)));
        assert_eq!(orders.len(), 4, "{left:?} are left");
    }
    let full = |(_, life): (WorkerKey, &wax_batch::WorkerLife)| life.runs.len() == 4;
    assert_eq!(
        book.workers().filter(|worker| full(*worker)).count(),
        workers.len()
    );
}

/// Workers that join, come back, or change their word while their domain is drained get nothing, cold
/// or not.
#[test]
fn workers_that_come_while_their_domain_is_drained_get_nothing() {
    let mut book = book(1);
    drain(&mut book, &["b"]);
    let late = worker_in(&mut book, "late", "b");
    book.worker_changed(
        late,
        WorkerView {
            cold_ms: 4_000,
            ..view_in("late", "b")
        },
    );
    add(&mut book, 7, 1, &spec(vec![step(1, 1_000)]), None);
    assert!(book.place(at(0)).is_empty());
    assert_eq!(reasons(&mut book), [WaitReason::Drained]);
}
