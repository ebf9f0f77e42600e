//! Finds out when runs were over whose end no line reports: an owner that is lost, an agent or a
//! worker may have taken the report with it.

use crate::event::LogEvent;
use crate::history::{JobHistory, RunHistory};
use crate::report::is_running_at;
use std::collections::BTreeMap;

/// Number of runs that were in progress on a worker when its agent listed them.
#[derive(Debug)]
pub(crate) struct WorkerListing {
    at: f64,
    worker: Box<str>,
    running: usize,
}

impl WorkerListing {
    /// Returns what an event says about all runs of a worker, if it does.
    pub(crate) fn new(at: f64, event: &LogEvent) -> Option<Self> {
        let (worker, running) = match event {
            LogEvent::WorkerTakenOver { worker, runs } => (worker, *runs),
            LogEvent::WorkerEnded { worker } => (worker, 0),
            _ => return None,
        };
        let worker = worker.clone();
        Some(Self {
            at,
            worker,
            running,
        })
    }
}

/// Sets for each run when it was over.
pub(crate) fn close_runs(jobs: &mut BTreeMap<Box<str>, JobHistory>, listings: &[WorkerListing]) {
    for job in jobs.values_mut() {
        close_by_own_lines(&mut job.runs);
        close_superseded(&mut job.runs);
    }
    let mut workers = runs_by_worker(jobs);
    for listing in listings {
        if let Some(runs) = workers.get_mut(&*listing.worker) {
            close_unlisted(runs, listing);
        }
    }
    for job in jobs.values_mut() {
        close_by_job_end(job);
    }
}

fn close_by_own_lines(runs: &mut [RunHistory]) {
    for run in runs {
        let end = run.end.as_ref().or(run.given_up.as_ref());
        run.over_at = end.map(|(at, _)| *at);
    }
}

/// Closes the runs of a task at its next start: an owner starts a task again only once the earlier
/// runs have ended or were given up.
fn close_superseded(runs: &mut [RunHistory]) {
    let mut tasks: BTreeMap<Box<str>, Vec<usize>> = BTreeMap::new();
    for (index, run) in runs.iter().enumerate() {
        tasks.entry(run.task.clone()).or_default().push(index);
    }
    for indices in tasks.values_mut() {
        indices.sort_by_key(|index| runs[*index].run);
        for pair in indices.windows(2) {
            let next_start = runs[pair[1]].ordered_at;
            close(&mut runs[pair[0]], next_start);
        }
    }
}

/// Run on a worker, and whether its job has a long-running step.
type WorkerRun<'a> = (bool, &'a mut RunHistory);

fn runs_by_worker(
    jobs: &mut BTreeMap<Box<str>, JobHistory>,
) -> BTreeMap<Box<str>, Vec<WorkerRun<'_>>> {
    let mut workers: BTreeMap<Box<str>, Vec<WorkerRun<'_>>> = BTreeMap::new();
    for job in jobs.values_mut() {
        for run in &mut job.runs {
            let runs = workers.entry(run.worker.clone()).or_default();
            runs.push((job.long_running, run));
        }
    }
    workers
}

/// Closes the runs of a worker that it does not list. The line gives only the number of listed runs.
/// Those whose end was reported later are known to be among them; of the others, runs of
/// long-running steps and late starts are the most likely.
fn close_unlisted(runs: &mut [WorkerRun<'_>], listing: &WorkerListing) {
    let mut open: Vec<&mut WorkerRun<'_>> = runs
        .iter_mut()
        .filter(|(_, run)| is_running_at(run, listing.at))
        .collect();
    open.sort_by(|one, other| {
        let (one, other) = (&**one, &**other);
        let has_end = |run: &RunHistory| run.end.is_some() || run.given_up.is_some();
        let by_end = has_end(other.1).cmp(&has_end(one.1));
        let by_kind = other.0.cmp(&one.0);
        let by_start = other.1.ordered_at.total_cmp(&one.1.ordered_at);
        by_end.then(by_kind).then(by_start)
    });
    for (_, run) in open.into_iter().skip(listing.running) {
        close(run, listing.at);
    }
}

/// Closes the runs of an ended job that no other line closes.
fn close_by_job_end(job: &mut JobHistory) {
    let Some((ended_at, _)) = &job.end else {
        return;
    };
    for run in &mut job.runs {
        run.over_at.get_or_insert(ended_at.max(run.ordered_at));
    }
}

fn close(run: &mut RunHistory, at: f64) {
    let at = at.max(run.ordered_at);
    run.over_at = Some(run.over_at.map_or(at, |known| known.min(at)));
}
