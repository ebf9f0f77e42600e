//! The messages; written by hand with prost's derive, so that no generator is needed.

use prost::{Enumeration, Message, Oneof};
use wax_types::{AttemptKey, ProcessIncarnation};

/// One frame on the connection.
#[derive(Clone, PartialEq, Message)]
pub struct PeerFrame {
    /// What the frame says; a frame without a known body is a protocol error.
    #[prost(oneof = "PeerBody", tags = "1,2,3,4,5,6,7,8,9,10,11,12")]
    pub body: Option<PeerBody>,
}

/// The kinds of frame.
#[derive(Clone, PartialEq, Oneof)]
pub enum PeerBody {
    /// First frame in each direction.
    #[prost(message, tag = "1")]
    Hello(PeerHello),
    /// Sidecar to entry: state and load of the upstream; also the heartbeat.
    #[prost(message, tag = "2")]
    Load(LoadReport),
    /// Entry to sidecar: starts an attempt.
    #[prost(message, tag = "3")]
    Request(RequestHead),
    /// Either direction: a part of a body.
    #[prost(message, tag = "4")]
    Chunk(BodyChunk),
    /// Either direction: the receiver of a body can take more bytes.
    #[prost(message, tag = "5")]
    Credit(CreditGrant),
    /// Entry to sidecar: the answer is no longer wanted.
    #[prost(message, tag = "6")]
    Cancel(CancelRequest),
    /// Sidecar to entry: the upstream answers.
    #[prost(message, tag = "7")]
    Response(ResponseHead),
    /// Sidecar to entry: the attempt was not dispatched and never will be.
    #[prost(message, tag = "8")]
    NotRun(NotRunAnswer),
    /// Sidecar to entry: the attempt was dispatched and its answer is lost.
    #[prost(message, tag = "9")]
    Lost(RequestLost),
    /// Either direction: a version of the settings tree.
    #[prost(message, tag = "10")]
    Settings(SettingsPush),
    /// Either direction: the version that the sender applies now; the entry's heartbeat.
    #[prost(message, tag = "11")]
    SettingsAck(SettingsAck),
    /// Entry to sidecar: addresses of the entries that it knows.
    #[prost(message, tag = "12")]
    Peers(PeerList),
}

impl PeerBody {
    /// Whether the frame is none of a request or an answer.
    pub fn is_control(&self) -> bool {
        matches!(
            self,
            Self::Hello(_)
                | Self::Load(_)
                | Self::Settings(_)
                | Self::SettingsAck(_)
                | Self::Peers(_)
        )
    }
}

impl From<PeerBody> for PeerFrame {
    fn from(body: PeerBody) -> Self {
        Self { body: Some(body) }
    }
}

/// Says who speaks.
#[derive(Clone, PartialEq, Message)]
pub struct PeerHello {
    /// Version of this protocol; a peer with another version is refused.
    #[prost(uint32, tag = "1")]
    pub protocol: u32,
    /// The run of the speaking process.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// The name that the process has in its settings.
    #[prost(string, tag = "3")]
    pub name: String,
    /// The failure domain of the process.
    #[prost(string, tag = "4")]
    pub failure_domain: String,
    /// Sidecar only: the service of its upstream.
    #[prost(string, tag = "5")]
    pub service: String,
    /// Sidecar only: requests that the upstream may run at once.
    #[prost(uint32, tag = "6")]
    pub slots: u32,
}

impl PeerHello {
    /// The version of the protocol that this build speaks.
    pub const PROTOCOL: u32 = 1;
}

/// Names an attempt on the wire.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct AttemptId {
    /// The run of the entry.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// The entry's count.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
}

impl From<AttemptKey> for AttemptId {
    fn from(key: AttemptKey) -> Self {
        Self {
            incarnation: key.incarnation.0,
            sequence: key.sequence,
        }
    }
}

impl From<AttemptId> for AttemptKey {
    fn from(id: AttemptId) -> Self {
        Self {
            incarnation: ProcessIncarnation(id.incarnation),
            sequence: id.sequence,
        }
    }
}

/// One header field.
#[derive(Clone, PartialEq, Message)]
pub struct HeaderField {
    /// Lower-case name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Value as received.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: bytes::Bytes,
}

