//! Order in which waiting steps are placed, and the objectives of jobs that it depends on.

use crate::queue::QueueRules;
use crate::records::{JobRecord, OccurrenceRecord};
use crate::scheduler::JobScheduler;
use crate::spec::JobSpec;
use std::time::Duration;
use wax_policy::ExpectedFinish;
use wax_types::TimePoint;

/// Returns the critical path from each step to the end of the job, in milliseconds: the longest
/// chain of estimated run times, including the step itself.
pub fn critical_path_ms(spec: &JobSpec) -> Vec<u64> {
    let mut path_ms: Vec<u64> = spec
        .steps
        .iter()
        .map(|step| step.estimate_ms.into())
        .collect();
    for number in (0..spec.steps.len()).rev() {
        for earlier in &spec.steps[number].after {
            let earlier = usize::from(*earlier);
            let length = u64::from(spec.steps[earlier].estimate_ms) + path_ms[number];
            path_ms[earlier] = path_ms[earlier].max(length);
        }
    }
    path_ms
}

/// A job that misses its objective still counts as late, rather than too late, up to this multiple
/// of the objective.
const LATE_FACTOR: f64 = 3.0;

/// Urgency of a waiting step. Steps with lower ranks are placed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobRank {
    /// Whether the job is expected to finish in time, late or too late.
    pub finish: ExpectedFinish,
    /// Priority of the queue; 0 is the highest.
    pub priority: u32,
    /// Whether the step belongs to a best-effort job that has not begun; always false unless the
    /// rules of sharing are in force.
    pub unbegun: bool,
    /// Remaining work of the occurrence, core milliseconds. The least remaining work goes first:
    /// under overload it yields the most value for its cost, and nearly finished jobs are not
    /// delayed.
    pub remaining_work_ms: u64,
    /// Latest start with which the expected finish can still be reached.
    pub latest_start: TimePoint,
}

/// Returns the remaining work of an occurrence, core milliseconds by the caller's estimates.
fn remaining_work_ms(job: &JobRecord, occurrence: Option<&OccurrenceRecord>) -> u64 {
    let steps = job.spec.steps.iter().enumerate();
    let work = steps.map(|(number, step)| {
        let done = occurrence.map_or(0, |record| record.steps[number].done);
        u64::from(step.count.saturating_sub(done)) * step.task_work_ms()
    });
    work.sum()
}

/// Returns the latest start of a step that still meets `factor` times the job's objective.
///
/// In milliseconds after the occurrence was due; 0 if even an immediate start would be too late.
pub fn latest_start_ms(job: &JobRecord, step: u16, factor: f64) -> u64 {
    let path_ms = critical_path_ms(&job.spec);
    let objective = job.rules.objective_ms(longest_path_ms(&path_ms));
    let remaining_path = path_ms.get(usize::from(step)).copied().unwrap_or(0) as f64;
    (objective * factor - remaining_path).max(0.0) as u64
}

/// Minimum number of open best-effort jobs for the share of late jobs to be meaningful.
const MIN_OPEN_JOBS: usize = 4;

impl JobScheduler {
    /// Returns the share of open best-effort jobs that have missed their objective, 0 to 1; 0 if
    /// fewer than `MIN_OPEN_JOBS` are open.
    pub fn overload(&self, now: TimePoint) -> f64 {
        let best_effort = |job: &&JobRecord| job.spec.steps.iter().any(|step| step.best_effort);
        let open: Vec<&JobRecord> = self.jobs.values().filter(|job| !job.is_over()).collect();
        let open: Vec<&JobRecord> = open.into_iter().filter(best_effort).collect();
        if open.len() < MIN_OPEN_JOBS {
            return 0.0;
        }
        let late = open.iter().filter(|job| job.is_late(now)).count();
        late as f64 / open.len() as f64
    }
}

impl JobRecord {
    /// Returns whether an occurrence in progress has missed its objective.
    fn is_late(&self, now: TimePoint) -> bool {
        let path_ms = longest_path_ms(&critical_path_ms(&self.spec));
        let objective = Duration::from_millis(self.rules.objective_ms(path_ms) as u64);
        let mut occurrences = self.occurrences.values();
        occurrences.any(|occurrence| now > occurrence.due + objective)
    }
}

/// Returns the time within which a job should end, milliseconds: `stretch` times its critical path,
/// plus the queue's target latency.
pub fn objective_ms(spec: &JobSpec, queue: &QueueRules) -> u64 {
    queue.objective_ms(longest_path_ms(&critical_path_ms(spec))) as u64
}

fn longest_path_ms(path_ms: &[u64]) -> f64 {
    path_ms.iter().copied().max().unwrap_or(0) as f64
}

impl JobRank {
    /// Returns the rank of a step of one occurrence of a job.
    pub fn new(job: &JobRecord, occurrence_number: u32, step: u16, now: TimePoint) -> Self {
        let occurrence = job.occurrences.get(&occurrence_number);
        let due = occurrence.map_or(job.accepted, |record| record.due);
        let start = |factor| due + Duration::from_millis(latest_start_ms(job, step, factor));
        let (finish, latest_start) = if now <= start(1.0) {
            (ExpectedFinish::InTime, start(1.0))
        } else if now <= start(LATE_FACTOR) {
            (ExpectedFinish::Late, start(LATE_FACTOR))
        } else {
            (ExpectedFinish::TooLate, start(LATE_FACTOR))
        };
        let long_running = job
            .spec
            .steps
            .get(usize::from(step))
            .is_some_and(|step| step.long_running);
        Self {
            finish: if long_running {
                ExpectedFinish::InTime
            } else {
                finish
            },
            priority: job.rules.priority(),
            unbegun: false,
            remaining_work_ms: remaining_work_ms(job, occurrence),
            latest_start,
        }
    }
}
