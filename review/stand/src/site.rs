//! A small installation: fronts and agents of the project as separate processes, started with the
//! commands of the deploy file.

use crate::http;
use crate::net::{Net, real, view};
use crate::record::Record;
use crate::store::Store;
use crate::worker::Fleet;
use serde_json::{Value, json};
use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

pub const ZONES: [&str; 3] = ["shawinigan-a", "trois-rivieres-b", "grand-mere-c"];

pub struct Site {
    pub store: Arc<Store>,
    pub net: Net,
    pub fleet: Arc<Fleet>,
    pub record: Arc<Record>,
    pub fronts: usize,
    pub agents: usize,
    pub callers: Vec<SocketAddr>,
    children: Vec<Child>,
    settings: Vec<PathBuf>,
    pub folder: PathBuf,
    port: u16,
}

fn free(ip: &str) -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Ports below the ephemeral range, which no outgoing connection takes.
fn base_port() -> u16 {
    let seed = std::process::id() as u16 % 9_000;
    (0..9_000)
        .map(|step| 12_000 + (seed + step * 7) % 9_000)
        .find(|port| (0..3).all(|front| TcpListener::bind(real(front, *port)).is_ok()))
        .expect("a free port")
}

impl Site {
    /// Zone of a machine; fronts are the first machines.
    pub fn zone(&self, machine: usize) -> usize {
        zone_of(machine, self.fronts)
    }

    pub fn start(record: Arc<Record>, fronts: usize, agents: usize, config: &Value, capacity: Value, one_way: Duration) -> Self {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let port = base_port();
        let store = Store::new(fronts + agents, one_way);
        store.operator_write("config", config);
        let net = Net::start(fronts, fronts + agents, port, one_way);
        let fleet = Fleet::start(agents, "niveau-service", capacity, record.clone());
        let mut site = Self {
            store,
            net,
            fleet,
            record,
            fronts,
            agents,
            callers: Vec::new(),
            children: Vec::new(),
            settings: Vec::new(),
            folder,
            port,
        };
        for machine in 0..fronts + agents {
            let (door, store_at) = free("127.0.0.1");
            site.store.open_door(door, machine);
            let text = if machine < fronts {
                site.front_settings(machine, store_at)
            } else {
                site.agent_settings(machine, store_at)
            };
            let path = site.folder.join(format!("machine-{machine}.yaml"));
            std::fs::write(&path, text).expect("settings");
            site.settings.push(path);
            let child = site.spawn(machine);
            site.children.push(child);
        }
        site
    }

    /// Settings as `deploy/front.yaml` gives them.
    fn front_settings(&mut self, machine: usize, store: SocketAddr) -> String {
        let ip = format!("127.50.1.{}", machine + 1);
        let (callers, readiness, metrics) = (free(&ip).1, free(&ip).1, free(&ip).1);
        self.callers.push(callers);
        format!(
            "role: front\nname: edge-{machine}\nregion: qc-mauricie\nfailure_domain: {}\nplatform:\n  address: {store}\n\
             pool:\n  peers: {}\n  seeds: [{}]\n  callers: {callers}\n  readiness: {readiness}\n  metrics: {metrics}\n  \
             machine:\n    cpu_share: 0.1\n    cores: 1\n    link_mbps: 1000.0\n    memory_mb: 260\n  \
             most_lease_ms: 10000\n  keep_ended_s: 120\n  stop_grace_s: 6\n  config_bound_ms: 2000\n\
             logs:\n  json: true\n  stdout: true\n\
             policy:\n  sharing:\n    whole_jobs: 1\n  performance:\n    enabled: 1\n  orders:\n    resend: 1\n",
            ZONES[zone_of(machine, self.fronts)],
            real(machine, self.port),
            self.seeds(machine),
        )
    }

    /// Settings as `deploy/agent.yaml` gives them.
    fn agent_settings(&mut self, machine: usize, store: SocketAddr) -> String {
        let number = machine - self.fronts;
        let ip = format!("127.40.2.{}", number + 1);
        let (check_ins, metrics) = (free(&ip).1, free(&ip).1);
        let (orders, worker) = free(&ip);
        let zone = ZONES[zone_of(machine, self.fronts)];
        self.fleet.serve(number, orders, check_ins, zone);
        format!(
            "role: agent\nname: side-{number}\nregion: qc-mauricie\nfailure_domain: {zone}\nplatform:\n  address: {store}\n\
             pool:\n  peers: {ip}:{}\n  seeds: [{}]\n  check_ins: {check_ins}\n  worker: {worker}\n  metrics: {metrics}\n  \
             most_lease_ms: 10000\n\
             logs:\n  json: true\n  stdout: true\n\
             policy:\n  performance:\n    enabled: 1\n  orders:\n    resend: 1\n",
            self.port,
            self.seeds(machine),
        )
    }

