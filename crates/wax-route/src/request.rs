//! One quick request: attempts, retries, a hedge, and exactly one final answer.

use crate::answer::{AnswerParts, CollectStep, refusal};
use crate::attempts::AttemptEvent;
use crate::body_pump::{BodyCredit, BodyPump};
use crate::headers::{CallerFields, RepeatClass};
use crate::process::EntryShared;
use bytes::Bytes;
use compio::time::timeout;
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use futures_util::StreamExt;
use hyper::body::Incoming;
use std::rc::Rc;
use std::time::Duration;
use wax_http::HttpReply;
use wax_policy::{AttemptEnd, RouteChoice, TeamKey, UpstreamKey};
use wax_trace::{Counter, TraceContext, count};
use wax_types::{AttemptKey, ErrorKind, RunOutcome, Step, TimePoint, WaxError};
use wax_wire::{CancelRequest, HeaderField, NotRunAnswer, NotRunReason, PeerBody, RequestHead};

/// Shortest time after which a caller is told to come back.
const RETRY_FLOOR: Duration = Duration::from_millis(50);

/// A request as it goes to an upstream, kept for further attempts.
pub(crate) struct RequestParts {
    pub(crate) fields: CallerFields,
    pub(crate) service: Box<str>,
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) headers: Vec<HeaderField>,
    /// The start of the body, sent with each attempt.
    pub(crate) first: Bytes,
    /// The rest, if there is one; sent once at most.
    pub(crate) rest: Option<(Bytes, Incoming)>,
    pub(crate) body_complete: bool,
    pub(crate) body_limit: u64,
    pub(crate) deadline: TimePoint,
    pub(crate) trace: TraceContext,
}

/// An attempt under way; dropping it cancels it.
pub(crate) struct LiveAttempt {
    shared: Rc<EntryShared>,
    key: AttemptKey,
    upstream: UpstreamKey,
    sent: TimePoint,
    ended: bool,
    place: Option<Rc<PlaceGuard>>,
}

/// A team's place, given back when the last attempt and the request are gone.
pub(crate) struct PlaceGuard {
    shared: Rc<EntryShared>,
    team: TeamKey,
    taken: TimePoint,
}

impl PlaceGuard {
    pub(crate) fn new(shared: Rc<EntryShared>, team: TeamKey, taken: TimePoint) -> Self {
        Self {
            shared,
            team,
            taken,
        }
    }
}

impl Drop for PlaceGuard {
    fn drop(&mut self) {
        let held = self.shared.clock.now().since(self.taken);
        self.shared.teams.borrow_mut().release(self.team, held);
    }
}

