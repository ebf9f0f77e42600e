//! While the platform's store is down, quick requests are served and running tasks are not evicted.

use crate::support::audit::{all_runs, check_no_overlap};
use crate::support::cluster::{Cluster, ClusterPlan};
use crate::support::{run, wait_for};
use serde_json::json;

#[test]
fn running_tasks_outlive_an_outage_longer_than_their_leases() {
    run(async {
        let cluster = Cluster::start(ClusterPlan {
            shards: 1,
            lease_ms: 1_700,
            grace_ms: 60_000,
            ..ClusterPlan::default()
        })
        .await;
        cluster.wait_owned().await;
        let input = json!({ "work_ms": 7000 });
        let job = cluster
            .submit_until_accepted("sommaire", 3, input, "outage")
            .await;
        for index in 0..3 {
            cluster.wait_running(&job, index).await;
        }
        cluster
            .set_faults("platform", json!({ "down": true }))
            .await;
        // The outage lasts until 5 s after the first start, several times the lease of 1.7 s. A task whose lease had
        // expired would have been evicted by then.
        wait_for("quick requests through the outage", || async {
            let answer = cluster
                .request(1, "/quick", &[])
                .await
                .expect("the call must be answered");
            assert_eq!(answer.outcome, "ran", "{}", answer.text());
            let runs = all_runs(&cluster).await;
            let start = runs.iter().map(|run| run.start_ms).min()?;
            let now = std::time::SystemTime::now()
                .duration_since(std::time::UNIX_EPOCH)
                .ok()?
                .as_millis() as u64;
            (now > start + 5000).then_some(())
        })
        .await;
        let answer = cluster
            .submit(1, "sommaire", 1, json!({}), "refused")
            .await
            .expect("the call must be answered");
        assert_eq!(answer.status, 503, "{}", answer.text());
        assert!(answer.retry_after.is_some());
        cluster.set_faults("platform", json!({})).await;
        let view = cluster.wait_ended(&job).await;
        for task in view["tasks"].as_array().into_iter().flatten() {
            assert!(task["state"]["done"].is_string(), "{task}");
            assert_eq!(task["evictions"], 0, "evicted by an outage: {task}");
        }
        let runs = all_runs(&cluster).await;
        assert_eq!(runs.len(), 3, "{runs:?}");
        check_no_overlap(&runs);
    });
}

#[test]
fn a_refused_submission_is_accepted_later_under_the_same_key() {
    run(async {
        let cluster = Cluster::start(ClusterPlan::default()).await;
        let faults = json!({ "lose_replies_percent": 100, "lose_prefix": "jobkey/" });
        cluster.set_faults("platform", faults).await;
        let first = cluster
            .submit(1, "sommaire", 1, json!({ "work_ms": 50 }), "same")
            .await
            .expect("the call must be answered");
        cluster.set_faults("platform", json!({})).await;
        let job = cluster
            .submit_until_accepted("sommaire", 1, json!({ "work_ms": 50 }), "same")
            .await;
        let again = cluster
            .submit_until_accepted("sommaire", 1, json!({ "work_ms": 50 }), "same")
            .await;
        assert_eq!(job, again);
        if first.status == 202 {
            assert_eq!(first.json()["job"], *job);
        }
        cluster.wait_ended(&job).await;
    });
}

#[test]
fn work_continues_after_an_outage_longer_than_the_grace() {
    run(async {
        let cluster = Cluster::start(ClusterPlan {
            shards: 1,
            grace_ms: 800,
            ..ClusterPlan::default()
        })
        .await;
        cluster.wait_owned().await;
        let input = json!({ "work_ms": 2500 });
        let job = cluster
            .submit_until_accepted("sommaire", 2, input, "long")
            .await;
        cluster.wait_running(&job, 0).await;
        cluster
            .set_faults("platform", json!({ "down": true }))
            .await;
        wait_for("the owner to stop acting", || async {
            let mut owned = 0;
            for n in 1..=2 {
                let url = format!("{}/v1/status", cluster.operators(n));
                let status = crate::support::calls::get_json(&url).await?;
                owned += status["shards"].as_array()?.len();
            }
            (owned == 0).then_some(())
        })
        .await;
        cluster.set_faults("platform", json!({})).await;
        cluster.wait_ended(&job).await;
        let later = cluster
            .submit_until_accepted("sommaire", 2, json!({ "work_ms": 100 }), "later")
            .await;
        cluster.wait_ended(&later).await;
        check_no_overlap(&all_runs(&cluster).await);
    });
}
