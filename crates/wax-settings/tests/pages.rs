//! Checks that `docs/SETTINGS.md` lists every key with the default and bounds that the code
//! applies, and that the settings files in `examples/` are valid.

use wax_settings::{DaemonSettings, PolicySettings, SettingsFile, key_table};

fn read(path: &str) -> String {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
    std::fs::read_to_string(format!("{root}/{path}")).expect(path)
}

#[test]
fn the_page_has_every_key_of_the_tree() {
    let page = read("docs/SETTINGS.md");
    for info in key_table() {
        let default = match info.default.as_str() {
            Some(text) => text.to_owned(),
            None => info.default.to_string(),
        };
        let bounds = match (info.min, info.max) {
            (Some(min), Some(max)) => format!("{min} to {max}"),
            _ => "`batch` or `latency-critical`".to_owned(),
        };
        let row = format!("| `{}` | {default} | {bounds} |", info.key);
        assert!(page.contains(&row), "docs/SETTINGS.md lacks: {row}");
    }
}

/// Table rows of `docs/SETTINGS.md` for the numeric keys of the daemon's file: key, default,
/// bounds.
const DAEMON_ROWS: &[&str] = &[
    "| `platform.call_ms` | 1000 | 10 to 60000 |",
    "| `platform.concurrency` | 16 | 1 to 256 |",
    "| `entry.max_requests` | 4096 | 1 to 100000 |",
    "| `entry.settings_poll_ms` | 1000 | 50 to 2000 |",
    "| `sidecar.slots` | 8 | 1 to 1024 |",
    "| `sidecar.connections` | 64 | `slots` to 65535 |",
    "| `sidecar.queue` | 64 | 0 to 10000 |",
    "| `sidecar.answer_ms` | 60000 | 10 to 3600000 |",
    "| `sidecar.drain_ms` | 30000 | 0 to 3600000 |",
    "| `coordinator.shards` | 4 | 1 to 4096 |",
    "| `coordinator.heartbeat_ms` | 1000 | 20 to 60000 |",
    "| `coordinator.member_ttl_ms` | 5000 | 100 to 600000 |",
    "| `coordinator.lease_ms` | 10000 | 100 to 600000 |",
    "| `coordinator.renew_ms` | 2000 | 20 to 300000 |",
    "| `coordinator.grace_ms` | 600000 | 0 to 86400000 |",
    "| `pool.most_lease_ms` | 10000 | 1000 to 600000 |",
    "| `pool.keep_ended_s` | 120 | 1 to 86400 |",
    "| `pool.stop_grace_s` | 6 | 1 to 3600 |",
    "| `pool.drain_bound_ms` | none | 3000 to 600000 |",
    "| `pool.config_bound_ms` | 5000 | 500 to 600000 |",
];

const IDENTITY: &str = "name: a\nregion: b\nfailure_domain: c\n";
const PLATFORM: &str = "platform: {address: '127.0.0.1:1'}\n";
const ENTRY: &str =
    "entry: {callers: '127.0.0.1:0', operators: '127.0.0.1:0', peers: '127.0.0.1:0'}\n";

/// Returns a valid settings file except for `key`, which is set to `value`.
fn file_with_value(key: &str, value: u64) -> SettingsFile {
    let (section, name) = key
        .split_once('.')
        .expect("the key has the form section.name");
    let entry = ENTRY.trim_end().trim_end_matches('}');
    let text = match section {
        "platform" => format!(
            "role: entry\n{IDENTITY}platform: {{address: '127.0.0.1:1', {name}: {value}}}\n{ENTRY}"
        ),
        "entry" => format!("role: entry\n{IDENTITY}{PLATFORM}{entry}, {name}: {value}}}\n"),
        "sidecar" => format!(
            "role: sidecar\n{IDENTITY}{PLATFORM}sidecar: {{service: s, upstream: '127.0.0.1:1', entries: ['127.0.0.1:1'], {name}: {value}}}\n"
        ),
        "pool" => format!(
            "role: front\n{IDENTITY}{PLATFORM}pool: {{peers: '127.0.0.1:1', callers: '127.0.0.1:2', readiness: '127.0.0.1:3', {name}: {value}}}\n"
        ),
        _ => format!("role: entry\n{IDENTITY}{PLATFORM}{ENTRY}coordinator: {{{name}: {value}}}\n"),
    };
    SettingsFile {
        name: "test.yaml".into(),
        text: text.into(),
    }
}

#[test]
fn the_page_has_every_key_of_the_daemons_file_and_the_bounds_hold() {
    let page = read("docs/SETTINGS.md");
    for row in DAEMON_ROWS {
        assert!(page.contains(row), "docs/SETTINGS.md lacks: {row}");
        let cells: Vec<&str> = row.split('|').map(str::trim).collect();
        let key = cells[1].trim_matches('`');
        let max = cells[3]
            .rsplit(' ')
            .next()
            .and_then(|text| text.parse::<u64>().ok());
        let over = max.expect("the row has an upper bound") + 1;
        let error = DaemonSettings::parse(&file_with_value(key, over)).expect_err(key);
        assert!(error.label.contains("out of range"), "{key}: {error}");
    }
}

