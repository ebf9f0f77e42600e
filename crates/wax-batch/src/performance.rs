//! Speeds of the workers, by the run times and tail latencies that their agents report.
//!
//! The figures kept of a step or an image do not grow with its runs, and a worker is evaluated for
//! placement by its verdict alone.

use crate::boot::BootId;
use crate::names::{JobName, TaskName};
use crate::scheduler::{JobScheduler, StepRef, TaskRef, WorkerRecord};
use crate::spec::StepSpec;
use crate::worker::{RunEndKind, RunReport, WorkerKey, WorkerState};
use slotmap::SecondaryMap;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::time::Duration;
use wax_policy::{
    ImageRunTimes, PerformanceRules, ServiceWorker, SpeedCause, SpeedFinding, SpeedObservation,
    SpeedVerdict, StepRunTimes, WorkerPerformance, compare_with_step, overdue_after,
    projected_run_time, select_slow,
};
use wax_types::TimePoint;

/// Time until a run without a reference, or without a newer report of its agent, is checked again.
const RECHECK_PERIOD: Duration = Duration::from_millis(200);
/// Interval at which figures of ended steps and of runs without updates are removed.
const PRUNE_PERIOD: Duration = Duration::from_millis(1_000);
/// Weight of a run that is compared with other jobs of its image: 3% of jobs take seven times longer
/// than the others on every worker.
const IMAGE_WEIGHT: f64 = 0.5;
/// Weight of one report of a tail latency over its target.
const TAIL_WEIGHT: f64 = 0.5;
/// Number of serving tasks of an image on other workers that serve as a reference.
const MIN_SERVING_PEERS: u32 = 2;
/// Number of images whose run times are kept.
const MAX_IMAGES: usize = 1_000;

/// Source of an observation; a later one from the same source replaces it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EvidenceSource {
    /// Run of a task, compared with its step.
    Task(TaskName),
    /// Run of a job, compared with other jobs of the image.
    Job(JobName),
    /// Report of a serving task's tail latency.
    Tail(TaskName, TimePoint),
}

/// Last tail latency over its target that was reported of a serving task.
#[derive(Debug, Clone)]
struct TailReport {
    worker: WorkerKey,
    image: Box<str>,
    /// Tail latency as a multiple of the target.
    ratio: f64,
    reported_at: TimePoint,
    /// Whether the report was not evaluated yet.
    is_new: bool,
}

/// Change of the verdict on a worker, for the log.
#[derive(Debug, Clone, PartialEq)]
pub struct SpeedChange {
    /// Boot of the worker.
    pub boot: BootId,
    /// New verdict.
    pub verdict: SpeedVerdict,
    /// Cause of the change.
    pub cause: SpeedCause,
    /// Estimated speed as a share of that of other workers.
    pub speed: f64,
    /// Confidence in `speed`, 0 to below 1.
    pub confidence: f64,
    /// Time since the last observation; `None` without evidence.
    pub age: Option<Duration>,
    /// Time for which a slow worker gets no short tasks.
    pub hold_off: Duration,
    /// Number of workers that count as slow now, including those in a probe.
    pub slow_workers: usize,
}

/// Worker that is not normal, for the metrics.
#[derive(Debug, Clone, Copy)]
pub struct SlowWorkerInfo<'a> {
    /// Boot of the worker.
    pub boot: &'a BootId,
    /// Verdict on the worker.
    pub verdict: SpeedVerdict,
    /// Estimated speed as a share of that of other workers.
    pub speed: f64,
    /// Cause of the last change of the verdict.
    pub cause: SpeedCause,
    /// Time since which the worker has not been normal.
    pub slow_since: TimePoint,
}

/// Task that was moved off a slow worker.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SlowMove {
    /// Number of the run that was stopped.
    pub(crate) run: u64,
    /// Time of the stop order.
    pub(crate) ordered_at: TimePoint,
}

