//! Rules by which the owner places the tasks of the pool.

use crate::rules::rule_set;
use std::time::Duration;

rule_set! {
    /// Limits and weights of placement.
    ///
    /// Costs are shares of a worker's processors; the worker with the lowest cost is chosen.
    PlacementRules {
        /// Average share of its requested processors that a long-running task uses.
        long_running_use: f64 = ("lasting_use", "share", 0.5, 0 to 1, off 1),
        /// Best-effort tasks may request up to this multiple of the processors left to them, if
        /// their job is expected to meet its objective. The limits for later jobs are lower, to
        /// leave capacity for more valuable jobs that arrive next.
        best_effort_limit_in_time: f64 = ("fill_limit_soon", "times", 1.2, 0.1 to 10),
        /// Limit like `best_effort_limit_in_time`, for jobs that are late but still have value.
        best_effort_limit_late: f64 = ("fill_limit_late", "times", 1.0, 0.1 to 10),
        /// Limit like `best_effort_limit_in_time`, for jobs that are too late to have any value.
        best_effort_limit_too_late: f64 = ("fill_limit_past", "times", 0.6, 0.1 to 10),
        /// Cost of a worker on another rack than the task's data.
        other_rack_cost: f64 = ("far_cost", "share", 0.5, 0 to 100, off 0),
        /// Cost of a worker on another rack, for steps whose tasks slow each other down if they are
        /// spread over two racks.
        rack_split_cost: f64 = ("split_cost", "share", 2.0, 0 to 100, off 0),
        /// Cost of the worker on which the task failed last.
        failed_worker_cost: f64 = ("shun_cost", "share", 2.0, 0 to 100, off 0),
        /// Cost of a worker that has just started.
        cold_worker_cost: f64 = ("cold_cost", "share", 0.3, 0 to 100, off 0),
        /// Cost of a worker on which a best-effort task would have pace 0; it falls linearly to 0
        /// at full pace.
        slow_pace_cost: f64 = ("pace_cost", "share", 4.0, 0 to 100, off 0),
        /// Cost of a worker on which a best-effort task would take the whole headroom of a serving
        /// task; proportionally less if it would take a part of it.
        interference_cost: f64 = ("press_cost", "share", 1.0, 0 to 100, off 0),
        /// Pace that a best-effort task demands from a worker until `preferred_pace_wait` has
        /// passed.
        preferred_pace: f64 = ("careful_pace", "share", 0.8, 0 to 1, off 0),
        /// Time for which a best-effort task waits for a worker that allows `preferred_pace`.
        preferred_pace_wait: Duration = ("fill_patience_ms", "ms", 4000, 0 to 600000, off 0),
        /// Pace that a best-effort task demands from a worker after `preferred_pace_wait`, until
        /// `relaxed_pace_wait` has passed.
        relaxed_pace: f64 = ("late_pace", "share", 0.4, 0 to 1, off 0),
        /// Total waiting time after which a best-effort task accepts any pace.
        relaxed_pace_wait: Duration = ("last_patience_ms", "ms", 12000, 0 to 600000, off 0),
        /// If less than this share of a service's processors is reserved, each of its jobs counts
        /// as old: there is no shortage that would justify a job without progress.
        low_use: f64 = ("calm_use", "share", 0.6, 0 to 1, off 0),
        /// Age from which a job counts as old.
        old_job_age: Duration = ("old_age_ms", "ms", 10000, 0 to 3600000, off 3600000),
        /// An old job of which no task has been placed for this long gets one task placed, however
        /// full the worker is.
        starvation_wait: Duration = ("starvation_ms", "ms", 1200, 0 to 600000, off 600000),
        /// Time without progress after which a run is moved, if another worker can take it.
        stall_time: Duration = ("stall_ms", "ms", 1000, 100 to 600000, off 600000),
        /// Share of its estimated run time for which a run must at least be without progress before
        /// it is moved.
        stall_share: f64 = ("stall_share", "share", 0.25, 0 to 10, off 0),
        /// Maximum number of runs that are moved at a time.
        max_moves: u32 = ("most_moves", "runs", 6, 0 to 1000, off 0),
        /// Interference per core counts as 0 if its estimate plus one standard deviation is below
        /// this value.
        negligible_interference: f64 = ("no_press", "share", 0.05, 0 to 1, off 0),
        /// Cost of placing a long-running task on a worker whose long-running tasks all have other
        /// images; proportionally less if only a part of them do.
        other_image_cost: f64 = ("stranger_cost", "share", 1.0, 0 to 100, off 0),
        /// Cost of placing a long-running task on a worker that has none yet.
        first_long_running_cost: f64 = ("open_cost", "share", 3.0, 0 to 100, off 0),
    }
}

/// Expected finish of a job relative to its objective. Jobs with the lowest value come first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ExpectedFinish {
    /// Within the objective.
    InTime,
    /// After the objective, but the job still has value.
    Late,
    /// So late that the job has no value any more.
    TooLate,
}

impl PlacementRules {
    /// Returns the multiple of a worker's spare processors that best-effort tasks may request if
    /// their job has this expected finish.
    pub fn best_effort_limit(&self, finish: ExpectedFinish) -> f64 {
        match finish {
            ExpectedFinish::InTime => self.best_effort_limit_in_time,
            ExpectedFinish::Late => self.best_effort_limit_late,
            ExpectedFinish::TooLate => self.best_effort_limit_too_late,
        }
    }
}
