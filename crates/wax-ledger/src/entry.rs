//! Ledger entry: the usage of one run during one interval.

use serde::{Deserialize, Serialize};
use wax_platform::UsageReport;
use wax_types::{TaskEpoch, TaskId};

/// Amount of resources used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct UsageAmount {
    /// Processor time, thousandths of a core second.
    pub cpu_milli_seconds: u64,
    /// Memory, mebibyte seconds.
    pub memory_mib_seconds: u64,
    /// Accelerator time, milliseconds.
    pub accelerator_ms: u64,
}

impl UsageAmount {
    /// Adds another amount to this one.
    pub fn add(&mut self, other: Self) {
        self.cpu_milli_seconds += other.cpu_milli_seconds;
        self.memory_mib_seconds += other.memory_mib_seconds;
        self.accelerator_ms += other.accelerator_ms;
    }
}

/// Identifies one interval of one run. Of several entries with the same key only the first counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UsageKey {
    /// Task of the run.
    pub task: TaskId,
    /// Epoch of the task's placement.
    pub epoch: TaskEpoch,
    /// Boot of the worker on which the task ran.
    pub boot: u64,
    /// Number of the interval within the run, starting at 0.
    pub interval: u32,
}

/// One entry of the ledger.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerEntry {
    /// Interval that the entry covers.
    #[serde(flatten)]
    pub key: UsageKey,
    /// Team that is charged.
    pub team: Box<str>,
    /// Service to which the job belongs.
    pub service: Box<str>,
    /// Kind of the job.
    pub kind: Box<str>,
    /// Start of the interval, Unix milliseconds.
    pub start_ms: u64,
    /// Length of the interval, milliseconds.
    pub length_ms: u32,
    /// Resources used during the interval.
    pub amount: UsageAmount,
}

impl LedgerEntry {
    /// Builds an entry from a worker's usage report.
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
