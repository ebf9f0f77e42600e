//! Stream of a server's connection that notes in the budget when the client makes progress.

use crate::budget::ConnectionLease;
use compio::net::TcpStream;
use cyper_core::HyperStream;
use hyper::rt::{Read, ReadBufCursor, Write};
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// Connection to a client.
pub(crate) struct MeteredStream {
    stream: HyperStream<TcpStream>,
    lease: Rc<ConnectionLease>,
}

impl MeteredStream {
    pub(crate) fn new(stream: TcpStream, lease: Rc<ConnectionLease>) -> Self {
        Self {
            stream: HyperStream::new_plain(stream),
            lease,
        }
    }

    fn note<T>(&self, result: &Poll<io::Result<T>>) {
        if matches!(result, Poll::Ready(Ok(_))) {
            self.lease.note_progress();
        }
    }
}

impl Read for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.note(&result);
        result
    }
}

impl Write for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Write::poll_write(Pin::new(&mut self.stream), context, buffer);
        self.note(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Write::poll_write_vectored(Pin::new(&mut self.stream), context, buffers);
        self.note(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Write::poll_flush(Pin::new(&mut self.stream), context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Write::poll_shutdown(Pin::new(&mut self.stream), context)
    }
}
