//! Soak test: injects consecutive and overlapping faults, drawn from a seed, while callers submit jobs.
//!
//! After the faults it compares the answers that callers received with the histories of the workers: every
//! accepted job has ended, all long-running tasks run, no refused job has run, no task runs twice, no worker is
//! over its capacity, nothing starts in a drained failure domain, no best-effort job began with a part of a step, and
//! no front went back to an older config.

use crate::calls::call;
use crate::site::{DOMAINS, Site, job, long_running_job, name, run, wait_for};
use crate::soak_plan::{FaultTarget, PlannedFault, SoakFault, SoakSize, draw_plan};
use compio::runtime::spawn;
use compio::time::sleep;
use fastrand::Rng;
use http::Method;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time within which all jobs must end after the last fault.
const JOB_TIMEOUT: Duration = Duration::from_secs(90);
/// Interval at which crashed workers are restarted.
const RESTART_INTERVAL: Duration = Duration::from_millis(150);
/// Greatest time between two callers. The jobs then request more processors than the pool has.
const MAX_CALLER_GAP_MS: u64 = 250;
/// Greatest time between two callers for every fourth seed (3, 7, 11, ..), so that some capacity is free. Tasks can be
/// moved only then.
const MAX_SPARSE_CALLER_GAP_MS: u64 = 1_500;
/// Greatest number of tries of a caller.
const MAX_TRIES: u32 = 8;
/// Name of the long-running job; differs from the names of all callers' jobs.
const LONG_RUNNING_JOB: &str = "ffffffffffffffff";
/// On average, one job in this number has tasks that always fail.
const FAILS_ONE_IN: u32 = 10;
/// `maxAttempts` of the site's queues.
const MAX_ATTEMPTS: usize = 2;
/// Number of tasks of the job that runs during the whole soak.
const LONG_RUNNING_TASKS: u32 = 3;
/// On average, one job in this number has a first task that crashes every worker that starts it.
const CRASHES_ONE_IN: u32 = 30;
/// On average, one job in this number is cancelled.
const CANCEL_ONE_IN: u32 = 8;

/// On average, one ordinary job in this number begins with a gang.
const GANG_ONE_IN: u32 = 4;
/// Members of a gang, each on a worker of its own. The stand-in workers do not coordinate them, so that they end
/// independently.
const GANG_MEMBERS: u32 = 2;

/// Sections of `policy` that are off by default and are tested by the soak.
const POLICY: &str =
    "policy:\n  performance: {enabled: 1}\n  orders: {resend: 1}\n  sharing: {whole_jobs: 1}\n";
/// Default of `policy.sharing.begin_share`.
const BEGIN_SHARE: f64 = 0.7;
/// Bit in the numbers, and so in the names, of the jobs of bursts.
const BURST_NUMBER: u64 = 1 << 40;
/// Bit in the numbers of jobs with a wide step, whose run times show which worker is slow.
const WIDE_NUMBER: u64 = 1 << 41;
/// Number of wide jobs that are submitted when a worker turns slow.
const WIDE_JOBS: u32 = 6;

/// Final result of a job as its caller knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallerOutcome {
    /// The submission was acknowledged.
    Accepted,
    /// The submission and a cancel were acknowledged.
    Cancelled,
    /// Every try was refused, so the job must never run.
    Refused,
    /// The answer to a try was missing or inconclusive.
    Unknown,
}

/// State shared by all callers of a soak.
#[derive(Debug)]
struct Callers {
    fronts: Vec<SocketAddr>,
    outcomes: RefCell<HashMap<String, CallerOutcome>>,
    open: Cell<u32>,
    /// Number of tasks of the first step of each job of a burst.
    burst_counts: RefCell<HashMap<String, u64>>,
    /// Number of jobs that bursts have submitted.
    burst_jobs: Cell<u64>,
    stop: Cell<bool>,
}

impl Callers {
    async fn request(&self, front: usize, method: Method, job: &str, body: &str) -> Option<u16> {
        let url = format!("http://{}/g/{job}", self.fronts[front]);
        let answer = call(method, &url, &[("host", "h.example")], body.into()).await;
        Some(answer.ok()?.status)
    }

