//! Checks which fronts receive ended boots: those that may take over next, and each boot only once.

use futures_channel::mpsc::{UnboundedReceiver, unbounded};
use wax_batch::BootId;
use wax_owner::{EndedBoots, FrontRecord, FrontRoster, OwnerFitness};
use wax_policy::is_early_candidate;
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
    ended_boots: EndedBoots,
    inboxes: Vec<UnboundedReceiver<PoolBody>>,
}

impl Case {
    /// Creates a case in which front 0 is the strongest.
    fn new() -> Self {
        let mut roster = FrontRoster::default();
        let mut inboxes = Vec::new();
        for number in 0..FRONTS {
            let (outbox, inbox) = unbounded();
            let mut front = FrontRecord::new(number, outbox, 0, at(0));
            front.record_heartbeat(OwnerFitness(1_000 - number as u32), false, at(0));
            roster.insert(&node(number), front);
            inboxes.push(inbox);
        }
        Self {
            roster,
            ended_boots: EndedBoots::default(),
            inboxes,
        }
    }

    fn record_ended(&mut self, boots: std::ops::Range<usize>) {
        for boot in boots {
            self.ended_boots.record(&BootId::from(&*format!("w{boot}")));
        }
        self.roster.notify_early_candidates(&self.ended_boots);
    }

    fn rank(&mut self, now: TimePoint) {
        self.roster.rank(&node(0), now);
        self.roster.notify_early_candidates(&self.ended_boots);
    }

    /// Returns how many boots a front has received since the last call.
    fn boots_received(&mut self, number: u64) -> usize {
        let mut boots = 0;
        while let Ok(body) = self.inboxes[number as usize].try_recv() {
            match body {
                PoolBody::BootsEnded(ended) => boots += ended.boots.len(),
                other => panic!("unexpected: {other:?}"),
            }
        }
        boots
    }
}

#[test]
fn early_candidates_receive_each_ended_boot_once() {
    let mut case = Case::new();
    case.rank(at(0));
    case.record_ended(0..3);
    case.rank(at(1_000));
    for number in 0..FRONTS {
        let expected = if is_early_candidate(number as u32) {
            3
        } else {
            0
        };
        assert_eq!(case.boots_received(number), expected, "front {number}");
    }
}

#[test]
fn new_early_candidate_receives_the_ended_boots_it_missed() {
    let mut case = Case::new();
    case.rank(at(0));
    case.record_ended(0..3);
    let last = case
        .roster
        .get_mut(&node(FRONTS - 1))
        .expect("the front is linked");
    last.record_heartbeat(OwnerFitness(2_000), false, at(500));
    assert_eq!(case.boots_received(FRONTS - 1), 0);
    case.rank(at(500));
    assert_eq!(case.boots_received(FRONTS - 1), 3);
}

/// A front that has just linked may be the only one left when the owner fails.
#[test]
fn unranked_front_receives_ended_boots() {
    let mut case = Case::new();
    case.record_ended(0..1);
    assert!((0..FRONTS).all(|number| case.boots_received(number) == 1));
}

#[test]
fn many_ended_boots_are_sent_in_several_messages() {
    let mut case = Case::new();
    case.rank(at(0));
    case.record_ended(0..2_000);
    assert_eq!(case.boots_received(0), 2_000);
}
