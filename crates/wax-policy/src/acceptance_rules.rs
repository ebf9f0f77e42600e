//! Rules by which a front answers callers while the store is slow or unavailable.

use crate::rules::rule_set;
use std::time::Duration;

rule_set! {
    /// Rules that decide when a front refuses requests because of the store, for how long, and how
    /// it detects that the store is back.
    AcceptanceRules {
        /// Whether the rules of this section apply: 1 if they do.
        enabled: u32 = ("enabled", "switch", 0, 0 to 1, off 0),
        /// Time without a success, and with at least two failures, after which the store counts as
        /// unavailable. A single failed call is not enough.
        confirm_after: Duration = ("confirm_after_ms", "ms", 300, 50 to 5000),
        /// Retry delay at the start of an outage. A caller that meets four fronts which each see the
        /// outage for the first time still waits four times as long.
        min_retry_after: Duration = ("min_retry_after_ms", "ms", 1600, 50 to 10000),
        /// Increase of the retry delay per unit of the outage's age, up to `steady_retry_after`.
        growth: f64 = ("growth", "times", 0.75, 0 to 10, off 0),
        /// Retry delay that the growth ends at. With the default growth, the four delays of a caller
        /// that is refused at the start add up to 10.2 s before jitter. A longer delay only lets callers wait
        /// longer after the end of the outage.
        steady_retry_after: Duration = ("steady_retry_after_ms", "ms", 2900, 50 to 60000),
        /// Maximum retry delay before jitter. An outage is expected to last as long again as it has
        /// lasted, so after four times `steady_retry_after` the delay is a quarter of the age.
        max_retry_after: Duration = ("max_retry_after_ms", "ms", 6000, 50 to 60000),
        /// Maximum share by which a delay is lengthened at random, so that callers do not return
        /// together.
        jitter: f64 = ("jitter", "share", 0.2, 0 to 1, off 0),
        /// Shortest mean time between two probes of a front that has lost the store.
        probe_period: Duration = ("probe_period_ms", "ms", 200, 20 to 10000),
        /// Probes per second of all fronts together. The store counts all calls.
        probe_rate: f64 = ("probe_rate", "1/s", 40, 1 to 1000),
        /// Maximum number of jobs that share one transaction; the store accepts 100 entries, and a
        /// job takes two.
        max_jobs_per_tx: u32 = ("max_jobs_per_tx", "jobs", 49, 1 to 49, off 1),
    }
}

impl AcceptanceRules {
    /// Returns whether the rules apply.
    pub fn is_enabled(&self) -> bool {
        self.enabled > 0
    }
}
