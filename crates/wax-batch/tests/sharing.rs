//! Best-effort jobs under a shortage of capacity: whole jobs are completed, no job is lost, and
//! nothing changes while the rules of sharing are off.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;
use support::*;
use wax_batch::{
    EndPage, JobName, JobOutcome, JobProgress, JobRow, JobScheduler, LostRun, QueueRules,
    RepeatPlan, RunEndKind, RunId, StartOrder, StepSpec, TaskSize, WaitReason, WorkerKey,
    WorkerView,
};
use wax_policy::{BeginChoice, BegunLoad, PairInterference, SharingRules};
use wax_types::TimePoint;

fn enabled() -> SharingRules {
    SharingRules {
        enabled: 1,
        ..Default::default()
    }
}

/// Returns a scheduler of term `epoch` with the given rules and one worker.
fn pool(epoch: u64, rules: SharingRules, cpu_milli: u32) -> (JobScheduler, WorkerKey) {
    let mut scheduler = scheduler(epoch);
    scheduler.set_sharing_rules(rules);
    let worker = worker(&mut scheduler, "one", cpu_milli);
    (scheduler, worker)
}

fn best_effort_step(count: u32) -> StepSpec {
    StepSpec {
        best_effort: true,
        checkpoints: true,
        image: "a".into(),
        ..step(count, 1_000)
    }
}

/// Adds a best-effort job with one step of `count` tasks of one core and one second each.
fn add_best_effort(scheduler: &mut JobScheduler, job: u64, count: u32) {
    add_job(
        scheduler,
        job,
        1,
        &spec(vec![best_effort_step(count)]),
        None,
    );
}

fn jobs_of(orders: &[StartOrder]) -> BTreeMap<u64, usize> {
    let mut jobs = BTreeMap::new();
    for order in orders {
        *jobs.entry(order.run_id.task.job.0).or_default() += 1;
    }
    jobs
}

/// Reports the ends of the given runs, numbered from `first` on.
fn end_all(
    scheduler: &mut JobScheduler,
    worker: WorkerKey,
    runs: &[RunId],
    first: u64,
    now: TimePoint,
) {
    for (number, run_id) in (first..).zip(runs) {
        let end = end(number, *run_id, RunEndKind::Done);
        scheduler.record_end(worker, &end, now, unix_ms(0));
    }
}

/// Reserves most of the service's processors for tasks that are not best-effort.
fn reserve_most_capacity(scheduler: &mut JobScheduler) {
    let full = worker(scheduler, "full", 400_000);
    add_job(scheduler, 99, 1, &spec(vec![step(4, 100_000)]), None);
    let orders = scheduler.place(at(0));
    assert!(orders.iter().all(|order| order.worker == full));
    record_all_starts(scheduler, &orders, at(0));
}

macro_rules! begin {
    ($($name:ident: $placeable:literal of $waiting:literal => $choice:ident;)*) => {$(
        #[test]
        fn $name() {
            let choice = enabled().begin_choice($placeable, $waiting);
            assert_eq!(choice, BeginChoice::$choice);
        }
    )*};
}

begin! {
    all_tasks_fit: 10 of 10 => Begin;
    most_tasks_fit: 7 of 10 => Begin;
    too_few_tasks_fit: 6 of 10 => Postpone;
    no_task_fits: 0 of 10 => Postpone;
    a_single_task_fits: 1 of 1 => Begin;
}

macro_rules! backlog {
    ($($name:ident: $waiting:literal with $running:literal => $may_begin:literal;)*) => {$(
        #[test]
        fn $name() {
            let load = BegunLoad { waiting_milli: $waiting, running_milli: $running };
            assert_eq!(enabled().may_begin(load), $may_begin);
        }
    )*};
}

backlog! {
    an_idle_pool_begins_jobs: 0 with 0 => true;
    a_small_backlog_begins_jobs: 2_000 with 8_000 => true;
    a_large_backlog_begins_none: 2_001 with 8_000 => false;
    waiting_work_on_an_empty_pool_begins_none: 1 with 0 => false;
}

/// Guards against jobs that begin with the few tasks that happen to fit, and never end.
#[test]
fn a_job_begins_only_with_most_of_its_tasks() {
    let (mut scheduler, _) = pool(1, enabled(), 5_000);
    reserve_most_capacity(&mut scheduler);
    add_best_effort(&mut scheduler, 1, 10);
    assert!(scheduler.place(at(10)).is_empty());
    add_best_effort(&mut scheduler, 2, 6);
    assert_eq!(jobs_of(&scheduler.place(at(20))), BTreeMap::from([(2, 6)]));
}

