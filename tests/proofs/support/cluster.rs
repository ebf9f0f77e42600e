//! Starts a complete system of processes on a loopback address.

use super::calls::{Answer, call, get_json, post_json};
use super::process::TestProcess;
use super::wait_for;
use http::Method;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

pub(crate) const TEAM: &str = "barrages";
pub(crate) const SERVICE: &str = "niveau-service";

/// Number of polls, and the interval between them, within which a job must end.
const MAX_JOB_POLLS: u32 = 900;
const JOB_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Returns a loopback address that no other cluster of this process uses, and that a cluster of another process is
/// unlikely to use.
fn cluster_ip(cluster: u32) -> String {
    format!(
        "127.{}.{}.1",
        100 + std::process::id() % 100,
        1 + cluster % 250
    )
}

static NEXT_CLUSTER: AtomicU32 = AtomicU32::new(0);

/// Size and settings of a cluster.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ClusterPlan {
    pub(crate) entries: usize,
    pub(crate) sidecars: usize,
    pub(crate) workers: usize,
    pub(crate) shards: u16,
    pub(crate) lease_ms: u32,
    pub(crate) grace_ms: u32,
    pub(crate) service_ms: u32,
}

impl Default for ClusterPlan {
    fn default() -> Self {
        Self {
            entries: 2,
            sidecars: 2,
            workers: 3,
            shards: 2,
            lease_ms: 3_000,
            grace_ms: 2_000,
            service_ms: 2,
        }
    }
}

/// Running cluster; its processes are identified by name, such as `entry-1`.
#[derive(Debug)]
pub(crate) struct Cluster {
    plan: ClusterPlan,
    folder: PathBuf,
    /// Address on which all processes listen. Neither other clusters nor outgoing connections use it, so the port of
    /// a killed process is still free when the process is restarted.
    ip: String,
    platform: String,
    processes: BTreeMap<String, TestProcess>,
    /// Addresses that each process printed at its first start, by process name and key. Restarts reuse them.
    addresses: BTreeMap<String, BTreeMap<String, String>>,
}

