//! HTTP interface of jobs: submit, show, cancel, and fetch the result of a task.

use crate::headers::{IDEMPOTENCY_KEY, TEAM, invalid_field, parse_idempotency_key};
use crate::process::EntryShared;
use http::{Method, Response, StatusCode};
use serde::{Deserialize, Serialize};
use std::rc::Rc;
use std::time::Duration;
use wax_http::{HttpReply, HttpRequest, OutgoingBody, error_reply, json_reply, parse_json};
use wax_types::{ErrorKind, JobId, Step, WaxError};

const MAX_BODY_BYTES: usize = 1 << 20;
/// Timeout for the commit of a submission or a cancellation.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(3);

/// Reply to a submission or a cancellation.
#[derive(Debug, Serialize, Deserialize)]
struct SubmitReply {
    job: JobId,
}

pub(crate) async fn handle(
    shared: &Rc<EntryShared>,
    request: HttpRequest,
    path: &[String],
) -> HttpReply {
    let method = request.method().clone();
    let path: Vec<&str> = path.iter().map(String::as_str).collect();
    let result = match (&method, path.as_slice()) {
        (&Method::POST, []) => submit(shared, request).await,
        (&Method::GET, [job]) => show(shared, job).await,
        (&Method::DELETE, [job]) => cancel(shared, job).await,
        (&Method::GET, [job, "tasks", index, "result"]) => task_result(shared, job, index).await,
        _ => Err(WaxError::new(
            ErrorKind::NotFound,
            Step::ParseRequest,
            "jobs",
            "no such path",
        )),
    };
    result.unwrap_or_else(|error| error_reply(&error))
}

async fn submit(shared: &Rc<EntryShared>, request: HttpRequest) -> Result<HttpReply, WaxError> {
    let team = request
        .headers()
        .get(TEAM)
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned)
        .ok_or_else(|| invalid_field(TEAM, "the field is missing"))?;
    let key = parse_idempotency_key(request.headers())?.ok_or_else(|| {
        invalid_field(IDEMPOTENCY_KEY, "the field is missing")
            .with_help("send the same key again to get the same job")
    })?;
    if !shared.settings_loaded.get() {
        let kind = ErrorKind::Unavailable(Duration::from_secs(1));
        let text = "no version of the settings has arrived yet";
        return Err(WaxError::new(kind, Step::SubmitJob, &*shared.name, text));
    }
    let body = parse_json(request, MAX_BODY_BYTES).await?;
    let tree = shared.settings.tree();
    let deadline = shared.clock.now() + COMMIT_TIMEOUT;
    let job = shared
        .job_service
        .submit(&tree, &team, body, &key, deadline)
        .await?;
    let mut reply = json_reply(StatusCode::ACCEPTED, &SubmitReply { job });
    if let Ok(location) = http::HeaderValue::from_str(&format!("/v1/jobs/{job}")) {
        reply.headers_mut().insert(http::header::LOCATION, location);
    }
    Ok(reply)
}

fn parse_job_id(text: &str) -> Result<JobId, WaxError> {
    text.parse()
        .map_err(|error| WaxError::new(ErrorKind::Invalid, Step::ReadJob, text, error))
}

async fn show(shared: &EntryShared, job: &str) -> Result<HttpReply, WaxError> {
    let view = shared.job_service.show(parse_job_id(job)?).await?;
    Ok(json_reply(StatusCode::OK, &view))
}

async fn cancel(shared: &EntryShared, job: &str) -> Result<HttpReply, WaxError> {
    let job = parse_job_id(job)?;
    let deadline = shared.clock.now() + COMMIT_TIMEOUT;
    shared.job_service.cancel(job, deadline).await?;
    Ok(json_reply(StatusCode::ACCEPTED, &SubmitReply { job }))
}

async fn task_result(shared: &EntryShared, job: &str, index: &str) -> Result<HttpReply, WaxError> {
    let index = index
        .parse()
        .map_err(|error| WaxError::new(ErrorKind::Invalid, Step::ReadJob, index, error))?;
    let bytes = shared.job_service.result(parse_job_id(job)?, index).await?;
    Ok(Response::new(OutgoingBody::full(bytes)))
}
