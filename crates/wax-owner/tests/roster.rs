//! The agents of a term: who is waited for at a takeover, and what the store is told of them.

use futures_channel::mpsc::{UnboundedSender, unbounded};
use futures_util::FutureExt;
use slotmap::SlotMap;
use std::collections::BTreeSet;
use wax_batch::{BootId, JobName, UnreconciledRuns, WorkerKey};
use wax_owner::{AgentNote, AgentRoster, AgentRow, GoneBoots, OwnerSpans};
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

/// A boot that doesn't tell its start time.
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

fn gone(node: &str) -> Vec<(Box<str>, AgentNote)> {
    vec![(node.into(), AgentNote::Gone)]
}

struct Case {
    roster: AgentRoster,
    spans: OwnerSpans,
}

impl Case {
    fn new() -> Self {
        Self {
            roster: AgentRoster::default(),
            spans: OwnerSpans::default(),
        }
    }

    fn load(&mut self, node: &str, row: &AgentRow) {
        self.roster
            .load(node, row, at(15_000), &GoneBoots::default());
    }

    fn open(&mut self, node: &str, link: u64, millis: u64) {
        self.roster
            .open(node, link, &outbox(), at(millis), &self.spans);
    }

    fn close(&mut self, node: &str, link: u64, millis: u64) {
        self.roster.close(node, link, at(millis), &self.spans);
    }

    /// Links an agent, has its worker's row stored and its runs compared.
    fn join(&mut self, node: &str, link: u64, worker: (WorkerKey, &str), millis: u64) {
        self.open(node, link, millis);
        self.roster.ask_row(node, &boot(worker.1));
        let notes = self.roster.take_notes(100);
        self.roster.notes_stored(&notes);
        assert!(
            self.roster.ask_row(node, &boot(worker.1)),
            "the store knows it"
        );
        self.roster.compared(node, worker.0, &boot(worker.1));
    }
}

#[test]
fn an_agent_without_a_worker_that_goes_is_waited_for_by_nobody() {
    let mut case = Case::new();
    case.open("side-1", 1, 0);
    case.close("side-1", 1, 1_000);
    assert!(case.roster.unheard().is_none());
    let lapsed = case.roster.drop_lapsed(at(60_000), at(60_000));
    assert!(lapsed.nodes.is_empty(), "nothing was waited for");
}

#[test]
fn an_agent_that_goes_before_its_first_order_leaves_no_row() {
    let mut case = Case::new();
    case.open("side-1", 1, 0);
    assert!(!case.roster.ask_row("side-1", &boot("w1")));
    let asked = case.roster.take_notes(100);
    assert_eq!(asked.len(), 1);
    case.close("side-1", 1, 50);
    case.roster.notes_stored(&asked);
    assert_eq!(case.roster.take_notes(100), gone("side-1"));
}

#[test]
fn an_agent_that_knows_nothing_of_the_worker_before_holds_its_tasks_back() {
    let mut case = Case::new();
    case.load("side-1", &row("w1"));
    case.open("side-1", 1, 0);
    assert_eq!(case.roster.unheard(), UnreconciledRuns::Any);
    case.close("side-1", 1, 1_000);
    let unheard = case.roster.unheard();
    assert_eq!(
        unheard,
        UnreconciledRuns::Any,
        "the worker may run on alone"
    );
    let early = case.roster.drop_lapsed(at(14_999), at(14_999));
    assert!(early.nodes.is_empty());
    case.roster.drop_lapsed(at(15_000), at(15_000));
    assert!(case.roster.unheard().is_none());
}

#[test]
fn a_worker_that_left_is_waited_for_by_nobody_whoever_says_so() {
    for by_agent in [true, false] {
        let mut case = Case::new();
        case.load("side-1", &row("w1"));
        case.load("side-2", &row("w2"));
        if by_agent {
            case.open("side-1", 1, 0);
            case.roster.worker_gone("side-1", &boot("w1"));
        } else {
            let waited_for = case.roster.boot_dead(&boot("w1"));
            assert_eq!(waited_for.as_deref(), Some("side-1"));
        }
        assert_eq!(case.roster.unheard_agents(), 1, "but for the other one");
        assert_eq!(case.roster.take_notes(100), gone("side-1"));
    }
}

