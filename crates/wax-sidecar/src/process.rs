//! The process of a sidecar and the state that its connections and attempts share.

use crate::announce::announce_load;
use crate::attempt::{AttemptHandle, QueuedAttempt, RunningAttempt};
use crate::attempt_table::{AttemptState, AttemptTable, CancelResult};
use crate::link::maintain_link;
use crate::pool::UpstreamPool;
use compio::runtime::spawn;
use compio::time::sleep;
use futures_channel::mpsc::UnboundedSender;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use wax_http::{ClientConnection, ShutdownSignal};
use wax_policy::{DequeueChoice, GateChoice, SlotGate};
use wax_settings::{DaemonSettings, SettingsHolder, SidecarSettings};
use wax_trace::{Counter, count};
use wax_types::{AttemptKey, ProcessClock, ProcessIncarnation};
use wax_wire::{
    AttemptId, LoadReport, NotRunReason, PeerBody, PeerHello, RequestHead, SettingsAck,
};

/// Interval at which the drain checks for its end.
const DRAIN_POLL: Duration = Duration::from_millis(10);
/// Maximum time to wait for the last frames to be written to the entries before the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);
/// Minimum duration of the drain. Entries may still send requests until they have received the
/// announcement; these requests are refused as not run, so that the entries can retry elsewhere.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(200);

/// A sidecar: its options and the state of its upstream.
pub struct SidecarProcess {
    shared: Rc<SidecarShared>,
}

/// State that all connections and attempts of a sidecar share.
pub(crate) struct SidecarShared {
    hello: PeerHello,
    options: SidecarSettings,
    clock: ProcessClock,
    gate: RefCell<SlotGate<AttemptKey>>,
    attempt_table: RefCell<AttemptTable>,
    pool: UpstreamPool,
    settings: SettingsHolder,
    links: RefCell<BTreeMap<u64, UnboundedSender<PeerBody>>>,
    /// Number of the next connection to an entry.
    next_link: Cell<u64>,
    /// Addresses of all entries that this sidecar connects to.
    entries: RefCell<BTreeSet<SocketAddr>>,
    leaving: Cell<bool>,
    stopping: ShutdownSignal,
    /// Number of connections with frames that may not have been written.
    open_links: Cell<usize>,
}

impl SidecarProcess {
    /// Creates the process without opening a connection.
    pub fn new(daemon: &DaemonSettings, options: SidecarSettings, clock: ProcessClock) -> Self {
        let hello = PeerHello {
            protocol: PeerHello::PROTOCOL,
            incarnation: ProcessIncarnation::generate().0,
            name: daemon.name.to_string(),
            failure_domain: daemon.failure_domain.to_string(),
            service: options.service.to_string(),
            slots: options.slots,
        };
        let gate = SlotGate::new(options.slots as usize, options.queue as usize);
        let pool = UpstreamPool::new(options.upstream, options.connections as usize);
        let shared = SidecarShared {
            hello,
            options,
            clock,
            gate: RefCell::new(gate),
            attempt_table: RefCell::default(),
            pool,
            settings: SettingsHolder::default(),
            links: RefCell::default(),
            next_link: Cell::new(0),
            entries: RefCell::default(),
            leaving: Cell::new(false),
            stopping: ShutdownSignal::default(),
            open_links: Cell::new(0),
        };
        Self {
            shared: Rc::new(shared),
        }
    }

    /// Serves until `shutdown`, then drains: finishes the attempts in progress and refuses new ones.
    pub async fn run(self, shutdown: ShutdownSignal) {
        let shared = self.shared;
        for address in shared.options.entries.clone() {
            shared.add_entry(address);
        }
        spawn(announce_load(shared.clone())).detach();
        shutdown.wait().await;
        shared.drain().await;
    }
}

impl SidecarShared {
    pub(crate) fn own_hello(&self) -> PeerHello {
        self.hello.clone()
    }

    pub(crate) fn clock(&self) -> ProcessClock {
        self.clock
    }

    pub(crate) fn pool(&self) -> &UpstreamPool {
        &self.pool
    }

    pub(crate) fn settings(&self) -> &SettingsHolder {
        &self.settings
    }

