//! Cases of the third review. Each exits with 1 if the rule was broken, 0 if it held, and 2 if the
//! case couldn't run. `TROUBLE=0` leaves the disruption out.

mod explore;
mod http;
mod record;
mod runners;
mod site;
mod store;

use record::Record;
use runners::Event;
use serde_json::{Value, json};
use site::{KERLANN, Queue, RIVENEIGE, Site};
use std::io;
use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (case, file) = (args.next().unwrap_or_default(), args.next().unwrap_or_default());
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let result = Record::create(Path::new(&file)).and_then(|record| {
        record.note(&format!("case {case}, with the disruption: {has_trouble}"));
        let broken = match case.as_str() {
            "advised-watch" => advised_watch(&record, has_trouble),
            "dropped-queue" => dropped_queue(&record, has_trouble),
            "third-start" => third_start(&record, has_trouble),
            "foreign-check-in" => foreign_check_in(&record, has_trouble),
            "explore" => {
                let seed = args.next().and_then(|seed| seed.parse().ok()).unwrap_or(1);
                explore::explore(&record, seed)
            }
            _ => Err(io::Error::other("no such case")),
        }?;
        for line in &broken {
            record.note(&format!("BROKEN {line}"));
            println!("BROKEN {line}");
        }
        record.note(if broken.is_empty() { "the rule held" } else { "the rule was broken" });
        Ok(!broken.is_empty())
    });
    match result {
        Ok(false) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(true) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case couldn't run: {error}");
            ExitCode::from(2)
        }
    }
}

fn of_task<'a>(events: &'a [Event], task: &'a str) -> impl Iterator<Item = &'a Event> {
    events.iter().filter(move |event| event.task == task)
}

/// A watch in an advised queue, one task a runner; the runner of one task is lost for good.
fn advised_watch(record: &Record, has_trouble: bool) -> io::Result<Vec<String>> {
    let queue = Queue { name: "r-9n73hh2", prefix: "/pule252/", attempts: 3, priority: 0, is_advised: true };
    let site = Site::start(record, 8, &[queue.clone()])?;
    let id = "7d1f8b32ea5c4709";
    let job = json!({
        "spec": "{}",
        "phases": [{
            "count": 6, "cpu": 3_200, "memMb": 6_400, "estimatedMs": 500, "longRunning": true, "antiAffinity": 1,
        }],
    });
    site.submit(&queue, id, &job)?;
    let began = record.now_ms();
    while site.runners.running(id).len() < 6 {
        if record.now_ms() > began + 20_000 {
            return Err(io::Error::other("the watch doesn't run"));
        }
        site.pause(20);
    }
    site.pause(6_000);
    let mut calm_from = record.now_ms();
    if has_trouble {
        let runs = site.runners.running(id);
        let (runner, _) = runs.iter().find(|(_, task)| task.ends_with(".0")).cloned().unwrap_or_default();
        site.runners.crash(runner);
        // Until the leases have lapsed, `maxHoldMs`, nobody knows that the run has ended.
        calm_from = record.now_ms() + RIVENEIGE.max_hold_ms + RIVENEIGE.contact_ms;
    }
    site.pause(45_000);
    let end = record.now_ms();
    let events = site.runners.events();
    let mut broken = Vec::new();
    for index in 0..6 {
        let task = format!("{id}.0.0.{index}");
        let mut ended_ms = None;
        for event in of_task(&events, &task) {
            match event.what.as_str() {
                "start" => {
                    broken.extend(ended_ms.take().and_then(|from| not_run(&task, from, event.at_ms, calm_from)));
                }
                "rejected" => {}
                _ => ended_ms = Some(event.at_ms),
            }
        }
        broken.extend(ended_ms.and_then(|from| not_run(&task, from, end, calm_from)));
    }
    Ok(broken)
}

