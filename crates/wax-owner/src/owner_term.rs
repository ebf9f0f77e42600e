//! One term of ownership: the book, the agents, and whether it still holds.

use crate::candidates::HandoverCheck;
use crate::fronts::FrontRoster;
use crate::interference_log::InterferenceLog;
use crate::roster::AgentRoster;
use crate::rows::OwnerRow;
use crate::shared::PoolShared;
use event_listener::Event;
use futures_channel::oneshot;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use std::time::Duration;
use wax_batch::{BootId, JobBook, JobName, JobOutcome, WorkerKey};
use wax_http::ShutdownSignal;
use wax_policy::DrainView;
use wax_trace::{Counter, count};
use wax_types::{TimePoint, wall_clock_ms};
use wax_wire::{PoolBody, PressFrame, PressNews, RelayTold};

/// What a caller may be told of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobStatus {
    /// The owner knows it.
    Known {
        /// How it ended, by the store.
        outcome: JobOutcome,
        /// Whether any task has begun.
        begun: bool,
    },
    /// The owner does not know it, or not yet.
    Unknown,
}

/// One term of ownership.
#[derive(Debug)]
pub struct OwnerTerm {
    pub(crate) shared: Weak<PoolShared>,
    /// The number of the term.
    pub epoch: u64,
    /// The version of the owner's row: every transaction of the term requires it.
    pub(crate) owner_version: Cell<u64>,
    pub(crate) owner_row: OwnerRow,
    pub(crate) began_at: TimePoint,
    /// Whether the owner before surely acted no more when this term began.
    pub(crate) former_owner_ended: bool,
    pub(crate) scheduler: RefCell<JobBook>,
    pub(crate) agents: RefCell<AgentRoster>,
    /// The fronts that are linked.
    pub(crate) fronts: RefCell<FrontRoster>,
    /// Whether the last transaction went through a front, as the store did not answer this one.
    pub(crate) write_relayed: Cell<bool>,
    /// Transactions that fronts were asked to send.
    pub(crate) pending_relays: RefCell<HashMap<u64, oneshot::Sender<RelayTold>>>,
    /// Whether the book holds all that the store held at the takeover.
    pub(crate) loaded: ShutdownSignal,
    /// When the transaction was sent that last confirmed the term.
    pub(crate) confirmed_at: Cell<TimePoint>,
    /// When orders were last gone through; a long gap means that this process stood still.
    pub(crate) dispatched_at: Cell<TimePoint>,
    /// When all runs were last looked through.
    pub(crate) checked_at: Cell<TimePoint>,
    /// Until when progress that was not heard says nothing of the workers.
    pub(crate) progress_unreliable_until: Cell<TimePoint>,
    /// The share of the open jobs that fill which are late, by the last look through all.
    pub(crate) overload: Cell<f64>,
    /// When the feed of jobs was last heard.
    pub(crate) job_feed_confirmed_at: Cell<TimePoint>,
    /// Links with agents opened in this term.
    pub(crate) agent_link_count: Cell<u64>,
    /// Links with fronts opened in this term.
    pub(crate) front_id_count: Cell<u64>,
    /// Presses that have changed since agents were told.
    pub(crate) interference_log: RefCell<InterferenceLog>,
    /// Whether presses have changed since the store was told, and when it was.
    pub(crate) interference_unstored: Cell<bool>,
    pub(crate) interference_stored_at: Cell<TimePoint>,
    /// The count of changes of what was not heard of earlier terms, as the book was last told.
    pub(crate) unreconciled_seen: Cell<Option<u64>>,
    /// Whether starts wait, as a drain may have gone unseen for too long.
    pub(crate) drains_stale: Cell<bool>,
    /// There may be something to place, stop or acknowledge.
    pub(crate) dispatch: Event,
    /// There may be something to write.
    pub(crate) write: Event,
    /// Raised when the term is to be let go.
    pub(crate) releasing: ShutdownSignal,
    /// Raised when the term has ended.
    pub(crate) ended: ShutdownSignal,
}

/// Pairs in one message or row; the platform's rows hold 64 KiB.
const MAX_PAIRS: usize = 800;
/// A book without word of the feed for longer may lack jobs; the feed waits shorter than that.
const JOB_FEED_MAX_AGE: Duration = Duration::from_millis(2_500);
/// Bits of a fencing token that count the links of one term.
const TOKEN_LINK_BITS: u32 = 24;

