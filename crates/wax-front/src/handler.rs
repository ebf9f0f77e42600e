//! Handles callers' requests: submit, show and cancel jobs, and show queues.

use crate::accept::{AcceptOutcome, accept_job};
use crate::cancel::{CancelOutcome, cancel_job};
use crate::show::{read_job_state, read_queue_pending};
use crate::state::FrontState;
use http::{HeaderMap, Method, StatusCode, header};
use platform::{WAIT_HEADER, decode_job, pending_body, state_body};
use std::rc::Rc;
use std::time::Duration;
use wax_batch::{JobName, QueueRules, VersionedRules, objective_ms};
use wax_http::{
    HttpHandler, HttpReply, HttpRequest, collect_body, empty_reply, error_reply, json_reply,
};
use wax_trace::{Counter, Latency, count, record_latency};
use wax_types::{ErrorKind, Step, TimePoint, WaxError};

/// Wait of callers that do not state one.
const DEFAULT_WAIT: Duration = Duration::from_millis(3_000);
/// How long before the end of the caller's wait an answer is sent.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);
/// Upper bound for the wait that a caller states.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Retry delay that callers get while there is no config, or while it may be outdated.
const CONFIG_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Handles the requests of callers.
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

fn parse_wait(headers: &HeaderMap) -> Duration {
    let millis = headers
        .get(WAIT_HEADER)
        .and_then(|value| value.to_str().ok()?.trim().parse().ok());
    millis
        .map_or(DEFAULT_WAIT, Duration::from_millis)
        .min(MAX_WAIT)
}

fn invalid(text: impl std::fmt::Display, help: &str) -> WaxError {
    WaxError::new(ErrorKind::Invalid, Step::ParseRequest, "caller", text).with_help(help)
}

impl CallerHandler {
    async fn answer(&self, request: HttpRequest) -> Result<HttpReply, WaxError> {
        let shared = &self.state.shared;
        let deadline = shared.now() + parse_wait(request.headers()).saturating_sub(ANSWER_MARGIN);
        let (rules, max_body_bytes) = self.route(&request)?;
        let queue = &rules.rules;
        let job_part = request.uri().path()[queue.prefix.len()..].to_owned();
        if job_part.is_empty() {
            return self.show_queue(request.method(), queue).await;
        }
        let job = job_part.parse::<JobName>().map_err(|error| {
            invalid(error, "end the path with 16 lower-case hexadecimal digits")
        })?;
        match *request.method() {
            Method::POST => {
                self.submit(request, &rules, job, max_body_bytes, deadline)
                    .await
            }
            Method::GET => self.show_job(job, deadline).await,
            Method::DELETE => self.cancel(queue, job, deadline).await,
            _ => Ok(empty_reply(StatusCode::METHOD_NOT_ALLOWED)),
        }
    }

    fn route(&self, request: &HttpRequest) -> Result<(VersionedRules, usize), WaxError> {
        let config = self.state.shared.config.borrow();
        let Some(version) = config.config() else {
            let kind = ErrorKind::Unavailable(CONFIG_RETRY_AFTER);
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
            Some(queue) => {
                let rules = VersionedRules {
                    version: version.version,
                    rules: queue.clone(),
                };
                Ok((rules, version.max_body_bytes))
            }
            None => Err(self.no_queue_error(host, path, version.version)),
        }
    }

    /// Returns the error for a path without a queue. A caller takes a 404 as final, so it is sent
    /// only if the config is known to be in force; otherwise the caller is asked to retry.
    fn no_queue_error(&self, host: Option<&str>, path: &str, config: u64) -> WaxError {
        let shared = &self.state.shared;
        let age_ms = shared.config_age().map(|age| age.as_millis() as u64);
        let is_stale = shared.may_config_be_stale();
        tracing::info!(
            host,
            path,
            config,
            age_ms,
            unsure = is_stale,
            "no such queue"
        );
        if !is_stale {
            let text = "no such queue";
            return WaxError::new(ErrorKind::NotFound, Step::RouteRequest, "config", text);
        }
        count(Counter::RoutesIndeterminate);
        let kind = ErrorKind::Unavailable(CONFIG_RETRY_AFTER);
        let text = "no such queue in the config of a while ago; there may be a newer one";
        WaxError::new(kind, Step::RouteRequest, "config", text)
            .with_help("ask again after the given time, or at another front")
    }

    async fn show_queue(&self, method: &Method, queue: &QueueRules) -> Result<HttpReply, WaxError> {
        if *method != Method::GET {
            return Ok(empty_reply(StatusCode::METHOD_NOT_ALLOWED));
        }
        let pending = read_queue_pending(&self.state, &queue.name).await?;
        Ok(json_reply(StatusCode::OK, &pending_body(pending)))
    }

    async fn submit(
        &self,
        request: HttpRequest,
        rules: &VersionedRules,
        job: JobName,
        max_body_bytes: usize,
        deadline: TimePoint,
    ) -> Result<HttpReply, WaxError> {
        let queue = &rules.rules;
        let started_at = self.state.shared.now();
        let body = collect_body(request, max_body_bytes).await?;
        let spec = decode_job(&body)
            .map_err(|text| invalid(text, "correct the job and submit it again"))?;
        // Held until the job is stored.
        let _reservation = body.into_reservation();
        let outcome = accept_job(&self.state, rules, job, &spec, deadline).await;
        let took_ms = self.state.shared.now().since(started_at).as_millis() as u64;
        record_latency(Latency::AcceptJob, Duration::from_millis(took_ms));
        count(match &outcome {
            Ok(AcceptOutcome::Stored) => Counter::JobsAccepted,
            Ok(AcceptOutcome::AlreadyStored) => Counter::JobsRepeated,
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
            Ok(AcceptOutcome::AlreadyStored) => {
                tracing::info!(%job, queue = %queue.name, took_ms, "job already stored")
            }
            Err(error) => {
                tracing::warn!(%job, queue = %queue.name, took_ms, %error, "job not accepted")
            }
        }
        outcome.map(|_| empty_reply(StatusCode::OK))
    }

    async fn show_job(&self, job: JobName, deadline: TimePoint) -> Result<HttpReply, WaxError> {
        Ok(match read_job_state(&self.state, job, deadline).await? {
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
