//! Reports, timelines and plots that are built from log lines.

use std::fmt::Write;
use wax_logs::{
    DelayCause, PoolHistory, attribute_delay, build_report, job_timeline, parse_lines, plot_history,
};

/// Formats a log line as a process writes it, `at_ms` milliseconds after noon.
fn line(at_ms: u32, fields: &str) -> String {
    let (seconds, millis) = (at_ms / 1_000, at_ms % 1_000);
    format!(
        "  0.1 edge-1 {{\"timestamp\":\"2026-05-13T12:00:{seconds:02}.{millis:03}000Z\",\"level\":\"INFO\",{fields},\"target\":\"t\"}}\n"
    )
}

fn accepted(at_ms: u32, job: &str, objective_ms: u32) -> String {
    line(
        at_ms,
        &format!(
            "\"message\":\"job accepted\",\"job\":\"{job}\",\"queue\":\"q\",\"took_ms\":10,\"steps\":2,\"tasks\":2,\
             \"work_ms\":5000,\"objective_ms\":{objective_ms},\"priority\":2,\"lasts\":false,\"fills\":true"
        ),
    )
}

fn start(at_ms: u32, task: &str, run: u32, waited_ms: u32) -> String {
    line(
        at_ms,
        &format!(
            "\"message\":\"start ordered\",\"task\":\"{task}\",\"run\":{run},\"worker\":\"w\",\"resumes\":false,\
             \"waited_ms\":{waited_ms},\"pace\":1.0"
        ),
    )
}

fn end(at_ms: u32, task: &str, run: u32, how: &str) -> String {
    line(
        at_ms,
        &format!("\"message\":\"run ended\",\"task\":\"{task}\",\"run\":{run},\"how\":\"{how}\""),
    )
}

fn stop(at_ms: u32, task: &str, run: u32) -> String {
    line(
        at_ms,
        &format!(
            "\"message\":\"stop ordered\",\"task\":\"{task}\",\"run\":{run},\"why\":\"stalled\""
        ),
    )
}

fn waits(at_ms: u32, task: &str, reason: &str) -> String {
    line(
        at_ms,
        &format!(
            "\"message\":\"step waits\",\"task\":\"{task}\",\"waiting\":1,\"waited_ms\":2,\"reason\":\"{reason}\""
        ),
    )
}

fn job_end(at_ms: u32, job: &str) -> String {
    line(
        at_ms,
        &format!(
            "\"message\":\"job ended\",\"job\":\"{job}\",\"outcome\":\"Completed\",\"age_ms\":1"
        ),
    )
}

/// Lines of a job of two steps: the task of the first stalls once and is restarted, the task of the
/// second waits for three seconds.
fn late_job_lines() -> Vec<String> {
    vec![
        accepted(1_010, "a", 4_000),
        start(1_100, "a.0.0.0", 1, 2),
        stop(2_500, "a.0.0.0", 1),
        end(2_900, "a.0.0.0", 1, "Stopped"),
        start(3_000, "a.0.0.0", 2, 2),
        end(4_000, "a.0.0.0", 2, "Done"),
        waits(4_010, "a.0.1.0", "interference"),
        start(7_000, "a.0.1.0", 1, 2_990),
        end(8_000, "a.0.1.0", 1, "Done"),
        job_end(8_010, "a"),
    ]
}

fn history(lines: &[String]) -> PoolHistory {
    PoolHistory::new(parse_lines(&lines.concat()).expect("the lines are valid"))
}

#[test]
fn delay_is_attributed_to_the_largest_share_of_the_critical_path() {
    let history = history(&late_job_lines());
    let shares = attribute_delay(&history.jobs["a"]);
    assert_eq!(shares[0].cause, DelayCause::Wait("interference".into()));
    assert!((shares[0].seconds - 2.99).abs() < 0.01, "{shares:?}");
    assert_eq!(shares[1].cause, DelayCause::Stalled);
    assert!((shares[1].seconds - 1.9).abs() < 0.01, "{shares:?}");
}

/// A requeued sibling restarts the wait counter of the step, so that the start order of a task that
/// waited from the beginning shows a wait that is too short. The missing time must not be
/// attributed to a missing owner.
#[test]
fn restarted_wait_is_not_attributed_to_a_missing_owner() {
    let lines = [
        accepted(1_010, "a", 4_000),
        waits(1_020, "a.0.0.1", "spare"),
        start(1_020, "a.0.0.0", 1, 2),
        stop(5_000, "a.0.0.0", 1),
        end(5_100, "a.0.0.0", 1, "Stopped"),
        start(6_000, "a.0.0.0", 2, 900),
        end(6_900, "a.0.0.0", 2, "Done"),
        start(6_500, "a.0.0.1", 1, 1_400),
        end(9_000, "a.0.0.1", 1, "Done"),
        job_end(9_010, "a"),
    ];
    let shares = attribute_delay(&history(&lines).jobs["a"]);
    assert_eq!(shares[0].cause, DelayCause::Wait("spare".into()));
    assert!((shares[0].seconds - 5.48).abs() < 0.01, "{shares:?}");
}

