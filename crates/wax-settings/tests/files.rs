//! Parsing a settings file must return settings or an error that names the file, and must not panic
//! on any text.

use proptest::prelude::*;
use wax_settings::{DaemonSettings, SettingsFile};

fn file(text: &str) -> SettingsFile {
    SettingsFile {
        name: "test.yaml".into(),
        text: text.into(),
    }
}

proptest! {
    #[test]
    fn invalid_text_gives_an_error_that_names_the_file(text in ".{0,300}") {
        let error = DaemonSettings::parse(&file(&text)).expect_err("not a settings file");
        prop_assert!(error.peer.starts_with("test.yaml"));
    }

    #[test]
    fn numbers_out_of_range_are_rejected(shards in prop_oneof![Just(0_u64), 4_097_u64..100_000]) {
        let text = format!(
            "role: entry\nname: a\nregion: b\nfailure_domain: c\nplatform: {{address: '127.0.0.1:1'}}\n\
             entry: {{callers: '127.0.0.1:0', operators: '127.0.0.1:0', peers: '127.0.0.1:0'}}\n\
             coordinator: {{shards: {shards}}}\n"
        );
        prop_assert!(DaemonSettings::parse(&file(&text)).is_err());
    }
}
