//! Divides the progress of a job into rows of limited size.
//!
//! The head row holds the outcome and which steps and occurrences are done; for a small job also the
//! progress of its tasks. The tasks of a larger job are numbered by occurrence, step and index, and
//! each part row holds the progress of [`TASKS_PER_ROW`] consecutive ones. As a task never moves to
//! another row, rows of different age contradict each other in nothing, and a large job may be
//! written in several transactions, the head first.

use crate::progress::{
    JobProgress, OccurrenceProgress, PartProgress, StepProgress, StoredProgress, TaskFailures,
};
use crate::records::{JobRecord, OccurrenceRecord, StepRecord, TaskState};
use crate::spec::{JobSpec, StepSpec};
use prost::Message;
use std::collections::BTreeMap;
use std::ops::Range;

/// Number of tasks whose progress shares one row. With three failed runs each they take some 8 KiB.
const TASKS_PER_ROW: u64 = 512;
/// Largest encoded row: in Base64 it has the 64 KiB that the store allows.
pub const MAX_ROW_BYTES: usize = 48 * 1024;

/// One of the rows with the progress of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProgressRow {
    /// The row that each job with progress has.
    Head,
    /// The row of the tasks from this multiple of [`TASKS_PER_ROW`] on.
    Part(u64),
}

/// Change of one row with the progress of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowChange {
    /// The row.
    pub row: ProgressRow,
    /// New content of the row; `None` to remove it.
    pub value: Option<Box<[u8]>>,
}

/// Progress of a job in the form of its rows.
#[derive(Debug, Default)]
pub(crate) struct EncodedProgress {
    pub(crate) head: JobProgress,
    rows: BTreeMap<ProgressRow, Box<[u8]>>,
    /// Number of crashed runs that have no room in their row.
    pub(crate) omitted_crashes: usize,
    /// Size of the largest row that is too large for the store; `None` if all have room.
    pub(crate) oversized: Option<usize>,
}

impl EncodedProgress {
    /// Returns how the stored rows have to change, the head first.
    pub(crate) fn changes_from(&self, stored: &BTreeMap<ProgressRow, Box<[u8]>>) -> Vec<RowChange> {
        let written = self
            .rows
            .iter()
            .filter(|(row, value)| stored.get(*row) != Some(*value));
        let written = written.map(|(row, value)| RowChange {
            row: *row,
            value: Some(value.clone()),
        });
        let removed = stored.keys().filter(|row| !self.rows.contains_key(row));
        let removed = removed.map(|row| RowChange {
            row: *row,
            value: None,
        });
        written.chain(removed).collect()
    }

    fn add_row(&mut self, row: ProgressRow, value: &impl Message) {
        let length = value.encoded_len();
        if length > MAX_ROW_BYTES {
            self.oversized = self.oversized.max(Some(length));
        }
        self.rows.insert(row, value.encode_to_vec().into());
    }
}

/// Tasks of one step that share a row.
struct Segment {
    row: u64,
    tasks: Range<u32>,
}

/// Returns the number of the first task of a step among all tasks of the job.
fn first_task(spec: &JobSpec, occurrence: u32, step: usize) -> u64 {
    let before = spec
        .steps
        .iter()
        .take(step)
        .map(|step| u64::from(step.count));
    u64::from(occurrence) * u64::from(spec.task_count()) + before.sum::<u64>()
}

fn segments(first_task: u64, count: u32) -> impl Iterator<Item = Segment> {
    let end = first_task + u64::from(count);
    let rows = first_task / TASKS_PER_ROW..end.div_ceil(TASKS_PER_ROW);
    rows.map(move |row| {
        let from = (row * TASKS_PER_ROW).max(first_task) - first_task;
        let to = ((row + 1) * TASKS_PER_ROW).min(end) - first_task;
        Segment {
            row,
            tasks: from as u32..to as u32,
        }
    })
}

/// Returns whether all tasks of the job have room in the head row.
fn is_small(spec: &JobSpec) -> bool {
    u64::from(spec.occurrence_count()) * u64::from(spec.task_count()) <= TASKS_PER_ROW
}

/// Removes crashed runs if the value does not fit into a row without. They only show which task
/// crashes its workers, so that a later owner learns it again. Returns how many were removed.
fn omit_crashes<'a>(
    length: usize,
    failures: impl Iterator<Item = &'a mut Vec<TaskFailures>>,
) -> usize {
    if length <= MAX_ROW_BYTES {
        return 0;
    }
    let mut omitted = 0;
    for failures in failures {
        for failure in failures.iter_mut() {
            omitted += std::mem::take(&mut failure.crashes).len();
        }
        failures.retain(|failure| !failure.runs.is_empty());
    }
    omitted
}

impl StepRecord {
    /// Returns the progress of some tasks; their numbers count from the first one.
    fn progress_of(&self, spec: &StepSpec, tasks: Range<u32>) -> StepProgress {
        let mut progress = StepProgress::default();
        let records = self.tasks.iter().skip(tasks.start as usize);
        for (index, task) in (0..tasks.end - tasks.start).zip(records) {
            if matches!(task.state, TaskState::Done) {
                progress.mark_done(index);
            }
            let counts_failures = !task.failed_runs.is_empty() && !spec.long_running;
            if counts_failures || !task.crash_history.is_empty() {
                progress.failures.push(TaskFailures {
                    index,
                    runs: task.failed_runs.clone(),
                    crashes: task.crash_history.runs.iter().map(Into::into).collect(),
                });
            }
        }
        progress
    }
}

