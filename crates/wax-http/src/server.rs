//! HTTP/1.1 server. On shutdown, the server closes its listener and finishes requests in progress.

use crate::budget::{ClientBudget, ConnectionLease};
use crate::ledger::{ConnectionClass, ConnectionState};
use crate::metered_stream::MeteredStream;
use crate::request_body::RequestBody;
use crate::shutdown::ShutdownSignal;
use crate::{HttpReply, HttpRequest};
use compio::net::{TcpListener, TcpStream};
use compio::runtime::spawn;
use cyper_core::CompioTimer;
use event_listener::Event;
use futures_util::future::{Either, select};
use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use rustix::net::{AddressFamily, SocketFlags, SocketType, bind, listen, socket_with, sockopt};
use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use wax_types::{ErrorKind, Step, TimePoint, WaxError};

/// Time within which a client must send the complete request header; otherwise the connection is
/// closed.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of a request header.
const MAX_HEADER_BYTES: usize = 32 << 10;
/// Delay after a failed accept. Accepting fails repeatedly while the process is out of file
/// descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Receive buffer of each connection, bytes. It bounds what a client can send without its being
/// read.
const RECEIVE_BUFFER_BYTES: usize = 16 << 10;
/// Maximum number of connections that wait to be accepted. Linux caps it at `net.core.somaxconn`,
/// which is 4,096 by default.
const ACCEPT_BACKLOG: i32 = 4_096;

/// Handles the requests of one server.
pub trait HttpHandler: 'static {
    /// Handles one request and returns the response. Errors are returned as responses as well.
    fn handle(&self, request: HttpRequest) -> impl Future<Output = HttpReply>;
}

/// Binds a listener. Port 0 selects a free port.
///
/// # Errors
///
/// `Invalid` if the address does not belong to this VM or is in use.
pub fn bind_listener(address: SocketAddr) -> Result<TcpListener, WaxError> {
    open_listener(address).map_err(|error: io::Error| {
        WaxError::new(ErrorKind::Invalid, Step::Listen, address.to_string(), error)
            .with_help("choose an address of this machine and a free port, or port 0")
    })
}

/// Opens a listening socket with a backlog of [`ACCEPT_BACKLOG`]. The standard library uses a
/// backlog of 128, which overflows when all processes of a large pool connect at the same time.
fn open_listener(address: SocketAddr) -> io::Result<TcpListener> {
    let family = match address {
        SocketAddr::V4(_) => AddressFamily::INET,
        SocketAddr::V6(_) => AddressFamily::INET6,
    };
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    let socket = socket_with(family, SocketType::STREAM, flags, None)?;
    sockopt::set_socket_reuseaddr(&socket, true)?;
    bind(&socket, &address)?;
    listen(&socket, ACCEPT_BACKLOG)?;
    TcpListener::from_std(StdListener::from(socket))
}

/// Current and highest number of open connections of a server.
#[derive(Debug, Default)]
pub struct OpenConnections {
    open: Cell<usize>,
    max_open: Cell<usize>,
    closed: Event,
}

impl OpenConnections {
    /// Returns the highest number of connections that were open at the same time.
    pub fn max_open(&self) -> usize {
        self.max_open.get()
    }
}

/// Counts one open connection until it is dropped.
struct OpenConnectionGuard(Rc<OpenConnections>);

impl OpenConnectionGuard {
    fn new(connections: &Rc<OpenConnections>) -> Self {
        connections.open.set(connections.open.get() + 1);
        connections
            .max_open
            .set(connections.max_open.get().max(connections.open.get()));
        Self(connections.clone())
    }
}

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
        self.0.closed.notify(usize::MAX);
    }
}

/// Serves HTTP/1.1 on one listener.
pub struct HttpServer<H> {
    listener: TcpListener,
    handler: Rc<H>,
    shutdown: ShutdownSignal,
    connections: Rc<OpenConnections>,
    budget: Rc<ClientBudget>,
    class: ConnectionClass,
    /// Since when no connection has had room.
    full_since: Cell<Option<TimePoint>>,
}

impl<H: HttpHandler> HttpServer<H> {
    /// Creates a server that passes requests to `handler` until `shutdown` is raised.
    pub fn new(listener: TcpListener, handler: Rc<H>, shutdown: ShutdownSignal) -> Self {
        Self {
            listener,
            handler,
            shutdown,
            connections: Rc::default(),
            budget: ClientBudget::unlimited(),
            class: ConnectionClass::Ordinary,
            full_since: Cell::new(None),
        }
    }

