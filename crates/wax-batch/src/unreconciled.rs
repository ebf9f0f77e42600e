//! Runs of earlier terms on workers that have not been reconciled with the owner in this term.
//!
//! The store does not record where a task runs. A new owner learns it from the workers. Until all
//! workers are reconciled, a task of an earlier term may be running on one that is not. This module
//! determines which tasks cannot be running on such a worker, and so may be started.

use crate::names::JobName;
use crate::records::{StepRecord, TaskRecord};
use crate::scheduler::{JobScheduler, StepRef, TaskRef};
use crate::worker::WorkerKey;
use std::collections::{BTreeSet, HashSet};

/// Jobs of earlier terms that may have runs on unreconciled workers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UnreconciledRuns {
    /// Any job of an earlier term.
    Any,
    /// Only these jobs.
    Only(HashSet<JobName>),
}

impl UnreconciledRuns {
    /// Returns the state in which every worker is reconciled or known to run nothing of earlier
    /// terms.
    pub fn none() -> Self {
        Self::Only(HashSet::new())
    }

    /// Returns whether every worker is reconciled or known to run nothing of earlier terms.
    pub fn is_none(&self) -> bool {
        matches!(self, Self::Only(jobs) if jobs.is_empty())
    }

    fn may_run(&self, job: JobName) -> bool {
        match self {
            Self::Any => true,
            Self::Only(jobs) => jobs.contains(&job),
        }
    }
}

/// Tasks of a step that cannot be running on an unreconciled worker, and why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepEligibility {
    /// All tasks, because the job was accepted in this term.
    NewJob,
    /// All tasks, because every worker that may have a run of the job is reconciled.
    Reconciled,
    /// All tasks, because no owner of an earlier term can have opened the step.
    NewStep,
    /// Tasks of which a worker listed a run in this term. A task has no second run, but another
    /// worker may have the end of an earlier one; see
    /// [`TaskRecord::max_unknown_failures`].
    Located,
}

impl StepEligibility {
    pub(crate) fn includes(self, task: &TaskRecord) -> bool {
        match self {
            Self::NewJob | Self::Reconciled | Self::NewStep => true,
            Self::Located => task.located_run.is_some(),
        }
    }
}

impl JobScheduler {
    /// Sets which jobs may have runs on unreconciled workers.
    pub fn set_unreconciled(&mut self, unreconciled: UnreconciledRuns) {
        self.unreconciled = unreconciled;
    }

    /// Returns which jobs may have runs on unreconciled workers.
    pub fn unreconciled(&self) -> &UnreconciledRuns {
        &self.unreconciled
    }

    /// Records that every worker that may run tasks of earlier terms is reconciled, or that its
    /// leases have expired.
    pub fn mark_all_reconciled(&mut self) {
        self.unreconciled = UnreconciledRuns::none();
    }

    /// Returns whether all tasks of earlier terms may be started.
    pub fn is_reconciled(&self) -> bool {
        self.unreconciled.is_none()
    }

    /// Returns the jobs of which a run is placed on a worker, or of which the worker has an end that
    /// the store does not have.
    pub fn jobs_on(&self, worker: WorkerKey) -> BTreeSet<JobName> {
        let Some(record) = self.workers.get(worker) else {
            return BTreeSet::new();
        };
        let with_run = record.runs.keys().map(|run_id| run_id.task.job);
        let unstored = record.pending_ends.iter();
        let with_end = unstored.filter_map(|end| {
            let (job, _) = end.required_changes?;
            Some(self.jobs.get(job)?.name)
        });
        with_run.chain(with_end).collect()
    }

    /// Returns the number of waiting tasks that are held back until more workers are reconciled.
    pub fn held_back_task_count(&self) -> usize {
        let counts = self
            .ready_steps
            .iter()
            .map(|step_ref| self.held_back_tasks_in(*step_ref));
        counts.sum()
    }

    fn held_back_tasks_in(&self, step_ref: StepRef) -> usize {
        let Some(step) = self.step_record(step_ref) else {
            return 0;
        };
        let rule = self.start_rule(step_ref, step);
        let held_back = step
            .tasks
            .iter()
            .filter(|task| task.is_waiting() && !rule.allows(task));
        held_back.count()
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
        if job.epoch >= self.epoch {
            StepEligibility::NewJob
        } else if !self.unreconciled.may_run(job.name) {
            StepEligibility::Reconciled
        } else if step.is_new_in_term {
            StepEligibility::NewStep
        } else {
            StepEligibility::Located
        }
    }

    /// Marks a task as located, after the worker itself has listed run `run` of it. The task has no
    /// other run: an owner starts a task again only once its last run is known to have ended.
    pub(crate) fn mark_located(&mut self, task_ref: TaskRef, run: u64) {
        let Some(job) = self.jobs.get_mut(task_ref.step.job) else {
            return;
        };
        let number = usize::from(task_ref.step.step);
        if let Some(occurrence) = job.occurrences.get_mut(&task_ref.step.occurrence) {
            let step_spec = &job.spec.steps[number];
            occurrence.steps[number].record_location(step_spec, task_ref.index, run);
        }
    }
}