#[test]
fn a_worker_that_left_before_the_takeover_is_not_waited_for() {
    let mut dead = GoneBoots::default();
    dead.note(&boot("w1"));
    let mut case = Case::new();
    case.roster.load("side-1", &row("w1"), at(15_000), &dead);
    assert!(case.roster.unheard().is_none());
    assert_eq!(case.roster.take_notes(100), gone("side-1"));
}

#[test]
fn word_of_an_earlier_boot_says_nothing_of_the_present_one() {
    let key = worker_key();
    let mut case = Case::new();
    case.load("side-1", &row("w1"));
    case.join("side-1", 1, (key, "w2"), 0);
    assert_eq!(case.roster.boot_dead(&boot("w1")), None);
    assert!(case.roster.worker_gone("side-1", &boot("w1")).is_none());
    assert!(case.roster.outbox(key).is_some(), "it gets orders");
}

#[test]
fn an_agent_that_is_away_is_written_down_with_what_may_run_there() {
    let key = worker_key();
    let mut case = Case::new();
    case.join("side-1", 1, (key, "w1"), 0);
    case.close("side-1", 1, 1_000);
    let jobs = |_| BTreeSet::from([JobName(7)]);
    case.roster.note_unlinked(at(1_500), jobs);
    assert!(!case.roster.has_notes(), "links break and are back");
    case.roster.note_unlinked(at(2_100), jobs);
    let boot = boot("w1");
    let jobs = BTreeSet::from([JobName(7)]);
    let note = AgentNote::Unlinked { boot, jobs };
    assert_eq!(case.roster.take_notes(100), vec![("side-1".into(), note)]);
}

/// An order to a worker that gets none by the store is one that no later owner reckons with.
#[test]
fn an_agent_that_was_written_down_gets_no_order_until_the_store_says_otherwise() {
    let key = worker_key();
    let mut case = Case::new();
    case.join("side-1", 1, (key, "w1"), 0);
    case.close("side-1", 1, 1_000);
    case.roster.note_unlinked(at(2_100), |_| BTreeSet::new());
    let away = case.roster.take_notes(100);
    // The link is back while that is written.
    case.open("side-1", 2, 2_150);
    assert!(!case.roster.ask_row("side-1", &boot("w1")));
    case.roster.notes_stored(&away);
    assert!(
        !case.roster.ask_row("side-1", &boot("w1")),
        "not stored yet"
    );
    assert!(case.roster.outbox(key).is_none());
    let back = case.roster.take_notes(100);
    case.roster.notes_stored(&back);
    assert!(case.roster.ask_row("side-1", &boot("w1")));
    case.roster.compared("side-1", key, &boot("w1"));
    assert!(case.roster.outbox(key).is_some());
}

#[test]
fn agents_that_were_written_down_hold_back_only_their_jobs() {
    let mut case = Case::new();
    case.load("side-1", &unlinked("w1", &[7]));
    case.load("side-2", &unlinked("w2", &[7, 8]));
    assert_eq!(case.roster.unheard(), only(&[7, 8]));
    case.load("side-3", &row("w3"));
    assert_eq!(case.roster.unheard(), UnreconciledRuns::Any);
}

#[test]
fn a_row_of_an_older_version_may_stand_for_any_run() {
    let mut case = Case::new();
    case.load("side-1", &AgentRow::default());
    assert_eq!(case.roster.unheard(), UnreconciledRuns::Any);
    assert_eq!(
        case.roster.boot_dead(&boot("")),
        None,
        "no boot is named so"
    );
}

/// Another owner may have heard the agent and extended its leases while this one could not know it.
#[test]
fn leases_count_as_lapsed_only_once_the_store_has_confirmed_the_term_since() {
    let key = worker_key();
    let mut case = Case::new();
    case.join("side-1", 1, (key, "w1"), 0);
    case.close("side-1", 1, 100);
    let unconfirmed = case.roster.drop_lapsed(at(60_000), at(2_000));
    assert!(unconfirmed.workers.is_empty(), "the term may be over");
    let confirmed = case.roster.drop_lapsed(at(60_000), at(59_900));
    assert_eq!(confirmed.workers, vec![key]);
}

