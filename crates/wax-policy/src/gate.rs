//! The slots of one upstream and the short queue before them, earliest deadline first.

use crate::average::DecayedMean;
use std::collections::BTreeMap;
use std::time::Duration;
use wax_types::TimePoint;

/// What to do with a request that arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GateChoice {
    /// Run it now; a slot is taken.
    Run,
    /// It waits in the queue.
    Queue,
    /// The queue is full; a slot is expected after this time.
    Full(Duration),
    /// Its deadline cannot be met; a slot is expected after this time.
    CannotMeetDeadline(Duration),
}

/// What a released slot does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DequeueChoice<K> {
    /// Run this one; the slot stays taken.
    Run(K),
    /// This one's deadline can no longer be met; ask again.
    Drop(K),
    /// Nothing waits; the slot is free.
    Idle,
}

/// Counts slots exactly and orders those that wait.
#[derive(Debug, Clone)]
pub struct SlotGate<K> {
    slots: usize,
    slots_used: usize,
    queue_limit: usize,
    queue: BTreeMap<(TimePoint, u64), K>,
    next_sequence: u64,
    mean_service_s: DecayedMean,
}

impl<K: Copy + PartialEq> SlotGate<K> {
    /// An idle upstream of `slots` slots and at most `queue_limit` waiting requests.
    pub fn new(slots: usize, queue_limit: usize) -> Self {
        Self {
            slots,
            slots_used: 0,
            queue_limit,
            queue: BTreeMap::new(),
            next_sequence: 0,
            mean_service_s: DecayedMean::new(SERVICE_TIME_WINDOW),
        }
    }

    /// Decides about a request that must be answered by `deadline`.
    pub fn admit(&mut self, now: TimePoint, deadline: TimePoint, key: K) -> GateChoice {
        let wait = self.expected_wait();
        if now + wait + self.min_service_time() > deadline {
            return GateChoice::CannotMeetDeadline(wait);
        }
        if self.slots_used < self.slots {
            self.slots_used += 1;
            return GateChoice::Run;
        }
        if self.queue.len() >= self.queue_limit {
            return GateChoice::Full(wait);
        }
        self.next_sequence += 1;
        self.queue.insert((deadline, self.next_sequence), key);
        GateChoice::Queue
    }

    /// Gives a slot back after a request that took `spent` at the upstream.
    pub fn release(&mut self, service_time: Duration) {
        self.mean_service_s.add(service_time.as_secs_f64());
        self.slots_used -= 1;
    }

    /// Gives a slot back that reached no upstream, so that nothing was learned.
    pub fn release_unused(&mut self) {
        self.slots_used -= 1;
    }

    /// Takes a free slot for the next request that waits; call until it is idle.
    pub fn dequeue(&mut self, now: TimePoint) -> DequeueChoice<K> {
        if self.slots_used >= self.slots {
            return DequeueChoice::Idle;
        }
        let Some(((deadline, _), key)) = self.queue.pop_first() else {
            return DequeueChoice::Idle;
        };
        if now + self.min_service_time() > deadline {
            return DequeueChoice::Drop(key);
        }
        self.slots_used += 1;
        DequeueChoice::Run(key)
    }

    /// Takes a request out of the queue; says whether it was there.
    pub fn remove(&mut self, key: K) -> bool {
        let before = self.queue.len();
        self.queue.retain(|_, waiting| *waiting != key);
        self.queue.len() < before
    }

    /// The time until a slot is expected to be free for one more request.
    pub fn expected_wait(&self) -> Duration {
        if self.slots_used < self.slots {
            return Duration::ZERO;
        }
        let ahead = (self.queue.len() + 1) as f64;
        Duration::from_secs_f64(self.mean_service_s.value() * ahead / self.slots as f64)
    }

    /// Half of the mean: a request is hopeless only where even a quick one would be late.
    fn min_service_time(&self) -> Duration {
        Duration::from_secs_f64(self.mean_service_s.value() * 0.5)
    }

    /// Decayed mean of the time at the upstream.
    pub fn service_time(&self) -> Duration {
        Duration::from_secs_f64(self.mean_service_s.value())
    }

    /// Slots in use.
    pub fn slots_used(&self) -> usize {
        self.slots_used
    }

    /// Requests that wait.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }
}

/// Requests over which the mean of the service time forgets.
const SERVICE_TIME_WINDOW: f64 = 64.0;
