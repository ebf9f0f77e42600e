//! Replays the example traces and compares the reports with their snapshots.

use std::path::Path;
use wax_replay::{ReplayPolicy, parse_trace, replay};

/// Seed with which the snapshots were made.
const SEED: u64 = 1;

fn read_trace(name: &str) -> String {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/traces");
    std::fs::read_to_string(folder.join(format!("{name}.jsonl"))).expect("the example trace exists")
}

macro_rules! traces {
    ($($name:ident: $file:literal,)*) => {
        $(
            #[test]
            fn $name() {
                let lines = parse_trace(&read_trace($file)).expect("the trace is valid");
                let report = replay(&lines, ReplayPolicy::WEIGHED, SEED).expect("the replay succeeds");
                assert_eq!(report.worst_over_milli, 0, "reservations exceed the capacity of a worker");
                assert_eq!(report.batch.failed, 0, "no task of the example traces is given up");
                let text = serde_json::to_string_pretty(&report).expect("the report serializes to JSON");
                insta::assert_snapshot!($file, text);
            }
        )*
    };
}

traces! {
    riveneige_calm: "riveneige-calm",
    riveneige_noisy_wave: "riveneige-noisy-wave",
    riveneige_load_shift: "riveneige-load-shift",
    riveneige_bad_worker: "riveneige-bad-worker",
    riveneige_cancel_wave: "riveneige-cancel-wave",
    riveneige_outage: "riveneige-outage",
    riveneige_far_off_sizes: "riveneige-far-off-sizes",
    riveneige_mixed: "riveneige-mixed",
    mares_calm: "mares-calm",
    mares_noisy_wave: "mares-noisy-wave",
    mares_load_shift: "mares-load-shift",
    mares_bad_worker: "mares-bad-worker",
    mares_cancel_wave: "mares-cancel-wave",
    mares_outage: "mares-outage",
    mares_far_off_sizes: "mares-far-off-sizes",
    mares_mixed: "mares-mixed",
    mares_evening: "mares-evening",
}

#[test]
fn same_seed_gives_the_same_report() {
    let lines = parse_trace(&read_trace("riveneige-mixed")).expect("the trace is valid");
    let first = replay(&lines, ReplayPolicy::WEIGHED, 7).expect("the replay succeeds");
    let second = replay(&lines, ReplayPolicy::WEIGHED, 7).expect("the replay succeeds");
    assert_eq!(first, second);
}

#[test]
fn invalid_lines_are_reported() {
    let error = parse_trace("{\"event\":\"worker\"}\n").expect_err("fields are missing");
    assert_eq!(error.line, 1);
    let lines =
        parse_trace("{\"event\":\"job\",\"at_ms\":1,\"kind\":\"none\",\"tasks\":1,\"work_ms\":1}");
    let error = replay(&lines.expect("the line parses"), ReplayPolicy::WEIGHED, 1);
    assert!(
        error
            .expect_err("the kind is not declared")
            .to_string()
            .contains("no kind none")
    );
}
