//! The owner's way to the store through a front, while the store turns its own machine away.
//!
//! The chain's conditions let each transaction take effect once, whichever way it goes. An owner that
//! can write only so has no feed of jobs: it lets go, orderly, and a front with the store takes over at
//! once, instead of after 2.2 s of a still row and with 15 s for what was not heard.

use crate::fate::TxFate;
use crate::relay::{AskOutcome, RelayDoubt, encode_ask};
use crate::shared::PoolShared;
use crate::tenure::Tenure;
use compio::time::{sleep, timeout};
use futures_channel::oneshot;
use platform::TxRequest;
use std::time::Duration;
use wax_wire::PoolBody;

/// A front is asked once the own way has led to no answer for this long: a slow store suffers from
/// each transaction that comes twice.
const ASK_AFTER: Duration = Duration::from_millis(1_200);
/// How long a front may take.
const ASK_LIMIT: Duration = Duration::from_millis(1_000);
/// Between two tries.
const ASK_PAUSE: Duration = Duration::from_millis(200);
/// An answer sooner than this shows that the store serves others well.
const SERVES_WELL: Duration = Duration::from_millis(400);
/// A front that was heard this lately can be asked.
const HEARD_LATELY: Duration = Duration::from_millis(600);

/// Has fronts send a transaction until one of them knows its fate.
///
/// Second: whether the store serves others well.
pub(crate) async fn send_by_front(
    shared: &PoolShared,
    tenure: &Tenure,
    tx: &TxRequest,
) -> (TxFate, bool) {
    if !tenure.store_turns_away.get() {
        sleep(ASK_AFTER).await;
    }
    let mut doubt = RelayDoubt::default();
    loop {
        let asked = shared.now();
        let outcome = ask_front(shared, tenure, tx).await;
        if let Some(fate) = doubt.take(outcome).filter(TxFate::is_known) {
            return (fate, shared.now().since(asked) < SERVES_WELL);
        }
        sleep(ASK_PAUSE).await;
    }
}

async fn ask_front(shared: &PoolShared, tenure: &Tenure, tx: &TxRequest) -> AskOutcome {
    let number = tenure.next_front_link();
    let ask = PoolBody::RelayRequest(encode_ask(number, tx, ASK_LIMIT, shared.now()));
    if !hand_to_front(shared, tenure, ask) {
        return AskOutcome::NotAsked;
    }
    let (sender, answer) = oneshot::channel();
    tenure.relays.borrow_mut().insert(number, sender);
    let told = timeout(ASK_LIMIT, answer).await;
    tenure.relays.borrow_mut().remove(&number);
    match told {
        Ok(Ok(told)) => AskOutcome::Told(told),
        _ => AskOutcome::NoAnswer,
    }
}

/// Hands a message to the strongest front that has the store; says whether there is one.
fn hand_to_front(shared: &PoolShared, tenure: &Tenure, ask: PoolBody) -> bool {
    if tenure.over.is_raised() {
        return false;
    }
    let now = shared.now();
    let fronts = tenure.fronts.borrow();
    let served = fronts
        .values()
        .filter(|front| !front.store_lost && now.since(front.heard_at) <= HEARD_LATELY);
    let best = served.max_by_key(|front| front.fitness);
    best.is_some_and(|front| front.outbox.unbounded_send(ask).is_ok())
}
