//! The agents of a term: which are linked, what each may run of earlier terms, what the store says.
//!
//! Pure but for the queues that it keeps: it decides, [`crate::agents`] talks.

use crate::gone::GoneBoots;
use crate::rows::AgentRow;
use crate::spans::OwnerSpans;
use futures_channel::mpsc::UnboundedSender;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::Duration;
use wax_batch::{BootId, JobName, UnheardRuns, WorkerKey};
use wax_policy::agent_period;
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

/// An agent as the owner knows it.
#[derive(Debug)]
struct AgentLife {
    /// The number of its link; 0 without one.
    link: u64,
    outbox: Option<UnboundedSender<PoolBody>>,
    unlinked_at: TimePoint,
    /// Its worker, once its runs were compared in this term.
    worker: Option<(WorkerKey, BootId)>,
    /// What may run there of earlier terms, until its runs were compared.
    earlier: Option<UnheardRuns>,
    /// Until when the last grant reaches.
    grant_end: TimePoint,
    /// Set while nothing certain is known of its worker: by then everything there has lapsed.
    lapse_at: Option<TimePoint>,
    row: RowStand,
}

impl AgentLife {
    fn new(now: TimePoint) -> Self {
        Self {
            link: 0,
            outbox: None,
            unlinked_at: now,
            worker: None,
            earlier: None,
            grant_end: now,
            lapse_at: None,
            row: RowStand::Absent,
        }
    }

