//! Checks that a transaction is reported as not run only if no attempt can take effect any more.

use compio::runtime::Runtime;
use platform::{StoreClient, TxRequest};
use proptest::prelude::*;
use std::time::Duration;
use wax_owner::{
    PoolShared, RelayAttempt, RelayTracker, TransitDelay, TxResolution, encode_relay_request,
    relay_transaction,
};
use wax_types::{ErrorKind, Step, TimePoint, WaxError};
use wax_wire::{RelayReply, RelayResult};

fn any_error() -> WaxError {
    WaxError::new(ErrorKind::Timeout, Step::SubmitJob, "store", "no answer")
}

fn answered(result: RelayResult) -> RelayAttempt {
    RelayAttempt::Answered(RelayReply {
        result: result.into(),
        ..Default::default()
    })
}

/// One attempt to send a transaction.
#[derive(Debug, Clone, Copy)]
enum Attempt {
    /// The store was called, but nothing was sent.
    NotSent,
    /// The store was called, and no answer came, because the link broke or the answer was lost.
    NoStoreAnswer,
    /// There was no link to the owner.
    NoLink,
    /// The request was handed to a link, which broke, or whose owner reads the request late or
    /// never.
    NoAnswer,
    /// The owner answered that it does not know the transaction's effect.
    OwnerIndeterminate,
    /// The owner sent nothing, because its store was down or the request arrived too late.
    OwnerSentNothing,
    /// The store refused the transaction that the owner sent.
    OwnerRefused,
}

impl Attempt {
    fn may_take_effect(self) -> bool {
        matches!(
            self,
            Self::NoStoreAnswer | Self::NoAnswer | Self::OwnerIndeterminate
        )
    }
}

fn any_attempt() -> impl Strategy<Value = Attempt> {
    prop_oneof![
        Just(Attempt::NotSent),
        Just(Attempt::NoStoreAnswer),
        Just(Attempt::NoLink),
        Just(Attempt::NoAnswer),
        Just(Attempt::OwnerIndeterminate),
        Just(Attempt::OwnerSentNothing),
        Just(Attempt::OwnerRefused),
    ]
}

/// Returns the result that the caller gets after these attempts, in this order.
fn resolve(attempts: &[Attempt]) -> TxResolution {
    let mut tracker = RelayTracker::default();
    let mut direct = TxResolution::NotSent(any_error());
    let mut relayed = None;
    for attempt in attempts {
        let outcome = match attempt {
            Attempt::NotSent => continue,
            Attempt::NoStoreAnswer => {
                direct = TxResolution::Unknown(any_error());
                continue;
            }
            Attempt::NoLink => RelayAttempt::NoLink,
            Attempt::NoAnswer => RelayAttempt::NoAnswer,
            Attempt::OwnerIndeterminate => answered(RelayResult::Unknown),
            Attempt::OwnerSentNothing => answered(RelayResult::NotSent),
            Attempt::OwnerRefused => answered(RelayResult::Refused),
        };
        relayed = relayed.or(tracker.record(outcome));
    }
    direct.join(relayed.unwrap_or_else(|| tracker.finish()))
}

proptest! {
    #[test]
    fn no_not_run_answer_while_an_attempt_may_take_effect(
        attempts in proptest::collection::vec(any_attempt(), 0..12),
    ) {
        let refused = matches!(resolve(&attempts), TxResolution::NotSent(_) | TxResolution::Refused(_));
        let may_run = attempts.iter().any(|attempt| attempt.may_take_effect());
        // A refusal by the owner ends the attempts; later ones are not made.
        let ended = attempts
            .iter()
            .position(|attempt| matches!(attempt, Attempt::OwnerRefused));
        let tried = &attempts[..ended.map_or(attempts.len(), |end| end + 1)];
        let may_run_tried = tried.iter().any(|attempt| attempt.may_take_effect());
        prop_assert!(!(refused && may_run_tried), "{attempts:?}");
        prop_assert!(refused || may_run, "indeterminate without a reason: {attempts:?}");
    }
}

#[test]
fn request_on_a_broken_link_may_still_take_effect() {
    let mut tracker = RelayTracker::default();
    assert!(tracker.record(RelayAttempt::NoAnswer).is_none());
    // Replies to later requests do not settle the first one.
    assert!(tracker.record(answered(RelayResult::NotSent)).is_none());
    assert!(tracker.record(RelayAttempt::NoLink).is_none());
    assert!(matches!(tracker.finish(), TxResolution::Unknown(_)));
}

#[test]
fn delay_is_measured_against_the_fastest_heartbeat() {
    let at = |millis| TimePoint::from_millis(millis);
    let mut delay = TransitDelay::default();
    assert_eq!(
        delay.delay_of(7, at(50)),
        Duration::ZERO,
        "no heartbeat has been recorded yet"
    );
    // The peer's clock is 90 s behind, and its heartbeats take 5 ms and 2 ms.
    delay.record_heartbeat(10_000_000, at(100_005));
    delay.record_heartbeat(10_200_000, at(100_202));
    let sent_us = 11_000_000;
    assert_eq!(delay.delay_of(sent_us, at(101_002)), Duration::ZERO);
    let late = delay.delay_of(sent_us, at(104_002));
    assert_eq!(late, Duration::from_secs(3));
}

#[test]
fn late_transaction_is_not_sent() {
    let unused_address = "127.0.0.1:9".parse().expect("an address");
    let store = StoreClient::new(unused_address);
    let shared = PoolShared::new("front", unused_address, store, None, Duration::from_secs(1));
    let wait = Duration::from_millis(900);
    let request = encode_relay_request(4, &TxRequest::default(), wait, TimePoint::default());
    let runtime = Runtime::new().expect("the runtime starts");
    let answer = runtime.block_on(relay_transaction(&shared, request, wait));
    assert_eq!(
        (answer.request_id, answer.result()),
        (4, RelayResult::NotSent)
    );
}
