//! What all tests on real processes use.

use std::time::{Duration, Instant};

/// A state that has not come after this time will not come: the test fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);

/// Runs a test on a runtime of its own.
pub(crate) fn run<T>(test: impl Future<Output = T>) -> T {
    compio::runtime::Runtime::new()
        .expect("the runtime starts")
        .block_on(test)
}

/// Waits until `look` gives a value.
pub(crate) async fn wait_for<T, F>(what: &str, mut poll: impl FnMut() -> F) -> T
where
    F: Future<Output = Option<T>>,
{
    let start = Instant::now();
    loop {
        if let Some(value) = poll().await {
            return value;
        }
        assert!(start.elapsed() < WAIT_TIMEOUT, "waited in vain for: {what}");
        compio::time::sleep(Duration::from_millis(20)).await;
    }
}
