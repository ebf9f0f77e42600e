//! One attempt: queued, then running; each state is a type of its own.

use crate::process::SidecarShared;
use bytes::Bytes;
use compio::time::timeout_at;
use event_listener::Event;
use futures_channel::mpsc::UnboundedSender;
use http::{HeaderName, HeaderValue, Method, Request, Response, Uri};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::Instrument;
use wax_http::{BodySender, ClientConnection, OutgoingBody, body_channel};
use wax_trace::{Counter, TraceContext, count};
use wax_types::{AttemptKey, TimePoint};
use wax_wire::{
    BodyChunk, CreditGrant, HeaderField, NotRunAnswer, NotRunReason, PeerBody, RequestHead,
    RequestLost, ResponseHead, WINDOW_BYTES,
};

/// Connections tried for one attempt, where each proved stale before anything was sent.
const CONNECTION_TRIES: usize = 3;
const TRACE_HEADER: &str = TraceContext::HEADER;

/// An attempt that has not been dispatched.
#[derive(Debug)]
pub(crate) struct QueuedAttempt {
    key: AttemptKey,
    head: RequestHead,
    deadline: TimePoint,
    outbox: UnboundedSender<PeerBody>,
    link: u64,
}

/// An attempt that holds a slot.
#[derive(Debug)]
pub(crate) struct RunningAttempt {
    key: AttemptKey,
    head: RequestHead,
    deadline: TimePoint,
    handle: AttemptHandle,
    body: Option<OutgoingBody>,
}

/// What the connection's reader needs of a running attempt.
#[derive(Debug, Clone)]
pub(crate) struct AttemptHandle {
    shared: Rc<HandleShared>,
}

#[derive(Debug)]
struct HandleShared {
    link: u64,
    outbox: UnboundedSender<PeerBody>,
    unwanted: Cell<bool>,
    credit: Cell<u64>,
    granted: Event,
    body: RefCell<Option<BodySender>>,
    body_bytes: Cell<u64>,
}

/// How the call of the upstream ended.
enum CallEnd {
    /// The answer was read to its end; the connection may be used again.
    Whole(ClientConnection),
    /// Nothing was sent to the upstream.
    NotSent(NotRunReason),
    /// Something may have been sent; the answer is lost or cut.
    Lost(Box<str>),
}

impl QueuedAttempt {
    pub(crate) fn new(
        key: AttemptKey,
        head: RequestHead,
        now: TimePoint,
        outbox: UnboundedSender<PeerBody>,
        link: u64,
    ) -> Self {
        let deadline = now + Duration::from_millis(head.deadline_ms.into());
        Self {
            key,
            head,
            deadline,
            outbox,
            link,
        }
    }

    pub(crate) fn deadline(&self) -> TimePoint {
        self.deadline
    }

    pub(crate) fn link(&self) -> u64 {
        self.link
    }

    /// Answers that it was not run and never will be.
    pub(crate) fn refuse(self, reason: NotRunReason, retry_after: Duration) {
        send_not_run(&self.outbox, self.key, reason, retry_after);
    }

    /// Makes it a running attempt; a slot must be held for it.
    pub(crate) fn into_running(mut self) -> RunningAttempt {
        let shared = HandleShared {
            link: self.link,
            outbox: self.outbox,
            unwanted: Cell::new(false),
            credit: Cell::new(WINDOW_BYTES.into()),
            granted: Event::new(),
            body: RefCell::default(),
            body_bytes: Cell::new(self.head.body.len() as u64),
        };
        let handle = AttemptHandle {
            shared: Rc::new(shared),
        };
        let body = handle.open_body(self.key, &mut self.head);
        RunningAttempt {
            key: self.key,
            head: self.head,
            deadline: self.deadline,
            handle,
            body: Some(body),
        }
    }
}

pub(crate) fn send_not_run(
    outbox: &UnboundedSender<PeerBody>,
    key: AttemptKey,
    reason: NotRunReason,
    retry_after: Duration,
) {
    count(Counter::SidecarNotRun);
    let answer = NotRunAnswer {
        attempt: Some(key.into()),
        reason: reason.into(),
        retry_after_ms: retry_after.as_millis() as u32,
    };
    // Where the connection is gone, the entry has already given the attempt up.
    let _ = outbox.unbounded_send(PeerBody::NotRun(answer));
}

