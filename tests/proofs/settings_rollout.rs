//! An accepted settings change takes effect on all processes and is never reverted.

use crate::support::calls::{Answer, get_json, post_json};
use crate::support::cluster::{Cluster, ClusterPlan};
use crate::support::history::{HistoryEvent, HistoryModel, is_linearizable};
use crate::support::{run, wait_for};
use futures_util::future::join_all;
use serde_json::{Value, json};
use std::time::Instant;

/// Model of the settings version: a change with an expected version is accepted only at that version.
struct HeadModel {
    start: u64,
}

impl HistoryModel for HeadModel {
    type State = u64;
    type Input = u64;
    /// Version that an accepted change created; `None` for a conflict.
    type Output = Option<u64>;

    fn start(&self) -> u64 {
        self.start
    }

    fn step(&self, head: &u64, expected: &u64, output: &Option<u64>) -> Option<u64> {
        match output {
            Some(version) => (head == expected && *version == head + 1).then_some(*version),
            None => (head != expected).then_some(*head),
        }
    }

    fn step_unknown(&self, head: &u64, expected: &u64) -> Vec<u64> {
        if head == expected {
            vec![*head, head + 1]
        } else {
            vec![*head]
        }
    }
}

async fn change(
    cluster: &Cluster,
    entry: usize,
    value: u64,
    expected: Option<u64>,
) -> Result<Answer, String> {
    let url = format!("{}/v1/settings", cluster.operators(entry));
    let body = json!({
        "author": format!("operator-{entry}"),
        "expected": expected,
        "edits": [{ "path": "/barrages", "key": "weight", "value": value }],
        "wait_ms": 0,
    });
    post_json(&url, &body).await
}

async fn version(cluster: &Cluster, entry: usize) -> Option<u64> {
    let url = format!("{}/v1/status", cluster.operators(entry));
    get_json(&url).await?["settings"]["version"].as_u64()
}

async fn weight(cluster: &Cluster, entry: usize) -> Option<u64> {
    let url = format!("{}/v1/settings", cluster.operators(entry));
    get_json(&url).await?["nodes"]["/barrages"]["weight"].as_u64()
}

/// Sends a change; returns its event for the history checker, and the answer if there was one.
async fn change_with_event(
    cluster: &Cluster,
    entry: usize,
    value: u64,
    expected: u64,
    start: Instant,
) -> (HistoryEvent<u64, Option<u64>>, Option<Answer>) {
    let called = start.elapsed().as_micros() as u64;
    let answer = change(cluster, entry, value, Some(expected)).await.ok();
    let output = answer.as_ref().and_then(|answer| match answer.status {
        200 => Some(answer.json()["version"].as_u64()),
        409 => Some(None),
        _ => None,
    });
    let event = HistoryEvent {
        input: expected,
        output,
        called,
        returned: start.elapsed().as_micros() as u64,
    };
    (event, answer)
}

#[test]
fn of_concurrent_changes_one_wins_and_the_others_get_a_conflict() {
    run(async {
        let cluster = Cluster::start(ClusterPlan::default()).await;
        let begin = version(&cluster, 1)
            .await
            .expect("the entry must report a version");
        let start = Instant::now();
        let mut events = Vec::new();
        for round in 0..5 {
            let expected = begin + round;
            let calls = (1..=2).flat_map(|entry| {
                (0..2).map(move |n| (entry, 200 + round * 10 + entry as u64 * 3 + n))
            });
            let calls = calls
                .map(|(entry, value)| change_with_event(&cluster, entry, value, expected, start));
            for (event, answer) in join_all(calls).await {
                let answer = answer.expect("the call must be answered");
                if answer.status == 409 {
                    let text = answer.text();
                    assert!(
                        text.contains("by operator-"),
                        "the conflict does not name the winner: {text}"
                    );
                }
                events.push(event);
            }
        }
        let winners = events
            .iter()
            .filter(|event| matches!(event.output, Some(Some(_))))
            .count();
        assert_eq!(winners, 5, "each round must have one winner: {events:?}");
        assert!(
            is_linearizable(&HeadModel { start: begin }, &events),
            "{events:?}"
        );
    });
}

#[test]
fn an_accepted_change_reaches_every_process_and_stays() {
    run(async {
        let cluster = Cluster::start(ClusterPlan::default()).await;
        let url = format!("{}/v1/settings", cluster.operators(1));
        let body = json!({
            "author": "test",
            "edits": [{ "path": "/barrages", "key": "weight", "value": 321 }],
            "wait_ms": 60_000,
        });
        let answer = post_json(&url, &body)
            .await
            .expect("the call must be answered");
        let force = &answer.json()["force"];
        assert_eq!(force["in_force"], force["processes"], "{}", answer.text());
        assert_eq!(force["processes"], 4);
        for entry in 1..=2 {
            assert_eq!(weight(&cluster, entry).await, Some(321));
        }
    });
}

