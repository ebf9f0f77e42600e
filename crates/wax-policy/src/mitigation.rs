//! Decides when to throttle or evict tasks that slow down a latency-critical task on the same
//! worker. Throttling comes first, eviction last.

use crate::interference::PairTable;
use crate::placement::{CustomerWeights, RunningTask, WorkerCapacity};
use std::time::Duration;
use wax_types::{TaskId, TimePoint};

/// Slowdown of a latency-critical task above which a neighbour is throttled, if tail latency and
/// throughput have equal weights.
const THROTTLE_EXCESS: f64 = 0.6;
/// Lower and upper bound of the throttling threshold for other weights.
const MIN_THROTTLE_EXCESS: f64 = 0.25;
const MAX_THROTTLE_EXCESS: f64 = 2.0;
/// Multiple of the throttling threshold above which a throttled neighbour is evicted.
const EVICT_FACTOR: f64 = 5.0;
/// Share of the throttling threshold below which the worker counts as calm.
const RESTORE_SHARE: f64 = 0.5;
/// Percentage of its size that a throttled task may use.
pub const THROTTLED_PERCENT: u8 = 50;
/// Minimum time between two actions on one worker.
const MIN_ACTION_INTERVAL: Duration = Duration::from_secs(3);
/// Time for which a worker must be calm before a throttled task is restored.
const CALM_PERIOD: Duration = Duration::from_secs(6);

/// State of one worker between two decisions.
#[derive(Debug, Clone, Default)]
pub struct MitigationState {
    throttled: Vec<TaskId>,
    last_action: TimePoint,
    calm_since: Option<TimePoint>,
}

/// Action on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MitigationChoice {
    /// Do nothing.
    Keep,
    /// Limit a task to [`THROTTLED_PERCENT`] of its size.
    Throttle(TaskId),
    /// Let a throttled task use its whole size again.
    Restore(TaskId),
    /// Evict a task.
    Evict(TaskId),
}

/// Worker with a latency-critical task that is slowed down, as the latest usage report shows it.
#[derive(Debug, Clone, Copy)]
pub struct MitigationView<'a> {
    /// Worker on which the task runs.
    pub worker: &'a WorkerCapacity,
    /// Latency-critical task that is slowed down most.
    pub affected: &'a RunningTask,
    /// Slowdown of the affected task: 0.5 means that it takes 50 % longer than alone.
    pub excess: f64,
    /// Estimated interference of all pairs of kinds.
    pub pairs: &'a PairTable,
    /// Customer's weights of tail latency, throughput and evictions.
    pub weights: CustomerWeights,
}

impl MitigationState {
    /// Decides which action to take on the worker now.
    pub fn decide(&mut self, now: TimePoint, view: MitigationView<'_>) -> MitigationChoice {
        let is_running = |task: &TaskId| {
            view.worker
                .tasks()
                .iter()
                .any(|running| running.task == *task)
        };
        self.throttled.retain(is_running);
        self.update_calm(now, view);
        if now.since(self.last_action) < MIN_ACTION_INTERVAL {
            return MitigationChoice::Keep;
        }
        let choice = match self.mitigate(now, view) {
            MitigationChoice::Keep => self.restore(now),
            choice => choice,
        };
        if choice != MitigationChoice::Keep {
            self.last_action = now;
        }
        choice
    }

    fn update_calm(&mut self, now: TimePoint, view: MitigationView<'_>) {
        if view.excess >= throttle_threshold(view.weights) * RESTORE_SHARE {
            self.calm_since = None;
        } else if self.calm_since.is_none() {
            self.calm_since = Some(now);
        }
    }

    /// Throttles the neighbour that interferes most. Evicts one only if all of them are throttled
    /// already.
    fn mitigate(&mut self, now: TimePoint, view: MitigationView<'_>) -> MitigationChoice {
        let limit = throttle_threshold(view.weights);
        if view.excess <= limit {
            return MitigationChoice::Keep;
        }
        if let Some(task) = self.strongest_interferer(view, false) {
            self.throttled.push(task.task);
            return MitigationChoice::Throttle(task.task);
        }
        let may_evict =
            view.excess > limit * EVICT_FACTOR && view.weights.tail > view.weights.eviction;
        match self.strongest_interferer(view, true) {
            Some(task) if may_evict && task.protected_until <= now => {
                MitigationChoice::Evict(task.task)
            }
            _ => MitigationChoice::Keep,
        }
    }

    /// Returns the evictable task that slows down the affected task most, among those that are
    /// throttled or those that are not.
    fn strongest_interferer(
        &self,
        view: MitigationView<'_>,
        throttled: bool,
    ) -> Option<RunningTask> {
        let interference = |task: &RunningTask| {
            let band = view.worker.load_band();
            view.pairs
                .estimate(view.affected.kind, task.kind, band)
                .excess
        };
        view.worker
            .tasks()
            .iter()
            .filter(|task| task.evictable)
            .filter(|task| self.throttled.contains(&task.task) == throttled)
            .max_by(|a, b| interference(a).total_cmp(&interference(b)))
            .copied()
    }

    /// Restores the task that was throttled last if the worker has been calm for [`CALM_PERIOD`].
    fn restore(&mut self, now: TimePoint) -> MitigationChoice {
        let calm = self
            .calm_since
            .is_some_and(|since| now.since(since) >= CALM_PERIOD);
        match self.throttled.pop_if(|_| calm) {
            Some(task) => {
                self.calm_since = Some(now);
                MitigationChoice::Restore(task)
            }
            None => MitigationChoice::Keep,
        }
    }
}

/// Returns the slowdown above which neighbours are throttled. The more weight tail latency has
/// relative to throughput, the lower the threshold.
fn throttle_threshold(weights: CustomerWeights) -> f64 {
    let ratio = weights.throughput.max(1.0) / weights.tail.max(1.0);
    (THROTTLE_EXCESS * ratio.sqrt()).clamp(MIN_THROTTLE_EXCESS, MAX_THROTTLE_EXCESS)
}
