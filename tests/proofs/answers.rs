//! Every caller receives the complete answer to its own request, and the outcome "not-run" is accurate.

use crate::support::calls::{Answer, call};
use crate::support::cluster::{Cluster, ClusterPlan, SERVICE, TEAM};
use crate::support::{run, seed, wait_for};
use futures_util::future::join_all;
use http::Method;
use serde_json::json;
use std::collections::BTreeSet;

/// Body length that exceeds the flow-control window between entry and sidecar.
const LONG_BYTES: usize = 3 << 20;

#[test]
fn concurrent_callers_get_their_own_answers() {
    let mut rng = fastrand::Rng::with_seed(seed("concurrent_callers"));
    run(async {
        let cluster = Cluster::start(ClusterPlan::default()).await;
        let calls: Vec<_> = (0..100)
            .map(|n| (n, rng.u32(0..30).to_string(), rng.usize(1..=2)))
            .collect();
        let answers = join_all(calls.iter().map(|(n, millis, entry)| {
            let path = format!("/jauge/{n}?turn={n}");
            let headers = [
                ("x-service-ms", millis.as_str()),
                ("waxwing-deadline-ms", "20000"),
            ];
            let cluster = &cluster;
            async move { cluster.request(*entry, &path, &headers).await }
        }))
        .await;
        for ((n, ..), answer) in calls.iter().zip(answers) {
            let answer = answer.expect("the call must be answered");
            assert_eq!(
                (answer.status, answer.outcome.as_str()),
                (200, "ran"),
                "{}",
                answer.text()
            );
            assert_eq!(answer.json()["path"], format!("/jauge/{n}?turn={n}"));
        }
    });
}

#[test]
fn long_bodies_arrive_complete_in_both_directions() {
    run(async {
        let cluster = Cluster::start(ClusterPlan::default()).await;
        let url = format!("{}/v1/call/{SERVICE}/echo", cluster.callers(1));
        let body: Vec<u8> = (0..LONG_BYTES).map(|n| b'a' + (n % 23) as u8).collect();
        let headers = [("waxwing-team", TEAM), ("waxwing-deadline-ms", "30000")];
        let answer = call(Method::POST, &url, &headers, body.clone())
            .await
            .expect("the answer must be complete");
        assert_eq!(
            answer.status,
            200,
            "{}",
            &answer.text()[..200.min(answer.body.len())]
        );
        let echo = answer.json()["echo"].as_str().map(str::to_owned);
        assert!(
            echo.is_some_and(|echo| echo.as_bytes() == body),
            "the echoed body differs"
        );
    });
}

#[test]
fn a_truncated_answer_is_never_delivered_as_complete() {
    run(async {
        let cluster = Cluster::start(ClusterPlan::default()).await;
        for n in 1..=2 {
            cluster
                .set_faults(&format!("upstream-{n}"), json!({ "cut_answers": true }))
                .await;
        }
        let short = cluster
            .request(1, "/short", &[])
            .await
            .expect("the call must get a final answer");
        assert_eq!((short.status, short.outcome.as_str()), (502, "unknown"));
        let bytes = LONG_BYTES.to_string();
        let long = cluster
            .request(1, "/long", &[("x-answer-bytes", &bytes)])
            .await;
        assert!(
            long.is_err(),
            "a truncated answer was delivered as complete: {:?}",
            long.map(|answer| answer.status)
        );
    });
}

#[test]
fn the_trace_reaches_the_upstream() {
    run(async {
        let cluster = Cluster::start(ClusterPlan::default()).await;
        let trace = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
        let answer = cluster
            .request(1, "/traced", &[("traceparent", trace)])
            .await
            .expect("the call must be answered");
        let seen = answer
            .traceparent
            .expect("the upstream must receive a traceparent");
        assert_eq!(seen[..36], trace[..36], "the trace id must be unchanged");
        assert_ne!(seen, trace, "each hop must create its own span");
    });
}

