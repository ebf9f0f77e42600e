//! No worker gets more than its capacity, a task never runs in two places, and a checkpoint is resumed once.

use crate::support::audit::{all_runs, check_no_overlap, check_resumed_once};
use crate::support::calls::get_json;
use crate::support::cases;
use crate::support::cluster::{Cluster, ClusterPlan};
use crate::support::wait_for;
use serde_json::{Value, json};

/// Fault of the entry that owns the shard of a running task.
#[derive(Debug, Clone, Copy)]
enum OwnerFault {
    Kill,
    /// The entry is suspended until another entry owns the shard, then resumed.
    Freeze,
    Drain,
}

/// Waits until an entry owns a shard; returns the number of the entry.
async fn owner_of_shard(cluster: &Cluster) -> usize {
    wait_for("an owner", || async {
        for n in 1..=2 {
            let status = get_json(&format!("{}/v1/status", cluster.operators(n))).await?;
            if !status["shards"].as_array()?.is_empty() {
                return Some(n);
            }
        }
        None
    })
    .await
}

fn one_shard() -> ClusterPlan {
    ClusterPlan {
        shards: 1,
        ..ClusterPlan::default()
    }
}

/// A takeover adopts running tasks: without a new epoch, without an eviction, and with one result for each task.
/// The number of runs is not checked after a freeze.
async fn takeover(fault: OwnerFault) {
    let mut cluster = Cluster::start(one_shard()).await;
    cluster.wait_owned().await;
    let input = json!({ "work_ms": 6000 });
    let job = cluster
        .submit_until_accepted("sommaire", 3, input, "takeover")
        .await;
    for index in 0..3 {
        cluster.wait_running(&job, index).await;
    }
    let first = owner_of_shard(&cluster).await;
    let name = format!("entry-{first}");
    match fault {
        OwnerFault::Kill => cluster.kill(&name),
        OwnerFault::Freeze => cluster.freeze(&name),
        OwnerFault::Drain => assert_eq!(cluster.drain(&name).await, Some(0)),
    }
    let other = format!("{}/v1/status", cluster.operators(3 - first));
    wait_for("the other entry to own the shard", || async {
        let status = get_json(&other).await?;
        (!status["shards"].as_array()?.is_empty()).then_some(())
    })
    .await;
    if matches!(fault, OwnerFault::Freeze) {
        cluster.thaw(&name);
    }
    let view = cluster.wait_ended(&job).await;
    for task in view["tasks"].as_array().into_iter().flatten() {
        assert!(task["state"]["done"].is_string(), "{task}");
    }
    let runs = all_runs(&cluster).await;
    check_no_overlap(&runs);
    check_resumed_once(&runs);
    if !matches!(fault, OwnerFault::Freeze) {
        assert_eq!(
            runs.len(),
            3,
            "a takeover must adopt running tasks instead of starting them again: {runs:?}"
        );
    }
}

cases!(takeover {
    a_killed_owner_is_replaced_without_an_eviction: OwnerFault::Kill,
    a_frozen_owner_detects_its_replacement_before_it_acts: OwnerFault::Freeze,
    a_drained_owner_hands_over_without_an_eviction: OwnerFault::Drain,
});

/// Tasks of a killed or frozen worker are placed elsewhere only when their leases are known to have expired.
async fn lost_worker(freeze: bool) {
    let mut cluster = Cluster::start(one_shard()).await;
    cluster.wait_owned().await;
    let input = json!({ "work_ms": 3000 });
    let job = cluster
        .submit_until_accepted("sommaire", 1, input, "lost")
        .await;
    let worker = cluster.wait_running(&job, 0).await;
    if freeze {
        cluster.freeze(&worker);
    } else {
        cluster.kill(&worker);
    }
    let moved = wait_for("the task to be placed elsewhere", || async {
        let view = cluster.job(&job).await?;
        let state = &view["tasks"][0];
        let elsewhere = state["epoch"].as_u64()? > 1;
        elsewhere.then_some(())
    });
    moved.await;
    if freeze {
        cluster.thaw(&worker);
    } else {
        cluster.restart(&worker);
    }
    let view = cluster.wait_ended(&job).await;
    assert!(view["tasks"][0]["state"]["done"].is_string(), "{view}");
    check_no_overlap(&all_runs(&cluster).await);
}

