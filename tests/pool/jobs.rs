//! Jobs from submission to end, without injected faults.

use crate::site::{Site, job, name, run, wait_for};
use http::Method;
use serde_json::json;

#[test]
fn a_job_runs_its_steps_in_order_and_completes() {
    run(async {
        let site = Site::start("completes", 2, 2).await;
        site.submit(&name(1), &job(2, 6, 40)).await;
        site.wait_state(&name(1), "completed").await;
        assert_eq!(site.start_count(&name(1)).await, 12);
        // A front that has no link to the owner yet refuses the query.
        let pending = wait_for("an answer to the queue query", || async {
            let answer = site.request(1, Method::GET, "", Vec::new()).await.ok()?;
            (answer.status == 200).then_some(answer)
        });
        assert_eq!(pending.await.json(), json!({ "pending": 0 }));
        site.audit().await;
    });
}

#[test]
fn a_job_submitted_repeatedly_at_any_front_runs_once() {
    run(async {
        let site = Site::start("again", 2, 1).await;
        let body = job(1, 3, 30);
        for front in [0, 1, 0] {
            let answer = site
                .request(front, Method::POST, &name(1), body.to_string().into_bytes())
                .await;
            assert_eq!(answer.expect("a front must answer").status, 200);
        }
        site.wait_state(&name(1), "completed").await;
        assert_eq!(site.start_count(&name(1)).await, 3);
        site.audit().await;
    });
}

#[test]
fn a_job_whose_tasks_always_fail_ends_as_failed() {
    run(async {
        let site = Site::start("fails", 1, 2).await;
        let mut body = job(1, 1, 20);
        body["spec"] = json!(json!({ "ms": 20, "fail": true }).to_string());
        site.submit(&name(1), &body).await;
        site.wait_state(&name(1), "failed").await;
        assert_eq!(
            site.start_count(&name(1)).await,
            2,
            "the `maxAttempts` of the queue"
        );
    });
}

#[test]
fn a_cancelled_job_leaves_nothing_running() {
    run(async {
        let site = Site::start("cancel", 2, 1).await;
        site.submit(&name(1), &job(1, 2, 600_000)).await;
        site.wait_running(&name(1)).await;
        let answer = site
            .request(1, Method::DELETE, &name(1), Vec::new())
            .await
            .expect("a front must answer");
        assert_eq!(answer.status, 200);
        site.wait_state(&name(1), "cancelled").await;
        // The second job needs the whole worker, so it completes only if the cancelled tasks have ended.
        site.submit(&name(2), &job(1, 4, 10)).await;
        site.wait_state(&name(2), "completed").await;
        let unknown_job = site
            .request(0, Method::DELETE, &name(9), Vec::new())
            .await
            .expect("a front must answer");
        assert_eq!(unknown_job.status, 410);
        site.audit().await;
    });
}

#[test]
fn a_config_is_in_force_on_all_fronts_and_unknown_queues_are_refused() {
    run(async {
        let mut site = Site::start("config", 2, 1).await;
        let body = job(1, 1, 10).to_string().into_bytes();
        for front in 0..2 {
            let url = format!("http://{}/new/{}", site.fronts[front].callers, name(1));
            let answer =
                crate::calls::call(Method::POST, &url, &[("host", "h.example")], body.clone())
                    .await;
            assert_eq!(answer.expect("a front must answer").status, 404);
        }
        site.put_config(&["/g/", "/new/"]).await;
        for front in 0..2 {
            let url = format!("http://{}/new/{}", site.fronts[front].callers, name(1));
            wait_for("the new queue", || async {
                let answer =
                    crate::calls::call(Method::POST, &url, &[("host", "h.example")], body.clone())
                        .await;
                answer.ok().filter(|answer| answer.status == 200)
            })
            .await;
        }
    });
}

#[test]
fn malformed_jobs_get_a_clear_refusal_and_leave_nothing() {
    run(async {
        let site = Site::start("malformed", 1, 1).await;
        let huge = vec![b'x'; 1 << 20];
        let cases: [(&str, Vec<u8>); 4] = [
            ("1234", job(1, 1, 10).to_string().into_bytes()),
            (&name(1), b"{".to_vec()),
            (
                &name(1),
                json!({ "spec": "x", "phases": [{ "count": 1, "after": [1] }] })
                    .to_string()
                    .into_bytes(),
            ),
            (&name(1), huge),
        ];
        for (job, body) in cases {
            let answer = site
                .request(0, Method::POST, job, body)
                .await
                .expect("a front must answer");
            assert_eq!(answer.status, 400, "{}", answer.text());
            assert!(answer.text().contains("help"), "{}", answer.text());
        }
        let unknown_job = site
            .request(0, Method::GET, &name(1), Vec::new())
            .await
            .expect("a front must answer");
        assert_eq!(unknown_job.status, 410);
    });
}

#[test]
fn metrics_are_served_as_text() {
    run(async {
        let site = Site::start("metrics", 1, 1).await;
        site.submit(&name(1), &job(1, 1, 10)).await;
        let url = format!("http://{}/metrics", site.fronts[0].metrics);
        let text = crate::calls::call(Method::GET, &url, &[], Vec::new())
            .await
            .expect("the metrics must be served")
            .text();
        assert!(text.contains("waxwing_jobs_accepted 1"), "{text}");
        assert!(text.contains("waxwing_accept_job_ms_count 1"), "{text}");
    });
}

/// Checks the report of `waxwing logs` on the log files of this site, which operators use to investigate late jobs.
#[test]
fn the_log_report_shows_the_history_of_each_job() {
    run(async {
        let site = Site::start("logs", 2, 2).await;
        site.submit(&name(1), &job(2, 3, 40)).await;
        site.wait_state(&name(1), "completed").await;
        let mut body = job(1, 1, 20);
        body["spec"] = json!(json!({ "ms": 20, "fail": true }).to_string());
        site.submit(&name(2), &body).await;
        site.wait_state(&name(2), "failed").await;
        let report: serde_json::Value =
            serde_json::from_str(&site.log_report(&["--json"])).expect("the report must be JSON");
        let queue = &report["queues"][0];
        assert_eq!(queue["accepted"], 2);
        assert_eq!(queue["gone"], 1);
        let starts: u64 = report["windows"]
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(|row| row["starts"].as_u64())
            .sum();
        assert_eq!(
            starts, 8,
            "six starts of the first job and two of the failed one"
        );
        let job_name = name(1);
        let job_report = site.log_report(&["--job", &job_name]);
        assert!(job_report.contains("shown as Completed"), "{job_report}");
        assert_eq!(job_report.matches(" starts on ").count(), 6, "{job_report}");
        assert!(site.log_report(&["--csv"]).starts_with("from_s,"));
    });
}
