//! Replays the load for which slow workers are recognized: short jobs of several images, serving
//! tasks and best-effort tasks on 40 workers, a fifth of which is six times slower for 16 s.

mod support;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use support::*;
use wax_batch::{
    JobScheduler, RunEndKind, RunId, RunReport, StartOrder, StepSpec, TaskState, WorkerKey,
};
use wax_policy::{PerformanceRules, SpeedVerdict};

const WORKERS: usize = 40;
const SLOW_WORKERS: usize = 8;
const SLOW_FROM_MS: u64 = 6_000;
const SLOW_UNTIL_MS: u64 = 22_000;
const END_MS: u64 = 40_000;
const TICK_MS: u64 = 20;
const HEARTBEAT_MS: u64 = 400;
const SLOW_FACTOR: f64 = 6.0;
/// Tail latency of a serving task on a normal worker; the target is 100 ms.
const IDLE_TAIL_MS: f64 = 40.0;

/// Run on a simulated worker.
struct SimulatedRun {
    worker: usize,
    work_ms: f64,
    done_ms: f64,
    serving: bool,
    reported_percent: u32,
    started_reported: bool,
}

/// Pool of simulated workers with their agents.
struct Replay {
    scheduler: JobScheduler,
    keys: Vec<WorkerKey>,
    runs: BTreeMap<RunId, SimulatedRun>,
    end_numbers: Vec<u64>,
    rng: fastrand::Rng,
    next_job: u64,
    slow_for_a_time: bool,
    /// Run time of the tasks of each job at normal speed, before the spread.
    job_work_ms: HashMap<u64, f64>,
    found_slow_at: BTreeMap<usize, u64>,
    found_normal_at: BTreeMap<usize, u64>,
    short_starts_on_slow: u64,
    serving_over_target_ms: u64,
}

/// Result of a replay.
#[derive(Debug)]
struct ReplayResult {
    found_slow_at: BTreeMap<usize, u64>,
    found_normal_at: BTreeMap<usize, u64>,
    /// Short tasks that started on slow workers from 2 s after the onset to the end of slowness.
    short_starts_on_slow: u64,
    serving_over_target_ms: u64,
}

fn image_work_ms(image: u64) -> f64 {
    [300.0, 450.0, 700.0, 1_000.0][image as usize % 4]
}

impl Replay {
    fn new(seed: u64, enabled: bool, slow_for_a_time: bool, best_effort_tasks: u32) -> Self {
        let mut scheduler = scheduler(1);
        scheduler.set_performance_rules(PerformanceRules {
            enabled: enabled.into(),
            ..Default::default()
        });
        let keys: Vec<WorkerKey> = (0..WORKERS)
            .map(|nth| worker(&mut scheduler, &format!("w{nth}"), 16_000))
            .collect();
        let mut replay = Self {
            scheduler,
            keys,
            runs: BTreeMap::new(),
            end_numbers: vec![0; WORKERS],
            rng: fastrand::Rng::with_seed(seed),
            next_job: 100,
            slow_for_a_time,
            job_work_ms: HashMap::new(),
            found_slow_at: BTreeMap::new(),
            found_normal_at: BTreeMap::new(),
            short_starts_on_slow: 0,
            serving_over_target_ms: 0,
        };
        for job in 0..4_u64 {
            let serving = StepSpec {
                long_running: true,
                tail_target_ms: 100,
                image: format!("serve{job}").into(),
                max_unavailable: Some(1),
                max_per_worker: 1,
                ..step(12, 2_000)
            };
            add_job(&mut replay.scheduler, job, 1, &spec(vec![serving]), None);
        }
        let filler = StepSpec {
            best_effort: true,
            checkpoints: true,
            image: "fill".into(),
            estimate_ms: 60_000,
            max_per_worker: 1,
            ..step(best_effort_tasks, 2_000)
        };
        add_job(&mut replay.scheduler, 50, 1, &spec(vec![filler]), None);
        replay
    }

    fn is_slow(&self, worker: usize, millis: u64) -> bool {
        self.slow_for_a_time
            && worker < SLOW_WORKERS
            && (SLOW_FROM_MS..SLOW_UNTIL_MS).contains(&millis)
    }

    /// Submits on average 100 jobs a second of one to six tasks; 3% of the jobs take seven times
    /// longer than the others of their image.
    fn submit(&mut self, millis: u64) {
        for _ in 0..self.rng.u64(0..=4) {
            self.submit_job(millis);
        }
    }

