//! The settings tree in the table: one head row whose version grows, a log, one row a node.

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
/// The log is read this far; a process further behind reads the whole tree.
const LOG_REACH: u64 = 32;
/// A whole read that meets a change is begun again, this often.
const READ_TRIES: usize = 5;

/// Row `settings/head`: the one guard of the order of versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct HeadRow {
    version: SettingsVersion,
}

/// Row `settings/node/PATH`.
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

/// Reads the tree at the start; where the store does not answer, a sidecar's version may come.
pub(crate) async fn load_settings(shared: &Rc<EntryShared>) {
    if let Err(error) = pull(shared).await {
        tracing::warn!(%error, "settings not read; serving nothing until a version arrives");
    }
}

/// Pulls a greater version, every `period`; pushes from peers come besides.
pub(crate) async fn keep_settings(shared: Rc<EntryShared>, period: Duration) {
    loop {
        sleep(period).await;
        // An outage is reported by the store's health; what was in force stays in force.
        let _ = pull(&shared).await;
    }
}

/// Brings this process to the version of the head row.
pub(crate) async fn pull(shared: &Rc<EntryShared>) -> Result<(), WaxError> {
    let head = read_head(shared).await?;
    let target = head.map_or_else(SettingsVersion::default, |row| row.value.version);
    let own = shared.settings.version();
    if target <= own {
        if !shared.settings_loaded.replace(true) {
            tracing::info!(version = %own, "settings loaded");
        }
        return Ok(());
    }
    if target.0 - own.0 > LOG_REACH {
        let tree = read_tree(shared).await?;
        take_tree(shared, tree);
        return Ok(());
    }
    for delta in read_deltas(shared, own.next(), target).await? {
        take_delta(shared, delta);
    }
    if shared.settings.version() < target {
        let tree = read_tree(shared).await?;
        take_tree(shared, tree);
    }
    Ok(())
}

fn take_tree(shared: &EntryShared, tree: SettingsTree) {
    if let ApplyOutcome::Applied(version) = shared.settings.apply(tree) {
        count(Counter::SettingsApplied);
        tracing::info!(%version, "settings in force");
        shared.after_settings(None);
    }
}

fn take_delta(shared: &EntryShared, delta: TreeDelta) {
    if let ApplyOutcome::Applied(version) = shared.settings.apply_delta(&delta) {
        count(Counter::SettingsApplied);
        tracing::info!(%version, author = %delta.author, "settings in force");
        shared.after_settings(Some(delta));
    }
}

async fn read_head(shared: &EntryShared) -> Result<Option<RowEntry<HeadRow>>, WaxError> {
    shared.table.read::<HeadRow>(HEAD_KEY).await
}

/// Reads the whole tree between two looks at the head that show the same version.
async fn read_tree(shared: &EntryShared) -> Result<SettingsTree, WaxError> {
    for _ in 0..READ_TRIES {
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

/// Commits a change of the tree by compare-and-set of the head row.
///
/// # Errors
///
/// `Conflict` if another change came first, with its version and author; `Unavailable` if
/// nothing was sent; `Ambiguous` if the fate is not known.
pub(crate) async fn commit_change(
    shared: &Rc<EntryShared>,
    expected: SettingsVersion,
    author: &str,
    change: impl FnOnce(&mut SettingsTree) -> Result<(), WaxError>,
    deadline: TimePoint,
) -> Result<SettingsVersion, WaxError> {
    pull(shared).await?;
    let head = read_head(shared).await?;
    let tree = shared.settings.tree();
    if tree.version != expected {
        return Err(conflict(shared, tree.version).await);
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
            take_delta(shared, delta);
            Ok(version)
        }
        CommitOutcome::Conflict(_) => {
            pull(shared).await?;
            Err(conflict(shared, shared.settings.version()).await)
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

/// Names the version that won and who made it.
async fn conflict(shared: &EntryShared, winner: SettingsVersion) -> WaxError {
    let log = shared.table.read::<TreeDelta>(&log_key(winner)).await;
    let author = match log {
        Ok(Some(row)) => row.value.author,
        _ => "somebody".into(),
    };
    let text = format!("version {winner} by {author} is in force");
    WaxError::new(ErrorKind::Conflict, Step::ChangeSettings, "settings", text)
        .with_help("look at the difference and apply the change to that version")
}

/// The newest entries of the log, newest first.
///
/// # Errors
///
/// The store does not answer.
pub(crate) async fn read_log(shared: &EntryShared, most: u64) -> Result<Vec<TreeDelta>, WaxError> {
    let newest = shared.settings.version();
    let oldest = SettingsVersion(newest.0.saturating_sub(most) + 1);
    let mut log = read_deltas(shared, oldest, newest).await?;
    log.reverse();
    Ok(log)
}

/// The deltas of the versions `from` to `to`, both included, in their order.
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
