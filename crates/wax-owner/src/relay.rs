//! Sends transactions to the store on behalf of peers that cannot reach it.

use crate::shared::PoolShared;
use crate::tx_resolution::{TxResolution, transact};
use platform::{RowKey, RowWrite, StoredRow, TxCommit, TxRequest};
use std::time::Duration;
use wax_trace::{Counter, count};
use wax_types::{ErrorKind, Step, StoreTime, TimePoint, WaxError};
use wax_wire::{ExpectFrame, RelayReply, RelayRequest, RelayResult, RowFrame};

/// Longest time for which a relayed transaction is retried.
const MAX_WAIT_MS: u32 = 10_000;

/// Outcome of one request to another process to send a transaction.
#[derive(Debug, Clone, PartialEq)]
pub enum RelayAttempt {
    /// No link was available, so the request was not sent.
    NoLink,
    /// The request was handed to a link, and no answer came.
    NoAnswer,
    /// The other process has answered.
    Answered(RelayReply),
}

/// Tracks over several relay requests whether the transaction may still take effect.
///
/// A request that was handed to a link may be read and executed at any later time, even if the link
/// breaks.
#[derive(Debug, Default)]
pub struct RelayTracker {
    may_take_effect: bool,
}

impl RelayTracker {
    /// Records the outcome of one request. Returns the final resolution, or `None` if another
    /// request should be sent.
    pub fn record(&mut self, attempt: RelayAttempt) -> Option<TxResolution> {
        let reply = match attempt {
            RelayAttempt::NoLink => return None,
            RelayAttempt::NoAnswer => {
                self.may_take_effect = true;
                return None;
            }
            RelayAttempt::Answered(reply) => reply,
        };
        match reply.result() {
            RelayResult::Committed => Some(TxResolution::Committed(relayed_commit(&reply))),
            RelayResult::Conflict => Some(TxResolution::Conflict(relayed_rows(reply))),
            RelayResult::Unknown => {
                self.may_take_effect = true;
                None
            }
            RelayResult::NotSent => None,
            RelayResult::Refused if self.may_take_effect => None,
            RelayResult::Refused => {
                Some(TxResolution::Refused(relay_error("the store refuses it")))
            }
        }
    }

    /// Returns the resolution when no further request will be sent.
    pub fn finish(&self) -> TxResolution {
        let error = relay_error("neither the store nor the owner answers");
        match self.may_take_effect {
            true => TxResolution::Unknown(error),
            false => TxResolution::NotSent(error),
        }
    }
}

fn relay_error(text: &str) -> WaxError {
    WaxError::new(ErrorKind::Timeout, Step::SubmitJob, "owner", text)
}

/// Estimates the transit time of a peer's messages on a link whose heartbeats carry the peer's
/// clock.
#[derive(Debug, Default)]
pub struct TransitDelay {
    /// Smallest difference between this clock and the peer's at the arrival of a heartbeat, in
    /// microseconds.
    min_offset_us: Option<i128>,
}

impl TransitDelay {
    /// Records a heartbeat that was sent at `sent_us` on the peer's clock.
    pub fn record_heartbeat(&mut self, sent_us: u64, now: TimePoint) {
        let offset = i128::from(now.0) - i128::from(sent_us);
        self.min_offset_us = Some(self.min_offset_us.map_or(offset, |min| min.min(offset)));
    }

    /// Returns by how much the transit of a message sent at `sent_us` exceeds that of the fastest
    /// heartbeat.
    pub fn delay_of(&self, sent_us: u64, now: TimePoint) -> Duration {
        let offset = i128::from(now.0) - i128::from(sent_us);
        let delay = self.min_offset_us.map_or(0, |min| offset - min);
        Duration::from_micros(u64::try_from(delay).unwrap_or(0))
    }
}