impl OccurrenceRecord {
    fn head(&self, number: u32, spec: &JobSpec, with_tasks: bool) -> OccurrenceProgress {
        let steps = self.steps.iter().zip(spec.steps.iter());
        let steps = steps.map(|(step, spec)| match step.is_done(spec) {
            true => StepProgress {
                all_done: true,
                ..Default::default()
            },
            false if with_tasks => step.progress_of(spec, 0..spec.count),
            false => StepProgress::default(),
        });
        let mut steps: Vec<StepProgress> = steps.collect();
        let last = steps
            .iter()
            .rposition(|step| *step != StepProgress::default());
        steps.truncate(last.map_or(0, |last| last + 1));
        OccurrenceProgress { number, steps }
    }
}

impl JobRecord {
    /// Returns the progress to be stored.
    pub(crate) fn encode_progress(&self) -> EncodedProgress {
        let mut head = JobProgress {
            outcome: self.outcome.into(),
            ended_ms: self.ended_ms,
            ..Default::default()
        };
        let mut encoded = EncodedProgress::default();
        if !self.is_over() {
            let first = self.occurrences.keys().next().copied();
            head.done_before = first.unwrap_or(self.next_occurrence);
            if self.spec.repeat.is_some() {
                head.next_occurrence = self.next_occurrence;
            }
            let with_tasks = is_small(&self.spec);
            let occurrences = self.occurrences.iter();
            head.occurrences = occurrences
                .map(|(number, occurrence)| occurrence.head(*number, &self.spec, with_tasks))
                .collect();
            if !with_tasks {
                self.encode_parts(&mut encoded);
            }
        }
        let length = head.encoded_len();
        let steps = head
            .occurrences
            .iter_mut()
            .flat_map(|occurrence| &mut occurrence.steps);
        encoded.omitted_crashes += omit_crashes(length, steps.map(|step| &mut step.failures));
        encoded.add_row(ProgressRow::Head, &head);
        encoded.head = head;
        encoded
    }

    fn encode_parts(&self, encoded: &mut EncodedProgress) {
        let mut parts: BTreeMap<u64, PartProgress> = BTreeMap::new();
        for (number, occurrence) in &self.occurrences {
            for (step, spec) in self.spec.steps.iter().enumerate() {
                let record = &occurrence.steps[step];
                if record.tasks.is_empty() || record.is_done(spec) {
                    continue;
                }
                for segment in segments(first_task(&self.spec, *number, step), spec.count) {
                    let progress = record.progress_of(spec, segment.tasks);
                    if progress != StepProgress::default() {
                        let part = parts.entry(segment.row).or_default();
                        part.add(*number, step as u32, progress);
                    }
                }
            }
        }
        for (row, mut part) in parts {
            let length = part.encoded_len();
            encoded.omitted_crashes += omit_crashes(length, part.failures_mut());
            encoded.add_row(ProgressRow::Part(row), &part);
        }
    }

    /// Restores the stored progress.
    pub(crate) fn restore(&mut self, stored: &StoredProgress) {
        let progress = &stored.progress;
        self.outcome = progress.outcome();
        self.stored_outcome = self.outcome;
        self.end_version = self.is_over().then_some(stored.version);
        self.ended_ms = progress.ended_ms;
        self.next_occurrence = progress.done_before.max(progress.next_occurrence);
        let all = self.spec.occurrence_count();
        for stored in progress.occurrences.iter().filter(|row| row.number < all) {
            let mut occurrence = OccurrenceRecord::new(&self.spec, self.accepted);
            for (number, step) in stored.steps.iter().enumerate() {
                if let Some(spec) = self.spec.steps.get(number) {
                    occurrence.steps[number].restore(spec, 0..spec.count, step);
                }
            }
            self.started = true;
            self.occurrences.insert(stored.number, occurrence);
            self.next_occurrence = self.next_occurrence.max(stored.number + 1);
        }
        for (row, part) in &stored.parts {
            self.restore_part(*row, part);
        }
        self.stored_rows = stored.rows();
    }

    fn restore_part(&mut self, row: u64, part: &PartProgress) {
        for (occurrence_number, step_number, progress) in part.steps() {
            let spec = self.spec.steps.get(step_number);
            let occurrence = self.occurrences.get_mut(&occurrence_number);
            // The tasks of a done step or occurrence may have a part row until it is removed.
            let Some((spec, occurrence)) = spec.zip(occurrence) else {
                continue;
            };
            let first = first_task(&self.spec, occurrence_number, step_number);
            let mut segments = segments(first, spec.count);
            if let Some(segment) = segments.find(|segment| segment.row == row) {
                occurrence.steps[step_number].restore(spec, segment.tasks, progress);
            }
        }
    }
}
