//! Decides whether this process keeps, releases or claims a shard, or yields it to another process.

use crate::rows::ShardRow;
use wax_types::ProcessIncarnation;

/// Decision about the ownership of one shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShardChoice {
    /// This process owns the shard and keeps it.
    Keep,
    /// This process owns the shard and hands it over, because another live member ranks higher or
    /// this process is leaving.
    Release,
    /// The shard has no live owner and this process ranks highest: claim it.
    Claim,
    /// Another process owns the shard or is to claim it; a term that is still active here is ended.
    Yield,
}

/// Properties of this process on which the decision depends.
#[derive(Debug, Clone, Copy)]
pub struct ProcessIdentity<'a> {
    /// Member name of the process.
    pub name: &'a str,
    /// Identifies this run of the process.
    pub incarnation: ProcessIncarnation,
    /// Whether the process shuts down and hands over all shards.
    pub leaving: bool,
}

/// Decides about the ownership of one shard.
///
/// `row` is the shard's row, `None` before its first claim. `top` is the live candidate that ranks
/// highest for the shard; `owner_alive` says whether the incarnation that the row names is a live
/// member.
pub fn decide_shard(
    row: Option<&ShardRow>,
    identity: ProcessIdentity<'_>,
    top: Option<&str>,
    owner_alive: bool,
) -> ShardChoice {
    let is_owner = row.is_some_and(|row| {
        row.owner.as_deref() == Some(identity.name) && row.incarnation == identity.incarnation
    });
    let should_own = !identity.leaving && top == Some(identity.name);
    match (is_owner, should_own) {
        (true, true) => ShardChoice::Keep,
        (true, false) if identity.leaving || top.is_some() => ShardChoice::Release,
        (true, false) => ShardChoice::Keep,
        (false, true) if !has_live_owner(row, owner_alive) => ShardChoice::Claim,
        (false, _) => ShardChoice::Yield,
    }
}

fn has_live_owner(row: Option<&ShardRow>, owner_alive: bool) -> bool {
    row.is_some_and(|row| row.owner.is_some() && owner_alive)
}