#[test]
fn the_example_daemons_are_correct() {
    for path in [
        "examples/riveneige/daemons/entry.yaml",
        "examples/riveneige/daemons/sidecar.yaml",
        "examples/riveneige/daemons/front.yaml",
        "examples/riveneige/daemons/agent.yaml",
        "examples/mares-patentes/daemons/entry.yaml",
        "examples/mares-patentes/daemons/sidecar.yaml",
    ] {
        let file = SettingsFile {
            name: path.into(),
            text: read(path).into(),
        };
        DaemonSettings::parse(&file).expect(path);
    }
}

/// Tests that the error names the key that the role requires and the file lacks.
macro_rules! missing_key_tests {
    ($($name:ident: $role:literal, $pool:literal => $key:literal,)*) => {
        $(
            #[test]
            fn $name() {
                let text = format!("role: {}\n{IDENTITY}{PLATFORM}pool: {{peers: '127.0.0.1:1'{}}}\n", $role, $pool);
                let file = SettingsFile {
                    name: "test.yaml".into(),
                    text: text.into(),
                };
                let error = DaemonSettings::parse(&file).expect_err("the file lacks a required key");
                assert!(error.label.contains($key), "{error}");
                assert!(!error.help.is_empty());
            }
        )*
    };
}

missing_key_tests! {
    a_front_without_callers: "front", ", readiness: '127.0.0.1:2'" => "pool.callers",
    a_front_without_readiness: "front", ", callers: '127.0.0.1:2'" => "pool.readiness",
    an_agent_without_check_ins: "agent", ", worker: '127.0.0.1:2'" => "pool.check_ins",
    an_agent_without_a_worker: "agent", ", check_ins: '127.0.0.1:2'" => "pool.worker",
}

/// Returns the settings file of a front with one line in a section under `policy`.
fn file_with_rule(section: &str, line: &str) -> SettingsFile {
    let text = format!(
        "role: front\n{IDENTITY}{PLATFORM}pool: {{peers: '127.0.0.1:1', callers: '127.0.0.1:2', readiness: '127.0.0.1:3'}}\n\
         policy: {{{section}: {{{line}}}}}\n"
    );
    SettingsFile {
        name: "test.yaml".into(),
        text: text.into(),
    }
}

#[test]
fn the_page_has_every_rule_of_the_policy_and_its_bounds_hold() {
    let page = read("docs/SETTINGS.md");
    for (section, info) in PolicySettings::default().infos() {
        let key = info.key;
        let off = info
            .off
            .map_or_else(|| "-".to_owned(), |off| off.to_string());
        let row = format!(
            "| `policy.{section}.{key}` | {} | {} to {} | {off} | {} |",
            info.value, info.min, info.max, info.unit
        );
        assert!(page.contains(&row), "docs/SETTINGS.md lacks: {row}");
        assert!((info.min..=info.max).contains(&info.value), "{key}");
        let over = file_with_rule(section, &format!("{key}: {}", info.max + 1.0));
        let error = DaemonSettings::parse(&over).expect_err(key);
        assert!(error.label.contains(key), "{error}");
        assert!(error.label.contains("out of range"), "{error}");
        let off_line = file_with_rule(section, &format!("{key}: off"));
        match (info.off, DaemonSettings::parse(&off_line)) {
            (Some(off), Ok(settings)) => {
                let infos = settings.policy.infos();
                let found = infos.iter().find(|(_, found)| found.key == key);
                assert!(found.is_some_and(
                    |(found_section, found)| *found_section != section || found.value == off
                ));
                assert!((info.min..=info.max).contains(&off), "{key}");
            }
            (None, Err(error)) => assert!(error.label.contains("cannot be off"), "{error}"),
            (off, parsed) => panic!("{key}: {off:?}, {parsed:?}"),
        }
    }
}

#[test]
fn a_rule_that_is_not_known_is_refused_by_name() {
    let error = DaemonSettings::parse(&file_with_rule("place", "careful_pce: 1"))
        .expect_err("the key does not exist");
    assert!(error.label.contains("careful_pce: no such rule"), "{error}");
    let error = DaemonSettings::parse(&file_with_rule("places", "x: 1"))
        .expect_err("the section does not exist");
    assert!(error.label.contains("places"), "{error}");
}

#[test]
fn rules_are_read_in_their_units() {
    let file = file_with_rule("pace", "aim: 0.5, period_ms: 300, least_percent: 7");
    let pace = DaemonSettings::parse(&file)
        .expect("the file is valid")
        .policy
        .pace;
    assert_eq!(pace.period, std::time::Duration::from_millis(300));
    assert_eq!((pace.max_tail_ratio, pace.min_pace_percent), (0.5, 7));
}
