//! How long a task that fills waits for what.

use crate::records::{JobRecord, StepRecord};
use wax_policy::PlaceRules;
use wax_types::TimePoint;

/// What a task that fills puts up with by now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PlacementRelaxation {
    /// It waits for a worker with processors to spare that bears it.
    Careful,
    /// It waits for one that lets it work at all.
    Late,
    /// It takes any worker with processors to spare.
    Any,
    /// Its job must go on somewhere.
    Starved,
}

impl PlacementRelaxation {
    /// What a step's tasks put up with now; `calm` if nothing else excuses that the job waits.
    pub(crate) fn of(
        rules: &PlaceRules,
        job: &JobRecord,
        step: &StepRecord,
        lightly_loaded: bool,
        now: TimePoint,
    ) -> Self {
        let waited = now.since(step.waiting_since);
        let old = lightly_loaded || now.since(job.accepted) >= rules.old_age;
        if old && waited >= rules.starvation && !job.has_placed() {
            Self::Starved
        } else if waited < rules.fill_patience {
            Self::Careful
        } else if waited < rules.last_patience {
            Self::Late
        } else {
            Self::Any
        }
    }

    /// The least pace that it takes, 0 to 1.
    pub(crate) fn min_pace(self, rules: &PlaceRules) -> f64 {
        match self {
            Self::Careful => rules.careful_pace,
            Self::Late => rules.late_pace,
            Self::Any | Self::Starved => 0.0,
        }
    }
}
