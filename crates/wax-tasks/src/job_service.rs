//! Accepts, shows and cancels jobs. Every entry has a job service; the owners of the shards learn
//! of new and cancelled jobs through inbox rows.

use crate::rows::{
    ClosedRow, IdempotencyKeyRow, InboxRow, JobRow, JobSpec, PartLocation, PartRow, TaskRow,
    TaskState, TasksRow, closed_key, idempotency_row_key, inbox_cancel_key, inbox_part_key,
    job_key, part_key, tasks_key,
};
use crate::split::{WorkerShape, shard_of_worker, split_job};
use fastrand::Rng;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::cell::RefCell;
use std::time::Duration;
use wax_platform::{
    CommitOutcome, GroupWriter, ObjectClient, TableClient, TableTransaction, WorkerDirectory,
    WorkerInfo,
};
use wax_settings::{NodePath, SettingsTree};
use wax_trace::{Counter, count};
use wax_types::{
    ErrorKind, JobId, ProcessClock, ResourceVector, RowVersion, Step, TimePoint, WaxError,
    wall_clock_ms,
};

/// Age at which the cached list of workers is read again.
const WORKER_LIST_MAX_AGE: Duration = Duration::from_secs(2);
/// Maximum number of tasks of one job.
const MAX_TASKS: u32 = 10_000;
/// Maximum number of attempts to commit a cancellation while other clients change the job's row.
const MAX_CANCEL_ATTEMPTS: usize = 5;

/// Body of a submission by a caller.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubmitRequest {
    /// Service to which the job belongs.
    pub service: Box<str>,
    /// Kind of the job, which must be declared in the settings tree.
    pub kind: Box<str>,
    /// Number of tasks; 1 if the field is absent.
    #[serde(default = "one_task")]
    pub tasks: u32,
    /// Size of each task; `None` for the size that the settings declare for the kind.
    #[serde(default)]
    pub size: Option<ResourceVector>,
    /// Input of the job, passed to the workers unchanged.
    #[serde(default)]
    pub input: Value,
}

fn one_task() -> u32 {
    1
}

/// Task as shown to callers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskView {
    /// Index of the task in its job.
    pub index: u32,
    /// Row of the task; `None` before its first placement.
    #[serde(flatten)]
    pub row: Option<TaskRow>,
}

/// Job as shown to callers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobView {
    /// Identifies the job.
    pub job: JobId,
    /// Specification of the job with all settings resolved.
    pub spec: JobSpec,
    /// Time of the submission, Unix milliseconds.
    pub submitted_ms: u64,
    /// Whether the job was cancelled.
    pub cancelled: bool,
    /// Whether all tasks of the job have ended.
    pub ended: bool,
    /// All tasks of the job by index.
    pub tasks: Vec<TaskView>,
}

/// Job service of one entry.
#[derive(Debug)]
pub struct JobService {
    table: TableClient,
    writer: GroupWriter,
    objects: ObjectClient,
    directory: WorkerDirectory,
    clock: ProcessClock,
    shards: u16,
    workers: RefCell<Option<(TimePoint, Vec<WorkerInfo>)>>,
    rng: RefCell<Rng>,
}

impl JobService {
    /// Creates the job service of an entry in a system with `shards` shards.
    pub fn new(
        table: TableClient,
        writer: GroupWriter,
        objects: ObjectClient,
        directory: WorkerDirectory,
        shards: u16,
    ) -> Self {
        let clock = table.store().clock();
        Self {
            table,
            writer,
            objects,
            directory,
            clock,
            shards,
            workers: RefCell::default(),
            rng: RefCell::new(Rng::new()),
        }
    }

    /// Accepts a job and returns its id. A repeated call with the same idempotency key returns the
    /// same job.
    ///
    /// # Errors
    ///
    /// Returns `Invalid` if the job can never run or its kind is not declared, `Unavailable` if the
    /// job was not accepted, and `Ambiguous` if the outcome is not known; a repetition with the
    /// same key then resolves it.
    pub async fn submit(
        &self,
        tree: &SettingsTree,
        team: &str,
        request: SubmitRequest,
        key: &str,
        deadline: TimePoint,
    ) -> Result<JobId, WaxError> {
        let spec = resolve_spec(tree, team, request)?;
        let workers = self.worker_list().await?;
        let shapes: Vec<WorkerShape> = workers
            .iter()
            .map(|worker| WorkerShape {
                shard: shard_of_worker(&worker.id, self.shards),
                capacity: worker.capacity,
            })
            .collect();
        let split = split_job(spec.tasks, spec.size, &shapes, &mut self.rng.borrow_mut());
        let parts = split.map_err(|impossible| {
            count(Counter::JobsUnplaceable);
            WaxError::new(
                ErrorKind::Invalid,
                Step::SubmitJob,
                &*spec.kind,
                impossible.reason,
            )
            .with_help("lower the size of the job kind, or add a larger worker")
        })?;
        let row = JobRow {
            spec,
            parts,
            submitted_ms: wall_clock_ms(),
            cancelled: false,
        };
        self.commit_submission(team, key, JobId::generate(), &row, deadline)
            .await
    }

