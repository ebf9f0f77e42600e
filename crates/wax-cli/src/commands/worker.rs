//! `waxwing worker ...`: drains single workers.

use super::drain::change_drain;
use crate::context::CommandContext;
use crate::failure::CommandFailure;
use crate::output::json_text;
use serde_json::Value;

pub(crate) async fn run(context: &mut CommandContext) -> Result<String, CommandFailure> {
    let change = change_drain(context, "worker").await?;
    if context.json {
        return Ok(json_text(&change.answer));
    }
    let name = change.name;
    let mut text = match change.drains {
        true => format!("{name}: drained; no new tasks are placed on it, running tasks continue\n"),
        false => format!("{name}: no longer drained\n"),
    };
    match &change.answer["listed"] {
        Value::Bool(true) => {}
        Value::Bool(false) => text.push_str(&format!(
            "note: the platform lists no worker {name}; check the name, unless its VM is added later\n"
        )),
        _ => text.push_str(&format!(
            "note: the platform did not answer whether it has a worker {name}\n"
        )),
    }
    Ok(text)
}
