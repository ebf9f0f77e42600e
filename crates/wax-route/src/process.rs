//! The process of an entry and the state that all its requests and connections share.

use crate::attempts::AttemptTable;
use crate::callers::CallerHandler;
use crate::operators::OperatorHandler;
use crate::peer_link::{accept_peers, send_heartbeats};
use crate::peers::PeerTable;
use crate::settings_sync::{load_settings, poll_settings};
use compio::net::TcpListener;
use compio::runtime::spawn;
use event_listener::Event;
use fastrand::Rng;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use wax_http::{HttpServer, ShutdownSignal};
use wax_member::MemberHandle;
use wax_platform::{GroupWriter, ObjectClient, TableClient};
use wax_policy::{RoutePolicy, RouteTable, TeamTable};
use wax_settings::{DaemonSettings, EntrySettings, SettingsHolder, TreeDelta};
use wax_tasks::{CoordinatorHandle, JobService, OperatorDrains};
use wax_types::{ProcessClock, SettingsVersion};
use wax_wire::{PeerHello, SettingsPush};

/// Time between the first failed readiness probe and the close of the listeners. The load balancer
/// still sends requests until it has noticed.
const LISTENER_CLOSE_DELAY: Duration = Duration::from_millis(300);

/// An entry: its listeners for callers, operators and sidecars, and its shared state.
pub struct EntryProcess {
    shared: Rc<EntryShared>,
    callers: TcpListener,
    operators: TcpListener,
    peers: TcpListener,
    settings_poll_interval: Duration,
}

/// Services of the daemon that an entry uses.
pub struct EntryServices {
    /// Client that reads the rows of the store.
    pub table: TableClient,
    /// Writer that merges concurrent commits to the store.
    pub writer: GroupWriter,
    /// Client of the object store, from which usage is read.
    pub objects: ObjectClient,
    /// Membership of this process and of the other entries.
    pub members: MemberHandle,
    /// Settings tree in force, shared with the shards that this process owns.
    pub settings: SettingsHolder,
    /// Service that accepts, shows and cancels jobs.
    pub job_service: JobService,
    /// Status of the shards that this process owns, and the state of their tasks.
    pub coordinator: CoordinatorHandle,
    /// Drained failure domains and workers, on which no new task starts.
    pub drains: OperatorDrains,
    /// Policy that chooses the upstream of an attempt.
    pub policy: RoutePolicy,
}

/// State and clients that all requests and connections of an entry share.
pub(crate) struct EntryShared {
    pub(crate) name: Box<str>,
    pub(crate) failure_domain: Box<str>,
    /// Address to which sidecars connect.
    pub(crate) peers_address: SocketAddr,
    pub(crate) clock: ProcessClock,
    pub(crate) started_at: wax_types::TimePoint,
    pub(crate) settings: SettingsHolder,
    /// Whether a version of the settings was loaded since the start. Requests are rejected before.
    pub(crate) settings_loaded: Cell<bool>,
    /// Notified when this entry applies a version of the settings or a sidecar confirms one.
    pub(crate) settings_progress: Event,
    /// Change that led to the settings in force; `None` if the whole tree was replaced.
    pub(crate) last_delta: RefCell<Option<TreeDelta>>,
    pub(crate) teams: RefCell<TeamTable>,
    pub(crate) routes: RefCell<RouteTable>,
    pub(crate) peers: PeerTable,
    pub(crate) attempts: AttemptTable,
    pub(crate) table: TableClient,
    pub(crate) writer: GroupWriter,
    pub(crate) objects: ObjectClient,
    pub(crate) members: MemberHandle,
    pub(crate) job_service: JobService,
    pub(crate) coordinator: CoordinatorHandle,
    pub(crate) drains: OperatorDrains,
    pub(crate) policy: RoutePolicy,
    pub(crate) rng: RefCell<Rng>,
    /// Whether this entry shuts down; its readiness probes fail then.
    pub(crate) leaving: Cell<bool>,
    /// One in this many requests without a `traceparent` is traced; 0 for none.
    pub(crate) trace_one_in: u32,
}

