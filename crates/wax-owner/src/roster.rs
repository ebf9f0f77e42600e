//! The agents of a term: which are linked, what each may run of earlier terms, what the store says.
//!
//! Pure but for the queues that it keeps: it decides, [`crate::agents`] talks.

use crate::gone::GoneBoots;
use crate::rows::AgentRow;
use crate::spans::OwnerSpans;
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

/// An agent without a link for this long is written down as such: a link that broke is back sooner.
const UNLINKED_AFTER: Duration = Duration::from_millis(1_000);

/// How far an agent's row is in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
enum RowStand {
    Absent,
    /// It is to say that this worker may be given orders.
    Queued(BootId),
    /// It says that this worker may be given orders.
    Stored(BootId),
    /// It says, or is to say, what may run on this worker: the worker gets no orders.
    Unlinked(BootId),
}

impl RowStand {
    fn boot(&self) -> Option<&BootId> {
        match self {
            Self::Absent => None,
            Self::Queued(boot) | Self::Stored(boot) | Self::Unlinked(boot) => Some(boot),
        }
    }
}

/// What the store is to say of an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AgentNote {
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
    Gone,
}

slotmap::new_key_type! {
    /// An agent of a term.
    struct AgentKey;
}

/// An agent as the owner knows it.
#[derive(Debug)]
struct AgentLife {
    /// Its name.
    node: Box<str>,
    /// The number of its link; 0 without one.
    link: u64,
    outbox: Option<UnboundedSender<PoolBody>>,
    unlinked_at: TimePoint,
    /// Its worker, once its runs were compared in this term.
    worker: Option<(WorkerKey, BootId)>,
    /// What may run there of earlier terms, until its runs were compared.
    earlier: Option<UnreconciledRuns>,
    /// Until when the last grant reaches.
    grant_end: TimePoint,
    /// Set while nothing certain is known of its worker: by then everything there has lapsed.
    lapse_at: Option<TimePoint>,
    row: RowStand,
    /// Notified when the row was stored, or another link takes this one's place.
    row_settled: Event,
}

impl AgentLife {
    fn new(node: &str, now: TimePoint) -> Self {
        Self {
            node: node.into(),
            link: 0,
            outbox: None,
            unlinked_at: now,
            worker: None,
            earlier: None,
            grant_end: now,
            lapse_at: None,
            row: RowStand::Absent,
            row_settled: Event::new(),
        }
    }

    /// Whether a run of this term or an earlier one may be there.
    fn may_run_any(&self) -> bool {
        self.worker.is_some() || self.earlier.is_some()
    }

    fn worker_key(&self) -> Option<WorkerKey> {
        self.worker.as_ref().map(|(key, _)| *key)
    }
}

/// What became of agents whose leases have lapsed unheard.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct LapsedAgents {
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
    agents: SlotMap<AgentKey, AgentLife>,
    names: HashMap<Box<str>, AgentKey>,
    workers: SecondaryMap<WorkerKey, AgentKey>,
    /// When leases lapse of which nothing certain is known.
    lapses: BTreeSet<(TimePoint, AgentKey)>,
    /// Agents without a link.
    away: BTreeSet<AgentKey>,
    /// When agents whose link has gone are to be written down as such.
    unlinks: BTreeSet<(TimePoint, AgentKey)>,
    /// Agents that may run something of earlier terms and were not heard.
    earlier: BTreeSet<AgentKey>,
    /// Rises with each change of what may run of earlier terms.
    earlier_changes: u64,
    /// How many agents rounds have looked at.
    looked_at: Cell<u64>,
    /// The agents by the boots that their rows name.
    boots: HashMap<BootId, AgentKey>,
    notes: HashMap<Box<str>, AgentNote>,
}

impl AgentRoster {
    fn agent(&self, node: &str) -> Option<&AgentLife> {
        self.agents.get(*self.names.get(node)?)
    }

    /// The key of an agent, which is new without a link if it was not known.
    fn enter(&mut self, node: &str, now: TimePoint) -> AgentKey {
        if let Some(key) = self.names.get(node) {
            return *key;
        }
        let key = self.agents.insert(AgentLife::new(node, now));
        self.names.insert(node.into(), key);
        self.away.insert(key);
        key
    }

