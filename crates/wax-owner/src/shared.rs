//! State that all tasks of a front process share.

use crate::candidates::{CandidateRank, OwnerFitness, TimerLateness, VmCapacity};
use crate::ended_boots::EndedBoots;
use crate::owner_term::OwnerTerm;
use crate::timeouts::OwnerTimeouts;
use event_listener::Event;
use platform::{StoreClient, UpkeepWave, decode_config};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use wax_batch::QueueTable;
use wax_policy::{
    ConfigRules, ConfigView, DrainRules, DrainView, FRONT_HEARTBEAT_PERIOD, OrderRules,
    PerformanceRules, PlacementRules, SharingRules,
};
use wax_types::{ErrorKind, ProcessClock, Step, TimePoint, WaxError};

/// Time within which a config change must be in force everywhere, if the settings specify no bound.
const CONFIG_BOUND: Duration = Duration::from_secs(5);

/// The owner as known to this process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownOwner {
    /// Number of the owner's term.
    pub epoch: u64,
    /// Address of the owner; `None` if the address in its row is not valid.
    pub address: Option<SocketAddr>,
    /// Version of the owner's row in the store.
    pub row_version: u64,
    /// Whether the owner has released the shard.
    pub released: bool,
    /// Fitness of the strongest front known to the owner.
    pub best_fitness: OwnerFitness,
}

/// State shared by all tasks of a front process.
#[derive(Debug)]
pub struct PoolShared {
    /// Name of this VM.
    pub node: Box<str>,
    /// Address at which other processes reach this one.
    pub address: SocketAddr,
    /// Clock of this process.
    pub clock: ProcessClock,
    /// Client of the platform's store.
    pub store: StoreClient,
    /// Durations that govern ownership.
    pub timeouts: OwnerTimeouts,
    /// How long ended jobs are kept.
    pub ended_job_retention: Duration,
    /// Address of the placement advisor; `None` if the platform has none.
    pub advisor: Option<SocketAddr>,
    /// Capacity of this VM as declared by the platform.
    pub vm_capacity: VmCapacity,
    /// How late the timers of this process fire.
    pub timer_lateness: Cell<TimerLateness>,
    /// Rank of this front at the next takeover, as reported by the last owner; `None` before the
    /// first report.
    pub rank: Cell<Option<CandidateRank>>,
    /// Term whose owner refused a connection at its address, usually because its process has ended;
    /// 0 if none.
    pub refused_epoch: Cell<u64>,
    /// Limits and weights of placement; the settings may change them.
    placement_rules: Cell<PlacementRules>,
    sharing_rules: Cell<SharingRules>,
    /// Rules about slow workers; the settings may change them.
    performance_rules: Cell<PerformanceRules>,
    order_rules: Cell<OrderRules>,
    /// Config in force.
    pub config: RefCell<QueueTable>,
    /// The operator's text of the config in force.
    pub config_text: RefCell<Vec<u8>>,
    /// Notified when a newer version of the config is in force.
    pub config_changed: Event,
    /// Maintenance waves that the operator has requested.
    pub waves: RefCell<Vec<UpkeepWave>>,
    /// Notified when a maintenance wave is added.
    pub waves_changed: Event,
    /// Failure domains in which no new tasks start.
    pub drains: RefCell<DrainView>,
    /// Limits on the age of the drain view at which starts may be ordered.
    pub drain_rules: DrainRules,
    /// Addresses of all fronts that were ever linked to this process.
    pub front_addresses: RefCell<BTreeSet<SocketAddr>>,
    /// Boots of workers that have ended for good.
    pub ended_boots: RefCell<EndedBoots>,
    /// Owner of the shard as last known; `None` before the first row was read.
    pub owner: RefCell<Option<KnownOwner>>,
    /// Notified when another owner becomes known.
    pub owner_changed: Event,
    /// Term of this process; `None` while it does not own the shard.
    pub term: RefCell<Option<Rc<OwnerTerm>>>,
    /// Last contact with an owner that reaches the store: when this process's link to the owner
    /// was opened or last received a grant. A grant from an owner that does not reach the store
    /// resets the time to zero.
    pub owner_contact_at: Cell<TimePoint>,
    /// When this process's link last received a grant from an owner, whether or not the owner
    /// reaches the store.
    pub link_contact_at: Cell<TimePoint>,
    /// Interval between two heartbeats on that link, as set by the owner's last grant.
    pub heartbeat_period: Cell<Duration>,
    /// When the store last answered this process.
    pub store_answered_at: Cell<TimePoint>,
    /// Time up to which the config in force is known to be the newest.
    pub config_view: Cell<ConfigView>,
    /// Limits on the time until a config change is in force.
    pub config_rules: ConfigRules,
    /// Store version up to which the operator's rows have been applied; `None` before the first
    /// full reading.
    pub(crate) rows_version: Cell<Option<u64>>,
    /// Notified when the operator's rows may be due for a reading earlier than planned.
    pub(crate) read_schedule_changed: Event,
}

