//! Checks the roster of agents: which agents an owner waits for after a takeover, and what it
//! stores about them.

use futures_channel::mpsc::{UnboundedSender, unbounded};
use futures_util::FutureExt;
use slotmap::SlotMap;
use std::collections::BTreeSet;
use std::time::Duration;
use wax_batch::{BootId, JobName, UnreconciledRuns, WorkerKey};
use wax_owner::{AgentRoster, AgentRow, AgentUpdate, EndedBoots, OwnerTimeouts};
use wax_types::TimePoint;
use wax_wire::PoolBody;

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(100_000 + millis)
}

fn before(time: TimePoint) -> TimePoint {
    TimePoint(time.0 - 1)
}

fn outbox() -> UnboundedSender<PoolBody> {
    unbounded().0
}

fn worker_key() -> WorkerKey {
    SlotMap::<WorkerKey, ()>::with_key().insert(())
}

/// Returns a boot without a start time.
fn boot(worker: &str) -> BootId {
    worker.into()
}

fn row(worker: &str) -> AgentRow {
    AgentRow {
        node: "side".into(),
        worker: worker.into(),
        ..Default::default()
    }
}

fn unlinked(worker: &str, jobs: &[u64]) -> AgentRow {
    AgentRow {
        unlinked: true,
        jobs: jobs.to_vec(),
        ..row(worker)
    }
}

fn only(jobs: &[u64]) -> UnreconciledRuns {
    UnreconciledRuns::Only(jobs.iter().map(|job| JobName(*job)).collect())
}

fn removed(node: &str) -> Vec<(Box<str>, AgentUpdate)> {
    vec![(node.into(), AgentUpdate::Removed)]
}

struct Case {
    roster: AgentRoster,
    timeouts: OwnerTimeouts,
}

impl Case {
    fn new() -> Self {
        Self {
            roster: AgentRoster::default(),
            timeouts: OwnerTimeouts::default(),
        }
    }

    fn load(&mut self, node: &str, row: &AgentRow) {
        self.roster
            .load(node, row, at(15_000), &EndedBoots::default());
    }

    fn open(&mut self, node: &str, link: u64, millis: u64) {
        self.roster
            .open(node, link, &outbox(), at(millis), &self.timeouts);
    }

    fn close(&mut self, node: &str, link: u64, millis: u64) {
        self.roster.close(node, link, at(millis), &self.timeouts);
    }

    /// Links an agent, stores its worker's row and reconciles the worker's runs.
    fn join(&mut self, node: &str, link: u64, worker: (WorkerKey, &str), millis: u64) {
        self.open(node, link, millis);
        self.roster.ensure_row(node, &boot(worker.1));
        let updates = self.roster.take_updates(100);
        self.roster.updates_stored(&updates);
        assert!(
            self.roster.ensure_row(node, &boot(worker.1)),
            "the store has the row"
        );
        self.roster.set_reconciled(node, worker.0, &boot(worker.1));
    }
}

#[test]
fn agent_without_a_worker_is_not_awaited_after_it_disconnects() {
    let mut case = Case::new();
    case.open("side-1", 1, 0);
    case.close("side-1", 1, 1_000);
    assert!(case.roster.unreconciled_runs().is_none());
    let expired = case.roster.remove_expired(at(60_000), at(60_000));
    assert!(expired.nodes.is_empty(), "no agent was awaited");
}

#[test]
fn agent_that_disconnects_before_its_first_order_leaves_no_row() {
    let mut case = Case::new();
    case.open("side-1", 1, 0);
    assert!(!case.roster.ensure_row("side-1", &boot("w1")));
    let queued = case.roster.take_updates(100);
    assert_eq!(queued.len(), 1);
    case.close("side-1", 1, 50);
    case.roster.updates_stored(&queued);
    assert_eq!(case.roster.take_updates(100), removed("side-1"));
}

#[test]
fn agent_that_does_not_know_the_previous_worker_leaves_its_runs_unreconciled() {
    let mut case = Case::new();
    case.load("side-1", &row("w1"));
    case.open("side-1", 1, 0);
    assert_eq!(case.roster.unreconciled_runs(), UnreconciledRuns::Any);
    case.close("side-1", 1, 1_000);
    let unreconciled = case.roster.unreconciled_runs();
    assert_eq!(
        unreconciled,
        UnreconciledRuns::Any,
        "the worker may still run without its agent"
    );
    let early = case.roster.remove_expired(at(14_999), at(14_999));
    assert!(early.nodes.is_empty());
    case.roster.remove_expired(at(15_000), at(15_000));
    assert!(case.roster.unreconciled_runs().is_none());
}

