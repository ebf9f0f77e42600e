//! Ids, resource sizes, time points and errors that all other crates share.

mod error;
mod ids;
mod resources;
mod time;

pub use error::{ErrorKind, RunOutcome, Step, WaxError};
pub use ids::{
    AttemptKey, JobId, ProcessIncarnation, RowVersion, SettingsVersion, ShardEpoch, ShardId,
    TaskEpoch, TaskId, WorkerId,
};
pub use resources::ResourceVector;
pub use time::{ProcessClock, StoreTime, TimePoint, wall_clock_ms};
