//! Reads and writes messages on a TCP connection, for either family of messages.

use crate::codec::{FrameCodec, MAX_FRAME_BYTES, MAX_HELLO_BYTES};
use crate::peer::{PeerBody, PeerFrame};
use crate::pool::{PoolBody, PoolFrame};
use compio::io::compat::AsyncStream;
use compio::net::TcpStream;
use futures_channel::mpsc::UnboundedReceiver;
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use std::io;
use std::pin::Pin;
use tokio_util::codec::Framed;
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt};
use wax_trace::{Counter, count_many};

/// Flow-control window of one body: the bytes that may be in flight before the receiver grants credit.
pub const BODY_WINDOW_BYTES: u32 = 256 << 10;

/// Initial size of each of a link's four buffers. It is small because nearly all frames are smaller and an owner
/// keeps a link to each process of its pool. Buffers grow for larger frames.
const BUFFER_BYTES: usize = 2 << 10;

/// Size of the length field that precedes each frame.
const LENGTH_BYTES: usize = 4;

/// Envelope of a family of messages: carries one of several bodies.
pub trait LinkFrame: Message + Default + From<Self::Body> {
    /// The messages of the family.
    type Body;

    /// Returns the body; `None` if its kind is unknown.
    fn into_body(self) -> Option<Self::Body>;

    /// Counts the frame in the metrics. [`LinkWriter::forward`] calls it before each frame; [`LinkWriter::write`] does
    /// not. Does nothing unless overridden.
    fn count_sent(&self) {}
}

impl LinkFrame for PeerFrame {
    type Body = PeerBody;

    fn into_body(self) -> Option<PeerBody> {
        self.body
    }

    fn count_sent(&self) {
        if self.body.as_ref().is_some_and(PeerBody::is_control) {
            let bytes = self.encoded_len() + LENGTH_BYTES;
            count_many(Counter::LinksControlBytes, bytes as u64);
        }
    }
}

impl LinkFrame for PoolFrame {
    type Body = PoolBody;

    fn into_body(self) -> Option<PoolBody> {
        self.body
    }
}

type FramedStream<M> = Framed<Compat<Pin<Box<AsyncStream<TcpStream>>>>, FrameCodec<M>>;

/// Reads messages from a connection.
#[derive(Debug)]
pub struct LinkReader<M> {
    stream: SplitStream<FramedStream<M>>,
}

/// Writes messages to a connection.
#[derive(Debug)]
pub struct LinkWriter<M> {
    sink: SplitSink<FramedStream<M>, M>,
}

/// Reads frames between an entry and a sidecar.
pub type PeerReader = LinkReader<PeerFrame>;
/// Writes frames between an entry and a sidecar.
pub type PeerWriter = LinkWriter<PeerFrame>;
/// Reads frames between an owner and its agents or fronts.
pub type PoolReader = LinkReader<PoolFrame>;
/// Writes frames between an owner and its agents or fronts.
pub type PoolWriter = LinkWriter<PoolFrame>;

/// Splits a connected stream into a reader and a writer of messages.
pub fn split_stream<M: LinkFrame>(stream: TcpStream) -> (LinkReader<M>, LinkWriter<M>) {
    split_framed(frame_stream(stream))
}

/// Accepted connection whose peer has identified itself: its first message, and its reader and writer.
pub type IdentifiedLink<M> = (<M as LinkFrame>::Body, LinkReader<M>, LinkWriter<M>);

/// Reads the first message from an accepted connection. Returns `None` if the peer has closed the connection.
///
/// # Errors
///
/// The same as for [`LinkReader::read`], and a first message larger than [`MAX_HELLO_BYTES`].
pub async fn read_hello<M: LinkFrame>(stream: TcpStream) -> io::Result<Option<IdentifiedLink<M>>> {
    let mut framed = frame_stream(stream);
    framed.codec_mut().set_max_decoded(MAX_HELLO_BYTES);
    let Some(frame) = framed.next().await else {
        return Ok(None);
    };
    let hello = body_of(frame?)?;
    framed.codec_mut().set_max_decoded(MAX_FRAME_BYTES);
    let (reader, writer) = split_framed(framed);
    Ok(Some((hello, reader, writer)))
}

fn frame_stream<M: LinkFrame>(stream: TcpStream) -> FramedStream<M> {
    let stream = Box::pin(AsyncStream::with_capacity(BUFFER_BYTES, stream)).compat();
    Framed::with_capacity(stream, FrameCodec::new(), BUFFER_BYTES)
}

fn split_framed<M: LinkFrame>(framed: FramedStream<M>) -> (LinkReader<M>, LinkWriter<M>) {
    let (sink, stream) = framed.split();
    (LinkReader { stream }, LinkWriter { sink })
}

fn body_of<M: LinkFrame>(frame: M) -> io::Result<M::Body> {
    frame.into_body().ok_or_else(|| {
        let text = "frame without a body of a known kind";
        io::Error::new(io::ErrorKind::InvalidData, text)
    })
}

impl<M: LinkFrame> LinkReader<M> {
    /// Reads the next message. Returns `None` once the peer has closed the connection.
    ///
    /// # Errors
    ///
    /// I/O errors, frames larger than [`MAX_FRAME_BYTES`](crate::MAX_FRAME_BYTES), and frames that do not decode.
    pub async fn read(&mut self) -> io::Result<Option<M::Body>> {
        let Some(frame) = self.stream.next().await else {
            return Ok(None);
        };
        body_of(frame?).map(Some)
    }
}

impl<M: LinkFrame> LinkWriter<M> {
    /// Sends one message and flushes.
    ///
    /// # Errors
    ///
    /// I/O errors, and a message larger than [`MAX_FRAME_BYTES`](crate::MAX_FRAME_BYTES).
    pub async fn write(&mut self, body: M::Body) -> io::Result<()> {
        self.sink.send(body.into()).await
    }

    async fn feed(&mut self, body: M::Body) -> io::Result<()> {
        let frame = M::from(body);
        frame.count_sent();
        self.sink.feed(frame).await
    }

    /// Sends all messages from `outbox` until its senders are dropped, then closes the connection. Flushes
    /// whenever `outbox` is empty.
    ///
    /// # Errors
    ///
    /// The first I/O error.
    pub async fn forward(&mut self, outbox: &mut UnboundedReceiver<M::Body>) -> io::Result<()> {
        while let Some(body) = outbox.next().await {
            self.feed(body).await?;
            while let Ok(body) = outbox.try_recv() {
                self.feed(body).await?;
            }
            self.sink.flush().await?;
        }
        self.sink.close().await
    }
}
