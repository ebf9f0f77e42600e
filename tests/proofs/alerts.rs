//! A request with an idempotency key runs at most once.

use crate::support::cluster::{Cluster, ClusterPlan};
use crate::support::history::{HistoryEvent, HistoryModel, is_linearizable};
use crate::support::{run, seed, wait_for};
use futures_util::future::join_all;
use serde_json::json;
use std::collections::BTreeMap;
use std::time::Instant;

/// Outcome of one request as reported to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AlertOutcome {
    /// The request ran, and the caller got its answer.
    Ran,
    /// The request did not run and will not run.
    NotRun,
    /// An earlier request with the same key ran.
    RanBefore,
}

/// Model of one key: at most one request runs, and no other request is reported as [`AlertOutcome::Ran`].
struct AtMostOnceModel;

impl HistoryModel for AtMostOnceModel {
    type State = bool;
    type Input = ();
    type Output = AlertOutcome;

    fn start(&self) -> bool {
        false
    }

    fn step(&self, ran: &bool, (): &(), output: &AlertOutcome) -> Option<bool> {
        match (output, ran) {
            (AlertOutcome::Ran, false) => Some(true),
            (AlertOutcome::NotRun, ran) => Some(*ran),
            (AlertOutcome::RanBefore, true) => Some(true),
            _ => None,
        }
    }

    fn step_unknown(&self, ran: &bool, (): &()) -> Vec<bool> {
        vec![*ran, true]
    }
}

type AlertEvent = HistoryEvent<(), AlertOutcome>;

/// Sends an alert and records its outcome.
async fn send(cluster: &Cluster, entry: usize, key: &str, start: Instant) -> AlertEvent {
    send_to(&cluster.callers(entry), key, start).await
}

/// Returns how often each key was executed on all upstreams together.
async fn execution_counts(cluster: &Cluster, upstreams: usize) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for n in 1..=upstreams {
        let record = cluster.record(&format!("upstream-{n}")).await;
        for (key, count) in record["keys"].as_object().cloned().unwrap_or_default() {
            *counts.entry(key).or_default() += count.as_u64().unwrap_or(0);
        }
    }
    counts
}

/// Checks the reported outcomes of all keys against the executions on the upstreams.
fn check_outcomes(histories: &BTreeMap<String, Vec<AlertEvent>>, executed: &BTreeMap<String, u64>) {
    for (key, events) in histories {
        let count = executed.get(key).copied().unwrap_or(0);
        assert!(count <= 1, "{key} ran {count} times");
        assert!(
            is_linearizable(&AtMostOnceModel, events),
            "{key}: {events:?}"
        );
        let reported_ran = events
            .iter()
            .any(|event| event.output == Some(AlertOutcome::Ran));
        assert!(
            !reported_ran || count == 1,
            "{key} was reported as run but did not run"
        );
        let all_reported_not_run = events
            .iter()
            .all(|event| event.output == Some(AlertOutcome::NotRun));
        assert!(
            !all_reported_not_run || count == 0,
            "{key} was reported as not run but ran"
        );
    }
}

/// Sends each key four times, concurrently at both entries.
async fn send_at_all_entries(
    cluster: &Cluster,
    keys: &[String],
    start: Instant,
) -> BTreeMap<String, Vec<AlertEvent>> {
    let calls = keys.iter().flat_map(|key| {
        (0..4).map(move |turn| async move {
            let event = send(cluster, turn % 2 + 1, key, start).await;
            (key.clone(), event)
        })
    });
    let mut histories: BTreeMap<String, Vec<AlertEvent>> = BTreeMap::new();
    for (key, event) in join_all(calls).await {
        histories.entry(key).or_default().push(event);
    }
    histories
}

#[test]
fn a_key_sent_to_two_entries_runs_once() {
    run(async {
        let cluster = Cluster::start(ClusterPlan::default()).await;
        let keys: Vec<String> = (0..20).map(|n| format!("race-{n}")).collect();
        let histories = send_at_all_entries(&cluster, &keys, Instant::now()).await;
        let executed = execution_counts(&cluster, 2).await;
        check_outcomes(&histories, &executed);
        assert_eq!(
            executed.len(),
            keys.len(),
            "every key must run if nothing fails"
        );
    });
}

#[test]
fn lost_replies_do_not_run_a_key_twice() {
    run(async {
        let cluster = Cluster::start(ClusterPlan::default()).await;
        let faults = json!({ "lose_replies_percent": 40, "lose_prefix": "once/" });
        cluster.set_faults("platform", faults).await;
        let keys: Vec<String> = (0..10).map(|n| format!("lost-{n}")).collect();
        let histories = send_at_all_entries(&cluster, &keys, Instant::now()).await;
        cluster.set_faults("platform", json!({})).await;
        check_outcomes(&histories, &execution_counts(&cluster, 2).await);
    });
}