    /// Submits a job as callers do: tries again at a random front until an answer is final or the tries are used up.
    async fn submit(&self, rng: &mut Rng, job: &str, body: &str) -> CallerOutcome {
        let mut outcome = CallerOutcome::Refused;
        let tries = rng.u32(1..=MAX_TRIES);
        for _ in 0..tries {
            let front = rng.usize(0..self.fronts.len());
            match self.request(front, Method::POST, job, body).await {
                Some(200) => return CallerOutcome::Accepted,
                Some(429 | 503) => {}
                Some(404) => panic!("front {front} answered 404 for a queue that exists"),
                _ => outcome = CallerOutcome::Unknown,
            }
            sleep(Duration::from_millis(rng.u64(100..900))).await;
        }
        outcome
    }

    async fn cancel(&self, rng: &mut Rng, job: &str) -> CallerOutcome {
        sleep(Duration::from_millis(rng.u64(0..800))).await;
        for _ in 0..MAX_TRIES {
            let front = rng.usize(0..self.fronts.len());
            if self.request(front, Method::DELETE, job, "").await == Some(200) {
                return CallerOutcome::Cancelled;
            }
            sleep(Duration::from_millis(rng.u64(100..900))).await;
        }
        // A try without an answer may have taken effect.
        CallerOutcome::Unknown
    }

    /// Submits a random job, cancels it in some cases, and records the outcome.
    async fn run_caller(self: Rc<Self>, seed: u64, number: u64) {
        let mut rng = Rng::with_seed(seed ^ (number << 20));
        let name = name(number);
        let (steps, count, ms) = (rng.u16(1..4), rng.u32(1..7), rng.u64(30..1_500));
        let mut body = job(steps, count, ms);
        if number & BURST_NUMBER != 0 {
            body = best_effort_job(&mut rng);
        } else if number & WIDE_NUMBER != 0 {
            body = job(1, 8, rng.u64(200..400));
        } else if rng.u32(0..FAILS_ONE_IN) == 0 {
            let work = json!({ "ms": ms, "cpu": 1000, "mem": 100, "fail": true });
            body["spec"] = json!(work.to_string());
        } else if rng.u32(0..CRASHES_ONE_IN) == 0 {
            let crash_ms = rng.u64(0..ms);
            let work =
                json!({ "ms": ms, "cpu": 1000, "mem": 100, "crash": 0, "crash_ms": crash_ms });
            body["spec"] = json!(work.to_string());
        }
        // Drawn apart, so that the other jobs of a seed stay as they were.
        let mut gang_rng = Rng::with_seed(seed.rotate_left(32) ^ number);
        let is_ordinary = number & (BURST_NUMBER | WIDE_NUMBER) == 0;
        if is_ordinary && gang_rng.u32(0..GANG_ONE_IN) == 0 {
            begin_with_gang(&mut body);
        }
        if number & BURST_NUMBER != 0 {
            let count = body["phases"][0]["count"].as_u64().unwrap_or_default();
            self.burst_counts.borrow_mut().insert(name.clone(), count);
        }
        let body = body.to_string();
        let mut outcome = self.submit(&mut rng, &name, &body).await;
        if outcome == CallerOutcome::Accepted && rng.u32(0..CANCEL_ONE_IN) == 0 {
            outcome = self.cancel(&mut rng, &name).await;
        }
        self.outcomes.borrow_mut().insert(name, outcome);
        self.open.set(self.open.get() - 1);
    }

    /// Submits jobs at once; `kind` is a bit in their numbers.
    fn begin_burst(self: &Rc<Self>, seed: u64, kind: u64, jobs: u32) {
        for _ in 0..jobs {
            let number = kind + self.burst_jobs.replace(self.burst_jobs.get() + 1);
            self.open.set(self.open.get() + 1);
            spawn(self.clone().run_caller(seed, number)).detach();
        }
    }

    /// Returns the jobs that were accepted and not cancelled.
    fn accepted(&self) -> Vec<String> {
        let outcomes = self.outcomes.borrow();
        let accepted = outcomes
            .iter()
            .filter(|(_, outcome)| **outcome == CallerOutcome::Accepted);
        accepted.map(|(name, _)| name.clone()).collect()
    }

    /// Starts callers at random intervals until `stop` is set.
    async fn run_callers(self: Rc<Self>, seed: u64) {
        let mut rng = Rng::with_seed(seed);
        let max_gap_ms = match seed % 4 {
            3 => MAX_SPARSE_CALLER_GAP_MS,
            _ => MAX_CALLER_GAP_MS,
        };
        for number in 1.. {
            if self.stop.get() {
                return;
            }
            self.open.set(self.open.get() + 1);
            spawn(self.clone().run_caller(seed, number)).detach();
            sleep(Duration::from_millis(rng.u64(0..max_gap_ms))).await;
        }
    }
}