/// Estimated speeds of the workers and the reference run times of steps and images.
#[derive(Debug, Default)]
pub(crate) struct PerformanceTracker {
    pub(crate) rules: PerformanceRules,
    workers: SecondaryMap<WorkerKey, WorkerPerformance<EvidenceSource>>,
    /// Number of workers that are not normal.
    slow_workers: usize,
    steps: HashMap<StepRef, StepRunTimes<WorkerKey>>,
    images: HashMap<Box<str>, ImageRunTimes>,
    /// Runs that may become overdue, by the time of their next check. Ended runs are removed with
    /// their check.
    checks: BinaryHeap<Reverse<(TimePoint, TaskRef, u64)>>,
    tails: BTreeMap<TaskName, TailReport>,
    /// Reports before this time, and runs started before it, are ignored.
    unreliable_until: TimePoint,
    pruned_at: TimePoint,
    changes: Vec<SpeedChange>,
    pub(crate) moves: BTreeMap<TaskRef, SlowMove>,
    /// Steps without capacity on normal workers, with the time of the search.
    pub(crate) full_steps: BTreeMap<StepRef, TimePoint>,
}

/// Returns whether the step's tasks run to an end by themselves at a speed that depends on the
/// worker alone.
pub(crate) fn is_short(step: &StepSpec) -> bool {
    !step.long_running && !step.best_effort && !step.gang
}

impl PerformanceTracker {
    pub(crate) fn is_enabled(&self) -> bool {
        self.rules.enabled > 0
    }

    /// Returns the cost that the worker's speed adds for a task of the step.
    pub(crate) fn cost(&self, worker: WorkerKey, step: &StepSpec) -> f64 {
        if self.slow_workers == 0 {
            return 0.0;
        }
        let Some(performance) = self.workers.get(worker) else {
            return 0.0;
        };
        if performance.verdict() == SpeedVerdict::Normal
            || (is_short(step) && performance.takes_short_tasks())
        {
            return 0.0;
        }
        match step.best_effort {
            true => self.rules.slow_cost * (1.0 - performance.counted_speed()).max(0.0),
            false => self.rules.slow_cost,
        }
    }

    /// Returns whether all other workers are evaluated before a task of the step is placed on this
    /// one. For best-effort tasks, which are many, the sample is enough.
    pub(crate) fn avoids(&self, worker: WorkerKey, step: &StepSpec) -> bool {
        !step.best_effort && self.cost(worker, step) > 0.0
    }

    pub(crate) fn verdict(&self, worker: WorkerKey) -> SpeedVerdict {
        let performance = self.workers.get(worker);
        performance.map_or(SpeedVerdict::Normal, WorkerPerformance::verdict)
    }

    pub(crate) fn counted_speed(&self, worker: WorkerKey) -> f64 {
        let performance = self.workers.get(worker);
        performance.map_or(1.0, WorkerPerformance::counted_speed)
    }

    fn clear_references(&mut self) {
        self.steps.clear();
        self.images.clear();
        self.checks.clear();
        self.tails.clear();
    }

    fn observe(&mut self, worker: WorkerKey, observation: SpeedObservation<EvidenceSource>) {
        if let Some(entry) = self.workers.entry(worker) {
            entry.or_default().observe(observation);
        }
    }

    /// Returns the run's reference, with the source and weight of a comparison with it: the median
    /// of its step, or else the typical run time of its image.
    fn reference(
        &self,
        task: TaskName,
        step_ref: StepRef,
        image: &str,
    ) -> Option<(Duration, EvidenceSource, f64)> {
        let step = self.steps.get(&step_ref);
        if let Some(median) = step.and_then(|step| step.median(&self.rules)) {
            return Some((median, EvidenceSource::Task(task), 1.0));
        }
        let typical = self.images.get(image)?.typical()?;
        Some((typical, EvidenceSource::Job(task.job), IMAGE_WEIGHT))
    }

    /// Returns what a run time says of its worker.
    fn compare(
        &self,
        run_time: Duration,
        source: EvidenceSource,
        reference: Duration,
        image: &str,
    ) -> Option<SpeedFinding> {
        match source {
            EvidenceSource::Job(_) => self.images.get(image)?.compare(run_time, &self.rules),
            _ => compare_with_step(run_time, reference, &self.rules),
        }
    }

