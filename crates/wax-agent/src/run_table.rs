//! All runs that are running on the worker, are being stopped there, or may still start.

use crate::pace::{PaceControl, PaceSample, ServingSample};
use std::collections::HashMap;
use std::time::Duration;
use wax_batch::{
    EndPage, LostRun, RunEnd, RunId, RunReport, StartRefusal, TaskSize, WorkerState, WorkerView,
};
use wax_types::TimePoint;

/// State of a run, by what this process knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunState {
    /// The start was sent and has not been answered.
    Starting,
    /// The worker has started the run.
    Running,
    /// A stop is being sent, and is repeated until the worker answers.
    Stopping,
    /// The worker answered the stop while hold number `hold` was in progress. The run has ended if
    /// a later hold does not list it.
    Stopped {
        /// Number of the hold.
        hold: u64,
    },
}

/// What the agent knows of a run besides its id.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PlacementInfo {
    /// Resources that the run reserves.
    pub reserved: TaskSize,
    /// Processor request in thousandths of a core, whether reserved or not.
    pub cpu_milli: u32,
    /// Whether the run is best-effort: it gets only processor time that long-running tasks leave.
    pub best_effort: bool,
    /// Target for the tail latency in milliseconds; 0 for none.
    pub tail_target_ms: u32,
    /// Name of the image.
    pub image: Box<str>,
}

#[derive(Debug, Clone)]
struct RunEntry {
    placement: Option<PlacementInfo>,
    state: RunState,
    report: RunReport,
    reported_percent: u32,
    reported_checkpoint: Box<str>,
    pace_percent: u32,
    /// When the last pace order was sent, if unanswered calls are sent again.
    pace_sent_at: TimePoint,
    /// Until when an unanswered pace order may still be executed and overwrite a newer one.
    late_pace_until: TimePoint,
    /// When this process sent the start; `None` if an earlier process did.
    start_sent_at: Option<TimePoint>,
    /// Whether a task of this process sends the stop until it is answered.
    is_stop_in_progress: bool,
    /// Until when a further copy of the start may be executed; the default if only one was sent.
    late_start_until: TimePoint,
    /// Whether a hold of this boot has listed the run.
    was_listed: bool,
    /// Whether the last report of the tail latency exceeded its target.
    reported_over_target: bool,
}

/// Changes that the answer to one hold shows and that the owner does not know yet.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HoldUpdates {
    /// Runs that have made progress.
    pub progressed: Vec<RunReport>,
    /// Runs that have ended.
    pub ended: Vec<RunEnd>,
    /// Runs that never started and will not start.
    pub never_started: Vec<RunId>,
    /// Runs of the table for which the worker lists an end with an already processed number. Such
    /// an end is ignored.
    pub skipped_ends: Vec<RunId>,
    /// Whether all ends that the worker had at the hold are known.
    pub has_all_ends: bool,
}

/// The runs on one boot of the worker; admits a new run only if the worker's capacity covers it.
#[derive(Debug, Default)]
pub struct RunTable {
    entries: HashMap<RunId, RunEntry>,
    last_end_number: u64,
    /// Number of the newest hold whose lists were applied.
    last_hold: u64,
}

impl RunTable {
    /// Reserves resources for a run that is about to be started.
    ///
    /// # Errors
    ///
    /// `Stale` if the worker is draining or the run is already in the table; `Room` if the capacity
    /// does not cover the run, or the size of another run is unknown.
    pub fn reserve(
        &mut self,
        run_id: RunId,
        placement: PlacementInfo,
        view: &WorkerView,
        now: TimePoint,
    ) -> Result<(), StartRefusal> {
        if view.state == WorkerState::Draining || self.entries.contains_key(&run_id) {
            return Err(StartRefusal::Stale);
        }
        let Some(reserved) = self.reserved() else {
            return Err(StartRefusal::Room);
        };
        if !placement.reserved.plus(reserved).fits(view.capacity) {
            return Err(StartRefusal::Room);
        }
        let mut entry = RunEntry::new(run_id, Some(placement), RunState::Starting);
        entry.start_sent_at = Some(now);
        self.entries.insert(run_id, entry);
        Ok(())
    }

    /// Returns the sum of all reservations; `None` while the size of a run is unknown.
    pub fn reserved(&self) -> Option<TaskSize> {
        let mut sum = TaskSize::default();
        for entry in self.entries.values() {
            sum = sum.plus(entry.placement.as_ref()?.reserved);
        }
        Some(sum)
    }

