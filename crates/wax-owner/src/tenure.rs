//! One term of ownership: the book, the agents, and whether it still holds.

use crate::candidates::OwnerStanding;
use crate::fronts::FrontRoster;
use crate::press_log::PressLog;
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
use wax_wire::{InterferenceFrame, InterferenceUpdate, PoolBody, RelayReply};

/// What a caller may be told of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobWord {
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
pub struct Tenure {
    pub(crate) shared: Weak<PoolShared>,
    /// The number of the term.
    pub epoch: u64,
    /// The version of the owner's row: every transaction of the term requires it.
    pub(crate) owner_version: Cell<u64>,
    pub(crate) owner_row: OwnerRow,
    pub(crate) began: TimePoint,
    /// Whether the owner before surely acted no more when this term began.
    pub(crate) after_release: bool,
    pub(crate) book: RefCell<JobBook>,
    pub(crate) agents: RefCell<AgentRoster>,
    /// The fronts that are linked.
    pub(crate) fronts: RefCell<FrontRoster>,
    /// Whether the last transaction went through a front, as the store did not answer this one.
    pub(crate) store_turns_away: Cell<bool>,
    /// Transactions that fronts were asked to send.
    pub(crate) relays: RefCell<HashMap<u64, oneshot::Sender<RelayReply>>>,
    /// Whether the book holds all that the store held at the takeover.
    pub(crate) loaded: ShutdownSignal,
    /// When the transaction was sent that last confirmed the term.
    pub(crate) confirmed: Cell<TimePoint>,
    /// When orders were last gone through; a long gap means that this process stood still.
    pub(crate) dispatched: Cell<TimePoint>,
    /// When all runs were last looked through.
    pub(crate) looked_through: Cell<TimePoint>,
    /// Until when progress that was not heard says nothing of the workers.
    pub(crate) blind_until: Cell<TimePoint>,
    /// The share of the open jobs that fill which are late, by the last look through all.
    pub(crate) overload: Cell<f64>,
    /// When the feed of jobs was last heard.
    pub(crate) jobs_heard: Cell<TimePoint>,
    /// Links with agents opened in this term.
    pub(crate) links: Cell<u64>,
    /// Links with fronts opened in this term.
    pub(crate) front_links: Cell<u64>,
    /// Presses that have changed since agents were told.
    pub(crate) press_log: RefCell<PressLog>,
    /// Whether presses have changed since the store was told, and when it was.
    pub(crate) press_unstored: Cell<bool>,
    pub(crate) press_stored: Cell<TimePoint>,
    /// The count of changes of what was not heard of earlier terms, as the book was last told.
    pub(crate) unheard_seen: Cell<Option<u64>>,
    /// Whether starts wait, as a drain may have gone unseen for too long.
    pub(crate) drains_unsure: Cell<bool>,
    /// There may be something to place, stop or acknowledge.
    pub(crate) dispatch: Event,
    /// There may be something to write.
    pub(crate) write: Event,
    /// Raised when the term is to be let go.
    pub(crate) letting_go: ShutdownSignal,
    /// Raised when the term has ended.
    pub(crate) over: ShutdownSignal,
}

/// Pairs in one message or row; the platform's rows hold 64 KiB.
const MOST_PAIRS: usize = 800;
/// A book without word of the feed for longer may lack jobs; the feed waits shorter than that.
const JOBS_FRESH: Duration = Duration::from_millis(2_500);
/// Bits of a fencing token that count the links of one term.
const LINK_BITS: u32 = 24;

