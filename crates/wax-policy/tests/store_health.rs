//! The store's state follows from measured answers, and the retry delays let callers outlast an
//! outage within their four retries.

use fastrand::Rng;
use std::time::Duration;
use wax_policy::{
    AcceptanceRules, RefusalTable, StoreAnswer, StoreHealth, StoreState, probe_delay, retry_delay,
};
use wax_types::TimePoint;

const RETRIES: u32 = 4;
const SEED: u64 = 7;

const fn at(ms: u64) -> TimePoint {
    TimePoint::from_millis(86_400_000 + ms)
}

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn rules() -> AcceptanceRules {
    AcceptanceRules {
        enabled: 1,
        ..AcceptanceRules::default()
    }
}

/// Returns the health after these calls: time of the answer, time that the call took, result.
fn health(calls: &[(u64, u64, StoreAnswer)]) -> StoreHealth {
    let mut health = StoreHealth::default();
    for &(end, took, answer) in calls {
        health.record(answer, at(end - took), at(end));
    }
    health
}

use StoreAnswer::{Answered, Busy, Lost, Unreachable};

/// Tests the state after some calls, at a time, with or without an owner that reaches the store.
macro_rules! state_tests {
    ($($name:ident: [$($call:expr),*], $now:expr, $relay:expr => $state:ident,)*) => {
        $(
            #[test]
            fn $name() {
                let state = health(&[$($call),*]).state(&rules(), $relay, at($now));
                assert_eq!(state, StoreState::$state);
            }
        )*
    };
}

state_tests! {
    nothing_is_known_without_calls: [], 1_000, false => Unknown,
    an_answer_is_healthy: [(1_000, 5, Answered)], 1_010, false => Healthy,
    an_old_answer_says_nothing: [(1_000, 5, Answered)], 9_000, false => Unknown,
    // A wrong estimate must not refuse callers after one failed call.
    one_failure_is_not_an_outage: [(1_000, 5, Busy)], 3_000, false => Unknown,
    failures_within_the_confirmation_time_are_not_an_outage: [(1_000, 5, Busy), (1_200, 5, Busy)], 1_250, false => Unknown,
    refusals_of_all_calls_are_busy: [(1_000, 5, Busy), (1_300, 5, Busy)], 1_350, false => Busy,
    missing_answers_are_silent: [(2_000, 1_000, Lost), (3_000, 1_000, Lost)], 3_000, false => Silent,
    closed_connections_are_silent: [(1_000, 5, Unreachable), (1_400, 5, Unreachable)], 1_400, false => Silent,
    // The front must use the relay here and refuse nobody.
    an_owner_with_the_store_means_this_front_only: [(1_000, 5, Busy), (1_300, 5, Busy)], 1_350, true => RefusesThisFront,
    a_success_ends_the_outage: [(1_000, 5, Busy), (1_300, 5, Busy), (2_000, 5, Answered)], 2_010, false => Recovering,
    recovery_ends: [(1_000, 5, Busy), (1_300, 5, Busy), (2_000, 5, Answered)], 3_600, false => Healthy,
    a_missing_answer_among_others: [(1_000, 5, Answered), (2_000, 1_100, Lost), (2_010, 5, Answered)], 2_020, false => AnswersLost,
    // A call that was sent before an answer arrived tells nothing of the time after it.
    a_late_loss_is_no_outage: [(1_000, 5, Answered), (1_900, 1_000, Lost), (1_950, 1_000, Lost)], 2_500, false => AnswersLost,
    long_answers_are_slow: [(1_000, 600, Answered), (2_000, 600, Answered), (3_000, 600, Answered)], 3_010, false => Slow,
}

#[test]
fn the_expected_answer_needs_recent_answers() {
    let slow = health(&[
        (1_000, 600, Answered),
        (2_000, 600, Answered),
        (3_000, 600, Answered),
    ]);
    assert_eq!(slow.expected_answer(at(3_100)), Some(ms(600)));
    assert_eq!(slow.expected_answer(at(8_100)), None, "it is outdated");
    let few = health(&[(1_000, 600, Answered), (2_000, 600, Answered)]);
    assert_eq!(few.expected_answer(at(2_100)), None, "too few answers");
}

#[test]
fn a_single_success_does_not_reset_the_age_of_an_outage() {
    let calls = [
        (1_000, 0, Busy),
        (1_300, 0, Busy),
        (5_000, 0, Answered),
        (5_500, 0, Busy),
        (5_900, 0, Busy),
    ];
    assert_eq!(health(&calls).outage_age(at(6_000)), ms(5_000));
    let long_after = [
        (1_000, 0, Busy),
        (1_300, 0, Busy),
        (5_000, 0, Answered),
        (7_000, 0, Busy),
    ];
    assert_eq!(health(&long_after).outage_age(at(7_500)), ms(500));
}

