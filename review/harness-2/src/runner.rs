//! Stand-ins of the runners: one `World` has them all, so that members of a gang find each other.
//!
//! Behaviour of a job's tasks is written in its `spec`: `ms` (work), `gang` (members of the step),
//! `saves` (whether it checkpoints), `fail` (ends as failed), `lasts` (never ends).

use crate::http::{Request, Response, Server, call};
use crate::record::{Record, draw};
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// `finished` holds this many ends at a time.
const ENDS_PER_ANSWER: usize = 500;
const MAX_HOLD_MS: u64 = 10_000;
const GANG_TIMEOUT: Duration = Duration::from_millis(3_000);
const CHECKPOINT_INTERVAL_MS: u64 = 2_000;
const RESTORE_MS: u64 = 600;
const STOP_TAKES: Duration = Duration::from_millis(150);
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const TICK: Duration = Duration::from_millis(10);

#[derive(Debug, Clone, Default)]
struct Work {
    ms: u64,
    gang: usize,
    saves: bool,
    fail: bool,
    lasts: bool,
}

impl Work {
    fn parse(spec: &str) -> Self {
        let value: Value = serde_json::from_str(spec).unwrap_or_default();
        let flag = |name: &str| value[name].as_bool().unwrap_or(false);
        Self {
            ms: value["ms"].as_u64().unwrap_or(100),
            gang: value["gang"].as_u64().unwrap_or(0) as usize,
            saves: flag("saves"),
            fail: flag("fail"),
            lasts: flag("lasts"),
        }
    }
}

#[derive(Debug, Clone)]
struct Run {
    run: u64,
    work: Work,
    arrived: Instant,
    /// Since when the run has worked; `None` while a gang is not complete.
    working: Option<Instant>,
    /// Work done before this run, by its checkpoint.
    base_ms: u64,
    carried: String,
    saved: String,
    stopping: Option<Instant>,
}

impl Run {
    fn worked_ms(&self, now: Instant) -> u64 {
        let restore = if self.carried.is_empty() {
            0
        } else {
            RESTORE_MS
        };
        let worked = self.working.map_or(0, |at| {
            (now.duration_since(at).as_millis() as u64).saturating_sub(restore)
        });
        (self.base_ms + worked).min(self.work.ms)
    }
}

#[derive(Debug, Clone)]
struct End {
    at: Instant,
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    saved: String,
}

/// One boot of a runner.
struct Boot {
    id: String,
    began: Instant,
    clock_base: u64,
    token: u64,
    deadline_ms: u64,
    runs: BTreeMap<String, Run>,
    ends: Vec<End>,
    end_count: u64,
    listed: u64,
    closed: HashMap<String, u64>,
    sequence: u64,
    /// Value of the clock at the last lapse of the lease under which something ran or ended.
    lapsed_at: Option<Instant>,
    /// Unix millisecond of the start, sent as `born` where the installation knows it.
    born: Option<u64>,
}

impl Boot {
    fn clock_ms(&self) -> u64 {
        self.clock_base + self.began.elapsed().as_millis() as u64
    }
}

/// A machine with a runner, or without one while the runner is down.
struct Machine {
    name: String,
    zone: String,
    rack: String,
    app: SocketAddr,
    check_ins: SocketAddr,
    cpu: u64,
    boots: u32,
    boot: Option<Boot>,
    draining: bool,
}