impl EntryProcess {
    /// Creates the process on bound listeners for callers, operators and sidecars, in this order.
    pub fn new(
        daemon: &DaemonSettings,
        options: &EntrySettings,
        services: EntryServices,
        (callers, operators, peers): (TcpListener, TcpListener, TcpListener),
    ) -> Self {
        let clock = services.table.store().clock();
        let own_row = services.members.own_row();
        let shared = EntryShared {
            name: daemon.name.clone(),
            failure_domain: daemon.failure_domain.clone(),
            peers_address: peers.local_addr().unwrap_or(options.peers),
            clock,
            started_at: clock.now(),
            settings: services.settings,
            settings_loaded: Cell::new(false),
            settings_progress: Event::new(),
            last_delta: RefCell::default(),
            teams: RefCell::new(TeamTable::new(options.max_requests)),
            routes: RefCell::default(),
            peers: PeerTable::default(),
            attempts: AttemptTable::new(own_row.incarnation),
            table: services.table,
            writer: services.writer,
            objects: services.objects,
            members: services.members,
            job_service: services.job_service,
            coordinator: services.coordinator,
            drains: services.drains,
            policy: services.policy,
            rng: RefCell::new(Rng::new()),
            leaving: Cell::new(false),
            trace_one_in: daemon.logs.trace_one_in,
        };
        Self {
            shared: Rc::new(shared),
            callers,
            operators,
            peers,
            settings_poll_interval: Duration::from_millis(options.settings_poll_ms.into()),
        }
    }

    /// Serves until `shutdown`, then stops accepting requests and lets those in progress finish.
    pub async fn run(self, shutdown: ShutdownSignal) {
        let shared = self.shared;
        spawn(accept_peers(shared.clone(), self.peers)).detach();
        spawn(send_heartbeats(shared.clone())).detach();
        spawn(shared.drains.clone().run()).detach();
        load_settings(&shared).await;
        spawn(poll_settings(shared.clone(), self.settings_poll_interval)).detach();
        let stop_callers = ShutdownSignal::default();
        let callers = Rc::new(CallerHandler::new(shared.clone()));
        let operators = Rc::new(OperatorHandler::new(shared.clone()));
        let callers = HttpServer::new(self.callers, callers, stop_callers.clone());
        let operators = HttpServer::new(self.operators, operators, stop_callers.clone());
        let callers = spawn(callers.run());
        spawn(operators.run()).detach();
        shutdown.wait().await;
        // Readiness probes fail from here on, so that the load balancer stops sending requests before
        // the listeners close.
        shared.leaving.set(true);
        shared.members.mark_leaving();
        tracing::info!(attempts = shared.attempts.len(), "leaving");
        compio::time::sleep(LISTENER_CLOSE_DELAY).await;
        stop_callers.raise();
        // An error means that the task panicked; there is nothing left to wait for then.
        let _ = callers.await;
        tracing::info!("drained");
    }
}

impl EntryShared {
    pub(crate) fn own_hello(&self) -> PeerHello {
        PeerHello {
            protocol: PeerHello::PROTOCOL,
            incarnation: self.members.own_row().incarnation.0,
            name: self.name.to_string(),
            failure_domain: self.failure_domain.to_string(),
            service: String::new(),
            slots: 0,
        }
    }

    /// Returns the addresses for sidecars of this entry and of all others that are not leaving.
    pub(crate) fn entry_addresses(&self) -> Vec<String> {
        let mut addresses = vec![self.peers_address.to_string()];
        for member in self.members.live_members(self.clock.now()) {
            if let Some(address) = member.peers
                && !member.leaving
                && *address != *addresses[0]
            {
                addresses.push(address.into());
            }
        }
        addresses
    }

    /// Builds the update for a sidecar at `version`: the last delta if it leads from there to the
    /// version in force, otherwise the whole tree.
    pub(crate) fn build_settings_push(&self, version: SettingsVersion) -> SettingsPush {
        let current = self.settings.version();
        let delta = self.last_delta.borrow();
        let delta = delta
            .as_ref()
            .filter(|delta| delta.version == current && current == version.next());
        match delta {
            Some(delta) => SettingsPush {
                version: current.0,
                tree: Default::default(),
                delta: serde_json::to_vec(delta).unwrap_or_default().into(),
            },
            None => SettingsPush {
                version: current.0,
                tree: self.settings.to_json().into(),
                delta: Default::default(),
            },
        }
    }

    /// Publishes the version of the settings that is now in force: to the membership row, and to all
    /// sidecars that have an older one.
    pub(crate) fn publish_settings(&self, delta: Option<TreeDelta>) {
        *self.last_delta.borrow_mut() = delta;
        self.settings_loaded.set(true);
        self.members.set_settings_version(self.settings.version());
        for peer in self.peers.all() {
            if peer.settings_version.get() < self.settings.version() {
                let push = self.build_settings_push(peer.settings_version.get());
                let _ = peer
                    .outbox
                    .unbounded_send(wax_wire::PeerBody::Settings(push));
            }
        }
        self.settings_progress.notify(usize::MAX);
    }
}
