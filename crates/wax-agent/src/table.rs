//! Everything that runs on the worker, is being stopped there, or may begin yet.

use crate::pace::{PaceControl, PaceSample, ServingSample};
use std::collections::HashMap;
use wax_batch::{
    LostRun, RunEnd, RunId, RunReport, StartRefusal, TaskSize, WorkerState, WorkerView,
};
use wax_types::TimePoint;

/// Where a run stands by what this process knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunStand {
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
pub struct SeatInfo {
    /// What it books.
    pub booked: TaskSize,
    /// Thousandths of a core that it asks for, booked or not.
    pub cpu_milli: u32,
    /// Whether it gets only what others leave.
    pub fills: bool,
    /// Bound on its tail latency, milliseconds; 0 for none.
    pub tail_target_ms: u32,
    /// Its image.
    pub image: Box<str>,
}

#[derive(Debug, Clone)]
struct RunRow {
    seat: Option<SeatInfo>,
    stand: RunStand,
    report: RunReport,
    percent_sent: u32,
    checkpoint_sent: Box<str>,
    pace: u32,
    /// When its start was sent; `None` if this process did not send it.
    sent: Option<TimePoint>,
    /// Whether the boot has listed it.
    was_listed: bool,
}

/// What a hold has brought that the owner does not know yet.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HoldNews {
    /// Runs that went on.
    pub going: Vec<RunReport>,
    /// Runs that ended.
    pub ends: Vec<RunEnd>,
    /// Runs that never began and never will.
    pub never: Vec<RunId>,
    /// Runs of the table whose ends have numbers that were heard before.
    pub passed_over: Vec<RunId>,
}

/// The guard of the worker's capacity.
#[derive(Debug, Default)]
pub struct RunTable {
    rows: HashMap<RunId, RunRow>,
    heard: u64,
}

impl RunTable {
    /// Whether a run may be started beside all others; books its size if so.
    ///
    /// # Errors
    ///
    /// Why it may not.
    pub fn begin(
        &mut self,
        mark: RunId,
        seat: SeatInfo,
        view: &WorkerView,
        now: TimePoint,
    ) -> Result<(), StartRefusal> {
        if view.state == WorkerState::Draining || self.rows.contains_key(&mark) {
            return Err(StartRefusal::Stale);
        }
        let Some(booked) = self.booked() else {
            return Err(StartRefusal::Room);
        };
        if !seat.booked.plus(booked).fits(view.capacity) {
            return Err(StartRefusal::Room);
        }
        let mut row = RunRow::new(mark, Some(seat), RunStand::Starting);
        row.sent = Some(now);
        self.rows.insert(mark, row);
        Ok(())
    }

    /// The sum of what all rows book; `None` while a row's size is not known.
    pub fn booked(&self) -> Option<TaskSize> {
        let mut sum = TaskSize::default();
        for row in self.rows.values() {
            sum = sum.plus(row.seat.as_ref()?.booked);
        }
        Some(sum)
    }

    /// The worker has begun the run.
    pub fn started(&mut self, mark: RunId) {
        if let Some(row) = self.rows.get_mut(&mark)
            && row.stand == RunStand::Starting
        {
            row.stand = RunStand::Running;
        }
    }

    /// The worker has refused the run, or it has ended: nothing of it is left.
    pub fn remove(&mut self, mark: RunId) -> bool {
        self.rows.remove(&mark).is_some()
    }

    /// Notes that a stop is on its way; says whether the run is known.
    pub fn stopping(&mut self, mark: RunId) -> bool {
        let Some(row) = self.rows.get_mut(&mark) else {
            return false;
        };
        if !matches!(row.stand, RunStand::Stopped { .. }) {
            row.stand = RunStand::Stopping;
        }
        true
    }

    /// The worker has answered the stop while hold number `hold` was under way.
    pub fn stopped(&mut self, mark: RunId, hold: u64) {
        if let Some(row) = self.rows.get_mut(&mark) {
            row.stand = RunStand::Stopped { hold };
        }
    }

    /// Where a run stands.
    pub fn stand(&self, mark: RunId) -> Option<RunStand> {
        self.rows.get(&mark).map(|row| row.stand)
    }

    /// Takes sizes that only the owner knew.
    pub fn learn(&mut self, mark: RunId, seat: SeatInfo) {
        if let Some(row) = self.rows.get_mut(&mark) {
            row.seat = Some(seat);
        }
    }

