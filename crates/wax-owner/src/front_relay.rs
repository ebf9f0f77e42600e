//! Sends the owner's transactions through a front while the store does not answer the owner's VM.
//!
//! The conditions of the write chain ensure that each transaction takes effect at most once,
//! whichever path it takes. An owner that can write only through a front has no job feed. It
//! therefore releases the term, and a front that reaches the store takes over at once. Without the
//! release, the takeover would start only after the heartbeat row has been unchanged for 2.2 s, and
//! unreconciled runs would be held back for 15 s.

use crate::owner_term::OwnerTerm;
use crate::relay::{RelayAttempt, RelayTracker, encode_relay_request};
use crate::shared::PoolShared;
use crate::tx_resolution::TxResolution;
use compio::time::{sleep, timeout};
use futures_channel::oneshot;
use platform::TxRequest;
use std::time::Duration;
use wax_wire::PoolBody;

/// Time without an answer on the direct path after which a front is asked to relay. A store that is
/// only slow is slowed further by each transaction that is sent twice.
const RELAY_DELAY: Duration = Duration::from_millis(1_200);
/// Timeout for one relay request to a front.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Delay between two relay requests.
const RELAY_RETRY_DELAY: Duration = Duration::from_millis(200);
/// A relayed transaction that is answered within this time shows that the store serves other VMs
/// well.
const STORE_HEALTHY_LATENCY: Duration = Duration::from_millis(400);
/// A front whose last heartbeat is at most this old can be asked to relay.
const FRONT_MAX_SILENCE: Duration = Duration::from_millis(600);

/// Asks fronts to send a transaction until one of them reports a known result.
///
/// Also returns whether the store answered the front quickly.
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
    let request = PoolBody::RelayRequest(encode_relay_request(id, tx, RELAY_TIMEOUT, shared.now()));
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

/// Sends a message to the strongest front that reaches the store; returns whether there is one.
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
