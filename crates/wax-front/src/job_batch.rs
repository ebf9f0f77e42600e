//! Jobs that share one transaction: which are taken, and what its result means for each.

use platform::{RowWrite, StoredRow, TxRequest};
use prost::Message;
use wax_batch::{JobName, JobRow};
use wax_owner::{TxResolution, job_key, owner_key};
use wax_types::TimePoint;

/// Job that waits to be stored. `T` is what the sender keeps with it.
#[derive(Debug)]
pub struct QueuedJob<T> {
    /// Name of the job.
    pub name: JobName,
    /// Row to store; the epoch is set when it is sent.
    pub row: JobRow,
    /// Time up to which the caller waits.
    pub deadline: TimePoint,
    /// When this front first received the job, or first refused it.
    pub first_at: TimePoint,
    /// Value of the sender.
    pub tag: T,
}

/// What a transaction means for one of its jobs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobResult {
    /// The transaction stored it.
    Stored,
    /// An earlier request with the same job name stored it.
    AlreadyStored,
    /// It was not stored and will not be stored by this transaction.
    NotStored(Box<str>),
    /// The store rejects the job as invalid.
    Refused(Box<str>),
    /// It may be stored.
    Unknown(Box<str>),
}

/// What to do with the jobs of a batch that have no result yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BatchStep {
    /// All jobs have a result.
    Done,
    /// Send the remaining jobs again, with the owner's present version.
    SendAgain,
    /// Send each job in a transaction of its own.
    SendEachAlone,
}

/// Jobs of one transaction.
#[derive(Debug)]
pub struct JobBatch<T> {
    jobs: Vec<QueuedJob<T>>,
}

impl<T> JobBatch<T> {
    /// Takes jobs for one transaction within the store's limits, at most `max_jobs`. Jobs that were
    /// refused earlier come first. A name that waits twice is taken once.
    pub fn take(waiting: &mut Vec<QueuedJob<T>>, max_jobs: usize) -> Self {
        waiting.sort_by_key(|job| job.first_at);
        let mut batch = Self { jobs: Vec::new() };
        let mut tx = TxRequest {
            expect: vec![(owner_key(), 0)],
            ..TxRequest::default()
        };
        let mut rest = Vec::new();
        let mut is_full = false;
        for job in waiting.drain(..) {
            let is_repeated = batch.jobs.iter().any(|other| other.name == job.name);
            if is_full || is_repeated {
                rest.push(job);
                continue;
            }
            add_job(&mut tx, job.name, &job.row);
            // A job that is too large alone is sent, and the store's answer is passed on.
            is_full =
                !batch.jobs.is_empty() && (!tx.is_within_limits() || batch.jobs.len() >= max_jobs);
            match is_full {
                true => rest.push(job),
                false => batch.jobs.push(job),
            }
        }
        *waiting = rest;
        batch
    }

    /// Returns the jobs without a result.
    pub fn jobs(&self) -> &[QueuedJob<T>] {
        &self.jobs
    }

    /// Returns the time up to which the last caller waits.
    pub fn deadline(&self) -> TimePoint {
        let deadlines = self.jobs.iter().map(|job| job.deadline);
        deadlines.max().unwrap_or_default()
    }

    /// Returns the transaction that stores each job unless a job of its name is stored, on condition
    /// that the owner's row has this version.
    ///
    /// The rows carry the number of the current term. Owners of earlier terms have never seen the
    /// jobs, so they have no runs of their terms; a former owner that reads a row ends its own term.
    pub fn request(&mut self, epoch: u64, owner_version: u64) -> TxRequest {
        let mut tx = TxRequest {
            expect: vec![(owner_key(), owner_version)],
            ..TxRequest::default()
        };
        for job in &mut self.jobs {
            job.row.epoch = epoch;
            add_job(&mut tx, job.name, &job.row);
        }
        tx
    }

    /// Applies the result of the transaction. Returns the jobs that have a result, and what to do
    /// with the others.
    pub fn resolve(
        &mut self,
        resolution: &TxResolution,
    ) -> (Vec<(QueuedJob<T>, JobResult)>, BatchStep) {
        match resolution {
            TxResolution::Committed(_) => self.end_all(&JobResult::Stored),
            TxResolution::Conflict(rows) => self.end_stored(rows),
            TxResolution::NotSent(error) => {
                self.end_all(&JobResult::NotStored(error.label.clone()))
            }
            TxResolution::Refused(_) if self.jobs.len() > 1 => {
                (Vec::new(), BatchStep::SendEachAlone)
            }
            TxResolution::Refused(error) => self.end_all(&JobResult::Refused(error.label.clone())),
            TxResolution::Unknown(error) => self.end_all(&JobResult::Unknown(error.label.clone())),
        }
    }

    /// Ends all jobs without a result.
    pub fn end_all(&mut self, result: &JobResult) -> (Vec<(QueuedJob<T>, JobResult)>, BatchStep) {
        let ended = self.jobs.drain(..).map(|job| (job, result.clone()));
        (ended.collect(), BatchStep::Done)
    }

    /// Splits the batch into batches of one job.
    pub fn split(self) -> impl Iterator<Item = Self> {
        self.jobs.into_iter().map(|job| Self { jobs: vec![job] })
    }

    /// Ends the jobs that are stored, by this batch or an earlier request. A conflict that names
    /// none of the jobs is one on the owner's row.
    fn end_stored(&mut self, rows: &[StoredRow]) -> (Vec<(QueuedJob<T>, JobResult)>, BatchStep) {
        let mut ended = Vec::new();
        for job in std::mem::take(&mut self.jobs) {
            let stored = rows.iter().find(|row| row.key == job_key(job.name));
            let Some(stored) = stored else {
                self.jobs.push(job);
                continue;
            };
            let is_ours =
                JobRow::decode(&*stored.value).is_ok_and(|stored| stored.nonce == job.row.nonce);
            let result = match is_ours {
                true => JobResult::Stored,
                false => JobResult::AlreadyStored,
            };
            ended.push((job, result));
        }
        let step = match self.jobs.is_empty() {
            true => BatchStep::Done,
            false => BatchStep::SendAgain,
        };
        (ended, step)
    }
}

fn add_job(tx: &mut TxRequest, name: JobName, row: &JobRow) {
    tx.expect.push((job_key(name), 0));
    tx.writes.push(RowWrite {
        key: job_key(name),
        value: row.encode_to_vec(),
    });
}
