//! Decides which clients get memory and connections, and which are given up when they run short.

use std::collections::BTreeMap;
use std::time::Duration;
use wax_types::TimePoint;

/// Longest time for which the body of a request is awaited, however fast it arrives.
const MAX_BODY_TIME: Duration = Duration::from_secs(60);
/// Time for which a body is awaited before its rate counts.
const BODY_GRACE: Duration = Duration::from_secs(15);
/// Time without progress from which on a connection may be given up for a new one. A client that sends its
/// request as soon as it is connected is not given up before it arrives.
const MIN_STANDSTILL: Duration = Duration::from_millis(10);
/// Lowest mean rate of a body after [`BODY_GRACE`], bytes per second.
const MIN_BODY_RATE: u64 = 1 << 10;

/// What the clients of one process may hold together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// Memory for connections and bodies, bytes.
    pub memory_bytes: usize,
    /// Number of open connections.
    pub connections: usize,
}

/// Names a connection of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(u64);

/// Whether a connection may be given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionState {
    /// The client is to send or to read something; nothing of its next request has run.
    AwaitsClient,
    /// A request that was read completely is being served.
    Serving,
}

/// Error if memory or connections are short and no connection may be given up for them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum OutOfBudget {
    /// the clients of this process hold all the memory that there is for them
    Memory,
    /// this process has as many open connections as it may have
    Connections,
    /// this connection was given up for others
    GivenUp,
}

impl std::error::Error for OutOfBudget {}

/// Who uses a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionClass {
    /// Any client. Such clients together get no more than the limits without the part that is kept
    /// free for the others.
    Ordinary,
    /// The platform's checks and the peers, which must not be locked out by clients.
    Vital,
}

#[derive(Debug)]
struct ConnectionEntry {
    bytes: usize,
    class: ConnectionClass,
    progress_at: TimePoint,
    state: ConnectionState,
}

/// Account of the connections of a process and the memory that each holds.
#[derive(Debug)]
pub struct ClientLedger {
    limits: ClientLimits,
    /// Limits of all ordinary connections together.
    ordinary_limits: ClientLimits,
    reserved_bytes: usize,
    ordinary_bytes: usize,
    ordinary_count: usize,
    last_id: u64,
    connections: BTreeMap<ConnectionId, ConnectionEntry>,
}

impl ClientLedger {
    /// Creates an account without connections.
    pub fn new(limits: ClientLimits) -> Self {
        Self {
            limits,
            ordinary_limits: limits,
            reserved_bytes: 0,
            ordinary_bytes: 0,
            ordinary_count: 0,
            last_id: 0,
            connections: BTreeMap::new(),
        }
    }

    /// Keeps this part of the limits free for vital connections.
    pub fn with_vital_part(mut self, part: ClientLimits) -> Self {
        self.ordinary_limits = ClientLimits {
            memory_bytes: self.limits.memory_bytes.saturating_sub(part.memory_bytes),
            connections: self.limits.connections.saturating_sub(part.connections),
        };
        self
    }

    /// Returns the reserved memory, bytes.
    pub fn reserved_bytes(&self) -> usize {
        self.reserved_bytes
    }

    /// Returns the number of open connections.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Opens an ordinary connection that holds `bytes`. Returns also the connections that are given
    /// up for it.
    ///
    /// # Errors
    ///
    /// `Memory` or `Connections` if no others may be given up; nothing is changed then.
    pub fn open(
        &mut self,
        bytes: usize,
        now: TimePoint,
    ) -> Result<(ConnectionId, Vec<ConnectionId>), OutOfBudget> {
        self.open_as(ConnectionClass::Ordinary, bytes, now)
    }

    /// Opens a connection that holds `bytes`. Returns also the connections that are given up for it.
    ///
    /// # Errors
    ///
    /// `Memory` or `Connections` if no others may be given up; nothing is changed then.
    pub fn open_as(
        &mut self,
        class: ConnectionClass,
        bytes: usize,
        now: TimePoint,
    ) -> Result<(ConnectionId, Vec<ConnectionId>), OutOfBudget> {
        let given_up = self.give_up(None, class, (bytes, 1), Some(now))?;
        self.last_id += 1;
        let id = ConnectionId(self.last_id);
        self.reserved_bytes += bytes;
        if class == ConnectionClass::Ordinary {
            self.ordinary_bytes += bytes;
            self.ordinary_count += 1;
        }
        let entry = ConnectionEntry {
            bytes,
            class,
            progress_at: now,
            state: ConnectionState::AwaitsClient,
        };
        self.connections.insert(id, entry);
        Ok((id, given_up))
    }

    /// Reserves `bytes` more for a connection. Returns the connections that are given up for it.
    ///
    /// # Errors
    ///
    /// `Memory` if no others may be given up, `GivenUp` if this one was; nothing is changed then.
    pub fn reserve(
        &mut self,
        id: ConnectionId,
        bytes: usize,
    ) -> Result<Vec<ConnectionId>, OutOfBudget> {
        let Some(class) = self.connections.get(&id).map(|entry| entry.class) else {
            return Err(OutOfBudget::GivenUp);
        };
        let given_up = self.give_up(Some(id), class, (bytes, 0), None)?;
        self.reserved_bytes += bytes;
        if class == ConnectionClass::Ordinary {
            self.ordinary_bytes += bytes;
        }
        if let Some(entry) = self.connections.get_mut(&id) {
            entry.bytes += bytes;
        }
        Ok(given_up)
    }

