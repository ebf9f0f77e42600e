//! Rendezvous hashing: when a member leaves, only the keys assigned to it move to other members.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the rank of `member` for `key`; the highest rank wins.
pub fn rank_score(key: u64, member: &str) -> u64 {
    xxh3_64_with_seed(member.as_bytes(), key)
}

/// Returns the member with the highest rank for `key`; `None` without members.
pub fn top_member<'a>(key: u64, members: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    members
        .into_iter()
        .max_by_key(|member| (rank_score(key, member), *member))
}
