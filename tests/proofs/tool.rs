//! Tests of the operators' tool `waxwing` against a running system.

use crate::support::audit::{all_runs, check_no_overlap};
use crate::support::calls::{get_json, post_json};
use crate::support::cluster::{Cluster, ClusterPlan};
use crate::support::{run, wait_for};
use serde_json::{Value, json};
use std::path::{Path, PathBuf};
use std::process::Command;

/// Runs the tool against the first entry; returns its exit code and its standard output followed by its
/// standard error.
fn waxwing(cluster: &Cluster, args: &[&str]) -> (Option<i32>, String) {
    let tool = Path::new(env!("CARGO_BIN_EXE_waxwingd")).with_file_name("waxwing");
    let output = Command::new(tool)
        .args(["--entry", &cluster.address("entry-1", "operators")])
        .args(args)
        .output()
        .expect("the tool runs");
    let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
    text.push_str(&String::from_utf8_lossy(&output.stderr));
    (output.status.code(), text)
}

fn example_tree(customer: &str) -> String {
    format!("{}/examples/{customer}/tree", env!("CARGO_MANIFEST_DIR"))
}

#[test]
fn an_exported_tree_applies_without_a_change() {
    run(async {
        let cluster = Cluster::start(ClusterPlan::default()).await;
        for customer in ["riveneige", "mares-patentes"] {
            let (code, text) = waxwing(
                &cluster,
                &["settings", "apply", &example_tree(customer), "--wait", "60"],
            );
            assert_eq!(code, Some(0), "{text}");
            assert!(text.contains("in force at 4 of 4"), "{text}");
            let folder =
                PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("export-{customer}"));
            let folder = folder.display().to_string();
            let (code, text) = waxwing(&cluster, &["settings", "export", &folder]);
            assert_eq!(code, Some(0), "{text}");
            let (_, before) = waxwing(&cluster, &["settings", "get"]);
            let (code, text) = waxwing(&cluster, &["settings", "apply", &folder]);
            assert_eq!(code, Some(0), "{text}");
            let (_, after) = waxwing(&cluster, &["settings", "get"]);
            assert_eq!(before, after, "applying an export must not change the tree");
        }
    });
}

#[test]
fn a_dry_run_shows_and_changes_nothing() {
    run(async {
        let cluster = Cluster::start(ClusterPlan::default()).await;
        let (_, before) = waxwing(&cluster, &["settings", "get"]);
        let folder = example_tree("riveneige");
        let (code, text) = waxwing(&cluster, &["settings", "apply", &folder, "--dry-run"]);
        assert_eq!(code, Some(0), "{text}");
        assert!(
            text.contains("/barrages/niveau-service") && text.contains("dry run"),
            "{text}"
        );
        let (_, after) = waxwing(&cluster, &["settings", "get"]);
        assert_eq!(before, after);
    });
}

#[test]
fn a_conflict_names_the_winner_and_exits_with_code_1() {
    run(async {
        let cluster = Cluster::start(ClusterPlan::default()).await;
        let set = [
            "settings",
            "set",
            "/barrages",
            "weight",
            "150",
            "--expected",
            "1",
        ];
        let (code, text) = waxwing(&cluster, &set);
        assert_eq!(code, Some(0), "{text}");
        let (code, text) = waxwing(&cluster, &set);
        assert_eq!(code, Some(1), "{text}");
        assert!(text.contains("version 2 by"), "{text}");
        let (code, text) = waxwing(&cluster, &["settings", "explain", "/barrages"]);
        assert_eq!(code, Some(0), "{text}");
        let line = text.lines().find(|line| line.starts_with("weight "));
        assert!(
            line.is_some_and(|line| line.contains("150") && line.contains("/barrages")),
            "{text}"
        );
        let (code, text) = waxwing(&cluster, &["settings", "log"]);
        assert_eq!(code, Some(0), "{text}");
        assert!(text.contains("/barrages"), "{text}");
    });
}

/// Returns the number of runs that a worker has recorded.
async fn runs_on(cluster: &Cluster, worker: &str) -> usize {
    let record = cluster.record(worker).await;
    record["runs"].as_array().map_or(0, Vec::len)
}

/// Runs a job that is large enough for all three workers, and waits until its tasks have succeeded.
async fn run_wide_job(cluster: &Cluster, key: &str) {
    let input = json!({ "work_ms": 100 });
    let job = cluster
        .submit_until_accepted("sommaire", 12, input, key)
        .await;
    let view = cluster.wait_ended(&job).await;
    for task in view["tasks"].as_array().into_iter().flatten() {
        assert!(task["state"]["done"].is_string(), "{task}");
    }
}

