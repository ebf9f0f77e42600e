//! The agents of a term: which are linked, which runs of earlier terms each may still have, and
//! what the store holds of each.
//!
//! Performs no I/O except for sending into the queues of the links; [`crate::agent_links`] does the
//! communication.

use crate::ended_boots::EndedBoots;
use crate::rows::AgentRow;
use crate::timeouts::OwnerTimeouts;
use event_listener::{Event, EventListener};
use futures_channel::mpsc::UnboundedSender;
use slotmap::{SecondaryMap, SlotMap};
use std::cell::Cell;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::Duration;
use wax_batch::{BootId, JobName, UnreconciledRuns, WorkerKey};
use wax_policy::agent_heartbeat_period;
use wax_types::TimePoint;
use wax_wire::PoolBody;

/// Time without a link after which an agent's row is changed to `unlinked`. A broken link is
/// usually replaced sooner.
const UNLINKED_ROW_DELAY: Duration = Duration::from_millis(1_000);
/// Largest number of jobs in an agent's row, 8 bytes each. With more of them the row keeps the form
/// that covers any job.
const MAX_ROW_JOBS: usize = 4_000;

/// State of an agent's row in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
enum RowState {
    Absent,
    /// A row that permits orders to this boot is pending or being written.
    Queued(BootId),
    /// The store has a row that permits orders to this boot.
    Stored(BootId),
    /// The row, stored or pending, lists the jobs that may run on this boot and forbids orders to
    /// it.
    Unlinked(BootId),
}

impl RowState {
    fn boot(&self) -> Option<&BootId> {
        match self {
            Self::Absent => None,
            Self::Queued(boot) | Self::Stored(boot) | Self::Unlinked(boot) => Some(boot),
        }
    }
}

/// A pending change of an agent's row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AgentUpdate {
    /// The row permits orders to the agent's worker.
    Linked {
        /// Boot of the agent's worker.
        boot: BootId,
    },
    /// The row forbids orders to the worker and lists the jobs that may run there.
    Unlinked {
        /// Boot of the agent's worker.
        boot: BootId,
        /// Jobs that may have a run on the worker.
        jobs: BTreeSet<JobName>,
    },
    /// The row is removed, because nothing runs on the agent's worker.
    Removed,
}

slotmap::new_key_type! {
    /// Key of an agent within a term.
    struct AgentKey;
}

/// What the owner keeps of one agent.
#[derive(Debug)]
struct AgentRecord {
    /// Name of the agent's VM.
    node: Box<str>,
    /// Number of the agent's link; 0 without a link.
    link: u64,
    outbox: Option<UnboundedSender<PoolBody>>,
    unlinked_at: TimePoint,
    /// The agent's worker; `None` until the worker has listed its runs in this term.
    worker: Option<(WorkerKey, BootId)>,
    /// Runs of earlier terms that may be on the worker; `None` once the worker's runs have been
    /// reconciled.
    unreconciled: Option<UnreconciledRuns>,
    /// End of the last grant to the agent.
    grant_end: TimePoint,
    /// Latest end of the leases that the agent has reported. A boot that has executed calls for the
    /// worker's previous boot holds leases that no grant bounds.
    lease_end: TimePoint,
    /// When all leases on the worker have expired. Set while the worker's runs are not reconciled
    /// on a current link.
    expires_at: Option<TimePoint>,
    row: RowState,
    /// Notified when the row has been stored, or when a newer link replaces this one.
    row_changed: Event,
}

impl AgentRecord {
    fn new(node: &str, now: TimePoint) -> Self {
        Self {
            node: node.into(),
            link: 0,
            outbox: None,
            unlinked_at: now,
            worker: None,
            unreconciled: None,
            grant_end: now,
            lease_end: now,
            expires_at: None,
            row: RowState::Absent,
            row_changed: Event::new(),
        }
    }

    /// Returns whether the worker may have a run of this term or an earlier one.
    fn may_have_runs(&self) -> bool {
        self.worker.is_some() || self.unreconciled.is_some()
    }

