//! Codec for protobuf messages that are each preceded by their length in four bytes.

use crate::peer::PeerFrame;
use bytes::{Bytes, BytesMut};
use prost::Message;
use std::io;
use std::marker::PhantomData;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Maximum size of a frame. A length field above it is a decoding error, which ends the connection.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// Maximum size of the first message on an accepted connection, with which the peer identifies itself. Until then
/// anybody may be the peer.
pub const MAX_HELLO_BYTES: usize = 64 << 10;

/// Encodes and decodes length-delimited messages of type `M`.
#[derive(Debug)]
pub struct FrameCodec<M = PeerFrame> {
    lengths: LengthDelimitedCodec,
    message: PhantomData<M>,
}

impl<M> FrameCodec<M> {
    /// Creates a codec that accepts frames of up to [`MAX_FRAME_BYTES`].
    pub fn new() -> Self {
        let lengths = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        Self {
            lengths,
            message: PhantomData,
        }
    }

    /// Changes the maximum size of the frames that are decoded from now on, in bytes.
    pub(crate) fn set_max_decoded(&mut self, bytes: usize) {
        self.lengths.set_max_frame_length(bytes);
    }
}

impl<M> Default for FrameCodec<M> {
    fn default() -> Self {
        Self::new()
    }
}

impl<M: Message + Default> Decoder for FrameCodec<M> {
    type Item = M;
    type Error = io::Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> io::Result<Option<M>> {
        let Some(bytes) = self.lengths.decode(buffer)? else {
            return Ok(None);
        };
        M::decode(bytes.freeze())
            .map(Some)
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
    }
}

impl<M: Message> Encoder<M> for FrameCodec<M> {
    type Error = io::Error;

    fn encode(&mut self, frame: M, buffer: &mut BytesMut) -> io::Result<()> {
        let length = frame.encoded_len();
        if length > MAX_FRAME_BYTES {
            let text =
                format!("frame of {length} bytes exceeds the maximum of {MAX_FRAME_BYTES} bytes");
            return Err(io::Error::new(io::ErrorKind::InvalidInput, text));
        }
        let bytes = Bytes::from(frame.encode_to_vec());
        self.lengths.encode(bytes, buffer)
    }
}
