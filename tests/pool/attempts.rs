//! Failed runs of tasks across takeovers, counted against the `maxAttempts` of the queue.

use crate::site::{Site, job, name, run, wait_for};
use serde_json::json;

/// Guards against a third start of a task with two attempts while an agent that the new owner has not heard holds the
/// end of the first failed run.
#[test]
fn a_task_waits_for_the_end_of_its_first_run_before_a_last_start() {
    run(async {
        let mut site = Site::start("unknown-failure", 2, 3).await;
        // The job is accepted in the first term, whose owner can order starts on all workers.
        site.submit(&name(9), &job(1, 1, 10)).await;
        site.wait_state(&name(9), "completed").await;
        wait_for("the rows of all agents", || async {
            (site.agent_row_count().await? == 3).then_some(())
        })
        .await;
        let mut body = job(1, 1, 2_000);
        body["spec"] = json!(json!({ "ms": 2_000, "fail": true }).to_string());
        site.submit(&name(1), &body).await;
        let first = wait_for("the first run", || first_worker(&site)).await;
        // The owner cannot store that the first run has failed.
        site.set_store_faults(json!({ "down": true })).await;
        wait_for("the second run", || async {
            (site.start_count(&name(1)).await == 2).then_some(())
        })
        .await;
        for front in 0..2 {
            site.kill_front(front);
        }
        site.signal_agent(first, libc::SIGSTOP);
        site.set_store_faults(json!({})).await;
        for front in 0..2 {
            site.start_front(front);
        }
        wait_for("the new owner to learn of the second failure", || async {
            let mut logs = (0..2).map(|front| site.log(&format!("front-{front}")));
            let is_second_end =
                |line: &str| line.contains("run ended") && line.contains("\"run\":2,");
            logs.any(|log| log.lines().any(is_second_end)).then_some(())
        })
        .await;
        site.signal_agent(first, libc::SIGCONT);
        site.wait_state(&name(1), "failed").await;
        assert_eq!(site.start_count(&name(1)).await, 2);
        site.audit_failed_attempts(2).await;
        site.audit().await;
    });
}

/// Returns the number of the worker on which the job has started.
async fn first_worker(site: &Site) -> Option<usize> {
    for number in 0..3 {
        if site.start_count_on(number, &name(1)).await > 0 {
            return Some(number);
        }
    }
    None
}
