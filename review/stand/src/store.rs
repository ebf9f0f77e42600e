//! The platform's store as PROTOCOL.md describes it: rows, transactions, a feed of changes. Each
//! machine has a door of its own, so that a machine can be cut off from the store.

use crate::http::{Handler, Req, Resp, json, serve};
use crate::net::translate_value;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// `maxRowBytes` of the settings.
const MAX_ROW_BYTES: usize = 65_536;
/// Time of an answer of the store itself.
const ANSWER: Duration = Duration::from_millis(4);
/// `transactionMs` of the settings.
const TRANSACTION: Duration = Duration::from_millis(5);

type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    rows: BTreeMap<Key, (Vec<u8>, u64)>,
    /// Table, part, key, value (`None` if removed) and version of each change.
    history: Vec<(Key, Option<Vec<u8>>, u64)>,
    version: u64,
}

/// How a machine's way to the store is disturbed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Door {
    #[default]
    Open,
    /// Calls get no answer and have no effect.
    Silent,
    /// Connections are broken; calls have no effect.
    Reset,
}

pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    doors: Mutex<Vec<Door>>,
    began: Instant,
    /// Time of the way between a machine and the store.
    one_way: Duration,
}

fn text(value: &Value, name: &str) -> String {
    value[name].as_str().unwrap_or_default().to_owned()
}

fn key_of(value: &Value) -> Key {
    (text(value, "table"), text(value, "part"), text(value, "key"))
}

fn encode(bytes: &[u8]) -> String {
    use base64::Engine;
    base64::engine::general_purpose::STANDARD.encode(bytes)
}

fn decode(text: &str) -> Option<Vec<u8>> {
    use base64::Engine;
    base64::engine::general_purpose::STANDARD.decode(text).ok()
}

