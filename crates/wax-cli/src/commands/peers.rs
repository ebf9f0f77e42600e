//! Finds the other entries, for what only the owner of a shard knows.

use crate::client::OperatorClient;
use crate::context::CommandContext;
use crate::output::{field, items};
use serde_json::Value;
use wax_types::WaxError;

/// One entry's answer.
pub(super) struct EntryAnswer {
    pub(super) entry: String,
    pub(super) body: Value,
}

/// Asks every entry for the same path; the others that do not answer are left out.
///
/// # Errors
///
/// The entry of the command line does not answer.
pub(super) async fn query_all(
    context: &CommandContext,
    path: &str,
) -> Result<Vec<EntryAnswer>, WaxError> {
    let status = context.client.get("/v1/status").await?;
    let own = field(&status, "entry");
    let body = context.client.get(path).await?;
    let mut answers = vec![EntryAnswer {
        entry: own.clone(),
        body,
    }];
    for member in items(&status, "members") {
        let name = field(member, "name");
        let Some(address) = member["operators"].as_str().filter(|_| name != own) else {
            continue;
        };
        let Ok(client) = OperatorClient::new(address) else {
            continue;
        };
        if let Ok(body) = client.get(path).await {
            answers.push(EntryAnswer { entry: name, body });
        }
    }
    Ok(answers)
}
