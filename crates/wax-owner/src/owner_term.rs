//! One term of ownership: its jobs, agents and fronts, and whether the term is still in force.

use crate::candidates::HandoverCheck;
use crate::fronts::FrontRoster;
use crate::interference_log::InterferenceLog;
use crate::roster::AgentRoster;
use crate::rows::OwnerRow;
use crate::shared::PoolShared;
use event_listener::Event;
use futures_channel::oneshot;
use prost::Message;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use std::time::Duration;
use wax_batch::{BootId, JobName, JobOutcome, JobScheduler, MAX_ROW_BYTES, WorkerKey};
use wax_http::ShutdownSignal;
use wax_policy::{DrainView, VersionAges};
use wax_trace::{Counter, count};
use wax_types::{TimePoint, wall_clock_ms};
use wax_wire::{InterferenceFrame, InterferenceUpdate, PoolBody, RelayReply};

/// What the owner knows of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobStatus {
    /// The owner has the job.
    Known {
        /// Outcome of the job as stored; `JobOutcome::Open` until it has ended.
        outcome: JobOutcome,
        /// Whether any task of the job has started.
        started: bool,
    },
    /// The owner does not have the job, or has not loaded it yet.
    Unknown,
}

/// One term of ownership of the shard.
#[derive(Debug)]
pub struct OwnerTerm {
    pub(crate) shared: Weak<PoolShared>,
    /// Number of the term.
    pub epoch: u64,
    /// Version of the owner's row; every transaction of the term requires it.
    pub(crate) owner_version: Cell<u64>,
    pub(crate) owner_row: OwnerRow,
    pub(crate) began_at: TimePoint,
    /// Whether the former owner was known to have stopped acting when this term began: it had
    /// released the shard, or its process had ended.
    pub(crate) former_owner_ended: bool,
    pub(crate) scheduler: RefCell<JobScheduler>,
    pub(crate) agents: RefCell<AgentRoster>,
    /// Fronts that are linked to the owner.
    pub(crate) fronts: RefCell<FrontRoster>,
    /// Whether the last transaction went through a front because the store did not answer this
    /// process.
    pub(crate) write_relayed: Cell<bool>,
    /// Transactions that fronts were asked to send and have not answered yet, by request id.
    pub(crate) pending_relays: RefCell<HashMap<u64, oneshot::Sender<RelayReply>>>,
    /// Raised when everything that the store held at the takeover has been loaded.
    pub(crate) loaded: ShutdownSignal,
    /// When the last transaction that confirmed the term was sent.
    pub(crate) confirmed_at: Cell<TimePoint>,
    /// Time of the last dispatch round. A long gap means that this process was stalled or
    /// suspended.
    pub(crate) dispatched_at: Cell<TimePoint>,
    /// Time of the last periodic check of all runs.
    pub(crate) checked_at: Cell<TimePoint>,
    /// Until this time, missing progress reports do not indicate stalled runs, because this process
    /// was stalled itself.
    pub(crate) progress_unreliable_until: Cell<TimePoint>,
    /// Share of the open best-effort jobs that were late at the last periodic check.
    pub(crate) overload: Cell<f64>,
    /// Time up to which the job feed is known to be complete.
    pub(crate) job_feed_confirmed_at: Cell<TimePoint>,
    /// Number of links with agents opened in this term.
    pub(crate) agent_link_count: Cell<u64>,
    /// Number of ids given out in this term to links with fronts and to relay requests.
    pub(crate) front_id_count: Cell<u64>,
    /// Changes of interference estimates that are to be sent to agents.
    pub(crate) interference_log: RefCell<InterferenceLog>,
    /// Whether interference estimates have changed since they were last stored, and when that was.
    pub(crate) interference_unstored: Cell<bool>,
    pub(crate) interference_stored_at: Cell<TimePoint>,
    /// Ages of the store's versions, by which ended jobs are removed.
    pub(crate) version_ages: RefCell<VersionAges>,
    /// Change counter of the unreconciled runs when the scheduler last received them.
    pub(crate) unreconciled_seen: Cell<Option<u64>>,
    /// Whether starts are held back because a drain may have gone unnoticed for longer than the
    /// bound allows.
    pub(crate) drains_stale: Cell<bool>,
    /// Notified when there may be something to place, stop or acknowledge.
    pub(crate) dispatch: Event,
    /// Notified when there may be something to write.
    pub(crate) write: Event,
    /// Raised when the term is to be released.
    pub(crate) releasing: ShutdownSignal,
    /// Raised when the term has ended.
    pub(crate) ended: ShutdownSignal,
}

