//! The tool's help and its errors.

use std::process::Command;

fn waxwing(args: &[&str]) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_waxwing"))
        .args(args)
        .output()
        .expect("the tool runs");
    let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
    text.push_str(&String::from_utf8_lossy(&output.stderr));
    (output.status.code(), text)
}

macro_rules! exits {
    ($($name:ident: $args:expr => $code:expr, $text:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let (code, text) = waxwing(&$args);
                assert_eq!(code, Some($code), "{text}");
                assert!(text.contains($text), "{text}");
            }
        )*
    };
}

exits! {
    help_is_given: ["--help"] => 0, "Usage: waxwing";
    help_is_given_for_a_command: ["settings", "--help"] => 0, "settings apply DIR";
    a_version_is_given: ["--version"] => 0, "waxwing 0.";
    a_missing_command_is_named: [] => 2, "a command is missing";
    an_unknown_command_is_named: ["fly"] => 2, "no command fly";
    a_missing_argument_is_named: ["job", "show"] => 2, "ID is missing";
    a_missing_domain_is_named: ["domain", "drain"] => 2, "NAME is missing";
    an_unknown_domain_command_is_named: ["domain", "flood"] => 2, "no command domain flood";
    a_bound_needs_cores_for_lines: ["bound", "one", "two"] => 2, "log files with --cores";
    a_bound_of_no_cores_is_refused: ["bound", "one", "--cores", "0"] => 2, "--cores takes a number above 0";
    a_missing_file_is_named: ["check", "no/such.yaml"] => 2, "no/such.yaml";
    an_unreachable_entry_is_named: ["--entry", "127.0.0.1:1", "status"] => 4, "--entry";
    a_missing_folder_is_named: ["settings", "apply", "no/such"] => 2, "organisation.yaml";
}

#[test]
fn the_example_files_are_correct() {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
    for file in [
        "riveneige/daemons/entry.yaml",
        "mares-patentes/daemons/sidecar.yaml",
    ] {
        let (code, text) = waxwing(&["check", &format!("{root}/{file}")]);
        assert_eq!(code, Some(0), "{text}");
    }
}