    pub(crate) fn upstream_host(&self) -> String {
        self.options.upstream.to_string()
    }

    pub(crate) fn answer_timeout(&self) -> Duration {
        Duration::from_millis(self.options.answer_ms.into())
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.is_raised()
    }

    /// Waits until the drain has ended and the connections are to be closed.
    pub(crate) async fn wait_for_stop(&self) {
        self.stopping.wait().await;
    }

    /// Adds `change` to the number of connections with frames that may not have been written.
    pub(crate) fn change_open_links(&self, change: isize) {
        let open = self.open_links.get().saturating_add_signed(change);
        self.open_links.set(open);
    }

    /// Starts a connection to an entry unless the address is already known.
    pub(crate) fn add_entry(self: &Rc<Self>, address: SocketAddr) {
        if self.entries.borrow_mut().insert(address) {
            spawn(maintain_link(self.clone(), address)).detach();
        }
    }

    /// Removes an unreachable entry unless it is named in the sidecar's settings. Returns whether it
    /// was removed.
    pub(crate) fn remove_entry(&self, address: SocketAddr) -> bool {
        if self.options.entries.contains(&address) {
            return false;
        }
        self.entries.borrow_mut().remove(&address)
    }

    /// Registers a connection to an entry, and sends the settings version and the load on it.
    pub(crate) fn add_link(&self, outbox: UnboundedSender<PeerBody>) -> u64 {
        let link = self.next_link.get();
        self.next_link.set(link + 1);
        let ack = SettingsAck {
            version: self.settings.version().0,
        };
        let _ = outbox.unbounded_send(PeerBody::SettingsAck(ack));
        let _ = outbox.unbounded_send(PeerBody::Load(self.load_report()));
        self.links.borrow_mut().insert(link, outbox);
        link
    }

    /// Removes a connection and cancels the attempts that arrived on it.
    pub(crate) fn remove_link(self: &Rc<Self>, link: u64) {
        self.links.borrow_mut().remove(&link);
        let keys = self.attempt_table.borrow().keys_of_link(link);
        for key in keys {
            self.cancel(key);
        }
    }

    /// Sends the current load to all connected entries.
    pub(crate) fn announce(&self) {
        self.send_all(&PeerBody::Load(self.load_report()));
    }

    /// Sends the settings version in force to all connected entries.
    pub(crate) fn acknowledge_settings(&self) {
        let version = self.settings.version().0;
        self.send_all(&PeerBody::SettingsAck(SettingsAck { version }));
    }

    fn send_all(&self, body: &PeerBody) {
        for outbox in self.links.borrow().values() {
            let _ = outbox.unbounded_send(body.clone());
        }
    }

    pub(crate) fn load_report(&self) -> LoadReport {
        let gate = self.gate.borrow();
        LoadReport {
            slots_used: gate.slots_used() as u32,
            queued: gate.queued() as u32,
            service_time_us: gate.service_time().as_micros() as u32,
            leaving: self.leaving.get(),
            upstream_up: self.pool.is_reachable(),
        }
    }

    pub(crate) fn running_attempt(&self, id: Option<AttemptId>) -> Option<AttemptHandle> {
        self.attempt_table.borrow().running(id?.into()).cloned()
    }

    /// Runs, queues or refuses a request that has arrived.
    pub(crate) fn receive_request(
        self: &Rc<Self>,
        key: AttemptKey,
        head: RequestHead,
        outbox: &UnboundedSender<PeerBody>,
        link: u64,
    ) {
        let now = self.clock.now();
        if self.attempt_table.borrow().contains(key) {
            // Keys are never reused, so this is a duplicate of the same request.
            return;
        }
        let attempt = QueuedAttempt::new(key, head, now, outbox.clone(), link);
        if self.attempt_table.borrow_mut().take_tombstone(key) {
            return attempt.refuse(NotRunReason::Cancelled, Duration::ZERO);
        }
        if self.leaving.get() {
            return attempt.refuse(NotRunReason::Leaving, Duration::ZERO);
        }
        let choice = self.gate.borrow_mut().admit(now, attempt.deadline(), key);
        match choice {
            GateChoice::Run => self.start(key, attempt.into_running()),
            GateChoice::Queue => {
                let state = AttemptState::Queued(attempt);
                self.attempt_table.borrow_mut().insert(key, state);
            }
            GateChoice::Full(retry_after) => attempt.refuse(NotRunReason::QueueFull, retry_after),
            GateChoice::CannotMeetDeadline(retry_after) => {
                attempt.refuse(NotRunReason::CannotMeetDeadline, retry_after)
            }
        }
    }

