//! A small deployment: store, fronts, agents and runners, with the project's own programs started
//! by the commands of the deploy file.

use crate::http::{Response, call};
use crate::record::Record;
use crate::runner::World;
use crate::store::Store;
use serde_json::{Value, json};
use std::fs::File;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub const HOST: &str = "nony24.example";
pub const PREFIX: &str = "/lohu930/";

const ZONES: [&str; 3] = ["shawinigan-a", "trois-rivieres-b", "grand-mere-c"];

/// One process of the project.
pub struct Process {
    child: Option<Child>,
    settings: PathBuf,
    log: PathBuf,
    name: String,
}

pub struct Site {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub world: Arc<World>,
    pub fronts: Vec<Process>,
    pub callers: Vec<SocketAddr>,
    pub agents: Vec<Process>,
    root: PathBuf,
    folder: PathBuf,
    version: u64,
    turn: usize,
}

pub struct Shape {
    pub fronts: usize,
    pub sides: usize,
    pub cpu: u64,
    pub max_attempts: u64,
    /// Whether the runners send `born`.
    pub born: bool,
}

/// The temporary folder of this program.
pub fn folder() -> PathBuf {
    std::env::temp_dir().join(format!("review-case-{}", std::process::id()))
}

fn is_free(address: SocketAddr) -> bool {
    TcpListener::bind(address).is_ok()
}

/// Ports as on a deployment: the same on each machine.
struct Ports {
    peers: u16,
    metrics: u16,
    callers: u16,
    readiness: u16,
    control: u16,
    app: u16,
    store: u16,
}

fn seed() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(1, |span| span.subsec_nanos() as u64) ^ (u64::from(std::process::id()) << 20)
}

fn choose(shape: &Shape) -> io::Result<(u8, Ports)> {
    for attempt in 0..200_u64 {
        let draw = seed()
            .wrapping_mul(6364136223846793005)
            .wrapping_add(attempt * 7919);
        let net = 20 + (draw >> 40) as u8 % 200;
        let base = 13_000 + ((draw >> 20) % 1_800) as u16 * 10;
        let ports = Ports {
            peers: base,
            metrics: base + 1,
            callers: base + 2,
            readiness: base + 3,
            control: base + 4,
            app: base + 5,
            store: base + 6,
        };
        let front = |n: usize| format!("127.{net}.1.{}", n + 1);
        let side = |n: usize| format!("127.{net}.2.{}", n + 1);
        let mut all = vec![format!("127.{net}.0.1:{}", ports.store)];
        for n in 0..shape.fronts {
            all.extend((base..base + 5).map(|port| format!("{}:{port}", front(n))));
        }
        for n in 0..shape.sides {
            all.extend((base..base + 6).map(|port| format!("{}:{port}", side(n))));
        }
        if all.iter().all(|text| is_free(text.parse().unwrap())) {
            return Ok((net, ports));
        }
    }
    Err(io::Error::other("no free ports"))
}

