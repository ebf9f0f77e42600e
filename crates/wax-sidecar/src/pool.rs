//! Pool of connections to the upstream, limited to the number that the upstream accepts.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;
use wax_http::{ClientConnection, ConnectionCount};
use wax_trace::{Counter, count};
use wax_types::{ErrorKind, Step, WaxError};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Idle connections to the upstream, and the number of all open ones.
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

    /// Returns whether the latest attempt to open a connection succeeded; `true` before the first one.
    pub(crate) fn is_reachable(&self) -> bool {
        self.reachable.get()
    }

    /// Returns an idle connection, or opens one if there is none.
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

    /// Opens a connection. Fails if the maximum number of connections is open.
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
            tracing::info!(upstream = %self.address, reachable, "upstream reachability changed");
        }
    }

    /// Adds a connection that can be reused to the idle ones.
    pub(crate) fn put_back(&self, connection: ClientConnection) {
        self.idle.borrow_mut().push(connection);
    }

    /// Tries to open a connection if the upstream was found unreachable.
    pub(crate) async fn probe(&self) {
        if self.is_reachable() {
            return;
        }
        if let Ok(connection) = self.open().await {
            self.put_back(connection);
        }
    }
}