    /// Returns when all leases on the worker have expired if the agent is not heard of again.
    fn expiry(&self, timeouts: &OwnerTimeouts) -> TimePoint {
        let after_grant = self.grant_end + timeouts.expiry_after_grant();
        after_grant.max(self.lease_end)
    }

    fn worker_key(&self) -> Option<WorkerKey> {
        self.worker.as_ref().map(|(key, _)| *key)
    }
}

/// Agents whose leases expired before they reported to this owner again.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ExpiredAgents {
    /// Names of the agents.
    pub nodes: Vec<Box<str>>,
    /// Ends of the last grants to these agents, in the order of the names.
    pub grant_ends: Vec<TimePoint>,
    /// Workers of these agents that had been reconciled in this term.
    pub workers: Vec<WorkerKey>,
}

/// The agents of a term.
///
/// In a large pool, the dispatcher runs a round with each change. A round must not go through all
/// agents, so the roster keeps indexes.
#[derive(Debug, Default)]
pub struct AgentRoster {
    agents: SlotMap<AgentKey, AgentRecord>,
    names: HashMap<Box<str>, AgentKey>,
    workers: SecondaryMap<WorkerKey, AgentKey>,
    /// Agents whose `expires_at` is set, in the order of that time.
    expiries: BTreeSet<(TimePoint, AgentKey)>,
    /// Agents without a link.
    unlinked: BTreeSet<AgentKey>,
    /// Agents whose link has ended, ordered by the time when their rows are due to be marked as
    /// unlinked.
    unlink_deadlines: BTreeSet<(TimePoint, AgentKey)>,
    /// Agents that may have runs of earlier terms and have not been reconciled.
    unreconciled: BTreeSet<AgentKey>,
    /// Incremented with each change to the set of unreconciled agents.
    unreconciled_changes: u64,
    /// Number of agents visited by dispatch rounds.
    visited: Cell<u64>,
    /// Agents by the boots that their rows name.
    boots: HashMap<BootId, AgentKey>,
    updates: HashMap<Box<str>, AgentUpdate>,
}

impl AgentRoster {
    fn agent(&self, node: &str) -> Option<&AgentRecord> {
        self.agents.get(*self.names.get(node)?)
    }

    /// Returns the key of an agent; adds the agent, without a link, if it is not known.
    fn get_or_insert(&mut self, node: &str, now: TimePoint) -> AgentKey {
        if let Some(key) = self.names.get(node) {
            return *key;
        }
        let key = self.agents.insert(AgentRecord::new(node, now));
        self.names.insert(node.into(), key);
        self.unlinked.insert(key);
        key
    }

    /// Applies a change to an agent and updates the indexes accordingly.
    fn update_agent<T>(
        &mut self,
        key: AgentKey,
        apply: impl FnOnce(&mut AgentRecord) -> T,
    ) -> Option<T> {
        let agent = self.agents.get_mut(key)?;
        let (expiry_before, worker_before) = (agent.expires_at, agent.worker_key());
        let was_unreconciled = agent.unreconciled.is_some();
        let result = apply(agent);
        let (expires_at, worker) = (agent.expires_at, agent.worker_key());
        let (is_unlinked, is_unreconciled) = (agent.outbox.is_none(), agent.unreconciled.is_some());
        if expires_at != expiry_before {
            self.expiries.extend(expires_at.map(|at| (at, key)));
            expiry_before.map(|at| self.expiries.remove(&(at, key)));
        }
        if worker != worker_before {
            worker_before.map(|worker| self.workers.remove(worker));
            worker.map(|worker| self.workers.insert(worker, key));
        }
        set_member(&mut self.unlinked, key, is_unlinked);
        if is_unreconciled != was_unreconciled {
            set_member(&mut self.unreconciled, key, is_unreconciled);
            self.unreconciled_changes += 1;
        }
        Some(result)
    }