    async fn commit_submission(
        &self,
        team: &str,
        key: &str,
        job: JobId,
        row: &JobRow,
        deadline: TimePoint,
    ) -> Result<JobId, WaxError> {
        let row_key = idempotency_row_key(team, key);
        let transaction = submission_transaction(&row_key, job, row);
        match self.writer.commit(transaction, deadline).await {
            CommitOutcome::Committed(_) => {
                count(Counter::JobsAccepted);
                Ok(job)
            }
            CommitOutcome::Conflict(_) => {
                match self.table.read::<IdempotencyKeyRow>(&row_key).await? {
                    Some(found) => Ok(found.value.job),
                    None => Err(indeterminate("the key changed meanwhile")),
                }
            }
            CommitOutcome::NotSent(error) => {
                let retry_after = error.retry_after().unwrap_or(Duration::from_secs(1));
                Err(WaxError {
                    kind: ErrorKind::Unavailable(retry_after),
                    step: Step::SubmitJob,
                    ..error
                })
            }
            CommitOutcome::Unknown(error) => Err(indeterminate(&error.label)),
        }
    }

    /// Returns the workers from a cached list, which is read again when it has expired. If the
    /// platform does not answer, the expired list is returned.
    async fn worker_list(&self) -> Result<Vec<WorkerInfo>, WaxError> {
        let now = self.clock.now();
        let cached = self.workers.borrow().clone();
        if let Some((fetched_at, workers)) = &cached
            && now.since(*fetched_at) < WORKER_LIST_MAX_AGE
        {
            return Ok(workers.clone());
        }
        match (self.directory.list().await, cached) {
            (Ok(workers), _) => {
                *self.workers.borrow_mut() = Some((now, workers.clone()));
                Ok(workers)
            }
            (Err(_), Some((_, workers))) => Ok(workers),
            (Err(error), None) => Err(WaxError {
                kind: ErrorKind::Unavailable(Duration::from_secs(1)),
                ..error
            }),
        }
    }

    /// Returns the current state of a job and its tasks.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such job or the store does not answer.
    pub async fn show(&self, job: JobId) -> Result<JobView, WaxError> {
        let row = self.read_job(job).await?.1;
        let mut tasks = Vec::new();
        let mut ended = true;
        for location in &row.parts {
            // The open rows are read first, so that a part that is closed between the two reads is
            // shown as closed.
            let open = self.open_task_rows(job, *location).await?;
            let closed = self
                .table
                .read::<ClosedRow>(&closed_key(job, location.first))
                .await?;
            let rows = match closed {
                Some(closed) => closed.value.tasks.into_iter().map(Some).collect(),
                None => {
                    ended = false;
                    open
                }
            };
            for (offset, row) in rows.into_iter().enumerate() {
                let index = location.first + offset as u32;
                tasks.push(TaskView { index, row });
            }
        }
        Ok(JobView {
            job,
            spec: row.spec,
            submitted_ms: row.submitted_ms,
            cancelled: row.cancelled,
            ended,
            tasks,
        })
    }

    async fn open_task_rows(
        &self,
        job: JobId,
        location: PartLocation,
    ) -> Result<Vec<Option<TaskRow>>, WaxError> {
        let key = tasks_key(location.shard, job, location.first);
        let row = self.table.read::<TasksRow>(&key).await?;
        let mut rows = row.map_or_else(Vec::new, |entry| entry.value.tasks);
        rows.resize(location.count as usize, None);
        Ok(rows)
    }

