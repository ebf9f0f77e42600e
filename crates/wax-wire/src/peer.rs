//! Messages between an entry and a sidecar.
//!
//! The types are written by hand with prost's derive macros, so the build needs no protobuf compiler.

use prost::{Enumeration, Message, Oneof};
use wax_types::{AttemptKey, ProcessIncarnation};

/// Envelope of each message between an entry and a sidecar.
#[derive(Clone, PartialEq, Message)]
pub struct PeerFrame {
    /// Content of the frame. `None`, which includes unknown tags, is a protocol error.
    #[prost(oneof = "PeerBody", tags = "1,2,3,4,5,6,7,8,9,10,11,12")]
    pub body: Option<PeerBody>,
}

/// Content of a [`PeerFrame`].
#[derive(Clone, PartialEq, Oneof)]
pub enum PeerBody {
    /// First frame in each direction: identifies the sender.
    #[prost(message, tag = "1")]
    Hello(PeerHello),
    /// Sidecar to entry: state and load of the upstream. Also the sidecar's heartbeat.
    #[prost(message, tag = "2")]
    Load(LoadReport),
    /// Entry to sidecar: starts an attempt of a request.
    #[prost(message, tag = "3")]
    Request(RequestHead),
    /// Either direction: a part of a body.
    #[prost(message, tag = "4")]
    Chunk(BodyChunk),
    /// Either direction: flow-control credit for further bytes of a body.
    #[prost(message, tag = "5")]
    Credit(CreditGrant),
    /// Entry to sidecar: cancels an attempt whose answer is no longer needed.
    #[prost(message, tag = "6")]
    Cancel(CancelRequest),
    /// Sidecar to entry: status and header fields of the upstream's answer.
    #[prost(message, tag = "7")]
    Response(ResponseHead),
    /// Sidecar to entry: the attempt was not dispatched and never will be.
    #[prost(message, tag = "8")]
    NotRun(NotRunAnswer),
    /// Sidecar to entry: the attempt was dispatched, but its answer is lost.
    #[prost(message, tag = "9")]
    Lost(RequestLost),
    /// Either direction: a version of the settings tree.
    #[prost(message, tag = "10")]
    Settings(SettingsPush),
    /// Either direction: the settings version that the sender applies. Also the entry's heartbeat.
    #[prost(message, tag = "11")]
    SettingsAck(SettingsAck),
    /// Entry to sidecar: addresses of the entries that the sender knows.
    #[prost(message, tag = "12")]
    Peers(PeerList),
}

impl PeerBody {
    /// Returns whether the frame is control traffic, that is, belongs to no request or answer.
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

/// Identifies the sender of a connection's frames.
#[derive(Clone, PartialEq, Message)]
pub struct PeerHello {
    /// Protocol version of the sender. A peer with another version than [`PeerHello::PROTOCOL`] is refused.
    #[prost(uint32, tag = "1")]
    pub protocol: u32,
    /// Incarnation of the sender: a value that differs for each start of a process.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Name of the process, from its settings.
    #[prost(string, tag = "3")]
    pub name: String,
    /// Failure domain of the process.
    #[prost(string, tag = "4")]
    pub failure_domain: String,
    /// Sidecar only: name of the service that its upstream provides.
    #[prost(string, tag = "5")]
    pub service: String,
    /// Sidecar only: number of requests that the upstream may run concurrently.
    #[prost(uint32, tag = "6")]
    pub slots: u32,
}

impl PeerHello {
    /// Protocol version of this build.
    pub const PROTOCOL: u32 = 1;
}

/// Identifies one attempt of a request.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct AttemptId {
    /// Incarnation of the entry that started the attempt.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// Number of the attempt, counted by that entry.
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

/// One HTTP header field.
#[derive(Clone, PartialEq, Message)]
pub struct HeaderField {
    /// Name in lower case.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Value, byte for byte as received.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: bytes::Bytes,
}

/// Starts an attempt: the head of the request and the first bytes of its body.
#[derive(Clone, PartialEq, Message)]
pub struct RequestHead {
    /// Attempt to which the frame belongs.
    #[prost(message, optional, tag = "1")]
    pub attempt: Option<AttemptId>,
    /// HTTP method.
    #[prost(string, tag = "2")]
    pub method: String,
    /// Path and query, as sent to the upstream.
    #[prost(string, tag = "3")]
    pub path: String,
    /// Header fields for the upstream.
    #[prost(message, repeated, tag = "4")]
    pub headers: Vec<HeaderField>,
    /// Time left until the caller's deadline when the frame was sent, in milliseconds.
    #[prost(uint32, tag = "5")]
    pub deadline_ms: u32,
    /// First bytes of the body.
    #[prost(bytes = "bytes", tag = "6")]
    pub body: bytes::Bytes,
    /// Whether `body` is the whole body. If not, [`BodyChunk`]s follow as credit allows.
    #[prost(bool, tag = "7")]
    pub body_complete: bool,
    /// Team to which the request is charged.
    #[prost(string, tag = "8")]
    pub team: String,
}

/// A part of the body of a request or a response.
#[derive(Clone, PartialEq, Message)]
pub struct BodyChunk {
    /// Attempt to which the frame belongs.
    #[prost(message, optional, tag = "1")]
    pub attempt: Option<AttemptId>,
    /// The bytes; may be empty in the last chunk.
    #[prost(bytes = "bytes", tag = "2")]
    pub data: bytes::Bytes,
    /// Whether this is the last chunk of the body.
    #[prost(bool, tag = "3")]
    pub last: bool,
    /// Length of the whole body in bytes; meaningful only if `last` is set.
    #[prost(uint64, tag = "4")]
    pub total_bytes: u64,
}

/// Flow-control credit: the receiver of a body has consumed bytes and accepts more.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct CreditGrant {
    /// Attempt to which the frame belongs.
    #[prost(message, optional, tag = "1")]
    pub attempt: Option<AttemptId>,
    /// Number of additional bytes that may be sent.
    #[prost(uint32, tag = "2")]
    pub bytes: u32,
}

