//! Stand-in of the platform's store: rows, transactions and the feed, as PROTOCOL.md describes them.

use crate::http::{Reply, Request, Server};
use crate::record::Record;
use crate::site::random;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    rows: BTreeMap<Key, (String, u64)>,
    /// Changes in order: table, the row as it is sent, its version.
    history: Vec<(String, Value, u64)>,
    version: u64,
    written_at: Option<Instant>,
}

#[derive(Clone)]
pub struct Store {
    rows: Arc<(Mutex<Rows>, Condvar)>,
    began_at: Instant,
    trouble: Arc<Mutex<Trouble>>,
}

/// Disruption of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Trouble {
    #[default]
    None,
    /// Every call is answered with 503.
    Busy,
    /// No call is answered.
    Silent,
    /// This share of the transactions, in percent, is done and not answered.
    Lost(u64),
    /// The same, but done 1 to 6 s later, if the conditions still hold.
    Late(u64),
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk.iter().fold(0_u32, |sum, byte| sum << 8 | u32::from(*byte)) << (8 * (3 - chunk.len()));
        for place in 0..4 {
            match place <= chunk.len() {
                true => text.push(char::from(BASE64[(group >> (18 - 6 * place) & 63) as usize])),
                false => text.push('='),
            }
        }
    }
    text
}

fn key_of(entry: &Value) -> Key {
    let field = |name: &str| entry[name].as_str().unwrap_or_default().to_owned();
    (field("table"), field("part"), field("key"))
}

fn row_of((table, part, key): &Key, value: &str, version: u64) -> Value {
    json!({"table": table, "part": part, "key": key, "value": value, "rowVersion": version})
}