/// Largest number of pairs in one message or row.
const MAX_PAIRS: usize = 800;
/// Bytes of a row that a pair takes besides its own encoding.
const PAIR_OVERHEAD_BYTES: usize = 4;
/// If the job feed has not been confirmed for longer, jobs may be missing. The feed answers at
/// shorter intervals, also without changes.
const JOB_FEED_MAX_AGE: Duration = Duration::from_millis(2_500);
/// Bits of a fencing token below the epoch. They number the links of one term, and the tokens of one
/// link.
const TOKEN_LINK_BITS: u32 = 24;
/// Number of tokens that are reserved for a link besides its first one.
pub(crate) const RESERVED_TOKENS: u64 = 15;

impl OwnerTerm {
    pub(crate) fn new(
        shared: &Rc<PoolShared>,
        row: OwnerRow,
        version: u64,
        confirmed_at: TimePoint,
        former_owner_ended: bool,
    ) -> Self {
        let mut scheduler = JobScheduler::new(row.epoch, shared.placement_rules());
        scheduler.set_sharing_rules(shared.sharing_rules());
        scheduler.set_order_rules(shared.order_rules());
        if let Some(config) = shared.config.borrow().config() {
            scheduler.set_config(config.clone(), wall_clock_ms());
        }
        scheduler.set_drained(shared.drains.borrow().domains());
        scheduler.set_performance_rules(shared.performance_rules());
        Self {
            shared: Rc::downgrade(shared),
            epoch: row.epoch,
            owner_version: Cell::new(version),
            owner_row: row,
            began_at: shared.now(),
            former_owner_ended,
            scheduler: RefCell::new(scheduler),
            agents: RefCell::default(),
            fronts: RefCell::default(),
            write_relayed: Cell::new(false),
            pending_relays: RefCell::default(),
            loaded: ShutdownSignal::default(),
            confirmed_at: Cell::new(confirmed_at),
            dispatched_at: Cell::new(shared.now()),
            checked_at: Cell::new(TimePoint::default()),
            progress_unreliable_until: Cell::new(TimePoint::default()),
            overload: Cell::new(0.0),
            job_feed_confirmed_at: Cell::new(TimePoint::default()),
            agent_link_count: Cell::new(0),
            front_id_count: Cell::new(0),
            interference_log: RefCell::default(),
            interference_unstored: Cell::new(false),
            interference_stored_at: Cell::new(shared.now()),
            version_ages: RefCell::new(VersionAges::new(shared.ended_job_retention)),
            unreconciled_seen: Cell::new(None),
            drains_stale: Cell::new(false),
            dispatch: Event::new(),
            write: Event::new(),
            releasing: ShutdownSignal::default(),
            ended: ShutdownSignal::default(),
        }
    }

    /// Returns whether the owner may give orders: the term is neither ended nor being released, and
    /// the store has confirmed it within `term_validity`.
    pub(crate) fn can_act(&self, now: TimePoint, term_validity: Duration) -> bool {
        !self.ended.is_raised()
            && !self.releasing.is_raised()
            && now < self.confirmed_at.get() + term_validity
    }

    /// Returns a new id for a link with a front or for a relay request to one.
    pub(crate) fn next_front_id(&self) -> u64 {
        let id = self.front_id_count.get() + 1;
        self.front_id_count.set(id);
        id
    }