#[test]
fn ended_worker_is_not_awaited_whoever_reports_its_end() {
    for by_agent in [true, false] {
        let mut case = Case::new();
        case.load("side-1", &row("w1"));
        case.load("side-2", &row("w2"));
        if by_agent {
            case.open("side-1", 1, 0);
            case.roster.worker_ended("side-1", &boot("w1"));
        } else {
            let waited_for = case.roster.boot_ended(&boot("w1"));
            assert_eq!(waited_for.as_deref(), Some("side-1"));
        }
        assert_eq!(
            case.roster.unreconciled_agents(),
            1,
            "only the other agent is awaited"
        );
        assert_eq!(case.roster.take_updates(100), removed("side-1"));
    }
}

#[test]
fn worker_that_ended_before_the_takeover_is_not_awaited() {
    let mut ended_boots = EndedBoots::default();
    ended_boots.record(&boot("w1"));
    let mut case = Case::new();
    case.roster
        .load("side-1", &row("w1"), at(15_000), &ended_boots);
    assert!(case.roster.unreconciled_runs().is_none());
    assert_eq!(case.roster.take_updates(100), removed("side-1"));
}

#[test]
fn end_of_an_earlier_boot_does_not_affect_the_current_boot() {
    let key = worker_key();
    let mut case = Case::new();
    case.load("side-1", &row("w1"));
    case.join("side-1", 1, (key, "w2"), 0);
    assert_eq!(case.roster.boot_ended(&boot("w1")), None);
    assert!(case.roster.worker_ended("side-1", &boot("w1")).is_none());
    assert!(
        case.roster.outbox(key).is_some(),
        "the worker may receive orders"
    );
}

#[test]
fn disconnected_agent_is_stored_with_the_jobs_that_may_run_there() {
    let key = worker_key();
    let mut case = Case::new();
    case.join("side-1", 1, (key, "w1"), 0);
    case.close("side-1", 1, 1_000);
    let jobs = |_| BTreeSet::from([JobName(7)]);
    case.roster.queue_unlinked(at(1_500), jobs);
    assert!(
        !case.roster.has_updates(),
        "a short interruption of the link changes no row"
    );
    case.roster.queue_unlinked(at(2_100), jobs);
    let boot = boot("w1");
    let jobs = BTreeSet::from([JobName(7)]);
    let update = AgentUpdate::Unlinked { boot, jobs };
    assert_eq!(
        case.roster.take_updates(100),
        vec![("side-1".into(), update)]
    );
}

/// If a worker received an order although its row forbids orders, the next owner would not take the
/// run into account.
#[test]
fn agent_stored_as_unlinked_gets_no_order_until_stored_as_linked() {
    let key = worker_key();
    let mut case = Case::new();
    case.join("side-1", 1, (key, "w1"), 0);
    case.close("side-1", 1, 1_000);
    case.roster.queue_unlinked(at(2_100), |_| BTreeSet::new());
    let unlinked_updates = case.roster.take_updates(100);
    // The agent links again while the row is being written.
    case.open("side-1", 2, 2_150);
    assert!(!case.roster.ensure_row("side-1", &boot("w1")));
    case.roster.updates_stored(&unlinked_updates);
    assert!(
        !case.roster.ensure_row("side-1", &boot("w1")),
        "the row that permits orders is not stored yet"
    );
    assert!(case.roster.outbox(key).is_none());
    let back = case.roster.take_updates(100);
    case.roster.updates_stored(&back);
    assert!(case.roster.ensure_row("side-1", &boot("w1")));
    case.roster.set_reconciled("side-1", key, &boot("w1"));
    assert!(case.roster.outbox(key).is_some());
}

/// Guards against a task of an earlier term that runs again after its end: its worker counted as
/// reconciled although it had further ends.
#[test]
fn worker_with_further_ends_holds_back_tasks_of_earlier_terms() {
    let mut case = Case::new();
    let key = worker_key();
    case.load("side-1", &row("w1"));
    case.open("side-1", 1, 0);
    case.roster.set_listed("side-1", key, &boot("w1"));
    assert_eq!(case.roster.unreconciled_runs(), UnreconciledRuns::Any);
    assert!(case.roster.outbox(key).is_some(), "ends are acknowledged");
    let expired = case.roster.remove_expired(at(60_000), at(60_000));
    assert!(expired.nodes.is_empty(), "the agent extends the leases");
    assert_eq!(case.roster.boot_ended(&boot("w1")), None);
    case.close("side-1", 1, 61_000);
    case.roster.queue_unlinked(at(63_000), |_| BTreeSet::new());
    assert!(!case.roster.has_updates(), "the next owner must wait, too");
    case.open("side-1", 2, 64_000);
    case.roster.set_reconciled("side-1", key, &boot("w1"));
    assert!(case.roster.unreconciled_runs().is_none());
}

