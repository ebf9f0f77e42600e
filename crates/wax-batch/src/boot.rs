//! What names one boot of a worker.

use std::fmt::{Display, Formatter, Result};

/// One boot of a worker, which may start again under its id: then the start time tells its boots apart.
///
/// Start times are compared for equality only: they are of the worker's time of day, which may step back.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct BootId {
    worker: Box<str>,
    started_ms: Option<u64>,
}

impl BootId {
    /// The boot of a worker that started at `started_ms`, Unix milliseconds; `None` if that is not known.
    pub fn new(worker: impl Into<Box<str>>, started_ms: Option<u64>) -> Self {
        Self {
            worker: worker.into(),
            started_ms,
        }
    }

    /// The worker's id. It may name several boots.
    pub fn worker_id(&self) -> &str {
        &self.worker
    }

    /// When it started, Unix milliseconds, if that is known.
    pub fn started_ms(&self) -> Option<u64> {
        self.started_ms
    }

    /// The same boot, with the start time that another source gives if it was not known.
    pub fn or_started_ms(self, started_ms: Option<u64>) -> Self {
        let started_ms = self.started_ms.or(started_ms);
        Self { started_ms, ..self }
    }

    /// Whether both may name one boot: a start time that is not known may be any.
    pub fn may_match(&self, other: &Self) -> bool {
        let differ = self
            .started_ms
            .zip(other.started_ms)
            .is_some_and(|(one, other)| one != other);
        self.worker == other.worker && !differ
    }

    /// Whether both surely name different boots of one worker.
    pub fn is_different_boot(&self, other: &Self) -> bool {
        self.worker == other.worker && !self.may_match(other)
    }
}

impl From<&str> for BootId {
    /// A boot of which the start time is not known.
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
