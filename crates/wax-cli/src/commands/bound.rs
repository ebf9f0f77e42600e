//! `waxwing bound FILE...`: computes an upper bound of the work that any scheduler could complete,
//! for a trace or for log lines.

use super::logs::read_logs;
use super::replay::trace_error;
use crate::context::CommandContext;
use crate::failure::CommandFailure;
use crate::output::{json_text, table_text};
use std::collections::BTreeMap;
use wax_logs::JobHistory;
use wax_replay::{BoundJob, BoundSlot, WorkBound, bound_trace, compute_bound, parse_trace};

/// Length of a slot when log lines are evaluated, seconds.
const SLOT_S: f64 = 1.0;

/// Upper bound of the work of a queue's jobs that can be completed in time, and the work that was,
/// core seconds.
struct QueueBound {
    bound: WorkBound,
    in_time: f64,
}

pub(crate) fn run(context: &mut CommandContext) -> Result<String, CommandFailure> {
    let cores: Option<f64> = context.args.opt_value_from_str("--cores")?;
    let seed: Option<u64> = context.args.opt_value_from_str("--seed")?;
    let mut files = vec![context.next_arg("FILE")?];
    while let Some(file) = context.args.opt_free_from_str()? {
        files.push(file);
    }
    context.finish()?;
    match cores {
        Some(cores) if cores.is_finite() && cores > 0.0 => bound_of_logs(context, &files, cores),
        Some(_) => Err(CommandFailure::Usage(
            "--cores takes a number above 0".to_owned(),
        )),
        None if files.len() == 1 => bound_of_trace(context, &files[0], seed.unwrap_or(1)),
        None => Err(CommandFailure::Usage(
            "give one trace, or log files with --cores".to_owned(),
        )),
    }
}

fn bound_of_trace(
    context: &CommandContext,
    file: &str,
    seed: u64,
) -> Result<String, CommandFailure> {
    let text = std::fs::read_to_string(file).map_err(|error| trace_error(file, error))?;
    let lines = parse_trace(&text).map_err(|error| trace_error(file, error))?;
    let bound = bound_trace(&lines, seed).map_err(|error| trace_error(file, error))?;
    if context.json {
        return Ok(json_text(&serde_json::to_value(bound).unwrap_or_default()));
    }
    Ok(format!(
        "{} jobs; requested run time {:.1} s, possible by the end of the trace {:.1} s ({:.1}%)\n",
        bound.jobs,
        bound.requested_value,
        bound.possible_value,
        100.0 * bound.share()
    ))
}

/// Bounds the jobs of log files by their declared work and objective. The value of a job is its
/// work. Jobs with a long-running step and cancelled jobs are left out.
fn bound_of_logs(
    context: &CommandContext,
    files: &[String],
    cores: f64,
) -> Result<String, CommandFailure> {
    let history = read_logs(files)?;
    let finite: Vec<&JobHistory> = history
        .jobs
        .values()
        .filter(|job| !job.long_running && !job.is_cancelled())
        .collect();
    let activity_times = finite.iter().map(|job| last_activity(job));
    let slots = slots(
        history.started_at,
        activity_times.fold(history.started_at, f64::max),
        cores,
    );
    let mut queues: BTreeMap<&str, Vec<&JobHistory>> = BTreeMap::new();
    for job in &finite {
        queues.entry(&job.queue).or_default().push(job);
    }
    let mut rows = vec![("all".to_owned(), queue_bound(&finite, &slots))];
    rows.extend(
        queues
            .iter()
            .map(|(queue, jobs)| ((*queue).to_owned(), queue_bound(jobs, &slots))),
    );
    if context.json {
        let json: Vec<serde_json::Value> = rows
            .iter()
            .map(|(queue, row)| {
                serde_json::json!({ "queue": queue, "bound": row.bound, "in_time": row.in_time })
            })
            .collect();
        return Ok(json_text(&serde_json::Value::Array(json)));
    }
    let cells: Vec<Vec<String>> = rows.iter().map(|(queue, row)| cells(queue, row)).collect();
    let heading = [
        "QUEUE",
        "JOBS",
        "ASKED CORE S",
        "POSSIBLE",
        "IN TIME",
        "SHARE POSSIBLE",
        "SHARE REACHED",
    ];
    Ok(format!(
        "declared work completed within objectives on {cores} cores; the row of a queue assumes that no other queue uses the cores\n{}",
        table_text(&heading, &cells)
    ))
}

fn queue_bound(jobs: &[&JobHistory], slots: &[BoundSlot]) -> QueueBound {
    let bound_jobs: Vec<BoundJob> = jobs
        .iter()
        .map(|job| BoundJob {
            arrival_s: job.requested_at,
            deadline_s: job.requested_at + job.objective_s,
            work_core_s: job.work_core_s,
            value: job.work_core_s,
        })
        .collect();
    let reached = jobs.iter().filter(|job| job.is_in_time());
    QueueBound {
        bound: compute_bound(&bound_jobs, slots),
        in_time: reached.map(|job| job.work_core_s).sum(),
    }
}

/// Returns when the last run of a job was over by the log lines, or when the job ended if that is
/// later. No line records work done after this time.
fn last_activity(job: &JobHistory) -> f64 {
    let runs = job
        .runs
        .iter()
        .map(|run| run.over_at.unwrap_or(run.ordered_at));
    let ended = job.end.as_ref().map(|(at, _)| *at);
    runs.chain(ended).fold(job.requested_at, f64::max)
}

/// Divides the time from the first line to the last activity of a job into slots with the same
/// number of cores.
fn slots(started_at: f64, last_activity_at: f64, cores: f64) -> Vec<BoundSlot> {
    let count = ((last_activity_at - started_at) / SLOT_S).ceil() as usize;
    let slot = |number: usize| BoundSlot {
        start_s: started_at + number as f64 * SLOT_S,
        end_s: (started_at + (number + 1) as f64 * SLOT_S).min(last_activity_at),
        cores,
    };
    (0..count).map(slot).collect()
}

fn cells(queue: &str, row: &QueueBound) -> Vec<String> {
    let bound = &row.bound;
    let share = |part: f64| format!("{:.2}", part / bound.requested_core_s.max(f64::EPSILON));
    vec![
        queue.to_owned(),
        bound.jobs.to_string(),
        format!("{:.0}", bound.requested_core_s),
        format!("{:.0}", bound.possible_core_s),
        format!("{:.0}", row.in_time),
        share(bound.possible_core_s),
        share(row.in_time),
    ]
}
