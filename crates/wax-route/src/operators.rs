//! HTTP interface for operators: status, settings, usage, drains, jobs and explanations.

use crate::process::EntryShared;
use crate::settings_api;
use crate::status::entry_status;
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use std::rc::Rc;
use wax_http::{HttpHandler, HttpReply, HttpRequest, empty_reply, error_reply, json_reply};
use wax_ledger::{UsageRow, UsageSum, day_number, read_days};
use wax_tasks::DrainTarget;
use wax_types::{ErrorKind, Step, WaxError, wall_clock_ms};

/// Maximum difference between the first and the last day of a query for usage.
const MAX_DAYS: u64 = 400;

/// Prefix of the paths that concern a failure domain.
const DOMAINS_PATH: &str = "/v1/domains/";
/// Prefix of the paths that concern a worker.
const WORKERS_PATH: &str = "/v1/workers/";

/// Handles the requests of operators.
pub(crate) struct OperatorHandler {
    shared: Rc<EntryShared>,
}

/// Reply to `GET /v1/usage`.
#[derive(Debug, Serialize, Deserialize)]
struct UsageReply {
    /// First day, in days since the Unix epoch.
    from_day: u64,
    /// Last day, included.
    to_day: u64,
    rows: Vec<UsageRow>,
}

/// Reply to a change of the drain of a failure domain.
#[derive(Debug, Serialize, Deserialize)]
struct DomainReply {
    domain: Box<str>,
    drained: bool,
}

/// Reply to a change of the drain of a worker.
#[derive(Debug, Serialize, Deserialize)]
struct WorkerReply {
    worker: Box<str>,
    drained: bool,
    /// Whether the platform lists a worker of this name; `None` if it did not answer.
    listed: Option<bool>,
}

impl OperatorHandler {
    pub(crate) fn new(shared: Rc<EntryShared>) -> Self {
        Self { shared }
    }

    async fn usage(&self, request: &HttpRequest) -> Result<HttpReply, WaxError> {
        let today = day_number(wall_clock_ms());
        let from = query_number(request, "from_day")?.unwrap_or(today);
        let to = query_number(request, "to_day")?.unwrap_or(today);
        if to < from || to - from > MAX_DAYS {
            let text = format!("expected a span of at most {MAX_DAYS} days, first day first");
            let kind = ErrorKind::Invalid;
            return Err(WaxError::new(
                kind,
                Step::ReadUsage,
                "from_day, to_day",
                text,
            ));
        }
        let mut sum = UsageSum::default();
        for entry in read_days(&self.shared.objects, from, to).await? {
            sum.add(&entry);
        }
        let team = query_value(request, "team");
        let rows = sum
            .rows()
            .into_iter()
            .filter(|row| team.is_none_or(|team| *row.team == *team))
            .collect();
        let reply = UsageReply {
            from_day: from,
            to_day: to,
            rows,
        };
        Ok(json_reply(StatusCode::OK, &reply))
    }

    /// Explains the current state of the tasks of a job, for the shards that this process owns.
    fn explain(&self, request: &HttpRequest) -> Result<HttpReply, WaxError> {
        let text = query_value(request, "job").unwrap_or_default();
        let job = text
            .parse()
            .map_err(|error| WaxError::new(ErrorKind::Invalid, Step::ReadJob, text, error))?;
        let now = self.shared.clock.now();
        let explanations = self.shared.coordinator.explain(now, job);
        Ok(json_reply(StatusCode::OK, &explanations))
    }

    /// Drains a failure domain (`POST /v1/domains/NAME/drain`) or ends its drain (`DELETE`).
    async fn change_domain(&self, method: &Method, path: &str) -> Result<HttpReply, WaxError> {
        let (name, drained) = parse_drain(method, path, DOMAINS_PATH)?;
        let drains = &self.shared.drains;
        drains
            .set_drained(DrainTarget::Domain, name, drained)
            .await?;
        let reply = DomainReply {
            domain: name.into(),
            drained,
        };
        Ok(json_reply(StatusCode::OK, &reply))
    }

