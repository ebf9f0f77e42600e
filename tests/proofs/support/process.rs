//! Process that a test starts and that is killed at the end of the test.

use serde_json::Value;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

/// A running process.
#[derive(Debug)]
pub(crate) struct TestProcess {
    child: Child,
    /// JSON document that the process printed when it was ready.
    pub(crate) ready: Value,
    log: PathBuf,
}

/// Returns the path of a binary under test.
fn binary(name: &str) -> PathBuf {
    let daemon = Path::new(env!("CARGO_BIN_EXE_waxwingd"));
    let path = daemon.with_file_name(name);
    assert!(
        path.exists(),
        "{name} is not built: run `cargo test --workspace`"
    );
    path
}

impl TestProcess {
    /// Starts a binary and waits for its ready line on standard output.
    pub(crate) fn start(name: &str, args: &[String], log: &Path) -> Self {
        let log_file = File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("the log file must open");
        let mut child = Command::new(binary(name))
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log_file)
            .spawn()
            .expect("the process starts");
        let stdout = child.stdout.take().expect("stdout is piped");
        let mut line = String::new();
        BufReader::new(stdout)
            .read_line(&mut line)
            .expect("the process prints");
        let ready = serde_json::from_str(&line).unwrap_or_else(|error| {
            let log = std::fs::read_to_string(log).unwrap_or_default();
            panic!("{name} {args:?} is not ready: {error}: {line:?}\n{log}")
        });
        Self {
            child,
            ready,
            log: log.to_owned(),
        }
    }

    pub(crate) fn signal(&self, signal: i32) {
        let pid = self.child.id() as i32;
        // SAFETY: `kill` takes only integers, and the pid belongs to our child, which has not been waited for.
        let result = unsafe { libc::kill(pid, signal) };
        assert_eq!(result, 0, "signal {signal} to {pid}");
    }

    /// Kills the process and waits for its end.
    pub(crate) fn kill(mut self) {
        self.end();
    }

    /// Waits until the process terminates without a further signal.
    pub(crate) async fn wait(&mut self) -> ExitStatus {
        super::wait_for("the end of a process", || {
            let status = self
                .child
                .try_wait()
                .expect("the process can be waited for");
            async move { status }
        })
        .await
    }

    fn end(&mut self) {
        // An error means that the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        self.end();
        if std::thread::panicking() {
            let log = std::fs::read_to_string(&self.log).unwrap_or_default();
            let tail: Vec<&str> = log.lines().rev().take(15).collect();
            eprintln!("--- {}", self.log.display());
            for line in tail.iter().rev() {
                eprintln!("{line}");
            }
        }
    }
}
