//! State that all tasks of an agent share.

use crate::boots::{BootRegistry, BootReport};
use crate::crash_log::CrashLog;
use crate::lease::{LeaseClock, LeaseRules};
use crate::pace::PaceControl;
use crate::pending_updates::PendingUpdates;
use crate::rules::AgentRules;
use crate::run_list::{LinkGeneration, ListNumber, RunListState};
use crate::run_table::RunTable;
use event_listener::Event;
use futures_channel::mpsc::UnboundedSender;
use platform::WorkerClient;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use wax_batch::{BootId, LostRun, RunId, StartRefusal, WorkerState, WorkerView};
use wax_policy::{
    AnswerTimes, DrainRules, DrainVerdict, DrainView, OrderRules, PaceRules, SilenceClock,
};
use wax_trace::{Counter, count};
use wax_types::{ProcessClock, TimePoint};
use wax_wire::{DrainFrame, PoolBody};

/// The link to the owner of the shard.
#[derive(Debug)]
pub(crate) struct OwnerLink {
    pub(crate) generation: LinkGeneration,
    pub(crate) outbox: UnboundedSender<PoolBody>,
}

/// State of one boot of the worker.
#[derive(Debug)]
pub(crate) struct WorkerBoot {
    pub(crate) view: WorkerView,
    pub(crate) sequence: u64,
    /// Service that the last check-in named, if it is another one than the boot's.
    claimed_service: Option<Box<str>>,
    /// Start time that distinguishes answers of this boot from those of another boot under the same
    /// worker id, in Unix milliseconds. `None` until the boot has sent one.
    pub(crate) answering_start_ms: Option<u64>,
    /// Number of consecutive holds that were not answered.
    pub(crate) unanswered_holds: u32,
    /// Number of holds since the last answered one that were refused or could not be sent.
    pub(crate) refused_holds: u32,
    /// Whether the worker counts as silent.
    pub(crate) is_silent: bool,
    /// When the boot last answered a hold or an order.
    pub(crate) silence: SilenceClock,
    /// When the boot last answered a hold.
    hold_silence: SilenceClock,
    /// Whether the last log line says that the worker leaves calls unanswered.
    pub(crate) is_losing_calls: bool,
    /// Whether an owner has the boot's full run list, and on which link it was sent last.
    pub(crate) run_list: RunListState,
    /// Whether the last run list lacked ends that the worker had no room to list, and not all of
    /// them have been sent since.
    pub(crate) owes_ends: bool,
    pub(crate) table: RunTable,
    pub(crate) lease: LeaseClock,
    pub(crate) pace: PaceControl,
    /// Run updates that are sent with the next heartbeat.
    pub(crate) updates: PendingUpdates,
    /// Number up to which run ends are stored by the owner, so that the worker may forget them.
    pub(crate) ack_cursor: u64,
    /// Number of the last hold that was sent.
    pub(crate) hold_number: u64,
    /// Whether the worker has restarted under the same id while some of this boot's starts were not
    /// listed: those runs may be on the next boot.
    pub(crate) is_replaced: bool,
    /// Whether the boot may have executed calls that this process sent to the worker's previous
    /// boot, and no owner has accepted its run list yet. No owner waits for its leases then.
    pub(crate) has_unreported_leases: bool,
}

/// Error for a check-in that names another service than the active boot has.
#[derive(Debug, displaydoc::Display)]
#[displaydoc("the worker is one of the service {known:?}, not {claimed:?}")]
pub(crate) struct ServiceConflict {
    known: Box<str>,
    claimed: Box<str>,
}

/// Result of a hold for the decision whether the worker is silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HoldResult {
    /// The worker answered.
    Answered,
    /// The worker refused the hold, or no connection to it could be opened.
    Refused,
    /// The worker may have got the hold and has not answered it.
    Lost,
}

/// Number of consecutive unanswered holds from which on a worker counts as silent.
const SILENT_AFTER_UNANSWERED_HOLDS: u32 = 2;
/// Limit of the time without an answer to a hold, as a multiple of that without any answer. Only
/// holds show the ends of runs, so that a worker that answers no hold must not get starts for ever.
const HOLD_SILENCE_FACTOR: u32 = 2;

