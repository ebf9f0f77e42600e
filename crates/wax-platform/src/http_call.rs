//! HTTP calls with JSON bodies and a timeout.

use compio::time::timeout;
use cyper::{Client, RequestBuilder};
use http::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time::Duration;
use wax_types::{ErrorKind, Step, WaxError};

/// HTTP client whose timeout covers the whole call.
#[derive(Debug, Clone)]
pub struct HttpCaller {
    client: Client,
    call_timeout: Duration,
}

impl HttpCaller {
    /// Creates a client whose calls time out after `call_timeout`.
    ///
    /// # Errors
    ///
    /// The client cannot be built.
    pub fn new(call_timeout: Duration) -> Result<Self, WaxError> {
        let client = Client::new()
            .map_err(|error| WaxError::new(ErrorKind::Invalid, Step::Connect, "http", error))?;
        Ok(Self {
            client,
            call_timeout,
        })
    }

    /// Sends a POST request with `body` as JSON and decodes the JSON answer.
    ///
    /// # Errors
    ///
    /// `Unavailable`: no connection was made, so nothing was sent. `Timeout`, `Ambiguous` or `Protocol`: the request
    /// may have been sent and carried out.
    pub async fn post<B: Serialize, R: DeserializeOwned>(
        &self,
        step: Step,
        url: &str,
        body: &B,
    ) -> Result<R, WaxError> {
        let bytes = serde_json::to_vec(body).map_err(|error| invalid(step, url, error))?;
        let request = self
            .client
            .post(url)
            .and_then(|request| request.header("content-type", "application/json"))
            .map_err(|error| invalid(step, url, error))?
            .body(bytes);
        let (status, bytes) = self.send(step, url, request).await?;
        decode(step, url, status, &bytes)
    }

    /// Sends a GET request and decodes the JSON answer.
    ///
    /// # Errors
    ///
    /// See [`HttpCaller::post`].
    pub async fn get<R: DeserializeOwned>(&self, step: Step, url: &str) -> Result<R, WaxError> {
        let request = self
            .client
            .get(url)
            .map_err(|error| invalid(step, url, error))?;
        let (status, bytes) = self.send(step, url, request).await?;
        decode(step, url, status, &bytes)
    }

    /// Builds a request with a body and extra headers.
    ///
    /// # Errors
    ///
    /// The URL or a header is malformed.
    pub fn request(
        &self,
        step: Step,
        method: http::Method,
        url: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> Result<RequestBuilder, WaxError> {
        let mut request = self
            .client
            .request(method, url)
            .map_err(|error| invalid(step, url, error))?;
        for (name, value) in headers {
            request = request
                .header(*name, *value)
                .map_err(|error| invalid(step, url, error))?;
        }
        Ok(request.body(body))
    }

    /// Sends a request and reads the whole answer. Error statuses are answers too.
    ///
    /// # Errors
    ///
    /// `Unavailable`, `Timeout` or `Ambiguous`; see [`HttpCaller::post`].
    pub async fn send(
        &self,
        step: Step,
        url: &str,
        request: RequestBuilder,
    ) -> Result<(StatusCode, Vec<u8>), WaxError> {
        let call = async {
            let response = request.send().await?;
            let status = response.status();
            let bytes = response.bytes().await?;
            Ok::<_, cyper::Error>((status, bytes.to_vec()))
        };
        match timeout(self.call_timeout, call).await {
            Err(_) => Err(WaxError::new(
                ErrorKind::Timeout,
                step,
                url,
                "no answer in time",
            )),
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(error)) => Err(classify(step, url, &error)),
        }
    }
}

/// Converts an error of the HTTP client. Only a refused connection proves that nothing was sent; after any other error
/// the request may have been sent.
fn classify(step: Step, url: &str, error: &cyper::Error) -> WaxError {
    let mut source: Option<&(dyn std::error::Error + 'static)> = Some(error);
    while let Some(current) = source {
        if let Some(io) = current.downcast_ref::<std::io::Error>()
            && io.kind() == std::io::ErrorKind::ConnectionRefused
        {
            let kind = ErrorKind::Unavailable(Duration::from_secs(1));
            return WaxError::new(kind, step, url, error);
        }
        source = current.source();
    }
    WaxError::new(ErrorKind::Ambiguous, step, url, error)
}

fn invalid(step: Step, url: &str, error: impl std::fmt::Display) -> WaxError {
    WaxError::new(ErrorKind::Invalid, step, url, error)
}

fn decode<R: DeserializeOwned>(
    step: Step,
    url: &str,
    status: StatusCode,
    bytes: &[u8],
) -> Result<R, WaxError> {
    if !status.is_success() {
        let text = String::from_utf8_lossy(&bytes[..bytes.len().min(200)]);
        let kind = match status {
            StatusCode::NOT_FOUND => ErrorKind::NotFound,
            StatusCode::CONFLICT => ErrorKind::Conflict,
            status if status.is_client_error() => ErrorKind::Invalid,
            _ => ErrorKind::Ambiguous,
        };
        return Err(WaxError::new(kind, step, url, format!("{status}: {text}")));
    }
    // Bytes that are not UTF-8 are replaced, so that only the entry of a list that contains them cannot be
    // read.
    serde_json::from_str(&String::from_utf8_lossy(bytes))
        .map_err(|error| WaxError::new(ErrorKind::Protocol, step, url, error))
}