    /// Compares a worker's lists, of hold number `hold`, with the table.
    pub fn observe(&mut self, running: &[RunReport], ended: &[RunEnd], hold: u64) -> HoldNews {
        let mut news = HoldNews::default();
        for row in self.rows.values_mut() {
            row.report.confirmed_by_worker = false;
        }
        for report in running {
            let row = self
                .rows
                .entry(report.run_id)
                .or_insert_with(|| RunRow::new(report.run_id, None, RunStand::Running));
            if row.stand == RunStand::Starting {
                row.stand = RunStand::Running;
            }
            row.report = report.clone();
            row.was_listed = true;
            if row.has_news() {
                row.percent_sent = report.percent;
                row.checkpoint_sent = report.checkpoint.clone();
                news.going.push(report.clone());
            }
        }
        let known = ended.iter().filter(|end| end.number <= self.heard);
        let known = known.filter(|end| self.rows.contains_key(&end.run_id));
        news.passed_over = known.map(|end| end.run_id).collect();
        for end in ended.iter().filter(|end| end.number > self.heard) {
            self.rows.remove(&end.run_id);
            news.ends.push(end.clone());
        }
        self.heard = ended
            .iter()
            .map(|end| end.number)
            .fold(self.heard, u64::max);
        let listed = |mark: &RunId| running.iter().any(|report| report.run_id == *mark);
        let gone: Vec<RunId> = self
            .rows
            .iter()
            .filter(|(mark, row)| row.stopped_before(hold) && !listed(mark))
            .map(|(mark, _)| *mark)
            .collect();
        for mark in gone {
            self.rows.remove(&mark);
            news.never.push(mark);
        }
        news
    }

    /// All rows as the owner must count them.
    pub fn reports(&self) -> Vec<RunReport> {
        self.rows.values().map(|row| row.report.clone()).collect()
    }

    /// All rows as they stood when the worker answered last, at `answered`.
    pub fn lost_runs(&self, answered: TimePoint) -> Vec<LostRun> {
        let rows = self.rows.iter();
        let lost = rows.map(|(mark, row)| LostRun {
            run_id: *mark,
            min_run_time: row.sent.map(|sent| answered.since(sent)),
        });
        lost.collect()
    }

    /// Whether a run's start was sent and the boot has not listed it: the worker's next boot may have taken it.
    pub fn has_unlisted(&self) -> bool {
        self.rows.values().any(|row| !row.was_listed)
    }

    /// Whether a run's size is missing.
    pub fn is_sized(&self) -> bool {
        self.rows.values().all(|row| row.seat.is_some())
    }

    /// What the last hold shows of runs that serve and runs that fill.
    pub fn pace_sample(&self) -> PaceSample {
        let mut sample = PaceSample::default();
        for (mark, row) in &self.rows {
            let Some(seat) = row.seat.as_ref().filter(|_| row.stand == RunStand::Running) else {
                continue;
            };
            if seat.fills {
                let fill = sample.filling.entry(seat.image.clone()).or_default();
                fill.used += f64::from(row.report.load_metric) / 1_000.0;
                fill.wanted += f64::from(seat.cpu_milli) / 1_000.0;
            } else if seat.tail_target_ms > 0 && row.report.percent == 100 {
                sample.serving.push(ServingSample {
                    mark: *mark,
                    image: seat.image.clone(),
                    tail: f64::from(row.report.load_metric) / f64::from(seat.tail_target_ms),
                });
            }
        }
        sample
    }

    /// Runs that fill and whose pace is not the planned one, which is noted as sent.
    pub fn repace(&mut self, control: &PaceControl) -> Vec<(RunId, u32)> {
        let mut marks = Vec::new();
        for (mark, row) in &mut self.rows {
            let Some(seat) = row.seat.as_ref().filter(|seat| seat.fills) else {
                continue;
            };
            let percent = control.pace(&seat.image);
            if row.stand == RunStand::Running && row.pace.abs_diff(percent) >= PACE_STEP {
                row.pace = percent;
                marks.push((*mark, percent));
            }
        }
        marks
    }

    /// A pace was not taken; it is due again.
    pub fn pace_lost(&mut self, mark: RunId) {
        if let Some(row) = self.rows.get_mut(&mark) {
            row.pace = PACE_UNKNOWN;
        }
    }

    /// How many rows there are.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether there is no row.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}

/// After a lost order the pace is not known; no planned one is near it.
const PACE_UNKNOWN: u32 = 1_000;
/// Smaller changes of a pace are not worth an order, percent.
const PACE_STEP: u32 = 4;
/// A change of this much of a run's work is told to the owner.
const PERCENT_STEP: u32 = 10;

impl RunRow {
    fn new(mark: RunId, seat: Option<SeatInfo>, stand: RunStand) -> Self {
        Self {
            seat,
            stand,
            report: RunReport {
                run_id: mark,
                checkpoint: "".into(),
                percent: 0,
                load_metric: 0,
                confirmed_by_worker: false,
            },
            percent_sent: 0,
            checkpoint_sent: "".into(),
            pace: 100,
            sent: None,
            was_listed: false,
        }
    }

    fn has_news(&self) -> bool {
        self.report.checkpoint != self.checkpoint_sent
            || self.report.percent >= self.percent_sent + PERCENT_STEP
            || (self.report.percent == 100) != (self.percent_sent == 100)
    }

    fn stopped_before(&self, hold: u64) -> bool {
        matches!(self.stand, RunStand::Stopped { hold: stopped } if stopped < hold)
    }
}
