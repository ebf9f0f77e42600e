//! Store transactions that a front and the owner send for each other when one of them cannot reach the store.

use prost::Message;

/// Condition of a transaction: a row and the version that it must have.
#[derive(Clone, PartialEq, Message)]
pub struct ExpectFrame {
    /// Name of the table.
    #[prost(string, tag = "1")]
    pub table: String,
    /// Part of the table that contains the row; a transaction stays within one part.
    #[prost(string, tag = "2")]
    pub part: String,
    /// Key of the row within the part.
    #[prost(string, tag = "3")]
    pub key: String,
    /// Required version; 0 if the row must not exist.
    #[prost(uint64, tag = "4")]
    pub version: u64,
}

/// A row that was read, or that a transaction writes or removes.
#[derive(Clone, PartialEq, Message)]
pub struct RowFrame {
    /// Name of the table.
    #[prost(string, tag = "1")]
    pub table: String,
    /// Part of the table that contains the row; a transaction stays within one part.
    #[prost(string, tag = "2")]
    pub part: String,
    /// Key of the row within the part.
    #[prost(string, tag = "3")]
    pub key: String,
    /// The value; empty for a row to remove.
    #[prost(bytes = "vec", tag = "4")]
    pub value: Vec<u8>,
    /// Version of the row if it was read, else 0.
    #[prost(uint64, tag = "5")]
    pub version: u64,
}

/// Asks the peer to send a transaction to the store, unchanged.
#[derive(Clone, PartialEq, Message)]
pub struct RelayRequest {
    /// Number that pairs the request with its reply, unique per sender.
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    /// Conditions; all must hold for the transaction to take effect.
    #[prost(message, repeated, tag = "2")]
    pub expect: Vec<ExpectFrame>,
    /// Rows to write.
    #[prost(message, repeated, tag = "3")]
    pub writes: Vec<RowFrame>,
    /// How long the sender waits for the reply, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub wait_ms: u32,
    /// The sender's clock when it sent the request, in microseconds.
    #[prost(uint64, tag = "5")]
    pub sent_us: u64,
    /// Rows to remove.
    #[prost(message, repeated, tag = "6")]
    pub remove: Vec<RowFrame>,
}

/// Effect of a relayed transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum RelayResult {
    /// Indeterminate: the transaction may have taken effect or may still do so.
    Unknown = 0,
    /// The transaction took effect.
    Committed = 1,
    /// A condition failed; the transaction had no effect.
    Conflict = 2,
    /// The transaction was not sent; it has no effect and will have none.
    NotSent = 3,
    /// The store rejects the transaction as invalid; it had no effect, and a retry would fail too.
    Refused = 4,
}

/// Reply to a [`RelayRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct RelayReply {
    /// Number of the request.
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    /// Effect of the transaction.
    #[prost(enumeration = "RelayResult", tag = "2")]
    pub result: i32,
    /// Version of the written rows if the transaction was committed, else 0.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// On a conflict: those rows named by the conditions that exist.
    #[prost(message, repeated, tag = "4")]
    pub rows: Vec<RowFrame>,
    /// The store's clock when it answered a committed transaction, in milliseconds; `None` if unknown.
    #[prost(uint64, optional, tag = "5")]
    pub store_ms: Option<u64>,
}
