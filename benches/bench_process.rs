//! Process that a benchmark starts and that is killed when the value is dropped.

use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// A running process.
#[derive(Debug)]
pub(crate) struct BenchProcess {
    child: Child,
    ready: Value,
}

fn binary(name: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_BIN_EXE_waxwingd")).with_file_name(name);
    assert!(
        path.exists(),
        "{name} is not built: run `cargo build --release --workspace`"
    );
    path
}

impl BenchProcess {
    /// Starts a binary and waits until it prints its addresses as a line of JSON.
    pub(crate) fn start(name: &str, args: &[&str]) -> Self {
        let mut child = Command::new(binary(name))
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the process must start");
        let mut line = String::new();
        BufReader::new(child.stdout.take().expect("stdout must be piped"))
            .read_line(&mut line)
            .expect("the process must print a line");
        let ready = serde_json::from_str(&line).expect("the line must be JSON");
        Self { child, ready }
    }

    /// Returns the address that the process printed under this key.
    pub(crate) fn address(&self, key: &str) -> String {
        let value = self.ready.get("ready").unwrap_or(&self.ready);
        value[key]
            .as_str()
            .expect("the address must be in the line")
            .to_owned()
    }

    pub(crate) fn pid(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for BenchProcess {
    fn drop(&mut self) {
        // An error means that the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Runs a binary to its end; returns its standard output.
pub(crate) fn output(name: &str, args: &[String]) -> String {
    let output = Command::new(binary(name))
        .args(args)
        .output()
        .expect("the binary must run");
    String::from_utf8_lossy(&output.stdout).into_owned()
}
