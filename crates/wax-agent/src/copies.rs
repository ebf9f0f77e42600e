//! Copies of one call to the worker that wait for an answer at the same time.

use crate::state::AgentState;
use compio::time::{sleep, timeout};
use futures_util::StreamExt;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::FuturesUnordered;
use std::time::Duration;
use wax_batch::BootId;
use wax_policy::ResendPlan;
use wax_types::TimePoint;

/// Time for copies to end by their own limits before a call is given up. Both end at the same time,
/// and a copy that ends itself shows whether it was sent.
const GIVE_UP_GRACE: Duration = Duration::from_millis(20);

/// One copy of a call that was answered or has failed.
pub(crate) struct EndedCopy<T> {
    /// Position of the copy among all copies of the call, from 0.
    pub(crate) position: u32,
    pub(crate) sent_at: TimePoint,
    pub(crate) answer: T,
}

/// Copies in flight. Dropping it closes their connections.
pub(crate) struct CallCopies<'a, T> {
    calls: FuturesUnordered<LocalBoxFuture<'a, EndedCopy<T>>>,
    sent: u32,
    failed: u32,
    give_up_at: Option<TimePoint>,
}

impl<'a, T: 'a> CallCopies<'a, T> {
    pub(crate) fn new() -> Self {
        Self {
            calls: FuturesUnordered::new(),
            sent: 0,
            failed: 0,
            give_up_at: None,
        }
    }

    /// Adds a copy that is sent at `now`, when this struct is polled next.
    pub(crate) fn push(&mut self, now: TimePoint, call: impl Future<Output = T> + 'a) {
        let position = self.sent;
        self.sent += 1;
        self.calls.push(Box::pin(async move {
            EndedCopy {
                position,
                sent_at: now,
                answer: call.await,
            }
        }));
    }

    /// Waits at most `wait` for the next copy that ends.
    pub(crate) async fn next(&mut self, wait: Duration) -> Option<EndedCopy<T>> {
        if self.calls.is_empty() {
            sleep(wait).await;
            return None;
        }
        timeout(wait, self.calls.next()).await.ok().flatten()
    }

    /// Records that a copy failed without an answer although it may have been executed.
    pub(crate) fn note_failed(&mut self) {
        self.failed += 1;
    }

    /// Number of copies that were sent.
    pub(crate) fn sent(&self) -> u32 {
        self.sent
    }

    /// Returns whether no copy waits for an answer.
    pub(crate) fn is_idle(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns how long to wait for copies whose limits have passed at `now`; `None` if the call has
    /// to be given up.
    pub(crate) fn grace(&mut self, now: TimePoint) -> Option<Duration> {
        if self.is_idle() {
            return None;
        }
        let until = *self.give_up_at.get_or_insert(now + GIVE_UP_GRACE);
        (now < until).then(|| until.since(now))
    }

    /// Number of copies that have no answer, if the copy at position `answered` was answered last;
    /// `None` if the call is given up. Copies sent after the answered one are not counted: they had
    /// less time.
    pub(crate) fn lost(&self, answered: Option<u32>) -> u32 {
        let waiting = self.calls.len() as u32;
        let later = answered.map_or(0, |position| self.sent.saturating_sub(position + 1));
        waiting.saturating_sub(later) + self.failed
    }
}

impl AgentState {
    /// Returns the schedule of the copies of an order that begins at `now` and is given up after
    /// `limit`.
    pub(crate) fn order_plan(&self, now: TimePoint, limit: Duration) -> ResendPlan {
        let rules = self.rules.orders.get();
        let delay = self.order_resend_delay(now, limit);
        ResendPlan::new(now, delay, now + limit, rules.max_copies)
    }

    /// Returns the time without an answer after which an order is sent again; `ceiling` if too
    /// little is known of the worker's response times.
    pub(crate) fn order_resend_delay(&self, now: TimePoint, ceiling: Duration) -> Duration {
        let floor = self.rules.orders.get().min_resend_delay;
        let of_orders = self.order_times.borrow().resend_after(now, floor, ceiling);
        let of_holds = || self.hold_times.borrow().resend_after(now, floor, ceiling);
        of_orders.or_else(of_holds).unwrap_or(ceiling)
    }

    /// Returns the time beyond its wait after which a hold is sent again; `ceiling` if too little is
    /// known of the worker's response times, otherwise at most half of it, so that a copy is sent
    /// also if the worker's timers are slow.
    pub(crate) fn hold_resend_delay(&self, now: TimePoint, ceiling: Duration) -> Duration {
        let floor = self.rules.orders.get().min_resend_delay;
        let delay = self
            .hold_times
            .borrow()
            .resend_after(now, floor, ceiling / 2);
        delay.unwrap_or(ceiling)
    }

    /// Records an answer to an order that was sent at `sent_at`, with the reading of the worker's
    /// clock that it contains.
    pub(crate) fn note_order_reply(
        &self,
        active: &BootId,
        sent_at: TimePoint,
        clock_ms: Option<u64>,
    ) {
        let now = self.now();
        let elapsed = now.since(sent_at);
        self.order_times.borrow_mut().record_answer(now, elapsed);
        self.with_boot(active, |boot| {
            boot.silence.note_answer(now);
            if let Some(clock_ms) = clock_ms {
                boot.lease.note_order_clock(now, clock_ms);
            }
        });
        self.update_contact(active);
    }

    /// Records an answer to a hold that the worker was allowed to hold back for `wait`.
    pub(crate) fn note_hold_time(&self, sent_at: TimePoint, wait: Duration) {
        let now = self.now();
        let elapsed = now.since(sent_at);
        if wait.is_zero() {
            self.order_times.borrow_mut().record_answer(now, elapsed);
        } else if elapsed >= wait {
            // An earlier answer does not show how long the worker took for it.
            let beyond = elapsed - wait;
            self.hold_times.borrow_mut().record_answer(now, beyond);
        }
    }

    /// Records copies of a call that were given up without an answer.
    pub(crate) fn note_losses(&self, active: &BootId, lost: u32) {
        if lost == 0 {
            return;
        }
        let now = self.now();
        for _ in 0..lost {
            self.order_times.borrow_mut().record_loss(now);
        }
        self.update_contact(active);
    }
}
