//! Common part of `waxwing domain ...` and `waxwing worker ...`: changes a drain.

use crate::context::CommandContext;
use crate::failure::CommandFailure;
use serde_json::Value;

/// A changed drain.
pub(super) struct DrainChange {
    /// Name of the failure domain or worker.
    pub(super) name: String,
    /// Whether it is drained from now on.
    pub(super) drains: bool,
    /// Reply of the entry.
    pub(super) answer: Value,
}

/// Reads `drain NAME` or `undrain NAME` from the command line and sends the change to the entry.
/// `group` is the first word of the command.
///
/// # Errors
///
/// The arguments are incomplete, or the entry refuses the change or cannot be reached.
pub(super) async fn change_drain(
    context: &mut CommandContext,
    group: &str,
) -> Result<DrainChange, CommandFailure> {
    let command = context.next_arg("drain or undrain")?;
    let drains = match command.as_str() {
        "drain" => true,
        "undrain" => false,
        other => {
            let text = format!("no command {group} {other}");
            return Err(CommandFailure::Usage(text));
        }
    };
    let name = context.next_arg("NAME")?;
    context.finish()?;
    let path = format!("/v1/{group}s/{name}/drain");
    let answer = match drains {
        true => context.client.post(&path, &[], &()).await?,
        false => context.client.delete(&path).await?,
    };
    Ok(DrainChange {
        name,
        drains,
        answer,
    })
}
