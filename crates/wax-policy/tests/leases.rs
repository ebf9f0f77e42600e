//! When an owner may take a worker's leases for lapsed.

use std::time::Duration;
use wax_policy::{ContactChoice, LeaseTimings, WorkerContact};
use wax_types::TimePoint;

const TERMS: LeaseTimings = LeaseTimings {
    duration: Duration::from_secs(10),
    call_timeout: Duration::from_secs(1),
    clock_margin: Duration::from_secs(1),
    renewal_grace: Duration::from_secs(60),
};

fn at(seconds: u64) -> TimePoint {
    TimePoint::from_millis(seconds * 1_000)
}

fn doubted(mut contact: WorkerContact) -> WorkerContact {
    for _ in 0..3 {
        contact.note_failure();
    }
    contact
}

#[test]
fn a_silent_worker_is_asked_until_its_last_lease_has_lapsed() {
    let mut contact = WorkerContact::after_takeover(at(0), &TERMS);
    contact.note_answer(at(0), &TERMS);
    contact.note_renewal(at(100), &TERMS);
    let contact = doubted(contact);
    assert_eq!(contact.decide(at(101)), ContactChoice::Probe);
    assert_eq!(contact.decide(at(111)), ContactChoice::Probe);
    assert_eq!(contact.decide(at(112)), ContactChoice::Lapsed);
}

#[test]
fn after_a_takeover_the_owner_before_may_have_renewed_until_its_grace_ended() {
    let contact = doubted(WorkerContact::after_takeover(at(100), &TERMS));
    assert_eq!(contact.decide(at(171)), ContactChoice::Probe);
    assert_eq!(contact.decide(at(172)), ContactChoice::Lapsed);
}

#[test]
fn a_worker_that_answered_has_fenced_the_owner_before() {
    let mut contact = WorkerContact::after_takeover(at(100), &TERMS);
    contact.note_answer(at(101), &TERMS);
    let contact = doubted(contact);
    assert_eq!(contact.decide(at(112)), ContactChoice::Probe);
    assert_eq!(contact.decide(at(113)), ContactChoice::Lapsed);
}

#[test]
fn no_renewal_is_risked_on_a_worker_in_doubt() {
    let mut contact = WorkerContact::after_takeover(at(0), &TERMS);
    contact.note_answer(at(0), &TERMS);
    assert_eq!(contact.decide(at(1)), ContactChoice::Renew);
    let mut contact = doubted(contact);
    assert_ne!(contact.decide(at(1)), ContactChoice::Renew);
    contact.note_answer(at(2), &TERMS);
    assert_eq!(contact.decide(at(2)), ContactChoice::Renew);
}
