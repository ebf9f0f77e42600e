//! Measures the CPU, memory and store load of each role at several sizes, with real processes and stand-ins.
//!
//! Run with `cargo build --release --workspace && cargo bench --bench capacity`. Each printed row is one run.
//! Arguments select the measurements: `sidecars`, `workers`, `starts`, `requests`.

#[allow(dead_code)]
#[path = "../tests/proofs/support/calls.rs"]
mod calls;
#[path = "bench_process.rs"]
mod process;

use calls::{call, get_json, post_json};
use process::BenchProcess;
use serde_json::{Value, json};
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Duration of the measurement for one row.
const MEASUREMENT_TIME: Duration = Duration::from_secs(8);

/// CPU and memory that a process used during a measurement.
#[derive(Debug, Clone, Copy)]
struct ProcessCost {
    cpu_percent: f64,
    memory_mib: f64,
}

/// Returns the user and system CPU time of a process, in clock ticks of 10 ms.
fn cpu_ticks(pid: u32) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace()
        .collect();
    let ticks = |index: usize| fields.get(index).and_then(|text| text.parse::<u64>().ok());
    ticks(11).unwrap_or(0) + ticks(12).unwrap_or(0)
}

fn memory_mib(pid: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok());
    kib.unwrap_or(0.0) / 1_024.0
}

async fn measure(pid: u32) -> ProcessCost {
    let (start, before) = (Instant::now(), cpu_ticks(pid));
    compio::time::sleep(MEASUREMENT_TIME).await;
    let seconds = start.elapsed().as_secs_f64();
    ProcessCost {
        cpu_percent: (cpu_ticks(pid) - before) as f64 / seconds,
        memory_mib: memory_mib(pid),
    }
}

/// Running platform and one entry.
struct Bench {
    folder: PathBuf,
    platform: BenchProcess,
    entry: BenchProcess,
}

impl Bench {
    async fn start(name: &str, shards: u16, renew_ms: u32) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("capacity-{name}"));
        std::fs::create_dir_all(&folder).expect("the folder must be created");
        let platform =
            BenchProcess::start("waxwing-standin", &["platform", "--listen", "127.0.0.1:0"]);
        let text = format!(
            "role: entry\nname: entry-1\nregion: bench\nfailure_domain: domain-0\n\
             platform: {{address: '{}'}}\n\
             entry: {{callers: '127.0.0.1:0', operators: '127.0.0.1:0', peers: '127.0.0.1:0'}}\n\
             coordinator: {{shards: {shards}, renew_ms: {renew_ms}}}\nlogs: {{filter: error, trace_one_in: 0}}\n",
            platform.address("platform")
        );
        let file = folder.join("entry.yaml");
        std::fs::write(&file, text).expect("the file must be written");
        let entry = BenchProcess::start("waxwingd", &["--settings", &file.display().to_string()]);
        let bench = Self {
            folder,
            platform,
            entry,
        };
        bench.apply_tree().await;
        bench
    }

    fn operators(&self) -> String {
        format!("http://{}", self.entry.address("operators"))
    }

    async fn apply_tree(&self) {
        let mut nodes = serde_json::Map::new();
        for team in 0..330 {
            nodes.insert(
                format!("/team-{team}"),
                json!({ "quota_cpu_milli": 4_000_000 }),
            );
            nodes.insert(format!("/team-{team}/service"), json!({}));
            let kind = json!({ "cpu_milli": 500, "memory_mib": 512 });
            nodes.insert(format!("/team-{team}/service/kinds/kind"), kind);
        }
        let body = json!({ "author": "bench", "tree": { "nodes": nodes } });
        let answer = post_json(&format!("{}/v1/settings", self.operators()), &body).await;
        assert_eq!(answer.map(|answer| answer.status), Ok(200));
    }

    async fn counter(&self, name: &str) -> f64 {
        let status = get_json(&format!("{}/v1/status", self.operators())).await;
        status.map_or(0.0, |status| {
            status["counters"][name].as_f64().unwrap_or(0.0)
        })
    }

    async fn store_stats(&self) -> Value {
        let url = format!("http://{}/stats", self.platform.address("platform"));
        get_json(&url).await.expect("the platform must answer")
    }

    async fn submit(&self, team: usize, tasks: usize, work_ms: u64, key: &str) {
        let url = format!("{}/v1/jobs", self.operators());
        let input = json!({ "work_ms": work_ms });
        let body = json!({ "service": "service", "kind": "kind", "tasks": tasks, "input": input });
        let team = format!("team-{team}");
        let headers = [("waxwing-team", team.as_str()), ("idempotency-key", key)];
        let answer = call(
            http::Method::POST,
            &url,
            &headers,
            body.to_string().into_bytes(),
        )
        .await;
        assert_eq!(answer.map(|answer| answer.status), Ok(202));
    }

    async fn placed_tasks(&self) -> u64 {
        let status = get_json(&format!("{}/v1/status", self.operators())).await;
        let shards = status.map_or(Vec::new(), |status| {
            status["shards"].as_array().cloned().unwrap_or_default()
        });
        shards
            .iter()
            .filter_map(|shard| shard["placed"].as_u64())
            .sum()
    }
}

