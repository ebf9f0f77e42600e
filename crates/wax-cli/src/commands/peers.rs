//! Queries all entries, since only the owner of a shard knows some facts about it.

use crate::client::OperatorClient;
use crate::context::CommandContext;
use crate::output::{field, items};
use serde_json::Value;
use wax_types::WaxError;

pub(super) struct EntryAnswer {
    pub(super) entry: String,
    pub(super) body: Value,
}

/// Sends the same request to every entry. Other entries that do not answer are left out.
///
/// # Errors
///
/// The entry that the command line names does not answer.
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