    /// Returns what the run time of a completed run says of its worker; the times of the observation
    /// are left at 0.
    fn observe_run_time(
        &self,
        task: TaskName,
        step_ref: StepRef,
        image: &str,
        run_time: Duration,
    ) -> Option<SpeedObservation<EvidenceSource>> {
        let (reference, source, weight) = self.reference(task, step_ref, image)?;
        let finding = self.compare(run_time, source, reference, image)?;
        Some(SpeedObservation {
            // All tasks of a job may be long on every worker, but then none of them is normal.
            source: match finding {
                SpeedFinding::Normal => EvidenceSource::Task(task),
                SpeedFinding::Slow => source,
            },
            speed: reference.as_secs_f64() / run_time.as_secs_f64().max(0.001),
            finding,
            weight,
            began_at: TimePoint::default(),
            at: TimePoint::default(),
        })
    }

    fn add_run_time(&mut self, worker: WorkerKey, step_ref: StepRef, image: &str, time: Duration) {
        if let Some(step) = self.steps.get_mut(&step_ref) {
            step.add(worker, time);
        } else if let Some(mut step) = StepRunTimes::new(worker) {
            step.add(worker, time);
            self.steps.insert(step_ref, step);
        }
        if image.is_empty() {
            return;
        }
        if let Some(known) = self.images.get_mut(image) {
            known.add(time);
        } else if self.images.len() < MAX_IMAGES {
            let mut known = ImageRunTimes::default();
            known.add(time);
            self.images.insert(image.into(), known);
        }
    }
}

impl JobScheduler {
    /// Replaces the rules by which slow workers are recognized and avoided.
    pub fn set_performance_rules(&mut self, rules: PerformanceRules) {
        self.performance.rules = rules;
        if !self.performance.is_enabled() {
            self.performance.clear_references();
        }
    }

    /// Ignores reports until `until`, and runs started before it. Their times may include a stall of
    /// this process.
    pub fn ignore_performance_until(&mut self, until: TimePoint) {
        self.performance.unreliable_until = until;
    }

    /// Returns the changes of verdicts since the last call.
    pub fn take_speed_changes(&mut self) -> Vec<SpeedChange> {
        std::mem::take(&mut self.performance.changes)
    }