    fn seeds(&self, machine: usize) -> String {
        let seeds = (0..self.fronts).map(|front| format!("\"{}\"", view(machine, front, self.port)));
        seeds.collect::<Vec<_>>().join(", ")
    }

    fn spawn(&self, machine: usize) -> Child {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("machine-{machine}.log")))
            .expect("a log");
        Command::new("target/release/waxwingd")
            .arg("--settings")
            .arg(&self.settings[machine])
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .inspect(|child| note_pid(child.id()))
            .expect("target/release/waxwingd starts")
    }

    pub fn pid(&self, machine: usize) -> u32 {
        self.children[machine].id()
    }

    /// Sends a signal to a process.
    pub fn signal(&self, machine: usize, name: &str) {
        let pid = self.pid(machine).to_string();
        let _ = Command::new("kill").args([format!("-{name}"), pid]).status();
    }

    /// Sends SIGKILL to a process; `restart` starts it again.
    pub fn kill(&mut self, machine: usize) {
        let _ = self.children[machine].kill();
        let _ = self.children[machine].wait();
    }

    pub fn restart(&mut self, machine: usize) {
        self.children[machine] = self.spawn(machine);
    }

    /// Returns the number of the front that the owner's row names.
    pub fn owner(&self) -> Option<usize> {
        let value = self.store.row("owner", "s0", "s0").or_else(|| self.store.row("owner", "s0", "owner"));
        let value = value?;
        let text = String::from_utf8_lossy(&value).into_owned();
        (0..self.fronts).find(|front| text.contains(&format!("127.50.1.{}:", front + 1)))
    }

    /// Sends a caller's request to a front and records it.
    pub fn ask(&self, front: usize, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let limit = Duration::from_millis(3_000);
        let headers = [
            ("host", "jobs.example"),
            ("content-type", "application/json"),
            ("waxwingfield-timeout-ms", "3000"),
        ];
        let sent = self.record.now_ms();
        let answer = http::call(self.callers[front], method, path, &headers, body.as_bytes(), limit);
        let text = match &answer {
            Ok((status, body)) => format!("{status} {}", String::from_utf8_lossy(body)),
            Err(error) => format!("no answer ({})", error.kind()),
        };
        self.record.line(&format!("caller: {method} {path} to front {front}, sent at {sent} ms: {text}"));
        answer.ok().map(|(status, body)| (status, String::from_utf8_lossy(&body).into_owned()))
    }

    /// Submits a job at one front after the other until it is accepted.
    pub fn submit(&self, first: usize, path: &str, body: &str) -> bool {
        let until = Instant::now() + Duration::from_secs(8);
        for turn in 0.. {
            if self.ask((first + turn) % self.fronts, "POST", path, body).is_some_and(|answer| answer.0 == 200) {
                return true;
            }
            if Instant::now() > until {
                return false;
            }
            thread::sleep(Duration::from_millis(200));
        }
        false
    }

    /// Returns the state of a job as shown; `None` if no front answers with one.
    pub fn state(&self, path: &str) -> Option<String> {
        (0..self.fronts).find_map(|front| {
            let (status, body) = self.ask(front, "GET", path, "")?;
            let body: Value = serde_json::from_str(&body).unwrap_or(json!({}));
            (status == 200).then(|| body["state"].as_str().unwrap_or_default().to_owned())
        })
    }

    /// Waits until there is an owner and all workers get orders; false if that takes too long.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.owner().is_some() && (0..self.agents).all(|worker| self.fleet.token(worker) > 0) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

/// Appends the id of a started process to the file that `REVIEW_PIDS` names, so that the script can end it
/// should this program be ended early.
fn note_pid(pid: u32) {
    use std::io::Write;
    if let Ok(path) = std::env::var("REVIEW_PIDS")
        && let Ok(mut file) = File::options().create(true).append(true).open(path)
    {
        let _ = writeln!(file, "{pid}");
    }
}

fn zone_of(machine: usize, fronts: usize) -> usize {
    if machine < fronts { machine % 3 } else { (machine - fronts) % 3 }
}

impl Drop for Site {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.record.flush();
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("logs: {}", self.folder.display());
        }
    }
}

/// The config of the installation: one queue for each prefix.
pub fn config(version: u64, prefixes: &[&str]) -> Value {
    let routes: Vec<Value> = prefixes
        .iter()
        .map(|prefix| {
            json!({ "name": format!("q{}", prefix.replace('/', "-")), "host": "jobs.example", "pathPrefix": prefix,
                "service": "niveau-service", "priority": 0, "maxAttempts": 3, "stretch": 2.0,
                "targetLatencyMs": 1000, "timeoutMs": 3000 })
        })
        .collect();
    json!({ "version": version, "routes": routes, "services": [{ "name": "niveau-service", "admissionControl": false }], "limits": { "maxBodyBytes": 262144 } })
}
