//! The kinds of line that a report reads, as fronts, owners and agents write them.

use serde::Deserialize;

/// What a line tells; lines of other kinds are [`LogEvent::Other`].
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(tag = "message")]
pub enum LogEvent {
    /// A front has stored a job.
    #[serde(rename = "job accepted")]
    Accepted {
        /// The job.
        job: Box<str>,
        /// Its queue.
        queue: Box<str>,
        /// From the request to the answer, milliseconds.
        took_ms: u64,
        /// All its tasks.
        tasks: u32,
        /// Its work by the caller's guess, core milliseconds.
        work_ms: u64,
        /// The time within which it should end, milliseconds.
        objective_ms: u64,
        /// Whether it has a step that lasts.
        #[serde(rename = "lasts")]
        long_running: bool,
    },
    /// A front has refused a job, or does not know whether it is stored.
    #[serde(rename = "job not accepted")]
    NotAccepted {
        /// The job.
        job: Box<str>,
        /// Its queue.
        queue: Box<str>,
    },
    /// The owner has ordered a start.
    #[serde(rename = "start ordered")]
    Start {
        /// The task.
        task: Box<str>,
        /// The number of the start.
        run: u64,
        /// The worker.
        worker: Box<str>,
        /// Whether it goes on from a checkpoint.
        resumes: bool,
        /// How long the step's tasks had waited, milliseconds.
        waited_ms: u64,
        /// The pace that was expected, 0 to 1.
        pace: f64,
    },
    /// The owner has ordered a stop.
    #[serde(rename = "stop ordered")]
    Stop {
        /// The task.
        task: Box<str>,
        /// The number of the start.
        run: u64,
        /// Why.
        why: Box<str>,
    },
    /// The owner has heard of an end.
    #[serde(rename = "run ended")]
    End {
        /// The task.
        task: Box<str>,
        /// The number of the start.
        run: u64,
        /// How.
        how: Box<str>,
    },
    /// A step waits for a new reason.
    #[serde(rename = "step waits")]
    Wait {
        /// The first task that waits.
        task: Box<str>,
        /// How many wait.
        waiting: u32,
        /// For how long by now, milliseconds.
        waited_ms: u64,
        /// Why.
        reason: Box<str>,
    },
    /// An agent has changed the pace of an image by much.
    #[serde(rename = "pace changed")]
    Pace {
        /// The worker.
        worker: Box<str>,
        /// The image.
        image: Box<str>,
        /// Its pace from now on.
        percent: u32,
        /// The serving task for which it is slowed.
        protects: Option<Box<str>>,
        /// That task's tail as a share of its target.
        tail: Option<f64>,
    },
    /// A job is shown as ended.
    #[serde(rename = "job ended")]
    JobEnd {
        /// The job.
        job: Box<str>,
        /// How.
        outcome: Box<str>,
    },
    /// An owner's term has begun.
    #[serde(rename = "took over the shard")]
    Takeover {
        /// The term.
        epoch: u64,
    },
    /// A front does not reach the store.
    #[serde(rename = "the store does not answer")]
    StoreLost,
    /// Anything else.
    #[serde(other)]
    Other,
}

/// The job of a task's name.
pub(crate) fn job_of(task: &str) -> &str {
    task.split('.').next().unwrap_or(task)
}

/// The step of a task's name, with its job.
pub(crate) fn step_of(task: &str) -> &str {
    task.rsplit_once('.').map_or(task, |(step, _)| step)
}
