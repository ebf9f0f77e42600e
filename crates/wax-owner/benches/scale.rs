//! The time of an owner's decisions by the size of its pool, under virtual time: no sockets, no sleeps.

#[path = "../tests/scale/play.rs"]
#[allow(dead_code, reason = "shared with the tests, which use all of it")]
mod play;

use divan::Bencher;
use play::{PlayedPool, PoolSize};
use std::time::Duration;

const SIZES: [usize; 4] = [300, 800, 1_600, 3_200];

fn main() {
    divan::main();
}

fn settled(agents: usize) -> PlayedPool {
    PlayedPool::settled(PoolSize::of_agents(agents))
}

#[divan::bench(args = SIZES, sample_count = 5)]
fn a_quiet_second(bencher: Bencher<'_, '_>, agents: usize) {
    bencher
        .with_inputs(|| settled(agents))
        .bench_local_values(|mut pool| pool.run(Duration::from_secs(1)));
}

#[divan::bench(args = SIZES, sample_count = 5)]
fn a_takeover(bencher: Bencher<'_, '_>, agents: usize) {
    bencher
        .with_inputs(|| settled(agents))
        .bench_local_values(|mut pool| {
            pool.take_over();
            pool.run(Duration::from_secs(1));
        });
}

#[divan::bench(args = SIZES, sample_count = 5)]
fn a_ninth_of_the_workers_replaced(bencher: Bencher<'_, '_>, agents: usize) {
    bencher
        .with_inputs(|| settled(agents))
        .bench_local_values(|mut pool| pool.release(0.11, 1));
}
