//! Execution of one quick request: attempts at upstreams, retries, at most one hedged request, and
//! exactly one final response.

use crate::attempts::AttemptEvent;
use crate::body_forwarder::{BodyCredit, BodyForwarder};
use crate::headers::{CallerHeaders, RetrySafety};
use crate::process::EntryShared;
use crate::response::{BufferState, ResponseBuffer, error_reply_with_outcome};
use bytes::Bytes;
use compio::time::timeout;
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use futures_util::StreamExt;
use std::rc::Rc;
use std::time::Duration;
use wax_http::{HttpReply, RequestBody};
use wax_policy::{AttemptEnd, RouteChoice, TeamKey, UpstreamKey};
use wax_trace::{Counter, TraceContext, count};
use wax_types::{AttemptKey, ErrorKind, RunOutcome, Step, TimePoint, WaxError};
use wax_wire::{CancelRequest, HeaderField, NotRunAnswer, NotRunReason, PeerBody, RequestHead};

/// Lower bound of the retry delay in a response to a caller.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Request as sent to an upstream, kept until the final response for further attempts.
pub(crate) struct UpstreamRequest {
    pub(crate) caller: CallerHeaders,
    pub(crate) service: Box<str>,
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) headers: Vec<HeaderField>,
    /// Start of the body, sent with each attempt.
    pub(crate) body_start: Bytes,
    /// Remainder of a body that is too long to be resent: the first unsent data, and the stream of
    /// what follows. Taken by the attempt that first receives credit, so at most one attempt can send
    /// the whole body. `None` if `body_start` is the whole body.
    pub(crate) body_rest: Option<(Bytes, RequestBody)>,
    /// Whether `body_start` is the whole body.
    pub(crate) body_complete: bool,
    /// Maximum size of the whole body.
    pub(crate) max_body_bytes: u64,
    pub(crate) deadline: TimePoint,
    pub(crate) trace: TraceContext,
}

/// Attempt that was sent to a sidecar and has not ended. Dropping it cancels the attempt.
pub(crate) struct InFlightAttempt {
    shared: Rc<EntryShared>,
    key: AttemptKey,
    upstream: UpstreamKey,
    sent_at: TimePoint,
    ended: bool,
    admission: Option<Rc<AdmissionGuard>>,
}

/// One request that counts against its team's limit of requests in flight, until the request and
/// its last attempt are dropped.
pub(crate) struct AdmissionGuard {
    shared: Rc<EntryShared>,
    team: TeamKey,
    admitted_at: TimePoint,
}

impl AdmissionGuard {
    pub(crate) fn new(shared: Rc<EntryShared>, team: TeamKey, admitted_at: TimePoint) -> Self {
        Self {
            shared,
            team,
            admitted_at,
        }
    }
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        let in_flight_time = self.shared.clock.now().since(self.admitted_at);
        self.shared
            .teams
            .borrow_mut()
            .release(self.team, in_flight_time);
    }
}

impl InFlightAttempt {
    pub(crate) fn key(&self) -> AttemptKey {
        self.key
    }

    pub(crate) fn upstream(&self) -> UpstreamKey {
        self.upstream
    }

    fn end(&mut self, end: AttemptEnd) {
        if self.ended {
            return;
        }
        self.ended = true;
        let now = self.shared.clock.now();
        self.shared
            .routes
            .borrow_mut()
            .end_attempt(now, self.upstream, end);
        self.shared.attempts.remove(self.key);
    }

    /// Ends an attempt whose response was received completely.
    pub(crate) fn finish(mut self) {
        let elapsed = self.shared.clock.now().since(self.sent_at);
        self.end(AttemptEnd::Answered(elapsed));
    }

    fn cancel(&self) {
        let cancel = CancelRequest {
            attempt: Some(self.key.into()),
        };
        self.shared
            .peers
            .send(self.upstream, PeerBody::Cancel(cancel));
    }
}

impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        if !self.ended {
            self.cancel();
            self.end(AttemptEnd::Abandoned);
        }
        self.admission.take();
    }
}

/// Response to the caller, and whether the request ran.
pub(crate) struct FinalResponse {
    pub(crate) reply: HttpReply,
    pub(crate) outcome: RunOutcome,
}

/// What a request does after an event.
enum FlowAction {
    Wait,
    Finish(FinalResponse),
}

