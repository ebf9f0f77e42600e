//! Builds responses and reads request bodies.

use crate::body::OutgoingBody;
use crate::{CollectedBody, HttpReply, HttpRequest};
use http::{Response, StatusCode, header};
use serde::Serialize;
use serde::de::DeserializeOwned;
use wax_types::{ErrorKind, Step, WaxError};

/// Builds a response without a body.
pub fn empty_reply(status: StatusCode) -> HttpReply {
    let mut reply = Response::new(OutgoingBody::empty());
    *reply.status_mut() = status;
    reply
}

/// Builds a response with a JSON body.
pub fn json_reply<T: Serialize>(status: StatusCode, body: &T) -> HttpReply {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let mut reply = Response::new(OutgoingBody::full(bytes));
    *reply.status_mut() = status;
    let json = header::HeaderValue::from_static("application/json");
    reply.headers_mut().insert(header::CONTENT_TYPE, json);
    reply
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
    step: String,
    peer: &'a str,
    help: &'a str,
}

/// Builds the response for an error: status, description as JSON, and, if the error allows a retry,
/// the delay before the retry in the headers `retry-after` (seconds) and `waxwing-retry-after-ms`.
pub fn error_reply(error: &WaxError) -> HttpReply {
    let status = match error.kind {
        ErrorKind::Invalid => StatusCode::BAD_REQUEST,
        ErrorKind::NotFound => StatusCode::NOT_FOUND,
        ErrorKind::Conflict => StatusCode::CONFLICT,
        ErrorKind::Overload(_) => StatusCode::TOO_MANY_REQUESTS,
        ErrorKind::Unavailable(_) => StatusCode::SERVICE_UNAVAILABLE,
        ErrorKind::Timeout => StatusCode::GATEWAY_TIMEOUT,
        ErrorKind::Protocol | ErrorKind::Ambiguous => StatusCode::BAD_GATEWAY,
    };
    let body = ErrorBody {
        error: &error.label,
        step: error.step.to_string(),
        peer: &error.peer,
        help: &error.help,
    };
    let mut reply = json_reply(status, &body);
    if let Some(delay) = error.retry_after() {
        let headers = reply.headers_mut();
        let seconds = delay.as_secs_f64().ceil().max(1.0) as u64;
        headers.insert(header::RETRY_AFTER, seconds.into());
        headers.insert("waxwing-retry-after-ms", (delay.as_millis() as u64).into());
    }
    reply
}

/// Reads the complete body of a request, at most `limit` bytes. Its memory stays reserved until the
/// returned body is dropped.
///
/// # Errors
///
/// `Invalid` if the body is longer than `limit`; `Unavailable` if there is no memory for it or it
/// does not arrive in time; `Protocol` if the connection failed before its end.
pub async fn collect_body(request: HttpRequest, limit: usize) -> Result<CollectedBody, WaxError> {
    request.into_body().collect_within(limit).await
}

/// Reads and decodes a JSON body of at most `limit` bytes.
///
/// # Errors
///
/// The same as for [`collect_body`], and `Invalid` if the body is not JSON of the expected
/// structure.
pub async fn parse_json<T: DeserializeOwned>(
    request: HttpRequest,
    limit: usize,
) -> Result<T, WaxError> {
    let bytes = collect_body(request, limit).await?;
    serde_json::from_slice(&bytes).map_err(|error| {
        WaxError::new(ErrorKind::Invalid, Step::ParseRequest, "caller", error)
            .with_help("send the JSON that docs/OPERATING.md describes")
    })
}
