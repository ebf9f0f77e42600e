//! Runs the ownership of one shard for one term: loads the state of the shard, runs its main loop,
//! and loads the state again when the table was changed unexpectedly.

use crate::drains::OperatorDrains;
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

/// Delay before a failed load is retried.
const LOAD_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Settings that all shards of a process share.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ShardOptions {
    pub(crate) shards: u16,
    pub(crate) lease_timings: LeaseTimings,
    pub(crate) renew_period: Duration,
    pub(crate) policy: PlacementPolicy,
}

/// State and clients that the async tasks of one shard share while one loaded state is in use.
pub(crate) struct ShardShared {
    pub(crate) term: OwnerTerm,
    pub(crate) options: ShardOptions,
    pub(crate) clock: ProcessClock,
    pub(crate) table: TableClient,
    pub(crate) objects: ObjectClient,
    pub(crate) directory: WorkerDirectory,
    pub(crate) worker_client: WorkerClient,
    pub(crate) settings: SettingsHolder,
    pub(crate) drains: OperatorDrains,
    pub(crate) state: RefCell<ShardState>,
    pub(crate) ledger: RefCell<LedgerFeed>,
    events: UnboundedSender<WorkerEvent>,
}

/// Clients of other services that the owner of a shard uses.
#[derive(Debug, Clone)]
pub(crate) struct ShardClients {
    pub(crate) table: TableClient,
    pub(crate) objects: ObjectClient,
    pub(crate) directory: WorkerDirectory,
    pub(crate) worker_client: WorkerClient,
    pub(crate) settings: SettingsHolder,
    pub(crate) drains: OperatorDrains,
}

/// Reason for which the main loop of a shard has ended.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum LoopExit {
    /// The term of ownership has ended.
    TermEnded,
    /// The table differs from the state in memory, which must be loaded again.
    Reload,
}

impl ShardShared {
    pub(crate) fn now(&self) -> TimePoint {
        self.clock.now()
    }

    /// Returns whether the owner may act now.
    pub(crate) fn is_term_active(&self) -> bool {
        self.term.is_active(self.now())
    }

    pub(crate) fn send_event(&self, event: WorkerEvent) {
        // A send can fail only after the main loop has ended, when the event no longer matters.
        let _ = self.events.unbounded_send(event);
    }

    /// Ends the term after a worker has rejected a call because it knows a later owner.
    pub(crate) fn end_fenced_term(&self, error: &WaxError) {
        tracing::info!(
            shard = %self.term.shard(), %error,
            "worker rejected the call: it knows a later owner of the shard"
        );
        self.term.end();
    }

    /// Returns whether a worker or its failure domain is drained, so that no task may start there.
    pub(crate) fn is_worker_drained(&self, worker: &WorkerId) -> bool {
        let state = self.state.borrow();
        let entry = state.workers.get(worker);
        entry.is_some_and(|entry| self.drains.is_drained(&entry.info))
    }

    /// Returns the worker's clock by its last answer, and the local time at which the answer
    /// arrived.
    pub(crate) fn worker_clock(&self, worker: &WorkerId) -> Option<(u64, TimePoint)> {
        self.state.borrow().workers.get(worker)?.clock
    }

    /// Returns the call to make to a worker now, and the worker's address.
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

/// Runs the ownership of a shard until the term ends.
///
/// `publish` receives the shared state after each load, and `None` at the end.
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
                tracing::debug!(shard = %term.shard(), %error, "loading the shard failed");
                sleep(LOAD_RETRY_DELAY).await;
                continue;
            }
        };
        let (events, event_receiver) = unbounded();
        let shared = Rc::new(ShardShared {
            term: term.clone(),
            options,
            clock,
            table: clients.table.clone(),
            objects: clients.objects.clone(),
            directory: clients.directory.clone(),
            worker_client: clients.worker_client.clone(),
            settings: clients.settings.clone(),
            drains: clients.drains.clone(),
            state: RefCell::new(state),
            ledger: RefCell::default(),
            events,
        });
        publish(Some(shared.clone()));
        let exit = ShardLoop::new(shared.clone(), event_receiver).run().await;
        contacts = take_contacts(&shared);
        if exit == LoopExit::TermEnded {
            break;
        }
        tracing::warn!(
            shard = %term.shard(),
            "the table differs from the state in memory; loading the shard again"
        );
    }
    publish(None);
}

/// Removes the workers from the state and returns their contacts for the next loaded state. The
/// links of the removed workers end.
fn take_contacts(shared: &ShardShared) -> HashMap<WorkerId, WorkerContact> {
    let mut state = shared.state.borrow_mut();
    state
        .workers
        .drain()
        .map(|(worker, entry)| (worker, entry.contact))
        .collect()
}
