//! Drawn disruptions over jobs of all kinds that the pages describe, and an audit of what the runners
//! and the clients saw. It isn't a case: it looks for faults that are then made into cases.

use crate::record::Record;
use crate::runners::{Event, RUNNER_CPU, wall_ms};
use crate::site::{Queue, Site};
use crate::store::Trouble;
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::io;

struct Dice(u64);

impl Dice {
    fn next(&mut self, below: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % below.max(1)
    }
}

fn draw_job(dice: &mut Dice, began: u64) -> Value {
    let steps = 1 + dice.next(3);
    let mut phases = Vec::new();
    for step in 0..steps {
        let is_gang = dice.next(3) == 0;
        let count = if is_gang { 2 + dice.next(3) } else { 1 + dice.next(5) };
        let mut phase = json!({
            "count": count, "cpu": 500 + dice.next(4) * 1_500, "memMb": 500, "estimatedMs": 1_500,
        });
        if is_gang {
            phase["gang"] = true.into();
        }
        if dice.next(2) == 0 {
            phase["checkpointing"] = true.into();
        }
        if dice.next(3) == 0 {
            phase["antiAffinity"] = (1 + dice.next(2)).into();
        }
        if step > 0 {
            phase["after"] = json!([step - 1]);
        }
        phases.push(phase);
    }
    let fails = if dice.next(3) == 0 { 1 + dice.next(2) } else { 0 };
    let plan = json!({"ms": 500 + dice.next(4) * 1_200, "failFirst": fails, "failMs": 400});
    let mut job = json!({"spec": plan.to_string(), "phases": phases});
    if dice.next(3) == 0 {
        job["repeatCount"] = (2 + dice.next(3)).into();
        job["intervalMs"] = (1_000 + dice.next(4) * 1_000).into();
        job["startAtMs"] = (began + 500 + dice.next(6) * 1_000).into();
    }
    job
}