impl LiveAttempt {
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
        self.shared.attempts.close(self.key);
    }

    /// Ends an attempt whose answer was taken to its end.
    pub(crate) fn finish(mut self) {
        let time = self.shared.clock.now().since(self.sent);
        self.end(AttemptEnd::Answered(time));
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

impl Drop for LiveAttempt {
    fn drop(&mut self) {
        if !self.ended {
            self.cancel();
            self.end(AttemptEnd::Abandoned);
        }
        self.place.take();
    }
}

/// What a request ended with.
pub(crate) struct FinalAnswer {
    pub(crate) reply: HttpReply,
    pub(crate) outcome: RunOutcome,
}

/// What the flow does after an event.
enum FlowStep {
    Wait,
    Done(FinalAnswer),
}

/// The flow of one request.
pub(crate) struct RequestFlow {
    shared: Rc<EntryShared>,
    parts: RequestParts,
    place: Rc<PlaceGuard>,
    live: Vec<LiveAttempt>,
    tried: Vec<UpstreamKey>,
    /// Some attempt may have been executed.
    maybe_run: bool,
    last_refusal: Option<NotRunAnswer>,
    answer: Option<(AttemptKey, AnswerParts)>,
    credit: Option<Rc<BodyCredit>>,
    sender: UnboundedSender<(AttemptKey, AttemptEvent)>,
    events: Option<UnboundedReceiver<(AttemptKey, AttemptEvent)>>,
    hedge_at: Option<TimePoint>,
}

impl Drop for RequestFlow {
    fn drop(&mut self) {
        if let Some(credit) = &self.credit
            && self.answer.is_none()
        {
            credit.end();
        }
    }
}

impl RequestFlow {
    pub(crate) fn new(shared: Rc<EntryShared>, parts: RequestParts, place: PlaceGuard) -> Self {
        let (sender, events) = unbounded();
        Self {
            shared,
            parts,
            place: Rc::new(place),
            live: Vec::new(),
            tried: Vec::new(),
            maybe_run: false,
            last_refusal: None,
            answer: None,
            credit: None,
            sender,
            events: Some(events),
            hedge_at: None,
        }
    }

    /// Runs to the final answer.
    pub(crate) async fn run(mut self) -> FinalAnswer {
        if self.shared.clock.now() >= self.parts.deadline {
            return self.give_up();
        }
        if let Some(answer) = self.send_attempt() {
            return answer;
        }
        loop {
            let now = self.shared.clock.now();
            if now >= self.parts.deadline {
                return self.give_up();
            }
            let wake = self.hedge_at.unwrap_or(self.parts.deadline);
            let wait = wake.min(self.parts.deadline).since(now);
            let next = match self.events.as_mut() {
                Some(events) => timeout(wait, events.next()).await,
                None => return self.give_up(),
            };
            match next {
                Err(_) => self.hedge(),
                Ok(None) => return self.give_up(),
                Ok(Some((key, event))) => match self.take_event(key, event) {
                    FlowStep::Wait => {}
                    FlowStep::Done(answer) => return answer,
                },
            }
        }
    }

    /// Sends one more attempt; gives the final answer where that cannot be done.
    fn send_attempt(&mut self) -> Option<FinalAnswer> {
        let now = self.shared.clock.now();
        let choice = self.shared.routes.borrow_mut().choose(
            now,
            &self.parts.service,
            self.parts.deadline,
            &self.tried,
            self.shared.policy,
            &mut self.shared.rng.borrow_mut(),
        );
        match choice {
            RouteChoice::Send(upstream) => {
                self.send_to(now, upstream);
                None
            }
            RouteChoice::Late(after) => {
                let kind = ErrorKind::Overload(after.max(RETRY_FLOOR));
                Some(self.refuse(kind, "every upstream is busy past the deadline"))
            }
            RouteChoice::NoUpstream => {
                let kind = ErrorKind::Unavailable(Duration::from_secs(1));
                Some(self.refuse(kind, "no upstream of the service takes work"))
            }
        }
    }

    fn send_to(&mut self, now: TimePoint, upstream: UpstreamKey) {
        let key = self.shared.attempts.open(upstream, self.sender.clone());
        let head = RequestHead {
            attempt: Some(key.into()),
            method: self.parts.method.clone(),
            path: self.parts.path.clone(),
            headers: self.attempt_headers(),
            deadline_ms: self.parts.deadline.since(now).as_millis() as u32,
            body: self.parts.first.clone(),
            body_complete: self.parts.body_complete,
            team: self.parts.fields.team.to_string(),
        };
        self.shared.routes.borrow_mut().begin_attempt(now, upstream);
        self.tried.push(upstream);
        self.live.push(LiveAttempt {
            shared: self.shared.clone(),
            key,
            upstream,
            sent: now,
            ended: false,
            place: Some(self.place.clone()),
        });
        if !self.shared.peers.send(upstream, PeerBody::Request(head)) {
            // It never left this process.
            let event = AttemptEvent::NotRun(NotRunAnswer::default());
            let _ = self.sender.unbounded_send((key, event));
        }
        self.plan_hedge(now, upstream);
    }

    fn attempt_headers(&self) -> Vec<HeaderField> {
        let mut headers = self.parts.headers.clone();
        headers.push(HeaderField {
            name: TraceContext::HEADER.to_owned(),
            value: self.parts.trace.to_string().into(),
        });
        headers
    }

    fn plan_hedge(&mut self, now: TimePoint, upstream: UpstreamKey) {
        let may = self.parts.fields.repeat == RepeatClass::Idempotent
            && self.parts.body_complete
            && self.tried.len() == 1
            && self
                .shared
                .routes
                .borrow()
                .upstream_count(&self.parts.service)
                > 1;
        if may {
            let routes = self.shared.routes.borrow();
            self.hedge_at = routes.hedge_time(now, upstream, self.parts.deadline);
        }
    }

    fn hedge(&mut self) {
        if self.hedge_at.take().is_none() || self.answer.is_some() {
            return;
        }
        if !self.shared.teams.borrow_mut().spend_hedge(self.place.team) {
            return;
        }
        count(Counter::EntryHedges);
        // Where nobody else takes it, the first attempt goes on alone.
        let _ = self.send_attempt();
    }

    fn take_event(&mut self, key: AttemptKey, event: AttemptEvent) -> FlowStep {
        if !self.live.iter().any(|attempt| attempt.key == key) {
            return FlowStep::Wait;
        }
        match event {
            AttemptEvent::Response(head) => self.take_head(key, head),
            AttemptEvent::Chunk(chunk) => self.take_chunk(key, &chunk),
            AttemptEvent::Credit(bytes) => self.take_credit(key, bytes),
            AttemptEvent::NotRun(answer) => self.take_refusal(key, answer),
            AttemptEvent::Lost(detail) => self.take_loss(key, &detail),
            AttemptEvent::LinkGone => self.take_loss(key, "the connection to the sidecar broke"),
        }
    }

    /// The first attempt that answers wins; the others are cancelled.
    fn take_head(&mut self, key: AttemptKey, head: wax_wire::ResponseHead) -> FlowStep {
        if self.answer.is_none() {
            self.live.retain(|attempt| attempt.key == key);
            self.hedge_at = None;
            self.answer = Some((key, AnswerParts::new(head)));
            self.maybe_run = true;
        }
        FlowStep::Wait
    }

    fn take_chunk(&mut self, key: AttemptKey, chunk: &wax_wire::BodyChunk) -> FlowStep {
        let Some((winner, parts)) = &mut self.answer else {
            return FlowStep::Wait;
        };
        if *winner != key {
            return FlowStep::Wait;
        }
        match parts.add(chunk) {
            CollectStep::More => FlowStep::Wait,
            CollectStep::Broken => self.take_loss(key, "the answer's parts do not add up"),
            CollectStep::Whole => {
                count(Counter::EntryAnswered);
                if let Some(attempt) = self.live.pop() {
                    attempt.finish();
                }
                self.answered(AnswerParts::into_reply)
            }
            CollectStep::Long => {
                let (Some(attempt), Some(events)) = (self.live.pop(), self.events.take()) else {
                    return FlowStep::Wait;
                };
                let shared = self.shared.clone();
                self.answered(|parts| parts.into_stream(shared, attempt, events))
            }
        }
    }

    fn answered(&mut self, build: impl FnOnce(AnswerParts) -> HttpReply) -> FlowStep {
        match self.answer.take() {
            Some((_, parts)) => FlowStep::Done(FinalAnswer {
                reply: build(parts),
                outcome: RunOutcome::Ran,
            }),
            None => FlowStep::Wait,
        }
    }

    fn take_credit(&mut self, key: AttemptKey, bytes: u32) -> FlowStep {
        if let Some((carry, body)) = self.parts.rest.take() {
            let credit = Rc::new(BodyCredit::default());
            let upstream = self.live.iter().find(|attempt| attempt.key == key);
            if let Some(attempt) = upstream {
                let pump = BodyPump {
                    shared: self.shared.clone(),
                    upstream: attempt.upstream,
                    key,
                    credit: credit.clone(),
                    sent: self.parts.first.len() as u64,
                    limit: self.parts.body_limit,
                };
                compio::runtime::spawn(pump.run(carry, body)).detach();
            }
            self.credit = Some(credit);
        }
        if let Some(credit) = &self.credit {
            credit.grant(bytes);
        }
        FlowStep::Wait
    }

    fn take_refusal(&mut self, key: AttemptKey, answer: NotRunAnswer) -> FlowStep {
        let failed = answer.reason() == NotRunReason::UpstreamUnreachable;
        self.drop_attempt(
            key,
            if failed {
                AttemptEnd::Failed
            } else {
                AttemptEnd::Refused
            },
        );
        self.last_refusal = Some(answer);
        self.after_failure(
            answer.reason() != NotRunReason::Malformed,
            "the upstream did not run it",
        )
    }

    fn take_loss(&mut self, key: AttemptKey, detail: &str) -> FlowStep {
        self.drop_attempt(key, AttemptEnd::Failed);
        self.answer = None;
        self.maybe_run = true;
        self.after_failure(self.parts.fields.repeat == RepeatClass::Idempotent, detail)
    }

    fn drop_attempt(&mut self, key: AttemptKey, end: AttemptEnd) {
        if let Some(position) = self.live.iter().position(|attempt| attempt.key == key) {
            let mut attempt = self.live.swap_remove(position);
            attempt.end(end);
        }
    }

    /// Retries where that is allowed; otherwise the request ends now.
    fn after_failure(&mut self, may_retry: bool, detail: &str) -> FlowStep {
        if !self.live.is_empty() {
            return FlowStep::Wait;
        }
        let body_left = self.parts.body_complete || self.parts.rest.is_some();
        let others = self
            .shared
            .routes
            .borrow()
            .upstream_count(&self.parts.service)
            > self.tried.len();
        let may_retry = may_retry && body_left && (others || self.maybe_run);
        if may_retry && self.shared.teams.borrow_mut().spend_retry(self.place.team) {
            count(Counter::EntryRetries);
            return match self.send_attempt() {
                None => FlowStep::Wait,
                Some(answer) => FlowStep::Done(answer),
            };
        }
        let after = self.refusal_time();
        if self.maybe_run {
            return FlowStep::Done(self.refuse(ErrorKind::Ambiguous, detail));
        }
        let text = self.refusal_text(detail);
        FlowStep::Done(self.refuse(ErrorKind::Overload(after), &text))
    }

    fn refusal_time(&self) -> Duration {
        let millis = self.last_refusal.map_or(0, |answer| answer.retry_after_ms);
        Duration::from_millis(millis.into()).max(RETRY_FLOOR)
    }

    fn refusal_text(&self, detail: &str) -> String {
        match self.last_refusal.map(|answer| answer.reason()) {
            Some(NotRunReason::Leaving) => "the upstream is leaving".into(),
            Some(NotRunReason::QueueFull) => "the upstream's queue is full".into(),
            Some(NotRunReason::CannotMeetDeadline) => "the deadline cannot be met".into(),
            Some(NotRunReason::UpstreamUnreachable) => "the upstream cannot be reached".into(),
            Some(NotRunReason::Malformed) => "the upstream cannot take this request".into(),
            _ => detail.into(),
        }
    }

    /// The deadline has passed.
    fn give_up(&mut self) -> FinalAnswer {
        count(Counter::EntryTimeouts);
        if !self.live.is_empty() {
            self.maybe_run = true;
        }
        for attempt in &mut self.live {
            attempt.cancel();
            attempt.end(AttemptEnd::Failed);
        }
        self.live.clear();
        self.refuse(ErrorKind::Timeout, "the deadline passed")
    }

    /// The final answer without an answer of an upstream.
    fn refuse(&self, kind: ErrorKind, text: &str) -> FinalAnswer {
        let outcome = if self.maybe_run {
            RunOutcome::Unknown
        } else {
            RunOutcome::NotRun
        };
        let error = WaxError::new(kind, Step::RouteRequest, &*self.parts.service, text);
        let after = self.refusal_time();
        FinalAnswer {
            reply: refusal(&error, outcome, Some(error.retry_after().unwrap_or(after))),
            outcome,
        }
    }
}
