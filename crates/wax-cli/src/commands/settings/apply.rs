//! `waxwing settings apply DIR`: commits a folder of files as one version of the settings tree.

use super::files::read_folder;
use super::{author, change_text};
use crate::context::CommandContext;
use crate::failure::CommandFailure;
use serde_json::json;
use std::path::Path;

pub(crate) async fn run(context: &mut CommandContext) -> Result<String, CommandFailure> {
    let dry_run = context.args.contains("--dry-run");
    let wait: Option<f64> = context.args.opt_value_from_str("--wait")?;
    let expected: Option<u64> = context.args.opt_value_from_str("--expected")?;
    let folder = context.next_arg("DIR")?;
    context.finish()?;
    let tree = read_folder(Path::new(&folder))?;
    let body = json!({
        "author": author(),
        "expected": expected,
        "tree": tree,
        "dry_run": dry_run,
        "wait_ms": (wait.unwrap_or(0.0) * 1_000.0) as u64,
    });
    let answer = context.client.post("/v1/settings", &[], &body).await?;
    change_text(context, &answer, wait.is_some() && !dry_run)
}