cases!(lost_worker {
    a_killed_workers_task_runs_again_elsewhere: false,
    a_frozen_workers_task_never_runs_in_two_places: true,
});

#[test]
fn a_cut_off_workers_task_waits_for_its_lease() {
    crate::support::run(async {
        let cluster = Cluster::start(one_shard()).await;
        cluster.wait_owned().await;
        let input = json!({ "work_ms": 9000 });
        let job = cluster
            .submit_until_accepted("sommaire", 1, input, "cut")
            .await;
        let worker = cluster.wait_running(&job, 0).await;
        // The worker answers no call from now on, and runs its task until the lease expires.
        cluster.set_faults(&worker, json!({ "cut": true })).await;
        wait_for("the task to run elsewhere", || async {
            let view = cluster.job(&job).await?;
            (view["tasks"][0]["epoch"].as_u64()? > 1).then_some(())
        })
        .await;
        cluster.set_faults(&worker, json!({})).await;
        cluster.wait_ended(&job).await;
        check_no_overlap(&all_runs(&cluster).await);
    });
}

#[test]
fn a_lowered_quota_blocks_new_starts_and_a_raised_one_allows_them() {
    crate::support::run(async {
        let cluster = Cluster::start(ClusterPlan::default()).await;
        cluster.wait_owned().await;
        let set = |value: u64| {
            let url = format!("{}/v1/settings", cluster.operators(1));
            let body = json!({
                "author": "test",
                "edits": [{ "path": "/barrages", "key": "quota_cpu_milli", "value": value }],
                "wait_ms": 60_000,
            });
            async move {
                let answer = crate::support::calls::post_json(&url, &body).await;
                assert_eq!(answer.map(|answer| answer.status), Ok(200));
            }
        };
        set(4000).await;
        let input = json!({ "work_ms": 1000 });
        let job = cluster
            .submit_until_accepted("sommaire", 8, input.clone(), "quota")
            .await;
        cluster.wait_ended(&job).await;
        let mut runs = all_runs(&cluster).await;
        runs.sort_by_key(|run| run.start_ms);
        for run in &runs {
            let concurrent = runs
                .iter()
                .filter(|other| other.start_ms <= run.start_ms && run.start_ms < other.end_ms);
            assert!(
                concurrent.count() <= 2,
                "a quota of 4000 allows two tasks of 2000: {runs:?}"
            );
        }
        set(0).await;
        let queued = cluster
            .submit_until_accepted("sommaire", 2, input, "held")
            .await;
        let explained = wait_for("the explanation with the quota as the reason", || async {
            for n in 1..=2 {
                let url = format!("{}/v1/explain?job={queued}", cluster.operators(n));
                let reasons = get_json(&url).await?;
                let reason = reasons[0]["reason"].as_str().unwrap_or_default().to_owned();
                if reason.contains("quota") {
                    return Some(reason);
                }
            }
            None
        })
        .await;
        assert!(
            explained.contains("the quota of team barrages is used"),
            "{explained}"
        );
        set(100_000).await;
        cluster.wait_ended(&queued).await;
    });
}

/// An urgent task evicts batch tasks, and each of them resumes from its checkpoint once.
async fn eviction(lost_replies: u32) {
    let cluster = Cluster::start(ClusterPlan {
        workers: 1,
        ..one_shard()
    })
    .await;
    cluster.wait_owned().await;
    let input = json!({ "work_ms": 3000 });
    let job = cluster
        .submit_until_accepted("sommaire", 4, input, "batch")
        .await;
    for index in 0..4 {
        cluster.wait_running(&job, index).await;
    }
    let faults = json!({ "lose_replies_percent": lost_replies, "lose_prefix": "alloc/" });
    cluster.set_faults("platform", faults).await;
    let urgent = cluster
        .submit_until_accepted("urgent", 1, json!({ "work_ms": 200 }), "urgent")
        .await;
    let view = cluster.wait_ended(&urgent).await;
    assert!(view["tasks"][0]["state"]["done"].is_string(), "{view}");
    cluster.set_faults("platform", json!({})).await;
    let view = cluster.wait_ended(&job).await;
    let tasks = view["tasks"].as_array().cloned().unwrap_or_default();
    assert!(
        tasks.iter().all(|task| task["state"]["done"].is_string()),
        "{view}"
    );
    let evicted = tasks
        .iter()
        .filter(|task| task["evictions"].as_u64() > Some(0));
    assert!(
        evicted.count() >= 2,
        "the urgent task needs 6000 of 8000, so at least two tasks must be evicted: {view}"
    );
    let runs = all_runs(&cluster).await;
    check_no_overlap(&runs);
    check_resumed_once(&runs);
    let resumed = runs.iter().filter(|run| run.resumed_from.is_some()).count();
    assert!(
        resumed >= 2,
        "evicted tasks must resume from their checkpoints: {runs:?}"
    );
}