    /// Reads the result object of a task.
    ///
    /// # Errors
    ///
    /// Returns `NotFound` while there is no result, with the state of the task in the label.
    pub async fn result(&self, job: JobId, index: u32) -> Result<Vec<u8>, WaxError> {
        let view = self.show(job).await?;
        let task = view.tasks.iter().find(|task| task.index == index);
        let state = task
            .and_then(|task| task.row.as_ref())
            .map(|row| &row.state);
        let Some(TaskState::Done(object)) = state else {
            let text = match state {
                None => "the task has not started".to_owned(),
                Some(state) => format!("the task is {state:?}"),
            };
            let peer = format!("{job}.{index}");
            return Err(WaxError::new(
                ErrorKind::NotFound,
                Step::ReadJob,
                peer,
                text,
            ));
        };
        self.objects.read(object).await?.ok_or_else(|| {
            WaxError::new(
                ErrorKind::NotFound,
                Step::ReadObject,
                object.clone(),
                "no such object",
            )
        })
    }

    /// Cancels a job. Tasks that have already ended keep their results.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such job or the store does not answer, and `Ambiguous` if
    /// the job's row changes during each attempt.
    pub async fn cancel(&self, job: JobId, deadline: TimePoint) -> Result<(), WaxError> {
        for _ in 0..MAX_CANCEL_ATTEMPTS {
            let (version, mut row) = self.read_job(job).await?;
            if row.cancelled {
                return Ok(());
            }
            row.cancelled = true;
            let mut transaction = TableTransaction::default();
            transaction.put(job_key(job), version, &row);
            let mut shards: Vec<_> = row.parts.iter().map(|location| location.shard).collect();
            shards.sort_unstable();
            shards.dedup();
            for shard in shards {
                let key = inbox_cancel_key(shard, job);
                transaction.put(key, RowVersion::default(), &InboxRow::Cancel(job));
            }
            match self.writer.commit(transaction, deadline).await {
                CommitOutcome::Committed(_) => return Ok(()),
                CommitOutcome::Conflict(_) => {}
                CommitOutcome::NotSent(error) | CommitOutcome::Unknown(error) => return Err(error),
            }
        }
        Err(indeterminate("the job's row kept changing"))
    }

    async fn read_job(&self, job: JobId) -> Result<(RowVersion, JobRow), WaxError> {
        match self.table.read::<JobRow>(&job_key(job)).await? {
            Some(entry) => Ok((entry.version, entry.value)),
            None => Err(WaxError::new(
                ErrorKind::NotFound,
                Step::ReadJob,
                job.to_string(),
                "no such job",
            )),
        }
    }
}

fn indeterminate(label: &str) -> WaxError {
    WaxError::new(ErrorKind::Ambiguous, Step::SubmitJob, "table", label)
        .with_help("ask again with the same idempotency key")
}

/// Builds the transaction that inserts a job: the row of its idempotency key, the row of the job,
/// the rows of its parts, and the inbox messages to the owners of the shards.
fn submission_transaction(row_key: &str, job: JobId, row: &JobRow) -> TableTransaction {
    let absent = RowVersion::default();
    let mut transaction = TableTransaction::default();
    transaction.put(row_key, absent, &IdempotencyKeyRow { job });
    transaction.put(job_key(job), absent, row);
    for location in &row.parts {
        let part = PartRow {
            job,
            location: *location,
            spec: row.spec.clone(),
            submitted_ms: row.submitted_ms,
        };
        transaction.put(part_key(location.shard, job, location.first), absent, &part);
        let inbox = inbox_part_key(location.shard, job, location.first);
        transaction.put(inbox, absent, &InboxRow::Part(job, location.first));
    }
    transaction
}

/// Builds the specification of a job from a submission and the settings in force.
fn resolve_spec(
    tree: &SettingsTree,
    team: &str,
    request: SubmitRequest,
) -> Result<JobSpec, WaxError> {
    let path = NodePath::kind(team, &request.service, &request.kind);
    if !tree.contains(&path) {
        let text = "the job kind is not declared in the settings tree";
        return Err(
            WaxError::new(ErrorKind::Invalid, Step::SubmitJob, path.as_str(), text)
                .with_help("declare it with `waxwing settings apply`"),
        );
    }
    if !(1..=MAX_TASKS).contains(&request.tasks) {
        let text = format!("{} tasks, expected 1 to {MAX_TASKS}", request.tasks);
        return Err(WaxError::new(
            ErrorKind::Invalid,
            Step::SubmitJob,
            path.as_str(),
            text,
        ));
    }
    let settings = tree.resolve(&path);
    let declared = ResourceVector::new(
        settings.cpu_milli,
        settings.memory_mib,
        settings.accelerators,
    );
    Ok(JobSpec {
        team: team.into(),
        service: request.service,
        kind: request.kind,
        tasks: request.tasks,
        class: settings.class,
        size: request.size.unwrap_or(declared),
        run_time_s: settings.run_time_s,
        attempts: settings.attempts,
        input: request.input,
    })
}
