//! Plots a pool's history over time: open jobs, runs in progress, waiting steps and slowed images.
//!
//! Each scale has a panel of its own: on a common axis, thousands of runs would flatten the other
//! lines. Vertical lines mark takeovers and the times at which a front lost the store.

use crate::history::PoolHistory;
use crate::report::{WindowRow, build_report, is_running_at};
use plotters::prelude::*;
use std::error::Error;

const SIZE_PX: (u32, u32) = (1_000, 760);
/// Number of intervals into which the time axis is divided.
const POINTS_PER_LINE: f64 = 200.0;
const TAKEOVER_COLOR: RGBColor = RGBColor(0, 140, 0);
const STORE_LOSS_COLOR: RGBColor = RGBColor(170, 170, 170);

struct PlotLine {
    name: &'static str,
    color: RGBColor,
    points: Vec<(f64, f64)>,
}

/// Lines that share a scale.
struct PlotPanel {
    lines: Vec<PlotLine>,
}

impl PlotPanel {
    fn max_value(&self) -> f64 {
        let points = self.lines.iter().flat_map(|line| &line.points);
        points.map(|(_, value)| *value).fold(1.0, f64::max)
    }
}

/// Times, in seconds from the first line, that are marked in every panel.
struct EventMarks {
    takeovers: Vec<f64>,
    store_losses: Vec<f64>,
}

/// Draws a pool's history as an SVG image.
///
/// # Errors
///
/// The history has no job, or the drawing fails.
pub fn plot_history(history: &PoolHistory) -> Result<String, Box<dyn Error>> {
    let last = history
        .jobs
        .values()
        .map(|job| job.end.as_ref().map_or(job.accepted_at, |(at, _)| *at))
        .reduce(f64::max)
        .ok_or("the log lines contain no accepted job")?;
    let span = (last - history.started_at).max(1.0);
    let rows = build_report(history, span / POINTS_PER_LINE).windows;
    let marks = event_marks(history, span);
    let mut text = String::new();
    draw(
        &mut text,
        &plot_title(history),
        &plot_panels(history, &rows, span),
        &marks,
        span,
    )?;
    Ok(text)
}

fn plot_title(history: &PoolHistory) -> String {
    let in_time = history.jobs.values().filter(|job| job.is_in_time()).count();
    format!(
        "{} jobs accepted, {in_time} in time, {} requests not accepted, {} takeovers",
        history.jobs.len(),
        history.not_accepted.len(),
        history.takeovers.len()
    )
}

fn event_marks(history: &PoolHistory, span: f64) -> EventMarks {
    let within = |times: &[f64]| {
        let times = times.iter().map(|at| at - history.started_at);
        times.filter(|at| (0.0..=span).contains(at)).collect()
    };
    EventMarks {
        takeovers: within(&history.takeovers),
        store_losses: within(&history.store_losses),
    }
}

fn plot_panels(history: &PoolHistory, rows: &[WindowRow], span: f64) -> [PlotPanel; 3] {
    let line = |name, color, value: &dyn Fn(&WindowRow) -> f64| PlotLine {
        name,
        color,
        points: rows.iter().map(|row| (row.from, value(row))).collect(),
    };
    let times = (0..=POINTS_PER_LINE as u32).map(|step| f64::from(step) / POINTS_PER_LINE * span);
    let open = times.map(|from| (from, open_jobs(history, history.started_at + from)));
    let open = PlotLine {
        name: "jobs open",
        color: BLACK,
        points: open.collect(),
    };
    let running = line("runs under way", BLUE, &|row| f64::from(row.running));
    let waits = line("steps that begin to wait", RED, &|row| {
        f64::from(row.waits.values().sum::<u32>())
    });
    let slowed = line("images slowed", MAGENTA, &|row| f64::from(row.slowed));
    let panel = |lines| PlotPanel { lines };
    [
        panel(vec![open]),
        panel(vec![running]),
        panel(vec![waits, slowed]),
    ]
}

/// Counts the accepted jobs that, at the given time, have not ended or still have a run in progress.
/// Jobs with a long-running step are left out. An open job without a run in progress is waiting.
fn open_jobs(history: &PoolHistory, at: f64) -> f64 {
    let is_open = |job: &&crate::history::JobHistory| {
        let ended = job.end.as_ref().is_some_and(|(end, _)| *end <= at);
        let runs = job.runs.iter().any(|run| is_running_at(run, at));
        !job.long_running && job.accepted_at <= at && (!ended || runs)
    };
    history.jobs.values().filter(is_open).count() as f64
}

fn draw(
    text: &mut String,
    title: &str,
    panels: &[PlotPanel],
    marks: &EventMarks,
    span: f64,
) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::with_string(text, SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let body = root.titled(title, ("sans-serif", 18))?;
    for (area, panel) in body.split_evenly((panels.len(), 1)).iter().zip(panels) {
        draw_panel(area, panel, marks, span)?;
    }
    root.present()?;
    Ok(())
}

type PlotArea<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn draw_panel(
    area: &PlotArea<'_>,
    panel: &PlotPanel,
    marks: &EventMarks,
    span: f64,
) -> Result<(), Box<dyn Error>> {
    let max_value = panel.max_value();
    let mut chart = ChartBuilder::on(area)
        .margin(6)
        .x_label_area_size(32)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..span, 0.0..max_value)?;
    chart
        .configure_mesh()
        .x_desc("seconds from the first line")
        .draw()?;
    let kinds = [
        (
            "a front lost the store",
            STORE_LOSS_COLOR,
            &marks.store_losses,
        ),
        ("takeover", TAKEOVER_COLOR, &marks.takeovers),
    ];
    for (name, color, times) in kinds {
        let lines = times
            .iter()
            .map(|at| PathElement::new(vec![(*at, 0.0), (*at, max_value)], color));
        chart
            .draw_series(lines)?
            .label(name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], color));
    }
    for line in &panel.lines {
        let color = line.color;
        let points = line.points.iter().copied();
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(line.name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], color));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    Ok(())
}
