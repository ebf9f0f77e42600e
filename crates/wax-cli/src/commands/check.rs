//! `waxwing check [--policy] FILE`: validates a daemon's settings file without starting the daemon.

use crate::context::CommandContext;
use crate::failure::CommandFailure;
use crate::output::table_text;
use std::path::Path;
use wax_policy::RuleInfo;
use wax_settings::DaemonSettings;

pub(crate) fn run(context: &mut CommandContext) -> Result<String, CommandFailure> {
    let all = context.args.contains("--policy");
    let file = context.next_arg("FILE")?;
    context.finish()?;
    let settings = DaemonSettings::read(Path::new(&file))?;
    let head = format!(
        "{file}: correct, {:?} {} in {}\n",
        settings.role, settings.name, settings.failure_domain
    );
    Ok(match all {
        true => head + &policy_text(&settings),
        false => head,
    })
}

/// Formats every limit and weight in force, with its bounds.
fn policy_text(settings: &DaemonSettings) -> String {
    let rows: Vec<Vec<String>> = settings
        .policy
        .infos()
        .into_iter()
        .map(|(section, info)| policy_row(section, info))
        .collect();
    table_text(&["RULE", "VALUE", "UNIT", "BOUNDS", "OFF"], &rows)
}

fn policy_row(section: &str, info: RuleInfo) -> Vec<String> {
    vec![
        format!("policy.{section}.{}", info.key),
        info.value.to_string(),
        info.unit.to_owned(),
        format!("{} to {}", info.min, info.max),
        info.off
            .map_or_else(|| "-".to_owned(), |off| off.to_string()),
    ]
}