    /// Changes an agent, and what is indexed by it.
    fn change<T>(&mut self, key: AgentKey, act: impl FnOnce(&mut AgentLife) -> T) -> Option<T> {
        let life = self.agents.get_mut(key)?;
        let (lapse_before, worker_before) = (life.lapse_at, life.worker_key());
        let was_unheard = life.earlier.is_some();
        let done = act(life);
        let (lapse_at, worker) = (life.lapse_at, life.worker_key());
        let (is_away, is_unheard) = (life.outbox.is_none(), life.earlier.is_some());
        if lapse_at != lapse_before {
            self.lapses.extend(lapse_at.map(|at| (at, key)));
            lapse_before.map(|at| self.lapses.remove(&(at, key)));
        }
        if worker != worker_before {
            worker_before.map(|worker| self.workers.remove(worker));
            worker.map(|worker| self.workers.insert(worker, key));
        }
        set_member(&mut self.away, key, is_away);
        if is_unheard != was_unheard {
            set_member(&mut self.earlier, key, is_unheard);
            self.earlier_changes += 1;
        }
        Some(done)
    }

    fn remove(&mut self, key: AgentKey) {
        self.change(key, |agent| {
            agent.lapse_at = None;
            agent.worker = None;
            agent.earlier = None;
        });
        self.away.remove(&key);
        if let Some(agent) = self.agents.remove(key) {
            self.names.remove(&agent.node);
            if let Some(boot) = agent.row.boot() {
                self.boots.remove(boot);
            }
        }
    }

    /// Takes a row of the store at a takeover; all that it speaks of has lapsed by `lapse_at`.
    pub fn load(&mut self, node: &str, row: &AgentRow, lapse_at: TimePoint, gone: &GoneBoots) {
        let boot = row.boot();
        if gone.has(&boot) {
            self.notes.insert(node.into(), AgentNote::Gone);
            return;
        }
        let key = self.enter(node, TimePoint::default());
        self.boots.insert(boot.clone(), key);
        self.change(key, |agent| {
            agent.lapse_at = Some(lapse_at);
            if row.unlinked {
                let jobs: HashSet<JobName> = row.jobs.iter().map(|job| JobName(*job)).collect();
                agent.earlier = Some(UnreconciledRuns::Only(jobs));
                agent.row = RowStand::Unlinked(boot);
            } else {
                agent.earlier = Some(UnreconciledRuns::Any);
                agent.row = RowStand::Stored(boot);
            }
        });
    }

    /// What agents that were not heard may still run of earlier terms.
    pub fn unheard(&self) -> UnreconciledRuns {
        let mut all = HashSet::new();
        for key in &self.earlier {
            self.looked_at.update(|count| count + 1);
            match self
                .agents
                .get(*key)
                .and_then(|agent| agent.earlier.as_ref())
            {
                Some(UnreconciledRuns::Any) => return UnreconciledRuns::Any,
                Some(UnreconciledRuns::Only(jobs)) => all.extend(jobs),
                None => {}
            }
        }
        UnreconciledRuns::Only(all)
    }

    /// Rises whenever [`AgentRoster::unheard`] may have changed.
    pub fn unheard_changes(&self) -> u64 {
        self.earlier_changes
    }

    /// How many agents may run something of earlier terms and were not heard.
    pub fn unheard_agents(&self) -> usize {
        self.earlier.len()
    }

