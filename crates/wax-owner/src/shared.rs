//! What all tasks of a front share.

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
use wax_policy::{ConfigRules, ConfigView, DrainRules, DrainView, FRONT_PERIOD, PlaceRules};
use wax_types::{ErrorKind, ProcessClock, Step, TimePoint, WaxError};

/// A change of the config is in force after this, where the settings name no bound.
const CONFIG_BOUND: Duration = Duration::from_secs(5);

/// The owner as this process knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownOwner {
    /// Its term.
    pub epoch: u64,
    /// Where it is reached.
    pub address: Option<SocketAddr>,
    /// The version of its row.
    pub row_version: u64,
    /// Whether it has let go.
    pub released: bool,
    /// The strongest front that it knew of.
    pub best_fitness: OwnerFitness,
}

/// Shared by all tasks of the process.
#[derive(Debug)]
pub struct PoolShared {
    /// The machine's name.
    pub node: Box<str>,
    /// Where other processes reach this one.
    pub address: SocketAddr,
    /// The process's clock.
    pub clock: ProcessClock,
    /// The platform's store.
    pub store: StoreClient,
    /// Spans of ownership.
    pub timeouts: OwnerTimeouts,
    /// How long ended jobs are kept.
    pub ended_job_retention: Duration,
    /// The placement advisor, if the platform has one.
    pub advisor: Option<SocketAddr>,
    /// What the platform says of this machine.
    pub vm_capacity: VmCapacity,
    /// How late this process's timers are.
    pub timer_lateness: Cell<TimerLateness>,
    /// This front's turn at the next takeover, by the last owner's word.
    pub rank: Cell<Option<CandidateRank>>,
    /// The term whose owner's process is gone: nobody listens at its address.
    pub refused_epoch: Cell<u64>,
    /// Limits and weights of placement; they may change with the settings.
    place_rules: Cell<PlaceRules>,
    /// The config in force.
    pub config: RefCell<QueueTable>,
    /// The operator's text of the config in force.
    pub config_text: RefCell<Vec<u8>>,
    /// Notified when a greater version of the config is in force.
    pub config_changed: Event,
    /// Waves of upkeep that the operator has asked for.
    pub waves: RefCell<Vec<UpkeepWave>>,
    /// Notified when there is another wave.
    pub waves_changed: Event,
    /// Failure domains that get nothing new.
    pub drains: RefCell<DrainView>,
    /// How old that view may be for starts to be ordered.
    pub drain_rules: DrainRules,
    /// Where fronts are reached that were ever linked to this process.
    pub front_addresses: RefCell<BTreeSet<SocketAddr>>,
    /// Boots of workers that are dead for good.
    pub ended_boots: RefCell<EndedBoots>,
    /// The owner as last heard of.
    pub owner: RefCell<Option<KnownOwner>>,
    /// Notified when another owner is heard of.
    pub owner_changed: Event,
    /// Set while this process owns the shard.
    pub term: RefCell<Option<Rc<OwnerTerm>>>,
    /// When an owner whose store answers was last heard by this process's link.
    pub owner_heard_at: Cell<TimePoint>,
    /// When any owner was last heard by this process's link, whether or not its store answers.
    pub link_heard_at: Cell<TimePoint>,
    /// Between two heartbeats of that link, by the owner's last grant.
    pub heartbeat_interval: Cell<Duration>,
    /// When the store last answered this process.
    pub store_answered_at: Cell<TimePoint>,
    /// Up to when the config in force is known to be the newest.
    pub config_view: Cell<ConfigView>,
    /// By when a change of the config is in force.
    pub config_rules: ConfigRules,
    /// The store's version up to which the operator's rows were taken; `None` before all were read.
    pub(crate) rows_version: Cell<Option<u64>>,
    /// Notified when the operator's rows may be due for a reading sooner than it seemed.
    pub(crate) read_schedule_changed: Event,
}

impl PoolShared {
    /// Prepares the state of a front.
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

