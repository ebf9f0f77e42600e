//! Messages between the processes of the system: length-delimited protobuf over TCP.
//!
//! [`PeerFrame`]s go between an entry and a sidecar and carry quick requests. [`PoolFrame`]s go between the
//! owner of a shard, its agents and its fronts and carry everything about jobs and tasks.

mod codec;
mod link;
mod peer;
mod pool;
mod pool_parts;
mod relay;

pub use codec::{FrameCodec, MAX_FRAME_BYTES, MAX_HELLO_BYTES};
pub use link::{
    BODY_WINDOW_BYTES, IdentifiedLink, LinkFrame, LinkReader, LinkWriter, PeerReader, PeerWriter,
    PoolReader, PoolWriter, read_hello, split_stream,
};
pub use peer::{
    AttemptId, BodyChunk, CancelRequest, CreditGrant, HeaderField, LoadReport, NotRunAnswer,
    NotRunReason, PeerBody, PeerFrame, PeerHello, PeerList, RequestHead, RequestLost, ResponseHead,
    SettingsAck, SettingsPush,
};
pub use pool::{
    AckEnds, AgentHello, AllRunsEnded, BootCrashed, BootsEnded, ConfigPush, DrainFrame, FrontHello,
    HeadroomFrame, InterferenceFrame, InterferenceUpdate, JobCancelled, JobQuery, JobReply,
    LeaseGrant, LinkHeartbeat, NotOwner, OwnerWelcome, PlacementFrame, PoolBody, PoolFrame,
    RunUpdates, StartRun, StopRun, WorkerAccepted, WorkerSnapshot,
};
pub use pool_parts::{
    BootFrame, LostRunFrame, RefusalFrame, RunEndFrame, RunIdFrame, RunReportFrame, WorkerFrame,
};
pub use relay::{ExpectFrame, RelayReply, RelayRequest, RelayResult, RowFrame};