/// A start or an end, for the checks.
#[derive(Debug, Clone)]
pub struct Event {
    pub at: Duration,
    pub task: String,
    pub run: u64,
    pub machine: String,
    pub what: What,
    pub checkpoint: String,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum What {
    Start,
    End(&'static str),
    /// The end was taken note of: `ackCursor` reached it.
    Noted(&'static str),
    Killed,
}

#[derive(Default)]
struct State {
    machines: Vec<Machine>,
    events: Vec<Event>,
}

pub struct World {
    state: Mutex<State>,
    changed: Condvar,
    record: Arc<Record>,
    servers: Mutex<Vec<Option<Server>>>,
    /// Percentage of orders that get no answer and are carried out 2 to 12 s later.
    pub late_percent: AtomicU64,
    /// Whether runners send `born` (`demands/LATER.md`).
    pub sends_born: AtomicBool,
    /// Whether a runner starts again under the id that it had.
    pub keeps_id: AtomicBool,
}

impl World {
    pub fn new(record: Arc<Record>) -> Arc<Self> {
        let world = Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            record,
            servers: Mutex::default(),
            late_percent: AtomicU64::new(0),
            sends_born: AtomicBool::new(std::env::var_os("SAMEID").is_some()),
            keeps_id: AtomicBool::new(std::env::var_os("SAMEID").is_some()),
        });
        let ticking = world.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(TICK);
                ticking.tick();
            }
        });
        world
    }

    pub fn add_machine(
        self: &Arc<Self>,
        name: &str,
        zone: &str,
        rack: &str,
        app: SocketAddr,
        check_ins: SocketAddr,
        cpu: u64,
    ) -> usize {
        let mut state = self.state.lock().unwrap();
        state.machines.push(Machine {
            name: name.into(),
            zone: zone.into(),
            rack: rack.into(),
            app,
            check_ins,
            cpu,
            boots: 0,
            boot: None,
            draining: false,
        });
        let number = state.machines.len() - 1;
        self.servers.lock().unwrap().push(None);
        drop(state);
        let world = self.clone();
        std::thread::spawn(move || {
            loop {
                world.check_in(number);
                std::thread::sleep(HEARTBEAT);
            }
        });
        number
    }

    /// Starts the runner of a machine under a new id.
    pub fn boot(self: &Arc<Self>, number: usize) -> io::Result<()> {
        let app = {
            let mut state = self.state.lock().unwrap();
            let machine = &mut state.machines[number];
            machine.boots += 1;
            machine.draining = false;
            let shown = if self.keeps_id.load(Ordering::SeqCst) {
                1
            } else {
                machine.boots
            };
            let id = format!("i-{:04x}{shown:04x}", 0x7f30 + number);
            self.record
                .line(format!("runner {id} starts on {}", machine.name));
            machine.boot = Some(Boot {
                id,
                began: Instant::now(),
                clock_base: if machine.boots == 1 { 400_000 } else { 1_000 },
                token: 0,
                deadline_ms: 0,
                runs: BTreeMap::new(),
                ends: Vec::new(),
                end_count: 0,
                listed: 0,
                closed: HashMap::new(),
                sequence: 0,
                lapsed_at: None,
                born: self.sends_born.load(Ordering::SeqCst).then(unix_ms),
            });
            machine.app
        };
        let world = self.clone();
        let mut tries = 0;
        let server = loop {
            let world = world.clone();
            match Server::start(app, move |request| world.faulty_answer(number, request)) {
                Ok(server) => break server,
                Err(error) if tries > 50 => return Err(error),
                Err(_) => std::thread::sleep(Duration::from_millis(20)),
            }
            tries += 1;
        };
        self.servers.lock().unwrap()[number] = Some(server);
        let world = self.clone();
        std::thread::spawn(move || world.check_in(number));
        Ok(())
    }

    /// The runner crashes: all that runs there ends, and it answers nothing.
    pub fn crash(&self, number: usize) {
        let now = self.record.now();
        {
            let mut state = self.state.lock().unwrap();
            let state = &mut *state;
            let machine = &mut state.machines[number];
            if let Some(boot) = machine.boot.take() {
                self.record.line(format!(
                    "runner {} on {} crashes with {} runs",
                    boot.id,
                    machine.name,
                    boot.runs.len()
                ));
                for (task, run) in boot.runs {
                    state.events.push(Event {
                        at: now,
                        task,
                        run: run.run,
                        machine: machine.name.clone(),
                        what: What::Killed,
                        checkpoint: run.saved,
                    });
                }
            }
        }
        if let Some(server) = self.servers.lock().unwrap()[number].take() {
            server.stop();
        }
    }

    pub fn events(&self) -> Vec<Event> {
        self.state.lock().unwrap().events.clone()
    }

    /// Returns the machines on which a task of the job runs now.
    pub fn machines_of(&self, job: &str) -> Vec<usize> {
        let state = self.state.lock().unwrap();
        let runs = state.machines.iter().enumerate().filter(|(_, machine)| {
            machine
                .boot
                .as_ref()
                .is_some_and(|boot| boot.runs.keys().any(|task| task.starts_with(job)))
        });
        runs.map(|(number, _)| number).collect()
    }

    pub fn running(&self, number: usize) -> usize {
        let state = self.state.lock().unwrap();
        state.machines[number]
            .boot
            .as_ref()
            .map_or(0, |boot| boot.runs.len())
    }

    pub fn unacknowledged(&self, number: usize) -> usize {
        let state = self.state.lock().unwrap();
        state.machines[number]
            .boot
            .as_ref()
            .map_or(0, |boot| boot.ends.len())
    }

    fn check_in(&self, number: usize) -> Option<u16> {
        let (address, path, body) = {
            let mut state = self.state.lock().unwrap();
            let machine = &mut state.machines[number];
            let boot = machine.boot.as_mut()?;
            boot.sequence += 1;
            let mut body = json!({
                "service": "niveau-service", "address": machine.app.to_string(), "zone": machine.zone,
                "version": "v1", "slots": 8, "state": if machine.draining { "draining" } else { "ready" },
                "coldRemainingMs": 0,
                "capacity": {"cpu": machine.cpu, "memMb": 64_000, "gpu": 0},
                "labels": ["a", machine.rack], "clockMs": boot.clock_ms(), "sequence": boot.sequence,
            });
            if let Some(born) = boot.born {
                body["born"] = json!(born);
            }
            (
                machine.check_ins,
                format!("/v1/instances/{}/heartbeat", boot.id),
                body,
            )
        };
        let limit = Duration::from_millis(1_000);
        let answer = call(
            address,
            "POST",
            &path,
            &[],
            body.to_string().as_bytes(),
            limit,
        );
        Some(answer.ok()?.status)
    }

    fn tick(&self) {
        let now = Instant::now();
        let at = self.record.now();
        let mut state = self.state.lock().unwrap();
        let mut ended: Vec<(usize, String, &'static str)> = Vec::new();
        let mut gangs: HashMap<(String, u64), Vec<(usize, String)>> = HashMap::new();
        for (number, machine) in state.machines.iter_mut().enumerate() {
            let Some(boot) = &mut machine.boot else {
                continue;
            };
            if boot.clock_ms() > boot.deadline_ms {
                boot.lapsed_at = Some(now);
                ended.extend(
                    boot.runs
                        .keys()
                        .map(|task| (number, task.clone(), "lapsed")),
                );
                continue;
            }
            for (task, run) in &mut boot.runs {
                if run.stopping.is_some_and(|until| now >= until) {
                    ended.push((number, task.clone(), "stopped"));
                    continue;
                }
                if run.work.gang > 0 {
                    let step = task.rsplit_once('.').map_or("", |pair| pair.0);
                    let key = (step.to_owned(), run.run);
                    gangs.entry(key).or_default().push((number, task.clone()));
                }
                let worked = run.worked_ms(now);
                let kept = worked / CHECKPOINT_INTERVAL_MS * CHECKPOINT_INTERVAL_MS;
                if run.work.saves && kept > run.base_ms && run.working.is_some() {
                    run.saved = checkpoint(task, kept);
                }
                if run.working.is_some() && worked >= run.work.ms && !run.work.lasts {
                    let how = if run.work.fail { "failed" } else { "done" };
                    if run.work.gang == 0 {
                        ended.push((number, task.clone(), how));
                    }
                }
            }
        }
        for ((step, run), members) in gangs {
            self.tick_gang(&mut state, &step, run, &members, now, &mut ended);
        }
        let any = !ended.is_empty();
        for (number, task, how) in ended {
            end_run(&mut state, &self.record, number, &task, how, at, now);
        }
        if any {
            self.changed.notify_all();
        }
    }

    /// A gang works from the moment when all tasks of one run are present and carry the same
    /// checkpoint. A gang that has lost a member is broken.
    fn tick_gang(
        &self,
        state: &mut State,
        step: &str,
        run: u64,
        members: &[(usize, String)],
        now: Instant,
        ended: &mut Vec<(usize, String, &'static str)>,
    ) {
        let run_of = |state: &State, (number, task): &(usize, String)| {
            let boot = state.machines[*number].boot.as_ref()?;
            boot.runs.get(task).cloned()
        };
        let runs: Vec<Run> = members
            .iter()
            .filter_map(|member| run_of(state, member))
            .collect();
        let Some(first) = runs.first() else { return };
        let is_complete = runs.len() == first.work.gang;
        let is_working = runs.iter().any(|run| run.working.is_some());
        if is_working && !is_complete {
            ended.extend(
                members
                    .iter()
                    .map(|(number, task)| (*number, task.clone(), "broken")),
            );
            return;
        }
        if is_working {
            if first.worked_ms(now) >= first.work.ms {
                let how = if first.work.fail { "failed" } else { "done" };
                ended.extend(
                    members
                        .iter()
                        .map(|(number, task)| (*number, task.clone(), how)),
                );
            }
            return;
        }
        let is_same = runs.iter().all(|run| run.carried == first.carried);
        if is_complete && is_same {
            self.record
                .line(format!("gang {step} run {run} is complete and works"));
            for (number, task) in members {
                if let Some(boot) = &mut state.machines[*number].boot
                    && let Some(run) = boot.runs.get_mut(task)
                {
                    run.working = Some(now);
                }
            }
            return;
        }
        for ((number, task), run) in members.iter().zip(&runs) {
            if now.duration_since(run.arrived) >= GANG_TIMEOUT {
                ended.push((*number, task.clone(), "alone"));
            }
        }
    }

    fn faulty_answer(self: &Arc<Self>, number: usize, request: &Request) -> Option<Response> {
        if draw(100) >= self.late_percent.load(Ordering::SeqCst) {
            return self.answer(number, request);
        }
        let (world, copy) = (self.clone(), request.clone());
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(2_000 + draw(10_000)));
            world.answer(number, &copy)
        });
        std::thread::sleep(Duration::from_secs(15));
        None
    }

    fn answer(&self, number: usize, request: &Request) -> Option<Response> {
        if request.path == "/health" {
            return Some(Response::empty(200));
        }
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let mut state = self.state.lock().unwrap();
        {
            let boot = state.machines[number].boot.as_ref()?;
            let expected = request.header("waxwingfield-expected-instance");
            if expected.is_some_and(|id| id != boot.id) {
                return Some(Response::empty(421));
            }
        }
        let token = body["fencingToken"].as_u64().unwrap_or(0);
        {
            let boot = state.machines[number].boot.as_mut()?;
            if token < boot.token {
                return Some(refusal(boot, "fence"));
            }
            boot.token = token;
        }
        match request.path.as_str() {
            "/v1/run-start" => self.start(&mut state, number, &body),
            "/v1/run-stop" => {
                let boot = state.machines[number].boot.as_mut()?;
                let task = body["task"].as_str().unwrap_or_default();
                let run = body["run"].as_u64().unwrap_or(0);
                self.record
                    .line(format!("order to {}: stop {task} run {run}", boot.id));
                let now = Instant::now();
                if let Some(record) = boot.runs.get_mut(task)
                    && record.run == run
                {
                    record.stopping.get_or_insert(now + STOP_TAKES);
                }
                let closed = boot.closed.entry(task.into()).or_default();
                *closed = (*closed).max(run);
                Some(Response::json(200, &json!({"clockMs": boot.clock_ms()})))
            }
            "/v1/pace" => {
                let boot = state.machines[number].boot.as_ref()?;
                Some(Response::json(200, &json!({"clockMs": boot.clock_ms()})))
            }
            "/v1/hold" => {
                let at = self.record.now();
                hold(&mut state, number, &body, at);
                let wait = body["waitMs"].as_u64().unwrap_or(0).min(2_000);
                let until = Instant::now() + Duration::from_millis(wait);
                let id = state.machines[number].boot.as_ref()?.id.clone();
                loop {
                    let boot = state.machines[number].boot.as_mut()?;
                    if boot.id != id {
                        return None;
                    }
                    let page = boot.ends.iter().take(ENDS_PER_ANSWER);
                    let last = page.map(|end| end.number).max().unwrap_or(0);
                    let left = until.saturating_duration_since(Instant::now());
                    if last > boot.listed || left.is_zero() {
                        boot.listed = boot.listed.max(last);
                        return Some(Response::json(200, &hold_answer(boot)));
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
            }
            _ => Some(Response::empty(404)),
        }
    }

    fn start(&self, state: &mut State, number: usize, body: &Value) -> Option<Response> {
        let at = self.record.now();
        let machine = &mut state.machines[number];
        let boot = machine.boot.as_mut()?;
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run"].as_u64().unwrap_or(0);
        let deadline = body["deadlineMs"].as_u64().unwrap_or(0);
        let spec = body["spec"].as_str().unwrap_or_default();
        let carried = body["checkpoint"].as_str().unwrap_or_default().to_owned();
        if boot.runs.get(&task).is_some_and(|record| record.run == run) {
            return Some(Response::json(200, &json!({"clockMs": boot.clock_ms()})));
        }
        let is_old = boot.closed.get(&task).is_some_and(|closed| run <= *closed)
            || boot.runs.contains_key(&task);
        if is_old {
            extend(boot, deadline);
            return Some(refusal(boot, "old"));
        }
        if deadline <= boot.clock_ms() {
            return Some(refusal(boot, "late"));
        }
        extend(boot, deadline);
        let work = Work::parse(spec);
        let now = Instant::now();
        let base_ms = u64::from_str_radix(carried.get(..8).unwrap_or("0"), 16).unwrap_or(0);
        self.record.line(format!(
            "order to {}: start {task} run {run} checkpoint \"{carried}\"",
            boot.id
        ));
        let record = Run {
            run,
            arrived: now,
            working: (work.gang == 0).then_some(now),
            base_ms,
            saved: carried.clone(),
            carried: carried.clone(),
            stopping: None,
            work,
        };
        boot.runs.insert(task.clone(), record);
        let clock = boot.clock_ms();
        let event = Event {
            at,
            task,
            run,
            machine: machine.name.clone(),
            what: What::Start,
            checkpoint: carried,
        };
        state.events.push(event);
        Some(Response::json(200, &json!({"clockMs": clock})))
    }
}

/// A checkpoint as in the pages' example: the work done, and a part of the job's id.
fn checkpoint(task: &str, worked_ms: u64) -> String {
    format!("{worked_ms:08x}{}", task.get(4..12).unwrap_or_default())
}

fn extend(boot: &mut Boot, deadline_ms: u64) {
    let most = boot.clock_ms() + MAX_HOLD_MS;
    boot.deadline_ms = boot.deadline_ms.max(deadline_ms.min(most));
}

fn refusal(boot: &Boot, reason: &str) -> Response {
    Response::json(409, &json!({"clockMs": boot.clock_ms(), "reason": reason}))
}

fn end_run(
    state: &mut State,
    record: &Record,
    number: usize,
    task: &str,
    how: &'static str,
    at: Duration,
    now: Instant,
) {
    let machine = &mut state.machines[number];
    let Some(boot) = &mut machine.boot else {
        return;
    };
    let Some(run) = boot.runs.remove(task) else {
        return;
    };
    let mut saved = run.saved.clone();
    if how == "stopped" && run.work.saves && run.working.is_some() {
        saved = checkpoint(task, run.worked_ms(now));
    }
    boot.end_count += 1;
    boot.ends.push(End {
        at: now,
        number: boot.end_count,
        task: task.into(),
        run: run.run,
        how,
        saved: saved.clone(),
    });
    let closed = boot.closed.entry(task.into()).or_default();
    *closed = (*closed).max(run.run);
    record.line(format!(
        "run ends on {}: {task} run {} {how} saved \"{saved}\"",
        boot.id, run.run
    ));
    let event = Event {
        at,
        task: task.into(),
        run: run.run,
        machine: machine.name.clone(),
        what: What::End(how),
        checkpoint: saved,
    };
    state.events.push(event);
}

fn hold(state: &mut State, number: usize, body: &Value, at: Duration) {
    let machine = &mut state.machines[number];
    let Some(boot) = &mut machine.boot else {
        return;
    };
    if let Some(deadline) = body["deadlineMs"].as_u64() {
        extend(boot, deadline);
    }
    let cursor = body["ackCursor"].as_u64().unwrap_or(0);
    let (noted, kept): (Vec<End>, Vec<End>) =
        boot.ends.drain(..).partition(|end| end.number <= cursor);
    boot.ends = kept;
    let lapsed_at = boot.lapsed_at;
    let name = machine.name.clone();
    for end in noted {
        // An end does not count as noted if the lease lapsed between the two.
        if lapsed_at.is_some_and(|at| at > end.at) {
            continue;
        }
        state.events.push(Event {
            at,
            task: end.task,
            run: end.run,
            machine: name.clone(),
            what: What::Noted(end.how),
            checkpoint: end.saved,
        });
    }
}

fn hold_answer(boot: &Boot) -> Value {
    let now = Instant::now();
    let running: Vec<Value> = boot
        .runs
        .iter()
        .map(|(task, run)| {
            let percent = if run.work.lasts {
                100
            } else {
                run.worked_ms(now) * 100 / run.work.ms.max(1)
            };
            json!([task, run.run, run.saved, percent.min(100), 10])
        })
        .collect();
    let ends = boot.ends.iter().take(ENDS_PER_ANSWER);
    let finished: Vec<Value> = ends
        .map(|end| json!([end.number, end.task, end.run, end.how, end.saved]))
        .collect();
    let mut answer = json!({"clockMs": boot.clock_ms(), "running": running, "finished": finished});
    if let Some(born) = boot.born {
        answer["born"] = json!(born);
    }
    answer
}

impl World {
    /// Lines for each breach of the rule TWICE: two runs of a task at the same time on runners that
    /// are up, or a start after an end `done` that was taken note of then or later.
    ///
    /// No lease lapses in the cases that use this, except those that are reported as such.
    pub fn twice(&self) -> Vec<String> {
        let events = self.events();
        let mut live: HashMap<&str, Vec<(&str, u64)>> = HashMap::new();
        let mut done: HashMap<&str, (Duration, u64)> = HashMap::new();
        let mut late: Vec<(&str, Duration, u64, &Event)> = Vec::new();
        let mut breaches = Vec::new();
        for event in &events {
            let runs = live.entry(&event.task).or_default();
            match event.what {
                What::Start => {
                    if let Some((machine, run)) = runs.first() {
                        breaches.push(format!(
                            "two runs at once: {} run {run} on {machine}, and run {} on {} from {:.3}",
                            event.task,
                            event.run,
                            event.machine,
                            event.at.as_secs_f64()
                        ));
                    }
                    if let Some((at, run)) = done.get(event.task.as_str()) {
                        late.push((&event.task, *at, *run, event));
                    }
                    runs.push((&event.machine, event.run));
                }
                What::End(how) => {
                    runs.retain(|(machine, run)| *machine != event.machine || *run != event.run);
                    if how == "done" {
                        done.entry(&event.task).or_insert((event.at, event.run));
                    }
                }
                What::Killed => {
                    runs.retain(|(machine, run)| *machine != event.machine || *run != event.run);
                }
                What::Noted(_) => {}
            }
        }
        for (task, at, run, start) in late {
            let noted = events.iter().find(|event| {
                event.task == task && event.run == run && event.what == What::Noted("done")
            });
            if let Some(noted) = noted {
                breaches.push(format!(
                    "start after done: {task} run {run} ended done at {:.3}, noted at {:.3}; run {} started on {} at {:.3}",
                    at.as_secs_f64(),
                    noted.at.as_secs_f64(),
                    start.run,
                    start.machine,
                    start.at.as_secs_f64()
                ));
            }
        }
        breaches
    }
}

fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |span| span.as_millis() as u64)
}

impl World {
    /// A check-in of another writer under the id of a machine's runner. Fields are missing, and its
    /// `sequence` is the writer's own.
    pub fn foreign_check_in(&self, number: usize, body: &Value) {
        let (address, path) = {
            let state = self.state.lock().unwrap();
            let machine = &state.machines[number];
            let Some(boot) = &machine.boot else { return };
            (
                machine.check_ins,
                format!("/v1/instances/{}/heartbeat", boot.id),
            )
        };
        let limit = Duration::from_millis(1_000);
        let answer = call(
            address,
            "POST",
            &path,
            &[],
            body.to_string().as_bytes(),
            limit,
        );
        let answer = answer.map(|answer| answer.status);
        self.record
            .line(format!("another writer: POST {path} {body} -> {answer:?}"));
    }
}

impl World {
    /// Sends a check-in of a runner now; returns the status of the answer.
    pub fn report(&self, number: usize) -> Option<u16> {
        self.check_in(number)
    }
}

impl World {
    /// Lets the runners that start from now on send `born`.
    pub fn send_born(&self, sends: bool) {
        self.sends_born.fetch_or(sends, Ordering::SeqCst);
    }
}