impl PoolShared {
    /// Creates the state of a front on a VM of default capacity.
    pub fn new(
        node: &str,
        address: SocketAddr,
        store: StoreClient,
        advisor: Option<SocketAddr>,
        ended_job_retention: Duration,
    ) -> Self {
        Self::with_vm_capacity(
            node,
            address,
            store,
            advisor,
            ended_job_retention,
            VmCapacity::default(),
        )
    }

    /// Creates the state of a front on a VM whose capacity the platform has declared.
    pub fn with_vm_capacity(
        node: &str,
        address: SocketAddr,
        store: StoreClient,
        advisor: Option<SocketAddr>,
        ended_job_retention: Duration,
        vm_capacity: VmCapacity,
    ) -> Self {
        Self {
            vm_capacity,
            timer_lateness: Cell::default(),
            rank: Cell::new(None),
            refused_epoch: Cell::new(0),
            node: node.into(),
            address,
            clock: ProcessClock::start(),
            store,
            timeouts: OwnerTimeouts::default(),
            ended_job_retention,
            advisor,
            placement_rules: Cell::default(),
            sharing_rules: Cell::default(),
            performance_rules: Cell::default(),
            order_rules: Cell::default(),
            config: RefCell::default(),
            config_text: RefCell::default(),
            config_changed: Event::new(),
            waves: RefCell::default(),
            waves_changed: Event::new(),
            drains: RefCell::default(),
            drain_rules: DrainRules::default(),
            front_addresses: RefCell::default(),
            ended_boots: RefCell::default(),
            owner: RefCell::default(),
            owner_changed: Event::new(),
            term: RefCell::default(),
            owner_contact_at: Cell::default(),
            link_contact_at: Cell::default(),
            heartbeat_period: Cell::new(FRONT_HEARTBEAT_PERIOD),
            store_answered_at: Cell::default(),
            config_view: Cell::default(),
            config_rules: ConfigRules::new(CONFIG_BOUND, DrainRules::default()),
            rows_version: Cell::new(None),
            read_schedule_changed: Event::new(),
        }
    }

    /// Sets the time within which a config change must be in force, and the time after which
    /// nothing starts in a drained domain.
    pub fn set_bounds(&mut self, config: Option<Duration>, drain: Option<Duration>) {
        self.drain_rules.bound = drain;
        self.config_rules = ConfigRules::new(config.unwrap_or(CONFIG_BOUND), self.drain_rules);
    }

    /// Sets the longest lease that workers grant.
    pub fn set_longest_lease(&mut self, longest: Duration) {
        self.timeouts.longest_lease = longest;
    }

    /// Returns this VM's fitness for ownership at its present timer lateness.
    pub fn fitness(&self) -> OwnerFitness {
        self.vm_capacity.fitness(self.timer_lateness.get().mean())
    }

    /// Returns how long an owner may be silent and still count as reachable: `usual`, plus twice
    /// the time by which the heartbeat period exceeds its shortest value.
    pub fn allowed_silence(&self, usual: Duration) -> Duration {
        usual
            + self
                .heartbeat_period
                .get()
                .saturating_sub(FRONT_HEARTBEAT_PERIOD)
                * 2
    }

    /// Records the lateness of a timer of `span` that was set at `began_at`.
    pub fn record_timer(&self, span: Duration, began_at: TimePoint) {
        let mut timer_lateness = self.timer_lateness.get();
        timer_lateness.record(span, self.now().since(began_at));
        self.timer_lateness.set(timer_lateness);
    }

    /// Remembers a front's address, so that this process can find the front if it becomes the
    /// owner.
    pub(crate) fn record_front(&self, address: &str) {
        if let Ok(address) = address.parse() {
            self.front_addresses.borrow_mut().insert(address);
        }
    }

    /// Returns the limits and weights of placement in force.
    pub fn placement_rules(&self) -> PlacementRules {
        self.placement_rules.get()
    }

    /// Replaces the limits and weights of placement; an owner uses them from now on.
    pub fn set_placement_rules(&self, rules: PlacementRules) {
        self.placement_rules.set(rules);
        if let Some(term) = self.current_term() {
            term.scheduler.borrow_mut().set_rules(rules);
        }
    }

    /// Returns the rules in force that decide which best-effort jobs begin.
    pub fn sharing_rules(&self) -> SharingRules {
        self.sharing_rules.get()
    }

    /// Replaces the rules that decide which best-effort jobs begin.
    pub fn set_sharing_rules(&self, rules: SharingRules) {
        self.sharing_rules.set(rules);
        if let Some(term) = self.current_term() {
            term.scheduler.borrow_mut().set_sharing_rules(rules);
        }
    }

    /// Returns the rules about slow workers in force.
    pub fn performance_rules(&self) -> PerformanceRules {
        self.performance_rules.get()
    }

