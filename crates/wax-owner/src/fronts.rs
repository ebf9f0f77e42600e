//! The fronts of a term: how well each would own the shard, and which config it has.

use crate::candidates::{Candidate, CandidateRank, OwnerFitness, rank_all};
use futures_channel::mpsc::UnboundedSender;
use std::collections::HashMap;
use std::time::Duration;
use wax_types::TimePoint;
use wax_wire::PoolBody;

/// A front that is linked to the owner.
#[derive(Debug)]
pub(crate) struct FrontLife {
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
    /// Its turn at the next takeover, by the last ranking; a new one goes last.
    pub(crate) rank: u32,
}

/// A front follows the store itself: only one that stays behind for this long is sent the config. At
/// each heartbeat, 1,400 routes took 0.3 MB to each of 35 fronts, seconds of a small link.
const CONFIG_PATIENCE: Duration = Duration::from_millis(600);

impl FrontLife {
    /// Whether the front is to be sent the config: it has `theirs`, the owner `ours`.
    pub(crate) fn is_due(&mut self, theirs: u64, ours: u64, now: TimePoint) -> bool {
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
pub(crate) struct FrontRoster {
    lives: HashMap<Box<str>, FrontLife>,
    ranked_at: Option<TimePoint>,
    best: OwnerFitness,
}

impl FrontRoster {
    /// Takes a new link of a front, in place of an earlier one.
    pub(crate) fn insert(&mut self, node: &str, life: FrontLife) {
        self.lives.insert(node.into(), life);
    }

    /// A link has ended; a newer one of the same front stays.
    pub(crate) fn remove(&mut self, node: &str, link: u64) {
        if self.lives.get(node).is_some_and(|front| front.link == link) {
            self.lives.remove(node);
        }
    }

    pub(crate) fn get_mut(&mut self, node: &str) -> Option<&mut FrontLife> {
        self.lives.get_mut(node)
    }

    pub(crate) fn values(&self) -> impl Iterator<Item = &FrontLife> {
        self.lives.values()
    }

    pub(crate) fn len(&self) -> usize {
        self.lives.len()
    }

    pub(crate) fn candidates(&self) -> impl Iterator<Item = Candidate<'_>> {
        let lives = self.lives.iter();
        lives.map(|(node, front)| front.candidate(node))
    }

    /// The turn of a front at the next takeover.
    pub(crate) fn rank(&mut self, node: &str, now: TimePoint) -> CandidateRank {
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
        let ranked = rank_all(self.candidates());
        let names: Vec<Box<str>> = ranked.iter().map(|front| front.node.into()).collect();
        self.best = ranked
            .iter()
            .map(|front| front.fitness)
            .max()
            .unwrap_or_default();
        for (rank, node) in (0..).zip(names) {
            if let Some(front) = self.lives.get_mut(&node) {
                front.rank = rank;
            }
        }
    }
}
