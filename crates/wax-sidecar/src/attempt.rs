//! One attempt at the upstream. Each state of an attempt has its own type: queued, then running.

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
    BODY_WINDOW_BYTES, BodyChunk, CreditGrant, HeaderField, NotRunAnswer, NotRunReason, PeerBody,
    RequestHead, RequestLost, ResponseHead,
};

/// Maximum number of connections that are tried for one attempt. The next one is tried only if the
/// previous one proved stale before anything was sent.
const MAX_CONNECTION_TRIES: usize = 3;
const TRACE_HEADER: &str = TraceContext::HEADER;

/// Attempt that has not been sent to the upstream.
#[derive(Debug)]
pub(crate) struct QueuedAttempt {
    key: AttemptKey,
    head: RequestHead,
    deadline: TimePoint,
    outbox: UnboundedSender<PeerBody>,
    link: u64,
}

/// Attempt that holds a slot of the upstream.
#[derive(Debug)]
pub(crate) struct RunningAttempt {
    key: AttemptKey,
    head: RequestHead,
    deadline: TimePoint,
    handle: AttemptHandle,
    body: Option<OutgoingBody>,
}

/// Handle of a running attempt, through which the connection to the entry delivers body chunks, credit
/// and cancellation.
#[derive(Debug, Clone)]
pub(crate) struct AttemptHandle {
    shared: Rc<HandleState>,
}

#[derive(Debug)]
struct HandleState {
    link: u64,
    outbox: UnboundedSender<PeerBody>,
    /// Whether the response is to be discarded.
    abandoned: Cell<bool>,
    /// Bytes of the response that may still be sent to the entry.
    credit: Cell<u64>,
    credit_changed: Event,
    /// Sender of the request body to the upstream; `None` if the body is complete or
    /// was aborted.
    body: RefCell<Option<BodySender>>,
    /// Number of bytes of the request body received so far.
    body_received: Cell<u64>,
}

/// Result of the call of the upstream.
enum CallResult {
    /// The response was read to its end; the connection may be reused.
    Complete(ClientConnection),
    /// Nothing was sent to the upstream.
    NotSent(NotRunReason),
    /// The request may have been sent; the response is missing or incomplete.
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

    /// Reports to the entry that the attempt was not run and will not run.
    pub(crate) fn refuse(self, reason: NotRunReason, retry_after: Duration) {
        send_not_run(&self.outbox, self.key, reason, retry_after);
    }

