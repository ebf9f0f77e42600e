//! The interval of heartbeats must grow with the pool, so that the owner's load stays bounded.

use std::time::Duration;
use wax_policy::{
    ConfigReader, ConfigRules, DrainRules, agent_heartbeat_period, front_heartbeat_period,
};

/// Time after a heartbeat for which the owner grants authority to an agent.
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
    single_agent_uses_the_base_period: 1 => 400;
    hundreds_of_agents_use_the_base_period: 300 => 400;
    larger_pools_use_a_longer_period: 600 => 750;
    period_is_capped_for_huge_pools: 100_000 => 1_000;
}

/// Two lost heartbeats in a row must not end an agent's grant.
#[test]
fn two_heartbeats_can_be_lost_within_a_grant() {
    assert!(agent_heartbeat_period(usize::MAX) * 2 < GRANT);
}

/// Early candidates must notice a lost owner early, however many fronts there are.
#[test]
fn early_candidates_keep_the_base_period() {
    let base_period = front_heartbeat_period(1, 0, &rules(5_000));
    assert_eq!(front_heartbeat_period(2_000, 7, &rules(5_000)), base_period);
    assert!(front_heartbeat_period(2_000, 8, &rules(5_000)) > base_period);
}

/// A front that learns too late of the owner's reads would read the operator's rows itself, and the
/// store's load would grow with the number of fronts.
#[test]
fn front_learns_of_each_owner_read_before_reading_itself() {
    for bound_ms in [2_000, 3_000, 5_000, 60_000] {
        let rules = rules(bound_ms);
        let report_age = rules.refresh_age(ConfigReader::Owner)
            + front_heartbeat_period(usize::MAX, 100, &rules);
        assert!(
            report_age < rules.refresh_age(ConfigReader::Front),
            "{bound_ms}"
        );
    }
}
