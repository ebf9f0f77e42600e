//! Relieves latency-critical tasks of noisy neighbours: throttle first, evict last.

use crate::interference::PairTable;
use crate::placement::{CustomerWeights, RunningTask, WorkerCapacity};
use std::time::Duration;
use wax_types::{TaskId, TimePoint};

/// Above this slowdown of a latency-critical task, a neighbour is throttled, where tail latency
/// and throughput weigh the same.
const THROTTLE_EXCESS: f64 = 0.6;
/// Bounds on that slowdown for other weights.
const MIN_THROTTLE_EXCESS: f64 = 0.25;
const MAX_THROTTLE_EXCESS: f64 = 2.0;
/// Above so many times that slowdown, with a throttled neighbour, the neighbour is evicted.
const EVICT_FACTOR: f64 = 5.0;
/// Below this share of it, a throttled neighbour is restored.
const RESTORE_SHARE: f64 = 0.5;
/// Share of its size that a throttled task may use, in percent.
pub const THROTTLED_PERCENT: u8 = 50;
/// Between two steps on one worker.
const MIN_ACTION_INTERVAL: Duration = Duration::from_secs(3);
/// A throttled task is restored after a calm of this length.
const CALM_PERIOD: Duration = Duration::from_secs(6);

/// What is remembered of one worker between two looks.
#[derive(Debug, Clone, Default)]
pub struct MitigationState {
    throttled: Vec<TaskId>,
    last_action: TimePoint,
    calm_since: Option<TimePoint>,
}

/// What to do on a worker now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MitigationChoice {
    /// Nothing.
    Keep,
    /// Let a task use only [`THROTTLED_PERCENT`] of its size.
    Throttle(TaskId),
    /// Let a task use its whole size again.
    Restore(TaskId),
    /// Evict a task.
    Evict(TaskId),
}

/// One worker with a slowed latency-critical task, as the latest usage shows it.
#[derive(Debug, Clone, Copy)]
pub struct MitigationView<'a> {
    /// The worker.
    pub worker: &'a WorkerCapacity,
    /// Its latency-critical task that is slowed most.
    pub affected: &'a RunningTask,
    /// How much longer that task takes than alone; 0.5 is half as long again.
    pub excess: f64,
    /// What is known of pairs of kinds.
    pub pairs: &'a PairTable,
    /// What counts for the firm.
    pub weights: CustomerWeights,
}

impl MitigationState {
    /// Decides about one worker.
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

    /// Throttles the noisiest neighbour; evicts one only where all are throttled.
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

    /// The neighbour that does the victim the most harm, among those throttled or not.
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

    /// Restores the task that was throttled last, once the worker was calm for long enough.
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

/// The slowdown from which on neighbours are throttled: the more tail latency weighs against
/// throughput, the lower.
fn throttle_threshold(weights: CustomerWeights) -> f64 {
    let ratio = weights.throughput.max(1.0) / weights.tail.max(1.0);
    (THROTTLE_EXCESS * ratio.sqrt()).clamp(MIN_THROTTLE_EXCESS, MAX_THROTTLE_EXCESS)
}
