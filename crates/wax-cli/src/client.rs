//! HTTP client for an entry's operator interface.

use cyper::Client;
use http::Method;
use serde::Serialize;
use serde_json::Value;
use std::time::Duration;
use wax_types::{ErrorKind, Step, WaxError};

/// Timeout of one call, which includes the time that a change of the settings may take to come into
/// force.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Client of one entry.
pub(crate) struct OperatorClient {
    client: Client,
    base: String,
}

impl OperatorClient {
    pub(crate) fn new(address: &str) -> Result<Self, WaxError> {
        let client = Client::new()
            .map_err(|error| WaxError::new(ErrorKind::Invalid, Step::Connect, address, error))?;
        let base = format!("http://{address}");
        Ok(Self { client, base })
    }

    pub(crate) async fn get(&self, path: &str) -> Result<Value, WaxError> {
        let bytes = self.call(Method::GET, path, &[], Vec::new()).await?;
        self.decode(&bytes)
    }

    pub(crate) async fn get_bytes(&self, path: &str) -> Result<Vec<u8>, WaxError> {
        self.call(Method::GET, path, &[], Vec::new()).await
    }

    pub(crate) async fn delete(&self, path: &str) -> Result<Value, WaxError> {
        let bytes = self.call(Method::DELETE, path, &[], Vec::new()).await?;
        self.decode(&bytes)
    }

    pub(crate) async fn post<T: Serialize>(
        &self,
        path: &str,
        headers: &[(&str, &str)],
        body: &T,
    ) -> Result<Value, WaxError> {
        let bytes =
            serde_json::to_vec(body).map_err(|error| self.error(ErrorKind::Invalid, error))?;
        let bytes = self.call(Method::POST, path, headers, bytes).await?;
        self.decode(&bytes)
    }

    fn error(&self, kind: ErrorKind, label: impl std::fmt::Display) -> WaxError {
        WaxError::new(kind, Step::Connect, &*self.base, label)
    }

    fn decode(&self, bytes: &[u8]) -> Result<Value, WaxError> {
        serde_json::from_slice(bytes).map_err(|error| self.error(ErrorKind::Protocol, error))
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> Result<Vec<u8>, WaxError> {
        let mut request = self
            .client
            .request(method, format!("{}{path}", self.base))
            .map_err(|error| self.error(ErrorKind::Invalid, error))?;
        for (name, value) in headers {
            request = request
                .header(*name, *value)
                .map_err(|error| self.error(ErrorKind::Invalid, error))?;
        }
        let call = async {
            let response = request.body(body).send().await?;
            let status = response.status();
            Ok::<_, cyper::Error>((status, response.bytes().await?))
        };
        let (status, bytes) = match compio::time::timeout(CALL_TIMEOUT, call).await {
            Err(_) => return Err(self.error(ErrorKind::Timeout, "call timed out")),
            Ok(Err(error)) => {
                let kind = ErrorKind::Unavailable(Duration::from_secs(1));
                return Err(self
                    .error(kind, error)
                    .with_help("name the operators' address of an entry with --entry"));
            }
            Ok(Ok(answer)) => answer,
        };
        if status.is_success() {
            return Ok(bytes.to_vec());
        }
        Err(self.response_error(status, &bytes))
    }

    /// Converts an error response of an entry.
    fn response_error(&self, status: http::StatusCode, bytes: &[u8]) -> WaxError {
        let body: Value = serde_json::from_slice(bytes).unwrap_or_default();
        let text = |key: &str| body.get(key).and_then(Value::as_str).unwrap_or_default();
        let kind = match status.as_u16() {
            400 => ErrorKind::Invalid,
            404 => ErrorKind::NotFound,
            409 => ErrorKind::Conflict,
            429 => ErrorKind::Overload(Duration::from_secs(1)),
            503 => ErrorKind::Unavailable(Duration::from_secs(1)),
            504 => ErrorKind::Timeout,
            _ => ErrorKind::Ambiguous,
        };
        let label = match text("error") {
            "" => status.to_string(),
            label => label.to_owned(),
        };
        WaxError::new(kind, Step::Connect, text("peer"), label).with_help(text("help"))
    }
}
