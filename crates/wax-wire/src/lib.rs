//! Frames between an entry and a sidecar: length-delimited protobuf on one TCP connection.

mod codec;
mod frame;
mod link;
mod pool;
mod pool_parts;
mod relay;

pub use codec::{MAX_FRAME_BYTES, PeerCodec};
pub use frame::{
    AttemptId, BodyChunk, CancelRequest, CreditGrant, HeaderField, LoadReport, NotRunAnswer,
    NotRunReason, PeerBody, PeerFrame, PeerHello, PeerList, RequestHead, RequestLost, ResponseHead,
    SettingsAck, SettingsPush,
};
pub use link::{
    FrameReader, FrameWriter, LinkFrame, LinkReader, LinkWriter, PoolReader, PoolWriter,
    WINDOW_BYTES, split_stream,
};
pub use pool::{
    AckEnds, AgentHello, BootCrashed, BootsDead, ConfigPush, DrainFrame, EntryHello, JobAsk,
    JobCancelled, JobTold, LeaseGrant, LinkPing, NotOwner, OwnerWelcome, PoolBody, PoolFrame,
    PressFrame, PressNews, RoomFrame, RunNews, SeatFrame, StartRun, StopRun, WorkerGone,
    WorkerKept, WorkerUp,
};
pub use pool_parts::{
    BootFrame, EndFrame, LostFrame, MarkFrame, RefusalFrame, ReportFrame, WorkerFrame,
};
pub use relay::{ExpectFrame, RelayAsk, RelayFate, RelayTold, RowFrame};