impl WorkerBoot {
    /// Logs and counts each run that was lost with the boot, except for those in `on_next`, which
    /// run on the worker's next boot. Returns the lost runs.
    pub(crate) fn log_lost_runs(&self, now: TimePoint, on_next: &[RunId]) -> Vec<LostRun> {
        let silent_ms = now.since(self.silence.answered_at()).as_millis() as u64;
        let mut runs = self.table.lost_runs(self.silence.answered_at());
        runs.retain(|lost| !on_next.contains(&lost.run_id));
        for lost in &runs {
            count(Counter::RunsLost);
            tracing::info!(
                worker = %self.view.boot,
                task = %lost.run_id.task,
                run = lost.run_id.run,
                ran_ms = lost.min_run_time.map(|ran| ran.as_millis() as u64),
                silent_ms,
                "run lost with its worker"
            );
        }
        runs
    }

    /// Returns the view of the worker that the owner gets, with the state `Silent` if holds are not
    /// answered.
    pub(crate) fn reported_view(&self) -> WorkerView {
        let mut view = self.view.clone();
        if self.is_silent && view.state == WorkerState::Ready {
            view.state = WorkerState::Silent;
        }
        view
    }

    /// Decides whether the worker counts as silent. If unanswered calls are sent again, it does by
    /// the time since its last answer to any call and, with a longer limit, to a hold; otherwise by
    /// the number of unanswered holds.
    pub(crate) fn check_silence(&mut self, now: TimePoint, rules: &OrderRules) -> bool {
        let has_no_answer = self.silence.is_silent(now, rules.silent_after);
        let hold_limit = rules.silent_after * HOLD_SILENCE_FACTOR;
        let has_no_list = self.hold_silence.is_silent(now, hold_limit);
        if rules.is_enabled() {
            has_no_answer || has_no_list || self.refused_holds >= SILENT_AFTER_UNANSWERED_HOLDS
        } else {
            self.unanswered_holds >= SILENT_AFTER_UNANSWERED_HOLDS
        }
    }

    /// Records an answer to a hold.
    pub(crate) fn note_hold_answer(&mut self, now: TimePoint) {
        self.silence.note_answer(now);
        self.hold_silence.note_answer(now);
        self.unanswered_holds = 0;
        self.refused_holds = 0;
    }

    /// Creates the state of a boot that has just answered.
    pub(crate) fn new(view: WorkerView, sequence: u64, now: TimePoint) -> Self {
        Self {
            answering_start_ms: view.boot.started_ms(),
            view,
            sequence,
            claimed_service: None,
            unanswered_holds: 0,
            refused_holds: 0,
            is_silent: false,
            silence: SilenceClock::new(now),
            hold_silence: SilenceClock::new(now),
            is_losing_calls: false,
            run_list: RunListState::Unsent,
            owes_ends: false,
            table: RunTable::default(),
            lease: LeaseClock::default(),
            pace: PaceControl::default(),
            updates: PendingUpdates::default(),
            ack_cursor: 0,
            hold_number: 0,
            is_replaced: false,
            has_unreported_leases: false,
        }
    }
}

