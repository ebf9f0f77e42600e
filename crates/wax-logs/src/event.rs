//! The kinds of log line that a report reads, as written by fronts, owners and agents.

use serde::Deserialize;

/// Event of one log line, told apart by its message. Lines with another message are
/// [`LogEvent::Other`].
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(tag = "message")]
pub enum LogEvent {
    /// A front has stored a job.
    #[serde(rename = "job accepted")]
    Accepted {
        /// Id of the job.
        job: Box<str>,
        /// Queue of the job.
        queue: Box<str>,
        /// Time from the request to the answer, milliseconds.
        took_ms: u64,
        /// Number of tasks of all steps.
        tasks: u32,
        /// Total work as estimated by the caller, core milliseconds.
        work_ms: u64,
        /// Time from the request within which the job should end, milliseconds.
        objective_ms: u64,
        /// Whether the job has a long-running step.
        #[serde(rename = "lasts")]
        long_running: bool,
    },
    /// A front has refused a job, or does not know whether the job is stored.
    #[serde(rename = "job not accepted")]
    NotAccepted {
        /// Id of the job.
        job: Box<str>,
        /// Queue of the job.
        queue: Box<str>,
    },
    /// The owner has ordered the start of a run.
    #[serde(rename = "start ordered")]
    Start {
        /// Name of the task.
        task: Box<str>,
        /// Number of the task's start.
        run: u64,
        /// Name of the worker.
        worker: Box<str>,
        /// Whether the run continues from a checkpoint.
        resumes: bool,
        /// How long the tasks of the step had waited, milliseconds.
        waited_ms: u64,
        /// Expected pace of the run, 0 to 1.
        pace: f64,
    },
    /// The owner has ordered a run to stop.
    #[serde(rename = "stop ordered")]
    Stop {
        /// Name of the task.
        task: Box<str>,
        /// Number of the task's start.
        run: u64,
        /// Reason for the stop.
        why: Box<str>,
    },
    /// The owner has received the end of a run.
    #[serde(rename = "run ended")]
    End {
        /// Name of the task.
        task: Box<str>,
        /// Number of the task's start.
        run: u64,
        /// How the run ended, such as `Done` or `Failed`.
        how: Box<str>,
    },
    /// A run has ended because its worker terminated.
    #[serde(rename = "run ended with its worker")]
    EndWithWorker {
        /// Name of the task.
        task: Box<str>,
        /// Number of the task's start.
        run: u64,
    },
    /// An agent has given up a run because it has lost the worker.
    #[serde(rename = "run lost with its worker")]
    Lost {
        /// Name of the task.
        task: Box<str>,
        /// Number of the task's start.
        run: u64,
    },
    /// An agent or its worker has refused the start of a run, and later the owner has received the
    /// refusal.
    #[serde(rename = "start refused")]
    Refused {
        /// Name of the task.
        task: Box<str>,
        /// Number of the task's start.
        run: u64,
        /// Reason for the refusal, such as `Unwell` or `Stale`.
        why: Box<str>,
    },
    /// The owner has received the list of a worker's runs.
    #[serde(rename = "worker taken over")]
    WorkerTakenOver {
        /// Name of the worker.
        worker: Box<str>,
        /// Number of runs in progress on the worker.
        runs: usize,
    },
    /// No run is in progress any more on a worker that has left or was given up.
    #[serde(rename = "all runs of an ended worker have ended")]
    WorkerEnded {
        /// Name of the worker.
        worker: Box<str>,
    },
    /// The reason for which a step waits has changed.
    #[serde(rename = "step waits")]
    Wait {
        /// Name of the first waiting task.
        task: Box<str>,
        /// Number of waiting tasks.
        waiting: u32,
        /// How long they have waited, milliseconds.
        waited_ms: u64,
        /// Reason for the wait.
        reason: Box<str>,
    },
    /// An agent has changed the pace of an image considerably.
    #[serde(rename = "pace changed")]
    Pace {
        /// Name of the worker.
        worker: Box<str>,
        /// Name of the image.
        image: Box<str>,
        /// New pace of the image, percent.
        percent: u32,
        /// Serving task for which the image is slowed down.
        protects: Option<Box<str>>,
        /// Tail latency of that task as a share of its target.
        tail: Option<f64>,
    },
    /// The owner has reported a job as ended.
    #[serde(rename = "job ended")]
    JobEnd {
        /// Id of the job.
        job: Box<str>,
        /// Outcome of the job, such as `Completed` or `Cancelled`.
        outcome: Box<str>,
    },
    /// A process has become the owner of the shard.
    #[serde(rename = "took over the shard")]
    Takeover {
        /// Epoch of the owner's term.
        epoch: u64,
    },
    /// A front cannot reach the store.
    #[serde(rename = "the store does not answer")]
    StoreLost,
    /// Any other line; reports ignore it.
    #[serde(other)]
    Other,
}

/// Returns the job that a task's name starts with.
pub(crate) fn job_of(task: &str) -> &str {
    task.split('.').next().unwrap_or(task)
}

/// Returns a task's name without the task's index: the job and the step.
pub(crate) fn step_of(task: &str) -> &str {
    task.rsplit_once('.').map_or(task, |(step, _)| step)
}
