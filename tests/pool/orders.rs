//! Workers that leave calls unanswered and execute them later, and agents that send such calls again.

use crate::common::run;
use crate::site::{Site, job, name};
use serde_json::json;

/// Starts a site whose agents and fronts send unanswered calls again, and runs a job that lasts until the agents
/// know the response times of their workers.
async fn start_site(test: &str, vms: usize) -> Site {
    let mut site = Site::start(test, 1, vms).await;
    site.set_order_rules("resend: 1").await;
    site.submit(&name(1), &job(1, 4 * vms as u32, 4_000)).await;
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
