//! The queue of what happens next.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use wax_types::{TaskId, TimePoint};

/// What happens at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ReplayEvent {
    /// A quick request arrives at its entry.
    QuickArrives(usize),
    /// An attempt arrives at its sidecar.
    AttemptArrives(usize),
    /// An upstream has worked on an attempt to its end.
    AttemptEnds(usize),
    /// The answer of an attempt, or its refusal, arrives at the entry.
    AnswerArrives(usize),
    /// A second attempt may be sent.
    HedgeDue(usize),
    /// A request's deadline passes.
    DeadlinePasses(usize),
    /// Every sidecar says its load.
    LoadsReported,
    /// A job arrives.
    JobArrives(usize),
    /// The owner looks at its queue.
    SchedulingDue,
    /// A run ends, if nothing has changed its speed since.
    RunEnds(TaskId, u64),
    /// Workers measure usage.
    UsageMeasured,
    /// Late usage arrives at the owner.
    UsageArrives(usize),
    /// A stopped run has written its checkpoint.
    StopDone(TaskId, u64),
    /// A fault begins or ends.
    FaultChanges(usize, bool),
    /// The leases at a lost worker have lapsed.
    LeasesExpire(usize),
    /// Jobs are cancelled.
    Cancelled(usize),
}

/// Events in the order of their times; those of one time in the order of their insertion.
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