/// Guards against a change of behavior for deployments that do not enable the rules.
#[test]
fn without_the_rules_a_job_begins_with_any_task() {
    let (mut scheduler, _) = pool(1, SharingRules::default(), 5_000);
    reserve_most_capacity(&mut scheduler);
    add_best_effort(&mut scheduler, 1, 10);
    assert_eq!(jobs_of(&scheduler.place(at(10))), BTreeMap::from([(1, 6)]));
}

/// Guards against run numbers, reservations and limits per worker that stay in use after a search
/// that was undone.
#[test]
fn a_postponed_job_leaves_no_trace() {
    let (mut scheduler, worker) = pool(1, enabled(), 5_000);
    reserve_most_capacity(&mut scheduler);
    let limited = StepSpec {
        max_per_worker: 10,
        ..best_effort_step(10)
    };
    add_job(&mut scheduler, 1, 1, &spec(vec![limited]), None);
    for round in 0..5 {
        assert!(scheduler.place(at(200 * round)).is_empty());
    }
    let record = scheduler.workers().find(|(key, _)| *key == worker);
    let record = record.expect("the worker is known").1;
    assert!(record.runs.is_empty());
    assert_eq!(record.best_effort_milli, 0);
    let larger = support::worker(&mut scheduler, "two", 20_000);
    let orders = scheduler.place(at(2_000));
    assert_eq!(orders.len(), 10);
    assert!(orders.iter().all(|order| order.run_id.run == 1));
    assert!(orders.iter().any(|order| order.worker == larger));
}

/// Guards against a task suspected of crashing its worker that waits for a worker without a recent
/// start because of starts that were never ordered.
#[test]
fn a_postponed_job_does_not_count_as_a_recent_start() {
    let (mut scheduler, _) = pool(1, enabled(), 5_000);
    reserve_most_capacity(&mut scheduler);
    support::worker(&mut scheduler, "two", 5_000);
    add_job(&mut scheduler, 7, 1, &spec(vec![step(1, 1_000)]), None);
    let order = scheduler.place(at(10)).remove(0);
    add_best_effort(&mut scheduler, 1, 30);
    assert!(scheduler.place(at(1_000)).is_empty());
    let lost = LostRun {
        run_id: order.run_id,
        min_run_time: Some(Duration::from_millis(3)),
    };
    let record = scheduler.workers().find(|(key, _)| *key == order.worker);
    let vm = record.expect("the worker is known").1.view.boot.to_string();
    scheduler.record_crash(&vm, &[lost], at(1_010), unix_ms(1_010));
    scheduler.remove_lost_worker(order.worker, at(1_010), unix_ms(1_010));
    assert_eq!(
        jobs_of(&scheduler.place(at(1_020))),
        BTreeMap::from([(7, 1)])
    );
}

/// Guards against newer, smaller jobs that take the capacity of a job in progress.
#[test]
fn a_job_in_progress_comes_before_new_ones() {
    let (mut scheduler, worker) = pool(1, enabled(), 4_000);
    reserve_most_capacity(&mut scheduler);
    let two_steps = vec![
        best_effort_step(4),
        StepSpec {
            after: [0].into(),
            ..best_effort_step(4)
        },
    ];
    add_job(&mut scheduler, 1, 1, &spec(two_steps), None);
    let orders = scheduler.place(at(0));
    assert_eq!(jobs_of(&orders), BTreeMap::from([(1, 4)]));
    record_all_starts(&mut scheduler, &orders, at(0));
    add_best_effort(&mut scheduler, 2, 1);
    let runs: Vec<RunId> = orders.iter().map(|order| order.run_id).collect();
    end_all(&mut scheduler, worker, &runs, 1, at(500));
    let next = scheduler.place(at(500));
    assert_eq!(
        next.first().map(|order| order.run_id.task.job),
        Some(JobName(1))
    );
    assert_eq!(jobs_of(&next).get(&1), Some(&4));
}

