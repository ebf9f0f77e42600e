//! Decides which waiting tasks of a step may start, by what the owner knows of their earlier runs.

use crate::job_rules::AttemptLimit;
use crate::records::{StepRecord, TaskRecord};
use crate::scheduler::{JobScheduler, StepRef};
use crate::unreconciled::StepEligibility;

/// Rule by which the waiting tasks of a step may start.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StartRule<'a> {
    /// Which tasks cannot have another run.
    pub(crate) eligibility: StepEligibility,
    attempts: AttemptLimit,
    /// Failed runs of a gang; `None` for a step whose tasks fail one by one.
    gang_failures: Option<&'a [u64]>,
    /// Highest possible number of a run of an earlier term.
    last_earlier_run: u64,
}

impl StartRule<'_> {
    /// Returns whether a task of the step may start now.
    pub(crate) fn allows(&self, task: &TaskRecord) -> bool {
        if !task.is_waiting() || !self.eligibility.includes(task) {
            return false;
        }
        let known = self.gang_failures.unwrap_or(&task.failed_runs);
        // In all other cases each earlier run is of this term, or its worker is reconciled.
        let unknown = match self.eligibility {
            StepEligibility::Located => task.max_unknown_failures(known, self.last_earlier_run),
            _ => 0,
        };
        let max_failures = unknown.saturating_add(known.len() as u64);
        self.attempts.allows_start(max_failures)
    }

    /// Returns whether all waiting tasks of the step may start. A task that has used up a known limit
    /// has ended its job.
    fn allows_all(&self) -> bool {
        self.eligibility != StepEligibility::Located && self.attempts != AttemptLimit::Unknown
    }
}

impl JobScheduler {
    pub(crate) fn start_rule<'a>(&self, step_ref: StepRef, step: &'a StepRecord) -> StartRule<'a> {
        let job = &self.jobs[step_ref.job];
        let spec = &job.spec.steps[usize::from(step_ref.step)];
        // The first member keeps the count of a gang.
        let first = step.tasks.first().filter(|_| spec.gang);
        StartRule {
            eligibility: self.eligibility(step_ref, step),
            attempts: match spec.long_running {
                true => AttemptLimit::Unlimited,
                false => job.rules.attempt_limit(),
            },
            gang_failures: first.map(|first| &*first.failed_runs),
            last_earlier_run: self.last_earlier_run(job),
        }
    }

    /// Returns whether a waiting task of the step may start, whether or not the step is due for a
    /// check.
    pub(crate) fn has_startable_task(&self, step_ref: StepRef, step: &StepRecord) -> bool {
        let rule = self.start_rule(step_ref, step);
        rule.allows_all() || step.tasks.iter().any(|task| rule.allows(task))
    }
}
