//! How long a task that fills waits for what.

use crate::life::{JobLife, StepLife};
use wax_policy::PlacementRules;
use wax_types::TimePoint;

/// What a task that fills puts up with by now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FillPatience {
    /// It waits for a worker with processors to spare that bears it.
    Careful,
    /// It waits for one that lets it work at all.
    Late,
    /// It takes any worker with processors to spare.
    Any,
    /// Its job must go on somewhere.
    Starved,
}

impl FillPatience {
    /// What a step's tasks put up with now; `calm` if nothing else excuses that the job waits.
    pub(crate) fn of(
        rules: &PlacementRules,
        job: &JobLife,
        step: &StepLife,
        calm: bool,
        now: TimePoint,
    ) -> Self {
        let waited = now.since(step.since);
        let old = calm || now.since(job.accepted) >= rules.old_job_age;
        if old && waited >= rules.starvation_wait && !job.has_placed() {
            Self::Starved
        } else if waited < rules.preferred_pace_wait {
            Self::Careful
        } else if waited < rules.relaxed_pace_wait {
            Self::Late
        } else {
            Self::Any
        }
    }

    /// The least pace that it takes, 0 to 1.
    pub(crate) fn least_pace(self, rules: &PlacementRules) -> f64 {
        match self {
            Self::Careful => rules.preferred_pace,
            Self::Late => rules.relaxed_pace,
            Self::Any | Self::Starved => 0.0,
        }
    }
}