    fn submit_job(&mut self, millis: u64) {
        let (job, image) = (self.next_job, self.rng.u64(0..4));
        self.next_job += 1;
        let is_long = self.rng.f64() < 0.03;
        let work_ms = image_work_ms(image) * if is_long { 7.0 } else { 1.0 };
        self.job_work_ms.insert(job, work_ms);
        let short = StepSpec {
            image: format!("short{image}").into(),
            ..step(self.rng.u32(1..=6), 1_000)
        };
        let mut row =
            wax_batch::JobRow::new(&spec(vec![short]), &queue_rules(2), unix_ms(millis), 1);
        row.epoch = 1;
        self.scheduler
            .add_job(wax_batch::JobName(job), row, None, &clocks(millis));
    }

    fn start(&mut self, order: &StartOrder, millis: u64) {
        let position = self.keys.iter().position(|key| *key == order.worker);
        let worker = position.expect("the worker is in the pool");
        let step = &order.spec.steps[0];
        let spread = 0.8 + 0.5 * self.rng.f64();
        let job = order.run_id.task.job.0;
        let work_ms = match (step.long_running, step.best_effort) {
            (true, _) => 300.0,
            (_, true) => 60_000.0,
            _ => self.job_work_ms[&job] * spread,
        };
        let is_short = !step.long_running && !step.best_effort;
        if is_short && self.is_slow(worker, millis) && millis >= SLOW_FROM_MS + 2_000 {
            self.short_starts_on_slow += 1;
        }
        let run = SimulatedRun {
            worker,
            work_ms,
            done_ms: 0.0,
            serving: step.long_running,
            reported_percent: 0,
            started_reported: false,
        };
        self.runs.insert(order.run_id, run);
    }

    fn end_run(&mut self, run_id: RunId, kind: RunEndKind, millis: u64) {
        if let Some(run) = self.runs.remove(&run_id) {
            self.end_numbers[run.worker] += 1;
            let end = end(self.end_numbers[run.worker], run_id, kind);
            let key = self.keys[run.worker];
            self.scheduler
                .record_end(key, &end, at(millis), unix_ms(millis));
        }
    }

    fn advance_runs(&mut self, millis: u64) {
        let mut ended = Vec::new();
        let mut over_target_ms = 0;
        let slow: Vec<bool> = (0..WORKERS)
            .map(|worker| self.is_slow(worker, millis))
            .collect();
        for (run_id, run) in &mut self.runs {
            let factor = if slow[run.worker] { SLOW_FACTOR } else { 1.0 };
            run.done_ms += TICK_MS as f64 / factor;
            if run.serving {
                run.done_ms = run.done_ms.min(run.work_ms);
                if factor > 1.0 {
                    over_target_ms += TICK_MS;
                }
            } else if run.done_ms >= run.work_ms {
                ended.push(*run_id);
            }
        }
        self.serving_over_target_ms += over_target_ms;
        for run_id in ended {
            self.end_run(run_id, RunEndKind::Done, millis);
        }
    }

    fn report(&mut self, worker: usize, millis: u64) {
        let key = self.keys[worker];
        self.scheduler.record_contact(key, at(millis));
        let is_slow = self.is_slow(worker, millis);
        let runs = self.runs.iter_mut().filter(|(_, run)| run.worker == worker);
        for (run_id, run) in runs {
            if !run.started_reported {
                run.started_reported = true;
                self.scheduler.record_start(key, *run_id, at(millis));
            }
            let percent = (run.done_ms / run.work_ms * 100.0) as u32;
            let tail_ms = if is_slow {
                IDLE_TAIL_MS * SLOW_FACTOR
            } else {
                IDLE_TAIL_MS
            };
            let is_over = run.serving && percent == 100 && tail_ms > 100.0;
            if percent >= run.reported_percent + 10 || is_over {
                run.reported_percent = percent;
                let report = RunReport {
                    percent,
                    load_metric: tail_ms as u32,
                    ..running(*run_id)
                };
                self.scheduler.record_progress(key, &report, at(millis));
            }
        }
    }

    /// Asserts that no more than one task of a serving step is unavailable through stops.
    fn check_unavailable(&self) {
        for job in 0..4_u64 {
            let record = self.scheduler.job(wax_batch::JobName(job)).expect("open");
            let tasks = &record.occurrences[&0].steps[0].tasks;
            let away = tasks.iter().filter(|task| match &task.state {
                TaskState::Placed(placement) => placement.stop_ordered || !placement.working,
                _ => true,
            });
            assert!(away.count() <= 1, "job {job}");
        }
    }