impl Site {
    pub fn start(root: &Path, shape: &Shape) -> io::Result<Self> {
        let record = Arc::new(Record::new());
        let folder = folder();
        std::fs::create_dir_all(&folder)?;
        let (net, ports) = choose(shape)?;
        let store_address: SocketAddr = format!("127.{net}.0.1:{}", ports.store).parse().unwrap();
        let (store, server) = Store::start(store_address, record.clone())?;
        std::mem::forget(server);
        let world = World::new(record.clone());
        world.send_born(shape.born);
        let mut site = Self {
            record,
            store,
            world,
            fronts: Vec::new(),
            callers: Vec::new(),
            agents: Vec::new(),
            root: root.to_owned(),
            folder,
            version: 0,
            turn: 0,
        };
        site.put_config(shape.max_attempts);
        let seeds: Vec<String> = (0..shape.fronts.min(3))
            .map(|n| format!("\"127.{net}.1.{}:{}\"", n + 1, ports.control))
            .collect();
        let seeds = seeds.join(",");
        for n in 0..shape.fronts {
            let ip = format!("127.{net}.1.{}", n + 1);
            let name = format!("edge-{}-{}", ZONES[n % 3], n / 3 + 1);
            let text = format!(
                "role: front\nname: {name}\nregion: qc-mauricie\nfailure_domain: {zone}\nplatform:\n  address: {store_address}\n\
                 pool:\n  peers: {ip}:{peers}\n  seeds: [{seeds}]\n  callers: {ip}:{callers}\n  readiness: {ip}:{ready}\n  \
                 metrics: {ip}:{metrics}\n  machines: {store_address}\n  machine:\n    cpu_share: 0.1\n    cores: 1\n    \
                 link_mbps: 1000.0\n    memory_mb: 260\n  most_lease_ms: 10000\n  keep_ended_s: 120\n  stop_grace_s: 6\n  \
                 config_bound_ms: 2000\nlogs:\n  json: true\n  stdout: true\npolicy:\n  sharing:\n    whole_jobs: 1\n  \
                 performance:\n    enabled: 1\n  orders:\n    resend: 1\n",
                zone = ZONES[n % 3],
                peers = ports.peers,
                callers = ports.callers,
                ready = ports.readiness,
                metrics = ports.metrics,
            );
            site.callers
                .push(format!("{ip}:{}", ports.callers).parse().unwrap());
            let process = site.spawn(&name, &text)?;
            site.fronts.push(process);
        }
        for n in 0..shape.sides {
            let ip = format!("127.{net}.2.{}", n + 1);
            let zone = ZONES[n % 3];
            let name = format!("side-{zone}-{}", n / 3 + 1);
            let text = format!(
                "role: agent\nname: {name}\nregion: qc-mauricie\nfailure_domain: {zone}\nplatform:\n  address: {store_address}\n\
                 pool:\n  peers: {ip}:{peers}\n  seeds: [{seeds}]\n  check_ins: {ip}:{control}\n  worker: {ip}:{app}\n  \
                 metrics: {ip}:{metrics}\n  most_lease_ms: 10000\nlogs:\n  json: true\n  stdout: true\npolicy:\n  \
                 performance:\n    enabled: 1\n  orders:\n    resend: 1\n",
                peers = ports.peers,
                control = ports.control,
                app = ports.app,
                metrics = ports.metrics,
            );
            let process = site.spawn(&name, &text)?;
            site.agents.push(process);
            let rack = format!("r1-{}", n / 3);
            let number = site.world.add_machine(
                &name,
                zone,
                &rack,
                format!("{ip}:{}", ports.app).parse().unwrap(),
                format!("{ip}:{}", ports.control).parse().unwrap(),
                shape.cpu,
            );
            site.world.boot(number)?;
        }
        Ok(site)
    }

    fn put_config(&mut self, max_attempts: u64) {
        self.version += 1;
        let config = json!({
            "version": self.version,
            "routes": [{
                "name": "gauge", "host": HOST, "pathPrefix": PREFIX, "service": "niveau-service",
                "timeoutMs": 3_000, "targetLatencyMs": 1_000, "priority": 1,
                "maxAttempts": max_attempts, "stretch": 2.0,
            }],
            "services": [{"name": "niveau-service", "admissionControl": false}],
            "limits": {"maxBodyBytes": 262_144},
        });
        self.store.put("op", "config", &config);
    }

    fn spawn(&self, name: &str, settings: &str) -> io::Result<Process> {
        let path = self.folder.join(format!("{name}.yaml"));
        std::fs::write(&path, settings)?;
        let mut process = Process {
            child: None,
            settings: path,
            log: self.folder.join(format!("{name}.log")),
            name: name.into(),
        };
        start_process(&self.root, &mut process)?;
        Ok(process)
    }

    /// Returns the front that took over the shard last, by the fronts' logs.
    pub fn owner(&self) -> Option<usize> {
        let last = |front: &Process| {
            let log = std::fs::read_to_string(&front.log).ok()?;
            let line = log
                .lines()
                .rev()
                .find(|line| line.contains("took over the shard"))?;
            let line: Value = serde_json::from_str(line).ok()?;
            line["epoch"].as_u64()
        };
        let terms = self.fronts.iter().enumerate();
        terms
            .filter_map(|(number, front)| Some((last(front)?, number)))
            .max()
            .map(|(_, number)| number)
    }