/// Makes the first step of a job a gang, and adds a second step if there is none.
fn begin_with_gang(body: &mut Value) {
    let steps = body["phases"].as_array_mut().expect("the steps");
    let mut second = steps[0].clone();
    second["after"] = json!([0]);
    let first = &mut steps[0];
    first["gang"] = json!(true);
    first["count"] = json!(GANG_MEMBERS);
    first["antiAffinity"] = json!(1);
    if steps.len() == 1 {
        steps.push(second);
    }
}

/// Returns a best-effort job of two wide steps. Its tasks reserve no processors: they run in what other tasks leave,
/// and workers must not count them towards their capacity.
fn best_effort_job(rng: &mut Rng) -> Value {
    let ms = rng.u64(100..600);
    let mut body = job(2, rng.u32(4..9), ms);
    body["spec"] = json!(json!({ "ms": ms, "cpu": 0, "mem": 100 }).to_string());
    for step in body["phases"].as_array_mut().into_iter().flatten() {
        step["fills"] = json!(true);
    }
    body
}

/// Begins a fault.
async fn begin_fault(site: &mut Site, planned: &PlannedFault, routes: &mut Vec<String>) {
    match (planned.target, planned.fault) {
        (FaultTarget::Front(front), SoakFault::Kill) => site.kill_front(front),
        (FaultTarget::Front(front), SoakFault::Stop) => site.signal_front(front, libc::SIGTERM),
        (FaultTarget::Front(front), _) => site.signal_front(front, libc::SIGSTOP),
        (FaultTarget::StorePath(front), SoakFault::Cut) => site.store_proxies[front].cut(),
        (FaultTarget::StorePath(front), _) => site.store_proxies[front].silence_open_connections(),
        (FaultTarget::Agent(number), SoakFault::Kill) => site.kill_agent(number),
        (FaultTarget::Agent(number), _) => site.signal_agent(number, libc::SIGSTOP),
        (FaultTarget::Worker(number), SoakFault::Kill | SoakFault::Restart(_)) => {
            site.kill_worker(number).await;
        }
        (FaultTarget::Worker(number), fault) => {
            let faults = match fault {
                SoakFault::FailAll => json!({ "fail": true }),
                SoakFault::Shrink => json!({ "cpu_milli": 1_500 }),
                SoakFault::SlowRuns(times) => json!({ "slow_times": times }),
                SoakFault::LoseCalls => json!({ "lost_percent": 80, "lost_ms": [50, 3_000] }),
                _ => json!({ "late_percent": 60, "late_ms": 2_500 }),
            };
            site.set_worker_faults(number, faults).await;
        }
        (FaultTarget::Store, fault) => {
            let faults = match fault {
                SoakFault::Down => json!({ "down": true }),
                SoakFault::Slow => json!({ "delay_ms": 250 }),
                SoakFault::DropHistory => json!({ "forget": true }),
                _ => json!({ "lose_percent": 30 }),
            };
            site.set_store_faults(faults).await;
        }
        (FaultTarget::Domain(domain), _) => site.drain(domain).await,
        (FaultTarget::Config, _) => {
            routes.push(format!("/r{}/", routes.len()));
            put_routes(site, routes).await;
        }
        (FaultTarget::Callers, _) => {}
    }
}

/// Ends a fault.
async fn end_fault(site: &mut Site, planned: &PlannedFault) {
    match (planned.target, planned.fault) {
        (FaultTarget::Front(front), SoakFault::Kill | SoakFault::Stop) => {
            // The platform also kills a process that takes longer to stop than its grace period.
            site.kill_front(front);
            site.start_front(front);
        }
        (FaultTarget::Front(front), _) => site.signal_front(front, libc::SIGCONT),
        (FaultTarget::StorePath(front), _) => site.store_proxies[front].restore(),
        (FaultTarget::Agent(number), SoakFault::Kill) => site.start_agent(number),
        (FaultTarget::Agent(number), _) => site.signal_agent(number, libc::SIGCONT),
        (FaultTarget::Worker(number), SoakFault::Kill) => site.start_worker(number),
        (FaultTarget::Worker(number), SoakFault::Restart(clock)) => {
            site.start_worker_under_id(number, clock);
        }
        (FaultTarget::Worker(number), _) => site.set_worker_faults(number, json!({})).await,
        (FaultTarget::Store, _) => site.set_store_faults(json!({})).await,
        (FaultTarget::Domain(domain), _) => site.undrain(domain).await,
        (FaultTarget::Config | FaultTarget::Callers, _) => {}
    }
}

