//! The owner's right to act: until the grace after its last confirmed contact with the store.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use wax_types::{RowVersion, ShardEpoch, ShardId, TimePoint};

/// One term of ownership of one shard; shared by all tasks that act under it.
#[derive(Debug, Clone)]
pub struct OwnerTerm {
    shared: Rc<TermShared>,
}

#[derive(Debug)]
struct TermShared {
    shard: ShardId,
    epoch: ShardEpoch,
    version: RowVersion,
    grace: Duration,
    claimed_at: TimePoint,
    confirmed_at: Cell<TimePoint>,
    ended: Cell<bool>,
}

impl OwnerTerm {
    /// A term that began with the commit of a claim.
    ///
    /// `claimed` is the time after the commit; `confirmed` the time before it was sent.
    pub fn new(
        shard: ShardId,
        epoch: ShardEpoch,
        version: RowVersion,
        grace: Duration,
        confirmed_at: TimePoint,
        claimed_at: TimePoint,
    ) -> Self {
        let shared = TermShared {
            shard,
            epoch,
            version,
            grace,
            claimed_at,
            confirmed_at: Cell::new(confirmed_at),
            ended: Cell::new(false),
        };
        Self {
            shared: Rc::new(shared),
        }
    }

    /// The shard.
    pub fn shard(&self) -> ShardId {
        self.shared.shard
    }

    /// The owner's fencing token.
    pub fn epoch(&self) -> ShardEpoch {
        self.shared.epoch
    }

    /// The version of the shard's row, a condition of every commit of the owner.
    pub fn version(&self) -> RowVersion {
        self.shared.version
    }

    /// When the term began.
    pub fn claimed_at(&self) -> TimePoint {
        self.shared.claimed_at
    }

    /// When the ownership was last known to be confirmed.
    pub fn confirmed_at(&self) -> TimePoint {
        self.shared.confirmed_at.get()
    }

    /// The row was read and is still ours; the read was begun at `begun`.
    pub fn confirm(&self, started_at: TimePoint) {
        let confirmed_at = self.shared.confirmed_at.get().max(started_at);
        self.shared.confirmed_at.set(confirmed_at);
    }

    /// The shard is lost, or handed over.
    pub fn end(&self) {
        self.shared.ended.set(true);
    }

    /// Whether the owner may act now. Asked again after every await.
    ///
    /// Once it has said no it says no for ever: whoever saw that has stopped for good, and a later
    /// confirmation must not leave a shard that is owned and that nobody works on.
    pub fn is_active(&self, now: TimePoint) -> bool {
        if now >= self.expires_at() {
            self.end();
        }
        !self.shared.ended.get()
    }

    /// Until when the owner may act, if nothing is confirmed again.
    pub fn expires_at(&self) -> TimePoint {
        self.shared.confirmed_at.get() + self.shared.grace
    }
}
