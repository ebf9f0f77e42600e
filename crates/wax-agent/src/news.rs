//! What the owner is told of runs: ends at once, progress with the next heartbeat.
//!
//! An owner wakes up for each message of each agent, so that what can wait goes with what must be sent.

use std::collections::BTreeMap;
use wax_batch::{RunId, RunReport};
use wax_wire::{RunEndFrame, RunIdFrame, RunReportFrame, RunUpdates};

/// News of one boot's runs that wait for the next heartbeat.
#[derive(Debug, Default)]
pub struct GatheredNews {
    started: Vec<RunId>,
    going: BTreeMap<RunId, RunReport>,
}

impl GatheredNews {
    /// The worker has begun a run.
    pub fn note_started(&mut self, mark: RunId) {
        self.started.push(mark);
    }

    /// A run goes on; a later report of it takes the place of this one.
    pub fn note_going(&mut self, report: RunReport) {
        self.going.insert(report.run_id, report);
    }

    /// Drops all: the owner is told the worker's whole list.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Adds what was gathered to news that go out now. A run that ends or never began is left out: the owner
    /// would take its earlier progress for a run that goes on.
    pub fn complete(&mut self, mut news: RunUpdates) -> RunUpdates {
        let refused = news.refused.iter().map(|refusal| refusal.decode().0);
        let ended = news.ends.iter().map(RunEndFrame::run_id);
        let over: Vec<RunId> = refused.chain(ended).collect();
        let gathered = std::mem::take(self);
        let started = gathered.started.iter().filter(|mark| !over.contains(mark));
        news.started
            .extend(started.map(|mark| RunIdFrame::from(*mark)));
        let going = gathered.going.values();
        let going = going.filter(|report| !over.contains(&report.run_id));
        news.running.extend(going.map(RunReportFrame::from));
        news
    }

    /// Takes what was gathered, if there is anything.
    pub fn take(&mut self) -> Option<RunUpdates> {
        let is_empty = self.started.is_empty() && self.going.is_empty();
        (!is_empty).then(|| self.complete(RunUpdates::default()))
    }
}
