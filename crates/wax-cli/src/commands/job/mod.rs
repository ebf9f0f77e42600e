//! `waxwing job ...`: shows jobs, prints results and cancels jobs.

mod cancel;
mod result;
mod show;

use crate::context::CommandContext;
use crate::failure::CommandFailure;

pub(crate) async fn run(context: &mut CommandContext) -> Result<String, CommandFailure> {
    let command = context.next_arg("show, cancel or result")?;
    match command.as_str() {
        "show" => show::run(context).await,
        "cancel" => cancel::run(context).await,
        "result" => result::run(context).await,
        other => Err(CommandFailure::Usage(format!("no command job {other}"))),
    }
}
