//! `waxwing job cancel ID`: cancels a job.

use crate::context::CommandContext;
use crate::failure::CommandFailure;
use crate::output::json_text;

pub(crate) async fn run(context: &mut CommandContext) -> Result<String, CommandFailure> {
    let job = context.next_arg("ID")?;
    context.finish()?;
    let answer = context.client.delete(&format!("/v1/jobs/{job}")).await?;
    if context.json {
        return Ok(json_text(&answer));
    }
    Ok(format!(
        "{job}: cancellation accepted; tasks that have ended stay ended\n"
    ))
}
