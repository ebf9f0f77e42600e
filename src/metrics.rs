//! Serves counters and latency histograms over HTTP in the Prometheus text format.

use compio::runtime::spawn;
use http::{Response, StatusCode, header};
use std::fmt::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use wax_http::{
    ClientBudget, HttpHandler, HttpReply, HttpRequest, HttpServer, OutgoingBody, ShutdownSignal,
    bind_listener, empty_reply,
};
use wax_trace::{counter_values, render_latencies, render_slow_workers};
use wax_types::WaxError;

struct MetricsHandler;

impl HttpHandler for MetricsHandler {
    async fn handle(&self, request: HttpRequest) -> HttpReply {
        if request.uri().path() != "/metrics" {
            return empty_reply(StatusCode::NOT_FOUND);
        }
        let mut reply = Response::new(OutgoingBody::full(render()));
        let plain = header::HeaderValue::from_static("text/plain; version=0.0.4");
        reply.headers_mut().insert(header::CONTENT_TYPE, plain);
        reply
    }
}

fn render() -> String {
    let mut text = String::new();
    for (name, value) in counter_values() {
        if value > 0 {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "waxwing_{} {value}", name.replace('.', "_"));
        }
    }
    render_latencies(&mut text);
    render_slow_workers(&mut text);
    text
}

/// Serves metrics on `address` until the process ends; does nothing if `address` is `None`. Its
/// clients share `budget`.
///
/// # Errors
///
/// `Invalid` if the address cannot be bound.
pub(crate) fn serve_metrics(
    address: Option<SocketAddr>,
    budget: Rc<ClientBudget>,
) -> Result<(), WaxError> {
    if let Some(address) = address {
        let listener = bind_listener(address)?;
        let server = HttpServer::new(listener, Rc::new(MetricsHandler), ShutdownSignal::default())
            .with_budget(budget)
            .with_vital_clients();
        spawn(server.run()).detach();
    }
    Ok(())
}
