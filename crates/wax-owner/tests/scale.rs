//! Checks how the cost of an owner's decisions grows with the size of its pool. The cost is the
//! number of steps, messages and bytes under virtual time.
//!
//! Each assertion is on growth: at twice the size, a count may be at most 2.2 times as large.

mod scale {
    pub(crate) mod simulation;
}

use scale::simulation::{Cost, PoolSize, SimulatedPool};
use std::time::Duration;

/// Numbers of agents that are compared; the largest exceeds the design size.
const SIZES: [usize; 3] = [500, 1_000, 2_000];
/// Largest allowed growth of a count when the size doubles.
const MAX_GROWTH: f64 = 2.2;
/// Smaller counts are raised to this value, as they do not show growth.
const MIN_COUNT: u64 = 200;

/// Runs the same scenario at each size and compares each count with that at half the size.
fn assert_growth(scenario: impl Fn(&mut SimulatedPool)) {
    let costs: Vec<Cost> = SIZES
        .iter()
        .map(|agents| {
            let mut pool = SimulatedPool::settled(PoolSize::of_agents(*agents));
            pool.take_cost();
            scenario(&mut pool);
            pool.take_cost()
        })
        .collect();
    for pair in costs.windows(2) {
        for ((name, small), (_, large)) in pair[0].counts().into_iter().zip(pair[1].counts()) {
            let growth = large as f64 / small.max(MIN_COUNT) as f64;
            assert!(
                growth <= MAX_GROWTH,
                "{name}: {small}, {large} at twice the size"
            );
        }
    }
}

macro_rules! growth_cases {
    ($($name:ident: $scenario:expr;)*) => {
        $(
            #[test]
            fn $name() {
                assert_growth($scenario);
            }
        )*
    };
}

growth_cases! {
    idle_pool_cost_grows_linearly: |pool| pool.run(Duration::from_secs(3));
    config_change_cost_grows_linearly: |pool| {
        pool.change_config();
        pool.run(Duration::from_secs(2));
    };
    takeover_cost_grows_linearly: |pool| {
        pool.take_over();
        pool.run(Duration::from_secs(3));
    };
    rolling_restart_cost_grows_linearly: |pool| {
        pool.restart_workers(0.11, 4);
        pool.run(Duration::from_secs(2));
    };
    agent_loss_cost_grows_linearly: |pool| {
        pool.kill_agents(0.14);
        pool.run(Duration::from_secs(12));
    };
}

/// The growth checks would also pass for an owner that decides nothing, so this test checks that
/// tasks are started.
#[test]
fn tasks_start_after_a_takeover_during_a_rolling_restart() {
    let mut pool = SimulatedPool::settled(PoolSize::of_agents(1_000));
    pool.take_over();
    pool.restart_workers(0.11, 1);
    pool.run(Duration::from_secs(4));
    assert!(pool.starts() >= pool.size().tasks_per_second as u64 * 2);
    assert_eq!(pool.held_back_tasks(), 0, "no task is held back");
}
