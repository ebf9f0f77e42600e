//! What all tasks of a front share.

use crate::candidates::{CandidateRank, MachineStrength, OwnerFitness, TimerLateness};
use crate::gone::GoneBoots;
use crate::spans::OwnerSpans;
use crate::tenure::Tenure;
use event_listener::Event;
use platform::{StoreClient, UpkeepWave, decode_config};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use wax_batch::QueueTable;
use wax_policy::{
    ConfigRules, ConfigView, DrainRules, DrainView, FRONT_HEARTBEAT_PERIOD, PlacementRules,
};
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
    pub best: OwnerFitness,
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
    pub spans: OwnerSpans,
    /// How long ended jobs are kept.
    pub keep_ended: Duration,
    /// The placement advisor, if the platform has one.
    pub advisor: Option<SocketAddr>,
    /// What the platform says of this machine.
    pub strength: MachineStrength,
    /// How late this process's timers are.
    pub lateness: Cell<TimerLateness>,
    /// This front's turn at the next takeover, by the last owner's word.
    pub rank: Cell<Option<CandidateRank>>,
    /// The term whose owner's process is gone: nobody listens at its address.
    pub owner_refused: Cell<u64>,
    /// Limits and weights of placement; they may change with the settings.
    place_rules: Cell<PlacementRules>,
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
    pub fronts: RefCell<BTreeSet<SocketAddr>>,
    /// Boots of workers that are dead for good.
    pub gone: RefCell<GoneBoots>,
    /// The owner as last heard of.
    pub owner: RefCell<Option<KnownOwner>>,
    /// Notified when another owner is heard of.
    pub owner_changed: Event,
    /// Set while this process owns the shard.
    pub tenure: RefCell<Option<Rc<Tenure>>>,
    /// When an owner whose store answers was last heard by this process's link.
    pub owner_heard: Cell<TimePoint>,
    /// When any owner was last heard by this process's link, whether or not its store answers.
    pub link_heard: Cell<TimePoint>,
    /// Between two heartbeats of that link, by the owner's last grant.
    pub heartbeat: Cell<Duration>,
    /// When the store last answered this process.
    pub store_heard: Cell<TimePoint>,
    /// Up to when the config in force is known to be the newest.
    pub config_view: Cell<ConfigView>,
    /// By when a change of the config is in force.
    pub config_rules: ConfigRules,
    /// The store's version up to which the operator's rows were taken; `None` before all were read.
    pub(crate) rows_taken: Cell<Option<u64>>,
    /// Notified when the operator's rows may be due for a reading sooner than it seemed.
    pub(crate) read_sooner: Event,
}

impl PoolShared {
    /// Prepares the state of a front.
    pub fn new(
        node: &str,
        address: SocketAddr,
        store: StoreClient,
        advisor: Option<SocketAddr>,
        keep_ended: Duration,
    ) -> Self {
        Self::on_machine(
            node,
            address,
            store,
            advisor,
            keep_ended,
            MachineStrength::default(),
        )
    }

    /// The same on a machine of which the platform has told.
    pub fn on_machine(
        node: &str,
        address: SocketAddr,
        store: StoreClient,
        advisor: Option<SocketAddr>,
        keep_ended: Duration,
        strength: MachineStrength,
    ) -> Self {
        Self {
            strength,
            lateness: Cell::default(),
            rank: Cell::new(None),
            owner_refused: Cell::new(0),
            node: node.into(),
            address,
            clock: ProcessClock::start(),
            store,
            spans: OwnerSpans::default(),
            keep_ended,
            advisor,
            place_rules: Cell::default(),
            config: RefCell::default(),
            config_text: RefCell::default(),
            config_changed: Event::new(),
            waves: RefCell::default(),
            waves_changed: Event::new(),
            drains: RefCell::default(),
            drain_rules: DrainRules::default(),
            fronts: RefCell::default(),
            gone: RefCell::default(),
            owner: RefCell::default(),
            owner_changed: Event::new(),
            tenure: RefCell::default(),
            owner_heard: Cell::default(),
            link_heard: Cell::default(),
            heartbeat: Cell::new(FRONT_HEARTBEAT_PERIOD),
            store_heard: Cell::default(),
            config_view: Cell::default(),
            config_rules: ConfigRules::new(CONFIG_BOUND, DrainRules::default()),
            rows_taken: Cell::new(None),
            read_sooner: Event::new(),
        }
    }

