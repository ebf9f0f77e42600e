//! What the tasks of one agent share.

use crate::boots::{BootRegistry, BootReport};
use crate::crash_log::CrashLog;
use crate::lease::{LeaseClock, LeaseRules};
use crate::pace::PaceControl;
use crate::pending_updates::PendingUpdates;
use crate::run_table::RunTable;
use event_listener::Event;
use futures_channel::mpsc::UnboundedSender;
use platform::WorkerClient;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use wax_batch::{BootId, LostRun, RunMark, StartRefusal, WorkerState, WorkerView};
use wax_policy::{DrainRules, DrainVerdict, DrainView, PaceRules};
use wax_trace::{Counter, count};
use wax_types::{ProcessClock, TimePoint};
use wax_wire::{DrainFrame, PoolBody};

/// The link to the owner.
#[derive(Debug)]
pub(crate) struct OwnerLink {
    /// Rises with each link.
    pub(crate) generation: u64,
    pub(crate) outbox: UnboundedSender<PoolBody>,
    /// Whether the owner has taken over the worker's runs on this link.
    pub(crate) is_reconciled: bool,
}

/// One boot of the worker.
#[derive(Debug)]
pub(crate) struct WorkerBoot {
    pub(crate) view: WorkerView,
    pub(crate) sequence: u64,
    /// The start time by which its answers are told from another boot's, Unix milliseconds.
    pub(crate) answering_start_ms: Option<u64>,
    /// Holds without an answer since the last one with it.
    pub(crate) unanswered_holds: u32,
    /// When it last answered.
    pub(crate) answered_at: TimePoint,
    /// The link on which its runs were told last.
    pub(crate) reported_link: u64,
    pub(crate) table: RunTable,
    pub(crate) lease: LeaseClock,
    pub(crate) pace: PaceControl,
    /// What the owner is told of its runs with the next heartbeat.
    pub(crate) updates: PendingUpdates,
    /// Ends up to here are in the store.
    pub(crate) ack_cursor: u64,
    /// The number of the hold that is under way.
    pub(crate) hold_number: u64,
    /// Whether its worker has started again under its id, and some of its runs may be on the next boot.
    pub(crate) is_replaced: bool,
}

/// After this many holds without an answer a worker counts as silent.
const MAX_UNANSWERED_HOLDS: u32 = 2;

impl WorkerBoot {
    /// What was on it when it ended, a line for each run; `kept` names those that are on the next boot.
    pub(crate) fn log_lost_runs(&self, now: TimePoint, on_next: &[RunMark]) -> Vec<LostRun> {
        let silent_ms = now.since(self.answered_at).as_millis() as u64;
        let mut runs = self.table.lost_runs(self.answered_at);
        runs.retain(|lost| !on_next.contains(&lost.mark));
        for lost in &runs {
            count(Counter::RunsLost);
            tracing::info!(
                worker = %self.view.boot,
                task = %lost.mark.task,
                run = lost.mark.run,
                ran_ms = lost.ran.map(|ran| ran.as_millis() as u64),
                silent_ms,
                "run lost with its worker"
            );
        }
        runs
    }

    /// What the owner is shown of the worker.
    pub(crate) fn reported_view(&self) -> WorkerView {
        let mut view = self.view.clone();
        if self.unanswered_holds >= MAX_UNANSWERED_HOLDS && view.state == WorkerState::Ready {
            view.state = WorkerState::Silent;
        }
        view
    }

    /// A boot that has answered now.
    pub(crate) fn new(view: WorkerView, sequence: u64, now: TimePoint) -> Self {
        Self {
            answering_start_ms: view.boot.started_ms(),
            view,
            sequence,
            unanswered_holds: 0,
            answered_at: now,
            reported_link: 0,
            table: RunTable::default(),
            lease: LeaseClock::default(),
            pace: PaceControl::default(),
            updates: PendingUpdates::default(),
            ack_cursor: 0,
            hold_number: 0,
            is_replaced: false,
        }
    }
}