fn shares_of(lines: &[String], job: &str) -> Vec<(String, f64)> {
    let shares = attribute_delay(&history(lines).jobs[job]);
    let shares = shares.iter();
    shares
        .map(|share| (share.cause.to_string(), share.seconds))
        .collect()
}

fn takeover(at_ms: u32) -> String {
    line(at_ms, "\"message\":\"took over the shard\",\"epoch\":2")
}

/// The owner may log the first starts before the front logs the acceptance. They were dropped, so
/// that a later restart counted as the first start.
#[test]
fn start_that_is_logged_before_the_acceptance_counts_as_the_first_start() {
    let lines = [
        start(1_000, "a.0.0.0", 1, 2),
        accepted(1_010, "a", 4_000).replace("\"lasts\":false", "\"lasts\":true"),
        end(20_000, "a.0.0.0", 1, "Failed"),
        start(20_010, "a.0.0.0", 2, 2),
    ];
    let report = build_report(&history(&lines), 100.0);
    let first_start = report.queues[0].first_start;
    assert!(first_start[1].abs() < 0.01, "{first_start:?}");
    assert_eq!(report.windows[0].starts, 2);
}

/// The events of a job that ends before the front logs its acceptance were dropped, too.
#[test]
fn events_before_the_acceptance_are_kept() {
    let lines = [
        waits(900, "a.0.0.0", "spare"),
        start(905, "a.0.0.0", 1, 2),
        stop(906, "a.0.0.0", 1),
        end(907, "a.0.0.0", 1, "Done"),
        job_end(908, "a"),
        accepted(910, "a", 4_000),
    ];
    let job = &history(&lines).jobs["a"];
    assert_eq!((job.waits.len(), job.runs.len()), (1, 1));
    assert!(job.runs[0].end.is_some() && job.runs[0].stop_reason.is_some());
    assert!(job.is_in_time());
}

/// Returns the number of runs in progress 10 s after the first line.
fn running_at_10_s(lines: &[String]) -> u32 {
    build_report(&history(lines), 10.0).windows[0].running
}

fn task_line(at_ms: u32, message: &str, task: &str, run: u32) -> String {
    line(
        at_ms,
        &format!("\"message\":\"{message}\",\"task\":\"{task}\",\"run\":{run},\"why\":\"Unwell\""),
    )
}

fn worker_line(at_ms: u32, message: &str, runs: u32) -> String {
    line(
        at_ms,
        &format!(
            "\"message\":\"{message}\",\"agent\":\"n\",\"worker\":\"w\",\"runs\":{runs},\"ends\":0"
        ),
    )
}

/// Each case has a job of two tasks that start at second 1. Lines other than `run ended` show that
/// some of the runs are over; without them, the runs counted as in progress forever.
macro_rules! running_tests {
    ($($name:ident: [$($line:expr),* $(,)?], $running:literal,)*) => {
        $(
            #[test]
            fn $name() {
                let mut lines = vec![
                    accepted(1_000, "a", 4_000),
                    start(1_000, "a.0.0.0", 1, 2),
                    start(1_001, "a.0.0.1", 1, 2),
                ];
                lines.extend([$($line),*]);
                assert_eq!(running_at_10_s(&lines), $running);
            }
        )*
    };
}

running_tests! {
    runs_without_any_later_line_are_in_progress: [], 2,
    refused_start_is_not_in_progress: [task_line(2_000, "start refused", "a.0.0.0", 1)], 1,
    run_lost_with_its_worker_is_not_in_progress:
        [task_line(2_000, "run lost with its worker", "a.0.0.0", 1)], 1,
    run_ended_with_its_worker_is_not_in_progress:
        [task_line(2_000, "run ended with its worker", "a.0.0.0", 1)], 1,
    later_start_supersedes_the_runs_of_an_earlier_term:
        [takeover(2_000), start(3_000, "a.0.0.0", 65_537, 2), start(4_000, "a.0.0.0", 65_538, 2)], 2,
    runs_of_an_ended_job_are_not_in_progress: [takeover(2_000), job_end(3_000, "a")], 0,
    runs_of_an_ended_worker_are_not_in_progress:
        [worker_line(2_000, "all runs of an ended worker have ended", 0)], 0,
    run_that_the_worker_does_not_list_to_a_new_owner_is_not_in_progress:
        [takeover(2_000), worker_line(3_000, "worker taken over", 1)], 1,
    runs_that_the_worker_lists_to_a_new_owner_are_in_progress:
        [takeover(2_000), worker_line(3_000, "worker taken over", 2)], 2,
    line_in_two_files_counts_once:
        [start(1_000, "a.0.0.0", 1, 2), end(2_000, "a.0.0.0", 1, "Done")], 1,
    repeated_end_keeps_its_first_time:
        [end(2_000, "a.0.0.0", 1, "Done"), takeover(15_000), end(16_000, "a.0.0.0", 1, "Done")], 1,
}

