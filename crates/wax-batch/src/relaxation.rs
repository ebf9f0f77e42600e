//! Delay scheduling of best-effort tasks: the longer a task waits, the lower its demands on a
//! worker.

use crate::records::{JobRecord, StepRecord};
use wax_policy::PlacementRules;
use wax_types::TimePoint;

/// How far a waiting best-effort task has lowered its demands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PlacementRelaxation {
    /// Requires spare processors and the preferred pace. Holds at the start of the wait.
    PreferredPace,
    /// Requires spare processors and a lower pace.
    RelaxedPace,
    /// Requires spare processors, at any pace.
    AnyPace,
    /// Requires no spare processors either, so that the job makes progress somewhere.
    Starved,
}

impl PlacementRelaxation {
    /// Returns the demands of a step's waiting tasks. On a lightly loaded service a young job can
    /// also be [`PlacementRelaxation::Starved`], since no other work explains why it waits.
    pub(crate) fn of(
        rules: &PlacementRules,
        job: &JobRecord,
        step: &StepRecord,
        lightly_loaded: bool,
        now: TimePoint,
    ) -> Self {
        let waited = now.since(step.waiting_since);
        if is_starved(rules, job, step, lightly_loaded, now) {
            Self::Starved
        } else if waited < rules.preferred_pace_wait {
            Self::PreferredPace
        } else if waited < rules.relaxed_pace_wait {
            Self::RelaxedPace
        } else {
            Self::AnyPace
        }
    }

    /// Returns the minimum pace that the task requires of a worker, 0 to 1.
    pub(crate) fn min_pace(self, rules: &PlacementRules) -> f64 {
        match self {
            Self::PreferredPace => rules.preferred_pace,
            Self::RelaxedPace => rules.relaxed_pace,
            Self::AnyPace | Self::Starved => 0.0,
        }
    }
}

/// Returns whether a step of an old job has waited for long while no task of the job is placed. On a
/// lightly loaded service every job counts as old.
pub(crate) fn is_starved(
    rules: &PlacementRules,
    job: &JobRecord,
    step: &StepRecord,
    lightly_loaded: bool,
    now: TimePoint,
) -> bool {
    let is_old = lightly_loaded || now.since(job.accepted) >= rules.old_job_age;
    is_old && now.since(step.waiting_since) >= rules.starvation_wait && !job.has_placed()
}