    /// Returns the number of a new agent link and its fencing token, which is higher than any token
    /// of this term or an earlier one. The next [`RESERVED_TOKENS`] are reserved for the link.
    pub(crate) fn next_fencing_token(&self) -> (u64, u64) {
        let link = self.agent_link_count.get() + 1;
        self.agent_link_count.set(link);
        let token = self.epoch << TOKEN_LINK_BITS | (link * (RESERVED_TOKENS + 1));
        (link, token)
    }

    /// Applies a changed set of drained failure domains.
    pub(crate) fn apply_drains(&self, view: &DrainView) {
        self.scheduler.borrow_mut().set_drained(view.domains());
        self.dispatch.notify(usize::MAX);
    }

    /// Applies the config in force after it has changed.
    pub(crate) fn apply_config(&self) {
        let Some(shared) = self.shared.upgrade() else {
            return;
        };
        if let Some(config) = shared.config.borrow().config() {
            let mut scheduler = self.scheduler.borrow_mut();
            scheduler.set_config(config.clone(), wall_clock_ms());
        }
        self.dispatch.notify(usize::MAX);
        self.write.notify(usize::MAX);
    }

    /// Returns what the owner knows of a job.
    pub fn job_status(&self, job: JobName) -> JobStatus {
        if !self.loaded.is_raised() || self.ended.is_raised() {
            return JobStatus::Unknown;
        }
        match self.scheduler.borrow().job_info(job) {
            Some(info) => JobStatus::Known {
                outcome: info.outcome,
                started: info.started,
            },
            None => JobStatus::Unknown,
        }
    }

    /// Returns how many accepted jobs of a queue have no started task. Returns `None` if the shard
    /// is not loaded yet, the term has ended, or the job feed is too old.
    pub fn pending_job_count(&self, queue: &str, now: TimePoint) -> Option<u64> {
        let is_fresh = now.since(self.job_feed_confirmed_at.get()) < JOB_FEED_MAX_AGE;
        let is_complete = self.loaded.is_raised() && !self.ended.is_raised() && is_fresh;
        is_complete.then(|| self.scheduler.borrow().pending_job_count(queue))
    }

    /// Cancels a job whose cancel request is in the store; the job feed may deliver the request
    /// later.
    pub fn cancel(&self, job: JobName) {
        self.scheduler.borrow_mut().cancel(job, wall_clock_ms());
        self.dispatch.notify(usize::MAX);
        self.write.notify(usize::MAX);
    }

    /// Returns whether the store has been silent for so long that another front may have taken
    /// over.
    pub fn may_be_superseded(&self, now: TimePoint) -> bool {
        let max_silence = self
            .shared
            .upgrade()
            .map(|shared| shared.timeouts.takeover_if_reachable);
        max_silence.is_some_and(|max_silence| now.since(self.confirmed_at.get()) > max_silence)
    }

    /// Ends the term if `epoch`, the term of another owner, is later; returns whether it is.
    pub fn end_if_superseded(&self, epoch: u64) -> bool {
        let is_newer = epoch > self.epoch;
        if is_newer {
            self.end("another owner has a later term");
        }
        is_newer
    }

    /// Starts the release of the term, which ends once the store has all pending updates.
    pub fn release(&self) {
        self.releasing.raise();
        self.write.notify(usize::MAX);
    }

    /// Waits until the term has ended.
    pub async fn wait_ended(&self) {
        self.ended.wait().await;
    }

    pub(crate) fn end(&self, reason: &str) {
        if self.ended.is_raised() {
            return;
        }
        tracing::warn!(epoch = self.epoch, why = reason, "term ended");
        count(Counter::TermsEnded);
        self.ended.raise();
        wax_trace::set_slow_workers(Vec::new());
        self.dispatch.notify(usize::MAX);
        self.write.notify(usize::MAX);
    }

    /// Sends a message to the agent of a worker if the worker may receive orders.
    pub(crate) fn send_to_worker(&self, worker: WorkerKey, body: PoolBody) {
        if let Some(outbox) = self.agents.borrow().outbox(worker) {
            // If the link has just closed, the agent opens a new one, on which all runs are
            // reconciled.
            let _ = outbox.unbounded_send(body);
        }
    }

