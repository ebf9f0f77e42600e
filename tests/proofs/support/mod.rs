//! Starts the system as real processes and sends requests to it.

pub(crate) mod audit;
pub(crate) mod calls;
pub(crate) mod cluster;
pub(crate) mod history;
pub(crate) mod process;

pub(crate) use crate::common::{run, wait_for};

/// Returns the seed of a test's random choices and prints it, so that a failure can be reproduced.
pub(crate) fn seed(test: &str) -> u64 {
    let seed = std::env::var("WAXWING_SEED")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or_else(|| fastrand::u64(..));
    println!("{test}: WAXWING_SEED={seed}");
    seed
}

/// Defines one test for each case of a function: `cases!(function { name: argument, ... })`.
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
