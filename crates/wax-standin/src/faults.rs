//! Faults that tests inject into the platform's store while it runs.

use serde::{Deserialize, Serialize};

/// Faults of the store. `POST /faults` replaces all of them; fields that the request omits are
/// reset.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct StoreFaults {
    /// Every call is answered with 503 and has no effect.
    pub(crate) down: bool,
    /// Delay before every call is processed, milliseconds.
    pub(crate) delay_ms: u64,
    /// Percentage of commits that are processed but whose reply is lost.
    pub(crate) lose_replies_percent: u32,
    /// Replies are lost only for commits that write a key with this prefix; empty for all keys.
    pub(crate) lose_prefix: String,
    /// Requests for the platform's worker list are answered with 503.
    pub(crate) no_workers: bool,
}