    /// Returns whether an agent that knows `known_pairs` pairs must receive all of them. An agent
    /// that was served by the former owner knows most pairs, and sending all pairs to each agent
    /// would keep a slow link busy at each takeover.
    pub(crate) fn needs_all_pairs(&self, known_pairs: u32) -> bool {
        let known = known_pairs as usize;
        known
            < self
                .scheduler
                .borrow()
                .interference_table()
                .len()
                .min(MAX_PAIRS)
                / 2
    }

    /// Returns all interference estimates in the form that the store and new agents receive.
    pub(crate) fn interference_snapshot(&self) -> InterferenceUpdate {
        let scheduler = self.scheduler.borrow();
        let pairs = scheduler.interference_table().iter().take(MAX_PAIRS);
        let frames = pairs.map(|(serving, best_effort, interference)| {
            InterferenceFrame::new(serving, best_effort, interference)
        });
        // Callers choose the names of images, so that their lengths have no bound.
        let mut bytes = 0;
        let fitting = frames.filter(|frame| {
            let length = frame.encoded_len() + PAIR_OVERHEAD_BYTES;
            let fits = bytes + length <= MAX_ROW_BYTES;
            bytes += if fits { length } else { 0 };
            fits
        });
        InterferenceUpdate {
            pairs: fitting.collect(),
            headrooms: Vec::new(),
        }
    }

    /// Releases the term if a front could serve the shard far better than this VM.
    pub(crate) fn release_to_stronger_front(&self, shared: &PoolShared, now: TimePoint) {
        let check = HandoverCheck {
            nominal: shared.vm_capacity.fitness(Duration::ZERO),
            current: shared.fitness(),
            term_age: now.since(self.began_at),
        };
        let fronts = self.fronts.borrow();
        let candidates = fronts.candidates();
        let has_store = now.since(self.confirmed_at.get()) < shared.timeouts.store_suspected;
        if has_store && !self.releasing.is_raised() && check.should_hand_over(candidates, now) {
            tracing::warn!(
                epoch = self.epoch,
                machine = check.nominal.0,
                present = check.current.0,
                "a front is far stronger: releasing the shard"
            );
            self.release();
        }
    }

    /// Records boots of workers that have ended for good, so that neither this owner nor the next
    /// one waits for their leases.
    pub(crate) fn record_ended_boots(
        &self,
        shared: &PoolShared,
        boots: impl IntoIterator<Item = BootId>,
    ) {
        let mut has_new = false;
        for boot in boots {
            has_new |= shared.ended_boots.borrow_mut().record(&boot);
            let awaited = self.agents.borrow_mut().boot_ended(&boot);
            if let Some(node) = awaited {
                tracing::info!(agent = %node, worker = %boot, "not waiting for this agent any more because its worker has ended");
                self.write.notify(usize::MAX);
                self.dispatch.notify(usize::MAX);
            }
        }
        if has_new {
            let ended_boots = shared.ended_boots.borrow();
            self.fronts
                .borrow_mut()
                .notify_early_candidates(&ended_boots);
        }
    }

    /// Handles an agent's report that nothing runs any more on a boot of its worker.
    pub(crate) fn worker_ended(&self, node: &str, boot: &BootId, now: TimePoint) {
        let key = self.agents.borrow_mut().worker_ended(node, boot);
        self.write.notify(usize::MAX);
        self.dispatch.notify(usize::MAX);
        if let Some(key) = key {
            tracing::info!(agent = node, worker = %boot, "all runs of an ended worker have ended");
            self.remove_worker(key, now);
        }
    }

    /// Removes a worker whose runs are known to have ended from the scheduler.
    pub(crate) fn remove_worker(&self, worker: WorkerKey, now: TimePoint) {
        self.scheduler
            .borrow_mut()
            .remove_lost_worker(worker, now, wall_clock_ms());
        self.dispatch.notify(usize::MAX);
    }
}
