//! The attempts that wait for an answer: the one place where an answer meets its request.

use futures_channel::mpsc::UnboundedSender;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use wax_policy::UpstreamKey;
use wax_trace::{Counter, count};
use wax_types::{AttemptKey, ProcessIncarnation};
use wax_wire::{AttemptId, BodyChunk, NotRunAnswer, ResponseHead};

/// What happens to an attempt.
#[derive(Debug)]
pub(crate) enum AttemptEvent {
    /// The upstream answers.
    Response(ResponseHead),
    /// A part of the answer.
    Chunk(BodyChunk),
    /// It was not run.
    NotRun(NotRunAnswer),
    /// It was dispatched and its answer is lost.
    Lost(Box<str>),
    /// The connection to the sidecar broke; it may have been dispatched.
    LinkBroken,
    /// The sidecar can take so many bytes of the body.
    Credit(u32),
}

#[derive(Debug)]
struct PendingAttempt {
    upstream: UpstreamKey,
    events: UnboundedSender<(AttemptKey, AttemptEvent)>,
}

/// The pending attempts by key; a key is never used again.
#[derive(Debug)]
pub(crate) struct AttemptTable {
    incarnation: ProcessIncarnation,
    sequence: Cell<u64>,
    pending: RefCell<HashMap<AttemptKey, PendingAttempt>>,
}

impl AttemptTable {
    pub(crate) fn new(incarnation: ProcessIncarnation) -> Self {
        Self {
            incarnation,
            sequence: Cell::new(0),
            pending: RefCell::default(),
        }
    }

    /// Registers an attempt under a new key.
    pub(crate) fn register(
        &self,
        upstream: UpstreamKey,
        events: UnboundedSender<(AttemptKey, AttemptEvent)>,
    ) -> AttemptKey {
        let sequence = self.sequence.get() + 1;
        self.sequence.set(sequence);
        let key = AttemptKey {
            incarnation: self.incarnation,
            sequence,
        };
        let attempt = PendingAttempt { upstream, events };
        self.pending.borrow_mut().insert(key, attempt);
        key
    }

    /// Ends an attempt: whatever comes for it later is late.
    pub(crate) fn remove(&self, key: AttemptKey) {
        self.pending.borrow_mut().remove(&key);
    }

    /// Passes an event on, if it comes from the sidecar that the attempt was sent to.
    pub(crate) fn deliver(&self, from: UpstreamKey, id: Option<AttemptId>, event: AttemptEvent) {
        let pending = self.pending.borrow();
        let key = id.map(AttemptKey::from);
        let attempt = key.and_then(|key| Some((key, pending.get(&key)?)));
        match attempt {
            Some((key, attempt)) if attempt.upstream == from => {
                // A request that ended a moment ago does not take it.
                let _ = attempt.events.unbounded_send((key, event));
            }
            _ => count(Counter::EntryLateAnswers),
        }
    }

    /// Tells every attempt at a sidecar that its connection broke.
    pub(crate) fn fail_link(&self, upstream: UpstreamKey) {
        for (key, attempt) in &*self.pending.borrow() {
            if attempt.upstream == upstream {
                let _ = attempt
                    .events
                    .unbounded_send((*key, AttemptEvent::LinkBroken));
            }
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.pending.borrow().len()
    }
}
