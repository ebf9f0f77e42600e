//! Attributes the delay of a late job to causes along its critical path.
//!
//! The path is walked backwards from the task that ended last: its last run, its earlier runs
//! without a result, its wait, and then the task whose end allowed its step to start.

use crate::event::step_of;
use crate::history::{JobHistory, LOST, RunHistory, STALLED, StepWait};
use std::collections::BTreeMap;
use std::fmt;

/// Why time was spent along the critical path.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum DelayCause {
    /// Time by which the runs with a result along the path exceeded, in total, half of the
    /// objective.
    SlowRun,
    /// Time spent on runs that were ordered to stop because they made no progress.
    Stalled,
    /// Time spent on runs that were ordered to stop for another reason, which it holds.
    Stopped(Box<str>),
    /// Time spent on starts that were refused. Holds the reason for the refusal.
    Refused(Box<str>),
    /// Time spent on runs that failed.
    Failed,
    /// Time spent on runs that were lost with their worker or agent.
    Lost,
    /// Time in which tasks waited. Holds the last reason that was reported; `unknown` if none was.
    Wait(Box<str>),
    /// Time between the acceptance, or the end of the previous task, and a later takeover: no owner
    /// was handling the job.
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
            Self::Stopped(why) => write!(formatter, "stopped: {why}"),
            Self::Refused(why) => write!(formatter, "refused: {why}"),
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
/// Time that is attributed to a task without a result, or to the wait of a job whose tasks were never
/// started, seconds. Large enough to outweigh the earlier causes on the path.
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
    let mut next = last_task(job, &tasks);
    for _ in 0..MAX_PATH_STEPS {
        let Some(runs) = next.and_then(|task| tasks.get(task)) else {
            break;
        };
        let runs = runs_to_result(runs);
        let Some((first, last)) = runs.first().zip(runs.last()) else {
            break;
        };
        match result_at(job, last) {
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
        let previous = predecessor(job, &tasks, counted_from, &first.task);
        let previous_end = previous.map_or(job.accepted_at, |(_, end)| end);
        // The wait counter of a step restarts when a sibling task is requeued. An earlier wait
        // report shows that the step was already waiting before the restart.
        let reported = first_wait_report(job, first, previous_end);
        let wait_start = reported.map_or(counted_from, |reported| reported.min(counted_from));
        let (without_owner, unreported_wait) = split_at_takeover(job, previous_end, wait_start);
        add(
            wait_cause(job, first, previous_end),
            first.ordered_at - wait_start,
        );
        add(DelayCause::NoOwner, without_owner);
        add(unknown_wait(), unreported_wait);
        next = previous.map(|(task, _)| task);
    }
    if tasks.is_empty() {
        add(unstarted_cause(job), UNFINISHED_TASK_S);
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

/// Returns the runs of a task up to the first one with a result. A later run is a copy that was
/// stopped.
fn runs_to_result<'a, 'b>(runs: &'b [&'a RunHistory]) -> &'b [&'a RunHistory] {
    let with_result = runs.iter().position(|run| run.done_at().is_some());
    &runs[..with_result.map_or(runs.len(), |index| index + 1)]
}

/// Returns when a task's last run ended with a result. The report of the end may have been lost; in
/// a completed job, each task had a result.
fn result_at(job: &JobHistory, last: &RunHistory) -> Option<f64> {
    let is_completed = job.response_time_s().is_some();
    let unreported = last.over_at.filter(|_| is_completed && last.end.is_none());
    last.done_at().or(unreported)
}

fn task_done_at(job: &JobHistory, runs: &[&RunHistory]) -> Option<f64> {
    result_at(job, runs_to_result(runs).last()?)
}

/// Returns a task without a result or, if all have one, the task that ended last.
fn last_task<'a>(job: &JobHistory, tasks: &TaskRuns<'a>) -> Option<&'a str> {
    let end = |runs: &[&RunHistory]| task_done_at(job, runs).unwrap_or(f64::INFINITY);
    let last = tasks
        .iter()
        .max_by(|one, other| end(one.1).total_cmp(&end(other.1)));
    last.map(|(task, _)| *task)
}

/// Returns the task of another step whose end was the last one before a step started to wait.
fn predecessor<'a>(
    job: &JobHistory,
    tasks: &TaskRuns<'a>,
    wait_start: f64,
    task: &str,
) -> Option<(&'a str, f64)> {
    let ends = tasks.iter().filter_map(|(other, runs)| {
        let end = task_done_at(job, runs)?;
        let is_candidate = step_of(other) != step_of(task) && end <= wait_start + TIME_TOLERANCE_S;
        is_candidate.then_some((*other, end))
    });
    ends.max_by(|one, other| one.1.total_cmp(&other.1))
}

/// Splits the time before a wait, of which no line gives the reason, at the last takeover in it.
/// Returns the seconds before the takeover, in which no owner handled the job, and those after it.
/// Without a takeover an owner handled the job all the time.
fn split_at_takeover(job: &JobHistory, from: f64, to: f64) -> (f64, f64) {
    let mut takeovers = job.takeovers.iter().rev().copied();
    match takeovers.find(|at| (from..=to).contains(at)) {
        Some(takeover) => (takeover - from, to - takeover),
        None => (0.0, (to - from).max(0.0)),
    }
}

/// Returns why no task of a job was ever started.
fn unstarted_cause(job: &JobHistory) -> DelayCause {
    match job.waits.last() {
        Some(wait) => DelayCause::Wait(wait.reason.clone()),
        None if job.takeovers.is_empty() => unknown_wait(),
        None => DelayCause::NoOwner,
    }
}

/// Returns why a run had no result.
fn failed_run_cause(run: &RunHistory) -> DelayCause {
    let given_up = run.given_up.as_ref().map(|(_, why)| &**why);
    let refused = given_up.filter(|why| *why != LOST);
    match (&run.stop_reason, run.end.as_ref().map(|(_, how)| &**how)) {
        (Some(why), _) if **why == *STALLED => DelayCause::Stalled,
        (Some(why), _) => DelayCause::Stopped(why.clone()),
        (None, Some("Failed")) => DelayCause::Failed,
        (None, None) => refused.map_or(DelayCause::Lost, |why| DelayCause::Refused(why.into())),
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
    last.map_or_else(unknown_wait, |wait| DelayCause::Wait(wait.reason.clone()))
}

fn unknown_wait() -> DelayCause {
    DelayCause::Wait("unknown".into())
}
