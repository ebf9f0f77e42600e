//! The bound: right on small days, and above what any policy reaches on the committed traces.

use std::path::Path;
use wax_replay::{
    BoundJob, BoundSlot, DayBound, ReplayPolicy, bound_day, bound_trace, parse_trace, replay,
};

fn job(arrives: f64, due: f64, work: f64, worth: f64) -> BoundJob {
    BoundJob {
        arrives,
        due,
        work,
        worth,
    }
}

fn slots(seconds: u32, cores: f64) -> Vec<BoundSlot> {
    let slot = |second| BoundSlot {
        from: f64::from(second),
        to: f64::from(second + 1),
        cores,
    };
    (0..seconds).map(slot).collect()
}

fn near(one: f64, other: f64) -> bool {
    (one - other).abs() < 1e-3
}

#[test]
fn what_fits_is_possible_whole() {
    let jobs = [job(0.0, 4.0, 4.0, 1.0), job(1.0, 3.0, 2.0, 5.0)];
    let bound = bound_day(&jobs, &slots(4, 2.0));
    assert!(
        near(bound.possible, 6.0) && near(bound.share(), 1.0),
        "{bound:?}"
    );
}

#[test]
fn what_is_worth_most_for_its_work_goes_first() {
    let jobs = [job(0.0, 2.0, 4.0, 4.0), job(0.0, 2.0, 2.0, 6.0)];
    let bound = bound_day(&jobs, &slots(2, 2.0));
    assert!(near(bound.possible, 4.0), "{bound:?}");
    assert!(near(bound.worth_possible, 6.0 + 4.0 * 0.5), "{bound:?}");
}

/// The first job sits where the second must be; it moves to where only it can be.
#[test]
fn a_job_makes_way_where_it_has_other_time() {
    let jobs = [job(0.0, 2.0, 1.0, 9.0), job(0.0, 1.0, 1.0, 1.0)];
    let bound = bound_day(&jobs, &slots(2, 1.0));
    assert!(near(bound.possible, 2.0), "{bound:?}");
}

#[test]
fn no_work_is_done_before_it_comes_or_when_it_is_due() {
    let bound = bound_day(&[job(1.5, 2.5, 5.0, 1.0)], &slots(4, 2.0));
    assert!(near(bound.possible, 2.0), "{bound:?}");
}

#[test]
fn an_outage_takes_its_processors_away() {
    let mut slots = slots(4, 2.0);
    slots[1].cores = 0.0;
    let bound = bound_day(&[job(0.0, 3.0, 6.0, 1.0)], &slots);
    assert!(near(bound.possible, 4.0), "{bound:?}");
}

#[test]
fn a_day_without_jobs_lacks_nothing() {
    let bound = bound_day(&[], &slots(2, 1.0));
    assert_eq!((bound, bound.share()), (DayBound::default(), 1.0));
}

/// Every policy, seed and committed trace stays below the bound of that trace and seed.
#[test]
fn no_policy_exceeds_the_bound_of_a_trace() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/traces");
    let mut played = 0;
    for entry in std::fs::read_dir(folder).expect("the traces are there") {
        let path = entry.expect("it can be listed").path();
        if path.extension().is_none_or(|ending| ending != "jsonl") {
            continue;
        }
        let text = std::fs::read_to_string(&path).expect("it can be read");
        let lines = parse_trace(&text).expect("it is correct");
        for seed in 1..=2 {
            let bound = bound_trace(&lines, seed).expect("it runs");
            let policies = std::iter::once(ReplayPolicy::WEIGHED).chain(ReplayPolicy::BASELINES);
            for policy in policies {
                let report = replay(&lines, policy, seed).expect("it runs");
                let done = report.batch.work_done_ms as f64 / 1e3;
                let most = bound.worth_possible * 1.000_1 + 0.1;
                assert!(done <= most, "{}: {done} > {bound:?}", path.display());
                played += 1;
            }
        }
    }
    assert!(played >= 100, "{played} were played");
}
