//! Cost of single scheduling decisions at the target scale, and above and below it to show how the
//! cost grows.

use divan::Bencher;
use fastrand::Rng;
use std::time::Duration;
use wax_policy::{
    CustomerWeights, KindTable, PairTable, PlacementContext, PlacementPolicy, RoutePolicy,
    RouteTable, RunningTask, TaskDemand, TeamLimits, TeamTable, UpstreamView, WorkerTable,
};
use wax_types::{JobId, ResourceVector, TaskId, TimePoint};

/// Target scale: 20,500 running tasks on 750 workers.
const TASKS_PER_WORKER: usize = 27;
/// Number of task kinds at the target scale of 330 teams.
const KINDS: usize = 660;
const NOW: TimePoint = TimePoint::from_millis(100_000_000);

fn main() {
    divan::main();
}

struct PlaceSetup {
    table: WorkerTable,
    pairs: PairTable,
    kinds: Vec<wax_policy::KindKey>,
}

fn place_setup(workers: usize) -> PlaceSetup {
    let mut rng = Rng::with_seed(1);
    let mut names = KindTable::default();
    let kinds: Vec<_> = (0..KINDS)
        .map(|n| names.key(&format!("kind-{n}")))
        .collect();
    let mut pairs = PairTable::default();
    for _ in 0..20_000 {
        let (affected, neighbour) = (kinds[rng.usize(..KINDS)], kinds[rng.usize(..KINDS)]);
        let band = wax_policy::LoadBand::of(rng.f64());
        pairs.learn(affected, &[neighbour], band, rng.f64());
    }
    let mut table = WorkerTable::default();
    for worker in 0..workers {
        let key = table.add(ResourceVector::new(32_000, 128_000, 0));
        for task in 0..TASKS_PER_WORKER {
            let urgent = task < 2;
            table.reserve(
                key,
                RunningTask {
                    task: TaskId {
                        job: JobId(1),
                        index: (worker * TASKS_PER_WORKER + task) as u32,
                    },
                    kind: kinds[rng.usize(..KINDS)],
                    size: ResourceVector::new(1_100, 4_000, 0),
                    urgent,
                    evictable: !urgent,
                    saved_at: NOW - Duration::from_secs(rng.u64(1..3_600)),
                    protected_until: NOW,
                    due_today: false,
                },
            );
        }
    }
    PlaceSetup {
        table,
        pairs,
        kinds,
    }
}

fn place(bencher: Bencher<'_, '_>, workers: usize, size: ResourceVector, urgent: bool) {
    let mut setup = place_setup(workers);
    let mut rng = Rng::with_seed(2);
    bencher.bench_local(|| {
        let demand = TaskDemand {
            kind: setup.kinds[rng.usize(..KINDS)],
            size,
            urgent,
        };
        let context = PlacementContext {
            pairs: &setup.pairs,
            weights: CustomerWeights::default(),
            avoid: &[],
            policy: PlacementPolicy::Weighed,
        };
        setup.table.choose(NOW, demand, context, &mut rng)
    });
}

#[divan::bench(args = [75, 750, 7_500])]
fn placement_with_free_capacity(bencher: Bencher<'_, '_>, workers: usize) {
    place(
        bencher,
        workers,
        ResourceVector::new(1_000, 2_000, 0),
        false,
    );
}

#[divan::bench(args = [75, 750, 7_500])]
fn placement_by_eviction(bencher: Bencher<'_, '_>, workers: usize) {
    place(bencher, workers, ResourceVector::new(8_000, 8_000, 0), true);
}

#[divan::bench(args = [75, 750, 7_500])]
fn routing(bencher: Bencher<'_, '_>, upstreams: usize) {
    let mut table = RouteTable::default();
    for index in 0..upstreams {
        table.add(UpstreamView::new("service", index % 7 == 0, 8, NOW));
    }
    let mut rng = Rng::with_seed(3);
    let deadline = NOW + Duration::from_millis(250);
    bencher.bench_local(|| {
        table.choose(
            NOW,
            "service",
            deadline,
            &[],
            RoutePolicy::Weighed,
            &mut rng,
        )
    });
}

#[divan::bench(args = [3, 330, 3_300])]
fn admission(bencher: Bencher<'_, '_>, teams: usize) {
    let mut table = TeamTable::new(1_000_000);
    let names: Vec<String> = (0..teams).map(|n| format!("team-{n}")).collect();
    let limits = TeamLimits {
        in_flight: 1_000_000,
        weight: 100,
        retry_percent: 10,
        hedge_percent: 4,
    };
    let mut index = 0;
    bencher.bench_local(|| {
        index += 1;
        table.admit(&names[index % teams], limits)
    });
}
