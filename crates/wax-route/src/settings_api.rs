//! The settings tree over HTTP, for operators.

use crate::process::EntryShared;
use crate::settings_sync::{commit_change, pull_settings, read_log};
use crate::status::{RolloutStatus, rollout_status};
use compio::time::timeout;
use http::StatusCode;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::rc::Rc;
use std::time::Duration;
use wax_http::{HttpReply, HttpRequest, json_reply, parse_json};
use wax_settings::{NodePath, SettingsTree, TreeChange, ValueOrigin};
use wax_types::{ErrorKind, SettingsVersion, Step, WaxError};

const MAX_BODY_BYTES: usize = 16 << 20;
const COMMIT_TIMEOUT: Duration = Duration::from_secs(3);
const MAX_LOG_ENTRIES: u64 = 50;
/// Between two looks at how far a version has come.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// One value to set or clear.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ValueEdit {
    path: NodePath,
    key: Box<str>,
    /// `None` clears the override.
    value: Option<Value>,
}

/// Body of `POST /v1/settings`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ChangeRequest {
    /// The version that the change was made for; the present one if it is left out.
    #[serde(default)]
    expected: Option<SettingsVersion>,
    author: Box<str>,
    /// Single values; or
    #[serde(default)]
    edits: Vec<ValueEdit>,
    /// the whole tree.
    #[serde(default)]
    tree: Option<SettingsTree>,
    /// Only shows what would change.
    #[serde(default)]
    dry_run: bool,
    /// Waits this long for the version to be in force everywhere.
    #[serde(default)]
    wait_ms: u64,
}

/// Answer to a change.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ChangeReply {
    version: SettingsVersion,
    changes: Vec<TreeChange>,
    force: Option<RolloutStatus>,
}

/// Answer to a question about one node.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct ExplainReply {
    version: SettingsVersion,
    path: NodePath,
    values: Vec<ValueOrigin>,
}

pub(crate) async fn get(shared: &Rc<EntryShared>) -> Result<HttpReply, WaxError> {
    Ok(json_reply(StatusCode::OK, &*shared.settings.tree()))
}

pub(crate) async fn explain(shared: &Rc<EntryShared>, path: &str) -> Result<HttpReply, WaxError> {
    let path: NodePath = path.parse()?;
    let tree = shared.settings.tree();
    if path != NodePath::root() && !tree.contains(&path) {
        let text = "the node is not declared";
        return Err(WaxError::new(
            ErrorKind::NotFound,
            Step::ReadSettings,
            path.as_str(),
            text,
        ));
    }
    let reply = ExplainReply {
        version: tree.version,
        values: tree.explain(&path),
        path,
    };
    Ok(json_reply(StatusCode::OK, &reply))
}

pub(crate) async fn log(shared: &Rc<EntryShared>) -> Result<HttpReply, WaxError> {
    Ok(json_reply(
        StatusCode::OK,
        &read_log(shared, MAX_LOG_ENTRIES).await?,
    ))
}

pub(crate) async fn change(
    shared: &Rc<EntryShared>,
    request: HttpRequest,
) -> Result<HttpReply, WaxError> {
    let request: ChangeRequest = parse_json(request, MAX_BODY_BYTES).await?;
    pull_settings(shared).await.map_err(|error| WaxError {
        kind: ErrorKind::Unavailable(error.retry_after().unwrap_or(Duration::from_secs(1))),
        step: Step::ChangeSettings,
        ..error
    })?;
    let before = shared.settings.tree();
    let expected = request.expected.unwrap_or(before.version);
    let mut after = (*before).clone();
    apply_edits(&mut after, &request)?;
    after.check()?;
    let changes = before.diff(&after);
    if request.dry_run {
        let reply = ChangeReply {
            version: before.version,
            changes,
            force: None,
        };
        return Ok(json_reply(StatusCode::OK, &reply));
    }
    let deadline = shared.clock.now() + COMMIT_TIMEOUT;
    let edit = |tree: &mut SettingsTree| apply_edits(tree, &request);
    let version = commit_change(shared, expected, &request.author, edit, deadline).await?;
    let force = wait_for_rollout(shared, version, Duration::from_millis(request.wait_ms)).await;
    let reply = ChangeReply {
        version,
        changes,
        force: Some(force),
    };
    Ok(json_reply(StatusCode::OK, &reply))
}

fn apply_edits(tree: &mut SettingsTree, request: &ChangeRequest) -> Result<(), WaxError> {
    if let Some(next) = &request.tree {
        tree.nodes = next.nodes.clone();
    }
    for edit in &request.edits {
        tree.set(&edit.path, &edit.key, edit.value.clone())?;
    }
    Ok(())
}

/// Waits until a version is in force everywhere, or for `span`.
async fn wait_for_rollout(
    shared: &Rc<EntryShared>,
    version: SettingsVersion,
    max_wait: Duration,
) -> RolloutStatus {
    let end = shared.clock.now() + max_wait;
    loop {
        let status = rollout_status(shared, version);
        if status.in_force == status.processes || shared.clock.now() >= end {
            return status;
        }
        // Acknowledgements of sidecars wake this; those of entries come with their rows.
        let _ = timeout(POLL_INTERVAL, shared.settings_progress.listen()).await;
    }
}
