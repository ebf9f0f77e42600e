//! What the placement of the pool's tasks assumes and weighs.

use crate::rules::rule_set;
use std::time::Duration;

rule_set! {
    /// Limits and weights of placement.
    ///
    /// Costs are in shares of a worker's processors; the worker of the least cost is taken.
    PlacementRules {
        /// The share of its processors that a lasting task uses on average.
        long_running_use: f64 = ("lasting_use", "share", 0.5, 0 to 1, off 1),
        /// Tasks that fill may ask for this many times the processors that are left to them, if
        /// their job can make its objective. What counts less leaves room to what comes next.
        best_effort_limit_in_time: f64 = ("fill_limit_soon", "times", 1.2, 0.1 to 10),
        /// The same for jobs that are late but count.
        best_effort_limit_late: f64 = ("fill_limit_late", "times", 1.0, 0.1 to 10),
        /// The same for jobs that count no more.
        best_effort_limit_too_late: f64 = ("fill_limit_past", "times", 0.6, 0.1 to 10),
        /// Cost of a worker on another rack than the data.
        other_rack_cost: f64 = ("far_cost", "share", 0.5, 0 to 100, off 0),
        /// The same where the tasks of a step slow each other down once they are on two racks.
        rack_split_cost: f64 = ("split_cost", "share", 2.0, 0 to 100, off 0),
        /// Cost of the worker on which the task failed last.
        failed_worker_cost: f64 = ("shun_cost", "share", 2.0, 0 to 100, off 0),
        /// Cost of a worker that has just started.
        cold_worker_cost: f64 = ("cold_cost", "share", 0.3, 0 to 100, off 0),
        /// Cost of a worker on which the task would stand still; less for each share of its pace.
        slow_pace_cost: f64 = ("pace_cost", "share", 4.0, 0 to 100, off 0),
        /// Cost of a worker whose serving tasks would bear nothing more.
        interference_cost: f64 = ("press_cost", "share", 1.0, 0 to 100, off 0),
        /// A task that fills waits for a worker that leaves it this pace ..
        preferred_pace: f64 = ("careful_pace", "share", 0.8, 0 to 1, off 0),
        /// .. for this long; then for one that leaves it ..
        preferred_pace_wait: Duration = ("fill_patience_ms", "ms", 4000, 0 to 600000, off 0),
        /// .. this pace, until ..
        relaxed_pace: f64 = ("late_pace", "share", 0.4, 0 to 1, off 0),
        /// .. it takes any.
        relaxed_pace_wait: Duration = ("last_patience_ms", "ms", 12000, 0 to 600000, off 0),
        /// A service of which less than this share of the processors is booked is calm: there each
        /// job counts as old, since nothing else excuses that it stands still.
        low_use: f64 = ("calm_use", "share", 0.6, 0 to 1, off 0),
        /// A job of this age counts as old.
        old_job_age: Duration = ("old_age_ms", "ms", 10000, 0 to 3600000, off 3600000),
        /// An old job of which nothing has run for this long gets one task placed, however full it is.
        starvation_wait: Duration = ("starvation_ms", "ms", 1200, 0 to 600000, off 600000),
        /// A run without progress for this long is moved, if another worker bears it.
        stall_time: Duration = ("stall_ms", "ms", 1000, 100 to 600000, off 600000),
        /// The same as a share of its estimated time.
        stall_share: f64 = ("stall_share", "share", 0.25, 0 to 10, off 0),
        /// At most this many runs are moved at once.
        max_moves: u32 = ("most_moves", "runs", 6, 0 to 1000, off 0),
        /// A press of a core that is surely below this is none.
        negligible_interference: f64 = ("no_press", "share", 0.05, 0 to 1, off 0),
        /// Cost of lasting tasks of other images on the worker.
        other_image_cost: f64 = ("stranger_cost", "share", 1.0, 0 to 100, off 0),
        /// Cost of a worker without lasting tasks, for one that lasts.
        first_long_running_cost: f64 = ("open_cost", "share", 3.0, 0 to 100, off 0),
    }
}

/// When a job is expected to finish, by its objective; the least goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ExpectedFinish {
    /// Within the objective.
    InTime,
    /// Late, but it still counts.
    Late,
    /// So late that it counts for nothing.
    TooLate,
}

impl PlacementRules {
    /// How much of a worker's spare processors jobs that are expected to finish so may ask for.
    pub fn best_effort_limit(&self, finish: ExpectedFinish) -> f64 {
        match finish {
            ExpectedFinish::InTime => self.best_effort_limit_in_time,
            ExpectedFinish::Late => self.best_effort_limit_late,
            ExpectedFinish::TooLate => self.best_effort_limit_too_late,
        }
    }
}
