//! What placement assumes, and how long a task that fills waits for what.

use crate::life::{JobLife, StepLife};
use std::time::Duration;
use wax_types::TimePoint;

/// What placement assumes of workers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlaceRules {
    /// The share of its processors that a lasting task uses on average.
    pub lasting_use: f64,
    /// Tasks that fill may ask for this many times the processors that are left to them: those
    /// of jobs that can make their objective, that are late but count, that count no more. What
    /// counts less leaves room to what comes next.
    pub fill_limits: [f64; 3],
    /// Cost of a worker on another rack than the data, in shares of a worker's processors.
    pub far_cost: f64,
    /// The same where the tasks of a step slow each other down once they are on two racks.
    pub split_cost: f64,
    /// Cost of the worker on which the task failed last.
    pub shun_cost: f64,
    /// Cost of a worker that has just started.
    pub cold_cost: f64,
    /// Cost of a worker on which the task would stand still; less for each share of its pace.
    pub pace_cost: f64,
    /// Cost of a worker whose serving tasks would bear nothing more.
    pub press_cost: f64,
    /// A task that fills waits for a worker that leaves it this pace ..
    pub careful_pace: f64,
    /// .. for this long; then for one that leaves it ..
    pub fill_patience: Duration,
    /// .. this pace, until ..
    pub late_pace: f64,
    /// .. it takes any.
    pub last_patience: Duration,
    /// A service of which less than this share of the processors is booked is calm: there each
    /// job counts as old, since nothing else excuses that it stands still.
    pub calm_use: f64,
    /// A job of this age counts as old.
    pub old_age: Duration,
    /// An old job of which nothing has run for this long gets one task placed, however full it is.
    pub starvation: Duration,
    /// A run without progress for this long is moved, if another worker bears it.
    pub stall: Duration,
    /// The same as a share of its estimated time.
    pub stall_share: f64,
    /// At most this many runs are moved at once.
    pub most_moves: usize,
    /// A press of a core that is surely below this is none.
    pub no_press: f64,
    /// Cost of lasting tasks of other images on the worker.
    pub stranger_cost: f64,
    /// Cost of a worker without lasting tasks, for one that lasts.
    pub open_cost: f64,
}

impl Default for PlaceRules {
    fn default() -> Self {
        Self {
            lasting_use: 0.5,
            fill_limits: [1.2, 1.0, 0.6],
            far_cost: 0.5,
            split_cost: 2.0,
            shun_cost: 2.0,
            cold_cost: 0.3,
            pace_cost: 4.0,
            press_cost: 1.0,
            careful_pace: 0.8,
            fill_patience: Duration::from_millis(4_000),
            late_pace: 0.4,
            last_patience: Duration::from_millis(12_000),
            calm_use: 0.6,
            old_age: Duration::from_millis(10_000),
            starvation: Duration::from_millis(1_200),
            stall: Duration::from_millis(1_000),
            stall_share: 0.25,
            most_moves: 6,
            no_press: 0.05,
            stranger_cost: 1.0,
            open_cost: 3.0,
        }
    }
}

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

impl PlaceRules {
    /// How much of a worker's spare processors may be asked for by jobs of this hope.
    pub(crate) fn fill_limit(&self, hope: u8) -> f64 {
        self.fill_limits[usize::from(hope).min(self.fill_limits.len() - 1)]
    }

    pub(crate) fn patience(
        &self,
        job: &JobLife,
        step: &StepLife,
        calm: bool,
        now: TimePoint,
    ) -> FillPatience {
        let waited = now.since(step.since);
        let old = calm || now.since(job.accepted) >= self.old_age;
        if old && waited >= self.starvation && !job.has_placed() {
            FillPatience::Starved
        } else if waited < self.fill_patience {
            FillPatience::Careful
        } else if waited < self.last_patience {
            FillPatience::Late
        } else {
            FillPatience::Any
        }
    }

    pub(crate) fn least_pace(&self, patience: FillPatience) -> f64 {
        match patience {
            FillPatience::Careful => self.careful_pace,
            FillPatience::Late => self.late_pace,
            FillPatience::Any | FillPatience::Starved => 0.0,
        }
    }
}
