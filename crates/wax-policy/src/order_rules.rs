//! Rules for orders to workers that are not answered.

use crate::rules::rule_set;
use std::time::Duration;

rule_set! {
    /// Rules by which an agent sends unanswered calls to its worker again, and by which the owner
    /// limits the starts on a worker that leaves them unanswered.
    OrderRules {
        /// 1 to send unanswered calls again; with 0, agents and owners behave as without this
        /// section.
        enabled: u32 = ("resend", "switch", 0, 0 to 1, off 0),
        /// Minimum time without an answer after which a call is sent again. Healthy workers answer
        /// in a few milliseconds.
        min_resend_delay: Duration = ("floor_ms", "ms", 40, 5 to 700),
        /// Maximum number of copies of a call, including the first. The delay between them doubles,
        /// so that at the default `floor_ms` five copies are sent within 600 ms; if 40% of the
        /// copies are lost, 1% of the calls lose all five.
        max_copies: u32 = ("copies", "calls", 5, 1 to 8, off 1),
        /// Time since the last answer of a worker to any call from which on it counts as silent.
        /// Two consecutive unanswered holds took 2.1 s.
        silent_after: Duration = ("silent_ms", "ms", 2000, 300 to 60000),
        /// Time after which a call without an answer can no longer be executed. Late executions
        /// were seen 2 to 12 s after the call.
        late_execution: Duration = ("late_ms", "ms", 12000, 0 to 600000, off 0),
        /// Interval at which the pace of a run is sent again while a late copy of an earlier order
        /// may still be executed.
        pace_repeat: Duration = ("pace_repeat_ms", "ms", 1000, 100 to 60000),
        /// Time for which a worker gets no start after its first unanswered start; it doubles with
        /// each further one.
        first_backoff: Duration = ("backoff_ms", "ms", 250, 0 to 60000, off 0),
        /// Maximum of the time between two starts on a worker that leaves them unanswered.
        max_backoff: Duration = ("max_backoff_ms", "ms", 4000, 0 to 60000, off 0),
        /// Maximum share of a service's ready workers that may be limited at the same time. If more
        /// leave starts unanswered, the cause is not the workers.
        max_limited_share: f64 = ("limited_share", "share", 0.5, 0 to 1, off 0),
    }
}

impl OrderRules {
    /// Returns whether unanswered calls are sent again.
    pub fn is_enabled(&self) -> bool {
        self.enabled > 0
    }
}
