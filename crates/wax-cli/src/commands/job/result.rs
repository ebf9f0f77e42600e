//! `waxwing job result ID [INDEX]`: prints the result object of a task.

use crate::context::CommandContext;
use crate::failure::CommandFailure;

pub(crate) async fn run(context: &mut CommandContext) -> Result<String, CommandFailure> {
    let job = context.next_arg("ID")?;
    let index: Option<u32> = context.args.opt_free_from_str()?;
    context.finish()?;
    let path = format!("/v1/jobs/{job}/tasks/{}/result", index.unwrap_or(0));
    let bytes = context.client.get_bytes(&path).await?;
    Ok(format!("{}\n", String::from_utf8_lossy(&bytes)))
}
