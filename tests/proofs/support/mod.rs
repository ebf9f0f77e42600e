//! Starts the system in real processes and talks to it.

pub(crate) mod audit;
pub(crate) mod calls;
pub(crate) mod cluster;
pub(crate) mod history;
pub(crate) mod process;

use std::time::{Duration, Instant};

/// A state that has not come after this time will not come: the test fails.
const PATIENCE: Duration = Duration::from_secs(90);

/// Runs a test on a runtime of its own.
pub(crate) fn run<T>(test: impl Future<Output = T>) -> T {
    compio::runtime::Runtime::new()
        .expect("the runtime starts")
        .block_on(test)
}

/// Waits until `look` gives a value.
pub(crate) async fn wait_for<T, F>(what: &str, mut look: impl FnMut() -> F) -> T
where
    F: Future<Output = Option<T>>,
{
    let start = Instant::now();
    loop {
        if let Some(value) = look().await {
            return value;
        }
        assert!(start.elapsed() < PATIENCE, "waited in vain for: {what}");
        compio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// The seed of a test's random choices, printed so that a failure can be repeated.
pub(crate) fn seed(test: &str) -> u64 {
    let seed = std::env::var("WAXWING_SEED")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or_else(|| fastrand::u64(..));
    println!("{test}: WAXWING_SEED={seed}");
    seed
}

/// Names each case of a test: `cases!(function { name: argument, ... })`.
macro_rules! cases {
    ($run:ident { $($name:ident: $argument:expr),* $(,)? }) => {
        $(
            #[test]
            fn $name() {
                $crate::support::run($run($argument));
            }
        )*
    };
}
pub(crate) use cases;