/// Returns a line if a task that lasts has not run for 3 s, from 6 s after its last run, after 4 s of calm.
fn not_run(task: &str, ended_ms: u64, until_ms: u64, calm_from: u64) -> Option<String> {
    let from = (ended_ms + 6_000).max(calm_from + 4_000);
    let is_long = until_ms > from + 3_000;
    is_long.then(|| format!("LOST: {task}, which lasts, doesn't run from {ended_ms} ms to {until_ms} ms"))
}

/// Two queues are dropped from the config and come back; meanwhile the fronts are stopped and started in
/// turn.
fn dropped_queue(record: &Record, has_trouble: bool) -> io::Result<Vec<String>> {
    let summary = Queue { name: "r-73d3zji", prefix: "/pufi791/", attempts: 4, priority: 2, is_advised: false };
    let once = Queue { name: "r-5k1t9wq", prefix: "/zuvo318/", attempts: 1, priority: 0, is_advised: false };
    let other = Queue { name: "r-3hwrr6x", prefix: "/lohu930/", attempts: 2, priority: 0, is_advised: false };
    let all = [summary.clone(), once.clone(), other.clone()];
    let mut site = Site::start(record, 4, &all)?;
    // The first three runs of the task fail by its own fault, the fourth is good: `maxAttempts` is 4.
    let (summary_id, once_id) = ("6a0e9c43fb6d5810", "b7c25e90d41f3a68");
    let job = |plan: Value| {
        json!({
            "spec": plan.to_string(),
            "phases": [{"count": 1, "cpu": 1_800, "memMb": 3_200, "estimatedMs": 9_000}],
        })
    };
    site.submit(&summary, summary_id, &job(json!({"ms": 3_000, "failFirst": 3, "failMs": 9_000})))?;
    // The run of this task fails, and `maxAttempts` is 1.
    site.submit(&once, once_id, &job(json!({"ms": 3_000, "failFirst": 9, "failMs": 26_000})))?;
    site.pause(2_000);
    if has_trouble {
        site.put_config(&[other.clone()]);
        site.pause(3_000);
        for number in 0..3 {
            site.stop_front(number)?;
            site.start_front(number)?;
            site.wait_ready(number)?;
            site.pause(1_000);
        }
        site.pause(14_000);
        site.put_config(&all);
        site.pause(3_000);
    }
    let is_over = |state: &str| matches!(state, "completed" | "failed");
    let until = record.now_ms() + 60_000;
    let (mut state, mut once_state) = (String::new(), String::new());
    while record.now_ms() < until && !(is_over(&state) && is_over(&once_state)) {
        site.pause(1_000);
        state = site.state(&summary, summary_id);
        once_state = site.state(&once, once_id);
    }
    let events = site.runners.events();
    let of_job = |id: &'static str, what: &'static str| {
        let found = events.iter().filter(move |event| event.what == what && event.task.starts_with(id));
        found.collect::<Vec<_>>()
    };
    let failures = of_job(summary_id, "failed").len();
    let mut broken = Vec::new();
    if state == "failed" && failures < 4 {
        broken.push(format!("LOST: the job is shown as failed after {failures} ends `failed`, maxAttempts is 4"));
    } else if state != "completed" {
        broken.push(format!("LOST: the job is shown as {state:?} after {failures} ends `failed`"));
    }
    let failed = of_job(once_id, "failed");
    for start in of_job(once_id, "start") {
        let is_noted = |end: &Event| {
            events.iter().any(|event| event.what == "noted" && event.task == end.task && event.run == end.run)
        };
        if failed.iter().any(|end| end.at_ms < start.at_ms && is_noted(end)) {
            broken.push(format!(
                "BUDGET: at {} ms {} starts again, maxAttempts is 1 and its run has failed",
                start.at_ms, start.task
            ));
        }
    }
    Ok(broken)
}