#[test]
fn a_change_during_an_outage_is_refused_and_not_kept() {
    run(async {
        let cluster = Cluster::start(ClusterPlan::default()).await;
        let before = version(&cluster, 1).await;
        cluster
            .set_faults("platform", json!({ "down": true }))
            .await;
        let answer = change(&cluster, 1, 777, None)
            .await
            .expect("the call must be answered");
        assert_eq!(answer.status, 503, "{}", answer.text());
        assert!(answer.retry_after.is_some());
        cluster.set_faults("platform", json!({})).await;
        wait_for("the store to be used again", || async {
            let answer = change(&cluster, 2, 778, None).await.ok()?;
            (answer.status == 200).then_some(())
        })
        .await;
        for entry in 1..=2 {
            wait_for("the next version", || async {
                (version(&cluster, entry).await > before).then_some(())
            })
            .await;
            let seen = weight(&cluster, entry).await;
            assert_eq!(seen, Some(778), "a refused change took effect");
        }
    });
}

#[test]
fn a_lost_reply_to_the_commit_is_resolved() {
    run(async {
        let cluster = Cluster::start(ClusterPlan::default()).await;
        let begin = version(&cluster, 1)
            .await
            .expect("the entry must report a version");
        let faults = json!({ "lose_replies_percent": 60, "lose_prefix": "settings/head" });
        cluster.set_faults("platform", faults).await;
        let start = Instant::now();
        let mut events = Vec::new();
        for round in 0..4 {
            let expected = version(&cluster, 1)
                .await
                .expect("the entry must report a version");
            let calls = (1..=2).map(|entry| {
                change_with_event(
                    &cluster,
                    entry,
                    400 + round * 2 + entry as u64,
                    expected,
                    start,
                )
            });
            events.extend(join_all(calls).await.into_iter().map(|(event, _)| event));
        }
        cluster.set_faults("platform", json!({})).await;
        assert!(
            is_linearizable(&HeadModel { start: begin }, &events),
            "{events:?}"
        );
        let accepted = events
            .iter()
            .filter(|event| matches!(event.output, Some(Some(_))))
            .count();
        assert!(accepted > 0, "no change was accepted: {events:?}");
    });
}

#[test]
fn an_entry_started_in_an_outage_gets_the_settings_from_its_peers() {
    run(async {
        let mut cluster = Cluster::start(ClusterPlan::default()).await;
        let before = version(&cluster, 2)
            .await
            .expect("the entry must report a version");
        cluster.kill("entry-1");
        cluster
            .set_faults("platform", json!({ "down": true }))
            .await;
        cluster.restart("entry-1");
        wait_for("the settings to arrive from a sidecar", || async {
            (version(&cluster, 1).await? == before).then_some(())
        })
        .await;
        let answer = wait_for("a request to be served", || async {
            let answer = cluster.request(1, "/in-the-outage", &[]).await.ok()?;
            (answer.outcome == "ran").then_some(answer)
        })
        .await;
        assert_eq!(answer.status, 200);
    });
}

#[test]
fn an_invalid_change_is_refused_with_the_reason() {
    run(async {
        let cluster = Cluster::start(ClusterPlan::default()).await;
        let before = version(&cluster, 1).await;
        let url = format!("{}/v1/settings", cluster.operators(1));
        let edits: [(Value, &str); 4] = [
            (
                json!({ "path": "/barrages", "key": "wieght", "value": 1 }),
                "no such key",
            ),
            (
                json!({ "path": "/barrages", "key": "weight", "value": 0 }),
                "out of range",
            ),
            (
                json!({ "path": "/barrages", "key": "weight", "value": "much" }),
                "invalid type",
            ),
            (
                json!({ "path": "/nobody/service", "key": "weight", "value": 5 }),
                "not declared",
            ),
        ];
        for (edit, reason) in edits {
            let body = json!({ "author": "test", "edits": [edit] });
            let answer = post_json(&url, &body)
                .await
                .expect("the call must be answered");
            assert_eq!(answer.status, 400, "{}", answer.text());
            assert!(answer.text().contains(reason), "{}", answer.text());
        }
        assert_eq!(version(&cluster, 1).await, before);
    });
}