/// Sends non-idempotent requests concurrently, each under its own key and far more than the upstreams have slots.
async fn overload(cluster: &Cluster, requests: usize, deadline_ms: &str) -> Vec<(String, Answer)> {
    let calls = (0..requests).map(|n| {
        let key = format!("key-{n}");
        let url = format!("{}/v1/call/{SERVICE}/write/{n}", cluster.callers(n % 2 + 1));
        async move {
            let headers = [
                ("waxwing-team", TEAM),
                ("idempotency-key", key.as_str()),
                ("waxwing-deadline-ms", deadline_ms),
                ("x-service-ms", "40"),
            ];
            let answer = call(Method::POST, &url, &headers, Vec::new()).await;
            (
                key.clone(),
                answer.expect("the call must get a final answer"),
            )
        }
    });
    join_all(calls).await
}

#[test]
fn not_run_is_accurate_under_overload() {
    run(async {
        let cluster = Cluster::start(ClusterPlan::default()).await;
        let answers = overload(&cluster, 250, "150").await;
        let mut executed = BTreeSet::new();
        for n in 1..=2 {
            let record = cluster.record(&format!("upstream-{n}")).await;
            assert!(
                record["most_running"].as_u64() <= Some(8),
                "more than 8 requests ran at a time: {record}"
            );
            assert!(
                record["most_connections"].as_u64() <= Some(65),
                "too many connections: {record}"
            );
            let keys = record["keys"].as_object().cloned().unwrap_or_default();
            for (key, count) in keys {
                assert_eq!(count, 1, "{key} ran more than once");
                executed.insert(key);
            }
        }
        let mut refused = 0;
        for (key, answer) in &answers {
            if answer.outcome == "not-run" {
                refused += 1;
                assert!(
                    !executed.contains(key),
                    "{key} was reported as not run but ran"
                );
                assert!(
                    answer.retry_after.is_some(),
                    "the refusal has no retry-after: {}",
                    answer.text()
                );
            }
            if answer.outcome == "ran" {
                assert!(
                    executed.contains(key),
                    "{key} was reported as run but did not run"
                );
            }
        }
        assert!(refused > 0, "the overload must cause refusals");
        assert!(
            answers.iter().any(|(_, answer)| answer.outcome == "ran"),
            "some requests must run"
        );
    });
}

#[test]
fn a_sidecar_killed_after_dispatch_gives_an_unknown_outcome() {
    run(async {
        let plan = ClusterPlan {
            sidecars: 1,
            ..ClusterPlan::default()
        };
        let mut cluster = Cluster::start(plan).await;
        let url = format!("{}/v1/call/{SERVICE}/write", cluster.callers(1));
        let waiting = compio::runtime::spawn(async move {
            let headers = [
                ("waxwing-team", TEAM),
                ("idempotency-key", "killed"),
                ("waxwing-deadline-ms", "15000"),
                ("x-service-ms", "10000"),
            ];
            call(Method::POST, &url, &headers, Vec::new()).await
        });
        wait_for("the dispatch of the request", || async {
            let record = cluster.record("upstream-1").await;
            record["keys"].get("killed").map(|_| ())
        })
        .await;
        cluster.kill("sidecar-1");
        let answer = waiting
            .await
            .expect("the task must not panic")
            .expect("the call must get a final answer");
        assert_eq!((answer.status, answer.outcome.as_str()), (502, "unknown"));
    });
}

#[test]
fn a_request_without_an_upstream_is_refused_at_once() {
    run(async {
        let plan = ClusterPlan {
            sidecars: 1,
            ..ClusterPlan::default()
        };
        let mut cluster = Cluster::start(plan).await;
        assert_eq!(cluster.drain("sidecar-1").await, Some(0));
        let answer = cluster
            .request(1, "/nobody", &[])
            .await
            .expect("the call must get a final answer");
        assert_eq!((answer.status, answer.outcome.as_str()), (503, "not-run"));
        assert!(answer.retry_after.is_some());
    });
}
