//! Names of jobs, tasks and runs.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// A job's name: 64 bits that its caller chose, written as 16 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct JobName(pub u64);

/// Digits of a written [`JobName`].
const JOB_DIGITS: usize = 16;

/// The text is not a name.
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
        let plain = text
            .bytes()
            .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
        if text.len() != JOB_DIGITS || !plain {
            return Err(NameError);
        }
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| NameError)
    }
}

/// A task: an index of a step of one occurrence of a job.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskName {
    /// The job.
    pub job: JobName,
    /// The occurrence, from 0; 0 for a job that runs once.
    pub occurrence: u32,
    /// The step, from 0.
    pub step: u16,
    /// The task within the step, from 0.
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

/// One start of a task; runs of a task are numbered from 1 and rise.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RunId {
    /// The task.
    pub task: TaskName,
    /// The number of the start.
    pub run: u64,
}
