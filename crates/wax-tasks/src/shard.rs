//! What the tasks of one shard share for one term, and the term's rounds.

use crate::drains::DomainDrains;
use crate::ledger_feed::LedgerFeed;
use crate::shard_load::load_shard;
use crate::shard_loop::ShardLoop;
use crate::shard_state::ShardState;
use crate::term::OwnerTerm;
use crate::worker_link::WorkerEvent;
use compio::time::sleep;
use futures_channel::mpsc::{UnboundedSender, unbounded};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use wax_platform::{ObjectClient, TableClient, WorkerClient, WorkerDirectory};
use wax_policy::{ContactChoice, LeaseTimings, PlacementPolicy, WorkerContact};
use wax_settings::SettingsHolder;
use wax_types::{ProcessClock, TimePoint, WaxError, WorkerId};

/// After a load that failed.
const LOAD_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Terms and periods of all shards of a process.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ShardOptions {
    pub(crate) shards: u16,
    pub(crate) lease_timings: LeaseTimings,
    pub(crate) renew_period: Duration,
    pub(crate) policy: PlacementPolicy,
}

/// What the tasks of one shard share for one term.
pub(crate) struct ShardShared {
    pub(crate) term: OwnerTerm,
    pub(crate) options: ShardOptions,
    pub(crate) clock: ProcessClock,
    pub(crate) table: TableClient,
    pub(crate) objects: ObjectClient,
    pub(crate) directory: WorkerDirectory,
    pub(crate) workers: WorkerClient,
    pub(crate) settings: SettingsHolder,
    pub(crate) drains: DomainDrains,
    pub(crate) state: RefCell<ShardState>,
    pub(crate) ledger: RefCell<LedgerFeed>,
    events: UnboundedSender<WorkerEvent>,
}

/// Clients that a shard needs.
#[derive(Debug, Clone)]
pub(crate) struct ShardClients {
    pub(crate) table: TableClient,
    pub(crate) objects: ObjectClient,
    pub(crate) directory: WorkerDirectory,
    pub(crate) workers: WorkerClient,
    pub(crate) settings: SettingsHolder,
    pub(crate) drains: DomainDrains,
}

/// Why a round of ownership ended.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum LoopExit {
    /// The term is over.
    TermEnded,
    /// The table was not as remembered: load it again.
    Reload,
}

impl ShardShared {
    pub(crate) fn now(&self) -> TimePoint {
        self.clock.now()
    }

    /// Whether the owner may act now.
    pub(crate) fn is_term_active(&self) -> bool {
        self.term.is_active(self.now())
    }

    pub(crate) fn send_event(&self, event: WorkerEvent) {
        // The shard's loop outlives its links.
        let _ = self.events.unbounded_send(event);
    }

    /// A worker has refused us for a later owner.
    pub(crate) fn end_fenced_term(&self, error: &WaxError) {
        tracing::info!(shard = %self.term.shard(), %error, "fenced by a worker");
        self.term.end();
    }

    /// Whether a worker's failure domain is drained: it gets nothing new.
    pub(crate) fn is_worker_drained(&self, worker: &WorkerId) -> bool {
        let state = self.state.borrow();
        let entry = state.workers.get(worker);
        entry.is_some_and(|entry| self.drains.is_drained(&entry.info.failure_domain))
    }

    /// A worker's clock when it last answered, and our time then.
    pub(crate) fn worker_clock(&self, worker: &WorkerId) -> Option<(u64, TimePoint)> {
        self.state.borrow().workers.get(worker)?.clock
    }

    /// What to send to a worker now, and where.
    pub(crate) fn contact_choice(
        &self,
        worker: &WorkerId,
        now: TimePoint,
    ) -> Option<(ContactChoice, Box<str>)> {
        let state = self.state.borrow();
        let entry = state.workers.get(worker)?;
        Some((entry.contact.decide(now), entry.info.address.clone()))
    }
}

/// Owns a shard until the term ends.
pub(crate) async fn run_shard(
    term: OwnerTerm,
    options: ShardOptions,
    clients: ShardClients,
    clock: ProcessClock,
    publish: impl Fn(Option<Rc<ShardShared>>),
) {
    let mut contacts = HashMap::new();
    while term.is_active(clock.now()) {
        let loaded = load_shard(
            &clients.table,
            &clients.directory,
            &term,
            &options.lease_timings,
            options.shards,
            &contacts,
        )
        .await;
        let state = match loaded {
            Ok(state) => state,
            Err(error) => {
                tracing::debug!(shard = %term.shard(), %error, "shard not loaded");
                sleep(LOAD_RETRY_DELAY).await;
                continue;
            }
        };
        let (events, inbox) = unbounded();
        let shared = Rc::new(ShardShared {
            term: term.clone(),
            options,
            clock,
            table: clients.table.clone(),
            objects: clients.objects.clone(),
            directory: clients.directory.clone(),
            workers: clients.workers.clone(),
            settings: clients.settings.clone(),
            drains: clients.drains.clone(),
            state: RefCell::new(state),
            ledger: RefCell::default(),
            events,
        });
        publish(Some(shared.clone()));
        let end = ShardLoop::new(shared.clone(), inbox).run().await;
        contacts = take_contacts(&shared);
        if end == LoopExit::TermEnded {
            break;
        }
        tracing::warn!(shard = %term.shard(), "the table changed unexpectedly; loading again");
    }
    publish(None);
}

/// Takes the contacts over to the next round, and stops the links of this one.
fn take_contacts(shared: &ShardShared) -> HashMap<WorkerId, WorkerContact> {
    let mut state = shared.state.borrow_mut();
    state
        .workers
        .drain()
        .map(|(worker, entry)| (worker, entry.contact))
        .collect()
}
