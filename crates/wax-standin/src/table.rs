//! In-memory transactional table.

use serde_json::Value;
use std::collections::BTreeMap;
use std::ops::Bound;
use wax_platform::{
    CommitReply, CommitRequest, ReadReply, ReadRequest, RowWrite, ScanRequest, WireRow,
};
use wax_types::RowVersion;

#[derive(Debug, Default)]
pub(crate) struct MemoryTable {
    rows: BTreeMap<Box<str>, (RowVersion, Value)>,
    last_version: RowVersion,
    pub(crate) reads: u64,
    pub(crate) commits: u64,
    pub(crate) rows_written: u64,
}

impl MemoryTable {
    pub(crate) fn read(&mut self, request: &ReadRequest) -> ReadReply {
        self.reads += 1;
        let rows = request
            .keys
            .iter()
            .filter_map(|key| {
                let (version, value) = self.rows.get(key)?;
                Some(wire_row(key, *version, value))
            })
            .collect();
        ReadReply { rows }
    }

    pub(crate) fn scan(&mut self, request: &ScanRequest) -> ReadReply {
        self.reads += 1;
        let start = if request.after.is_empty() {
            Bound::Included(request.prefix.clone())
        } else {
            Bound::Excluded(request.after.clone())
        };
        let rows = self
            .rows
            .range((start, Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(&*request.prefix))
            .take(request.limit as usize)
            .map(|(key, (version, value))| wire_row(key, *version, value))
            .collect();
        ReadReply { rows }
    }

    pub(crate) fn commit(&mut self, request: CommitRequest) -> CommitReply {
        self.commits += 1;
        let conflicts: Vec<Box<str>> = request
            .conditions
            .iter()
            .filter(|condition| self.version(&condition.key) != condition.version)
            .map(|condition| condition.key.clone())
            .collect();
        if !conflicts.is_empty() {
            return CommitReply::Conflict(conflicts);
        }
        self.last_version = self.last_version.next();
        self.rows_written += request.writes.len() as u64;
        for write in request.writes {
            self.apply(write);
        }
        CommitReply::Committed(self.last_version)
    }

    fn version(&self, key: &str) -> RowVersion {
        self.rows
            .get(key)
            .map_or_else(RowVersion::default, |(version, _)| *version)
    }

    fn apply(&mut self, write: RowWrite) {
        match write.value {
            Some(value) => {
                self.rows.insert(write.key, (self.last_version, value));
            }
            None => {
                self.rows.remove(&write.key);
            }
        }
    }
}

fn wire_row(key: &str, version: RowVersion, value: &Value) -> WireRow {
    WireRow {
        key: key.into(),
        version,
        value: value.clone(),
    }
}
