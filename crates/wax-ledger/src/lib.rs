//! The ledger: resource usage of all runs for billing, stored in immutable segments in the object
//! store.

mod entry;
mod segment;
mod sum;

pub use entry::{LedgerEntry, UsageAmount, UsageKey};
pub use segment::{LEDGER_PREFIX, day_number, read_days, segment_key, write_segment};
pub use sum::{UsageRow, UsageSum};
