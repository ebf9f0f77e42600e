//! HTTP/1.1 client connections. Open connections are counted, for upstreams that limit their
//! number.

use crate::body::OutgoingBody;
use compio::net::TcpStream;
use compio::runtime::spawn;
use compio::time::timeout;
use cyper_core::HyperStream;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use wax_types::{ErrorKind, Step, WaxError};

/// Number of open client connections, shared by all clones.
#[derive(Debug, Clone, Default)]
pub struct ConnectionCount(Rc<Cell<usize>>);

impl ConnectionCount {
    /// Returns the current number of open connections, including those being opened.
    pub fn get(&self) -> usize {
        self.0.get()
    }
}

/// Counts one connection until it is dropped.
struct ConnectionGuard(ConnectionCount);

impl ConnectionGuard {
    fn new(count: &ConnectionCount) -> Self {
        count.0.set(count.0.get() + 1);
        Self(count.clone())
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.0.set(self.0.0.get() - 1);
    }
}

/// One connection to an HTTP/1.1 server.
#[derive(Debug)]
pub struct ClientConnection {
    sender: SendRequest<OutgoingBody>,
}

impl ClientConnection {
    /// Connects to a server within `time_limit`. The connection is counted in `count` until its
    /// socket is closed.
    ///
    /// # Errors
    ///
    /// `Unavailable` if the server cannot be reached in time. No request was sent.
    pub async fn open(
        address: SocketAddr,
        time_limit: Duration,
        count: &ConnectionCount,
    ) -> Result<Self, WaxError> {
        let guard = ConnectionGuard::new(count);
        let unreachable = |error: &dyn std::fmt::Display| {
            let kind = ErrorKind::Unavailable(Duration::from_secs(1));
            WaxError::new(kind, Step::Connect, address.to_string(), error)
        };
        let stream = match timeout(time_limit, connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(unreachable(&error)),
            Err(_) => return Err(unreachable(&"no connection in time")),
        };
        let (sender, connection) = handshake(HyperStream::new_plain(stream))
            .await
            .map_err(|error| unreachable(&error))?;
        spawn(async move {
            // Errors of the connection are returned to the caller by the sender.
            let _ = connection.await;
            drop(guard);
        })
        .detach();
        Ok(Self { sender })
    }

    /// Returns whether the connection can accept a request immediately.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Waits until the connection can accept a request. Returns `false` if the connection was
    /// closed.
    pub async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and returns the response. On an error, returns the request if none of it was
    /// sent.
    ///
    /// # Errors
    ///
    /// The connection failed. If the request is not returned, the server may have received it.
    pub async fn try_send(
        &mut self,
        request: Request<OutgoingBody>,
    ) -> Result<Response<Incoming>, (hyper::Error, Option<Request<OutgoingBody>>)> {
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => {
                let unsent = error.take_message();
                Err((error.into_error(), unsent))
            }
        }
    }

    /// Sends a request and returns the response.
    ///
    /// # Errors
    ///
    /// The connection failed; the server may have received the request.
    pub async fn send(
        &mut self,
        request: Request<OutgoingBody>,
    ) -> Result<Response<Incoming>, hyper::Error> {
        self.sender.send_request(request).await
    }
}

async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