    fn start(self: &Rc<Self>, key: AttemptKey, attempt: RunningAttempt) {
        let state = AttemptState::Running(attempt.handle());
        self.attempt_table.borrow_mut().insert(key, state);
        spawn(attempt.run(self.clone())).detach();
    }

    /// Cancels an attempt: a queued attempt does not run, the response of a running one is discarded,
    /// and an unknown one is refused if it arrives later.
    pub(crate) fn cancel(&self, key: AttemptKey) {
        let result = self.attempt_table.borrow_mut().cancel(key);
        match result {
            CancelResult::WasQueued => {
                count(Counter::SidecarCancelled);
                self.gate.borrow_mut().remove(key);
                if let Some(attempt) = self.attempt_table.borrow_mut().take_queued(key) {
                    attempt.refuse(NotRunReason::Cancelled, Duration::ZERO);
                }
            }
            CancelResult::Running => {
                if let Some(handle) = self.attempt_table.borrow().running(key) {
                    handle.abandon();
                }
            }
            CancelResult::Tombstone => count(Counter::SidecarCancelled),
        }
    }

    /// Releases the slot of an attempt and starts queued attempts.
    ///
    /// `service_time` is `None` if nothing was sent to the upstream.
    pub(crate) fn finish_attempt(self: &Rc<Self>, key: AttemptKey, service_time: Option<Duration>) {
        self.attempt_table.borrow_mut().remove(key);
        match service_time {
            Some(service_time) => self.gate.borrow_mut().release(service_time),
            None => self.gate.borrow_mut().release_unused(),
        }
        self.start_queued();
    }

    fn start_queued(self: &Rc<Self>) {
        loop {
            let choice = self.gate.borrow_mut().dequeue(self.clock.now());
            match choice {
                DequeueChoice::Idle => return,
                DequeueChoice::Run(key) => {
                    let attempt = self.attempt_table.borrow_mut().take_queued(key);
                    match attempt {
                        Some(attempt) => self.start(key, attempt.into_running()),
                        None => self.gate.borrow_mut().release_unused(),
                    }
                }
                DequeueChoice::Drop(key) => {
                    let wait = self.gate.borrow().expected_wait();
                    if let Some(attempt) = self.attempt_table.borrow_mut().take_queued(key) {
                        attempt.refuse(NotRunReason::CannotMeetDeadline, wait);
                    }
                }
            }
        }
    }

    /// Returns a connection to the pool once it can be reused.
    pub(crate) async fn return_connection(&self, mut connection: ClientConnection) {
        if connection.ready().await {
            self.pool.put_back(connection);
        }
    }

    /// Announces the shutdown, waits for the attempts in progress for at most `drain_ms`, and closes
    /// the connections.
    async fn drain(&self) {
        let start = self.clock.now();
        let max_drain_time = Duration::from_millis(self.options.drain_ms.into());
        self.leaving.set(true);
        self.announce();
        tracing::info!(attempts = self.attempt_table.borrow().len(), "leaving");
        loop {
            sleep(DRAIN_POLL).await;
            let elapsed = self.clock.now().since(start);
            let idle = self.attempt_table.borrow().len() == 0;
            if (idle && elapsed >= MIN_DRAIN_TIME) || elapsed >= max_drain_time {
                break;
            }
        }
        let unfinished = self.attempt_table.borrow().len();
        self.stopping.raise();
        let closing_at = self.clock.now();
        while self.open_links.get() > 0 && self.clock.now().since(closing_at) < FLUSH_TIMEOUT {
            sleep(DRAIN_POLL).await;
        }
        tracing::info!(unfinished, unflushed = self.open_links.get(), "drained");
    }
}
