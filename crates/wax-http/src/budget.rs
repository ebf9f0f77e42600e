//! Budget of a process for its clients: the memory of connections and bodies, and the number of
//! connections. All listeners of the process share it.

use crate::allocator::return_free_memory;
use crate::ledger::{
    ClientLedger, ClientLimits, ConnectionClass, ConnectionId, ConnectionState, OutOfBudget,
};
use crate::shutdown::ShutdownSignal;
use compio::time::timeout;
use event_listener::Event;
use rustix::process::{Resource, getrlimit};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use wax_trace::{Counter, count, count_many};
use wax_types::{ProcessClock, TimePoint};

/// Memory that is reserved for an open connection: the buffers of hyper and of the socket, its
/// unread bytes in the kernel, and its task.
pub(crate) const CONNECTION_BYTES: usize = 128 << 10;
/// Part of a machine's memory that clients may hold: one in this many.
const MEMORY_PART: usize = 2;
/// Part of the memory for clients that the unread bytes of connections that wait at one listener may
/// take: one in this many.
const BACKLOG_PART: usize = 8;
/// Number of connections given up for others that may be open still when the next one is accepted.
const CLOSING_CONNECTIONS: usize = 16;
/// Part of the memory for clients that is freed before it is returned to the kernel, while the budget is
/// short: one in this many.
const FREED_PART: usize = 8;
/// Part of the memory for clients that connections leave to bodies: one in this many. Otherwise requests that
/// are being served could take all of it, and no body would be read.
const BODY_PART: usize = 4;
/// Part of the memory and of the connections that ordinary clients leave to the platform's checks and to
/// peers: one in this many.
const VITAL_PART: usize = 8;
/// Longest time for which a connection waits for room while all others are being served.
const ROOM_WAIT: Duration = Duration::from_secs(5);
/// Part of a process's file descriptors that clients may hold: one in this many.
const DESCRIPTOR_PART: usize = 2;

/// Budget that the connections of a process share.
#[derive(Debug)]
pub struct ClientBudget {
    ledger: RefCell<ClientLedger>,
    /// Raised when a connection is given up.
    signals: RefCell<BTreeMap<ConnectionId, ShutdownSignal>>,
    clock: ProcessClock,
    limits: ClientLimits,
    /// Number of connections that were given up and are not closed yet.
    closing: Cell<usize>,
    closed: Event,
    /// Notified when a connection is closed or may be given up, or memory is given back.
    room: Event,
    /// Whether clients were refused or given up since half of the budget was free.
    is_short: Cell<bool>,
    /// Bytes given back since free memory was last returned to the kernel.
    freed_bytes: Cell<usize>,
}

impl ClientBudget {
    /// Creates a budget with these limits.
    pub fn new(limits: ClientLimits) -> Rc<Self> {
        let vital_part = ClientLimits {
            memory_bytes: limits.memory_bytes / VITAL_PART / CONNECTION_BYTES * CONNECTION_BYTES,
            connections: limits.connections / VITAL_PART,
        };
        Rc::new(Self {
            ledger: RefCell::new(ClientLedger::new(limits).with_vital_part(vital_part)),
            signals: RefCell::default(),
            clock: ProcessClock::start(),
            limits,
            closing: Cell::new(0),
            closed: Event::new(),
            room: Event::new(),
            is_short: Cell::new(false),
            freed_bytes: Cell::new(0),
        })
    }

    /// Creates the budget of a process on a machine with this memory, mebibytes: half of the memory
    /// and half of the file descriptors that the process may open. With `None` for the descriptors, the
    /// limit of the process is read.
    pub fn for_machine(memory_mb: f64, descriptors: Option<u32>) -> Rc<Self> {
        let memory_bytes = (memory_mb * 1_048_576.0) as usize / MEMORY_PART;
        let own_limit = || getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
        let descriptors = descriptors.map_or_else(own_limit, u64::from);
        let descriptors = usize::try_from(descriptors).unwrap_or(usize::MAX);
        let connections = memory_bytes / CONNECTION_BYTES;
        let connections =
            (connections - connections / BODY_PART).min(descriptors / DESCRIPTOR_PART);
        let budget = Self::new(ClientLimits {
            memory_bytes,
            connections,
        });
        tracing::info!(memory_bytes, connections, "budget for clients");
        budget
    }

