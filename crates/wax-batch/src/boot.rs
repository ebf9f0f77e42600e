//! Identity of one boot of a worker, the time from one start of its process to the next.

use std::fmt::{Display, Formatter, Result};

/// Identity of one boot of a worker. A worker may restart under the same id; its boots then differ
/// in their start times.
///
/// Start times are only compared for equality, because the worker's wall clock may step back.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct BootId {
    worker: Box<str>,
    started_ms: Option<u64>,
}

impl BootId {
    /// Returns the boot of a worker that started at `started_ms`, Unix milliseconds; `None` if the
    /// start time is unknown.
    pub fn new(worker: impl Into<Box<str>>, started_ms: Option<u64>) -> Self {
        Self {
            worker: worker.into(),
            started_ms,
        }
    }

    /// Returns the worker's id, which is the same for all of its boots.
    pub fn worker_id(&self) -> &str {
        &self.worker
    }

    /// Returns the start time, Unix milliseconds; `None` if it is unknown.
    pub fn started_ms(&self) -> Option<u64> {
        self.started_ms
    }

    /// Returns this boot with an unknown start time replaced by `started_ms`.
    pub fn or_started_ms(self, started_ms: Option<u64>) -> Self {
        let started_ms = self.started_ms.or(started_ms);
        Self { started_ms, ..self }
    }

    /// Returns whether both may identify the same boot. An unknown start time matches any.
    pub fn may_match(&self, other: &Self) -> bool {
        let differs = self
            .started_ms
            .zip(other.started_ms)
            .is_some_and(|(one, other)| one != other);
        self.worker == other.worker && !differs
    }

    /// Returns whether both are known to identify different boots of the same worker.
    pub fn is_different_boot(&self, other: &Self) -> bool {
        self.worker == other.worker && !self.may_match(other)
    }
}

impl From<&str> for BootId {
    /// Returns a boot with an unknown start time.
    fn from(worker: &str) -> Self {
        Self::new(worker, None)
    }
}

impl Display for BootId {
    fn fmt(&self, out: &mut Formatter<'_>) -> Result {
        match self.started_ms {
            Some(started_ms) => write!(out, "{}@{started_ms}", self.worker),
            None => out.write_str(&self.worker),
        }
    }
}
