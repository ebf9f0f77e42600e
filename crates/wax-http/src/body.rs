//! Bodies of outgoing requests and responses: complete in memory, or streamed in chunks.

use bytes::Bytes;
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use futures_util::Stream;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};

/// Error of a streamed body that ended early; hyper aborts the connection so that the peer notices.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum TruncatedBody {
    /// body truncated: the sender was dropped before the end of the body
    Truncated,
}

impl std::error::Error for TruncatedBody {}

/// Sender of a streamed body. Dropping it without [`BodySender::finish`] truncates the body.
#[derive(Debug)]
pub struct BodySender {
    chunks: UnboundedSender<BodyChunk>,
}

#[derive(Debug)]
enum BodyChunk {
    Data(Bytes),
    End,
}

impl BodySender {
    /// Queues a chunk. Returns whether the receiver still exists.
    pub fn send(&self, data: Bytes) -> bool {
        self.chunks.unbounded_send(BodyChunk::Data(data)).is_ok()
    }

    /// Marks the body as complete.
    pub fn finish(self) {
        // Sending fails only if the receiver was dropped, which then needs no end marker.
        let _ = self.chunks.unbounded_send(BodyChunk::End);
    }

    /// Returns whether the receiver was dropped.
    pub fn is_closed(&self) -> bool {
        self.chunks.is_closed()
    }
}

/// Body of a request that the client sends or of a response that the server sends.
pub enum OutgoingBody {
    /// Complete body; `None` if the body is empty or has been read.
    Full(Option<Bytes>),
    /// Body that arrives in chunks.
    Streamed(StreamedBody),
}

impl std::fmt::Debug for OutgoingBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Full(bytes) => f.debug_tuple("Full").field(bytes).finish(),
            Self::Streamed(_) => f.write_str("Streamed"),
        }
    }
}

/// Receiving side of a streamed body. Reports the size of each chunk when hyper reads the chunk.
pub struct StreamedBody {
    chunks: UnboundedReceiver<BodyChunk>,
    on_taken: Box<dyn FnMut(usize)>,
    ended: bool,
}

/// Creates a streamed body and its sender; `on_taken` gets the size of each chunk that is read.
///
/// The queue is unbounded: the caller must limit what it sends by the credit from `on_taken`.
pub fn body_channel(on_taken: impl FnMut(usize) + 'static) -> (BodySender, OutgoingBody) {
    let (sender, chunks) = unbounded();
    let body = StreamedBody {
        chunks,
        on_taken: Box::new(on_taken),
        ended: false,
    };
    (BodySender { chunks: sender }, OutgoingBody::Streamed(body))
}

impl OutgoingBody {
    /// Returns a complete body.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Some(bytes.into()))
    }

    /// Returns an empty body.
    pub fn empty() -> Self {
        Self::Full(None)
    }
}

impl StreamedBody {
    fn poll_chunk(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedBody>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        match Pin::new(&mut self.chunks).poll_next(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(BodyChunk::Data(data))) => {
                (self.on_taken)(data.len());
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
            Poll::Ready(Some(BodyChunk::End)) => {
                self.ended = true;
                Poll::Ready(None)
            }
            Poll::Ready(None) => {
                self.ended = true;
                Poll::Ready(Some(Err(TruncatedBody::Truncated)))
            }
        }
    }
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = TruncatedBody;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedBody>>> {
        match self.get_mut() {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Streamed(streamed) => streamed.poll_chunk(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(bytes) => bytes.is_none(),
            Self::Streamed(streamed) => streamed.ended,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Streamed(_) => SizeHint::default(),
        }
    }
}
