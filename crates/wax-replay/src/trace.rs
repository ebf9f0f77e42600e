//! The lines of a trace; `docs/REPLAY.md` describes each.

use serde::{Deserialize, Serialize};
use std::str::FromStr;
use wax_policy::{PlacementPolicy, RoutePolicy};
use wax_settings::TaskClass;

/// One line, a JSON object with the field `event`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case", deny_unknown_fields)]
pub enum TraceLine {
    /// What holds for the whole trace.
    Options {
        /// Usage is reported this much later.
        #[serde(default = "default_lag")]
        usage_lag_ms: u64,
        /// What tail latency counts.
        #[serde(default = "default_weight")]
        weight_tail: u32,
        /// What batch throughput counts.
        #[serde(default = "default_weight")]
        weight_throughput: u32,
        /// What evictions count.
        #[serde(default = "default_weight")]
        weight_eviction: u32,
        /// Start of the working day, minutes after the start of the trace's day.
        #[serde(default)]
        day_start_min: u32,
        /// End of the working day.
        #[serde(default = "default_day_end")]
        day_end_min: u32,
        /// One-way latency between failure domains, microseconds.
        #[serde(default = "default_hop")]
        domain_us: u64,
        /// When the trace ends.
        until_ms: u64,
    },
    /// A worker.
    Worker {
        /// Its name.
        name: Box<str>,
        /// Its failure domain.
        domain: Box<str>,
        /// Thousandths of a core.
        cpu_milli: u32,
        /// Mebibytes.
        memory_mib: u32,
    },
    /// An upstream that runs on a worker.
    Upstream {
        /// Its name.
        name: Box<str>,
        /// Its worker.
        worker: Box<str>,
        /// Its service, which is also its kind.
        service: Box<str>,
        /// Requests that it runs at once.
        slots: u32,
        /// Reserved for it, thousandths of a core.
        cpu_milli: u32,
        /// Reserved for it, mebibytes.
        memory_mib: u32,
    },
    /// A kind of task.
    Kind {
        /// Its name.
        name: Box<str>,
        /// The team that is charged.
        team: Box<str>,
        /// Its urgency.
        class: TaskClass,
        /// Declared, thousandths of a core.
        cpu_milli: u32,
        /// Declared, mebibytes.
        memory_mib: u32,
        /// What a task would use if nothing held it; as declared if it is not said.
        true_cpu_milli: Option<u32>,
        /// Runs that may fail.
        #[serde(default = "default_attempts")]
        attempts: u32,
    },
    /// What one neighbour does to a victim: 0.5 makes it take half as long again.
    Pair {
        /// The kind or service that is slowed down.
        victim: Box<str>,
        /// The kind that does it.
        neighbour: Box<str>,
        /// On a worker with less than 60% of its processors reserved.
        light: f64,
        /// On a fuller worker.
        loaded: f64,
    },
    /// A job.
    Job {
        /// When it is submitted.
        at_ms: u64,
        /// Its kind.
        kind: Box<str>,
        /// How many tasks.
        tasks: u32,
        /// The work of each, as its run time alone with enough processors.
        work_ms: u64,
    },
    /// Many jobs at random times.
    JobStream {
        /// First arrival.
        from_ms: u64,
        /// Last arrival.
        to_ms: u64,
        /// Their kind.
        kind: Box<str>,
        /// Mean number a minute.
        per_minute: f64,
        /// Tasks of each.
        tasks: u32,
        /// Mean work of each task; drawn between half and one and a half of it.
        work_ms: u64,
    },
    /// A quick request.
    Quick {
        /// When it arrives at its entry.
        at_ms: u64,
        /// Its service.
        service: Box<str>,
        /// Its time at an upstream alone, microseconds.
        service_us: u64,
        /// Its deadline.
        deadline_ms: u64,
    },
    /// Many quick requests at random times.
    QuickStream {
        /// First arrival.
        from_ms: u64,
        /// Last arrival.
        to_ms: u64,
        /// Their service.
        service: Box<str>,
        /// Mean number a second.
        rate: f64,
        /// Mean time at an upstream alone, microseconds; drawn between 0.6 and 1.4 of it.
        service_us: u64,
        /// Their deadline.
        deadline_ms: u64,
    },
    /// A worker fails every task.
    WorkerFails {
        /// From when.
        at_ms: u64,
        /// Until when.
        until_ms: u64,
        /// Which.
        worker: Box<str>,
    },
    /// A worker is gone with its tasks and its upstreams.
    WorkerDown {
        /// From when.
        at_ms: u64,
        /// Until when.
        until_ms: u64,
        /// Which.
        worker: Box<str>,
    },
    /// An upstream is slower.
    UpstreamSlow {
        /// From when.
        at_ms: u64,
        /// Until when.
        until_ms: u64,
        /// Which.
        upstream: Box<str>,
        /// By how much its times grow.
        factor: f64,
    },
    /// The store answers nothing: no task is placed or ended in the table.
    StoreDown {
        /// From when.
        at_ms: u64,
        /// Until when.
        until_ms: u64,
    },
    /// Jobs of a kind are cancelled.
    CancelWave {
        /// When.
        at_ms: u64,
        /// Of which kind.
        kind: Box<str>,
        /// How many of those that are not ended, in percent.
        percent: u32,
    },
}