impl Tenure {
    pub(crate) fn new(
        shared: &Rc<PoolShared>,
        row: OwnerRow,
        version: u64,
        confirmed: TimePoint,
        after_release: bool,
    ) -> Self {
        let mut book = JobBook::new(row.epoch, shared.place_rules());
        if let Some(config) = shared.config.borrow().config() {
            book.set_config(config.clone());
        }
        book.set_drained(shared.drains.borrow().domains());
        Self {
            shared: Rc::downgrade(shared),
            epoch: row.epoch,
            owner_version: Cell::new(version),
            owner_row: row,
            began: shared.now(),
            after_release,
            book: RefCell::new(book),
            agents: RefCell::default(),
            fronts: RefCell::default(),
            store_turns_away: Cell::new(false),
            relays: RefCell::default(),
            loaded: ShutdownSignal::default(),
            confirmed: Cell::new(confirmed),
            dispatched: Cell::new(shared.now()),
            looked_through: Cell::new(TimePoint::default()),
            blind_until: Cell::new(TimePoint::default()),
            overload: Cell::new(0.0),
            jobs_heard: Cell::new(TimePoint::default()),
            links: Cell::new(0),
            front_links: Cell::new(0),
            press_log: RefCell::default(),
            press_unstored: Cell::new(false),
            press_stored: Cell::new(shared.now()),
            unheard_seen: Cell::new(None),
            drains_unsure: Cell::new(false),
            dispatch: Event::new(),
            write: Event::new(),
            letting_go: ShutdownSignal::default(),
            over: ShutdownSignal::default(),
        }
    }

    /// Whether orders may be given now: the store has confirmed the term lately enough.
    pub(crate) fn may_act(&self, now: TimePoint, acting: Duration) -> bool {
        !self.over.is_raised()
            && !self.letting_go.is_raised()
            && now < self.confirmed.get() + acting
    }

    /// The number of a new link with a front, or of a question to one.
    pub(crate) fn next_front_link(&self) -> u64 {
        let link = self.front_links.get() + 1;
        self.front_links.set(link);
        link
    }

    /// A fencing token that is higher than any of this term or an earlier one.
    pub(crate) fn next_token(&self) -> (u64, u64) {
        let link = self.links.get() + 1;
        self.links.set(link);
        (link, self.epoch << LINK_BITS | link)
    }

    /// Other failure domains are drained.
    pub(crate) fn apply_drains(&self, view: &DrainView) {
        self.book.borrow_mut().set_drained(view.domains());
        self.dispatch.notify(usize::MAX);
    }

    /// The config in force has changed.
    pub(crate) fn apply_config(&self) {
        let Some(shared) = self.shared.upgrade() else {
            return;
        };
        if let Some(config) = shared.config.borrow().config() {
            self.book.borrow_mut().set_config(config.clone());
        }
        self.dispatch.notify(usize::MAX);
    }

    /// What a caller may be told of a job.
    pub fn job_word(&self, job: JobName) -> JobWord {
        if !self.loaded.is_raised() || self.over.is_raised() {
            return JobWord::Unknown;
        }
        match self.book.borrow().info(job) {
            Some(info) => JobWord::Known {
                outcome: info.outcome,
                begun: info.begun,
            },
            None => JobWord::Unknown,
        }
    }

    /// Accepted jobs of a queue of which no task has begun; `None` while the book is not whole
    /// or may lack jobs that were accepted a while ago.
    pub fn pending(&self, queue: &str, now: TimePoint) -> Option<u64> {
        let fresh = now.since(self.jobs_heard.get()) < JOBS_FRESH;
        let whole = self.loaded.is_raised() && !self.over.is_raised() && fresh;
        whole.then(|| self.book.borrow().pending(queue))
    }

    /// The store has a cancel of a job; the feed may bring it later.
    pub fn cancel(&self, job: JobName) {
        self.book.borrow_mut().cancel(job, wall_clock_ms());
        self.dispatch.notify(usize::MAX);
        self.write.notify(usize::MAX);
    }

    /// Whether the store has been silent for so long that another may have taken over.
    pub fn is_in_doubt(&self, now: TimePoint) -> bool {
        let patience = self.shared.upgrade().map(|shared| shared.spans.patience);
        patience.is_some_and(|patience| now.since(self.confirmed.get()) > patience)
    }

    /// An owner of this term was met; says whether it has replaced this one.
    pub fn give_way(&self, epoch: u64) -> bool {
        let is_newer = epoch > self.epoch;
        if is_newer {
            self.end("a newer owner was met");
        }
        is_newer
    }

