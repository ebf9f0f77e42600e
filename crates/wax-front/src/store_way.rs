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
use wax_owner::{RelayAttempt, RelayTracker, TxResolution, encode_relay_request, transact};
use wax_types::TimePoint;
use wax_wire::PoolBody;

/// The other way is taken, too, once the first has not led to an answer for this long. A store that
/// is well takes 10 ms; one that is slow takes a second, and suffers from every transaction that
/// comes twice: with both ways taken after 250 ms, 27 of 387 tries on a day with a slow store ended
/// without an answer, with the first way alone none.
const JOIN_AFTER: Duration = Duration::from_millis(1_200);
/// Without a link to the owner, or an answer from it, the next try is after this.
const RELAY_PAUSE: Duration = Duration::from_millis(100);

/// Sends a transaction, unchanged, until its fate is known by either way or `deadline` has passed.
pub(crate) async fn transact_any_way(
    state: &FrontState,
    tx: &TxRequest,
    deadline: TimePoint,
) -> TxResolution {
    let _under_way = UnderWay::new(state);
    let shared = &state.shared;
    // While the store is lost to this front, the owner's way goes first.
    let lost = state.store_lost.get().is_some() && state.hears_owner();
    let (own_wait, other_wait) = match lost {
        true => (JOIN_AFTER, Duration::ZERO),
        false => (Duration::ZERO, JOIN_AFTER),
    };
    let direct = pin!(async {
        sleep(own_wait).await;
        transact(&shared.store, shared.clock, tx, deadline).await
    });
    let relayed = pin!(async {
        sleep(other_wait).await;
        relay(state, tx, deadline).await
    });
    match select(direct, relayed).await {
        Either::Left((fate, relayed)) => {
            note_direct(state, &fate);
            settle(fate, relayed).await
        }
        Either::Right((fate, direct)) => {
            if !fate.is_known() {
                let own = direct.await;
                note_direct(state, &own);
                return fate.join(own);
            }
            state.note_store(false);
            tracing::info!("the owner has sent a transaction for us");
            fate
        }
    }
}

/// Counts a transaction for as long as it is under way.
struct UnderWay<'a>(&'a FrontState);

impl<'a> UnderWay<'a> {
    fn new(state: &'a FrontState) -> Self {
        state.unanswered.set(state.unanswered.get() + 1);
        Self(state)
    }
}

impl Drop for UnderWay<'_> {
    fn drop(&mut self) {
        self.0.unanswered.set(self.0.unanswered.get() - 1);
    }
}

/// What the own way says counts if it is certain; else the other way is waited for.
async fn settle(own: TxResolution, relayed: impl Future<Output = TxResolution>) -> TxResolution {
    match own.is_known() {
        true => own,
        false => own.join(relayed.await),
    }
}

fn note_direct(state: &FrontState, fate: &TxResolution) {
    state.note_store(fate.is_known());
}

/// Has the owner send the transaction.
async fn relay(state: &FrontState, tx: &TxRequest, deadline: TimePoint) -> TxResolution {
    let mut tracker = RelayTracker::default();
    loop {
        let left = deadline.since(state.shared.now());
        if left.is_zero() {
            return tracker.finish();
        }
        if !state.hears_owner() {
            // The owner has lost the store as well, or there is none.
            sleep(RELAY_PAUSE.min(left)).await;
            continue;
        }
        let outcome = ask_owner(state, tx, left).await;
        if let Some(fate) = tracker.record(outcome) {
            return fate;
        }
        sleep(RELAY_PAUSE.min(left)).await;
    }
}

async fn ask_owner(state: &FrontState, tx: &TxRequest, wait: Duration) -> RelayAttempt {
    let number = state.next_ask.get();
    state.next_ask.set(number + 1);
    let (sender, answer) = oneshot::channel();
    let ask = PoolBody::RelayRequest(encode_relay_request(number, tx, wait, state.shared.now()));
    let handed = match &*state.outbox.borrow() {
        Some(outbox) => outbox.unbounded_send(ask).is_ok(),
        None => false,
    };
    if !handed {
        return RelayAttempt::NoLink;
    }
    state.relays.borrow_mut().insert(number, sender);
    let told = timeout(wait, answer).await;
    state.relays.borrow_mut().remove(&number);
    match told {
        Ok(Ok(told)) => RelayAttempt::Answered(told),
        _ => RelayAttempt::NoAnswer,
    }
}
