//! When the tasks that fill are slowed down for those that serve.

use crate::rules::rule_set;
use std::time::Duration;

rule_set! {
    /// When to slow down, and how fast to learn.
    PaceRules {
        /// Between two observations. The worker's figures cover half a second; looking twice in
        /// that time shortens tails over their target: 0.015 of the worth of a day in 36 paired days.
        period: Duration = ("period_ms", "ms", 240, 50 to 5000),
        /// Predicted tails are kept below this share of their target.
        max_tail_share: f64 = ("aim", "share", 0.74, 0.1 to 2),
        /// The same where all jobs that fill are late; between the two by the share of them that is.
        /// What waits in vain gets the margin: at a load where a tenth of such jobs made it, 4 of 54
        /// days missed a floor instead of 7, at no loss of worth.
        max_tail_share_overload: f64 = ("strained_aim", "share", 1.0, 0.1 to 2, off 0.74),
        /// Tails over this share of their target count as too long in a row.
        overrun_share: f64 = ("near", "share", 0.95, 0.1 to 10),
        /// Tails that are too long for this long stop all that fills.
        stop_after: Duration = ("bear_ms", "ms", 1400, 100 to 600000, off 600000),
        /// A stop that has not helped after this long shows another cause.
        stop_timeout: Duration = ("relief_ms", "ms", 2800, 100 to 600000),
        /// What fills then goes on for this long, whatever the tail.
        stop_exemption: Duration = ("cleared_ms", "ms", 1500, 0 to 600000, off 0),
        /// A load too high to be told by its tail stops what may be the cause; its figures show for this
        /// long what is over already.
        settle_time: Duration = ("settle_ms", "ms", 900, 0 to 10000, off 0),
        /// The least pace, percent: what stands still teaches nothing.
        min_pace_percent: u32 = ("least_percent", "percent", 5, 0 to 100, off 100),
        /// How much of the difference to what a look shows goes to an own load that falls; one that
        /// rises is followed at once.
        baseline_fall_rate: f64 = ("own_rate", "share", 0.6, 0.01 to 1, off 1),
        /// The figure of a tail keeps this share of the one half a second before.
        tail_retention: f64 = ("tail_kept", "share", 0.27, 0 to 0.95, off 0),
        /// The share of its target that a tail without load takes, before anything is known.
        initial_idle_tail: f64 = ("first_idle", "share", 0.17, 0.01 to 0.9),
        /// A press of a core that is surely below this is none.
        negligible_interference: f64 = ("no_press", "share", 0.05, 0 to 1, off 0),
    }
}

impl PaceRules {
    /// The rules where this share of the jobs that fill is late, 0 to 1.
    pub fn for_overload(self, overload: f64) -> Self {
        let overload = overload.clamp(0.0, 1.0);
        Self {
            max_tail_share: self.max_tail_share
                + overload * (self.max_tail_share_overload - self.max_tail_share),
            ..self
        }
    }
}