impl AttemptHandle {
    pub(crate) fn link(&self) -> u64 {
        self.shared.link
    }

    /// From now on the answer is read and thrown away.
    pub(crate) fn abandon(&self) {
        self.shared.unwanted.set(true);
        self.shared.granted.notify(usize::MAX);
        // A body that stops arriving is cut, so that the upstream does not wait for it.
        self.shared.body.borrow_mut().take();
    }

    /// Lets the answer go on by so many bytes.
    pub(crate) fn grant(&self, bytes: u32) {
        let credit = self.shared.credit.get() + u64::from(bytes);
        self.shared.credit.set(credit);
        self.shared.granted.notify(usize::MAX);
    }

    /// Passes a part of the request's body on.
    pub(crate) fn take_chunk(&self, chunk: BodyChunk) {
        let total = self.shared.body_bytes.get() + chunk.data.len() as u64;
        self.shared.body_bytes.set(total);
        if let Some(body) = &*self.shared.body.borrow()
            && !chunk.data.is_empty()
        {
            body.send(chunk.data);
        }
        if !chunk.last {
            return;
        }
        let body = self.shared.body.borrow_mut().take();
        if let Some(body) = body
            && total == chunk.total_bytes
        {
            body.finish();
        }
    }

    fn open_body(&self, key: AttemptKey, head: &mut RequestHead) -> OutgoingBody {
        let first = std::mem::take(&mut head.body);
        if head.body_complete {
            return if first.is_empty() {
                OutgoingBody::empty()
            } else {
                OutgoingBody::full(first)
            };
        }
        let outbox = self.shared.outbox.clone();
        let grant = move |bytes: usize| {
            let credit = CreditGrant {
                attempt: Some(key.into()),
                bytes: bytes as u32,
            };
            let _ = outbox.unbounded_send(PeerBody::Credit(credit));
        };
        grant(WINDOW_BYTES as usize);
        let (sender, body) = body_channel(grant);
        sender.send(first);
        *self.shared.body.borrow_mut() = Some(sender);
        body
    }

    fn is_unwanted(&self) -> bool {
        self.shared.unwanted.get() || self.shared.outbox.is_closed()
    }

    fn send(&self, body: PeerBody) {
        if !self.is_unwanted() {
            let _ = self.shared.outbox.unbounded_send(body);
        }
    }

    /// Waits for credit and spends it; gives up at `limit` or when the answer is unwanted.
    async fn spend(&self, bytes: u64, limit: Instant) -> bool {
        loop {
            if self.is_unwanted() {
                return false;
            }
            let credit = self.shared.credit.get();
            if credit >= bytes.min(WINDOW_BYTES.into()) {
                self.shared.credit.set(credit.saturating_sub(bytes));
                return true;
            }
            let granted = self.shared.granted.listen();
            if self.shared.credit.get() == credit
                && !self.is_unwanted()
                && timeout_at(limit, granted).await.is_err()
            {
                return false;
            }
        }
    }
}

impl RunningAttempt {
    pub(crate) fn handle(&self) -> AttemptHandle {
        self.handle.clone()
    }

    /// Calls the upstream, passes the answer on, and gives the slot back.
    pub(crate) async fn run(mut self, shared: Rc<SidecarShared>) {
        let parent = self.trace_context();
        let context = parent.map(TraceContext::child);
        let span = context.map_or_else(tracing::Span::none, |context| {
            context.hop_span("sidecar", parent)
        });
        let start = Instant::now();
        let end = self.call(&shared, context).instrument(span.clone()).await;
        let spent = start.elapsed();
        match end {
            CallEnd::Whole(connection) => {
                span.record("outcome", "ran");
                // First, so that the next attempt finds it and opens no further one.
                shared.keep_connection(connection).await;
                shared.finish_attempt(self.key, Some(spent));
            }
            CallEnd::NotSent(reason) => {
                span.record("outcome", "not-run");
                shared.finish_attempt(self.key, None);
                let outbox = &self.handle.shared.outbox;
                send_not_run(outbox, self.key, reason, Duration::from_millis(100));
            }
            CallEnd::Lost(detail) => {
                span.record("outcome", "unknown");
                count(Counter::SidecarLost);
                shared.finish_attempt(self.key, Some(spent));
                self.handle.send(PeerBody::Lost(RequestLost {
                    attempt: Some(self.key.into()),
                    detail: detail.into(),
                }));
            }
        }
    }

