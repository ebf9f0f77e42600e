//! Frames between an entry and a sidecar: length-delimited protobuf on one TCP connection.

mod codec;
mod frame;
mod link;

pub use codec::{MAX_FRAME_BYTES, PeerCodec};
pub use frame::{
    AttemptId, BodyChunk, CancelRequest, CreditGrant, HeaderField, LoadReport, NotRunAnswer,
    NotRunReason, PeerBody, PeerFrame, PeerHello, PeerList, RequestHead, RequestLost, ResponseHead,
    SettingsAck, SettingsPush,
};
pub use link::{FrameReader, FrameWriter, WINDOW_BYTES, split_stream};