#[test]
fn an_unresponsive_store_blocks_no_caller() {
    run(async {
        let cluster = Cluster::start(ClusterPlan::default()).await;
        let faults = json!({ "lose_replies_percent": 100, "lose_prefix": "once/" });
        cluster.set_faults("platform", faults).await;
        let keys: Vec<String> = (0..40).map(|n| format!("hung-{n}")).collect();
        let start = Instant::now();
        let calls = keys.iter().map(|key| send(&cluster, 1, key, start));
        for event in join_all(calls).await {
            // A call without a final answer before its timeout would have an unknown outcome.
            assert_eq!(event.output, Some(AlertOutcome::NotRun));
        }
        assert!(
            execution_counts(&cluster, 2).await.is_empty(),
            "a refused alert ran"
        );
    });
}

#[test]
fn an_outage_refuses_at_once_and_the_key_runs_later() {
    run(async {
        let cluster = Cluster::start(ClusterPlan::default()).await;
        cluster
            .set_faults("platform", json!({ "down": true }))
            .await;
        let start = Instant::now();
        let first = send(&cluster, 1, "outage", start).await;
        assert_eq!(first.output, Some(AlertOutcome::NotRun));
        cluster.set_faults("platform", json!({})).await;
        // The first attempt's write may be indeterminate and lock the key for a moment.
        wait_for("the key to run", || async {
            let event = send(&cluster, 2, "outage", start).await;
            (event.output == Some(AlertOutcome::Ran)).then_some(())
        })
        .await;
        let executed = execution_counts(&cluster, 2).await;
        assert_eq!(executed.get("outage"), Some(&1));
    });
}

#[test]
fn entries_killed_during_requests_do_not_run_a_key_twice() {
    let mut rng = fastrand::Rng::with_seed(seed("entries_killed"));
    run(async {
        let mut cluster = Cluster::start(ClusterPlan {
            service_ms: 30,
            ..ClusterPlan::default()
        })
        .await;
        let start = Instant::now();
        let mut histories: BTreeMap<String, Vec<AlertEvent>> = BTreeMap::new();
        for round in 0..6 {
            let keys: Vec<String> = (0..4).map(|n| format!("kill-{round}-{n}")).collect();
            let victim = rng.usize(1..=2);
            let url = cluster.callers(victim);
            // The first requests go to the entry that is killed while they are in flight.
            let requests: Vec<_> = keys
                .iter()
                .map(|key| {
                    let (url, key) = (url.clone(), key.clone());
                    compio::runtime::spawn(async move { send_to(&url, &key, start).await })
                })
                .collect();
            compio::time::sleep(std::time::Duration::from_millis(rng.u64(0..30))).await;
            cluster.kill(&format!("entry-{victim}"));
            for (key, request) in keys.iter().zip(requests) {
                let event = request.await.expect("the task must not panic");
                histories.entry(key.clone()).or_default().push(event);
            }
            for key in &keys {
                let event = send(&cluster, 3 - victim, key, start).await;
                histories.entry(key.clone()).or_default().push(event);
            }
            cluster.restart(&format!("entry-{victim}"));
            cluster.wait_until_routing(victim).await;
        }
        check_outcomes(&histories, &execution_counts(&cluster, 2).await);
    });
}

/// Sends an alert to an entry's address; for tests that change the cluster during the call.
async fn send_to(callers: &str, key: &str, start: Instant) -> AlertEvent {
    use crate::support::calls::call;
    use crate::support::cluster::{SERVICE, TEAM};
    let url = format!("{callers}/v1/watches/{SERVICE}/seuil/alerts");
    let headers = [("waxwing-team", TEAM), ("idempotency-key", key)];
    let called = start.elapsed().as_micros() as u64;
    let answer = call(http::Method::POST, &url, &headers, b"{}".to_vec()).await;
    let output = answer
        .ok()
        .and_then(|answer| match (answer.status, answer.outcome.as_str()) {
            (200, "ran") => Some(AlertOutcome::Ran),
            (409, "ran") => Some(AlertOutcome::RanBefore),
            (_, "not-run") => Some(AlertOutcome::NotRun),
            _ => None,
        });
    AlertEvent {
        input: (),
        output,
        called,
        returned: start.elapsed().as_micros() as u64,
    }
}