    /// Takes by when a change of the config is in force, and by when nothing starts in a drained domain.
    pub fn set_bounds(&mut self, config: Option<Duration>, drain: Option<Duration>) {
        self.drain_rules.bound = drain;
        self.config_rules = ConfigRules::new(config.unwrap_or(CONFIG_BOUND), self.drain_rules);
    }

    /// How well this machine would carry an owner now.
    pub fn fitness(&self) -> OwnerFitness {
        self.strength.fitness(self.lateness.get().mean())
    }

    /// For how long an owner that was heard counts as there, longer by two of the heartbeats that it has done
    /// without.
    pub fn heard_within(&self, usual: Duration) -> Duration {
        usual + self.heartbeat.get().saturating_sub(FRONT_HEARTBEAT_PERIOD) * 2
    }

    /// Notes a timer of `span` that was set at `began`.
    pub fn note_timer(&self, span: Duration, began: TimePoint) {
        let mut lateness = self.lateness.get();
        lateness.note(span, self.now().since(began));
        self.lateness.set(lateness);
    }

    /// Notes a front, so that it is found should it own the shard once.
    pub(crate) fn note_front(&self, address: &str) {
        if let Ok(address) = address.parse() {
            self.fronts.borrow_mut().insert(address);
        }
    }

    /// Limits and weights of placement in force.
    pub fn place_rules(&self) -> PlacementRules {
        self.place_rules.get()
    }

    /// Takes other limits and weights of placement; an owner places by them from now on.
    pub fn set_place_rules(&self, rules: PlacementRules) {
        self.place_rules.set(rules);
        if let Some(tenure) = self.current_tenure() {
            tenure.book.borrow_mut().set_rules(rules);
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
    pub fn may_config_be_old(&self) -> bool {
        let view = self.config_view.get();
        view.may_be_stale(self.now(), &self.config_rules)
    }

    /// Changes how sure this process is of its config.
    pub(crate) fn note_config(&self, change: impl FnOnce(&mut ConfigView)) {
        let mut view = self.config_view.get();
        change(&mut view);
        self.config_view.set(view);
    }

    /// The owner has answered a heartbeat of `sent`: `version` was its config, which it knew to be the newest
    /// `age` before that.
    pub fn note_owners_config(&self, version: u64, sent: TimePoint, age: Duration) {
        if version <= self.config_version() {
            let as_of = sent.min(self.now()) - age;
            self.note_config(|view| view.note_report(as_of));
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
        if !self.config.borrow_mut().apply_if_newer(config) {
            return Ok(());
        }
        *self.config_text.borrow_mut() = text.to_vec();
        let unheard_ms = self.config_age().map(|age| age.as_millis() as u64);
        tracing::info!(version, from, unheard_ms, "config in force");
        if let Some(tenure) = &*self.tenure.borrow() {
            tenure.apply_config();
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
    pub(crate) fn note_drains(&self, from: &str, change: impl FnOnce(&mut DrainView) -> bool) {
        let mut view = self.drains.borrow_mut();
        if !change(&mut view) {
            return;
        }
        let age_ms = view.age(self.now()).map(|age| age.as_millis() as u64);
        tracing::info!(from, version = view.version(), domains = ?view.domains(), age_ms, "drained failure domains");
        if let Some(tenure) = &*self.tenure.borrow() {
            tenure.apply_drains(&view);
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
    pub fn current_tenure(&self) -> Option<Rc<Tenure>> {
        self.tenure.borrow().clone()
    }
}