/// A front that had no calls at the start of an outage must not tell callers that it has just begun.
#[test]
fn the_owners_report_gives_the_age_to_a_front_that_was_idle() {
    let mut health = StoreHealth::default();
    assert!(!health.record_owner_report(true, at(1_000)));
    assert!(!health.record_owner_report(true, at(2_000)));
    assert_eq!(health.outage_age(at(4_000)), Duration::ZERO);
    health.record(Busy, at(4_000), at(4_000));
    assert_eq!(health.outage_age(at(4_500)), ms(3_500));
    assert!(health.record_owner_report(false, at(4_600)));
    assert!(!health.record_owner_report(false, at(4_700)));
    assert_eq!(health.outage_age(at(5_000)), ms(1_000));
}

/// What became of a day's submissions around an outage.
#[derive(Debug)]
struct OutageResult {
    given_up: usize,
    /// Mean time from the end of the outage to the acceptance, in seconds.
    mean_overshoot: f64,
    /// Largest number of callers that return within 100 ms after the end.
    max_burst: usize,
}

/// Submits 20 jobs per second during an outage; each caller waits as it is told. With
/// `whole_seconds`, callers read only `retry-after`.
fn play_outage(rules: &AcceptanceRules, outage: Duration, whole_seconds: bool) -> OutageResult {
    let mut rng = Rng::with_seed(SEED);
    let start = at(0);
    let end = start + outage;
    let mut health = StoreHealth::default();
    health.record(Busy, start, start);
    let (mut given_up, mut returns) = (0, Vec::new());
    for number in 0..outage.as_millis() as u64 / 50 {
        let mut now = start + ms(number * 50);
        let mut refusals = 0;
        while now < end && refusals < RETRIES {
            let delay = health.retry_after(rules, refusals, now, &mut rng);
            now = now
                + match whole_seconds {
                    true => Duration::from_secs(delay.as_secs_f64().ceil() as u64),
                    false => delay,
                };
            refusals += 1;
        }
        match now < end {
            true => given_up += 1,
            false => returns.push(now.since(end)),
        }
    }
    let mut bursts = std::collections::HashMap::new();
    for time in &returns {
        *bursts.entry(time.as_millis() / 100).or_insert(0) += 1;
    }
    let total: f64 = returns.iter().map(Duration::as_secs_f64).sum();
    OutageResult {
        given_up,
        mean_overshoot: total / returns.len().max(1) as f64,
        max_burst: bursts.values().copied().max().unwrap_or_default(),
    }
}

/// Tests that every caller outlasts an outage with its four retries, that it is accepted soon after
/// the end, and that returns are spread.
macro_rules! outage_tests {
    ($($name:ident: $outage_ms:expr, $whole_seconds:expr, $max_overshoot:expr, $max_burst:expr,)*) => {
        $(
            #[test]
            fn $name() {
                let result = play_outage(&rules(), ms($outage_ms), $whole_seconds);
                assert_eq!(result.given_up, 0, "seed {SEED}: {result:?}");
                assert!(result.mean_overshoot < $max_overshoot, "seed {SEED}: {result:?}");
                assert!(result.max_burst <= $max_burst, "seed {SEED}: {result:?}");
            }
        )*
    };
}

outage_tests! {
    callers_outlast_1_s: 1_000, false, 2.1, 6,
    callers_outlast_4_5_s: 4_500, false, 1.9, 12,
    callers_outlast_8_s: 8_000, false, 1.9, 12,
    callers_outlast_10_s: 10_000, false, 1.9, 12,
    callers_that_read_whole_seconds_outlast_4_5_s: 4_500, true, 2.6, 12,
    callers_that_read_whole_seconds_outlast_8_s: 8_000, true, 2.4, 12,
    callers_that_read_whole_seconds_outlast_10_s: 10_000, true, 2.4, 12,
}

/// The delay without any jitter must already outlast 10 s for a caller that is refused at the start.
#[test]
fn four_delays_without_jitter_add_up_to_10_s() {
    let mut age = Duration::ZERO;
    for _ in 0..RETRIES {
        age += retry_delay(&rules(), age);
    }
    assert!(age >= ms(10_000), "{age:?}");
}

/// Returns rules with these delays: at the start, growth with the age, end of the growth.
fn delays(start_ms: u64, growth: f64, steady_ms: u64) -> AcceptanceRules {
    AcceptanceRules {
        min_retry_after: ms(start_ms),
        growth,
        steady_retry_after: ms(steady_ms),
        max_retry_after: ms(steady_ms.max(start_ms)),
        ..rules()
    }
}

