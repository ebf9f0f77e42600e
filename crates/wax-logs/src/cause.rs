//! Attributes the delay of a late job to causes along its critical path.
//!
//! The path is walked backwards from the task that ended last: its last run, its earlier runs
//! without a result, its wait, and then the task whose end allowed its step to start.

use crate::event::step_of;
use crate::history::{JobHistory, RunHistory, StepWait};
use std::collections::BTreeMap;
use std::fmt;

/// Why time was spent along the critical path.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum DelayCause {
    /// Time by which the runs with a result along the path exceeded, in total, half of the
    /// objective.
    SlowRun,
    /// Time spent on runs that were ordered to stop, usually because they made no progress.
    Stalled,
    /// Time spent on runs that failed.
    Failed,
    /// Time spent on runs that were lost with their worker or agent.
    Lost,
    /// Time in which tasks waited. Holds the last reason that was reported; `unknown` if none was.
    Wait(Box<str>),
    /// Time between the acceptance, or the end of the previous task, and the start of the wait: no
    /// owner was handling the job.
    NoOwner,
    /// Time between the caller's request and the acceptance.
    Accepting,
    /// A task on the path had no result by the last log line. Counts as a fixed time.
    Unfinished,
}

impl fmt::Display for DelayCause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::SlowRun => formatter.write_str("slow run"),
            Self::Stalled => formatter.write_str("stalled"),
            Self::Failed => formatter.write_str("failed"),
            Self::Lost => formatter.write_str("lost"),
            Self::Wait(reason) => write!(formatter, "wait: {reason}"),
            Self::NoOwner => formatter.write_str("no owner"),
            Self::Accepting => formatter.write_str("accepting"),
            Self::Unfinished => formatter.write_str("unfinished"),
        }
    }
}

/// A cause and the time that it accounts for along the critical path.
#[derive(Debug, Clone, PartialEq)]
pub struct DelayShare {
    /// Why the time was spent.
    pub cause: DelayCause,
    /// Time along the path, seconds.
    pub seconds: f64,
}

/// Tolerance when the timestamps of an end and of the start that it allowed are compared, seconds.
const TIME_TOLERANCE_S: f64 = 0.05;
/// Time that is attributed to a task without a result, or to the missing owner of a job whose tasks
/// were never started, seconds. Large enough to outweigh the earlier causes on the path.
const UNFINISHED_TASK_S: f64 = 20.0;
/// Limit on the tasks of a path that are followed; a longer path is not followed to its start.
const MAX_PATH_STEPS: usize = 64;

/// Returns the causes of a job's delay, the largest share first.
pub fn attribute_delay(job: &JobHistory) -> Vec<DelayShare> {
    let mut shares = BTreeMap::new();
    let mut add = |cause: DelayCause, seconds: f64| {
        if seconds > 0.0 {
            *shares.entry(cause).or_insert(0.0) += seconds;
        }
    };
    add(DelayCause::Accepting, job.accepted_at - job.requested_at);
    let tasks = runs_by_task(job);
    let mut run_time = 0.0;
    let mut next = last_task(&tasks);
    for _ in 0..MAX_PATH_STEPS {
        let Some(runs) = next.and_then(|task| tasks.get(task)) else {
            break;
        };
        let Some((first, last)) = runs.first().zip(runs.last()) else {
            break;
        };
        match last.done_at() {
            Some(end) => run_time += end - last.ordered_at,
            None => add(DelayCause::Unfinished, UNFINISHED_TASK_S),
        }
        for pair in runs.windows(2) {
            add(
                failed_run_cause(pair[0]),
                pair[1].ordered_at - pair[0].ordered_at,
            );
        }
        let counted_from = first.ordered_at - first.waited_s;
        let previous = predecessor(&tasks, counted_from, &first.task);
        let previous_end = previous.map_or(job.accepted_at, |(_, end)| end);
        // The wait counter of a step restarts when a sibling task is requeued. An earlier wait
        // report shows that the step was already waiting before the restart.
        let reported = first_wait_report(job, first, previous_end);
        let wait_start = reported.map_or(counted_from, |reported| reported.min(counted_from));
        add(
            wait_cause(job, first, previous_end),
            first.ordered_at - wait_start,
        );
        add(DelayCause::NoOwner, wait_start - previous_end);
        next = previous.map(|(task, _)| task);
    }
    if tasks.is_empty() {
        add(DelayCause::NoOwner, UNFINISHED_TASK_S);
    }
    add(DelayCause::SlowRun, run_time - job.objective_s / 2.0);
    let mut list: Vec<DelayShare> = shares
        .into_iter()
        .map(|(cause, seconds)| DelayShare { cause, seconds })
        .collect();
    list.sort_by(|one, other| other.seconds.total_cmp(&one.seconds));
    list
}

