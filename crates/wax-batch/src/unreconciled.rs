//! What workers that were not heard in this term may still run of earlier terms.
//!
//! Where a task runs is written nowhere: a new owner learns it from the workers. Until all were heard
//! a task of an earlier term may run on one that was not. This says which tasks cannot.

use crate::names::JobName;
use crate::records::{StepRecord, TaskRecord};
use crate::scheduler::{JobScheduler, StepRef, TaskRef};
use std::collections::{BTreeSet, HashSet};

/// Jobs of earlier terms that workers may run that were not heard in this term.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UnreconciledRuns {
    /// Any of them.
    Any,
    /// Only these.
    Only(HashSet<JobName>),
}

impl UnreconciledRuns {
    /// Every worker was heard, or nothing runs there any more.
    pub fn none() -> Self {
        Self::Only(HashSet::new())
    }

    /// Whether every worker was heard, or nothing runs there any more.
    pub fn is_none(&self) -> bool {
        matches!(self, Self::Only(jobs) if jobs.is_empty())
    }

    fn may_hold(&self, job: JobName) -> bool {
        match self {
            Self::Any => true,
            Self::Only(jobs) => jobs.contains(&job),
        }
    }
}

/// Which tasks of a step cannot be on a worker that was not heard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StepEligibility {
    /// All.
    All,
    /// Those of which a run was listed in this term: it was their only one.
    Located,
}

impl StepEligibility {
    pub(crate) fn covers(self, task: &TaskRecord) -> bool {
        match self {
            Self::All => true,
            Self::Located => task.located_in_term,
        }
    }
}

impl JobScheduler {
    /// Notes what workers that were not heard may still run.
    pub fn set_unreconciled(&mut self, unreconciled: UnreconciledRuns) {
        self.unreconciled = unreconciled;
    }

    /// What workers that were not heard may still run.
    pub fn unreconciled(&self) -> &UnreconciledRuns {
        &self.unreconciled
    }

    /// All who may run tasks of earlier terms were heard or have lapsed.
    pub fn mark_all_reconciled(&mut self) {
        self.unreconciled = UnreconciledRuns::none();
    }

    /// Whether tasks of earlier terms may be started wherever they ran.
    pub fn is_reconciled(&self) -> bool {
        self.unreconciled.is_none()
    }

    /// Jobs of which a run is booked on a worker.
    pub fn jobs_on(&self, worker: crate::WorkerKey) -> BTreeSet<JobName> {
        let record = self.workers.get(worker);
        let runs = record.into_iter().flat_map(|record| record.runs.keys());
        runs.map(|run_id| run_id.task.job).collect()
    }

    /// Waiting tasks of earlier terms that are held back until more workers were heard.
    pub fn held_back_task_count(&self) -> usize {
        let held = self
            .ready_steps
            .iter()
            .map(|step_ref| self.held_back_tasks_in(*step_ref));
        held.sum()
    }

    fn held_back_tasks_in(&self, step_ref: StepRef) -> usize {
        let Some(step) = self.step_record(step_ref) else {
            return 0;
        };
        let eligibility = self.eligibility(step_ref, step);
        let held = step
            .tasks
            .iter()
            .filter(|task| task.is_waiting() && !eligibility.covers(task));
        held.count()
    }

    pub(crate) fn step_record(&self, step_ref: StepRef) -> Option<&StepRecord> {
        let occurrence = self
            .jobs
            .get(step_ref.job)?
            .occurrences
            .get(&step_ref.occurrence)?;
        occurrence.steps.get(usize::from(step_ref.step))
    }

    pub(crate) fn eligibility(&self, step_ref: StepRef, step: &StepRecord) -> StepEligibility {
        let job = &self.jobs[step_ref.job];
        let is_bound = job.epoch < self.epoch && self.unreconciled.may_hold(job.name);
        if is_bound && !step.is_new_in_term {
            StepEligibility::Located
        } else {
            StepEligibility::All
        }
    }

    /// A worker itself lists a run of the task: there is no other, as an owner starts a task anew
    /// only once its last run has surely ended.
    pub(crate) fn mark_located(&mut self, task_ref: TaskRef) {
        if let Some(task) = self.task_mut(task_ref) {
            task.located_in_term = true;
        }
        let job = self.jobs.get_mut(task_ref.step.job);
        let occurrence = job.and_then(|job| job.occurrences.get_mut(&task_ref.step.occurrence));
        if let Some(occurrence) = occurrence {
            occurrence.steps[usize::from(task_ref.step.step)].confirmed_in_term = true;
        }
    }
}