/// State of the agent process.
#[derive(Debug)]
pub(crate) struct AgentState {
    pub(crate) node: Box<str>,
    /// Failure domain of the VM, and hence of its worker.
    pub(crate) failure_domain: Box<str>,
    /// Last boot for which a differing failure domain was logged: one warning per boot.
    pub(crate) warned_domain_boot: RefCell<BootId>,
    pub(crate) clock: ProcessClock,
    pub(crate) worker: WorkerClient,
    pub(crate) lease_rules: LeaseRules,
    pub(crate) rules: Rc<AgentRules>,
    /// Response times of orders and of holds without a wait, and all losses. They are kept for the
    /// next boot: without them a boot that registers while calls are lost would get no copies.
    pub(crate) order_times: RefCell<AnswerTimes>,
    /// Response times of holds beyond their wait, which the worker's timers lengthen.
    pub(crate) hold_times: RefCell<AnswerTimes>,
    pub(crate) link: RefCell<Option<OwnerLink>>,
    /// The active boot, to which the agent sends orders; `None` while there is none.
    pub(crate) boot: RefCell<Option<WorkerBoot>>,
    /// Boots that have checked in and are not verified yet, and boots that have ended.
    pub(crate) boots: RefCell<BootRegistry>,
    /// Recent crashes of the worker, which are sent again on each new link.
    pub(crate) crashes: RefCell<CrashLog>,
    /// End of the authority that the owner granted on this link. It takes effect once the owner has
    /// taken over the worker's runs.
    pub(crate) granted_until: Cell<TimePoint>,
    /// End of the owner's authority: starts are accepted until then, leases extended until the
    /// grace period after it.
    pub(crate) authority_until: Cell<TimePoint>,
    /// Whether the owner's last grant says that it has lost the store. Another owner may have taken
    /// over then.
    pub(crate) owner_store_lost: Cell<bool>,
    /// Drained failure domains, by the owners' last reports.
    pub(crate) drains: RefCell<DrainView>,
    pub(crate) drain_rules: DrainRules,
    /// Time between two heartbeats, by the owner's last grant.
    pub(crate) heartbeat_period: Cell<Duration>,
    /// Share of the jobs with best-effort tasks that are late, by the owner's last grant.
    pub(crate) overload: Cell<f64>,
    /// Fencing token of all calls to the worker; 0 before the first link. Higher than that of all
    /// earlier links, and of all calls to an earlier boot of the worker once a restart was noticed.
    pub(crate) fencing_token: Cell<u64>,
    /// Highest fencing token that the owner has reserved for the last link.
    pub(crate) last_token: Cell<u64>,
    /// Number of run lists that were sent to owners.
    pub(crate) run_list_count: Cell<u64>,
    /// Notified when the driver has to check for a new boot or owner.
    pub(crate) changed: Event,
    /// Notified when a boot needs a higher fencing token, which takes a new link.
    pub(crate) higher_token_wanted: Event,
}

impl AgentState {
    /// Returns the pacing rules of the settings, adjusted to the pool's overload.
    pub(crate) fn current_pace_rules(&self) -> PaceRules {
        self.rules.pace.get().for_overload(self.overload.get())
    }

    pub(crate) fn now(&self) -> TimePoint {
        self.clock.now()
    }

    /// Sends a message to the owner; drops it if there is no link.
    pub(crate) fn send(&self, body: PoolBody) {
        if let Some(link) = &*self.link.borrow() {
            // A closed link is replaced, and the full state is sent on the next one.
            let _ = link.outbox.unbounded_send(body);
        }
    }

    /// Returns for how long leases on the worker may be valid if that exceeds what the owner's grants
    /// allow.
    pub(crate) fn unbounded_leases(&self) -> Option<Duration> {
        let granted = self.authority_until.get() + self.lease_rules.grace;
        let boot = self.boot.borrow();
        let lease = boot.as_ref().map(|boot| &boot.lease)?;
        (lease.bound() > granted).then(|| lease.remaining(self.now()))
    }

    /// Raises the fencing token, so that the worker refuses all calls that were sent before. Returns
    /// whether the owner has reserved a higher token.
    pub(crate) fn raise_token(&self) -> bool {
        let token = self.fencing_token.get();
        let is_reserved = token < self.last_token.get();
        if is_reserved {
            self.fencing_token.set(token + 1);
        }
        is_reserved
    }

    /// Returns the generation of the current link.
    pub(crate) fn link_generation(&self) -> Option<LinkGeneration> {
        self.link.borrow().as_ref().map(|link| link.generation)
    }

    /// Returns a new number for a run list.
    pub(crate) fn next_run_list(&self) -> ListNumber {
        let number = self.run_list_count.get() + 1;
        self.run_list_count.set(number);
        ListNumber(number)
    }

