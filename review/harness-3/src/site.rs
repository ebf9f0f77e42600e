//! A small installation: the store, the runners, and the project's fronts and agents as processes of
//! their own, started with the command of `deploy/system.toml` and the settings of its templates.

use crate::http::call;
use crate::record::Record;
use crate::runners::{ADVICE, Runners, SERVICE};
use crate::store::Store;
use serde_json::{Value, json};
use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

const DAEMON: &str = "target/release/waxwingd";
const ZONES: [&str; 3] = ["shawinigan-a", "trois-rivieres-b", "grand-mere-c"];
/// Host of all routes.
pub const HOST: &str = "nony24.example";
/// Time limit of the clients.
const CLIENT_LIMIT: Duration = Duration::from_millis(3_000);
const SIGTERM: i32 = 15;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Bounds of a site that the cases go by, in milliseconds.
pub struct Bounds {
    /// `maxHoldMs`
    pub max_hold_ms: u64,
    /// `contactMs`: machines are in touch, and nothing is near a disturbance, this long after it.
    pub contact_ms: u64,
    /// `configApplyMs`
    config_ms: u64,
    /// Whether runners say `born`.
    has_born: bool,
}

/// `sites/riveneige-niveaux.toml`
pub const RIVENEIGE: Bounds = Bounds { max_hold_ms: 10_000, contact_ms: 3_000, config_ms: 2_000, has_born: false };
/// `demands/kerlann-traces-grown.toml`
pub const KERLANN: Bounds = Bounds { max_hold_ms: 6_000, contact_ms: 4_000, config_ms: 3_000, has_born: true };

struct Process {
    name: String,
    settings: PathBuf,
    child: Option<Child>,
}

pub struct Front {
    process: Process,
    pub callers: SocketAddr,
    readiness: SocketAddr,
}

pub struct Site {
    pub record: Record,
    pub store: Store,
    pub runners: Runners,
    pub fronts: Vec<Front>,
    agents: Vec<Process>,
    folder: PathBuf,
    config_version: u64,
}

/// A queue in the config.
#[derive(Clone)]
pub struct Queue {
    pub name: &'static str,
    pub prefix: &'static str,
    pub attempts: u64,
    pub priority: u64,
    pub is_advised: bool,
}

pub fn random() -> u64 {
    use std::hash::{BuildHasher, Hasher, RandomState};
    RandomState::new().build_hasher().finish()
}

/// Returns a network of loopback addresses and a port that is free on all of its addresses in use.
fn free_network(addresses: &[(u8, u8)]) -> (u8, u16) {
    loop {
        let number = random();
        let (network, port) = ((number % 200 + 20) as u8, 12_000 + (number >> 16) as u16 % 15_000);
        let is_free = addresses.iter().all(|(class, machine)| {
            let ip = Ipv4Addr::new(127, network, *class, *machine);
            (port..port + 6).all(|port| TcpListener::bind((ip, port)).is_ok())
        });
        if is_free {
            return (network, port);
        }
    }
}

impl Site {
    /// Starts an installation with three fronts and this number of runners with their agents.
    pub fn start(record: &Record, runner_count: usize, queues: &[Queue]) -> io::Result<Self> {
        Self::start_of(&RIVENEIGE, record, runner_count, queues)
    }

