//! Sends transactions to the store for fronts that cannot reach it.

use crate::fate::{TxFate, transact};
use crate::shared::PoolShared;
use platform::{RowKey, RowWrite, StoredRow, TxRequest};
use std::time::Duration;
use wax_trace::{Counter, count};
use wax_wire::{ExpectFrame, RelayAsk, RelayFate, RelayTold, RowFrame};

/// No asker waits longer.
const MOST_WAIT_MS: u32 = 10_000;

/// Sends what a front asks for, unchanged, until its fate is known or the front waits no more.
pub(crate) async fn relay_transaction(shared: &PoolShared, ask: RelayAsk) -> RelayTold {
    count(Counter::TransactionsRelayed);
    let wait = Duration::from_millis(ask.wait_ms.min(MOST_WAIT_MS).into());
    let number = ask.ask;
    let tx = decode_ask(ask);
    let fate = transact(&shared.store, shared.clock, &tx, shared.now() + wait).await;
    encode_fate(number, fate)
}

/// The question for a transaction.
pub fn encode_ask(ask: u64, tx: &TxRequest, wait: Duration) -> RelayAsk {
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
    RelayAsk {
        ask,
        expect: expect.collect(),
        writes: writes.collect(),
        wait_ms: wait.as_millis() as u32,
    }
}

fn decode_ask(ask: RelayAsk) -> TxRequest {
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
        remove: Vec::new(),
    }
}

fn encode_fate(ask: u64, fate: TxFate) -> RelayTold {
    let mut told = RelayTold {
        ask,
        ..Default::default()
    };
    match fate {
        TxFate::Committed(version) => {
            told.set_fate(RelayFate::Committed);
            told.version = version;
        }
        TxFate::Conflict(rows) => {
            told.set_fate(RelayFate::Conflict);
            let rows = rows
                .iter()
                .map(|row| row_frame(&row.key, &row.value, row.version));
            told.rows = rows.collect();
        }
        TxFate::NotSent(_) => told.set_fate(RelayFate::NotSent),
        TxFate::Unknown(_) => told.set_fate(RelayFate::Unknown),
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
pub fn relayed_rows(told: RelayTold) -> Vec<StoredRow> {
    let rows = told.rows.into_iter().map(|row| StoredRow {
        key: RowKey::new(&row.table, &row.part, row.key),
        value: row.value,
        version: row.version,
    });
    rows.collect()
}
