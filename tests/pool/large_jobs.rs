//! Jobs of which a single row of the store would not hold the progress.

use crate::site::{Site, job, name, run, wait_for};
use http::Method;
use serde_json::{Value, json};

/// Returns a job with `count` occurrences, all of which are due.
fn due_occurrences(count: u32) -> Value {
    let mut body = job(1, 1, 20);
    body["repeatCount"] = json!(count);
    body["intervalMs"] = json!(1);
    body["startAtMs"] = json!(1_700_000_000_000_u64);
    body
}

/// Guards against a job that stops all others: its progress grew with its occurrences until the store refused it, and
/// from then on no end of any worker was acknowledged, so that no step followed another.
#[test]
fn a_job_with_many_due_occurrences_holds_up_no_other_job() {
    run(async {
        let site = Site::start("many-due", 2, 2).await;
        site.submit(&name(1), &due_occurrences(12_000)).await;
        wait_for("occurrences to run", || async {
            (site.start_count(&name(1)).await >= 20).then_some(())
        })
        .await;
        site.submit(&name(2), &job(3, 4, 20)).await;
        site.wait_state(&name(2), "completed").await;
        assert_eq!(site.state(&name(1)).await.as_deref(), Some("running"));
        let answer = site
            .request(0, Method::DELETE, &name(1), Vec::new())
            .await
            .expect("a front must answer");
        assert_eq!(answer.status, 200);
        site.wait_state(&name(1), "cancelled").await;
        site.audit().await;
    });
}

/// The new owner restores which occurrences are done, and starts none of them again.
#[test]
fn a_job_with_many_due_occurrences_completes_under_another_owner() {
    run(async {
        let mut site = Site::start("due-takeover", 2, 2).await;
        site.make_first_front_owner(&name(9)).await;
        site.submit(&name(1), &due_occurrences(600)).await;
        wait_for("occurrences to run", || async {
            (site.start_count(&name(1)).await >= 100).then_some(())
        })
        .await;
        site.kill_front(0);
        site.start_front(0);
        site.wait_state(&name(1), "completed").await;
        site.audit().await;
    });
}

/// Guards against a job whose row the store refuses, for whatever reason: it fails by itself, its ends are acknowledged,
/// and the other jobs go on.
#[test]
fn a_job_whose_progress_the_store_refuses_fails_and_holds_up_no_other_job() {
    run(async {
        let mut site = Site::start("refused-row", 2, 2).await;
        site.make_first_front_owner(&name(99)).await;
        // The end of a job takes a few bytes, the progress of its tasks more.
        let faults = json!({ "refused_row": name(1), "refused_above": 16 });
        site.set_store_faults(faults).await;
        site.submit(&name(1), &job(3, 64, 300)).await;
        for number in 2..12 {
            site.submit(&name(number), &job(3, 4, 20)).await;
        }
        for number in 2..12 {
            site.wait_state(&name(number), "completed").await;
        }
        site.wait_state(&name(1), "failed").await;
        let reason = "the store refuses its progress";
        site.wait_log("front-0", reason).await;
        site.audit().await;
    });
}

/// A job whose own row has no room in the store is refused when it is submitted.
#[test]
fn a_job_without_room_in_the_store_is_refused_with_a_reason() {
    run(async {
        let site = Site::start("large-spec", 1, 1).await;
        let step = json!({ "count": 1, "cpu": 1000, "memMb": 100, "image": "i".repeat(1_000) });
        let body = json!({ "spec": "", "phases": vec![step; 100] });
        let answer = site
            .request(0, Method::POST, &name(1), body.to_string().into_bytes())
            .await
            .expect("a front must answer");
        assert_eq!(answer.status, 400);
        site.submit(&name(2), &job(1, 1, 20)).await;
        site.wait_state(&name(2), "completed").await;
    });
}