    /// Whether a run of this term or an earlier one may be there.
    fn may_run_any(&self) -> bool {
        self.worker.is_some() || self.earlier.is_some()
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
#[derive(Debug, Default)]
pub struct AgentRoster {
    agents: HashMap<Box<str>, AgentLife>,
    notes: HashMap<Box<str>, AgentNote>,
}

impl AgentRoster {
    /// Takes a row of the store at a takeover; all that it speaks of has lapsed by `lapse_at`.
    pub fn load(&mut self, node: &str, row: &AgentRow, lapse_at: TimePoint, gone: &GoneBoots) {
        let boot = row.boot();
        if gone.has(&boot) {
            self.notes.insert(node.into(), AgentNote::Gone);
            return;
        }
        let agent = self
            .agents
            .entry(node.into())
            .or_insert_with(|| AgentLife::new(TimePoint::default()));
        agent.lapse_at = Some(lapse_at);
        if row.unlinked {
            let jobs: HashSet<JobName> = row.jobs.iter().map(|job| JobName(*job)).collect();
            agent.earlier = Some(UnheardRuns::Only(jobs));
            agent.row = RowStand::Unlinked(boot);
        } else {
            agent.earlier = Some(UnheardRuns::Any);
            agent.row = RowStand::Stored(boot);
        }
    }

    /// What agents that were not heard may still run of earlier terms.
    pub fn unheard(&self) -> UnheardRuns {
        let mut all = HashSet::new();
        for agent in self.agents.values() {
            match &agent.earlier {
                Some(UnheardRuns::Any) => return UnheardRuns::Any,
                Some(UnheardRuns::Only(jobs)) => all.extend(jobs),
                None => {}
            }
        }
        UnheardRuns::Only(all)
    }

    /// How many agents may run something of earlier terms and were not heard.
    pub fn unheard_agents(&self) -> usize {
        let agents = self.agents.values();
        agents.filter(|agent| agent.earlier.is_some()).count()
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
        let agent = self
            .agents
            .entry(node.into())
            .or_insert_with(|| AgentLife::new(now));
        // An owner before, or an earlier link, may have granted until now. Without this bound what ran on
        // the worker counted as lapsed at once if the link broke before the first grant on it.
        agent.grant_end = agent.grant_end.max(now + spans.grant);
        // Until its worker's runs are told on this link, those of the link before count.
        if agent.lapse_at.is_none() && agent.worker.is_some() {
            agent.lapse_at = Some(agent.grant_end + spans.lapse_after_grant());
        }
        agent.link = link;
        agent.outbox = Some(outbox.clone());
        agent.worker.as_ref().map(|(key, _)| *key)
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
        let agent = self
            .agents
            .get_mut(node)
            .filter(|agent| agent.link == link)?;
        agent.outbox = None;
        agent.link = 0;
        agent.unlinked_at = now;
        if !agent.may_run_any() {
            // No order was given, so that there is nothing to wait for: neither here nor after the
            // next takeover. Waiting for such an agent held up lasting tasks for 11.8 s.
            if agent.row != RowStand::Absent {
                self.notes.insert(node.into(), AgentNote::Gone);
            }
            self.agents.remove(node);
            return Some(None);
        }
        let lapse_at = agent.grant_end + spans.lapse_after_grant();
        agent.lapse_at.get_or_insert(lapse_at);
        Some(agent.worker.as_ref().map(|(key, _)| *key))
    }

    /// Whether a link is the agent's newest.
    pub fn is_current(&self, node: &str, link: u64) -> bool {
        self.agents
            .get(node)
            .is_some_and(|agent| agent.link == link)
    }

    /// Notes that the agent's authority reaches until `end`.
    pub fn granted(&mut self, node: &str, end: TimePoint) {
        if let Some(agent) = self.agents.get_mut(node) {
            agent.grant_end = agent.grant_end.max(end);
        }
    }

    /// Whether the store knows that the worker may be given orders; asks for it to be told if not.
    pub fn ask_row(&mut self, node: &str, boot: &BootId) -> bool {
        let Some(agent) = self.agents.get_mut(node) else {
            return true;
        };
        match &agent.row {
            RowStand::Stored(known) if known == boot => true,
            RowStand::Queued(known) if known == boot => false,
            _ => {
                agent.row = RowStand::Queued(boot.clone());
                let note = AgentNote::Linked { boot: boot.clone() };
                self.notes.insert(node.into(), note);
                false
            }
        }
    }

    /// The runs of the agent's worker were compared: nothing of earlier terms is unheard there.
    /// Returns the worker that was known before.
    pub fn compared(
        &mut self,
        node: &str,
        worker: WorkerKey,
        boot: &BootId,
    ) -> Option<(WorkerKey, BootId)> {
        let agent = self.agents.get_mut(node)?;
        agent.lapse_at = None;
        agent.earlier = None;
        agent.worker.replace((worker, boot.clone()))
    }

    /// The worker of an agent, if its runs were compared in this term.
    pub fn worker(&self, node: &str) -> Option<(WorkerKey, BootId)> {
        self.agents.get(node)?.worker.clone()
    }

    /// The agent says that nothing runs on a worker any more; returns it if it was known.
    pub fn worker_gone(&mut self, node: &str, boot: &BootId) -> Option<WorkerKey> {
        let agent = self.agents.get_mut(node)?;
        let key = agent.worker.take_if(|(_, known)| known == boot);
        let was_unheard = agent.earlier.is_some() && agent.row.boot() == Some(boot);
        if key.is_some() || was_unheard {
            agent.earlier = None;
            agent.lapse_at = None;
            agent.row = RowStand::Absent;
            // The next owner need not wait for this agent.
            self.notes.insert(node.into(), AgentNote::Gone);
        }
        key.map(|(key, _)| key)
    }

    /// A boot of a worker is dead for good, whoever says so; returns its agent if it was waited for.
    pub fn boot_dead(&mut self, boot: &BootId) -> Option<Box<str>> {
        if boot.worker_id().is_empty() {
            // Rows of older versions name no worker.
            return None;
        }
        let unheard = self
            .agents
            .iter()
            .find(|(_, agent)| agent.earlier.is_some() && agent.row.boot() == Some(boot));
        let node = unheard.map(|(node, _)| node.clone())?;
        self.worker_gone(&node, boot);
        if self
            .agents
            .get(&node)
            .is_some_and(|agent| agent.outbox.is_none())
        {
            self.agents.remove(&node);
        }
        Some(node)
    }

    /// Takes out agents of which nothing was heard until all their leases had lapsed.
    ///
    /// That counts only once the store has confirmed the term after the lapse: until then another
    /// owner may have heard the agent and extended its leases.
    pub fn drop_lapsed(&mut self, now: TimePoint, confirmed: TimePoint) -> LapsedAgents {
        let mut lapsed = LapsedAgents::default();
        let notes = &mut self.notes;
        self.agents.retain(|node, agent| {
            if agent.lapse_at.is_none_or(|at| now < at || confirmed < at) {
                return true;
            }
            agent.lapse_at = None;
            agent.earlier = None;
            lapsed.nodes.push(node.clone());
            lapsed
                .workers
                .extend(agent.worker.take().map(|(key, _)| key));
            if agent.outbox.is_some() {
                return true;
            }
            notes.insert(node.clone(), AgentNote::Gone);
            false
        });
        lapsed
    }

    /// Agents whose link has been gone for a while: the store is told what may run there, so that the
    /// next owner holds back nothing else. `jobs_on` names the jobs with a run on a worker.
    pub fn note_unlinked(
        &mut self,
        now: TimePoint,
        jobs_on: impl Fn(WorkerKey) -> BTreeSet<JobName>,
    ) {
        for (node, agent) in &mut self.agents {
            let is_away = agent.outbox.is_none() && now.since(agent.unlinked_at) >= UNLINKED_AFTER;
            let Some((key, boot)) = agent.worker.as_ref().filter(|_| is_away) else {
                continue;
            };
            if !matches!(agent.row, RowStand::Stored(_)) {
                continue;
            }
            agent.row = RowStand::Unlinked(boot.clone());
            let note = AgentNote::Unlinked {
                boot: boot.clone(),
                jobs: jobs_on(*key),
            };
            self.notes.insert(node.clone(), note);
        }
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
            if let Some(agent) = self.agents.get_mut(node)
                && agent.row == RowStand::Queued(boot.clone())
            {
                agent.row = RowStand::Stored(boot.clone());
            }
        }
    }

    /// The queue towards a worker, if its agent is linked and its runs were compared on this link: an
    /// order by an older view could undo what the agent has yet to tell.
    pub fn outbox(&self, worker: WorkerKey) -> Option<&UnboundedSender<PoolBody>> {
        let agent = self.agents.values().find(|agent| {
            let known = agent.worker.as_ref().is_some_and(|(key, _)| *key == worker);
            known && agent.lapse_at.is_none()
        })?;
        agent.outbox.as_ref()
    }

    /// The boot of a worker.
    pub fn boot(&self, worker: WorkerKey) -> Option<&BootId> {
        let mut workers = self
            .agents
            .values()
            .filter_map(|agent| agent.worker.as_ref());
        workers
            .find(|(key, _)| *key == worker)
            .map(|(_, boot)| boot)
    }

    /// The pause between two heartbeats of each agent.
    pub fn period(&self) -> Duration {
        agent_period(self.agents.len())
    }

    /// The queues towards all agents that are linked.
    pub fn outboxes(&self) -> impl Iterator<Item = &UnboundedSender<PoolBody>> {
        self.agents
            .values()
            .filter_map(|agent| agent.outbox.as_ref())
    }
}
