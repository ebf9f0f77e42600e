//! Recent crashes of the worker, which are sent again to each new owner.

use std::collections::VecDeque;
use std::time::Duration;
use wax_batch::{BootId, LostRun, WorkerState, WorkerView};
use wax_types::TimePoint;
use wax_wire::BootCrashed;

/// How long a crash is sent on each new link. If an owner ends before it has stored the crash, the
/// next owner takes over within this time.
const REPORT_PERIOD: Duration = Duration::from_secs(10);
/// Number of crashes that are kept. No more happen within `REPORT_PERIOD`, even if the worker
/// restarts at once each time.
const MAX_CRASHES: usize = 8;

/// The runs on boots that crashed recently, and on a boot whose leases have expired, since it may
/// have crashed.
#[derive(Debug, Default)]
pub struct CrashLog {
    expired: Option<(BootId, Vec<LostRun>)>,
    crashes: VecDeque<(TimePoint, BootCrashed)>,
}

impl CrashLog {
    /// Records that the leases of a boot have expired. If the next active boot is another one,
    /// this boot counts as crashed.
    pub fn note_expired(&mut self, view: &WorkerView, runs: Vec<LostRun>) {
        if view.state != WorkerState::Draining {
            self.expired = Some((view.boot.clone(), runs));
        }
    }

    /// Records the new active boot. Returns the crash of the boot whose leases had expired, if that
    /// was another boot.
    pub fn note_active(&mut self, boot: &BootId, now: TimePoint) -> Option<BootCrashed> {
        let (expired, runs) = self.expired.take()?;
        (!expired.may_match(boot)).then(|| self.record(&expired, &runs, now))
    }

    /// Records that a boot has announced its end: it has not crashed.
    pub fn note_left(&mut self, boot: &BootId) {
        self.expired.take_if(|(expired, _)| expired.may_match(boot));
    }

    /// Records that the active boot has ended. Returns its crash, unless the boot was draining.
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

    /// Returns the crashes that a new owner gets: the former owner may not have stored them.
    pub fn recent(&self, now: TimePoint) -> impl Iterator<Item = &BootCrashed> {
        let crashes = self.crashes.iter();
        let recent = crashes.filter(move |(at, _)| now.since(*at) < REPORT_PERIOD);
        recent.map(|(_, crash)| crash)
    }
}
