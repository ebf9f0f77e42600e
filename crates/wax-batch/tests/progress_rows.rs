//! Progress of large jobs in rows of limited size: what a later owner restores, and how large each row
//! gets.

mod support;

use prost::Message;
use std::collections::BTreeMap;
use support::*;
use wax_batch::{
    JobName, JobOutcome, JobProgress, JobRow, JobScheduler, JobSpec, LostRun, MAX_ROW_BYTES,
    OccurrenceProgress, PartProgress, ProgressRow, ProgressUpdate, RepeatPlan, RunEndKind,
    StartOrder, StepProgress, StepSpec, StoredProgress, TaskFailures, WorkerKey,
};

const JOB: u64 = 7;
const WORKER_CPU_MILLI: u32 = 200_000;

/// The rows of one job, as a store holds them.
#[derive(Default, Clone)]
struct StoredRows(BTreeMap<ProgressRow, Box<[u8]>>);

impl StoredRows {
    fn write(&mut self, update: &ProgressUpdate) {
        for change in &update.rows {
            match &change.value {
                Some(value) => drop(self.0.insert(change.row, value.clone())),
                None => drop(self.0.remove(&change.row)),
            }
        }
    }

    /// Returns the rows in the form in which an owner loads them.
    fn load(&self) -> StoredProgress {
        let mut stored = StoredProgress {
            version: 1,
            ..Default::default()
        };
        for (row, value) in &self.0 {
            match row {
                ProgressRow::Head => {
                    stored.progress = JobProgress::decode(&**value).expect("the head row");
                }
                ProgressRow::Part(number) => {
                    let part = PartProgress::decode(&**value).expect("a part row");
                    stored.parts.insert(*number, part);
                }
            }
        }
        stored
    }
}

/// Stores all pending updates of the job.
fn store_rows(scheduler: &mut JobScheduler, rows: &mut StoredRows) {
    let updates = scheduler.take_updates(10);
    for update in &updates {
        rows.write(update);
    }
    scheduler.confirm_updates(&updates, 1, at(0));
}

fn owner_of(
    spec: &JobSpec,
    stored: Option<&StoredProgress>,
    epoch: u64,
) -> (JobScheduler, WorkerKey) {
    let mut scheduler = scheduler(epoch);
    let key = worker(&mut scheduler, "w", WORKER_CPU_MILLI);
    let mut row = JobRow::new(spec, &queue_rules(2), unix_ms(0), 1);
    row.epoch = 1;
    scheduler.add_job(JobName(JOB), row, stored, &clocks(0));
    (scheduler, key)
}

fn small_step(count: u32) -> StepSpec {
    let mut small = step(count, 1);
    small.size.memory_mb = 1;
    small
}

/// Two steps, the second of which waits for the first.
fn two_steps(first: u32, second: u32) -> JobSpec {
    let mut last = small_step(second);
    last.after = [0].into();
    spec(vec![small_step(first), last])
}

/// Returns the tasks that the owner starts, by index.
fn started(scheduler: &mut JobScheduler, millis: u64) -> Vec<(u16, u32)> {
    let orders = scheduler.place(at(millis));
    let mut tasks: Vec<(u16, u32)> = orders
        .iter()
        .map(|order| (order.run_id.task.step, order.run_id.task.index))
        .collect();
    tasks.sort_unstable();
    tasks
}

fn end_tasks(
    scheduler: &mut JobScheduler,
    worker: WorkerKey,
    (first_number, step): (u64, u16),
    tasks: impl Iterator<Item = u32>,
    kind: RunEndKind,
) {
    for (number, index) in (first_number..).zip(tasks) {
        let run = run_id(JOB, step, index, 1);
        scheduler.record_end(worker, &end(number, run, kind), at(20), unix_ms(20));
    }
}

