//! Term of ownership of a shard. The owner may act until a grace period after the last time that
//! the table confirmed its ownership.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use wax_types::{RowVersion, ShardEpoch, ShardId, TimePoint};

/// One term of ownership of one shard. Clones share their state.
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
    /// Creates a term after the commit of a claim, or after a read that found an earlier claim of this
    /// process.
    ///
    /// `confirmed_at` is the time before the commit or the read was sent; `claimed_at` is the time
    /// after its reply. `version` is the version of the shard's row, and `grace` the time for which
    /// the owner may act after a confirmation.
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

    /// Returns the shard that is owned.
    pub fn shard(&self) -> ShardId {
        self.shared.shard
    }

    /// Returns the epoch of the term, which is the owner's fencing token.
    pub fn epoch(&self) -> ShardEpoch {
        self.shared.epoch
    }

    /// Returns the version of the shard's row, a condition of every commit of the owner.
    pub fn version(&self) -> RowVersion {
        self.shared.version
    }

    /// Returns the time at which the term started.
    pub fn claimed_at(&self) -> TimePoint {
        self.shared.claimed_at
    }

    /// Returns the time at which the last read or write that confirmed the ownership was started.
    pub fn confirmed_at(&self) -> TimePoint {
        self.shared.confirmed_at.get()
    }

    /// Records that a read of the shard's row, started at `started_at`, has confirmed the
    /// ownership.
    pub fn confirm(&self, started_at: TimePoint) {
        let confirmed_at = self.shared.confirmed_at.get().max(started_at);
        self.shared.confirmed_at.set(confirmed_at);
    }

    /// Ends the term for good, because the shard is lost or handed over.
    pub fn end(&self) {
        self.shared.ended.set(true);
    }

    /// Returns whether the owner may act now. Callers must check again after every await.
    ///
    /// A term that was found expired stays inactive for good. The loop of the shard has stopped
    /// then, and if a later confirmation revived the term, the shard would have an owner but no
    /// loop.
    pub fn is_active(&self, now: TimePoint) -> bool {
        if now >= self.expires_at() {
            self.end();
        }
        !self.shared.ended.get()
    }

    /// Returns the time at which the term expires without another confirmation.
    pub fn expires_at(&self) -> TimePoint {
        self.shared.confirmed_at.get() + self.shared.grace
    }
}