    /// Records that the worker has started the run.
    pub fn mark_running(&mut self, run_id: RunId) {
        if let Some(entry) = self.entries.get_mut(&run_id)
            && entry.state == RunState::Starting
        {
            entry.state = RunState::Running;
        }
    }

    /// Removes a run that has ended or was refused; returns whether the table had it.
    pub fn remove(&mut self, run_id: RunId) -> bool {
        self.entries.remove(&run_id).is_some()
    }

    /// Records that a stop is about to be sent; returns whether the table has the run.
    pub fn mark_stopping(&mut self, run_id: RunId) -> bool {
        let Some(entry) = self.entries.get_mut(&run_id) else {
            return false;
        };
        if !matches!(entry.state, RunState::Stopped { .. }) {
            entry.state = RunState::Stopping;
        }
        true
    }

    /// Records that the caller sends the stop until it is answered; returns whether the table has the
    /// run and no other caller does so.
    pub fn begin_stop(&mut self, run_id: RunId) -> bool {
        let entry = self.entries.get_mut(&run_id);
        entry.is_some_and(|entry| !std::mem::replace(&mut entry.is_stop_in_progress, true))
    }

    /// Records that the caller of [`RunTable::begin_stop`] sends no further stop.
    pub fn end_stop(&mut self, run_id: RunId) {
        if let Some(entry) = self.entries.get_mut(&run_id) {
            entry.is_stop_in_progress = false;
        }
    }

    /// Records that the worker answered the stop while hold number `hold` was in progress.
    pub fn mark_stopped(&mut self, run_id: RunId, hold: u64) {
        if let Some(entry) = self.entries.get_mut(&run_id) {
            entry.state = RunState::Stopped { hold };
        }
    }

    /// Returns the state of a run; `None` if the table does not have it.
    pub fn state(&self, run_id: RunId) -> Option<RunState> {
        self.entries.get(&run_id).map(|entry| entry.state)
    }

    /// Sets what the owner knows of a run that an earlier agent process has started.
    pub fn set_placement(&mut self, run_id: RunId, placement: PlacementInfo) {
        if let Some(entry) = self.entries.get_mut(&run_id) {
            entry.placement = Some(placement);
        }
    }

    /// Reconciles the table with the lists of running and ended runs in the answer to hold number
    /// `hold`. The lists of a hold that is older than one already applied are ignored: they may omit
    /// runs that have started since, and list runs whose ends are known. A stopped run counts as
    /// never started only if all ends are listed.
    pub fn reconcile(&mut self, running: &[RunReport], page: &EndPage, hold: u64) -> HoldUpdates {
        let mut updates = HoldUpdates::default();
        if hold < self.last_hold {
            return updates;
        }
        let ended = &page.ends;
        updates.has_all_ends = !page.has_more;
        self.last_hold = hold;
        for entry in self.entries.values_mut() {
            entry.report.confirmed_by_worker = false;
        }
        for report in running {
            let entry = self
                .entries
                .entry(report.run_id)
                .or_insert_with(|| RunEntry::new(report.run_id, None, RunState::Running));
            if entry.state == RunState::Starting {
                entry.state = RunState::Running;
            }
            entry.report = report.clone();
            entry.was_listed = true;
            if entry.has_update() {
                entry.reported_percent = report.percent;
                entry.reported_checkpoint = report.checkpoint.clone();
                updates.progressed.push(report.clone());
            }
        }
        let repeated = ended
            .iter()
            .filter(|end| end.number <= self.last_end_number);
        let repeated = repeated.filter(|end| self.entries.contains_key(&end.run_id));
        updates.skipped_ends = repeated.map(|end| end.run_id).collect();
        for end in ended.iter().filter(|end| end.number > self.last_end_number) {
            self.entries.remove(&end.run_id);
            updates.ended.push(end.clone());
        }
        self.last_end_number = ended
            .iter()
            .map(|end| end.number)
            .fold(self.last_end_number, u64::max);
        // A run with a listed end has started, also if the end's number was already processed.
        let listed = |run_id: &RunId| {
            running.iter().any(|report| report.run_id == *run_id)
                || ended.iter().any(|end| end.run_id == *run_id)
        };
        let omitted: Vec<RunId> = self
            .entries
            .iter()
            .filter(|_| !page.has_more)
            .filter(|(run_id, entry)| entry.was_stopped_before(hold) && !listed(run_id))
            .map(|(run_id, _)| *run_id)
            .collect();
        for run_id in omitted {
            self.entries.remove(&run_id);
            updates.never_started.push(run_id);
        }
        updates
    }

