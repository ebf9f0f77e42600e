//! The operators' tool against a running system.

use crate::support::cluster::{Cluster, ClusterPlan};
use crate::support::run;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Runs the tool; gives its exit code and all that it printed.
fn waxwing(cluster: &Cluster, args: &[&str]) -> (Option<i32>, String) {
    let tool = Path::new(env!("CARGO_BIN_EXE_waxwingd")).with_file_name("waxwing");
    let output = Command::new(tool)
        .args(["--entry", &cluster.address("entry-1", "operators")])
        .args(args)
        .output()
        .expect("the tool runs");
    let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
    text.push_str(&String::from_utf8_lossy(&output.stderr));
    (output.status.code(), text)
}

fn example(firm: &str) -> String {
    format!("{}/examples/{firm}/tree", env!("CARGO_MANIFEST_DIR"))
}

#[test]
fn an_exported_tree_applies_without_a_change() {
    run(async {
        let cluster = Cluster::start(ClusterPlan::default()).await;
        for firm in ["riveneige", "mares-patentes"] {
            let (code, text) = waxwing(
                &cluster,
                &["settings", "apply", &example(firm), "--wait", "60"],
            );
            assert_eq!(code, Some(0), "{text}");
            assert!(text.contains("in force at 4 of 4"), "{text}");
            let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("export-{firm}"));
            let folder = folder.display().to_string();
            let (code, text) = waxwing(&cluster, &["settings", "export", &folder]);
            assert_eq!(code, Some(0), "{text}");
            let (_, before) = waxwing(&cluster, &["settings", "get"]);
            let (code, text) = waxwing(&cluster, &["settings", "apply", &folder]);
            assert_eq!(code, Some(0), "{text}");
            let (_, after) = waxwing(&cluster, &["settings", "get"]);
            assert_eq!(
                before, after,
                "an export changes something when it is applied"
            );
        }
    });
}

#[test]
fn a_dry_run_shows_and_changes_nothing() {
    run(async {
        let cluster = Cluster::start(ClusterPlan::default()).await;
        let (_, before) = waxwing(&cluster, &["settings", "get"]);
        let folder = example("riveneige");
        let (code, text) = waxwing(&cluster, &["settings", "apply", &folder, "--dry-run"]);
        assert_eq!(code, Some(0), "{text}");
        assert!(
            text.contains("/barrages/niveau-service") && text.contains("dry run"),
            "{text}"
        );
        let (_, after) = waxwing(&cluster, &["settings", "get"]);
        assert_eq!(before, after);
    });
}

#[test]
fn a_conflict_names_the_winner_and_the_exit_code_says_refused() {
    run(async {
        let cluster = Cluster::start(ClusterPlan::default()).await;
        let set = [
            "settings",
            "set",
            "/barrages",
            "weight",
            "150",
            "--expected",
            "1",
        ];
        let (code, text) = waxwing(&cluster, &set);
        assert_eq!(code, Some(0), "{text}");
        let (code, text) = waxwing(&cluster, &set);
        assert_eq!(code, Some(1), "{text}");
        assert!(text.contains("version 2 by"), "{text}");
        let (code, text) = waxwing(&cluster, &["settings", "explain", "/barrages"]);
        assert_eq!(code, Some(0), "{text}");
        let line = text.lines().find(|line| line.starts_with("weight "));
        assert!(
            line.is_some_and(|line| line.contains("150") && line.contains("/barrages")),
            "{text}"
        );
        let (code, text) = waxwing(&cluster, &["settings", "log"]);
        assert_eq!(code, Some(0), "{text}");
        assert!(text.contains("/barrages"), "{text}");
    });
}