    fn remove(&mut self, key: AgentKey) {
        self.update_agent(key, |agent| {
            agent.expires_at = None;
            agent.worker = None;
            agent.unreconciled = None;
        });
        self.unlinked.remove(&key);
        if let Some(agent) = self.agents.remove(key) {
            self.names.remove(&agent.node);
            if let Some(boot) = agent.row.boot() {
                self.boots.remove(boot);
            }
        }
    }

    /// Adds an agent from its row in the store at a takeover. All leases on its worker have expired
    /// at `expires_at`.
    pub fn load(
        &mut self,
        node: &str,
        row: &AgentRow,
        expires_at: TimePoint,
        ended_boots: &EndedBoots,
    ) {
        let boot = row.boot();
        if ended_boots.contains(&boot) {
            self.updates.insert(node.into(), AgentUpdate::Removed);
            return;
        }
        let key = self.get_or_insert(node, TimePoint::default());
        self.boots.insert(boot.clone(), key);
        self.update_agent(key, |agent| {
            agent.expires_at = Some(expires_at);
            if row.unlinked {
                let jobs: HashSet<JobName> = row.jobs.iter().map(|job| JobName(*job)).collect();
                agent.unreconciled = Some(UnreconciledRuns::Only(jobs));
                agent.row = RowState::Unlinked(boot);
            } else {
                agent.unreconciled = Some(UnreconciledRuns::Any);
                agent.row = RowState::Stored(boot);
            }
        });
    }

    /// Returns the runs of earlier terms that agents which have not been reconciled may still have.
    pub fn unreconciled_runs(&self) -> UnreconciledRuns {
        let mut all = HashSet::new();
        for key in &self.unreconciled {
            self.visited.update(|count| count + 1);
            match self
                .agents
                .get(*key)
                .and_then(|agent| agent.unreconciled.as_ref())
            {
                Some(UnreconciledRuns::Any) => return UnreconciledRuns::Any,
                Some(UnreconciledRuns::Only(jobs)) => all.extend(jobs),
                None => {}
            }
        }
        UnreconciledRuns::Only(all)
    }

    /// Returns a counter that rises whenever [`AgentRoster::unreconciled_runs`] may have changed.
    pub fn unreconciled_changes(&self) -> u64 {
        self.unreconciled_changes
    }

    /// Returns how many agents may have runs of earlier terms and have not been reconciled.
    pub fn unreconciled_agents(&self) -> usize {
        self.unreconciled.len()
    }

    /// Registers a new link of an agent; returns the worker whose runs must be reconciled again.
    pub fn open(
        &mut self,
        node: &str,
        link: u64,
        outbox: &UnboundedSender<PoolBody>,
        now: TimePoint,
        timeouts: &OwnerTimeouts,
    ) -> Option<WorkerKey> {
        let key = self.get_or_insert(node, now);
        self.update_agent(key, |agent| {
            // A former owner, or an earlier link, may have extended the grant until now. Without
            // this bound, the leases on the worker would count as expired at once if the link broke
            // before its first grant.
            agent.grant_end = agent.grant_end.max(now + timeouts.grant);
            // The runs known from the previous link count until the worker's runs are reconciled on
            // this one.
            if agent.expires_at.is_none() && agent.worker.is_some() {
                agent.expires_at = Some(agent.expiry(timeouts));
            }
            agent.link = link;
            agent.row_changed.notify(usize::MAX);
            agent.outbox = Some(outbox.clone());
            agent.worker_key()
        })?
    }

    /// Records that a link has ended; returns the worker that has become unreachable, if any.
    /// Returns `None` if the agent has a newer link.
    pub fn close(
        &mut self,
        node: &str,
        link: u64,
        now: TimePoint,
        timeouts: &OwnerTimeouts,
    ) -> Option<Option<WorkerKey>> {
        let key = *self.names.get(node)?;
        let agent = self.agents.get(key).filter(|agent| agent.link == link)?;
        if !agent.may_have_runs() {
            // The worker received no orders, so neither this owner nor the next one needs to wait
            // for its leases.
            if agent.row != RowState::Absent {
                self.updates.insert(node.into(), AgentUpdate::Removed);
            }
            self.remove(key);
            return Some(None);
        }
        self.update_agent(key, |agent| {
            agent.outbox = None;
            agent.link = 0;
            agent.unlinked_at = now;
            let expires_at = agent.expiry(timeouts);
            agent.expires_at.get_or_insert(expires_at);
            agent.worker_key()
        })
        .inspect(|_| {
            self.unlink_deadlines
                .insert((now + UNLINKED_ROW_DELAY, key));
        })
    }

