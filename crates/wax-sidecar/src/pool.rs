//! Connections to the upstream, never more than it accepts.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;
use wax_http::{ClientConnection, ConnectionCount};
use wax_trace::{Counter, count};
use wax_types::{ErrorKind, Step, WaxError};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Idle connections and the count of all open ones.
#[derive(Debug)]
pub(crate) struct UpstreamPool {
    address: SocketAddr,
    max_connections: usize,
    open_count: ConnectionCount,
    idle: RefCell<Vec<ClientConnection>>,
    reachable: Cell<bool>,
}

impl UpstreamPool {
    pub(crate) fn new(address: SocketAddr, max_connections: usize) -> Self {
        Self {
            address,
            max_connections,
            open_count: ConnectionCount::default(),
            idle: RefCell::default(),
            reachable: Cell::new(true),
        }
    }

    /// Whether the last connection that was tried could be opened.
    pub(crate) fn is_reachable(&self) -> bool {
        self.reachable.get()
    }

    /// An idle connection, or a new one.
    pub(crate) async fn take(&self) -> Result<ClientConnection, WaxError> {
        while let Some(connection) = self.pop_idle() {
            if connection.is_ready() {
                return Ok(connection);
            }
        }
        self.open().await
    }

    fn pop_idle(&self) -> Option<ClientConnection> {
        self.idle.borrow_mut().pop()
    }

    /// A new connection; fails at the upstream's bound.
    pub(crate) async fn open(&self) -> Result<ClientConnection, WaxError> {
        if self.open_count.get() >= self.max_connections {
            let kind = ErrorKind::Overload(Duration::from_millis(100));
            let text = format!("all {} connections are in use", self.max_connections);
            return Err(WaxError::new(
                kind,
                Step::Connect,
                self.address.to_string(),
                text,
            ));
        }
        count(Counter::SidecarConnects);
        let result = ClientConnection::open(self.address, CONNECT_TIMEOUT, &self.open_count).await;
        self.set_reachable(result.is_ok());
        result
    }

    fn set_reachable(&self, reachable: bool) {
        if self.reachable.replace(reachable) != reachable {
            tracing::info!(upstream = %self.address, reachable, "upstream changed");
        }
    }

    /// Keeps a connection whose answer was read to its end.
    pub(crate) fn put_back(&self, connection: ClientConnection) {
        self.idle.borrow_mut().push(connection);
    }

    /// Opens a connection where the upstream was last found unreachable.
    pub(crate) async fn probe(&self) {
        if self.is_reachable() {
            return;
        }
        if let Ok(connection) = self.open().await {
            self.put_back(connection);
        }
    }
}