/// Guards against new jobs that begin while jobs in progress cannot get the capacity that they
/// need, and checks that the wait is reported with its reason.
#[test]
fn no_job_begins_while_jobs_in_progress_wait() {
    let (mut scheduler, worker) = pool(1, enabled(), 4_000);
    reserve_most_capacity(&mut scheduler);
    let widening = vec![
        best_effort_step(4),
        StepSpec {
            after: [0].into(),
            ..best_effort_step(12)
        },
    ];
    add_job(&mut scheduler, 1, 1, &spec(widening), None);
    let orders = scheduler.place(at(0));
    record_all_starts(&mut scheduler, &orders, at(0));
    let runs: Vec<RunId> = orders.iter().map(|order| order.run_id).collect();
    end_all(&mut scheduler, worker, &runs, 1, at(100));
    scheduler.place(at(100));
    scheduler.take_waits();
    add_best_effort(&mut scheduler, 2, 1);
    assert!(jobs_of(&scheduler.place(at(200))).is_empty());
    let waits = scheduler.take_waits();
    let wait = waits.iter().find(|wait| wait.task.job == JobName(2));
    assert_eq!(wait.map(|wait| wait.reason), Some(WaitReason::Turn));
}

/// Guards against a job that stands still although the service has capacity to spare: once it has
/// waited for long, it begins with what finds a worker, and its tasks follow one another without a
/// pause. A rule that let it start one task at a time left it without a run for more than a second
/// after each of them.
#[test]
fn a_job_begins_in_part_where_capacity_is_spare() {
    let (mut scheduler, worker) = pool(1, enabled(), 12_000);
    add_best_effort(&mut scheduler, 1, 10);
    assert_eq!(jobs_of(&scheduler.place(at(0))), BTreeMap::from([(1, 10)]));
    add_best_effort(&mut scheduler, 2, 100);
    assert!(scheduler.place(at(10)).is_empty());
    let mut running: Vec<(u64, RunId)> = Vec::new();
    let mut ended = 0;
    // Later the job is too late, and gets only what the limit for such jobs leaves.
    for now_ms in (2_000..6_000).step_by(100) {
        let (over, rest) = running.into_iter().partition(|(until, _)| *until <= now_ms);
        running = rest;
        let over: Vec<RunId> = over.into_iter().map(|(_, run_id)| run_id).collect();
        end_all(&mut scheduler, worker, &over, ended + 1, at(now_ms));
        ended += over.len() as u64;
        let orders = scheduler.place(at(now_ms));
        record_all_starts(&mut scheduler, &orders, at(now_ms));
        let started = orders.iter().map(|order| (now_ms + 900, order.run_id));
        running.extend(started);
        assert!(!running.is_empty(), "no run of the job at {now_ms} ms");
    }
}

/// Guards against an accepted job that never runs because too little capacity for its begin is free
/// at any time: as without the rules, an old job gets one task placed.
#[test]
fn an_old_job_starts_one_task_on_a_service_without_spare_capacity() {
    let (mut scheduler, _) = pool(1, enabled(), 5_000);
    reserve_most_capacity(&mut scheduler);
    add_best_effort(&mut scheduler, 1, 10);
    for millis in (10..10_000).step_by(500) {
        assert!(scheduler.place(at(millis)).is_empty(), "at {millis} ms");
    }
    assert_eq!(
        jobs_of(&scheduler.place(at(10_100))),
        BTreeMap::from([(1, 1)])
    );
    assert!(scheduler.place(at(10_300)).is_empty());
    add_best_effort(&mut scheduler, 2, 10);
    add_best_effort(&mut scheduler, 3, 10);
    scheduler.place(at(10_400));
    let starts = [11_350, 11_400, 12_550, 12_600].map(|millis| scheduler.place(at(millis)).len());
    assert_eq!(starts, [1, 0, 1, 0], "starved jobs take turns");
}

/// Guards against a job that runs one task at a time on an idle service because it has more tasks
/// than fit there at once.
#[test]
fn a_job_that_is_wider_than_an_idle_service_begins() {
    let (mut scheduler, _) = pool(1, enabled(), 4_000);
    add_best_effort(&mut scheduler, 1, 100);
    assert_eq!(jobs_of(&scheduler.place(at(0))), BTreeMap::from([(1, 4)]));
}

/// Guards against steps with a limit for each worker that never begin because the service has too
/// few workers.
#[test]
fn a_job_begins_that_fits_only_in_part_by_its_limit_for_each_worker() {
    let (mut scheduler, _) = pool(1, enabled(), 4_000);
    let limited = StepSpec {
        max_per_worker: 2,
        ..best_effort_step(10)
    };
    add_job(&mut scheduler, 1, 1, &spec(vec![limited]), None);
    assert_eq!(jobs_of(&scheduler.place(at(0))), BTreeMap::from([(1, 2)]));
}

