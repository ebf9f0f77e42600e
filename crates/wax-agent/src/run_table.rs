//! Everything that runs on the worker, is being stopped there, or may begin yet.

use crate::pace::{PaceControl, PaceSample, ServingSample};
use std::collections::HashMap;
use wax_batch::{
    LostRun, RunEnd, RunMark, RunReport, StartRefusal, TaskSize, WorkerState, WorkerView,
};
use wax_types::TimePoint;

/// Where a run stands by what this process knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunState {
    /// Its start was sent and not answered.
    Starting,
    /// It runs.
    Running,
    /// Its stop was sent, or will be again.
    Stopping,
    /// Its stop was answered while this hold was under way: it is gone once a later one omits it.
    Stopped {
        /// The number of the hold.
        hold: u64,
    },
}

/// What is known of a run besides its name.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PlacementInfo {
    /// What it books.
    pub reserved: TaskSize,
    /// Thousandths of a core that it asks for, booked or not.
    pub cpu_milli: u32,
    /// Whether it gets only what others leave.
    pub best_effort: bool,
    /// Bound on its tail latency, milliseconds; 0 for none.
    pub tail_target_ms: u32,
    /// Its image.
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
    /// When its start was sent; `None` if this process did not send it.
    start_sent_at: Option<TimePoint>,
    /// Whether the boot has listed it.
    was_listed: bool,
}

/// What a hold has brought that the owner does not know yet.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HoldUpdates {
    /// Runs that went on.
    pub progressed: Vec<RunReport>,
    /// Runs that ended.
    pub ended: Vec<RunEnd>,
    /// Runs that never began and never will.
    pub never_started: Vec<RunMark>,
    /// Runs of the table whose ends have numbers that were heard before.
    pub skipped_ends: Vec<RunMark>,
}

/// The guard of the worker's capacity.
#[derive(Debug, Default)]
pub struct RunTable {
    entries: HashMap<RunMark, RunEntry>,
    last_end_number: u64,
}

