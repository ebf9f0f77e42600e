//! Jobs of all kinds that the pages know, under disruptions drawn from a seed. Used to look for
//! faults; no case of its own.

use crate::Verdict;
use crate::runner::{Event, What};
use crate::site::{HOST, PREFIX, Shape, Site};
use serde_json::{Value, json};
use std::collections::{HashMap, HashSet};
use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

struct Draw(u64);

impl Draw {
    fn next(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % limit.max(1)
    }
    fn chance(&mut self, percent: u64) -> bool {
        self.next(100) < percent
    }
}

fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |span| span.as_millis() as u64)
}

fn draw_job(draw: &mut Draw) -> Value {
    let steps = 1 + draw.next(3);
    let mut phases = Vec::new();
    let ms = 300 + draw.next(3_500);
    let lasts = draw.chance(8);
    let gang = !lasts && draw.chance(25);
    let saves = !lasts && draw.chance(50);
    let count = 1 + draw.next(if gang { 4 } else { 6 });
    for step in 0..steps {
        let mut phase =
            json!({"count": count, "cpu": 200 + draw.next(1_300), "memMb": 100, "estimatedMs": ms});
        if step > 0 && draw.chance(80) {
            phase["after"] = json!([draw.next(step)]);
        }
        if gang {
            phase["gang"] = json!(true);
        }
        if saves {
            phase["checkpointing"] = json!(true);
        }
        if draw.chance(20) {
            phase["antiAffinity"] = json!(2);
        }
        if draw.chance(15) {
            phase["rackLocal"] = json!(true);
        }
        if draw.chance(15) {
            phase["dataLocality"] = json!("r1-0");
        }
        if draw.chance(15) {
            phase["requirements"] = json!("r1-1");
        }
        if lasts {
            phase["longRunning"] = json!(true);
        }
        phases.push(phase);
        if lasts {
            break;
        }
    }
    let mut spec = json!({"ms": ms, "saves": saves, "lasts": lasts});
    if gang {
        spec["gang"] = json!(count);
    }
    let mut job = json!({"spec": spec.to_string(), "phases": phases});
    if !lasts && draw.chance(25) {
        job["repeatCount"] = json!(2 + draw.next(5));
        job["intervalMs"] = json!(500 + draw.next(4_000));
        job["startAtMs"] = json!(unix_ms() + draw.next(8_000));
    }
    job
}