    /// The same on a machine of which the platform has told.
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
            place_rules: Cell::default(),
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
            owner_heard_at: Cell::default(),
            link_heard_at: Cell::default(),
            heartbeat_interval: Cell::new(FRONT_PERIOD),
            store_answered_at: Cell::default(),
            config_view: Cell::default(),
            config_rules: ConfigRules::new(CONFIG_BOUND, DrainRules::default()),
            rows_version: Cell::new(None),
            read_schedule_changed: Event::new(),
        }
    }

    /// Takes by when a change of the config is in force, and by when nothing starts in a drained domain.
    pub fn set_bounds(&mut self, config: Option<Duration>, drain: Option<Duration>) {
        self.drain_rules.bound = drain;
        self.config_rules = ConfigRules::new(config.unwrap_or(CONFIG_BOUND), self.drain_rules);
    }

    /// How well this machine would carry an owner now.
    pub fn fitness(&self) -> OwnerFitness {
        self.vm_capacity.fitness(self.timer_lateness.get().mean())
    }

    /// For how long an owner that was heard counts as there, longer by two of the heartbeats that it has done
    /// without.
    pub fn allowed_silence(&self, usual: Duration) -> Duration {
        usual + self.heartbeat_interval.get().saturating_sub(FRONT_PERIOD) * 2
    }

    /// Notes a timer of `span` that was set at `began`.
    pub fn record_timer(&self, span: Duration, began_at: TimePoint) {
        let mut timer_lateness = self.timer_lateness.get();
        timer_lateness.record(span, self.now().since(began_at));
        self.timer_lateness.set(timer_lateness);
    }

    /// Notes a front, so that it is found should it own the shard once.
    pub(crate) fn record_front(&self, address: &str) {
        if let Ok(address) = address.parse() {
            self.front_addresses.borrow_mut().insert(address);
        }
    }

    /// Limits and weights of placement in force.
    pub fn place_rules(&self) -> PlaceRules {
        self.place_rules.get()
    }

    /// Takes other limits and weights of placement; an owner places by them from now on.
    pub fn set_place_rules(&self, rules: PlaceRules) {
        self.place_rules.set(rules);
        if let Some(term) = self.current_term() {
            term.scheduler.borrow_mut().set_rules(rules);
        }
    }

    /// The present time.
    pub fn now(&self) -> TimePoint {
        self.clock.now()
    }

    /// The version of the config in force; 0 without one.
    pub fn config_version(&self) -> u64 {
        self.config.borrow().version().unwrap_or(0)
    }

    /// For how long a newer config may have gone unseen; `None` before the first reading.
    pub fn config_age(&self) -> Option<Duration> {
        self.config_view.get().age(self.now())
    }

    /// Whether a newer config may have been acknowledged for longer than the bound.
    pub fn may_config_be_stale(&self) -> bool {
        let view = self.config_view.get();
        view.may_be_old(self.now(), &self.config_rules)
    }

    /// Changes how sure this process is of its config.
    pub(crate) fn update_config_view(&self, change: impl FnOnce(&mut ConfigView)) {
        let mut view = self.config_view.get();
        change(&mut view);
        self.config_view.set(view);
    }

    /// The owner has answered a heartbeat of `sent`: `version` was its config, which it knew to be the newest
    /// `age` before that.
    pub fn record_owner_config(&self, version: u64, sent: TimePoint, age: Duration) {
        if version <= self.config_version() {
            let as_of = sent.min(self.now()) - age;
            self.update_config_view(|view| view.note_told(as_of));
        }
    }

    /// Takes the operator's text of a config if its version is greater than the one in force.
    ///
    /// # Errors
    ///
    /// The text does not decode; the config in force stays.
    pub fn offer_config(&self, text: &[u8], from: &str) -> Result<(), WaxError> {
        let config = decode_config(text).map_err(|error| {
            WaxError::new(ErrorKind::Protocol, Step::ChangeSettings, from, error)
        })?;
        let version = config.version;
        if !self.config.borrow_mut().offer(config) {
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

    /// Notes a wave that the operator has asked for.
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

    /// Notes what is drained, by a change of the view; an owner places by it from now on.
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

    /// Notes an owner if its row is newer than what is known.
    pub fn offer_owner(&self, owner: KnownOwner) {
        let newer = {
            let known = self.owner.borrow();
            known
                .as_ref()
                .is_none_or(|known| owner.row_version > known.row_version)
        };
        if newer {
            tracing::info!(epoch = owner.epoch, address = ?owner.address, released = owner.released, "owner known");
            *self.owner.borrow_mut() = Some(owner);
            self.owner_changed.notify(usize::MAX);
        }
    }

    /// The term of the owner as last heard of; 0 without one.
    pub fn owner_epoch(&self) -> u64 {
        self.owner.borrow().as_ref().map_or(0, |owner| owner.epoch)
    }

    /// Whether an owner is known that has not let go.
    pub(crate) fn has_owner(&self) -> bool {
        let owner = self.owner.borrow();
        owner.as_ref().is_some_and(|owner| !owner.released)
    }

    /// The tenure of this process, if it owns the shard.
    pub fn current_term(&self) -> Option<Rc<OwnerTerm>> {
        self.term.borrow().clone()
    }
}