    /// Makes the clients of this server share a budget with those of the process's other servers,
    /// and limits what connections can send before they are accepted or read.
    pub fn with_budget(mut self, budget: Rc<ClientBudget>) -> Self {
        let backlog = i32::try_from(budget.backlog(RECEIVE_BUFFER_BYTES)).unwrap_or(i32::MAX);
        let limited = sockopt::set_socket_recv_buffer_size(&self.listener, RECEIVE_BUFFER_BYTES)
            // Listening again changes the backlog.
            .and_then(|()| listen(&self.listener, backlog.min(ACCEPT_BACKLOG)));
        if let Err(error) = limited {
            tracing::warn!(%error, "could not limit the unread bytes of a listener");
        }
        self.budget = budget;
        self
    }

    /// Gives the clients of this server the part of the budget that ordinary clients cannot take.
    pub fn with_vital_clients(mut self) -> Self {
        self.class = ConnectionClass::Vital;
        self
    }

    /// Returns the connection count, which remains readable after the server has ended.
    pub fn open_connections(&self) -> Rc<OpenConnections> {
        self.connections.clone()
    }

    /// Accepts connections until shutdown, then waits until every connection has finished its
    /// request.
    pub async fn run(self) {
        loop {
            self.budget.ready_to_accept().await;
            let accept = pin!(self.listener.accept());
            let stop = pin!(self.shutdown.wait());
            match select(stop, accept).await {
                Either::Left(_) => break,
                Either::Right((Ok((stream, _)), _)) => {
                    let stop = pin!(self.shutdown.wait());
                    let open = pin!(self.budget.open_in_turn(self.class, &self.full_since));
                    if let Either::Right((Ok(lease), _)) = select(stop, open).await {
                        self.start_connection(stream, lease);
                    }
                }
                Either::Right((Err(_), _)) => compio::time::sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
        drop(self.listener);
        while self.connections.open.get() > 0 {
            let listener = self.connections.closed.listen();
            if self.connections.open.get() > 0 {
                listener.await;
            }
        }
    }

    fn start_connection(&self, stream: TcpStream, lease: Rc<ConnectionLease>) {
        // Without TCP_NODELAY, small responses may wait for the peer's delayed acknowledgement.
        let _ = stream.set_nodelay(true);
        let guard = OpenConnectionGuard::new(&self.connections);
        let handler = self.handler.clone();
        let shutdown = self.shutdown.clone();
        spawn(async move {
            serve_until_given_up(stream, handler, shutdown, lease).await;
            drop(guard);
        })
        .detach();
    }
}

/// Serves a connection until it ends or is given up for others. Dropping it closes the socket without
/// reading the rest; no request is being served then.
async fn serve_until_given_up<H: HttpHandler>(
    stream: TcpStream,
    handler: Rc<H>,
    shutdown: ShutdownSignal,
    lease: Rc<ConnectionLease>,
) {
    let given_up = pin!(lease.given_up());
    let serve = pin!(serve_connection(stream, handler, shutdown, lease.clone()));
    select(given_up, serve).await;
}

async fn serve_connection<H: HttpHandler>(
    stream: TcpStream,
    handler: Rc<H>,
    shutdown: ShutdownSignal,
    lease: Rc<ConnectionLease>,
) {
    let stream = MeteredStream::new(stream, lease.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        let (handler, lease) = (handler.clone(), lease.clone());
        async move {
            lease.set_state(ConnectionState::Serving);
            let request = request.map(|body| RequestBody::new(body, lease.clone()));
            let reply = handler.handle(request).await;
            lease.set_state(ConnectionState::AwaitsClient);
            Ok::<_, Infallible>(reply)
        }
    });
    let connection = http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(MAX_HEADER_BYTES)
        .serve_connection(stream, service);
    let mut connection = pin!(connection);
    let finished = {
        let stop = pin!(shutdown.wait());
        matches!(select(stop, connection.as_mut()).await, Either::Right(_))
    };
    if !finished {
        connection.as_mut().graceful_shutdown();
        // An error affects only this connection.
        let _ = connection.await;
    }
}
