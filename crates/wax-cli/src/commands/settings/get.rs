//! `waxwing settings get`: prints the settings tree in force.

use crate::context::CommandContext;
use crate::failure::CommandFailure;
use crate::output::json_text;

pub(crate) async fn run(context: &mut CommandContext) -> Result<String, CommandFailure> {
    context.finish()?;
    let tree = context.client.get("/v1/settings").await?;
    Ok(json_text(&tree))
}
