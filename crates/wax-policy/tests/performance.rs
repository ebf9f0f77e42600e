//! A worker must count as slow soon after it turned slow, and no other worker may: not for the
//! spread of run times, not for jobs that are long everywhere, and not if slow is the norm.

use std::time::Duration;
use wax_policy::{
    ImageRunTimes, PerformanceRules, ServiceWorker, SpeedCause, SpeedFinding, SpeedObservation,
    SpeedVerdict, StepRunTimes, WorkerPerformance, compare_with_step, is_move_worthwhile,
    projected_run_time, select_slow,
};
use wax_types::TimePoint;

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(100_000 + millis)
}

fn rules() -> PerformanceRules {
    PerformanceRules {
        enabled: 1,
        ..Default::default()
    }
}

fn observation(source: u32, speed: f64, weight: f64, millis: u64) -> SpeedObservation<u32> {
    SpeedObservation {
        source,
        speed,
        finding: match speed < 0.4 {
            true => SpeedFinding::Slow,
            false => SpeedFinding::Normal,
        },
        weight,
        began_at: at(millis),
        at: at(millis),
    }
}

/// Tests the verdict 100 ms after the last of the observations, given as source, speed, weight and
/// time.
macro_rules! verdict_tests {
    ($($name:ident: $observations:expr => $verdict:ident,)*) => {
        $(
            #[test]
            fn $name() {
                let mut worker = WorkerPerformance::default();
                let observations: &[(u32, f64, f64, u64)] = &$observations;
                for (source, speed, weight, millis) in observations {
                    worker.observe(observation(*source, *speed, *weight, *millis));
                }
                let last = observations.last().map_or(0, |(.., millis)| *millis);
                worker.advance(at(last + 100), true, &rules());
                assert_eq!(worker.verdict(), SpeedVerdict::$verdict);
            }
        )*
    };
}

verdict_tests! {
    no_evidence_is_normal: [] => Normal,
    one_slow_task_is_normal: [(1, 0.16, 1.0, 0)] => Normal,
    the_same_task_again_is_one_task: [(1, 0.3, 1.0, 0), (1, 0.2, 1.0, 200), (1, 0.16, 1.0, 400)] => Normal,
    two_slow_tasks_are_slow: [(1, 0.16, 1.0, 0), (2, 0.16, 1.0, 100)] => Slow,
    tasks_from_before_the_onset_do_not_count: [(1, 1.0, 1.0, 0), (2, 1.1, 1.0, 50), (3, 0.9, 1.0, 80), (4, 0.16, 1.0, 600), (5, 0.16, 1.0, 700)] => Slow,
    normal_tasks_since_then_count: [(1, 0.16, 1.0, 0), (2, 1.0, 1.0, 100), (3, 0.16, 1.0, 200), (4, 1.0, 1.0, 300)] => Normal,
    three_long_jobs_of_an_image_are_normal: [(1, 0.14, 0.5, 0), (2, 0.14, 0.5, 100), (3, 0.14, 0.5, 200)] => Normal,
    old_evidence_does_not_count: [(1, 0.16, 1.0, 0), (2, 0.16, 1.0, 4_500)] => Normal,
}

/// Returns a worker that was found slow at `at(200)`.
fn slow_worker() -> WorkerPerformance<u32> {
    let mut worker = WorkerPerformance::default();
    worker.observe(observation(1, 0.16, 1.0, 0));
    worker.observe(observation(2, 0.16, 1.0, 100));
    assert_eq!(
        worker.advance(at(200), true, &rules()),
        Some(SpeedCause::Evidence)
    );
    worker
}

#[test]
fn a_slow_worker_gets_a_few_tasks_after_the_hold_off_and_then_all() {
    let mut worker = slow_worker();
    assert!(!worker.takes_short_tasks());
    assert_eq!(worker.advance(at(3_100), true, &rules()), None);
    assert_eq!(
        worker.advance(at(3_300), true, &rules()),
        Some(SpeedCause::HoldOffOver)
    );
    worker.record_short_start();
    assert!(worker.takes_short_tasks());
    worker.record_short_start();
    assert!(!worker.takes_short_tasks(), "the probe has two tasks");
    worker.observe(observation(3, 1.0, 1.0, 3_800));
    assert_eq!(worker.advance(at(3_900), true, &rules()), None);
    worker.observe(observation(4, 1.0, 1.0, 4_000));
    assert_eq!(
        worker.advance(at(4_100), true, &rules()),
        Some(SpeedCause::ProbePassed)
    );
    assert_eq!(worker.verdict(), SpeedVerdict::Normal);
}