/// Only starts had a window of their own, so that the last windows showed runs in progress that had
/// ended later without anything else happening.
#[test]
fn window_in_which_only_runs_end_is_listed() {
    let lines = [
        accepted(1_000, "a", 9_000),
        start(1_000, "a.0.0.0", 1, 2),
        end(6_000, "a.0.0.0", 1, "Done"),
        job_end(6_010, "a"),
    ];
    let windows = build_report(&history(&lines), 2.0).windows;
    let running: Vec<(f64, u32)> = windows.iter().map(|row| (row.from, row.running)).collect();
    assert_eq!(running, [(0.0, 1), (4.0, 0)]);
}

/// Of the runs on a worker that lists one run to its new owner, the one with a later end was it.
#[test]
fn listed_run_is_the_one_whose_end_is_reported_later() {
    let lines = [
        accepted(1_000, "a", 4_000),
        start(1_000, "a.0.0.0", 1, 2),
        start(1_001, "a.0.0.1", 1, 2),
        takeover(2_000),
        worker_line(3_000, "worker taken over", 1),
        end(15_000, "a.0.0.0", 1, "Done"),
    ];
    let history = history(&lines);
    let over: Vec<Option<f64>> = history.jobs["a"]
        .runs
        .iter()
        .map(|run| run.over_at)
        .collect();
    assert_eq!(
        over[0].zip(over[1]).map(|(one, other)| one - other),
        Some(12.0)
    );
}

/// A late job, the time before whose wait no line explains, counted as having no owner on days on
/// which the owner never changed.
#[test]
fn time_without_reason_is_attributed_to_a_missing_owner_only_before_a_takeover() {
    let mut lines = vec![
        takeover(500),
        accepted(1_000, "a", 1_000),
        start(7_000, "a.0.0.0", 1, 2),
        end(8_000, "a.0.0.0", 1, "Done"),
        job_end(8_010, "a"),
    ];
    let cause = |lines: &[String]| shares_of(lines, "a")[0].clone();
    let (name, seconds) = cause(&lines);
    assert_eq!(name, "wait: unknown");
    assert!((seconds - 6.0).abs() < 0.01, "{seconds}");
    lines.push(takeover(6_000));
    let (name, seconds) = cause(&lines);
    assert_eq!(name, "no owner");
    assert!((seconds - 5.0).abs() < 0.01, "{seconds}");
}

/// Jobs of which no task was started counted as having no owner, whatever their steps waited for.
#[test]
fn job_that_was_never_started_is_attributed_to_what_its_steps_wait_for() {
    let mut lines = vec![takeover(500), accepted(1_000, "a", 1_000)];
    assert_eq!(shares_of(&lines, "a")[0].0, "wait: unknown");
    lines.push(takeover(6_000));
    assert_eq!(shares_of(&lines, "a")[0].0, "no owner");
    lines.push(waits(6_500, "a.0.0.0", "capacity"));
    assert_eq!(shares_of(&lines, "a")[0].0, "wait: capacity");
}

/// Refused starts counted as lost with their worker, and all ordered stops as stalled runs.
#[test]
fn runs_without_a_result_are_attributed_to_how_they_ended() {
    let lines = [
        accepted(1_000, "a", 1_000),
        start(1_000, "a.0.0.0", 1, 2),
        task_line(4_000, "start refused", "a.0.0.0", 1),
        start(4_000, "a.0.0.0", 2, 2),
        stop(5_000, "a.0.0.0", 2).replace("stalled", "evacuated"),
        end(6_000, "a.0.0.0", 2, "Stopped"),
        start(6_000, "a.0.0.0", 3, 2),
        task_line(7_000, "run lost with its worker", "a.0.0.0", 3),
        start(7_000, "a.0.0.0", 4, 2),
        end(7_100, "a.0.0.0", 4, "Done"),
        job_end(7_110, "a"),
    ];
    let shares = shares_of(&lines, "a");
    let names: Vec<&str> = shares.iter().map(|(name, _)| name.as_str()).collect();
    assert_eq!(
        names[..3],
        ["refused: Unwell", "stopped: evacuated", "lost"]
    );
}

