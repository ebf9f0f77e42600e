//! Ownership of shards by this process. Each shard has a row in the table that names its owner; the
//! live member with the highest rank for a shard claims it.

use crate::drains::OperatorDrains;
use crate::ownership::{ProcessIdentity, ShardChoice, decide_shard};
use crate::rows::{SHARD_PREFIX, ShardRow, shard_key};
use crate::shard::{ShardClients, ShardOptions, ShardShared, run_shard};
use crate::term::OwnerTerm;
use compio::runtime::spawn;
use compio::time::{sleep, timeout};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;
use wax_http::ShutdownSignal;
use wax_member::MemberHandle;
use wax_platform::{
    CommitOutcome, ObjectClient, RowEntry, TableClient, TableTransaction, WorkerClient,
    WorkerDirectory,
};
use wax_policy::{LeaseTimings, PlacementPolicy, top_member};
use wax_settings::{CoordinatorSettings, SettingsHolder};
use wax_trace::{Counter, count};
use wax_types::{ProcessClock, RowVersion, ShardEpoch, ShardId, TimePoint, WaxError};

/// Time-out of one call to a worker.
const WORKER_CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Fixed part of the allowance for clocks that run at different speeds. 2 % of the lease duration is
/// added to it.
const CLOCK_MARGIN: Duration = Duration::from_millis(200);
/// Time that a handover allows for calls in progress before it releases the shard's row.
const HANDOVER_DELAY: Duration = Duration::from_millis(50);

/// Status of an owned shard, for operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardStatus {
    /// Identifies the shard.
    pub shard: ShardId,
    /// Epoch of the current owner; the fencing token of its calls.
    pub epoch: ShardEpoch,
    /// Number of workers that the shard has.
    pub workers: usize,
    /// Number of workers that answered the last call.
    pub reachable: usize,
    /// Names of the workers in quarantine.
    pub quarantined: Vec<Box<str>>,
    /// Number of tasks that wait for a placement.
    pub queued: usize,
    /// Number of tasks that are placed on a worker.
    pub placed: usize,
    /// Milliseconds since the ownership was last confirmed by the table.
    pub confirmed_ms: u64,
}

/// Read access to the shards that this process owns.
#[derive(Clone, Default)]
pub struct CoordinatorHandle {
    pub(crate) shards: Rc<RefCell<BTreeMap<ShardId, Rc<ShardShared>>>>,
}

impl CoordinatorHandle {
    /// Returns the status of each shard that this process owns.
    pub fn status(&self, now: TimePoint) -> Vec<ShardStatus> {
        self.shards
            .borrow()
            .values()
            .map(|shared| shard_status(shared, now))
            .collect()
    }
}

fn shard_status(shared: &ShardShared, now: TimePoint) -> ShardStatus {
    let state = shared.state.borrow();
    let quarantined = state
        .workers
        .iter()
        .filter(|(_, entry)| entry.quarantined_until.is_some_and(|until| until > now))
        .map(|(worker, _)| (**worker).into())
        .collect();
    ShardStatus {
        shard: shared.term.shard(),
        epoch: shared.term.epoch(),
        workers: state.workers.len(),
        reachable: state
            .workers
            .values()
            .filter(|entry| entry.contact.is_reachable())
            .count(),
        quarantined,
        queued: state.queue.len(),
        placed: state
            .workers
            .values()
            .map(|entry| entry.alloc.tasks.len())
            .sum(),
        confirmed_ms: now.since(shared.term.confirmed_at()).as_millis() as u64,
    }
}

/// Component of a daemon that claims, keeps and hands over shards.
pub struct CoordinatorProcess {
    settings: CoordinatorSettings,
    options: ShardOptions,
    clients: ShardClients,
    members: MemberHandle,
    clock: ProcessClock,
    handle: CoordinatorHandle,
    terms: HashMap<ShardId, OwnerTerm>,
}

