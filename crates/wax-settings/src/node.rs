//! Settings of one node of the settings tree. A node inherits each value from its parent unless it
//! overrides the value.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Scheduling class of the tasks of a job kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Default)]
#[serde(rename_all = "kebab-case")]
pub enum TaskClass {
    /// Must start immediately; may evict batch tasks.
    LatencyCritical,
    /// Starts when capacity is free.
    #[default]
    Batch,
}

macro_rules! node_settings {
    ($($(#[$doc:meta])* $key:ident: $kind:ty = $default:expr, $min:expr, $max:expr;)*) => {
        /// Values that one node overrides; `None` for inherited values.
        #[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
        #[serde(deny_unknown_fields)]
        pub struct NodeSettings {
            $(
                $(#[$doc])*
                #[serde(default, skip_serializing_if = "Option::is_none")]
                pub $key: Option<$kind>,
            )*
        }

        /// Name, default and bounds of each key.
        #[derive(Debug, Clone, PartialEq)]
        pub struct KeyInfo {
            /// Name of the key in the settings tree.
            pub key: &'static str,
            /// Value that applies if no node from the root down sets the key.
            pub default: Value,
            /// Lower bound, inclusive; `None` if the value is not a number.
            pub min: Option<u64>,
            /// Upper bound, inclusive; `None` if the value is not a number.
            pub max: Option<u64>,
        }

        /// Returns all keys in the order of their declaration.
        pub fn key_table() -> Vec<KeyInfo> {
            vec![$(KeyInfo {
                key: stringify!($key),
                default: serde_json::json!($default),
                min: $min,
                max: $max,
            }),*]
        }

        /// Values in force at one node, with inherited values and defaults filled in.
        #[derive(Debug, Clone, PartialEq, Serialize)]
        pub struct ResolvedSettings {
            $($(#[$doc])* pub $key: $kind,)*
        }

        impl Default for ResolvedSettings {
            fn default() -> Self {
                Self { $($key: $default,)* }
            }
        }

        impl ResolvedSettings {
            pub(crate) fn apply(&mut self, node: &NodeSettings) {
                $(
                    if let Some(value) = &node.$key {
                        self.$key = value.clone();
                    }
                )*
            }
        }
    };
}

node_settings! {
    /// Deadline of a quick request that specifies none, milliseconds.
    deadline_ms: u32 = 2_000, Some(1), Some(600_000);
    /// Retry budget, in percent of the team's requests.
    retry_percent: u32 = 10, Some(0), Some(100);
    /// Budget for hedged attempts, in percent of the team's idempotent requests.
    hedge_percent: u32 = 4, Some(0), Some(100);
    /// Maximum number of concurrent quick requests of a team at one entry.
    requests_in_flight: u32 = 256, Some(0), Some(100_000);
    /// Maximum size of a request body, kibibytes.
    body_kib: u32 = 16_384, Some(1), Some(1_048_576);
    /// Share of a team relative to other teams when demand exceeds capacity.
    weight: u32 = 100, Some(1), Some(10_000);
    /// Quota for all running tasks of a team, thousandths of a core.
    quota_cpu_milli: u32 = 64_000, Some(0), Some(4_000_000_000);
    /// Quota for all running tasks of a team, mebibytes of memory.
    quota_memory_mib: u32 = 262_144, Some(0), Some(4_000_000_000);
    /// Quota for all running tasks of a team, number of accelerators.
    quota_accelerators: u32 = 0, Some(0), Some(100_000);
    /// Scheduling class of a job kind.
    class: TaskClass = TaskClass::Batch, None, None;
    /// Size of one task, thousandths of a core.
    cpu_milli: u32 = 1_000, Some(1), Some(10_000_000);
    /// Size of one task, mebibytes of memory.
    memory_mib: u32 = 1_024, Some(1), Some(100_000_000);
    /// Size of one task, number of accelerators.
    accelerators: u32 = 0, Some(0), Some(10_000);
    /// Expected run time of one task, seconds.
    run_time_s: u32 = 600, Some(1), Some(2_592_000);
    /// Number of failed runs after which a task is not retried.
    attempts: u32 = 3, Some(1), Some(100);
    /// Weight of tail latency in placement and eviction decisions.
    weight_tail: u32 = 50, Some(0), Some(1_000);
    /// Weight of batch throughput in placement and eviction decisions.
    weight_throughput: u32 = 50, Some(0), Some(1_000);
    /// Weight of avoiding evictions in placement and eviction decisions.
    weight_eviction: u32 = 50, Some(0), Some(1_000);
    /// Start of the working day, minutes after midnight UTC.
    day_start_min: u32 = 0, Some(0), Some(1_440);
    /// End of the working day, minutes after midnight UTC.
    day_end_min: u32 = 1_440, Some(0), Some(1_440);
}