    /// Drains a worker (`POST /v1/workers/NAME/drain`) or ends its drain (`DELETE`). A worker that
    /// the platform does not list may join later, so its name is accepted.
    async fn change_worker(&self, method: &Method, path: &str) -> Result<HttpReply, WaxError> {
        let (name, drained) = parse_drain(method, path, WORKERS_PATH)?;
        let drains = &self.shared.drains;
        drains
            .set_drained(DrainTarget::Worker, name, drained)
            .await?;
        let listed = match drains.is_listed_worker(name).await {
            Ok(listed) => Some(listed),
            Err(error) => {
                tracing::warn!(%error, worker = name, "could not check whether the worker exists");
                None
            }
        };
        let reply = WorkerReply {
            worker: name.into(),
            drained,
            listed,
        };
        Ok(json_reply(StatusCode::OK, &reply))
    }

    async fn route(&self, request: HttpRequest) -> Result<HttpReply, WaxError> {
        let shared = &self.shared;
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/v1/status") => Ok(json_reply(StatusCode::OK, &entry_status(shared))),
            (&Method::GET, "/v1/settings") => settings_api::get(shared).await,
            (&Method::POST, "/v1/settings") => settings_api::change(shared, request).await,
            (&Method::GET, "/v1/settings/log") => settings_api::log(shared).await,
            (&Method::GET, "/v1/settings/explain") => {
                let node = query_value(&request, "path").unwrap_or("/").to_owned();
                settings_api::explain(shared, &node).await
            }
            (&Method::GET, "/v1/explain") => self.explain(&request),
            (&Method::GET, "/v1/usage") => self.usage(&request).await,
            (&Method::GET, "/readyz") if shared.leaving.get() => {
                Ok(empty_reply(StatusCode::SERVICE_UNAVAILABLE))
            }
            (&Method::GET, "/healthz" | "/readyz") => Ok(empty_reply(StatusCode::OK)),
            (method, path) if path.starts_with(DOMAINS_PATH) => {
                self.change_domain(method, path).await
            }
            (method, path) if path.starts_with(WORKERS_PATH) => {
                self.change_worker(method, path).await
            }
            (_, path) if path.starts_with("/v1/jobs") => {
                let rest: Vec<String> = path
                    .split('/')
                    .skip(3)
                    .filter(|part| !part.is_empty())
                    .map(str::to_owned)
                    .collect();
                Ok(crate::job_api::handle(shared, request, &rest).await)
            }
            (_, path) => {
                let kind = ErrorKind::NotFound;
                Err(WaxError::new(
                    kind,
                    Step::ParseRequest,
                    path,
                    "no such path",
                ))
            }
        }
    }
}

/// Parses a request to change a drain: the name in the path, and whether it is to be drained.
///
/// # Errors
///
/// Returns an error if the method or the path is another one.
fn parse_drain<'a>(
    method: &Method,
    path: &'a str,
    prefix: &str,
) -> Result<(&'a str, bool), WaxError> {
    let name = path
        .strip_prefix(prefix)
        .and_then(|rest| rest.strip_suffix("/drain"));
    let drained = match *method {
        Method::POST => Some(true),
        Method::DELETE => Some(false),
        _ => None,
    };
    name.zip(drained).ok_or_else(|| {
        let text = format!("expected POST or DELETE of {prefix}NAME/drain");
        WaxError::new(ErrorKind::NotFound, Step::ParseRequest, path, text)
    })
}

fn query_value<'a>(request: &'a HttpRequest, name: &str) -> Option<&'a str> {
    request
        .uri()
        .query()?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

fn query_number(request: &HttpRequest, name: &str) -> Result<Option<u64>, WaxError> {
    match query_value(request, name) {
        None => Ok(None),
        Some(text) => text
            .parse()
            .map(Some)
            .map_err(|error| WaxError::new(ErrorKind::Invalid, Step::ReadUsage, name, error)),
    }
}

impl HttpHandler for OperatorHandler {
    async fn handle(&self, request: HttpRequest) -> HttpReply {
        match self.route(request).await {
            Ok(reply) => reply,
            Err(error) => error_reply(&error),
        }
    }
}
