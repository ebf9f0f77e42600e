//! "Not run" is said only where no try can take effect any more.

use compio::runtime::Runtime;
use platform::{StoreClient, TxRequest};
use proptest::prelude::*;
use std::time::Duration;
use wax_owner::{
    PoolShared, RelayAttempt, RelayTracker, TransitDelay, TxResolution, encode_relay_request,
    relay_transaction,
};
use wax_types::{ErrorKind, Step, TimePoint, WaxError};
use wax_wire::{RelayFate, RelayTold};

fn any_error() -> WaxError {
    WaxError::new(ErrorKind::Timeout, Step::SubmitJob, "store", "no answer")
}

fn answered(fate: RelayFate) -> RelayAttempt {
    RelayAttempt::Answered(RelayTold {
        fate: fate.into(),
        ..Default::default()
    })
}

/// One try of a transaction, and whether it may still take effect later.
#[derive(Debug, Clone, Copy)]
enum Attempt {
    /// The store is called and nothing goes out.
    NotSent,
    /// The store is called and no answer comes: a link breaks, an answer is lost.
    NoStoreAnswer,
    /// No link stands.
    NoLink,
    /// The question is handed to a link, which breaks, or whose owner reads it late or never.
    NoAnswer,
    /// The owner does not know either.
    OwnerIndeterminate,
    /// The owner has sent nothing: its store is down, or the question came too late.
    OwnerSentNothing,
    /// The owner's store takes no such transaction.
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

/// What the caller is told after these tries, in this order.
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
            Attempt::OwnerIndeterminate => answered(RelayFate::Unknown),
            Attempt::OwnerSentNothing => answered(RelayFate::NotSent),
            Attempt::OwnerRefused => answered(RelayFate::Refused),
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
        // A refusal by the owner ends the asking: what comes after it is not tried.
        let ended = attempts
            .iter()
            .position(|attempt| matches!(attempt, Attempt::OwnerRefused));
        let tried = &attempts[..ended.map_or(attempts.len(), |end| end + 1)];
        let may_run_tried = tried.iter().any(|attempt| attempt.may_take_effect());
        prop_assert!(!(refused && may_run_tried), "{attempts:?}");
        prop_assert!(refused || may_run, "doubt without a reason: {attempts:?}");
    }
}

#[test]
fn request_on_a_broken_link_may_still_take_effect() {
    let mut tracker = RelayTracker::default();
    assert!(tracker.record(RelayAttempt::NoAnswer).is_none());
    // No later word about another question ends that doubt.
    assert!(tracker.record(answered(RelayFate::NotSent)).is_none());
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
        "nothing is known yet"
    );
    // The peer's clock is 90 s behind ours; its heartbeats take 5 and 2 ms.
    delay.record_heartbeat(10_000_000, at(100_005));
    delay.record_heartbeat(10_200_000, at(100_202));
    let asked_us = 11_000_000;
    assert_eq!(delay.delay_of(asked_us, at(101_002)), Duration::ZERO);
    let late = delay.delay_of(asked_us, at(104_002));
    assert_eq!(late, Duration::from_secs(3));
}

#[test]
fn late_transaction_is_not_sent() {
    let nowhere = "127.0.0.1:9".parse().expect("an address");
    let store = StoreClient::new(nowhere);
    let shared = PoolShared::new("front", nowhere, store, None, Duration::from_secs(1));
    let wait = Duration::from_millis(900);
    let request = encode_relay_request(4, &TxRequest::default(), wait, TimePoint::default());
    let runtime = Runtime::new().expect("the runtime starts");
    let answer = runtime.block_on(relay_transaction(&shared, request, wait));
    assert_eq!((answer.ask, answer.fate()), (4, RelayFate::NotSent));
}
