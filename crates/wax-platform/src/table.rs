//! Transactions on the table service, with lost replies settled.

use crate::store::StoreHealth;
use crate::wire::{
    CommitReply, CommitRequest, ReadReply, ReadRequest, RowCondition, RowWrite, ScanRequest,
    WireRow,
};
use compio::time::sleep;
use fastrand::Rng;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use wax_policy::BackoffPlan;
use wax_trace::{Counter, count, count_many};
use wax_types::{ErrorKind, RowVersion, Step, TimePoint, WaxError};

/// Rows asked for in one scan call.
const SCAN_ROWS: u32 = 1_000;
const RETRY_FLOOR: Duration = Duration::from_millis(30);
const RETRY_CEILING: Duration = Duration::from_secs(1);

/// A row that was read, decoded.
#[derive(Debug, Clone, PartialEq)]
pub struct RowEntry<T> {
    /// The key.
    pub key: Box<str>,
    /// Its version, for conditions.
    pub version: RowVersion,
    /// Its value.
    pub value: T,
}

/// Every value carries the nonce of the transaction that wrote it.
#[derive(Debug, Serialize, Deserialize)]
struct Envelope<T> {
    nonce: u64,
    value: T,
}

/// Conditions and writes that take effect together or not at all.
///
/// The first write must be a put of a row that is also a condition: it is the row that settles a
/// lost reply.
#[derive(Debug, Clone)]
pub struct TableTransaction {
    nonce: u64,
    conditions: Vec<RowCondition>,
    writes: Vec<RowWrite>,
}

impl Default for TableTransaction {
    fn default() -> Self {
        Self {
            nonce: fastrand::u64(1..),
            conditions: Vec::new(),
            writes: Vec::new(),
        }
    }
}

impl TableTransaction {
    /// Requires that the row has this version, without writing it.
    pub fn require(&mut self, key: impl Into<Box<str>>, version: RowVersion) -> &mut Self {
        let key = key.into();
        self.conditions.push(RowCondition { key, version });
        self
    }

    /// Replaces the row if it has this version; version 0 inserts.
    pub fn put<T: Serialize>(
        &mut self,
        key: impl Into<Box<str>>,
        version: RowVersion,
        value: &T,
    ) -> &mut Self {
        let key = key.into();
        let nonce = self.nonce;
        let value = serde_json::to_value(Envelope { nonce, value }).ok();
        debug_assert!(value.is_some(), "row values are plain data");
        self.require(key.clone(), version);
        self.writes.push(RowWrite { key, value });
        self
    }

    /// Deletes the row if it has this version.
    pub fn delete(&mut self, key: impl Into<Box<str>>, version: RowVersion) -> &mut Self {
        let key = key.into();
        self.require(key.clone(), version);
        self.writes.push(RowWrite { key, value: None });
        self
    }

    /// Adds the conditions and writes of another transaction, which keep their own nonce.
    pub(crate) fn absorb(&mut self, other: &Self) {
        self.conditions.extend(other.conditions.iter().cloned());
        self.writes.extend(other.writes.iter().cloned());
    }

    /// Whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.writes.is_empty()
    }

    /// How many rows are written.
    pub fn rows_written(&self) -> usize {
        self.writes.len()
    }

    /// The version that a row must have, if the row is a condition.
    pub fn required_version(&self, key: &str) -> Option<RowVersion> {
        let condition = self
            .conditions
            .iter()
            .find(|condition| *condition.key == *key)?;
        Some(condition.version)
    }

    /// The keys of all rows that are written or deleted.
    pub fn written_keys(&self) -> impl Iterator<Item = &str> {
        self.writes.iter().map(|write| &*write.key)
    }

    /// The keys of all conditions.
    pub fn keys(&self) -> impl Iterator<Item = &str> {
        self.conditions.iter().map(|condition| &*condition.key)
    }

    fn settling_key(&self) -> Option<&str> {
        self.writes
            .first()
            .filter(|write| write.value.is_some())
            .map(|write| &*write.key)
    }
}

/// What became of a transaction.
#[derive(Debug, Clone, PartialEq)]
pub enum CommitOutcome {
    /// It took effect, once; rows written have this version.
    Committed(RowVersion),
    /// It did not and will not take effect: these rows have other versions.
    Conflict(Vec<Box<str>>),
    /// Nothing was ever sent to the store.
    NotSent(WaxError),
    /// It may have taken effect, or may yet.
    Unknown(WaxError),
}

/// Reads and commits rows.
#[derive(Debug, Clone)]
pub struct TableClient {
    health: StoreHealth,
}

impl TableClient {
    /// Uses the store behind `health`.
    pub fn new(health: StoreHealth) -> Self {
        Self { health }
    }

    /// The store's health.
    pub fn health(&self) -> &StoreHealth {
        &self.health
    }

    /// Reads one row.
    ///
    /// # Errors
    ///
    /// The store does not answer, or the row does not decode.
    pub async fn read<T: DeserializeOwned>(
        &self,
        key: &str,
    ) -> Result<Option<RowEntry<T>>, WaxError> {
        Ok(self.read_many(&[key]).await?.pop())
    }

