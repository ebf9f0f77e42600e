//! The ways of a front to the store: its own, and through the owner.
//!
//! The platform may turn this machine away while it serves the owner's. A transaction that goes both
//! ways takes effect once at most: its conditions name the versions of all that it writes.

use crate::state::FrontState;
use compio::time::{sleep, timeout};
use futures_channel::oneshot;
use futures_util::future::{Either, select};
use platform::TxRequest;
use std::pin::pin;
use std::time::Duration;
use wax_owner::{AskOutcome, RelayDoubt, TxFate, encode_ask, transact};
use wax_types::TimePoint;
use wax_wire::PoolBody;

/// The other way is taken, too, once the first has not led to an answer for this long. A store that
/// is well takes 10 ms; one that is slow takes a second, and suffers from every transaction that
/// comes twice: with both ways taken after 250 ms, 27 of 387 tries on a day with a slow store ended
/// without an answer, with the first way alone none.
const SECOND_ROUTE_DELAY: Duration = Duration::from_millis(1_200);
/// Without a link to the owner, or an answer from it, the next try is after this.
const RELAY_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Sends a transaction, unchanged, until its fate is known by either way or `deadline` has passed.
pub(crate) async fn transact_by_any_route(
    state: &FrontState,
    tx: &TxRequest,
    deadline: TimePoint,
) -> TxFate {
    let _in_flight = InFlightGuard::new(state);
    let shared = &state.shared;
    // While the store is lost to this front, the owner's way goes first.
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
            tracing::info!("the owner has sent a transaction for us");
            resolution
        }
    }
}

/// Counts a transaction for as long as it is under way.
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

/// What the own way says counts if it is certain; else the other way is waited for.
async fn resolve(direct: TxFate, relayed: impl Future<Output = TxFate>) -> TxFate {
    match direct.is_known() {
        true => direct,
        false => direct.join(relayed.await),
    }
}

fn note_direct(state: &FrontState, resolution: &TxFate) {
    state.note_store_answer(resolution.is_known());
}

/// Has the owner send the transaction.
async fn relay_through_owner(state: &FrontState, tx: &TxRequest, deadline: TimePoint) -> TxFate {
    let mut uncertainty = RelayDoubt::default();
    loop {
        let time_left = deadline.since(state.shared.now());
        if time_left.is_zero() {
            return uncertainty.end();
        }
        if !state.is_owner_reachable() {
            // The owner has lost the store as well, or there is none.
            sleep(RELAY_RETRY_PAUSE.min(time_left)).await;
            continue;
        }
        let outcome = send_relay_request(state, tx, time_left).await;
        if let Some(resolution) = uncertainty.take(outcome) {
            return resolution;
        }
        sleep(RELAY_RETRY_PAUSE.min(time_left)).await;
    }
}

async fn send_relay_request(
    state: &FrontState,
    tx: &TxRequest,
    timeout_after: Duration,
) -> AskOutcome {
    let number = state.next_request.get();
    state.next_request.set(number + 1);
    let (sender, answer) = oneshot::channel();
    let request = PoolBody::Relay(encode_ask(number, tx, timeout_after, state.shared.now()));
    let is_sent = match &*state.outbox.borrow() {
        Some(outbox) => outbox.unbounded_send(request).is_ok(),
        None => false,
    };
    if !is_sent {
        return AskOutcome::NotAsked;
    }
    state.pending_relays.borrow_mut().insert(number, sender);
    let reply = timeout(timeout_after, answer).await;
    state.pending_relays.borrow_mut().remove(&number);
    match reply {
        Ok(Ok(reply)) => AskOutcome::Told(reply),
        _ => AskOutcome::NoAnswer,
    }
}
