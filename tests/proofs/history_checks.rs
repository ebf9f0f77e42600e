//! Tests of the linearizability checker in `support::history`.

use crate::support::history::{HistoryEvent, HistoryModel, is_linearizable};

/// Register with a compare-and-set operation.
struct CasRegister;

impl HistoryModel for CasRegister {
    type State = u64;
    type Input = (u64, u64);
    type Output = bool;

    fn start(&self) -> u64 {
        0
    }

    fn step(&self, state: &u64, (expected, next): &(u64, u64), accepted: &bool) -> Option<u64> {
        match (accepted, state == expected) {
            (true, true) => Some(*next),
            (false, false) => Some(*state),
            _ => None,
        }
    }

    fn step_unknown(&self, state: &u64, (expected, next): &(u64, u64)) -> Vec<u64> {
        if state == expected {
            vec![*state, *next]
        } else {
            vec![*state]
        }
    }
}

fn event(
    input: (u64, u64),
    output: Option<bool>,
    called: u64,
    returned: u64,
) -> HistoryEvent<(u64, u64), bool> {
    HistoryEvent {
        input,
        output,
        called,
        returned,
    }
}

#[test]
fn one_winner_is_allowed() {
    let events = [
        event((0, 1), Some(true), 0, 10),
        event((0, 2), Some(false), 5, 12),
    ];
    assert!(is_linearizable(&CasRegister, &events));
}

#[test]
fn two_winners_are_rejected() {
    let events = [
        event((0, 1), Some(true), 0, 10),
        event((0, 2), Some(true), 5, 12),
    ];
    assert!(!is_linearizable(&CasRegister, &events));
}

#[test]
fn a_refusal_without_a_winner_is_rejected() {
    let events = [event((0, 1), Some(false), 0, 10)];
    assert!(!is_linearizable(&CasRegister, &events));
}

#[test]
fn an_unknown_outcome_may_have_won() {
    let events = [
        event((0, 1), None, 0, 10),
        event((0, 2), Some(false), 20, 30),
    ];
    assert!(is_linearizable(&CasRegister, &events));
}

#[test]
fn a_later_call_does_not_come_before_an_earlier_return() {
    let events = [
        event((0, 1), Some(false), 0, 10),
        event((0, 2), Some(true), 20, 30),
    ];
    assert!(!is_linearizable(&CasRegister, &events));
}