async fn put_routes(site: &mut Site, routes: &[String]) {
    let prefixes: Vec<&str> = routes.iter().map(String::as_str).collect();
    site.put_config(&prefixes).await;
}

/// Executes the plan: begins and ends faults in the order of their times, and restarts crashed workers meanwhile.
async fn execute_plan(
    site: &mut Site,
    plan: &[PlannedFault],
    routes: &mut Vec<String>,
    begin_burst: impl Fn(u64, u32),
) {
    let mut steps: Vec<(Duration, bool, &PlannedFault)> = Vec::new();
    for planned in plan {
        steps.push((planned.at, true, planned));
        steps.push((planned.at + planned.duration, false, planned));
    }
    steps.sort_by_key(|(at, begins, _)| (*at, !begins));
    let began = Instant::now();
    for (at, begins, planned) in steps {
        while began.elapsed() < at {
            sleep(RESTART_INTERVAL.min(at.saturating_sub(began.elapsed()))).await;
            site.restart_crashed_workers();
        }
        let step = if begins { "begins" } else { "ends" };
        println!(
            "{:>6.2} s {step} {planned:?}",
            began.elapsed().as_secs_f64()
        );
        match planned.fault {
            SoakFault::Burst(jobs) if begins => begin_burst(BURST_NUMBER, jobs),
            SoakFault::SlowRuns(_) if begins => begin_burst(WIDE_NUMBER, WIDE_JOBS),
            _ => {}
        }
        match begins {
            true => begin_fault(site, planned, routes).await,
            false => end_fault(site, planned).await,
        }
    }
}

/// Checks that each best-effort job began with a single task or with at least `begin_share` of its first step. The
/// orders of one placement round for a step are consecutive in the owner's log and have the same waiting time.
fn check_job_begins(site: &Site, callers: &Callers) {
    let mut begins: HashMap<String, (String, u64, u64)> = HashMap::new();
    for front in 0..callers.fronts.len() {
        let mut last_round = (String::new(), 0);
        let mut begun: HashMap<String, (String, u64, u64)> = HashMap::new();
        for line in site.log(&format!("front-{front}")).lines() {
            let line: Value = serde_json::from_str(line).unwrap_or_default();
            let task = line["task"]
                .as_str()
                .filter(|_| line["message"] == "start ordered");
            let Some((job, _)) = task.and_then(|task| task.split_once('.')) else {
                continue;
            };
            let at = line["timestamp"].as_str().unwrap_or_default().to_owned();
            let round = (
                job.to_owned(),
                line["waited_ms"].as_u64().unwrap_or_default(),
            );
            match begun.get_mut(job) {
                None => drop(begun.insert(job.to_owned(), (at, round.1, 1))),
                Some((_, waited_ms, count)) if last_round == round && *waited_ms == round.1 => {
                    *count += 1;
                }
                Some(_) => {}
            }
            last_round = round;
        }
        for (job, begin) in begun {
            let first = begins.entry(job).or_insert_with(|| begin.clone());
            if begin.0 < first.0 {
                *first = begin;
            }
        }
    }
    for (job, tasks) in callers.burst_counts.borrow().iter() {
        let Some((_, _, started)) = begins.get(job) else {
            continue;
        };
        assert!(
            *started == 1 || *started as f64 >= *tasks as f64 * BEGIN_SHARE,
            "best-effort job {job} began with {started} of {tasks} tasks"
        );
    }
}