pub fn explore(record: &Record, seed: u64) -> io::Result<Vec<String>> {
    let mut dice = Dice(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    for _ in 0..20 {
        dice.next(2);
    }
    let plain = Queue { name: "r-73d3zji", prefix: "/pufi791/", attempts: 4, priority: 2, is_advised: false };
    let advised = Queue { name: "r-9n73hh2", prefix: "/pule252/", attempts: 4, priority: 0, is_advised: true };
    let queues = [plain, advised];
    let runner_count = 6;
    let mut site = Site::start(record, runner_count, &queues)?;
    // Wall clock at the record's zero.
    let zero_wall = wall_ms() - record.now_ms();
    let mut jobs: Vec<(usize, String, Value, bool)> = Vec::new();
    let kinds: Vec<u64> = (0..1 + dice.next(3)).map(|_| dice.next(12)).collect();
    record.note(&format!("kinds of trouble: {kinds:?}"));
    let mut undo: Vec<(u64, u64, usize)> = Vec::new();
    let began = record.now_ms();
    let mut number = 0_u64;
    let mut last_trouble = began;
    while record.now_ms() < began + 26_000 {
        if number < 24 && dice.next(4) == 0 {
            let job = draw_job(&mut dice, wall_ms());
            let id = format!("{:08x}{:08x}", seed as u32, 0x10ad_0000 + number as u32);
            let queue = dice.next(4) as usize / 3;
            let front = dice.next(3) as usize;
            site.runners.expect_job(&id, &job, queues[queue].is_advised);
            let path = format!("{}{id}", queues[queue].prefix);
            record.note(&format!("job {id}: {job}"));
            let (status, _) = site.ask(front, "POST", &path, job.to_string().as_bytes());
            jobs.push((queue, id, job, status == 200));
            number += 1;
        }
        let now = record.now_ms();
        let (due, kept): (Vec<_>, Vec<_>) = undo.into_iter().partition(|(at, ..)| now >= *at);
        undo = kept;
        for (_, kind, which) in due {
            heal(&mut site, kind, which)?;
            last_trouble = record.now_ms();
        }
        if now > began + 3_000 && now < began + 22_000 && dice.next(8) == 0 {
            let kind = kinds[dice.next(kinds.len() as u64) as usize];
            let is_front = matches!(kind, 0 | 1 | 2 | 3);
            let which = dice.next(if is_front { 3 } else { runner_count as u64 }) as usize;
            if !undo.iter().any(|(_, other, of)| *of == which || *other == kind) {
                let span = strike(&mut site, &mut dice, kind, which)?;
                undo.push((record.now_ms() + span, kind, which));
                last_trouble = record.now_ms();
            }
        }
        site.pause(60 + dice.next(240));
    }
    for (at, kind, which) in undo {
        let now = record.now_ms();
        site.pause(at.saturating_sub(now).min(8_000));
        heal(&mut site, kind, which)?;
        last_trouble = record.now_ms();
    }
    // Clients that had no answer send the job again.
    for (queue, id, job, is_accepted) in &mut jobs {
        if !*is_accepted {
            let path = format!("{}{id}", queues[*queue].prefix);
            let (status, _) = site.ask(0, "POST", &path, job.to_string().as_bytes());
            *is_accepted = status == 200;
        }
    }
    let until = last_trouble + 40_000;
    let mut open: Vec<usize> = (0..jobs.len()).filter(|job| jobs[*job].3).collect();
    let mut states: HashMap<String, String> = HashMap::new();
    while record.now_ms() < until && !open.is_empty() {
        site.pause(1_000);
        open.retain(|job| {
            let (queue, id, ..) = &jobs[*job];
            let state = site.state(&queues[*queue], id);
            let is_open = !matches!(state.as_str(), "completed" | "failed" | "cancelled");
            states.insert(id.clone(), state);
            is_open
        });
    }
    let events = site.runners.events();
    let mut broken = audit(&events, &jobs, zero_wall, last_trouble);
    for (_, id, _, is_accepted) in &jobs {
        let state = states.get(id).map_or("", String::as_str);
        if *is_accepted && state != "completed" {
            broken.push(format!("LOST? {id} is shown as {state:?} {} ms after the last trouble", record.now_ms() - last_trouble));
        }
    }
    Ok(broken)
}

fn strike(site: &mut Site, dice: &mut Dice, kind: u64, which: usize) -> io::Result<u64> {
    let record = site.record.clone();
    Ok(match kind {
        0 => {
            site.kill_front(which)?;
            500 + dice.next(2_000)
        }
        1 => {
            site.freeze(true, which, true);
            2_000 + dice.next(5_000)
        }
        2 => {
            for front in 0..3 {
                site.kill_front(front)?;
            }
            500 + dice.next(3_000)
        }
        3 => {
            site.stop_front(which)?;
            300
        }
        4 => {
            site.kill_agent(which)?;
            500 + dice.next(3_000)
        }
        5 => {
            site.freeze(false, which, true);
            2_000 + dice.next(6_000)
        }
        6 => {
            site.runners.crash(which);
            1_000 + dice.next(4_000)
        }
        7 => {
            site.runners.crash(which);
            site.kill_agent(which)?;
            2_000 + dice.next(4_000)
        }
        8 => {
            site.runners.set_late(5 + dice.next(20));
            5_500
        }
        9 => {
            site.store.set_trouble(&record, Trouble::Silent);
            1_000 + dice.next(3_500)
        }
        10 => {
            let percent = 20 + dice.next(15);
            let trouble = if dice.next(2) == 0 { Trouble::Lost(percent) } else { Trouble::Late(percent) };
            site.store.set_trouble(&record, trouble);
            4_500
        }
        _ => {
            site.store.set_trouble(&record, Trouble::Busy);
            1_000 + dice.next(3_500)
        }
    })
}

fn heal(site: &mut Site, kind: u64, which: usize) -> io::Result<()> {
    let record = site.record.clone();
    match kind {
        0 | 3 => site.start_front(which)?,
        1 => site.freeze(true, which, false),
        2 => {
            for front in 0..3 {
                site.start_front(front)?;
            }
        }
        4 => site.start_agent(which)?,
        5 => site.freeze(false, which, false),
        6 => site.runners.boot(which)?,
        7 => {
            site.start_agent(which)?;
            site.runners.boot(which)?;
        }
        8 => site.runners.set_late(0),
        _ => site.store.set_trouble(&record, Trouble::None),
    }
    Ok(())
}

fn parts(task: &str) -> Option<(&str, u64, usize, u64)> {
    let mut parts = task.split('.');
    let job = parts.next()?;
    let occurrence = parts.next()?.parse().ok()?;
    let step = parts.next()?.parse().ok()?;
    Some((job, occurrence, step, parts.next()?.parse().ok()?))
}

/// Checks the rules TWICE, ORDER, LIMIT, GANG, BUDGET and UNASKED on what the runners saw.
fn audit(events: &[Event], jobs: &[(usize, String, Value, bool)], zero_wall: u64, calm_from: u64) -> Vec<String> {
    let jobs: HashMap<&str, &Value> = jobs.iter().map(|(_, id, job, _)| (id.as_str(), job)).collect();
    let mut broken = Vec::new();
    let mut open: BTreeMap<(String, u64, usize), ()> = BTreeMap::new();
    // When a task, or its gang, has ended `done`, in a run, on a runner.
    let mut done: BTreeMap<String, Vec<(u64, u64, usize)>> = BTreeMap::new();
    let mut used: HashMap<usize, u64> = HashMap::new();
    let noted = |task: &str, run: u64| {
        events.iter().any(|event| event.what == "noted" && event.detail == "done" && event.task == task && event.run == run)
    };
    for event in events {
        let Some((job, occurrence, step, _)) = parts(&event.task) else {
            continue;
        };
        let Some(spec) = jobs.get(job) else {
            broken.push(format!("UNASKED {event:?}"));
            continue;
        };
        let phase = &spec["phases"][step];
        let cpu = phase["cpu"].as_u64().unwrap_or(0);
        let key = (event.task.clone(), event.run, event.runner);
        match event.what.as_str() {
            "start" => {
                if let Some(((_, run, runner), ())) = open.range((event.task.clone(), 0, 0)..).next()
                    .filter(|((task, ..), ())| *task == event.task)
                {
                    broken.push(format!("TWICE at {} ms {} run {} starts while run {run} is on {runner}", event.at_ms, event.task, event.run));
                }
                if let Some(ends) = done.get(&event.task) {
                    for (at, run, _) in ends {
                        if noted(&event.task, *run) {
                            broken.push(format!("TWICE at {} ms {} run {} starts after run {run} was done at {at}", event.at_ms, event.task, event.run));
                        }
                    }
                }
                for earlier in phase["after"].as_array().into_iter().flatten() {
                    let earlier = earlier.as_u64().unwrap_or(0) as usize;
                    let before = &spec["phases"][earlier];
                    let count = before["count"].as_u64().unwrap_or(0);
                    let is_gang = before["gang"].as_bool().unwrap_or(false);
                    let is_done = |index: u64| done.contains_key(&format!("{job}.{occurrence}.{earlier}.{index}"));
                    let is_over = if is_gang { (0..count).any(is_done) } else { (0..count).all(is_done) };
                    if !is_over {
                        broken.push(format!("ORDER at {} ms {} starts before step {earlier} is done", event.at_ms, event.task));
                    }
                }
                if let Some(first) = spec["startAtMs"].as_u64() {
                    let due = first + occurrence * spec["intervalMs"].as_u64().unwrap_or(0);
                    if zero_wall + event.at_ms + 250 < due {
                        broken.push(format!("ORDER at {} ms {} starts {} ms early", event.at_ms, event.task, due - zero_wall - event.at_ms));
                    }
                }
                let used = used.entry(event.runner).or_default();
                *used += cpu;
                if *used > RUNNER_CPU {
                    broken.push(format!("LIMIT at {} ms runner {} has {used}", event.at_ms, event.runner));
                }
                open.insert(key, ());
            }
            "rejected" | "noted" | "over" => {}
            how => {
                if open.remove(&key).is_some() {
                    *used.entry(event.runner).or_default() -= cpu;
                }
                if how == "done" {
                    done.entry(event.task.clone()).or_default().push((event.at_ms, event.run, event.runner));
                }
                if how == "alone" {
                    let start = events.iter().find(|start| start.what == "start" && start.task == event.task && start.run == event.run);
                    if start.is_some_and(|start| start.at_ms > calm_from + 3_000) {
                        broken.push(format!("GANG at {} ms {} run {} ends alone", event.at_ms, event.task, event.run));
                    }
                }
            }
        }
    }
    broken
}
