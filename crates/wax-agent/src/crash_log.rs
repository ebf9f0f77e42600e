//! Crashes of the worker that owners may not have heard of.

use std::collections::VecDeque;
use std::time::Duration;
use wax_batch::{BootId, LostRun, WorkerState, WorkerView};
use wax_types::TimePoint;
use wax_wire::BootCrashed;

/// A crash is told on new links for so long: an owner that ends while it is told is replaced sooner.
const REPORT_PERIOD: Duration = Duration::from_secs(10);
/// Crashes that are kept: more do not happen within that time, even if a worker is back at once.
const MAX_CRASHES: usize = 8;

/// What ran on boots that crashed lately, and on one whose leases have lapsed: that may have crashed.
#[derive(Debug, Default)]
pub struct CrashLog {
    expired: Option<(BootId, Vec<LostRun>)>,
    crashes: VecDeque<(TimePoint, BootCrashed)>,
}

impl CrashLog {
    /// The leases of a boot have lapsed; whether it crashed shows once another one checks in.
    pub fn note_expired(&mut self, view: &WorkerView, runs: Vec<LostRun>) {
        if view.state != WorkerState::Draining {
            self.expired = Some((view.boot.clone(), runs));
        }
    }

    /// A boot is driven from now on; returns the crash of the one that lapsed before, if that was another.
    pub fn note_active(&mut self, boot: &BootId, now: TimePoint) -> Option<BootCrashed> {
        let (expired, runs) = self.expired.take()?;
        (!expired.may_be(boot)).then(|| self.record(&expired, &runs, now))
    }

    /// A boot has said that it ends.
    pub fn note_left(&mut self, boot: &BootId) {
        self.expired.take_if(|(expired, _)| expired.may_be(boot));
    }

    /// A boot has ended while it was driven; returns its crash, if it did not say that it would end.
    pub fn note_ended(
        &mut self,
        view: &WorkerView,
        runs: &[LostRun],
        now: TimePoint,
    ) -> Option<BootCrashed> {
        (view.state != WorkerState::Draining).then(|| self.record(&view.boot, runs, now))
    }

    fn record(&mut self, boot: &BootId, runs: &[LostRun], now: TimePoint) -> BootCrashed {
        let crash = BootCrashed {
            worker: boot.worker_id().into(),
            runs: runs.iter().map(Into::into).collect(),
            started_ms: boot.started_ms(),
        };
        self.crashes.push_back((now, crash.clone()));
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.pop_front();
        }
        crash
    }

    /// What a new owner is told: crashes that the one before may not have written down.
    pub fn recent(&self, now: TimePoint) -> impl Iterator<Item = &BootCrashed> {
        let crashes = self.crashes.iter();
        let recent = crashes.filter(move |(at, _)| now.since(*at) < REPORT_PERIOD);
        recent.map(|(_, crash)| crash)
    }
}
