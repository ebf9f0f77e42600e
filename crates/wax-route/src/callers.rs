//! What callers may ask: quick requests, alerts of standing watches, jobs.

use crate::answer::refusal;
use crate::headers::{CallerFields, IDEMPOTENCY_KEY, RepeatClass, forwarded, invalid};
use crate::once::{OnceState, ReserveChoice, reserve};
use crate::process::EntryShared;
use crate::request::{FinalAnswer, PlaceGuard, RequestFlow, RequestParts};
use bytes::{Bytes, BytesMut};
use compio::time::timeout;
use http::{Method, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::rc::Rc;
use std::time::Duration;
use tracing::Instrument;
use wax_http::{HttpHandler, HttpReply, HttpRequest, empty_reply};
use wax_policy::{AdmitChoice, TeamLimits};
use wax_settings::{EffectiveSettings, NodePath};
use wax_trace::{Counter, TraceContext, count};
use wax_types::{ErrorKind, RunOutcome, Step, TimePoint, WaxError};

/// A body up to this size is sent with each attempt and may be retried.
const FIRST_BYTES: usize = 16 << 10;

/// Answers callers.
pub(crate) struct CallerHandler {
    shared: Rc<EntryShared>,
}

/// Where a quick request goes.
struct CallTarget {
    service: Box<str>,
    path: String,
    /// Whether it is an alert, which is never idempotent.
    alert: bool,
}

/// The start of a body, and the rest if there is one.
struct BodyStart {
    first: Bytes,
    rest: Option<(Bytes, Incoming)>,
}

impl CallerHandler {
    pub(crate) fn new(shared: Rc<EntryShared>) -> Self {
        Self { shared }
    }

    async fn call(&self, request: HttpRequest, target: CallTarget) -> HttpReply {
        count(Counter::EntryRequests);
        match self.prepare(request, target).await {
            Ok((parts, place, settings)) => self.serve(parts, place, &settings).await,
            Err(error) => {
                count(Counter::EntryRefused);
                refusal(&error, RunOutcome::NotRun, None)
            }
        }
    }

    /// Checks and admits a request; nothing is sent yet.
    async fn prepare(
        &self,
        mut request: HttpRequest,
        target: CallTarget,
    ) -> Result<(RequestParts, PlaceGuard, EffectiveSettings), WaxError> {
        let shared = &self.shared;
        let now = shared.clock.now();
        if target.alert {
            let marked = http::HeaderValue::from_static("true");
            request
                .headers_mut()
                .insert(crate::headers::NON_IDEMPOTENT, marked);
        }
        let fields = CallerFields::read(request.method(), request.headers())?;
        let settings = self.settings_of(&fields.team, &target.service)?;
        let allowed = Duration::from_millis(settings.deadline_ms.into());
        let deadline = now + fields.deadline.unwrap_or(allowed);
        let place = self.admit(&fields.team, &settings, now)?;
        let body_limit = u64::from(settings.body_kib) << 10;
        let trace = fields.trace;
        let method = request.method().to_string();
        let headers = forwarded(request.headers());
        let body = read_start(request.into_body(), body_limit, deadline.since(now)).await?;
        let context = match trace {
            Some(parent) => parent.child(),
            None => TraceContext::start(shared.trace_one_in),
        };
        let parts = RequestParts {
            fields,
            service: target.service,
            method,
            path: target.path,
            headers,
            body_complete: body.rest.is_none(),
            first: body.first,
            rest: body.rest,
            body_limit,
            deadline,
            trace: context,
        };
        Ok((parts, place, settings))
    }

    fn settings_of(&self, team: &str, service: &str) -> Result<EffectiveSettings, WaxError> {
        let shared = &self.shared;
        if !shared.settings_loaded.get() {
            let kind = ErrorKind::Unavailable(Duration::from_secs(1));
            let text = "no version of the settings has arrived yet";
            return Err(WaxError::new(kind, Step::AdmitRequest, &*shared.name, text));
        }
        let path = NodePath::service(team, service);
        let tree = shared.settings.tree();
        if !tree.contains(&path) {
            let text = "the team or its service is not declared in the settings tree";
            return Err(WaxError::new(
                ErrorKind::NotFound,
                Step::AdmitRequest,
                path.as_str(),
                text,
            )
            .with_help("check the field waxwing-team and the service in the path"));
        }
        Ok(tree.resolve(&path))
    }

    fn admit(
        &self,
        team: &str,
        settings: &EffectiveSettings,
        now: TimePoint,
    ) -> Result<PlaceGuard, WaxError> {
        let limits = TeamLimits {
            in_flight: settings.requests_in_flight,
            weight: settings.weight,
            retry_percent: settings.retry_percent,
            hedge_percent: settings.hedge_percent,
        };
        let choice = self.shared.teams.borrow_mut().admit(team, limits);
        let (after, text) = match choice {
            AdmitChoice::Admit(key) => return Ok(PlaceGuard::new(self.shared.clone(), key, now)),
            AdmitChoice::OverQuota(after) => (after, "the team's quota of requests is used"),
            AdmitChoice::OverShare(after) => (after, "all places are taken"),
        };
        let kind = ErrorKind::Overload(after);
        Err(WaxError::new(kind, Step::AdmitRequest, team, text))
    }

    async fn serve(
        &self,
        parts: RequestParts,
        place: PlaceGuard,
        settings: &EffectiveSettings,
    ) -> HttpReply {
        let span = parts.trace.hop_span("entry", parts.fields.trace);
        let _ = settings;
        let answer = match parts.fields.repeat {
            RepeatClass::OnceByKey => self.serve_once(parts, place).instrument(span.clone()).await,
            _ => {
                let flow = RequestFlow::new(self.shared.clone(), parts, place);
                flow.run().instrument(span.clone()).await
            }
        };
        span.record("outcome", answer.outcome.as_str());
        answer.reply
    }

    /// Reserves the key, runs the request, records its outcome.
    async fn serve_once(&self, parts: RequestParts, place: PlaceGuard) -> FinalAnswer {
        let key = parts.fields.key.clone().unwrap_or_default();
        let team = parts.fields.team.clone();
        let service = parts.service.clone();
        let choice = reserve(&self.shared, &team, &service, &key, parts.deadline).await;
        match choice {
            ReserveChoice::Held(hold) => {
                let flow = RequestFlow::new(self.shared.clone(), parts, place);
                let answer = flow.run().await;
                hold.record(&self.shared, answer.outcome);
                answer
            }
            ReserveChoice::Repeated(state) => {
                count(Counter::EntryRepeatedKeys);
                repeated_answer(state)
            }
            ReserveChoice::Unavailable(error) => FinalAnswer {
                reply: refusal(&error, RunOutcome::NotRun, None),
                outcome: RunOutcome::NotRun,
            },
        }
    }
}

/// The answer to a key that was used before: nothing is run again.
fn repeated_answer(state: OnceState) -> FinalAnswer {
    let (text, outcome) = match state {
        OnceState::Ran => ("a request with this key ran before", RunOutcome::Ran),
        _ => ("a request with this key may have run", RunOutcome::Unknown),
    };
    let error = WaxError::new(ErrorKind::Conflict, Step::ReserveKey, IDEMPOTENCY_KEY, text);
    FinalAnswer {
        reply: refusal(&error, outcome, None),
        outcome,
    }
}

/// Reads a body until it ends or is too long to be kept.
async fn read_start(
    mut body: Incoming,
    limit: u64,
    patience: Duration,
) -> Result<BodyStart, WaxError> {
    let too_long = || {
        let text = format!("the body is longer than {limit} bytes");
        invalid("content-length", &text).with_help("send less, or raise body_kib in the settings")
    };
    if body.size_hint().lower() > limit {
        return Err(too_long());
    }
    let read = async {
        let mut first = BytesMut::new();
        loop {
            let data = match body.frame().await {
                None => break,
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                Some(Err(error)) => {
                    let kind = ErrorKind::Protocol;
                    return Err(WaxError::new(kind, Step::ParseRequest, "caller", error));
                }
            };
            if (first.len() + data.len()) as u64 > limit {
                return Err(too_long());
            }
            if first.len() + data.len() > FIRST_BYTES {
                return Ok((first.freeze(), Some(data)));
            }
            first.extend_from_slice(&data);
        }
        Ok((first.freeze(), None))
    };
    match timeout(patience, read).await {
        Err(_) => {
            let text = "the body did not come before the deadline";
            Err(WaxError::new(
                ErrorKind::Timeout,
                Step::ParseRequest,
                "caller",
                text,
            ))
        }
        Ok(Err(error)) => Err(error),
        Ok(Ok((first, carry))) => Ok(BodyStart {
            first,
            rest: carry.map(|carry| (carry, body)),
        }),
    }
}

impl HttpHandler for CallerHandler {
    async fn handle(&self, request: HttpRequest) -> HttpReply {
        let path = request.uri().path().to_owned();
        let query = request
            .uri()
            .query()
            .map_or_else(String::new, |query| format!("?{query}"));
        let parts: Vec<&str> = path.split('/').skip(1).collect();
        match (request.method(), parts.as_slice()) {
            (_, ["v1", "call", service, rest @ ..]) => {
                let target = CallTarget {
                    service: (*service).into(),
                    path: format!("/{}{query}", rest.join("/")),
                    alert: false,
                };
                self.call(request, target).await
            }
            (&Method::POST, ["v1", "watches", service, watch, "alerts"]) => {
                let target = CallTarget {
                    service: (*service).into(),
                    path: format!("/watches/{watch}/alerts"),
                    alert: true,
                };
                self.call(request, target).await
            }
            (_, ["v1", "jobs", rest @ ..]) => {
                let rest: Vec<String> = rest.iter().map(|part| (*part).to_owned()).collect();
                crate::job_calls::handle(&self.shared, request, &rest).await
            }
            (&Method::GET, ["readyz"]) if self.shared.leaving.get() => {
                empty_reply(StatusCode::SERVICE_UNAVAILABLE)
            }
            (&Method::GET, ["healthz" | "readyz"]) => empty_reply(StatusCode::OK),
            _ => {
                let error = WaxError::new(
                    ErrorKind::NotFound,
                    Step::ParseRequest,
                    path.as_str(),
                    "no such path",
                );
                refusal(&error, RunOutcome::NotRun, None)
            }
        }
    }
}