    /// Returns the reports of serving runs whose tail latency exceeds its target by the last hold,
    /// and of those that were returned by the previous call and no longer do.
    pub fn tail_reports(&mut self) -> Vec<RunReport> {
        let mut reports = Vec::new();
        for entry in self.entries.values_mut() {
            let target =
                entry
                    .placement
                    .as_ref()
                    .map_or(0, |placement| match placement.best_effort {
                        true => 0,
                        false => placement.tail_target_ms,
                    });
            let is_over = target > 0
                && entry.state == RunState::Running
                && entry.report.percent == 100
                && entry.report.load_metric > target;
            if is_over || entry.reported_over_target {
                reports.push(entry.report.clone());
            }
            entry.reported_over_target = is_over;
        }
        reports
    }

    /// Returns the last reports of all runs, for the owner's reconciliation.
    pub fn reports(&self) -> Vec<RunReport> {
        self.entries
            .values()
            .map(|entry| entry.report.clone())
            .collect()
    }

    /// Returns the ids of all runs.
    pub fn run_ids(&self) -> impl Iterator<Item = RunId> {
        self.entries.keys().copied()
    }

    /// Returns all runs as lost, with the time that each is known to have run: from its start to
    /// `answered_at`, when the worker answered last.
    pub fn lost_runs(&self, answered_at: TimePoint) -> Vec<LostRun> {
        let entries = self.entries.iter();
        let lost = entries.map(|(run_id, entry)| LostRun {
            run_id: *run_id,
            min_run_time: entry
                .start_sent_at
                .map(|sent_at| answered_at.since(sent_at)),
        });
        lost.collect()
    }

    /// Records that a further copy of a start is sent, which may be executed up to `until`.
    pub fn note_start_copy(&mut self, run_id: RunId, until: TimePoint) {
        if let Some(entry) = self.entries.get_mut(&run_id) {
            entry.late_start_until = entry.late_start_until.max(until);
        }
    }

    /// Returns whether the worker's next boot may have started a run of the table: no hold has
    /// listed the run, or one of several copies of its start may still be executed.
    pub fn may_be_on_next_boot(&self, now: TimePoint) -> bool {
        self.entries
            .values()
            .any(|entry| entry.may_be_on_next_boot(now))
    }

    /// Records that the worker has restarted: its next boot knows nothing of the stops that this one
    /// has acknowledged.
    pub fn reopen_stopped(&mut self) {
        for entry in self.entries.values_mut() {
            if matches!(entry.state, RunState::Stopped { .. }) {
                entry.state = RunState::Starting;
            }
        }
    }

    /// Returns the runs to which no stop has been sent.
    pub fn unstopped(&self) -> Vec<RunId> {
        let entries = self.entries.iter();
        let unstopped = entries
            .filter(|(_, entry)| matches!(entry.state, RunState::Starting | RunState::Running));
        unstopped.map(|(run_id, _)| *run_id).collect()
    }

    /// Returns the runs that the worker's next boot may have started and to which no stop has been
    /// sent.
    pub fn unstopped_on_next_boot(&self, now: TimePoint) -> Vec<RunId> {
        let mut unstopped = self.unstopped();
        unstopped.retain(|run_id| self.entries[run_id].may_be_on_next_boot(now));
        unstopped
    }

    /// Returns the latest time at which a start of the table may be executed, if a start without an
    /// answer may be executed up to `late_execution` after it was sent. At least `now`.
    pub fn latest_start_execution(&self, now: TimePoint, late_execution: Duration) -> TimePoint {
        let latest = self.entries.values().map(|entry| {
            let unanswered = entry
                .start_sent_at
                .filter(|_| entry.state != RunState::Running && !entry.was_listed);
            let until = unanswered.map(|sent_at| sent_at + late_execution);
            entry.late_start_until.max(until.unwrap_or_default())
        });
        latest.fold(now, TimePoint::max)
    }

    /// Returns whether the size of every run is known.
    pub fn has_all_placements(&self) -> bool {
        self.entries.values().all(|entry| entry.placement.is_some())
    }

    /// Returns the tail latencies of serving runs and the processor use of best-effort runs, by the
    /// last hold.
    pub fn pace_sample(&self) -> PaceSample {
        let mut sample = PaceSample::default();
        for (run_id, entry) in &self.entries {
            let Some(placement) = entry
                .placement
                .as_ref()
                .filter(|_| entry.state == RunState::Running)
            else {
                continue;
            };
            if placement.best_effort {
                let usage = sample
                    .best_effort
                    .entry(placement.image.clone())
                    .or_default();
                usage.used_cores += f64::from(entry.report.load_metric) / 1_000.0;
                usage.requested_cores += f64::from(placement.cpu_milli) / 1_000.0;
            } else if placement.tail_target_ms > 0 && entry.report.percent == 100 {
                sample.serving.push(ServingSample {
                    run_id: *run_id,
                    image: placement.image.clone(),
                    tail_ratio: f64::from(entry.report.load_metric)
                        / f64::from(placement.tail_target_ms),
                });
            }
        }
        sample
    }