    fn run(mut self) -> ReplayResult {
        for millis in (0..END_MS).step_by(TICK_MS as usize) {
            self.advance_runs(millis);
            for worker in 0..WORKERS {
                if (millis + worker as u64 * TICK_MS).is_multiple_of(HEARTBEAT_MS) {
                    self.report(worker, millis);
                }
            }
            if millis >= 1_000 {
                self.submit(millis);
            }
            if millis.is_multiple_of(100) {
                self.scheduler.review_performance(at(millis));
                self.scheduler.move_off_slow(at(millis));
                self.note_verdicts(millis);
            }
            for stop in self.scheduler.take_stops() {
                self.end_run(stop.run_id, RunEndKind::Stopped, millis);
            }
            for order in self.scheduler.place(at(millis)) {
                self.start(&order, millis);
            }
            self.scheduler.take_waits();
            store_all(&mut self.scheduler);
            if millis >= 2_000 {
                self.check_unavailable();
            }
        }
        ReplayResult {
            found_slow_at: self.found_slow_at,
            found_normal_at: self.found_normal_at,
            short_starts_on_slow: self.short_starts_on_slow,
            serving_over_target_ms: self.serving_over_target_ms,
        }
    }

    fn note_verdicts(&mut self, millis: u64) {
        for (worker, key) in self.keys.iter().enumerate() {
            match self.scheduler.speed_verdict(*key) {
                SpeedVerdict::Slow => {
                    self.found_slow_at.entry(worker).or_insert(millis);
                    self.found_normal_at.remove(&worker);
                }
                SpeedVerdict::Normal if self.found_slow_at.contains_key(&worker) => {
                    self.found_normal_at.entry(worker).or_insert(millis);
                }
                _ => {}
            }
        }
    }
}

const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];
/// Number of best-effort tasks, at most one on each worker, that leaves workers without one.
const FEW: u32 = 20;

/// With best-effort tasks on the worker, tail latencies are no evidence, only short tasks are.
#[test]
fn slow_workers_are_found_beside_best_effort_tasks() {
    for seed in SEEDS {
        let result = Replay::new(seed, true, true, WORKERS as u32).run();
        println!("seed {seed}: {result:?}");
        let found: BTreeSet<usize> = result.found_slow_at.keys().copied().collect();
        assert_eq!(found, (0..SLOW_WORKERS).collect(), "seed {seed}");
    }
}

#[test]
fn slow_workers_are_found_soon_and_no_others() {
    for seed in SEEDS {
        let result = Replay::new(seed, true, true, FEW).run();
        println!("seed {seed}: {result:?}");
        let found: BTreeSet<usize> = result.found_slow_at.keys().copied().collect();
        assert_eq!(found, (0..SLOW_WORKERS).collect(), "seed {seed}");
        let mut delays: Vec<u64> = result
            .found_slow_at
            .values()
            .map(|millis| millis.saturating_sub(SLOW_FROM_MS))
            .collect();
        delays.sort_unstable();
        assert!(delays[SLOW_WORKERS / 2] <= 2_000, "seed {seed}: {delays:?}");
        assert!(delays[SLOW_WORKERS - 1] <= 4_000, "seed {seed}: {delays:?}");
    }
}

#[test]
fn slow_workers_get_few_tasks_and_are_normal_again_afterwards() {
    for seed in SEEDS {
        let with = Replay::new(seed, true, true, FEW).run();
        let without = Replay::new(seed, false, true, FEW).run();
        println!("seed {seed}: {with:?} {without:?}");
        assert!(without.short_starts_on_slow > 50, "seed {seed}");
        assert!(
            with.short_starts_on_slow * 4 <= without.short_starts_on_slow,
            "seed {seed}: {} of {}",
            with.short_starts_on_slow,
            without.short_starts_on_slow
        );
        assert!(
            with.serving_over_target_ms * 2 <= without.serving_over_target_ms,
            "seed {seed}: {} of {}",
            with.serving_over_target_ms,
            without.serving_over_target_ms
        );
        let normal: BTreeSet<usize> = with.found_normal_at.keys().copied().collect();
        assert_eq!(normal, (0..SLOW_WORKERS).collect(), "seed {seed}");
    }
}

#[test]
fn without_a_disturbance_no_worker_counts_as_slow() {
    for seed in SEEDS {
        let result = Replay::new(seed, true, false, FEW).run();
        assert!(result.found_slow_at.is_empty(), "seed {seed}: {result:?}");
    }
}
