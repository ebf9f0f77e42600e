//! Requests of callers: submit, ask for and cancel jobs, ask for queues.

use crate::accept::{AcceptOutcome, accept_job};
use crate::cancel::{CancelOutcome, cancel_job};
use crate::show::{job_state, queue_pending};
use crate::state::FrontState;
use http::{HeaderMap, Method, StatusCode, header};
use platform::{WAIT_HEADER, decode_job, pending_body, state_body};
use std::rc::Rc;
use std::time::Duration;
use wax_batch::{JobName, QueueRules, objective_ms};
use wax_http::{
    HttpHandler, HttpReply, HttpRequest, collect_body, empty_reply, error_reply, json_reply,
};
use wax_trace::{Counter, Latency, count, record_latency};
use wax_types::{ErrorKind, Step, TimePoint, WaxError};

/// Callers that do not say how long they wait are taken to wait this long.
const DEFAULT_WAIT: Duration = Duration::from_millis(3_000);
/// An answer leaves this long before its caller gives up.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);
/// Longest wait that is believed.
const MOST_WAIT: Duration = Duration::from_secs(60);
/// Without a config, or by one that may be old, callers are told to come back after this.
const CONFIG_RETRY: Duration = Duration::from_millis(500);

/// Answers callers.
pub(crate) struct CallerHandler {
    pub(crate) state: Rc<FrontState>,
}

impl HttpHandler for CallerHandler {
    async fn handle(&self, request: HttpRequest) -> HttpReply {
        match self.answer(request).await {
            Ok(reply) => reply,
            Err(error) => error_reply(&error),
        }
    }
}

fn wait_of(headers: &HeaderMap) -> Duration {
    let millis = headers
        .get(WAIT_HEADER)
        .and_then(|value| value.to_str().ok()?.trim().parse().ok());
    millis
        .map_or(DEFAULT_WAIT, Duration::from_millis)
        .min(MOST_WAIT)
}

fn invalid(text: impl std::fmt::Display, help: &str) -> WaxError {
    WaxError::new(ErrorKind::Invalid, Step::ParseRequest, "caller", text).with_help(help)
}

impl CallerHandler {
    async fn answer(&self, request: HttpRequest) -> Result<HttpReply, WaxError> {
        let shared = &self.state.shared;
        let deadline = shared.now() + wait_of(request.headers()).saturating_sub(ANSWER_MARGIN);
        let (queue, body_bytes) = self.route(&request)?;
        let rest = request.uri().path()[queue.prefix.len()..].to_owned();
        if rest.is_empty() {
            return self.show_queue(request.method(), &queue).await;
        }
        let job = rest.parse::<JobName>().map_err(|error| {
            invalid(error, "end the path with 16 lower-case hexadecimal digits")
        })?;
        match *request.method() {
            Method::POST => {
                self.submit(request, &queue, job, body_bytes, deadline)
                    .await
            }
            Method::GET => self.show_job(job, deadline).await,
            Method::DELETE => self.cancel(&queue, job, deadline).await,
            _ => Ok(empty_reply(StatusCode::METHOD_NOT_ALLOWED)),
        }
    }

    fn route(&self, request: &HttpRequest) -> Result<(Rc<QueueRules>, usize), WaxError> {
        let config = self.state.shared.config.borrow();
        let Some(version) = config.config() else {
            let kind = ErrorKind::Unavailable(CONFIG_RETRY);
            return Err(WaxError::new(
                kind,
                Step::RouteRequest,
                "config",
                "there is no config yet",
            ));
        };
        let host = request
            .headers()
            .get(header::HOST)
            .and_then(|host| host.to_str().ok());
        let path = request.uri().path();
        match config.route(host.unwrap_or_default(), path) {
            Some(queue) => Ok((queue.clone(), version.max_body_bytes)),
            None => Err(self.no_queue(host, path, version.version)),
        }
    }

