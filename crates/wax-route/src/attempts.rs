//! Table of the attempts in flight, which delivers the answers of sidecars to their requests.

use futures_channel::mpsc::UnboundedSender;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use wax_policy::UpstreamKey;
use wax_trace::{Counter, count};
use wax_types::{AttemptKey, ProcessIncarnation};
use wax_wire::{AttemptId, BodyChunk, NotRunAnswer, ResponseHead};

/// Event of an attempt in flight.
#[derive(Debug)]
pub(crate) enum AttemptEvent {
    /// The upstream returned the head of its response.
    Response(ResponseHead),
    /// Part of the response body.
    Chunk(BodyChunk),
    /// The attempt was not run and will not run.
    NotRun(NotRunAnswer),
    /// The attempt was sent to the upstream, and the response is lost. Holds the reason.
    Lost(Box<str>),
    /// The connection to the sidecar broke; the attempt may have been sent to the upstream.
    LinkBroken,
    /// Number of further bytes of the request body that the sidecar accepts.
    Credit(u32),
}

#[derive(Debug)]
struct PendingAttempt {
    upstream: UpstreamKey,
    events: UnboundedSender<(AttemptKey, AttemptEvent)>,
}

/// Attempts in flight by key. Keys are never reused.
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

    /// Removes an attempt. Later answers for it are dropped and counted as late.
    pub(crate) fn remove(&self, key: AttemptKey) {
        self.pending.borrow_mut().remove(&key);
    }

    /// Delivers an event to its request if it comes from the sidecar that the attempt was sent to.
    pub(crate) fn deliver(&self, from: UpstreamKey, id: Option<AttemptId>, event: AttemptEvent) {
        let pending = self.pending.borrow();
        let key = id.map(AttemptKey::from);
        let attempt = key.and_then(|key| Some((key, pending.get(&key)?)));
        match attempt {
            Some((key, attempt)) if attempt.upstream == from => {
                // Sending fails if the request has just ended; the event is no longer needed then.
                let _ = attempt.events.unbounded_send((key, event));
            }
            _ => count(Counter::EntryLateAnswers),
        }
    }

    /// Reports the loss of the connection to a sidecar to all its attempts.
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
