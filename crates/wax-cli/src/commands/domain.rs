//! `waxwing domain ...`: drains failure domains.

use super::drain::change_drain;
use crate::context::CommandContext;
use crate::failure::CommandFailure;
use crate::output::json_text;

pub(crate) async fn run(context: &mut CommandContext) -> Result<String, CommandFailure> {
    let change = change_drain(context, "domain").await?;
    if context.json {
        return Ok(json_text(&change.answer));
    }
    let name = change.name;
    Ok(match change.drains {
        true => format!("{name}: drained; no new tasks are placed there, running tasks continue\n"),
        false => format!("{name}: no longer drained\n"),
    })
}