#[test]
fn unlinked_rows_hold_back_only_their_jobs() {
    let mut case = Case::new();
    case.load("side-1", &unlinked("w1", &[7]));
    case.load("side-2", &unlinked("w2", &[7, 8]));
    assert_eq!(case.roster.unreconciled_runs(), only(&[7, 8]));
    case.load("side-3", &row("w3"));
    assert_eq!(case.roster.unreconciled_runs(), UnreconciledRuns::Any);
}

#[test]
fn row_of_an_older_version_may_cover_any_run() {
    let mut case = Case::new();
    case.load("side-1", &AgentRow::default());
    assert_eq!(case.roster.unreconciled_runs(), UnreconciledRuns::Any);
    assert_eq!(
        case.roster.boot_ended(&boot("")),
        None,
        "an empty id names no boot"
    );
}

/// Until the store confirms the term, another owner may have had contact with the agent and
/// extended its leases.
#[test]
fn leases_expire_only_after_the_store_has_confirmed_the_term() {
    let key = worker_key();
    let mut case = Case::new();
    case.join("side-1", 1, (key, "w1"), 0);
    case.close("side-1", 1, 100);
    let unconfirmed = case.roster.remove_expired(at(60_000), at(2_000));
    assert!(unconfirmed.workers.is_empty(), "the term may have ended");
    let confirmed = case.roster.remove_expired(at(60_000), at(59_900));
    assert_eq!(confirmed.workers, vec![key]);
}

#[test]
fn takeover_with_many_agents_writes_bounded_batches() {
    let mut case = Case::new();
    for number in 0..250 {
        let node = format!("side-{number}");
        case.open(&node, number, 0);
        case.roster.ensure_row(&node, &boot(&format!("w{number}")));
    }
    let mut taken = 0;
    while case.roster.has_updates() {
        let updates = case.roster.take_updates(32);
        assert!(updates.len() <= 32);
        taken += updates.len();
        case.roster.updates_stored(&updates);
    }
    assert_eq!(taken, 250);
}

#[test]
fn grants_of_the_former_owner_delay_the_expiry() {
    let mut case = Case::new();
    let worker = worker_key();
    case.load("side-1", &row("w1"));
    case.join("side-1", 1, (worker, "w1"), 1_000);
    case.close("side-1", 1, 2_000);
    // The former owner may have extended the grant until the link was opened, but not later.
    let bound = at(1_000) + case.timeouts.expiry_after_release();
    let early = case.roster.remove_expired(before(bound), before(bound));
    assert!(
        early.workers.is_empty(),
        "leases may be valid until the bound"
    );
    let expired = case.roster.remove_expired(bound, bound);
    assert_eq!(expired.workers, [worker]);
}

/// The worker's boot holds leases by the clock of its previous boot, which no grant bounds. Guards
/// against second runs of its tasks while these leases are valid.
#[test]
fn leases_that_an_agent_reports_delay_the_expiry() {
    let mut case = Case::new();
    let worker = worker_key();
    case.join("side-1", 1, (worker, "w1"), 0);
    case.roster.extend_leases("side-1", at(10_700));
    case.close("side-1", 1, 500);
    let early = case
        .roster
        .remove_expired(before(at(10_700)), before(at(10_700)));
    assert!(early.workers.is_empty(), "leases are valid until the end");
    let expired = case.roster.remove_expired(at(10_700), at(10_700));
    assert_eq!(expired.workers, [worker]);
}

/// Guards against an earlier expiry of leases that are reported while their expiry is awaited.
#[test]
fn leases_that_are_reported_on_a_new_link_delay_an_expiry_that_is_awaited() {
    let mut case = Case::new();
    let worker = worker_key();
    case.join("side-1", 1, (worker, "w1"), 0);
    case.close("side-1", 1, 500);
    case.open("side-1", 2, 1_000);
    case.roster.extend_leases("side-1", at(12_000));
    case.close("side-1", 2, 1_100);
    let early = case
        .roster
        .remove_expired(before(at(12_000)), before(at(12_000)));
    assert!(early.workers.is_empty(), "leases are valid until the end");
}

/// A new owner that has not heard of an agent waits for the longest lease, whatever was granted.
#[test]
fn a_takeover_waits_for_the_longest_lease_of_a_slow_worker() {
    let timeouts = OwnerTimeouts::default();
    let longest = Duration::from_millis(10_204);
    for former_owner_ended in [false, true] {
        let expiry = timeouts.expiry_of_unreported(former_owner_ended);
        assert!(expiry >= longest + timeouts.clock_slack);
    }
}

