//! Stand-ins of the runners and of the placement advisor, as PROTOCOL.md describes them. All runners
//! share one state, so that the members of a gang know of each other.

use crate::http::{Reply, Request, Server, call};
use crate::record::Record;
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use crate::site::random;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Time that a stop takes; `stopTimeoutMs` is 400 or more.
const STOP_MS: u64 = 300;
/// `gangTimeoutMs`
const GANG_TIMEOUT_MS: u64 = 3_000;
/// `checkpointIntervalS`
const CHECKPOINT_MS: u64 = 2_000;
/// Time after the start of a task that lasts until it is at work.
const STARTUP_MS: u64 = 300;
const BEAT_MS: u64 = 1_500;

/// Something that a runner has seen.
#[derive(Debug, Clone)]
pub struct Event {
    pub at_ms: u64,
    /// `start`, the `how` of an end, `killed`, or `rejected`.
    pub what: String,
    pub task: String,
    pub run: u64,
    /// Number of the runner.
    pub runner: usize,
    /// Checkpoint of a start or an end; reason of a rejection.
    pub detail: String,
}

#[derive(Debug, Clone, Copy, Default)]
struct StepKind {
    count: u64,
    gang: bool,
    lasts: bool,
    saves: bool,
    cpu: u64,
}

#[derive(Debug, Clone)]
struct Run {
    run: u64,
    kind: StepKind,
    came_with: String,
    saved: String,
    began_ms: u64,
    /// Work done before this run, by its checkpoint.
    base_ms: u64,
    /// Time from which the run works; `None` while its gang isn't complete.
    works_since: Option<u64>,
    ends_by_stop_at: Option<u64>,
    /// Work after which the task ends, and how.
    work_ms: u64,
    ends_as: &'static str,
}

impl Run {
    fn worked_ms(&self, now: u64) -> u64 {
        self.works_since.map_or(0, |since| self.base_ms + now.saturating_sub(since))
    }
}

struct Runner {
    id: String,
    boots: u32,
    is_up: bool,
    app: SocketAddr,
    control: SocketAddr,
    zone: String,
    rack: String,
    booted_ms: u64,
    /// Unix millisecond of the start.
    born_ms: u64,
    token: u64,
    lease_ms: u64,
    running: BTreeMap<String, Run>,
    ends: Vec<(u64, String, u64, String, String)>,
    end_count: u64,
    closed: HashMap<String, u64>,
    sequence: u64,
    server: Option<Server>,
}

#[derive(Default)]
struct World {
    runners: Vec<Runner>,
    /// Jobs as clients have sent them, by id.
    jobs: HashMap<String, Value>,
    /// Ids of the jobs in queues that need advice.
    advised: Vec<String>,
    /// Tickets with their expiry, by step and id of the runner.
    tickets: HashMap<(String, String), (String, u64)>,
    /// Number of starts of each task.
    starts: HashMap<String, u64>,
    /// Share of the starts, in percent, that are left unanswered and carried out 2 to 12 s later.
    late_percent: u64,
    events: Vec<Event>,
}

#[derive(Clone)]
pub struct Runners {
    world: Arc<Mutex<World>>,
    record: Record,
    /// `maxHoldMs`
    max_hold_ms: u64,
    /// Whether runners say when they were started.
    has_born: bool,
}

/// Size of a runner.
pub const RUNNER_CPU: u64 = 16_000;
const RUNNER_MEM_MB: u64 = 64_000;
/// Name of the service of all runners.
pub const SERVICE: &str = "dele69a";
/// `decisionMs`, `perWorkerMs`, `validityMs` of the advisor.
pub const ADVICE: (u64, f64, u64) = (20, 1.5, 3_000);
/// Reading of a runner's clock at its start.
const FIRST_CLOCK_MS: u64 = 400_000;

/// Returns the time of day in Unix milliseconds.
pub fn wall_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |span| span.as_millis() as u64)
}

fn step_of(task: &str) -> String {
    task.rsplit_once('.').map_or(task, |(step, _)| step).to_owned()
}

fn job_of(task: &str) -> String {
    task.split('.').next().unwrap_or_default().to_owned()
}

fn checkpoint(task: &str, work_ms: u64) -> String {
    format!("{work_ms:08x}{}", task.get(4..12).unwrap_or("00000000"))
}

