//! Client for the table service. Resolves by a nonce whether a transaction took effect when its reply was lost.

use crate::store::StoreHandle;
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

/// Number of rows requested by one scan call.
const ROWS_PER_SCAN: u32 = 1_000;
const MIN_RETRY_DELAY: Duration = Duration::from_millis(30);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Row that was read, with its decoded value.
#[derive(Debug, Clone, PartialEq)]
pub struct RowEntry<T> {
    /// Key of the row.
    pub key: Box<str>,
    /// Version of the row, for use in conditions.
    pub version: RowVersion,
    /// Decoded value of the row.
    pub value: T,
}

/// Stored form of a value: contains the nonce of the transaction that wrote it.
#[derive(Debug, Serialize, Deserialize)]
struct Envelope<T> {
    nonce: u64,
    value: T,
}

/// Transaction: all conditions hold and all writes take effect, or none does.
///
/// The first write must be a put of a row that is also a condition. If a reply is lost, the nonce in that row tells
/// whether the transaction took effect.
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
    /// Adds the condition that a row has this version. The row is not written.
    pub fn require(&mut self, key: impl Into<Box<str>>, version: RowVersion) -> &mut Self {
        let key = key.into();
        self.conditions.push(RowCondition { key, version });
        self
    }

    /// Adds a write of a row, with the condition that it has this version; 0 if the row must not exist.
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

    /// Adds the deletion of a row, with the condition that it has this version.
    pub fn delete(&mut self, key: impl Into<Box<str>>, version: RowVersion) -> &mut Self {
        let key = key.into();
        self.require(key.clone(), version);
        self.writes.push(RowWrite { key, value: None });
        self
    }

    /// Adds the conditions and writes of another transaction. Values that it writes keep their own nonce.
    pub(crate) fn append(&mut self, other: &Self) {
        self.conditions.extend(other.conditions.iter().cloned());
        self.writes.extend(other.writes.iter().cloned());
    }

    /// Returns whether the transaction writes and deletes nothing.
    pub fn is_empty(&self) -> bool {
        self.writes.is_empty()
    }

    /// Returns the number of rows that are written or deleted.
    pub fn rows_written(&self) -> usize {
        self.writes.len()
    }

    /// Returns the version that a row must have; `None` if no condition names the row.
    pub fn required_version(&self, key: &str) -> Option<RowVersion> {
        let condition = self
            .conditions
            .iter()
            .find(|condition| *condition.key == *key)?;
        Some(condition.version)
    }

    /// Returns the keys of all rows that are written or deleted.
    pub fn written_keys(&self) -> impl Iterator<Item = &str> {
        self.writes.iter().map(|write| &*write.key)
    }

    /// Returns the keys of all conditions. Written rows are among them.
    pub fn condition_keys(&self) -> impl Iterator<Item = &str> {
        self.conditions.iter().map(|condition| &*condition.key)
    }

    /// Returns the key of the row whose nonce tells whether the transaction took effect.
    fn nonce_row_key(&self) -> Option<&str> {
        self.writes
            .first()
            .filter(|write| write.value.is_some())
            .map(|write| &*write.key)
    }
}

/// Outcome of a transaction.
#[derive(Debug, Clone, PartialEq)]
pub enum CommitOutcome {
    /// The transaction took effect exactly once. Contains the version of the written rows.
    Committed(RowVersion),
    /// The transaction did not and will not take effect. Contains the keys of the rows that have other versions.
    Conflict(Vec<Box<str>>),
    /// The transaction was never sent to the store, so it has no effect.
    NotSent(WaxError),
    /// Indeterminate: the transaction may have taken effect or may still do so.
    Unknown(WaxError),
}

/// Client for the table service.
#[derive(Debug, Clone)]
pub struct TableClient {
    store: StoreHandle,
}

impl TableClient {
    /// Creates a client that makes its calls through `store`.
    pub fn new(store: StoreHandle) -> Self {
        Self { store }
    }

    /// Returns the handle of the store.
    pub fn store(&self) -> &StoreHandle {
        &self.store
    }

