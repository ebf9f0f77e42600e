//! The cases, one function each.

use crate::Verdict;
use crate::runner::What;
use crate::site::{Shape, Site};
use serde_json::json;
use std::collections::{HashMap, HashSet};
use std::path::Path;
use std::time::{Duration, Instant};

type Case = fn(&Path, bool) -> (Verdict, String);

pub fn find(name: &str) -> Option<Case> {
    Some(match name {
        "many-ends" => many_ends,
        "gang-checkpoints" => gang_checkpoints,
        "wide-job" => wide_job,
        "innocent-job" => innocent_job,
        "foreign-check-in" => foreign_check_in,
        "explore" => crate::explore::explore,
        _ => return None,
    })
}

fn seconds(value: f64) -> Duration {
    Duration::from_secs_f64(value)
}

fn wait_until(limit: Duration, mut check: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if check() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    false
}

/// Starts a site and plays a case on it.
fn play(
    root: &Path,
    shape: &Shape,
    case: impl FnOnce(&mut Site) -> Result<Vec<String>, String>,
) -> (Verdict, String) {
    let mut site = match Site::start(root, shape) {
        Ok(site) => site,
        Err(error) => return (Verdict::Unplayed(error.to_string()), String::new()),
    };
    std::thread::sleep(seconds(3.0));
    let outcome = case(&mut site);
    let text = site.record.text();
    site.end();
    let verdict = match outcome {
        Ok(lines) if lines.is_empty() => Verdict::Held,
        Ok(lines) => Verdict::Broken(lines),
        Err(reason) => Verdict::Unplayed(reason),
    };
    (verdict, text)
}

/// An agent is killed and starts again while its runner has more than 500 ends that are not
/// acknowledged.
fn many_ends(root: &Path, has_trouble: bool) -> (Verdict, String) {
    let shape = Shape {
        fronts: 3,
        sides: 3,
        cpu: 16_000,
        max_attempts: 3,
    };
    play(root, &shape, |site| {
        let id = "5c0e7a21d94b36f8";
        let tasks = 2_400;
        let job = json!({
            "spec": json!({"ms": 6_000}).to_string(),
            "phases": [{"count": tasks, "cpu": 20, "memMb": 10, "estimatedMs": 6_000}],
        });
        if !site.submit(id, &job) {
            return Err("the job was not accepted".into());
        }
        let world = site.world.clone();
        let all = || (0..3).map(|number| world.running(number)).sum::<usize>();
        if !wait_until(seconds(20.0), || all() > 0) {
            return Err("no task has started".into());
        }
        // The first tasks end 6 s after their start.
        std::thread::sleep(seconds(5.9));
        let running = world.running(0);
        site.record.line(format!("{running} runs on the first runner, {} in all", all()));
        if has_trouble {
            site.kill_agent(0);
            std::thread::sleep(seconds(2.6));
            site.record.line(format!(
                "{} ends are not acknowledged on the first runner",
                world.unacknowledged(0)
            ));
            site.start_agent(0).map_err(|error| error.to_string())?;
        }
        let state = site.wait_state(id, &["completed", "failed"], seconds(60.0));
        std::thread::sleep(seconds(3.0));
        if state != "completed" && !has_trouble {
            return Err(format!("the job is {state}"));
        }
        Ok(world.twice())
    })
}

