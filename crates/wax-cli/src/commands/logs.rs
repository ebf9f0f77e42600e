//! `waxwing logs report FILE...`: reports jobs, waits and causes of delay from the pool's log
//! lines.

use crate::context::CommandContext;
use crate::failure::CommandFailure;
use crate::output::{json_text, table_text};
use std::fmt::Write;
use wax_logs::{
    LogReport, PoolHistory, QueueRow, WindowRow, build_report, job_timeline, parse_lines,
    plot_history,
};
use wax_types::{ErrorKind, Step, WaxError};

/// Length of a window of the report, seconds, unless `--window` sets another.
const DEFAULT_WINDOW_S: f64 = 2.0;

pub(crate) fn run(context: &mut CommandContext) -> Result<String, CommandFailure> {
    let command = context.next_arg("report")?;
    if command != "report" {
        return Err(CommandFailure::Usage(format!("no command logs {command}")));
    }
    let window: Option<f64> = context.args.opt_value_from_str("--window")?;
    let job: Option<String> = context.args.opt_value_from_str("--job")?;
    let plot: Option<String> = context.args.opt_value_from_str("--plot")?;
    let csv = context.args.contains("--csv");
    let mut files = vec![context.next_arg("FILE")?];
    while let Some(file) = context.args.opt_free_from_str()? {
        files.push(file);
    }
    context.finish()?;
    let window = window.unwrap_or(DEFAULT_WINDOW_S);
    if !window.is_finite() || window < 0.1 {
        let text = "--window takes seconds, 0.1 or more".to_owned();
        return Err(CommandFailure::Usage(text));
    }
    let history = read_logs(&files)?;
    if let Some(job) = job {
        let known = history.jobs.get(job.as_str());
        return known.map(job_timeline).ok_or_else(|| {
            log_file_error(
                &files[0],
                format!("the log lines contain no accepted job {job}"),
            )
            .into()
        });
    }
    if let Some(file) = plot {
        let text = plot_history(&history).map_err(|error| log_file_error(&files[0], error))?;
        std::fs::write(&file, text).map_err(|error| log_file_error(&file, error))?;
        return Ok(format!("{file}: written\n"));
    }
    let report = build_report(&history, window);
    Ok(match (context.json, csv) {
        (true, _) => json_text(&serde_json::to_value(&report).unwrap_or_default()),
        (false, true) => csv_text(&report),
        (false, false) => report_text(&report),
    })
}

pub(super) fn read_logs(files: &[String]) -> Result<PoolHistory, CommandFailure> {
    let mut lines = Vec::new();
    for file in files {
        let text = std::fs::read_to_string(file).map_err(|error| log_file_error(file, error))?;
        lines.extend(parse_lines(&text).map_err(|error| log_file_error(file, error))?);
    }
    Ok(PoolHistory::new(lines))
}

fn log_file_error(file: &str, error: impl std::fmt::Display) -> WaxError {
    WaxError::new(ErrorKind::Invalid, Step::ReadSettings, file, error)
        .with_help("give log files of fronts and agents, as JSON lines (`logs: {json: true}`)")
}

fn report_text(report: &LogReport) -> String {
    let mut text = table_text(
        &[
            "QUEUE",
            "ACCEPTED",
            "REFUSED",
            "IN TIME",
            "LATE",
            "GONE",
            "OPEN",
            "FIRST START P50, P95",
            "SPREAD P50, P90",
            "SLOWEST P90",
            "STALLED",
        ],
        &report.queues.iter().map(queue_cells).collect::<Vec<_>>(),
    );
    for queue in report
        .queues
        .iter()
        .filter(|queue| !queue.causes.is_empty())
    {
        text.push_str(&causes_text(queue));
    }
    text.push('\n');
    text.push_str(&table_text(
        &[
            "FROM S",
            "ACCEPTED",
            "REFUSED",
            "IN TIME",
            "STARTS",
            "RUNNING",
            "STALLED",
            "SLOWED",
            "TAKEOVERS",
            "STEPS THAT WAIT",
        ],
        &report.windows.iter().map(window_cells).collect::<Vec<_>>(),
    ));
    text
}

fn queue_cells(row: &QueueRow) -> Vec<String> {
    vec![
        row.queue.to_string(),
        row.accepted.to_string(),
        row.not_accepted.to_string(),
        row.in_time.to_string(),
        row.late.to_string(),
        row.failed_or_cancelled.to_string(),
        row.open.to_string(),
        format!("{:.2}, {:.2}", row.first_start[0], row.first_start[1]),
        format!("{:.2}, {:.2}", row.spread[0], row.spread[1]),
        format!("{:.1}", row.slowest),
        row.stalled.to_string(),
    ]
}

/// Lists the causes of late work of a queue, the largest first.
fn causes_text(row: &QueueRow) -> String {
    let all: f64 = row.causes.values().sum();
    let mut causes: Vec<(&String, &f64)> = row.causes.iter().collect();
    causes.sort_by(|one, other| other.1.total_cmp(one.1));
    let mut text = format!(
        "\n{}: {all:.0} core s of late work, by the greatest cause\n",
        row.queue
    );
    for (cause, work) in causes {
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "  {:>5.1}%  {cause}",
            100.0 * work / all.max(f64::EPSILON)
        );
    }
    text
}

fn window_cells(row: &WindowRow) -> Vec<String> {
    let waits: Vec<String> = row
        .waits
        .iter()
        .map(|(reason, steps)| format!("{reason} {steps}"))
        .collect();
    vec![
        format!("{:.1}", row.from),
        row.accepted.to_string(),
        row.not_accepted.to_string(),
        row.in_time.to_string(),
        row.starts.to_string(),
        row.running.to_string(),
        row.stalled.to_string(),
        row.slowed.to_string(),
        row.takeovers.to_string(),
        waits.join(", "),
    ]
}

fn csv_text(report: &LogReport) -> String {
    let mut text =
        "from_s,accepted,refused,in_time,starts,running,stalled,slowed,takeovers,waits\n"
            .to_owned();
    for row in &report.windows {
        let waits: u32 = row.waits.values().sum();
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "{:.3},{},{},{},{},{},{},{},{},{waits}",
            row.from,
            row.accepted,
            row.not_accepted,
            row.in_time,
            row.starts,
            row.running,
            row.stalled,
            row.slowed,
            row.takeovers
        );
    }
    text
}
