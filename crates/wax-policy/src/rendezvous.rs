//! Rendezvous hashing: a member that leaves moves only what it held.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The rank of `member` for `key`; the highest rank wins.
pub fn rank_score(key: u64, member: &str) -> u64 {
    xxh3_64_with_seed(member.as_bytes(), key)
}

/// The member with the highest rank for `key`.
pub fn top_member<'a>(key: u64, members: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    members
        .into_iter()
        .max_by_key(|member| (rank_score(key, member), *member))
}
