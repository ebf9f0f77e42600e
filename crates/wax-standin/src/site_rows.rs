//! Rows of the platform's store with the history of their changes.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

type Key = (String, String, String);

/// Largest row, before its encoding in Base64.
const MAX_ROW_BYTES: usize = 65_536;

/// A row, or the tombstone of a removed row in the history.
#[derive(Debug, Clone, Serialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct SiteRow {
    table: String,
    part: String,
    key: String,
    value: String,
    row_version: u64,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    deleted: bool,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct ExpectEntry {
    table: String,
    part: String,
    key: String,
    row_version: u64,
}

#[derive(Debug, Deserialize)]
struct WriteEntry {
    table: String,
    part: String,
    key: String,
    value: String,
}

#[derive(Debug, Deserialize)]
struct RemoveEntry {
    table: String,
    part: String,
    key: String,
}

/// Body of a transaction.
#[derive(Debug, Deserialize)]
#[serde(default)]
#[derive(Default)]
pub(crate) struct TxBody {
    expect: Vec<ExpectEntry>,
    writes: Vec<WriteEntry>,
    remove: Vec<RemoveEntry>,
}

impl TxBody {
    /// Returns the number of conditions, writes and removals.
    pub(crate) fn entry_count(&self) -> usize {
        self.expect.len() + self.writes.len() + self.remove.len()
    }

    /// Returns whether a row is larger than the store allows.
    pub(crate) fn has_oversized_row(&self) -> bool {
        let mut writes = self.writes.iter();
        writes.any(|write| write.value.len() > MAX_ROW_BYTES.div_ceil(3) * 4)
    }

    /// Returns whether the progress row `key` would have more than `length` bytes in Base64.
    pub(crate) fn writes_row_above(&self, key: &str, length: usize) -> bool {
        let mut writes = self.writes.iter();
        writes.any(|write| {
            write.table == "progress" && write.key == key && write.value.len() > length
        })
    }

    /// Returns whether the transaction changes a table that only the operator may write.
    pub(crate) fn writes_operator_table(&self) -> bool {
        let written = self.writes.iter().map(|write| &write.table);
        let removed = self.remove.iter().map(|row| &row.table);
        written.chain(removed).any(|table| table == "op")
    }
}

/// All rows and the history of their changes.
#[derive(Debug, Default)]
pub(crate) struct SiteRows {
    rows: BTreeMap<Key, SiteRow>,
    history: Vec<SiteRow>,
    version: u64,
}

impl SiteRows {
    /// Returns the version of the last transaction.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// Applies a transaction and returns its version. If a condition does not hold, nothing
    /// changes, and the current rows of all conditions are returned with the current version.
    pub(crate) fn apply(&mut self, body: TxBody) -> Result<u64, (Vec<SiteRow>, u64)> {
        let holds = |entry: &ExpectEntry| {
            let key = (entry.table.clone(), entry.part.clone(), entry.key.clone());
            self.rows.get(&key).map_or(0, |row| row.row_version) == entry.row_version
        };
        if !body.expect.iter().all(holds) {
            let keys = body
                .expect
                .into_iter()
                .map(|entry| (entry.table, entry.part, entry.key));
            let rows = keys
                .filter_map(|key| self.rows.get(&key).cloned())
                .collect();
            return Err((rows, self.version));
        }
        self.version += 1;
        let row_version = self.version;
        for WriteEntry {
            table,
            part,
            key,
            value,
        } in body.writes
        {
            let row = SiteRow {
                table: table.clone(),
                part: part.clone(),
                key: key.clone(),
                value,
                row_version,
                deleted: false,
            };
            self.rows.insert((table, part, key), row.clone());
            self.history.push(row);
        }
        for RemoveEntry { table, part, key } in body.remove {
            if let Some(mut row) = self.rows.remove(&(table, part, key)) {
                row.deleted = true;
                row.row_version = row_version;
                self.history.push(row);
            }
        }
        Ok(row_version)
    }

    /// Returns at most `limit` rows of a part with keys from `from` to `to` (exclusive; empty for
    /// no end), and whether more rows follow.
    pub(crate) fn range(
        &self,
        table: &str,
        part: &str,
        from: &str,
        to: &str,
        limit: usize,
    ) -> (Vec<SiteRow>, bool) {
        let start = (table.to_owned(), part.to_owned(), from.to_owned());
        let mut rows = self
            .rows
            .range(start..)
            .take_while(|((in_table, in_part, key), _)| {
                in_table == table && in_part == part && (to.is_empty() || key.as_str() < to)
            })
            .map(|(_, row)| row.clone());
        let page: Vec<SiteRow> = rows.by_ref().take(limit).collect();
        let more = rows.next().is_some();
        (page, more)
    }

    /// Returns the changes of a table after version `after`, and the version to continue from.
    pub(crate) fn changes(&self, table: &str, after: u64) -> (Vec<SiteRow>, u64) {
        let changed = |row: &&SiteRow| row.table == table && row.row_version > after;
        (
            self.history.iter().filter(changed).cloned().collect(),
            self.version,
        )
    }
}