    /// Creates a budget without limits.
    pub fn unlimited() -> Rc<Self> {
        Self::new(ClientLimits {
            memory_bytes: usize::MAX,
            connections: usize::MAX,
        })
    }

    pub(crate) fn now(&self) -> TimePoint {
        self.clock.now()
    }

    /// Returns how many connections may wait to be accepted by one listener, so that what they have
    /// sent takes a small part of the memory.
    pub(crate) fn backlog(&self, receive_buffer_bytes: usize) -> usize {
        self.limits.memory_bytes / BACKLOG_PART / receive_buffer_bytes
    }

    /// Reserves what a new connection holds. Connections that have gone longest without progress may
    /// be given up for it.
    ///
    /// # Errors
    ///
    /// The budget is short, and all connections are being served.
    pub fn open(
        self: &Rc<Self>,
        class: ConnectionClass,
    ) -> Result<Rc<ConnectionLease>, OutOfBudget> {
        self.try_open(class).inspect_err(|error| {
            count(Counter::ClientsRefused);
            self.note_short(*error);
        })
    }

    fn try_open(
        self: &Rc<Self>,
        class: ConnectionClass,
    ) -> Result<Rc<ConnectionLease>, OutOfBudget> {
        let mut ledger = self.ledger.borrow_mut();
        let (id, given_up) = ledger.open_as(class, CONNECTION_BYTES, self.now())?;
        drop(ledger);
        self.end_connections(&given_up);
        let signal = ShutdownSignal::default();
        self.signals.borrow_mut().insert(id, signal.clone());
        Ok(Rc::new(ConnectionLease {
            budget: self.clone(),
            id,
            given_up: signal,
        }))
    }

    /// Reserves what a new connection holds, as [`ClientBudget::open`] does, but waits for room for up to
    /// [`ROOM_WAIT`] after `full_since`, which is set while there is none. Connections get room in the
    /// order in which they were made, so that a crowd that returns at once does not lock others out.
    ///
    /// # Errors
    ///
    /// The budget is short, and all connections have been served for so long.
    pub(crate) async fn open_in_turn(
        self: &Rc<Self>,
        class: ConnectionClass,
        full_since: &Cell<Option<TimePoint>>,
    ) -> Result<Rc<ConnectionLease>, OutOfBudget> {
        loop {
            let room = self.room.listen();
            if let Ok(lease) = self.try_open(class) {
                full_since.set(None);
                return Ok(lease);
            }
            let since = full_since.get().unwrap_or_else(|| self.now());
            full_since.set(Some(since));
            let left = ROOM_WAIT.saturating_sub(self.now().since(since));
            if left.is_zero() {
                return self.open(class);
            }
            // Whether there is room is checked again, also after the timeout.
            let _ = timeout(left, room).await;
        }
    }

    fn end_connections(&self, ids: &[ConnectionId]) {
        if ids.is_empty() {
            return;
        }
        count_many(Counter::ClientsGivenUp, ids.len() as u64);
        self.note_short(OutOfBudget::GivenUp);
        for id in ids {
            let signal = self.signals.borrow_mut().remove(id);
            if let Some(signal) = signal {
                self.closing.set(self.closing.get() + 1);
                signal.raise();
            }
        }
    }

    /// Waits until few given-up connections are open, so that the next one may be accepted.
    pub async fn ready_to_accept(&self) {
        self.settle(CLOSING_CONNECTIONS).await;
    }

