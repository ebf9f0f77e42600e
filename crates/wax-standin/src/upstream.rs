//! Command `upstream`: answers requests, and records how many ran concurrently and how often each
//! idempotency key was executed.

use crate::args::UpstreamOptions;
use bytes::Bytes;
use compio::time::sleep;
use http::{HeaderValue, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use wax_http::{
    HttpHandler, HttpReply, HttpRequest, HttpServer, OpenConnections, OutgoingBody, ShutdownSignal,
    bind_listener, body_channel, collect_body, empty_reply, error_reply, json_reply, parse_json,
};
use wax_types::{ErrorKind, Step, WaxError};

const MAX_BODY_BYTES: usize = 256 << 20;

/// Faults of an upstream. `POST /faults` replaces all of them; fields that the request omits are
/// reset.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct UpstreamFaults {
    /// Additional execution time of each request, milliseconds.
    slow_ms: u64,
    /// Each response is truncated after half of its body.
    cut_answers: bool,
    /// Each request is answered with 500.
    fail: bool,
}

struct UpstreamState {
    service: Duration,
    slots: usize,
    running: Cell<usize>,
    max_running: Cell<usize>,
    executed: Cell<u64>,
    keys: RefCell<BTreeMap<String, u64>>,
    faults: RefCell<UpstreamFaults>,
    connections: RefCell<Option<Rc<OpenConnections>>>,
}

pub(crate) async fn run(options: UpstreamOptions) -> Result<(), WaxError> {
    let listener = bind_listener(options.listen)?;
    let address = listener
        .local_addr()
        .map_err(|error| WaxError::new(ErrorKind::Invalid, Step::Listen, "upstream", error))?;
    println!("{}", json!({ "upstream": address }));
    let state = Rc::new(UpstreamState {
        service: Duration::from_millis(options.service_ms),
        slots: options.slots,
        running: Cell::new(0),
        max_running: Cell::new(0),
        executed: Cell::new(0),
        keys: RefCell::default(),
        faults: RefCell::default(),
        connections: RefCell::default(),
    });
    let server = HttpServer::new(listener, state.clone(), ShutdownSignal::default());
    *state.connections.borrow_mut() = Some(server.open_connections());
    server.run().await;
    Ok(())
}

/// Counts a request as running until it is dropped, which also happens when the connection breaks.
struct RunningGuard<'a>(&'a Cell<usize>);

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl UpstreamState {
    fn begin_request(&self) -> RunningGuard<'_> {
        let running = self.running.get() + 1;
        self.running.set(running);
        self.max_running.set(self.max_running.get().max(running));
        self.executed.set(self.executed.get() + 1);
        RunningGuard(&self.running)
    }

    fn audit(&self) -> HttpReply {
        let body = json!({
            "executed": self.executed.get(),
            "most_running": self.max_running.get(),
            "most_connections": self.connections.borrow().as_ref().map(|connections| connections.max_open()),
            "keys": *self.keys.borrow(),
        });
        json_reply(StatusCode::OK, &body)
    }

    async fn execute(&self, request: HttpRequest) -> Result<HttpReply, WaxError> {
        let header = |name: &str| {
            let value = request.headers().get(name)?.to_str().ok()?;
            Some(value.to_owned())
        };
        let key = header("idempotency-key");
        let trace = header("traceparent").unwrap_or_default();
        let delay = header("x-service-ms").and_then(|text| text.parse().ok());
        let length = header("x-answer-bytes").and_then(|text| text.parse::<usize>().ok());
        let path = request.uri().to_string();
        let method = request.method().clone();
        let _guard = self.begin_request();
        if self.running.get() > self.slots {
            return Ok(empty_reply(StatusCode::SERVICE_UNAVAILABLE));
        }
        let body = collect_body(request, MAX_BODY_BYTES).await?;
        if let Some(key) = key {
            *self.keys.borrow_mut().entry(key).or_default() += 1;
        }
        let service = delay.map_or(self.service, Duration::from_millis);
        let faults = self.faults.borrow().clone();
        sleep(service + Duration::from_millis(faults.slow_ms)).await;
        if faults.fail {
            return Ok(empty_reply(StatusCode::INTERNAL_SERVER_ERROR));
        }
        let answer = match length {
            Some(length) => Bytes::from(vec![b'x'; length]),
            None => {
                let echo = String::from_utf8_lossy(&body);
                let text = json!({ "method": method.as_str(), "path": path, "echo": echo });
                Bytes::from(text.to_string())
            }
        };
        let mut reply = answer_reply(answer, faults.cut_answers);
        if let Ok(value) = HeaderValue::from_str(&trace) {
            reply.headers_mut().insert("x-seen-traceparent", value);
        }
        Ok(reply)
    }
}

fn answer_reply(answer: Bytes, cut: bool) -> HttpReply {
    if !cut {
        return Response::new(OutgoingBody::full(answer));
    }
    let (sender, body) = body_channel(|_| {});
    sender.send(answer.slice(..answer.len() / 2));
    Response::new(body)
}

impl HttpHandler for UpstreamState {
    async fn handle(&self, request: HttpRequest) -> HttpReply {
        let result = match request.uri().path() {
            "/audit" => Ok(self.audit()),
            "/faults" => match parse_json(request, MAX_BODY_BYTES).await {
                Ok(faults) => {
                    *self.faults.borrow_mut() = faults;
                    Ok(empty_reply(StatusCode::NO_CONTENT))
                }
                Err(error) => Err(error),
            },
            _ => self.execute(request).await,
        };
        result.unwrap_or_else(|error| error_reply(&error))
    }
}
