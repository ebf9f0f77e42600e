//! `waxwing submit TEAM SERVICE KIND`: submits a job.

use crate::context::CommandContext;
use crate::failure::CommandFailure;
use crate::output::{field, json_text};
use serde_json::{Value, json};

pub(crate) async fn run(context: &mut CommandContext) -> Result<String, CommandFailure> {
    let tasks: Option<u32> = context.args.opt_value_from_str("--tasks")?;
    let input: Option<String> = context.args.opt_value_from_str("--input")?;
    let key: Option<String> = context.args.opt_value_from_str("--key")?;
    let team = context.next_arg("TEAM")?;
    let service = context.next_arg("SERVICE")?;
    let kind = context.next_arg("KIND")?;
    context.finish()?;
    let input: Value = match input {
        Some(text) => serde_json::from_str(&text)
            .map_err(|error| CommandFailure::Usage(format!("--input is not JSON: {error}")))?,
        None => Value::Null,
    };
    let key = key.unwrap_or_else(generate_key);
    let body = json!({
        "service": service,
        "kind": kind,
        "tasks": tasks.unwrap_or(1),
        "input": input,
    });
    let headers = [
        ("waxwing-team", team.as_str()),
        ("idempotency-key", key.as_str()),
    ];
    let answer = context.client.post("/v1/jobs", &headers, &body).await?;
    if context.json {
        return Ok(json_text(&answer));
    }
    Ok(format!("{}\n", field(&answer, "job")))
}

/// Generates an idempotency key for a submission without `--key`.
fn generate_key() -> String {
    wax_types::JobId::generate().to_string()
}