/// Shared by all tasks of the process.
#[derive(Debug)]
pub(crate) struct AgentState {
    pub(crate) node: Box<str>,
    /// The machine's failure domain, which is its worker's too.
    pub(crate) failure_domain: Box<str>,
    /// The last boot that named another one: it is told once.
    pub(crate) warned_domain_boot: RefCell<BootId>,
    pub(crate) clock: ProcessClock,
    pub(crate) worker: WorkerClient,
    pub(crate) lease_rules: LeaseRules,
    /// May change with the settings.
    pub(crate) pace_rules: Rc<Cell<PaceRules>>,
    pub(crate) link: RefCell<Option<OwnerLink>>,
    /// The boot that is driven.
    pub(crate) boot: RefCell<Option<WorkerBoot>>,
    /// Boots that have checked in and are not verified yet, and those that are dead.
    pub(crate) boots: RefCell<BootRegistry>,
    /// Crashes that owners may not have heard of.
    pub(crate) crashes: RefCell<CrashLog>,
    /// The last grant of this link; it counts once the owner has taken over the worker's runs.
    pub(crate) granted_until: Cell<TimePoint>,
    /// Until when the owner's authority reaches.
    pub(crate) authority_until: Cell<TimePoint>,
    /// Whether the owner has lost the store, by its last grant: another may have taken over.
    pub(crate) owner_store_lost: Cell<bool>,
    /// Failure domains that get nothing new, by the owners' words.
    pub(crate) drains: RefCell<DrainView>,
    pub(crate) drain_rules: DrainRules,
    /// Between two heartbeats, by the owner's last grant.
    pub(crate) heartbeat_period: Cell<Duration>,
    /// The share of the jobs that fill which are late, by the owner's last word.
    pub(crate) overload: Cell<f64>,
    /// The highest token that was ever used.
    pub(crate) fencing_token: Cell<u64>,
    /// Something has changed that the driver waits for.
    pub(crate) changed: Event,
    /// A new link is asked for, with a higher token.
    pub(crate) higher_token_wanted: Event,
}

impl AgentState {
    /// The rules of pacing as matters stand.
    pub(crate) fn current_pace_rules(&self) -> PaceRules {
        self.pace_rules.get().strained(self.overload.get())
    }

    pub(crate) fn now(&self) -> TimePoint {
        self.clock.now()
    }

    /// Sends a message to the owner, if there is a link.
    pub(crate) fn send(&self, body: PoolBody) {
        if let Some(link) = &*self.link.borrow() {
            // A link that is closing is replaced, and all is told anew on the next one.
            let _ = link.outbox.unbounded_send(body);
        }
    }

    /// Sends what was gathered of the worker's runs, once the owner has their list on this link.
    pub(crate) fn send_pending_updates(&self) {
        let generation = self.link.borrow().as_ref().map(|link| link.generation);
        let mut boot = self.boot.borrow_mut();
        let boot = boot
            .as_mut()
            .filter(|boot| Some(boot.reported_link) == generation);
        if let Some(updates) = boot.and_then(|boot| boot.updates.take()) {
            self.send(PoolBody::News(updates));
        }
    }

    /// Notes a grant; before the owner has taken over the worker's runs it extends nothing.
    pub(crate) fn apply_grant(&self, until: TimePoint) {
        self.granted_until.set(self.granted_until.get().max(until));
        if self.is_reconciled() {
            self.authority_until
                .set(self.authority_until.get().max(until));
        }
    }

    /// A worker is where its machine is, whatever it says: by another name, or none, it would be given
    /// starts while its failure domain is drained.
    pub(crate) fn with_own_domain(&self, said: WorkerView) -> WorkerView {
        let is_elsewhere = said.failure_domain != self.failure_domain;
        if is_elsewhere && *self.warned_domain_boot.borrow() != said.boot {
            *self.warned_domain_boot.borrow_mut() = said.boot.clone();
            tracing::warn!(
                worker = %said.boot,
                said = %said.failure_domain,
                machine = %self.failure_domain,
                "worker names another failure domain"
            );
        }
        WorkerView {
            failure_domain: self.failure_domain.clone(),
            ..said
        }
    }

    /// Takes an owner's word of the drains, its answer to a heartbeat sent at `asked`.
    pub(crate) fn apply_drains(&self, frame: DrainFrame, asked: TimePoint) {
        let mut view = self.drains.borrow_mut();
        let age_ms = frame.age_ms;
        if frame.take_into(&mut view, asked) {
            tracing::info!(version = view.version(), domains = ?view.domains(), age_ms, "drained failure domains");
        }
    }