impl Store {
    pub fn new(doors: usize, one_way: Duration) -> Arc<Self> {
        Arc::new(Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            doors: Mutex::new(vec![Door::Open; doors]),
            began: Instant::now(),
            one_way,
        })
    }

    /// Serves the machine with this number.
    pub fn open_door(self: &Arc<Self>, listener: TcpListener, machine: usize) {
        let store = self.clone();
        let handler: Handler = Arc::new(move |request| store.handle(machine, &request));
        serve(listener, handler);
    }

    pub fn set_door(&self, machine: usize, door: Door) {
        self.doors.lock().unwrap()[machine] = door;
        self.changed.notify_all();
    }

    fn door(&self, machine: usize) -> Door {
        self.doors.lock().unwrap()[machine]
    }

    /// Writes a row as the operator.
    pub fn operator_write(&self, key: &str, value: &Value) {
        let key = ("op".to_owned(), String::new(), key.to_owned());
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let value = value.to_string().into_bytes();
        rows.rows.insert(key.clone(), (value.clone(), version));
        rows.history.push((key, Some(value), version));
        self.changed.notify_all();
    }

    /// Returns the value of a row.
    pub fn row(&self, table: &str, part: &str, key: &str) -> Option<Vec<u8>> {
        let key = (table.to_owned(), part.to_owned(), key.to_owned());
        self.rows.lock().unwrap().rows.get(&key).map(|row| row.0.clone())
    }

    fn blocked(&self, machine: usize) -> Option<Resp> {
        match self.door(machine) {
            Door::Open => None,
            Door::Silent => Some(Resp::Hang),
            Door::Reset => Some(Resp::Close),
        }
    }

    fn handle(self: &Arc<Self>, machine: usize, request: &Req) -> Resp {
        if let Some(resp) = self.blocked(machine) {
            return resp;
        }
        std::thread::sleep(self.one_way);
        let resp = match request.path.as_str() {
            "/v1/rows-tx" => self.transact(machine, request),
            "/v1/rows-get" => self.get(machine, request),
            "/v1/rows-feed" => self.feed(machine, request),
            _ => Resp::Answer(404, Vec::new()),
        };
        std::thread::sleep(self.one_way);
        // An answer that meets a cut is lost.
        self.blocked(machine).unwrap_or(resp)
    }

    fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn transact(self: &Arc<Self>, machine: usize, request: &Req) -> Resp {
        let Ok(body) = serde_json::from_slice::<Value>(&request.body) else {
            return Resp::Answer(400, Vec::new());
        };
        let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let (expect, writes, remove) = (list("expect"), list("writes"), list("remove"));
        if expect.len() + writes.len() + remove.len() > 100 || request.body.len() > 1_000_000 {
            return Resp::Answer(400, Vec::new());
        }
        let mut values = Vec::new();
        for write in &writes {
            let Some(value) = decode(write["value"].as_str().unwrap_or_default()) else {
                return Resp::Answer(400, Vec::new());
            };
            if value.len() > MAX_ROW_BYTES {
                return Resp::Answer(400, Vec::new());
            }
            if matches!(write["table"].as_str(), Some("op" | "servers")) {
                return Resp::Answer(403, Vec::new());
            }
            let key = key_of(write);
            let value = translate_value(&key.0, value, None);
            values.push((key, value));
        }
        let expect: Vec<(Key, u64)> = expect
            .iter()
            .map(|row| (key_of(row), row["rowVersion"].as_u64().unwrap_or(0)))
            .collect();
        let remove: Vec<Key> = remove.iter().map(key_of).collect();
        std::thread::sleep(TRANSACTION);
        match self.apply(&expect, values, &remove) {
            Ok(version) => json(200, &json!({ "rowVersion": version, "nowMs": self.now_ms() })),
            Err((rows, version)) => {
                let rows: Vec<Value> = rows.into_iter().map(|(key, value, version)| row_json(machine, &key, &value, version)).collect();
                json(412, &json!({ "rows": rows, "rowVersion": version, "nowMs": self.now_ms() }))
            }
        }
    }

    #[allow(clippy::type_complexity)]
    fn apply(
        &self,
        expect: &[(Key, u64)],
        values: Vec<(Key, Vec<u8>)>,
        remove: &[Key],
    ) -> Result<u64, (Vec<(Key, Vec<u8>, u64)>, u64)> {
        let mut rows = self.rows.lock().unwrap();
        let holds = |(key, version): &(Key, u64)| rows.rows.get(key).map_or(0, |row| row.1) == *version;
        if !expect.iter().all(holds) {
            let found = expect.iter().filter_map(|(key, _)| rows.rows.get(key).map(|row| (key.clone(), row.0.clone(), row.1)));
            return Err((found.collect(), rows.version));
        }
        rows.version += 1;
        let version = rows.version;
        for (key, value) in values {
            rows.rows.insert(key.clone(), (value.clone(), version));
            rows.history.push((key, Some(value), version));
        }
        for key in remove {
            if rows.rows.remove(key).is_some() {
                rows.history.push((key.clone(), None, version));
            }
        }
        self.changed.notify_all();
        Ok(version)
    }

    fn get(&self, machine: usize, request: &Req) -> Resp {
        std::thread::sleep(ANSWER);
        let (table, part) = (request.param("table"), request.param("part"));
        let (from, to) = (request.param("from"), request.param("to"));
        let limit = request.param("limit").parse().unwrap_or(500).min(500);
        let rows = self.rows.lock().unwrap();
        let start = (table.clone(), part.clone(), from);
        let mut page = Vec::new();
        let mut more = false;
        for ((in_table, in_part, key), (value, version)) in rows.rows.range(start..) {
            if *in_table != table || *in_part != part || (!to.is_empty() && *key >= to) {
                break;
            }
            if page.len() == limit {
                more = true;
                break;
            }
            let key = (in_table.clone(), in_part.clone(), key.clone());
            page.push(row_json(machine, &key, value, *version));
        }
        json(200, &json!({ "rows": page, "hasMore": more, "rowVersion": rows.version, "nowMs": self.now_ms() }))
    }

    fn feed(&self, machine: usize, request: &Req) -> Resp {
        let table = request.param("table");
        let after: u64 = request.param("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(request.param("waitMs").parse().unwrap_or(0));
        let ends = Instant::now() + wait;
        // The way there and back, and the store's own time.
        std::thread::sleep(ANSWER);
        let mut rows = self.rows.lock().unwrap();
        loop {
            let from = rows.history.partition_point(|change| change.2 <= after);
            let changes: Vec<Value> = rows.history[from..]
                .iter()
                .filter(|(key, _, _)| key.0 == table)
                .map(|(key, value, version)| match value {
                    Some(value) => row_json(machine, key, value, *version),
                    None => json!({ "table": key.0, "part": key.1, "key": key.2, "rowVersion": version, "deleted": true }),
                })
                .collect();
            let left = ends.saturating_duration_since(Instant::now());
            if !changes.is_empty() || left.is_zero() || self.door(machine) != Door::Open {
                return json(200, &json!({ "rows": changes, "rowVersion": rows.version, "nowMs": self.now_ms() }));
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }
}

fn row_json(machine: usize, key: &Key, value: &[u8], version: u64) -> Value {
    let value = translate_value(&key.0, value.to_vec(), Some(machine));
    json!({ "table": key.0, "part": key.1, "key": key.2, "value": encode(&value), "rowVersion": version })
}