impl Store {
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let store = Self {
            rows: Arc::default(),
            began_at: Instant::now(),
            trouble: Arc::default(),
        };
        let serving = store.clone();
        Server::start(address, move |request| serving.answer(&request))?;
        Ok(store)
    }

    fn now_ms(&self) -> u64 {
        self.began_at.elapsed().as_millis() as u64 + 50_000
    }

    pub fn set_trouble(&self, record: &Record, trouble: Trouble) {
        record.note(&format!("the store's trouble: {trouble:?}"));
        *self.trouble.lock().unwrap() = trouble;
    }

    fn answer(&self, request: &Request) -> Reply {
        let trouble = *self.trouble.lock().unwrap();
        let is_tx = request.path == "/v1/rows-tx";
        match trouble {
            Trouble::Busy => return Reply::empty(503),
            Trouble::Silent => return Reply::Silence,
            Trouble::Lost(percent) if is_tx && random() % 100 < percent => {
                self.transact(&serde_json::from_slice(&request.body).unwrap_or_default());
                return Reply::Silence;
            }
            Trouble::Late(percent) if is_tx && random() % 100 < percent => {
                let late = self.clone();
                let body = serde_json::from_slice(&request.body).unwrap_or_default();
                thread::spawn(move || {
                    thread::sleep(Duration::from_millis(1_000 + random() % 5_000));
                    late.transact(&body);
                });
                return Reply::Silence;
            }
            _ => {}
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/v1/rows-tx") => {
                let body = serde_json::from_slice(&request.body).unwrap_or_default();
                // `transactionMs`
                thread::sleep(Duration::from_millis(5));
                self.transact(&body)
            }
            ("GET", "/v1/rows-get") => self.get(request),
            ("GET", "/v1/rows-feed") => self.feed(request),
            _ => Reply::empty(404),
        }
    }

    fn transact(&self, body: &Value) -> Reply {
        let entries = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let (expect, writes, remove) = (entries("expect"), entries("writes"), entries("remove"));
        let is_operators = |entry: &Value| matches!(entry["table"].as_str(), Some("op" | "servers"));
        if writes.iter().chain(&remove).any(is_operators) {
            return Reply::empty(403);
        }
        if expect.len() + writes.len() + remove.len() > 100 {
            return Reply::empty(400);
        }
        let mut rows = self.rows.0.lock().unwrap();
        let holds = |entry: &Value| {
            let version = rows.rows.get(&key_of(entry)).map_or(0, |(_, version)| *version);
            entry["rowVersion"].as_u64() == Some(version)
        };
        if !expect.iter().all(holds) {
            let current = expect.iter().filter_map(|entry| {
                let key = key_of(entry);
                let (value, version) = rows.rows.get(&key)?;
                Some(row_of(&key, value, *version))
            });
            let current: Vec<Value> = current.collect();
            let answer = json!({"rows": current, "rowVersion": rows.version, "nowMs": self.now_ms()});
            return Reply::json(412, &answer);
        }
        rows.version += 1;
        rows.written_at = Some(Instant::now());
        let version = rows.version;
        for entry in &writes {
            let key = key_of(entry);
            let value = entry["value"].as_str().unwrap_or_default().to_owned();
            rows.history.push((key.0.clone(), row_of(&key, &value, version), version));
            rows.rows.insert(key, (value, version));
        }
        for entry in &remove {
            let key = key_of(entry);
            if rows.rows.remove(&key).is_some() {
                let mut row = row_of(&key, "", version);
                row["deleted"] = true.into();
                rows.history.push((key.0.clone(), row, version));
            }
        }
        drop(rows);
        self.rows.1.notify_all();
        Reply::json(200, &json!({"rowVersion": version, "nowMs": self.now_ms()}))
    }

    fn get(&self, request: &Request) -> Reply {
        let (table, part) = (request.parameter("table"), request.parameter("part"));
        let (from, to) = (request.parameter("from"), request.parameter("to"));
        let limit = request.parameter("limit").parse().unwrap_or(500).min(500);
        let rows = self.rows.0.lock().unwrap();
        let in_range = rows.rows.iter().filter(|((of, in_part, key), _)| {
            of == table && in_part == part && key.as_str() >= from && (to.is_empty() || key.as_str() < to)
        });
        let mut found: Vec<Value> = in_range
            .take(limit + 1)
            .map(|(key, (value, version))| row_of(key, value, *version))
            .collect();
        let has_more = found.len() > limit;
        found.truncate(limit);
        let answer = json!({
            "rows": found, "hasMore": has_more, "rowVersion": rows.version, "nowMs": self.now_ms()
        });
        Reply::json(200, &answer)
    }

    fn feed(&self, request: &Request) -> Reply {
        let table = request.parameter("table");
        let after: u64 = request.parameter("after").parse().unwrap_or(0);
        let wait: u64 = request.parameter("waitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut rows = self.rows.0.lock().unwrap();
        loop {
            let changed = rows.history.iter().filter(|(of, _, version)| of == table && *version > after);
            let changed: Vec<Value> = changed.map(|(_, row, _)| row.clone()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                let answer = json!({"rows": changed, "rowVersion": rows.version, "nowMs": self.now_ms()});
                return Reply::json(200, &answer);
            }
            rows = self.rows.1.wait_timeout(rows, left).unwrap().0;
        }
    }

    /// Returns how long ago the last transaction was applied.
    pub fn write_age(&self) -> Duration {
        let rows = self.rows.0.lock().unwrap();
        rows.written_at.map_or(Duration::MAX, |at| at.elapsed())
    }

    /// Writes a row as the operator does, who needs no condition.
    pub fn put_as_operator(&self, record: &Record, key: &str, value: &Value) {
        let row_key = ("op".to_owned(), String::new(), key.to_owned());
        let text = base64(value.to_string().as_bytes());
        let mut rows = self.rows.0.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let row = row_of(&row_key, &text, version);
        rows.history.push(("op".to_owned(), row, version));
        rows.rows.insert(row_key, (text, version));
        drop(rows);
        self.rows.1.notify_all();
        record.note(&format!("operator writes op/{key}: {value}"));
    }
}