/// Guards against a queue of wide jobs of which none ever begins: the second follows the first.
#[test]
fn wide_jobs_follow_each_other() {
    let (mut scheduler, worker) = pool(1, enabled(), 4_000);
    add_best_effort(&mut scheduler, 1, 12);
    add_best_effort(&mut scheduler, 2, 12);
    let mut ends = 0;
    for round in 0..6 {
        let now = at(round * 1_000);
        let orders = scheduler.place(now);
        record_all_starts(&mut scheduler, &orders, now);
        let runs: Vec<RunId> = orders.iter().map(|order| order.run_id).collect();
        end_all(
            &mut scheduler,
            worker,
            &runs,
            ends + 1,
            at(round * 1_000 + 900),
        );
        ends += runs.len() as u64;
    }
    assert_eq!(ends, 24, "all tasks of both jobs have run");
}

/// Guards against a new owner that postpones jobs in progress because it has not started them
/// itself.
#[test]
fn a_new_owner_counts_adopted_jobs_as_begun() {
    let (mut scheduler, worker) = pool(2, enabled(), 6_000);
    reserve_most_capacity(&mut scheduler);
    add_best_effort(&mut scheduler, 1, 12);
    scheduler.reconcile_worker(
        worker,
        &[running(run_id(1, 0, 0, 1))],
        &EndPage::all(&[]),
        at(0),
        unix_ms(0),
    );
    let orders = scheduler.place(at(10));
    assert!(jobs_of(&orders).get(&1).is_some_and(|tasks| *tasks > 1));
}

/// Guards against a new owner that postpones jobs whose stored progress shows that they have begun.
#[test]
fn a_new_owner_counts_jobs_with_progress_as_begun() {
    let (mut scheduler, _) = pool(2, enabled(), 6_000);
    reserve_most_capacity(&mut scheduler);
    let mut progress = JobProgress::default();
    progress.occurrences.push(Default::default());
    progress.occurrences[0].steps.push(Default::default());
    progress.occurrences[0].steps[0].mark_done(0);
    let spec = spec(vec![best_effort_step(12)]);
    add_job(&mut scheduler, 1, 1, &spec, Some(&progress));
    let orders = scheduler.place(at(10));
    assert!(jobs_of(&orders).get(&1).is_some_and(|tasks| *tasks > 1));
}

/// Guards against later occurrences of a repeated job that begin with the few tasks that happen to
/// fit, because the first occurrence has begun.
#[test]
fn each_occurrence_of_a_repeated_job_begins_by_itself() {
    let (mut scheduler, worker) = pool(1, enabled(), 5_000);
    reserve_most_capacity(&mut scheduler);
    let mut repeated = spec(vec![best_effort_step(6)]);
    repeated.repeat = Some(RepeatPlan {
        count: 2,
        first_ms: unix_ms(0),
        interval_ms: 500,
    });
    add_job(&mut scheduler, 1, 1, &repeated, None);
    let orders = scheduler.place(at(10));
    assert_eq!(jobs_of(&orders), BTreeMap::from([(1, 6)]));
    record_all_starts(&mut scheduler, &orders, at(10));
    let runs: Vec<RunId> = orders.iter().map(|order| order.run_id).collect();
    end_all(&mut scheduler, worker, &runs[..2], 1, at(500));
    scheduler.start_due_occurrences(at(500), unix_ms(500));
    assert!(scheduler.place(at(510)).is_empty(), "two of six tasks fit");
    end_all(&mut scheduler, worker, &runs[2..], 3, at(700));
    let orders = scheduler.place(at(700));
    assert_eq!(orders.len(), 6);
    assert!(orders.iter().all(|order| order.run_id.task.occurrence == 1));
}

