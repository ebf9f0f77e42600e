//! The owner's way to the store through a front, while the store turns its own machine away.
//!
//! The chain's conditions let each transaction take effect once, whichever way it goes. An owner that
//! can write only so has no feed of jobs: it lets go, orderly, and a front with the store takes over at
//! once, instead of after 2.2 s of a still row and with 15 s for what was not heard.

use crate::owner_term::OwnerTerm;
use crate::relay::{RelayAttempt, RelayTracker, encode_relay_request};
use crate::shared::PoolShared;
use crate::tx_resolution::TxResolution;
use compio::time::{sleep, timeout};
use futures_channel::oneshot;
use platform::TxRequest;
use std::time::Duration;
use wax_wire::PoolBody;

/// A front is asked once the own way has led to no answer for this long: a slow store suffers from
/// each transaction that comes twice.
const RELAY_DELAY: Duration = Duration::from_millis(1_200);
/// How long a front may take.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Between two tries.
const RELAY_RETRY_DELAY: Duration = Duration::from_millis(200);
/// An answer sooner than this shows that the store serves others well.
const STORE_HEALTHY_LATENCY: Duration = Duration::from_millis(400);
/// A front that was heard this lately can be asked.
const FRONT_MAX_SILENCE: Duration = Duration::from_millis(600);

/// Has fronts send a transaction until one of them knows its fate.
///
/// Second: whether the store serves others well.
pub(crate) async fn transact_via_front(
    shared: &PoolShared,
    term: &OwnerTerm,
    tx: &TxRequest,
) -> (TxResolution, bool) {
    if !term.write_relayed.get() {
        sleep(RELAY_DELAY).await;
    }
    let mut tracker = RelayTracker::default();
    loop {
        let sent_at = shared.now();
        let attempt = relay_via_front(shared, term, tx).await;
        if let Some(resolution) = tracker.record(attempt).filter(TxResolution::is_known) {
            return (
                resolution,
                shared.now().since(sent_at) < STORE_HEALTHY_LATENCY,
            );
        }
        sleep(RELAY_RETRY_DELAY).await;
    }
}

async fn relay_via_front(shared: &PoolShared, term: &OwnerTerm, tx: &TxRequest) -> RelayAttempt {
    let id = term.next_front_id();
    let request = PoolBody::Relay(encode_relay_request(id, tx, RELAY_TIMEOUT, shared.now()));
    if !send_to_best_front(shared, term, request) {
        return RelayAttempt::NoLink;
    }
    let (sender, answer) = oneshot::channel();
    term.pending_relays.borrow_mut().insert(id, sender);
    let reply = timeout(RELAY_TIMEOUT, answer).await;
    term.pending_relays.borrow_mut().remove(&id);
    match reply {
        Ok(Ok(reply)) => RelayAttempt::Answered(reply),
        _ => RelayAttempt::NoAnswer,
    }
}

/// Hands a message to the strongest front that has the store; says whether there is one.
fn send_to_best_front(shared: &PoolShared, term: &OwnerTerm, request: PoolBody) -> bool {
    if term.ended.is_raised() {
        return false;
    }
    let now = shared.now();
    let fronts = term.fronts.borrow();
    let reachable = fronts.values().filter(|front| {
        !front.store_lost && now.since(front.last_heartbeat_at) <= FRONT_MAX_SILENCE
    });
    let best = reachable.max_by_key(|front| front.fitness);
    best.is_some_and(|front| front.outbox.unbounded_send(request).is_ok())
}