#[test]
fn a_takeover_with_many_agents_writes_in_bounded_parts() {
    let mut case = Case::new();
    for number in 0..250 {
        let node = format!("side-{number}");
        case.open(&node, number, 0);
        case.roster.ask_row(&node, &boot(&format!("w{number}")));
    }
    let mut taken = 0;
    while case.roster.has_notes() {
        let notes = case.roster.take_notes(32);
        assert!(notes.len() <= 32);
        taken += notes.len();
        case.roster.notes_stored(&notes);
    }
    assert_eq!(taken, 250);
}

#[test]
fn what_an_owner_before_granted_holds_although_this_one_has_granted_nothing() {
    let mut case = Case::new();
    let worker = worker_key();
    case.load("side-1", &row("w1"));
    case.join("side-1", 1, (worker, "w1"), 1_000);
    case.close("side-1", 1, 2_000);
    // The owner before may have granted until the link was opened, not later.
    let bound = at(1_000) + case.spans.lapse_after_release();
    let early = case.roster.drop_lapsed(before(bound), before(bound));
    assert!(early.workers.is_empty(), "its leases may hold until then");
    let lapsed = case.roster.drop_lapsed(bound, bound);
    assert_eq!(lapsed.workers, [worker]);
}

/// A worker that crashed and started again under its id: the next owner's row speaks of the later boot.
#[test]
fn the_word_that_a_boot_is_dead_says_nothing_of_the_next_boot_under_its_id() {
    let before = BootId::new("w1", Some(1_000));
    let started = |started_ms| AgentRow {
        started_ms,
        ..row("w1")
    };
    let mut gone = GoneBoots::default();
    assert!(gone.note(&before));
    let mut case = Case::new();
    case.roster
        .load("side-1", &started(Some(2_000)), at(15_000), &gone);
    assert_eq!(case.roster.boot_dead(&before), None);
    assert_eq!(
        case.roster.unheard_agents(),
        1,
        "the later boot is waited for"
    );
    case.roster
        .load("side-2", &started(None), at(15_000), &gone);
    assert_eq!(case.roster.unheard_agents(), 2, "it may be either boot");
    case.roster
        .load("side-3", &started(Some(1_000)), at(15_000), &gone);
    assert_eq!(case.roster.unheard_agents(), 2, "this one is dead");
}

/// With one event for all rows, each transaction of a takeover woke up all links that waited for a row.
#[test]
fn a_row_that_was_stored_wakes_only_whoever_waits_for_it() {
    let mut case = Case::new();
    for (link, node) in (1..).zip(["side-1", "side-2"]) {
        case.open(node, link, 0);
        assert!(!case.roster.ask_row(node, &boot(node)));
    }
    let mut waits = ["side-1", "side-2"].map(|node| case.roster.listen_row(node));
    let notes = case.roster.take_notes(100);
    let (first, _): (Vec<_>, Vec<_>) = notes.into_iter().partition(|(node, _)| **node == *"side-1");
    case.roster.notes_stored(&first);
    let woken = waits.each_mut().map(|wait| {
        let wait = wait.as_mut().expect("the agent is known");
        wait.now_or_never().is_some()
    });
    assert_eq!(woken, [true, false]);
}

/// A link that is replaced must not wait for ever.
#[test]
fn a_newer_link_wakes_whoever_waits_for_the_row() {
    let mut case = Case::new();
    case.open("side-1", 1, 0);
    assert!(!case.roster.ask_row("side-1", &boot("w1")));
    let mut wait = case
        .roster
        .listen_row("side-1")
        .expect("the agent is known");
    case.open("side-1", 2, 100);
    assert!((&mut wait).now_or_never().is_some());
}

#[test]
fn an_agent_whose_link_goes_while_it_is_written_down_is_written_down_again() {
    let mut case = Case::new();
    let key = worker_key();
    case.join("side-1", 1, (key, "w1"), 0);
    case.open("side-1", 2, 100);
    let next = boot("w2");
    assert!(!case.roster.ask_row("side-1", &next));
    let linked = case.roster.take_notes(100);
    case.close("side-1", 2, 200);
    case.roster.note_unlinked(at(5_000), |_| BTreeSet::new());
    assert!(!case.roster.has_notes(), "its row is on its way");
    case.roster.notes_stored(&linked);
    case.roster.note_unlinked(at(5_100), |_| BTreeSet::new());
    assert!(case.roster.has_notes(), "the row says that it is linked");
}
