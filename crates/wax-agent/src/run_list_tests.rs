//! Which link gets the run list of the answer to a hold, and when orders are admitted.

use crate::driver::drive_worker;
use crate::gated_worker::{EVENT_TIMEOUT, GatedWorker, agent_without_copies, open_link};
use crate::orders_tests::run_id;
use crate::owner_link::handle_message;
use crate::run_list::{HoldReport, LinkGeneration, ListNumber, RunListState};
use crate::state::AgentState;
use compio::runtime::{Runtime, spawn};
use compio::time::sleep;
use futures_channel::mpsc::UnboundedReceiver;
use serde_json::{Value, json};
use std::rc::Rc;
use std::time::{Duration, Instant};
use wax_batch::{RunId, StartRefusal};
use wax_wire::{
    LeaseGrant, PlacementFrame, PoolBody, RunUpdates, StartRun, WorkerAccepted, WorkerSnapshot,
};

const FIRST: LinkGeneration = LinkGeneration(1);
const SECOND: LinkGeneration = LinkGeneration(2);
const LIST: ListNumber = ListNumber(7);

/// Defines one test per row: the link when the hold was sent, the link when it was answered, the
/// state of the run list, and what the owner gets.
macro_rules! hold_reports {
    ($($name:ident: $requested_on:expr, $current:expr, $state:expr => $report:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let report = HoldReport::choose($requested_on, $current, $state);
                assert_eq!(report, $report);
            }
        )*
    };
}

hold_reports! {
    first_answer_on_a_link_gives_the_run_list:
        Some(FIRST), Some(FIRST), RunListState::Unsent => HoldReport::RunList(FIRST);
    later_answer_on_a_link_gives_the_changes:
        Some(FIRST), Some(FIRST), RunListState::Sent(FIRST, LIST) => HoldReport::Changes;
    answer_after_the_acceptance_gives_the_changes:
        Some(FIRST), Some(FIRST), RunListState::Accepted(FIRST) => HoldReport::Changes;
    answer_on_a_new_link_gives_the_run_list:
        Some(SECOND), Some(SECOND), RunListState::Accepted(FIRST) => HoldReport::RunList(SECOND);
    list_requested_on_an_earlier_link_is_not_sent_on_a_later_one:
        Some(FIRST), Some(SECOND), RunListState::Unsent => HoldReport::Nothing;
    changes_requested_on_an_earlier_link_are_not_sent_on_a_later_one:
        Some(FIRST), Some(SECOND), RunListState::Accepted(FIRST) => HoldReport::Nothing;
    list_requested_without_a_link_is_not_sent:
        None, Some(FIRST), RunListState::Unsent => HoldReport::Nothing;
    nothing_is_sent_without_a_link:
        Some(FIRST), None, RunListState::Accepted(FIRST) => HoldReport::Nothing;
}

/// Defines one test per row: the state of the run list, the link and the list that the owner has
/// accepted, and whether this counts.
macro_rules! acceptances {
    ($($name:ident: $state:expr, $link:expr, $list:expr => $counts:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut state = $state;
                assert_eq!(state.accept($link, $list), $counts);
                assert_eq!(state.is_accepted_on($link), $counts);
            }
        )*
    };
}

acceptances! {
    acceptance_of_the_last_list_counts:
        RunListState::Sent(FIRST, LIST), FIRST, Some(LIST) => true;
    acceptance_without_a_number_counts:
        RunListState::Sent(FIRST, LIST), FIRST, None => true;
    acceptance_of_an_earlier_list_does_not_count:
        RunListState::Sent(FIRST, LIST), FIRST, Some(ListNumber(6)) => false;
    acceptance_before_a_list_does_not_count: RunListState::Unsent, FIRST, None => false;
    acceptance_on_another_link_does_not_count:
        RunListState::Sent(FIRST, LIST), SECOND, Some(LIST) => false;
}

async fn next_message(inbox: &mut UnboundedReceiver<PoolBody>) -> PoolBody {
    let began_at = Instant::now();
    while began_at.elapsed() < EVENT_TIMEOUT {
        match inbox.try_recv() {
            Ok(body) => return body,
            Err(_) => sleep(Duration::from_millis(1)).await,
        }
    }
    panic!("no message to the owner");
}

fn snapshot_of(body: PoolBody) -> WorkerSnapshot {
    match body {
        PoolBody::WorkerSnapshot(snapshot) => snapshot,
        other => panic!("not a run list: {other:?}"),
    }
}

fn accept_list(state: &Rc<AgentState>, list: Option<u64>) {
    let accepted = WorkerAccepted {
        worker: "worker".into(),
        started_ms: Some(1),
        list,
        ..Default::default()
    };
    handle_message(state, PoolBody::WorkerAccepted(accepted));
}

/// Guards against a task that runs twice: the answer to a hold that was sent before the link was
/// opened gave the owner its run list, and a second list followed that lacked the starts which the
/// owner had ordered after the first.
#[test]
fn each_link_gets_a_single_run_list_that_was_requested_on_it() {
    let runtime = Runtime::new().expect("the runtime must start");
    runtime.block_on(async {
        let worker = GatedWorker::start();
        let state = agent_without_copies(worker.address);
        let mut first = open_link(&state, SECOND, 2);
        spawn(drive_worker(state.clone())).detach();
        let hold = worker.next_hold().await;
        let mut second = open_link(&state, LinkGeneration(3), 3);
        hold.answer();
        let hold = worker.next_hold().await;
        assert!(first.try_recv().is_err(), "the first link has ended");
        assert!(
            second.try_recv().is_err(),
            "the answered hold is older than the link"
        );
        hold.answer();
        let list = snapshot_of(next_message(&mut second).await).list;
        accept_list(&state, list);
        worker.next_hold().await.answer();
        worker.next_hold().await.answer();
        assert!(
            second.try_recv().is_err(),
            "the owner may have ordered starts since the first list"
        );
    });
}