    /// Asks the term to be let go; it ends once the store has all that was taken note of.
    pub fn let_go(&self) {
        self.letting_go.raise();
        self.write.notify(usize::MAX);
    }

    /// Waits until the term has ended.
    pub async fn ended(&self) {
        self.over.wait().await;
    }

    pub(crate) fn end(&self, why: &str) {
        if self.over.is_raised() {
            return;
        }
        tracing::warn!(epoch = self.epoch, why, "term ended");
        count(Counter::TermsEnded);
        self.over.raise();
        self.dispatch.notify(usize::MAX);
        self.write.notify(usize::MAX);
    }

    /// Sends a message to the agent of a worker, if it may be given orders.
    pub(crate) fn tell_worker(&self, worker: WorkerKey, body: PoolBody) {
        if let Some(outbox) = self.agents.borrow().outbox(worker) {
            // A link that has just closed leads to a new one, on which all is compared.
            let _ = outbox.unbounded_send(body);
        }
    }

    /// Whether an agent that knows so many pairs is to be told of all: one that was told by the owner
    /// before knows most, and all pairs to each agent would keep a slow link busy at each takeover.
    pub(crate) fn is_news(&self, known_pairs: u32) -> bool {
        let known = known_pairs as usize;
        known < self.book.borrow().presses().len().min(MOST_PAIRS) / 2
    }

    /// All presses, as the store and a new agent are told.
    pub(crate) fn all_presses(&self) -> InterferenceUpdate {
        let book = self.book.borrow();
        let pairs = book.presses().iter().take(MOST_PAIRS);
        InterferenceUpdate {
            pairs: pairs
                .map(|(serving, filling, press)| InterferenceFrame::new(serving, filling, press))
                .collect(),
            headrooms: Vec::new(),
        }
    }

    /// Hands the shard over, orderly, where a front carries it far better.
    pub(crate) fn look_for_stronger(&self, shared: &PoolShared, now: TimePoint) {
        let standing = OwnerStanding {
            machine: shared.strength.fitness(Duration::ZERO),
            present: shared.fitness(),
            age: now.since(self.began),
        };
        let fronts = self.fronts.borrow();
        let candidates = fronts.candidates();
        let has_store = now.since(self.confirmed.get()) < shared.spans.doubt;
        if has_store && !self.letting_go.is_raised() && standing.gives_way(candidates, now) {
            tracing::warn!(
                epoch = self.epoch,
                machine = standing.machine.0,
                present = standing.present.0,
                "a front is far stronger: the shard is handed over"
            );
            self.let_go();
        }
    }

    /// Boots of workers are dead for good: nobody waits for them, here or at the next takeover.
    pub(crate) fn note_dead(&self, shared: &PoolShared, boots: impl IntoIterator<Item = BootId>) {
        let mut is_news = false;
        for boot in boots {
            is_news |= shared.gone.borrow_mut().note(&boot);
            let waited_for = self.agents.borrow_mut().boot_dead(&boot);
            if let Some(node) = waited_for {
                tracing::info!(agent = %node, worker = %boot, "no longer waited for: its worker is gone");
                self.write.notify(usize::MAX);
                self.dispatch.notify(usize::MAX);
            }
        }
        if is_news {
            let gone = shared.gone.borrow();
            self.fronts.borrow_mut().tell_watchers(&gone);
        }
    }

    /// An agent says that nothing runs on a boot of its worker any more.
    pub(crate) fn worker_gone(&self, node: &str, boot: &BootId, now: TimePoint) {
        let key = self.agents.borrow_mut().worker_gone(node, boot);
        self.write.notify(usize::MAX);
        self.dispatch.notify(usize::MAX);
        if let Some(key) = key {
            tracing::info!(agent = node, worker = %boot, "runs of a worker that is gone have ended");
            self.lose_worker(key, now);
        }
    }

    /// Takes a worker whose runs have surely ended out of the book.
    pub(crate) fn lose_worker(&self, worker: WorkerKey, now: TimePoint) {
        self.book
            .borrow_mut()
            .worker_lost(worker, now, wall_clock_ms());
        self.dispatch.notify(usize::MAX);
    }
}