/// Defines one test per row: the tasks of two steps, and which tasks of the first step end.
macro_rules! restored_tasks {
    ($($name:ident: $first:expr, $second:expr, $ended:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let job_spec = two_steps($first, $second);
                let (mut before, key) = owner_of(&job_spec, None, 1);
                assert_eq!(started(&mut before, 0).len(), $first);
                end_tasks(&mut before, key, (1, 0), $ended, RunEndKind::Done);
                let mut rows = StoredRows::default();
                store_rows(&mut before, &mut rows);
                let (mut next, _) = owner_of(&job_spec, Some(&rows.load()), 2);
                let ended: Vec<u32> = $ended.collect();
                let expected: Vec<(u16, u32)> = if ended.len() == $first {
                    (0..$second).map(|index| (1, index)).collect()
                } else {
                    (0..$first).filter(|index| !ended.contains(index)).map(|index| (0, index)).collect()
                };
                assert_eq!(started(&mut next, 30), expected);
            }
        )*
    };
}

restored_tasks! {
    a_later_owner_starts_the_open_tasks_of_a_small_job: 300, 10, (0..300).step_by(3);
    a_later_owner_starts_the_open_tasks_of_a_job_that_fills_a_row: 500, 12, (0..500).step_by(3);
    a_later_owner_starts_the_open_tasks_of_a_large_job: 1_700, 10, (0..1_700).step_by(3);
    a_later_owner_opens_the_step_after_one_of_many_rows: 1_700, 10, 0..1_700;
    a_later_owner_starts_the_last_task_of_a_row: 1_700, 10, (0..1_700).filter(|index| *index != 511);
    a_later_owner_starts_the_first_task_of_a_row: 1_700, 10, (0..1_700).filter(|index| *index != 512);
}

/// The second step begins in the middle of a row.
#[test]
fn a_later_owner_restores_two_steps_that_share_a_row() {
    let mut job_spec = spec(vec![small_step(700), small_step(900)]);
    job_spec.steps[1].after = [].into();
    let (mut before, key) = owner_of(&job_spec, None, 1);
    assert_eq!(started(&mut before, 0).len(), 1_600);
    end_tasks(&mut before, key, (1, 0), 690..700, RunEndKind::Done);
    end_tasks(&mut before, key, (11, 1), 0..330, RunEndKind::Done);
    let mut rows = StoredRows::default();
    store_rows(&mut before, &mut rows);
    let (mut next, _) = owner_of(&job_spec, Some(&rows.load()), 2);
    let expected: Vec<(u16, u32)> = (0..690)
        .map(|index| (0, index))
        .chain((330..900).map(|index| (1, index)))
        .collect();
    assert_eq!(started(&mut next, 30), expected);
}

/// Guards against an end that is acknowledged and forgotten: an update is written in several
/// transactions, and another owner loads the rows between two of them.
#[test]
fn an_update_that_is_written_in_part_takes_nothing_from_earlier_ones() {
    let job_spec = two_steps(2_000, 10);
    let (mut before, key) = owner_of(&job_spec, None, 1);
    started(&mut before, 0);
    end_tasks(
        &mut before,
        key,
        (1, 0),
        (0..2_000).step_by(2),
        RunEndKind::Done,
    );
    let mut rows = StoredRows::default();
    store_rows(&mut before, &mut rows);
    end_tasks(
        &mut before,
        key,
        (1_001, 0),
        (1..2_000).step_by(2),
        RunEndKind::Done,
    );
    let update = before.take_updates(10).remove(0);
    for written in 0..=update.rows.len() {
        let mut rows = rows.clone();
        let mut part = update.clone();
        part.split_off(written);
        rows.write(&part);
        let (mut next, _) = owner_of(&job_spec, Some(&rows.load()), 2);
        let again = started(&mut next, 30);
        let is_first_again = again
            .iter()
            .any(|(step, index)| *step == 0 && index % 2 == 0);
        assert!(
            !is_first_again,
            "a stored end was lost after {written} rows"
        );
    }
}