fn start_order(run: u64) -> StartRun {
    StartRun {
        placement: PlacementFrame {
            run_id: RunId { run, ..run_id() }.into(),
            ..Default::default()
        },
        worker: "worker".into(),
        started_ms: Some(1),
        ..Default::default()
    }
}

fn refusals(updates: &RunUpdates) -> Vec<StartRefusal> {
    let refused = updates.refused.iter();
    refused.map(|refusal| refusal.decode().1).collect()
}

/// Guards against a start for an earlier registration of the boot, after the agent has reported that
/// all its runs have ended: the start was admitted because the link had been accepted before.
#[test]
fn starts_are_refused_until_the_owner_has_accepted_the_list_of_the_registered_boot() {
    let runtime = Runtime::new().expect("the runtime must start");
    runtime.block_on(async {
        let worker = GatedWorker::start();
        let state = agent_without_copies(worker.address);
        let mut inbox = open_link(&state, SECOND, 2);
        spawn(drive_worker(state.clone())).detach();
        worker.next_hold().await.answer();
        let earlier_list = snapshot_of(next_message(&mut inbox).await).list;
        accept_list(&state, earlier_list);
        assert!(state.is_reconciled());
        // All leases expire, and the boot is registered again.
        state.boot.borrow_mut().as_mut().expect("the boot").lease = Default::default();
        worker.next_hold().await.answer();
        assert!(matches!(
            next_message(&mut inbox).await,
            PoolBody::AllRunsEnded(_)
        ));
        worker.next_hold().await.answer();
        worker.next_hold().await.answer();
        let list = snapshot_of(next_message(&mut inbox).await).list;
        assert_ne!(list, earlier_list);
        handle_message(
            &state,
            PoolBody::Grant(LeaseGrant {
                sent_us: state.now().0,
                valid_ms: 60_000,
                ..Default::default()
            }),
        );
        let now = state.now();
        state
            .drains
            .borrow_mut()
            .replace(1, Default::default(), now);
        // The owner has accepted the earlier list only.
        accept_list(&state, earlier_list);
        handle_message(&state, PoolBody::Start(start_order(1)));
        let PoolBody::RunUpdates(updates) = next_message(&mut inbox).await else {
            panic!("the start must be refused");
        };
        assert_eq!(refusals(&updates), [StartRefusal::Stale]);
        accept_list(&state, list);
        handle_message(&state, PoolBody::Start(start_order(2)));
        worker.next_order().await.answer();
    });
}

/// Returns the fields of an answer to a hold that lists the ends with these numbers.
fn answer_with_ends(numbers: std::ops::Range<u64>) -> Value {
    let ends = numbers.map(|number| {
        let task = format!("00000000000000aa.0.0.{number}");
        json!([number, task, 1, "done", ""])
    });
    json!({ "finished": ends.collect::<Vec<_>>() })
}

fn updates_of(body: PoolBody) -> RunUpdates {
    match body {
        PoolBody::RunUpdates(updates) => updates,
        other => panic!("no run updates: {other:?}"),
    }
}

/// Guards against a task that runs again after its end: a list of 500 ends was sent as complete.
#[test]
fn run_list_is_complete_once_the_ends_beyond_the_first_page_are_sent() {
    let runtime = Runtime::new().expect("the runtime must start");
    runtime.block_on(async {
        let worker = GatedWorker::start();
        let state = agent_without_copies(worker.address);
        let mut inbox = open_link(&state, SECOND, 2);
        spawn(drive_worker(state.clone())).detach();
        let first_page = answer_with_ends(1..501);
        worker.next_hold().await.answer_as(&first_page);
        let snapshot = snapshot_of(next_message(&mut inbox).await);
        assert_eq!((snapshot.ends.len(), snapshot.has_more_ends), (500, true));
        // The ends are not acknowledged yet.
        worker.next_hold().await.answer_as(&first_page);
        let second_page = answer_with_ends(301..801);
        worker.next_hold().await.answer_as(&second_page);
        let updates = updates_of(next_message(&mut inbox).await);
        assert_eq!((updates.ends.len(), updates.ends_complete), (300, false));
        let last_page = answer_with_ends(801..803);
        worker.next_hold().await.answer_as(&last_page);
        let updates = updates_of(next_message(&mut inbox).await);
        assert_eq!((updates.ends.len(), updates.ends_complete), (2, true));
        let new_end = answer_with_ends(803..804);
        worker.next_hold().await.answer_as(&new_end);
        let updates = updates_of(next_message(&mut inbox).await);
        assert_eq!((updates.ends.len(), updates.ends_complete), (1, false));
    });
}

/// The worker has exactly as many ends as it can list, so that no end follows.
#[test]
fn run_list_with_a_full_page_of_ends_is_complete_once_no_further_one_is_listed() {
    let runtime = Runtime::new().expect("the runtime must start");
    runtime.block_on(async {
        let worker = GatedWorker::start();
        let state = agent_without_copies(worker.address);
        let mut inbox = open_link(&state, SECOND, 2);
        spawn(drive_worker(state.clone())).detach();
        worker
            .next_hold()
            .await
            .answer_as(&answer_with_ends(1..501));
        assert!(snapshot_of(next_message(&mut inbox).await).has_more_ends);
        worker.next_hold().await.answer();
        let updates = updates_of(next_message(&mut inbox).await);
        assert_eq!((updates.ends.len(), updates.ends_complete), (0, true));
    });
}
