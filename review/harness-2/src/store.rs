//! Stand-in of the platform's store: rows, transactions and the feed, as the pages describe them.

use crate::http::{Request, Response, Server};
use crate::record::{Record, draw};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// `maxRowBytes` of the settings.
const MAX_ROW_BYTES: usize = 65_536;
/// `transactionMs` of the settings.
const TRANSACTION: Duration = Duration::from_millis(5);

type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    rows: BTreeMap<Key, (String, u64)>,
    history: Vec<(u64, Key, Option<String>)>,
    version: u64,
}

pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    began: Instant,
    record: Arc<Record>,
    pub faults: Faults,
}

/// Faults of the store. The operator is served in any case.
#[derive(Default)]
pub struct Faults {
    /// 0: none, 1: 503 to each call, 2: no answer.
    pub down: AtomicU8,
    /// Percentage of transactions that are done and not answered.
    pub lost_percent: AtomicU8,
    /// Milliseconds by which each answer is late.
    pub slow_ms: AtomicU64,
    /// Whether the next transaction that writes a job gets no answer and is done 3 s later.
    pub late_job: AtomicU8,
}

impl Store {
    pub fn start(address: SocketAddr, record: Arc<Record>) -> io::Result<(Arc<Self>, Server)> {
        let store = Arc::new(Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            began: Instant::now(),
            record,
            faults: Faults::default(),
        });
        let serving = store.clone();
        let server = Server::start(address, move |request| {
            serving.clone().faulty_answer(request)
        })?;
        Ok((store, server))
    }

    fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Writes a row as the operator.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        let text = STANDARD.encode(value.to_string());
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let (version, key) = (rows.version, (table.into(), String::new(), key.into()));
        rows.write(version, key, text);
        self.changed.notify_all();
    }

    fn faulty_answer(self: Arc<Self>, request: &Request) -> Option<Response> {
        match self.faults.down.load(Ordering::SeqCst) {
            1 => return Some(Response::empty(503)),
            2 => {
                std::thread::sleep(Duration::from_secs(20));
                return None;
            }
            _ => {}
        }
        std::thread::sleep(Duration::from_millis(
            self.faults.slow_ms.load(Ordering::SeqCst),
        ));
        if request.path == "/v1/rows-tx"
            && String::from_utf8_lossy(&request.body).contains("\"table\":\"job\"")
            && self.faults.late_job.swap(0, Ordering::SeqCst) == 1
        {
            self.record
                .line("store: a transaction that writes a job is not answered, and done 3 s later");
            let (store, copy) = (self.clone(), request.clone());
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_secs(3));
                let answer = store.answer(&copy);
                store.record.line(format!(
                    "store: the late transaction is done -> {}",
                    answer.status
                ));
            });
            std::thread::sleep(Duration::from_secs(10));
            return None;
        }
        let answer = self.answer(request);
        let lost = self.faults.lost_percent.load(Ordering::SeqCst);
        if request.path == "/v1/rows-tx" && draw(100) < u64::from(lost) {
            std::thread::sleep(Duration::from_secs(20));
            return None;
        }
        Some(answer)
    }

    fn answer(&self, request: &Request) -> Response {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/v1/rows-tx") => {
                std::thread::sleep(TRANSACTION);
                self.transact(request)
            }
            ("GET", "/v1/rows-get") => self.get(request),
            ("GET", "/v1/rows-feed") => self.feed(request),
            ("GET", "/v1/machines") => Response::json(200, &json!({"machines": []})),
            _ => Response::empty(404),
        }
    }

    fn transact(&self, request: &Request) -> Response {
        let Ok(body) = serde_json::from_slice::<Value>(&request.body) else {
            return Response::empty(400);
        };
        let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let (expect, writes, remove) = (list("expect"), list("writes"), list("remove"));
        let entries = expect.len() + writes.len() + remove.len();
        let parts: Vec<&Value> = [&expect, &writes, &remove]
            .iter()
            .flat_map(|list| list.iter().map(|entry| &entry["part"]))
            .collect();
        let is_mixed = parts.windows(2).any(|pair| pair[0] != pair[1]);
        if entries > 100 || request.body.len() > 1_000_000 || is_mixed {
            return Response::json(400, &json!({"error": "too large or over several parts"}));
        }
        if writes
            .iter()
            .chain(&remove)
            .any(|entry| entry["table"] == "op" || entry["table"] == "servers")
        {
            return Response::empty(403);
        }
        for entry in &writes {
            let size = STANDARD
                .decode(entry["value"].as_str().unwrap_or_default())
                .map_or(usize::MAX, |bytes| bytes.len());
            if size > MAX_ROW_BYTES {
                self.record.line(format!(
                    "store refuses a row: table {} key {} has {size} bytes, maxRowBytes is {MAX_ROW_BYTES}",
                    entry["table"], entry["key"]
                ));
                return Response::json(400, &json!({"error": "the row exceeds maxRowBytes"}));
            }
        }
        let mut rows = self.rows.lock().unwrap();
        let holds = expect.iter().all(|entry| {
            let current = rows.rows.get(&key_of(entry)).map_or(0, |row| row.1);
            entry["rowVersion"].as_u64() == Some(current)
        });
        if !holds {
            let current: Vec<Value> = expect
                .iter()
                .filter_map(|entry| {
                    let key = key_of(entry);
                    let (value, version) = rows.rows.get(&key)?;
                    Some(row_json(&key, value, *version))
                })
                .collect();
            let body = json!({"rows": current, "rowVersion": rows.version, "nowMs": self.now_ms()});
            return Response::json(412, &body);
        }
        rows.version += 1;
        let version = rows.version;
        for entry in &writes {
            let value = entry["value"].as_str().unwrap_or_default().to_owned();
            rows.write(version, key_of(entry), value);
        }
        for entry in &remove {
            let key = key_of(entry);
            if rows.rows.remove(&key).is_some() {
                rows.history.push((version, key, None));
            }
        }
        self.changed.notify_all();
        Response::json(200, &json!({"rowVersion": version, "nowMs": self.now_ms()}))
    }

    fn get(&self, request: &Request) -> Response {
        let (table, part) = (request.parameter("table"), request.parameter("part"));
        let (from, to) = (request.parameter("from"), request.parameter("to"));
        let limit = request.parameter("limit").parse().unwrap_or(500).min(500);
        let rows = self.rows.lock().unwrap();
        let mut page = Vec::new();
        let mut bytes = 0;
        let mut more = false;
        for (key, (value, version)) in rows.rows.range((table.clone(), part.clone(), from)..) {
            if key.0 != table || key.1 != part || (!to.is_empty() && key.2 >= to) {
                break;
            }
            if page.len() == limit || bytes + value.len() > 1_000_000 {
                more = true;
                break;
            }
            bytes += value.len();
            page.push(row_json(key, value, *version));
        }
        let body = json!({"rows": page, "hasMore": more, "rowVersion": rows.version, "nowMs": self.now_ms()});
        Response::json(200, &body)
    }

    fn feed(&self, request: &Request) -> Response {
        let table = request.parameter("table");
        let after: u64 = request.parameter("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(request.parameter("waitMs").parse().unwrap_or(0));
        let until = Instant::now() + wait.min(Duration::from_secs(30));
        let mut rows = self.rows.lock().unwrap();
        loop {
            let changes: Vec<Value> = rows
                .history
                .iter()
                .filter(|(version, key, _)| *version > after && key.0 == table)
                .map(|(version, key, value)| match value {
                    Some(value) => row_json(key, value, *version),
                    None => json!({"table": key.0, "part": key.1, "key": key.2, "rowVersion": version, "deleted": true}),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !changes.is_empty() || left.is_zero() {
                let body =
                    json!({"rows": changes, "rowVersion": rows.version, "nowMs": self.now_ms()});
                return Response::json(200, &body);
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }
}

impl Rows {
    fn write(&mut self, version: u64, key: Key, value: String) {
        self.rows.insert(key.clone(), (value.clone(), version));
        self.history.push((version, key, Some(value)));
    }
}

fn key_of(entry: &Value) -> Key {
    let text = |name: &str| entry[name].as_str().unwrap_or_default().to_owned();
    (text("table"), text("part"), text("key"))
}

fn row_json(key: &Key, value: &str, version: u64) -> Value {
    json!({"table": key.0, "part": key.1, "key": key.2, "value": value, "rowVersion": version})
}