    /// Returns whether a link is the agent's newest.
    pub fn is_current(&self, node: &str, link: u64) -> bool {
        self.agent(node).is_some_and(|agent| agent.link == link)
    }

    /// Records that the agent's authority lasts until `end`.
    pub fn extend_grant(&mut self, node: &str, end: TimePoint) {
        let key = self.names.get(node);
        if let Some(agent) = key.and_then(|key| self.agents.get_mut(*key)) {
            agent.grant_end = agent.grant_end.max(end);
        }
    }

    /// Records that leases on the agent's worker may be valid until `end`.
    pub fn extend_leases(&mut self, node: &str, end: TimePoint) {
        let Some(key) = self.names.get(node).copied() else {
            return;
        };
        self.update_agent(key, |agent| {
            agent.lease_end = agent.lease_end.max(end);
            agent.expires_at = agent.expires_at.map(|at| at.max(end));
        });
    }

    /// Returns whether the store has a row that permits orders to this boot; makes the row pending
    /// if not.
    pub fn ensure_row(&mut self, node: &str, boot: &BootId) -> bool {
        let Some(key) = self.names.get(node) else {
            return true;
        };
        let Some(agent) = self.agents.get_mut(*key) else {
            return true;
        };
        match &agent.row {
            RowState::Stored(known) if known == boot => true,
            RowState::Queued(known) if known == boot => false,
            _ => {
                if let Some(before) = agent.row.boot() {
                    self.boots.remove(before);
                }
                self.boots.insert(boot.clone(), *key);
                agent.row = RowState::Queued(boot.clone());
                let update = AgentUpdate::Linked { boot: boot.clone() };
                self.updates.insert(node.into(), update);
                false
            }
        }
    }

    /// Listens for the agent's row to be stored. Only listeners for this agent are woken.
    pub fn listen_row(&self, node: &str) -> Option<EventListener> {
        Some(self.agent(node)?.row_changed.listen())
    }

    /// Records that the agent's worker has listed its runs, though not yet all ends: runs of earlier
    /// terms that it does not list may have ended there. Returns the worker that was known before.
    pub fn set_listed(
        &mut self,
        node: &str,
        worker: WorkerKey,
        boot: &BootId,
    ) -> Option<(WorkerKey, BootId)> {
        let key = *self.names.get(node)?;
        self.update_agent(key, |agent| {
            agent.expires_at = None;
            agent.worker.replace((worker, boot.clone()))
        })?
    }

    /// Records that the runs of the agent's worker have been reconciled. Returns the worker that
    /// was known before.
    pub fn set_reconciled(
        &mut self,
        node: &str,
        worker: WorkerKey,
        boot: &BootId,
    ) -> Option<(WorkerKey, BootId)> {
        let key = *self.names.get(node)?;
        self.update_agent(key, |agent| agent.unreconciled = None);
        self.set_listed(node, worker, boot)
    }

    /// Returns the agent's worker if it has listed its runs in this term.
    pub fn worker(&self, node: &str) -> Option<(WorkerKey, BootId)> {
        self.agent(node)?.worker.clone()
    }

