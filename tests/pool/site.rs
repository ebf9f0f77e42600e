//! Starts a small installation for a test: a store, fronts, agents and their workers.

#[path = "site/audit.rs"]
mod audit;

use crate::calls::{Answer, call, get_json, post_json};
pub(crate) use crate::common::{run, wait_for};
use crate::store_proxy::StoreProxy;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use http::Method;
use prost::Message;
use rustix::net::{AddressFamily, SocketFlags, SocketType, bind, socket_with, sockopt};
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;
use wax_batch::{JobOutcome, JobProgress, JobRow};

/// Process that a test has started; it is killed when the value is dropped.
pub(crate) struct SiteProcess {
    child: Child,
    log: PathBuf,
}

impl SiteProcess {
    fn start(name: &str, args: &[String], log: PathBuf) -> Self {
        Self::start_with_descriptors(name, args, log, None)
    }

    /// Starts a process that may open this many descriptors; `None` leaves the limit of the test.
    fn start_with_descriptors(
        name: &str,
        args: &[String],
        log: PathBuf,
        descriptors: Option<u32>,
    ) -> Self {
        let daemon = Path::new(env!("CARGO_BIN_EXE_waxwingd"));
        let path = daemon.with_file_name(name);
        assert!(
            path.exists(),
            "{name} is not built: run `cargo test --workspace`"
        );
        let output = File::options()
            .create(true)
            .append(true)
            .open(&log)
            .expect("the log file must open");
        let errors = output.try_clone().expect("the log file must be cloned");
        let mut command = match descriptors {
            Some(limit) => {
                let mut shell = Command::new("sh");
                let script = "ulimit -n \"$0\" && exec \"$@\"";
                shell.args(["-c", script, &limit.to_string()]).arg(path);
                shell
            }
            None => Command::new(path),
        };
        let child = command
            .args(args)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .expect("the process starts");
        Self { child, log }
    }

    pub(crate) fn pid(&self) -> u32 {
        self.child.id()
    }

    pub(crate) fn signal(&self, signal: i32) {
        let pid = self.child.id() as i32;
        // SAFETY: `kill` takes only integers, and the pid belongs to our child, which has not been waited for.
        let result = unsafe { libc::kill(pid, signal) };
        assert_eq!(result, 0, "signal {signal} to {pid}");
    }

    pub(crate) fn is_running(&mut self) -> bool {
        self.child
            .try_wait()
            .expect("the process can be waited for")
            .is_none()
    }

    fn end(&mut self) {
        // An error means that the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for SiteProcess {
    fn drop(&mut self) {
        self.end();
        if std::thread::panicking() {
            let log = std::fs::read_to_string(&self.log).unwrap_or_default();
            eprintln!("--- {}", self.log.display());
            let tail: Vec<&str> = log.lines().rev().take(12).collect();
            for line in tail.iter().rev() {
                eprintln!("{line}");
            }
        }
    }
}

/// Number of the next site; it is part of the site's loopback addresses, so that two sites share none.
static NEXT_SITE: AtomicU8 = AtomicU8::new(2);
/// Ports that were handed out. A port stays free until its process binds it, and must not be handed out twice.
static ALLOCATED_PORTS: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// Ports below the system's ephemeral range. Between the probe and the start of the process, the system could
/// give an ephemeral port to an outgoing connection, and the process would find its port in use.
const PORT_RANGE: std::ops::Range<u16> = 12_000..32_000;

/// Binds a socket to the address without listening. It does not listen because a process that another thread
/// starts meanwhile holds a copy of the socket until it executes its program.
///
/// # Errors
///
/// Returns an error if another socket listens on the address.
pub(crate) fn probe_port(address: SocketAddr) -> io::Result<OwnedFd> {
    let flags = SocketFlags::CLOEXEC;
    let socket = socket_with(AddressFamily::INET, SocketType::STREAM, flags, None)?;
    sockopt::set_socket_reuseaddr(&socket, true)?;
    bind(&socket, &address)?;
    Ok(socket)
}

/// Returns a port that is free on this IP address and was not handed out before.
fn free_port(ip: &str) -> SocketAddr {
    loop {
        let port = fastrand::u16(PORT_RANGE);
        let is_new = ALLOCATED_PORTS
            .lock()
            .expect("the lock must not be poisoned")
            .insert(port);
        if !is_new {
            continue;
        }
        let address = SocketAddr::new(ip.parse().expect("the address must be valid"), port);
        if probe_port(address).is_ok() {
            return address;
        }
    }
}

/// Front of a site, with the addresses that it listens on.
pub(crate) struct Front {
    pub(crate) process: Option<SiteProcess>,
    settings: PathBuf,
    pub(crate) callers: SocketAddr,
    pub(crate) readiness: SocketAddr,
    pub(crate) metrics: SocketAddr,
    /// Address for links of agents and other fronts.
    pub(crate) peers: SocketAddr,
}

/// Reading of a worker's clock after its restart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RestartClock {
    /// The clock starts at zero.
    FromZero,
    /// The clock is past the expiry of every lease of the previous boot.
    Ahead,
}