/// The end of a run may be missing from the lines, and a copy of a task may be stopped after its
/// result. Neither makes a task of a completed job unfinished.
#[test]
fn completed_job_has_no_unfinished_task() {
    let lines = [
        accepted(1_000, "a", 1_000),
        start(1_000, "a.0.0.0", 1, 2),
        end(2_000, "a.0.0.0", 1, "Done"),
        start(2_100, "a.0.0.0", 2, 2),
        end(2_200, "a.0.0.0", 2, "Stopped"),
        start(3_000, "a.0.1.0", 1, 2),
        job_end(6_000, "a"),
    ];
    let shares = shares_of(&lines, "a");
    assert_eq!(shares[0].0, "slow run", "{shares:?}");
    assert!(
        shares.iter().all(|(name, _)| name != "unfinished"),
        "{shares:?}"
    );
}

/// Log files are read in any order, so a run's end may be parsed before its start. The history must
/// be sorted by time first; otherwise ends would be lost.
#[test]
fn history_does_not_depend_on_line_order() {
    let lines = late_job_lines();
    let reversed: Vec<String> = lines.iter().rev().cloned().collect();
    assert_eq!(history(&lines), history(&reversed));
}

#[test]
fn report_aggregates_by_queue_and_window() {
    let mut lines = late_job_lines();
    lines.push(accepted(1_510, "b", 4_000));
    lines.push(start(1_600, "b.0.0.0", 1, 2));
    lines.push(end(2_600, "b.0.0.0", 1, "Done"));
    lines.push(job_end(2_610, "b"));
    lines.push(line(
        3_000,
        "\"message\":\"job not accepted\",\"job\":\"c\",\"queue\":\"q\",\"took_ms\":9",
    ));
    let report = build_report(&history(&lines), 2.0);
    let queue = &report.queues[0];
    assert_eq!((queue.accepted, queue.not_accepted), (2, 1));
    assert_eq!((queue.in_time, queue.late, queue.stalled), (1, 1, 1));
    assert_eq!(queue.causes["wait: interference"], 5.0);
    assert_eq!(report.windows.iter().map(|row| row.starts).sum::<u32>(), 4);
    assert_eq!(
        report.windows[0].running, 1,
        "only the second run of the restarted task is in progress"
    );
}

#[test]
fn job_timeline_is_in_chronological_order() {
    let timeline = job_timeline(&history(&late_job_lines()).jobs["a"]);
    let events = [
        "accepted",
        "ends Stopped (stalled)",
        "run 2 starts",
        "waits: interference",
        "shown as Completed",
    ];
    let positions: Vec<usize> = events
        .iter()
        .map(|event| {
            timeline
                .find(event)
                .unwrap_or_else(|| panic!("{event}: {timeline}"))
        })
        .collect();
    assert!(positions.is_sorted(), "{timeline}");
}

#[test]
fn plot_labels_its_lines() {
    let mut lines = late_job_lines();
    lines.push(line(
        2_000,
        "\"message\":\"took over the shard\",\"epoch\":2",
    ));
    lines.push(line(2_100, "\"message\":\"the store does not answer\""));
    let text = plot_history(&history(&lines)).expect("the history has a job");
    assert!(text.starts_with("<svg") && text.contains("runs under way"));
    assert!(text.contains("1 jobs accepted") && text.contains("1 takeovers"));
    // One mark in each of the three panels and one in each legend.
    let marks = |color: &str| text.matches(color).count();
    assert_eq!(marks("#AAAAAA"), 6, "marks where a front lost the store");
    let panels = text.matches("seconds from the first line").count();
    assert_eq!(panels, 3, "one panel for each scale");
    assert!(
        plot_history(&PoolHistory::default()).is_err(),
        "an empty history cannot be drawn"
    );
}

#[test]
fn unreadable_line_is_reported_with_its_number() {
    let mut text = String::new();
    let _ = writeln!(text, "line of another program");
    let _ = writeln!(
        text,
        "{{\"timestamp\":\"2026-05-13T12:00:00Z\",\"message\":\"run ended\",\"task\":\"a\"}}"
    );
    let error = parse_lines(&text).expect_err("a field is missing");
    assert_eq!(error.number, 2);
    assert!(error.label.contains("run"), "{error}");
}
