//! `waxwing settings explain PATH`: shows each value in force and the level that sets it.

use crate::context::CommandContext;
use crate::failure::CommandFailure;
use crate::output::{field, items, json_text, table_text};

pub(crate) async fn run(context: &mut CommandContext) -> Result<String, CommandFailure> {
    let path = context.next_arg("PATH")?;
    context.finish()?;
    let answer = context
        .client
        .get(&format!("/v1/settings/explain?path={path}"))
        .await?;
    if context.json {
        return Ok(json_text(&answer));
    }
    let rows: Vec<Vec<String>> = items(&answer, "values")
        .iter()
        .map(|value| {
            let from = match value["from"].as_str() {
                Some(node) => node.to_owned(),
                None => "default".to_owned(),
            };
            vec![field(value, "key"), field(value, "value"), from]
        })
        .collect();
    Ok(table_text(&["KEY", "VALUE", "FROM"], &rows))
}