/// Waits until every entry shows these failure domains as drained.
async fn wait_drained(cluster: &Cluster, expected: Value) {
    wait_status(cluster, "drained", expected).await;
}

/// Waits until a field of the status has this value on every entry.
async fn wait_status(cluster: &Cluster, key: &str, expected: Value) {
    wait_for(&format!("{key} {expected} on all entries"), || async {
        for n in 1..=2 {
            let status = get_json(&format!("{}/v1/status", cluster.operators(n))).await?;
            if status[key] != expected {
                return None;
            }
        }
        Some(())
    })
    .await;
}

#[test]
fn a_drained_domain_gets_no_runs_until_it_is_undrained() {
    run(async {
        let plan = ClusterPlan {
            shards: 1,
            ..ClusterPlan::default()
        };
        let cluster = Cluster::start(plan).await;
        cluster.wait_owned().await;
        // Of the three workers, only `worker-1` is in `domain-2`.
        for _ in 0..2 {
            let (code, text) = waxwing(&cluster, &["domain", "drain", "domain-2"]);
            assert_eq!(code, Some(0), "{text}");
            assert!(text.contains("drained"), "{text}");
        }
        wait_drained(&cluster, json!(["domain-2"])).await;
        let (_, text) = waxwing(&cluster, &["status"]);
        assert!(text.contains("drained failure domains: domain-2"), "{text}");
        run_wide_job(&cluster, "drained-1").await;
        run_wide_job(&cluster, "drained-2").await;
        assert_eq!(runs_on(&cluster, "worker-1").await, 0);
        let (code, text) = waxwing(&cluster, &["domain", "undrain", "domain-2"]);
        assert_eq!(code, Some(0), "{text}");
        wait_drained(&cluster, json!([])).await;
        let turn = std::cell::Cell::new(0);
        wait_for("a job to use the domain again", || async {
            turn.set(turn.get() + 1);
            run_wide_job(&cluster, &format!("open-{}", turn.get())).await;
            (runs_on(&cluster, "worker-1").await > 0).then_some(())
        })
        .await;
        check_no_overlap(&all_runs(&cluster).await);
    });
}

/// A drain row that cannot be decoded counts as a drain of its domain, to be safe, and does not affect other drains.
#[test]
fn a_damaged_drain_row_hides_no_other() {
    run(async {
        let cluster = Cluster::start(ClusterPlan::default()).await;
        let key = "drain/domain-9";
        let row = json!({
            "conditions": [{ "key": key, "version": 0 }],
            "writes": [{ "key": key, "value": { "nonce": 1, "value": "?" } }],
        });
        let url = format!("{}/table/commit", cluster.platform_url());
        let answer = post_json(&url, &row)
            .await
            .expect("the platform must answer");
        assert_eq!(answer.status, 200, "{}", answer.text());
        let (code, text) = waxwing(&cluster, &["domain", "drain", "domain-2"]);
        assert_eq!(code, Some(0), "{text}");
        wait_drained(&cluster, json!(["domain-2", "domain-9"])).await;
        let (code, text) = waxwing(&cluster, &["domain", "undrain", "domain-9"]);
        assert_eq!(code, Some(0), "{text}");
        wait_drained(&cluster, json!(["domain-2"])).await;
    });
}

#[test]
fn a_domain_with_an_invalid_name_is_refused() {
    run(async {
        let cluster = Cluster::start(ClusterPlan::default()).await;
        let long = "x".repeat(101);
        for name in ["a*b", &long] {
            let (code, text) = waxwing(&cluster, &["domain", "drain", name]);
            assert_ne!(code, Some(0), "{text}");
            assert!(
                text.contains("expected the name of a failure domain"),
                "{text}"
            );
        }
        let status = get_json(&format!("{}/v1/status", cluster.operators(1))).await;
        assert_eq!(status.expect("the entry must answer")["drained"], json!([]));
    });
}

