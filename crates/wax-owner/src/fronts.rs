//! The fronts of a term: how well each would own the shard, and which config it has.

use crate::candidates::{Candidate, CandidateRank, OwnerFitness, rank_all};
use crate::gone::GoneBoots;
use futures_channel::mpsc::UnboundedSender;
use std::collections::HashMap;
use std::time::Duration;
use wax_policy::is_watcher;
use wax_types::TimePoint;
use wax_wire::{BootsEnded, PoolBody};

/// A front that is linked to the owner.
#[derive(Debug)]
pub struct FrontLife {
    /// The number of its link.
    pub(crate) link: u64,
    pub(crate) outbox: UnboundedSender<PoolBody>,
    pub(crate) fitness: OwnerFitness,
    /// Whether the store turns it away.
    pub(crate) store_lost: bool,
    pub(crate) heard_at: TimePoint,
    /// Since when it has an older config than the owner.
    pub(crate) behind_since: Option<TimePoint>,
    /// The version of the config that it was sent last.
    pub(crate) config_sent: u64,
    /// How many of the dead boots it has been told.
    pub(crate) dead_told: u64,
    /// Its turn at the next takeover, by the last ranking; a new one goes last.
    pub(crate) rank: u32,
}

/// A front follows the store itself: only one that stays behind for this long is sent the config, which may take
/// seconds of a small link.
const CONFIG_PATIENCE: Duration = Duration::from_millis(600);

/// Dead boots that one message names: some kilobytes.
const MOST_DEAD_TOLD: usize = 256;

impl FrontLife {
    /// A front that has just linked, and knows the first `dead_told` of the dead boots.
    pub fn new(
        link: u64,
        outbox: UnboundedSender<PoolBody>,
        dead_told: u64,
        now: TimePoint,
    ) -> Self {
        Self {
            link,
            outbox,
            fitness: OwnerFitness::default(),
            store_lost: false,
            heard_at: now,
            behind_since: None,
            config_sent: 0,
            dead_told,
            rank: u32::MAX,
        }
    }

    /// Takes what a heartbeat says of the front.
    pub fn heard(&mut self, fitness: OwnerFitness, store_lost: bool, now: TimePoint) {
        self.fitness = fitness;
        self.store_lost = store_lost;
        self.heard_at = now;
    }

    /// Whether the front is to be sent the config: it has `theirs`, the owner `ours`.
    pub fn is_due(&mut self, theirs: u64, ours: u64, now: TimePoint) -> bool {
        if theirs >= ours {
            self.behind_since = None;
            return false;
        }
        let since = *self.behind_since.get_or_insert(now);
        let is_due = now.since(since) >= CONFIG_PATIENCE && self.config_sent < ours;
        if is_due {
            self.config_sent = ours;
        }
        is_due
    }

    /// The dead boots that the front was not told yet, some kilobytes of them.
    fn dead_news(&mut self, gone: &GoneBoots) -> Option<BootsEnded> {
        let news = BootsEnded::new(gone.after(self.dead_told, MOST_DEAD_TOLD));
        self.dead_told = gone.count().min(self.dead_told + news.boots.len() as u64);
        (!news.boots.is_empty()).then_some(news)
    }

    pub(crate) fn candidate<'a>(&self, node: &'a str) -> Candidate<'a> {
        Candidate {
            node,
            fitness: self.fitness,
            store_lost: self.store_lost,
            heard_at: self.heard_at,
        }
    }
}

/// All fronts are ranked anew after this: a rank decides only who tries first.
const RANK_PERIOD: Duration = Duration::from_millis(200);

/// The fronts that are linked.
#[derive(Debug, Default)]
pub struct FrontRoster {
    lives: HashMap<Box<str>, FrontLife>,
    ranked_at: Option<TimePoint>,
    best: OwnerFitness,
    /// How many fronts rankings have gone through.
    ranked: u64,
    /// The fronts that go first at a takeover, and those that were not ranked yet.
    watchers: Vec<Box<str>>,
}

impl FrontRoster {
    /// Takes a new link of a front, in place of an earlier one.
    pub fn insert(&mut self, node: &str, life: FrontLife) {
        self.watchers.push(node.into());
        self.lives.insert(node.into(), life);
    }

    /// A link has ended; a newer one of the same front stays.
    pub fn remove(&mut self, node: &str, link: u64) {
        if self.lives.get(node).is_some_and(|front| front.link == link) {
            self.lives.remove(node);
        }
    }

    /// A front that is linked.
    pub fn get_mut(&mut self, node: &str) -> Option<&mut FrontLife> {
        self.lives.get_mut(node)
    }

    /// All fronts.
    pub(crate) fn values(&self) -> impl Iterator<Item = &FrontLife> {
        self.lives.values()
    }

    /// Whether no front is linked.
    pub fn is_empty(&self) -> bool {
        self.lives.is_empty()
    }

    /// How many fronts are linked.
    pub fn len(&self) -> usize {
        self.lives.len()
    }

    /// All fronts, as candidates.
    pub(crate) fn candidates(&self) -> impl Iterator<Item = Candidate<'_>> {
        let lives = self.lives.iter();
        lives.map(|(node, front)| front.candidate(node))
    }

    /// How many fronts rankings have gone through since the last call.
    pub fn take_ranked(&mut self) -> u64 {
        std::mem::take(&mut self.ranked)
    }

    /// Tells the fronts that may take over next which boots are dead; returns how many messages that took. All
    /// fronts would make a release of all workers cost the square of the pool.
    pub fn tell_watchers(&mut self, gone: &GoneBoots) -> usize {
        let mut messages = 0;
        for node in &self.watchers {
            let Some(front) = self.lives.get_mut(node) else {
                continue;
            };
            while let Some(news) = front.dead_news(gone) {
                messages += 1;
                // A link that has just closed is replaced; the next owner then waits for leases instead.
                let _ = front.outbox.unbounded_send(PoolBody::BootsEnded(news));
            }
        }
        messages
    }

    /// The turn of a front at the next takeover.
    pub fn rank(&mut self, node: &str, now: TimePoint) -> CandidateRank {
        if self.ranked_at.is_none_or(|at| now.since(at) >= RANK_PERIOD) {
            self.rank_again(now);
        }
        let front = self.lives.get(node);
        CandidateRank {
            rank: front.map_or(u32::MAX, |front| front.rank),
            best: self
                .best
                .max(front.map_or(self.best, |front| front.fitness)),
        }
    }

    fn rank_again(&mut self, now: TimePoint) {
        self.ranked_at = Some(now);
        self.ranked += self.lives.len() as u64;
        let ranked = rank_all(self.candidates());
        let names: Vec<Box<str>> = ranked.iter().map(|front| front.node.into()).collect();
        self.best = ranked
            .iter()
            .map(|front| front.fitness)
            .max()
            .unwrap_or_default();
        for (rank, node) in (0..).zip(&names) {
            if let Some(front) = self.lives.get_mut(node) {
                front.rank = rank;
            }
        }
        let watchers = (0..).zip(names).take_while(|(rank, _)| is_watcher(*rank));
        self.watchers = watchers.map(|(_, node)| node).collect();
    }
}