type TaskRuns<'a> = BTreeMap<&'a str, Vec<&'a RunHistory>>;

fn runs_by_task(job: &JobHistory) -> TaskRuns<'_> {
    let mut tasks: TaskRuns<'_> = BTreeMap::new();
    for run in &job.runs {
        tasks.entry(&*run.task).or_default().push(run);
    }
    tasks
}

fn task_done_at(runs: &[&RunHistory]) -> Option<f64> {
    runs.iter().find_map(|run| run.done_at())
}

/// Returns a task without a result or, if all have one, the task that ended last.
fn last_task<'a>(tasks: &TaskRuns<'a>) -> Option<&'a str> {
    let end = |runs: &[&RunHistory]| task_done_at(runs).unwrap_or(f64::INFINITY);
    let last = tasks
        .iter()
        .max_by(|one, other| end(one.1).total_cmp(&end(other.1)));
    last.map(|(task, _)| *task)
}

/// Returns the task of another step whose end was the last one before a step started to wait.
fn predecessor<'a>(tasks: &TaskRuns<'a>, wait_start: f64, task: &str) -> Option<(&'a str, f64)> {
    let ends = tasks.iter().filter_map(|(other, runs)| {
        let end = task_done_at(runs)?;
        let is_candidate = step_of(other) != step_of(task) && end <= wait_start + TIME_TOLERANCE_S;
        is_candidate.then_some((*other, end))
    });
    ends.max_by(|one, other| one.1.total_cmp(&other.1))
}

/// Returns why a run had no result.
fn failed_run_cause(run: &RunHistory) -> DelayCause {
    match (&run.stop_reason, run.end.as_ref().map(|(_, how)| &**how)) {
        (Some(_), _) => DelayCause::Stalled,
        (None, Some("Failed")) => DelayCause::Failed,
        _ => DelayCause::Lost,
    }
}

/// Returns the wait reports of a task's step between `previous_end` and the first start of the
/// task, in order of time.
fn wait_reports<'a>(
    job: &'a JobHistory,
    first: &'a RunHistory,
    previous_end: f64,
) -> impl DoubleEndedIterator<Item = &'a StepWait> {
    let period = previous_end - TIME_TOLERANCE_S..=first.ordered_at;
    let step = step_of(&first.task);
    let waits = job.waits.iter();
    waits.filter(move |wait| *wait.step == *step && period.contains(&wait.reported_at))
}

/// Returns the time of the first report that a task's step is waiting.
fn first_wait_report(job: &JobHistory, first: &RunHistory, previous_end: f64) -> Option<f64> {
    wait_reports(job, first, previous_end)
        .next()
        .map(|wait| wait.reported_at)
}

/// Returns the reason that was reported last before the first start of a task.
fn wait_cause(job: &JobHistory, first: &RunHistory, previous_end: f64) -> DelayCause {
    let last = wait_reports(job, first, previous_end).next_back();
    DelayCause::Wait(last.map_or_else(|| "unknown".into(), |wait| wait.reason.clone()))
}
