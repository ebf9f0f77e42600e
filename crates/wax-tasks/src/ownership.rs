//! Decides, for one shard, whether this process keeps, claims, releases or leaves it.

use crate::rows::ShardRow;
use wax_types::ProcessIncarnation;

/// What to do about a shard now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShardChoice {
    /// It is ours and stays ours.
    Keep,
    /// It is ours and another live member ranks higher: hand it over.
    Release,
    /// Nobody holds it, or its owner is dead, and we rank highest: take it.
    Claim,
    /// It is somebody else's matter.
    Yield,
}

/// This process, as far as the decision needs it.
#[derive(Debug, Clone, Copy)]
pub struct ProcessIdentity<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its run.
    pub incarnation: ProcessIncarnation,
    /// Whether it gives all shards away.
    pub leaving: bool,
}

/// Decides about one shard.
///
/// `top` is the live member that ranks highest for it; `owner_alive` says whether the row's owner
/// is a live member in the run that the row names.
pub fn decide_shard(
    row: Option<&ShardRow>,
    own: ProcessIdentity<'_>,
    top: Option<&str>,
    owner_alive: bool,
) -> ShardChoice {
    let is_owner = row.is_some_and(|row| {
        row.owner.as_deref() == Some(own.name) && row.incarnation == own.incarnation
    });
    let should_own = !own.leaving && top == Some(own.name);
    match (is_owner, should_own) {
        (true, true) => ShardChoice::Keep,
        (true, false) if own.leaving || top.is_some() => ShardChoice::Release,
        (true, false) => ShardChoice::Keep,
        (false, true) if !has_live_owner(row, owner_alive) => ShardChoice::Claim,
        (false, _) => ShardChoice::Yield,
    }
}

fn has_live_owner(row: Option<&ShardRow>, owner_alive: bool) -> bool {
    row.is_some_and(|row| row.owner.is_some() && owner_alive)
}
