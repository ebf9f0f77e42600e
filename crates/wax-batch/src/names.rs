//! Names of jobs, tasks and runs.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// Name of a job: 64 bits chosen by its caller, written as 16 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct JobName(pub u64);

/// Number of digits of a written [`JobName`].
const JOB_DIGITS: usize = 16;

/// Error for a text that is not the name of a job or a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NameError;

impl fmt::Display for NameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a name of a job or a task")
    }
}

impl std::error::Error for NameError {}

impl fmt::Display for JobName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Debug for JobName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for JobName {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        let is_hex = text
            .bytes()
            .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
        if text.len() != JOB_DIGITS || !is_hex {
            return Err(NameError);
        }
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| NameError)
    }
}

/// Name of a task: its index within a step of one occurrence of a job.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskName {
    /// Job that the task belongs to.
    pub job: JobName,
    /// Occurrence of the job, from 0; 0 for a job that runs once.
    pub occurrence: u32,
    /// Index of the step, from 0.
    pub step: u16,
    /// Index of the task within the step, from 0.
    pub index: u32,
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(f, "{job}.{occurrence}.{step}.{index}")
    }
}

impl fmt::Debug for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for TaskName {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or(NameError);
        let job = next()?.parse()?;
        let occurrence = next()?.parse().map_err(|_| NameError)?;
        let step = next()?.parse().map_err(|_| NameError)?;
        let index = next()?.parse().map_err(|_| NameError)?;
        if parts.next().is_some() {
            return Err(NameError);
        }
        Ok(Self {
            job,
            occurrence,
            step,
            index,
        })
    }
}

/// Identity of one run: a task and the number of its start. Run numbers of a task begin at 1 and
/// increase.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RunId {
    /// Task that runs.
    pub task: TaskName,
    /// Number of the start.
    pub run: u64,
}
