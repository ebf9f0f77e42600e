//! Measures the time that an owner's decisions take by the size of its pool, under virtual time,
//! without sockets and sleeps.

#[path = "../tests/scale/simulation.rs"]
#[allow(dead_code, reason = "shared with the tests, which use all of it")]
mod simulation;

use divan::Bencher;
use simulation::{PoolSize, SimulatedPool};
use std::time::Duration;
use wax_batch::{
    JobName, JobRow, JobScheduler, JobSpec, OwnerClocks, QueueConfig, QueueRules, RunEnd,
    RunEndKind, RunReport, StepSpec, TaskSize, VersionedRules, WorkerKey, WorkerView,
};
use wax_policy::{PerformanceRules, PlacementRules};
use wax_types::TimePoint;

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

/// Returns a scheduler of a pool in which a fifth of the workers is slow, with five short runs and
/// two serving runs on each worker.
fn pool_with_slow_workers(agents: usize) -> JobScheduler {
    let mut scheduler = JobScheduler::new(1, PlacementRules::default());
    scheduler.set_performance_rules(PerformanceRules {
        enabled: 1,
        ..Default::default()
    });
    scheduler.mark_all_reconciled();
    let size = TaskSize {
        cpu_milli: 1_000,
        memory_mb: 100,
        accelerators: 0,
    };
    let step = StepSpec {
        count: agents as u32 * 5,
        size,
        estimate_ms: 1_000,
        max_per_worker: 5,
        ..Default::default()
    };
    let serving = StepSpec {
        count: agents as u32 * 2,
        max_per_worker: 2,
        long_running: true,
        tail_target_ms: 100,
        max_unavailable: Some(1),
        ..step.clone()
    };
    let slow: Vec<WorkerKey> = (0..agents)
        .map(|nth| {
            let view = WorkerView {
                boot: nth.to_string().as_str().into(),
                service: "svc".into(),
                capacity: TaskSize {
                    cpu_milli: 16_000,
                    memory_mb: 60_000,
                    accelerators: 0,
                },
                ..Default::default()
            };
            scheduler.add_worker(view, &nth.to_string())
        })
        .step_by(5)
        .collect();
    let spec = JobSpec {
        text: "".into(),
        steps: vec![serving, step].into(),
        repeat: None,
    };
    let queue = QueueRules {
        name: "queue".into(),
        host: "h".into(),
        prefix: "/q/".into(),
        service: "svc".into(),
        priority: 1,
        max_attempts: 2,
        stretch: 2.0,
        target_latency_ms: 1_000,
        timeout_ms: 0,
        advice: None,
    };
    let rules = VersionedRules {
        version: 1,
        rules: queue.into(),
    };
    let config = QueueConfig {
        version: rules.version,
        queues: vec![rules.rules.clone()],
        ..Default::default()
    };
    scheduler.set_config(config.into(), 0);
    let row = JobRow::new(&spec, &rules, 0, 1);
    let at = TimePoint::from_millis;
    let clocks = OwnerClocks {
        now: at(0),
        wall_ms: 0,
        store_time: None,
    };
    scheduler.add_job(JobName(1), row, None, &clocks);
    let orders = scheduler.place(at(0));
    for (number, order) in (1..).zip(&orders) {
        scheduler.record_start(order.worker, order.run_id, at(0));
        if order.run_id.task.step == 0 {
            let report = RunReport {
                run_id: order.run_id,
                checkpoint: "".into(),
                percent: 100,
                load_metric: 40,
                confirmed_by_worker: true,
            };
            scheduler.record_progress(order.worker, &report, at(0));
        } else if !slow.contains(&order.worker) {
            let end = RunEnd {
                number,
                run_id: order.run_id,
                kind: RunEndKind::Done,
                checkpoint: "".into(),
            };
            scheduler.record_end(order.worker, &end, at(300), 300);
        }
    }
    for worker in &slow {
        scheduler.record_contact(*worker, at(1_100));
    }
    scheduler.review_performance(at(1_200));
    assert_eq!(scheduler.slow_workers().count(), slow.len());
    scheduler
}

/// One of the ten reviews of a second.
#[divan::bench(args = SIZES, sample_count = 5)]
fn review_of_slow_workers(bencher: Bencher<'_, '_>, agents: usize) {
    bencher
        .with_inputs(|| pool_with_slow_workers(agents))
        .bench_local_values(|mut scheduler| {
            let now = TimePoint::from_millis(1_300);
            scheduler.review_performance(now);
            scheduler.move_off_slow(now)
        });
}
