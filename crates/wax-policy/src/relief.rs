//! Relieves latency-critical tasks of noisy neighbours: throttle first, evict last.

use crate::interference::PairTable;
use crate::placement::{FirmWeights, RunningTask, WorkerSlot};
use std::time::Duration;
use wax_types::{TaskId, TimePoint};

/// Above this slowdown of a latency-critical task, a neighbour is throttled, where tail latency
/// and throughput weigh the same.
const THROTTLE_EXCESS: f64 = 0.6;
/// Bounds on that slowdown for other weights.
const LEAST_EXCESS: f64 = 0.25;
const MOST_EXCESS: f64 = 2.0;
/// Above so many times that slowdown, with a throttled neighbour, the neighbour is evicted.
const EVICT_FACTOR: f64 = 5.0;
/// Below this share of it, a throttled neighbour is restored.
const RESTORE_SHARE: f64 = 0.5;
/// Share of its size that a throttled task may use, in percent.
pub const THROTTLED_PERCENT: u8 = 50;
/// Between two steps on one worker.
const STEP_PAUSE: Duration = Duration::from_secs(3);
/// A throttled task is restored after a calm of this length.
const CALM_SPAN: Duration = Duration::from_secs(6);

/// What is remembered of one worker between two looks.
#[derive(Debug, Clone, Default)]
pub struct ReliefState {
    throttled: Vec<TaskId>,
    last_step: TimePoint,
    calm_since: Option<TimePoint>,
}

/// What to do on a worker now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReliefChoice {
    /// Nothing.
    Keep,
    /// Let a task use only [`THROTTLED_PERCENT`] of its size.
    Throttle(TaskId),
    /// Let a task use its whole size again.
    Restore(TaskId),
    /// Evict a task.
    Evict(TaskId),
}

impl ReliefState {
    /// Decides about one worker; `worst` is the greatest slowdown of a latency-critical task
    /// there in the latest usage, and `victim` is that task.
    pub fn decide(
        &mut self,
        now: TimePoint,
        slot: &WorkerSlot,
        victim: &RunningTask,
        worst: f64,
        pairs: &PairTable,
        weights: FirmWeights,
    ) -> ReliefChoice {
        self.throttled
            .retain(|task| slot.tasks().iter().any(|running| running.task == *task));
        if worst >= threshold(weights) * RESTORE_SHARE {
            self.calm_since = None;
        } else if self.calm_since.is_none() {
            self.calm_since = Some(now);
        }
        if now.since(self.last_step) < STEP_PAUSE {
            return ReliefChoice::Keep;
        }
        let choice = self.next_step(now, slot, victim, worst, pairs, weights);
        if choice != ReliefChoice::Keep {
            self.last_step = now;
        }
        choice
    }

    fn next_step(
        &mut self,
        now: TimePoint,
        slot: &WorkerSlot,
        victim: &RunningTask,
        worst: f64,
        pairs: &PairTable,
        weights: FirmWeights,
    ) -> ReliefChoice {
        let limit = threshold(weights);
        if worst > limit {
            let noisiest = |throttled: bool| {
                slot.tasks()
                    .iter()
                    .filter(|task| task.evictable)
                    .filter(|task| self.throttled.contains(&task.task) == throttled)
                    .max_by(|a, b| {
                        let harm = |task: &RunningTask| {
                            pairs.estimate(victim.kind, task.kind, slot.band()).excess
                        };
                        harm(a).total_cmp(&harm(b))
                    })
            };
            if let Some(task) = noisiest(false) {
                let task = task.task;
                self.throttled.push(task);
                return ReliefChoice::Throttle(task);
            }
            let may_evict = worst > limit * EVICT_FACTOR && weights.tail > weights.eviction;
            if let Some(task) = noisiest(true).filter(|task| may_evict && task.settled <= now) {
                return ReliefChoice::Evict(task.task);
            }
        }
        let calm = self
            .calm_since
            .is_some_and(|since| now.since(since) >= CALM_SPAN);
        match self.throttled.pop() {
            Some(task) if calm => {
                self.calm_since = Some(now);
                ReliefChoice::Restore(task)
            }
            Some(task) => {
                self.throttled.push(task);
                ReliefChoice::Keep
            }
            None => ReliefChoice::Keep,
        }
    }
}

/// The slowdown from which on neighbours are throttled: the more tail latency weighs against
/// throughput, the lower.
fn threshold(weights: FirmWeights) -> f64 {
    let ratio = weights.throughput.max(1.0) / weights.tail.max(1.0);
    (THROTTLE_EXCESS * ratio.sqrt()).clamp(LEAST_EXCESS, MOST_EXCESS)
}
