//! `waxwing status`: shows members, settings in force, shards and the state of the store.

use super::peers::query_all;
use crate::context::CommandContext;
use crate::failure::CommandFailure;
use crate::output::{field, items, json_text, table_text};
use serde_json::Value;

pub(crate) async fn run(context: &mut CommandContext) -> Result<String, CommandFailure> {
    context.finish()?;
    let mut answers = query_all(context, "/v1/status").await?;
    let mut shards: Vec<Value> = answers
        .iter()
        .flat_map(|answer| with_owner(&answer.body, &answer.entry))
        .collect();
    shards.sort_by_key(|shard| shard["shard"].as_u64());
    let mut status = answers.swap_remove(0).body;
    status["shards"] = Value::Array(shards);
    if context.json {
        return Ok(json_text(&status));
    }
    Ok(status_text(&status))
}

/// Returns the shards in an entry's answer, with the entry as their owner.
fn with_owner(status: &Value, owner: &str) -> Vec<Value> {
    let mut shards = items(status, "shards").to_vec();
    for shard in &mut shards {
        shard["owner"] = Value::from(owner);
    }
    shards
}

fn status_text(status: &Value) -> String {
    let settings = &status["settings"];
    let mut text = format!(
        "entry {}: settings version {} in force at {} of {}, store {}\n",
        field(status, "entry"),
        field(settings, "version"),
        field(settings, "in_force"),
        field(settings, "processes"),
        match status["store_down_ms"].as_u64() {
            Some(millis) => format!("down for {} s", millis / 1_000),
            None => "up".to_owned(),
        }
    );
    for missing in items(settings, "missing") {
        let since = match missing["unreachable_ms"].as_u64() {
            Some(millis) => format!(", unreachable for {} s", millis / 1_000),
            None => String::new(),
        };
        let name = field(missing, "name");
        let version = field(missing, "version");
        text.push_str(&format!(
            "  not confirmed: {name} at version {version}{since}\n"
        ));
    }
    let drains = [
        ("drained", "failure domains"),
        ("drained_workers", "workers"),
    ];
    for (key, label) in drains {
        let names: Vec<&str> = items(status, key)
            .iter()
            .filter_map(Value::as_str)
            .collect();
        if !names.is_empty() {
            text.push_str(&format!("  drained {label}: {}\n", names.join(", ")));
        }
    }
    text.push('\n');
    text.push_str(&members_text(status));
    text.push('\n');
    text.push_str(&shards_text(status));
    text
}

fn members_text(status: &Value) -> String {
    let keys = [
        "name",
        "role",
        "failure_domain",
        "service",
        "settings",
        "leaving",
    ];
    let rows: Vec<Vec<String>> = items(status, "members")
        .iter()
        .map(|member| keys.iter().map(|key| field(member, key)).collect())
        .collect();
    table_text(
        &["MEMBER", "ROLE", "DOMAIN", "SERVICE", "SETTINGS", "LEAVING"],
        &rows,
    )
}

fn shards_text(status: &Value) -> String {
    let keys = [
        "shard",
        "owner",
        "epoch",
        "workers",
        "reachable",
        "queued",
        "placed",
        "quarantined",
    ];
    let rows: Vec<Vec<String>> = items(status, "shards")
        .iter()
        .map(|shard| keys.iter().map(|key| field(shard, key)).collect())
        .collect();
    let heading = [
        "SHARD",
        "OWNER",
        "EPOCH",
        "WORKERS",
        "REACHABLE",
        "QUEUED",
        "PLACED",
        "QUARANTINED",
    ];
    table_text(&heading, &rows)
}
