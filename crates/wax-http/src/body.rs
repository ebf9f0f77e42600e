//! Bodies that are whole from the start or arrive in parts.

use bytes::Bytes;
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use futures_util::Stream;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};

/// The body ended before it was whole; the connection is cut so that the receiver sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum CutBody {
    /// the body was cut before its end
    Cut,
}

impl std::error::Error for CutBody {}

/// The sending side of a body in parts; dropping it without [`BodySender::finish`] cuts the body.
#[derive(Debug)]
pub struct BodySender {
    parts: UnboundedSender<BodyPart>,
}

#[derive(Debug)]
enum BodyPart {
    Data(Bytes),
    End,
}

impl BodySender {
    /// Passes a part on; says whether the receiver still takes parts.
    pub fn send(&self, data: Bytes) -> bool {
        self.parts.unbounded_send(BodyPart::Data(data)).is_ok()
    }

    /// Ends the body whole.
    pub fn finish(self) {
        // A receiver that went away does not need the end.
        let _ = self.parts.unbounded_send(BodyPart::End);
    }

    /// Whether the receiver has gone away.
    pub fn is_closed(&self) -> bool {
        self.parts.is_closed()
    }
}

/// The body of a request that is sent or of an answer.
pub enum ReplyBody {
    /// Whole; `None` once it was taken.
    Whole(Option<Bytes>),
    /// Arrives in parts.
    Parts(PartsBody),
}

impl std::fmt::Debug for ReplyBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Whole(bytes) => f.debug_tuple("Whole").field(bytes).finish(),
            Self::Parts(_) => f.write_str("Parts"),
        }
    }
}

/// A body in parts that tells how many bytes were taken.
pub struct PartsBody {
    parts: UnboundedReceiver<BodyPart>,
    taken: Box<dyn FnMut(usize)>,
    ended: bool,
}

/// Makes a body in parts; `taken` is told of the bytes that the receiver has taken.
///
/// The queue has no bound of its own: the sender keeps it by the credit that `taken` gives.
pub fn body_channel(taken: impl FnMut(usize) + 'static) -> (BodySender, ReplyBody) {
    let (sender, parts) = unbounded();
    let body = PartsBody {
        parts,
        taken: Box::new(taken),
        ended: false,
    };
    (BodySender { parts: sender }, ReplyBody::Parts(body))
}

impl ReplyBody {
    /// A whole body.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }

    /// No body.
    pub fn empty() -> Self {
        Self::Whole(None)
    }
}

impl PartsBody {
    fn poll_part(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CutBody>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        match Pin::new(&mut self.parts).poll_next(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(BodyPart::Data(data))) => {
                (self.taken)(data.len());
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
            Poll::Ready(Some(BodyPart::End)) => {
                self.ended = true;
                Poll::Ready(None)
            }
            Poll::Ready(None) => {
                self.ended = true;
                Poll::Ready(Some(Err(CutBody::Cut)))
            }
        }
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = CutBody;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CutBody>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Parts(parts) => parts.poll_part(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.is_none(),
            Self::Parts(parts) => parts.ended,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Parts(_) => SizeHint::default(),
        }
    }
}
