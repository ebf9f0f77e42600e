//! The usage that a team is billed for equals the usage that the workers recorded, exactly.

use crate::support::audit::all_runs;
use crate::support::calls::get_json;
use crate::support::cluster::{Cluster, ClusterPlan};
use crate::support::{run, wait_for};
use serde_json::json;

/// Returns the CPU usage that the team is billed for, summed over its task kinds, in thousandths of a core
/// times seconds. `None` if the entry does not answer.
pub(crate) async fn billed_cpu(cluster: &Cluster, entry: usize) -> Option<u64> {
    let url = format!("{}/v1/usage?team=barrages", cluster.operators(entry));
    let reply = get_json(&url).await?;
    let rows = reply["rows"].as_array()?;
    rows.iter()
        .map(|row| row["cpu_milli_seconds"].as_u64())
        .sum()
}

#[test]
fn the_ledger_equals_the_usage_on_the_workers() {
    run(async {
        let mut cluster = Cluster::start(ClusterPlan {
            shards: 1,
            ..ClusterPlan::default()
        })
        .await;
        cluster.wait_owned().await;
        for worker in cluster.worker_names() {
            let faults = json!({ "usage_lag_ms": 700, "usage_repeat": true });
            cluster.set_faults(&worker, faults).await;
        }
        let mut jobs = Vec::new();
        for n in 0..4 {
            let input = json!({ "work_ms": 1500 });
            jobs.push(
                cluster
                    .submit_until_accepted("sommaire", 3, input, &format!("bill-{n}"))
                    .await,
            );
        }
        let urgent = cluster
            .submit_until_accepted("urgent", 2, json!({ "work_ms": 300 }), "bill-urgent")
            .await;
        cluster.wait_ended(&urgent).await;
        // Usage reports from before the takeover are repeated to the next owner and must not be billed twice.
        cluster.kill("entry-1");
        for job in &jobs {
            cluster.wait_ended(job).await;
        }
        let runs = all_runs(&cluster).await;
        assert!(
            runs.iter().all(|run| run.end_ms != u64::MAX),
            "all runs must have ended"
        );
        let used: u64 = runs.iter().map(|run| run.cpu_milli_seconds).sum();
        let bill = wait_for("the billing of late usage reports", || async {
            let bill = billed_cpu(&cluster, 2).await?;
            (bill >= used).then_some(bill)
        })
        .await;
        assert_eq!(bill, used, "billed more than was used");
    });
}