impl CoordinatorProcess {
    /// Creates the component. No shard is claimed before [`CoordinatorProcess::run`].
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client for workers cannot be built.
    pub fn new(
        settings: CoordinatorSettings,
        (table, objects): (TableClient, ObjectClient),
        directory: WorkerDirectory,
        members: MemberHandle,
        tree: SettingsHolder,
        policy: PlacementPolicy,
        drains: OperatorDrains,
    ) -> Result<Self, WaxError> {
        let lease_timings = LeaseTimings {
            duration: Duration::from_millis(settings.lease_ms.into()),
            call_timeout: WORKER_CALL_TIMEOUT,
            clock_margin: CLOCK_MARGIN + Duration::from_millis(settings.lease_ms.into()) / 50,
            renewal_grace: Duration::from_millis(settings.grace_ms.into()),
        };
        let options = ShardOptions {
            shards: settings.shards,
            lease_timings,
            renew_period: Duration::from_millis(settings.renew_ms.into()),
            policy,
        };
        let clock = table.store().clock();
        let worker_client = WorkerClient::new(WORKER_CALL_TIMEOUT)?;
        Ok(Self {
            settings,
            options,
            clients: ShardClients {
                table,
                objects,
                directory,
                worker_client,
                settings: tree,
                drains,
            },
            members,
            clock,
            handle: CoordinatorHandle::default(),
            terms: HashMap::new(),
        })
    }

    /// Returns the handle through which other components read the owned shards.
    pub fn handle(&self) -> CoordinatorHandle {
        self.handle.clone()
    }

    /// Claims and releases shards until `shutdown` is raised, then hands over all owned shards.
    pub async fn run(mut self, shutdown: ShutdownSignal) {
        let period = Duration::from_millis(self.settings.heartbeat_ms.into());
        while !shutdown.is_raised() {
            // If the update fails, the active terms continue until their grace periods end.
            let _ = self.update_shards(false).await;
            let _ = timeout(period, shutdown.wait()).await;
        }
        self.members.mark_leaving();
        if let Err(error) = self.update_shards(true).await {
            tracing::info!(
                %error,
                "shards were not handed over; other members claim them once this member counts as dead"
            );
        }
    }

    /// Compares the rows of all shards with the live members, and claims, confirms, hands over or
    /// ends the terms of this process accordingly.
    async fn update_shards(&mut self, leaving: bool) -> Result<(), WaxError> {
        if self.members.last_observed().is_none() {
            return Ok(());
        }
        let started_at = self.clock.now();
        let rows = self.clients.table.scan::<ShardRow>(SHARD_PREFIX).await?;
        let mut rows: HashMap<Box<str>, RowEntry<ShardRow>> =
            rows.into_iter().map(|row| (row.key.clone(), row)).collect();
        let live = self.members.live_members(self.clock.now());
        let candidates: Vec<&str> = live
            .iter()
            .filter(|member| member.coordinator && !member.leaving)
            .map(|member| &*member.name)
            .collect();
        let own_row = self.members.own_row();
        for index in 0..self.settings.shards {
            let shard = ShardId(index);
            let row = rows.remove(shard_key(shard).as_str());
            let owner_alive = row.as_ref().is_some_and(|row| {
                live.iter().any(|member| {
                    row.value.owner.as_deref() == Some(&*member.name)
                        && row.value.incarnation == member.incarnation
                })
            });
            let identity = ProcessIdentity {
                name: &own_row.name,
                incarnation: own_row.incarnation,
                leaving: leaving || own_row.leaving,
            };
            let top = top_member(index.into(), candidates.iter().copied());
            let value = row.as_ref().map(|row| &row.value);
            match decide_shard(value, identity, top, owner_alive) {
                ShardChoice::Keep => self.confirm_or_resume(shard, row.as_ref(), started_at),
                ShardChoice::Release => self.hand_over(shard, row).await,
                ShardChoice::Claim => self.claim_shard(shard, row).await,
                ShardChoice::Yield => self.end_term(shard),
            }
        }
        Ok(())
    }

