//! Latency histograms of the process, one for each operation that callers or workers wait for.

use hdrhistogram::Histogram;
use std::cell::RefCell;
use std::fmt::Write;
use std::time::Duration;

macro_rules! latencies {
    ($($(#[$doc:meta])* $variant:ident = $name:literal,)*) => {
        /// Operations whose duration is recorded. The name of a metric is `waxwing_`, the name of
        /// the operation and `_ms`.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum Latency {
            $($(#[$doc])* $variant,)*
        }

        const NAMES: &[&str] = &[$($name),*];
    };
}

latencies! {
    /// Time from a caller's request for a job to the response.
    AcceptJob = "accept_job",
    /// Duration of one transaction of the owner's write chain until its outcome is known.
    ChainWrite = "chain_write",
    /// Time from a start order sent to a worker to the worker's answer.
    StartRun = "start_run",
    /// Duration of a hold call, excluding the requested wait.
    Hold = "hold",
    /// Time from a takeover until the state of the shard is loaded.
    Load = "load",
    /// Time from a takeover until all workers have reported or their leases have expired.
    Settle = "settle",
}

/// Upper bound of the histograms. Longer durations are recorded with this value.
const MAX_LATENCY_MS: u64 = 120_000;
/// Precision of the histograms. One significant digit keeps a histogram below two kilobytes.
const SIGNIFICANT_DIGITS: u8 = 1;
/// Quantiles in the metrics output.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 1.0];

thread_local! {
    // Thread-local storage is sufficient because each process runs all its code on one thread.
    static HISTOGRAMS: RefCell<Vec<Option<Histogram<u32>>>> = RefCell::new(vec![None; NAMES.len()]);
}

/// Adds the duration of one operation to its histogram.
pub fn record_latency(latency: Latency, duration: Duration) {
    HISTOGRAMS.with_borrow_mut(|histograms| {
        let slot = &mut histograms[latency as usize];
        if slot.is_none() {
            // Creation fails only for invalid bounds, and these are valid constants.
            *slot = Histogram::new_with_bounds(1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS).ok();
        }
        if let Some(histogram) = slot {
            histogram.saturating_record(duration.as_millis() as u64);
        }
    });
}

/// Appends all histograms to `text`: one line for each quantile and one for the count.
pub fn render_latencies(text: &mut String) {
    HISTOGRAMS.with_borrow(|histograms| {
        for (name, histogram) in NAMES.iter().zip(histograms) {
            let Some(histogram) = histogram else {
                continue;
            };
            for quantile in QUANTILES {
                let value = histogram.value_at_quantile(quantile);
                // Writing to a string cannot fail.
                let _ = writeln!(text, "waxwing_{name}_ms{{quantile=\"{quantile}\"}} {value}");
            }
            let _ = writeln!(text, "waxwing_{name}_ms_count {}", histogram.len());
        }
    });
}
