//! Workers ("runners") as PROTOCOL.md describes them. What a task does is written in the job's
//! `spec`: `{"steps":[{"ms":400,"gang":3},{"ms":1500}]}`, one entry for each step. With `uneven`, each
//! task of a step takes so many milliseconds longer than the one before.

use crate::http::{self, Handler, Req, Resp, json, serve};
use crate::record::Record;
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// `gangTimeoutMs` of the settings.
const GANG_TIMEOUT_MS: u64 = 3_000;
/// Usual time of an answer.
const USUAL: Duration = Duration::from_millis(6);
/// `heartbeatMs` of the settings.
const CHECK_IN: Duration = Duration::from_millis(1_500);

struct Run {
    run: u64,
    ms: u64,
    gang: usize,
    lasts: bool,
    /// Start of the run, and of its work, on the fleet's clock in milliseconds.
    began: u64,
    works_since: Option<u64>,
}

#[derive(Default)]
struct Worker {
    token: u64,
    lease_ms: u64,
    running: BTreeMap<String, Run>,
    ends: Vec<(u64, String, u64, &'static str)>,
    count: u64,
    closed: HashMap<String, u64>,
}

/// One run from its start to its end.
#[derive(Debug, Clone)]
pub struct Span {
    pub task: String,
    pub run: u64,
    pub worker: usize,
    pub token: u64,
    pub began_ms: u64,
    pub ended: Option<(u64, &'static str)>,
    pub acked_ms: Option<u64>,
}

#[derive(Default)]
struct State {
    workers: Vec<Worker>,
    spans: Vec<Span>,
}

pub struct Fleet {
    state: Mutex<State>,
    changed: Condvar,
    began: Instant,
    record: Arc<Record>,
    service: String,
    capacity: Value,
    /// Time by which the answers to one in three calls are late.
    answers_after: Mutex<Duration>,
    calls: AtomicUsize,
}

fn step_of(task: &str) -> (String, usize) {
    let mut parts = task.rsplitn(3, '.');
    let _index = parts.next();
    let step: usize = parts.next().and_then(|part| part.parse().ok()).unwrap_or(0);
    (format!("{}.{step}", parts.next().unwrap_or_default()), step)
}

fn index_of(task: &str) -> u64 {
    task.rsplit('.').next().and_then(|part| part.parse().ok()).unwrap_or(0)
}

impl Fleet {
    pub fn start(workers: usize, service: &str, capacity: Value, record: Arc<Record>) -> Arc<Self> {
        let fleet = Arc::new(Self {
            state: Mutex::new(State {
                workers: (0..workers).map(|_| Worker::default()).collect(),
                spans: Vec::new(),
            }),
            changed: Condvar::new(),
            began: Instant::now(),
            record,
            service: service.to_owned(),
            capacity,
            answers_after: Mutex::default(),
            calls: AtomicUsize::new(0),
        });
        let ticking = fleet.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(4));
                ticking.tick();
            }
        });
        fleet
    }

    fn clock(&self) -> u64 {
        self.began.elapsed().as_millis() as u64 + 1
    }

    /// Sets by how much the answers to one in three calls are late. All calls are executed at once.
    pub fn set_answers_after(&self, time: Duration) {
        *self.answers_after.lock().unwrap() = time;
    }

    pub fn spans(&self) -> Vec<Span> {
        self.state.lock().unwrap().spans.clone()
    }

    /// Number of ends that a worker lists and that are not taken note of.
    pub fn listed(&self, worker: usize) -> usize {
        self.state.lock().unwrap().workers[worker].ends.len()
    }

    /// Highest fencing token that a worker has seen.
    pub fn token(&self, worker: usize) -> u64 {
        self.state.lock().unwrap().workers[worker].token
    }

    fn end(&self, state: &mut State, worker: usize, task: &str, how: &'static str) {
        let now = self.record.now_ms();
        let Some(run) = state.workers[worker].running.remove(task) else {
            return;
        };
        let at = &mut state.workers[worker];
        at.count += 1;
        at.ends.push((at.count, task.to_owned(), run.run, how));
        let closed = at.closed.entry(task.to_owned()).or_default();
        *closed = (*closed).max(run.run);
        let is_this = |span: &&mut Span| span.worker == worker && span.task == task && span.run == run.run && span.ended.is_none();
        if let Some(span) = state.spans.iter_mut().rev().find(is_this) {
            span.ended = Some((now, how));
        }
        self.record.line(&format!("worker {worker}: end   {task} run {} {how}", run.run));
        // The other members of a gang cannot work on.
        if run.gang > 1 && how != "done" {
            let (step, _) = step_of(task);
            let mut others = Vec::new();
            for (other, record) in state.workers.iter().enumerate() {
                for (name, member) in &record.running {
                    if member.run == run.run && step_of(name).0 == step {
                        others.push((other, name.clone(), member.works_since.is_some()));
                    }
                }
            }
            for (other, name, works) in others {
                if works {
                    self.end(state, other, &name, "broken");
                }
            }
        }
    }

    fn tick(&self) {
        let mut guard = self.state.lock().unwrap();
        let state = &mut *guard;
        let now = self.clock();
        // Gangs begin their work once all members of a run are there.
        let mut present: HashMap<(String, u64), usize> = HashMap::new();
        for worker in &state.workers {
            for (task, run) in worker.running.iter().filter(|(_, run)| run.gang > 1) {
                *present.entry((step_of(task).0, run.run)).or_default() += 1;
            }
        }
        for worker in &mut state.workers {
            for (task, run) in &mut worker.running {
                let is_there = run.gang <= 1 || present[&(step_of(task).0, run.run)] >= run.gang;
                if run.works_since.is_none() && is_there {
                    run.works_since = Some(now);
                }
            }
        }
        let mut ends = Vec::new();
        for (number, worker) in state.workers.iter().enumerate() {
            for (task, run) in &worker.running {
                let how = match run.works_since {
                    _ if now > worker.lease_ms => "lapsed",
                    Some(since) if !run.lasts && now >= since + run.ms => "done",
                    None if now >= run.began + GANG_TIMEOUT_MS => "alone",
                    _ => continue,
                };
                ends.push((number, task.clone(), how));
            }
        }
        let any = !ends.is_empty();
        // The members of a gang end done together: first all that are done.
        ends.sort_by_key(|(_, _, how)| *how != "done");
        for (worker, task, how) in ends {
            self.end(state, worker, &task, how);
        }
        drop(guard);
        if any {
            self.changed.notify_all();
        }
    }

    fn refused(&self, reason: &str) -> Resp {
        json(409, &json!({ "clockMs": self.clock(), "reason": reason }))
    }

    fn handle(&self, worker: usize, id: &str, request: &Req) -> Resp {
        if request.header("waxwingfield-expected-instance").is_some_and(|expected| expected != id) {
            return Resp::Answer(421, Vec::new());
        }
        let Ok(body) = serde_json::from_slice::<Value>(&request.body) else {
            return Resp::Answer(400, Vec::new());
        };
        let token = body["fencingToken"].as_u64().unwrap_or(0);
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run"].as_u64().unwrap_or(0);
        let mut guard = self.state.lock().unwrap();
        let state = &mut *guard;
        let at = &mut state.workers[worker];
        if token < at.token {
            self.record.line(&format!("worker {worker}: fence {} {task} run {run} token {token}", request.path));
            return self.refused("fence");
        }
        at.token = token;
        let deadline = body["deadlineMs"].as_u64().unwrap_or(0).min(self.clock() + 10_000);
        let now = self.clock();
        match request.path.as_str() {
            "/v1/run-start" => {
                if at.running.get(&task).is_some_and(|known| known.run == run) {
                    return json(200, &json!({ "clockMs": now }));
                }
                if at.closed.get(&task).is_some_and(|closed| run <= *closed) || at.running.contains_key(&task) {
                    at.lease_ms = at.lease_ms.max(deadline);
                    return self.refused("old");
                }
                if deadline <= now {
                    return self.refused("late");
                }
                at.lease_ms = at.lease_ms.max(deadline);
                let spec: Value = serde_json::from_str(body["spec"].as_str().unwrap_or_default()).unwrap_or_default();
                let work = &spec["steps"][step_of(&task).1];
                at.running.insert(
                    task.clone(),
                    Run {
                        run,
                        ms: work["ms"].as_u64().unwrap_or(100) + work["uneven"].as_u64().unwrap_or(0) * index_of(&task),
                        gang: work["gang"].as_u64().unwrap_or(0) as usize,
                        lasts: work["lasts"].as_bool().unwrap_or(false),
                        began: now,
                        works_since: None,
                    },
                );
                self.record.line(&format!("worker {worker}: start {task} run {run} token {token}"));
                let began_ms = self.record.now_ms();
                state.spans.push(Span { task, run, worker, token, began_ms, ended: None, acked_ms: None });
                json(200, &json!({ "clockMs": now }))
            }
            "/v1/run-stop" => {
                if at.running.get(&task).is_some_and(|known| known.run <= run) {
                    self.end(state, worker, &task, "stopped");
                    self.changed.notify_all();
                }
                let closed = state.workers[worker].closed.entry(task).or_default();
                *closed = (*closed).max(run);
                json(200, &json!({ "clockMs": now }))
            }
            "/v1/pace" => json(200, &json!({ "clockMs": now })),
            "/v1/hold" => {
                at.lease_ms = at.lease_ms.max(deadline);
                let cursor = body["ackCursor"].as_u64().unwrap_or(0);
                let acked: Vec<_> = at.ends.iter().filter(|end| end.0 <= cursor).cloned().collect();
                at.ends.retain(|end| end.0 > cursor);
                let now_ms = self.record.now_ms();
                for (_, task, run, how) in acked {
                    self.record.line(&format!("worker {worker}: noted {task} run {run} {how}"));
                    let is_this = |span: &&mut Span| span.worker == worker && span.task == task && span.run == run;
                    if let Some(span) = state.spans.iter_mut().rev().find(is_this) {
                        span.acked_ms = Some(now_ms);
                    }
                }
                let wait = body["waitMs"].as_u64().unwrap_or(0).min(2_000);
                let ends = Instant::now() + Duration::from_millis(wait);
                let count = state.workers[worker].count;
                loop {
                    let left = ends.saturating_duration_since(Instant::now());
                    if left.is_zero() || guard.workers[worker].count > count {
                        break;
                    }
                    guard = self.changed.wait_timeout(guard, left).unwrap().0;
                }
                let at = &guard.workers[worker];
                let now = self.clock();
                let running: Vec<Value> = at
                    .running
                    .iter()
                    .map(|(task, run)| {
                        let worked = run.works_since.map_or(0, |since| now.saturating_sub(since));
                        let percent = if run.lasts { 100 } else { (worked * 100 / run.ms.max(1)).min(99) };
                        json!([task, run.run, "", percent, 0])
                    })
                    .collect();
                let finished: Vec<Value> =
                    at.ends.iter().take(500).map(|(n, task, run, how)| json!([n, task, run, how, ""])).collect();
                json(200, &json!({ "clockMs": now, "running": running, "finished": finished }))
            }
            _ => Resp::Answer(404, Vec::new()),
        }
    }

    /// Serves a worker's orders at `listener` and sends its check-ins to its agent.
    pub fn serve(self: &Arc<Self>, worker: usize, listener: TcpListener, agent: SocketAddr, zone: &str) {
        let id = format!("i-worker-{worker}");
        let address = listener.local_addr().unwrap().to_string();
        let (fleet, name) = (self.clone(), id.clone());
        let handler: Handler = Arc::new(move |request| {
            let resp = fleet.handle(worker, &name, &request);
            let time = *fleet.answers_after.lock().unwrap();
            // A fixed pattern without a short period.
            thread::sleep(USUAL);
            if fleet.calls.fetch_add(1, Ordering::SeqCst) * 7919 % 1000 < 333 {
                thread::sleep(time);
            }
            resp
        });
        serve(listener, handler);
        let (fleet, zone) = (self.clone(), zone.to_owned());
        thread::spawn(move || {
            let path = format!("/v1/instances/{id}/heartbeat");
            for sequence in 1.. {
                let body = json!({
                    "service": fleet.service, "address": address, "zone": zone, "version": "v1", "slots": 8,
                    "state": "ready", "coldRemainingMs": 0, "capacity": fleet.capacity,
                    "labels": ["a", format!("r1-{}", worker / 3)], "clockMs": fleet.clock(), "sequence": sequence,
                });
                let headers = [("content-type", "application/json")];
                let answer = http::call(agent, "POST", &path, &headers, body.to_string().as_bytes(), Duration::from_secs(1));
                // A check-in that fails is sent again soon, as the next node would be called.
                let pause = if answer.is_ok() { CHECK_IN } else { Duration::from_millis(200) };
                thread::sleep(pause);
            }
        });
    }
}