/// VM with a worker and its agent. The processes are `None` while they are killed.
pub(crate) struct Vm {
    pub(crate) agent: Option<SiteProcess>,
    pub(crate) worker: Option<SiteProcess>,
    settings: PathBuf,
    /// Address on which the worker takes orders and queries of the test.
    pub(crate) app: SocketAddr,
    /// Address on which the agent takes the worker's check-ins.
    pub(crate) check_ins: SocketAddr,
    name: String,
    domain: &'static str,
    /// Number of ids that workers of this VM have had.
    id_count: u32,
    /// Number of restarts under the latest id.
    restart_count: u32,
}

/// Running installation.
pub(crate) struct Site {
    _store: SiteProcess,
    store: SocketAddr,
    /// Proxy to the store for each front; empty if the fronts connect directly.
    pub(crate) store_proxies: Vec<StoreProxy>,
    pub(crate) fronts: Vec<Front>,
    pub(crate) vms: Vec<Vm>,
    folder: PathBuf,
    /// Version of the config that was written last.
    config_version: u64,
    /// Histories of workers that the test has killed.
    past_histories: Vec<Value>,
    drains: Vec<DomainDrain>,
    /// Section `policy` of all settings files; may be empty.
    policy: &'static str,
    /// Limit of the descriptors of fronts and agents; `None` leaves the limit of the test.
    descriptors: Option<u32>,
}

/// Drain of a failure domain by the operator. Times are Unix microseconds.
#[derive(Debug)]
struct DomainDrain {
    domain: &'static str,
    /// Time at which the store had acknowledged the drain.
    acknowledged_us: u64,
    /// Time just before the undrain was sent; `None` while the domain is drained.
    undrained_us: Option<u64>,
}

/// Time after the acknowledgement of a drain from which nothing may start in the failure domain. The platform
/// calls it `evacuateMs`.
const DRAIN_BOUND_MS: u64 = 5_000;
/// Time after its acknowledgement within which a config change must be in force. The platform calls it
/// `configApplyMs`.
const CONFIG_BOUND_MS: u64 = 2_000;
/// Failure domains, assigned to the VMs in turn.
pub(crate) const DOMAINS: [&str; 3] = ["a", "b", "c"];

fn unix_us() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |span| span.as_micros() as u64)
}

/// CPU capacity of a worker, in thousandths of a core.
pub(crate) const WORKER_CPU_MILLI: u32 = 4_000;
/// Milliseconds by which the clock of a restarted worker jumps ahead; longer than any lease.
const CLOCK_AHEAD_MS: u64 = 1_000_000;

impl Site {
    /// Starts a site in one failure domain and waits until all its fronts are ready.
    pub(crate) async fn start(test: &str, fronts: usize, vms: usize) -> Self {
        Self::start_with(test, fronts, vms, (false, 1, "")).await
    }

    /// Starts a site whose VMs are spread over this number of failure domains, with a proxy between each front
    /// and the store.
    pub(crate) async fn start_across_domains(
        test: &str,
        fronts: usize,
        vms: usize,
        domains: usize,
    ) -> Self {
        Self::start_with_policy(test, fronts, vms, (domains, "")).await
    }

    /// Starts a site in one failure domain, with a proxy between each front and the store.
    pub(crate) async fn start_with_proxies(test: &str, fronts: usize, vms: usize) -> Self {
        Self::start_with(test, fronts, vms, (true, 1, "")).await
    }

