//! `waxwing settings log`: lists the latest changes, newest first.

use crate::context::CommandContext;
use crate::failure::CommandFailure;
use crate::output::{field, items, json_text, plain, table_text};
use serde_json::Value;

pub(crate) async fn run(context: &mut CommandContext) -> Result<String, CommandFailure> {
    context.finish()?;
    let log = context.client.get("/v1/settings/log").await?;
    if context.json {
        return Ok(json_text(&log));
    }
    let rows: Vec<Vec<String>> = log
        .as_array()
        .map_or(&[][..], Vec::as_slice)
        .iter()
        .map(|delta| {
            let paths: Vec<String> = items(delta, "nodes").iter().map(node_path).collect();
            vec![
                field(delta, "version"),
                field(delta, "author"),
                field(delta, "at_ms"),
                paths.join(" "),
            ]
        })
        .collect();
    Ok(table_text(&["VERSION", "AUTHOR", "AT_MS", "NODES"], &rows))
}

fn node_path(node: &Value) -> String {
    plain(node.get(0).unwrap_or(&Value::Null))
}
