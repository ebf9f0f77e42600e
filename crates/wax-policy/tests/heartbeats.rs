//! Heartbeats grow no faster than a pool of the size to design for allows.

use std::time::Duration;
use wax_policy::{
    ConfigReader, ConfigRules, DrainRules, agent_heartbeat_period, front_heartbeat_period,
};

const GRANT: Duration = Duration::from_millis(2_500);

fn rules(bound_ms: u64) -> ConfigRules {
    let bound = Duration::from_millis(bound_ms);
    ConfigRules::new(bound, DrainRules::default())
}

macro_rules! agent_cases {
    ($($name:ident: $agents:expr => $period_ms:expr;)*) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(agent_heartbeat_period($agents), Duration::from_millis($period_ms));
            }
        )*
    };
}

agent_cases! {
    one_agent_beats_at_the_usual_period: 1 => 400;
    agents_of_a_pool_of_hundreds_do_too: 300 => 400;
    agents_of_a_larger_pool_beat_more_seldom: 600 => 750;
    agents_never_beat_too_seldom_for_their_grants: 100_000 => 1_000;
}

#[test]
fn two_heartbeats_may_be_lost_within_a_grant() {
    assert!(agent_heartbeat_period(usize::MAX) * 2 < GRANT);
}

/// Whatever the number of fronts, those that go first at a takeover watch closely.
#[test]
fn the_fronts_that_go_first_beat_at_the_usual_period() {
    let usual = front_heartbeat_period(1, 0, &rules(5_000));
    assert_eq!(front_heartbeat_period(2_000, 7, &rules(5_000)), usual);
    assert!(front_heartbeat_period(2_000, 8, &rules(5_000)) > usual);
}

/// A front that hears too late of the owner's readings would read the operator's rows itself.
#[test]
fn a_front_hears_of_each_reading_of_the_owner_in_time() {
    for bound_ms in [2_000, 3_000, 5_000, 60_000] {
        let rules = rules(bound_ms);
        let heard = rules.refresh_age(ConfigReader::Owner)
            + front_heartbeat_period(usize::MAX, 100, &rules);
        assert!(heard < rules.refresh_age(ConfigReader::Front), "{bound_ms}");
    }
}