/// Guards against an acknowledgement before its end is stored.
#[test]
fn ends_are_acknowledged_once_the_last_row_of_their_update_is_stored() {
    let (mut scheduler, key) = owner_of(&two_steps(2_000, 10), None, 1);
    started(&mut scheduler, 0);
    end_tasks(
        &mut scheduler,
        key,
        (1, 0),
        (0..2_000).step_by(2),
        RunEndKind::Done,
    );
    let mut update = scheduler.take_updates(10).remove(0);
    assert_eq!(update.rows.len(), 5, "the head and four parts");
    let rest = update.split_off(3).expect("two more rows");
    scheduler.confirm_part(&update, rest, 1, at(30));
    assert!(scheduler.has_updates());
    assert_eq!(scheduler.advance_ack_cursors(), []);
    // Further ends don't delay those of the update that is being written.
    end_tasks(
        &mut scheduler,
        key,
        (1_001, 0),
        [1].into_iter(),
        RunEndKind::Done,
    );
    let updates = scheduler.take_updates(10);
    assert_eq!(updates.len(), 1);
    assert_eq!(updates[0].rows.len(), 2);
    scheduler.confirm_updates(&updates, 2, at(40));
    assert_eq!(scheduler.advance_ack_cursors(), [(key, 1_000)]);
    let mut rows = StoredRows::default();
    store_rows(&mut scheduler, &mut rows);
    assert_eq!(scheduler.advance_ack_cursors(), [(key, 1_001)]);
}

#[test]
fn only_changed_rows_are_written() {
    let (mut scheduler, key) = owner_of(&two_steps(5_000, 10), None, 1);
    started(&mut scheduler, 0);
    end_tasks(
        &mut scheduler,
        key,
        (1, 0),
        (0..5_000).step_by(2),
        RunEndKind::Done,
    );
    store_rows(&mut scheduler, &mut StoredRows::default());
    end_tasks(
        &mut scheduler,
        key,
        (3_000, 0),
        [4_001].into_iter(),
        RunEndKind::Done,
    );
    let update = scheduler.take_updates(10).remove(0);
    let rows: Vec<ProgressRow> = update.rows.iter().map(|change| change.row).collect();
    assert_eq!(rows, [ProgressRow::Part(4_001 / 512)]);
}

#[test]
fn the_part_rows_of_an_ended_job_are_removed() {
    let job_spec = two_steps(2_000, 10);
    let (mut scheduler, key) = owner_of(&job_spec, None, 1);
    started(&mut scheduler, 0);
    end_tasks(
        &mut scheduler,
        key,
        (1, 0),
        (0..2_000).step_by(2),
        RunEndKind::Done,
    );
    let mut rows = StoredRows::default();
    store_rows(&mut scheduler, &mut rows);
    assert_eq!(rows.0.len(), 5);
    scheduler.cancel(JobName(JOB), unix_ms(50));
    let mut update = scheduler.take_updates(10).remove(0);
    // This owner stores the end and is replaced.
    update.split_off(1);
    rows.write(&update);
    let (mut next, _) = owner_of(&job_spec, Some(&rows.load()), 2);
    assert_eq!(rows.load().progress.outcome(), JobOutcome::Cancelled);
    store_rows(&mut next, &mut rows);
    assert_eq!(rows.0.len(), 1, "the head row stays");
}

/// Fails or crashes the run of each task `times` times and returns the sizes of the rows after each.
fn rows_after_trouble(
    job_spec: &JobSpec,
    times: u64,
    apply: impl Fn(&mut JobScheduler, WorkerKey, &[StartOrder], u64),
) -> Vec<usize> {
    let (mut scheduler, key) = owner_of(job_spec, None, 1);
    let mut sizes = Vec::new();
    let mut rows = StoredRows::default();
    for round in 0..times {
        let orders = scheduler.place(at(round * 5_000));
        apply(&mut scheduler, key, &orders, round * 5_000 + 100);
        let updates = scheduler.take_updates(10);
        assert!(updates.iter().all(|update| update.oversized.is_none()));
        for update in &updates {
            rows.write(update);
        }
        scheduler.confirm_updates(&updates, 1, at(0));
        sizes.extend(rows.0.values().map(|value| value.len()));
    }
    assert!(
        scheduler
            .job(JobName(JOB))
            .is_some_and(|job| !job.is_over())
    );
    sizes
}

