//! The fronts of a term: their ranks as candidates for ownership and the versions of their configs.

use crate::candidates::{Candidate, CandidateRank, OwnerFitness, rank_candidates};
use crate::ended_boots::EndedBoots;
use futures_channel::mpsc::UnboundedSender;
use std::collections::HashMap;
use std::time::Duration;
use wax_policy::is_early_candidate;
use wax_types::TimePoint;
use wax_wire::{BootsEnded, PoolBody};

/// What the owner keeps of a linked front.
#[derive(Debug)]
pub struct FrontRecord {
    /// Number of the front's link.
    pub(crate) link: u64,
    pub(crate) outbox: UnboundedSender<PoolBody>,
    pub(crate) fitness: OwnerFitness,
    /// Whether the front cannot reach the store.
    pub(crate) store_lost: bool,
    pub(crate) last_heartbeat_at: TimePoint,
    /// Since when the front has had an older config than the owner.
    pub(crate) outdated_since: Option<TimePoint>,
    /// Version of the config that was last sent to the front.
    pub(crate) config_sent: u64,
    /// How many of the recorded ended boots the front has received.
    pub(crate) ended_boots_sent: u64,
    /// Rank of the front at the last ranking; `u32::MAX` before the first.
    pub(crate) rank: u32,
}

/// A front reads its config from the store itself. The owner sends the config, which may occupy a
/// slow link for seconds, only to a front that has been outdated for this long.
const CONFIG_PUSH_DELAY: Duration = Duration::from_millis(600);

/// Largest number of ended boots in one message, which takes some kilobytes.
const MAX_BOOTS_PER_MESSAGE: usize = 256;

impl FrontRecord {
    /// Creates the record of a front that has just linked and knows the first `ended_boots_sent`
    /// ended boots.
    pub fn new(
        link: u64,
        outbox: UnboundedSender<PoolBody>,
        ended_boots_sent: u64,
        now: TimePoint,
    ) -> Self {
        Self {
            link,
            outbox,
            fitness: OwnerFitness::default(),
            store_lost: false,
            last_heartbeat_at: now,
            outdated_since: None,
            config_sent: 0,
            ended_boots_sent,
            rank: u32::MAX,
        }
    }

    /// Records what a heartbeat reports of the front.
    pub fn record_heartbeat(&mut self, fitness: OwnerFitness, store_lost: bool, now: TimePoint) {
        self.fitness = fitness;
        self.store_lost = store_lost;
        self.last_heartbeat_at = now;
    }

    /// Returns whether to send the config to the front, and counts it as sent if so.
    /// `front_version` is the config that the front has, `owner_version` that of the owner.
    pub fn should_push_config(
        &mut self,
        front_version: u64,
        owner_version: u64,
        now: TimePoint,
    ) -> bool {
        if front_version >= owner_version {
            self.outdated_since = None;
            return false;
        }
        let since = *self.outdated_since.get_or_insert(now);
        let is_due = now.since(since) >= CONFIG_PUSH_DELAY && self.config_sent < owner_version;
        if is_due {
            self.config_sent = owner_version;
        }
        is_due
    }

    /// Returns the next ended boots that the front has not received, up to the limit of one
    /// message.
    fn next_ended_boots(&mut self, ended_boots: &EndedBoots) -> Option<BootsEnded> {
        let message =
            BootsEnded::new(ended_boots.after(self.ended_boots_sent, MAX_BOOTS_PER_MESSAGE));
        self.ended_boots_sent = ended_boots
            .count()
            .min(self.ended_boots_sent + message.boots.len() as u64);
        (!message.boots.is_empty()).then_some(message)
    }

    pub(crate) fn candidate<'a>(&self, node: &'a str) -> Candidate<'a> {
        Candidate {
            node,
            fitness: self.fitness,
            store_lost: self.store_lost,
            last_heartbeat_at: self.last_heartbeat_at,
        }
    }
}

