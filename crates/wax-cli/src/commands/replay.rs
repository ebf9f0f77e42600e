//! `waxwing replay TRACE`: replays a recorded trace through the decision code of the daemons.

use crate::context::CommandContext;
use crate::failure::CommandFailure;
use crate::output::{json_text, table_text};
use wax_replay::{
    ComparisonReport, PolicyRatios, RatioSpread, ReplayPolicy, ReplayReport, compare_policies,
    parse_trace, replay,
};
use wax_types::{ErrorKind, Step, WaxError};

pub(crate) async fn run(context: &mut CommandContext) -> Result<String, CommandFailure> {
    let policy: Option<ReplayPolicy> = context.args.opt_value_from_fn("--policy", str::parse)?;
    let seed: Option<u64> = context.args.opt_value_from_str("--seed")?;
    let compare: Option<u64> = context.args.opt_value_from_str("--compare")?;
    let file = context.next_arg("TRACE")?;
    context.finish()?;
    let text = std::fs::read_to_string(&file).map_err(|error| trace_error(&file, error))?;
    let lines = parse_trace(&text).map_err(|error| trace_error(&file, error))?;
    if let Some(seeds) = compare {
        let report = compare_policies(&lines, seeds.clamp(1, 1_000))
            .map_err(|error| trace_error(&file, error))?;
        return Ok(comparison_text(context, &report));
    }
    let policy = policy.unwrap_or(ReplayPolicy::WEIGHED);
    let report =
        replay(&lines, policy, seed.unwrap_or(1)).map_err(|error| trace_error(&file, error))?;
    if context.json {
        return Ok(json_text(
            &serde_json::to_value(&report).unwrap_or_default(),
        ));
    }
    Ok(report_text(&report))
}

pub(super) fn trace_error(file: &str, error: impl std::fmt::Display) -> CommandFailure {
    let error = WaxError::new(ErrorKind::Invalid, Step::ReadSettings, file, error)
        .with_help("docs/REPLAY.md describes the lines of a trace");
    CommandFailure::Failed(error)
}

fn report_text(report: &ReplayReport) -> String {
    let (quick, batch, urgent) = (&report.quick, &report.batch, &report.urgent);
    let rows = [
        ("policy", report.policy.to_string()),
        ("seed", report.seed.to_string()),
        ("quick requests", quick.requests.to_string()),
        ("  misses", quick.misses.to_string()),
        ("  refused", quick.refused.to_string()),
        ("  hedges", quick.hedges.to_string()),
        (
            "  p50, p99, p99.9 (ms)",
            format!(
                "{:.1}, {:.1}, {:.1}",
                quick.p50_us as f64 / 1e3,
                quick.p99_us as f64 / 1e3,
                quick.p999_us as f64 / 1e3
            ),
        ),
        ("batch tasks", batch.tasks.to_string()),
        (
            "  done, failed, cancelled",
            format!("{}, {}, {}", batch.done, batch.failed, batch.cancelled),
        ),
        (
            "  work done, open (s)",
            format!(
                "{:.1}, {:.1}",
                batch.work_done_ms as f64 / 1e3,
                batch.work_open_ms as f64 / 1e3
            ),
        ),
        ("  evictions", batch.evictions.to_string()),
        (
            "  lost work (s)",
            format!("{:.1}", batch.lost_work_ms as f64 / 1e3),
        ),
        ("urgent tasks", urgent.tasks.to_string()),
        ("  started", urgent.started.to_string()),
        (
            "  p50, max to start (ms)",
            format!("{}, {}", urgent.p50_ms, urgent.max_ms),
        ),
        (
            "rows per placement",
            format!("{:.2}", report.rows_per_placement),
        ),
        (
            "commits per placement",
            format!("{:.2}", report.commits_per_placement),
        ),
        (
            "worst over-allocation",
            format!("{} milli", report.worst_over_milli),
        ),
    ];
    let rows: Vec<Vec<String>> = rows
        .into_iter()
        .map(|(name, value)| vec![name.to_owned(), value])
        .collect();
    table_text(&["FIGURE", "VALUE"], &rows)
}

fn comparison_text(context: &CommandContext, report: &ComparisonReport) -> String {
    if context.json {
        return json_text(&serde_json::to_value(report).unwrap_or_default());
    }
    let rows: Vec<Vec<String>> = report
        .ratios
        .iter()
        .chain(std::iter::once(&report.best))
        .map(ratio_row)
        .collect();
    let heading = [
        "AGAINST",
        "P99.9",
        "P99",
        "MISSES",
        "EVICTIONS",
        "LOST WORK",
        "WORK DONE",
    ];
    format!(
        "weighed policy divided by each baseline, median [min, max] over {} seeds\n{}\
         worst over-allocation: {} milli\n",
        report.seeds,
        table_text(&heading, &rows),
        report.worst_over_milli
    )
}

fn ratio_row(ratios: &PolicyRatios) -> Vec<String> {
    let text = |spread: &RatioSpread| {
        format!(
            "{:.2} [{:.2}, {:.2}]",
            spread.median, spread.min, spread.max
        )
    };
    vec![
        ratios.baseline.to_string(),
        text(&ratios.p999),
        text(&ratios.p99),
        text(&ratios.misses),
        text(&ratios.evictions),
        text(&ratios.lost_work),
        text(&ratios.work),
    ]
}
