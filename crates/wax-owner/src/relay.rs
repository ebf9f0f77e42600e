//! Sends transactions to the store for fronts that cannot reach it.

use crate::fate::{TxFate, transact};
use crate::shared::PoolShared;
use platform::{RowKey, RowWrite, StoredRow, TxRequest};
use std::time::Duration;
use wax_trace::{Counter, count};
use wax_types::{ErrorKind, Step, TimePoint, WaxError};
use wax_wire::{ExpectFrame, RelayReply, RelayRequest, RelayResult, RowFrame};

/// No asker waits longer.
const MOST_WAIT_MS: u32 = 10_000;

/// What has become of asking another process to send a transaction.
#[derive(Debug, Clone, PartialEq)]
pub enum AskOutcome {
    /// It was handed to no link.
    NotAsked,
    /// It was handed to a link, and no answer came.
    NoAnswer,
    /// The other process has answered.
    Told(RelayReply),
}

/// Whether a transaction that others were asked to send may take effect yet.
///
/// A question that was handed to a link may be read and carried out at any later time, whether or not
/// the link stands.
#[derive(Debug, Default)]
pub struct RelayDoubt {
    may_be_sent: bool,
}

impl RelayDoubt {
    /// Takes what has become of a question; `Some` ends the asking.
    pub fn take(&mut self, outcome: AskOutcome) -> Option<TxFate> {
        let told = match outcome {
            AskOutcome::NotAsked => return None,
            AskOutcome::NoAnswer => {
                self.may_be_sent = true;
                return None;
            }
            AskOutcome::Told(told) => told,
        };
        match told.result() {
            RelayResult::Committed => Some(TxFate::Committed(told.version)),
            RelayResult::Conflict => Some(TxFate::Conflict(relayed_rows(told))),
            RelayResult::Unknown => {
                self.may_be_sent = true;
                None
            }
            RelayResult::NotSent => None,
            RelayResult::Refused if self.may_be_sent => None,
            RelayResult::Refused => Some(TxFate::Refused(relay_error("the store refuses it"))),
        }
    }

    /// The fate when nobody is asked any more.
    pub fn end(&self) -> TxFate {
        let error = relay_error("neither the store nor the owner answers");
        match self.may_be_sent {
            true => TxFate::Unknown(error),
            false => TxFate::NotSent(error),
        }
    }
}

fn relay_error(text: &str) -> WaxError {
    WaxError::new(ErrorKind::Timeout, Step::SubmitJob, "owner", text)
}

/// Tells how old what a peer sends is, on a link whose heartbeats carry the peer's clock.
#[derive(Debug, Default)]
pub struct PeerAge {
    /// The least of our clock less the peer's at the arrival of a heartbeat, microseconds.
    least_offset: Option<i128>,
}

impl PeerAge {
    /// Takes a heartbeat that was sent at `sent_us` of the peer's clock.
    pub fn heartbeat(&mut self, sent_us: u64, now: TimePoint) {
        let offset = i128::from(now.0) - i128::from(sent_us);
        self.least_offset = Some(self.least_offset.map_or(offset, |least| least.min(offset)));
    }

    /// For how long something has been on its way beyond what the fastest heartbeat took.
    pub fn of(&self, sent_us: u64, now: TimePoint) -> Duration {
        let offset = i128::from(now.0) - i128::from(sent_us);
        let age = self.least_offset.map_or(0, |least| offset - least);
        Duration::from_micros(u64::try_from(age).unwrap_or(0))
    }
}

/// Sends what a peer asks for, unchanged, until its fate is known or the peer waits no more.
///
/// `age` is how long the question was on its way: one that came too late is not sent at all.
pub async fn relay_transaction(
    shared: &PoolShared,
    ask: RelayRequest,
    age: Duration,
) -> RelayReply {
    let wait = Duration::from_millis(ask.wait_ms.min(MOST_WAIT_MS).into());
    let number = ask.request_id;
    let left = wait.saturating_sub(age);
    if left.is_zero() {
        tracing::info!(
            ask = number,
            age_ms = age.as_millis() as u64,
            "transaction of a peer came too late"
        );
        return encode_fate(number, TxFate::NotSent(relay_error("it came too late")));
    }
    count(Counter::TransactionsRelayed);
    let tx = decode_ask(ask);
    let fate = transact(&shared.store, shared.clock, &tx, shared.now() + left).await;
    encode_fate(number, fate)
}

/// The question for a transaction, sent at `now`.
pub fn encode_ask(ask: u64, tx: &TxRequest, wait: Duration, now: TimePoint) -> RelayRequest {
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
        request_id: ask,
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

fn decode_ask(ask: RelayRequest) -> TxRequest {
    let expect = ask
        .expect
        .into_iter()
        .map(|row| (RowKey::new(&row.table, &row.part, row.key), row.version));
    let writes = ask.writes.into_iter().map(|row| RowWrite {
        key: RowKey::new(&row.table, &row.part, row.key),
        value: row.value,
    });
    TxRequest {
        expect: expect.collect(),
        writes: writes.collect(),
        remove: ask
            .remove
            .into_iter()
            .map(|row| RowKey::new(&row.table, &row.part, row.key))
            .collect(),
    }
}

fn encode_fate(ask: u64, fate: TxFate) -> RelayReply {
    let mut told = RelayReply {
        request_id: ask,
        ..Default::default()
    };
    match fate {
        TxFate::Committed(version) => {
            told.set_result(RelayResult::Committed);
            told.version = version;
        }
        TxFate::Conflict(rows) => {
            told.set_result(RelayResult::Conflict);
            let rows = rows
                .iter()
                .map(|row| row_frame(&row.key, &row.value, row.version));
            told.rows = rows.collect();
        }
        TxFate::NotSent(_) => told.set_result(RelayResult::NotSent),
        TxFate::Unknown(_) => told.set_result(RelayResult::Unknown),
        TxFate::Refused(_) => told.set_result(RelayResult::Refused),
    }
    told
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

/// The rows of an answer.
fn relayed_rows(told: RelayReply) -> Vec<StoredRow> {
    let rows = told.rows.into_iter().map(|row| StoredRow {
        key: RowKey::new(&row.table, &row.part, row.key),
        value: row.value,
        version: row.version,
    });
    rows.collect()
}