/// The runner of one member of a gang crashes; the members' checkpoints differ afterwards.
fn gang_checkpoints(root: &Path, has_trouble: bool) -> (Verdict, String) {
    let shape = Shape {
        fronts: 3,
        sides: 4,
        cpu: 16_000,
        max_attempts: 3,
    };
    play(root, &shape, |site| {
        let id = "5c0e7a21d94b36f8";
        let job = json!({
            "spec": json!({"ms": 12_000, "gang": 4, "saves": true}).to_string(),
            "phases": [{"count": 4, "cpu": 9_000, "memMb": 1_000, "estimatedMs": 12_000,
                        "gang": true, "checkpointing": true}],
        });
        if !site.submit(id, &job) {
            return Err("the job was not accepted".into());
        }
        let world = site.world.clone();
        if !wait_until(seconds(20.0), || world.machines_of(id).len() == 4) {
            return Err("the gang has not started".into());
        }
        let mut crashed_at = None;
        if has_trouble {
            std::thread::sleep(seconds(4.2));
            world.crash(0);
            crashed_at = Some(site.record.now());
            std::thread::sleep(seconds(4.5));
            world.boot(0).map_err(|error| error.to_string())?;
        }
        let state = site.wait_state(id, &["completed", "failed"], seconds(70.0));
        let mut breaches = Vec::new();
        let mut carried: HashMap<u64, HashSet<String>> = HashMap::new();
        for event in world.events() {
            if event.what == What::Start {
                let values = carried.entry(event.run).or_default();
                values.insert(event.checkpoint.clone());
            }
            // Nothing is disturbed from 3 s after the new runner's start on.
            let calm = crashed_at.map_or(Duration::ZERO, |at| at + seconds(4.5 + 3.0 + 3.0));
            if event.what == What::End("alone") && event.at > calm {
                breaches.push(format!(
                    "run ends alone with no disturbance near: {} run {} at {:.3}",
                    event.task,
                    event.run,
                    event.at.as_secs_f64()
                ));
            }
        }
        let mut unequal: Vec<String> = carried
            .iter()
            .filter(|(_, values)| values.len() > 1)
            .map(|(run, values)| format!("run {run} of the gang carries unequal checkpoints {values:?}"))
            .collect();
        unequal.sort();
        for line in &unequal {
            site.record.line(line);
        }
        site.record.line(format!("the job is shown as {state}"));
        if breaches.is_empty() && state != "completed" {
            return Err(format!("the job is {state}, and no run ended alone"));
        }
        if !breaches.is_empty() {
            breaches.push(format!("the job is shown as {state}"));
            breaches.extend(unequal);
        }
        Ok(breaches)
    })
}

/// All runners of a rack crash under a wide job: its progress no longer fits into a row.
fn wide_job(root: &Path, has_trouble: bool) -> (Verdict, String) {
    let shape = Shape {
        fronts: 3,
        sides: 4,
        cpu: 16_000,
        max_attempts: 3,
    };
    play(root, &shape, |site| {
        let id = "5c0e7a21d94b36f8";
        let tasks = 3_000_usize;
        let job = json!({
            "spec": json!({"ms": 7_000}).to_string(),
            "phases": [
                {"count": tasks, "cpu": 20, "memMb": 10, "estimatedMs": 7_000},
                {"count": 1, "cpu": 100, "memMb": 10, "estimatedMs": 7_000, "after": [0]},
            ],
        });
        if !site.submit(id, &job) {
            return Err("the job was not accepted".into());
        }
        let world = site.world.clone();
        let all = || (0..4).map(|number| world.running(number)).sum::<usize>();
        if !wait_until(seconds(20.0), || all() > tasks * 9 / 10) {
            return Err(format!("only {} tasks run at once", all()));
        }
        if has_trouble {
            // The three runners of the first rack.
            for number in 0..3 {
                world.crash(number);
            }
            std::thread::sleep(seconds(4.5));
            for number in 0..3 {
                world.boot(number).map_err(|error| error.to_string())?;
            }
        }
        let first = format!("{id}.0.0.");
        let next = format!("{id}.0.1.0");
        let done = || {
            let events = world.events();
            let ends = events
                .iter()
                .filter(|event| event.what == What::End("done") && event.task.starts_with(&first));
            ends.map(|event| event.task.clone()).collect::<HashSet<_>>().len()
        };
        let is_done = wait_until(seconds(50.0), || {
            std::thread::sleep(Duration::from_millis(200));
            done() == tasks
        });
        site.record.line(format!("{} of {tasks} tasks of step 0 have ended done", done()));
        if !is_done {
            return Err("step 0 has not ended".into());
        }
        // `finish_s`, and the 3 s of the rule.
        let state = site.wait_state(id, &["completed", "failed"], seconds(14.0 + 8.0));
        let started = world.events().iter().any(|event| event.task == next);
        let running = all();
        site.record.line(format!("the job is {state}; step 1 started: {started}; {running} runs now"));
        if !started && running == 0 && state != "failed" {
            return Ok(vec![format!(
                "all {tasks} tasks of step 0 ended done, the turn of {next} has come, nothing runs on any \
                 runner, and it is not started within 22 s; the job is shown as {state}"
            )]);
        }
        if state == "failed" {
            return Ok(vec!["the job is shown as failed".into()]);
        }
        Ok(Vec::new())
    })
}

