//! Checks the runs that the workers recorded against the guarantees.

use super::cluster::Cluster;
use serde_json::Value;
use std::collections::BTreeMap;

/// Run of a task as recorded by a worker. `end_ms` is `u64::MAX` while the task runs.
#[derive(Debug, Clone)]
pub(crate) struct RunRecord {
    pub(crate) task: String,
    pub(crate) epoch: u64,
    pub(crate) start_ms: u64,
    pub(crate) end_ms: u64,
    pub(crate) resumed_from: Option<String>,
    pub(crate) cpu_milli_seconds: u64,
}

/// Returns the runs that all workers of the cluster recorded; panics if a worker got more than its capacity.
pub(crate) async fn all_runs(cluster: &Cluster) -> Vec<RunRecord> {
    let mut runs = Vec::new();
    for worker in cluster.worker_names() {
        let record = cluster.record(&worker).await;
        assert_eq!(
            record["worst_over"], 0,
            "{worker} got more than its capacity"
        );
        for run in record["runs"].as_array().into_iter().flatten() {
            runs.push(read_run(run));
        }
    }
    runs
}

fn read_run(run: &Value) -> RunRecord {
    RunRecord {
        task: run["task"].as_str().unwrap_or_default().to_owned(),
        epoch: run["epoch"].as_u64().unwrap_or_default(),
        start_ms: run["start_ms"].as_u64().unwrap_or_default(),
        end_ms: run["end_ms"].as_u64().unwrap_or(u64::MAX),
        resumed_from: run["resumed_from"].as_str().map(str::to_owned),
        cpu_milli_seconds: run["cpu_milli_seconds"].as_u64().unwrap_or_default(),
    }
}

/// Panics if two runs of a task overlap in time, or if the epochs of successive runs do not increase.
pub(crate) fn check_no_overlap(runs: &[RunRecord]) {
    let mut by_task: BTreeMap<&str, Vec<&RunRecord>> = BTreeMap::new();
    for run in runs {
        by_task.entry(&run.task).or_default().push(run);
    }
    for (task, mut runs) in by_task {
        runs.sort_by_key(|run| (run.start_ms, run.epoch));
        for pair in runs.windows(2) {
            assert!(
                pair[0].end_ms <= pair[1].start_ms,
                "{task} ran in two places: {pair:?}"
            );
            assert!(
                pair[0].epoch < pair[1].epoch,
                "{task} ran twice in one epoch or out of order: {pair:?}"
            );
        }
    }
}

/// Panics if two overlapping runs resumed from the same checkpoint.
pub(crate) fn check_resumed_once(runs: &[RunRecord]) {
    let mut resumed: BTreeMap<&str, &RunRecord> = BTreeMap::new();
    for run in runs {
        let Some(checkpoint) = run.resumed_from.as_deref() else {
            continue;
        };
        if let Some(other) = resumed.insert(checkpoint, run) {
            // A later run may use the same checkpoint if the first one was lost before it wrote a new checkpoint.
            assert!(
                other.end_ms <= run.start_ms || run.end_ms <= other.start_ms,
                "two overlapping runs resumed from one checkpoint: {other:?} {run:?}"
            );
        }
    }
}
