//! Boots of workers that are dead for good, as far as this process was told.
//!
//! What is dead is a boot, and it stays so, though its worker may start again under the id: such word can be
//! passed on and kept, so that a new owner need not wait for agents whose worker had left while the store was
//! silent.

use std::collections::{HashSet, VecDeque};
use wax_batch::BootId;

/// Boots that are remembered: more than leave within the longest wait for leases on a large pool.
const MOST_BOOTS: usize = 1_024;
/// Of these the newest are told to a new owner, in one message of some kilobytes.
const MOST_TOLD: usize = 128;

/// Boots that are dead.
#[derive(Debug, Default)]
pub struct GoneBoots {
    known: HashSet<BootId>,
    order: VecDeque<BootId>,
}

impl GoneBoots {
    /// Notes a dead boot; says whether it is news.
    pub fn note(&mut self, boot: &BootId) -> bool {
        if boot.worker_id().is_empty() || !self.known.insert(boot.clone()) {
            return false;
        }
        self.order.push_back(boot.clone());
        if self.order.len() > MOST_BOOTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
        true
    }

    /// Whether a boot is known to be dead.
    pub fn has(&self, boot: &BootId) -> bool {
        self.known.contains(boot)
    }

    /// The boots that died last.
    pub fn newest(&self) -> impl Iterator<Item = &BootId> {
        self.order.iter().rev().take(MOST_TOLD)
    }
}
