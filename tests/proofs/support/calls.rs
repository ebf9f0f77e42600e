//! HTTP client of the tests.

use cyper::Client;
use http::Method;
use serde_json::Value;
use std::time::Duration;

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// HTTP response. Fields of missing headers are `None` or empty.
#[derive(Debug, Clone)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    /// Header field `waxwing-outcome`.
    pub(crate) outcome: String,
    pub(crate) retry_after: Option<String>,
    pub(crate) traceparent: Option<String>,
    pub(crate) body: Vec<u8>,
}

impl Answer {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    pub(crate) fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Makes one call on a new connection; returns `Err` if no complete response arrives in time.
pub(crate) async fn call(
    method: Method,
    url: &str,
    headers: &[(&str, &str)],
    body: Vec<u8>,
) -> Result<Answer, String> {
    let client = Client::new().map_err(|error| error.to_string())?;
    let mut request = client
        .request(method, url)
        .map_err(|error| error.to_string())?;
    for (name, value) in headers {
        request = request
            .header(*name, *value)
            .map_err(|error| error.to_string())?;
    }
    let exchange = async {
        let response = request.body(body).send().await?;
        let status = response.status().as_u16();
        let headers = response.headers().clone();
        let body = response.bytes().await?.to_vec();
        Ok::<_, cyper::Error>((status, headers, body))
    };
    let (status, headers, body) = compio::time::timeout(CALL_TIMEOUT, exchange)
        .await
        .map_err(|_| "no answer within the call timeout".to_owned())?
        .map_err(|error| error.to_string())?;
    let text = |name: &str| {
        let value = headers.get(name)?.to_str().ok()?;
        Some(value.to_owned())
    };
    Ok(Answer {
        status,
        outcome: text("waxwing-outcome").unwrap_or_default(),
        retry_after: text("retry-after"),
        traceparent: text("x-seen-traceparent"),
        body,
    })
}

/// Gets a JSON document; returns `None` without a complete response of status 200.
pub(crate) async fn get_json(url: &str) -> Option<Value> {
    let answer = call(Method::GET, url, &[], Vec::new()).await.ok()?;
    (answer.status == 200).then(|| answer.json())
}

/// Posts a JSON document.
pub(crate) async fn post_json(url: &str, body: &Value) -> Result<Answer, String> {
    let headers = [("content-type", "application/json")];
    call(Method::POST, url, &headers, body.to_string().into_bytes()).await
}