impl Cluster {
    /// Starts all processes, commits a settings tree and waits until all processes apply it.
    pub(crate) async fn start(plan: ClusterPlan) -> Self {
        let number = NEXT_CLUSTER.fetch_add(1, Ordering::Relaxed);
        let name = format!("cluster-{}-{number}", std::process::id());
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&folder).expect("the folder must be created");
        let mut cluster = Self {
            plan,
            folder,
            ip: cluster_ip(number),
            platform: String::new(),
            processes: BTreeMap::new(),
            addresses: BTreeMap::new(),
        };
        cluster.start_standin("platform", &["platform"]);
        cluster.platform = cluster.address("platform", "platform");
        for n in 1..=plan.workers {
            cluster.start_worker(n);
        }
        for n in 1..=plan.entries {
            cluster.start_entry(n);
        }
        for n in 1..=plan.sidecars {
            cluster.start_upstream(n);
            cluster.start_sidecar(n);
        }
        cluster.apply_tree().await;
        cluster.wait_settings_applied().await;
        cluster
    }

    fn start_standin(&mut self, name: &str, args: &[&str]) {
        let mut args: Vec<String> = args.iter().map(|arg| (*arg).to_owned()).collect();
        args.extend([
            "--listen".into(),
            self.listen_address(name, standin_kind(name)),
        ]);
        self.spawn(name, "waxwing-standin", &args);
    }

    /// Returns the address that a process had before, or port 0 for a free port.
    fn listen_address(&self, name: &str, key: &str) -> String {
        self.addresses
            .get(name)
            .and_then(|known| known.get(key))
            .cloned()
            .unwrap_or_else(|| format!("{}:0", self.ip))
    }

    fn spawn(&mut self, name: &str, binary: &str, args: &[String]) {
        let log = self.folder.join(format!("{name}.log"));
        let process = TestProcess::start(binary, args, &log);
        let ready = process.ready.get("ready").unwrap_or(&process.ready);
        let known: BTreeMap<String, String> = ready
            .as_object()
            .into_iter()
            .flatten()
            .filter_map(|(key, value)| Some((key.clone(), value.as_str()?.to_owned())))
            .collect();
        self.addresses.insert(name.to_owned(), known);
        self.processes.insert(name.to_owned(), process);
    }

    pub(crate) fn start_worker(&mut self, n: usize) {
        let (id, rack, domain) = (
            format!("worker-{n}"),
            format!("rack-{}", n.div_ceil(3)),
            format!("domain-{}", n % 3 + 1),
        );
        let platform = self.platform.clone();
        let args = [
            "worker",
            "--platform",
            &platform,
            "--id",
            &id,
            "--rack",
            &rack,
            "--domain",
            &domain,
            "--cpu-milli",
            "8000",
            "--memory-mib",
            "32768",
            "--usage-ms",
            "200",
        ];
        self.start_standin(&id, &args);
    }

    pub(crate) fn start_upstream(&mut self, n: usize) {
        let service = self.plan.service_ms.to_string();
        let args = ["upstream", "--service-ms", &service];
        self.start_standin(&format!("upstream-{n}"), &args);
    }

    pub(crate) fn start_entry(&mut self, n: usize) {
        let name = format!("entry-{n}");
        let listen = |key| self.listen_address(&name, key);
        let plan = self.plan;
        let text = format!(
            "role: entry\nname: {name}\nregion: test\nfailure_domain: domain-{n}\n\
             platform: {{address: '{}', call_ms: 500}}\n\
             entry: {{callers: '{}', operators: '{}', peers: '{}', settings_poll_ms: 200}}\n\
             coordinator: {{shards: {}, heartbeat_ms: 150, member_ttl_ms: 1200, lease_ms: {}, \
             renew_ms: 200, grace_ms: {}}}\nlogs: {{filter: debug}}\n",
            self.platform,
            listen("callers"),
            listen("operators"),
            listen("peers"),
            plan.shards,
            plan.lease_ms,
            plan.grace_ms,
        );
        self.start_daemon(&name, &text);
    }

    pub(crate) fn start_sidecar(&mut self, n: usize) {
        let entries: Vec<String> = (1..=self.plan.entries)
            .map(|n| format!("'{}'", self.address(&format!("entry-{n}"), "peers")))
            .collect();
        self.start_sidecar_with_entries(n, &entries.join(", "));
    }

    /// Starts a sidecar that connects to a single entry at this address.
    pub(crate) fn start_sidecar_with_entry(&mut self, n: usize, entry: &str) {
        self.start_sidecar_with_entries(n, &format!("'{entry}'"));
    }

    fn start_sidecar_with_entries(&mut self, n: usize, entries: &str) {
        let name = format!("sidecar-{n}");
        let text = format!(
            "role: sidecar\nname: {name}\nregion: test\nfailure_domain: domain-{n}\n\
             platform: {{address: '{}'}}\n\
             sidecar: {{service: {SERVICE}, upstream: '{}', entries: [{entries}]}}\n",
            self.platform,
            self.address(&format!("upstream-{n}"), "upstream"),
        );
        self.start_daemon(&name, &text);
    }

    fn start_daemon(&mut self, name: &str, settings: &str) {
        let file = self.folder.join(format!("{name}.yaml"));
        std::fs::write(&file, settings).expect("the settings must be written");
        let args = ["--settings".to_owned(), file.display().to_string()];
        self.spawn(name, "waxwingd", &args);
    }

    /// Restarts a process that has ended, at its previous addresses.
    pub(crate) fn restart(&mut self, name: &str) {
        let (kind, n) = name
            .split_once('-')
            .expect("the name must end with a number");
        let n = n.parse().expect("the name must end with a number");
        match kind {
            "entry" => self.start_entry(n),
            "sidecar" => self.start_sidecar(n),
            "worker" => self.start_worker(n),
            "upstream" => self.start_upstream(n),
            _ => panic!("{name} cannot be restarted"),
        }
    }

    pub(crate) fn kill(&mut self, name: &str) {
        self.processes
            .remove(name)
            .expect("the process must be running")
            .kill();
    }

    pub(crate) fn signal(&self, name: &str, signal: i32) {
        self.processes[name].signal(signal);
    }

    pub(crate) fn freeze(&self, name: &str) {
        self.signal(name, libc::SIGSTOP);
    }

    pub(crate) fn thaw(&self, name: &str) {
        self.signal(name, libc::SIGCONT);
    }

    /// Drains a process with SIGTERM and waits for its end; returns its exit code.
    pub(crate) async fn drain(&mut self, name: &str) -> Option<i32> {
        self.signal(name, libc::SIGTERM);
        let mut process = self
            .processes
            .remove(name)
            .expect("the process must be running");
        process.wait().await.code()
    }

    pub(crate) fn address(&self, name: &str, key: &str) -> String {
        self.addresses[name][key].clone()
    }

    pub(crate) fn callers(&self, n: usize) -> String {
        format!("http://{}", self.address(&format!("entry-{n}"), "callers"))
    }

    pub(crate) fn operators(&self, n: usize) -> String {
        format!(
            "http://{}",
            self.address(&format!("entry-{n}"), "operators")
        )
    }

    /// Returns the URL of the platform.
    pub(crate) fn platform_url(&self) -> String {
        format!("http://{}", self.platform)
    }

    pub(crate) fn worker_names(&self) -> Vec<String> {
        (1..=self.plan.workers)
            .map(|n| format!("worker-{n}"))
            .collect()
    }

    /// Sets the faults of the platform or of a stand-in.
    pub(crate) async fn set_faults(&self, name: &str, faults: Value) {
        let url = format!("http://{}/faults", self.address(name, standin_kind(name)));
        let answer = post_json(&url, &faults)
            .await
            .expect("the faults must be set");
        assert!(answer.status < 300, "faults: {}", answer.text());
    }

    /// Returns what a stand-in has recorded, such as its runs or requests.
    pub(crate) async fn record(&self, name: &str) -> Value {
        let url = format!("http://{}/audit", self.address(name, standin_kind(name)));
        get_json(&url).await.expect("the stand-in must answer")
    }

    /// Commits the settings tree that the tests use.
    async fn apply_tree(&self) {
        let tree = json!({ "nodes": {
            "/": { "deadline_ms": 2000 },
            "/barrages": {},
            "/barrages/niveau-service": {},
            "/barrages/niveau-service/kinds/sommaire": {
                "cpu_milli": 2000, "memory_mib": 1024, "attempts": 5
            },
            "/barrages/niveau-service/kinds/urgent": {
                "class": "latency-critical", "cpu_milli": 6000, "memory_mib": 1024
            },
            "/barrages/niveau-service/watches/seuil": {},
            "/comites": {},
            "/comites/niveau-service": {}
        }});
        let body = json!({ "author": "test", "tree": tree });
        let url = format!("{}/v1/settings", self.operators(1));
        let answer = post_json(&url, &body).await.expect("the entry must answer");
        assert_eq!(answer.status, 200, "{}", answer.text());
    }

    async fn wait_settings_applied(&self) {
        for n in 1..=self.plan.entries {
            let url = format!("{}/v1/status", self.operators(n));
            let wanted = self.plan.entries + self.plan.sidecars;
            wait_for("all processes to apply the settings", || async {
                let status = get_json(&url).await?;
                let settings = &status["settings"];
                let all = settings["in_force"].as_u64()? == wanted as u64;
                (all && settings["version"].as_u64()? > 0).then_some(())
            })
            .await;
        }
    }

    /// Waits until an entry serves quick requests.
    pub(crate) async fn wait_until_routing(&self, entry: usize) {
        wait_for("an entry to route", || async {
            let answer = self.request(entry, "/routed", &[]).await.ok()?;
            (answer.outcome == "ran").then_some(())
        })
        .await;
    }

    /// Waits until an upstream has started a request with this key.
    pub(crate) async fn wait_executed(&self, upstream: usize, key: &str) {
        wait_for("a key to be executed", || async {
            let record = self.record(&format!("upstream-{upstream}")).await;
            record["keys"].get(key).map(|_| ())
        })
        .await;
    }

    /// Waits until every shard has an owner.
    pub(crate) async fn wait_owned(&self) {
        wait_for("an owner of every shard", || async {
            let mut owned = 0;
            for n in 1..=self.plan.entries {
                let url = format!("{}/v1/status", self.operators(n));
                let status = get_json(&url).await.unwrap_or_default();
                owned += status["shards"].as_array().map_or(0, Vec::len);
            }
            (owned >= self.plan.shards.into()).then_some(())
        })
        .await;
    }

    /// Sends a quick request.
    pub(crate) async fn request(
        &self,
        entry: usize,
        path: &str,
        headers: &[(&str, &str)],
    ) -> Result<Answer, String> {
        let url = format!("{}/v1/call/{SERVICE}{path}", self.callers(entry));
        let mut all = vec![("waxwing-team", TEAM)];
        all.extend_from_slice(headers);
        call(Method::GET, &url, &all, Vec::new()).await
    }

    /// Submits a job at one entry.
    pub(crate) async fn submit(
        &self,
        entry: usize,
        kind: &str,
        tasks: u32,
        input: Value,
        key: &str,
    ) -> Result<Answer, String> {
        let url = format!("{}/v1/jobs", self.callers(entry));
        let body = json!({ "service": SERVICE, "kind": kind, "tasks": tasks, "input": input });
        let headers = [("waxwing-team", TEAM), ("idempotency-key", key)];
        call(Method::POST, &url, &headers, body.to_string().into_bytes()).await
    }

    /// Submits a job under one key at the entries in turn until one accepts it; returns the job's id.
    pub(crate) async fn submit_until_accepted(
        &self,
        kind: &str,
        tasks: u32,
        input: Value,
        key: &str,
    ) -> String {
        let mut attempt = 0;
        wait_for("a submission to be accepted", || {
            attempt += 1;
            let entry = attempt % self.plan.entries + 1;
            let input = input.clone();
            async move {
                let answer = self.submit(entry, kind, tasks, input, key).await.ok()?;
                let job = answer.json()["job"].as_str()?.to_owned();
                (answer.status == 202).then_some(job)
            }
        })
        .await
    }

    /// Returns the view of a job from the first entry that answers.
    pub(crate) async fn job(&self, job: &str) -> Option<Value> {
        for n in 1..=self.plan.entries {
            let url = format!("{}/v1/jobs/{job}", self.callers(n));
            if let Some(view) = get_json(&url).await {
                return Some(view);
            }
        }
        None
    }

    /// Waits until all tasks of a job have ended; returns the view of the job.
    pub(crate) async fn wait_ended(&self, job: &str) -> Value {
        let mut last = Value::Null;
        for _ in 0..MAX_JOB_POLLS {
            if let Some(view) = self.job(job).await {
                if view["ended"] == true {
                    return view;
                }
                last = view;
            }
            compio::time::sleep(JOB_POLL_INTERVAL).await;
        }
        panic!("timed out waiting for a job to end: {last}");
    }

    /// Waits until a task of a job runs; returns the name of its worker.
    pub(crate) async fn wait_running(&self, job: &str, index: usize) -> String {
        wait_for("a task to run", || async {
            let view = self.job(job).await?;
            let worker = view["tasks"][index]["state"]["placed"].as_str()?.to_owned();
            let record = self.record(&worker).await;
            let runs = record["runs"].as_array()?;
            let task = format!("{job}.{index}");
            runs.iter()
                .any(|run| run["task"] == *task && run["end_ms"].is_null())
                .then_some(worker)
        })
        .await
    }
}

/// Returns the key of a stand-in's address in its ready line, such as `worker` for `worker-1`.
fn standin_kind(name: &str) -> &str {
    name.split('-').next().unwrap_or(name)
}