    fn trace_context(&self) -> Option<TraceContext> {
        let field = self
            .head
            .headers
            .iter()
            .find(|field| field.name == TRACE_HEADER)?;
        std::str::from_utf8(&field.value).ok()?.parse().ok()
    }

    async fn call(&mut self, shared: &SidecarShared, context: Option<TraceContext>) -> CallEnd {
        let Some(mut request) = self.build_request(shared, context) else {
            return CallEnd::NotSent(NotRunReason::Malformed);
        };
        let limit = Instant::now() + shared.answer_limit();
        for round in 0..CONNECTION_TRIES {
            let taken = if round == 0 {
                shared.pool().take().await
            } else {
                shared.pool().open().await
            };
            let Ok(mut connection) = taken else {
                return CallEnd::NotSent(NotRunReason::UpstreamUnreachable);
            };
            if shared.clock().now() > self.deadline {
                shared.pool().put_back(connection);
                return CallEnd::NotSent(NotRunReason::DeadlineHopeless);
            }
            if self.handle.is_unwanted() {
                shared.pool().put_back(connection);
                return CallEnd::NotSent(NotRunReason::Cancelled);
            }
            match timeout_at(limit, connection.try_send(request)).await {
                Err(_) => return CallEnd::Lost("no answer from the upstream in time".into()),
                Ok(Ok(response)) => {
                    count(Counter::SidecarDispatched);
                    return self.pass_answer(connection, response, limit).await;
                }
                Ok(Err((_, Some(unsent)))) => request = unsent,
                Ok(Err((error, None))) => return CallEnd::Lost(error.to_string().into()),
            }
        }
        CallEnd::NotSent(NotRunReason::UpstreamUnreachable)
    }

    fn build_request(
        &mut self,
        shared: &SidecarShared,
        context: Option<TraceContext>,
    ) -> Option<Request<OutgoingBody>> {
        let method = Method::from_bytes(self.head.method.as_bytes()).ok()?;
        let uri: Uri = self.head.path.parse().ok()?;
        let mut request = Request::new(self.body.take()?);
        *request.method_mut() = method;
        *request.uri_mut() = uri;
        let headers = request.headers_mut();
        for field in std::mem::take(&mut self.head.headers) {
            let name = HeaderName::from_bytes(field.name.as_bytes()).ok()?;
            let value = HeaderValue::from_maybe_shared(field.value).ok()?;
            headers.append(name, value);
        }
        let host = HeaderValue::from_str(&shared.upstream_host()).ok()?;
        headers.insert(http::header::HOST, host);
        if let Some(context) = context {
            let value = HeaderValue::from_str(&context.to_string()).ok()?;
            headers.insert(TRACE_HEADER, value);
        }
        Some(request)
    }

    async fn pass_answer(
        &self,
        connection: ClientConnection,
        response: Response<Incoming>,
        limit: Instant,
    ) -> CallEnd {
        let (parts, mut body) = response.into_parts();
        let headers = parts
            .headers
            .iter()
            .map(|(name, value)| HeaderField {
                name: name.as_str().to_owned(),
                value: Bytes::copy_from_slice(value.as_bytes()),
            })
            .collect();
        self.handle.send(PeerBody::Response(ResponseHead {
            attempt: Some(self.key.into()),
            status: parts.status.as_u16().into(),
            headers,
        }));
        let mut total = 0;
        loop {
            let data = match timeout_at(limit, body.frame()).await {
                Err(_) => return CallEnd::Lost("the answer did not end in time".into()),
                Ok(Some(Err(error))) => return CallEnd::Lost(error.to_string().into()),
                Ok(None) => break,
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            };
            total += data.len() as u64;
            if !self.handle.spend(data.len() as u64, limit).await {
                // Nobody wants the rest; it is read on so that the slot is counted to the end.
                self.handle.abandon();
                continue;
            }
            self.send_chunk(data, None);
        }
        self.send_chunk(Bytes::new(), Some(total));
        CallEnd::Whole(connection)
    }

    fn send_chunk(&self, data: Bytes, total: Option<u64>) {
        self.handle.send(PeerBody::Chunk(BodyChunk {
            attempt: Some(self.key.into()),
            data,
            last: total.is_some(),
            total_bytes: total.unwrap_or(0),
        }));
    }
}
