//! In which order waiting steps are served.

use crate::queue::QueueRules;
use crate::records::{JobRecord, OccurrenceRecord};
use crate::scheduler::JobScheduler;
use crate::spec::JobSpec;
use std::time::Duration;
use wax_policy::ExpectedFinish;
use wax_types::TimePoint;

/// Longest chain of estimated work from each step to the end, milliseconds, that step included.
pub fn critical_path_ms(spec: &JobSpec) -> Vec<u64> {
    let mut chain: Vec<u64> = spec
        .steps
        .iter()
        .map(|step| step.estimate_ms.into())
        .collect();
    for number in (0..spec.steps.len()).rev() {
        for earlier in &spec.steps[number].after {
            let earlier = usize::from(*earlier);
            let through = u64::from(spec.steps[earlier].estimate_ms) + chain[number];
            chain[earlier] = chain[earlier].max(through);
        }
    }
    chain
}

/// An objective counts as late, but still for something, up to this many times its length.
const LATE_FACTOR: f64 = 3.0;

/// How urgent a waiting step is; the least goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobRank {
    /// When its job is expected to finish.
    pub finish: ExpectedFinish,
    /// The queue's priority.
    pub priority: u32,
    /// What is left of the job, core milliseconds: the least goes first, since under overload it
    /// earns most for its work, and what is nearly done is not kept from its end.
    pub remaining_work_ms: u64,
    /// The latest start that still makes it.
    pub latest_start: TimePoint,
}

/// The work that is left of an occurrence, in core milliseconds by the caller's guess.
fn remaining_work_ms(job: &JobRecord, occurrence: Option<&OccurrenceRecord>) -> u64 {
    let steps = job.spec.steps.iter().enumerate();
    let work = steps.map(|(number, step)| {
        let done = occurrence.map_or(0, |record| record.steps[number].done);
        u64::from(step.count.saturating_sub(done)) * step.task_work_ms()
    });
    work.sum()
}

/// The latest start of a step that keeps `stretch` times the job's chain and the target latency.
///
/// Milliseconds after the job's (or occurrence's) beginning; negative values become 0.
pub fn latest_start_ms(job: &JobRecord, step: u16, factor: f64) -> u64 {
    let chain = critical_path_ms(&job.spec);
    let objective = objective_of(&chain, &job.queue);
    let remaining_chain = chain.get(usize::from(step)).copied().unwrap_or(0) as f64;
    (objective * factor - remaining_chain).max(0.0) as u64
}

/// Fewer open jobs say nothing of how such jobs fare.
const MIN_OPEN_JOBS: usize = 4;

impl JobScheduler {
    /// The share of the open jobs that fill whose objective has passed, 0 to 1.
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
    /// Whether the objective of an occurrence under way has passed.
    fn is_late(&self, now: TimePoint) -> bool {
        let objective = Duration::from_millis(objective_ms(&self.spec, &self.queue));
        let mut occurrences = self.occurrences.values();
        occurrences.any(|occurrence| now > occurrence.due + objective)
    }
}

/// The time within which a job should end, milliseconds: `stretch` times its longest chain of
/// estimated work, and the queue's target latency.
pub fn objective_ms(spec: &JobSpec, queue: &QueueRules) -> u64 {
    objective_of(&critical_path_ms(spec), queue) as u64
}

fn objective_of(chain: &[u64], queue: &QueueRules) -> f64 {
    let whole = chain.iter().copied().max().unwrap_or(0) as f64;
    queue.stretch * whole + f64::from(queue.target_latency_ms)
}

impl JobRank {
    /// Ranks a step of an occurrence.
    pub fn new(job: &JobRecord, number: u32, step: u16, now: TimePoint) -> Self {
        let occurrence = job.occurrences.get(&number);
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
            priority: job.queue.priority,
            remaining_work_ms: remaining_work_ms(job, occurrence),
            latest_start,
        }
    }
}
