//! Table of the attempts at this sidecar: queued, running, or cancelled before their arrival.

use crate::attempt::{AttemptHandle, QueuedAttempt};
use std::collections::{HashMap, HashSet, VecDeque};
use wax_types::AttemptKey;

/// Maximum number of tombstones, including those that were taken; beyond it, the oldest is dropped.
const MAX_TOMBSTONES: usize = 4_096;

/// State of an attempt.
#[derive(Debug)]
pub(crate) enum AttemptState {
    /// Waits for a slot.
    Queued(QueuedAttempt),
    /// Holds a slot; was sent to the upstream or is about to be.
    Running(AttemptHandle),
}

/// State in which a cancellation found an attempt.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum CancelResult {
    /// The attempt was queued; the caller must remove it, so that it does not run.
    WasQueued,
    /// The attempt is running; its response is to be discarded.
    Running,
    /// The attempt is not known. A tombstone keeps it from running if it arrives later.
    Tombstone,
}

/// All attempts of the process by key, and the tombstones of attempts that were cancelled before
/// their arrival.
#[derive(Debug, Default)]
pub(crate) struct AttemptTable {
    attempts: HashMap<AttemptKey, AttemptState>,
    tombstones: HashSet<AttemptKey>,
    tombstone_order: VecDeque<AttemptKey>,
}

impl AttemptTable {
    /// Removes the tombstone of an attempt. Returns whether there was one.
    pub(crate) fn take_tombstone(&mut self, key: AttemptKey) -> bool {
        self.tombstones.remove(&key)
    }

    pub(crate) fn contains(&self, key: AttemptKey) -> bool {
        self.attempts.contains_key(&key)
    }

    pub(crate) fn insert(&mut self, key: AttemptKey, state: AttemptState) {
        self.attempts.insert(key, state);
    }

    /// Removes and returns an attempt if it is queued.
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

    /// Returns the handle of a running attempt.
    pub(crate) fn running(&self, key: AttemptKey) -> Option<&AttemptHandle> {
        match self.attempts.get(&key) {
            Some(AttemptState::Running(handle)) => Some(handle),
            _ => None,
        }
    }

    pub(crate) fn remove(&mut self, key: AttemptKey) {
        self.attempts.remove(&key);
    }

    /// Returns the attempts that arrived over one connection.
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

    /// Looks up the attempt to cancel, and leaves a tombstone for an unknown one. The caller removes a
    /// queued attempt or abandons a running one.
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
