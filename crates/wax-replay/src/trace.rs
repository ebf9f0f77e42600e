//! Lines of a trace, which `docs/REPLAY.md` describes, and the policies that a trace can be
//! replayed with.

use serde::{Deserialize, Serialize};
use std::str::FromStr;
use wax_policy::{PlacementPolicy, RoutePolicy};
use wax_settings::TaskClass;

/// One line of a trace: a JSON object whose field `event` names the kind. Times are milliseconds
/// from the start of the trace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case", deny_unknown_fields)]
pub enum TraceLine {
    /// Options of the whole trace.
    Options {
        /// Delay until usage is reported to the owner.
        #[serde(default = "default_usage_lag_ms")]
        usage_lag_ms: u64,
        /// Weight of tail latency among the customer's objectives.
        #[serde(default = "default_weight")]
        weight_tail: u32,
        /// Weight of batch throughput.
        #[serde(default = "default_weight")]
        weight_throughput: u32,
        /// Weight of evictions.
        #[serde(default = "default_weight")]
        weight_eviction: u32,
        /// Start of the working day, minutes after the start of the trace's day.
        #[serde(default)]
        day_start_min: u32,
        /// End of the working day, minutes after the start of the trace's day.
        #[serde(default = "default_day_end_min")]
        day_end_min: u32,
        /// One-way latency between failure domains, microseconds.
        #[serde(default = "default_domain_latency_us")]
        domain_us: u64,
        /// End of the trace.
        until_ms: u64,
    },
    /// A worker.
    Worker {
        /// Name of the worker.
        name: Box<str>,
        /// Failure domain of the worker.
        domain: Box<str>,
        /// Processors, thousandths of a core.
        cpu_milli: u32,
        /// Memory, mebibytes.
        memory_mib: u32,
    },
    /// An upstream that runs on a worker.
    Upstream {
        /// Name of the upstream.
        name: Box<str>,
        /// Name of its worker.
        worker: Box<str>,
        /// Service of the upstream; also its kind in pairs of interference.
        service: Box<str>,
        /// Number of requests that it processes concurrently.
        slots: u32,
        /// Reserved processors, thousandths of a core.
        cpu_milli: u32,
        /// Reserved memory, mebibytes.
        memory_mib: u32,
    },
    /// A kind of task.
    Kind {
        /// Name of the kind.
        name: Box<str>,
        /// Team that is charged.
        team: Box<str>,
        /// Class of the tasks; latency-critical tasks are urgent.
        class: TaskClass,
        /// Declared processors of a task, thousandths of a core.
        cpu_milli: u32,
        /// Declared memory of a task, mebibytes.
        memory_mib: u32,
        /// Processors that a task uses if nothing limits it, thousandths of a core; the default is
        /// the declared amount.
        true_cpu_milli: Option<u32>,
        /// Number of failed runs after which a task is given up.
        #[serde(default = "default_attempts")]
        attempts: u32,
    },
    /// Interference that one neighbour causes: 0.5 makes the victim take 1.5 times as long.
    Pair {
        /// Kind or service that is slowed down.
        victim: Box<str>,
        /// Kind that causes the interference.
        neighbour: Box<str>,
        /// Interference on a worker with less than 60% of its processors reserved.
        light: f64,
        /// Interference on a worker with more reserved.
        loaded: f64,
    },
    /// A job.
    Job {
        /// Time of submission.
        at_ms: u64,
        /// Kind of its tasks.
        kind: Box<str>,
        /// Number of tasks.
        tasks: u32,
        /// Work of each task, as its run time alone with enough processors.
        work_ms: u64,
    },
    /// A stream of jobs at random times.
    JobStream {
        /// Time of the first arrival.
        from_ms: u64,
        /// Time after which no job arrives.
        to_ms: u64,
        /// Kind of the tasks.
        kind: Box<str>,
        /// Mean number of jobs per minute.
        per_minute: f64,
        /// Number of tasks of each job.
        tasks: u32,
        /// Mean work of each task; the work of a job's tasks is drawn between 0.5 and 1.5 times the
        /// mean.
        work_ms: u64,
    },
    /// A quick request.
    Quick {
        /// Time of arrival at the entry.
        at_ms: u64,
        /// Service that is called.
        service: Box<str>,
        /// Service time at an upstream without interference, microseconds.
        service_us: u64,
        /// Time from the arrival to the deadline.
        deadline_ms: u64,
    },
    /// A stream of quick requests at random times.
    QuickStream {
        /// Time of the first arrival.
        from_ms: u64,
        /// Time after which no request arrives.
        to_ms: u64,
        /// Service that is called.
        service: Box<str>,
        /// Mean number of requests per second.
        rate: f64,
        /// Mean service time at an upstream without interference, microseconds; each is drawn
        /// between 0.6 and 1.4 times the mean.
        service_us: u64,
        /// Time from the arrival to the deadline.
        deadline_ms: u64,
    },
    /// A fault: every task on a worker fails.
    WorkerFails {
        /// Start of the fault.
        at_ms: u64,
        /// End of the fault.
        until_ms: u64,
        /// Name of the worker.
        worker: Box<str>,
    },
    /// A fault: a worker is down, with its tasks and upstreams.
    WorkerDown {
        /// Start of the fault.
        at_ms: u64,
        /// End of the fault.
        until_ms: u64,
        /// Name of the worker.
        worker: Box<str>,
    },
    /// A fault: an upstream is slow.
    UpstreamSlow {
        /// Start of the fault.
        at_ms: u64,
        /// End of the fault.
        until_ms: u64,
        /// Name of the upstream.
        upstream: Box<str>,
        /// Factor by which its service times are multiplied.
        factor: f64,
    },
    /// A fault: the store does not answer, so that no task is placed.
    StoreDown {
        /// Start of the fault.
        at_ms: u64,
        /// End of the fault.
        until_ms: u64,
    },
    /// Tasks of a kind are cancelled.
    CancelWave {
        /// Time of the cancellation.
        at_ms: u64,
        /// Kind of the tasks.
        kind: Box<str>,
        /// Probability that a task that has not ended is cancelled, percent.
        percent: u32,
    },
}

fn default_usage_lag_ms() -> u64 {
    2_000
}
fn default_weight() -> u32 {
    50
}
fn default_day_end_min() -> u32 {
    1_440
}
fn default_domain_latency_us() -> u64 {
    500
}
fn default_attempts() -> u32 {
    3
}

/// A line that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TraceError {
    /// Number of the line, from 1.
    pub line: usize,
    /// Description of the error.
    pub label: Box<str>,
}

impl std::fmt::Display for TraceError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "line {}: {}", self.line, self.label)
    }
}

impl std::error::Error for TraceError {}

/// Parses a trace. Empty lines and lines that start with `#` are skipped.
///
/// # Errors
///
/// A line cannot be parsed; the error names the first one.
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

/// Routing and placement policies of a replay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplayPolicy {
    /// Name on the command line and in reports.
    pub name: &'static str,
    /// Policy that routes quick requests.
    pub route: RoutePolicy,
    /// Policy that places tasks.
    pub place: PlacementPolicy,
}

impl ReplayPolicy {
    /// The policy of the daemons, which is compared with the baselines.
    pub const WEIGHED: Self = Self {
        name: "weighed",
        route: RoutePolicy::Weighed,
        place: PlacementPolicy::Weighed,
    };

    /// Simple policies that the weighed policy is compared with.
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

    /// Returns whether the policy learns task sizes and interference from usage and mitigates
    /// interference.
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
