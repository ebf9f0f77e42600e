//! The settings tree in the table: a head row with the version, a log of changes, and a row for each
//! node. The version grows with each change.

use crate::process::EntryShared;
use compio::time::sleep;
use serde::{Deserialize, Serialize};
use std::rc::Rc;
use std::time::Duration;
use wax_platform::{CommitOutcome, RowEntry, TableTransaction};
use wax_settings::{ApplyOutcome, NodePath, NodeSettings, SettingsTree, TreeDelta};
use wax_trace::{Counter, count};
use wax_types::{ErrorKind, RowVersion, SettingsVersion, Step, TimePoint, WaxError, wall_clock_ms};

const HEAD_KEY: &str = "settings/head";
const NODE_PREFIX: &str = "settings/node/";
const LOG_PREFIX: &str = "settings/log/";
/// Maximum number of deltas that are read from the log. A process that is further behind reads the
/// whole tree.
const MAX_LOG_DELTAS: u64 = 32;
/// Maximum number of attempts to read the whole tree without a change in between.
const MAX_READ_ATTEMPTS: usize = 5;

/// Row `settings/head`. Each change is conditional on this row, which puts the versions in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct HeadRow {
    version: SettingsVersion,
}

/// Row `settings/node/PATH`: the settings of one node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct NodeRow {
    path: NodePath,
    settings: NodeSettings,
}

fn log_key(version: SettingsVersion) -> String {
    format!("{LOG_PREFIX}{:012}", version.0)
}

fn node_key(path: &NodePath) -> String {
    format!("{NODE_PREFIX}{path}")
}

/// Reads the settings at the start of the process. If the store does not answer, a sidecar may
/// still send its version.
pub(crate) async fn load_settings(shared: &Rc<EntryShared>) {
    if let Err(error) = pull_settings(shared).await {
        tracing::warn!(%error, "settings not read; requests are rejected until a version arrives");
    }
}

/// Reads newer settings from the store every `period`, in addition to the updates from sidecars.
pub(crate) async fn poll_settings(shared: Rc<EntryShared>, period: Duration) {
    loop {
        sleep(period).await;
        // If the read fails, the settings in force stay unchanged. The store client logs the outage.
        let _ = pull_settings(&shared).await;
    }
}

/// Applies all changes up to the version in the head row.
pub(crate) async fn pull_settings(shared: &Rc<EntryShared>) -> Result<(), WaxError> {
    let head = read_head(shared).await?;
    let target = head.map_or_else(SettingsVersion::default, |row| row.value.version);
    let current = shared.settings.version();
    if target <= current {
        if !shared.settings_loaded.replace(true) {
            tracing::info!(version = %current, "settings loaded");
        }
        return Ok(());
    }
    if target.0 - current.0 > MAX_LOG_DELTAS {
        let tree = read_tree(shared).await?;
        apply_tree(shared, tree);
        return Ok(());
    }
    for delta in read_deltas(shared, current.next(), target).await? {
        apply_delta(shared, delta);
    }
    if shared.settings.version() < target {
        let tree = read_tree(shared).await?;
        apply_tree(shared, tree);
    }
    Ok(())
}

fn apply_tree(shared: &EntryShared, tree: SettingsTree) {
    if let ApplyOutcome::Applied(version) = shared.settings.apply(tree) {
        count(Counter::SettingsApplied);
        tracing::info!(%version, "settings in force");
        shared.publish_settings(None);
    }
}

fn apply_delta(shared: &EntryShared, delta: TreeDelta) {
    if let ApplyOutcome::Applied(version) = shared.settings.apply_delta(&delta) {
        count(Counter::SettingsApplied);
        tracing::info!(%version, author = %delta.author, "settings in force");
        shared.publish_settings(Some(delta));
    }
}

async fn read_head(shared: &EntryShared) -> Result<Option<RowEntry<HeadRow>>, WaxError> {
    shared.table.read::<HeadRow>(HEAD_KEY).await
}

/// Reads the whole tree. The head row is read before and after, to detect a concurrent change.
async fn read_tree(shared: &EntryShared) -> Result<SettingsTree, WaxError> {
    for _ in 0..MAX_READ_ATTEMPTS {
        let before = read_head(shared).await?;
        let rows = shared.table.scan::<NodeRow>(NODE_PREFIX).await?;
        let after = read_head(shared).await?;
        if before != after {
            continue;
        }
        return Ok(SettingsTree {
            version: after.map_or_else(SettingsVersion::default, |row| row.value.version),
            nodes: rows
                .into_iter()
                .map(|row| (row.value.path, row.value.settings))
                .collect(),
        });
    }
    let text = "the tree kept changing while it was read";
    Err(WaxError::new(
        ErrorKind::Conflict,
        Step::ReadSettings,
        "table",
        text,
    ))
}

