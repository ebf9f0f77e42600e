//! A day as a picture: open jobs, runs under way, what waits and what is slowed, over time.

use crate::history::DayHistory;
use crate::report::{WindowRow, is_under_way, report_day};
use plotters::prelude::*;
use std::error::Error;

/// The picture's size, pixels.
const SIZE: (u32, u32) = (1_000, 520);
/// Points of a line.
const WINDOWS: f64 = 200.0;

/// One line of the picture.
struct PlotLine {
    name: &'static str,
    color: RGBColor,
    points: Vec<(f64, f64)>,
}

/// Draws a day as SVG.
///
/// # Errors
///
/// The lines tell of no job, or the drawing fails.
pub fn plot_day(day: &DayHistory) -> Result<String, Box<dyn Error>> {
    let last = day
        .jobs
        .values()
        .map(|job| job.end.as_ref().map_or(job.accepted, |(at, _)| *at))
        .reduce(f64::max)
        .ok_or("the lines tell of no job")?;
    let span = (last - day.began).max(1.0);
    let rows = report_day(day, span / WINDOWS).windows;
    let lines = plot_lines(day, &rows, span);
    let most = lines
        .iter()
        .flat_map(|line| &line.points)
        .map(|(_, value)| *value)
        .fold(1.0, f64::max);
    let mut text = String::new();
    draw(&mut text, &lines, span, most)?;
    Ok(text)
}

fn plot_lines(day: &DayHistory, rows: &[WindowRow], span: f64) -> Vec<PlotLine> {
    let line = |name, color, value: &dyn Fn(&WindowRow) -> f64| PlotLine {
        name,
        color,
        points: rows.iter().map(|row| (row.from, value(row))).collect(),
    };
    let times = (0..=WINDOWS as u32).map(|step| f64::from(step) / WINDOWS * span);
    let open = times.map(|from| (from, open_jobs(day, day.began + from)));
    vec![
        PlotLine {
            name: "jobs open",
            color: BLACK,
            points: open.collect(),
        },
        line("runs under way", BLUE, &|row| f64::from(row.running)),
        line("steps that begin to wait", RED, &|row| {
            f64::from(row.waits.values().sum::<u32>())
        }),
        line("images slowed", MAGENTA, &|row| f64::from(row.slowed)),
    ]
}

/// Jobs that do not last, were accepted and have not ended; those without a run under way wait.
fn open_jobs(day: &DayHistory, at: f64) -> f64 {
    let is_open = |job: &&crate::history::JobHistory| {
        let ended = job.end.as_ref().is_some_and(|(end, _)| *end <= at);
        let runs = job.runs.iter().any(|run| is_under_way(run, at));
        !job.lasts && job.accepted <= at && (!ended || runs)
    };
    day.jobs.values().filter(is_open).count() as f64
}

fn draw(text: &mut String, lines: &[PlotLine], span: f64, most: f64) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::with_string(text, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(45)
        .build_cartesian_2d(0.0..span, 0.0..most)?;
    chart
        .configure_mesh()
        .x_desc("seconds from the first line")
        .draw()?;
    for line in lines {
        let color = line.color;
        chart
            .draw_series(LineSeries::new(line.points.iter().copied(), &color))?
            .label(line.name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}
