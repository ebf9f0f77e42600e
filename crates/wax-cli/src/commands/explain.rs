//! `waxwing explain job ID`: shows why each task of a job is in its current state.

use super::peers::query_all;
use crate::context::CommandContext;
use crate::failure::CommandFailure;
use crate::output::{field, items, json_text, plain, table_text};
use serde_json::Value;

pub(crate) async fn run(context: &mut CommandContext) -> Result<String, CommandFailure> {
    let what = context.next_arg("job")?;
    if what != "job" {
        return Err(CommandFailure::Usage(format!("cannot explain {what}")));
    }
    let job = context.next_arg("ID")?;
    context.finish()?;
    let view = context.client.get(&format!("/v1/jobs/{job}")).await?;
    let mut reasons = Vec::new();
    for answer in query_all(context, &format!("/v1/explain?job={job}")).await? {
        reasons.extend(answer.body.as_array().cloned().unwrap_or_default());
    }
    if context.json {
        return Ok(json_text(&Value::Array(reasons)));
    }
    let rows: Vec<Vec<String>> = items(&view, "tasks")
        .iter()
        .map(|task| {
            let index = field(task, "index");
            let reported = reasons
                .iter()
                .find(|reason| field(reason, "index") == index);
            let reason = match reported {
                Some(reason) => field(reason, "reason"),
                None => ended_reason(task),
            };
            vec![index, reason]
        })
        .collect();
    Ok(table_text(&["TASK", "REASON"], &rows))
}

/// Describes the state of a task for which no owner has reported a reason.
fn ended_reason(task: &Value) -> String {
    match &task["state"] {
        Value::Null => "its shard currently has no owner".to_owned(),
        Value::Object(state) => state
            .iter()
            .map(|(name, value)| format!("{name}: {}", plain(value)))
            .collect(),
        other => plain(other),
    }
}
