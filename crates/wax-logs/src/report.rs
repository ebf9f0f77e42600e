//! Aggregates a pool's history by queue and by window of time, and prints the timeline of one job.

use crate::cause::attribute_delay;
use crate::history::{JobHistory, PoolHistory, RunHistory, STALLED};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

/// Figures of the jobs of one queue.
#[derive(Debug, Clone, PartialEq, Default, Serialize)]
pub struct QueueRow {
    /// Name of the queue.
    pub queue: Box<str>,
    /// Number of jobs that were accepted.
    pub accepted: u32,
    /// Number of requests that were not accepted.
    pub not_accepted: u32,
    /// Number of jobs that were completed within the objective.
    pub in_time: u32,
    /// Number of jobs that were completed after the objective.
    pub late: u32,
    /// Number of jobs that failed or were cancelled by their callers.
    #[serde(rename = "gone")]
    pub failed_or_cancelled: u32,
    /// Number of jobs that have not ended; jobs with a long-running step are expected not to.
    pub open: u32,
    /// Time from the request to the first start, seconds: median and 95th percentile over the jobs.
    pub first_start: [f64; 2],
    /// Time between the first starts of the first and the last task of a step, seconds: median and
    /// 90th percentile over the steps.
    pub spread: [f64; 2],
    /// Run time of the slowest run of a step divided by the median run time: 90th percentile over
    /// the steps.
    pub slowest: f64,
    /// Number of runs that were stopped because they made no progress.
    pub stalled: u32,
    /// Work of late jobs by the cause with the largest share of their delay, core seconds.
    pub causes: BTreeMap<String, f64>,
}

/// Figures of one window of time.
#[derive(Debug, Clone, PartialEq, Default, Serialize)]
pub struct WindowRow {
    /// Start of the window, seconds from the first line.
    pub from: f64,
    /// Number of jobs that were accepted in the window.
    pub accepted: u32,
    /// Number of requests that were not accepted.
    pub not_accepted: u32,
    /// Number of jobs accepted in the window that were completed within the objective.
    pub in_time: u32,
    /// Number of start orders.
    pub starts: u32,
    /// Number of runs in progress at the end of the window.
    pub running: u32,
    /// Number of runs that ended after they were stopped because they made no progress.
    pub stalled: u32,
    /// Number of reports that a step waits, by reason.
    pub waits: BTreeMap<String, u32>,
    /// Number of times that an image was slowed to less than 33 % of its pace on a worker.
    pub slowed: u32,
    /// Number of takeovers of the shard.
    pub takeovers: u32,
}

/// Figures of a pool's history.
#[derive(Debug, Clone, PartialEq, Default, Serialize)]
pub struct LogReport {
    /// One row for each queue, by name.
    pub queues: Vec<QueueRow>,
    /// One row for each window in which something happened, by time.
    pub windows: Vec<WindowRow>,
}

/// Pace below which an image counts as slowed, percent of its full pace.
const SLOWED_BELOW_PERCENT: u32 = 33;

/// Aggregates a history in windows of `window` seconds.
pub fn build_report(history: &PoolHistory, window: f64) -> LogReport {
    let queues: BTreeSet<&str> = history.jobs.values().map(|job| &*job.queue).collect();
    LogReport {
        queues: queues
            .into_iter()
            .map(|queue| queue_row(history, queue))
            .collect(),
        windows: window_rows(history, window),
    }
}

fn queue_row(history: &PoolHistory, queue: &str) -> QueueRow {
    let mut row = QueueRow {
        queue: queue.into(),
        not_accepted: count(history.not_accepted.iter().filter(|(_, of)| **of == *queue)),
        ..Default::default()
    };
    let (mut starts, mut spreads, mut slowest) = (Vec::new(), Vec::new(), Vec::new());
    for job in history.jobs.values().filter(|job| *job.queue == *queue) {
        count_job(&mut row, job);
        let first = job.runs.iter().map(|run| run.ordered_at).reduce(f64::min);
        // The clocks of the front and the owner may differ.
        starts.extend(first.map(|first| (first - job.requested_at).max(0.0)));
        row.stalled += count(job.runs.iter().filter(|run| is_stalled(run)));
        for runs in steps(job).values() {
            spreads.push(start_spread(runs));
            slowest.extend(slowest_ratio(runs));
        }
    }
    row.first_start = [quantile(&mut starts, 0.5), quantile(&mut starts, 0.95)];
    row.spread = [quantile(&mut spreads, 0.5), quantile(&mut spreads, 0.9)];
    row.slowest = quantile(&mut slowest, 0.9);
    row
}

fn count_job(row: &mut QueueRow, job: &JobHistory) {
    row.accepted += 1;
    match (&job.end, job.response_time_s()) {
        (_, Some(response_time)) if response_time <= job.objective_s => row.in_time += 1,
        (_, Some(_)) => row.late += 1,
        (Some(_), None) => row.failed_or_cancelled += 1,
        (None, None) => row.open += 1,
    }
    if job.long_running || job.is_in_time() || job.is_cancelled() {
        return;
    }
    if let Some(share) = attribute_delay(job).first() {
        *row.causes.entry(share.cause.to_string()).or_insert(0.0) += job.work_core_s;
    }
}

