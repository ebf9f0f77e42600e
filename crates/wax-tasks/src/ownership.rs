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
    Leave,
}

/// This process, as far as the decision needs it.
#[derive(Debug, Clone, Copy)]
pub struct OwnIdentity<'a> {
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
    own: OwnIdentity<'_>,
    top: Option<&str>,
    owner_alive: bool,
) -> ShardChoice {
    let ours = row.is_some_and(|row| {
        row.owner.as_deref() == Some(own.name) && row.incarnation == own.incarnation
    });
    let wanted = !own.leaving && top == Some(own.name);
    match (ours, wanted) {
        (true, true) => ShardChoice::Keep,
        (true, false) if own.leaving || top.is_some() => ShardChoice::Release,
        (true, false) => ShardChoice::Keep,
        (false, true) if !held(row, owner_alive) => ShardChoice::Claim,
        (false, _) => ShardChoice::Leave,
    }
}

fn held(row: Option<&ShardRow>, owner_alive: bool) -> bool {
    row.is_some_and(|row| row.owner.is_some() && owner_alive)
}
