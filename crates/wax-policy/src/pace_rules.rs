//! Rules by which an agent slows down best-effort tasks in favour of serving tasks on the same
//! worker.

use crate::rules::rule_set;
use std::time::Duration;

rule_set! {
    /// Rules that decide when best-effort tasks are slowed down, and how fast an agent learns from
    /// its samples.
    PaceRules {
        /// Time between two samples of the worker. The worker's figures cover half a second.
        /// Sampling twice in that time shortens tail latencies that exceed their target: in 36
        /// paired comparisons of a day of operation it gained 0.015 of a day's value.
        period: Duration = ("period_ms", "ms", 240, 50 to 5000),
        /// Maximum ratio of a serving task's predicted tail latency to its target. Best-effort
        /// tasks are slowed down to stay below it.
        max_tail_ratio: f64 = ("aim", "share", 0.74, 0.1 to 2),
        /// Replaces `max_tail_ratio` when all best-effort jobs are late; for a smaller share of
        /// late jobs the value is interpolated. Late best-effort jobs thus get the safety margin of
        /// the serving tasks. At a load at which a tenth of these jobs met their objective, this
        /// lowered the number of days of operation that missed a required minimum from 7 to 4 of
        /// 54, without loss of value.
        max_tail_ratio_overload: f64 = ("strained_aim", "share", 1.0, 0.1 to 2, off 0.74),
        /// Ratio of a tail latency to its target from which it counts as too long for `stop_after`.
        overrun_ratio: f64 = ("near", "share", 0.95, 0.1 to 10),
        /// All best-effort tasks on the worker are stopped when a serving task's tail latency has
        /// been too long for this time; see `overrun_ratio`.
        stop_after: Duration = ("bear_ms", "ms", 1400, 100 to 600000, off 600000),
        /// If the tail latency is still too long at this time after the stop, best-effort tasks are
        /// not the cause and run again.
        stop_timeout: Duration = ("relief_ms", "ms", 2800, 100 to 600000),
        /// Time for which best-effort tasks are not stopped again after a stop that did not help.
        stop_exemption: Duration = ("cleared_ms", "ms", 1500, 0 to 600000, off 0),
        /// Time for which best-effort tasks that may be the cause stay stopped after a serving
        /// task's load was too high to be determined from its tail latency. The worker's figures
        /// still show such a load for some time after it has ended.
        settle_time: Duration = ("settle_ms", "ms", 900, 0 to 10000, off 0),
        /// Minimum pace, percent. Tasks that are stopped completely give no samples of their
        /// interference.
        min_pace_percent: u32 = ("least_percent", "percent", 5, 0 to 100, off 100),
        /// Share of the difference to a new sample by which the estimated baseline load falls. A
        /// rising baseline load is followed at once.
        baseline_fall_rate: f64 = ("own_rate", "share", 0.6, 0.01 to 1, off 1),
        /// Share of a tail latency reported by the worker that is carried over from the one
        /// reported half a second earlier.
        tail_retention: f64 = ("tail_kept", "share", 0.27, 0 to 0.95, off 0),
        /// Ratio of an idle serving task's tail latency to its target that is assumed before it has
        /// been measured.
        initial_idle_tail_ratio: f64 = ("first_idle", "share", 0.17, 0.01 to 0.9),
        /// Interference per core counts as 0 if its estimate plus one standard deviation is below
        /// this value.
        negligible_interference: f64 = ("no_press", "share", 0.05, 0 to 1, off 0),
    }
}

impl PaceRules {
    /// Returns the rules that apply when this share of the best-effort jobs is late, 0 to 1.
    pub fn for_overload(self, overload: f64) -> Self {
        let overload = overload.clamp(0.0, 1.0);
        Self {
            max_tail_ratio: self.max_tail_ratio
                + overload * (self.max_tail_ratio_overload - self.max_tail_ratio),
            ..self
        }
    }
}
