//! Invalid input gets a clear error, and the process continues to serve other requests.

use crate::support::calls::call;
use crate::support::cluster::{Cluster, ClusterPlan, SERVICE, TEAM};
use crate::support::run;
use http::Method;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::Command;
use std::time::Duration;

/// Sends raw bytes and reads until the other side closes, sends nothing for 5 s, or has sent more than 1 MiB.
fn send_raw(address: &str, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).expect("the connection must succeed");
    stream
        .set_read_timeout(Some(Duration::from_secs(5)))
        .expect("the read timeout must be set");
    // An error means that the other side closed before everything was written.
    let _ = stream.write_all(bytes);
    let mut answer = Vec::new();
    let mut buffer = [0; 4096];
    while let Ok(count) = stream.read(&mut buffer) {
        if count == 0 || answer.len() > 1 << 20 {
            break;
        }
        answer.extend_from_slice(&buffer[..count]);
    }
    answer
}

#[test]
fn malformed_frames_end_only_their_connection() {
    run(async {
        let cluster = Cluster::start(ClusterPlan::default()).await;
        let peers = cluster.address("entry-1", "peers");
        let malformed: [&[u8]; 5] = [
            b"GET / HTTP/1.1\r\n\r\n",
            &[0xff, 0xff, 0xff, 0xff, 1, 2, 3],
            &[0, 0, 0, 4, 0xff, 0xff, 0xff, 0xff],
            &[0, 0, 0, 0],
            &[0, 0, 0, 3, 0x0a, 0x01, 0x08],
        ];
        for bytes in malformed {
            let peers = peers.clone();
            let bytes = bytes.to_vec();
            std::thread::spawn(move || send_raw(&peers, &bytes))
                .join()
                .expect("the connection ends");
        }
        let answer = cluster
            .request(1, "/still-there", &[])
            .await
            .expect("the call must be answered");
        assert_eq!(answer.outcome, "ran");
    });
}

/// Header fields of a request, the expected status, and a part of the expected error text.
type HeaderCase<'a> = (&'a [(&'a str, &'a str)], u16, &'a str);

#[test]
fn malformed_requests_get_a_clear_error() {
    run(async {
        let cluster = Cluster::start(ClusterPlan::default()).await;
        let url = format!("{}/v1/call/{SERVICE}/x", cluster.callers(1));
        let cases: [HeaderCase<'_>; 5] = [
            (&[], 400, "waxwing-team"),
            (&[("waxwing-team", "nobody")], 404, "not declared"),
            (
                &[("waxwing-team", TEAM), ("waxwing-deadline-ms", "soon")],
                400,
                "milliseconds",
            ),
            (
                &[("waxwing-team", TEAM), ("waxwing-non-idempotent", "true")],
                400,
                "needs a key",
            ),
            (
                &[("waxwing-team", TEAM), ("waxwing-non-idempotent", "maybe")],
                400,
                "true or false",
            ),
        ];
        for (headers, status, text) in cases {
            let answer = call(Method::GET, &url, headers, Vec::new())
                .await
                .expect("the call must be answered");
            assert_eq!(answer.status, status, "{}", answer.text());
            assert_eq!(answer.outcome, "not-run");
            assert!(answer.text().contains(text), "{}", answer.text());
        }
        let answer = cluster
            .request(1, "/still-there", &[])
            .await
            .expect("the call must be answered");
        assert_eq!(answer.outcome, "ran");
    });
}

#[test]
fn over_long_headers_and_bodies_are_refused() {
    run(async {
        let cluster = Cluster::start(ClusterPlan::default()).await;
        let callers = cluster.address("entry-1", "callers");
        let mut request = b"GET /v1/call/x/y HTTP/1.1\r\nhost: x\r\nlong: ".to_vec();
        request.extend(std::iter::repeat_n(b'a', 200_000));
        let answer = std::thread::spawn(move || send_raw(&callers, &request))
            .join()
            .expect("the call must be answered");
        let text = String::from_utf8_lossy(&answer);
        assert!(text.is_empty() || text.contains(" 4"), "{text}");
        let url = format!("{}/v1/jobs", cluster.callers(1));
        let headers = [("waxwing-team", TEAM), ("idempotency-key", "long")];
        let answer = call(Method::POST, &url, &headers, vec![b' '; 3 << 20]).await;
        // The entry may close the connection before it has read the whole body.
        assert!(answer.is_err() || answer.is_ok_and(|answer| answer.status == 400));
        let answer = cluster
            .request(1, "/still-there", &[])
            .await
            .expect("the call must be answered");
        assert_eq!(answer.outcome, "ran");
    });
}

/// Runs the daemon with a settings file; returns its exit code and its standard error with the file's path shortened.
fn run_daemon_with(name: &str, text: &str) -> (Option<i32>, String) {
    let file = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.yaml"));
    std::fs::write(&file, text).expect("the file must be written");
    let output = Command::new(env!("CARGO_BIN_EXE_waxwingd"))
        .arg("--settings")
        .arg(&file)
        .output()
        .expect("the daemon runs");
    let path = file.display().to_string();
    let messages = String::from_utf8_lossy(&output.stderr).replace(&path, &format!("{name}.yaml"));
    (output.status.code(), messages)
}

const VALID_SETTINGS: &str = "\
role: entry
name: entry-1
region: here
failure_domain: a
platform: {address: '127.0.0.1:1'}
entry: {callers: '127.0.0.1:0', operators: '127.0.0.1:0', peers: '127.0.0.1:0'}
";

#[test]
fn bad_settings_files_name_the_line_and_the_remedy() {
    let cases = [
        ("unknown-key", format!("{VALID_SETTINGS}colour: blue\n")),
        (
            "wrong-type",
            VALID_SETTINGS.replace("'127.0.0.1:1'", "somewhere"),
        ),
        (
            "out-of-range",
            format!("{VALID_SETTINGS}coordinator: {{shards: 0}}\n"),
        ),
        (
            "short-lease",
            format!("{VALID_SETTINGS}coordinator: {{lease_ms: 9000, renew_ms: 5000}}\n"),
        ),
        (
            "slow-takeover",
            format!("{VALID_SETTINGS}coordinator: {{lease_ms: 6000, renew_ms: 2000}}\n"),
        ),
        (
            "no-section",
            VALID_SETTINGS.replace("role: entry", "role: sidecar"),
        ),
        ("not-yaml", "role: [entry\n".to_owned()),
    ];
    let mut messages = String::new();
    for (name, text) in &cases {
        let (code, text) = run_daemon_with(name, text);
        assert_eq!(code, Some(2), "{name}: {text}");
        messages.push_str(&text);
        messages.push('\n');
    }
    insta::assert_snapshot!(messages);
}

#[test]
fn a_missing_settings_file_is_named() {
    let output = Command::new(env!("CARGO_BIN_EXE_waxwingd"))
        .args(["--settings", "no/such/file.yaml"])
        .output()
        .expect("the daemon runs");
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("no/such/file.yaml"));
}