/// Age at which the ranking of all fronts is renewed. A stale rank is harmless, because it only
/// decides which front tries first.
const RANK_PERIOD: Duration = Duration::from_millis(200);

/// The fronts that are linked to the owner.
#[derive(Debug, Default)]
pub struct FrontRoster {
    records: HashMap<Box<str>, FrontRecord>,
    ranked_at: Option<TimePoint>,
    best_fitness: OwnerFitness,
    /// Number of fronts processed by rankings.
    ranked: u64,
    /// Fronts that go first at a takeover, and fronts that have not been ranked yet.
    early_candidates: Vec<Box<str>>,
}

impl FrontRoster {
    /// Adds a front's new link in place of an earlier one.
    pub fn insert(&mut self, node: &str, front: FrontRecord) {
        self.early_candidates.push(node.into());
        self.records.insert(node.into(), front);
    }

    /// Removes a front whose link has ended, unless the front has a newer link.
    pub fn remove(&mut self, node: &str, link: u64) {
        if self
            .records
            .get(node)
            .is_some_and(|front| front.link == link)
        {
            self.records.remove(node);
        }
    }

    /// Returns a linked front.
    pub fn get_mut(&mut self, node: &str) -> Option<&mut FrontRecord> {
        self.records.get_mut(node)
    }

    /// Returns all linked fronts.
    pub(crate) fn values(&self) -> impl Iterator<Item = &FrontRecord> {
        self.records.values()
    }

    /// Returns whether no front is linked.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the number of linked fronts.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns all linked fronts as candidates.
    pub(crate) fn candidates(&self) -> impl Iterator<Item = Candidate<'_>> {
        let records = self.records.iter();
        records.map(|(node, front)| front.candidate(node))
    }

    /// Returns the number of fronts processed by rankings since the last call.
    pub fn take_ranked(&mut self) -> u64 {
        std::mem::take(&mut self.ranked)
    }

    /// Sends new ended boots to the fronts that may take over next; returns the number of messages.
    /// If all fronts were notified, the cost of restarting all workers would grow with the square
    /// of the pool's size.
    pub fn notify_early_candidates(&mut self, ended_boots: &EndedBoots) -> usize {
        let mut messages = 0;
        for node in &self.early_candidates {
            let Some(front) = self.records.get_mut(node) else {
                continue;
            };
            while let Some(message) = front.next_ended_boots(ended_boots) {
                messages += 1;
                // If the link has just closed, the message is lost, and this front would wait for
                // leases to expire after a takeover.
                let _ = front.outbox.unbounded_send(PoolBody::BootsEnded(message));
            }
        }
        messages
    }

    /// Returns the rank of a front as a candidate for ownership.
    pub fn rank(&mut self, node: &str, now: TimePoint) -> CandidateRank {
        if self.ranked_at.is_none_or(|at| now.since(at) >= RANK_PERIOD) {
            self.update_ranks(now);
        }
        let front = self.records.get(node);
        CandidateRank {
            rank: front.map_or(u32::MAX, |front| front.rank),
            best_fitness: self
                .best_fitness
                .max(front.map_or(self.best_fitness, |front| front.fitness)),
        }
    }

    fn update_ranks(&mut self, now: TimePoint) {
        self.ranked_at = Some(now);
        self.ranked += self.records.len() as u64;
        let ranked = rank_candidates(self.candidates());
        let names: Vec<Box<str>> = ranked.iter().map(|front| front.node.into()).collect();
        self.best_fitness = ranked
            .iter()
            .map(|front| front.fitness)
            .max()
            .unwrap_or_default();
        for (rank, node) in (0..).zip(&names) {
            if let Some(front) = self.records.get_mut(node) {
                front.rank = rank;
            }
        }
        let early_candidates = (0..)
            .zip(names)
            .take_while(|(rank, _)| is_early_candidate(*rank));
        self.early_candidates = early_candidates.map(|(_, node)| node).collect();
    }
}