/// Adds workers of six cores, and a job of two steps of tasks of four cores, one of which fits on
/// each worker. Half the tasks of the second step wait.
fn add_waiting_begun_job(scheduler: &mut JobScheduler, workers: u32, label: Option<&str>) {
    for number in 0..workers {
        let view = WorkerView {
            boot: format!("w{number}").as_str().into(),
            service: "svc".into(),
            labels: label.map(Into::into).into_iter().collect(),
            capacity: TaskSize {
                memory_mb: 60_000,
                ..size(6_000)
            },
            ..Default::default()
        };
        scheduler.add_worker(view, &format!("w{number}"));
    }
    let wide = |count| StepSpec {
        label: label.map(Into::into),
        size: size(4_000),
        ..best_effort_step(count)
    };
    let second = StepSpec {
        after: [0].into(),
        ..wide(workers * 2)
    };
    add_job(scheduler, 1, 1, &spec(vec![wide(workers), second]), None);
    let orders = scheduler.place(at(0));
    assert_eq!(orders.len(), workers as usize);
    record_all_starts(scheduler, &orders, at(0));
    for (number, order) in (1..).zip(&orders) {
        let end = end(number, order.run_id, RunEndKind::Done);
        scheduler.record_end(order.worker, &end, at(100), unix_ms(100));
    }
    let orders = scheduler.place(at(100));
    assert_eq!(orders.len(), workers as usize);
    record_all_starts(scheduler, &orders, at(100));
}

/// Guards against jobs that begin in the rounds in which the waiting steps of begun jobs are not due
/// for a check, as is usual in a pool of more than 256 workers.
#[test]
fn waiting_steps_that_are_not_due_for_a_check_count() {
    let mut scheduler = scheduler(1);
    scheduler.set_sharing_rules(enabled());
    add_waiting_begun_job(&mut scheduler, 300, None);
    for millis in 101..120 {
        add_best_effort(&mut scheduler, millis, 1);
        assert!(scheduler.place(at(millis)).is_empty(), "at {millis} ms");
    }
}

/// Guards against the begun jobs of one service that hold up the jobs of another.
#[test]
fn services_do_not_hold_up_each_other() {
    let mut config = config(2);
    let other = QueueRules {
        name: "others".into(),
        prefix: "/o/".into(),
        service: "other".into(),
        ..(*config.queues[0]).clone()
    };
    config.queues.push(other.into());
    let mut scheduler = scheduler(1);
    let other = rules_of(&config, 1);
    scheduler.set_config(config.into(), unix_ms(0));
    scheduler.set_sharing_rules(enabled());
    add_waiting_begun_job(&mut scheduler, 1, None);
    let view = WorkerView {
        boot: "other".into(),
        service: "other".into(),
        capacity: TaskSize {
            memory_mb: 60_000,
            ..size(4_000)
        },
        ..Default::default()
    };
    scheduler.add_worker(view, "other");
    let job = spec(vec![best_effort_step(4)]);
    let mut row = JobRow::new(&job, &other, unix_ms(0), 1);
    row.epoch = 1;
    scheduler.add_job(JobName(2), row, None, &clocks(0));
    let orders = scheduler.place(at(110));
    assert_eq!(jobs_of(&orders), BTreeMap::from([(2, 4)]));
}

/// Guards against a begun job that waits for workers with a label and holds up all jobs, although
/// other workers are idle.
#[test]
fn a_begun_job_that_waits_for_a_label_holds_up_no_other() {
    let (mut scheduler, _) = pool(1, enabled(), 4_000);
    add_waiting_begun_job(&mut scheduler, 2, Some("fast"));
    add_best_effort(&mut scheduler, 2, 4);
    let orders = scheduler.place(at(110));
    assert_eq!(jobs_of(&orders), BTreeMap::from([(2, 4)]));
}

/// Jobs that ended within their objective, and all that ended, in a replay.
#[derive(Debug, PartialEq, Eq)]
struct ReplayResult {
    in_time: usize,
    ended: usize,
}

/// Interval of a replay's steps, milliseconds.
const TICK_MS: u64 = 50;
/// Number of best-effort tasks that a worker of a replay runs at full pace. All tasks of a worker
/// slow down if there are more.
const FULL_PACE_TASKS: usize = 5;

/// Run in progress in a replay.
struct ReplayRun {
    left_ms: f64,
    worker: WorkerKey,
    run_id: RunId,
}

/// Workers and runs of a replay.
struct Replay {
    scheduler: JobScheduler,
    workers: Vec<WorkerKey>,
    running: Vec<ReplayRun>,
    ends: BTreeMap<WorkerKey, u64>,
}

