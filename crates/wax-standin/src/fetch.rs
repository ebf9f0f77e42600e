//! Command `fetch`: sends one HTTP request, for test scripts on VMs without another HTTP client.

use crate::args::FetchOptions;
use cyper::Client;
use http::Method;
use wax_types::{ErrorKind, Step, WaxError};

pub(crate) async fn run(options: FetchOptions) -> Result<(), WaxError> {
    let failed = |error: &dyn std::fmt::Display| {
        WaxError::new(ErrorKind::Invalid, Step::Connect, &*options.url, error)
    };
    let client = Client::new().map_err(|error| failed(&error))?;
    let method = Method::from_bytes(options.method.as_bytes()).map_err(|error| failed(&error))?;
    let mut request = client
        .request(method, options.url.as_str())
        .map_err(|error| failed(&error))?;
    for header in &options.headers {
        let (name, value) = header
            .split_once(':')
            .ok_or_else(|| failed(&"a header is NAME:VALUE"))?;
        request = request
            .header(name.trim(), value.trim())
            .map_err(|error| failed(&error))?;
    }
    let response = request
        .body(options.body.clone())
        .send()
        .await
        .map_err(|error| failed(&error))?;
    let status = response.status().as_u16();
    let outcome = response
        .headers()
        .get("waxwing-outcome")
        .and_then(|value| value.to_str().ok())
        .unwrap_or("-")
        .to_owned();
    let body = response.text().await.map_err(|error| failed(&error))?;
    println!("{status} {outcome} {body}");
    Ok(())
}
