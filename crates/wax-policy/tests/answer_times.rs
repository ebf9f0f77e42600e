//! Time-outs from measured response times, and the schedule of the copies of a call.

use std::time::Duration;
use wax_policy::{AnswerTimes, OrderRules, ResendChoice, ResendPlan, SilenceClock};
use wax_types::TimePoint;

const CEILING: Duration = Duration::from_millis(700);

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(1_000_000 + millis)
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn floor() -> Duration {
    OrderRules::default().min_resend_delay
}

fn answered(times: &[u64]) -> AnswerTimes {
    let mut answers = AnswerTimes::default();
    for time in times {
        answers.record_answer(at(0), ms(*time));
    }
    answers
}

/// Guards against copies that are sent without knowing the worker's response times.
#[test]
fn too_few_or_too_old_answers_give_no_time_out() {
    assert_eq!(
        answered(&[2; 7]).resend_after(at(0), floor(), CEILING),
        None
    );
    let known = answered(&[2; 8]);
    assert_eq!(known.resend_after(at(0), floor(), CEILING), Some(ms(40)));
    assert_eq!(known.resend_after(at(31_000), floor(), CEILING), None);
}

/// Guards against copies for each call to a worker that is slow but answers.
#[test]
fn time_out_follows_a_slow_worker_between_floor_and_ceiling() {
    let slow: Vec<u64> = (0..40).map(|index| 30 + index % 10).collect();
    let delay = answered(&slow).resend_after(at(0), floor(), CEILING);
    let delay = delay.expect("there are enough answers");
    assert!(slow.iter().all(|time| delay > ms(*time)), "{delay:?}");
    assert_eq!(
        answered(&[600; 20]).resend_after(at(0), floor(), CEILING),
        Some(CEILING)
    );
}

/// Guards against time-outs that stay long after a worker has become fast again.
#[test]
fn old_answers_are_replaced_by_new_ones() {
    let mut times = answered(&[200; 64]);
    for _ in 0..64 {
        times.record_answer(at(1_000), ms(3));
    }
    let delay = times.resend_after(at(1_000), floor(), CEILING);
    assert_eq!(delay, Some(ms(40)));
}

/// Guards against a change of state for each single loss.
#[test]
fn several_recent_losses_show_that_calls_are_lost() {
    let mut times = AnswerTimes::default();
    times.record_loss(at(0));
    times.record_loss(at(100));
    assert!(!times.is_losing_calls(at(100), false));
    times.record_loss(at(200));
    assert!(times.is_losing_calls(at(200), false));
    // The state lasts until the last loss is old: it must not change with each call.
    assert!(times.is_losing_calls(at(3_200), true));
    assert!(!times.is_losing_calls(at(3_201), true));
}

/// Returns the times at which copies are sent, if the process runs at each time that the plan asks for.
fn send_times(mut plan: ResendPlan) -> Vec<u64> {
    let mut now = at(0);
    let mut sent = Vec::new();
    loop {
        match plan.choose(now) {
            ResendChoice::Send => {
                sent.push(now.since(at(0)).as_millis() as u64);
                plan.note_sent(now);
            }
            ResendChoice::Wait(wait) => now = now + wait,
            ResendChoice::GiveUp => return sent,
        }
    }
}

#[test]
fn delays_between_copies_double_within_the_total_time() {
    let plan = ResendPlan::new(at(0), ms(40), at(700), 5);
    assert_eq!(send_times(plan), [0, 40, 120, 280, 600]);
    let plan = ResendPlan::new(at(0), ms(40), at(700), 3);
    assert_eq!(send_times(plan), [0, 40, 120]);
}

/// Guards against a behaviour other than that without the section while nothing is known.
#[test]
fn call_with_the_ceiling_as_its_time_out_is_sent_once() {
    let plan = ResendPlan::new(at(0), CEILING, at(700), 5);
    assert_eq!(send_times(plan), [0]);
}

/// Guards against copies of each hold: the worker holds back its answer while no run ends.
#[test]
fn copies_of_a_hold_follow_only_after_its_wait() {
    let plan = ResendPlan::new(at(0), ms(40), at(1_050), 5).with_first_wait(ms(250));
    assert_eq!(send_times(plan), [0, 290, 370, 530, 850]);
}

/// Guards against a burst of copies from a process that was suspended: they would be executed long after the
/// decision to send them.
#[test]
fn suspended_process_sends_no_copies_that_are_overdue() {
    let mut plan = ResendPlan::new(at(0), ms(40), at(700), 5);
    plan.note_sent(at(0));
    assert_eq!(plan.choose(at(5_000)), ResendChoice::GiveUp);
    // After a shorter suspension one copy is due, and the next only after the full delay.
    assert_eq!(plan.choose(at(500)), ResendChoice::Send);
    plan.note_sent(at(500));
    assert_eq!(plan.choose(at(500)), ResendChoice::Wait(ms(80)));
}

/// Guards against copies although the owner's authority has ended.
#[test]
fn stopped_plan_still_waits_for_answers() {
    let mut plan = ResendPlan::new(at(0), ms(40), at(700), 5);
    plan.note_sent(at(0));
    plan.stop_sending();
    assert_eq!(plan.choose(at(100)), ResendChoice::Wait(ms(600)));
    assert_eq!(plan.choose(at(700)), ResendChoice::GiveUp);
}

/// Replays the load for which the part is made: 40% of the copies are lost, and an answer takes a few milliseconds.
/// Guards against schedules that leave many starts unanswered or resolve them slowly.
#[test]
fn lossy_worker_resolves_most_starts_within_a_tenth_of_a_second() {
    let random = fastrand::Rng::with_seed(7);
    let mut random = random;
    let (mut resolved_ms, mut unresolved) = (0, 0_u32);
    const STARTS: u32 = 10_000;
    for _ in 0..STARTS {
        let plan = ResendPlan::new(at(0), ms(40), at(700), 5);
        let times = send_times(plan);
        match times.iter().find(|_| random.u32(0..100) >= 40) {
            Some(time) => resolved_ms += time + 3,
            None => unresolved += 1,
        }
    }
    let mean_ms = resolved_ms / u64::from(STARTS - unresolved);
    assert!(mean_ms < 100, "{mean_ms} ms");
    assert!(unresolved < STARTS / 50, "{unresolved} of {STARTS}");
}

const SILENT_AFTER: Duration = Duration::from_millis(2_000);

#[test]
fn peer_is_silent_by_the_time_since_its_last_answer() {
    let mut silence = SilenceClock::new(at(0));
    for millis in (0..2_000).step_by(100) {
        assert!(!silence.is_silent(at(millis), SILENT_AFTER), "{millis}");
    }
    assert!(silence.is_silent(at(2_000), SILENT_AFTER));
    silence.note_answer(at(2_010));
    assert!(!silence.is_silent(at(2_100), SILENT_AFTER));
    assert_eq!(silence.answered_at(), at(2_010));
}

/// Guards against an agent that was suspended and reports its worker as silent when it resumes, before it has read
/// the answers that have arrived.
#[test]
fn time_in_which_the_observer_was_suspended_is_not_silence() {
    let mut silence = SilenceClock::new(at(0));
    assert!(!silence.is_silent(at(1_000), SILENT_AFTER));
    assert!(!silence.is_silent(at(9_000), SILENT_AFTER));
    for millis in (9_100..11_000).step_by(100) {
        assert!(!silence.is_silent(at(millis), SILENT_AFTER), "{millis}");
    }
    assert!(silence.is_silent(at(11_000), SILENT_AFTER));
}
