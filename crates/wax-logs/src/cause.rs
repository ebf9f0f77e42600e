//! Why a job was late: where the time went along its critical path.
//!
//! The path is walked back from the task that ended last: its last run, the runs before it that came
//! to nothing, its wait, then the task whose end let its step begin.

use crate::event::step_of;
use crate::history::{JobHistory, RunHistory, StepWait};
use std::collections::BTreeMap;
use std::fmt;

/// Where time went.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum DelayCause {
    /// Its last run took longer than half of the objective allows.
    SlowRun,
    /// Runs that were stopped, as they made no progress.
    Stalled,
    /// Runs that failed.
    Failed,
    /// Runs that were lost with a worker or an agent.
    Lost,
    /// Tasks waited, for this reason as last told; `unknown` if none was.
    Wait(Box<str>),
    /// Nobody took note: from the acceptance, or an end, to the beginning of the wait.
    NoOwner,
    /// From the request to the acceptance.
    Accepting,
    /// A task had not ended when the lines did.
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

/// One cause and its time along the critical path.
#[derive(Debug, Clone, PartialEq)]
pub struct DelayShare {
    /// The cause.
    pub cause: DelayCause,
    /// Seconds.
    pub seconds: f64,
}

/// Ends that are this close to a beginning may have let it begin, seconds.
const TIME_TOLERANCE_S: f64 = 0.05;
/// A task that never ended counts as this long at least, seconds: it outweighs what was before.
const UNFINISHED_TASK_S: f64 = 20.0;
/// Longer paths are not walked to their beginning.
const MAX_PATH_STEPS: usize = 64;

/// Where a job's time went, the greatest share first.
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
        // The wait of a step is counted anew once a sibling has come back: what was told before
        // that shows that the step waited already.
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

/// The task that ended last, or one that has not ended.
fn last_task<'a>(tasks: &TaskRuns<'a>) -> Option<&'a str> {
    let end = |runs: &[&RunHistory]| task_done_at(runs).unwrap_or(f64::INFINITY);
    let last = tasks
        .iter()
        .max_by(|one, other| end(one.1).total_cmp(&end(other.1)));
    last.map(|(task, _)| *task)
}

/// The task of another step whose end was the last before a step opened.
fn predecessor<'a>(tasks: &TaskRuns<'a>, wait_start: f64, task: &str) -> Option<(&'a str, f64)> {
    let ends = tasks.iter().filter_map(|(other, runs)| {
        let end = task_done_at(runs)?;
        let counts = step_of(other) != step_of(task) && end <= wait_start + TIME_TOLERANCE_S;
        counts.then_some((*other, end))
    });
    ends.max_by(|one, other| one.1.total_cmp(&other.1))
}

/// Why a run came to nothing.
fn failed_run_cause(run: &RunHistory) -> DelayCause {
    match (&run.stop, run.end.as_ref().map(|(_, how)| &**how)) {
        (Some(_), _) => DelayCause::Stalled,
        (None, Some("Failed")) => DelayCause::Failed,
        _ => DelayCause::Lost,
    }
}

/// What was told of a task's step from `earlier` to the task's first start, in order.
fn wait_reports<'a>(
    job: &'a JobHistory,
    first: &'a RunHistory,
    previous_end: f64,
) -> impl DoubleEndedIterator<Item = &'a StepWait> {
    let span = previous_end - TIME_TOLERANCE_S..=first.ordered_at;
    let step = step_of(&first.task);
    let waits = job.waits.iter();
    waits.filter(move |wait| *wait.step == *step && span.contains(&wait.reported_at))
}

/// Since when a task's step is known to have waited.
fn first_wait_report(job: &JobHistory, first: &RunHistory, previous_end: f64) -> Option<f64> {
    wait_reports(job, first, previous_end)
        .next()
        .map(|wait| wait.reported_at)
}

/// The reason that was told last while a task waited for its first start.
fn wait_cause(job: &JobHistory, first: &RunHistory, previous_end: f64) -> DelayCause {
    let last = wait_reports(job, first, previous_end).next_back();
    DelayCause::Wait(last.map_or_else(|| "unknown".into(), |wait| wait.reason.clone()))
}
