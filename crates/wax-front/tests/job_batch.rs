//! Jobs that share a transaction: each is stored once, and none fails because of another.

use platform::{MAX_TX_ENTRIES, StoredRow, TxRequest};
use prost::Message;
use wax_batch::{JobName, JobRow};
use wax_front::{BatchStep, JobBatch, JobResult, QueuedJob};
use wax_owner::{TxResolution, job_key, owner_key};
use wax_types::{ErrorKind, Step, TimePoint, WaxError};

fn queued(number: u64, first_at_ms: u64, bytes: usize) -> QueuedJob<u64> {
    QueuedJob {
        name: JobName(number),
        row: JobRow {
            nonce: 1_000 + number,
            queue: "q".repeat(bytes),
            ..JobRow::default()
        },
        deadline: TimePoint::from_millis(3_000 + number),
        first_at: TimePoint::from_millis(first_at_ms),
        tag: number,
    }
}

fn batch_of(count: u64) -> JobBatch<u64> {
    let mut waiting = (1..=count).map(|n| queued(n, n, 1)).collect();
    let batch = JobBatch::take(&mut waiting, 49);
    assert!(waiting.is_empty());
    batch
}

fn stored(number: u64, nonce: u64) -> StoredRow {
    let row = JobRow {
        nonce,
        ..JobRow::default()
    };
    StoredRow {
        key: job_key(JobName(number)),
        value: row.encode_to_vec(),
        version: 9,
    }
}

fn owner_row() -> StoredRow {
    StoredRow {
        key: owner_key(),
        value: Vec::new(),
        version: 8,
    }
}

fn error() -> WaxError {
    WaxError::new(ErrorKind::Timeout, Step::SubmitJob, "store", "reason")
}

fn tags(batch: &JobBatch<u64>) -> Vec<u64> {
    batch.jobs().iter().map(|job| job.tag).collect()
}

/// Applies a resolution; returns the results by job, and the next step.
fn resolve(
    batch: &mut JobBatch<u64>,
    resolution: &TxResolution,
) -> (Vec<(u64, JobResult)>, BatchStep) {
    let (ended, step) = batch.resolve(resolution);
    let results = ended.into_iter().map(|(job, result)| (job.tag, result));
    (results.collect(), step)
}

#[test]
fn one_transaction_stores_each_job_unless_it_exists() {
    let mut batch = batch_of(3);
    let tx = batch.request(5, 7);
    assert_eq!(tx.expect[0], (owner_key(), 7));
    for n in 1..=3 {
        assert!(tx.expect.contains(&(job_key(JobName(n)), 0)));
    }
    assert_eq!(tx.writes.len(), 3);
    let row = JobRow::decode(&*tx.writes[0].value).expect("the row must decode");
    assert_eq!((row.epoch, row.nonce), (5, 1_001));
    assert_eq!(batch.deadline(), TimePoint::from_millis(3_003));
    let (ended, step) = resolve(&mut batch, &TxResolution::Committed(9));
    assert_eq!(step, BatchStep::Done);
    assert!(ended.iter().all(|(_, result)| *result == JobResult::Stored));
    assert_eq!(ended.len(), 3);
}

/// Without this, one caller that submits a job again fails the jobs of all others in the batch.
#[test]
fn a_conflict_of_one_job_does_not_fail_the_others() {
    let mut batch = batch_of(3);
    let conflict = TxResolution::Conflict(vec![owner_row(), stored(2, 77)]);
    let (ended, step) = resolve(&mut batch, &conflict);
    assert_eq!(ended, [(2, JobResult::AlreadyStored)]);
    assert_eq!(step, BatchStep::SendAgain);
    assert_eq!(tags(&batch), [1, 3]);
    let tx = batch.request(5, 8);
    assert!(!tx.expect.contains(&(job_key(JobName(2)), 0)));
}

/// A transaction whose answer was lost has taken effect: the copy that is sent again meets its rows.
#[test]
fn rows_of_this_batch_count_as_stored_by_it() {
    let mut batch = batch_of(2);
    let conflict = TxResolution::Conflict(vec![stored(1, 1_001), stored(2, 1_002)]);
    let (ended, step) = resolve(&mut batch, &conflict);
    assert_eq!(ended, [(1, JobResult::Stored), (2, JobResult::Stored)]);
    assert_eq!(step, BatchStep::Done);
}

