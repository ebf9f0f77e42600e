//! Faults of the platform's store that are switched on while it runs.

use serde::{Deserialize, Serialize};

/// `POST /faults` replaces all of them.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct StoreFaults {
    /// Every call is answered 503 without effect.
    pub(crate) down: bool,
    /// Every call waits this long first.
    pub(crate) delay_ms: u64,
    /// In how many percent of the commits the effect takes place and the reply is lost.
    pub(crate) lose_replies_percent: u32,
    /// Only commits that touch a key with this prefix lose replies; empty for all.
    pub(crate) lose_prefix: String,
    /// The platform's list of workers is refused.
    pub(crate) no_workers: bool,
}
