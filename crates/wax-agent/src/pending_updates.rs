//! Run updates for the owner: ends are sent at once, progress with the next heartbeat.
//!
//! Each message of each agent wakes the owner, so updates that can wait are sent together with
//! messages that have to be sent.

use std::collections::BTreeMap;
use wax_batch::{RunId, RunReport};
use wax_wire::{RunEndFrame, RunIdFrame, RunReportFrame, RunUpdates};

/// Updates of one boot's runs that wait for the next heartbeat.
#[derive(Debug, Default)]
pub struct PendingUpdates {
    started: Vec<RunId>,
    progressed: BTreeMap<RunId, RunReport>,
}

impl PendingUpdates {
    /// Adds that the worker has started a run.
    pub fn note_started(&mut self, run_id: RunId) {
        self.started.push(run_id);
    }

    /// Adds progress of a run, which replaces an earlier report of the same run.
    pub fn note_progress(&mut self, report: RunReport) {
        self.progressed.insert(report.run_id, report);
    }

    /// Drops all updates, since the owner gets the worker's full run list.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Adds the pending updates to a message that is sent now. Runs that the message reports as
    /// ended or refused are left out: the owner would take their earlier progress for that of a
    /// running run.
    pub fn merge_into(&mut self, mut updates: RunUpdates) -> RunUpdates {
        let refused = updates.refused.iter().map(|refusal| refusal.decode().0);
        let ended_runs = updates.ends.iter().map(RunEndFrame::run_id);
        let ended_ids: Vec<RunId> = refused.chain(ended_runs).collect();
        let pending = std::mem::take(self);
        let started = pending
            .started
            .iter()
            .filter(|run_id| !ended_ids.contains(run_id));
        updates
            .started
            .extend(started.map(|run_id| RunIdFrame::from(*run_id)));
        let progressed = pending.progressed.values();
        let progressed = progressed.filter(|report| !ended_ids.contains(&report.run_id));
        updates.running.extend(progressed.map(RunReportFrame::from));
        updates
    }

    /// Takes the pending updates as a message; `None` if there are none.
    pub fn take(&mut self) -> Option<RunUpdates> {
        let is_empty = self.started.is_empty() && self.progressed.is_empty();
        (!is_empty).then(|| self.merge_into(RunUpdates::default()))
    }
}