    /// Records that nothing runs on a boot of the agent's worker any more; returns the worker if it
    /// was known.
    pub fn worker_ended(&mut self, node: &str, boot: &BootId) -> Option<WorkerKey> {
        let key = *self.names.get(node)?;
        let (worker, was_unreconciled) = self.update_agent(key, |agent| {
            let worker = agent.worker.take_if(|(_, known)| known == boot);
            let was_unreconciled = agent.unreconciled.is_some() && agent.row.boot() == Some(boot);
            if worker.is_some() || was_unreconciled {
                agent.unreconciled = None;
                agent.expires_at = None;
                agent.row = RowState::Absent;
            }
            (worker, was_unreconciled)
        })?;
        if worker.is_some() || was_unreconciled {
            self.boots.remove(boot);
            // The next owner need not wait for this agent.
            self.updates.insert(node.into(), AgentUpdate::Removed);
        }
        worker.map(|(key, _)| key)
    }

    /// Records that a boot has ended for good, whichever process reports it; returns its agent if
    /// the owner was waiting for it.
    pub fn boot_ended(&mut self, boot: &BootId) -> Option<Box<str>> {
        if boot.worker_id().is_empty() {
            // Rows written by older versions name no worker.
            return None;
        }
        let key = *self.boots.get(boot)?;
        let is_awaited = |agent: &&AgentRecord| {
            agent.worker.is_none() && agent.unreconciled.is_some() && agent.row.boot() == Some(boot)
        };
        let node = self.agents.get(key).filter(is_awaited)?.node.clone();
        self.worker_ended(&node, boot);
        if self.unlinked.contains(&key) {
            self.remove(key);
        }
        Some(node)
    }

    /// Waits longer for agents whose leases have expired by their grants, if starts to their workers
    /// are unconfirmed: until the end of the longest lease that the worker may have granted while the
    /// agent had authority. Returns the workers for which it waits.
    pub fn await_unconfirmed(
        &mut self,
        now: TimePoint,
        timeouts: &OwnerTimeouts,
        has_unconfirmed: impl Fn(WorkerKey) -> bool,
    ) -> Vec<WorkerKey> {
        let due = self.expiries.iter().take_while(|(at, _)| *at <= now);
        let due: Vec<AgentKey> = due.map(|(_, key)| *key).collect();
        let mut awaited = Vec::new();
        for key in due {
            self.update_agent(key, |agent| {
                let end = agent.grant_end + timeouts.expiry_of_any_lease();
                let worker = agent.worker_key().filter(|worker| has_unconfirmed(*worker));
                if end > now
                    && let Some(worker) = worker
                {
                    agent.expires_at = Some(end);
                    agent.unreconciled = None;
                    awaited.push(worker);
                }
            });
        }
        awaited
    }

    /// Removes workers whose leases have expired before they were reconciled, and their agents if
    /// they have no link.
    ///
    /// Leases count as expired only once the store has confirmed the term after the expiry time.
    /// Until then, another owner may have had contact with the agent and extended its leases.
    pub fn remove_expired(&mut self, now: TimePoint, confirmed_at: TimePoint) -> ExpiredAgents {
        let mut expired = ExpiredAgents::default();
        while let Some((at, key)) = self.expiries.first().copied() {
            if now < at || confirmed_at < at {
                break;
            }
            self.visited.update(|count| count + 1);
            let worker = self.update_agent(key, |agent| {
                agent.expires_at = None;
                agent.unreconciled = None;
                agent.worker.take().map(|(key, _)| key)
            });
            expired.workers.extend(worker.flatten());
            let Some(agent) = self.agents.get(key) else {
                break;
            };
            let (node, grant_end) = (agent.node.clone(), agent.grant_end);
            if agent.outbox.is_none() {
                self.updates.insert(node.clone(), AgentUpdate::Removed);
                self.remove(key);
            }
            expired.nodes.push(node);
            expired.grant_ends.push(grant_end);
        }
        expired
    }

