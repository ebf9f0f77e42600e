//! Transactions that a front hands to the owner because it cannot reach the store itself.

use prost::Message;

/// A row and the version that it must have.
#[derive(Clone, PartialEq, Message)]
pub struct ExpectFrame {
    /// The table.
    #[prost(string, tag = "1")]
    pub table: String,
    /// The part.
    #[prost(string, tag = "2")]
    pub part: String,
    /// The key.
    #[prost(string, tag = "3")]
    pub key: String,
    /// The version; 0 for a row that must not exist.
    #[prost(uint64, tag = "4")]
    pub version: u64,
}

/// A row and what is, or is to be, in it.
#[derive(Clone, PartialEq, Message)]
pub struct RowFrame {
    /// The table.
    #[prost(string, tag = "1")]
    pub table: String,
    /// The part.
    #[prost(string, tag = "2")]
    pub part: String,
    /// The key.
    #[prost(string, tag = "3")]
    pub key: String,
    /// The value.
    #[prost(bytes = "vec", tag = "4")]
    pub value: Vec<u8>,
    /// Its version, where it was read.
    #[prost(uint64, tag = "5")]
    pub version: u64,
}

/// Entry to owner: a transaction to be sent to the store, unchanged.
#[derive(Clone, PartialEq, Message)]
pub struct RelayRequest {
    /// Pairs the answer with the question.
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    /// What must hold.
    #[prost(message, repeated, tag = "2")]
    pub expect: Vec<ExpectFrame>,
    /// What is to be written.
    #[prost(message, repeated, tag = "3")]
    pub writes: Vec<RowFrame>,
    /// How long the asker waits, milliseconds.
    #[prost(uint32, tag = "4")]
    pub wait_ms: u32,
    /// The asker's clock when it asked, microseconds.
    #[prost(uint64, tag = "5")]
    pub sent_us: u64,
    /// Rows that are to go.
    #[prost(message, repeated, tag = "6")]
    pub remove: Vec<RowFrame>,
}

/// What became of a [`RelayRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum RelayResult {
    /// It may have taken effect, or may yet.
    Unknown = 0,
    /// It took effect.
    Committed = 1,
    /// It did not take effect: the rows tell why.
    Conflict = 2,
    /// It has had no effect and will have none.
    NotSent = 3,
    /// It has had no effect, and the store takes no such transaction.
    Refused = 4,
}

/// Answer to [`RelayRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct RelayReply {
    /// Pairs the answer with the question.
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    /// What became of it.
    #[prost(enumeration = "RelayResult", tag = "2")]
    pub result: i32,
    /// The version of what was written, if it took effect.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// The rows of its conditions that exist, if it did not.
    #[prost(message, repeated, tag = "4")]
    pub rows: Vec<RowFrame>,
}
