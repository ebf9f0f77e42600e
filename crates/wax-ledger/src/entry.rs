//! One entry: one interval of one run.

use serde::{Deserialize, Serialize};
use wax_platform::UsageReport;
use wax_types::{TaskEpoch, TaskId};

/// An amount of use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct UsageAmount {
    /// Thousandths of core seconds.
    pub cpu_milli_seconds: u64,
    /// Mebibyte seconds.
    pub memory_mib_seconds: u64,
    /// Accelerator milliseconds.
    pub accelerator_ms: u64,
}

impl UsageAmount {
    /// Adds another amount.
    pub fn add(&mut self, other: Self) {
        self.cpu_milli_seconds += other.cpu_milli_seconds;
        self.memory_mib_seconds += other.memory_mib_seconds;
        self.accelerator_ms += other.accelerator_ms;
    }
}

/// Names an interval; a second entry with the same key changes nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UsageKey {
    /// The task.
    pub task: TaskId,
    /// Its placement.
    pub epoch: TaskEpoch,
    /// The worker's start during which it ran.
    pub boot: u64,
    /// The position of the interval in the run.
    pub interval: u32,
}

/// One entry of the ledger.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerEntry {
    /// The interval.
    #[serde(flatten)]
    pub key: UsageKey,
    /// The team that is charged.
    pub team: Box<str>,
    /// The service of the job.
    pub service: Box<str>,
    /// The job kind.
    pub kind: Box<str>,
    /// Start of the interval, Unix milliseconds.
    pub start_ms: u64,
    /// Length of the interval, milliseconds.
    pub length_ms: u32,
    /// What was used.
    pub amount: UsageAmount,
}

impl LedgerEntry {
    /// Builds an entry from a worker's report.
    pub fn from_report(report: &UsageReport, team: &str, service: &str, kind: &str) -> Self {
        Self {
            key: UsageKey {
                task: report.run_id.task,
                epoch: report.run_id.epoch,
                boot: report.boot,
                interval: report.interval,
            },
            team: team.into(),
            service: service.into(),
            kind: kind.into(),
            start_ms: report.start_ms,
            length_ms: report.length_ms,
            amount: UsageAmount {
                cpu_milli_seconds: report.cpu_milli_seconds,
                memory_mib_seconds: report.memory_mib_seconds,
                accelerator_ms: report.accelerator_ms,
            },
        }
    }
}
