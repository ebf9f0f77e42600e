//! The cases, one function each.

use crate::Verdict;
use crate::runner::What;
use crate::site::{Shape, Site};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet, HashSet};
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
        "zone-gone" => zone_gone,
        "old-schedule" => old_schedule,
        "innocent-watch" => innocent_watch,
        "budget" => budget,
        "late-insert" => late_insert,
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
        sides: 11,
        cpu: 16_000,
        max_attempts: 3,
        born: false,
    };
    play(root, &shape, |site| {
        // 18 jobs of 100 tasks on one rack: 600 on each of its three runners.
        let ids: Vec<String> = (0..18)
            .map(|n| format!("5c0e7a21d94b{:04x}", 0x3600 + n))
            .collect();
        let job = json!({
            "spec": json!({"ms": 7_000}).to_string(),
            "phases": [{"count": 100, "cpu": 25, "memMb": 10, "estimatedMs": 7_000, "requirements": "r1-0"}],
        });
        for id in &ids {
            if !site.submit(id, &job) {
                return Err("a job was not accepted".into());
            }
        }
        let world = site.world.clone();
        let all = || (0..3).map(|number| world.running(number)).sum::<usize>();
        if !wait_until(seconds(5.0), || all() == 1_800) {
            return Err(format!("only {} tasks run at once", all()));
        }
        // The tasks end 7 s after their start.
        std::thread::sleep(seconds(5.7));
        let running = world.running(0);
        site.record.line(format!(
            "{running} runs on the first runner, {} in all",
            all()
        ));
        if has_trouble {
            site.kill_agent(0);
            // The platform starts it again once the tasks have ended, at the latest after 2.5 s.
            wait_until(seconds(2.5), || world.running(0) == 0);
            site.record.line(format!(
                "{} ends are not acknowledged on the first runner",
                world.unacknowledged(0)
            ));
            site.start_agent(0).map_err(|error| error.to_string())?;
        }
        for id in &ids {
            let state = site.wait_state(id, &["completed", "failed"], seconds(30.0));
            if state != "completed" {
                site.record.line(format!("the job {id} is {state}"));
                if !has_trouble {
                    return Err(format!("the job {id} is {state}"));
                }
            }
        }
        std::thread::sleep(seconds(3.0));
        Ok(world.twice())
    })
}

