//! Takes submissions and cancellations, and shows jobs, at any entry.

use crate::rows::{
    ClosedRow, InboxRow, JobKeyRow, JobRow, JobSpec, PartPlace, PartRow, TaskRow, TaskState,
    TasksRow, closed_key, inbox_cancel_key, inbox_part_key, job_key, jobkey_key, part_key,
    tasks_key,
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

/// The list of workers is asked for again after this time.
const WORKERS_FRESH: Duration = Duration::from_secs(2);
/// Tasks of one job at most.
const MOST_TASKS: u32 = 10_000;
/// A cancellation is offered this often where the job's row changes meanwhile.
const CANCEL_TRIES: usize = 5;

/// A submission as a caller sends it.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubmitRequest {
    /// The service.
    pub service: Box<str>,
    /// The job kind, as declared in the settings tree.
    pub kind: Box<str>,
    /// How many tasks; 1 if it is not said.
    #[serde(default = "one_task")]
    pub tasks: u32,
    /// Size of each task in place of the kind's.
    #[serde(default)]
    pub size: Option<ResourceVector>,
    /// Passed to the worker as it is.
    #[serde(default)]
    pub input: Value,
}

fn one_task() -> u32 {
    1
}

/// A task as it is shown.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskView {
    /// Its index.
    pub index: u32,
    /// Its row; `None` before its first placement.
    #[serde(flatten)]
    pub row: Option<TaskRow>,
}

/// A job as it is shown.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobView {
    /// Its id.
    pub job: JobId,
    /// What it asks for.
    pub spec: JobSpec,
    /// Unix milliseconds.
    pub submitted_ms: u64,
    /// Whether it was cancelled.
    pub cancelled: bool,
    /// Whether all tasks have ended.
    pub ended: bool,
    /// Its tasks.
    pub tasks: Vec<TaskView>,
}

/// The desk of one entry.
#[derive(Debug)]
pub struct JobDesk {
    table: TableClient,
    writer: GroupWriter,
    objects: ObjectClient,
    directory: WorkerDirectory,
    clock: ProcessClock,
    shards: u16,
    workers: RefCell<Option<(TimePoint, Vec<WorkerInfo>)>>,
    rng: RefCell<Rng>,
}

