//! Checks that `--help` succeeds and prints the usage to standard output.

use std::process::Command;

#[test]
fn help_prints_the_usage() {
    let output = Command::new(env!("CARGO_BIN_EXE_waxwing-standin"))
        .arg("--help")
        .output()
        .expect("the stand-in starts");
    assert!(output.status.success());
    assert!(String::from_utf8_lossy(&output.stdout).contains("Usage: waxwing-standin"));
}