    /// Takes a new link; returns the worker whose runs are to be compared anew.
    pub fn open(
        &mut self,
        node: &str,
        link: u64,
        outbox: &UnboundedSender<PoolBody>,
        now: TimePoint,
        spans: &OwnerSpans,
    ) -> Option<WorkerKey> {
        let key = self.enter(node, now);
        self.change(key, |agent| {
            // An owner before, or an earlier link, may have granted until now. Without this bound what ran on
            // the worker counted as lapsed at once if the link broke before the first grant on it.
            agent.grant_end = agent.grant_end.max(now + spans.grant);
            // Until its worker's runs are told on this link, those of the link before count.
            if agent.lapse_at.is_none() && agent.worker.is_some() {
                agent.lapse_at = Some(agent.grant_end + spans.lapse_after_grant());
            }
            agent.link = link;
            agent.row_settled.notify(usize::MAX);
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
        spans: &OwnerSpans,
    ) -> Option<Option<WorkerKey>> {
        let key = *self.names.get(node)?;
        let agent = self.agents.get(key).filter(|agent| agent.link == link)?;
        if !agent.may_run_any() {
            // No order was given, so that there is nothing to wait for: neither here nor after the
            // next takeover.
            if agent.row != RowStand::Absent {
                self.notes.insert(node.into(), AgentNote::Gone);
            }
            self.remove(key);
            return Some(None);
        }
        self.change(key, |agent| {
            agent.outbox = None;
            agent.link = 0;
            agent.unlinked_at = now;
            let lapse_at = agent.grant_end + spans.lapse_after_grant();
            agent.lapse_at.get_or_insert(lapse_at);
            agent.worker_key()
        })
        .inspect(|_| {
            self.unlinks.insert((now + UNLINKED_AFTER, key));
        })
    }

    /// Whether a link is the agent's newest.
    pub fn is_current(&self, node: &str, link: u64) -> bool {
        self.agent(node).is_some_and(|agent| agent.link == link)
    }

    /// Notes that the agent's authority reaches until `end`.
    pub fn granted(&mut self, node: &str, end: TimePoint) {
        let key = self.names.get(node);
        if let Some(agent) = key.and_then(|key| self.agents.get_mut(*key)) {
            agent.grant_end = agent.grant_end.max(end);
        }
    }

    /// Whether the store knows that the worker may be given orders; asks for it to be told if not.
    pub fn ask_row(&mut self, node: &str, boot: &BootId) -> bool {
        let Some(key) = self.names.get(node) else {
            return true;
        };
        let Some(agent) = self.agents.get_mut(*key) else {
            return true;
        };
        match &agent.row {
            RowStand::Stored(known) if known == boot => true,
            RowStand::Queued(known) if known == boot => false,
            _ => {
                if let Some(before) = agent.row.boot() {
                    self.boots.remove(before);
                }
                self.boots.insert(boot.clone(), *key);
                agent.row = RowStand::Queued(boot.clone());
                let note = AgentNote::Linked { boot: boot.clone() };
                self.notes.insert(node.into(), note);
                false
            }
        }
    }

    /// Listens for the agent's row to be stored: whoever waits for another row is not woken.
    pub fn listen_row(&self, node: &str) -> Option<EventListener> {
        Some(self.agent(node)?.row_settled.listen())
    }

    /// The runs of the agent's worker were compared: nothing of earlier terms is unheard there.
    /// Returns the worker that was known before.
    pub fn compared(
        &mut self,
        node: &str,
        worker: WorkerKey,
        boot: &BootId,
    ) -> Option<(WorkerKey, BootId)> {
        let key = *self.names.get(node)?;
        self.change(key, |agent| {
            agent.lapse_at = None;
            agent.earlier = None;
            agent.worker.replace((worker, boot.clone()))
        })?
    }

    /// The worker of an agent, if its runs were compared in this term.
    pub fn worker(&self, node: &str) -> Option<(WorkerKey, BootId)> {
        self.agent(node)?.worker.clone()
    }

    /// The agent says that nothing runs on a worker any more; returns it if it was known.
    pub fn worker_gone(&mut self, node: &str, boot: &BootId) -> Option<WorkerKey> {
        let key = *self.names.get(node)?;
        let (worker, was_unheard) = self.change(key, |agent| {
            let worker = agent.worker.take_if(|(_, known)| known == boot);
            let was_unheard = agent.earlier.is_some() && agent.row.boot() == Some(boot);
            if worker.is_some() || was_unheard {
                agent.earlier = None;
                agent.lapse_at = None;
                agent.row = RowStand::Absent;
            }
            (worker, was_unheard)
        })?;
        if worker.is_some() || was_unheard {
            self.boots.remove(boot);
            // The next owner need not wait for this agent.
            self.notes.insert(node.into(), AgentNote::Gone);
        }
        worker.map(|(key, _)| key)
    }

    /// A boot of a worker is dead for good, whoever says so; returns its agent if it was waited for.
    pub fn boot_dead(&mut self, boot: &BootId) -> Option<Box<str>> {
        if boot.worker_id().is_empty() {
            // Rows of older versions name no worker.
            return None;
        }
        let key = *self.boots.get(boot)?;
        let waits_for =
            |agent: &&AgentLife| agent.earlier.is_some() && agent.row.boot() == Some(boot);
        let node = self.agents.get(key).filter(waits_for)?.node.clone();
        self.worker_gone(&node, boot);
        if self.away.contains(&key) {
            self.remove(key);
        }
        Some(node)
    }

    /// Takes out agents of which nothing was heard until all their leases had lapsed.
    ///
    /// That counts only once the store has confirmed the term after the lapse: until then another
    /// owner may have heard the agent and extended its leases.
    pub fn drop_lapsed(&mut self, now: TimePoint, confirmed: TimePoint) -> LapsedAgents {
        let mut lapsed = LapsedAgents::default();
        while let Some((at, key)) = self.lapses.first().copied() {
            if now < at || confirmed < at {
                break;
            }
            self.looked_at.update(|count| count + 1);
            let worker = self.change(key, |agent| {
                agent.lapse_at = None;
                agent.earlier = None;
                agent.worker.take().map(|(key, _)| key)
            });
            lapsed.workers.extend(worker.flatten());
            let Some(agent) = self.agents.get(key) else {
                break;
            };
            let node = agent.node.clone();
            if agent.outbox.is_none() {
                self.notes.insert(node.clone(), AgentNote::Gone);
                self.remove(key);
            }
            lapsed.nodes.push(node);
        }
        lapsed
    }

    /// Agents whose link has been gone for a while: the store is told what may run there, so that the
    /// next owner holds back nothing else. `jobs_on` names the jobs with a run on a worker.
    pub fn note_unlinked(
        &mut self,
        now: TimePoint,
        jobs_on: impl Fn(WorkerKey) -> BTreeSet<JobName>,
    ) {
        while let Some((due, key)) = self.unlinks.first().copied().filter(|(due, _)| *due <= now) {
            self.unlinks.remove(&(due, key));
            self.looked_at.update(|count| count + 1);
            let Some(agent) = self.agents.get_mut(key) else {
                continue;
            };
            let is_away = agent.outbox.is_none() && now.since(agent.unlinked_at) >= UNLINKED_AFTER;
            let Some((worker, boot)) = agent.worker.as_ref().filter(|_| is_away) else {
                continue;
            };
            if !matches!(agent.row, RowStand::Stored(_)) {
                continue;
            }
            agent.row = RowStand::Unlinked(boot.clone());
            let note = AgentNote::Unlinked {
                boot: boot.clone(),
                jobs: jobs_on(*worker),
            };
            self.notes.insert(agent.node.clone(), note);
        }
    }

    /// How many agents rounds have looked at since the last call.
    pub fn take_looked_at(&self) -> u64 {
        self.looked_at.take()
    }

    /// Whether anything is to be written.
    pub fn has_notes(&self) -> bool {
        !self.notes.is_empty()
    }

    /// Takes up to `most` notes for the store.
    pub fn take_notes(&mut self, most: usize) -> Vec<(Box<str>, AgentNote)> {
        let nodes: Vec<Box<str>> = self.notes.keys().take(most).cloned().collect();
        let taken = nodes
            .into_iter()
            .filter_map(|node| self.notes.remove_entry(&node));
        taken.collect()
    }

    /// The store did not take these notes: they are due again, but for agents that have newer ones.
    pub fn notes_failed(&mut self, notes: Vec<(Box<str>, AgentNote)>) {
        for (node, note) in notes {
            self.notes.entry(node).or_insert(note);
        }
    }

    /// The store has these notes.
    pub fn notes_stored(&mut self, notes: &[(Box<str>, AgentNote)]) {
        for (node, note) in notes {
            let AgentNote::Linked { boot } = note else {
                continue;
            };
            let key = self.names.get(node);
            if let Some(agent) = key.and_then(|key| self.agents.get_mut(*key))
                && agent.row == RowStand::Queued(boot.clone())
            {
                agent.row = RowStand::Stored(boot.clone());
                agent.row_settled.notify(usize::MAX);
                if let Some(key) = key.filter(|_| agent.outbox.is_none()) {
                    // Its link has gone while it was written down.
                    self.unlinks
                        .insert((agent.unlinked_at + UNLINKED_AFTER, *key));
                }
            }
        }
    }

    /// The queue towards a worker, if its agent is linked and its runs were compared on this link: an
    /// order by an older view could undo what the agent has yet to tell.
    pub fn outbox(&self, worker: WorkerKey) -> Option<&UnboundedSender<PoolBody>> {
        let agent = self.agents.get(*self.workers.get(worker)?)?;
        agent.outbox.as_ref().filter(|_| agent.lapse_at.is_none())
    }

    /// The boot of a worker.
    pub fn boot(&self, worker: WorkerKey) -> Option<&BootId> {
        let agent = self.agents.get(*self.workers.get(worker)?)?;
        agent.worker.as_ref().map(|(_, boot)| boot)
    }

    /// The pause between two heartbeats of each agent.
    pub fn period(&self) -> Duration {
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