    /// Waits until all but `count` of the connections that were given up are closed, so that their
    /// memory and their descriptors are free.
    pub(crate) async fn settle(&self, count: usize) {
        while self.closing.get() > count {
            let closed = self.closed.listen();
            if self.closing.get() > count {
                closed.await;
            }
        }
    }

    fn note_short(&self, why: OutOfBudget) {
        if !self.is_short.replace(true) {
            let ledger = self.ledger.borrow();
            tracing::warn!(
                connections = ledger.connection_count(),
                reserved_bytes = ledger.reserved_bytes(),
                %why,
                "the budget for clients is short"
            );
        }
    }

    /// Notes that clients have given back `bytes`.
    fn note_freed(&self, bytes: usize) {
        if !self.is_short.get() {
            return;
        }
        self.freed_bytes.set(self.freed_bytes.get() + bytes);
        if self.freed_bytes.get() >= self.limits.memory_bytes / FREED_PART {
            self.freed_bytes.set(0);
            return_free_memory();
        }
        let ledger = self.ledger.borrow();
        let is_half_free = ledger.reserved_bytes() <= self.limits.memory_bytes / 2
            && ledger.connection_count() <= self.limits.connections / 2;
        if is_half_free {
            self.is_short.set(false);
            tracing::info!("the budget for clients suffices again");
        }
    }
}

/// Share of an open connection in the budget; given back on drop.
#[derive(Debug)]
pub struct ConnectionLease {
    budget: Rc<ClientBudget>,
    id: ConnectionId,
    given_up: ShutdownSignal,
}

impl ConnectionLease {
    /// Waits until the connection is given up for others. It must be closed then.
    pub async fn given_up(&self) {
        self.given_up.wait().await;
    }

    pub(crate) fn now(&self) -> TimePoint {
        self.budget.now()
    }

    pub(crate) fn note_progress(&self) {
        let now = self.now();
        self.budget.ledger.borrow_mut().note_progress(self.id, now);
    }

    pub(crate) fn set_state(&self, state: ConnectionState) {
        let now = self.now();
        self.budget
            .ledger
            .borrow_mut()
            .set_state(self.id, state, now);
        if state == ConnectionState::AwaitsClient {
            self.budget.room.notify(usize::MAX);
        }
    }
}

impl Drop for ConnectionLease {
    fn drop(&mut self) {
        self.budget.ledger.borrow_mut().close(self.id);
        self.budget.signals.borrow_mut().remove(&self.id);
        if self.given_up.is_raised() {
            self.budget.closing.set(self.budget.closing.get() - 1);
            self.budget.closed.notify(usize::MAX);
        }
        self.budget.room.notify(usize::MAX);
        self.budget.note_freed(CONNECTION_BYTES);
    }
}

/// Memory of a request that is reserved in the budget; given back on drop.
#[derive(Debug)]
pub struct BodyReservation {
    lease: Rc<ConnectionLease>,
    bytes: usize,
}

impl BodyReservation {
    pub(crate) fn new(lease: Rc<ConnectionLease>) -> Self {
        Self { lease, bytes: 0 }
    }

    /// Reserves `bytes` more.
    ///
    /// # Errors
    ///
    /// The budget is short, and all other connections are being served.
    pub(crate) async fn grow(&mut self, bytes: usize) -> Result<(), OutOfBudget> {
        let budget = &self.lease.budget;
        let result = budget.ledger.borrow_mut().reserve(self.lease.id, bytes);
        match result {
            Ok(given_up) => {
                self.bytes += bytes;
                budget.end_connections(&given_up);
                budget.settle(0).await;
                Ok(())
            }
            Err(error) => {
                count(Counter::BodiesRefused);
                budget.note_short(error);
                Err(error)
            }
        }
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        let budget = &self.lease.budget;
        budget
            .ledger
            .borrow_mut()
            .release(self.lease.id, self.bytes);
        budget.room.notify(usize::MAX);
        budget.note_freed(self.bytes);
    }
}