    /// Reads the rows that exist among `keys`.
    ///
    /// # Errors
    ///
    /// As for [`TableClient::read`].
    pub async fn read_many<T: DeserializeOwned>(
        &self,
        keys: &[&str],
    ) -> Result<Vec<RowEntry<T>>, WaxError> {
        count(Counter::StoreReads);
        let keys = keys.iter().map(|key| (*key).into()).collect();
        let request = ReadRequest { keys };
        let reply: ReadReply = self
            .health
            .post(Step::ReadTable, "/table/read", &request)
            .await?;
        reply.rows.into_iter().map(decode_row).collect()
    }

    /// Reads every row whose key starts with `prefix`, in the order of keys.
    ///
    /// # Errors
    ///
    /// As for [`TableClient::read`].
    pub async fn scan<T: DeserializeOwned>(
        &self,
        prefix: &str,
    ) -> Result<Vec<RowEntry<T>>, WaxError> {
        let mut rows = Vec::new();
        let mut after: Box<str> = "".into();
        loop {
            count(Counter::StoreReads);
            let request = ScanRequest {
                prefix: prefix.into(),
                after,
                limit: SCAN_ROWS,
            };
            let reply: ReadReply = self
                .health
                .post(Step::ReadTable, "/table/scan", &request)
                .await?;
            let full = reply.rows.len() == SCAN_ROWS as usize;
            after = reply
                .rows
                .last()
                .map_or_else(|| "".into(), |row| row.key.clone());
            for row in reply.rows {
                rows.push(decode_row(row)?);
            }
            if !full {
                return Ok(rows);
            }
        }
    }

    /// Commits, trying again until `deadline` while the fate is open.
    ///
    /// A transaction is sent again unchanged: its conditions let it take effect only once. A
    /// conflict after a lost reply is settled by the nonce in the first row written.
    pub async fn commit(
        &self,
        transaction: &TableTransaction,
        deadline: TimePoint,
    ) -> CommitOutcome {
        self.commit_again(transaction, deadline, false).await
    }

    /// Commits a transaction that may have been sent before, if `sent` says so.
    pub async fn commit_again(
        &self,
        transaction: &TableTransaction,
        deadline: TimePoint,
        mut sent: bool,
    ) -> CommitOutcome {
        let request = CommitRequest {
            conditions: transaction.conditions.clone(),
            writes: transaction.writes.clone(),
        };
        let mut backoff = BackoffPlan::new(RETRY_FLOOR, RETRY_CEILING);
        loop {
            let error = match self.send_commit(&request).await {
                Ok(CommitReply::Committed(version)) => return CommitOutcome::Committed(version),
                Ok(CommitReply::Conflict(keys)) if !sent => {
                    count(Counter::StoreConflicts);
                    return CommitOutcome::Conflict(keys);
                }
                Ok(CommitReply::Conflict(keys)) => match self.settle(transaction, keys).await {
                    Ok(outcome) => return outcome,
                    Err(error) => error,
                },
                Err(error) if !sent && matches!(error.kind, ErrorKind::Unavailable(_)) => {
                    // Nothing was sent: whoever waits is told at once.
                    return CommitOutcome::NotSent(error);
                }
                Err(error) => {
                    sent = true;
                    error
                }
            };
            let wait = backoff.next_delay(&mut Rng::new());
            if self.health.clock().now() + wait >= deadline {
                return CommitOutcome::Unknown(error);
            }
            sleep(wait).await;
        }
    }

    async fn send_commit(&self, request: &CommitRequest) -> Result<CommitReply, WaxError> {
        count(Counter::StoreCommits);
        count_many(Counter::StoreRowsWritten, request.writes.len() as u64);
        self.health
            .post(Step::CommitTable, "/table/commit", request)
            .await
    }

    /// Decides a conflict that followed a lost reply.
    async fn settle(
        &self,
        transaction: &TableTransaction,
        keys: Vec<Box<str>>,
    ) -> Result<CommitOutcome, WaxError> {
        let Some(key) = transaction.settling_key() else {
            let text = "a transaction without a settling row";
            let error = WaxError::new(ErrorKind::Ambiguous, Step::CommitTable, "table", text);
            return Ok(CommitOutcome::Unknown(error));
        };
        count(Counter::StoreReads);
        let request = ReadRequest {
            keys: vec![key.into()],
        };
        let reply: ReadReply = self
            .health
            .post(Step::ReadTable, "/table/read", &request)
            .await?;
        let ours = reply.rows.first().filter(|row| {
            row.value.get("nonce").and_then(serde_json::Value::as_u64) == Some(transaction.nonce)
        });
        count(Counter::StoreCommitsResolved);
        Ok(match ours {
            Some(row) => CommitOutcome::Committed(row.version),
            None => CommitOutcome::Conflict(keys),
        })
    }
}

fn decode_row<T: DeserializeOwned>(row: WireRow) -> Result<RowEntry<T>, WaxError> {
    let envelope: Envelope<T> = serde_json::from_value(row.value).map_err(|error| {
        WaxError::new(ErrorKind::Protocol, Step::ReadTable, row.key.clone(), error)
    })?;
    Ok(RowEntry {
        key: row.key,
        version: row.version,
        value: envelope.value,
    })
}
