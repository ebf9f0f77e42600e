//! Jobs under sequences of kills, freezes, outages and lost replies, drawn from a seed.

use crate::billing::billed_cpu;
use crate::support::audit::{all_runs, check_no_overlap, check_resumed_once};
use crate::support::cases;
use crate::support::cluster::{Cluster, ClusterPlan};
use crate::support::{seed, wait_for};
use fastrand::Rng;
use serde_json::json;
use std::time::Duration;

const JOBS: usize = 10;
const TASKS: u32 = 3;
const FAULT_COUNT: usize = 10;

/// Injects one random fault, waits for a random time, and undoes the fault.
async fn inject_fault(cluster: &mut Cluster, rng: &mut Rng) {
    let pause = Duration::from_millis(rng.u64(100..1_500));
    let entry = format!("entry-{}", rng.usize(1..=3));
    let worker = format!("worker-{}", rng.usize(1..=3));
    match rng.u32(0..6) {
        0 => {
            cluster.kill(&entry);
            compio::time::sleep(pause).await;
            cluster.restart(&entry);
        }
        1 => {
            cluster.freeze(&entry);
            compio::time::sleep(pause * 3).await;
            cluster.thaw(&entry);
        }
        2 => {
            cluster.freeze(&worker);
            compio::time::sleep(pause * 2).await;
            cluster.thaw(&worker);
        }
        3 => {
            cluster
                .set_faults("platform", json!({ "down": true }))
                .await;
            compio::time::sleep(pause).await;
            cluster.set_faults("platform", json!({})).await;
        }
        4 => {
            let faults = json!({ "lose_replies_percent": 30, "delay_ms": 20 });
            cluster.set_faults("platform", faults).await;
            compio::time::sleep(pause * 2).await;
            cluster.set_faults("platform", json!({})).await;
        }
        _ => {
            cluster
                .set_faults(&worker, json!({ "cut": true, "usage_repeat": true }))
                .await;
            compio::time::sleep(pause * 3).await;
            cluster
                .set_faults(&worker, json!({ "usage_repeat": true }))
                .await;
        }
    }
}

/// Runs jobs during a sequence of faults. Every task must succeed once, no worker may get more than its
/// capacity, no task may run in two places, and the bill must equal the usage.
async fn run_under_faults(number: u64) {
    let seed = seed("storm").wrapping_add(number);
    let mut rng = Rng::with_seed(seed);
    let mut cluster = Cluster::start(ClusterPlan {
        entries: 3,
        shards: 3,
        ..ClusterPlan::default()
    })
    .await;
    cluster.wait_owned().await;
    let mut jobs = Vec::new();
    for n in 0..JOBS {
        let kind = if n % 4 == 3 { "urgent" } else { "sommaire" };
        let tasks = if kind == "urgent" { 1 } else { TASKS };
        let input = json!({ "work_ms": rng.u64(200..2_500) });
        let key = format!("storm-{n}");
        jobs.push(
            cluster
                .submit_until_accepted(kind, tasks, input, &key)
                .await,
        );
        if n % 2 == 1 {
            inject_fault(&mut cluster, &mut rng).await;
        }
    }
    for _ in JOBS / 2..FAULT_COUNT {
        inject_fault(&mut cluster, &mut rng).await;
    }
    for (n, job) in jobs.iter().enumerate() {
        let view = cluster.wait_ended(job).await;
        for task in view["tasks"].as_array().into_iter().flatten() {
            assert!(
                task["state"]["done"].is_string(),
                "seed {seed}: job {n}: {task}"
            );
        }
    }
    let runs = wait_for("all runs to end", || async {
        let runs = all_runs(&cluster).await;
        runs.iter()
            .all(|run| run.end_ms != u64::MAX)
            .then_some(runs)
    })
    .await;
    check_no_overlap(&runs);
    check_resumed_once(&runs);
    // No worker is killed, so all usage is reported in the end and the bill must be exact.
    let used: u64 = runs.iter().map(|run| run.cpu_milli_seconds).sum();
    let bill = wait_for("the billing of late usage reports", || async {
        let bill = billed_cpu(&cluster, 1).await?;
        (bill >= used).then_some(bill)
    })
    .await;
    assert_eq!(bill, used, "seed {seed}: billed more than was used");
}

cases!(run_under_faults {
    jobs_survive_a_first_fault_sequence: 1,
    jobs_survive_a_second_fault_sequence: 2,
});