cases!(eviction {
    an_evicted_task_resumes_once: 0,
    an_evicted_task_resumes_once_with_lost_replies: 40,
});

#[test]
fn a_job_too_large_for_every_worker_is_refused_with_the_reason() {
    crate::support::run(async {
        let cluster = Cluster::start(one_shard()).await;
        let url = format!("{}/v1/jobs", cluster.callers(1));
        let body = json!({
            "service": "niveau-service", "kind": "sommaire",
            "size": { "cpu_milli": 9000, "memory_mib": 100 },
        });
        let headers = [("waxwing-team", "barrages"), ("idempotency-key", "huge")];
        let answer = crate::support::calls::call(
            http::Method::POST,
            &url,
            &headers,
            body.to_string().into_bytes(),
        )
        .await
        .expect("the call must be answered");
        assert_eq!(answer.status, 400);
        assert!(
            answer.text().contains("cpu_milli exceeds"),
            "{}",
            answer.text()
        );
    });
}

#[test]
fn a_task_that_always_fails_ends_as_failed_with_the_reason() {
    crate::support::run(async {
        let cluster = Cluster::start(one_shard()).await;
        let job = cluster
            .submit_until_accepted("sommaire", 1, json!({ "fail": true }), "fails")
            .await;
        let view = cluster.wait_ended(&job).await;
        let reason = view["tasks"][0]["state"]["failed"]
            .as_str()
            .unwrap_or_default();
        assert!(reason.contains("failed 5 times"), "{view}");
        assert!(reason.contains("exited with status 1"), "{view}");
    });
}

#[test]
fn a_worker_that_fails_every_task_does_not_lose_jobs() {
    crate::support::run(async {
        let cluster = Cluster::start(one_shard()).await;
        cluster
            .set_faults("worker-1", json!({ "fail_all": true }))
            .await;
        let mut jobs = Vec::new();
        for n in 0..8 {
            let input = json!({ "work_ms": 100 });
            jobs.push(
                cluster
                    .submit_until_accepted("sommaire", 2, input, &format!("bad-{n}"))
                    .await,
            );
        }
        for job in jobs {
            let view = cluster.wait_ended(&job).await;
            for task in view["tasks"].as_array().into_iter().flatten() {
                assert!(task["state"]["done"].is_string(), "{task}");
            }
        }
    });
}

#[test]
fn a_cancelled_job_has_one_outcome_for_each_task() {
    crate::support::run(async {
        let cluster = Cluster::start(one_shard()).await;
        let input = json!({ "work_ms": 60_000 });
        let job = cluster
            .submit_until_accepted("sommaire", 20, input, "cancelled")
            .await;
        cluster.wait_running(&job, 0).await;
        let url = format!("{}/v1/jobs/{job}", cluster.callers(2));
        let answer = crate::support::calls::call(http::Method::DELETE, &url, &[], Vec::new()).await;
        assert_eq!(answer.map(|answer| answer.status), Ok(202));
        let view = cluster.wait_ended(&job).await;
        let tasks: Vec<&Value> = view["tasks"].as_array().into_iter().flatten().collect();
        assert_eq!(tasks.len(), 20);
        assert!(
            tasks.iter().all(|task| task["state"] == "cancelled"),
            "{view}"
        );
        let runs = all_runs(&cluster).await;
        assert!(
            runs.iter().all(|run| run.end_ms != u64::MAX),
            "a cancelled task still runs"
        );
    });
}
