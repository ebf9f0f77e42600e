//! Help texts, error messages and exit codes of `waxwing`.

use std::process::Command;

fn run_waxwing(args: &[&str]) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_waxwing"))
        .args(args)
        .output()
        .expect("waxwing can be started");
    let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
    text.push_str(&String::from_utf8_lossy(&output.stderr));
    (output.status.code(), text)
}

macro_rules! exit_code_tests {
    ($($name:ident: $args:expr => $code:expr, $text:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let (code, text) = run_waxwing(&$args);
                assert_eq!(code, Some($code), "{text}");
                assert!(text.contains($text), "{text}");
            }
        )*
    };
}

exit_code_tests! {
    help_is_printed: ["--help"] => 0, "Usage: waxwing";
    help_is_printed_for_a_command: ["settings", "--help"] => 0, "settings apply DIR";
    version_is_printed: ["--version"] => 0, "waxwing 0.";
    missing_command_is_reported: [] => 2, "a command is missing";
    unknown_command_is_reported: ["fly"] => 2, "no command fly";
    missing_argument_is_reported: ["job", "show"] => 2, "ID is missing";
    missing_domain_is_reported: ["domain", "drain"] => 2, "NAME is missing";
    unknown_domain_command_is_reported: ["domain", "flood"] => 2, "no command domain flood";
    missing_worker_is_reported: ["worker", "drain"] => 2, "NAME is missing";
    unknown_worker_command_is_reported: ["worker", "stop"] => 2, "no command worker stop";
    bound_of_log_files_requires_cores: ["bound", "one", "two"] => 2, "log files with --cores";
    bound_with_zero_cores_is_rejected: ["bound", "one", "--cores", "0"] => 2, "--cores takes a number above 0";
    missing_file_is_reported: ["check", "no/such.yaml"] => 2, "no/such.yaml";
    unreachable_entry_is_reported: ["--entry", "127.0.0.1:1", "status"] => 4, "--entry";
    missing_folder_is_reported: ["settings", "apply", "no/such"] => 2, "organisation.yaml";
}

#[test]
fn example_settings_files_are_valid() {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
    for file in [
        "riveneige/daemons/entry.yaml",
        "mares-patentes/daemons/sidecar.yaml",
    ] {
        let (code, text) = run_waxwing(&["check", &format!("{root}/{file}")]);
        assert_eq!(code, Some(0), "{text}");
    }
}
