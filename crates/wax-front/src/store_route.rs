//! The two routes of a front's transactions to the store: a direct call, and a relay by the owner.
//!
//! The platform may refuse calls from this VM while it serves the owner's VM. A transaction that is
//! sent by both routes takes effect at most once: its conditions name the versions of all rows that
//! it writes.

use crate::direct_route::transact_directly;
use crate::state::FrontState;
use compio::time::{sleep, timeout};
use futures_channel::oneshot;
use futures_util::future::{Either, select};
use platform::TxRequest;
use std::pin::pin;
use std::time::Duration;
use wax_owner::{RelayAttempt, RelayTracker, TxResolution, encode_relay_request};
use wax_types::{ErrorKind, Step, TimePoint, WaxError};
use wax_wire::PoolBody;

/// Delay after which the second route is used, too, if the first has given no answer. A healthy
/// store answers within 10 ms. A slow one takes a second and is slowed further by duplicate
/// transactions: with a delay of 250 ms, 27 of 387 attempts at a slow store got no answer, with the
/// first route alone none.
const SECOND_ROUTE_DELAY: Duration = Duration::from_millis(1_200);
/// Delay before the next relay attempt, without a link to the owner or after a missing answer.
const RELAY_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time that the owner gets for one relay attempt if the rules of acceptance are enabled. An owner
/// that has just lost the store, too, would otherwise hold the transaction until its deadline.
const RELAY_ATTEMPT_TIME: Duration = Duration::from_millis(800);
/// Time for the owner's answer after it has given up an attempt.
const RELAY_ANSWER_MARGIN: Duration = Duration::from_millis(300);
/// Period of the checks whether a route that has not been used yet is still of use.
const DOWN_CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Sends a transaction unchanged by both routes, until its resolution is known or `deadline` has
/// passed.
pub(crate) async fn transact_by_any_route(
    state: &FrontState,
    tx: &TxRequest,
    deadline: TimePoint,
) -> TxResolution {
    let _in_flight = InFlightGuard::new(state);
    // While this front has lost the store, the relay is tried first.
    let prefers_relay = state.store_lost_since.get().is_some() && state.is_owner_reachable();
    let (direct_delay, relay_delay) = match prefers_relay {
        true => (SECOND_ROUTE_DELAY, Duration::ZERO),
        false => (Duration::ZERO, SECOND_ROUTE_DELAY),
    };
    let direct = pin!(async {
        match sleep_unless_down(state, direct_delay).await {
            true => transact_directly(state, tx, deadline).await,
            false => TxResolution::NotSent(unavailable_error()),
        }
    });
    let relayed = pin!(async {
        match sleep_unless_down(state, relay_delay).await {
            true => relay_through_owner(state, tx, deadline).await,
            false => TxResolution::NotSent(unavailable_error()),
        }
    });
    match select(direct, relayed).await {
        Either::Left((resolution, relayed)) => resolve(resolution, relayed).await,
        Either::Right((resolution, direct)) => {
            if !resolution.is_known() {
                return resolution.join(direct.await);
            }
            state.note_store_answer(false);
            tracing::info!("transaction was relayed by the owner");
            resolution
        }
    }
}

/// Counts a transaction as in flight while the guard exists.
struct InFlightGuard<'a>(&'a FrontState);

impl<'a> InFlightGuard<'a> {
    fn new(state: &'a FrontState) -> Self {
        state.in_flight.set(state.in_flight.get() + 1);
        Self(state)
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

/// Returns the resolution of the direct call if it is certain, and otherwise waits for the relay.
async fn resolve(
    direct: TxResolution,
    relayed: impl Future<Output = TxResolution>,
) -> TxResolution {
    match direct.is_known() {
        true => direct,
        false => direct.join(relayed.await),
    }
}

/// Waits before a route is used. Returns `false` as soon as the store is known to be unavailable by
/// any route.
async fn sleep_unless_down(state: &FrontState, delay: Duration) -> bool {
    let end = state.shared.now() + delay;
    loop {
        let left = end.since(state.shared.now());
        if left.is_zero() {
            return true;
        }
        if !state.acceptance.get().is_enabled() {
            sleep(left).await;
            return true;
        }
        if state.is_store_down() {
            return false;
        }
        sleep(left.min(DOWN_CHECK_PERIOD)).await;
    }
}

fn unavailable_error() -> WaxError {
    let text = "the store is unavailable by any route";
    WaxError::new(ErrorKind::Timeout, Step::SubmitJob, "store", text)
}

/// Asks the owner to send the transaction, repeatedly until its resolution is known.
async fn relay_through_owner(
    state: &FrontState,
    tx: &TxRequest,
    deadline: TimePoint,
) -> TxResolution {
    let mut tracker = RelayTracker::default();
    loop {
        let time_left = deadline.since(state.shared.now());
        if time_left.is_zero() {
            return tracker.finish();
        }
        if state.is_store_down()
            && let none @ TxResolution::NotSent(_) = tracker.finish()
        {
            return none;
        }
        if !state.is_owner_reachable() {
            // There is no owner, or it has lost the store as well.
            sleep(RELAY_RETRY_DELAY.min(time_left)).await;
            continue;
        }
        let (wait, answer_limit) = match state.acceptance.get().is_enabled() {
            true => (
                time_left.min(RELAY_ATTEMPT_TIME),
                time_left.min(RELAY_ATTEMPT_TIME + RELAY_ANSWER_MARGIN),
            ),
            false => (time_left, time_left),
        };
        let attempt = send_relay_request(state, tx, wait, answer_limit).await;
        if let Some(resolution) = tracker.record(attempt) {
            return resolution;
        }
        sleep(RELAY_RETRY_DELAY.min(time_left)).await;
    }
}

/// Asks the owner to send the transaction for up to `wait`, and waits for its answer.
async fn send_relay_request(
    state: &FrontState,
    tx: &TxRequest,
    wait: Duration,
    answer_limit: Duration,
) -> RelayAttempt {
    let number = state.next_request.get();
    state.next_request.set(number + 1);
    let (sender, answer) = oneshot::channel();
    let request =
        PoolBody::RelayRequest(encode_relay_request(number, tx, wait, state.shared.now()));
    let is_sent = match &*state.outbox.borrow() {
        Some(outbox) => outbox.unbounded_send(request).is_ok(),
        None => false,
    };
    if !is_sent {
        return RelayAttempt::NoLink;
    }
    state.pending_relays.borrow_mut().insert(number, sender);
    let reply = timeout(answer_limit, answer).await;
    state.pending_relays.borrow_mut().remove(&number);
    match reply {
        Ok(Ok(reply)) => RelayAttempt::Answered(reply),
        _ => RelayAttempt::NoAnswer,
    }
}