/// Guards against a job that stops all others: a crash of a rack's workers under some 2,000 tasks
/// made its progress larger than the store takes, and no end was acknowledged any more.
#[test]
fn rows_stay_within_the_limit_however_many_tasks_a_crash_ends() {
    let crash = |scheduler: &mut JobScheduler, _: WorkerKey, orders: &[StartOrder], now| {
        let runs: Vec<LostRun> = orders
            .iter()
            .map(|order| LostRun {
                run_id: order.run_id,
                min_run_time: Some(std::time::Duration::from_millis(2_000)),
            })
            .collect();
        let name = "side-with-a-rather-long-name-of-its-machine-1";
        scheduler.record_crash(name, &runs, at(now), unix_ms(now));
    };
    let sizes = rows_after_trouble(&spec(vec![small_step(6_000)]), 1, crash);
    assert!(sizes.iter().all(|size| *size <= MAX_ROW_BYTES));
    assert!(sizes.iter().sum::<usize>() > 5 * MAX_ROW_BYTES);
}

#[test]
fn rows_stay_within_the_limit_when_every_task_fails() {
    let fail = |scheduler: &mut JobScheduler, key, orders: &[StartOrder], now| {
        for (number, order) in (now..).zip(orders) {
            let failed = end(number, order.run_id, RunEndKind::Failed);
            scheduler.record_end(key, &failed, at(now), unix_ms(now));
        }
    };
    let sizes = rows_after_trouble(&spec(vec![small_step(6_000)]), 1, fail);
    assert!(sizes.len() > 10);
    assert!(sizes.iter().all(|size| *size <= MAX_ROW_BYTES));
}

/// Crashed runs only show which task crashes its workers. Without room for them they are left out
/// of the row, rather than that the job fails.
#[test]
fn crashes_without_room_in_a_row_are_omitted() {
    let (mut scheduler, key) = owner_of(&spec(vec![small_step(500)]), None, 1);
    let runs: Vec<LostRun> = scheduler
        .place(at(0))
        .iter()
        .filter(|order| order.run_id.task.index != 3)
        .map(|order| LostRun {
            run_id: order.run_id,
            min_run_time: Some(std::time::Duration::from_millis(2_000)),
        })
        .collect();
    end_tasks(
        &mut scheduler,
        key,
        (1, 0),
        [3].into_iter(),
        RunEndKind::Done,
    );
    scheduler.record_crash(&"v".repeat(200), &runs, at(100), unix_ms(100));
    let update = scheduler.take_updates(10).remove(0);
    assert_eq!((update.omitted_crashes, update.oversized), (499, None));
    let mut rows = StoredRows::default();
    rows.write(&update);
    assert!(rows.0.values().all(|value| value.len() <= MAX_ROW_BYTES));
    let (mut next, _) = owner_of(&spec(vec![small_step(500)]), Some(&rows.load()), 2);
    assert_eq!(
        started(&mut next, 200).len(),
        499,
        "the end of one task is kept"
    );
}

/// A job that cannot be stored fails, so that the ends of its runs are acknowledged and those of
/// other jobs behind them.
#[test]
fn the_ends_of_a_job_that_cannot_be_stored_are_acknowledged_once_its_failure_is_stored() {
    let (mut scheduler, key) = owner_of(&spec(vec![small_step(3)]), None, 1);
    started(&mut scheduler, 0);
    end_tasks(
        &mut scheduler,
        key,
        (1, 0),
        [0].into_iter(),
        RunEndKind::Done,
    );
    let refused = scheduler.take_updates(10);
    assert!(scheduler.fail_unstorable(refused[0].job, "too large", unix_ms(30)));
    assert_eq!(scheduler.advance_ack_cursors(), []);
    let mut rows = StoredRows::default();
    store_rows(&mut scheduler, &mut rows);
    assert_eq!(rows.load().progress.outcome(), JobOutcome::Failed);
    assert_eq!(scheduler.advance_ack_cursors(), [(key, 1)]);
    assert!(!scheduler.fail_unstorable(refused[0].job, "too large", unix_ms(40)));
}

