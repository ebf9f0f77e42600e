//! Measures the time that an owner's decisions take by the size of its pool, under virtual time,
//! without sockets and sleeps.

#[path = "../tests/scale/simulation.rs"]
#[allow(dead_code, reason = "shared with the tests, which use all of it")]
mod simulation;

use divan::Bencher;
use simulation::{PoolSize, SimulatedPool};
use std::time::Duration;

const SIZES: [usize; 4] = [300, 800, 1_600, 3_200];

fn main() {
    divan::main();
}

fn settled(agents: usize) -> SimulatedPool {
    SimulatedPool::settled(PoolSize::of_agents(agents))
}

#[divan::bench(args = SIZES, sample_count = 5)]
fn idle_second(bencher: Bencher<'_, '_>, agents: usize) {
    bencher
        .with_inputs(|| settled(agents))
        .bench_local_values(|mut pool| pool.run(Duration::from_secs(1)));
}

#[divan::bench(args = SIZES, sample_count = 5)]
fn takeover(bencher: Bencher<'_, '_>, agents: usize) {
    bencher
        .with_inputs(|| settled(agents))
        .bench_local_values(|mut pool| {
            pool.take_over();
            pool.run(Duration::from_secs(1));
        });
}

#[divan::bench(args = SIZES, sample_count = 5)]
fn ninth_of_the_workers_replaced(bencher: Bencher<'_, '_>, agents: usize) {
    bencher
        .with_inputs(|| settled(agents))
        .bench_local_values(|mut pool| pool.restart_workers(0.11, 1));
}
