//! HTTP interface of the settings tree, for operators.

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
/// Timeout for the commit of a change.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(3);
const MAX_LOG_ENTRIES: u64 = 50;
/// Maximum time between two checks of the rollout of a version.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Change of one value: set or cleared.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ValueEdit {
    path: NodePath,
    key: Box<str>,
    /// `None` clears the value, so that the node inherits it again.
    value: Option<Value>,
}

/// Body of `POST /v1/settings`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ChangeRequest {
    /// Version that the change is based on; `None` means the version in force.
    #[serde(default)]
    expected: Option<SettingsVersion>,
    /// Name under which the change is logged.
    author: Box<str>,
    /// Changes of single values, applied after `tree`.
    #[serde(default)]
    edits: Vec<ValueEdit>,
    /// Replaces all nodes of the tree.
    #[serde(default)]
    tree: Option<SettingsTree>,
    /// Returns the changes without committing them.
    #[serde(default)]
    dry_run: bool,
    /// Maximum time to wait until all known processes apply the version.
    #[serde(default)]
    wait_ms: u64,
}

/// Reply to `POST /v1/settings`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ChangeReply {
    version: SettingsVersion,
    changes: Vec<TreeChange>,
    /// Rollout of the new version; `None` for a dry run.
    force: Option<RolloutStatus>,
}

/// Reply to `GET /v1/settings/explain`: the origin of each value of one node.
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
    let rollout = wait_for_rollout(shared, version, Duration::from_millis(request.wait_ms)).await;
    let reply = ChangeReply {
        version,
        changes,
        force: Some(rollout),
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

/// Waits until all known processes apply a version, for at most `max_wait`.
async fn wait_for_rollout(
    shared: &Rc<EntryShared>,
    version: SettingsVersion,
    max_wait: Duration,
) -> RolloutStatus {
    let deadline = shared.clock.now() + max_wait;
    loop {
        let status = rollout_status(shared, version);
        if status.in_force == status.processes || shared.clock.now() >= deadline {
            return status;
        }
        // Confirmations of sidecars end the wait early. The versions of other entries are read from
        // their membership rows, hence the check at each interval.
        let _ = timeout(POLL_INTERVAL, shared.settings_progress.listen()).await;
    }
}