/// Drives one request to its final response.
pub(crate) struct RequestFlow {
    shared: Rc<EntryShared>,
    request: UpstreamRequest,
    admission: Rc<AdmissionGuard>,
    in_flight: Vec<InFlightAttempt>,
    tried_upstreams: Vec<UpstreamKey>,
    /// Whether an upstream may have run an attempt.
    may_have_run: bool,
    /// Answer of the latest attempt that was not run.
    last_not_run: Option<NotRunAnswer>,
    /// First attempt that returned a response head, and its response so far.
    response: Option<(AttemptKey, ResponseBuffer)>,
    /// Credit for sending `body_rest`; `None` until it is being sent.
    body_credit: Option<Rc<BodyCredit>>,
    sender: UnboundedSender<(AttemptKey, AttemptEvent)>,
    events: Option<UnboundedReceiver<(AttemptKey, AttemptEvent)>>,
    /// Time at which a hedged request is sent; `None` if none is planned.
    hedge_at: Option<TimePoint>,
}

impl Drop for RequestFlow {
    fn drop(&mut self) {
        if let Some(body_credit) = &self.body_credit
            && self.response.is_none()
        {
            body_credit.stop();
        }
    }
}

impl RequestFlow {
    pub(crate) fn new(
        shared: Rc<EntryShared>,
        request: UpstreamRequest,
        admission: AdmissionGuard,
    ) -> Self {
        let (sender, events) = unbounded();
        Self {
            shared,
            request,
            admission: Rc::new(admission),
            in_flight: Vec::new(),
            tried_upstreams: Vec::new(),
            may_have_run: false,
            last_not_run: None,
            response: None,
            body_credit: None,
            sender,
            events: Some(events),
            hedge_at: None,
        }
    }

    /// Sends attempts until there is a final response, at the latest at the deadline.
    pub(crate) async fn run(mut self) -> FinalResponse {
        if self.shared.clock.now() >= self.request.deadline {
            return self.time_out();
        }
        if let Some(response) = self.send_attempt() {
            return response;
        }
        loop {
            let now = self.shared.clock.now();
            if now >= self.request.deadline {
                return self.time_out();
            }
            let wake_at = self.hedge_at.unwrap_or(self.request.deadline);
            let wait = wake_at.min(self.request.deadline).since(now);
            let next = match self.events.as_mut() {
                Some(events) => timeout(wait, events.next()).await,
                None => return self.time_out(),
            };
            match next {
                Err(_) => self.send_hedge(),
                Ok(None) => return self.time_out(),
                Ok(Some((key, event))) => match self.handle_event(key, event) {
                    FlowAction::Wait => {}
                    FlowAction::Finish(response) => return response,
                },
            }
        }
    }

    /// Sends one more attempt. Returns the final response if no upstream can take it.
    fn send_attempt(&mut self) -> Option<FinalResponse> {
        let now = self.shared.clock.now();
        let choice = self.shared.routes.borrow_mut().choose(
            now,
            &self.request.service,
            self.request.deadline,
            &self.tried_upstreams,
            self.shared.policy,
            &mut self.shared.rng.borrow_mut(),
        );
        match choice {
            RouteChoice::Send(upstream) => {
                self.send_to(now, upstream);
                None
            }
            RouteChoice::Late(delay) => {
                let kind = ErrorKind::Overload(delay.max(MIN_RETRY_DELAY));
                Some(self.finish_with_error(kind, "every upstream is busy past the deadline"))
            }
            RouteChoice::NoUpstream => {
                let kind = ErrorKind::Unavailable(Duration::from_secs(1));
                Some(self.finish_with_error(kind, "no upstream of the service takes work"))
            }
        }
    }

    fn send_to(&mut self, now: TimePoint, upstream: UpstreamKey) {
        let key = self.shared.attempts.register(upstream, self.sender.clone());
        let head = RequestHead {
            attempt: Some(key.into()),
            method: self.request.method.clone(),
            path: self.request.path.clone(),
            headers: self.attempt_headers(),
            deadline_ms: self.request.deadline.since(now).as_millis() as u32,
            body: self.request.body_start.clone(),
            body_complete: self.request.body_complete,
            team: self.request.caller.team.to_string(),
        };
        self.shared.routes.borrow_mut().begin_attempt(now, upstream);
        self.tried_upstreams.push(upstream);
        self.in_flight.push(InFlightAttempt {
            shared: self.shared.clone(),
            key,
            upstream,
            sent_at: now,
            ended: false,
            admission: Some(self.admission.clone()),
        });
        if !self.shared.peers.send(upstream, PeerBody::Request(head)) {
            // The connection to the sidecar is closed, so the attempt was not sent.
            let event = AttemptEvent::NotRun(NotRunAnswer::default());
            let _ = self.sender.unbounded_send((key, event));
        }
        self.schedule_hedge(now, upstream);
    }