/// Checks the guarantees after all faults have ended.
async fn check_final_state(site: &Site, callers: &Callers, routes: &[String]) {
    for front in 0..callers.fronts.len() {
        site.wait_ready(front).await;
    }
    let outcomes = callers.outcomes.borrow().clone();
    let jobs_with = |outcome: CallerOutcome| {
        let matching = outcomes.iter().filter(move |(_, known)| **known == outcome);
        matching.map(|(name, _)| name)
    };
    for name in jobs_with(CallerOutcome::Accepted) {
        site.wait_ended(name, &["completed", "failed"]).await;
    }
    for name in jobs_with(CallerOutcome::Cancelled) {
        site.wait_ended(name, &["cancelled", "completed", "failed"])
            .await;
    }
    let started = site.jobs_with_starts().await;
    for name in jobs_with(CallerOutcome::Refused) {
        assert!(
            !started.contains(name),
            "{name} ran although every try was refused"
        );
    }
    let all_running = || async {
        let running = site.running_count(LONG_RUNNING_JOB).await;
        (running == LONG_RUNNING_TASKS as usize).then_some(())
    };
    wait_for("all long-running tasks to run", all_running).await;
    site.audit().await;
    site.audit_failed_attempts(MAX_ATTEMPTS).await;
    check_job_begins(site, callers);
    let newest = routes.last().expect("the plan starts with one route");
    for front in 0..callers.fronts.len() {
        wait_for("the newest route to be in force", || async {
            let answer = site.request_path(front, Method::GET, newest).await.ok()?;
            (answer.status != 404 && answer.status != 503).then_some(())
        })
        .await;
        for boot in site.config_versions(front) {
            assert!(
                boot.is_sorted(),
                "front {front} went back to an older config: {boot:?}"
            );
        }
    }
    let count = |outcome: CallerOutcome| jobs_with(outcome).count();
    println!(
        "accepted {}, cancelled {}, refused {}, unknown {}",
        count(CallerOutcome::Accepted),
        count(CallerOutcome::Cancelled),
        count(CallerOutcome::Refused),
        count(CallerOutcome::Unknown)
    );
    let fronts = (0..callers.fronts.len()).map(|front| site.log(&format!("front-{front}")));
    let logs: String = fronts
        .chain((0..site.vms.len()).map(|vm| site.log(&format!("side-{vm}"))))
        .collect();
    println!(
        "found slow {}, moves {}, starts not answered {}, best-effort jobs {}",
        logs.matches("\"verdict\":\"slow\"").count(),
        logs.matches("\"why\":\"slow_worker\"").count(),
        logs.matches("start was not answered").count(),
        callers.burst_counts.borrow().len()
    );
}

async fn soak(seed: u64, size: SoakSize) {
    println!("seed {seed}, {size:?}");
    let test = format!("soak-{seed}");
    let mut site =
        Site::start_with_policy(&test, size.fronts, size.vms, (DOMAINS.len(), POLICY)).await;
    let plan = draw_plan(seed, size, &DOMAINS);
    let callers = Rc::new(Callers {
        fronts: site.fronts.iter().map(|front| front.callers).collect(),
        outcomes: RefCell::default(),
        open: Cell::new(0),
        burst_counts: RefCell::default(),
        burst_jobs: Cell::new(0),
        stop: Cell::new(false),
    });
    site.submit(LONG_RUNNING_JOB, &long_running_job(LONG_RUNNING_TASKS))
        .await;
    let callers_task = spawn(callers.clone().run_callers(seed));
    let mut routes = vec!["/g/".to_owned()];
    let begin_burst = |kind, jobs| callers.begin_burst(seed, kind, jobs);
    execute_plan(&mut site, &plan, &mut routes, begin_burst).await;
    callers.stop.set(true);
    callers_task
        .await
        .expect("the task of the callers must not panic");
    let began = Instant::now();
    while callers.open.get() > 0 || !site.have_jobs_ended(&callers.accepted()).await {
        assert!(
            began.elapsed() < JOB_TIMEOUT,
            "some jobs have not ended in time"
        );
        site.restart_crashed_workers();
        sleep(RESTART_INTERVAL).await;
    }
    check_final_state(&site, &callers, &routes).await;
}

const SHORT: SoakSize = SoakSize {
    fronts: 3,
    vms: 3,
    duration: Duration::from_secs(10),
};

macro_rules! soak_seeds {
    ($($name:ident: $seed:expr;)*) => {
        $(
            #[test]
            fn $name() {
                run(soak($seed, SHORT));
            }
        )*
    };
}

soak_seeds! {
    a_short_soak_of_seed_1: 1;
    a_short_soak_of_seed_2: 2;
}

/// Runs the soak for a range of seeds. Does nothing unless `WAXWING_SOAK` is set:
/// `WAXWING_SOAK=FIRST,LAST,FRONTS,VMS,SECONDS cargo test --test pool soaks_by_hand`.
#[test]
fn soaks_by_hand() {
    let Ok(text) = std::env::var("WAXWING_SOAK") else {
        return;
    };
    let numbers: Vec<u64> = text
        .split(',')
        .map(|number| number.parse().expect("WAXWING_SOAK must have five numbers"))
        .collect();
    let [first, last, fronts, vms, seconds] = numbers[..] else {
        panic!("WAXWING_SOAK must have five numbers");
    };
    let size = SoakSize {
        fronts: fronts as usize,
        vms: vms as usize,
        duration: Duration::from_secs(seconds),
    };
    for seed in first..=last {
        run(soak(seed, size));
    }
}
