//! `waxwing job show ID`: shows a job and the state of each task.

use crate::context::CommandContext;
use crate::failure::CommandFailure;
use crate::output::{field, items, json_text, plain, table_text};
use serde_json::Value;

pub(crate) async fn run(context: &mut CommandContext) -> Result<String, CommandFailure> {
    let job = context.next_arg("ID")?;
    context.finish()?;
    let view = context.client.get(&format!("/v1/jobs/{job}")).await?;
    if context.json {
        return Ok(json_text(&view));
    }
    let spec = &view["spec"];
    let mut text = format!(
        "job {job}: {} of {}/{}, {}{}\n",
        field(spec, "kind"),
        field(spec, "team"),
        field(spec, "service"),
        if view["ended"] == true {
            "ended"
        } else {
            "not ended"
        },
        if view["cancelled"] == true {
            ", cancelled"
        } else {
            ""
        },
    );
    let rows: Vec<Vec<String>> = items(&view, "tasks").iter().map(task_row).collect();
    let heading = ["TASK", "STATE", "DETAIL", "EPOCH", "FAILURES", "EVICTIONS"];
    text.push_str(&table_text(&heading, &rows));
    Ok(text)
}

fn task_row(task: &Value) -> Vec<String> {
    let (state, detail) = match &task["state"] {
        Value::Null => ("waiting".to_owned(), "for its first placement".to_owned()),
        Value::Object(state) => match state.iter().next() {
            Some((name, value)) => (name.clone(), plain(value)),
            None => (String::new(), String::new()),
        },
        other => (plain(other), String::new()),
    };
    vec![
        field(task, "index"),
        state,
        detail,
        field(task, "epoch"),
        field(task, "failures"),
        field(task, "evictions"),
    ]
}
