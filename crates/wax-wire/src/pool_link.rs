//! Splits a TCP stream into a reader and a writer of [`PoolFrame`]s.

use crate::codec::PeerCodec;
use crate::pool::{PoolBody, PoolFrame};
use compio::io::compat::AsyncStream;
use compio::net::TcpStream;
use futures_channel::mpsc::UnboundedReceiver;
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use std::io;
use std::pin::Pin;
use tokio_util::codec::Framed;
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt};

type PoolStream = Framed<Compat<Pin<Box<AsyncStream<TcpStream>>>>, PeerCodec<PoolFrame>>;

/// The reading half of a connection.
#[derive(Debug)]
pub struct PoolReader {
    stream: SplitStream<PoolStream>,
}

/// The writing half of a connection.
#[derive(Debug)]
pub struct PoolWriter {
    sink: SplitSink<PoolStream, PoolFrame>,
}

/// Wraps a connected stream in the codec and splits it.
pub fn split_pool_stream(stream: TcpStream) -> (PoolReader, PoolWriter) {
    let stream = Box::pin(AsyncStream::new(stream)).compat();
    let (sink, stream) = Framed::new(stream, PeerCodec::new()).split();
    (PoolReader { stream }, PoolWriter { sink })
}

impl PoolReader {
    /// The next message; `None` once the peer has closed the connection.
    ///
    /// # Errors
    ///
    /// I/O errors, messages over the bound, and messages that do not decode.
    pub async fn read(&mut self) -> io::Result<Option<PoolBody>> {
        match self.stream.next().await {
            None => Ok(None),
            Some(Err(error)) => Err(error),
            Some(Ok(PoolFrame { body: Some(body) })) => Ok(Some(body)),
            Some(Ok(PoolFrame { body: None })) => Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "message of an unknown kind",
            )),
        }
    }
}

impl PoolWriter {
    /// Sends one message and flushes.
    ///
    /// # Errors
    ///
    /// I/O errors, and a message over the bound.
    pub async fn write(&mut self, body: PoolBody) -> io::Result<()> {
        self.sink.send(body.into()).await
    }

    /// Sends what arrives on `outbox`, flushing when it is empty, until it closes.
    ///
    /// # Errors
    ///
    /// The first I/O error.
    pub async fn drain(&mut self, outbox: &mut UnboundedReceiver<PoolBody>) -> io::Result<()> {
        while let Some(body) = outbox.next().await {
            self.sink.feed(body.into()).await?;
            while let Ok(body) = outbox.try_recv() {
                self.sink.feed(body.into()).await?;
            }
            self.sink.flush().await?;
        }
        self.sink.close().await
    }
}
