//! Boots of workers that are dead for good, as far as this process was told.
//!
//! A boot's id is never used again, so that such word can be passed on and kept: a new owner need
//! not wait for agents whose worker had left while the store was silent.

use std::collections::{HashSet, VecDeque};

/// Boots that are remembered: more than leave within the longest wait for leases on a large pool.
const MOST_BOOTS: usize = 1_024;
/// Of these the newest are told to a new owner, in one message of some kilobytes.
const MOST_TOLD: usize = 128;

/// Boots that are dead.
#[derive(Debug, Default)]
pub struct GoneBoots {
    known: HashSet<Box<str>>,
    order: VecDeque<Box<str>>,
}

impl GoneBoots {
    /// Notes a dead boot; says whether it is news.
    pub fn note(&mut self, id: &str) -> bool {
        if id.is_empty() || !self.known.insert(id.into()) {
            return false;
        }
        self.order.push_back(id.into());
        if self.order.len() > MOST_BOOTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
        true
    }

    /// Whether a boot is known to be dead.
    pub fn has(&self, id: &str) -> bool {
        self.known.contains(id)
    }

    /// The boots that died last.
    pub fn newest(&self) -> Vec<Box<str>> {
        self.order.iter().rev().take(MOST_TOLD).cloned().collect()
    }
}
