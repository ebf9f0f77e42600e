//! The two routes of a front's transactions to the store: a direct call, and a relay by the owner.
//!
//! The platform may refuse calls from this VM while it serves the owner's VM. A transaction that is
//! sent by both routes takes effect at most once: its conditions name the versions of all rows that
//! it writes.

use crate::state::FrontState;
use compio::time::{sleep, timeout};
use futures_channel::oneshot;
use futures_util::future::{Either, select};
use platform::TxRequest;
use std::pin::pin;
use std::time::Duration;
use wax_owner::{RelayAttempt, RelayTracker, TxResolution, encode_relay_request, transact};
use wax_types::TimePoint;
use wax_wire::PoolBody;

/// Delay after which the second route is used, too, if the first has given no answer. A healthy
/// store answers within 10 ms. A slow one takes a second and is slowed further by duplicate
/// transactions: with a delay of 250 ms, 27 of 387 attempts at a slow store got no answer, with the
/// first route alone none.
const SECOND_ROUTE_DELAY: Duration = Duration::from_millis(1_200);
/// Delay before the next relay attempt, without a link to the owner or after a missing answer.
const RELAY_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Sends a transaction unchanged by both routes, until its resolution is known or `deadline` has
/// passed.
pub(crate) async fn transact_by_any_route(
    state: &FrontState,
    tx: &TxRequest,
    deadline: TimePoint,
) -> TxResolution {
    let _in_flight = InFlightGuard::new(state);
    let shared = &state.shared;
    // While this front has lost the store, the relay is tried first.
    let prefers_relay = state.store_lost_since.get().is_some() && state.is_owner_reachable();
    let (direct_delay, relay_delay) = match prefers_relay {
        true => (SECOND_ROUTE_DELAY, Duration::ZERO),
        false => (Duration::ZERO, SECOND_ROUTE_DELAY),
    };
    let direct = pin!(async {
        sleep(direct_delay).await;
        transact(&shared.store, shared.clock, tx, deadline).await
    });
    let relayed = pin!(async {
        sleep(relay_delay).await;
        relay_through_owner(state, tx, deadline).await
    });
    match select(direct, relayed).await {
        Either::Left((resolution, relayed)) => {
            note_direct(state, &resolution);
            resolve(resolution, relayed).await
        }
        Either::Right((resolution, direct)) => {
            if !resolution.is_known() {
                let direct = direct.await;
                note_direct(state, &direct);
                return resolution.join(direct);
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

fn note_direct(state: &FrontState, resolution: &TxResolution) {
    state.note_store_answer(resolution.is_known());
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
        if !state.is_owner_reachable() {
            // There is no owner, or it has lost the store as well.
            sleep(RELAY_RETRY_DELAY.min(time_left)).await;
            continue;
        }
        let attempt = send_relay_request(state, tx, time_left).await;
        if let Some(resolution) = tracker.record(attempt) {
            return resolution;
        }
        sleep(RELAY_RETRY_DELAY.min(time_left)).await;
    }
}

async fn send_relay_request(
    state: &FrontState,
    tx: &TxRequest,
    timeout_after: Duration,
) -> RelayAttempt {
    let number = state.next_request.get();
    state.next_request.set(number + 1);
    let (sender, answer) = oneshot::channel();
    let request = PoolBody::RelayRequest(encode_relay_request(
        number,
        tx,
        timeout_after,
        state.shared.now(),
    ));
    let is_sent = match &*state.outbox.borrow() {
        Some(outbox) => outbox.unbounded_send(request).is_ok(),
        None => false,
    };
    if !is_sent {
        return RelayAttempt::NoLink;
    }
    state.pending_relays.borrow_mut().insert(number, sender);
    let reply = timeout(timeout_after, answer).await;
    state.pending_relays.borrow_mut().remove(&number);
    match reply {
        Ok(Ok(reply)) => RelayAttempt::Answered(reply),
        _ => RelayAttempt::NoAnswer,
    }
}
