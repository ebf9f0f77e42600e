//! `waxwing settings ...`: reads and changes the settings tree.

mod apply;
mod explain;
mod export;
mod files;
mod get;
mod log;
mod set;

use crate::context::CommandContext;
use crate::failure::CommandFailure;
use crate::output::{field, items, json_text, table_text};
use serde_json::Value;

/// Environment variable with the author that is recorded for a change; the default is `USER`.
const AUTHOR_VARIABLE: &str = "WAXWING_AUTHOR";

pub(crate) async fn run(context: &mut CommandContext) -> Result<String, CommandFailure> {
    let command = context.next_arg("get, explain, set, apply, export or log")?;
    match command.as_str() {
        "get" => get::run(context).await,
        "explain" => explain::run(context).await,
        "set" => set::run(context).await,
        "apply" => apply::run(context).await,
        "export" => export::run(context).await,
        "log" => log::run(context).await,
        other => Err(CommandFailure::Usage(format!(
            "no command settings {other}"
        ))),
    }
}

fn author() -> String {
    std::env::var(AUTHOR_VARIABLE)
        .or_else(|_| std::env::var("USER"))
        .unwrap_or_else(|_| "operator".to_owned())
}

/// Formats the answer to a change. Fails if the command waited and the change is not in force in
/// all processes.
fn change_text(
    context: &CommandContext,
    answer: &Value,
    waited: bool,
) -> Result<String, CommandFailure> {
    let force = &answer["force"];
    let in_force = force["in_force"].as_u64();
    let processes = force["processes"].as_u64();
    if waited && in_force != processes {
        let missing: Vec<String> = items(force, "missing")
            .iter()
            .map(|process| field(process, "name"))
            .collect();
        let text = format!(
            "version {} is accepted and in force at {} of {}; not confirmed by {}",
            field(answer, "version"),
            field(force, "in_force"),
            field(force, "processes"),
            missing.join(", ")
        );
        return Err(CommandFailure::NotInForce(text));
    }
    if context.json {
        return Ok(json_text(answer));
    }
    let rows: Vec<Vec<String>> = items(answer, "changes")
        .iter()
        .map(|change| {
            ["path", "key", "before", "after"]
                .iter()
                .map(|key| field(change, key))
                .collect()
        })
        .collect();
    let mut text = table_text(&["PATH", "KEY", "BEFORE", "AFTER"], &rows);
    match in_force {
        Some(count) => text.push_str(&format!(
            "version {} in force at {count} of {}\n",
            field(answer, "version"),
            field(force, "processes")
        )),
        None => text.push_str("nothing was changed (dry run)\n"),
    }
    Ok(text)
}
