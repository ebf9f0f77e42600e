//! `waxwing bound FILE --cores N` on log lines.

use serde_json::Value;
use std::process::Command;

/// Lines of a job of 5 core seconds, whose only run is lost with its worker after 8 s.
const LINES: &str = concat!(
    r#"{"timestamp":"2026-05-13T12:00:00.000000Z","message":"start ordered","task":"a.0.0.0","run":1,"worker":"w","resumes":false,"waited_ms":2,"pace":1.0}"#,
    "\n",
    r#"{"timestamp":"2026-05-13T12:00:00.010000Z","message":"job accepted","job":"a","queue":"q","took_ms":10,"tasks":1,"work_ms":5000,"objective_ms":20000,"lasts":false}"#,
    "\n",
    r#"{"timestamp":"2026-05-13T12:00:08.000000Z","message":"run lost with its worker","task":"a.0.0.0","run":1}"#,
    "\n",
);

/// The bound covers the time up to the end of the last run. It ended with the start of a run whose
/// end no owner has received, so that work which had been possible was not counted.
#[test]
fn bound_covers_runs_without_a_reported_end() {
    let file = std::env::temp_dir().join(format!("waxwing-bound-{}.log", std::process::id()));
    std::fs::write(&file, LINES).expect("the log file can be written");
    let output = Command::new(env!("CARGO_BIN_EXE_waxwing"))
        .args(["--json", "bound"])
        .arg(&file)
        .args(["--cores", "1"])
        .output()
        .expect("waxwing can be started");
    std::fs::remove_file(&file).expect("the log file can be removed");
    let rows: Value = serde_json::from_slice(&output.stdout).expect("the answer must be JSON");
    let possible = rows[0]["bound"]["possible"].as_f64();
    assert_eq!(possible, Some(5.0), "{rows}");
}