/// Sends a peer's transaction, unchanged, until its effect is known or the peer has stopped
/// waiting.
///
/// `delay` is the estimated transit time of the request; zero if unknown. A request that arrives
/// after its deadline is not sent to the store.
pub async fn relay_transaction(
    shared: &PoolShared,
    request: RelayRequest,
    delay: Duration,
) -> RelayReply {
    let wait = Duration::from_millis(request.wait_ms.min(MAX_WAIT_MS).into());
    let id = request.request_id;
    let left = wait.saturating_sub(delay);
    if left.is_zero() {
        tracing::info!(
            ask = id,
            age_ms = delay.as_millis() as u64,
            "a peer's transaction arrived after its deadline"
        );
        return encode_reply(
            id,
            TxResolution::NotSent(relay_error("the request arrived after its deadline")),
        );
    }
    count(Counter::TransactionsRelayed);
    let tx = decode_relay_request(request);
    let resolution = transact(&shared.store, shared.clock, &tx, shared.now() + left).await;
    encode_reply(id, resolution)
}

/// Encodes a relay request for a transaction, sent at `now`.
pub fn encode_relay_request(
    id: u64,
    tx: &TxRequest,
    wait: Duration,
    now: TimePoint,
) -> RelayRequest {
    let expect = tx.expect.iter().map(|(key, version)| ExpectFrame {
        table: key.table.to_string(),
        part: key.part.to_string(),
        key: key.key.to_string(),
        version: *version,
    });
    let writes = tx
        .writes
        .iter()
        .map(|row| row_frame(&row.key, &row.value, 0));
    RelayRequest {
        request_id: id,
        expect: expect.collect(),
        writes: writes.collect(),
        wait_ms: wait.as_millis() as u32,
        sent_us: now.0,
        remove: tx.remove.iter().map(key_frame).collect(),
    }
}

fn key_frame(key: &RowKey) -> RowFrame {
    row_frame(key, &[], 0)
}

fn decode_relay_request(request: RelayRequest) -> TxRequest {
    let expect = request
        .expect
        .into_iter()
        .map(|row| (RowKey::new(&row.table, &row.part, row.key), row.version));
    let writes = request.writes.into_iter().map(|row| RowWrite {
        key: RowKey::new(&row.table, &row.part, row.key),
        value: row.value,
    });
    TxRequest {
        expect: expect.collect(),
        writes: writes.collect(),
        remove: request
            .remove
            .into_iter()
            .map(|row| RowKey::new(&row.table, &row.part, row.key))
            .collect(),
    }
}

fn encode_reply(id: u64, resolution: TxResolution) -> RelayReply {
    let mut reply = RelayReply {
        request_id: id,
        ..Default::default()
    };
    match resolution {
        TxResolution::Committed(commit) => {
            reply.set_result(RelayResult::Committed);
            reply.version = commit.version;
            reply.store_ms = commit.answered_at.map(|time| time.0);
        }
        TxResolution::Conflict(rows) => {
            reply.set_result(RelayResult::Conflict);
            let rows = rows
                .iter()
                .map(|row| row_frame(&row.key, &row.value, row.version));
            reply.rows = rows.collect();
        }
        TxResolution::NotSent(_) => reply.set_result(RelayResult::NotSent),
        TxResolution::Unknown(_) => reply.set_result(RelayResult::Unknown),
        TxResolution::Refused(_) => reply.set_result(RelayResult::Refused),
    }
    reply
}

fn row_frame(key: &RowKey, value: &[u8], version: u64) -> RowFrame {
    RowFrame {
        table: key.table.to_string(),
        part: key.part.to_string(),
        key: key.key.to_string(),
        value: value.to_vec(),
        version,
    }
}

fn relayed_commit(reply: &RelayReply) -> TxCommit {
    TxCommit {
        version: reply.version,
        answered_at: reply.store_ms.map(StoreTime),
    }
}

/// Returns the current rows from the reply to a transaction that conflicted.
fn relayed_rows(reply: RelayReply) -> Vec<StoredRow> {
    let rows = reply.rows.into_iter().map(|row| StoredRow {
        key: RowKey::new(&row.table, &row.part, row.key),
        value: row.value,
        version: row.version,
    });
    rows.collect()
}