/// Cancels an attempt.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct CancelRequest {
    /// Attempt to which the frame belongs.
    #[prost(message, optional, tag = "1")]
    pub attempt: Option<AttemptId>,
}

/// Status and header fields of the upstream's answer.
#[derive(Clone, PartialEq, Message)]
pub struct ResponseHead {
    /// Attempt to which the frame belongs.
    #[prost(message, optional, tag = "1")]
    pub attempt: Option<AttemptId>,
    /// HTTP status code.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// Header fields for the caller.
    #[prost(message, repeated, tag = "3")]
    pub headers: Vec<HeaderField>,
}

/// Reason why an attempt was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum NotRunReason {
    /// No reason was given.
    Unspecified = 0,
    /// The upstream is shutting down and takes no new requests.
    Leaving = 1,
    /// The sidecar's queue is full.
    QueueFull = 2,
    /// The request cannot finish before its deadline.
    CannotMeetDeadline = 3,
    /// The entry cancelled the attempt before it was dispatched.
    Cancelled = 4,
    /// No connection to the upstream could be opened.
    UpstreamUnreachable = 5,
    /// The request was malformed.
    Malformed = 6,
}

/// The attempt was not run and will not be; it is safe to retry elsewhere.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct NotRunAnswer {
    /// Attempt to which the frame belongs.
    #[prost(message, optional, tag = "1")]
    pub attempt: Option<AttemptId>,
    /// The reason, a [`NotRunReason`].
    #[prost(enumeration = "NotRunReason", tag = "2")]
    pub reason: i32,
    /// Time until a slot is expected to be free, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub retry_after_ms: u32,
}

/// The attempt was dispatched, but its answer is missing or incomplete. Its effect is unknown.
#[derive(Clone, PartialEq, Message)]
pub struct RequestLost {
    /// Attempt to which the frame belongs.
    #[prost(message, optional, tag = "1")]
    pub attempt: Option<AttemptId>,
    /// Description of the failure at the upstream.
    #[prost(string, tag = "2")]
    pub detail: String,
}

/// State and load of an upstream, as measured by its sidecar.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct LoadReport {
    /// Number of slots in use.
    #[prost(uint32, tag = "1")]
    pub slots_used: u32,
    /// Number of requests that wait for a slot.
    #[prost(uint32, tag = "2")]
    pub queued: u32,
    /// Exponentially decayed mean of the upstream's service time, in microseconds.
    #[prost(uint32, tag = "3")]
    pub service_time_us: u32,
    /// Whether the upstream is shutting down and takes no new requests.
    #[prost(bool, tag = "4")]
    pub leaving: bool,
    /// Whether the sidecar can reach its upstream.
    #[prost(bool, tag = "5")]
    pub upstream_up: bool,
}

/// A new version of the settings tree, whole or as a change to the version before.
#[derive(Clone, PartialEq, Message)]
pub struct SettingsPush {
    /// Number of the version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The whole tree as JSON. Empty if `delta` is set.
    #[prost(bytes = "bytes", tag = "2")]
    pub tree: bytes::Bytes,
    /// The changes from the version before, as JSON. Empty if `tree` is set.
    #[prost(bytes = "bytes", tag = "3")]
    pub delta: bytes::Bytes,
}

/// The settings version that the sender applies.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct SettingsAck {
    /// Number of the version; 0 if the sender has no settings yet.
    #[prost(uint64, tag = "1")]
    pub version: u64,
}

/// Addresses of entries to which a sidecar should connect.
#[derive(Clone, PartialEq, Message)]
pub struct PeerList {
    /// Addresses as `IP:port`.
    #[prost(string, repeated, tag = "1")]
    pub addresses: Vec<String>,
}