impl Replay {
    /// Starts eight workers that serve an image with which the best-effort tasks interfere.
    fn new(rules: SharingRules) -> Self {
        let mut scheduler = scheduler(1);
        scheduler.set_sharing_rules(rules);
        let mut workers = Vec::new();
        for id in ["a", "b", "c", "d", "e", "f", "g", "h"] {
            workers.push(worker(&mut scheduler, id, 16_000));
        }
        let serving = StepSpec {
            long_running: true,
            tail_target_ms: 100,
            image: "serving".into(),
            max_per_worker: 1,
            ..step(8, 12_000)
        };
        add_job(&mut scheduler, 1, 1, &spec(vec![serving]), None);
        let orders = scheduler.place(at(0));
        assert_eq!(orders.len(), workers.len());
        record_all_starts(&mut scheduler, &orders, at(0));
        let interference = PairInterference {
            per_core: 0.1,
            precision: 100_000.0,
        };
        scheduler.merge_interference("serving", "a", interference);
        for worker in &workers {
            scheduler.set_headroom(*worker, "serving", 0.1 * FULL_PACE_TASKS as f64);
        }
        Self {
            scheduler,
            workers,
            running: Vec::new(),
            ends: BTreeMap::new(),
        }
    }

    /// Lets all runs work for one step and reports those that end.
    fn advance(&mut self, now_ms: u64) {
        for worker in &self.workers {
            let on_worker = |run: &&mut ReplayRun| run.worker == *worker;
            let count = self.running.iter_mut().filter(on_worker).count();
            let pace = (FULL_PACE_TASKS as f64 / count.max(1) as f64).min(1.0);
            for run in self.running.iter_mut().filter(on_worker) {
                run.left_ms -= TICK_MS as f64 * pace;
            }
        }
        let (ended, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|run| run.left_ms <= 0.0);
        self.running = running;
        let ended: Vec<ReplayRun> = ended;
        for run in ended {
            let number = self.ends.entry(run.worker).or_default();
            *number += 1;
            let end = end(*number, run.run_id, RunEndKind::Done);
            self.scheduler
                .record_end(run.worker, &end, at(now_ms), unix_ms(now_ms));
        }
    }

    fn start(&mut self, now_ms: u64) {
        let orders = self.scheduler.place(at(now_ms));
        record_all_starts(&mut self.scheduler, &orders, at(now_ms));
        self.running.extend(orders.iter().map(|order| ReplayRun {
            left_ms: 1_000.0,
            worker: order.worker,
            run_id: order.run_id,
        }));
    }
}

/// Replays 40 s in which best-effort jobs of two steps of 14 tasks request nearly twice the
/// processors that the pool has for them.
fn replay_overload(rules: SharingRules) -> ReplayResult {
    const ARRIVAL_PERIOD_MS: u64 = 400;
    // Twice the critical path of two seconds, and the queue's target latency.
    const OBJECTIVE_MS: u64 = 4_500;
    let mut replay = Replay::new(rules);
    let job_spec = spec(vec![
        best_effort_step(14),
        StepSpec {
            after: [0].into(),
            ..best_effort_step(14)
        },
    ]);
    let mut arrivals = BTreeMap::new();
    let mut result = ReplayResult {
        in_time: 0,
        ended: 0,
    };
    for now_ms in (0..40_000).step_by(TICK_MS as usize) {
        if now_ms % ARRIVAL_PERIOD_MS == 0 {
            let name = JobName(1_000 + now_ms);
            let mut row = JobRow::new(&job_spec, &queue_rules(2), unix_ms(now_ms), 1);
            row.epoch = 1;
            let scheduler = &mut replay.scheduler;
            scheduler.add_job(name, row, None, &clocks(now_ms));
            arrivals.insert(name, now_ms);
        }
        replay.advance(now_ms);
        for (name, progress) in store_all(&mut replay.scheduler) {
            if progress.outcome() == JobOutcome::Completed {
                let response_ms = now_ms - arrivals[&name];
                result.ended += 1;
                result.in_time += usize::from(response_ms <= OBJECTIVE_MS);
            }
        }
        replay.start(now_ms);
    }
    result
}

/// Guards against a shortage in which every job gets some capacity and few end in time.
#[test]
fn an_overloaded_pool_completes_whole_jobs() {
    let before = replay_overload(SharingRules::default());
    let with_rules = replay_overload(enabled());
    assert!(
        with_rules.in_time > before.in_time && with_rules.ended >= before.ended,
        "{with_rules:?}, without the rules {before:?}"
    );
}
