//! `waxwing usage`: shows the resources that each team used, from the ledger.

use crate::context::CommandContext;
use crate::failure::CommandFailure;
use crate::output::{field, items, json_text, table_text};

const KEYS: [&str; 6] = [
    "team",
    "service",
    "kind",
    "cpu_milli_seconds",
    "memory_mib_seconds",
    "accelerator_ms",
];

pub(crate) async fn run(context: &mut CommandContext) -> Result<String, CommandFailure> {
    let team: Option<String> = context.args.opt_value_from_str("--team")?;
    let from: Option<u64> = context.args.opt_value_from_str("--from")?;
    let to: Option<u64> = context.args.opt_value_from_str("--to")?;
    let csv = context.args.contains("--csv");
    context.finish()?;
    let mut query = Vec::new();
    query.extend(team.map(|team| format!("team={team}")));
    query.extend(from.map(|day| format!("from_day={day}")));
    query.extend(to.map(|day| format!("to_day={day}")));
    let path = format!("/v1/usage?{}", query.join("&"));
    let answer = context.client.get(&path).await?;
    if context.json {
        return Ok(json_text(&answer));
    }
    let rows: Vec<Vec<String>> = items(&answer, "rows")
        .iter()
        .map(|row| KEYS.iter().map(|key| field(row, key)).collect())
        .collect();
    if csv {
        let mut text = format!("{}\n", KEYS.join(","));
        for row in rows {
            text.push_str(&row.join(","));
            text.push('\n');
        }
        return Ok(text);
    }
    Ok(table_text(&KEYS, &rows))
}