/// A task fails and is started elsewhere; then the fronts are killed, and the agent that has told the failure
/// freezes.
fn third_start(record: &Record, has_trouble: bool) -> io::Result<Vec<String>> {
    let queue = Queue { name: "r-3hwrr6x", prefix: "/lohu930/", attempts: 2, priority: 0, is_advised: false };
    let mut site = Site::start(record, 11, &[queue.clone()])?;
    let id = "c8d36fa1e52b4b79";
    let plan = json!({"ms": 1_000, "failFirst": 9, "failMs": 2_500, "firstWhenTold": true});
    let job = json!({
        "spec": plan.to_string(),
        "phases": [{"count": 1, "cpu": 240, "memMb": 480, "estimatedMs": 640}],
    });
    site.submit(&queue, id, &job)?;
    let task = format!("{id}.0.0.0");
    let starts = |site: &Site| of_task(&site.runners.events(), &task).filter(|event| event.what == "start").count();
    let wait_starts = |site: &Site, count: usize| {
        let until = record.now_ms() + 10_000;
        while starts(site) < count {
            if record.now_ms() > until {
                return Err(io::Error::other("the task isn't started"));
            }
            site.pause(1);
        }
        Ok(())
    };
    wait_starts(&site, 1)?;
    site.pause(1_000);
    // The owner writes at least each 0.6 s, and what isn't urgent no sooner than 0.25 s after its last write.
    while site.store.write_age().as_millis() > 5 {
        site.pause(1);
    }
    let runner = site.runners.fail_now(&task).ok_or_else(|| io::Error::other("the task doesn't run"))?;
    wait_starts(&site, 2)?;
    if has_trouble {
        site.freeze(false, runner, true);
        for number in 0..3 {
            site.kill_front(number)?;
        }
        site.pause(500);
        for number in 0..3 {
            site.start_front(number)?;
        }
        site.pause(3_500);
        site.freeze(false, runner, false);
    }
    site.pause(20_000);
    let state = site.state(&queue, id);
    let events = site.runners.events();
    let mut broken = Vec::new();
    let is_noted = |end: &Event| {
        events.iter().any(|event| event.what == "noted" && event.task == end.task && event.run == end.run)
    };
    for start in of_task(&events, &task).filter(|event| event.what == "start") {
        let failed = of_task(&events, &task).filter(|end| end.what == "failed" && end.at_ms <= start.at_ms && is_noted(end));
        let failed = failed.count();
        if failed >= 2 {
            broken.push(format!(
                "BUDGET: at {} ms run {} of {task} starts after {failed} runs have ended `failed`, maxAttempts is 2",
                start.at_ms, start.run
            ));
        }
    }
    record.note(&format!("the job is shown as {state:?} at the end"));
    Ok(broken)
}

/// Another writer sends a check-in in the name of each runner, of a service that isn't named here, and
/// once more as it isn't acknowledged.
fn foreign_check_in(record: &Record, has_trouble: bool) -> io::Result<Vec<String>> {
    let queue = Queue { name: "r-73d3zji", prefix: "/pufi791/", attempts: 3, priority: 2, is_advised: false };
    let mut site = Site::start_of(&KERLANN, record, 4, &[queue.clone()])?;
    let job = json!({
        "spec": json!({"ms": 1_000}).to_string(),
        "phases": [{"count": 2, "cpu": 1_000, "memMb": 1_000, "estimatedMs": 1_000}],
    });
    let (before, after) = ("31bd65ad8f7a329f", "9f31bd65ad8f7a32");
    site.submit(&queue, before, &job)?;
    site.pause(4_000);
    if site.state(&queue, before) != "completed" {
        return Err(io::Error::other("the first job isn't completed"));
    }
    if has_trouble {
        for number in 0..4 {
            site.send_foreign_check_in(number);
        }
    }
    site.pause(KERLANN.contact_ms + 2_000);
    site.submit(&queue, after, &job)?;
    site.pause(20_000);
    let state = site.state(&queue, after);
    let events = site.runners.events();
    let starts = events.iter().filter(|event| event.what == "start" && event.task.starts_with(after));
    let starts = starts.count();
    let mut broken = Vec::new();
    if state != "completed" {
        broken.push(format!(
            "LOST: 20 s after it was accepted the job is shown as {state:?}, {starts} of 2 tasks have started, all runners are empty"
        ));
    }
    Ok(broken)
}