pub fn explore(root: &Path, _: bool) -> (Verdict, String) {
    let seed: u64 = std::env::var("SEED")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(1);
    let mut draw = Draw(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1);
    for _ in 0..5 {
        draw.next(2);
    }
    let shape = Shape {
        fronts: 3,
        sides: 6,
        cpu: 16_000,
        max_attempts: 3,
        born: false,
    };
    let mut site = match Site::start(root, &shape) {
        Ok(site) => site,
        Err(error) => return (Verdict::Unplayed(error.to_string()), String::new()),
    };
    std::thread::sleep(Duration::from_secs(3));
    let world = site.world.clone();
    let began = Instant::now();
    let mut jobs: HashMap<String, Value> = HashMap::new();
    let mut accepted: Vec<String> = Vec::new();
    let mut cancelled: HashMap<String, Duration> = HashMap::new();
    let mut todo: Vec<(Duration, Undo)> = Vec::new();
    let kinds = std::env::var("KINDS").unwrap_or_else(|_| "01234567890".into());
    let kinds: Vec<u8> = kinds.bytes().map(|byte| byte - b'0').collect();
    let focus = kinds[draw.next(kinds.len() as u64) as usize];
    let second = kinds[draw.next(kinds.len() as u64) as usize];
    let mut next_fault = Duration::from_millis(2_500 + draw.next(2_000));
    let mut number = 0;
    let traffic = Duration::from_secs(40);
    while began.elapsed() < traffic + Duration::from_secs(14) {
        let now = began.elapsed();
        let mut k = 0;
        while k < todo.len() {
            if todo[k].0 <= now {
                let (_, undo) = todo.remove(k);
                undo.run(&mut site);
            } else {
                k += 1;
            }
        }
        if now >= traffic {
            std::thread::sleep(Duration::from_millis(100));
            continue;
        }
        if now >= next_fault {
            next_fault = now + Duration::from_millis(3_000 + draw.next(5_000));
            let kind = if draw.chance(60) { focus } else { second };
            let longest = std::env::var("LONGEST")
                .ok()
                .and_then(|text| text.parse().ok())
                .unwrap_or(4_000);
            let length = Duration::from_millis(600 + draw.next(longest));
            let undo = disturb(&mut site, kind, &mut draw);
            todo.push((now + length, undo));
        }
        number += 1;
        let id = format!("{:08x}{:08x}", seed as u32, 0x1000_0000 + number);
        let job = draw_job(&mut draw);
        let body = job.to_string();
        let callers = site.callers.clone();
        let record = site.record.clone();
        let turn = draw.next(3) as usize;
        jobs.insert(id.clone(), job);
        let mut is_accepted = false;
        for attempt in 0..6 {
            let answer = crate::http::call(
                callers[(turn + attempt) % callers.len()],
                "POST",
                &format!("{PREFIX}{id}"),
                &[("Host", HOST), ("Waxwingfield-Timeout-Ms", "1500")],
                body.as_bytes(),
                Duration::from_millis(1_500),
            );
            match answer {
                Ok(answer) if answer.status / 100 == 2 => {
                    record.line(format!("client: POST {id} -> {} {body}", answer.status));
                    is_accepted = true;
                    break;
                }
                Ok(answer) => record.line(format!("client: POST {id} -> {}", answer.status)),
                Err(error) => record.line(format!("client: POST {id} -> {error}")),
            }
            std::thread::sleep(Duration::from_millis(150));
        }
        if is_accepted {
            accepted.push(id.clone());
        }
        if draw.chance(12) && !accepted.is_empty() {
            let id = accepted[draw.next(accepted.len() as u64) as usize].clone();
            if let Ok(answer) = site.ask("DELETE", &id, b"") {
                site.record
                    .line(format!("client: DELETE {id} -> {}", answer.status));
                if answer.status / 100 == 2 {
                    cancelled.entry(id).or_insert(site.record.now());
                }
            }
        }
        std::thread::sleep(Duration::from_millis(200 + draw.next(600)));
    }
    for (_, undo) in todo {
        undo.run(&mut site);
    }
    world.late_percent.store(0, Ordering::SeqCst);
    // Quiet: everything has to finish.
    std::thread::sleep(Duration::from_secs(22));
    let mut lines = world.twice();
    let events = world.events();
    lines.extend(check(&jobs, &events, &cancelled));
    let mut open = 0;
    for id in &accepted {
        let job = &jobs[id];
        let lasts = job["phases"][0]["longRunning"].as_bool().unwrap_or(false);
        let state = site.state(id).unwrap_or_else(|| "no answer".into());
        let is_fine = match state.as_str() {
            "completed" => !lasts,
            "cancelled" => cancelled.contains_key(id),
            "running" => lasts,
            _ => false,
        };
        if !is_fine {
            open += 1;
            lines.push(format!("job {id} is shown as {state} at the end: {job}"));
        }
    }
    site.record.line(format!(
        "focus {focus} {second}, {} jobs, {open} wrong states",
        accepted.len()
    ));
    let text = site.record.text();
    site.end();
    let verdict = if lines.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken(lines)
    };
    (verdict, text)
}

