//! Sends the response of an upstream to the caller: short responses from memory, longer ones as a
//! stream.

use crate::attempts::AttemptEvent;
use crate::headers::{OUTCOME, RETRY_AFTER_MS};
use crate::process::EntryShared;
use crate::request::InFlightAttempt;
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

/// Longest response body that is buffered until it is complete; longer ones are streamed.
pub(crate) const MAX_BUFFERED_BYTES: usize = 64 << 10;

/// Response of an upstream while its chunks are collected.
#[derive(Debug)]
pub(crate) struct ResponseBuffer {
    head: ResponseHead,
    buffered: BytesMut,
}

/// State of a buffered response after a chunk.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum BufferState {
    /// More chunks follow, and the buffer has room for them.
    Incomplete,
    /// The response is complete.
    Complete,
    /// The response exceeds [`MAX_BUFFERED_BYTES`] and must be streamed.
    TooLong,
    /// The chunks do not add up to the total size that the sidecar reported.
    Corrupt,
}

impl ResponseBuffer {
    pub(crate) fn new(head: ResponseHead) -> Self {
        Self {
            head,
            buffered: BytesMut::new(),
        }
    }

    pub(crate) fn add(&mut self, chunk: &BodyChunk) -> BufferState {
        self.buffered.extend_from_slice(&chunk.data);
        if chunk.last {
            return if chunk.total_bytes == self.buffered.len() as u64 {
                BufferState::Complete
            } else {
                BufferState::Corrupt
            };
        }
        if self.buffered.len() > MAX_BUFFERED_BYTES {
            BufferState::TooLong
        } else {
            BufferState::Incomplete
        }
    }

    /// Returns a complete response from memory.
    pub(crate) fn into_reply(self) -> HttpReply {
        let body = OutgoingBody::full(self.buffered.freeze());
        build_reply(&self.head, body)
    }

    /// Returns a streamed response; a separate task forwards the chunks that are still to come.
    pub(crate) fn into_stream(
        self,
        shared: Rc<EntryShared>,
        attempt: InFlightAttempt,
        events: UnboundedReceiver<(AttemptKey, AttemptEvent)>,
    ) -> HttpReply {
        let key = attempt.key();
        let upstream = attempt.upstream();
        let credit_shared = shared.clone();
        let (sender, body) = body_channel(move |bytes| {
            let credit = CreditGrant {
                attempt: Some(key.into()),
                bytes: bytes as u32,
            };
            credit_shared.peers.send(upstream, PeerBody::Credit(credit));
        });
        let reply = build_reply(&self.head, body);
        let buffered = self.buffered.freeze();
        compio::runtime::spawn(stream_chunks(attempt, buffered, sender, events)).detach();
        reply
    }
}

/// Forwards chunks to the caller until the response is complete. If it cannot be completed, the
/// connection to the caller is closed, so that the caller detects the truncated response.
async fn stream_chunks(
    attempt: InFlightAttempt,
    buffered: Bytes,
    sender: BodySender,
    mut events: UnboundedReceiver<(AttemptKey, AttemptEvent)>,
) {
    let mut total = buffered.len() as u64;
    sender.send(buffered);
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
    // Dropping the attempt cancels it; dropping the sender closes the connection to the caller.
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

/// Builds the response to a request that got none from an upstream.
///
/// `after` is the retry delay for the caller; `None` uses the delay of `error`, if it has one.
pub(crate) fn error_reply_with_outcome(
    error: &WaxError,
    outcome: RunOutcome,
    retry_after: Option<Duration>,
) -> HttpReply {
    let mut reply = error_reply(error);
    set_outcome(&mut reply, outcome);
    if let Some(retry_after) = retry_after.or(error.retry_after()) {
        let seconds = retry_after.as_secs_f64().ceil().max(1.0) as u64;
        let headers = reply.headers_mut();
        headers.insert(http::header::RETRY_AFTER, seconds.into());
        headers.insert(RETRY_AFTER_MS, (retry_after.as_millis() as u64).into());
    }
    reply
}