    /// Like [`Self::start_across_domains`], with this section `policy` in the settings of all fronts and agents.
    pub(crate) async fn start_with_policy(
        test: &str,
        fronts: usize,
        vms: usize,
        (domains, policy): (usize, &'static str),
    ) -> Self {
        Self::start_with(test, fronts, vms, (true, domains, policy)).await
    }

    async fn start_with(
        test: &str,
        fronts: usize,
        vms: usize,
        (proxied, domains, policy): (bool, usize, &'static str),
    ) -> Self {
        let folder =
            std::env::temp_dir().join(format!("waxwing-pool-{}-{test}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("the folder must be created");
        let store = free_port("127.0.0.1");
        let args = ["site", "--listen", &store.to_string()].map(String::from);
        let mut site = Self {
            _store: SiteProcess::start("waxwing-standin", &args, folder.join("store.log")),
            store,
            store_proxies: Vec::new(),
            fronts: Vec::new(),
            vms: Vec::new(),
            folder,
            config_version: 0,
            past_histories: Vec::new(),
            drains: Vec::new(),
            policy,
            descriptors: None,
        };
        let config_rows_url = format!("http://{store}/v1/rows-get?table=op&part=");
        wait_for("the store", || get_json(&config_rows_url)).await;
        site.put_config(&["/g/"]).await;
        // All peers use the same port on different IP addresses, as on the platform's VMs.
        let port = free_port("127.0.0.1").port();
        let base = NEXT_SITE.fetch_add(1, Ordering::Relaxed);
        for number in 0..fronts {
            if proxied {
                site.store_proxies.push(StoreProxy::start(store));
            }
            site.add_front(&format!("127.{base}.1.{}", number + 1), port, 1.0);
            site.start_front(number);
        }
        let seeds: Vec<String> = site
            .fronts
            .iter()
            .map(|front| front.callers.to_string())
            .collect();
        for number in 0..vms {
            let domain = DOMAINS[number % domains];
            site.add_vm(
                &format!("127.{base}.2.{}", number + 1),
                port,
                &seeds,
                domain,
            );
        }
        for number in 0..fronts {
            site.wait_ready(number).await;
        }
        site
    }

    /// Adds a front on a VM with this number of cores, without starting it; returns the number of the front.
    pub(crate) fn add_front_with_cores(&mut self, cores: f64) -> usize {
        let number = self.fronts.len();
        let SocketAddr::V4(first) = self.fronts[0].peers else {
            unreachable!("sites have IPv4 addresses");
        };
        let [a, b, c, _] = first.ip().octets();
        let ip = format!("{a}.{b}.{c}.{}", number + 1);
        self.add_front(&ip, first.port(), cores);
        number
    }

    fn add_front(&mut self, ip: &str, port: u16, cores: f64) {
        let number = self.fronts.len();
        let (callers, readiness, metrics) = (free_port(ip), free_port(ip), free_port(ip));
        let settings = self.folder.join(format!("front-{number}.yaml"));
        let proxy = self.store_proxies.get(number);
        let store = proxy.map_or(self.store, |proxy| proxy.address);
        let text = format!(
            "role: front\nname: front-{number}\nregion: r\nfailure_domain: a\nplatform:\n  address: {}\n\
             pool:\n  peers: {ip}:{port}\n  callers: {callers}\n  readiness: {readiness}\n  metrics: {metrics}\n  \
             drain_bound_ms: {DRAIN_BOUND_MS}\n  config_bound_ms: {CONFIG_BOUND_MS}\n  machine: {{cpu_share: {cores}}}\n\
             logs:\n  stdout: true\n  json: true\n{}",
            store, self.policy
        );
        std::fs::write(&settings, text).expect("the settings must be written");
        self.fronts.push(Front {
            process: None,
            settings,
            callers,
            readiness,
            metrics,
            peers: SocketAddr::new(ip.parse().expect("the address must be valid"), port),
        });
    }

    pub(crate) fn start_front(&mut self, number: usize) {
        let front = &mut self.fronts[number];
        let args = [
            "--settings".to_owned(),
            front.settings.display().to_string(),
        ];
        let log = self.folder.join(format!("front-{number}.log"));
        let process = SiteProcess::start_with_descriptors("waxwingd", &args, log, self.descriptors);
        front.process = Some(process);
    }

    /// Makes the first of two fronts the owner of the shard and waits until the second one is linked to it. Runs a
    /// job of this name in between.
    pub(crate) async fn make_first_front_owner(&mut self, job_name: &str) {
        self.kill_front(1);
        self.submit(job_name, &job(1, 1, 50)).await;
        self.wait_state(job_name, "completed").await;
        let linked = "linked to the owner";
        let before = self.log("front-1").matches(linked).count();
        self.start_front(1);
        self.wait_ready(1).await;
        self.wait_log_lines("front-1", linked, before + 1).await;
    }

    /// Returns the output of `waxwing logs report` for the logs of all fronts and agents.
    pub(crate) fn log_report(&self, options: &[&str]) -> String {
        let tool = Path::new(env!("CARGO_BIN_EXE_waxwingd")).with_file_name("waxwing");
        let fronts = (0..self.fronts.len()).map(|number| format!("front-{number}.log"));
        let agents = self.vms.iter().map(|vm| format!("{}.log", vm.name));
        let files = fronts.chain(agents).map(|file| self.folder.join(file));
        let output = Command::new(tool)
            .args(["logs", "report"])
            .args(options)
            .args(files)
            .output()
            .expect("the tool must run");
        let errors = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{errors}");
        String::from_utf8_lossy(&output.stdout).into_owned()
    }

    /// Returns the log of a process; empty if the process has logged nothing.
    pub(crate) fn log(&self, process: &str) -> String {
        std::fs::read_to_string(self.folder.join(format!("{process}.log"))).unwrap_or_default()
    }

    /// Waits until a line of the process's log contains the text.
    pub(crate) async fn wait_log(&self, process: &str, text: &str) {
        self.wait_log_lines(process, text, 1).await;
    }

    /// Waits until this number of lines of the process's log contain the text.
    pub(crate) async fn wait_log_lines(&self, process: &str, text: &str, lines: usize) {
        wait_for(&format!("{process} to log: {text}"), || async {
            let log = self.log(process);
            let found = log.lines().filter(|line| line.contains(text)).count();
            (found >= lines).then_some(())
        })
        .await;
    }

    /// Adds lines to the settings of a front and waits until they are in force.
    pub(crate) async fn add_front_settings(&self, number: usize, lines: &str) {
        let settings = &self.fronts[number].settings;
        let text = std::fs::read_to_string(settings).expect("the settings must be readable");
        std::fs::write(settings, text + lines).expect("the settings must be written");
        self.wait_log(&format!("front-{number}"), "settings reloaded")
            .await;
    }

    pub(crate) fn is_front_running(&mut self, number: usize) -> bool {
        let process = self.fronts[number].process.as_mut();
        process.is_some_and(SiteProcess::is_running)
    }

    pub(crate) fn signal_front(&self, number: usize, signal: i32) {
        let process = self.fronts[number].process.as_ref();
        process.expect("the front must be running").signal(signal);
    }

    pub(crate) fn kill_front(&mut self, number: usize) {
        self.fronts[number].process = None;
    }

    fn add_vm(&mut self, ip: &str, port: u16, seeds: &[String], domain: &'static str) {
        let name = format!("side-{}", self.vms.len());
        let (app, check_ins) = (free_port(ip), free_port(ip));
        let settings = self.folder.join(format!("{name}.yaml"));
        let text = format!(
            "role: agent\nname: {name}\nregion: r\nfailure_domain: {domain}\nplatform:\n  address: {}\n\
             pool:\n  peers: {ip}:{port}\n  seeds: [{}]\n  check_ins: {check_ins}\n  worker: {app}\n  \
             drain_bound_ms: {DRAIN_BOUND_MS}\n\
             logs:\n  stdout: true\n  json: true\n{}",
            self.store,
            seeds.join(", "),
            self.policy
        );
        std::fs::write(&settings, text).expect("the settings must be written");
        self.vms.push(Vm {
            agent: None,
            worker: None,
            settings,
            app,
            check_ins,
            name,
            domain,
            id_count: 0,
            restart_count: 0,
        });
        let number = self.vms.len() - 1;
        self.start_agent(number);
        self.start_worker(number);
    }

    pub(crate) fn start_agent(&mut self, number: usize) {
        let vm = &mut self.vms[number];
        let args = ["--settings".to_owned(), vm.settings.display().to_string()];
        let log = self.folder.join(format!("{}.log", vm.name));
        let process = SiteProcess::start_with_descriptors("waxwingd", &args, log, self.descriptors);
        vm.agent = Some(process);
    }

    /// Sets the section `policy.orders` of all agents and fronts and starts their processes again.
    pub(crate) async fn set_order_rules(&mut self, rules: &str) {
        let settings = self.fronts.iter().map(|front| &front.settings);
        for file in settings.chain(self.vms.iter().map(|vm| &vm.settings)) {
            let text = std::fs::read_to_string(file).expect("the settings must be readable");
            let text = format!("{text}policy:\n  orders: {{{rules}}}\n");
            std::fs::write(file, text).expect("the settings must be written");
        }
        for number in 0..self.vms.len() {
            self.kill_agent(number);
            self.start_agent(number);
        }
        for number in 0..self.fronts.len() {
            self.kill_front(number);
            self.start_front(number);
            self.wait_ready(number).await;
        }
    }

    pub(crate) fn signal_agent(&self, number: usize, signal: i32) {
        let process = self.vms[number].agent.as_ref();
        process.expect("the agent must be running").signal(signal);
    }

    pub(crate) fn kill_agent(&mut self, number: usize) {
        self.vms[number].agent = None;
    }

    pub(crate) fn start_worker(&mut self, number: usize) {
        self.start_worker_reporting_domain(number, self.vms[number].domain);
    }

    /// Starts a worker under a new id. The worker reports this failure domain, which may differ from that of its VM.
    pub(crate) fn start_worker_reporting_domain(&mut self, number: usize, domain: &str) {
        let vm = &mut self.vms[number];
        vm.id_count += 1;
        vm.restart_count = 0;
        self.spawn_worker(number, domain, WORKER_CPU_MILLI, &[]);
    }

    /// Kills a worker and starts it under the same id.
    pub(crate) async fn restart_worker(&mut self, number: usize, clock: RestartClock) {
        self.kill_worker(number).await;
        self.start_worker_under_id(number, clock);
    }

    /// Restarts an ended worker under its previous id.
    pub(crate) fn start_worker_under_id(&mut self, number: usize, clock: RestartClock) {
        let restart_count = self.vms[number].restart_count + 1;
        let clock_ms = match clock {
            RestartClock::FromZero => 0,
            RestartClock::Ahead => CLOCK_AHEAD_MS * u64::from(restart_count),
        };
        let clock_ms = clock_ms.to_string();
        self.start_worker_under_id_with(number, WORKER_CPU_MILLI, &["--clock-ms", &clock_ms]);
    }

    /// Restarts an ended worker under its previous id, with this CPU capacity and further command-line options.
    pub(crate) fn start_worker_under_id_with(
        &mut self,
        number: usize,
        cpu_milli: u32,
        options: &[&str],
    ) {
        let vm = &mut self.vms[number];
        vm.restart_count += 1;
        let domain = vm.domain;
        self.spawn_worker(number, domain, cpu_milli, options);
    }

    pub(crate) fn worker_id(&self, number: usize) -> String {
        let vm = &self.vms[number];
        format!("i-{}-{}", vm.name, vm.id_count)
    }

    /// Returns the highest fencing token that the worker has seen; `None` before its first order.
    pub(crate) async fn worker_fencing_token(&self, number: usize) -> Option<u64> {
        let url = format!("http://{}/token", self.vms[number].app);
        get_json(&url).await?.as_u64().filter(|token| *token > 0)
    }

    fn spawn_worker(&mut self, number: usize, domain: &str, cpu_milli: u32, options: &[&str]) {
        let id = self.worker_id(number);
        let vm = &mut self.vms[number];
        let args = [
            "site-worker",
            "--listen",
            &vm.app.to_string(),
            "--agent",
            &vm.check_ins.to_string(),
            "--service",
            "svc",
            "--id",
            &id,
            "--cpu-milli",
            &cpu_milli.to_string(),
            "--domain",
            domain,
        ];
        let args: Vec<String> = args
            .iter()
            .chain(options)
            .map(ToString::to_string)
            .collect();
        let log = self.folder.join(format!("{}-worker.log", vm.name));
        vm.worker = Some(SiteProcess::start("waxwing-standin", &args, log));
    }

    pub(crate) async fn kill_worker(&mut self, number: usize) {
        self.audit_drains().await;
        let history = self.history(number).await;
        self.vms[number].worker = None;
        self.past_histories.push(audit::with_killed_runs(&history));
    }

    /// Replaces workers that have ended by workers with new ids, as the platform does.
    pub(crate) fn replace_ended_workers(&mut self) {
        for number in 0..self.vms.len() {
            let worker = self.vms[number].worker.as_mut();
            if !worker.is_some_and(SiteProcess::is_running) {
                self.start_worker(number);
            }
        }
    }

    /// Restarts workers that have crashed, under their previous ids.
    pub(crate) fn restart_crashed_workers(&mut self) {
        for number in 0..self.vms.len() {
            let worker = self.vms[number].worker.as_mut();
            if worker.is_some_and(|worker| !worker.is_running()) {
                self.start_worker_under_id(number, RestartClock::FromZero);
            }
        }
    }

    /// Returns the number of ordered starts of a task, counted in the logs of all fronts.
    pub(crate) fn ordered_start_count(&self, task: &str) -> usize {
        let task = format!("\"task\":\"{task}\"");
        let logs = (0..self.fronts.len()).map(|number| self.log(&format!("front-{number}")));
        let ordered = |line: &&str| line.contains("start ordered") && line.contains(&task);
        logs.map(|log| log.lines().filter(ordered).count()).sum()
    }

    pub(crate) async fn wait_ready(&self, front: usize) {
        let url = format!("http://{}/v1/ready", self.fronts[front].readiness);
        wait_for("a front to report readiness", || async {
            call(Method::GET, &url, &[], Vec::new())
                .await
                .ok()
                .filter(|answer| answer.status == 200)
        })
        .await;
    }

    /// Writes the next version of the config, with a queue for each prefix.
    pub(crate) async fn put_config(&mut self, prefixes: &[&str]) {
        let queues: Vec<(&str, u32)> = prefixes.iter().map(|prefix| (*prefix, 2)).collect();
        self.put_config_with_attempts(&queues).await;
    }

    /// Writes the next version of the config, with a queue for each prefix, and its `maxAttempts`.
    pub(crate) async fn put_config_with_attempts(&mut self, queues: &[(&str, u32)]) {
        self.config_version += 3;
        let routes: Vec<Value> = queues
            .iter()
            .map(|(prefix, max_attempts)| {
                json!({ "name": format!("q{}", prefix.replace('/', "-")), "host": "h.example", "pathPrefix": prefix,
                    "service": "svc", "maxAttempts": max_attempts, "stretch": 2.0, "targetLatencyMs": 500, "timeoutMs": 3000 })
            })
            .collect();
        let config = json!({ "version": self.config_version, "routes": routes, "services": [{ "name": "svc" }], "limits": {} });
        let value = base64(config.to_string().as_bytes());
        self.commit_as_operator(
            json!({ "writes": [{ "table": "op", "part": "", "key": "config", "value": value }] }),
        )
        .await;
    }

    /// Drains a failure domain as the operator; returns once the store has acknowledged the drain.
    pub(crate) async fn drain(&mut self, domain: &'static str) {
        let key = format!("evacuate/{domain}");
        // The row's value has no meaning and may be anything.
        let value = base64(b"?");
        self.commit_as_operator(
            json!({ "writes": [{ "table": "op", "part": "", "key": key, "value": value }] }),
        )
        .await;
        self.drains.push(DomainDrain {
            domain,
            acknowledged_us: unix_us(),
            undrained_us: None,
        });
    }

    /// Undrains a failure domain as the operator.
    pub(crate) async fn undrain(&mut self, domain: &str) {
        let before = unix_us();
        let open = self.drains.iter_mut().rev();
        let mut open = open.filter(|drain| drain.domain == domain && drain.undrained_us.is_none());
        open.next()
            .expect("the domain must be drained")
            .undrained_us = Some(before);
        let key = format!("evacuate/{domain}");
        self.commit_as_operator(json!({ "remove": [{ "table": "op", "part": "", "key": key }] }))
            .await;
    }

    /// Makes all fronts keep ended jobs for this long, and starts their processes again.
    pub(crate) async fn set_retention(&mut self, retention: Duration) {
        for number in 0..self.fronts.len() {
            let settings = &self.fronts[number].settings;
            let text = std::fs::read_to_string(settings).expect("the settings must be readable");
            let section = format!("pool:\n  keep_ended_s: {}\n", retention.as_secs());
            let text = text.replace("pool:\n", &section);
            std::fs::write(settings, text).expect("the settings must be written");
            self.kill_front(number);
            self.start_front(number);
        }
        for number in 0..self.fronts.len() {
            self.wait_ready(number).await;
        }
    }

    /// Limits the memory, in mebibytes, and the descriptors of all fronts and agents, and starts their processes
    /// again.
    pub(crate) async fn limit_processes(&mut self, memory_mb: u32, descriptors: u32) {
        self.descriptors = Some(descriptors);
        for number in 0..self.fronts.len() {
            let settings = &self.fronts[number].settings;
            let text = std::fs::read_to_string(settings).expect("the settings must be readable");
            let machine = format!("machine: {{memory_mb: {memory_mb}, ");
            std::fs::write(settings, text.replace("machine: {", &machine))
                .expect("the settings must be written");
            self.kill_front(number);
            self.start_front(number);
        }
        for number in 0..self.vms.len() {
            let settings = &self.vms[number].settings;
            let text = std::fs::read_to_string(settings).expect("the settings must be readable");
            let section = format!("pool:\n  machine: {{memory_mb: {memory_mb}}}\n");
            std::fs::write(settings, text.replace("pool:\n", &section))
                .expect("the settings must be written");
            self.kill_agent(number);
            self.start_agent(number);
        }
        for number in 0..self.fronts.len() {
            self.wait_ready(number).await;
        }
    }

    /// Returns the value of a row of the shard.
    async fn row_value(&self, table: &str, key: &str) -> Vec<u8> {
        let url = format!("http://{}/v1/rows-get?table={table}&part=s0", self.store);
        let page = wait_for("rows of the shard", || get_json(&url)).await;
        let mut rows = page["rows"].as_array().into_iter().flatten();
        let row = rows.find(|row| row["key"] == *key);
        let value = row.expect("the row must exist")["value"].as_str();
        let value = STANDARD.decode(value.expect("a row must have a value"));
        value.expect("the value must be Base64")
    }

    /// Writes a row of the shard as another writer.
    pub(crate) async fn put_row(&self, table: &str, key: &str, value: &[u8]) {
        self.put_row_text((table, "s0"), key, &base64(value)).await;
    }

    /// Writes a row of any part, with this text in place of the Base64 of its value.
    pub(crate) async fn put_row_text(&self, (table, part): (&str, &str), key: &str, text: &str) {
        let row = json!({ "table": table, "part": part, "key": key, "value": text });
        self.commit_as_operator(json!({ "writes": [row] })).await;
    }

    /// Stores a completed job that no owner knows, because its row cannot be decoded.
    pub(crate) async fn put_unknown_completed_job(&self, job: &str) {
        let progress = JobProgress {
            outcome: JobOutcome::Completed.into(),
            ..Default::default()
        };
        self.put_row("progress", job, &progress.encode_to_vec())
            .await;
        self.put_row("job", job, b"?").await;
    }

    /// Removes the rows of a job in one transaction, as owners do.
    pub(crate) async fn remove_job(&self, job: &str) {
        let key = |table| json!({ "table": table, "part": "s0", "key": job });
        self.commit_as_operator(json!({ "remove": [key("job"), key("progress")] }))
            .await;
    }

    /// Changes the time at which a job ended by this much, as if the owner that stored the end had a different wall
    /// clock.
    pub(crate) async fn shift_end_of_job(&self, job: &str, difference_ms: i64) {
        let row = self.row_value("progress", job).await;
        let mut row = JobProgress::decode(&*row).expect("the row must be decoded");
        assert_ne!(row.ended_ms, 0, "the job must have ended");
        row.ended_ms = row.ended_ms.saturating_add_signed(difference_ms);
        self.put_row("progress", job, &row.encode_to_vec()).await;
    }

    /// Stores a copy of an accepted job under another name, as if the front that accepted it had a wall clock that
    /// differs by this much.
    pub(crate) async fn copy_job(&self, job: &str, copy: &str, difference_ms: i64) {
        let row = self.row_value("job", job).await;
        let mut row = JobRow::decode(&*row).expect("the row must be decoded");
        row.accepted_ms = row.accepted_ms.saturating_add_signed(difference_ms);
        self.put_row("job", copy, &row.encode_to_vec()).await;
    }

    /// Returns the age of a job at its end, in milliseconds, as the first front has logged it.
    pub(crate) async fn logged_age_ms(&self, job: &str) -> u64 {
        let line = wait_for("the line of the job's end", || async {
            let log = self.log("front-0");
            let mut lines = log.lines();
            lines
                .find(|line| line.contains("job ended") && line.contains(job))
                .map(str::to_owned)
        })
        .await;
        let line: Value = serde_json::from_str(&line).expect("log lines must be JSON");
        line["age_ms"].as_u64().expect("the line must have the age")
    }

    /// Commits a transaction to the store as the operator.
    async fn commit_as_operator(&self, body: Value) {
        let headers = [("content-type", "application/json"), ("x-operator", "1")];
        let url = format!("http://{}/v1/rows-tx", self.store);
        let answer = call(Method::POST, &url, &headers, body.to_string().into_bytes()).await;
        assert_eq!(answer.expect("the store must answer").status, 200);
    }

    pub(crate) async fn set_store_faults(&self, faults: Value) {
        let answer = post_json(&format!("http://{}/faults", self.store), &faults).await;
        assert_eq!(answer.expect("the store must answer").status, 200);
    }

    /// Returns the number of agent rows in the store, one for each agent that may have received orders.
    pub(crate) async fn agent_row_count(&self) -> Option<usize> {
        let url = format!("http://{}/v1/rows-get?table=agent&part=s0", self.store);
        Some(get_json(&url).await?["rows"].as_array()?.len())
    }

    pub(crate) async fn set_worker_faults(&self, number: usize, faults: Value) {
        let url = format!("http://{}/faults", self.vms[number].app);
        let answer = wait_for("a worker to accept its faults", || async {
            post_json(&url, &faults).await.ok()
        })
        .await;
        assert_eq!(answer.status, 200);
    }

    /// Waits until a worker answers calls.
    pub(crate) async fn wait_worker(&self, number: usize) {
        self.history(number).await;
    }

    /// Returns the report that a worker sends in its check-ins.
    pub(crate) async fn worker_report(&self, number: usize) -> Value {
        let url = format!("http://{}/report", self.vms[number].app);
        wait_for("a worker's report", || get_json(&url)).await
    }

    /// Sends an agent a call as its worker does.
    pub(crate) async fn call_agent(&self, number: usize, call: &str, body: &Value) {
        let body = body.to_string().into_bytes();
        assert_eq!(self.call_agent_as_other(number, call, body).await, 200);
    }

    /// Sends an agent any bytes under the id of its worker; returns the status of the answer.
    pub(crate) async fn call_agent_as_other(
        &self,
        number: usize,
        path: &str,
        body: Vec<u8>,
    ) -> u16 {
        let id = self.worker_id(number);
        let agent = self.vms[number].check_ins;
        let url = format!("http://{agent}/v1/instances/{id}/{path}");
        let headers = [("content-type", "application/json")];
        let answer = call(Method::POST, &url, &headers, body).await;
        answer.expect("the agent must answer").status
    }

    /// Returns whether no process of the site has ended by itself.
    pub(crate) fn are_all_running(&mut self) -> bool {
        let fronts = self.fronts.iter_mut().map(|front| &mut front.process);
        let vms = self.vms.iter_mut();
        let mut processes = fronts.chain(vms.map(|vm| &mut vm.agent));
        processes.all(|process| process.as_mut().is_some_and(SiteProcess::is_running))
    }

    /// Sends an order to a worker directly, bypassing its agent.
    pub(crate) async fn send_order(&self, number: usize, order: &str, body: &Value) -> Answer {
        let url = format!("http://{}/v1/{order}", self.vms[number].app);
        post_json(&url, body).await.expect("the worker must answer")
    }

    fn url(&self, front: usize, job: &str) -> String {
        format!("http://{}/g/{job}", self.fronts[front].callers)
    }

    /// Sends a request about a job to a front's interface for callers.
    pub(crate) async fn request(
        &self,
        front: usize,
        method: Method,
        job: &str,
        body: Vec<u8>,
    ) -> Result<Answer, String> {
        call(
            method,
            &self.url(front, job),
            &[("host", "h.example")],
            body,
        )
        .await
    }

    /// Sends a request for any path to a front's interface for callers.
    pub(crate) async fn request_path(
        &self,
        front: usize,
        method: Method,
        path: &str,
    ) -> Result<Answer, String> {
        let url = format!("http://{}{path}", self.fronts[front].callers);
        call(method, &url, &[("host", "h.example")], Vec::new()).await
    }

    /// Submits a job at one front after the other until one accepts it.
    pub(crate) async fn submit(&self, job: &str, body: &Value) {
        self.submit_to("/g/", job, body).await;
    }

    /// Submits a job to the queue with this path prefix.
    pub(crate) async fn submit_to(&self, prefix: &str, job: &str, body: &Value) {
        wait_for("a job to be accepted", || async {
            for front in &self.fronts {
                let url = format!("http://{}{prefix}{job}", front.callers);
                let body = body.to_string().into_bytes();
                let answer = call(Method::POST, &url, &[("host", "h.example")], body).await;
                if answer.is_ok_and(|answer| answer.status == 200) {
                    return Some(());
                }
            }
            None
        })
        .await;
    }

    /// Returns the state of a job from the first front that answers; `None` if no front does.
    pub(crate) async fn state(&self, job: &str) -> Option<String> {
        for front in 0..self.fronts.len() {
            if let Ok(answer) = self.request(front, Method::GET, job, Vec::new()).await
                && answer.status == 200
            {
                return answer.json()["state"].as_str().map(Into::into);
            }
        }
        None
    }

    /// Returns whether all these jobs have completed or failed.
    pub(crate) async fn have_jobs_ended(&self, jobs: &[String]) -> bool {
        for job in jobs {
            let state = self.state(job).await;
            if !state.is_some_and(|state| state == "completed" || state == "failed") {
                return false;
            }
        }
        true
    }

    pub(crate) async fn wait_state(&self, job: &str, state: &str) {
        wait_for(&format!("{job} to be {state}"), || async {
            self.state(job).await.filter(|known| known == state)
        })
        .await;
    }

    /// Waits until a job is in one of these states.
    pub(crate) async fn wait_ended(&self, job: &str, states: &[&str]) {
        wait_for(&format!("{job} to be one of {states:?}"), || async {
            let state = self.state(job).await?;
            states.contains(&state.as_str()).then_some(())
        })
        .await;
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            // The folder is in the system's temporary directory, so leftover files do no harm.
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

pub(crate) fn base64(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

/// Returns a job of `steps` sequential steps, each of `count` tasks that run for `ms` milliseconds.
pub(crate) fn job(steps: u16, count: u32, ms: u64) -> Value {
    let phases: Vec<Value> = (0..steps)
        .map(|step| {
            let after: Vec<u16> = if step == 0 {
                Vec::new()
            } else {
                vec![step - 1]
            };
            json!({ "count": count, "cpu": 1000, "memMb": 100, "estimatedMs": ms, "after": after })
        })
        .collect();
    let spec = json!({ "ms": ms, "cpu": 1000, "mem": 100 }).to_string();
    json!({ "spec": spec, "phases": phases })
}

/// Returns a job of `count` long-running tasks.
pub(crate) fn long_running_job(count: u32) -> Value {
    let work = json!({ "ms": 600_000, "cpu": 500, "mem": 100 });
    let step = json!({ "count": count, "cpu": 500, "memMb": 100, "longRunning": true });
    json!({ "spec": work.to_string(), "phases": [step] })
}

/// Returns the name of the `n`-th job of a test.
pub(crate) fn name(n: u64) -> String {
    format!("{n:016x}")
}