impl OwnerTerm {
    pub(crate) fn new(
        shared: &Rc<PoolShared>,
        row: OwnerRow,
        version: u64,
        confirmed_at: TimePoint,
        former_owner_ended: bool,
    ) -> Self {
        let mut scheduler = JobBook::new(row.epoch, shared.place_rules());
        if let Some(config) = shared.config.borrow().config() {
            scheduler.set_config(config.clone());
        }
        scheduler.set_drained(shared.drains.borrow().domains());
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
            unreconciled_seen: Cell::new(None),
            drains_stale: Cell::new(false),
            dispatch: Event::new(),
            write: Event::new(),
            releasing: ShutdownSignal::default(),
            ended: ShutdownSignal::default(),
        }
    }

    /// Whether orders may be given now: the store has confirmed the term lately enough.
    pub(crate) fn can_act(&self, now: TimePoint, term_validity: Duration) -> bool {
        !self.ended.is_raised()
            && !self.releasing.is_raised()
            && now < self.confirmed_at.get() + term_validity
    }

    /// The number of a new link with a front, or of a question to one.
    pub(crate) fn next_front_id(&self) -> u64 {
        let id = self.front_id_count.get() + 1;
        self.front_id_count.set(id);
        id
    }

    /// A fencing token that is higher than any of this term or an earlier one.
    pub(crate) fn next_fencing_token(&self) -> (u64, u64) {
        let link = self.agent_link_count.get() + 1;
        self.agent_link_count.set(link);
        (link, self.epoch << TOKEN_LINK_BITS | link)
    }

    /// Other failure domains are drained.
    pub(crate) fn apply_drains(&self, view: &DrainView) {
        self.scheduler.borrow_mut().set_drained(view.domains());
        self.dispatch.notify(usize::MAX);
    }

    /// The config in force has changed.
    pub(crate) fn apply_config(&self) {
        let Some(shared) = self.shared.upgrade() else {
            return;
        };
        if let Some(config) = shared.config.borrow().config() {
            self.scheduler.borrow_mut().set_config(config.clone());
        }
        self.dispatch.notify(usize::MAX);
    }

    /// What a caller may be told of a job.
    pub fn job_status(&self, job: JobName) -> JobStatus {
        if !self.loaded.is_raised() || self.ended.is_raised() {
            return JobStatus::Unknown;
        }
        match self.scheduler.borrow().info(job) {
            Some(info) => JobStatus::Known {
                outcome: info.outcome,
                begun: info.begun,
            },
            None => JobStatus::Unknown,
        }
    }

    /// Accepted jobs of a queue of which no task has begun; `None` while the book is not whole
    /// or may lack jobs that were accepted a while ago.
    pub fn pending(&self, queue: &str, now: TimePoint) -> Option<u64> {
        let is_fresh = now.since(self.job_feed_confirmed_at.get()) < JOB_FEED_MAX_AGE;
        let is_complete = self.loaded.is_raised() && !self.ended.is_raised() && is_fresh;
        is_complete.then(|| self.scheduler.borrow().pending(queue))
    }

    /// The store has a cancel of a job; the feed may bring it later.
    pub fn cancel(&self, job: JobName) {
        self.scheduler.borrow_mut().cancel(job, wall_clock_ms());
        self.dispatch.notify(usize::MAX);
        self.write.notify(usize::MAX);
    }

    /// Whether the store has been silent for so long that another may have taken over.
    pub fn may_be_superseded(&self, now: TimePoint) -> bool {
        let max_silence = self
            .shared
            .upgrade()
            .map(|shared| shared.timeouts.takeover_if_reachable);
        max_silence.is_some_and(|max_silence| now.since(self.confirmed_at.get()) > max_silence)
    }

    /// An owner of this term was met; says whether it has replaced this one.
    pub fn end_if_superseded(&self, epoch: u64) -> bool {
        let is_newer = epoch > self.epoch;
        if is_newer {
            self.end("a newer owner was met");
        }
        is_newer
    }

    /// Asks the term to be let go; it ends once the store has all that was taken note of.
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
        self.dispatch.notify(usize::MAX);
        self.write.notify(usize::MAX);
    }

    /// Sends a message to the agent of a worker, if it may be given orders.
    pub(crate) fn send_to_worker(&self, worker: WorkerKey, body: PoolBody) {
        if let Some(outbox) = self.agents.borrow().outbox(worker) {
            // A link that has just closed leads to a new one, on which all is compared.
            let _ = outbox.unbounded_send(body);
        }
    }

    /// Whether an agent that knows so many pairs is to be told of all: one that was told by the owner
    /// before knows most, and all pairs to each agent would keep a slow link busy at each takeover.
    pub(crate) fn needs_all_pairs(&self, known_pairs: u32) -> bool {
        let known = known_pairs as usize;
        known < self.scheduler.borrow().presses().len().min(MAX_PAIRS) / 2
    }

    /// All presses, as the store and a new agent are told.
    pub(crate) fn interference_snapshot(&self) -> PressNews {
        let scheduler = self.scheduler.borrow();
        let pairs = scheduler.presses().iter().take(MAX_PAIRS);
        PressNews {
            pairs: pairs
                .map(|(serving, filling, press)| PressFrame::new(serving, filling, press))
                .collect(),
            rooms: Vec::new(),
        }
    }

    /// Hands the shard over, orderly, where a front carries it far better.
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
                "a front is far stronger: the shard is handed over"
            );
            self.release();
        }
    }

    /// Boots of workers are dead for good: nobody waits for them, here or at the next takeover.
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
                tracing::info!(agent = %node, worker = %boot, "no longer waited for: its worker is gone");
                self.write.notify(usize::MAX);
                self.dispatch.notify(usize::MAX);
            }
        }
        if has_new {
            let ended_boots = shared.ended_boots.borrow();
            self.fronts.borrow_mut().notify_watchers(&ended_boots);
        }
    }

    /// An agent says that nothing runs on a boot of its worker any more.
    pub(crate) fn worker_ended(&self, node: &str, boot: &BootId, now: TimePoint) {
        let key = self.agents.borrow_mut().worker_ended(node, boot);
        self.write.notify(usize::MAX);
        self.dispatch.notify(usize::MAX);
        if let Some(key) = key {
            tracing::info!(agent = node, worker = %boot, "runs of a worker that is gone have ended");
            self.remove_worker(key, now);
        }
    }

    /// Takes a worker whose runs have surely ended out of the book.
    pub(crate) fn remove_worker(&self, worker: WorkerKey, now: TimePoint) {
        self.scheduler
            .borrow_mut()
            .worker_lost(worker, now, wall_clock_ms());
        self.dispatch.notify(usize::MAX);
    }
}
