//! `waxwing domain ...`: drains failure domains.

use crate::context::CommandContext;
use crate::failure::CommandFailure;
use crate::output::json_text;

pub(crate) async fn run(context: &mut CommandContext) -> Result<String, CommandFailure> {
    let command = context.next_arg("drain or undrain")?;
    let drains = match command.as_str() {
        "drain" => true,
        "undrain" => false,
        other => {
            let text = format!("no command domain {other}");
            return Err(CommandFailure::Usage(text));
        }
    };
    let name = context.next_arg("NAME")?;
    context.finish()?;
    let path = format!("/v1/domains/{name}/drain");
    let answer = match drains {
        true => context.client.post(&path, &[], &()).await?,
        false => context.client.delete(&path).await?,
    };
    if context.json {
        return Ok(json_text(&answer));
    }
    Ok(match drains {
        true => format!("{name}: drained; no new tasks are placed there, running tasks continue\n"),
        false => format!("{name}: no longer drained\n"),
    })
}