    pub fn kill_agent(&mut self, number: usize) {
        self.record
            .line(format!("SIGKILL to the agent {}", self.agents[number].name));
        end_process(&mut self.agents[number]);
    }

    pub fn start_agent(&mut self, number: usize) -> io::Result<()> {
        self.record
            .line(format!("the agent {} starts", self.agents[number].name));
        start_process(&self.root, &mut self.agents[number])
    }

    pub fn kill_front(&mut self, number: usize) {
        self.record
            .line(format!("SIGKILL to the front {}", self.fronts[number].name));
        end_process(&mut self.fronts[number]);
    }

    pub fn start_front(&mut self, number: usize) -> io::Result<()> {
        self.record
            .line(format!("the front {} starts", self.fronts[number].name));
        start_process(&self.root, &mut self.fronts[number])
    }

    /// Sends a request of a client to the fronts in turn.
    pub fn ask(&mut self, method: &str, id: &str, body: &[u8]) -> io::Result<Response> {
        self.turn += 1;
        let address = self.callers[self.turn % self.callers.len()];
        let headers = [("Host", HOST), ("Waxwingfield-Timeout-Ms", "3000")];
        let limit = Duration::from_millis(3_000);
        call(
            address,
            method,
            &format!("{PREFIX}{id}"),
            &headers,
            body,
            limit,
        )
    }

    /// Submits a job until it is accepted; `false` after 15 s.
    pub fn submit(&mut self, id: &str, job: &Value) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            let answer = self.ask("POST", id, job.to_string().as_bytes());
            match answer {
                Ok(answer) if answer.status / 100 == 2 => {
                    self.record
                        .line(format!("client: POST {id} -> {}", answer.status));
                    return true;
                }
                Ok(answer) => self.record.line(format!(
                    "client: POST {id} -> {} {}",
                    answer.status,
                    String::from_utf8_lossy(&answer.body)
                )),
                Err(error) => self.record.line(format!("client: POST {id} -> {error}")),
            }
            std::thread::sleep(Duration::from_millis(300));
        }
        false
    }

    pub fn state(&mut self, id: &str) -> Option<String> {
        let answer = self.ask("GET", id, b"").ok()?;
        if answer.status == 410 {
            return Some("410".into());
        }
        let body: Value = serde_json::from_slice(&answer.body).ok()?;
        Some(body["state"].as_str()?.to_owned())
    }

    /// Asks for a job's state until it is one of `wanted` or the time is over; returns the last one.
    pub fn wait_state(&mut self, id: &str, wanted: &[&str], limit: Duration) -> String {
        let until = Instant::now() + limit;
        let mut last = String::new();
        loop {
            if let Some(state) = self.state(id) {
                if state != last {
                    self.record.line(format!("client: GET {id} -> {state}"));
                }
                last = state;
            }
            if wanted.contains(&last.as_str()) || Instant::now() >= until {
                return last;
            }
            std::thread::sleep(Duration::from_millis(200));
        }
    }

    /// Ends all processes and removes the temporary folder, unless `KEEP` is set.
    pub fn end(&mut self) {
        for process in self.fronts.iter_mut().chain(&mut self.agents) {
            end_process(process);
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("logs: {}", self.folder.display());
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.end();
    }
}

fn start_process(root: &Path, process: &mut Process) -> io::Result<()> {
    let output = File::options()
        .create(true)
        .append(true)
        .open(&process.log)?;
    let mut command = Command::new(root.join("target/release/waxwingd"));
    command
        .arg("--settings")
        .arg(&process.settings)
        .current_dir(root)
        .env_clear()
        .env("PATH", std::env::var_os("PATH").unwrap_or_default())
        .env("WAXWINGFIELD_BOOT", &process.settings)
        .stdin(Stdio::null())
        .stdout(output.try_clone()?)
        .stderr(output);
    // SAFETY: `prctl` is safe between fork and exec. The process ends with this program, however this program ends.
    unsafe {
        command.pre_exec(|| {
            libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL);
            Ok(())
        });
    }
    process.child = Some(command.spawn()?);
    Ok(())
}

fn end_process(process: &mut Process) {
    if let Some(mut child) = process.child.take() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

impl Process {
    pub fn pid(&self) -> Option<i32> {
        self.child.as_ref().map(|child| child.id() as i32)
    }
}