impl JobDesk {
    /// Prepares the desk of a system of `shards` shards.
    pub fn new(
        table: TableClient,
        writer: GroupWriter,
        objects: ObjectClient,
        directory: WorkerDirectory,
        shards: u16,
    ) -> Self {
        let clock = table.health().clock();
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

    /// Accepts a job; the same key gives the same job.
    ///
    /// # Errors
    ///
    /// `Invalid` if the job can never run or is not declared; `Unavailable` if it was not
    /// accepted; `Ambiguous` if that is not known, so that the same key finds out.
    pub async fn submit(
        &self,
        tree: &SettingsTree,
        team: &str,
        request: SubmitRequest,
        key: &str,
        deadline: TimePoint,
    ) -> Result<JobId, WaxError> {
        let spec = resolve_spec(tree, team, request)?;
        let workers = self.workers().await?;
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
        self.insert(team, key, JobId::generate(), &row, deadline)
            .await
    }

    async fn insert(
        &self,
        team: &str,
        key: &str,
        job: JobId,
        row: &JobRow,
        deadline: TimePoint,
    ) -> Result<JobId, WaxError> {
        let key_row = jobkey_key(team, key);
        let transaction = submission(&key_row, job, row);
        match self.writer.commit(transaction, deadline).await {
            CommitOutcome::Committed(_) => {
                count(Counter::JobsAccepted);
                Ok(job)
            }
            CommitOutcome::Conflict(_) => match self.table.read::<JobKeyRow>(&key_row).await? {
                Some(found) => Ok(found.value.job),
                None => Err(open_fate("the key changed meanwhile")),
            },
            CommitOutcome::NotSent(error) => {
                let after = error.retry_after().unwrap_or(Duration::from_secs(1));
                Err(WaxError {
                    kind: ErrorKind::Unavailable(after),
                    step: Step::SubmitJob,
                    ..error
                })
            }
            CommitOutcome::Unknown(error) => Err(open_fate(&error.label)),
        }
    }

    /// The workers, asked for at most every few seconds; the last list serves in an outage.
    async fn workers(&self) -> Result<Vec<WorkerInfo>, WaxError> {
        let now = self.clock.now();
        let known = self.workers.borrow().clone();
        if let Some((at, workers)) = &known
            && now.since(*at) < WORKERS_FRESH
        {
            return Ok(workers.clone());
        }
        match (self.directory.list().await, known) {
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

    /// Shows a job.
    ///
    /// # Errors
    ///
    /// There is no such job, or the store does not answer.
    pub async fn show(&self, job: JobId) -> Result<JobView, WaxError> {
        let row = self.read_job(job).await?.1;
        let mut tasks = Vec::new();
        let mut ended = true;
        for place in &row.parts {
            // The open rows first: a part that closes in between shows as closed.
            let open = self.open_rows(job, *place).await?;
            let closed = self
                .table
                .read::<ClosedRow>(&closed_key(job, place.first))
                .await?;
            let rows = match closed {
                Some(closed) => closed.value.tasks.into_iter().map(Some).collect(),
                None => {
                    ended = false;
                    open
                }
            };
            for (offset, row) in rows.into_iter().enumerate() {
                let index = place.first + offset as u32;
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

    async fn open_rows(
        &self,
        job: JobId,
        place: PartPlace,
    ) -> Result<Vec<Option<TaskRow>>, WaxError> {
        let key = tasks_key(place.shard, job, place.first);
        let row = self.table.read::<TasksRow>(&key).await?;
        let mut rows = row.map_or_else(Vec::new, |entry| entry.value.tasks);
        rows.resize(place.count as usize, None);
        Ok(rows)
    }

    /// Reads the result object of a task.
    ///
    /// # Errors
    ///
    /// `NotFound` while there is no result; its label says how the task stands.
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

    /// Asks for a job to be cancelled; tasks that have ended stay ended.
    ///
    /// # Errors
    ///
    /// There is no such job, or the store does not answer.
    pub async fn cancel(&self, job: JobId, deadline: TimePoint) -> Result<(), WaxError> {
        for _ in 0..CANCEL_TRIES {
            let (version, mut row) = self.read_job(job).await?;
            if row.cancelled {
                return Ok(());
            }
            row.cancelled = true;
            let mut transaction = TableTransaction::default();
            transaction.put(job_key(job), version, &row);
            let mut shards: Vec<_> = row.parts.iter().map(|place| place.shard).collect();
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
        Err(open_fate("the job's row kept changing"))
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

fn open_fate(label: &str) -> WaxError {
    WaxError::new(ErrorKind::Ambiguous, Step::SubmitJob, "table", label)
        .with_help("ask again with the same idempotency key")
}

/// One transaction: the key, the job, its parts, and the notes to the shards' owners.
fn submission(key_row: &str, job: JobId, row: &JobRow) -> TableTransaction {
    let absent = RowVersion::default();
    let mut transaction = TableTransaction::default();
    transaction.put(key_row, absent, &JobKeyRow { job });
    transaction.put(job_key(job), absent, row);
    for place in &row.parts {
        let part = PartRow {
            job,
            place: *place,
            spec: row.spec.clone(),
            submitted_ms: row.submitted_ms,
        };
        transaction.put(part_key(place.shard, job, place.first), absent, &part);
        let inbox = inbox_part_key(place.shard, job, place.first);
        transaction.put(inbox, absent, &InboxRow::Part(job, place.first));
    }
    transaction
}

/// Fills a submission with the settings in force.
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
    if !(1..=MOST_TASKS).contains(&request.tasks) {
        let text = format!("{} tasks, expected 1 to {MOST_TASKS}", request.tasks);
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