/// Measures an entry with idle sidecars.
async fn measure_entry_by_sidecars(count: u32) {
    let bench = Bench::start("sidecars", 1, 2_000).await;
    let text = count.to_string();
    let peers = bench.entry.address("peers");
    let args = [
        "peers",
        "--entry",
        &peers,
        "--service",
        "service",
        "--count",
        &text,
    ];
    let _peers = BenchProcess::start("waxwing-standin", &args);
    compio::time::sleep(Duration::from_secs(2)).await;
    let before = bench.counter("links.control_bytes").await;
    let cost = measure(bench.entry.pid()).await;
    let bytes = bench.counter("links.control_bytes").await - before;
    println!(
        "entry    {count:>5} sidecars                cpu {:>6.2}%  memory {:>6.1} MiB  control sent {:>8.0} B/s",
        cost.cpu_percent,
        cost.memory_mib,
        bytes / MEASUREMENT_TIME.as_secs_f64(),
    );
}

/// Measures an entry that owns all shards, with workers that each run 27 tasks.
async fn measure_owner_by_workers(count: u32) {
    let bench = Bench::start("workers", (count / 12).max(1) as u16, 2_000).await;
    let text = count.to_string();
    let platform = bench.platform.address("platform");
    let args = [
        "worker",
        "--listen",
        "127.0.0.1:0",
        "--platform",
        &platform,
        "--id",
        "w",
        "--rack",
        "r",
        "--domain",
        "d",
        "--cpu-milli",
        "16000",
        "--memory-mib",
        "61440",
        "--usage-ms",
        "10000",
        "--count",
        &text,
    ];
    let _workers = BenchProcess::start("waxwing-standin", &args);
    let tasks = count as usize * 27;
    for part in 0..tasks.div_ceil(50) {
        let in_part = 50.min(tasks - part * 50);
        bench
            .submit(part % 330, in_part, 3_600_000, &format!("fill-{part}"))
            .await;
    }
    let start = Instant::now();
    while bench.placed_tasks().await < tasks as u64 && start.elapsed() < Duration::from_secs(60) {
        compio::time::sleep(Duration::from_millis(200)).await;
    }
    let placed = bench.placed_tasks().await;
    compio::time::sleep(Duration::from_secs(3)).await;
    let store_before = bench.store_stats().await;
    let cost = measure(bench.entry.pid()).await;
    let store = bench.store_stats().await;
    let rate = |key: &str| {
        (store[key].as_f64().unwrap_or(0.0) - store_before[key].as_f64().unwrap_or(0.0))
            / MEASUREMENT_TIME.as_secs_f64()
    };
    println!(
        "owner    {count:>5} workers {placed:>6} tasks   cpu {:>6.2}%  memory {:>6.1} MiB  store {:>6.1} reads/s {:>6.1} commits/s {:>6.1} rows/s",
        cost.cpu_percent,
        cost.memory_mib,
        rate("reads"),
        rate("commits"),
        rate("rows_written"),
    );
}

/// Measures an entry that starts short tasks at a constant rate.
async fn measure_owner_by_starts(per_second: u32) {
    let bench = Bench::start("starts", 4, 500).await;
    let platform = bench.platform.address("platform");
    let args = [
        "worker",
        "--listen",
        "127.0.0.1:0",
        "--platform",
        &platform,
        "--id",
        "w",
        "--rack",
        "r",
        "--domain",
        "d",
        "--cpu-milli",
        "32000",
        "--memory-mib",
        "128000",
        "--usage-ms",
        "10000",
        "--count",
        "40",
    ];
    let _workers = BenchProcess::start("waxwing-standin", &args);
    compio::time::sleep(Duration::from_secs(3)).await;
    let done_before = bench.counter("tasks.done").await;
    let store_before = bench.store_stats().await;
    let before = cpu_ticks(bench.entry.pid());
    let start = Instant::now();
    let mut submitted = 0;
    while start.elapsed() < MEASUREMENT_TIME {
        let due = (start.elapsed().as_secs_f64() * f64::from(per_second)) as u64;
        if submitted < due {
            bench
                .submit(
                    submitted as usize % 330,
                    10,
                    400,
                    &format!("start-{submitted}"),
                )
                .await;
            submitted += 10;
        } else {
            compio::time::sleep(Duration::from_millis(5)).await;
        }
    }
    while bench.counter("tasks.done").await - done_before < submitted as f64
        && start.elapsed() < MEASUREMENT_TIME * 4
    {
        compio::time::sleep(Duration::from_millis(100)).await;
    }
    let seconds = start.elapsed().as_secs_f64();
    let done = bench.counter("tasks.done").await - done_before;
    let store = bench.store_stats().await;
    let change =
        |key: &str| store[key].as_f64().unwrap_or(0.0) - store_before[key].as_f64().unwrap_or(0.0);
    println!(
        "starts   {per_second:>5} tasks/s requested       {:>6.1} tasks/s done in {seconds:.1} s, cpu {:>6.2}%  rows/task {:>5.2}  commits/task {:>5.2}  {} processes' rows/s {:>6.1}",
        done / seconds,
        (cpu_ticks(bench.entry.pid()) - before) as f64 / seconds,
        change("rows_written") / done.max(1.0),
        change("commits") / done.max(1.0),
        bench.folder.file_name().map_or("", |_| "all"),
        change("rows_written") / seconds,
    );
}