    /// A 404 is final for a caller, so that it is given only by a config that is surely in force.
    fn no_queue(&self, host: Option<&str>, path: &str, config: u64) -> WaxError {
        let shared = &self.state.shared;
        let age_ms = shared.config_age().map(|age| age.as_millis() as u64);
        let unsure = shared.may_config_be_stale();
        tracing::info!(host, path, config, age_ms, unsure, "no such queue");
        if !unsure {
            let text = "no such queue";
            return WaxError::new(ErrorKind::NotFound, Step::RouteRequest, "config", text);
        }
        count(Counter::RoutesIndeterminate);
        let kind = ErrorKind::Unavailable(CONFIG_RETRY);
        let text = "no such queue in the config of a while ago; there may be a newer one";
        WaxError::new(kind, Step::RouteRequest, "config", text)
            .with_help("ask again after the given time, or at another front")
    }

    async fn show_queue(&self, method: &Method, queue: &QueueRules) -> Result<HttpReply, WaxError> {
        if *method != Method::GET {
            return Ok(empty_reply(StatusCode::METHOD_NOT_ALLOWED));
        }
        let pending = queue_pending(&self.state, &queue.name).await?;
        Ok(json_reply(StatusCode::OK, &pending_body(pending)))
    }

    async fn submit(
        &self,
        request: HttpRequest,
        queue: &QueueRules,
        job: JobName,
        body_bytes: usize,
        deadline: TimePoint,
    ) -> Result<HttpReply, WaxError> {
        let began = self.state.shared.now();
        let body = collect_body(request, body_bytes).await?;
        let spec = decode_job(&body)
            .map_err(|text| invalid(text, "correct the job and submit it again"))?;
        let outcome = accept_job(&self.state, queue, job, &spec, deadline).await;
        let took_ms = self.state.shared.now().since(began).as_millis() as u64;
        record_latency(Latency::AcceptJob, Duration::from_millis(took_ms));
        count(match &outcome {
            Ok(AcceptOutcome::Stored) => Counter::JobsAccepted,
            Ok(AcceptOutcome::Known) => Counter::JobsRepeated,
            Err(_) => Counter::JobsNotAccepted,
        });
        match &outcome {
            Ok(AcceptOutcome::Stored) => {
                tracing::info!(
                    %job,
                    queue = %queue.name,
                    took_ms,
                    steps = spec.steps.len(),
                    tasks = spec.task_count(),
                    work_ms = spec.work_ms(),
                    objective_ms = objective_ms(&spec, queue),
                    priority = queue.priority,
                    lasts = spec.steps.iter().any(|step| step.long_running),
                    fills = spec.steps.iter().any(|step| step.best_effort),
                    "job accepted"
                )
            }
            Ok(AcceptOutcome::Known) => {
                tracing::info!(%job, queue = %queue.name, took_ms, "job known")
            }
            Err(error) => {
                tracing::warn!(%job, queue = %queue.name, took_ms, %error, "job not accepted")
            }
        }
        outcome.map(|_| empty_reply(StatusCode::OK))
    }

    async fn show_job(&self, job: JobName, deadline: TimePoint) -> Result<HttpReply, WaxError> {
        Ok(match job_state(&self.state, job, deadline).await? {
            Some(state) => json_reply(StatusCode::OK, &state_body(state)),
            None => empty_reply(StatusCode::GONE),
        })
    }

    async fn cancel(
        &self,
        queue: &QueueRules,
        job: JobName,
        deadline: TimePoint,
    ) -> Result<HttpReply, WaxError> {
        let outcome = cancel_job(&self.state, job, deadline).await?;
        tracing::info!(%job, queue = %queue.name, ?outcome, "job cancel");
        if outcome == CancelOutcome::Cancelled {
            count(Counter::JobsCancelled);
        }
        Ok(empty_reply(match outcome {
            CancelOutcome::Cancelled => StatusCode::OK,
            CancelOutcome::NoJob => StatusCode::GONE,
        }))
    }
}