/// Commits a change of the tree on the condition that the head row is unchanged.
///
/// # Errors
///
/// `Conflict` if the version in force is not `expected`; the error names that version and its author.
/// `Unavailable` if nothing was sent to the store. `Ambiguous` if the commit is indeterminate.
pub(crate) async fn commit_change(
    shared: &Rc<EntryShared>,
    expected: SettingsVersion,
    author: &str,
    change: impl FnOnce(&mut SettingsTree) -> Result<(), WaxError>,
    deadline: TimePoint,
) -> Result<SettingsVersion, WaxError> {
    pull_settings(shared).await?;
    let head = read_head(shared).await?;
    let tree = shared.settings.tree();
    if tree.version != expected {
        return Err(conflict_error(shared, tree.version).await);
    }
    let mut next = (*tree).clone();
    change(&mut next)?;
    next.check()?;
    let delta = tree.delta_to(&next, author, wall_clock_ms());
    if delta.nodes.is_empty() {
        return Ok(tree.version);
    }
    let transaction = change_transaction(shared, head, &delta).await?;
    match shared.writer.commit(transaction, deadline).await {
        CommitOutcome::Committed(_) => {
            let version = delta.version;
            apply_delta(shared, delta);
            Ok(version)
        }
        CommitOutcome::Conflict(_) => {
            pull_settings(shared).await?;
            Err(conflict_error(shared, shared.settings.version()).await)
        }
        CommitOutcome::NotSent(error) => Err(WaxError {
            kind: ErrorKind::Unavailable(error.retry_after().unwrap_or(Duration::from_secs(1))),
            step: Step::ChangeSettings,
            ..error
        }),
        CommitOutcome::Unknown(error) => Err(WaxError::new(
            ErrorKind::Ambiguous,
            Step::ChangeSettings,
            "table",
            error.label,
        )
        .with_help("look at `waxwing settings log` whether the change was accepted")),
    }
}

async fn change_transaction(
    shared: &EntryShared,
    head: Option<RowEntry<HeadRow>>,
    delta: &TreeDelta,
) -> Result<TableTransaction, WaxError> {
    let keys: Vec<String> = delta.nodes.iter().map(|(path, _)| node_key(path)).collect();
    let keys: Vec<&str> = keys.iter().map(String::as_str).collect();
    let rows = shared.table.read_many::<NodeRow>(&keys).await?;
    let version_of = |key: &str| {
        rows.iter()
            .find(|row| &*row.key == key)
            .map_or_else(RowVersion::default, |row| row.version)
    };
    let mut transaction = TableTransaction::default();
    let head_version = head.map_or_else(RowVersion::default, |row| row.version);
    let next = HeadRow {
        version: delta.version,
    };
    transaction.put(HEAD_KEY, head_version, &next);
    transaction.put(log_key(delta.version), RowVersion::default(), delta);
    for (path, settings) in &delta.nodes {
        let key = node_key(path);
        let version = version_of(&key);
        match settings {
            Some(settings) => {
                let row = NodeRow {
                    path: path.clone(),
                    settings: settings.clone(),
                };
                transaction.put(key, version, &row);
            }
            None if version != RowVersion::default() => {
                transaction.delete(key, version);
            }
            None => {}
        }
    }
    Ok(transaction)
}

/// Builds the error that names the version in force and its author.
async fn conflict_error(shared: &EntryShared, current: SettingsVersion) -> WaxError {
    let log = shared.table.read::<TreeDelta>(&log_key(current)).await;
    let author = match log {
        Ok(Some(row)) => row.value.author,
        _ => "somebody".into(),
    };
    let text = format!("version {current} by {author} is in force");
    WaxError::new(ErrorKind::Conflict, Step::ChangeSettings, "settings", text)
        .with_help("look at the difference and apply the change to that version")
}

/// Returns up to `max_entries` of the newest entries of the log, newest first.
///
/// # Errors
///
/// The store does not answer.
pub(crate) async fn read_log(
    shared: &EntryShared,
    max_entries: u64,
) -> Result<Vec<TreeDelta>, WaxError> {
    let newest = shared.settings.version();
    let oldest = SettingsVersion(newest.0.saturating_sub(max_entries) + 1);
    let mut log = read_deltas(shared, oldest, newest).await?;
    log.reverse();
    Ok(log)
}

/// Reads the deltas of the versions `from` to `to`, both included, in ascending order. Versions
/// that are not in the log are left out.
async fn read_deltas(
    shared: &EntryShared,
    from: SettingsVersion,
    to: SettingsVersion,
) -> Result<Vec<TreeDelta>, WaxError> {
    let keys: Vec<String> = (from.0..=to.0)
        .map(|version| log_key(SettingsVersion(version)))
        .collect();
    let keys: Vec<&str> = keys.iter().map(String::as_str).collect();
    let rows = shared.table.read_many::<TreeDelta>(&keys).await?;
    let mut deltas: Vec<TreeDelta> = rows.into_iter().map(|row| row.value).collect();
    deltas.sort_by_key(|delta| delta.version);
    Ok(deltas)
}