fn default_lag() -> u64 {
    2_000
}
fn default_weight() -> u32 {
    50
}
fn default_day_end() -> u32 {
    1_440
}
fn default_hop() -> u64 {
    500
}
fn default_attempts() -> u32 {
    3
}

/// A line that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TraceError {
    /// Its number, from 1.
    pub line: usize,
    /// What is wrong.
    pub label: Box<str>,
}

impl std::fmt::Display for TraceError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "line {}: {}", self.line, self.label)
    }
}

impl std::error::Error for TraceError {}

/// Reads a trace; empty lines and lines that start with `#` are passed over.
///
/// # Errors
///
/// The first line that cannot be read.
pub fn parse_trace(text: &str) -> Result<Vec<TraceLine>, TraceError> {
    text.lines()
        .enumerate()
        .filter(|(_, line)| !line.trim().is_empty() && !line.starts_with('#'))
        .map(|(index, line)| {
            serde_json::from_str(line).map_err(|error| TraceError {
                line: index + 1,
                label: error.to_string().into(),
            })
        })
        .collect()
}

/// The policies that a replay runs with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplayPolicy {
    /// Its name.
    pub name: &'static str,
    /// For quick requests.
    pub route: RoutePolicy,
    /// For tasks.
    pub place: PlacementPolicy,
}

impl ReplayPolicy {
    /// Ours.
    pub const WEIGHED: Self = Self {
        name: "weighed",
        route: RoutePolicy::Weighed,
        place: PlacementPolicy::Weighed,
    };

    /// The baselines.
    pub const BASELINES: [Self; 4] = [
        Self {
            name: "random",
            route: RoutePolicy::Random,
            place: PlacementPolicy::Random,
        },
        Self {
            name: "round-robin",
            route: RoutePolicy::RoundRobin,
            place: PlacementPolicy::RoundRobin,
        },
        Self {
            name: "least-loaded",
            route: RoutePolicy::LeastLoaded,
            place: PlacementPolicy::LeastLoaded,
        },
        Self {
            name: "first-fit",
            route: RoutePolicy::LeastLoaded,
            place: PlacementPolicy::FirstFit,
        },
    ];

    /// Whether what is learned and the relief of noisy neighbours are in use.
    pub fn learns(&self) -> bool {
        self.place == PlacementPolicy::Weighed
    }
}

impl FromStr for ReplayPolicy {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        std::iter::once(Self::WEIGHED)
            .chain(Self::BASELINES)
            .find(|policy| policy.name == text)
            .ok_or_else(|| {
                format!("no policy {text}; expected weighed, random, round-robin, least-loaded or first-fit")
            })
    }
}
