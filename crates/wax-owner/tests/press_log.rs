//! Each agent is told of each change once, whenever its heartbeats come.

use std::time::Duration;
use wax_owner::{PressLog, PressStep};
use wax_policy::PairPress;
use wax_types::TimePoint;
use wax_wire::{InterferenceFrame, InterferenceUpdate};

const SECOND: Duration = Duration::from_secs(1);

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(100_000 + millis)
}

fn pair(filling: &str, per_core: f64) -> InterferenceFrame {
    let press = PairPress {
        per_core,
        weight: 10.0,
    };
    InterferenceFrame::new("serving", filling, press)
}

fn changes(pairs: &[InterferenceFrame]) -> PressStep {
    PressStep::Changes(InterferenceUpdate {
        pairs: pairs.to_vec(),
        headrooms: Vec::new(),
    })
}

#[test]
fn changes_of_a_round_are_told_together_and_once() {
    let mut log = PressLog::default();
    log.note(pair("a", 0.1), at(0));
    log.note(pair("b", 0.2), at(300));
    log.note(pair("a", 0.3), at(600));
    assert_eq!(log.news_after(0, at(999)), PressStep::Nothing);
    let told = changes(&[pair("a", 0.3), pair("b", 0.2)]);
    assert_eq!(log.news_after(0, at(1_000)), told);
    assert_eq!(log.news_after(0, at(1_100)), told, "each agent by itself");
    assert_eq!(log.news_after(1, at(1_200)), PressStep::Nothing);
}

#[test]
fn an_agent_that_beats_seldom_is_told_of_several_rounds() {
    let mut log = PressLog::default();
    for round in 0..3_u32 {
        log.note(pair("a", f64::from(round)), at(u64::from(round) * 2_000));
        log.news_after(0, at(u64::from(round) * 2_000 + 1_000));
    }
    let told = changes(&[pair("a", 1.0), pair("a", 2.0)]);
    assert_eq!(log.news_after(1, at(9_000)), told);
}

#[test]
fn an_agent_that_has_missed_too_much_is_told_of_all() {
    let mut log = PressLog::default();
    let mut now = at(0);
    for _ in 0..20 {
        log.note(pair("a", 0.1), now);
        now = now + SECOND;
        log.news_after(0, now);
    }
    assert_eq!(log.news_after(0, now), PressStep::All);
    assert_eq!(log.news_after(log.closed(), now), PressStep::Nothing);
}
