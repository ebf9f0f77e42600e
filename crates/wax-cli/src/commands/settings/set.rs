//! `waxwing settings set PATH KEY VALUE`: changes one value; `-` clears the override.

use super::{author, change_text};
use crate::context::CommandContext;
use crate::failure::CommandFailure;
use serde_json::{Value, json};

pub(crate) async fn run(context: &mut CommandContext) -> Result<String, CommandFailure> {
    let wait: Option<f64> = context.args.opt_value_from_str("--wait")?;
    let expected: Option<u64> = context.args.opt_value_from_str("--expected")?;
    let path = context.next_arg("PATH")?;
    let key = context.next_arg("KEY")?;
    let value: String = context.args.free_from_str()?;
    context.finish()?;
    let value = match value.as_str() {
        "-" => Value::Null,
        text => serde_json::from_str(text).unwrap_or_else(|_| Value::from(text)),
    };
    let body = json!({
        "author": author(),
        "expected": expected,
        "edits": [{ "path": path, "key": key, "value": value }],
        "wait_ms": (wait.unwrap_or(0.0) * 1_000.0) as u64,
    });
    let answer = context.client.post("/v1/settings", &[], &body).await?;
    change_text(context, &answer, wait.is_some())
}
