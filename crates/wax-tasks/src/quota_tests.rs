//! Tests of the grants of one shard. A waiting task that fits the quota but no worker must not make
//! the shard return its grant and request it again in each pass, which would write the row every
//! time.

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
        "no grant exists yet"
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
            "the task lacks a worker, not quota"
        );
    }
    quotas.begin_pass(std::iter::empty());
    assert_eq!(
        quotas.pending_target(SHARD, "team"),
        Some(ResourceVector::ZERO),
        "the grant is returned once the task no longer waits"
    );
}