#[test]
fn the_hold_off_doubles_with_each_failed_probe_up_to_its_limit() {
    let mut worker = slow_worker();
    let mut now = 200;
    let mut hold_offs = vec![worker.hold_off().as_millis() as u64];
    for source in 10..14 {
        now += worker.hold_off().as_millis() as u64;
        assert_eq!(
            worker.advance(at(now), true, &rules()),
            Some(SpeedCause::HoldOffOver)
        );
        worker.observe(observation(source, 0.16, 1.0, now));
        assert_eq!(
            worker.advance(at(now), true, &rules()),
            Some(SpeedCause::ProbeFailed)
        );
        hold_offs.push(worker.hold_off().as_millis() as u64);
        // The evidence of the failed probe must not be fresh at the end of the hold-off.
        now += 100;
    }
    assert_eq!(hold_offs, [3_000, 6_000, 6_000, 6_000, 6_000]);
}

#[test]
fn a_run_from_before_the_probe_does_not_fail_it() {
    let mut worker = slow_worker();
    worker.advance(at(3_300), true, &rules());
    worker.observe(SpeedObservation {
        began_at: at(2_000),
        ..observation(9, 0.16, 1.0, 3_400)
    });
    assert_eq!(worker.advance(at(3_500), true, &rules()), None);
    assert_eq!(worker.verdict(), SpeedVerdict::Probing);
}

#[test]
fn fresh_evidence_at_the_end_of_the_hold_off_extends_it_without_a_probe() {
    let mut worker = slow_worker();
    worker.observe(observation(5, 0.16, 0.5, 3_000));
    assert_eq!(worker.advance(at(3_300), true, &rules()), None);
    assert_eq!(worker.verdict(), SpeedVerdict::Slow);
    assert_eq!(worker.hold_off(), Duration::from_secs(6));
}

#[test]
fn a_long_run_that_is_still_overdue_does_not_extend_the_hold_off() {
    let mut worker = slow_worker();
    worker.observe(SpeedObservation {
        at: at(3_200),
        ..observation(5, 0.16, 0.5, 100)
    });
    assert_eq!(
        worker.advance(at(3_300), true, &rules()),
        Some(SpeedCause::HoldOffOver)
    );
}

#[test]
fn a_long_run_does_not_outweigh_normal_runs_that_began_after_it() {
    let mut worker = WorkerPerformance::default();
    for source in 10..13 {
        worker.observe(observation(source, 1.0, 1.0, 1_000));
    }
    for source in 1..5 {
        worker.observe(SpeedObservation {
            at: at(2_000),
            ..observation(source, 0.16, 0.5, 0)
        });
    }
    assert_eq!(worker.advance(at(2_100), true, &rules()), None);
}

#[test]
fn a_probe_without_evidence_ends() {
    let mut worker = slow_worker();
    worker.advance(at(3_300), true, &rules());
    assert_eq!(
        worker.advance(at(9_400), true, &rules()),
        Some(SpeedCause::NoEvidence)
    );
}

#[test]
fn a_worker_that_is_switched_off_or_over_the_floor_is_normal() {
    let mut worker = slow_worker();
    let off = PerformanceRules::default();
    assert_eq!(
        worker.advance(at(300), true, &off),
        Some(SpeedCause::Disabled)
    );
    let mut worker = slow_worker();
    assert_eq!(
        worker.advance(at(300), false, &rules()),
        Some(SpeedCause::Floor)
    );
}

#[test]
fn confidence_grows_with_evidence_and_its_age_is_known() {
    let mut worker = WorkerPerformance::default();
    let none = worker.estimate(at(0), &rules());
    assert_eq!((none.speed, none.confidence, none.age), (1.0, 0.0, None));
    worker.observe(observation(1, 0.5, 1.0, 0));
    let one = worker.estimate(at(300), &rules());
    worker.observe(observation(2, 0.5, 1.0, 0));
    let two = worker.estimate(at(300), &rules());
    assert!(0.0 < one.confidence && one.confidence < two.confidence && two.confidence < 1.0);
    assert_eq!(two.age, Some(Duration::from_millis(300)));
    assert!((two.speed - 0.5).abs() < 1e-9);
}

fn service(speeds: &[f64]) -> Vec<ServiceWorker<u32>> {
    let workers = (0..).zip(speeds);
    workers
        .map(|(key, speed)| ServiceWorker {
            key,
            speed: *speed,
            looks_slow: *speed < 0.4,
        })
        .collect()
}

