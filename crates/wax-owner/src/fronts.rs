//! The fronts of a term: how well each would own the shard, and which config it has.

use crate::candidates::{Candidate, OwnerFitness};
use futures_channel::mpsc::UnboundedSender;
use std::time::Duration;
use wax_types::TimePoint;
use wax_wire::PoolBody;

/// A front that is linked to the owner.
#[derive(Debug)]
pub(crate) struct FrontLife {
    /// The number of its link.
    pub(crate) link: u64,
    pub(crate) outbox: UnboundedSender<PoolBody>,
    pub(crate) fitness: OwnerFitness,
    /// Whether the store turns it away.
    pub(crate) store_lost: bool,
    pub(crate) heard_at: TimePoint,
    /// Since when it has an older config than the owner.
    pub(crate) behind_since: Option<TimePoint>,
    /// The version of the config that it was sent last.
    pub(crate) config_sent: u64,
}

/// A front follows the store itself: only one that stays behind for this long is sent the config. At
/// each heartbeat, 1,400 routes took 0.3 MB to each of 35 fronts, seconds of a small link.
const CONFIG_PATIENCE: Duration = Duration::from_millis(600);

impl FrontLife {
    /// Whether the front is to be sent the config: it has `theirs`, the owner `ours`.
    pub(crate) fn is_due(&mut self, theirs: u64, ours: u64, now: TimePoint) -> bool {
        if theirs >= ours {
            self.behind_since = None;
            return false;
        }
        let since = *self.behind_since.get_or_insert(now);
        let is_due = now.since(since) >= CONFIG_PATIENCE && self.config_sent < ours;
        if is_due {
            self.config_sent = ours;
        }
        is_due
    }

    pub(crate) fn candidate<'a>(&self, node: &'a str) -> Candidate<'a> {
        Candidate {
            node,
            fitness: self.fitness,
            store_lost: self.store_lost,
            heard_at: self.heard_at,
        }
    }
}
