//! The agents of a term: which are linked, what each may run of earlier terms, what the store says.
//!
//! Pure but for the queues that it keeps: it decides, [`crate::agent_links`] talks.

use crate::ended_boots::EndedBoots;
use crate::rows::AgentRow;
use crate::timeouts::OwnerTimeouts;
use event_listener::{Event, EventListener};
use futures_channel::mpsc::UnboundedSender;
use slotmap::{SecondaryMap, SlotMap};
use std::cell::Cell;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::Duration;
use wax_batch::{BootId, JobName, UnheardRuns, WorkerKey};
use wax_policy::agent_period;
use wax_types::TimePoint;
use wax_wire::PoolBody;

/// An agent without a link for this long is written down as such: a link that broke is back sooner.
const UNLINKED_ROW_DELAY: Duration = Duration::from_millis(1_000);

/// How far an agent's row is in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
enum RowState {
    Absent,
    /// It is to say that this worker may be given orders.
    Queued(BootId),
    /// It says that this worker may be given orders.
    Stored(BootId),
    /// It says, or is to say, what may run on this worker: the worker gets no orders.
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

/// What the store is to say of an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AgentUpdate {
    /// Its worker may be given orders.
    Linked {
        /// The worker's boot.
        boot: BootId,
    },
    /// Its worker gets no orders until the row says otherwise.
    Unlinked {
        /// The worker's boot.
        boot: BootId,
        /// Jobs of which a run may be there.
        jobs: BTreeSet<JobName>,
    },
    /// Nothing runs there.
    Removed,
}

slotmap::new_key_type! {
    /// An agent of a term.
    struct AgentKey;
}

/// An agent as the owner knows it.
#[derive(Debug)]
struct AgentRecord {
    /// Its name.
    node: Box<str>,
    /// The number of its link; 0 without one.
    link: u64,
    outbox: Option<UnboundedSender<PoolBody>>,
    unlinked_at: TimePoint,
    /// Its worker, once its runs were compared in this term.
    worker: Option<(WorkerKey, BootId)>,
    /// What may run there of earlier terms, until its runs were compared.
    unreconciled: Option<UnheardRuns>,
    /// Until when the last grant reaches.
    grant_end: TimePoint,
    /// Set while nothing certain is known of its worker: by then everything there has lapsed.
    expires_at: Option<TimePoint>,
    row: RowState,
    /// Notified when the row was stored, or another link takes this one's place.
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
            expires_at: None,
            row: RowState::Absent,
            row_changed: Event::new(),
        }
    }

    /// Whether a run of this term or an earlier one may be there.
    fn may_have_runs(&self) -> bool {
        self.worker.is_some() || self.unreconciled.is_some()
    }

    fn worker_key(&self) -> Option<WorkerKey> {
        self.worker.as_ref().map(|(key, _)| *key)
    }
}

/// What became of agents whose leases have lapsed unheard.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ExpiredAgents {
    /// The agents.
    pub nodes: Vec<Box<str>>,
    /// Their workers, as far as they were heard in this term.
    pub workers: Vec<WorkerKey>,
}

/// The agents of a term.
///
/// A round of the dispatcher comes with each change of a large pool: it must not look through all agents.
#[derive(Debug, Default)]
pub struct AgentRoster {
    agents: SlotMap<AgentKey, AgentRecord>,
    names: HashMap<Box<str>, AgentKey>,
    workers: SecondaryMap<WorkerKey, AgentKey>,
    /// When leases lapse of which nothing certain is known.
    expiries: BTreeSet<(TimePoint, AgentKey)>,
    /// Agents without a link.
    unlinked: BTreeSet<AgentKey>,
    /// When agents whose link has gone are to be written down as such.
    unlink_deadlines: BTreeSet<(TimePoint, AgentKey)>,
    /// Agents that may run something of earlier terms and were not heard.
    unreconciled: BTreeSet<AgentKey>,
    /// Rises with each change of what may run of earlier terms.
    unreconciled_changes: u64,
    /// How many agents rounds have looked at.
    visited: Cell<u64>,
    /// The agents by the boots that their rows name.
    boots: HashMap<BootId, AgentKey>,
    updates: HashMap<Box<str>, AgentUpdate>,
}

