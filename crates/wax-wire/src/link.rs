//! Splits a TCP stream into a reader and a writer of one family of messages.

use crate::codec::FrameCodec;
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

/// Bytes of one body that may be under way before the receiver grants more.
pub const BODY_WINDOW_BYTES: u32 = 256 << 10;

/// What each of a link's four buffers begins with. Nearly all frames are smaller, and an owner keeps a link to
/// each process of its pool; buffers grow for a larger frame.
const BUFFER_BYTES: usize = 2 << 10;

/// The length in front of each frame.
const LENGTH_BYTES: usize = 4;

/// A frame that carries one of several bodies.
pub trait LinkFrame: Message + Default + From<Self::Body> {
    /// What it carries.
    type Body;

    /// The body; `None` for a kind that is not known.
    fn into_body(self) -> Option<Self::Body>;

    /// Notes that it is about to be sent.
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

/// The reading half of a connection.
#[derive(Debug)]
pub struct LinkReader<M> {
    stream: SplitStream<FramedStream<M>>,
}

/// The writing half of a connection.
#[derive(Debug)]
pub struct LinkWriter<M> {
    sink: SplitSink<FramedStream<M>, M>,
}

/// Reads frames between an entry and a sidecar.
pub type PeerReader = LinkReader<PeerFrame>;
/// Writes frames between an entry and a sidecar.
pub type PeerWriter = LinkWriter<PeerFrame>;
/// Reads messages of the pool.
pub type PoolReader = LinkReader<PoolFrame>;
/// Writes messages of the pool.
pub type PoolWriter = LinkWriter<PoolFrame>;

/// Wraps a connected stream in the codec and splits it.
pub fn split_stream<M: LinkFrame>(stream: TcpStream) -> (LinkReader<M>, LinkWriter<M>) {
    let stream = Box::pin(AsyncStream::with_capacity(BUFFER_BYTES, stream)).compat();
    let framed = Framed::with_capacity(stream, FrameCodec::new(), BUFFER_BYTES);
    let (sink, stream) = framed.split();
    (LinkReader { stream }, LinkWriter { sink })
}

impl<M: LinkFrame> LinkReader<M> {
    /// The next frame's body; `None` once the peer has closed the connection.
    ///
    /// # Errors
    ///
    /// I/O errors, frames over the bound, and frames that do not decode.
    pub async fn read(&mut self) -> io::Result<Option<M::Body>> {
        let Some(frame) = self.stream.next().await else {
            return Ok(None);
        };
        frame?.into_body().map(Some).ok_or_else(|| {
            let text = "frame of an unknown kind";
            io::Error::new(io::ErrorKind::InvalidData, text)
        })
    }
}

impl<M: LinkFrame> LinkWriter<M> {
    /// Sends one frame and flushes.
    ///
    /// # Errors
    ///
    /// I/O errors, and a frame over the bound.
    pub async fn write(&mut self, body: M::Body) -> io::Result<()> {
        self.sink.send(body.into()).await
    }

    async fn feed(&mut self, body: M::Body) -> io::Result<()> {
        let frame = M::from(body);
        frame.count_sent();
        self.sink.feed(frame).await
    }

    /// Sends what arrives on `outbox`, flushing when it is empty, until it closes.
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