    /// Marks the rows of agents that have had no link for a while as unlinked, with the jobs that
    /// may run there, so that the next owner holds back only these jobs. `jobs_on` returns the jobs
    /// with a run on a worker.
    pub fn queue_unlinked(
        &mut self,
        now: TimePoint,
        jobs_on: impl Fn(WorkerKey) -> BTreeSet<JobName>,
    ) {
        while let Some((due, key)) = self
            .unlink_deadlines
            .first()
            .copied()
            .filter(|(due, _)| *due <= now)
        {
            self.unlink_deadlines.remove(&(due, key));
            self.visited.update(|count| count + 1);
            let Some(agent) = self.agents.get_mut(key) else {
                continue;
            };
            let is_unlinked =
                agent.outbox.is_none() && now.since(agent.unlinked_at) >= UNLINKED_ROW_DELAY;
            // Without all ends of the worker, the jobs with a run there are not known.
            let is_known = is_unlinked && agent.unreconciled.is_none();
            let Some((worker, boot)) = agent.worker.as_ref().filter(|_| is_known) else {
                continue;
            };
            if !matches!(agent.row, RowState::Stored(_)) {
                continue;
            }
            let jobs = jobs_on(*worker);
            if jobs.len() > MAX_ROW_JOBS {
                continue;
            }
            agent.row = RowState::Unlinked(boot.clone());
            let update = AgentUpdate::Unlinked {
                boot: boot.clone(),
                jobs,
            };
            self.updates.insert(agent.node.clone(), update);
        }
    }

    /// Returns the number of agents visited by dispatch rounds since the last call.
    pub fn take_visited(&self) -> u64 {
        self.visited.take()
    }

    /// Returns whether changes of rows are pending.
    pub fn has_updates(&self) -> bool {
        !self.updates.is_empty()
    }

    /// Takes up to `limit` pending changes in order to write them to the store.
    pub fn take_updates(&mut self, limit: usize) -> Vec<(Box<str>, AgentUpdate)> {
        let nodes: Vec<Box<str>> = self.updates.keys().take(limit).cloned().collect();
        let taken = nodes
            .into_iter()
            .filter_map(|node| self.updates.remove_entry(&node));
        taken.collect()
    }

    /// Makes changes that the store has not accepted pending again, except for agents with a newer
    /// change.
    pub fn updates_failed(&mut self, updates: Vec<(Box<str>, AgentUpdate)>) {
        for (node, update) in updates {
            self.updates.entry(node).or_insert(update);
        }
    }

    /// Records that the store has accepted these changes.
    pub fn updates_stored(&mut self, updates: &[(Box<str>, AgentUpdate)]) {
        for (node, update) in updates {
            let AgentUpdate::Linked { boot } = update else {
                continue;
            };
            let key = self.names.get(node);
            if let Some(agent) = key.and_then(|key| self.agents.get_mut(*key))
                && agent.row == RowState::Queued(boot.clone())
            {
                agent.row = RowState::Stored(boot.clone());
                agent.row_changed.notify(usize::MAX);
                if let Some(key) = key.filter(|_| agent.outbox.is_none()) {
                    // The link ended while the row was being written.
                    self.unlink_deadlines
                        .insert((agent.unlinked_at + UNLINKED_ROW_DELAY, *key));
                }
            }
        }
    }

    /// Returns the queue to a worker's agent, if the agent is linked and the worker's runs have
    /// been reconciled on this link. An order based on an older view could contradict what the
    /// agent has yet to report.
    pub fn outbox(&self, worker: WorkerKey) -> Option<&UnboundedSender<PoolBody>> {
        let agent = self.agents.get(*self.workers.get(worker)?)?;
        agent.outbox.as_ref().filter(|_| agent.expires_at.is_none())
    }

    /// Returns the boot of a worker.
    pub fn boot(&self, worker: WorkerKey) -> Option<&BootId> {
        let agent = self.agents.get(*self.workers.get(worker)?)?;
        agent.worker.as_ref().map(|(_, boot)| boot)
    }

    /// Returns the heartbeat period of each agent, which depends on the number of agents.
    pub fn heartbeat_period(&self) -> Duration {
        agent_heartbeat_period(self.agents.len())
    }
}

fn set_member(set: &mut BTreeSet<AgentKey>, key: AgentKey, is_member: bool) {
    if is_member {
        set.insert(key);
    } else {
        set.remove(&key);
    }
}