    /// Confirms the term of a shard whose row names this process, or starts a term if none is
    /// active.
    fn confirm_or_resume(
        &mut self,
        shard: ShardId,
        row: Option<&RowEntry<ShardRow>>,
        started_at: TimePoint,
    ) {
        let (Some(row), Some(term)) = (row, self.terms.get(&shard)) else {
            // No term is active, for instance because the reply to a claim was lost.
            if let Some(row) = row {
                self.resume_claim(shard, row, started_at);
            }
            return;
        };
        // The check must precede the confirmation: a term that expired during an outage of the
        // store is ended here, and the next pass starts a new one.
        if !term.is_active(self.clock.now()) {
            return self.end_term(shard);
        }
        if row.version == term.version() {
            term.confirm(started_at);
        }
    }

    /// Starts a term under the epoch of the row, which names this process as the owner; the row was
    /// read at `started_at` or later.
    fn resume_claim(&mut self, shard: ShardId, row: &RowEntry<ShardRow>, started_at: TimePoint) {
        self.start_term(shard, row.value.epoch, row.version, started_at);
    }

    async fn claim_shard(&mut self, shard: ShardId, row: Option<RowEntry<ShardRow>>) {
        self.end_term(shard);
        let own_row = self.members.own_row();
        let (version, epoch) = match &row {
            Some(row) => (row.version, row.value.epoch.next()),
            None => (RowVersion::default(), ShardEpoch(1)),
        };
        let next = ShardRow {
            owner: Some(own_row.name),
            incarnation: own_row.incarnation,
            epoch,
        };
        let started_at = self.clock.now();
        let mut transaction = TableTransaction::default();
        transaction.put(shard_key(shard), version, &next);
        let deadline = started_at + Duration::from_millis(self.settings.member_ttl_ms.into());
        if let CommitOutcome::Committed(version) =
            self.clients.table.commit(&transaction, deadline).await
        {
            self.start_term(shard, epoch, version, started_at);
        }
    }

    fn start_term(
        &mut self,
        shard: ShardId,
        epoch: ShardEpoch,
        version: RowVersion,
        started_at: TimePoint,
    ) {
        count(Counter::ShardsGained);
        tracing::info!(%shard, %epoch, "shard gained");
        let grace = self.options.lease_timings.renewal_grace;
        let term = OwnerTerm::new(shard, epoch, version, grace, started_at, self.clock.now());
        self.terms.insert(shard, term.clone());
        let shards = self.handle.shards.clone();
        let publish = move |shared: Option<Rc<ShardShared>>| {
            let mut shards = shards.borrow_mut();
            match shared {
                Some(shared) => {
                    shards.insert(shard, shared);
                }
                // A later term may have started before the loop of this one stopped; its entry
                // stays.
                None if shards
                    .get(&shard)
                    .is_some_and(|shared| !shared.is_term_active()) =>
                {
                    shards.remove(&shard);
                }
                None => {}
            }
        };
        let clients = self.clients.clone();
        spawn(run_shard(term, self.options, clients, self.clock, publish)).detach();
    }

    /// Ends the term of a shard and then removes the owner from the shard's row, so that another
    /// member can claim the shard at once.
    async fn hand_over(&mut self, shard: ShardId, row: Option<RowEntry<ShardRow>>) {
        self.end_term(shard);
        let Some(row) = row else { return };
        sleep(HANDOVER_DELAY).await;
        let next = ShardRow {
            owner: None,
            ..row.value
        };
        let mut transaction = TableTransaction::default();
        transaction.put(shard_key(shard), row.version, &next);
        let deadline = self.clock.now() + Duration::from_millis(self.settings.heartbeat_ms.into());
        // If the commit fails, another member claims the shard once this process counts as dead.
        let _ = self.clients.table.commit(&transaction, deadline).await;
    }

    fn end_term(&mut self, shard: ShardId) {
        if let Some(term) = self.terms.remove(&shard) {
            term.end();
            count(Counter::ShardsLost);
            tracing::info!(%shard, "shard lost");
        }
    }
}
