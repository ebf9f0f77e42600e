//! Boots of workers that are dead for good, as far as this process was told.
//!
//! What is dead is a boot, and it stays so, though its worker may start again under the id: such word can be
//! passed on and kept, so that a new owner need not wait for agents whose worker had left while the store was
//! silent.

use std::collections::{HashSet, VecDeque};
use wax_batch::BootId;

/// Boots that are remembered: a release of all workers of a pool of twice the size to design for, and another one
/// before the longest wait for leases is over.
const MAX_BOOTS: usize = 4_096;

/// Boots that are dead.
#[derive(Debug, Default)]
pub struct EndedBoots {
    known: HashSet<BootId>,
    order: VecDeque<BootId>,
    /// How many have been forgotten.
    evicted: u64,
}

impl EndedBoots {
    /// Notes a dead boot; says whether it is news.
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

    /// Whether a boot is known to be dead.
    pub fn contains(&self, boot: &BootId) -> bool {
        self.known.contains(boot)
    }

    /// How many were ever noted.
    pub fn count(&self) -> u64 {
        self.evicted + self.order.len() as u64
    }

    /// Up to `most` boots that were noted after the first `count`, in their order.
    pub fn after(&self, count: u64, limit: usize) -> impl Iterator<Item = &BootId> {
        let passed = count.saturating_sub(self.evicted) as usize;
        self.order.iter().skip(passed).take(limit)
    }
}