    /// Returns the best-effort runs whose pace differs from the planned one, and records the new
    /// pace as sent.
    pub fn take_pace_orders(&mut self, control: &PaceControl) -> Vec<(RunId, u32)> {
        let mut orders = Vec::new();
        for (run_id, entry) in &mut self.entries {
            let Some(placement) = entry
                .placement
                .as_ref()
                .filter(|placement| placement.best_effort)
            else {
                continue;
            };
            let percent = control.pace_percent(&placement.image);
            if entry.state == RunState::Running
                && entry.pace_percent.abs_diff(percent) >= PACE_STEP_PERCENT
            {
                entry.pace_percent = percent;
                orders.push((*run_id, percent));
            }
        }
        orders
    }

    /// Records that an order to change the pace failed, so that it is sent again.
    pub fn forget_pace(&mut self, run_id: RunId) {
        if let Some(entry) = self.entries.get_mut(&run_id) {
            entry.pace_percent = UNKNOWN_PACE_PERCENT;
        }
    }

    /// Records when pace orders were sent.
    pub fn note_paces_sent(&mut self, orders: &[(RunId, u32)], now: TimePoint) {
        for (run_id, _) in orders {
            if let Some(entry) = self.entries.get_mut(run_id) {
                entry.pace_sent_at = now;
            }
        }
    }

    /// Records that a pace order was not answered and may be executed up to `until`.
    pub fn note_pace_lost(&mut self, run_id: RunId, until: TimePoint) {
        if let Some(entry) = self.entries.get_mut(&run_id) {
            entry.late_pace_until = entry.late_pace_until.max(until);
        }
    }

    /// Returns the planned paces of the runs whose pace a late copy may have overwritten, and
    /// records them as sent. A run is listed at most once in `interval`, and once more after no
    /// late copy can be executed any more.
    pub fn take_repeated_paces(
        &mut self,
        control: &PaceControl,
        now: TimePoint,
        interval: Duration,
    ) -> Vec<(RunId, u32)> {
        let mut orders = Vec::new();
        for (run_id, entry) in &mut self.entries {
            let Some(placement) = &entry.placement else {
                continue;
            };
            let is_due = entry.pace_sent_at < entry.late_pace_until
                && now.since(entry.pace_sent_at) >= interval;
            if is_due && entry.state == RunState::Running {
                entry.pace_percent = control.pace_percent(&placement.image);
                entry.pace_sent_at = now;
                orders.push((*run_id, entry.pace_percent));
            }
        }
        orders
    }

    /// Returns the number of runs.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table has no runs.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// Stands for the pace of a run after a failed order. It is far from every real pace, so that a new
/// order is due.
const UNKNOWN_PACE_PERCENT: u32 = 1_000;
/// Smallest change of a pace that is sent to the worker.
const PACE_STEP_PERCENT: u32 = 4;
/// Smallest progress of a run that is reported to the owner.
const PROGRESS_STEP_PERCENT: u32 = 10;

impl RunEntry {
    fn new(run_id: RunId, placement: Option<PlacementInfo>, state: RunState) -> Self {
        Self {
            placement,
            state,
            report: RunReport {
                run_id,
                checkpoint: "".into(),
                percent: 0,
                load_metric: 0,
                confirmed_by_worker: false,
            },
            reported_percent: 0,
            reported_checkpoint: "".into(),
            pace_percent: 100,
            pace_sent_at: TimePoint::default(),
            late_pace_until: TimePoint::default(),
            start_sent_at: None,
            is_stop_in_progress: false,
            late_start_until: TimePoint::default(),
            was_listed: false,
            reported_over_target: false,
        }
    }

    fn has_update(&self) -> bool {
        self.report.checkpoint != self.reported_checkpoint
            || self.report.percent >= self.reported_percent + PROGRESS_STEP_PERCENT
            || (self.report.percent == 100) != (self.reported_percent == 100)
    }

    fn may_be_on_next_boot(&self, now: TimePoint) -> bool {
        !self.was_listed || now < self.late_start_until
    }

    fn was_stopped_before(&self, hold: u64) -> bool {
        matches!(self.state, RunState::Stopped { hold: stopped_at } if stopped_at < hold)
    }
}