    /// Replaces the rules about slow workers; an owner uses them from now on.
    pub fn set_performance_rules(&self, rules: PerformanceRules) {
        self.performance_rules.set(rules);
        if let Some(term) = self.current_term() {
            term.scheduler.borrow_mut().set_performance_rules(rules);
        }
    }

    /// Returns the rules for workers that leave starts unanswered.
    pub fn order_rules(&self) -> OrderRules {
        self.order_rules.get()
    }

    /// Replaces the rules for workers that leave starts unanswered; an owner uses them from now on.
    pub fn set_order_rules(&self, rules: OrderRules) {
        self.order_rules.set(rules);
        if let Some(term) = self.current_term() {
            term.scheduler.borrow_mut().set_order_rules(rules);
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> TimePoint {
        self.clock.now()
    }

    /// Returns the version of the config in force; 0 without a config.
    pub fn config_version(&self) -> u64 {
        self.config.borrow().version().unwrap_or(0)
    }

    /// Returns for how long a newer config may have existed unnoticed; `None` before the first
    /// reading.
    pub fn config_age(&self) -> Option<Duration> {
        self.config_view.get().age(self.now())
    }

    /// Returns whether a newer config may have been acknowledged for longer than the bound.
    pub fn may_config_be_stale(&self) -> bool {
        let view = self.config_view.get();
        view.may_be_stale(self.now(), &self.config_rules)
    }

    /// Updates until when the config is known to be the newest.
    pub(crate) fn update_config_view(&self, change: impl FnOnce(&mut ConfigView)) {
        let mut view = self.config_view.get();
        change(&mut view);
        self.config_view.set(view);
    }

    /// Records the owner's answer to a heartbeat sent at `sent`: the owner has config `version` and
    /// last read the config `age` before it answered. The age is subtracted from `sent`, which is
    /// earlier than the answer.
    pub fn record_owner_config(&self, version: u64, sent: TimePoint, age: Duration) {
        if version <= self.config_version() {
            let as_of = sent.min(self.now()) - age;
            self.update_config_view(|view| view.record_report(as_of));
        }
    }

    /// Applies the operator's text of a config if its version is greater than the one in force.
    ///
    /// # Errors
    ///
    /// The text cannot be decoded; the config in force stays.
    pub fn offer_config(&self, text: &[u8], from: &str) -> Result<(), WaxError> {
        let config = decode_config(text).map_err(|error| {
            WaxError::new(ErrorKind::Protocol, Step::ChangeSettings, from, error)
        })?;
        let version = config.version;
        if !self.config.borrow_mut().apply_if_newer(config) {
            return Ok(());
        }
        *self.config_text.borrow_mut() = text.to_vec();
        let age_ms = self.config_age().map(|age| age.as_millis() as u64);
        tracing::info!(version, from, unheard_ms = age_ms, "config in force");
        if let Some(term) = &*self.term.borrow() {
            term.apply_config();
        }
        self.config_changed.notify(usize::MAX);
        Ok(())
    }

    /// Adds a maintenance wave that the operator has requested, unless it is known already.
    pub(crate) fn offer_wave(&self, wave: UpkeepWave) {
        let known = self
            .waves
            .borrow()
            .iter()
            .any(|known| known.wave == wave.wave);
        if !known {
            self.waves.borrow_mut().push(wave);
            self.waves_changed.notify(usize::MAX);
        }
    }

    /// Updates the view of drained domains; an owner uses it for placement from now on.
    pub(crate) fn update_drains(&self, from: &str, change: impl FnOnce(&mut DrainView) -> bool) {
        let mut view = self.drains.borrow_mut();
        if !change(&mut view) {
            return;
        }
        let age_ms = view.age(self.now()).map(|age| age.as_millis() as u64);
        tracing::info!(from, version = view.version(), domains = ?view.domains(), age_ms, "drained failure domains");
        if let Some(term) = &*self.term.borrow() {
            term.apply_drains(&view);
        }
    }

    /// Records an owner if its row is newer than the known one.
    pub fn offer_owner(&self, owner: KnownOwner) {
        let newer = {
            let known = self.owner.borrow();
            known
                .as_ref()
                .is_none_or(|known| owner.row_version > known.row_version)
        };
        if newer {
            tracing::info!(epoch = owner.epoch, address = ?owner.address, released = owner.released, "learned of a new owner");
            *self.owner.borrow_mut() = Some(owner);
            self.owner_changed.notify(usize::MAX);
        }
    }

    /// Returns the term of the last known owner; 0 without one.
    pub fn owner_epoch(&self) -> u64 {
        self.owner.borrow().as_ref().map_or(0, |owner| owner.epoch)
    }

    /// Returns whether an owner is known that has not released the shard.
    pub(crate) fn has_owner(&self) -> bool {
        let owner = self.owner.borrow();
        owner.as_ref().is_some_and(|owner| !owner.released)
    }

    /// Returns the term of this process if it owns the shard.
    pub fn current_term(&self) -> Option<Rc<OwnerTerm>> {
        self.term.borrow().clone()
    }
}
