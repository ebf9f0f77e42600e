//! Segments: objects that are created once and hold many entries.

use crate::entry::LedgerEntry;
use wax_platform::{ObjectClient, PutOutcome};
use wax_types::{ErrorKind, ShardId, Step, WaxError};

/// All segments start with it.
pub const LEDGER_PREFIX: &str = "ledger/";

const DAY_MS: u64 = 86_400_000;

/// Days since the Unix epoch, UTC.
pub fn day_number(at_ms: u64) -> u64 {
    at_ms / DAY_MS
}

/// The name of a segment; `nonce` makes it unique.
pub fn segment_key(day: u64, shard: ShardId, nonce: u64) -> String {
    format!("{LEDGER_PREFIX}{day:06}/{:04}-{nonce:016x}", shard.0)
}

/// Writes entries as one segment of the day `day`.
///
/// The day is that of writing: late entries go to a later day and leave a closed day as it is.
///
/// # Errors
///
/// The store does not answer. The same entries may be written again, under another name: entries
/// are told apart by their keys.
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
            // The name is drawn at random: it can only be this call's own, its reply lost.
            Ok(())
        }
    }
}

/// Reads the entries of all segments of the days `from` to `to`, both included.
///
/// # Errors
///
/// The store does not answer, or a segment cannot be read.
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
