//! What the owner is told of runs: ends at once, progress with the next heartbeat.
//!
//! An owner wakes up for each message of each agent, so that what can wait goes with what must be sent.

use std::collections::BTreeMap;
use wax_batch::{RunMark, RunReport};
use wax_wire::{EndFrame, MarkFrame, ReportFrame, RunNews};

/// News of one boot's runs that wait for the next heartbeat.
#[derive(Debug, Default)]
pub struct PendingUpdates {
    started: Vec<RunMark>,
    progressed: BTreeMap<RunMark, RunReport>,
}

impl PendingUpdates {
    /// The worker has begun a run.
    pub fn note_started(&mut self, run_id: RunMark) {
        self.started.push(run_id);
    }

    /// A run goes on; a later report of it takes the place of this one.
    pub fn note_progress(&mut self, report: RunReport) {
        self.progressed.insert(report.mark, report);
    }

    /// Drops all: the owner is told the worker's whole list.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Adds what was gathered to news that go out now. A run that ends or never began is left out: the owner
    /// would take its earlier progress for a run that goes on.
    pub fn merge_into(&mut self, mut updates: RunNews) -> RunNews {
        let refused = updates.refused.iter().map(|refusal| refusal.decode().0);
        let ended_runs = updates.ends.iter().map(EndFrame::run_mark);
        let ended_ids: Vec<RunMark> = refused.chain(ended_runs).collect();
        let pending = std::mem::take(self);
        let started = pending
            .started
            .iter()
            .filter(|run_id| !ended_ids.contains(run_id));
        updates
            .started
            .extend(started.map(|run_id| MarkFrame::from(*run_id)));
        let progressed = pending.progressed.values();
        let progressed = progressed.filter(|report| !ended_ids.contains(&report.mark));
        updates.going.extend(progressed.map(ReportFrame::from));
        updates
    }

    /// Takes what was gathered, if there is anything.
    pub fn take(&mut self) -> Option<RunNews> {
        let is_empty = self.started.is_empty() && self.progressed.is_empty();
        (!is_empty).then(|| self.merge_into(RunNews::default()))
    }
}
