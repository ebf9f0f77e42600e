//! Decisions of the account of clients: who is given up, and what is refused.

use std::time::Duration;
use wax_http::{
    ClientLedger, ClientLimits, ConnectionClass, ConnectionState, OutOfBudget, body_deadline,
};
use wax_types::TimePoint;

fn at(second: u64) -> TimePoint {
    TimePoint::from_millis(second * 1_000)
}

fn ledger(memory_bytes: usize, connections: usize) -> ClientLedger {
    ClientLedger::new(ClientLimits {
        memory_bytes,
        connections,
    })
}

#[test]
fn the_connection_longest_without_progress_is_given_up_for_a_newcomer() {
    let mut ledger = ledger(1_000, 2);
    let (first, _) = ledger.open(10, at(1)).expect("there is room");
    let (second, _) = ledger.open(10, at(2)).expect("there is room");
    ledger.note_progress(first, at(3));
    let (_, given_up) = ledger.open(10, at(4)).expect("one may be given up");
    assert_eq!(given_up, [second]);
    assert_eq!(ledger.connection_count(), 2);
    assert_eq!(ledger.reserved_bytes(), 20);
}

#[test]
fn a_connection_that_is_being_served_is_never_given_up() {
    let mut ledger = ledger(1_000, 1);
    let (first, _) = ledger.open(10, at(1)).expect("there is room");
    ledger.set_state(first, ConnectionState::Serving, at(1));
    let refused = ledger.open(10, at(90)).map(|_| ());
    assert_eq!(refused, Err(OutOfBudget::Connections));
    ledger.set_state(first, ConnectionState::AwaitsClient, at(91));
    let (_, given_up) = ledger.open(10, at(92)).expect("one may be given up");
    assert_eq!(given_up, [first]);
}

#[test]
fn a_body_takes_the_memory_of_others_and_never_its_own() {
    let mut ledger = ledger(100, 10);
    let (first, _) = ledger.open(40, at(1)).expect("there is room");
    let (second, _) = ledger.open(40, at(2)).expect("there is room");
    assert_eq!(ledger.reserve(first, 20), Ok(vec![]));
    assert_eq!(ledger.reserve(first, 30), Ok(vec![second]));
    assert_eq!(ledger.reserve(first, 11), Err(OutOfBudget::Memory));
    assert_eq!(ledger.reserved_bytes(), 90);
}

#[test]
fn nobody_is_given_up_for_what_would_be_refused_all_the_same() {
    let mut ledger = ledger(100, 10);
    let (first, _) = ledger.open(60, at(1)).expect("there is room");
    ledger.set_state(first, ConnectionState::Serving, at(1));
    let (second, _) = ledger.open(20, at(2)).expect("there is room");
    let refused = ledger.open(50, at(3)).map(|_| ());
    assert_eq!(refused, Err(OutOfBudget::Memory));
    assert_eq!(ledger.reserve(second, 1), Ok(vec![]));
}

#[test]
fn what_is_given_back_twice_counts_once() {
    let mut ledger = ledger(100, 1);
    let (first, _) = ledger.open(40, at(1)).expect("there is room");
    assert_eq!(ledger.reserve(first, 10), Ok(vec![]));
    let (second, given_up) = ledger.open(40, at(2)).expect("one may be given up");
    assert_eq!(given_up, [first]);
    assert_eq!(ledger.reserve(first, 10), Err(OutOfBudget::GivenUp));
    ledger.release(first, 10);
    ledger.close(first);
    assert_eq!(ledger.reserved_bytes(), 40);
    ledger.close(second);
    assert_eq!(ledger.reserved_bytes(), 0);
}

#[test]
fn a_body_has_a_grace_a_lowest_rate_and_a_longest_time() {
    let grace = Duration::from_secs(15);
    assert_eq!(body_deadline(at(100), 0).since(at(100)), grace);
    let at_a_rate = body_deadline(at(100), 20 << 10).since(at(100));
    assert_eq!(at_a_rate, grace + Duration::from_secs(20));
    let longest = body_deadline(at(100), 1 << 30).since(at(100));
    assert_eq!(longest, Duration::from_secs(60));
}

/// Guards against clients that lock out the platform's checks and the peers.
#[test]
fn ordinary_connections_leave_room_for_vital_ones() {
    let mut ledger = ledger(100, 4).with_vital_part(ClientLimits {
        memory_bytes: 20,
        connections: 1,
    });
    for second in 1..=3 {
        let (id, _) = ledger.open(20, at(second)).expect("there is room");
        ledger.set_state(id, ConnectionState::Serving, at(second));
    }
    let refused = ledger.open(20, at(4)).map(|_| ());
    assert_eq!(refused, Err(OutOfBudget::Connections));
    let vital = ledger.open_as(ConnectionClass::Vital, 20, at(4));
    let (vital, given_up) = vital.expect("a part is free");
    assert_eq!(given_up, []);
    ledger.close(vital);
    assert_eq!(ledger.connection_count(), 3);
}

/// Guards against a burst of clients that are all given up for each other before their requests arrive.
#[test]
fn a_connection_that_has_just_been_opened_is_not_given_up_for_a_newcomer() {
    let mut ledger = ledger(1_000, 1);
    let (first, _) = ledger.open(10, at(1)).expect("there is room");
    let refused = ledger.open(10, at(1)).map(|_| ());
    assert_eq!(refused, Err(OutOfBudget::Connections));
    let (_, given_up) = ledger.open(10, at(2)).expect("one may be given up");
    assert_eq!(given_up, [first]);
}
