//! The book of one shard asks for grants and does not ask in vain again and again.

use crate::quota::QuotaBook;
use wax_types::{ResourceVector, ShardId};

const SHARD: ShardId = ShardId(1);
const SIZE: ResourceVector = ResourceVector::new(1_000, 100, 0);
const QUOTA: ResourceVector = ResourceVector::new(8_000, 8_000, 0);

#[test]
fn a_task_without_room_keeps_its_grant() {
    let mut book = QuotaBook::default();
    book.begin(std::iter::empty());
    assert!(
        !book.take(SHARD, "team", SIZE, QUOTA),
        "nothing is granted yet"
    );
    assert_eq!(book.wish(SHARD, "team"), Some(SIZE));
    book.grant(SHARD, "team", SIZE, QUOTA);
    for _ in 0..3 {
        book.begin(std::iter::empty());
        assert!(book.take(SHARD, "team", SIZE, QUOTA));
        book.put_back("team", SIZE);
        assert_eq!(
            book.wish(SHARD, "team"),
            None,
            "the grant would be written again"
        );
        assert_eq!(
            book.held_back().count(),
            0,
            "it is room that is missing, not the quota"
        );
    }
    book.begin(std::iter::empty());
    assert_eq!(
        book.wish(SHARD, "team"),
        Some(ResourceVector::ZERO),
        "given back when it left"
    );
}
