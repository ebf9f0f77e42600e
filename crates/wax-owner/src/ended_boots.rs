//! Boots of workers that are known to have ended for good.
//!
//! A boot that has ended stays ended, although its worker may start again under the same id as
//! another boot. Ended boots can therefore be passed on and remembered, so that a new owner need
//! not wait for the leases of workers that ended while the store was silent.

use std::collections::{HashSet, VecDeque};
use wax_batch::BootId;

/// Number of boots that are remembered: enough for two restarts of all workers, in a pool of twice
/// the design size, within the longest wait for leases.
const MAX_BOOTS: usize = 4_096;

/// Bounded set of boots that have ended, in the order in which they were recorded.
#[derive(Debug, Default)]
pub struct EndedBoots {
    known: HashSet<BootId>,
    order: VecDeque<BootId>,
    /// Number of boots that were evicted from the set.
    evicted: u64,
}

impl EndedBoots {
    /// Records an ended boot; returns whether it is new.
    pub fn record(&mut self, boot: &BootId) -> bool {
        if boot.worker_id().is_empty() || !self.known.insert(boot.clone()) {
            return false;
        }
        self.order.push_back(boot.clone());
        if self.order.len() > MAX_BOOTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
            self.evicted += 1;
        }
        true
    }

    /// Returns whether a boot is known to have ended.
    pub fn contains(&self, boot: &BootId) -> bool {
        self.known.contains(boot)
    }

    /// Returns how many boots were ever recorded, including evicted ones.
    pub fn count(&self) -> u64 {
        self.evicted + self.order.len() as u64
    }

    /// Returns up to `limit` boots that were recorded after the first `count`, in the order of
    /// recording.
    pub fn after(&self, count: u64, limit: usize) -> impl Iterator<Item = &BootId> {
        let passed = count.saturating_sub(self.evicted) as usize;
        self.order.iter().skip(passed).take(limit)
    }
}
