//! Latency histograms of the process, one for each step that callers or workers wait for.

use hdrhistogram::Histogram;
use std::cell::RefCell;
use std::fmt::Write;
use std::time::Duration;

macro_rules! latencies {
    ($($(#[$doc:meta])* $variant:ident = $name:literal,)*) => {
        /// What is timed; the name in metrics is `waxwing_` and the step's name.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum Latency {
            $($(#[$doc])* $variant,)*
        }

        const NAMES: &[&str] = &[$($name),*];
    };
}

latencies! {
    /// From a caller's request to the answer to it.
    AcceptJob = "accept_job",
    /// One transaction of an owner's chain, until its fate was known.
    ChainWrite = "chain_write",
    /// From a start sent to a worker to its answer.
    StartRun = "start_run",
    /// A hold, without the wait that it asked for.
    Hold = "hold",
    /// From a takeover to the shard loaded.
    Load = "load",
    /// From a takeover until all workers were heard or had lapsed.
    Settle = "settle",
}

/// The longest time that is told apart, milliseconds.
const MAX_LATENCY_MS: u64 = 120_000;
/// One significant digit keeps a histogram below two kilobytes.
const SIGNIFICANT_DIGITS: u8 = 1;
/// Quantiles that are shown.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 1.0];

thread_local! {
    /// A process of the system runs on one thread.
    static HISTOGRAMS: RefCell<Vec<Option<Histogram<u32>>>> = RefCell::new(vec![None; NAMES.len()]);
}

/// Notes how long a step took.
pub fn record_latency(latency: Latency, duration: Duration) {
    HISTOGRAMS.with_borrow_mut(|histograms| {
        let slot = &mut histograms[latency as usize];
        if slot.is_none() {
            // The bounds are constants that the library accepts.
            *slot = Histogram::new_with_bounds(1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS).ok();
        }
        if let Some(histogram) = slot {
            histogram.saturating_record(duration.as_millis() as u64);
        }
    });
}

/// All histograms as text, a line for each quantile and count.
pub fn render_latencies(text: &mut String) {
    HISTOGRAMS.with_borrow(|histograms| {
        for (name, histogram) in NAMES.iter().zip(histograms) {
            let Some(histogram) = histogram else {
                continue;
            };
            for quantile in QUANTILES {
                let value = histogram.value_at_quantile(quantile);
                // Writing to a string does not fail.
                let _ = writeln!(text, "waxwing_{name}_ms{{quantile=\"{quantile}\"}} {value}");
            }
            let _ = writeln!(text, "waxwing_{name}_ms_count {}", histogram.len());
        }
    });
}