    /// Turns the attempt into a running one. The caller must hold a slot for it.
    pub(crate) fn into_running(mut self) -> RunningAttempt {
        let shared = HandleState {
            link: self.link,
            outbox: self.outbox,
            abandoned: Cell::new(false),
            credit: Cell::new(BODY_WINDOW_BYTES.into()),
            credit_changed: Event::new(),
            body: RefCell::default(),
            body_received: Cell::new(self.head.body.len() as u64),
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
    // Sending fails if the connection has ended; the entry has then ended the attempt itself.
    let _ = outbox.unbounded_send(PeerBody::NotRun(answer));
}

impl AttemptHandle {
    pub(crate) fn link(&self) -> u64 {
        self.shared.link
    }

    /// Marks the attempt as abandoned: its response is read and discarded from now on.
    pub(crate) fn abandon(&self) {
        self.shared.abandoned.set(true);
        self.shared.credit_changed.notify(usize::MAX);
        // Aborts the request body, so that the upstream does not wait for the rest of it.
        self.shared.body.borrow_mut().take();
    }

    /// Adds credit for sending the response to the entry.
    pub(crate) fn grant(&self, bytes: u32) {
        let credit = self.shared.credit.get() + u64::from(bytes);
        self.shared.credit.set(credit);
        self.shared.credit_changed.notify(usize::MAX);
    }

    /// Forwards a part of the request body to the upstream. If the length of the body after its last
    /// part differs from the total that the entry reported, the body is aborted as truncated.
    pub(crate) fn receive_body_chunk(&self, chunk: BodyChunk) {
        let total = self.shared.body_received.get() + chunk.data.len() as u64;
        self.shared.body_received.set(total);
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
        grant(BODY_WINDOW_BYTES as usize);
        let (sender, body) = body_channel(grant);
        sender.send(first);
        *self.shared.body.borrow_mut() = Some(sender);
        body
    }

    fn is_abandoned(&self) -> bool {
        self.shared.abandoned.get() || self.shared.outbox.is_closed()
    }

    fn send(&self, body: PeerBody) {
        if !self.is_abandoned() {
            let _ = self.shared.outbox.unbounded_send(body);
        }
    }

    /// Waits for credit and spends it. Returns `false` at `time_limit` or once the attempt is
    /// abandoned. Data longer than the whole window is sent on a full window of credit.
    async fn spend_credit(&self, bytes: u64, time_limit: Instant) -> bool {
        loop {
            if self.is_abandoned() {
                return false;
            }
            let credit = self.shared.credit.get();
            if credit >= bytes.min(BODY_WINDOW_BYTES.into()) {
                self.shared.credit.set(credit.saturating_sub(bytes));
                return true;
            }
            let credit_changed = self.shared.credit_changed.listen();
            if self.shared.credit.get() == credit
                && !self.is_abandoned()
                && timeout_at(time_limit, credit_changed).await.is_err()
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

    /// Calls the upstream, forwards the response to the entry, and releases the slot.
    pub(crate) async fn run(mut self, shared: Rc<SidecarShared>) {
        let parent = self.trace_context();
        let context = parent.map(TraceContext::child);
        let span = context.map_or_else(tracing::Span::none, |context| {
            context.hop_span("sidecar", parent)
        });
        let start = Instant::now();
        let result = self.call(&shared, context).instrument(span.clone()).await;
        let elapsed = start.elapsed();
        match result {
            CallResult::Complete(connection) => {
                span.record("outcome", "ran");
                // The connection is returned before the slot, so that the next attempt reuses it.
                shared.return_connection(connection).await;
                shared.finish_attempt(self.key, Some(elapsed));
            }
            CallResult::NotSent(reason) => {
                span.record("outcome", "not-run");
                shared.finish_attempt(self.key, None);
                let outbox = &self.handle.shared.outbox;
                send_not_run(outbox, self.key, reason, Duration::from_millis(100));
            }
            CallResult::Lost(detail) => {
                span.record("outcome", "unknown");
                count(Counter::SidecarLost);
                shared.finish_attempt(self.key, Some(elapsed));
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

    async fn call(&mut self, shared: &SidecarShared, context: Option<TraceContext>) -> CallResult {
        let Some(mut request) = self.build_request(shared, context) else {
            return CallResult::NotSent(NotRunReason::Malformed);
        };
        let time_limit = Instant::now() + shared.answer_timeout();
        for try_number in 0..MAX_CONNECTION_TRIES {
            let result = if try_number == 0 {
                shared.pool().take().await
            } else {
                shared.pool().open().await
            };
            let Ok(mut connection) = result else {
                return CallResult::NotSent(NotRunReason::UpstreamUnreachable);
            };
            if shared.clock().now() > self.deadline {
                shared.pool().put_back(connection);
                return CallResult::NotSent(NotRunReason::CannotMeetDeadline);
            }
            if self.handle.is_abandoned() {
                shared.pool().put_back(connection);
                return CallResult::NotSent(NotRunReason::Cancelled);
            }
            match timeout_at(time_limit, connection.try_send(request)).await {
                Err(_) => return CallResult::Lost("no answer from the upstream in time".into()),
                Ok(Ok(response)) => {
                    count(Counter::SidecarDispatched);
                    return self
                        .forward_response(connection, response, time_limit)
                        .await;
                }
                Ok(Err((_, Some(unsent)))) => request = unsent,
                Ok(Err((error, None))) => return CallResult::Lost(error.to_string().into()),
            }
        }
        CallResult::NotSent(NotRunReason::UpstreamUnreachable)
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

    async fn forward_response(
        &self,
        connection: ClientConnection,
        response: Response<Incoming>,
        time_limit: Instant,
    ) -> CallResult {
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
            let data = match timeout_at(time_limit, body.frame()).await {
                Err(_) => return CallResult::Lost("the answer did not end in time".into()),
                Ok(Some(Err(error))) => return CallResult::Lost(error.to_string().into()),
                Ok(None) => break,
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            };
            total += data.len() as u64;
            if !self
                .handle
                .spend_credit(data.len() as u64, time_limit)
                .await
            {
                // The rest is discarded. It is still read, because the upstream works on the request
                // until the end of its response and occupies the slot until then.
                self.handle.abandon();
                continue;
            }
            self.send_chunk(data, None);
        }
        self.send_chunk(Bytes::new(), Some(total));
        CallResult::Complete(connection)
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