/// Runners crash one after the other, each while a task of the same job runs there.
fn innocent_job(root: &Path, has_trouble: bool) -> (Verdict, String) {
    let shape = Shape {
        fronts: 3,
        sides: 5,
        cpu: 16_000,
        max_attempts: 3,
    };
    play(root, &shape, |site| {
        let id = "5c0e7a21d94b36f8";
        let job = json!({
            "spec": json!({"ms": 8_000}).to_string(),
            "phases": [{"count": 1, "cpu": 2_000, "memMb": 100, "estimatedMs": 8_000}],
        });
        if !site.submit(id, &job) {
            return Err("the job was not accepted".into());
        }
        let world = site.world.clone();
        let crashes = if has_trouble { 5 } else { 0 };
        for _ in 0..crashes {
            if !wait_until(seconds(12.0), || !world.machines_of(id).is_empty()) {
                break;
            }
            std::thread::sleep(seconds(2.0));
            let Some(machine) = world.machines_of(id).first().copied() else {
                break;
            };
            world.crash(machine);
            std::thread::sleep(seconds(4.5));
            world.boot(machine).map_err(|error| error.to_string())?;
        }
        let state = site.wait_state(id, &["completed", "failed"], seconds(30.0));
        site.record.line(format!("the job is shown as {state}"));
        let failed_ends = world
            .events()
            .iter()
            .filter(|event| event.what == What::End("failed"))
            .count();
        match state.as_str() {
            "completed" => Ok(Vec::new()),
            "failed" => Ok(vec![format!(
                "the job is shown as failed, and {failed_ends} of its runs ended failed (maxAttempts is 3)"
            )]),
            other => Err(format!("the job is {other}")),
        }
    })
}

/// A check-in of another writer, with fields missing, arrives under a runner's id; later the runner
/// drains.
fn foreign_check_in(root: &Path, has_trouble: bool) -> (Verdict, String) {
    let shape = Shape {
        fronts: 3,
        sides: 3,
        cpu: 16_000,
        max_attempts: 3,
    };
    play(root, &shape, |site| {
        let world = site.world.clone();
        let submit = |site: &mut Site, number: u64| {
            let id = format!("5c0e7a21d94b{number:04x}");
            let job = json!({
                "spec": json!({"ms": 400}).to_string(),
                "phases": [{"count": 12, "cpu": 1_500, "memMb": 100, "estimatedMs": 400}],
            });
            site.submit(&id, &job)
        };
        for number in 0..8 {
            if !submit(site, number) {
                return Err("a job was not accepted".into());
            }
            std::thread::sleep(seconds(0.5));
        }
        if has_trouble {
            let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
            let sequence = now.map_or(0, |span| span.as_millis() as u64);
            let body = json!({
                "service": "niveau-service", "state": "ready", "sequence": sequence,
                "capacity": {"cpu": 16_000, "memMb": 64_000},
            });
            world.foreign_check_in(0, &body);
        }
        std::thread::sleep(seconds(4.0));
        let Some(drained_at) = world.drain(0) else {
            return Err("the draining runner got no acknowledgement".into());
        };
        for number in 8..40 {
            submit(site, number);
            std::thread::sleep(seconds(0.2));
        }
        std::thread::sleep(seconds(3.0));
        let machine = world.machine_name(0);
        let events = world.events();
        let before = events
            .iter()
            .filter(|event| event.what == What::Start && event.machine == machine)
            .filter(|event| event.at < drained_at);
        if before.count() == 0 {
            return Err("nothing ever started on the runner".into());
        }
        let late = events.iter().filter(|event| {
            event.what == What::Start
                && event.machine == machine
                && event.at > drained_at + seconds(2.0)
        });
        Ok(late
            .map(|event| {
                format!(
                    "{} run {} started on the draining runner of {machine} at {:.3}, {:.1} s after the ack (drainMs is 2 s)",
                    event.task,
                    event.run,
                    event.at.as_secs_f64(),
                    (event.at - drained_at).as_secs_f64()
                )
            })
            .collect())
    })
}
