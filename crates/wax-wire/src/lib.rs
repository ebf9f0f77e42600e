//! Frames between an entry and a sidecar: length-delimited protobuf on one TCP connection.

mod codec;
mod link;
mod peer;
mod pool;
mod pool_parts;
mod relay;

pub use codec::{FrameCodec, MAX_FRAME_BYTES};
pub use link::{
    BODY_WINDOW_BYTES, LinkFrame, LinkReader, LinkWriter, PeerReader, PeerWriter, PoolReader,
    PoolWriter, split_stream,
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
