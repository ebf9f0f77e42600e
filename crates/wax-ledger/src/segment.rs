//! Segments of the ledger: objects that are written once and hold many entries.

use crate::entry::LedgerEntry;
use wax_platform::{ObjectClient, PutOutcome};
use wax_types::{ErrorKind, ShardId, Step, WaxError};

/// Prefix of the object names of all segments.
pub const LEDGER_PREFIX: &str = "ledger/";

const DAY_MS: u64 = 86_400_000;

/// Returns the number of days from the Unix epoch to `at_ms` (Unix milliseconds), in UTC.
pub fn day_number(at_ms: u64) -> u64 {
    at_ms / DAY_MS
}

/// Returns the object name of a segment. `nonce` makes the name unique within the day and shard.
pub fn segment_key(day: u64, shard: ShardId, nonce: u64) -> String {
    format!("{LEDGER_PREFIX}{day:06}/{:04}-{nonce:016x}", shard.0)
}

/// Writes entries as one segment of the day `day`.
///
/// `day` is the day of the write, not of the usage. Late entries thus go to a later day, and past
/// days do not change.
///
/// # Errors
///
/// The store does not answer; the segment may have been written. The caller may write the same
/// entries again under another name, since [`crate::UsageSum`] counts each entry key once.
pub async fn write_segment(
    objects: &ObjectClient,
    day: u64,
    shard: ShardId,
    entries: &[LedgerEntry],
) -> Result<(), WaxError> {
    let bytes = serde_json::to_vec(entries).unwrap_or_default();
    let key = segment_key(day, shard, fastrand::u64(..));
    match objects.create(&key, bytes).await? {
        PutOutcome::Created => Ok(()),
        PutOutcome::Existed => {
            // The name contains a random nonce, so an existing object was written by this call,
            // whose first reply was lost.
            Ok(())
        }
    }
}

/// Reads the entries of all segments of the days `from` to `to`, both included.
///
/// # Errors
///
/// The store does not answer, or a segment cannot be decoded.
pub async fn read_days(
    objects: &ObjectClient,
    from: u64,
    to: u64,
) -> Result<Vec<LedgerEntry>, WaxError> {
    let mut entries = Vec::new();
    for day in from..=to {
        for key in objects.list(&format!("{LEDGER_PREFIX}{day:06}/")).await? {
            let Some(bytes) = objects.read(&key).await? else {
                continue;
            };
            let segment: Vec<LedgerEntry> = serde_json::from_slice(&bytes).map_err(|error| {
                WaxError::new(ErrorKind::Protocol, Step::ReadUsage, key.clone(), error)
            })?;
            entries.extend(segment);
        }
    }
    Ok(entries)
}