    /// Iterates over the workers that are not normal, each with its boot, verdict, speed, and the
    /// cause and time of the verdict.
    pub fn slow_workers(&self) -> impl Iterator<Item = SlowWorkerInfo<'_>> {
        let workers = self.performance.workers.iter();
        workers.filter_map(|(key, performance)| {
            let verdict = performance.verdict();
            let boot = &self.workers.get(key)?.view.boot;
            (verdict != SpeedVerdict::Normal).then(|| SlowWorkerInfo {
                boot,
                verdict,
                speed: performance.counted_speed(),
                cause: performance.cause(),
                slow_since: performance.slow_since(),
            })
        })
    }

    /// Returns the verdict on a worker.
    pub fn speed_verdict(&self, worker: WorkerKey) -> SpeedVerdict {
        self.performance.verdict(worker)
    }

    fn step_spec(&self, task_ref: TaskRef) -> Option<&StepSpec> {
        let job = self.jobs.get(task_ref.step.job)?;
        job.spec.steps.get(usize::from(task_ref.step.step))
    }

    /// Returns whether the worker has started so recently that its speed is still reduced.
    fn is_cold(&self, worker: WorkerKey) -> bool {
        let worker = self.workers.get(worker);
        worker.is_some_and(|worker| worker.view.cold_ms > 0)
    }

    /// Registers a start order, so that the run is checked while it has not ended.
    pub(crate) fn observe_order(
        &mut self,
        worker: WorkerKey,
        task_ref: TaskRef,
        run: u64,
        now: TimePoint,
    ) {
        if !self.performance.is_enabled() || !self.step_spec(task_ref).is_some_and(is_short) {
            return;
        }
        if let Some(performance) = self.performance.workers.get_mut(worker) {
            performance.record_short_start();
        }
        let check = Reverse((now + RECHECK_PERIOD, task_ref, run));
        self.performance.checks.push(check);
    }

    /// Evaluates the run time of a run that ends. Called while the task still has its placement.
    pub(crate) fn observe_end(
        &mut self,
        worker: WorkerKey,
        task_ref: TaskRef,
        kind: RunEndKind,
        now: TimePoint,
    ) {
        if !self.performance.is_enabled() {
            return;
        }
        let task_name = self.task_name(task_ref);
        self.performance.tails.remove(&task_name);
        let Some(step) = self.step_spec(task_ref).filter(|step| is_short(step)) else {
            return;
        };
        let image = step.image.clone();
        let is_cold = self.is_cold(worker);
        let Some(task) = self.task_mut(task_ref) else {
            return;
        };
        let Some(placement) = task.placement().copied() else {
            return;
        };
        // A resumed run does a part of the work only.
        let is_comparable = kind == RunEndKind::Done
            && !placement.adopted
            && task.checkpoint.is_empty()
            && !is_cold
            && placement.sent_at >= self.performance.unreliable_until;
        let run_time = now.since(placement.sent_at);
        let tracker = &mut self.performance;
        let observation = is_comparable
            .then(|| tracker.observe_run_time(task_name, task_ref.step, &image, run_time))
            .flatten();
        match observation {
            Some(observation) => {
                let observation = SpeedObservation {
                    began_at: placement.sent_at,
                    at: now,
                    ..observation
                };
                tracker.observe(worker, observation);
            }
            None => {
                if let Some(performance) = tracker.workers.get_mut(worker) {
                    performance.record_end_without_evidence(placement.sent_at);
                }
            }
        }
        if is_comparable {
            tracker.add_run_time(worker, task_ref.step, &image, run_time);
        }
    }

    /// Notes the tail latency that a serving task's report gives.
    pub(crate) fn observe_load(
        &mut self,
        worker: WorkerKey,
        task_ref: TaskRef,
        report: &RunReport,
        now: TimePoint,
    ) {
        if !self.performance.is_enabled() || now < self.performance.unreliable_until {
            return;
        }
        let Some(step) = self
            .step_spec(task_ref)
            .filter(|step| step.long_running && step.tail_target_ms > 0)
        else {
            return;
        };
        let ratio = f64::from(report.load_metric) / f64::from(step.tail_target_ms);
        let task = report.run_id.task;
        if report.percent < 100 || ratio <= 1.0 {
            self.performance.tails.remove(&task);
            return;
        }
        let tail = TailReport {
            worker,
            image: step.image.clone(),
            ratio,
            reported_at: now,
            is_new: true,
        };
        self.performance.tails.insert(task, tail);
    }

    /// Evaluates runs that have not ended and tail latencies, and updates the verdicts on the
    /// workers.
    pub fn review_performance(&mut self, now: TimePoint) {
        if !self.performance.is_enabled() && self.performance.slow_workers == 0 {
            return;
        }
        self.check_overdue(now);
        self.evaluate_tails(now);
        self.advance_verdicts(now);
        if now.since(self.performance.pruned_at) >= PRUNE_PERIOD {
            self.performance.pruned_at = now;
            self.prune_performance(now);
        }
    }

    fn check_overdue(&mut self, now: TimePoint) {
        while let Some(Reverse((check_at, task_ref, run))) = self.performance.checks.peek().copied()
        {
            if now < check_at {
                return;
            }
            self.performance.checks.pop();
            if let Some(next_check) = self.check_run(task_ref, run, now) {
                let check = Reverse((next_check, task_ref, run));
                self.performance.checks.push(check);
            }
        }
    }

    /// Checks whether a run is overdue; returns the time of the next check unless the run has ended
    /// or gives no evidence.
    fn check_run(&mut self, task_ref: TaskRef, run: u64, now: TimePoint) -> Option<TimePoint> {
        let placement = *self
            .placement_of(task_ref)
            .filter(|placement| placement.run == run && !placement.stop_ordered)?;
        if placement.sent_at < self.performance.unreliable_until {
            return None;
        }
        let image = self.step_spec(task_ref)?.image.clone();
        let task = self.task_name(task_ref);
        let tracker = &self.performance;
        let Some((reference, source, weight)) = tracker.reference(task, task_ref.step, &image)
        else {
            return Some(now + RECHECK_PERIOD);
        };
        let overdue_at = placement.sent_at + overdue_after(reference, &tracker.rules);
        if now < overdue_at {
            return Some(overdue_at);
        }
        // An end is reported at once. A message of the agent after the run became overdue therefore
        // shows that the run has not ended; without one, the agent or its link may be slow.
        let worker = self.workers.get(placement.worker)?;
        let is_confirmed = placement.running
            && worker.reachable
            && worker.last_contact >= overdue_at
            && !self.is_cold(placement.worker);
        let elapsed = worker.last_contact.since(placement.sent_at);
        let run_time = projected_run_time(elapsed, placement.percent);
        if is_confirmed
            && tracker.compare(run_time, source, reference, &image) == Some(SpeedFinding::Slow)
        {
            let speed = reference.as_secs_f64() / run_time.as_secs_f64().max(0.001);
            let observation = SpeedObservation {
                source,
                speed,
                finding: SpeedFinding::Slow,
                weight,
                began_at: placement.sent_at,
                at: now,
            };
            self.performance.observe(placement.worker, observation);
        }
        Some(now + RECHECK_PERIOD)
    }

    /// Evaluates new reports of tail latencies over their target. A report is evidence if no
    /// best-effort task runs on the worker, and most tasks of the image on other workers meet their
    /// target.
    fn evaluate_tails(&mut self, now: TimePoint) {
        if !self.performance.tails.values().any(|tail| tail.is_new) {
            return;
        }
        let mut placed: HashMap<Box<str>, u32> = HashMap::new();
        for worker in self.workers.values() {
            for (image, tasks) in worker.interference.serving() {
                *placed.entry(image.clone()).or_default() += tasks;
            }
        }
        let tails = std::mem::take(&mut self.performance.tails);
        let mut over: HashMap<&str, u32> = HashMap::new();
        let mut over_here: HashMap<(&str, WorkerKey), u32> = HashMap::new();
        for tail in tails.values() {
            *over.entry(&tail.image).or_default() += 1;
            *over_here.entry((&tail.image, tail.worker)).or_default() += 1;
        }
        for (task, tail) in tails.iter().filter(|(_, tail)| tail.is_new) {
            let Some(worker) = self.workers.get(tail.worker) else {
                continue;
            };
            let serving = worker.interference.serving();
            let here = serving.get(&tail.image).copied().unwrap_or(0);
            let peers = placed.get(&tail.image).copied().unwrap_or(0) - here;
            let over_elsewhere = over[&*tail.image] - over_here[&(&*tail.image, tail.worker)];
            if worker.best_effort_milli > 0
                || peers < MIN_SERVING_PEERS
                || over_elsewhere * 2 > peers
            {
                continue;
            }
            let observation = SpeedObservation {
                source: EvidenceSource::Tail(*task, tail.reported_at),
                speed: 1.0 / tail.ratio,
                finding: SpeedFinding::Slow,
                weight: TAIL_WEIGHT,
                began_at: tail.reported_at,
                at: now,
            };
            self.performance.observe(tail.worker, observation);
        }
        self.performance.tails = tails;
        for tail in self.performance.tails.values_mut() {
            tail.is_new = false;
        }
    }

    fn advance_verdicts(&mut self, now: TimePoint) {
        let looks_slow: BTreeSet<WorkerKey> = self
            .performance
            .workers
            .iter()
            .filter(|(key, performance)| self.may_count_as_slow(*key, performance, now))
            .map(|(key, _)| key)
            .collect();
        if looks_slow.is_empty() {
            return;
        }
        let allowed = self.select_slow_workers(&looks_slow, now);
        for key in looks_slow {
            let rules = self.performance.rules;
            let Some(performance) = self.performance.workers.get_mut(key) else {
                continue;
            };
            let estimate = performance.estimate(now, &rules);
            let before = performance.verdict();
            let cause = performance.advance(now, allowed.contains(&key), &rules);
            let (verdict, hold_off) = (performance.verdict(), performance.hold_off());
            match (before, verdict) {
                (SpeedVerdict::Normal, SpeedVerdict::Normal) => {}
                (SpeedVerdict::Normal, _) => self.performance.slow_workers += 1,
                (_, SpeedVerdict::Normal) => self.performance.slow_workers -= 1,
                _ => {}
            }
            let boot = self.workers.get(key).map(|worker| worker.view.boot.clone());
            if let (Some(cause), Some(boot)) = (cause, boot) {
                let change = SpeedChange {
                    boot,
                    verdict,
                    cause,
                    speed: estimate.speed,
                    confidence: estimate.confidence,
                    age: estimate.age,
                    hold_off,
                    slow_workers: self.performance.slow_workers,
                };
                self.performance.changes.push(change);
            }
        }
    }

    fn may_count_as_slow(
        &self,
        key: WorkerKey,
        performance: &WorkerPerformance<EvidenceSource>,
        now: TimePoint,
    ) -> bool {
        self.workers.contains_key(key)
            && (performance.verdict() != SpeedVerdict::Normal
                || performance
                    .estimate(now, &self.performance.rules)
                    .looks_slow)
    }

    /// Returns those of the workers that may count as slow, by the floor of each service. The floor
    /// concerns ready workers; others get no tasks in any case.
    fn select_slow_workers(
        &self,
        looks_slow: &BTreeSet<WorkerKey>,
        now: TimePoint,
    ) -> BTreeSet<WorkerKey> {
        let mut selected = BTreeSet::new();
        let mut services: BTreeMap<&str, Vec<ServiceWorker<WorkerKey>>> = BTreeMap::new();
        for (key, worker) in self.workers.iter() {
            let looks_slow = looks_slow.contains(&key);
            if !worker.is_ready() {
                selected.extend(looks_slow.then_some(key));
            } else {
                let service = services.entry(&worker.view.service).or_default();
                service.push(ServiceWorker {
                    key,
                    speed: self.speed_of(key, now),
                    looks_slow,
                });
            }
        }
        for workers in services.values() {
            selected.extend(select_slow(workers, &self.performance.rules));
        }
        selected
    }

    /// Returns the speed of a worker for the comparison within its service: by the evidence if the
    /// worker looks slow, and else by the verdict.
    fn speed_of(&self, key: WorkerKey, now: TimePoint) -> f64 {
        let Some(performance) = self.performance.workers.get(key) else {
            return 1.0;
        };
        let estimate = performance.estimate(now, &self.performance.rules);
        match estimate.looks_slow {
            true => estimate.speed,
            false => performance.counted_speed(),
        }
    }

    /// Removes what is kept of ended boots, ended steps and old moves.
    fn prune_performance(&mut self, now: TimePoint) {
        let (jobs, workers) = (&self.jobs, &self.workers);
        let tracker = &mut self.performance;
        tracker.workers.retain(|key, _| workers.contains_key(key));
        tracker.slow_workers = tracker
            .workers
            .values()
            .filter(|performance| performance.verdict() != SpeedVerdict::Normal)
            .count();
        tracker.steps.retain(|step_ref, _| {
            let job = jobs.get(step_ref.job).filter(|job| !job.is_over());
            let occurrence = job.and_then(|job| job.occurrences.get(&step_ref.occurrence));
            occurrence.is_some_and(|occurrence| {
                !occurrence.steps[usize::from(step_ref.step)]
                    .tasks
                    .is_empty()
            })
        });
        let (window, pause) = (tracker.rules.window, tracker.rules.move_pause);
        tracker
            .tails
            .retain(|_, tail| now.since(tail.reported_at) <= window);
        tracker
            .full_steps
            .retain(|_, searched_at| now.since(*searched_at) < PRUNE_PERIOD);
        let keep_moves = pause.max(crate::slow_moves::MAX_MOVE_TIME);
        tracker
            .moves
            .retain(|_, moved| now.since(moved.ordered_at) <= keep_moves);
    }
}

impl WorkerRecord {
    /// Returns whether the worker takes tasks, regardless of its capacity.
    pub(crate) fn is_ready(&self) -> bool {
        self.view.state == WorkerState::Ready && self.reachable && !self.drained
    }
}
