//! Slots of one upstream and the short queue of requests that wait for them, ordered by deadline
//! (earliest first).

use crate::average::DecayedMean;
use std::collections::BTreeMap;
use std::time::Duration;
use wax_types::TimePoint;

/// Decision about a request that arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GateChoice {
    /// A slot is taken; run the request now.
    Run,
    /// The request waits in the queue.
    Queue,
    /// The queue is full; a slot is expected to be free after this time.
    Full(Duration),
    /// The deadline cannot be met; a slot is expected to be free after this time.
    CannotMeetDeadline(Duration),
}

/// Next request to run in a free slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DequeueChoice<K> {
    /// Run this request; its slot is taken.
    Run(K),
    /// This request can no longer meet its deadline and has left the queue; call `dequeue` again.
    Drop(K),
    /// No request waits or no slot is free.
    Idle,
}

/// Counts the slots in use and queues the requests that wait.
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
    /// Creates a gate for an idle upstream with `slots` slots and a queue of at most `queue_limit`
    /// requests.
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

    /// Decides whether a request that must be answered by `deadline` runs, waits or is refused.
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

    /// Frees the slot of a request that took `service_time` at the upstream.
    pub fn release(&mut self, service_time: Duration) {
        self.mean_service_s.add(service_time.as_secs_f64());
        self.slots_used -= 1;
    }

    /// Frees the slot of a request that did not reach the upstream and therefore gives no sample of
    /// the service time.
    pub fn release_unused(&mut self) {
        self.slots_used -= 1;
    }

    /// Assigns a free slot to the next request in the queue. Callers repeat the call until it
    /// returns [`DequeueChoice::Idle`].
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

    /// Removes a request from the queue; returns whether it was queued.
    pub fn remove(&mut self, key: K) -> bool {
        let before = self.queue.len();
        self.queue.retain(|_, waiting| *waiting != key);
        self.queue.len() < before
    }

    /// Returns the time until a slot is expected to be free for one more request.
    pub fn expected_wait(&self) -> Duration {
        if self.slots_used < self.slots {
            return Duration::ZERO;
        }
        let ahead = (self.queue.len() + 1) as f64;
        Duration::from_secs_f64(self.mean_service_s.value() * ahead / self.slots as f64)
    }

    /// Returns half of the mean service time: a request is refused only if even a fast one would
    /// miss the deadline.
    fn min_service_time(&self) -> Duration {
        Duration::from_secs_f64(self.mean_service_s.value() * 0.5)
    }

    /// Returns the decayed mean of the time that requests take at the upstream.
    pub fn service_time(&self) -> Duration {
        Duration::from_secs_f64(self.mean_service_s.value())
    }

    /// Returns the number of slots in use.
    pub fn slots_used(&self) -> usize {
        self.slots_used
    }

    /// Returns the number of requests in the queue.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }
}

/// Number of requests after which a sample has little weight in the mean service time.
const SERVICE_TIME_WINDOW: f64 = 64.0;
