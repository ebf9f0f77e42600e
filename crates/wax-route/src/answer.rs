//! Passes an answer to its caller: whole from memory if it is short, else in parts.

use crate::attempts::AttemptEvent;
use crate::headers::{OUTCOME, RETRY_AFTER_MS};
use crate::process::EntryShared;
use crate::request::LiveAttempt;
use bytes::{Bytes, BytesMut};
use futures_channel::mpsc::UnboundedReceiver;
use futures_util::StreamExt;
use http::{HeaderName, HeaderValue, Response, StatusCode};
use std::rc::Rc;
use std::time::Duration;
use wax_http::{BodySender, HttpReply, OutgoingBody, body_channel, error_reply};
use wax_trace::{Counter, count};
use wax_types::{AttemptKey, RunOutcome, WaxError};
use wax_wire::{BodyChunk, CreditGrant, PeerBody, ResponseHead};

/// An answer up to this size is held until it is whole.
pub(crate) const HELD_BYTES: usize = 64 << 10;

/// A part of an answer as it is collected.
#[derive(Debug)]
pub(crate) struct AnswerParts {
    head: ResponseHead,
    held: BytesMut,
}

/// Where the collection stands after a chunk.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum CollectStep {
    /// More is to come, and it may still be held.
    More,
    /// It is whole.
    Whole,
    /// It is too long to be held.
    Long,
    /// The parts do not add up to what was sent.
    Broken,
}

impl AnswerParts {
    pub(crate) fn new(head: ResponseHead) -> Self {
        Self {
            head,
            held: BytesMut::new(),
        }
    }

    pub(crate) fn add(&mut self, chunk: &BodyChunk) -> CollectStep {
        self.held.extend_from_slice(&chunk.data);
        if chunk.last {
            return if chunk.total_bytes == self.held.len() as u64 {
                CollectStep::Whole
            } else {
                CollectStep::Broken
            };
        }
        if self.held.len() > HELD_BYTES {
            CollectStep::Long
        } else {
            CollectStep::More
        }
    }

    /// The answer from memory.
    pub(crate) fn into_reply(self) -> HttpReply {
        let body = OutgoingBody::full(self.held.freeze());
        build_reply(&self.head, body)
    }

    /// The answer in parts; what comes later is passed on by a task of its own.
    pub(crate) fn into_stream(
        self,
        shared: Rc<EntryShared>,
        attempt: LiveAttempt,
        events: UnboundedReceiver<(AttemptKey, AttemptEvent)>,
    ) -> HttpReply {
        let key = attempt.key();
        let upstream = attempt.upstream();
        let granter = shared.clone();
        let (sender, body) = body_channel(move |bytes| {
            let credit = CreditGrant {
                attempt: Some(key.into()),
                bytes: bytes as u32,
            };
            granter.peers.send(upstream, PeerBody::Credit(credit));
        });
        let reply = build_reply(&self.head, body);
        let held = self.held.freeze();
        compio::runtime::spawn(pass_parts(attempt, held, sender, events)).detach();
        reply
    }
}

/// Passes parts on until the answer is whole; otherwise the caller sees a cut connection.
async fn pass_parts(
    attempt: LiveAttempt,
    held: Bytes,
    sender: BodySender,
    mut events: UnboundedReceiver<(AttemptKey, AttemptEvent)>,
) {
    let mut total = held.len() as u64;
    sender.send(held);
    while let Some((key, event)) = events.next().await {
        if key != attempt.key() {
            continue;
        }
        let AttemptEvent::Chunk(chunk) = event else {
            break;
        };
        total += chunk.data.len() as u64;
        if chunk.last && chunk.total_bytes == total {
            count(Counter::EntryAnswered);
            attempt.finish();
            return sender.finish();
        }
        if chunk.last || !sender.send(chunk.data) {
            break;
        }
    }
    // Dropping the attempt cancels it; dropping the sender cuts the connection.
    count(Counter::EntryTruncatedAnswers);
}

fn build_reply(head: &ResponseHead, body: OutgoingBody) -> HttpReply {
    let mut reply = Response::new(body);
    let status = u16::try_from(head.status).unwrap_or_default();
    *reply.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    for field in &head.headers {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_maybe_shared(field.value.clone());
        if let (Ok(name), Ok(value)) = (name, value)
            && !is_connection_field(&name)
        {
            reply.headers_mut().append(name, value);
        }
    }
    set_outcome(&mut reply, RunOutcome::Ran);
    reply
}

fn is_connection_field(name: &HeaderName) -> bool {
    *name == http::header::CONNECTION
        || *name == http::header::TRANSFER_ENCODING
        || *name == http::header::CONTENT_LENGTH
}

fn set_outcome(reply: &mut HttpReply, outcome: RunOutcome) {
    let value = HeaderValue::from_static(outcome.as_str());
    reply.headers_mut().insert(OUTCOME, value);
}

/// The final answer to a request without an answer of its own.
pub(crate) fn refusal(error: &WaxError, outcome: RunOutcome, after: Option<Duration>) -> HttpReply {
    let mut reply = error_reply(error);
    set_outcome(&mut reply, outcome);
    if let Some(after) = after.or(error.retry_after()) {
        let seconds = after.as_secs_f64().ceil().max(1.0) as u64;
        let headers = reply.headers_mut();
        headers.insert(http::header::RETRY_AFTER, seconds.into());
        headers.insert(RETRY_AFTER_MS, (after.as_millis() as u64).into());
    }
    reply
}