/// The owner has changed: nothing was stored, and the jobs are sent with its new version.
#[test]
fn a_conflict_on_the_owners_row_sends_all_jobs_again() {
    let mut batch = batch_of(3);
    let conflict = TxResolution::Conflict(vec![owner_row()]);
    assert_eq!(
        resolve(&mut batch, &conflict),
        (Vec::new(), BatchStep::SendAgain)
    );
    let tx = batch.request(6, 8);
    assert_eq!(tx.expect[0], (owner_key(), 8));
    assert_eq!(tx.writes.len(), 3);
    let row = JobRow::decode(&*tx.writes[2].value).expect("the row must decode");
    assert_eq!(row.epoch, 6);
}

/// One job that the store rejects must not make the others fail.
#[test]
fn a_rejected_batch_is_sent_job_by_job() {
    let mut batch = batch_of(2);
    let refused = TxResolution::Refused(error());
    assert_eq!(
        resolve(&mut batch, &refused),
        (Vec::new(), BatchStep::SendEachAlone)
    );
    let alone: Vec<JobBatch<u64>> = batch.split().collect();
    assert_eq!(alone.iter().map(tags).collect::<Vec<_>>(), [[1], [2]]);
    for mut batch in alone {
        let (ended, step) = resolve(&mut batch, &refused);
        assert_eq!(step, BatchStep::Done);
        assert_eq!(ended[0].1, JobResult::Refused("reason".into()));
    }
}

/// Tests that a result without an answer by the store ends all jobs in the same way.
macro_rules! whole_batch_tests {
    ($($name:ident: $resolution:ident => $result:ident,)*) => {
        $(
            #[test]
            fn $name() {
                let mut batch = batch_of(2);
                let (ended, step) = resolve(&mut batch, &TxResolution::$resolution(error()));
                assert_eq!(step, BatchStep::Done);
                let result = JobResult::$result("reason".into());
                assert_eq!(ended, [(1, result.clone()), (2, result)]);
            }
        )*
    };
}

whole_batch_tests! {
    a_batch_that_was_not_sent_is_not_stored: NotSent => NotStored,
    a_batch_without_an_answer_is_unknown: Unknown => Unknown,
}

#[test]
fn jobs_that_were_refused_earlier_are_taken_first() {
    let mut waiting = vec![queued(1, 30, 1), queued(2, 10, 1), queued(3, 20, 1)];
    let batch = JobBatch::take(&mut waiting, 2);
    assert_eq!(tags(&batch), [2, 3]);
    assert_eq!(waiting.len(), 1);
}

/// Two conditions on the same row in one transaction would make the store reject it.
#[test]
fn a_name_that_waits_twice_is_taken_once() {
    let mut waiting = vec![queued(1, 10, 1), queued(1, 20, 1), queued(2, 30, 1)];
    let batch = JobBatch::take(&mut waiting, 49);
    assert_eq!(tags(&batch), [1, 2]);
    assert_eq!(waiting.len(), 1);
}

fn is_within_limits(batch: &mut JobBatch<u64>) -> bool {
    let tx: TxRequest = batch.request(1, 1);
    tx.is_within_limits()
}

#[test]
fn a_batch_stays_within_the_stores_limits() {
    let mut waiting = (0..200).map(|n| queued(n, n, 1)).collect();
    let mut batch = JobBatch::take(&mut waiting, 49);
    assert_eq!(batch.jobs().len(), (MAX_TX_ENTRIES - 1) / 2);
    assert!(is_within_limits(&mut batch));
    let mut waiting = (0..10).map(|n| queued(n, n, 200_000)).collect();
    let mut batch = JobBatch::take(&mut waiting, 49);
    assert_eq!((batch.jobs().len(), waiting.len()), (3, 7));
    assert!(is_within_limits(&mut batch));
}

#[test]
fn a_job_that_is_too_large_is_taken_alone() {
    let mut waiting = vec![queued(1, 1, 2_000_000), queued(2, 2, 1)];
    assert_eq!(tags(&JobBatch::take(&mut waiting, 49)), [1]);
    assert_eq!(tags(&JobBatch::take(&mut waiting, 49)), [2]);
}