impl AgentRoster {
    fn agent(&self, node: &str) -> Option<&AgentRecord> {
        self.agents.get(*self.names.get(node)?)
    }

    /// The key of an agent, which is new without a link if it was not known.
    fn get_or_insert(&mut self, node: &str, now: TimePoint) -> AgentKey {
        if let Some(key) = self.names.get(node) {
            return *key;
        }
        let key = self.agents.insert(AgentRecord::new(node, now));
        self.names.insert(node.into(), key);
        self.unlinked.insert(key);
        key
    }

    /// Changes an agent, and what is indexed by it.
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

    /// Takes a row of the store at a takeover; all that it speaks of has lapsed by `lapse_at`.
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
                agent.unreconciled = Some(UnheardRuns::Only(jobs));
                agent.row = RowState::Unlinked(boot);
            } else {
                agent.unreconciled = Some(UnheardRuns::Any);
                agent.row = RowState::Stored(boot);
            }
        });
    }

    /// What agents that were not heard may still run of earlier terms.
    pub fn unreconciled_runs(&self) -> UnheardRuns {
        let mut all = HashSet::new();
        for key in &self.unreconciled {
            self.visited.update(|count| count + 1);
            match self
                .agents
                .get(*key)
                .and_then(|agent| agent.unreconciled.as_ref())
            {
                Some(UnheardRuns::Any) => return UnheardRuns::Any,
                Some(UnheardRuns::Only(jobs)) => all.extend(jobs),
                None => {}
            }
        }
        UnheardRuns::Only(all)
    }

    /// Rises whenever [`AgentRoster::unheard`] may have changed.
    pub fn unreconciled_changes(&self) -> u64 {
        self.unreconciled_changes
    }

    /// How many agents may run something of earlier terms and were not heard.
    pub fn unreconciled_agents(&self) -> usize {
        self.unreconciled.len()
    }

    /// Takes a new link; returns the worker whose runs are to be compared anew.
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
            // An owner before, or an earlier link, may have granted until now. Without this bound what ran on
            // the worker counted as lapsed at once if the link broke before the first grant on it.
            agent.grant_end = agent.grant_end.max(now + timeouts.grant);
            // Until its worker's runs are told on this link, those of the link before count.
            if agent.expires_at.is_none() && agent.worker.is_some() {
                agent.expires_at = Some(agent.grant_end + timeouts.expiry_after_grant());
            }
            agent.link = link;
            agent.row_changed.notify(usize::MAX);
            agent.outbox = Some(outbox.clone());
            agent.worker_key()
        })?
    }

    /// Notes that a link has ended; returns the worker that cannot be reached now. `None` says that
    /// the agent has a newer link.
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
            // No order was given, so that there is nothing to wait for: neither here nor after the
            // next takeover.
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
            let expires_at = agent.grant_end + timeouts.expiry_after_grant();
            agent.expires_at.get_or_insert(expires_at);
            agent.worker_key()
        })
        .inspect(|_| {
            self.unlink_deadlines
                .insert((now + UNLINKED_ROW_DELAY, key));
        })
    }

    /// Whether a link is the agent's newest.
    pub fn is_current(&self, node: &str, link: u64) -> bool {
        self.agent(node).is_some_and(|agent| agent.link == link)
    }

    /// Notes that the agent's authority reaches until `end`.
    pub fn extend_grant(&mut self, node: &str, end: TimePoint) {
        let key = self.names.get(node);
        if let Some(agent) = key.and_then(|key| self.agents.get_mut(*key)) {
            agent.grant_end = agent.grant_end.max(end);
        }
    }

    /// Whether the store knows that the worker may be given orders; asks for it to be told if not.
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

    /// Listens for the agent's row to be stored: whoever waits for another row is not woken.
    pub fn listen_row(&self, node: &str) -> Option<EventListener> {
        Some(self.agent(node)?.row_changed.listen())
    }

    /// The runs of the agent's worker were compared: nothing of earlier terms is unheard there.
    /// Returns the worker that was known before.
    pub fn set_reconciled(
        &mut self,
        node: &str,
        worker: WorkerKey,
        boot: &BootId,
    ) -> Option<(WorkerKey, BootId)> {
        let key = *self.names.get(node)?;
        self.update_agent(key, |agent| {
            agent.expires_at = None;
            agent.unreconciled = None;
            agent.worker.replace((worker, boot.clone()))
        })?
    }

    /// The worker of an agent, if its runs were compared in this term.
    pub fn worker(&self, node: &str) -> Option<(WorkerKey, BootId)> {
        self.agent(node)?.worker.clone()
    }

    /// The agent says that nothing runs on a worker any more; returns it if it was known.
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

    /// A boot of a worker is dead for good, whoever says so; returns its agent if it was waited for.
    pub fn boot_ended(&mut self, boot: &BootId) -> Option<Box<str>> {
        if boot.worker_id().is_empty() {
            // Rows of older versions name no worker.
            return None;
        }
        let key = *self.boots.get(boot)?;
        let is_awaited =
            |agent: &&AgentRecord| agent.unreconciled.is_some() && agent.row.boot() == Some(boot);
        let node = self.agents.get(key).filter(is_awaited)?.node.clone();
        self.worker_ended(&node, boot);
        if self.unlinked.contains(&key) {
            self.remove(key);
        }
        Some(node)
    }

    /// Takes out agents of which nothing was heard until all their leases had lapsed.
    ///
    /// That counts only once the store has confirmed the term after the lapse: until then another
    /// owner may have heard the agent and extended its leases.
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
            let node = agent.node.clone();
            if agent.outbox.is_none() {
                self.updates.insert(node.clone(), AgentUpdate::Removed);
                self.remove(key);
            }
            expired.nodes.push(node);
        }
        expired
    }

    /// Agents whose link has been gone for a while: the store is told what may run there, so that the
    /// next owner holds back nothing else. `jobs_on` names the jobs with a run on a worker.
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
            let Some((worker, boot)) = agent.worker.as_ref().filter(|_| is_unlinked) else {
                continue;
            };
            if !matches!(agent.row, RowState::Stored(_)) {
                continue;
            }
            agent.row = RowState::Unlinked(boot.clone());
            let update = AgentUpdate::Unlinked {
                boot: boot.clone(),
                jobs: jobs_on(*worker),
            };
            self.updates.insert(agent.node.clone(), update);
        }
    }

    /// How many agents rounds have looked at since the last call.
    pub fn take_visited(&self) -> u64 {
        self.visited.take()
    }

    /// Whether anything is to be written.
    pub fn has_updates(&self) -> bool {
        !self.updates.is_empty()
    }

    /// Takes up to `most` notes for the store.
    pub fn take_updates(&mut self, limit: usize) -> Vec<(Box<str>, AgentUpdate)> {
        let nodes: Vec<Box<str>> = self.updates.keys().take(limit).cloned().collect();
        let taken = nodes
            .into_iter()
            .filter_map(|node| self.updates.remove_entry(&node));
        taken.collect()
    }

    /// The store did not take these notes: they are due again, but for agents that have newer ones.
    pub fn updates_failed(&mut self, updates: Vec<(Box<str>, AgentUpdate)>) {
        for (node, update) in updates {
            self.updates.entry(node).or_insert(update);
        }
    }

    /// The store has these notes.
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
                    // Its link has gone while it was written down.
                    self.unlink_deadlines
                        .insert((agent.unlinked_at + UNLINKED_ROW_DELAY, *key));
                }
            }
        }
    }

    /// The queue towards a worker, if its agent is linked and its runs were compared on this link: an
    /// order by an older view could undo what the agent has yet to tell.
    pub fn outbox(&self, worker: WorkerKey) -> Option<&UnboundedSender<PoolBody>> {
        let agent = self.agents.get(*self.workers.get(worker)?)?;
        agent.outbox.as_ref().filter(|_| agent.expires_at.is_none())
    }

    /// The boot of a worker.
    pub fn boot(&self, worker: WorkerKey) -> Option<&BootId> {
        let agent = self.agents.get(*self.workers.get(worker)?)?;
        agent.worker.as_ref().map(|(_, boot)| boot)
    }

    /// The pause between two heartbeats of each agent.
    pub fn heartbeat_interval(&self) -> Duration {
        agent_period(self.agents.len())
    }
}

fn set_member(set: &mut BTreeSet<AgentKey>, key: AgentKey, is_member: bool) {
    if is_member {
        set.insert(key);
    } else {
        set.remove(&key);
    }
}
