//! Command `load`: sends quick requests in an open loop with Poisson arrivals at a given mean rate,
//! and prints outcomes and latencies. The number of requests is fixed by rate and duration.

use crate::args::LoadOptions;
use compio::runtime::spawn;
use compio::time::{sleep, timeout};
use fastrand::Rng;
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::BodyExt;
use serde_json::json;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use wax_http::{ClientConnection, ConnectionCount, OutgoingBody};
use wax_types::WaxError;

/// Time beyond the deadline of a request for which the caller waits for a response.
const ANSWER_TIMEOUT_MARGIN: Duration = Duration::from_secs(5);

struct LoadState {
    options: LoadOptions,
    idle_connections: RefCell<Vec<ClientConnection>>,
    connection_count: ConnectionCount,
    latency: RefCell<Histogram<u64>>,
    outcomes: RefCell<BTreeMap<String, u64>>,
}

pub(crate) async fn run(options: LoadOptions) -> Result<(), WaxError> {
    let histogram = Histogram::new(3).expect("three digits are allowed");
    let total = u64::from(options.rate) * u64::from(options.seconds);
    let mut rng = Rng::with_seed(options.seed);
    let mean_interval_s = 1.0 / f64::from(options.rate.max(1));
    let state = Rc::new(LoadState {
        options,
        idle_connections: RefCell::default(),
        connection_count: ConnectionCount::default(),
        latency: RefCell::new(histogram),
        outcomes: RefCell::default(),
    });
    let start = Instant::now();
    let mut due = Duration::ZERO;
    let mut callers = Vec::new();
    for _ in 0..total {
        due += Duration::from_secs_f64(-mean_interval_s * (1.0 - rng.f64()).ln());
        let delay = due.saturating_sub(start.elapsed());
        if !delay.is_zero() {
            sleep(delay).await;
        }
        let state = state.clone();
        let due_at = start + due;
        callers.push(spawn(async move { state.call(due_at).await }));
    }
    for caller in callers {
        // A request whose task panicked is missing from the outcomes.
        let _ = caller.await;
    }
    state.report(start.elapsed());
    Ok(())
}

impl LoadState {
    /// Sends one request and records its outcome. The latency counts from `due_at`, when the request
    /// was scheduled, so it includes the delay if the request is sent late.
    async fn call(&self, due_at: Instant) {
        let outcome = match timeout(self.answer_timeout(), self.send_request()).await {
            Ok(outcome) => outcome,
            Err(_) => "no answer".into(),
        };
        if outcome == "200 ran" || outcome == "200 none" {
            let micros = due_at.elapsed().as_micros() as u64;
            // Recording cannot fail because the histogram resizes itself.
            let _ = self.latency.borrow_mut().record(micros.max(1));
        }
        *self.outcomes.borrow_mut().entry(outcome).or_default() += 1;
    }

    fn answer_timeout(&self) -> Duration {
        Duration::from_millis(u64::from(self.options.deadline_ms)) + ANSWER_TIMEOUT_MARGIN
    }

    async fn connection(&self) -> Result<ClientConnection, WaxError> {
        loop {
            let Some(connection) = self.idle_connections.borrow_mut().pop() else {
                return connect(self.options.entry, &self.connection_count).await;
            };
            if connection.is_ready() {
                return Ok(connection);
            }
        }
    }

    fn uri(&self) -> String {
        let options = &self.options;
        if options.direct {
            return options.path.clone();
        }
        format!("/v1/call/{}{}", options.service, options.path)
    }

    async fn send_request(&self) -> String {
        if self.connection_count.get() >= self.options.connections
            && self.idle_connections.borrow().is_empty()
        {
            return "no free connection".into();
        }
        let mut connection = match self.connection().await {
            Ok(connection) => connection,
            Err(_) => return "cannot connect".into(),
        };
        let options = &self.options;
        let request = Request::builder()
            .uri(self.uri())
            .header("host", options.entry.to_string())
            .header("waxwing-team", &options.team)
            .header("waxwing-deadline-ms", options.deadline_ms)
            .body(OutgoingBody::empty());
        let Ok(request) = request else {
            return "bad request".into();
        };
        let Ok(response) = connection.send(request).await else {
            return "connection lost".into();
        };
        let outcome = response
            .headers()
            .get("waxwing-outcome")
            .and_then(|value| value.to_str().ok())
            .unwrap_or("none")
            .to_owned();
        let status = response.status().as_u16();
        if response.into_body().collect().await.is_err() {
            return "cut answer".into();
        }
        if connection.ready().await {
            self.idle_connections.borrow_mut().push(connection);
        }
        format!("{status} {outcome}")
    }

    fn report(&self, elapsed: Duration) {
        let latency = self.latency.borrow();
        let body = json!({
            "seconds": elapsed.as_secs_f64(),
            "outcomes": *self.outcomes.borrow(),
            "p50_us": latency.value_at_quantile(0.5),
            "p99_us": latency.value_at_quantile(0.99),
            "p999_us": latency.value_at_quantile(0.999),
            "max_us": latency.max(),
        });
        println!("{body}");
    }
}

async fn connect(
    address: SocketAddr,
    count: &ConnectionCount,
) -> Result<ClientConnection, WaxError> {
    ClientConnection::open(address, Duration::from_secs(2), count).await
}
