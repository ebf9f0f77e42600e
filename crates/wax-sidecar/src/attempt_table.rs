//! The attempts that this sidecar knows: queued, running, or cancelled before they came.

use crate::attempt::{AttemptHandle, QueuedAttempt};
use std::collections::{HashMap, HashSet, VecDeque};
use wax_types::AttemptKey;

/// Cancels remembered for attempts that have not arrived.
const MAX_TOMBSTONES: usize = 4_096;

/// Where an attempt stands.
#[derive(Debug)]
pub(crate) enum AttemptState {
    /// It waits for a slot.
    Queued(QueuedAttempt),
    /// It was dispatched, or is about to be.
    Running(AttemptHandle),
}

/// What a cancel found.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum CancelResult {
    /// It waited, and is taken out: it will not run.
    WasQueued,
    /// It runs; its answer is thrown away.
    Running,
    /// It never came; if it does, it will not run.
    Tombstone,
}

/// All attempts of the process, by key.
#[derive(Debug, Default)]
pub(crate) struct AttemptTable {
    attempts: HashMap<AttemptKey, AttemptState>,
    tombstones: HashSet<AttemptKey>,
    tombstone_order: VecDeque<AttemptKey>,
}

impl AttemptTable {
    /// Whether a cancel came before the attempt; the tombstone is used up.
    pub(crate) fn take_tombstone(&mut self, key: AttemptKey) -> bool {
        self.tombstones.remove(&key)
    }

    pub(crate) fn contains(&self, key: AttemptKey) -> bool {
        self.attempts.contains_key(&key)
    }

    pub(crate) fn insert(&mut self, key: AttemptKey, state: AttemptState) {
        self.attempts.insert(key, state);
    }

    /// Takes a queued attempt out, to run or to refuse it.
    pub(crate) fn take_queued(&mut self, key: AttemptKey) -> Option<QueuedAttempt> {
        match self.attempts.remove(&key) {
            Some(AttemptState::Queued(attempt)) => Some(attempt),
            Some(state) => {
                self.attempts.insert(key, state);
                None
            }
            None => None,
        }
    }

    /// The handle of a running attempt.
    pub(crate) fn running(&self, key: AttemptKey) -> Option<&AttemptHandle> {
        match self.attempts.get(&key) {
            Some(AttemptState::Running(handle)) => Some(handle),
            _ => None,
        }
    }

    pub(crate) fn remove(&mut self, key: AttemptKey) {
        self.attempts.remove(&key);
    }

    /// The attempts that came over one connection.
    pub(crate) fn keys_of_link(&self, link: u64) -> Vec<AttemptKey> {
        self.attempts
            .iter()
            .filter(|(_, state)| match state {
                AttemptState::Queued(attempt) => attempt.link() == link,
                AttemptState::Running(handle) => handle.link() == link,
            })
            .map(|(key, _)| *key)
            .collect()
    }

    /// Decides what a cancel does; the caller carries it out.
    pub(crate) fn cancel(&mut self, key: AttemptKey) -> CancelResult {
        match self.attempts.get(&key) {
            Some(AttemptState::Queued(_)) => CancelResult::WasQueued,
            Some(AttemptState::Running(_)) => CancelResult::Running,
            None => {
                self.add_tombstone(key);
                CancelResult::Tombstone
            }
        }
    }

    fn add_tombstone(&mut self, key: AttemptKey) {
        if !self.tombstones.insert(key) {
            return;
        }
        self.tombstone_order.push_back(key);
        if self.tombstone_order.len() > MAX_TOMBSTONES
            && let Some(oldest) = self.tombstone_order.pop_front()
        {
            self.tombstones.remove(&oldest);
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.attempts.len()
    }
}
