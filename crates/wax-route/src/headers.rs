//! Header fields of requests from callers and of responses to them.

use bytes::Bytes;
use http::{HeaderMap, Method};
use std::time::Duration;
use wax_trace::TraceContext;
use wax_types::{ErrorKind, Step, WaxError};
use wax_wire::HeaderField;

pub(crate) const TEAM: &str = "waxwing-team";
pub(crate) const DEADLINE: &str = "waxwing-deadline-ms";
pub(crate) const NON_IDEMPOTENT: &str = "waxwing-non-idempotent";
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";
pub(crate) const OUTCOME: &str = "waxwing-outcome";
pub(crate) const RETRY_AFTER_MS: &str = "waxwing-retry-after-ms";

/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 200;

/// Header fields that are not forwarded: those of one connection, and those that the entry or the
/// sidecar sets itself.
const NOT_FORWARDED_HEADERS: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-connection",
    "transfer-encoding",
    "te",
    "trailer",
    "upgrade",
    "host",
    "content-length",
    "expect",
    TraceContext::HEADER,
];

/// Conditions under which a request may be sent to an upstream again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RetrySafety {
    /// Idempotent: may be retried and hedged.
    Idempotent,
    /// The method is not idempotent: retried only if the earlier attempt provably did not run.
    OnlyIfNotRun,
    /// The caller marked the request as non-idempotent: at most one execution, also if the caller
    /// repeats the request. The idempotency key is reserved in the table.
    AtMostOnceByKey,
}

/// Parsed header fields of a caller's request.
#[derive(Debug)]
pub(crate) struct CallerHeaders {
    pub(crate) team: Box<str>,
    /// Time within which the caller wants a response; `None` uses the deadline in the settings.
    pub(crate) deadline: Option<Duration>,
    pub(crate) retry_safety: RetrySafety,
    pub(crate) idempotency_key: Option<Box<str>>,
    pub(crate) trace: Option<TraceContext>,
}

impl CallerHeaders {
    /// Parses the header fields of a request.
    ///
    /// # Errors
    ///
    /// A required field is missing, or a field is malformed. The error names the field.
    pub(crate) fn parse(method: &Method, headers: &HeaderMap) -> Result<Self, WaxError> {
        let team = header_text(headers, TEAM)?.ok_or_else(|| {
            invalid_field(TEAM, "the field is missing").with_help("name your team in it")
        })?;
        let deadline = match header_text(headers, DEADLINE)? {
            None => None,
            Some(value) => Some(parse_deadline(value)?),
        };
        let idempotency_key = parse_idempotency_key(headers)?;
        let non_idempotent = match header_text(headers, NON_IDEMPOTENT)? {
            None | Some("false") => false,
            Some("true") => true,
            Some(_) => return Err(invalid_field(NON_IDEMPOTENT, "expected true or false")),
        };
        let retry_safety = match (non_idempotent, method.is_idempotent()) {
            (true, _) => RetrySafety::AtMostOnceByKey,
            (false, true) => RetrySafety::Idempotent,
            (false, false) => RetrySafety::OnlyIfNotRun,
        };
        if retry_safety == RetrySafety::AtMostOnceByKey && idempotency_key.is_none() {
            return Err(
                invalid_field(IDEMPOTENCY_KEY, "a non-idempotent request needs a key")
                    .with_help("send the same key each time you ask for the same effect"),
            );
        }
        let trace =
            header_text(headers, TraceContext::HEADER)?.and_then(|value| value.parse().ok());
        Ok(Self {
            team: team.into(),
            deadline,
            retry_safety,
            idempotency_key,
            trace,
        })
    }
}

pub(crate) fn invalid_field(field: &str, label: &str) -> WaxError {
    WaxError::new(ErrorKind::Invalid, Step::ParseRequest, field, label)
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, WaxError> {
    match headers.get(name) {
        None => Ok(None),
        Some(value) => value
            .to_str()
            .map(Some)
            .map_err(|_| invalid_field(name, "expected visible ASCII")),
    }
}

fn parse_deadline(value: &str) -> Result<Duration, WaxError> {
    match value.parse::<u32>() {
        Ok(millis) if (1..=600_000).contains(&millis) => Ok(Duration::from_millis(millis.into())),
        _ => Err(invalid_field(DEADLINE, "expected 1 to 600000 milliseconds")),
    }
}

/// Parses the idempotency key; `None` if there is none.
///
/// # Errors
///
/// The key is empty, too long, or not visible ASCII.
pub(crate) fn parse_idempotency_key(headers: &HeaderMap) -> Result<Option<Box<str>>, WaxError> {
    match header_text(headers, IDEMPOTENCY_KEY)? {
        Some(key) if key.is_empty() || key.len() > MAX_KEY_BYTES => Err(invalid_field(
            IDEMPOTENCY_KEY,
            "expected 1 to 200 characters",
        )),
        key => Ok(key.map(Box::from)),
    }
}

/// Returns the header fields of a request that are forwarded to the upstream.
pub(crate) fn forwarded_headers(headers: &HeaderMap) -> Vec<HeaderField> {
    headers
        .iter()
        .filter(|(name, _)| !NOT_FORWARDED_HEADERS.contains(&name.as_str()))
        .map(|(name, value)| HeaderField {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}