    fn attempt_headers(&self) -> Vec<HeaderField> {
        let mut headers = self.request.headers.clone();
        headers.push(HeaderField {
            name: TraceContext::HEADER.to_owned(),
            value: self.request.trace.to_string().into(),
        });
        headers
    }

    fn schedule_hedge(&mut self, now: TimePoint, upstream: UpstreamKey) {
        let can_hedge = self.request.caller.retry_safety == RetrySafety::Idempotent
            && self.request.body_complete
            && self.tried_upstreams.len() == 1
            && self
                .shared
                .routes
                .borrow()
                .upstream_count(&self.request.service)
                > 1;
        if can_hedge {
            let routes = self.shared.routes.borrow();
            self.hedge_at = routes.hedge_time(now, upstream, self.request.deadline);
        }
    }

    fn send_hedge(&mut self) {
        if self.hedge_at.take().is_none() || self.response.is_some() {
            return;
        }
        if !self
            .shared
            .teams
            .borrow_mut()
            .spend_hedge(self.admission.team)
        {
            return;
        }
        count(Counter::EntryHedges);
        // If no upstream can take the hedged request, the first attempt continues alone.
        let _ = self.send_attempt();
    }

    fn handle_event(&mut self, key: AttemptKey, event: AttemptEvent) -> FlowAction {
        if !self.in_flight.iter().any(|attempt| attempt.key == key) {
            return FlowAction::Wait;
        }
        match event {
            AttemptEvent::Response(head) => self.handle_response_head(key, head),
            AttemptEvent::Chunk(chunk) => self.handle_chunk(key, &chunk),
            AttemptEvent::Credit(bytes) => self.handle_credit(key, bytes),
            AttemptEvent::NotRun(not_run) => self.handle_not_run(key, not_run),
            AttemptEvent::Lost(detail) => self.handle_loss(key, &detail),
            AttemptEvent::LinkBroken => {
                self.handle_loss(key, "the connection to the sidecar broke")
            }
        }
    }

    /// Selects the first attempt that returns a response head; the other attempts are cancelled.
    fn handle_response_head(
        &mut self,
        key: AttemptKey,
        head: wax_wire::ResponseHead,
    ) -> FlowAction {
        if self.response.is_none() {
            self.in_flight.retain(|attempt| attempt.key == key);
            self.hedge_at = None;
            self.response = Some((key, ResponseBuffer::new(head)));
            self.may_have_run = true;
        }
        FlowAction::Wait
    }

    fn handle_chunk(&mut self, key: AttemptKey, chunk: &wax_wire::BodyChunk) -> FlowAction {
        let Some((response_key, buffer)) = &mut self.response else {
            return FlowAction::Wait;
        };
        if *response_key != key {
            return FlowAction::Wait;
        }
        match buffer.add(chunk) {
            BufferState::Incomplete => FlowAction::Wait,
            BufferState::Corrupt => self.handle_loss(key, "the answer's parts do not add up"),
            BufferState::Complete => {
                count(Counter::EntryAnswered);
                if let Some(attempt) = self.in_flight.pop() {
                    attempt.finish();
                }
                self.finish_with_response(ResponseBuffer::into_reply)
            }
            BufferState::TooLong => {
                let (Some(attempt), Some(events)) = (self.in_flight.pop(), self.events.take())
                else {
                    return FlowAction::Wait;
                };
                let shared = self.shared.clone();
                self.finish_with_response(|buffer| buffer.into_stream(shared, attempt, events))
            }
        }
    }

    fn finish_with_response(
        &mut self,
        build: impl FnOnce(ResponseBuffer) -> HttpReply,
    ) -> FlowAction {
        match self.response.take() {
            Some((_, buffer)) => FlowAction::Finish(FinalResponse {
                reply: build(buffer),
                outcome: RunOutcome::Ran,
            }),
            None => FlowAction::Wait,
        }
    }

    fn handle_credit(&mut self, key: AttemptKey, bytes: u32) -> FlowAction {
        if let Some((first_data, body)) = self.request.body_rest.take() {
            let body_credit = Rc::new(BodyCredit::default());
            let attempt = self.in_flight.iter().find(|attempt| attempt.key == key);
            if let Some(attempt) = attempt {
                let forwarder = BodyForwarder {
                    shared: self.shared.clone(),
                    upstream: attempt.upstream,
                    key,
                    credit: body_credit.clone(),
                    bytes_sent: self.request.body_start.len() as u64,
                    max_body_bytes: self.request.max_body_bytes,
                };
                compio::runtime::spawn(forwarder.run(first_data, body)).detach();
            }
            self.body_credit = Some(body_credit);
        }
        if let Some(body_credit) = &self.body_credit {
            body_credit.add(bytes);
        }
        FlowAction::Wait
    }