/// A runner crashes under members of many gangs; the checkpoints of a gang's members may differ
/// afterwards.
fn gang_checkpoints(root: &Path, has_trouble: bool) -> (Verdict, String) {
    let shape = Shape {
        fronts: 3,
        sides: 11,
        cpu: 16_000,
        max_attempts: 3,
        born: false,
    };
    play(root, &shape, |site| {
        let gangs = 80_u64;
        let ids: Vec<String> = (0..gangs)
            .map(|n| format!("{:08x}{:08x}", 0x5c0e_7a21 + n * 0x0101, 0xd94b_36f8 - n))
            .collect();
        let job = json!({
            "spec": json!({"ms": 10_000, "gang": 3, "saves": true}).to_string(),
            "phases": [{"count": 3, "cpu": 150, "memMb": 100, "estimatedMs": 10_000, "requirements": "r1-0",
                        "gang": true, "checkpointing": true}],
        });
        for id in &ids {
            if !site.submit(id, &job) {
                return Err("a job was not accepted".into());
            }
            std::thread::sleep(seconds(0.02));
        }
        let world = site.world.clone();
        if !wait_until(seconds(5.0), || {
            (0..11).map(|number| world.running(number)).sum::<usize>() == 3 * gangs as usize
        }) {
            return Err("the gangs have not started".into());
        }
        std::thread::sleep(seconds(2.5));
        let mut crashed_at = None;
        if has_trouble {
            world.crash(0);
            crashed_at = Some(site.record.now());
            std::thread::sleep(seconds(4.5));
            world.boot(0).map_err(|error| error.to_string())?;
        }
        let until = Instant::now() + seconds(40.0);
        let mut open = Vec::new();
        for id in &ids {
            let left = until.saturating_duration_since(Instant::now());
            let state = site.wait_state(id, &["completed", "failed"], left);
            if state != "completed" {
                open.push(format!("the job {id} is shown as {state}"));
            }
        }
        let mut breaches = Vec::new();
        let mut carried: BTreeMap<(String, u64), BTreeSet<String>> = BTreeMap::new();
        for event in world.events() {
            if event.what == What::Start {
                let step = event.task.rsplit_once('.').map_or("", |pair| pair.0);
                let values = carried.entry((step.to_owned(), event.run)).or_default();
                values.insert(event.checkpoint.clone());
            }
            // The runner is back after 4.5 s; contactMs (3 s) and gangTimeoutMs (3 s) later the run
            // has begun and ended with nothing disturbed near.
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
        for ((step, run), values) in carried.iter().filter(|(_, values)| values.len() > 1) {
            site.record.line(format!(
                "gang {step} run {run} is started with unequal checkpoints {values:?}"
            ));
        }
        for line in &open {
            site.record.line(line);
        }
        if breaches.is_empty() && !open.is_empty() {
            return Err(format!(
                "{} jobs are not completed, and no run ended alone",
                open.len()
            ));
        }
        if !breaches.is_empty() {
            open.append(&mut breaches);
            return Ok(open);
        }
        Ok(Vec::new())
    })
}

/// All runners of a rack crash under a wide job: its progress no longer fits into a row.
fn wide_job(root: &Path, has_trouble: bool) -> (Verdict, String) {
    let shape = Shape {
        fronts: 3,
        sides: 11,
        cpu: 16_000,
        max_attempts: 3,
        born: false,
    };
    play(root, &shape, |site| {
        let id = "5c0e7a21d94b36f8";
        let tasks = 2_250_usize;
        let job = json!({
            "spec": json!({"ms": 7_000}).to_string(),
            "phases": [
                {"count": tasks, "cpu": 20, "memMb": 10, "estimatedMs": 7_000, "requirements": "r1-0"},
                {"count": 1, "cpu": 100, "memMb": 10, "estimatedMs": 7_000, "after": [0]},
            ],
        });
        if !site.submit(id, &job) {
            return Err("the job was not accepted".into());
        }
        let world = site.world.clone();
        let all = || (0..11).map(|number| world.running(number)).sum::<usize>();
        if !wait_until(seconds(20.0), || all() == tasks) {
            return Err(format!("only {} tasks run at once", all()));
        }
        std::thread::sleep(seconds(2.0));
        if has_trouble {
            // The three runners of the rack.
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
            ends.map(|event| event.task.clone())
                .collect::<HashSet<_>>()
                .len()
        };
        let is_done = wait_until(seconds(50.0), || {
            std::thread::sleep(Duration::from_millis(200));
            done() == tasks
        });
        site.record.line(format!(
            "{} of {tasks} tasks of step 0 have ended done",
            done()
        ));
        if !is_done {
            return Err("step 0 has not ended".into());
        }
        // A small job that has nothing to do with the wide one.
        let other = "5c0e7a21d94b0002";
        let small = json!({
            "spec": json!({"ms": 500}).to_string(),
            "phases": [
                {"count": 4, "cpu": 100, "memMb": 10, "estimatedMs": 500, "requirements": "r1-0"},
                {"count": 1, "cpu": 100, "memMb": 10, "estimatedMs": 500, "after": [0]},
            ],
        });
        if !site.submit(other, &small) {
            return Err("the small job was not accepted".into());
        }
        let state = site.wait_state(id, &["completed", "failed"], seconds(14.0));
        let small_state = site.wait_state(other, &["completed", "failed"], seconds(8.0));
        let started = world.events().iter().any(|event| event.task == next);
        let running = all();
        site.record.line(format!(
            "the job is {state}; step 1 started: {started}; {running} runs now"
        ));
        if !started && running == 0 && state != "failed" {
            let mut lines = vec![format!(
                "all {tasks} tasks of step 0 ended done, the turn of {next} has come, nothing runs on any \
                 runner, and it is not started within 14 s; the job is shown as {state}"
            )];
            let ended = (0..4).all(|n| {
                let task = format!("{other}.0.0.{n}");
                world
                    .events()
                    .iter()
                    .any(|event| event.task == task && event.what == What::End("done"))
            });
            if ended && small_state != "completed" {
                lines.push(format!(
                    "the small job {other}, sent after the crash: its step 0 has ended done on the runners, its step 1 \
                     is not started; it is shown as {small_state}"
                ));
            }
            return Ok(lines);
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
        born: false,
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

/// Check-ins of another writer, with fields missing, arrive under the runners' ids.
fn foreign_check_in(root: &Path, has_trouble: bool) -> (Verdict, String) {
    let shape = Shape {
        fronts: 3,
        sides: 3,
        cpu: 16_000,
        max_attempts: 3,
        born: true,
    };
    play(root, &shape, |site| {
        let world = site.world.clone();
        let submit = |site: &mut Site, number: u64| {
            let id = format!("5c0e7a21d94b{number:04x}");
            let job = json!({
                "spec": json!({"ms": 400}).to_string(),
                "phases": [{"count": 6, "cpu": 1_500, "memMb": 100, "estimatedMs": 400}],
            });
            site.submit(&id, &job).then_some(id)
        };
        for number in 0..6 {
            let Some(id) = submit(site, number) else {
                return Err("a job was not accepted".into());
            };
            if site.wait_state(&id, &["completed"], seconds(5.0)) != "completed" {
                return Err("a job does not run before anything happens".into());
            }
        }
        if has_trouble {
            let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
            let sequence = now.map_or(0, |span| span.as_millis() as u64);
            let body = json!({"service": "niveau-service", "state": "ready", "sequence": sequence});
            for number in 0..3 {
                world.foreign_check_in(number, &body);
            }
        }
        // Two check-ins of each runner.
        std::thread::sleep(seconds(3.2));
        let ids: Vec<Option<String>> = (16..26).map(|number| submit(site, number)).collect();
        let ids: Vec<String> = ids.into_iter().flatten().collect();
        if ids.is_empty() {
            return Err("no job was accepted".into());
        }
        // `finish_s`, and the 3 s of the rule.
        std::thread::sleep(seconds(14.0));
        let mut lines = Vec::new();
        let started = |id: &str| {
            let events = world.events();
            events.iter().any(|event| event.task.starts_with(id))
        };
        let waiting: Vec<&String> = ids.iter().filter(|id| !started(id)).collect();
        std::thread::sleep(seconds(3.0));
        for id in waiting {
            if !started(id) {
                let state = site.state(id).unwrap_or_else(|| "no answer".into());
                lines.push(format!(
                    "job {id} was accepted, nothing of it has started in 17 s, and nothing runs on any of the three \
                     runners (16 cores each); it is shown as {state}"
                ));
            }
        }
        // The runners say the same as ever, and get their acknowledgements.
        let status: Vec<Option<u16>> = (0..3).map(|number| world.report(number)).collect();
        site.record
            .line(format!("check-ins of the runners -> {status:?}"));
        Ok(lines)
    })
}

/// A zone is lost for good, with the owner's machine in it: tasks that last on its runners wait.
fn zone_gone(root: &Path, has_trouble: bool) -> (Verdict, String) {
    let shape = Shape {
        fronts: 3,
        sides: 6,
        cpu: 16_000,
        max_attempts: 3,
        born: false,
    };
    play(root, &shape, |site| {
        let id = "5c0e7a21d94b36f8";
        let job = json!({
            "spec": json!({"lasts": true}).to_string(),
            "phases": [{"count": 10, "cpu": 2_000, "memMb": 1_000, "estimatedMs": 500,
                        "longRunning": true, "antiAffinity": 3}],
        });
        if !site.submit(id, &job) {
            return Err("the job was not accepted".into());
        }
        let world = site.world.clone();
        let all = || (0..6).map(|number| world.running(number)).sum::<usize>();
        if !wait_until(seconds(10.0), || all() == 10) {
            return Err("the tasks have not started".into());
        }
        std::thread::sleep(seconds(4.0));
        if !has_trouble {
            std::thread::sleep(seconds(20.0));
            return if all() == 10 {
                Ok(Vec::new())
            } else {
                Err("a task has ended".into())
            };
        }
        let Some(owner) = site.owner() else {
            return Err("no front says that it took over".into());
        };
        site.kill_front(owner);
        for number in (0..6).filter(|number| number % 3 == owner % 3) {
            site.kill_agent(number);
            world.crash(number);
        }
        let lost_at = site.record.now();
        let lost = 10 - all();
        if lost == 0 {
            return Err("no task was on the lost machines".into());
        }
        let is_back = wait_until(seconds(30.0), || all() == 10);
        let took = (site.record.now() - lost_at).as_secs_f64();
        site.record.line(format!(
            "{lost} tasks lost; all run again after {took:.2} s: {is_back}"
        ));
        if took > 9.0 {
            return Ok(vec![format!(
                "{lost} tasks that last have not run for {took:.2} s after their last runs (6 s and 3 s are allowed), \
                 with capacity for them on four runners"
            )]);
        }
        Ok(Vec::new())
    })
}

/// One job whose many times are all due already, beside small ones.
fn old_schedule(root: &Path, has_trouble: bool) -> (Verdict, String) {
    let shape = Shape {
        fronts: 3,
        sides: 3,
        cpu: 16_000,
        max_attempts: 3,
        born: false,
    };
    play(root, &shape, |site| {
        let count: u64 = std::env::var("COUNT")
            .ok()
            .and_then(|text| text.parse().ok())
            .unwrap_or(100_000);
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let now = now.map_or(0, |span| span.as_millis() as u64);
        if has_trouble {
            let job = json!({
                "spec": json!({"ms": 300}).to_string(),
                "phases": [{"count": 1, "cpu": 1_000, "memMb": 100, "estimatedMs": 300}],
                "repeatCount": count, "intervalMs": 1_000, "startAtMs": now - 1_000 * count,
            });
            if !site.submit("5c0e7a21d94b0001", &job) {
                return Err("the job was not accepted".into());
            }
        }
        let mut lines = Vec::new();
        for number in 0..20_u64 {
            let id = format!("5c0e7a21d94b{:04x}", 16 + number);
            let job = json!({
                "spec": json!({"ms": 200}).to_string(),
                "phases": [{"count": 2, "cpu": 500, "memMb": 100, "estimatedMs": 200}],
            });
            let began = Instant::now();
            let accepted = site.submit(&id, &job);
            let state = site.wait_state(&id, &["completed", "failed"], seconds(6.0));
            site.record.line(format!(
                "job {id}: accepted {accepted}, {state} after {:.2} s",
                began.elapsed().as_secs_f64()
            ));
            if state != "completed" {
                lines.push(format!("job {id}: accepted {accepted}, {state}"));
            }
            if lines.len() > 5 {
                break;
            }
        }
        for front in &site.fronts {
            if let Some(pid) = front.pid() {
                let status =
                    std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
                let rss = status
                    .lines()
                    .find(|line| line.starts_with("VmHWM"))
                    .unwrap_or_default()
                    .to_owned();
                site.record.line(format!("front {pid} {rss}"));
            }
        }
        Ok(lines)
    })
}

/// Runners crash one after the other, each while the watch of the same job runs there.
fn innocent_watch(root: &Path, has_trouble: bool) -> (Verdict, String) {
    let shape = Shape {
        fronts: 3,
        sides: 11,
        cpu: 16_000,
        max_attempts: 3,
        born: false,
    };
    play(root, &shape, |site| {
        let id = "5c0e7a21d94b36f8";
        let job = json!({
            "spec": json!({"lasts": true}).to_string(),
            "phases": [{"count": 1, "cpu": 3_000, "memMb": 1_000, "estimatedMs": 500,
                        "longRunning": true}],
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
        std::thread::sleep(seconds(12.0));
        let state = site.wait_state(id, &["failed", "cancelled"], seconds(2.0));
        let events = world.events();
        let count = |what: What| events.iter().filter(|event| event.what == what).count();
        let (failed, killed) = (count(What::End("failed")), count(What::Killed));
        site.record.line(format!("the job is shown as {state}"));
        match state.as_str() {
            "running" => Ok(Vec::new()),
            "failed" => Ok(vec![format!(
                "the job, whose task lasts, is shown as failed after {killed} crashes of runners; {failed} of its runs ended failed"
            )]),
            other => Err(format!("the job is {other}")),
        }
    })
}

/// The owner's front and half of the agents are killed at once, while tasks fail.
fn budget(root: &Path, has_trouble: bool) -> (Verdict, String) {
    let shape = Shape {
        fronts: 3,
        sides: 6,
        cpu: 16_000,
        max_attempts: 2,
        born: false,
    };
    play(root, &shape, |site| {
        let mut number = 0_u64;
        let rounds = if has_trouble { 6 } else { 1 };
        for _ in 0..rounds {
            let until = Instant::now() + seconds(6.0);
            let mut struck = false;
            while Instant::now() < until {
                let id = format!("5c0e7a21{:08x}", 0xd94b_0000 + number);
                number += 1;
                let job = json!({
                    "spec": json!({"ms": 1_500, "fail": true}).to_string(),
                    "phases": [{"count": 8, "cpu": 150, "memMb": 100, "estimatedMs": 1_500}],
                });
                let _ = site.ask("POST", &id, job.to_string().as_bytes());
                std::thread::sleep(seconds(0.03));
                if has_trouble
                    && !struck
                    && until.saturating_duration_since(Instant::now()) < seconds(2.5)
                {
                    struck = true;
                    let Some(owner) = site.owner() else { continue };
                    site.kill_front(owner);
                    let agent = 0;
                    site.kill_agent(agent);
                    std::thread::sleep(seconds(2.2));
                    site.start_front(owner).map_err(|error| error.to_string())?;
                    site.start_agent(agent).map_err(|error| error.to_string())?;
                }
            }
        }
        std::thread::sleep(seconds(12.0));
        let events = site.world.events();
        let mut noted: HashSet<(&str, u64)> = HashSet::new();
        for event in &events {
            if event.what == What::Noted("failed") {
                noted.insert((&event.task, event.run));
            }
        }
        let mut failed: BTreeMap<&str, u64> = BTreeMap::new();
        let mut lines = Vec::new();
        for event in &events {
            match event.what {
                What::End("failed") if noted.contains(&(event.task.as_str(), event.run)) => {
                    *failed.entry(&event.task).or_default() += 1;
                }
                What::Start if failed.get(event.task.as_str()).copied().unwrap_or(0) >= 2 => {
                    lines.push(format!(
                        "{} run {} started on {} at {:.3} after two runs that ended failed and were noted (maxAttempts 2)",
                        event.task, event.run, event.machine, event.at.as_secs_f64()
                    ));
                }
                _ => {}
            }
        }
        Ok(lines)
    })
}

/// A client leaves before its job's insert is answered, and cancels; the store performs the insert
/// late.
fn late_insert(root: &Path, has_trouble: bool) -> (Verdict, String) {
    let shape = Shape {
        fronts: 3,
        sides: 3,
        cpu: 16_000,
        max_attempts: 3,
        born: false,
    };
    play(root, &shape, |site| {
        let id = "5c0e7a21d94b36f8";
        let job = json!({
            "spec": json!({"ms": 5_000}).to_string(),
            "phases": [
                {"count": 2, "cpu": 400, "memMb": 100, "estimatedMs": 5_000},
                {"count": 2, "cpu": 400, "memMb": 100, "estimatedMs": 5_000, "after": [0]},
            ],
        });
        if has_trouble {
            site.store
                .faults
                .late_job
                .store(1, std::sync::atomic::Ordering::SeqCst);
        }
        let headers = [
            ("Host", crate::site::HOST),
            ("Waxwingfield-Timeout-Ms", "3000"),
        ];
        let path = format!("{}{id}", crate::site::PREFIX);
        let answer = crate::http::call(
            site.callers[0],
            "POST",
            &path,
            &headers,
            job.to_string().as_bytes(),
            seconds(0.6),
        );
        let answer = answer
            .map(|answer| answer.status)
            .map_err(|error| error.to_string());
        site.record
            .line(format!("client: POST -> {answer:?}, leaves"));
        let answer = site
            .ask("DELETE", id, b"")
            .map_err(|error| error.to_string())?;
        let cancelled_at = site.record.now();
        site.record
            .line(format!("client: DELETE -> {}", answer.status));
        let status = answer.status;
        std::thread::sleep(seconds(14.0));
        let state = site.state(id);
        site.record.line(format!("client: GET -> {state:?}"));
        let late =
            site.world.events().into_iter().filter(|event| {
                event.what == What::Start && event.at > cancelled_at + seconds(3.0)
            });
        Ok(late
            .map(|event| format!(
                "{} started at {:.3}, {:.1} s after the DELETE was answered {status}; the job is {state:?}",
                event.task, event.at.as_secs_f64(), (event.at - cancelled_at).as_secs_f64()
            ))
            .collect())
    })
}
