//! The bound is exact for small cases, and no policy exceeds it on the example traces.

use std::path::Path;
use wax_replay::{
    BoundJob, BoundSlot, ReplayPolicy, WorkBound, bound_trace, compute_bound, parse_trace, replay,
};

fn job(arrival_s: f64, deadline_s: f64, work_core_s: f64, value: f64) -> BoundJob {
    BoundJob {
        arrival_s,
        deadline_s,
        work_core_s,
        value,
    }
}

fn slots(seconds: u32, cores: f64) -> Vec<BoundSlot> {
    let slot = |second| BoundSlot {
        start_s: f64::from(second),
        end_s: f64::from(second + 1),
        cores,
    };
    (0..seconds).map(slot).collect()
}

fn is_close(one: f64, other: f64) -> bool {
    (one - other).abs() < 1e-3
}

#[test]
fn all_work_is_possible_with_enough_capacity() {
    let jobs = [job(0.0, 4.0, 4.0, 1.0), job(1.0, 3.0, 2.0, 5.0)];
    let bound = compute_bound(&jobs, &slots(4, 2.0));
    assert!(
        is_close(bound.possible_core_s, 6.0) && is_close(bound.share(), 1.0),
        "{bound:?}"
    );
}

#[test]
fn jobs_with_the_highest_value_per_work_are_placed_first() {
    let jobs = [job(0.0, 2.0, 4.0, 4.0), job(0.0, 2.0, 2.0, 6.0)];
    let bound = compute_bound(&jobs, &slots(2, 2.0));
    assert!(is_close(bound.possible_core_s, 4.0), "{bound:?}");
    assert!(is_close(bound.possible_value, 6.0 + 4.0 * 0.5), "{bound:?}");
}

/// The first job is placed in the only slot that the second can use, and must move to the other
/// slot.
#[test]
fn placed_job_moves_to_free_a_slot_for_another() {
    let jobs = [job(0.0, 2.0, 1.0, 9.0), job(0.0, 1.0, 1.0, 1.0)];
    let bound = compute_bound(&jobs, &slots(2, 1.0));
    assert!(is_close(bound.possible_core_s, 2.0), "{bound:?}");
}

#[test]
fn work_is_only_done_between_arrival_and_deadline() {
    let bound = compute_bound(&[job(1.5, 2.5, 5.0, 1.0)], &slots(4, 2.0));
    assert!(is_close(bound.possible_core_s, 2.0), "{bound:?}");
}

#[test]
fn slot_without_cores_reduces_the_bound() {
    let mut slots = slots(4, 2.0);
    slots[1].cores = 0.0;
    let bound = compute_bound(&[job(0.0, 3.0, 6.0, 1.0)], &slots);
    assert!(is_close(bound.possible_core_s, 4.0), "{bound:?}");
}

#[test]
fn bound_without_jobs_is_empty() {
    let bound = compute_bound(&[], &slots(2, 1.0));
    assert_eq!((bound, bound.share()), (WorkBound::default(), 1.0));
}

/// Replays every example trace with every policy and two seeds. Each result must stay below the
/// bound of the same trace and seed.
#[test]
fn no_policy_exceeds_the_bound_of_a_trace() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/traces");
    let mut replay_count = 0;
    for entry in std::fs::read_dir(folder).expect("the folder of the example traces is readable") {
        let path = entry.expect("the folder entry is readable").path();
        if path
            .extension()
            .is_none_or(|extension| extension != "jsonl")
        {
            continue;
        }
        let text = std::fs::read_to_string(&path).expect("the trace file is readable");
        let lines = parse_trace(&text).expect("the trace is valid");
        for seed in 1..=2 {
            let bound = bound_trace(&lines, seed).expect("the trace is valid");
            let policies = std::iter::once(ReplayPolicy::WEIGHED).chain(ReplayPolicy::BASELINES);
            for policy in policies {
                let report = replay(&lines, policy, seed).expect("the replay succeeds");
                let done = report.batch.work_done_ms as f64 / 1e3;
                let limit = bound.possible_value * 1.000_1 + 0.1;
                assert!(done <= limit, "{}: {done} > {bound:?}", path.display());
                replay_count += 1;
            }
        }
    }
    assert!(replay_count >= 100, "only {replay_count} replays ran");
}
