//! `waxwing check FILE`: checks a daemon's settings file and starts nothing.

use crate::context::CommandContext;
use crate::failure::CommandFailure;
use std::path::Path;
use wax_settings::DaemonSettings;

pub(crate) fn run(context: &mut CommandContext) -> Result<String, CommandFailure> {
    let file = context.word("FILE")?;
    context.finish()?;
    let settings = DaemonSettings::read(Path::new(&file))?;
    Ok(format!(
        "{file}: correct, {:?} {} in {}\n",
        settings.role, settings.name, settings.failure_domain
    ))
}
