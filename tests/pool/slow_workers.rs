//! A worker that turns slow gets no further short tasks, and gets them again afterwards.

use crate::site::{Site, job, name, run};
use serde_json::json;

/// Largest number of jobs that are submitted until the owner logs a verdict.
const MAX_JOBS: u64 = 200;

/// Submits jobs one after the other until the owner's log has a line with both texts.
async fn submit_until(site: &Site, first_job: u64, texts: [&str; 2]) -> u64 {
    for n in first_job..first_job + MAX_JOBS {
        let log = site.log("front-0");
        let mut lines = log.lines();
        if lines.any(|line| texts.iter().all(|text| line.contains(text))) {
            return n;
        }
        site.submit(&name(n), &job(1, 8, 200)).await;
        site.wait_state(&name(n), "completed").await;
    }
    panic!("no line with {texts:?} after {MAX_JOBS} jobs");
}

#[test]
fn a_slow_worker_is_found_and_later_normal_again() {
    run(async {
        let site = Site::start("slow", 1, 4).await;
        site.add_front_settings(0, "policy:\n  performance: {enabled: 1}\n")
            .await;
        site.set_worker_faults(0, json!({ "slow_times": 6 })).await;
        let changed = "speed of a worker changed";
        let verdict = "\"verdict\":\"slow\"";
        let next = submit_until(&site, 1, [changed, verdict]).await;
        let log = site.log("front-0");
        let found = log.lines().find(|line| line.contains(verdict));
        let worker_id = site.worker_id(0);
        assert!(
            found.is_some_and(|line| line.contains(&worker_id)),
            "{found:?}"
        );
        site.set_worker_faults(0, json!({})).await;
        submit_until(&site, next, [changed, "\"verdict\":\"normal\""]).await;
        site.audit().await;
    });
}
