//! Why a job was late: where the time went along its critical path.
//!
//! The path is walked back from the task that ended last: its last run, the runs before it that came
//! to nothing, its wait, then the task whose end let its step begin.

use crate::event::step_of;
use crate::history::{JobHistory, RunHistory, StepPause};
use std::collections::BTreeMap;
use std::fmt;

/// Where time went.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum LateCause {
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

impl fmt::Display for LateCause {
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
pub struct LateShare {
    /// The cause.
    pub cause: LateCause,
    /// Seconds.
    pub seconds: f64,
}

/// Ends that are this close to a beginning may have let it begin, seconds.
const SAME_MOMENT: f64 = 0.05;
/// A task that never ended counts as this long at least, seconds: it outweighs what was before.
const UNFINISHED_SPAN: f64 = 20.0;
/// Longer paths are not walked to their beginning.
const MOST_STEPS: usize = 64;

/// Where a job's time went, the greatest share first.
pub fn late_shares(job: &JobHistory) -> Vec<LateShare> {
    let mut shares = BTreeMap::new();
    let mut add = |cause: LateCause, seconds: f64| {
        if seconds > 0.0 {
            *shares.entry(cause).or_insert(0.0) += seconds;
        }
    };
    add(LateCause::Accepting, job.accepted - job.asked);
    let tasks = runs_by_task(job);
    let mut runs_time = 0.0;
    let mut next = last_task(&tasks);
    for _ in 0..MOST_STEPS {
        let Some(runs) = next.and_then(|task| tasks.get(task)) else {
            break;
        };
        let Some((first, last)) = runs.first().zip(runs.last()) else {
            break;
        };
        match last.done() {
            Some(end) => runs_time += end - last.ordered,
            None => add(LateCause::Unfinished, UNFINISHED_SPAN),
        }
        for pair in runs.windows(2) {
            add(lost_cause(pair[0]), pair[1].ordered - pair[0].ordered);
        }
        let since = first.ordered - first.waited;
        let before = predecessor(&tasks, since, &first.task);
        let earlier = before.map_or(job.accepted, |(_, end)| end);
        // The wait of a step is counted anew once a sibling has come back: what was told before
        // that shows that the step waited already.
        let told = first_told(job, first, earlier);
        let opened = told.map_or(since, |told| told.min(since));
        add(wait_cause(job, first, earlier), first.ordered - opened);
        add(LateCause::NoOwner, opened - earlier);
        next = before.map(|(task, _)| task);
    }
    if tasks.is_empty() {
        add(LateCause::NoOwner, UNFINISHED_SPAN);
    }
    add(LateCause::SlowRun, runs_time - job.objective / 2.0);
    let mut list: Vec<LateShare> = shares
        .into_iter()
        .map(|(cause, seconds)| LateShare { cause, seconds })
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

fn done_at(runs: &[&RunHistory]) -> Option<f64> {
    runs.iter().find_map(|run| run.done())
}

/// The task that ended last, or one that has not ended.
fn last_task<'a>(tasks: &TaskRuns<'a>) -> Option<&'a str> {
    let end = |runs: &[&RunHistory]| done_at(runs).unwrap_or(f64::INFINITY);
    let last = tasks
        .iter()
        .max_by(|one, other| end(one.1).total_cmp(&end(other.1)));
    last.map(|(task, _)| *task)
}

/// The task of another step whose end was the last before a step opened.
fn predecessor<'a>(tasks: &TaskRuns<'a>, opened: f64, task: &str) -> Option<(&'a str, f64)> {
    let ends = tasks.iter().filter_map(|(other, runs)| {
        let end = done_at(runs)?;
        let counts = step_of(other) != step_of(task) && end <= opened + SAME_MOMENT;
        counts.then_some((*other, end))
    });
    ends.max_by(|one, other| one.1.total_cmp(&other.1))
}

/// Why a run came to nothing.
fn lost_cause(run: &RunHistory) -> LateCause {
    match (&run.stop, run.end.as_ref().map(|(_, how)| &**how)) {
        (Some(_), _) => LateCause::Stalled,
        (None, Some("Failed")) => LateCause::Failed,
        _ => LateCause::Lost,
    }
}

/// What was told of a task's step from `earlier` to the task's first start, in order.
fn told<'a>(
    job: &'a JobHistory,
    first: &'a RunHistory,
    earlier: f64,
) -> impl DoubleEndedIterator<Item = &'a StepPause> {
    let span = earlier - SAME_MOMENT..=first.ordered;
    let step = step_of(&first.task);
    let pauses = job.pauses.iter();
    pauses.filter(move |pause| *pause.step == *step && span.contains(&pause.at))
}

/// Since when a task's step is known to have waited.
fn first_told(job: &JobHistory, first: &RunHistory, earlier: f64) -> Option<f64> {
    told(job, first, earlier).next().map(|pause| pause.at)
}

/// The reason that was told last while a task waited for its first start.
fn wait_cause(job: &JobHistory, first: &RunHistory, earlier: f64) -> LateCause {
    let last = told(job, first, earlier).next_back();
    LateCause::Wait(last.map_or_else(|| "unknown".into(), |pause| pause.reason.clone()))
}
