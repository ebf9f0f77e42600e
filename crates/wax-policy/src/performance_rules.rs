//! Rules by which the owner recognizes slow workers and avoids them.

use crate::rules::rule_set;
use std::time::Duration;

rule_set! {
    /// Rules that decide when a worker counts as slow, and what follows from it.
    PerformanceRules {
        /// Whether the owner estimates the speed of workers, and agents report tail latencies over
        /// their target for it: 1 for yes.
        enabled: u32 = ("enabled", "flag", 0, 0 to 1, off 0),
        /// A run that takes this multiple of the median of its step is evidence of a slow worker,
        /// also before it ends. Run times of one step differ by 15 to 30%.
        slow_factor: f64 = ("slow_times", "times", 3, 1.5 to 100),
        /// Time by which such a run must exceed the median at least. A start may wait 700 ms for its
        /// answer, which says nothing about the speed of the worker.
        min_excess: Duration = ("excess_ms", "ms", 700, 0 to 600000, off 0),
        /// Number of ended runs of a step, on at least two workers, before their median is a
        /// reference.
        min_siblings: u32 = ("siblings", "runs", 3, 2 to 1000),
        /// Number of slow runs on a worker before it counts as slow. A slow run compared with other
        /// jobs of its image, or a report of a tail latency, counts half.
        min_evidence: u32 = ("evidence", "runs", 2, 1 to 100),
        /// Age up to which evidence counts.
        window: Duration = ("window_ms", "ms", 4000, 100 to 600000),
        /// Time for which a slow worker gets no short tasks. Doubled each time the worker is still
        /// slow afterwards.
        hold_off: Duration = ("hold_off_ms", "ms", 3000, 100 to 600000),
        /// Maximum of the doubled `hold_off`, and the time after which a probe without evidence
        /// ends. Workers were slow for 16 s; a longer hold-off would often outlast that.
        max_hold_off: Duration = ("max_hold_off_ms", "ms", 6000, 100 to 3600000),
        /// Number of short tasks that a worker gets after the hold-off. If all run at normal speed,
        /// the worker is normal again.
        probe_runs: u32 = ("probe_runs", "runs", 2, 1 to 100),
        /// Maximum share of the ready workers of a service that count as slow.
        max_slow_share: f64 = ("max_slow_share", "share", 0.4, 0 to 0.9, off 0),
        /// Cost of a slow worker. It exceeds the sum of the other costs, so that another worker is
        /// chosen if one fits. For best-effort tasks the cost falls linearly to 0 at full speed.
        slow_cost: f64 = ("slow_cost", "share", 20, 0 to 1000, off 0),
        /// Maximum number of runs that are being moved off slow workers at a time.
        max_moves: u32 = ("max_moves", "runs", 4, 0 to 1000, off 0),
        /// Time for which a task is not moved again.
        move_pause: Duration = ("move_pause_ms", "ms", 5000, 0 to 600000, off 0),
        /// Time that a run takes to resume from its checkpoint on another worker.
        restore_time: Duration = ("restore_ms", "ms", 500, 0 to 600000, off 0),
    }
}
