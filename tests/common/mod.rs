//! Helpers shared by all tests that start real processes.

use std::time::{Duration, Instant};

/// Time after which [`wait_for`] fails the test.
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);

/// Runs a test on a new runtime.
pub(crate) fn run<T>(test: impl Future<Output = T>) -> T {
    compio::runtime::Runtime::new()
        .expect("the runtime must start")
        .block_on(test)
}

/// Polls until `poll` returns a value; panics after [`WAIT_TIMEOUT`]. `what` names the awaited state in the panic.
pub(crate) async fn wait_for<T, F>(what: &str, mut poll: impl FnMut() -> F) -> T
where
    F: Future<Output = Option<T>>,
{
    let start = Instant::now();
    loop {
        if let Some(value) = poll().await {
            return value;
        }
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "timed out waiting for: {what}"
        );
        compio::time::sleep(Duration::from_millis(20)).await;
    }
}
