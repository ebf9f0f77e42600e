//! How long a lease on a worker may last by the clocks of other processes.

use std::time::Duration;

/// How much slower the worker's clock may run than the clocks of other processes, in thousandths.
const MAX_CLOCK_SLOWDOWN_MILLI: u128 = 20;

/// Returns the longest time for which a lease of `length` on the worker's clock may be valid.
pub fn max_lease_time(length: Duration) -> Duration {
    let micros = (length.as_micros() * 1_000).div_ceil(1_000 - MAX_CLOCK_SLOWDOWN_MILLI);
    Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
}