    fn handle_not_run(&mut self, key: AttemptKey, not_run: NotRunAnswer) -> FlowAction {
        let is_unreachable = not_run.reason() == NotRunReason::UpstreamUnreachable;
        self.end_attempt(
            key,
            if is_unreachable {
                AttemptEnd::Failed
            } else {
                AttemptEnd::Refused
            },
        );
        self.last_not_run = Some(not_run);
        self.retry_or_finish(
            not_run.reason() != NotRunReason::Malformed,
            "the upstream did not run it",
        )
    }

    fn handle_loss(&mut self, key: AttemptKey, detail: &str) -> FlowAction {
        self.end_attempt(key, AttemptEnd::Failed);
        self.response = None;
        self.may_have_run = true;
        self.retry_or_finish(
            self.request.caller.retry_safety == RetrySafety::Idempotent,
            detail,
        )
    }

    fn end_attempt(&mut self, key: AttemptKey, end: AttemptEnd) {
        if let Some(position) = self.in_flight.iter().position(|attempt| attempt.key == key) {
            let mut attempt = self.in_flight.swap_remove(position);
            attempt.end(end);
        }
    }

    /// Retries if no other attempt is in flight and a retry is allowed; otherwise ends the request.
    ///
    /// `may_retry` says whether repeating the request is safe. A retry also needs a body that can be
    /// sent again, the retry budget of the team, and an untried upstream or an attempt that may have
    /// run.
    fn retry_or_finish(&mut self, may_retry: bool, detail: &str) -> FlowAction {
        if !self.in_flight.is_empty() {
            return FlowAction::Wait;
        }
        let can_send_body = self.request.body_complete || self.request.body_rest.is_some();
        let has_untried_upstream = self
            .shared
            .routes
            .borrow()
            .upstream_count(&self.request.service)
            > self.tried_upstreams.len();
        let may_retry = may_retry && can_send_body && (has_untried_upstream || self.may_have_run);
        if may_retry
            && self
                .shared
                .teams
                .borrow_mut()
                .spend_retry(self.admission.team)
        {
            count(Counter::EntryRetries);
            return match self.send_attempt() {
                None => FlowAction::Wait,
                Some(response) => FlowAction::Finish(response),
            };
        }
        let delay = self.retry_delay();
        if self.may_have_run {
            return FlowAction::Finish(self.finish_with_error(ErrorKind::Ambiguous, detail));
        }
        let text = self.not_run_text(detail);
        FlowAction::Finish(self.finish_with_error(ErrorKind::Overload(delay), &text))
    }

    fn retry_delay(&self) -> Duration {
        let millis = self
            .last_not_run
            .map_or(0, |not_run| not_run.retry_after_ms);
        Duration::from_millis(millis.into()).max(MIN_RETRY_DELAY)
    }

    fn not_run_text(&self, detail: &str) -> String {
        match self.last_not_run.map(|not_run| not_run.reason()) {
            Some(NotRunReason::Leaving) => "the upstream is leaving".into(),
            Some(NotRunReason::QueueFull) => "the upstream's queue is full".into(),
            Some(NotRunReason::CannotMeetDeadline) => "the deadline cannot be met".into(),
            Some(NotRunReason::UpstreamUnreachable) => "the upstream cannot be reached".into(),
            Some(NotRunReason::Malformed) => "the upstream cannot take this request".into(),
            _ => detail.into(),
        }
    }

    /// Cancels all attempts and ends the request with a time-out.
    fn time_out(&mut self) -> FinalResponse {
        count(Counter::EntryTimeouts);
        if !self.in_flight.is_empty() {
            self.may_have_run = true;
        }
        for attempt in &mut self.in_flight {
            attempt.cancel();
            attempt.end(AttemptEnd::Failed);
        }
        self.in_flight.clear();
        self.finish_with_error(ErrorKind::Timeout, "the deadline passed")
    }

    /// Returns the final response of a request that has no response of an upstream.
    fn finish_with_error(&self, kind: ErrorKind, text: &str) -> FinalResponse {
        let outcome = if self.may_have_run {
            RunOutcome::Unknown
        } else {
            RunOutcome::NotRun
        };
        let error = WaxError::new(kind, Step::RouteRequest, &*self.request.service, text);
        let delay = self.retry_delay();
        FinalResponse {
            reply: error_reply_with_outcome(
                &error,
                outcome,
                Some(error.retry_after().unwrap_or(delay)),
            ),
            outcome,
        }
    }
}
