//! Workers that leave calls unanswered and execute them later, and agents that send such calls again.

use crate::common::run;
use crate::site::{Site, job, name};
use http::Method;
use serde_json::json;

/// Starts a site whose agents and fronts send unanswered calls again, and runs a job that lasts until the agents
/// know the response times of their workers.
async fn start_site(test: &str, vms: usize) -> Site {
    let mut site = Site::start(test, 1, vms).await;
    site.set_order_rules("resend: 1").await;
    site.submit(&name(1), &job(1, 4 * vms as u32, 6_000)).await;
    site.wait_state(&name(1), "completed").await;
    site
}

/// Guards against starts that are stopped although a second copy would be accepted: the worker answers the second
/// copy of each start only, so that without it no task would ever start.
#[test]
fn a_start_whose_first_copy_is_lost_is_resolved_by_the_second() {
    run(async {
        let site = start_site("copy", 1).await;
        site.set_worker_faults(
            0,
            json!({ "lost_start_copies": 1, "lost_ms": [1_000, 2_000] }),
        )
        .await;
        site.submit(&name(2), &job(2, 3, 50)).await;
        site.wait_state(&name(2), "completed").await;
        assert_eq!(site.start_count(&name(2)).await, 6);
        site.audit().await;
    });
}

/// Guards against leases that expire, and a worker that counts as silent, although the worker answers second copies
/// of holds.
#[test]
fn runs_keep_their_leases_while_first_copies_of_holds_are_lost() {
    run(async {
        let site = start_site("held", 1).await;
        site.set_worker_faults(
            0,
            json!({ "lost_waiting_holds": true, "lost_ms": [1_000, 2_000] }),
        )
        .await;
        site.submit(&name(2), &job(1, 2, 9_000)).await;
        site.wait_state(&name(2), "completed").await;
        assert_eq!(
            site.start_count(&name(2)).await,
            2,
            "a run has ended with its lease"
        );
        site.audit().await;
    });
}

/// Guards against a task that runs twice, or again after its end, when several copies of its start and stop are
/// executed late and in any order.
#[test]
fn calls_of_all_kinds_lost_and_executed_late_run_nothing_twice() {
    run(async {
        let site = start_site("lossy", 2).await;
        for number in 0..2 {
            site.set_worker_faults(
                number,
                json!({ "lost_percent": 40, "lost_ms": [200, 3_000] }),
            )
            .await;
        }
        for n in 2..=9 {
            site.submit(&name(n), &job(2, 3, 60)).await;
        }
        for n in 2..=9 {
            site.wait_state(&name(n), "completed").await;
        }
        site.audit().await;
    });
}

/// Loses all calls to a worker until its agent stops a start that was not answered. The copies are executed late.
async fn lose_all_starts(site: &Site, job_name: &str) {
    let unanswered = "start was not answered";
    let before = site.log("side-0").matches(unanswered).count();
    site.set_worker_faults(0, json!({ "lost_percent": 100, "lost_ms": [1_000, 2_500] }))
        .await;
    site.submit(job_name, &job(1, 3, 3_000)).await;
    site.wait_log_lines("side-0", unanswered, before + 1).await;
}

/// Guards against a task that runs twice, or a run that no process knows, when the agent dies after a start whose copies
/// are executed late, before its stop is acknowledged.
#[test]
fn a_successor_of_the_agent_resolves_starts_without_an_answer() {
    run(async {
        let mut site = start_site("successor", 1).await;
        lose_all_starts(&site, &name(2)).await;
        site.kill_agent(0);
        site.start_agent(0);
        site.set_worker_faults(0, json!({})).await;
        site.wait_state(&name(2), "completed").await;
        site.audit().await;
    });
}

/// Guards against starts without an answer that only the owner that ordered them could resolve.
#[test]
fn starts_without_an_answer_are_resolved_although_the_owner_is_lost() {
    run(async {
        let mut site = start_site("ownerless", 1).await;
        lose_all_starts(&site, &name(2)).await;
        site.kill_front(0);
        site.set_worker_faults(0, json!({})).await;
        site.start_front(0);
        site.wait_ready(0).await;
        site.wait_state(&name(2), "completed").await;
        site.audit().await;
    });
}

/// Guards against stops that are repeated for ever, and against tasks that start again, when the first copies of
/// stops are lost.
#[test]
fn a_cancelled_job_ends_while_calls_are_lost() {
    run(async {
        let site = start_site("cancelled", 1).await;
        site.submit(&name(2), &job(1, 3, 600_000)).await;
        site.wait_running(&name(2)).await;
        site.set_worker_faults(0, json!({ "lost_percent": 60, "lost_ms": [200, 2_000] }))
            .await;
        let answer = site.request(0, Method::DELETE, &name(2), Vec::new()).await;
        assert_eq!(answer.expect("the front must answer").status, 200);
        // This job needs the whole worker, so it completes only if the cancelled tasks have ended.
        site.submit(&name(3), &job(1, 4, 50)).await;
        site.wait_state(&name(3), "completed").await;
        site.audit().await;
    });
}

/// Guards against a boot that registers while calls are lost and gets no copies, since nothing is known of its
/// response times: its leases would lapse again and again.
#[test]
fn a_new_boot_gets_copies_of_holds_from_the_start() {
    run(async {
        let mut site = start_site("new-boot", 1).await;
        site.kill_worker(0).await;
        site.start_worker(0);
        site.wait_worker(0).await;
        site.set_worker_faults(
            0,
            json!({ "lost_waiting_holds": true, "lost_ms": [1_000, 2_000] }),
        )
        .await;
        site.submit(&name(2), &job(1, 2, 9_000)).await;
        site.wait_state(&name(2), "completed").await;
        site.audit().await;
    });
}