    /// The guard of drains: whether a start may be sent to this machine's worker now.
    pub(crate) fn check_drains(&self, now: TimePoint) -> Result<(), StartRefusal> {
        let view = self.drains.borrow();
        let max_age = self.drain_rules.start_age();
        let verdict = view.verdict(&self.failure_domain, now, max_age);
        if verdict == DrainVerdict::Open {
            return Ok(());
        }
        let age_ms = view.age(now).map(|age| age.as_millis() as u64);
        tracing::info!(domain = %self.failure_domain, version = view.version(), age_ms, ?verdict, "no start in this failure domain");
        Err(StartRefusal::Drained)
    }

    /// Notes whether a hold was answered; the owner hears of a worker that falls silent or is back.
    pub(crate) fn note_hold_answer(&self, active: &BootId, answered: bool) {
        let mut boot = self.boot.borrow_mut();
        let Some(boot) = boot.as_mut().filter(|boot| boot.view.boot == *active) else {
            return;
        };
        if answered {
            boot.answered_at = self.now();
        }
        let was_silent = boot.unanswered_holds >= MAX_UNANSWERED_HOLDS;
        boot.unanswered_holds = if answered {
            0
        } else {
            boot.unanswered_holds + 1
        };
        let is_silent = boot.unanswered_holds >= MAX_UNANSWERED_HOLDS;
        if was_silent != is_silent {
            tracing::info!(worker = %active, silent = is_silent, "worker answers changed");
            self.send(PoolBody::WorkerChanged((&boot.reported_view()).into()));
        }
    }

    /// The boot has answered an order.
    pub(crate) fn note_order_answer(&self, active: &BootId) {
        let mut boot = self.boot.borrow_mut();
        if let Some(boot) = boot.as_mut().filter(|boot| boot.view.boot == *active) {
            boot.answered_at = self.now();
        }
    }

    /// The boot that is driven.
    pub(crate) fn active_boot(&self) -> Option<BootId> {
        let boot = self.boot.borrow();
        boot.as_ref().map(|boot| boot.view.boot.clone())
    }

    /// Whether a leave is surely of the boot that is driven. One without a start time may be a late call of an
    /// earlier boot, unless this one has said that it drains, as workers do before they leave.
    pub(crate) fn is_leave_of_active(&self, said: &BootId) -> bool {
        let boot = self.boot.borrow();
        boot.as_ref().is_some_and(|boot| {
            let is_draining = boot.view.state == WorkerState::Draining;
            let is_same_start = said.started_ms() == boot.view.boot.started_ms();
            !boot.is_replaced && boot.view.boot.may_be(said) && (is_same_start || is_draining)
        })
    }

    /// Takes a later check-in of the boot that is driven; the owner hears of what it places by.
    pub(crate) fn update_boot(&self, report: BootReport) {
        let mut boot = self.boot.borrow_mut();
        let Some(boot) = boot
            .as_mut()
            .filter(|boot| boot.view.boot.may_be(&report.view.boot))
        else {
            return;
        };
        if report.sequence < boot.sequence {
            return;
        }
        boot.sequence = report.sequence;
        let before = boot.view.clone();
        boot.view = WorkerView {
            boot: before.boot.clone(),
            ..report.view
        };
        if before.state == WorkerState::Draining {
            // A worker that has said that it leaves does not come back in this boot.
            boot.view.state = WorkerState::Draining;
        }
        if before.state != boot.view.state {
            tracing::info!(worker = %boot.view.boot, state = ?boot.view.state, "worker state");
        }
        let (had, has) = (before.capacity, boot.view.capacity);
        if had != has {
            tracing::info!(
                worker = %boot.view.boot,
                cpu_milli = has.cpu_milli,
                memory_mb = has.memory_mb,
                accelerators = has.accelerators,
                "worker capacity"
            );
        }
        if before.state != boot.view.state || before.cold_ms != boot.view.cold_ms || had != has {
            self.send(PoolBody::WorkerChanged((&boot.reported_view()).into()));
        }
    }

    /// Whether the link has taken over the worker's runs, so that orders and news count.
    pub(crate) fn is_reconciled(&self) -> bool {
        self.link
            .borrow()
            .as_ref()
            .is_some_and(|link| link.is_reconciled)
    }
}
