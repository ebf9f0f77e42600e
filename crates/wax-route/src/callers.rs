//! HTTP interface for callers: quick requests, alerts of watches, and jobs.

use crate::headers::{
    CallerHeaders, IDEMPOTENCY_KEY, RetrySafety, forwarded_headers, invalid_field,
};
use crate::idempotency::{IdempotencyState, ReserveResult, reserve_key};
use crate::process::EntryShared;
use crate::request::{AdmissionGuard, FinalResponse, RequestFlow, UpstreamRequest};
use crate::response::error_reply_with_outcome;
use bytes::{Bytes, BytesMut};
use compio::time::timeout;
use http::{Method, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Body;
use std::rc::Rc;
use std::time::Duration;
use tracing::Instrument;
use wax_http::{HttpHandler, HttpReply, HttpRequest, RequestBody, empty_reply};
use wax_policy::{AdmitChoice, TeamLimits};
use wax_settings::{EffectiveSettings, NodePath};
use wax_trace::{Counter, TraceContext, count};
use wax_types::{ErrorKind, RunOutcome, Step, TimePoint, WaxError};

/// Longest body that is kept for retries. The part of a longer body beyond it is sent only once.
const MAX_RESENDABLE_BODY_BYTES: usize = 16 << 10;

/// Handles the requests of callers.
pub(crate) struct CallerHandler {
    shared: Rc<EntryShared>,
}

/// Service that a quick request is for, and the path at that service.
struct CallTarget {
    service: Box<str>,
    path: String,
    /// Whether the request is the alert of a watch. Alerts are never idempotent.
    is_alert: bool,
}

/// Body of which the start was read.
struct PartialBody {
    start: Bytes,
    /// First data beyond `start`, and the stream of what follows; `None` if `start` is the whole
    /// body.
    rest: Option<(Bytes, RequestBody)>,
}

impl CallerHandler {
    pub(crate) fn new(shared: Rc<EntryShared>) -> Self {
        Self { shared }
    }

    async fn handle_call(&self, request: HttpRequest, target: CallTarget) -> HttpReply {
        count(Counter::EntryRequests);
        match self.prepare(request, target).await {
            Ok((upstream_request, admission, settings)) => {
                self.execute(upstream_request, admission, &settings).await
            }
            Err(error) => {
                count(Counter::EntryRefused);
                error_reply_with_outcome(&error, RunOutcome::NotRun, None)
            }
        }
    }

    /// Validates and admits a request without sending anything.
    async fn prepare(
        &self,
        mut request: HttpRequest,
        target: CallTarget,
    ) -> Result<(UpstreamRequest, AdmissionGuard, EffectiveSettings), WaxError> {
        let shared = &self.shared;
        let now = shared.clock.now();
        if target.is_alert {
            let value = http::HeaderValue::from_static("true");
            request
                .headers_mut()
                .insert(crate::headers::NON_IDEMPOTENT, value);
        }
        let caller = CallerHeaders::parse(request.method(), request.headers())?;
        let settings = self.resolve_settings(&caller.team, &target.service)?;
        let default_deadline = Duration::from_millis(settings.deadline_ms.into());
        let deadline = now + caller.deadline.unwrap_or(default_deadline);
        let admission = self.admit(&caller.team, &settings, now)?;
        let max_body_bytes = u64::from(settings.body_kib) << 10;
        let trace = caller.trace;
        let method = request.method().to_string();
        let headers = forwarded_headers(request.headers());
        let body =
            read_body_start(request.into_body(), max_body_bytes, deadline.since(now)).await?;
        let context = match trace {
            Some(parent) => parent.child(),
            None => TraceContext::start(shared.trace_one_in),
        };
        let upstream_request = UpstreamRequest {
            caller,
            service: target.service,
            method,
            path: target.path,
            headers,
            body_complete: body.rest.is_none(),
            body_start: body.start,
            body_rest: body.rest,
            max_body_bytes,
            deadline,
            trace: context,
        };
        Ok((upstream_request, admission, settings))
    }

    fn resolve_settings(&self, team: &str, service: &str) -> Result<EffectiveSettings, WaxError> {
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
    ) -> Result<AdmissionGuard, WaxError> {
        let limits = TeamLimits {
            in_flight: settings.requests_in_flight,
            weight: settings.weight,
            retry_percent: settings.retry_percent,
            hedge_percent: settings.hedge_percent,
        };
        let choice = self.shared.teams.borrow_mut().admit(team, limits);
        let (delay, text) = match choice {
            AdmitChoice::Admit(key) => {
                return Ok(AdmissionGuard::new(self.shared.clone(), key, now));
            }
            AdmitChoice::OverQuota(delay) => (delay, "the team's quota of requests is used"),
            AdmitChoice::OverShare(delay) => (delay, "all places are taken"),
        };
        let kind = ErrorKind::Overload(delay);
        Err(WaxError::new(kind, Step::AdmitRequest, team, text))
    }

    async fn execute(
        &self,
        upstream_request: UpstreamRequest,
        admission: AdmissionGuard,
        settings: &EffectiveSettings,
    ) -> HttpReply {
        let span = upstream_request
            .trace
            .hop_span("entry", upstream_request.caller.trace);
        let _ = settings;
        let response = match upstream_request.caller.retry_safety {
            RetrySafety::AtMostOnceByKey => {
                self.execute_once(upstream_request, admission)
                    .instrument(span.clone())
                    .await
            }
            _ => {
                let flow = RequestFlow::new(self.shared.clone(), upstream_request, admission);
                flow.run().instrument(span.clone()).await
            }
        };
        span.record("outcome", response.outcome.as_str());
        response.reply
    }

    /// Reserves the idempotency key, runs the request and records its outcome.
    async fn execute_once(
        &self,
        upstream_request: UpstreamRequest,
        admission: AdmissionGuard,
    ) -> FinalResponse {
        let key = upstream_request
            .caller
            .idempotency_key
            .clone()
            .unwrap_or_default();
        let team = upstream_request.caller.team.clone();
        let service = upstream_request.service.clone();
        let result = reserve_key(
            &self.shared,
            &team,
            &service,
            &key,
            upstream_request.deadline,
        )
        .await;
        match result {
            ReserveResult::Acquired(lock) => {
                let flow = RequestFlow::new(self.shared.clone(), upstream_request, admission);
                let response = flow.run().await;
                lock.record(&self.shared, response.outcome);
                response
            }
            ReserveResult::Repeated(state) => {
                count(Counter::EntryRepeatedKeys);
                repeated_key_response(state)
            }
            ReserveResult::Unavailable(error) => FinalResponse {
                reply: error_reply_with_outcome(&error, RunOutcome::NotRun, None),
                outcome: RunOutcome::NotRun,
            },
        }
    }
}

/// Builds the response to a request whose idempotency key was used before. Such a request is not
/// run again.
fn repeated_key_response(state: IdempotencyState) -> FinalResponse {
    let (text, outcome) = match state {
        IdempotencyState::Ran => ("a request with this key ran before", RunOutcome::Ran),
        _ => ("a request with this key may have run", RunOutcome::Unknown),
    };
    let error = WaxError::new(ErrorKind::Conflict, Step::ReserveKey, IDEMPOTENCY_KEY, text);
    FinalResponse {
        reply: error_reply_with_outcome(&error, outcome, None),
        outcome,
    }
}

/// Reads a body to its end, or until it exceeds [`MAX_RESENDABLE_BODY_BYTES`].
///
/// # Errors
///
/// The body is longer than `max_bytes`, cannot be read, or does not arrive within `time_left`.
async fn read_body_start(
    mut body: RequestBody,
    max_bytes: u64,
    time_left: Duration,
) -> Result<PartialBody, WaxError> {
    let too_long = || {
        let text = format!("the body is longer than {max_bytes} bytes");
        invalid_field("content-length", &text)
            .with_help("send less, or raise body_kib in the settings")
    };
    if body.size_hint().lower() > max_bytes {
        return Err(too_long());
    }
    let read = async {
        let mut start = BytesMut::new();
        loop {
            let data = match body.frame().await {
                None => break,
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                Some(Err(error)) => {
                    let kind = ErrorKind::Protocol;
                    return Err(WaxError::new(kind, Step::ParseRequest, "caller", error));
                }
            };
            if (start.len() + data.len()) as u64 > max_bytes {
                return Err(too_long());
            }
            if start.len() + data.len() > MAX_RESENDABLE_BODY_BYTES {
                return Ok((start.freeze(), Some(data)));
            }
            start.extend_from_slice(&data);
        }
        Ok((start.freeze(), None))
    };
    match timeout(time_left, read).await {
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
        Ok(Ok((start, excess))) => Ok(PartialBody {
            start,
            rest: excess.map(|excess| (excess, body)),
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
        let segments: Vec<&str> = path.split('/').skip(1).collect();
        match (request.method(), segments.as_slice()) {
            (_, ["v1", "call", service, rest @ ..]) => {
                let target = CallTarget {
                    service: (*service).into(),
                    path: format!("/{}{query}", rest.join("/")),
                    is_alert: false,
                };
                self.handle_call(request, target).await
            }
            (&Method::POST, ["v1", "watches", service, watch, "alerts"]) => {
                let target = CallTarget {
                    service: (*service).into(),
                    path: format!("/watches/{watch}/alerts"),
                    is_alert: true,
                };
                self.handle_call(request, target).await
            }
            (_, ["v1", "jobs", rest @ ..]) => {
                let rest: Vec<String> = rest.iter().map(|segment| (*segment).to_owned()).collect();
                crate::job_api::handle(&self.shared, request, &rest).await
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
                error_reply_with_outcome(&error, RunOutcome::NotRun, None)
            }
        }
    }
}