impl RunTable {
    /// Whether a run may be started beside all others; books its size if so.
    ///
    /// # Errors
    ///
    /// Why it may not.
    pub fn reserve(
        &mut self,
        run_id: RunMark,
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

    /// The sum of what all rows book; `None` while a row's size is not known.
    pub fn reserved(&self) -> Option<TaskSize> {
        let mut sum = TaskSize::default();
        for entry in self.entries.values() {
            sum = sum.plus(entry.placement.as_ref()?.reserved);
        }
        Some(sum)
    }

    /// The worker has begun the run.
    pub fn mark_running(&mut self, run_id: RunMark) {
        if let Some(entry) = self.entries.get_mut(&run_id)
            && entry.state == RunState::Starting
        {
            entry.state = RunState::Running;
        }
    }

    /// The worker has refused the run, or it has ended: nothing of it is left.
    pub fn remove(&mut self, run_id: RunMark) -> bool {
        self.entries.remove(&run_id).is_some()
    }

    /// Notes that a stop is on its way; says whether the run is known.
    pub fn mark_stopping(&mut self, run_id: RunMark) -> bool {
        let Some(entry) = self.entries.get_mut(&run_id) else {
            return false;
        };
        if !matches!(entry.state, RunState::Stopped { .. }) {
            entry.state = RunState::Stopping;
        }
        true
    }

    /// The worker has answered the stop while hold number `hold` was under way.
    pub fn mark_stopped(&mut self, run_id: RunMark, hold: u64) {
        if let Some(entry) = self.entries.get_mut(&run_id) {
            entry.state = RunState::Stopped { hold };
        }
    }

    /// Where a run stands.
    pub fn state(&self, run_id: RunMark) -> Option<RunState> {
        self.entries.get(&run_id).map(|entry| entry.state)
    }

    /// Takes sizes that only the owner knew.
    pub fn set_placement(&mut self, run_id: RunMark, placement: PlacementInfo) {
        if let Some(entry) = self.entries.get_mut(&run_id) {
            entry.placement = Some(placement);
        }
    }

    /// Compares a worker's lists, of hold number `hold`, with the table.
    pub fn reconcile(&mut self, running: &[RunReport], ended: &[RunEnd], hold: u64) -> HoldUpdates {
        let mut updates = HoldUpdates::default();
        for entry in self.entries.values_mut() {
            entry.report.listed = false;
        }
        for report in running {
            let entry = self
                .entries
                .entry(report.mark)
                .or_insert_with(|| RunEntry::new(report.mark, None, RunState::Running));
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
        let known = ended
            .iter()
            .filter(|end| end.number <= self.last_end_number);
        let known = known.filter(|end| self.entries.contains_key(&end.mark));
        updates.skipped_ends = known.map(|end| end.mark).collect();
        for end in ended.iter().filter(|end| end.number > self.last_end_number) {
            self.entries.remove(&end.mark);
            updates.ended.push(end.clone());
        }
        self.last_end_number = ended
            .iter()
            .map(|end| end.number)
            .fold(self.last_end_number, u64::max);
        let listed = |run_id: &RunMark| running.iter().any(|report| report.mark == *run_id);
        let omitted: Vec<RunMark> = self
            .entries
            .iter()
            .filter(|(run_id, entry)| entry.was_stopped_before(hold) && !listed(run_id))
            .map(|(run_id, _)| *run_id)
            .collect();
        for run_id in omitted {
            self.entries.remove(&run_id);
            updates.never_started.push(run_id);
        }
        updates
    }

    /// All rows as the owner must count them.
    pub fn reports(&self) -> Vec<RunReport> {
        self.entries
            .values()
            .map(|entry| entry.report.clone())
            .collect()
    }

    /// All rows as they stood when the worker answered last, at `answered`.
    pub fn lost_runs(&self, answered: TimePoint) -> Vec<LostRun> {
        let entries = self.entries.iter();
        let lost = entries.map(|(run_id, entry)| LostRun {
            mark: *run_id,
            ran: entry.start_sent_at.map(|sent| answered.since(sent)),
        });
        lost.collect()
    }

    /// Whether a run's start was sent and the boot has not listed it: the worker's next boot may have taken it.
    pub fn has_unlisted(&self) -> bool {
        self.entries.values().any(|entry| !entry.was_listed)
    }

    /// Whether a run's size is missing.
    pub fn has_all_placements(&self) -> bool {
        self.entries.values().all(|entry| entry.placement.is_some())
    }

    /// What the last hold shows of runs that serve and runs that fill.
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
                usage.used_cores += f64::from(entry.report.figure) / 1_000.0;
                usage.requested_cores += f64::from(placement.cpu_milli) / 1_000.0;
            } else if placement.tail_target_ms > 0 && entry.report.percent == 100 {
                sample.serving.push(ServingSample {
                    run_id: *run_id,
                    image: placement.image.clone(),
                    tail_ratio: f64::from(entry.report.figure)
                        / f64::from(placement.tail_target_ms),
                });
            }
        }
        sample
    }

    /// Runs that fill and whose pace is not the planned one, which is noted as sent.
    pub fn take_pace_orders(&mut self, control: &PaceControl) -> Vec<(RunMark, u32)> {
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

    /// A pace was not taken; it is due again.
    pub fn forget_pace(&mut self, run_id: RunMark) {
        if let Some(entry) = self.entries.get_mut(&run_id) {
            entry.pace_percent = UNKNOWN_PACE_PERCENT;
        }
    }

    /// How many rows there are.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no row.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// After a lost order the pace is not known; no planned one is near it.
const UNKNOWN_PACE_PERCENT: u32 = 1_000;
/// Smaller changes of a pace are not worth an order, percent.
const PACE_STEP_PERCENT: u32 = 4;
/// A change of this much of a run's work is told to the owner.
const PROGRESS_STEP_PERCENT: u32 = 10;

impl RunEntry {
    fn new(run_id: RunMark, placement: Option<PlacementInfo>, state: RunState) -> Self {
        Self {
            placement,
            state,
            report: RunReport {
                mark: run_id,
                checkpoint: "".into(),
                percent: 0,
                figure: 0,
                listed: false,
            },
            reported_percent: 0,
            reported_checkpoint: "".into(),
            pace_percent: 100,
            start_sent_at: None,
            was_listed: false,
        }
    }

    fn has_update(&self) -> bool {
        self.report.checkpoint != self.reported_checkpoint
            || self.report.percent >= self.reported_percent + PROGRESS_STEP_PERCENT
            || (self.report.percent == 100) != (self.reported_percent == 100)
    }

    fn was_stopped_before(&self, hold: u64) -> bool {
        matches!(self.state, RunState::Stopped { hold: stopped_at } if stopped_at < hold)
    }
}