    /// Starts an installation with the bounds of a site.
    pub fn start_of(bounds: &Bounds, record: &Record, runner_count: usize, queues: &[Queue]) -> io::Result<Self> {
        let (max_hold_ms, config_ms) = (bounds.max_hold_ms, bounds.config_ms);
        if !PathBuf::from(DAEMON).exists() {
            return Err(io::Error::other("the daemon isn't built"));
        }
        let mut addresses: Vec<(u8, u8)> = vec![(0, 7), (0, 9)];
        addresses.extend((1..=3).map(|machine| (1, machine)));
        addresses.extend((1..=runner_count as u8).map(|machine| (2, machine)));
        let (network, port) = free_network(&addresses);
        let at = |class: u8, machine: u8, offset: u16| {
            SocketAddr::from((Ipv4Addr::new(127, network, class, machine), port + offset))
        };
        let folder = std::env::temp_dir().join(format!("review-3-{}-{network}-{port}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let (store_at, advisor_at) = (at(0, 7, 0), at(0, 9, 0));
        let runners = Runners::new(record.clone(), max_hold_ms, bounds.has_born);
        runners.serve_advisor(advisor_at)?;
        let mut site = Self {
            record: record.clone(),
            store: Store::start(store_at)?,
            runners,
            fronts: Vec::new(),
            agents: Vec::new(),
            folder,
            config_version: 3,
        };
        site.put_config(queues);
        let seeds: Vec<String> = (1..=3).map(|machine| format!("\"{}\"", at(1, machine, 2))).collect();
        let seeds = seeds.join(",");
        for machine in 1..=3_u8 {
            let zone = ZONES[usize::from(machine) - 1];
            let (callers, readiness) = (at(1, machine, 1), at(1, machine, 3));
            let name = format!("edge-{zone}-1");
            let text = format!(
                "role: front\nname: {name}\nregion: qc-mauricie\nfailure_domain: {zone}\nplatform:\n  \
                 address: {store_at}\npool:\n  peers: {}\n  seeds: [{seeds}]\n  callers: {callers}\n  \
                 readiness: {readiness}\n  metrics: {}\n  advisor: {advisor_at}\n  machines: {}\n  machine:\n    \
                 cpu_share: 0.1\n    cores: 1\n    link_mbps: 1000.0\n    memory_mb: 260\n    descriptors: 4100\n  \
                 most_lease_ms: {max_hold_ms}\n  keep_ended_s: 120\n  stop_grace_s: 6\n  config_bound_ms: {config_ms}\n  \n\
                 logs:\n  json: true\n  stdout: true\npolicy:\n  sharing:\n    whole_jobs: 1\n  performance:\n    \
                 enabled: 1\n  orders:\n    resend: 1\n",
                at(1, machine, 0),
                at(1, machine, 4),
                at(0, 7, 1),
            );
            let process = site.process(&name, &text)?;
            site.fronts.push(Front { process, callers, readiness });
        }
        for machine in 1..=runner_count as u8 {
            let zone = ZONES[(usize::from(machine) - 1) % 3];
            let (control, app) = (at(2, machine, 2), at(2, machine, 1));
            let name = format!("side-{zone}-{}", (machine - 1) / 3 + 1);
            let text = format!(
                "role: agent\nname: {name}\nregion: qc-mauricie\nfailure_domain: {zone}\nplatform:\n  \
                 address: {store_at}\npool:\n  peers: {}\n  seeds: [{seeds}]\n  check_ins: {control}\n  \
                 worker: {app}\n  metrics: {}\n  machine:\n    memory_mb: 128\n    descriptors: 4096\n  \
                 most_lease_ms: {max_hold_ms}\n  \nlogs:\n  json: true\n  stdout: true\npolicy:\n  performance:\n    \
                 enabled: 1\n  orders:\n    resend: 1\n",
                at(2, machine, 0),
                at(2, machine, 4),
            );
            let process = site.process(&name, &text)?;
            site.agents.push(process);
            site.runners.add(app, control, zone, &format!("r1-{}", (machine - 1) / 3 + 1));
        }
        for number in 0..3 {
            site.start_front(number)?;
        }
        for number in 0..runner_count {
            site.start_agent(number)?;
            site.runners.boot(number)?;
        }
        for number in 0..3 {
            site.wait_ready(number)?;
        }
        // Traffic starts 10 s after the machines do; by then each runner has been taken over.
        site.pause(4_000);
        Ok(site)
    }

    fn process(&self, name: &str, settings: &str) -> io::Result<Process> {
        let path = self.folder.join(format!("{name}.yaml"));
        fs::write(&path, settings)?;
        Ok(Process { name: name.to_owned(), settings: path, child: None })
    }

    fn spawn(&self, process: &Process) -> io::Result<Child> {
        let log = self.folder.join(format!("{}.log", process.name));
        let log = File::options().create(true).append(true).open(log)?;
        Command::new(DAEMON)
            .arg("--settings")
            .arg(&process.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()
    }

    pub fn start_front(&mut self, number: usize) -> io::Result<()> {
        let child = self.spawn(&self.fronts[number].process)?;
        self.fronts[number].process.child = Some(child);
        self.record.note(&format!("front {number} is started"));
        Ok(())
    }

    /// Ends the agent beside a runner with SIGKILL.
    pub fn kill_agent(&mut self, number: usize) -> io::Result<()> {
        self.record.note(&format!("agent {number} gets SIGKILL"));
        let Some(mut child) = self.agents[number].child.take() else {
            return Ok(());
        };
        child.kill()?;
        child.wait()?;
        Ok(())
    }

    pub fn start_agent(&mut self, number: usize) -> io::Result<()> {
        let child = self.spawn(&self.agents[number])?;
        self.agents[number].child = Some(child);
        self.record.note(&format!("agent {number} is started"));
        Ok(())
    }

    pub fn wait_ready(&self, number: usize) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            let limit = Duration::from_millis(500);
            let answer = call(self.fronts[number].readiness, "GET", "/v1/ready", &[], &[], limit);
            if answer.is_ok_and(|(status, _)| status == 200) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(io::Error::other(format!("front {number} isn't ready")))
    }

    /// Ends a front with SIGKILL.
    pub fn kill_front(&mut self, number: usize) -> io::Result<()> {
        self.record.note(&format!("front {number} gets SIGKILL"));
        if let Some(mut child) = self.fronts[number].process.child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Freezes a front or an agent, or lets it go on.
    pub fn freeze(&self, is_front: bool, number: usize, is_frozen: bool) {
        let process = if is_front { &self.fronts[number].process } else { &self.agents[number] };
        self.record.note(&format!("{} is frozen: {is_frozen}", process.name));
        if let Some(child) = &process.child {
            let signal = if is_frozen { 19 } else { 18 };
            // SAFETY: `kill` takes only integers, and the child hasn't been waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Stops a front as the platform does: SIGTERM, and after `graceS` SIGKILL.
    pub fn stop_front(&mut self, number: usize) -> io::Result<()> {
        let record = self.record.clone();
        let Some(child) = &mut self.fronts[number].process.child else {
            return Ok(());
        };
        record.note(&format!("front {number} gets SIGTERM"));
        // SAFETY: `kill` takes only integers, and the child hasn't been waited for.
        unsafe { kill(child.id() as i32, SIGTERM) };
        let until = Instant::now() + Duration::from_secs(6);
        while child.try_wait()?.is_none() {
            if Instant::now() > until {
                child.kill()?;
                child.wait()?;
            }
            thread::sleep(Duration::from_millis(10));
        }
        record.note(&format!("front {number} has ended"));
        self.fronts[number].process.child = None;
        Ok(())
    }

    /// Writes a config with these queues under the next version.
    pub fn put_config(&mut self, queues: &[Queue]) {
        self.config_version += 4;
        let routes = queues.iter().map(|queue| {
            let mut route = json!({
                "name": queue.name, "host": HOST, "pathPrefix": queue.prefix, "kind": "non_idempotent",
                "timeoutMs": 3000, "targetLatencyMs": 1000, "priority": queue.priority, "service": SERVICE,
                "maxAttempts": queue.attempts, "stretch": 2.0,
            });
            if queue.is_advised {
                let (decision_ms, worker_ms, validity_ms) = ADVICE;
                route["placementAdvisor"] =
                    json!({"decisionMs": decision_ms, "perWorkerMs": worker_ms, "validityMs": validity_ms});
            }
            route
        });
        let config = json!({
            "version": self.config_version,
            "routes": routes.collect::<Vec<Value>>(),
            "services": [{
                "name": SERVICE, "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "tls": false,
                "admissionControl": false, "standby": false,
            }],
            "limits": {
                "maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
            },
        });
        self.store.put_as_operator(&self.record, "config", &config);
    }

    pub fn pause(&self, ms: u64) {
        thread::sleep(Duration::from_millis(ms));
    }

    /// Sends a request of a client to a front; returns the status, 0 without an answer, and the body.
    pub fn ask(&self, front: usize, method: &str, path: &str, body: &[u8]) -> (u16, Value) {
        let headers = [("Host", HOST), ("Waxwingfield-Timeout-Ms", "3000")];
        let answer = call(self.fronts[front].callers, method, path, &headers, body, CLIENT_LIMIT);
        let (status, body) = answer.unwrap_or_default();
        let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
        self.record.note(&format!("client sends {method} {path} to front {front}: {status} {body}"));
        (status, body)
    }

    /// Hands a job in as a client does: again at another front without an answer, or when told to come
    /// back.
    pub fn submit(&self, queue: &Queue, id: &str, job: &Value) -> io::Result<()> {
        self.runners.expect_job(id, job, queue.is_advised);
        self.record.note(&format!("job {id}: {job}"));
        for attempt in 0..5 {
            let path = format!("{}{id}", queue.prefix);
            let (status, _) = self.ask(attempt % 3, "POST", &path, job.to_string().as_bytes());
            if (200..300).contains(&status) {
                return Ok(());
            }
            self.pause(300);
        }
        Err(io::Error::other("the job wasn't accepted"))
    }

    /// Sends what another writer says in the name of a runner: a service that isn't named here, a sequence of
    /// its own, and no `born`. A call that isn't acknowledged is sent once more.
    pub fn send_foreign_check_in(&mut self, number: usize) {
        let mut body = self.runners.check_in(number);
        body["service"] = "another".into();
        body["sequence"] = 900_000.into();
        body.as_object_mut().map(|fields| fields.remove("born"));
        let path = format!("/v1/instances/{}/heartbeat", self.runners.id(number));
        for _ in 0..2 {
            let bytes = body.to_string().into_bytes();
            let limit = Duration::from_millis(1_000);
            let answer = call(self.runners.control(number), "POST", &path, &[], &bytes, limit);
            let status = answer.map_or(0, |(status, _)| status);
            self.record.note(&format!("another writer says of runner {number}: {body}: {status}"));
            if (200..300).contains(&status) {
                return;
            }
        }
    }

    /// Returns the state of a job as a client is told it; empty without a 200.
    pub fn state(&self, queue: &Queue, id: &str) -> String {
        for front in 0..3 {
            let (status, body) = self.ask(front, "GET", &format!("{}{id}", queue.prefix), &[]);
            if status == 200 {
                return body["state"].as_str().unwrap_or_default().to_owned();
            }
        }
        String::new()
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let fronts = self.fronts.iter_mut().map(|front| &mut front.process);
        for process in fronts.chain(&mut self.agents) {
            if let Some(mut child) = process.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        match std::env::var_os("KEEP_LOGS") {
            Some(_) => self.record.note(&format!("logs are kept in {}", self.folder.display())),
            None => drop(fs::remove_dir_all(&self.folder)),
        }
    }
}