/// Guards the choice of the rules: a constant delay of 0.7 s loses callers, a delay that grows up to
/// 6 s keeps them waiting after the end, and a short first delay must be made up for by later ones.
#[test]
fn other_delays_lose_callers_or_let_them_wait_longer() {
    let chosen = play_outage(&rules(), ms(8_000), false);
    let constant = play_outage(&delays(700, 0.0, 700), ms(8_000), false);
    assert!(constant.given_up > 80, "{constant:?}");
    let others = [
        delays(700, 1.0, 6_000),
        delays(700, 1.5, 6_000),
        delays(700, 2.5, 6_000),
        delays(700, 2.5, 3_500),
        delays(700, 3.0, 3_500),
    ];
    for other in others {
        let other = play_outage(&other, ms(8_000), false);
        assert_eq!(other.given_up, 0, "seed {SEED}: {other:?}");
        assert!(
            other.mean_overshoot > 1.1 * chosen.mean_overshoot,
            "seed {SEED}: {other:?}, {chosen:?}"
        );
    }
    let constant = delays(2_500, 0.0, 2_500);
    for rules in others.iter().chain([&rules(), &constant]) {
        for (outage_ms, whole_seconds) in [1_000, 4_500, 8_000, 10_000, 16_000]
            .into_iter()
            .flat_map(|outage| [(outage, false), (outage, true)])
        {
            let result = play_outage(rules, ms(outage_ms), whole_seconds);
            println!(
                "{} ms, {}, {} ms; outage {outage_ms} ms, whole seconds {whole_seconds}: {result:?}",
                rules.min_retry_after.as_millis(),
                rules.growth,
                rules.steady_retry_after.as_millis(),
            );
        }
    }
}

/// A caller whose four refusals come from fronts that each see the outage for the first time.
#[test]
fn four_first_delays_outlast_half_of_an_outage_of_10_s() {
    let total = retry_delay(&rules(), Duration::ZERO) * RETRIES;
    assert!(total >= ms(5_000), "{total:?}");
}

#[test]
fn a_caller_that_was_refused_before_returns_earlier_than_a_new_one() {
    let health = health(&[(1_000, 0, Busy), (1_400, 0, Busy)]);
    for seed in 0..100 {
        let mut rng = Rng::with_seed(seed);
        let first = health.retry_after(&rules(), 0, at(3_000), &mut rng);
        let repeated = health.retry_after(&rules(), 1, at(3_000), &mut rng);
        assert!(repeated <= first, "seed {seed}: {repeated:?}, {first:?}");
    }
}

#[test]
fn delays_stay_within_their_bounds_and_grow_with_the_age() {
    let mut last = Duration::ZERO;
    for age in 0..600 {
        let delay = retry_delay(&rules(), ms(age * 100));
        assert!(delay >= last && delay >= rules().min_retry_after && delay <= ms(6_000));
        last = delay;
    }
    assert_eq!(last, ms(6_000), "a long outage reaches the maximum");
}

/// The store counts all calls: the probes of all fronts must stay within the rate.
#[test]
fn the_probes_of_all_fronts_stay_within_the_rate() {
    for fronts in [1, 9, 12, 183] {
        let mut rng = Rng::with_seed(SEED);
        let mut total = Duration::ZERO;
        for _ in 0..1_000 {
            total += probe_delay(&rules(), fronts, &mut rng);
        }
        let rate = fronts as f64 * 1_000.0 / total.as_secs_f64();
        assert!(rate <= rules().probe_rate * 1.05, "{fronts}: {rate}");
    }
}

/// A caller must not be told "not accepted" while an earlier transaction may store its job.
#[test]
fn a_job_stays_unresolved_while_its_transaction_may_take_effect() {
    let mut table = RefusalTable::default();
    table.record_unresolved(1, at(0));
    assert!(table.is_unresolved(1, at(14_000)));
    assert!(!table.is_unresolved(2, at(14_000)));
    assert!(!table.is_unresolved(1, at(15_000)));
    table.record_unresolved(3, at(15_000));
    table.remove(3);
    assert!(!table.is_unresolved(3, at(15_000)));
}

#[test]
fn the_memory_of_refusals_is_bounded_and_forgets() {
    let mut table = RefusalTable::default();
    assert_eq!(table.record(1, at(0)), 0);
    assert_eq!(table.record(1, at(500)), 1);
    assert_eq!(table.get(1).map(|job| job.first_at), Some(at(0)));
    table.remove(1);
    assert_eq!(table.record(1, at(900)), 0, "the job was accepted before");
    for job in 2..10_000 {
        table.record(job, at(1_000));
    }
    assert!(table.len() <= 4_096, "{}", table.len());
    assert_eq!(table.get(9_999).map(|job| job.count), Some(1));
    table.record(20_000, at(100_000));
    assert_eq!(table.len(), 1, "refusals are forgotten after a minute");
}