/// Guards against new tasks on a drained worker, on the other side against a drain that moves or hides other
/// workers, and against a drain that is lost when all entries restart.
#[test]
fn a_drained_worker_gets_no_runs_until_it_is_undrained() {
    run(async {
        let plan = ClusterPlan {
            shards: 1,
            ..ClusterPlan::default()
        };
        let mut cluster = Cluster::start(plan).await;
        cluster.wait_owned().await;
        for _ in 0..2 {
            let (code, text) = waxwing(&cluster, &["worker", "drain", "worker-1"]);
            assert_eq!(code, Some(0), "{text}");
            assert!(text.contains("drained") && !text.contains("note"), "{text}");
        }
        wait_status(&cluster, "drained_workers", json!(["worker-1"])).await;
        let (_, text) = waxwing(&cluster, &["status"]);
        assert!(text.contains("drained workers: worker-1"), "{text}");
        run_wide_job(&cluster, "drained-1").await;
        for entry in ["entry-1", "entry-2"] {
            cluster.kill(entry);
        }
        for entry in ["entry-1", "entry-2"] {
            cluster.restart(entry);
        }
        cluster.wait_owned().await;
        wait_status(&cluster, "drained_workers", json!(["worker-1"])).await;
        run_wide_job(&cluster, "drained-2").await;
        assert_eq!(runs_on(&cluster, "worker-1").await, 0);
        assert!(runs_on(&cluster, "worker-2").await > 0);
        let (code, text) = waxwing(&cluster, &["worker", "undrain", "worker-1"]);
        assert_eq!(code, Some(0), "{text}");
        wait_status(&cluster, "drained_workers", json!([])).await;
        let turn = std::cell::Cell::new(0);
        wait_for("a job to use the worker again", || async {
            turn.set(turn.get() + 1);
            run_wide_job(&cluster, &format!("open-{}", turn.get())).await;
            (runs_on(&cluster, "worker-1").await > 0).then_some(())
        })
        .await;
        check_no_overlap(&all_runs(&cluster).await);
    });
}

/// The VM of a worker may be added after the drain, so a name that the platform does not list is a note and no
/// error. The row must not be mistaken for the drain of a failure domain.
#[test]
fn an_unknown_worker_is_drained_with_a_note() {
    run(async {
        let cluster = Cluster::start(ClusterPlan::default()).await;
        for (command, expected) in [("drain", json!(["worker-77"])), ("undrain", json!([]))] {
            let (code, text) = waxwing(&cluster, &["worker", command, "worker-77"]);
            assert_eq!(code, Some(0), "{text}");
            assert!(text.contains("lists no worker worker-77"), "{text}");
            wait_status(&cluster, "drained_workers", expected).await;
            wait_drained(&cluster, json!([])).await;
        }
        let url = format!("{}/table/read", cluster.platform_url());
        let answer = post_json(&url, &json!({ "keys": ["drain-worker/worker-77"] })).await;
        let rows = answer.expect("the platform must answer").text();
        assert!(
            rows.contains("\"rows\":[]"),
            "rows of workers must not pile up: {rows}"
        );
        let (code, text) = waxwing(&cluster, &["worker", "undrain", "worker-77"]);
        assert_eq!(code, Some(0), "an undrain without a drain: {text}");
    });
}

/// An undrain removes its row, so that no nonce shows whether a lost reply was that of a success. The operator must
/// not get an error for a drain that has ended.
#[test]
fn an_undrain_of_a_worker_succeeds_when_replies_are_lost() {
    run(async {
        let cluster = Cluster::start(ClusterPlan::default()).await;
        let (code, text) = waxwing(&cluster, &["worker", "drain", "worker-1"]);
        assert_eq!(code, Some(0), "{text}");
        let faults = json!({
            "lose_replies_percent": 100, "lose_prefix": "drain-worker/", "no_workers": true
        });
        cluster.set_faults("platform", faults).await;
        let (code, text) = waxwing(&cluster, &["worker", "undrain", "worker-1"]);
        assert_eq!(code, Some(0), "{text}");
        assert!(text.contains("note: the platform did not answer"), "{text}");
        wait_status(&cluster, "drained_workers", json!([])).await;
    });
}

#[test]
fn a_worker_with_an_invalid_name_is_refused() {
    run(async {
        let cluster = Cluster::start(ClusterPlan::default()).await;
        let long = "x".repeat(101);
        for name in ["a*b", "worker/1", "i-1@1783700585518", &long] {
            let (code, text) = waxwing(&cluster, &["worker", "drain", name]);
            assert_eq!(code, Some(2), "{text}");
            assert!(text.contains("expected the name of a worker"), "{text}");
        }
        let status = get_json(&format!("{}/v1/status", cluster.operators(1))).await;
        assert_eq!(
            status.expect("the entry must answer")["drained_workers"],
            json!([])
        );
    });
}
