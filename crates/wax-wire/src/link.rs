//! Splits a TCP stream into a frame reader and a frame writer.

use crate::codec::PeerCodec;
use crate::frame::{PeerBody, PeerFrame};
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
pub const WINDOW_BYTES: u32 = 256 << 10;

/// The length in front of each frame.
const LENGTH_BYTES: usize = 4;

type FramedStream = Framed<Compat<Pin<Box<AsyncStream<TcpStream>>>>, PeerCodec>;

/// The reading half of a connection.
#[derive(Debug)]
pub struct FrameReader {
    stream: SplitStream<FramedStream>,
}

/// The writing half of a connection.
#[derive(Debug)]
pub struct FrameWriter {
    sink: SplitSink<FramedStream, PeerFrame>,
}

/// Wraps a connected stream in the frame codec and splits it.
pub fn split_stream(stream: TcpStream) -> (FrameReader, FrameWriter) {
    let stream = Box::pin(AsyncStream::new(stream)).compat();
    let (sink, stream) = Framed::new(stream, PeerCodec::new()).split();
    (FrameReader { stream }, FrameWriter { sink })
}

impl FrameReader {
    /// The next frame's body; `None` once the peer has closed the connection.
    ///
    /// # Errors
    ///
    /// I/O errors, frames over the bound, and frames that do not decode.
    pub async fn read(&mut self) -> io::Result<Option<PeerBody>> {
        match self.stream.next().await {
            None => Ok(None),
            Some(Err(error)) => Err(error),
            Some(Ok(PeerFrame { body: Some(body) })) => Ok(Some(body)),
            Some(Ok(PeerFrame { body: None })) => Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "frame of an unknown kind",
            )),
        }
    }
}

impl FrameWriter {
    /// Sends one frame and flushes.
    ///
    /// # Errors
    ///
    /// I/O errors, and a frame over the bound.
    pub async fn write(&mut self, body: PeerBody) -> io::Result<()> {
        self.sink.send(body.into()).await
    }

    async fn feed(&mut self, body: PeerBody) -> io::Result<()> {
        let frame = PeerFrame::from(body);
        if frame.body.as_ref().is_some_and(PeerBody::is_control) {
            let bytes = frame.encoded_len() + LENGTH_BYTES;
            count_many(Counter::LinksControlBytes, bytes as u64);
        }
        self.sink.feed(frame).await
    }

    /// Sends what arrives on `outbox`, flushing when it is empty, until it closes.
    ///
    /// # Errors
    ///
    /// The first I/O error.
    pub async fn drain(&mut self, outbox: &mut UnboundedReceiver<PeerBody>) -> io::Result<()> {
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