    /// Sends the pending run updates, if the owner got the boot's full run list on this link.
    pub(crate) fn send_pending_updates(&self) {
        let Some(link) = self.link_generation() else {
            return;
        };
        let mut boot = self.boot.borrow_mut();
        let boot = boot.as_mut().filter(|boot| boot.run_list.is_sent_on(link));
        if let Some(updates) = boot.and_then(|boot| boot.updates.take()) {
            self.send(PoolBody::RunUpdates(updates));
        }
    }

    /// Records a grant. It extends the authority only once the owner has taken over the worker's
    /// runs.
    pub(crate) fn apply_grant(&self, until: TimePoint) {
        self.granted_until.set(self.granted_until.get().max(until));
        if self.is_reconciled() {
            self.authority_until
                .set(self.authority_until.get().max(until));
        }
    }

    /// Replaces the failure domain that the worker reports by that of the VM. With a wrong or
    /// missing name the worker would get starts while its failure domain is drained.
    pub(crate) fn with_own_domain(&self, reported: WorkerView) -> WorkerView {
        let is_other_domain = reported.failure_domain != self.failure_domain;
        if is_other_domain && *self.warned_domain_boot.borrow() != reported.boot {
            *self.warned_domain_boot.borrow_mut() = reported.boot.clone();
            tracing::warn!(
                worker = %reported.boot,
                said = %reported.failure_domain,
                machine = %self.failure_domain,
                "worker reports another failure domain than its VM"
            );
        }
        WorkerView {
            failure_domain: self.failure_domain.clone(),
            ..reported
        }
    }

    /// Updates the drained failure domains from the owner's answer to a heartbeat that was sent at
    /// `sent_at`.
    pub(crate) fn apply_drains(&self, frame: DrainFrame, sent_at: TimePoint) {
        let mut view = self.drains.borrow_mut();
        let age_ms = frame.age_ms;
        if frame.apply_to(&mut view, sent_at) {
            tracing::info!(version = view.version(), domains = ?view.domains(), age_ms, "drained failure domains");
        }
    }

    /// Checks that the worker's failure domain is not drained, by a report that is recent enough.
    pub(crate) fn check_drains(&self, now: TimePoint) -> Result<(), StartRefusal> {
        let view = self.drains.borrow();
        let max_age = self.drain_rules.max_age_for_start();
        let verdict = view.verdict(&self.failure_domain, now, max_age);
        if verdict == DrainVerdict::Open {
            return Ok(());
        }
        let age_ms = view.age(now).map(|age| age.as_millis() as u64);
        tracing::info!(domain = %self.failure_domain, version = view.version(), age_ms, ?verdict, "failure domain is not known to be open for starts");
        Err(StartRefusal::Drained)
    }

    /// Records the result of a hold, and reports to the owner when the worker becomes silent or
    /// answers again.
    pub(crate) fn note_hold_result(&self, active: &BootId, result: HoldResult) {
        let now = self.now();
        self.with_boot(active, |boot| {
            if result == HoldResult::Answered {
                boot.note_hold_answer(now);
            } else {
                boot.unanswered_holds += 1;
            }
            if result == HoldResult::Refused {
                boot.refused_holds += 1;
            }
        });
        self.update_contact(active);
    }

    /// Reports to the owner when the worker becomes silent or answers again, and logs when it
    /// begins or ceases to leave calls unanswered.
    pub(crate) fn update_contact(&self, active: &BootId) {
        let now = self.now();
        let rules = self.rules.orders.get();
        let mut boot = self.boot.borrow_mut();
        let Some(boot) = boot.as_mut().filter(|boot| boot.view.boot == *active) else {
            return;
        };
        let was_losing = boot.is_losing_calls;
        let is_losing =
            rules.is_enabled() && self.order_times.borrow().is_losing_calls(now, was_losing);
        if is_losing != boot.is_losing_calls {
            boot.is_losing_calls = is_losing;
            tracing::info!(worker = %active, losing = is_losing, "worker leaves calls unanswered or answers all again");
        }
        let is_silent = boot.check_silence(now, &rules);
        if is_silent != boot.is_silent {
            boot.is_silent = is_silent;
            let silent_ms = now.since(boot.silence.answered_at()).as_millis() as u64;
            tracing::info!(worker = %active, silent = is_silent, silent_ms, "worker became silent or answers again");
            self.send(PoolBody::WorkerChanged((&boot.reported_view()).into()));
        }
    }