/// Measures a sidecar and its entry at a constant rate of quick requests.
async fn measure_sidecar_by_requests(rate: u32) {
    let bench = Bench::start("requests", 1, 2_000).await;
    let upstream = BenchProcess::start(
        "waxwing-standin",
        &["upstream", "--listen", "127.0.0.1:0", "--service-ms", "1"],
    );
    let text = format!(
        "role: sidecar\nname: sidecar-1\nregion: bench\nfailure_domain: domain-0\nplatform: {{address: '{}'}}\n\
         sidecar: {{service: service, upstream: '{}', entries: ['{}']}}\nlogs: {{filter: error}}\n",
        bench.platform.address("platform"),
        upstream.address("upstream"),
        bench.entry.address("peers"),
    );
    let file = bench.folder.join("sidecar.yaml");
    std::fs::write(&file, text).expect("the file must be written");
    let sidecar = BenchProcess::start("waxwingd", &["--settings", &file.display().to_string()]);
    compio::time::sleep(Duration::from_millis(800)).await;
    let (rate_text, seconds) = (
        rate.to_string(),
        (MEASUREMENT_TIME.as_secs() + 2).to_string(),
    );
    let load = |address: String, direct: bool| {
        let mut args = vec![
            "load".to_owned(),
            "--entry".into(),
            address,
            "--team".into(),
            "team-1".into(),
            "--service".into(),
            "service".into(),
            "--rate".into(),
            rate_text.clone(),
            "--seconds".into(),
            seconds.clone(),
        ];
        if direct {
            args.push("--direct".into());
        }
        args
    };
    let direct = process::output("waxwing-standin", &load(upstream.address("upstream"), true));
    let args = load(bench.entry.address("callers"), false);
    let through = std::thread::spawn(move || process::output("waxwing-standin", &args));
    compio::time::sleep(Duration::from_secs(1)).await;
    let (entry, sidecar_cost) =
        futures_util::future::join(measure(bench.entry.pid()), measure(sidecar.pid())).await;
    let through = through.join().expect("the load generator must not panic");
    let number_of = |text: &str, key: &str| {
        let value: Value = serde_json::from_str(text).unwrap_or_default();
        value[key].as_f64().unwrap_or(0.0)
    };
    println!(
        "requests {rate:>5} a second              entry {:>5.1}% {:>5.1} MiB  sidecar {:>5.1}% {:>5.1} MiB  p50 {:.0} us, direct {:.0}  p99 {:.0} us, direct {:.0}",
        entry.cpu_percent,
        entry.memory_mib,
        sidecar_cost.cpu_percent,
        sidecar_cost.memory_mib,
        number_of(&through, "p50_us"),
        number_of(&direct, "p50_us"),
        number_of(&through, "p99_us"),
        number_of(&direct, "p99_us"),
    );
}

fn main() {
    // `cargo test --benches` passes `--test` and must not start a measurement.
    if std::env::args().any(|arg| arg == "--test") {
        return;
    }
    let only: Vec<String> = std::env::args()
        .skip(1)
        .filter(|arg| !arg.starts_with('-'))
        .collect();
    let wanted = |name: &str| only.is_empty() || only.iter().any(|arg| arg == name);
    compio::runtime::Runtime::new()
        .expect("the runtime must start")
        .block_on(async {
            if wanted("sidecars") {
                for count in [1, 100, 250, 400] {
                    measure_entry_by_sidecars(count).await;
                }
            }
            if wanted("workers") {
                for count in [12, 48, 96, 144] {
                    measure_owner_by_workers(count).await;
                }
            }
            if wanted("starts") {
                for rate in [20, 60, 110] {
                    measure_owner_by_starts(rate).await;
                }
            }
            if wanted("requests") {
                for rate in [100, 500, 1_000, 2_000] {
                    measure_sidecar_by_requests(rate).await;
                }
            }
        });
}