/// A repeated job whose occurrences share rows.
#[test]
fn a_later_owner_restores_the_occurrences_of_a_repeated_job() {
    let repeat = RepeatPlan {
        count: 60,
        first_ms: unix_ms(0),
        interval_ms: 1,
    };
    let job_spec = JobSpec {
        repeat: Some(repeat),
        ..spec(vec![small_step(20)])
    };
    let (mut before, key) = owner_of(&job_spec, None, 1);
    before.start_due_occurrences(at(100), unix_ms(100));
    let orders = before.place(at(100));
    assert_eq!(orders.len(), 1_200);
    let is_open = |order: &&StartOrder| {
        let task = order.run_id.task;
        task.occurrence.is_multiple_of(7) && task.index.is_multiple_of(3)
    };
    let ended = orders.iter().filter(|order| !is_open(order));
    for (number, order) in (1..).zip(ended) {
        let done = end(number, order.run_id, RunEndKind::Done);
        before.record_end(key, &done, at(200), unix_ms(200));
    }
    let mut rows = StoredRows::default();
    store_rows(&mut before, &mut rows);
    let (mut next, _) = owner_of(&job_spec, Some(&rows.load()), 2);
    next.start_due_occurrences(at(300), unix_ms(300));
    let mut again: Vec<(u32, u32)> = next
        .place(at(300))
        .iter()
        .map(|order| (order.run_id.task.occurrence, order.run_id.task.index))
        .collect();
    again.sort_unstable();
    let mut expected: Vec<(u32, u32)> = orders
        .iter()
        .filter(is_open)
        .map(|order| (order.run_id.task.occurrence, order.run_id.task.index))
        .collect();
    expected.sort_unstable();
    assert_eq!(again, expected);
}

/// Progress with numbers that no owner writes. The rest of the job's progress counts, and other jobs run.
fn start_beside(progress: JobProgress) -> Vec<(u16, u32)> {
    let stored = StoredProgress {
        progress,
        version: 1,
        ..Default::default()
    };
    let (mut scheduler, _) = owner_of(&two_steps(3, 1), Some(&stored), 2);
    started(&mut scheduler, 10)
}

macro_rules! odd_progress {
    ($($name:ident: $number:expr, $failures:expr => $started:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let step = StepProgress { done: vec![1], failures: $failures, ..Default::default() };
                let first = OccurrenceProgress { number: 0, steps: vec![step] };
                let odd = OccurrenceProgress { number: $number, steps: Vec::new() };
                let progress = JobProgress { occurrences: vec![first, odd], ..Default::default() };
                assert_eq!(start_beside(progress), $started);
            }
        )*
    };
}

fn failed_run(index: u32, run: u64) -> TaskFailures {
    TaskFailures {
        index,
        runs: vec![run],
        crashes: Vec::new(),
    }
}

odd_progress! {
    an_occurrence_that_the_job_does_not_have_is_skipped: u32::MAX, Vec::new() => [(0, 1), (0, 2)];
    an_occurrence_after_the_last_one_is_skipped: 1, Vec::new() => [(0, 1), (0, 2)];
    a_failure_of_a_task_that_the_step_does_not_have_is_skipped: 1, vec![failed_run(u32::MAX, 1)] => [(0, 1), (0, 2)];
    a_failed_run_with_the_highest_number_is_restored: 1, vec![failed_run(1, u64::MAX)] => [(0, 1), (0, 2)];
}
