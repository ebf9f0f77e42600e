//! Command `site`: the store of the users' platform with its published API of rows, transactions
//! and a change feed.

use crate::args::SiteOptions;
use crate::site_rows::{SiteRows, TxBody};
use compio::time::{sleep, timeout};
use event_listener::Event;
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use wax_http::{
    HttpHandler, HttpReply, HttpRequest, HttpServer, ShutdownSignal, bind_listener, empty_reply,
    error_reply, json_reply, parse_json,
};
use wax_types::{ErrorKind, Step, WaxError};

const MAX_BODY_BYTES: usize = 1_000_000;
/// Maximum number of entries in one transaction.
const MAX_TX_ENTRIES: usize = 100;
/// Time before a transaction with a lost reply is answered. Longer than the callers' timeout for one
/// attempt, so that they see no reply.
const LOST_REPLY_DELAY: Duration = Duration::from_secs(30);

/// Faults of the store. `POST /faults` replaces all of them; fields that the request omits are
/// reset.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
struct SiteFaults {
    /// Every call except the operator's is answered with 503.
    down: bool,
    /// Delay before every call is processed, milliseconds.
    delay_ms: u64,
    /// Percentage of transactions that are processed but whose reply is lost; the operator's replies
    /// are never lost.
    lose_percent: u32,
    /// The next call of the feed is answered with 410, as if the history had been discarded. Resets
    /// itself.
    forget: bool,
    /// Key of a row that the store refuses to write unless its value has at most
    /// `refused_above` bytes in Base64.
    refused_row: String,
    refused_above: usize,
}

struct SiteState {
    rows: RefCell<SiteRows>,
    changed: Event,
    faults: RefCell<SiteFaults>,
    started_at: Instant,
}

pub(crate) async fn run(options: SiteOptions) -> Result<(), WaxError> {
    let listener = bind_listener(options.listen)?;
    let address = listener
        .local_addr()
        .map_err(|error| WaxError::new(ErrorKind::Invalid, Step::Listen, "site", error))?;
    println!("{}", json!({ "site": address }));
    let state = Rc::new(SiteState {
        rows: RefCell::default(),
        changed: Event::new(),
        faults: RefCell::default(),
        started_at: Instant::now(),
    });
    HttpServer::new(listener, state, ShutdownSignal::default())
        .run()
        .await;
    Ok(())
}

fn is_operator(request: &HttpRequest) -> bool {
    request.headers().contains_key("x-operator")
}

fn query_parameter(request: &HttpRequest, name: &str) -> String {
    let query = request.uri().query().unwrap_or_default();
    let value = query.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        (key == name).then_some(value)
    });
    value.unwrap_or_default().replace("%00", "\0")
}

impl HttpHandler for SiteState {
    async fn handle(&self, request: HttpRequest) -> HttpReply {
        let path = request.uri().path().to_owned();
        if path == "/faults" {
            return match parse_json::<SiteFaults>(request, MAX_BODY_BYTES).await {
                Ok(faults) => {
                    *self.faults.borrow_mut() = faults;
                    empty_reply(StatusCode::OK)
                }
                Err(error) => error_reply(&error),
            };
        }
        let faults = self.faults.borrow().clone();
        sleep(Duration::from_millis(faults.delay_ms)).await;
        // As on the real platform, the operator is served even while the store is down for others.
        if faults.down && !is_operator(&request) {
            return empty_reply(StatusCode::SERVICE_UNAVAILABLE);
        }
        match (request.method(), path.as_str()) {
            (&Method::POST, "/v1/rows-tx") => self.transact(request, &faults).await,
            (&Method::GET, "/v1/rows-get") => self.get(&request),
            (&Method::GET, "/v1/rows-feed") => self.feed(&request).await,
            _ => empty_reply(StatusCode::NOT_FOUND),
        }
    }
}

impl SiteState {
    fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    async fn transact(&self, request: HttpRequest, faults: &SiteFaults) -> HttpReply {
        // Only the operator may write the operator's tables.
        let by_operator = is_operator(&request);
        let body: TxBody = match parse_json(request, MAX_BODY_BYTES).await {
            Ok(body) => body,
            Err(error) => return error_reply(&error),
        };
        let refuses_row = body.writes_row_above(&faults.refused_row, faults.refused_above);
        if body.entry_count() > MAX_TX_ENTRIES || body.has_oversized_row() || refuses_row {
            return empty_reply(StatusCode::BAD_REQUEST);
        }
        if !by_operator && body.writes_operator_table() {
            return empty_reply(StatusCode::FORBIDDEN);
        }
        let outcome = self.rows.borrow_mut().apply(body);
        self.changed.notify(usize::MAX);
        if !by_operator && fastrand::u32(0..100) < faults.lose_percent {
            sleep(LOST_REPLY_DELAY).await;
            return empty_reply(StatusCode::GATEWAY_TIMEOUT);
        }
        let now_ms = self.now_ms();
        match outcome {
            Ok(version) => json_reply(
                StatusCode::OK,
                &json!({ "rowVersion": version, "nowMs": now_ms }),
            ),
            Err((rows, version)) => {
                let body = json!({ "rows": rows, "rowVersion": version, "nowMs": now_ms });
                json_reply(StatusCode::PRECONDITION_FAILED, &body)
            }
        }
    }

    fn get(&self, request: &HttpRequest) -> HttpReply {
        let limit = query_parameter(request, "limit").parse().unwrap_or(500);
        let rows = self.rows.borrow();
        let (page, more) = rows.range(
            &query_parameter(request, "table"),
            &query_parameter(request, "part"),
            &query_parameter(request, "from"),
            &query_parameter(request, "to"),
            limit,
        );
        let body = json!({ "rows": page, "hasMore": more, "rowVersion": rows.version(), "nowMs": self.now_ms() });
        json_reply(StatusCode::OK, &body)
    }

    async fn feed(&self, request: &HttpRequest) -> HttpReply {
        let table = query_parameter(request, "table");
        let after: u64 = query_parameter(request, "after")
            .parse()
            .unwrap_or_default();
        let wait = Duration::from_millis(
            query_parameter(request, "waitMs")
                .parse()
                .unwrap_or_default(),
        );
        let started_at = Instant::now();
        loop {
            if std::mem::take(&mut self.faults.borrow_mut().forget) {
                return empty_reply(StatusCode::GONE);
            }
            let listener = self.changed.listen();
            let (changes, version) = self.rows.borrow().changes(&table, after);
            let remaining = wait.saturating_sub(started_at.elapsed());
            if !changes.is_empty() || remaining.is_zero() {
                let body =
                    json!({ "rows": changes, "rowVersion": version, "nowMs": self.now_ms() });
                return json_reply(StatusCode::OK, &body);
            }
            // The loop reads the changes again after a change and after the timeout.
            let _ = timeout(remaining, listener).await;
        }
    }
}
