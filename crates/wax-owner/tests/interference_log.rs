//! Checks that each agent receives each change of an interference estimate once, at any heartbeat
//! period.

use std::time::Duration;
use wax_owner::{InterferenceLog, PendingInterference};
use wax_policy::PairInterference;
use wax_types::TimePoint;
use wax_wire::{InterferenceFrame, InterferenceUpdate};

const SECOND: Duration = Duration::from_secs(1);

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(100_000 + millis)
}

fn pair(best_effort: &str, per_core: f64) -> InterferenceFrame {
    let interference = PairInterference {
        per_core,
        precision: 10.0,
    };
    InterferenceFrame::new("serving", best_effort, interference)
}

fn changes(pairs: &[InterferenceFrame]) -> PendingInterference {
    PendingInterference::Changes(InterferenceUpdate {
        pairs: pairs.to_vec(),
        headrooms: Vec::new(),
    })
}

#[test]
fn changes_of_one_round_are_sent_together_and_once() {
    let mut log = InterferenceLog::default();
    log.record(pair("a", 0.1), at(0));
    log.record(pair("b", 0.2), at(300));
    log.record(pair("a", 0.3), at(600));
    assert_eq!(log.updates_after(0, at(999)), PendingInterference::Nothing);
    let expected = changes(&[pair("a", 0.3), pair("b", 0.2)]);
    assert_eq!(log.updates_after(0, at(1_000)), expected);
    assert_eq!(
        log.updates_after(0, at(1_100)),
        expected,
        "the log keeps no state per agent"
    );
    assert_eq!(
        log.updates_after(1, at(1_200)),
        PendingInterference::Nothing
    );
}

#[test]
fn agent_with_infrequent_heartbeats_gets_several_rounds() {
    let mut log = InterferenceLog::default();
    for round in 0..3_u32 {
        log.record(pair("a", f64::from(round)), at(u64::from(round) * 2_000));
        log.updates_after(0, at(u64::from(round) * 2_000 + 1_000));
    }
    let expected = changes(&[pair("a", 1.0), pair("a", 2.0)]);
    assert_eq!(log.updates_after(1, at(9_000)), expected);
}

#[test]
fn agent_that_missed_too_many_rounds_gets_all_pairs() {
    let mut log = InterferenceLog::default();
    let mut now = at(0);
    for _ in 0..20 {
        log.record(pair("a", 0.1), now);
        now = now + SECOND;
        log.updates_after(0, now);
    }
    assert_eq!(log.updates_after(0, now), PendingInterference::All);
    assert_eq!(
        log.updates_after(log.closed_rounds(), now),
        PendingInterference::Nothing
    );
}
