//! Which fronts are told of dead boots: those that may take over next, each of each boot once.

use futures_channel::mpsc::{UnboundedReceiver, unbounded};
use wax_batch::BootId;
use wax_owner::{FrontLife, FrontRoster, GoneBoots, OwnerFitness};
use wax_policy::is_watcher;
use wax_types::TimePoint;
use wax_wire::PoolBody;

const FRONTS: u64 = 40;

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(100_000 + millis)
}

fn node(number: u64) -> String {
    format!("edge-{number}")
}

struct Case {
    roster: FrontRoster,
    gone: GoneBoots,
    inboxes: Vec<UnboundedReceiver<PoolBody>>,
}

impl Case {
    /// Front 0 is the strongest.
    fn new() -> Self {
        let mut roster = FrontRoster::default();
        let mut inboxes = Vec::new();
        for number in 0..FRONTS {
            let (outbox, inbox) = unbounded();
            let mut life = FrontLife::new(number, outbox, 0, at(0));
            life.heard(OwnerFitness(1_000 - number as u32), false, at(0));
            roster.insert(&node(number), life);
            inboxes.push(inbox);
        }
        Self {
            roster,
            gone: GoneBoots::default(),
            inboxes,
        }
    }

    fn bury(&mut self, boots: std::ops::Range<usize>) {
        for boot in boots {
            self.gone.note(&BootId::from(&*format!("w{boot}")));
        }
        self.roster.tell_watchers(&self.gone);
    }

    fn rank(&mut self, now: TimePoint) {
        self.roster.rank(&node(0), now);
        self.roster.tell_watchers(&self.gone);
    }

    /// How many boots a front was told since the last call.
    fn told(&mut self, number: u64) -> usize {
        let mut boots = 0;
        while let Ok(body) = self.inboxes[number as usize].try_recv() {
            match body {
                PoolBody::BootsEnded(dead) => boots += dead.boots.len(),
                other => panic!("unexpected: {other:?}"),
            }
        }
        boots
    }
}

#[test]
fn fronts_that_may_take_over_next_are_told_at_once_and_once() {
    let mut case = Case::new();
    case.rank(at(0));
    case.bury(0..3);
    case.rank(at(1_000));
    for number in 0..FRONTS {
        let expected = if is_watcher(number as u32) { 3 } else { 0 };
        assert_eq!(case.told(number), expected, "front {number}");
    }
}

#[test]
fn a_front_that_comes_to_be_next_is_told_what_it_has_missed() {
    let mut case = Case::new();
    case.rank(at(0));
    case.bury(0..3);
    let last = case
        .roster
        .get_mut(&node(FRONTS - 1))
        .expect("it is linked");
    last.heard(OwnerFitness(2_000), false, at(500));
    assert_eq!(case.told(FRONTS - 1), 0);
    case.rank(at(500));
    assert_eq!(case.told(FRONTS - 1), 3);
}

/// A front that has just linked may be all that is left when the owner is lost.
#[test]
fn a_front_that_was_not_ranked_yet_is_told() {
    let mut case = Case::new();
    case.bury(0..1);
    assert!((0..FRONTS).all(|number| case.told(number) == 1));
}

#[test]
fn a_release_of_thousands_is_told_in_parts() {
    let mut case = Case::new();
    case.rank(at(0));
    case.bury(0..2_000);
    assert_eq!(case.told(0), 2_000);
}