    /// Records that the boot has answered an order.
    pub(crate) fn note_order_answer(&self, active: &BootId) {
        let now = self.now();
        self.with_boot(active, |boot| boot.silence.note_answer(now));
    }

    /// Returns the active boot.
    pub(crate) fn active_boot(&self) -> Option<BootId> {
        let boot = self.boot.borrow();
        boot.as_ref().map(|boot| boot.view.boot.clone())
    }

    /// Returns whether a leave message is known to come from the active boot. A message without a
    /// start time may be a late call of an earlier boot, unless the active boot has reported that
    /// it is draining, as workers do before they leave.
    pub(crate) fn is_leave_of_active(&self, leaving_boot: &BootId) -> bool {
        let boot = self.boot.borrow();
        boot.as_ref().is_some_and(|boot| {
            let is_draining = boot.view.state == WorkerState::Draining;
            let is_same_start = leaving_boot.started_ms() == boot.view.boot.started_ms();
            !boot.is_replaced
                && boot.view.boot.may_match(leaving_boot)
                && (is_same_start || is_draining)
        })
    }

    /// Applies a later check-in of the active boot, and reports to the owner a change of its state,
    /// its capacity, its service or its remaining warm-up time.
    ///
    /// # Errors
    ///
    /// The check-in names another service. A worker keeps its service during a boot, so that one of
    /// the two was another writer's: the new one counts if the next check-in names it again.
    pub(crate) fn update_boot(&self, report: BootReport) -> Result<(), ServiceConflict> {
        let mut boot = self.boot.borrow_mut();
        let Some(boot) = boot
            .as_mut()
            .filter(|boot| boot.view.boot.may_match(&report.view.boot))
        else {
            return Ok(());
        };
        if report.sequence < boot.sequence {
            return Ok(());
        }
        let is_other_service = report.view.service != boot.view.service;
        let claimed = is_other_service.then(|| report.view.service.clone());
        if is_other_service && boot.claimed_service != claimed {
            boot.claimed_service.clone_from(&claimed);
            return Err(ServiceConflict {
                known: boot.view.service.clone(),
                claimed: report.view.service,
            });
        }
        boot.claimed_service = None;
        boot.sequence = report.sequence;
        let before = boot.view.clone();
        boot.view = WorkerView {
            boot: before.boot.clone(),
            ..report.view
        };
        if before.state == WorkerState::Draining {
            // A worker that has announced its end does not become ready again in this boot.
            boot.view.state = WorkerState::Draining;
        }
        if before.state != boot.view.state {
            tracing::info!(worker = %boot.view.boot, state = ?boot.view.state, "worker state changed");
        }
        let (old_capacity, new_capacity) = (before.capacity, boot.view.capacity);
        if old_capacity != new_capacity {
            tracing::info!(
                worker = %boot.view.boot,
                cpu_milli = new_capacity.cpu_milli,
                memory_mb = new_capacity.memory_mb,
                accelerators = new_capacity.accelerators,
                "worker capacity changed"
            );
        }
        if before.state != boot.view.state
            || before.cold_ms != boot.view.cold_ms
            || old_capacity != new_capacity
            || is_other_service
        {
            self.send(PoolBody::WorkerChanged((&boot.reported_view()).into()));
        }
        Ok(())
    }

    /// Returns whether the owner has taken over the active boot's runs on the current link. Orders
    /// and grants take effect only then.
    pub(crate) fn is_reconciled(&self) -> bool {
        let boot = self.boot.borrow();
        boot.as_ref().is_some_and(|boot| self.is_accepted(boot))
    }

    /// Returns whether the owner has taken over the runs of this boot on the current link.
    pub(crate) fn is_accepted(&self, boot: &WorkerBoot) -> bool {
        let link = self.link_generation();
        link.is_some_and(|link| boot.run_list.is_accepted_on(link))
    }
}
