//! Small `Copy` keys and versions.

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

macro_rules! counter_key {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl $name {
            /// The key or version that follows this one.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

counter_key!(
    /// One partition of the workers and of the queued tasks.
    ShardId(u16)
);
counter_key!(
    /// Counts the owners that a shard has had; a lower epoch is fenced.
    ShardEpoch(u64)
);
counter_key!(
    /// Counts the placements of a task; 0 means that it was never placed.
    TaskEpoch(u32)
);
counter_key!(
    /// The version of one row of the table service; 0 means that the row is absent.
    RowVersion(u64)
);
counter_key!(
    /// The version of the settings tree; a process applies only a greater one.
    SettingsVersion(u64)
);
counter_key!(
    /// A random number that one run of a process draws at its start.
    ProcessIncarnation(u64)
);

impl ProcessIncarnation {
    /// Draws the incarnation of this run; never 0.
    pub fn generate() -> Self {
        Self(fastrand::u64(1..))
    }
}

/// Names one attempt of one request, never used again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptKey {
    /// The run of the entry that made the attempt.
    pub incarnation: ProcessIncarnation,
    /// The entry's own count of attempts.
    pub sequence: u64,
}

impl fmt::Display for AttemptKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{}", self.incarnation.0, self.sequence)
    }
}

/// Names a job; drawn at random by the entry that accepts it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JobId(pub u128);

impl JobId {
    /// Draws a new id.
    pub fn generate() -> Self {
        Self(fastrand::u128(1..))
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// The text is not a job id or a task id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum ParseIdError {
    /// expected 32 hexadecimal digits
    Job,
    /// expected a job id, a full stop and the index of the task
    Task,
}

impl std::error::Error for ParseIdError {}

impl FromStr for JobId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        if text.len() != 32 {
            return Err(ParseIdError::Job);
        }
        u128::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| ParseIdError::Job)
    }
}

/// Names one task of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    /// The job that the task belongs to.
    pub job: JobId,
    /// The position of the task in its job, from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.job, self.index)
    }
}

impl FromStr for TaskId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let (job, index) = text.split_once('.').ok_or(ParseIdError::Task)?;
        let job = job.parse()?;
        let index = index.parse().map_err(|_| ParseIdError::Task)?;
        Ok(Self { job, index })
    }
}

macro_rules! serde_as_text {
    ($name:ident) => {
        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = <std::borrow::Cow<'de, str>>::deserialize(deserializer)?;
                text.parse().map_err(D::Error::custom)
            }
        }
    };
}

serde_as_text!(JobId);
serde_as_text!(TaskId);

/// The platform's name for a worker, cheap to clone.
pub type WorkerId = Arc<str>;