    /// Gives back `bytes` of a connection; does nothing if the connection was given up.
    pub fn release(&mut self, id: ConnectionId, bytes: usize) {
        if let Some(entry) = self.connections.get_mut(&id) {
            entry.bytes -= bytes;
            self.reserved_bytes -= bytes;
            if entry.class == ConnectionClass::Ordinary {
                self.ordinary_bytes -= bytes;
            }
        }
    }

    /// Notes that bytes of a connection were read or written.
    pub fn note_progress(&mut self, id: ConnectionId, now: TimePoint) {
        if let Some(entry) = self.connections.get_mut(&id) {
            entry.progress_at = now;
        }
    }

    /// Changes whether a connection may be given up.
    pub fn set_state(&mut self, id: ConnectionId, state: ConnectionState, now: TimePoint) {
        if let Some(entry) = self.connections.get_mut(&id) {
            entry.state = state;
            entry.progress_at = now;
        }
    }

    /// Removes a connection with all that it holds; does nothing if it was given up.
    pub fn close(&mut self, id: ConnectionId) {
        if let Some(entry) = self.connections.remove(&id) {
            self.reserved_bytes -= entry.bytes;
            if entry.class == ConnectionClass::Ordinary {
                self.ordinary_bytes -= entry.bytes;
                self.ordinary_count -= 1;
            }
        }
    }

    /// Removes the connections that have gone longest without progress until `bytes` and `count`
    /// further connections of this class have room. Never removes `holder` or a connection that is
    /// being served, nor, for a connection that is opened, one that has just made progress.
    fn give_up(
        &mut self,
        holder: Option<ConnectionId>,
        class: ConnectionClass,
        (bytes, count): (usize, usize),
        opened_at: Option<TimePoint>,
    ) -> Result<Vec<ConnectionId>, OutOfBudget> {
        let mut all = Excess::new(&self.limits, self.reserved_bytes, self.connections.len());
        all.add(bytes, count);
        let mut ordinary = Excess::new(
            &self.ordinary_limits,
            self.ordinary_bytes,
            self.ordinary_count,
        );
        if class == ConnectionClass::Ordinary {
            ordinary.add(bytes, count);
        }
        if all.is_none() && ordinary.is_none() {
            return Ok(Vec::new());
        }
        let waits = |(id, entry): &(&ConnectionId, &ConnectionEntry)| {
            let stands_still =
                opened_at.is_none_or(|now| now.since(entry.progress_at) >= MIN_STANDSTILL);
            entry.state == ConnectionState::AwaitsClient && Some(**id) != holder && stands_still
        };
        let mut candidates: Vec<_> = (self.connections.iter().filter(waits))
            .map(|(id, entry)| (entry.progress_at, *id, entry.bytes, entry.class))
            .collect();
        candidates.sort_unstable_by_key(|(progress_at, id, ..)| (*progress_at, *id));
        let mut given_up = Vec::new();
        // Those that an ordinary connection needs free room for the others as well.
        candidates.retain(|(_, id, held, class)| {
            let is_taken = !ordinary.is_none() && *class == ConnectionClass::Ordinary;
            if is_taken {
                ordinary.free(*held);
                all.free(*held);
                given_up.push(*id);
            }
            !is_taken
        });
        for (_, id, held, _) in candidates {
            if all.is_none() {
                break;
            }
            all.free(held);
            given_up.push(id);
        }
        if all.bytes > 0 || ordinary.bytes > 0 {
            return Err(OutOfBudget::Memory);
        }
        if all.connections > 0 || ordinary.connections > 0 {
            return Err(OutOfBudget::Connections);
        }
        for id in &given_up {
            self.close(*id);
        }
        Ok(given_up)
    }
}

/// What exceeds the limits.
#[derive(Debug)]
struct Excess {
    bytes: usize,
    connections: usize,
    /// Room that is left while nothing exceeds the limits.
    free_bytes: usize,
    free_connections: usize,
}

impl Excess {
    fn new(limits: &ClientLimits, bytes: usize, connections: usize) -> Self {
        Self {
            bytes: 0,
            connections: 0,
            free_bytes: limits.memory_bytes.saturating_sub(bytes),
            free_connections: limits.connections.saturating_sub(connections),
        }
    }

    fn add(&mut self, bytes: usize, connections: usize) {
        self.bytes = bytes.saturating_sub(self.free_bytes);
        self.connections = connections.saturating_sub(self.free_connections);
    }

    /// Takes away what a connection holds that is given up.
    fn free(&mut self, bytes: usize) {
        self.bytes = self.bytes.saturating_sub(bytes);
        self.connections = self.connections.saturating_sub(1);
    }

    fn is_none(&self) -> bool {
        self.bytes == 0 && self.connections == 0
    }
}

/// Returns the time by which the rest of a body must have arrived: the whole body within 60 s, and
/// after 15 s at a mean rate of at least 1 KiB per second.
pub fn body_deadline(started_at: TimePoint, received_bytes: usize) -> TimePoint {
    let by_rate = Duration::from_secs(received_bytes as u64 / MIN_BODY_RATE);
    started_at + MAX_BODY_TIME.min(BODY_GRACE + by_rate)
}
