//! Bodies that are whole from the start or arrive in parts.

use bytes::Bytes;
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use futures_util::Stream;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};

/// The body ended before it was whole; the connection is cut so that the receiver sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum TruncatedBody {
    /// the body was cut before its end
    Truncated,
}

impl std::error::Error for TruncatedBody {}

/// The sending side of a body in parts; dropping it without [`BodySender::finish`] cuts the body.
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
    /// Passes a part on; says whether the receiver still takes parts.
    pub fn send(&self, data: Bytes) -> bool {
        self.chunks.unbounded_send(BodyChunk::Data(data)).is_ok()
    }

    /// Ends the body whole.
    pub fn finish(self) {
        // A receiver that went away does not need the end.
        let _ = self.chunks.unbounded_send(BodyChunk::End);
    }

    /// Whether the receiver has gone away.
    pub fn is_closed(&self) -> bool {
        self.chunks.is_closed()
    }
}

/// The body of a request that is sent or of an answer.
pub enum OutgoingBody {
    /// Whole; `None` once it was taken.
    Full(Option<Bytes>),
    /// Arrives in parts.
    Streamed(StreamedBody),
}

impl std::fmt::Debug for OutgoingBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Full(bytes) => f.debug_tuple("Whole").field(bytes).finish(),
            Self::Streamed(_) => f.write_str("Parts"),
        }
    }
}

/// A body in parts that tells how many bytes were taken.
pub struct StreamedBody {
    chunks: UnboundedReceiver<BodyChunk>,
    on_taken: Box<dyn FnMut(usize)>,
    ended: bool,
}

/// Makes a body in parts; `taken` is told of the bytes that the receiver has taken.
///
/// The queue has no bound of its own: the sender keeps it by the credit that `taken` gives.
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
    /// A whole body.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Some(bytes.into()))
    }

    /// No body.
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