fn window_rows(history: &PoolHistory, window: f64) -> Vec<WindowRow> {
    let mut rows: BTreeMap<u64, WindowRow> = BTreeMap::new();
    let number = |at: f64| ((at - history.started_at).max(0.0) / window) as u64;
    let mut row = |at: f64, change: &mut dyn FnMut(&mut WindowRow)| {
        let number = number(at);
        let row = rows.entry(number).or_default();
        row.from = number as f64 * window;
        change(row);
    };
    for job in history.jobs.values() {
        row(job.accepted_at, &mut |row| {
            row.accepted += 1;
            row.in_time += u32::from(job.is_in_time());
        });
        for run in &job.runs {
            row(run.ordered_at, &mut |row| row.starts += 1);
            if let Some(over_at) = run.over_at {
                // The number of runs in progress changes, even if nothing else happens.
                row(over_at, &mut |_| {});
            }
            if let (Some((at, _)), true) = (&run.end, is_stalled(run)) {
                row(*at, &mut |row| row.stalled += 1);
            }
        }
        for wait in &job.waits {
            row(wait.reported_at, &mut |row| {
                *row.waits.entry(wait.reason.to_string()).or_insert(0) += 1;
            });
        }
    }
    for (at, _) in &history.not_accepted {
        row(*at, &mut |row| row.not_accepted += 1);
    }
    for (at, .., percent) in &history.pace_changes {
        row(*at, &mut |row| {
            row.slowed += u32::from(*percent < SLOWED_BELOW_PERCENT)
        });
    }
    for at in &history.takeovers {
        row(*at, &mut |row| row.takeovers += 1);
    }
    let runs: Vec<&RunHistory> = history.jobs.values().flat_map(|job| &job.runs).collect();
    for row in rows.values_mut() {
        let end = history.started_at + row.from + window;
        row.running = count(runs.iter().filter(|run| is_running_at(run, end)));
    }
    rows.into_values().collect()
}

/// Returns whether a run was in progress at a time. A run counts as in progress until a line shows
/// that it is over.
pub(crate) fn is_running_at(run: &RunHistory, at: f64) -> bool {
    run.ordered_at <= at && run.over_at.is_none_or(|over_at| over_at > at)
}

fn is_stalled(run: &RunHistory) -> bool {
    run.stop_reason
        .as_ref()
        .is_some_and(|why| **why == *STALLED)
}

fn steps(job: &JobHistory) -> BTreeMap<&str, Vec<&RunHistory>> {
    let mut steps: BTreeMap<&str, Vec<&RunHistory>> = BTreeMap::new();
    for run in &job.runs {
        let step = crate::event::step_of(&run.task);
        steps.entry(step).or_default().push(run);
    }
    steps
}

/// Returns the time between the first starts of a step's first and last task, seconds.
fn start_spread(runs: &[&RunHistory]) -> f64 {
    let mut firsts: BTreeMap<&str, f64> = BTreeMap::new();
    for run in runs {
        let first = firsts.entry(&run.task).or_insert(run.ordered_at);
        *first = first.min(run.ordered_at);
    }
    let first = firsts.values().copied().fold(f64::INFINITY, f64::min);
    let last = firsts.values().copied().fold(f64::NEG_INFINITY, f64::max);
    last - first
}

fn slowest_ratio(runs: &[&RunHistory]) -> Option<f64> {
    let mut run_times: Vec<f64> = runs
        .iter()
        .filter_map(|run| Some(run.done_at()? - run.ordered_at))
        .collect();
    let longest = run_times.iter().copied().reduce(f64::max)?;
    let median = quantile(&mut run_times, 0.5);
    (median > 0.0).then(|| longest / median)
}

fn count<T>(items: impl Iterator<Item = T>) -> u32 {
    items.count() as u32
}

/// Returns the quantile `share` (0 to 1) of the values; 0 without values.
fn quantile(values: &mut [f64], share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let last = values.len().saturating_sub(1);
    let index = (last as f64 * share).round() as usize;
    values.get(index).copied().unwrap_or(0.0)
}

/// Prints the events of one job, from all processes, in order. Times are seconds from the request.
pub fn job_timeline(job: &JobHistory) -> String {
    let mut events: Vec<(f64, String)> = vec![(
        job.accepted_at,
        format!(
            "accepted into {}: {} tasks, {:.1} core s, to end within {:.1} s",
            job.queue, job.tasks, job.work_core_s, job.objective_s
        ),
    )];
    for run in &job.runs {
        let resumes = if run.resumes { ", resumes" } else { "" };
        events.push((
            run.ordered_at,
            format!(
                "{} run {} starts on {} after {:.2} s, pace {:.2} expected{resumes}",
                run.task, run.run, run.worker, run.waited_s, run.pace
            ),
        ));
        if let Some((at, how)) = &run.end {
            let why = run.stop_reason.as_ref().map(|why| format!(" ({why})"));
            let why = why.unwrap_or_default();
            events.push((*at, format!("{} run {} ends {how}{why}", run.task, run.run)));
        }
        if let Some((at, why)) = &run.given_up {
            events.push((*at, format!("{} run {} given up: {why}", run.task, run.run)));
        }
    }
    for wait in &job.waits {
        events.push((
            wait.reported_at,
            format!("{} waits: {}", wait.step, wait.reason),
        ));
    }
    if let Some((at, outcome)) = &job.end {
        events.push((*at, format!("shown as {outcome}")));
    }
    events.sort_by(|one, other| one.0.total_cmp(&other.0));
    let mut text = format!("job {}\n", job.job);
    for (at, description) in events {
        // Writing to a string cannot fail.
        let _ = writeln!(text, "{:>9.3}  {description}", at - job.requested_at);
    }
    let late = !job.long_running && !job.is_in_time() && !job.is_cancelled();
    for share in attribute_delay(job).iter().filter(|_| late) {
        let _ = writeln!(text, "{:>7.2} s  {}", share.seconds, share.cause);
    }
    text
}
