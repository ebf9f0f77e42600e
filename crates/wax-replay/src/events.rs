//! Event queue of a replay.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use wax_types::{TaskId, TimePoint};

/// Event at a point of time. Indices refer to the lists in the replay's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ReplayEvent {
    /// A quick request arrives at its entry.
    QuickArrives(usize),
    /// An attempt arrives at its sidecar.
    AttemptArrives(usize),
    /// An upstream has completed its work on an attempt.
    AttemptEnds(usize),
    /// The answer to an attempt, or its refusal, arrives at the entry.
    AnswerArrives(usize),
    /// A hedge, the second attempt of a request, may be sent.
    HedgeDue(usize),
    /// The deadline of a request passes.
    DeadlinePasses(usize),
    /// All sidecars report their loads.
    LoadsReported,
    /// A job arrives.
    JobArrives(usize),
    /// The owner starts a scheduling round.
    SchedulingDue,
    /// A run ends. Ignored if the generation of the task has changed: the end of the run was planned
    /// again, or the run was stopped, lost or cancelled.
    RunEnds(TaskId, u64),
    /// Workers measure their usage.
    UsageMeasured,
    /// Delayed usage samples arrive at the owner.
    UsageArrives(usize),
    /// A run that is being stopped has written its checkpoint. Holds the number of the task's
    /// evictions when the stop was ordered; ignored if the task was evicted since then.
    StopDone(TaskId, u64),
    /// A fault starts (`true`) or ends (`false`).
    FaultChanges(usize, bool),
    /// The leases on a lost worker have expired.
    LeasesExpire(usize),
    /// Tasks of a kind are cancelled.
    Cancelled(usize),
}

/// Events by time; events at the same time keep the order of their insertion.
#[derive(Debug, Default)]
pub(crate) struct EventQueue {
    heap: BinaryHeap<Reverse<(TimePoint, u64, ReplayEvent)>>,
    inserted: u64,
}

impl EventQueue {
    pub(crate) fn push(&mut self, at: TimePoint, event: ReplayEvent) {
        self.inserted += 1;
        self.heap.push(Reverse((at, self.inserted, event)));
    }

    pub(crate) fn pop(&mut self) -> Option<(TimePoint, ReplayEvent)> {
        let Reverse((at, _, event)) = self.heap.pop()?;
        Some((at, event))
    }
}
