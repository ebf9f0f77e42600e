//! What workers that were not heard in this term may still run of earlier terms.
//!
//! Where a task runs is written nowhere: a new owner learns it from the workers. Until all were heard
//! a task of an earlier term may run on one that was not. This says which tasks cannot.

use crate::book::{JobBook, StepAt, TaskAt};
use crate::life::{StepLife, TaskLife};
use crate::names::JobName;
use std::collections::{BTreeSet, HashSet};

/// Jobs of earlier terms that workers may run that were not heard in this term.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UnheardRuns {
    /// Any of them.
    Any,
    /// Only these.
    Only(HashSet<JobName>),
}

impl UnheardRuns {
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
pub(crate) enum StepClearance {
    /// All.
    All,
    /// Those of which a run was listed in this term: it was their only one.
    Located,
}

impl StepClearance {
    pub(crate) fn covers(self, task: &TaskLife) -> bool {
        match self {
            Self::All => true,
            Self::Located => task.located,
        }
    }
}

impl JobBook {
    /// Notes what workers that were not heard may still run.
    pub fn set_unheard(&mut self, unheard: UnheardRuns) {
        self.unheard = unheard;
    }

    /// What workers that were not heard may still run.
    pub fn unheard(&self) -> &UnheardRuns {
        &self.unheard
    }

    /// All who may run tasks of earlier terms were heard or have lapsed.
    pub fn settle(&mut self) {
        self.unheard = UnheardRuns::none();
    }

    /// Whether tasks of earlier terms may be started wherever they ran.
    pub fn is_settled(&self) -> bool {
        self.unheard.is_none()
    }

    /// Jobs of which a run is booked on a worker.
    pub fn jobs_on(&self, worker: crate::WorkerKey) -> BTreeSet<JobName> {
        let life = self.workers.get(worker);
        let runs = life.into_iter().flat_map(|life| life.runs.keys());
        runs.map(|mark| mark.task.job).collect()
    }

    /// Waiting tasks of earlier terms that are held back until more workers were heard.
    pub fn held_back(&self) -> usize {
        let held = self.ready.iter().map(|at| self.held_back_in(*at));
        held.sum()
    }

    fn held_back_in(&self, at: StepAt) -> usize {
        let Some(step) = self.step_life(at) else {
            return 0;
        };
        let clearance = self.clearance(at, step);
        let held = step
            .tasks
            .iter()
            .filter(|task| task.is_waiting() && !clearance.covers(task));
        held.count()
    }

    pub(crate) fn step_life(&self, at: StepAt) -> Option<&StepLife> {
        let occurrence = self.jobs.get(at.job)?.occurrences.get(&at.occurrence)?;
        occurrence.steps.get(usize::from(at.step))
    }

    pub(crate) fn clearance(&self, at: StepAt, step: &StepLife) -> StepClearance {
        let job = &self.jobs[at.job];
        let is_bound = job.epoch < self.epoch && self.unheard.may_hold(job.name);
        if is_bound && !step.is_new_in_term {
            StepClearance::Located
        } else {
            StepClearance::All
        }
    }

    /// A worker itself lists a run of the task: there is no other, as an owner starts a task anew
    /// only once its last run has surely ended.
    pub(crate) fn note_located(&mut self, at: TaskAt) {
        if let Some(task) = self.task_mut(at) {
            task.located = true;
        }
        let job = self.jobs.get_mut(at.step.job);
        let occurrence = job.and_then(|job| job.occurrences.get_mut(&at.step.occurrence));
        if let Some(occurrence) = occurrence {
            occurrence.steps[usize::from(at.step.step)].outlived_takeover = true;
        }
    }
}