/// Tests which workers of a service, given by their speeds, may count as slow.
macro_rules! floor_tests {
    ($($name:ident: $speeds:expr => $slow:expr,)*) => {
        $(
            #[test]
            fn $name() {
                let slow: Vec<u32> = select_slow(&service(&$speeds), &rules());
                assert_eq!(slow, $slow as [u32; _]);
            }
        )*
    };
}

floor_tests! {
    two_of_five_may_be_slow: [0.16, 1.0, 0.16, 1.0, 1.0] => [0, 2],
    of_four_of_nine_the_three_slowest_may: [0.2, 1.0, 0.1, 1.0, 0.16, 1.0, 1.0, 0.18, 1.0] => [2, 4, 7],
    if_most_are_slow_none_is: [0.16, 0.17, 0.16, 0.18, 1.0] => [],
    if_most_are_slow_a_much_slower_one_is: [0.16, 0.17, 0.16, 0.03, 1.0] => [3],
    the_only_two_workers_never_count: [0.16, 1.0] => [],
}

/// Tests what a run time in milliseconds says compared with a median of 500 ms.
macro_rules! step_tests {
    ($($name:ident: $run_time:literal => $finding:expr,)*) => {
        $(
            #[test]
            fn $name() {
                let median = Duration::from_millis(500);
                let run_time = Duration::from_millis($run_time);
                assert_eq!(compare_with_step(run_time, median, &rules()), $finding);
            }
        )*
    };
}

step_tests! {
    the_spread_of_a_step_is_normal: 650 => Some(SpeedFinding::Normal),
    between_the_spread_and_the_limit_nothing_is_known: 1_000 => None,
    three_medians_are_slow: 1_500 => Some(SpeedFinding::Slow),
}

#[test]
fn a_start_that_waited_for_its_answer_is_not_slow() {
    // A task of 100 ms whose start was answered after 650 ms takes 7.5 times the median.
    let median = Duration::from_millis(100);
    let run_time = Duration::from_millis(750);
    assert_eq!(compare_with_step(run_time, median, &rules()), None);
}

/// Tests whether a run that has not ended is slow against a reference of 1,000 ms, by the time since
/// its start order and its reported percentage.
macro_rules! progress_tests {
    ($($name:ident: $elapsed:literal ms, $percent:literal % => $slow:literal,)*) => {
        $(
            #[test]
            fn $name() {
                let reference = Duration::from_millis(1_000);
                let run_time = projected_run_time(Duration::from_millis($elapsed), $percent);
                let finding = compare_with_step(run_time, reference, &rules());
                assert_eq!(finding == Some(SpeedFinding::Slow), $slow, "{run_time:?}");
            }
        )*
    };
}

progress_tests! {
    a_sixth_of_the_speed_shows_by_its_progress: 1_800 ms, 20 % => true,
    half_the_speed_is_not_slow: 1_800 ms, 80 % => false,
    a_start_delayed_by_700_ms_is_not_slow: 1_750 ms, 70 % => false,
    three_times_the_reference_is_slow_at_any_progress: 3_000 ms, 95 % => true,
}

#[test]
fn a_step_has_a_median_after_three_runs_on_two_workers() {
    let mut step = StepRunTimes::new(1).expect("the histogram has valid bounds");
    for _ in 0..5 {
        step.add(1, Duration::from_millis(500));
    }
    assert_eq!(step.median(&rules()), None, "all runs were on one worker");
    step.add(2, Duration::from_millis(520));
    let median = step.median(&rules()).expect("two workers have ended runs");
    assert!((450..=550).contains(&median.as_millis()), "{median:?}");
}

#[test]
fn an_image_with_different_run_times_gives_no_evidence_of_slowness() {
    let (mut uniform, mut varied) = (ImageRunTimes::default(), ImageRunTimes::default());
    for nth in 0..64_u64 {
        uniform.add(Duration::from_millis(480 + nth % 5 * 10));
        varied.add(Duration::from_millis(100 << (nth % 6)));
    }
    let run_time = Duration::from_millis(3_000);
    assert_eq!(
        uniform.compare(run_time, &rules()),
        Some(SpeedFinding::Slow)
    );
    assert_eq!(varied.compare(run_time, &rules()), None);
}

#[test]
fn a_checkpointed_run_moves_only_if_it_finishes_sooner() {
    let seconds = Duration::from_secs;
    let rules = rules();
    assert!(is_move_worthwhile(seconds(4), seconds(1), 0.2, &rules));
    assert!(!is_move_worthwhile(seconds(4), seconds(1), 0.9, &rules));
    let millis = Duration::from_millis;
    assert!(!is_move_worthwhile(millis(100), millis(400), 0.2, &rules));
}