/// A worker crashed and started again under the same id, and the row names the later boot.
#[test]
fn end_of_a_boot_does_not_affect_a_later_boot_of_the_same_worker() {
    let before = BootId::new("w1", Some(1_000));
    let started = |started_ms| AgentRow {
        started_ms,
        ..row("w1")
    };
    let mut ended_boots = EndedBoots::default();
    assert!(ended_boots.record(&before));
    let mut case = Case::new();
    case.roster
        .load("side-1", &started(Some(2_000)), at(15_000), &ended_boots);
    assert_eq!(case.roster.boot_ended(&before), None);
    assert_eq!(
        case.roster.unreconciled_agents(),
        1,
        "the later boot is awaited"
    );
    case.roster
        .load("side-2", &started(None), at(15_000), &ended_boots);
    assert_eq!(
        case.roster.unreconciled_agents(),
        2,
        "a row without a start time may belong to either boot"
    );
    case.roster
        .load("side-3", &started(Some(1_000)), at(15_000), &ended_boots);
    assert_eq!(
        case.roster.unreconciled_agents(),
        2,
        "the boot of this row has ended"
    );
}

/// A single event for all rows would wake every waiting link at each transaction of a takeover.
#[test]
fn stored_row_wakes_only_the_link_that_waits_for_it() {
    let mut case = Case::new();
    for (link, node) in (1..).zip(["side-1", "side-2"]) {
        case.open(node, link, 0);
        assert!(!case.roster.ensure_row(node, &boot(node)));
    }
    let mut waits = ["side-1", "side-2"].map(|node| case.roster.listen_row(node));
    let updates = case.roster.take_updates(100);
    let (first, _): (Vec<_>, Vec<_>) = updates
        .into_iter()
        .partition(|(node, _)| **node == *"side-1");
    case.roster.updates_stored(&first);
    let woken = waits.each_mut().map(|wait| {
        let wait = wait.as_mut().expect("the agent is known");
        wait.now_or_never().is_some()
    });
    assert_eq!(woken, [true, false]);
}

/// A link that has been replaced must not wait forever.
#[test]
fn newer_link_wakes_the_older_link_that_waits_for_the_row() {
    let mut case = Case::new();
    case.open("side-1", 1, 0);
    assert!(!case.roster.ensure_row("side-1", &boot("w1")));
    let mut wait = case
        .roster
        .listen_row("side-1")
        .expect("the agent is known");
    case.open("side-1", 2, 100);
    assert!((&mut wait).now_or_never().is_some());
}

#[test]
fn agent_that_disconnects_during_the_write_is_stored_as_unlinked_later() {
    let mut case = Case::new();
    let key = worker_key();
    case.join("side-1", 1, (key, "w1"), 0);
    case.open("side-1", 2, 100);
    let next = boot("w2");
    assert!(!case.roster.ensure_row("side-1", &next));
    let linked = case.roster.take_updates(100);
    case.close("side-1", 2, 200);
    case.roster.queue_unlinked(at(5_000), |_| BTreeSet::new());
    assert!(!case.roster.has_updates(), "the row is still being written");
    case.roster.updates_stored(&linked);
    case.roster.queue_unlinked(at(5_100), |_| BTreeSet::new());
    assert!(
        case.roster.has_updates(),
        "the stored row must be marked as unlinked"
    );
}

/// The worker may have executed a start after a restart under its id, with a lease by the clock of the
/// boot before. Guards against second runs of such tasks while the agent has reported neither.
#[test]
fn an_agent_with_unconfirmed_starts_is_awaited_for_the_longest_lease_after_its_grant() {
    let mut case = Case::new();
    let worker = worker_key();
    case.join("side-1", 1, (worker, "w1"), 0);
    case.close("side-1", 1, 500);
    let grant_end = at(0) + case.timeouts.grant;
    let by_grant = grant_end + case.timeouts.expiry_after_grant();
    let bound = grant_end + case.timeouts.expiry_of_any_lease();
    let mut awaited_at = |now: TimePoint| {
        let awaited = (case.roster).await_unconfirmed(now, &case.timeouts, |_| true);
        (awaited, case.roster.remove_expired(now, now).workers)
    };
    assert_eq!(awaited_at(before(by_grant)), (vec![], vec![]));
    assert_eq!(awaited_at(by_grant), (vec![worker], vec![]));
    assert_eq!(awaited_at(before(bound)), (vec![], vec![]));
    assert_eq!(awaited_at(bound), (vec![], vec![worker]));
}

#[test]
fn an_agent_without_unconfirmed_starts_is_not_awaited_any_longer() {
    let mut case = Case::new();
    let worker = worker_key();
    case.join("side-1", 1, (worker, "w1"), 0);
    case.close("side-1", 1, 500);
    let by_grant = at(0) + case.timeouts.expiry_after_release();
    let awaited = (case.roster).await_unconfirmed(by_grant, &case.timeouts, |_| false);
    assert!(awaited.is_empty());
    let expired = case.roster.remove_expired(by_grant, by_grant);
    assert_eq!(expired.workers, [worker]);
}
