//! The book of one shard asks for grants and does not ask in vain again and again.

use crate::quota::ShardQuotas;
use wax_types::{ResourceVector, ShardId};

const SHARD: ShardId = ShardId(1);
const SIZE: ResourceVector = ResourceVector::new(1_000, 100, 0);
const QUOTA: ResourceVector = ResourceVector::new(8_000, 8_000, 0);

#[test]
fn grant_is_kept_for_unplaceable_task() {
    let mut quotas = ShardQuotas::default();
    quotas.begin_pass(std::iter::empty());
    assert!(
        !quotas.try_reserve(SHARD, "team", SIZE, QUOTA),
        "nothing is granted yet"
    );
    assert_eq!(quotas.pending_target(SHARD, "team"), Some(SIZE));
    quotas.apply_grant(SHARD, "team", SIZE, QUOTA);
    for _ in 0..3 {
        quotas.begin_pass(std::iter::empty());
        assert!(quotas.try_reserve(SHARD, "team", SIZE, QUOTA));
        quotas.unreserve("team", SIZE);
        assert_eq!(
            quotas.pending_target(SHARD, "team"),
            None,
            "the grant would be written again"
        );
        assert_eq!(
            quotas.limited_teams().count(),
            0,
            "it is room that is missing, not the quota"
        );
    }
    quotas.begin_pass(std::iter::empty());
    assert_eq!(
        quotas.pending_target(SHARD, "team"),
        Some(ResourceVector::ZERO),
        "given back when it left"
    );
}
