//! "Not run" is said only where no try can take effect any more.

use compio::runtime::Runtime;
use platform::{StoreClient, TxRequest};
use proptest::prelude::*;
use std::time::Duration;
use wax_owner::{
    AskOutcome, PeerAge, PoolShared, RelayDoubt, TxFate, encode_ask, relay_transaction,
};
use wax_types::{ErrorKind, Step, TimePoint, WaxError};
use wax_wire::{RelayReply, RelayResult};

fn error() -> WaxError {
    WaxError::new(ErrorKind::Timeout, Step::SubmitJob, "store", "no answer")
}

fn told(fate: RelayResult) -> AskOutcome {
    AskOutcome::Told(RelayReply {
        result: fate.into(),
        ..Default::default()
    })
}

/// One try of a transaction, and whether it may still take effect later.
#[derive(Debug, Clone, Copy)]
enum Try {
    /// The store is called and nothing goes out.
    NotSent,
    /// The store is called and no answer comes: a link breaks, an answer is lost.
    Lost,
    /// No link stands.
    NotAsked,
    /// The question is handed to a link, which breaks, or whose owner reads it late or never.
    NoAnswer,
    /// The owner does not know either.
    OwnerUnsure,
    /// The owner has sent nothing: its store is down, or the question came too late.
    OwnerSentNothing,
    /// The owner's store takes no such transaction.
    OwnerRefused,
}

impl Try {
    fn may_take_effect(self) -> bool {
        matches!(self, Self::Lost | Self::NoAnswer | Self::OwnerUnsure)
    }
}

fn any_try() -> impl Strategy<Value = Try> {
    prop_oneof![
        Just(Try::NotSent),
        Just(Try::Lost),
        Just(Try::NotAsked),
        Just(Try::NoAnswer),
        Just(Try::OwnerUnsure),
        Just(Try::OwnerSentNothing),
        Just(Try::OwnerRefused),
    ]
}

/// What the caller is told after these tries, in this order.
fn verdict(tries: &[Try]) -> TxFate {
    let mut doubt = RelayDoubt::default();
    let mut own = TxFate::NotSent(error());
    let mut relayed = None;
    for step in tries {
        let outcome = match step {
            Try::NotSent => continue,
            Try::Lost => {
                own = TxFate::Unknown(error());
                continue;
            }
            Try::NotAsked => AskOutcome::NotAsked,
            Try::NoAnswer => AskOutcome::NoAnswer,
            Try::OwnerUnsure => told(RelayResult::Unknown),
            Try::OwnerSentNothing => told(RelayResult::NotSent),
            Try::OwnerRefused => told(RelayResult::Refused),
        };
        relayed = relayed.or(doubt.take(outcome));
    }
    own.join(relayed.unwrap_or_else(|| doubt.end()))
}

proptest! {
    #[test]
    fn no_order_of_loss_and_delay_leads_to_a_false_refusal(
        tries in proptest::collection::vec(any_try(), 0..12),
    ) {
        let refused = matches!(verdict(&tries), TxFate::NotSent(_) | TxFate::Refused(_));
        let may_run = tries.iter().any(|step| step.may_take_effect());
        // A refusal by the owner ends the asking: what comes after it is not tried.
        let ended = tries
            .iter()
            .position(|step| matches!(step, Try::OwnerRefused));
        let tried = &tries[..ended.map_or(tries.len(), |end| end + 1)];
        let may_run_tried = tried.iter().any(|step| step.may_take_effect());
        prop_assert!(!(refused && may_run_tried), "{tries:?}");
        prop_assert!(refused || may_run, "doubt without a reason: {tries:?}");
    }
}

#[test]
fn a_question_whose_link_broke_may_still_be_carried_out() {
    let mut doubt = RelayDoubt::default();
    assert!(doubt.take(AskOutcome::NoAnswer).is_none());
    // No later word about another question ends that doubt.
    assert!(doubt.take(told(RelayResult::NotSent)).is_none());
    assert!(doubt.take(AskOutcome::NotAsked).is_none());
    assert!(matches!(doubt.end(), TxFate::Unknown(_)));
}

#[test]
fn the_age_of_a_message_is_counted_from_the_fastest_heartbeat() {
    let at = |millis| TimePoint::from_millis(millis);
    let mut age = PeerAge::default();
    assert_eq!(age.of(7, at(50)), Duration::ZERO, "nothing is known yet");
    // The peer's clock is 90 s behind ours; its heartbeats take 5 and 2 ms.
    age.heartbeat(10_000_000, at(100_005));
    age.heartbeat(10_200_000, at(100_202));
    let asked_us = 11_000_000;
    assert_eq!(age.of(asked_us, at(101_002)), Duration::ZERO);
    let late = age.of(asked_us, at(104_002));
    assert_eq!(late, Duration::from_secs(3));
}

#[test]
fn a_transaction_that_came_too_late_is_not_sent() {
    let nowhere = "127.0.0.1:9".parse().expect("an address");
    let store = StoreClient::new(nowhere);
    let shared = PoolShared::new("front", nowhere, store, None, Duration::from_secs(1));
    let wait = Duration::from_millis(900);
    let ask = encode_ask(4, &TxRequest::default(), wait, TimePoint::default());
    let runtime = Runtime::new().expect("the runtime starts");
    let answer = runtime.block_on(relay_transaction(&shared, ask, wait));
    assert_eq!(
        (answer.request_id, answer.result()),
        (4, RelayResult::NotSent)
    );
}