    /// Reads one row; `None` if it does not exist.
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
    /// See [`TableClient::read`].
    pub async fn read_many<T: DeserializeOwned>(
        &self,
        keys: &[&str],
    ) -> Result<Vec<RowEntry<T>>, WaxError> {
        count(Counter::StoreReads);
        let keys = keys.iter().map(|key| (*key).into()).collect();
        let request = ReadRequest { keys };
        let reply: ReadReply = self
            .store
            .post(Step::ReadTable, "/table/read", &request)
            .await?;
        reply.rows.into_iter().map(decode_row).collect()
    }

    /// Reads all rows whose keys start with `prefix`, ordered by key.
    ///
    /// # Errors
    ///
    /// See [`TableClient::read`].
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
                limit: ROWS_PER_SCAN,
            };
            let reply: ReadReply = self
                .store
                .post(Step::ReadTable, "/table/scan", &request)
                .await?;
            let full = reply.rows.len() == ROWS_PER_SCAN as usize;
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

    /// Commits a transaction. Retries until `deadline` while the effect is indeterminate.
    ///
    /// Retries are safe because the conditions let the transaction take effect only once. A conflict after a lost
    /// reply is resolved by the nonce in the first row written.
    pub async fn commit(
        &self,
        transaction: &TableTransaction,
        deadline: TimePoint,
    ) -> CommitOutcome {
        self.resume_commit(transaction, deadline, false).await
    }

    /// Like [`TableClient::commit`], for a transaction that may have been sent before if `may_be_sent` is true.
    pub async fn resume_commit(
        &self,
        transaction: &TableTransaction,
        deadline: TimePoint,
        mut may_be_sent: bool,
    ) -> CommitOutcome {
        let request = CommitRequest {
            conditions: transaction.conditions.clone(),
            writes: transaction.writes.clone(),
        };
        let mut backoff = BackoffPlan::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
        loop {
            let error = match self.send_commit(&request).await {
                Ok(CommitReply::Committed(version)) => return CommitOutcome::Committed(version),
                Ok(CommitReply::Conflict(keys)) if !may_be_sent => {
                    count(Counter::StoreConflicts);
                    return CommitOutcome::Conflict(keys);
                }
                Ok(CommitReply::Conflict(keys)) => {
                    match self.resolve_conflict(transaction, keys).await {
                        Ok(outcome) => return outcome,
                        Err(error) => error,
                    }
                }
                Err(error) if !may_be_sent && matches!(error.kind, ErrorKind::Unavailable(_)) => {
                    // Nothing was sent, so the caller can be answered at once.
                    return CommitOutcome::NotSent(error);
                }
                Err(error) => {
                    may_be_sent = true;
                    error
                }
            };
            let wait = backoff.next_delay(&mut Rng::new());
            if self.store.clock().now() + wait >= deadline {
                return CommitOutcome::Unknown(error);
            }
            sleep(wait).await;
        }
    }

    async fn send_commit(&self, request: &CommitRequest) -> Result<CommitReply, WaxError> {
        count(Counter::StoreCommits);
        count_many(Counter::StoreRowsWritten, request.writes.len() as u64);
        self.store
            .post(Step::CommitTable, "/table/commit", request)
            .await
    }

    /// Resolves a conflict that followed a lost reply: reads the first written row and compares its nonce. The row
    /// has the nonce of this transaction if the conflict is with the transaction's own earlier commit.
    async fn resolve_conflict(
        &self,
        transaction: &TableTransaction,
        keys: Vec<Box<str>>,
    ) -> Result<CommitOutcome, WaxError> {
        let Some(key) = transaction.nonce_row_key() else {
            let text = "a transaction without a settling row";
            let error = WaxError::new(ErrorKind::Ambiguous, Step::CommitTable, "table", text);
            return Ok(CommitOutcome::Unknown(error));
        };
        count(Counter::StoreReads);
        let request = ReadRequest {
            keys: vec![key.into()],
        };
        let reply: ReadReply = self
            .store
            .post(Step::ReadTable, "/table/read", &request)
            .await?;
        let own_row = reply.rows.first().filter(|row| {
            row.value.get("nonce").and_then(serde_json::Value::as_u64) == Some(transaction.nonce)
        });
        count(Counter::StoreCommitsResolved);
        Ok(match own_row {
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