enum Undo {
    Front(usize),
    Agent(usize),
    Runner(usize),
    Signal(i32, &'static str),
    Store,
    Late,
}

impl Undo {
    fn run(self, site: &mut Site) {
        match self {
            Self::Front(number) => {
                site.kill_front(number);
                let _ = site.start_front(number);
            }
            Self::Agent(number) => {
                site.kill_agent(number);
                let _ = site.start_agent(number);
            }
            Self::Runner(number) => {
                let world = site.world.clone();
                let _ = world.boot(number);
            }
            Self::Signal(pid, name) => {
                site.record.line(format!("SIGCONT to {name}"));
                // SAFETY: takes only integers; the process was started by this program.
                unsafe { libc::kill(pid, libc::SIGCONT) };
            }
            Self::Store => {
                site.record.line("the store is sound again");
                site.store.faults.down.store(0, Ordering::SeqCst);
                site.store.faults.lost_percent.store(0, Ordering::SeqCst);
                site.store.faults.slow_ms.store(0, Ordering::SeqCst);
            }
            Self::Late => {
                site.record.line("runners answer all orders again");
                site.world.late_percent.store(0, Ordering::SeqCst);
            }
        }
    }
}

fn disturb(site: &mut Site, kind: u8, draw: &mut Draw) -> Undo {
    let front = draw.next(site.fronts.len() as u64) as usize;
    let agent = draw.next(site.agents.len() as u64) as usize;
    match kind {
        0 => {
            site.kill_front(front);
            Undo::Front(front)
        }
        1 => {
            site.kill_agent(agent);
            Undo::Agent(agent)
        }
        2 => {
            site.world.crash(agent);
            Undo::Runner(agent)
        }
        3 => {
            let pid = site.fronts[front].pid().unwrap_or(0);
            site.record.line(format!("SIGSTOP to front {front}"));
            if pid > 0 {
                // SAFETY: takes only integers; the process was started by this program.
                unsafe { libc::kill(pid, libc::SIGSTOP) };
            }
            Undo::Signal(pid, "front")
        }
        4 => {
            let pid = site.agents[agent].pid().unwrap_or(0);
            site.record.line(format!("SIGSTOP to agent {agent}"));
            if pid > 0 {
                // SAFETY: takes only integers; the process was started by this program.
                unsafe { libc::kill(pid, libc::SIGSTOP) };
            }
            Undo::Signal(pid, "agent")
        }
        5 => {
            let how = 1 + draw.next(2) as u8;
            site.record.line(format!("the store is down, how {how}"));
            site.store.faults.down.store(how, Ordering::SeqCst);
            Undo::Store
        }
        6 => {
            site.record.line("the store loses answers");
            site.store.faults.lost_percent.store(30, Ordering::SeqCst);
            Undo::Store
        }
        7 => {
            site.record.line("the store is slow");
            site.store.faults.slow_ms.store(200, Ordering::SeqCst);
            Undo::Store
        }
        8 => {
            site.record.line("runners leave orders unanswered");
            site.world.late_percent.store(10, Ordering::SeqCst);
            Undo::Late
        }
        _ => {
            let pid = site.fronts[front].pid().unwrap_or(0);
            site.record.line(format!("SIGTERM to front {front}"));
            if pid > 0 {
                // SAFETY: takes only integers; the process was started by this program.
                unsafe { libc::kill(pid, libc::SIGTERM) };
            }
            Undo::Front(front)
        }
    }
}

fn parts(task: &str) -> (&str, u64, usize, usize) {
    let mut words = task.split('.');
    let id = words.next().unwrap_or_default();
    let mut next = || {
        words
            .next()
            .and_then(|word| word.parse::<u64>().ok())
            .unwrap_or(0)
    };
    (id, next(), next() as usize, next() as usize)
}

/// ORDER, ROUTE, LIMIT, GANG and UNASKED, as far as the harness sees them.
fn check(
    jobs: &HashMap<String, Value>,
    events: &[Event],
    cancelled: &HashMap<String, Duration>,
) -> Vec<String> {
    let mut lines = Vec::new();
    let mut done: HashSet<&str> = HashSet::new();
    let mut running: HashMap<&str, Vec<&str>> = HashMap::new();
    for event in events {
        let (id, occurrence, step, _) = parts(&event.task);
        let Some(job) = jobs.get(id) else {
            lines.push(format!("unasked: {}", event.task));
            continue;
        };
        let phase = &job["phases"][step];
        match event.what {
            What::Start => {
                for earlier in phase["after"].as_array().into_iter().flatten() {
                    let earlier = earlier.as_u64().unwrap_or(0) as usize;
                    let count = job["phases"][earlier]["count"].as_u64().unwrap_or(0);
                    let gang = job["phases"][earlier]["gang"].as_bool().unwrap_or(false);
                    let all = (0..count).filter(|index| {
                        done.contains(format!("{id}.{occurrence}.{earlier}.{index}").as_str())
                    });
                    let all = all.count() as u64;
                    if all < count && !(gang && all > 0) {
                        lines.push(format!("ORDER: {} at {:?}", event.task, event.at));
                    }
                }
                let here = running.entry(&event.machine).or_default();
                let cpu = |task: &str| {
                    let (id, _, step, _) = parts(task);
                    jobs.get(id)
                        .and_then(|job| job["phases"][step]["cpu"].as_u64())
                        .unwrap_or(0)
                };
                let used: u64 = here.iter().map(|task| cpu(task)).sum::<u64>() + cpu(&event.task);
                if used > 16_000 {
                    lines.push(format!(
                        "LIMIT: {used} on {} with {} at {:?}",
                        event.machine, event.task, event.at
                    ));
                }
                let prefix = format!("{id}.{occurrence}.{step}.");
                let limit = phase["antiAffinity"].as_u64().unwrap_or(u64::MAX);
                let same = here.iter().filter(|task| task.starts_with(&prefix)).count() as u64;
                if same >= limit {
                    lines.push(format!(
                        "ROUTE antiAffinity: {} on {} at {:?}",
                        event.task, event.machine, event.at
                    ));
                }
                if let Some(at) = cancelled.get(id)
                    && event.at > *at + Duration::from_secs(3)
                {
                    lines.push(format!(
                        "UNASKED: {} at {:?}, cancelled {at:?}",
                        event.task, event.at
                    ));
                }
                here.push(&event.task);
            }
            What::End(how) => {
                if how == "done" {
                    done.insert(&event.task);
                }
                if how == "alone" {
                    lines.push(format!(
                        "GANG: {} run {} alone at {:?}",
                        event.task, event.run, event.at
                    ));
                }
                running
                    .entry(&event.machine)
                    .or_default()
                    .retain(|task| *task != event.task);
            }
            What::Killed => {
                running
                    .entry(&event.machine)
                    .or_default()
                    .retain(|task| *task != event.task);
            }
            What::Noted(_) => {}
        }
    }
    lines
}