/// The start of an attempt.
#[derive(Clone, PartialEq, Message)]
pub struct RequestHead {
    /// The attempt.
    #[prost(message, optional, tag = "1")]
    pub attempt: Option<AttemptId>,
    /// HTTP method.
    #[prost(string, tag = "2")]
    pub method: String,
    /// Path and query for the upstream.
    #[prost(string, tag = "3")]
    pub path: String,
    /// Header fields for the upstream.
    #[prost(message, repeated, tag = "4")]
    pub headers: Vec<HeaderField>,
    /// Time left until the caller's deadline, in milliseconds.
    #[prost(uint32, tag = "5")]
    pub deadline_ms: u32,
    /// The start of the body.
    #[prost(bytes = "bytes", tag = "6")]
    pub body: bytes::Bytes,
    /// Whether `body` is all of it; otherwise chunks follow on credit.
    #[prost(bool, tag = "7")]
    pub body_complete: bool,
    /// The team that is charged.
    #[prost(string, tag = "8")]
    pub team: String,
}

/// A part of a request's or response's body.
#[derive(Clone, PartialEq, Message)]
pub struct BodyChunk {
    /// The attempt.
    #[prost(message, optional, tag = "1")]
    pub attempt: Option<AttemptId>,
    /// The bytes; may be empty with `last`.
    #[prost(bytes = "bytes", tag = "2")]
    pub data: bytes::Bytes,
    /// Whether the body ends here.
    #[prost(bool, tag = "3")]
    pub last: bool,
    /// With `last`: how many bytes the body had in all.
    #[prost(uint64, tag = "4")]
    pub total_bytes: u64,
}

/// The receiver has consumed bytes of a body.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct CreditGrant {
    /// The attempt.
    #[prost(message, optional, tag = "1")]
    pub attempt: Option<AttemptId>,
    /// How many more bytes may be sent.
    #[prost(uint32, tag = "2")]
    pub bytes: u32,
}

/// The entry gives an attempt up.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct CancelRequest {
    /// The attempt.
    #[prost(message, optional, tag = "1")]
    pub attempt: Option<AttemptId>,
}

/// The upstream's status and header fields.
#[derive(Clone, PartialEq, Message)]
pub struct ResponseHead {
    /// The attempt.
    #[prost(message, optional, tag = "1")]
    pub attempt: Option<AttemptId>,
    /// HTTP status.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// Header fields for the caller.
    #[prost(message, repeated, tag = "3")]
    pub headers: Vec<HeaderField>,
}

/// Why an attempt was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum NotRunReason {
    /// Not said.
    Unspecified = 0,
    /// The upstream is leaving.
    Leaving = 1,
    /// The queue is full.
    QueueFull = 2,
    /// The deadline cannot be met.
    DeadlineUnreachable = 3,
    /// A cancel arrived before dispatch.
    Cancelled = 4,
    /// No connection to the upstream could be opened.
    UpstreamUnreachable = 5,
    /// The request was malformed.
    Malformed = 6,
}

/// The attempt was not run, for certain.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct NotRunAnswer {
    /// The attempt.
    #[prost(message, optional, tag = "1")]
    pub attempt: Option<AttemptId>,
    /// Why.
    #[prost(enumeration = "NotRunReason", tag = "2")]
    pub reason: i32,
    /// When a slot is expected to be free, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub retry_after_ms: u32,
}

/// The attempt was dispatched; its answer will not come, or not whole.
#[derive(Clone, PartialEq, Message)]
pub struct RequestLost {
    /// The attempt.
    #[prost(message, optional, tag = "1")]
    pub attempt: Option<AttemptId>,
    /// What failed at the upstream.
    #[prost(string, tag = "2")]
    pub detail: String,
}

/// State and load of an upstream, as its sidecar sees it.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct LoadReport {
    /// Slots in use.
    #[prost(uint32, tag = "1")]
    pub slots_used: u32,
    /// Requests that wait for a slot.
    #[prost(uint32, tag = "2")]
    pub queued: u32,
    /// Decayed mean of the upstream's service time, in microseconds.
    #[prost(uint32, tag = "3")]
    pub service_time_us: u32,
    /// Whether the upstream takes no new work.
    #[prost(bool, tag = "4")]
    pub leaving: bool,
    /// Whether the sidecar can reach its upstream.
    #[prost(bool, tag = "5")]
    pub upstream_up: bool,
}

/// A version of the settings tree.
#[derive(Clone, PartialEq, Message)]
pub struct SettingsPush {
    /// The version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The whole tree as JSON; empty if `delta` is given.
    #[prost(bytes = "bytes", tag = "2")]
    pub tree: bytes::Bytes,
    /// What this version changes in the one before, as JSON.
    #[prost(bytes = "bytes", tag = "3")]
    pub delta: bytes::Bytes,
}

/// The version that the sender applies.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct SettingsAck {
    /// The version; 0 means that the sender has none.
    #[prost(uint64, tag = "1")]
    pub version: u64,
}

/// Addresses of entries, for sidecars to connect to.
#[derive(Clone, PartialEq, Message)]
pub struct PeerList {
    /// Socket addresses.
    #[prost(string, repeated, tag = "1")]
    pub addresses: Vec<String>,
}
