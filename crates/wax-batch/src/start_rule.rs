//! Decides which waiting tasks of a step may start, by what the owner knows of their earlier runs.

use crate::job_rules::AttemptLimit;
use crate::records::{StepRecord, TaskRecord};
use crate::scheduler::{JobScheduler, StepRef};
use crate::unreconciled::StepEligibility;

/// Rule by which the waiting tasks of a step may start.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StartRule {
    /// Which tasks cannot have another run.
    pub(crate) eligibility: StepEligibility,
    attempts: AttemptLimit,
    /// Number of failed runs of a gang; `None` for a step whose tasks fail one by one.
    gang_failures: Option<usize>,
}

impl StartRule {
    /// Returns whether a task of the step may start now.
    pub(crate) fn allows(&self, task: &TaskRecord) -> bool {
        let failures = self.gang_failures.unwrap_or(task.failed_runs.len());
        task.is_waiting() && self.eligibility.includes(task) && self.attempts.allows_start(failures)
    }

    /// Returns whether all waiting tasks of the step may start. A task that has used up a known limit
    /// has ended its job.
    fn allows_all(&self) -> bool {
        self.eligibility != StepEligibility::Located
            && matches!(self.attempts, AttemptLimit::Known(_))
    }
}

impl JobScheduler {
    pub(crate) fn start_rule(&self, step_ref: StepRef, step: &StepRecord) -> StartRule {
        let job = &self.jobs[step_ref.job];
        let is_gang = job.spec.steps[usize::from(step_ref.step)].gang;
        // The first member keeps the count of a gang.
        let first = step.tasks.first().filter(|_| is_gang);
        StartRule {
            eligibility: self.eligibility(step_ref, step),
            attempts: job.rules.attempt_limit(),
            gang_failures: first.map(|first| first.failed_runs.len()),
        }
    }

    /// Returns whether a waiting task of the step may start, whether or not the step is due for a
    /// check.
    pub(crate) fn has_startable_task(&self, step_ref: StepRef, step: &StepRecord) -> bool {
        let rule = self.start_rule(step_ref, step);
        rule.allows_all() || step.tasks.iter().any(|task| rule.allows(task))
    }
}
