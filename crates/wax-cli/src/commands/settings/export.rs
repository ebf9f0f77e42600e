//! `waxwing settings export DIR`: writes the settings tree in force as files.

use super::files::write_folder;
use crate::context::CommandContext;
use crate::failure::CommandFailure;
use std::path::Path;
use wax_settings::SettingsTree;
use wax_types::{ErrorKind, Step, WaxError};

pub(crate) async fn run(context: &mut CommandContext) -> Result<String, CommandFailure> {
    let folder = context.next_arg("DIR")?;
    context.finish()?;
    let answer = context.client.get("/v1/settings").await?;
    let tree: SettingsTree = serde_json::from_value(answer)
        .map_err(|error| WaxError::new(ErrorKind::Protocol, Step::ReadSettings, "entry", error))?;
    write_folder(Path::new(&folder), &tree)?;
    Ok(format!("version {} written to {folder}\n", tree.version))
}