fn work_of(checkpoint: &str) -> u64 {
    let digits = checkpoint.get(..8).unwrap_or("0");
    u64::from_str_radix(digits, 16).unwrap_or(0)
}

impl World {
    fn kind_of(&self, task: &str) -> (StepKind, Value) {
        let job = self.jobs.get(&job_of(task)).cloned().unwrap_or_default();
        let number: usize = task.split('.').nth(2).and_then(|step| step.parse().ok()).unwrap_or(0);
        let step = &job["phases"][number];
        let is_set = |name: &str| step[name].as_bool().unwrap_or(false);
        let kind = StepKind {
            count: step["count"].as_u64().unwrap_or(1),
            gang: is_set("gang"),
            lasts: is_set("longRunning"),
            saves: is_set("checkpointing"),
            cpu: step["cpu"].as_u64().unwrap_or(0),
        };
        let plan = job["spec"].as_str().and_then(|text| serde_json::from_str(text).ok());
        (kind, plan.unwrap_or_default())
    }
}

impl Runners {
    pub fn new(record: Record, max_hold_ms: u64, has_born: bool) -> Self {
        let runners = Self { world: Arc::default(), record, max_hold_ms, has_born };
        let ticking = runners.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(5));
                ticking.tick();
            }
        });
        runners
    }

    /// Adds a runner that isn't up yet; returns its number.
    pub fn add(&self, app: SocketAddr, control: SocketAddr, zone: &str, rack: &str) -> usize {
        let mut world = self.world.lock().unwrap();
        world.runners.push(Runner {
            id: String::new(),
            boots: 0,
            is_up: false,
            app,
            control,
            zone: zone.to_owned(),
            rack: rack.to_owned(),
            booted_ms: 0,
            born_ms: 0,
            token: 0,
            lease_ms: 0,
            running: BTreeMap::new(),
            ends: Vec::new(),
            end_count: 0,
            closed: HashMap::new(),
            sequence: 0,
            server: None,
        });
        world.runners.len() - 1
    }

    /// Starts a runner under a new id.
    pub fn boot(&self, number: usize) -> std::io::Result<()> {
        let app = self.world.lock().unwrap().runners[number].app;
        let serving = self.clone();
        let boot = {
            let world = self.world.lock().unwrap();
            world.runners[number].boots + 1
        };
        let server = Server::start(app, move |request| serving.answer(number, boot, &request))?;
        let now = self.record.now_ms();
        let id = {
            let mut world = self.world.lock().unwrap();
            let runner = &mut world.runners[number];
            runner.boots = boot;
            runner.id = format!("i-{:04x}{:04x}", 0x7f30 + number, boot);
            runner.is_up = true;
            runner.booted_ms = now;
            runner.born_ms = wall_ms();
            (runner.token, runner.lease_ms, runner.end_count, runner.sequence) = (0, 0, 0, 0);
            runner.running.clear();
            runner.ends.clear();
            runner.closed.clear();
            runner.server = Some(server);
            runner.id.clone()
        };
        self.record.note(&format!("runner {number} is up as {id}"));
        let beating = self.clone();
        thread::spawn(move || beating.beat(number, boot));
        Ok(())
    }

    /// Ends a runner without a word, and all that runs on it.
    pub fn crash(&self, number: usize) {
        let now = self.record.now_ms();
        let mut world = self.world.lock().unwrap();
        let runner = &mut world.runners[number];
        runner.is_up = false;
        let runs = std::mem::take(&mut runner.running);
        let server = runner.server.take();
        for (task, run) in runs {
            world.events.push(Event {
                at_ms: now,
                what: "killed".to_owned(),
                detail: run.saved.clone(),
                run: run.run,
                runner: number,
                task,
            });
        }
        drop(world);
        self.record.note(&format!("runner {number} crashes"));
        if let Some(server) = server {
            server.close();
        }
    }

    /// Makes a job known to the runners, as its client sends it.
    pub fn expect_job(&self, id: &str, body: &Value, is_advised: bool) {
        let mut world = self.world.lock().unwrap();
        world.jobs.insert(id.to_owned(), body.clone());
        if is_advised {
            world.advised.push(id.to_owned());
        }
    }

    pub fn events(&self) -> Vec<Event> {
        self.world.lock().unwrap().events.clone()
    }

    /// Sets the share of the starts that are left unanswered and carried out late.
    pub fn set_late(&self, percent: u64) {
        self.record.note(&format!("{percent}% of the starts are carried out late"));
        self.world.lock().unwrap().late_percent = percent;
    }

    /// Returns the runners on which the job has runs, with the tasks.
    pub fn running(&self, job: &str) -> Vec<(usize, String)> {
        let world = self.world.lock().unwrap();
        let runners = world.runners.iter().enumerate();
        let runs = runners.flat_map(|(number, runner)| runner.running.keys().map(move |task| (number, task)));
        runs.filter(|(_, task)| job_of(task) == job)
            .map(|(number, task)| (number, task.clone()))
            .collect()
    }

    /// Lets the run of a task fail now; returns its runner.
    pub fn fail_now(&self, task: &str) -> Option<usize> {
        let now = self.record.now_ms();
        let mut world = self.world.lock().unwrap();
        let number = world.runners.iter().position(|runner| runner.running.contains_key(task))?;
        self.end_run(&mut world, number, task, "failed", now);
        Some(number)
    }

    pub fn id(&self, number: usize) -> String {
        self.world.lock().unwrap().runners[number].id.clone()
    }

    pub fn control(&self, number: usize) -> SocketAddr {
        self.world.lock().unwrap().runners[number].control
    }

    /// Returns a check-in as the runner sends it next, without sending it.
    pub fn check_in(&self, number: usize) -> Value {
        let now = self.record.now_ms();
        let world = self.world.lock().unwrap();
        let runner = &world.runners[number];
        let mut body = json!({
            "service": SERVICE, "address": runner.app.to_string(), "zone": runner.zone, "version": "v1",
            "slots": 8, "state": "ready", "coldRemainingMs": 0,
            "capacity": {"cpu": RUNNER_CPU, "memMb": RUNNER_MEM_MB, "gpu": 0},
            "labels": ["a", runner.rack], "clockMs": FIRST_CLOCK_MS + now - runner.booted_ms,
            "sequence": runner.sequence + 1,
        });
        if self.has_born {
            body["born"] = runner.born_ms.into();
        }
        body
    }

    fn beat(&self, number: usize, boot: u32) {
        loop {
            {
                let world = self.world.lock().unwrap();
                let runner = &world.runners[number];
                if !runner.is_up || runner.boots != boot {
                    return;
                }
            }
            let body = self.check_in(number);
            self.world.lock().unwrap().runners[number].sequence += 1;
            let path = format!("/v1/instances/{}/heartbeat", self.id(number));
            let bytes = body.to_string().into_bytes();
            let limit = Duration::from_millis(1_000);
            let answer = call(self.control(number), "POST", &path, &[], &bytes, limit);
            let is_acked = answer.as_ref().is_ok_and(|(status, _)| (200..300).contains(status));
            if !is_acked {
                let status = answer.map(|(status, _)| status);
                self.record.note(&format!("check-in of runner {number} isn't acknowledged: {status:?}"));
            }
            thread::sleep(Duration::from_millis(if is_acked { BEAT_MS } else { 300 }));
        }
    }

    fn answer(&self, number: usize, boot: u32, request: &Request) -> Reply {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        {
            let world = self.world.lock().unwrap();
            let runner = &world.runners[number];
            if !runner.is_up || runner.boots != boot {
                return Reply::Silence;
            }
            let expected = request.header("waxwingfield-expected-instance");
            if expected.is_some_and(|id| id != runner.id) {
                return Reply::empty(421);
            }
        }
        match request.path.as_str() {
            "/v1/run-start" => {
                let late_percent = self.world.lock().unwrap().late_percent;
                if random() % 100 < late_percent {
                    let late = self.clone();
                    thread::spawn(move || {
                        thread::sleep(Duration::from_millis(2_000 + random() % 10_000));
                        let is_same = {
                            let world = late.world.lock().unwrap();
                            world.runners[number].is_up && world.runners[number].boots == boot
                        };
                        if is_same {
                            late.record.note(&format!("runner {number} carries a start out late"));
                            late.start(number, &body);
                        }
                    });
                    return Reply::Silence;
                }
                self.start(number, &body)
            }
            "/v1/run-stop" => self.stop(number, &body),
            "/v1/pace" => self.pace(number, &body),
            "/v1/hold" => self.hold(number, boot, &body),
            "/health" => Reply::empty(200),
            _ => Reply::empty(404),
        }
    }

    fn order_answer(&self, runner: &Runner, reason: Option<&str>) -> Reply {
        let clock_ms = FIRST_CLOCK_MS + self.record.now_ms() - runner.booted_ms;
        match reason {
            None => Reply::json(200, &json!({"clockMs": clock_ms})),
            Some(reason) => Reply::json(409, &json!({"clockMs": clock_ms, "reason": reason})),
        }
    }

    fn start(&self, number: usize, body: &Value) -> Reply {
        let now = self.record.now_ms();
        let mut world = self.world.lock().unwrap();
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run"].as_u64().unwrap_or(0);
        let came_with = body["checkpoint"].as_str().unwrap_or_default().to_owned();
        let ticket = body["ticket"].as_str().unwrap_or_default();
        let until = body["deadlineMs"].as_u64().unwrap_or(0);
        let (kind, plan) = world.kind_of(&task);
        let refusal = {
            let ticket_of = (step_of(&task), world.runners[number].id.clone());
            let known = world.tickets.get(&ticket_of);
            let has_ticket = known.is_some_and(|(text, expiry)| text == ticket && now <= *expiry);
            let lacks_ticket = world.advised.contains(&job_of(&task)) && !has_ticket;
            let runner = &mut world.runners[number];
            let clock = FIRST_CLOCK_MS + now - runner.booted_ms;
            let token = body["fencingToken"].as_u64().unwrap_or(0);
            if token < runner.token {
                Some("fence")
            } else {
                runner.token = token;
                let is_there = runner.running.get(&task).is_some_and(|known| known.run == run);
                let highest = runner.closed.get(&task).copied().unwrap_or(0);
                let other = runner.running.contains_key(&task) && !is_there;
                if until > clock {
                    runner.lease_ms = runner.lease_ms.max(until.min(clock + self.max_hold_ms));
                }
                if is_there {
                    return self.order_answer(&world.runners[number], None);
                } else if run <= highest || other {
                    Some("old")
                } else if until <= clock {
                    Some("late")
                } else if lacks_ticket {
                    Some("ticket")
                } else {
                    None
                }
            }
        };
        let event = |what: &str, detail: &str| Event {
            at_ms: now,
            what: what.to_owned(),
            task: task.clone(),
            run,
            runner: number,
            detail: detail.to_owned(),
        };
        if let Some(reason) = refusal {
            world.events.push(event("rejected", reason));
            self.record.note(&format!("runner {number} rejects {task} run {run}: {reason}"));
            return self.order_answer(&world.runners[number], Some(reason));
        }
        let starts = world.starts.entry(task.clone()).or_default();
        *starts += 1;
        let fails = *starts <= plan["failFirst"].as_u64().unwrap_or(0);
        let fails_after = plan["failMs"].as_u64().unwrap_or(500);
        // The first run may fail when the test says so.
        let is_told = *starts == 1 && plan["firstWhenTold"].as_bool().unwrap_or(false);
        let started = Run {
            run,
            kind,
            saved: came_with.clone(),
            base_ms: work_of(&came_with),
            came_with: came_with.clone(),
            began_ms: now,
            works_since: (!kind.gang).then_some(now),
            ends_by_stop_at: None,
            work_ms: match fails {
                true if is_told => u64::MAX / 2,
                true => fails_after,
                false => plan["ms"].as_u64().unwrap_or(500),
            },
            ends_as: if fails { "failed" } else { "done" },
        };
        world.runners[number].running.insert(task.clone(), started);
        world.events.push(event("start", &came_with));
        self.record.note(&format!("runner {number} starts {task} run {run}, checkpoint {came_with:?}"));
        let used: u64 = world.runners[number].running.values().map(|run| run.kind.cpu).sum();
        if used > RUNNER_CPU {
            self.record.note(&format!("runner {number} is over its capacity: {used}"));
            world.events.push(event("over", ""));
        }
        self.order_answer(&world.runners[number], None)
    }

    fn stop(&self, number: usize, body: &Value) -> Reply {
        let now = self.record.now_ms();
        let mut world = self.world.lock().unwrap();
        let runner = &mut world.runners[number];
        let token = body["fencingToken"].as_u64().unwrap_or(0);
        if token < runner.token {
            return self.order_answer(runner, Some("fence"));
        }
        runner.token = token;
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run"].as_u64().unwrap_or(0);
        if let Some(known) = runner.running.get_mut(&task).filter(|known| known.run == run) {
            known.ends_by_stop_at.get_or_insert(now + STOP_MS);
        }
        self.record.note(&format!("runner {number} is told to stop {task} run {run}"));
        let highest = runner.closed.entry(task).or_default();
        *highest = run.max(*highest);
        self.order_answer(runner, None)
    }

    fn pace(&self, number: usize, body: &Value) -> Reply {
        let mut world = self.world.lock().unwrap();
        let runner = &mut world.runners[number];
        let token = body["fencingToken"].as_u64().unwrap_or(0);
        if token < runner.token {
            return self.order_answer(runner, Some("fence"));
        }
        runner.token = token;
        self.order_answer(runner, None)
    }

    fn hold(&self, number: usize, boot: u32, body: &Value) -> Reply {
        let began = self.record.now_ms();
        let wait = body["waitMs"].as_u64().unwrap_or(0).min(2_000);
        {
            let mut world = self.world.lock().unwrap();
            let runner = &mut world.runners[number];
            let token = body["fencingToken"].as_u64().unwrap_or(0);
            if token < runner.token {
                return self.order_answer(runner, Some("fence"));
            }
            runner.token = token;
            let clock = FIRST_CLOCK_MS + began - runner.booted_ms;
            if let Some(until) = body["deadlineMs"].as_u64() {
                runner.lease_ms = runner.lease_ms.max(until.min(clock + self.max_hold_ms));
            }
            let cursor = body["ackCursor"].as_u64().unwrap_or(0);
            let (noted, kept): (Vec<_>, Vec<_>) =
                std::mem::take(&mut runner.ends).into_iter().partition(|end| end.0 <= cursor);
            runner.ends = kept;
            for (_, task, run, how, _) in noted {
                world.events.push(Event {
                    at_ms: began,
                    what: "noted".to_owned(),
                    task,
                    run,
                    runner: number,
                    detail: how,
                });
            }
        }
        loop {
            let now = self.record.now_ms();
            {
                let world = self.world.lock().unwrap();
                let runner = &world.runners[number];
                if !runner.is_up || runner.boots != boot {
                    return Reply::Silence;
                }
                if !runner.ends.is_empty() || now >= began + wait {
                    return Reply::json(200, &self.lists(runner, now));
                }
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn lists(&self, runner: &Runner, now: u64) -> Value {
        let running = runner.running.iter().map(|(task, run)| {
            let percent = match run.kind.lasts {
                true => u64::from(now >= run.began_ms + STARTUP_MS) * 100,
                false => (run.worked_ms(now) * 100 / run.work_ms.max(1)).min(99),
            };
            let figure = if run.kind.lasts { 5 } else { run.kind.cpu };
            json!([task, run.run, run.saved, percent, figure])
        });
        let running: Vec<Value> = running.collect();
        let ends: Vec<Value> = runner.ends.iter().take(500).map(|end| json!(end)).collect();
        let mut lists = json!({
            "clockMs": FIRST_CLOCK_MS + now - runner.booted_ms, "running": running, "finished": ends,
        });
        if self.has_born {
            lists["born"] = runner.born_ms.into();
        }
        lists
    }

    fn end_run(&self, world: &mut World, number: usize, task: &str, how: &str, now: u64) {
        let runner = &mut world.runners[number];
        let Some(mut run) = runner.running.remove(task) else {
            return;
        };
        if how == "stopped" && run.kind.saves && run.works_since.is_some() {
            run.saved = checkpoint(task, run.worked_ms(now));
        }
        runner.end_count += 1;
        let end = (runner.end_count, task.to_owned(), run.run, how.to_owned(), run.saved.clone());
        runner.ends.push(end);
        let highest = runner.closed.entry(task.to_owned()).or_default();
        *highest = run.run.max(*highest);
        self.record.note(&format!(
            "runner {number} lists the end of {task} run {}: {how}, checkpoint {:?}",
            run.run, run.saved
        ));
        world.events.push(Event {
            at_ms: now,
            what: how.to_owned(),
            task: task.to_owned(),
            run: run.run,
            runner: number,
            detail: run.saved,
        });
    }

    /// Lets time pass: work, checkpoints, gangs, stops and leases.
    fn tick(&self) {
        let now = self.record.now_ms();
        let mut world = self.world.lock().unwrap();
        self.form_gangs(&mut world, now);
        let mut ends: Vec<(usize, String, &'static str)> = Vec::new();
        for (number, runner) in world.runners.iter_mut().enumerate() {
            if !runner.is_up {
                continue;
            }
            let has_lapsed = FIRST_CLOCK_MS + now - runner.booted_ms > runner.lease_ms;
            for (task, run) in &mut runner.running {
                let worked = run.worked_ms(now);
                if run.kind.saves && run.works_since.is_some() && worked < run.work_ms {
                    let boundary = worked / CHECKPOINT_MS * CHECKPOINT_MS;
                    if boundary > work_of(&run.saved) {
                        run.saved = checkpoint(task, boundary);
                    }
                }
                if has_lapsed {
                    ends.push((number, task.clone(), "lapsed"));
                } else if run.ends_by_stop_at.is_some_and(|at| now >= at) {
                    ends.push((number, task.clone(), "stopped"));
                } else if run.works_since.is_some() && !run.kind.lasts && worked >= run.work_ms {
                    ends.push((number, task.clone(), run.ends_as));
                } else if run.works_since.is_none() && now >= run.began_ms + GANG_TIMEOUT_MS {
                    ends.push((number, task.clone(), "alone"));
                }
            }
        }
        for (number, task, how) in ends {
            self.end_run(&mut world, number, &task, how, now);
        }
    }

    /// Begins the work of gangs that are complete, and ends those of which a member has ended.
    fn form_gangs(&self, world: &mut World, now: u64) {
        let mut gangs: BTreeMap<(String, u64), Vec<(usize, String, Run)>> = BTreeMap::new();
        for (number, runner) in world.runners.iter().enumerate() {
            for (task, run) in runner.running.iter().filter(|(_, run)| run.kind.gang) {
                let members = gangs.entry((step_of(task), run.run)).or_default();
                members.push((number, task.clone(), run.clone()));
            }
        }
        for members in gangs.into_values() {
            let Some((_, _, first)) = members.first() else {
                continue;
            };
            let is_whole = members.len() as u64 == first.kind.count;
            let works = members.iter().any(|(_, _, run)| run.works_since.is_some());
            // "All must carry the same value": a gang can't resume from two points.
            let is_same = members.iter().all(|(_, _, run)| run.came_with == first.came_with);
            if is_whole && !works && is_same {
                for (number, task, _) in &members {
                    if let Some(run) = world.runners[*number].running.get_mut(task) {
                        run.works_since = Some(now);
                    }
                }
                let step = step_of(&members[0].1);
                self.record.note(&format!("the gang of {step} run {} works", first.run));
            } else if !is_whole && works {
                for (number, task, run) in &members {
                    // A gang ends together: what is left of one that is done is done as well.
                    let is_done = run.worked_ms(now) >= run.work_ms;
                    let how = if is_done { run.ends_as } else { "broken" };
                    self.end_run(world, *number, task, how, now);
                }
            }
        }
    }

    /// Serves the placement advisor, which approves every runner. It handles one call at a time.
    pub fn serve_advisor(&self, address: SocketAddr) -> std::io::Result<()> {
        let turn = Mutex::new(());
        let runners = self.clone();
        Server::start(address, move |request| {
            let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
            let step = body["step"].as_str().unwrap_or_default().to_owned();
            let ids: Vec<String> = body["workers"]
                .as_array()
                .into_iter()
                .flatten()
                .filter_map(|id| id.as_str().map(str::to_owned))
                .collect();
            let _turn = turn.lock().unwrap();
            let (decision_ms, worker_ms, validity_ms) = ADVICE;
            let takes_ms = decision_ms + (worker_ms * ids.len() as f64) as u64;
            thread::sleep(Duration::from_millis(takes_ms));
            let expiry = runners.record.now_ms() + validity_ms;
            let mut world = runners.world.lock().unwrap();
            let mut approved = Vec::new();
            for id in &ids {
                let ticket = format!("{id}-{expiry}");
                world.tickets.insert((step.clone(), id.clone()), (ticket.clone(), expiry));
                approved.push(json!([id, ticket]));
            }
            drop(world);
            runners.record.note(&format!("advisor is asked for {step} about {ids:?}; it approves all"));
            Reply::json(200, &json!({"approved": approved, "validityMs": validity_ms}))
        })?;
        Ok(())
    }
}
