//! The settings of one node of the tree: each is inherited unless it is overridden.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// How urgent the tasks of a job kind are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Default)]
#[serde(rename_all = "kebab-case")]
pub enum TaskClass {
    /// Must start at once; may evict batch tasks.
    LatencyCritical,
    /// Runs when there is room.
    #[default]
    Batch,
}

macro_rules! node_settings {
    ($($(#[$doc:meta])* $key:ident: $kind:ty = $default:expr, $min:expr, $max:expr;)*) => {
        /// What a node overrides.
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
            /// Its name.
            pub key: &'static str,
            /// Its value where no level sets it.
            pub default: Value,
            /// The least that is accepted; `None` where the value is no number.
            pub min: Option<u64>,
            /// The most that is accepted.
            pub max: Option<u64>,
        }

        /// Every key, in the order of declaration.
        pub fn key_table() -> Vec<KeyInfo> {
            vec![$(KeyInfo {
                key: stringify!($key),
                default: serde_json::json!($default),
                min: $min,
                max: $max,
            }),*]
        }

        /// The values in force at a node.
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
    /// Deadline of a quick request that names none, milliseconds.
    deadline_ms: u32 = 2_000, Some(1), Some(600_000);
    /// Retries, in percent of a team's requests.
    retry_percent: u32 = 10, Some(0), Some(100);
    /// Hedged attempts, in percent of a team's idempotent requests.
    hedge_percent: u32 = 4, Some(0), Some(100);
    /// Quick requests of a team under way at one entry.
    requests_in_flight: u32 = 256, Some(0), Some(100_000);
    /// Largest body of a request, kibibytes.
    body_kib: u32 = 16_384, Some(1), Some(1_048_576);
    /// A team's share where all want more than there is.
    weight: u32 = 100, Some(1), Some(10_000);
    /// Quota of running tasks: thousandths of a core.
    quota_cpu_milli: u32 = 64_000, Some(0), Some(4_000_000_000);
    /// Quota of running tasks: mebibytes.
    quota_memory_mib: u32 = 262_144, Some(0), Some(4_000_000_000);
    /// Quota of running tasks: accelerators.
    quota_accelerators: u32 = 0, Some(0), Some(100_000);
    /// Urgency of a job kind.
    class: TaskClass = TaskClass::Batch, None, None;
    /// Size of one task: thousandths of a core.
    cpu_milli: u32 = 1_000, Some(1), Some(10_000_000);
    /// Size of one task: mebibytes.
    memory_mib: u32 = 1_024, Some(1), Some(100_000_000);
    /// Size of one task: accelerators.
    accelerators: u32 = 0, Some(0), Some(10_000);
    /// Expected run time of one task, seconds.
    run_time_s: u32 = 600, Some(1), Some(2_592_000);
    /// Runs of a task that may fail before it is given up.
    attempts: u32 = 3, Some(1), Some(100);
    /// How much tail latency counts in placement and eviction.
    weight_tail: u32 = 50, Some(0), Some(1_000);
    /// How much batch throughput counts.
    weight_throughput: u32 = 50, Some(0), Some(1_000);
    /// How much evictions count.
    weight_eviction: u32 = 50, Some(0), Some(1_000);
    /// Start of the working day, minutes after midnight UTC.
    day_start_min: u32 = 0, Some(0), Some(1_440);
    /// End of the working day, minutes after midnight UTC.
    day_end_min: u32 = 1_440, Some(0), Some(1_440);
}
