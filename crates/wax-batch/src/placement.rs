//! Chooses the worker on which each waiting task starts.

use crate::names::RunId;
use crate::offers::StepOffers;
use crate::rank::JobRank;
use crate::reasons::{PlacementReason, StepWait, WaitReason};
use crate::records::TaskRecord;
use crate::relaxation::PlacementRelaxation;
use crate::scheduler::{JobScheduler, StartOrder, StepRef, TaskRef, WorkerRecord};
use crate::sharing::BeginMode;
use crate::spec::StepSpec;
use crate::unreconciled::StepEligibility;
use crate::worker::{WorkerKey, WorkerState};
use std::collections::BTreeMap;
use std::time::Duration;
use wax_policy::ExpectedFinish;
use wax_types::TimePoint;

/// Number of workers of a larger pool that are evaluated for a step if enough of them can take a
/// task. Without this limit the cost of each step would be proportional to the size of the pool,
/// and a pool of twice the size, with twice the steps, would need four times the work.
const SAMPLE_SIZE: usize = 256;
/// Distance between the workers at which two consecutive steps begin their scan. A prime, so that
/// all workers take their turn.
const SCAN_STRIDE: usize = 101;
/// Number of offers that are collected per waiting task of a step, so that each task has a choice.
const OFFERS_PER_TASK: usize = 2;
/// A step that fits nowhere on a large pool is checked again after this delay for each worker of
/// the pool.
const RECHECK_DELAY_PER_WORKER: Duration = Duration::from_micros(25);

/// Minimum interval between two reports that the same step waits, whatever the reason.
const WAIT_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Outcome of the search for a worker for one task.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum WorkerChoice {
    /// The task can start on this worker.
    Worker(ChosenWorker),
    /// No worker takes the task now, for this reason.
    Wait(WaitReason),
}

/// Cheapest worker for a task, with the figures that decided the choice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ChosenWorker {
    /// Key of the worker.
    pub key: WorkerKey,
    /// See [`PlacementReason::cost`].
    pub cost: f64,
    /// See [`PlacementReason::next_cost`].
    pub next_cost: Option<f64>,
    /// See [`PlacementReason::pace`].
    pub pace: f64,
}

/// Requirements of the waiting tasks of one step.
pub(crate) struct StepRequest<'a> {
    pub(crate) step: &'a StepSpec,
    pub(crate) service: Box<str>,
    /// Which tasks of the step may start.
    eligibility: StepEligibility,
    /// Rank of the step among all waiting steps.
    rank: JobRank,
    /// Multiple of the spare processors that best-effort tasks of this rank may request in total.
    best_effort_limit: f64,
    /// Time for which the step's tasks have waited.
    waited: Duration,
    /// For a best-effort step, whether the service is lightly loaded; false for other steps and for
    /// gangs.
    lightly_loaded: bool,
    /// Whether and how the step's job begins.
    pub(crate) begin_mode: BeginMode,
    /// Position of the worker that is evaluated first.
    scan_start: usize,
    /// Number of offers after which no further workers of a large pool are evaluated.
    enough_offers: usize,
    /// Preferred rack: that of the step's data, or of its other tasks.
    rack: Option<Box<str>>,
}

impl StepRequest<'_> {
    /// Returns whether the step has no preference between workers with the same free capacity, so
    /// that a sample of the workers is enough.
    fn accepts_any_worker(&self) -> bool {
        let step = self.step;
        self.rack.is_none() && step.label.is_none() && !step.long_running && !step.gang
    }
}

/// Task with a failed run, or with runs that ended in a crash of their worker.
pub(crate) struct FailedTask<'a> {
    task_ref: TaskRef,
    record: &'a TaskRecord,
    is_suspected: bool,
    /// Whether the task may only start on VMs on which no worker has crashed under it.
    avoids_vms: bool,
}

impl FailedTask<'_> {
    /// Returns whether the task may not return to this worker yet, after a failure there.
    fn is_excluded(&self, key: WorkerKey, now: TimePoint) -> bool {
        let excluded_worker = self.record.excluded_worker;
        excluded_worker.is_some_and(|(excluded, until)| excluded == key && now < until)
    }
}

impl JobScheduler {
    /// Places the waiting tasks that can start now, the most urgent steps first.
    pub fn place(&mut self, now: TimePoint) -> Vec<StartOrder> {
        self.lift_excess_start_limits();
        let mut ranked = self.rank_ready_steps(now, |step_ref| self.is_eligible(step_ref, now));
        self.retain_startable(&mut ranked, now);
        let mut orders = Vec::new();
        for (rank, step_ref) in ranked {
            self.place_step(step_ref, rank, now, &mut orders);
        }
        orders
    }

    /// Returns the waiting steps that pass the filter, the most urgent first.
    pub(crate) fn rank_ready_steps(
        &self,
        now: TimePoint,
        filter: impl Fn(StepRef) -> bool,
    ) -> Vec<(JobRank, StepRef)> {
        let steps = self.ready_steps.iter().copied();
        let ranks = steps.filter(|step_ref| filter(*step_ref)).map(|step_ref| {
            let job = &self.jobs[step_ref.job];
            let mut rank = JobRank::new(job, step_ref.occurrence, step_ref.step, now);
            rank.unbegun = self.is_unbegun(step_ref);
            (rank, step_ref)
        });
        let mut ranked: Vec<(JobRank, StepRef)> = ranks.collect();
        ranked.sort_unstable();
        ranked
    }

    /// Returns the time until the next postponed step is due for another check, at most `limit`.
    pub fn time_to_next_check(&self, now: TimePoint, limit: Duration) -> Duration {
        let steps = self
            .ready_steps
            .iter()
            .filter_map(|step_ref| self.step_record(*step_ref));
        let checks = steps.filter_map(|step| step.next_check);
        let next = checks.filter(|time| *time > now).min();
        next.map_or(limit, |time| time.since(now).min(limit))
    }

    /// Returns a new scan position for each step, so that the first workers are not evaluated more
    /// often than others.
    fn advance_scan_start(&mut self) -> usize {
        self.scan_start = self.scan_start.wrapping_add(SCAN_STRIDE);
        self.scan_start
    }

    /// Postpones the next check of a step whose tasks fit nowhere. On a small pool the step is
    /// checked at the next change.
    fn delay_next_check(&mut self, step_ref: StepRef, now: TimePoint) {
        let workers = self.workers.len();
        if workers <= SAMPLE_SIZE {
            return;
        }
        let delay = RECHECK_DELAY_PER_WORKER.saturating_mul(workers as u32);
        self.set_next_check(step_ref, now + delay);
    }

    /// Sets the time before which the step is not checked again.
    pub(crate) fn set_next_check(&mut self, step_ref: StepRef, time: TimePoint) {
        let job = self.jobs.get_mut(step_ref.job);
        let occurrence = job.and_then(|job| job.occurrences.get_mut(&step_ref.occurrence));
        if let Some(occurrence) = occurrence {
            occurrence.steps[usize::from(step_ref.step)].next_check = Some(time);
        }
    }

    /// Returns whether the step is due for a check and has a waiting task that may start.
    fn is_eligible(&self, step_ref: StepRef, now: TimePoint) -> bool {
        let Some(step) = self.step_record(step_ref) else {
            return false;
        };
        if step.next_check.is_some_and(|time| now < time) {
            return false;
        }
        self.has_startable_task(step_ref, step)
    }

    /// Returns the requirements of a step and the indexes of its tasks that may start; `None` if
    /// none may, or not all members of a gang.
    pub(crate) fn step_request<'a>(
        &self,
        step_ref: StepRef,
        step: &'a StepSpec,
        rank: JobRank,
        now: TimePoint,
    ) -> Option<(StepRequest<'a>, Vec<u32>)> {
        let job = &self.jobs[step_ref.job];
        let record = self.step_record(step_ref)?;
        let rule = self.start_rule(step_ref, record);
        let tasks = (0..).zip(&record.tasks);
        let waiting = tasks.filter(|(_, task)| rule.allows(task));
        let waiting: Vec<u32> = waiting.map(|(index, _)| index).collect();
        let is_gang_incomplete = step.gang && waiting.len() < step.count as usize;
        if waiting.is_empty() || is_gang_incomplete {
            return None;
        }
        let service: Box<str> = job.rules.service().into();
        let lightly_loaded = step.best_effort && !step.gang && self.is_lightly_loaded(&service);
        let request = StepRequest {
            step,
            eligibility: rule.eligibility,
            rank,
            best_effort_limit: self.rules.best_effort_limit(if step.gang {
                ExpectedFinish::InTime
            } else {
                rank.finish
            }),
            waited: now.since(record.waiting_since),
            lightly_loaded,
            begin_mode: self.begin_mode(step_ref, lightly_loaded, now),
            rack: self.preferred_rack(step_ref, step, &service, now),
            service,
            scan_start: self.scan_start,
            enough_offers: waiting.len().saturating_mul(OFFERS_PER_TASK),
        };
        Some((request, waiting))
    }

    fn place_step(
        &mut self,
        step_ref: StepRef,
        rank: JobRank,
        now: TimePoint,
        orders: &mut Vec<StartOrder>,
    ) {
        let spec = self.jobs[step_ref.job].spec.clone();
        let step = &spec.steps[usize::from(step_ref.step)];
        let Some((mut request, waiting)) = self.step_request(step_ref, step, rank, now) else {
            return;
        };
        request.scan_start = self.advance_scan_start();
        // Tasks with crashes come last: they may have to wait for an isolated worker, which must
        // not hold up the others.
        let (others, with_crashes): (Vec<u32>, Vec<u32>) = waiting.into_iter().partition(|index| {
            let task = self.task(TaskRef {
                step: step_ref,
                index: *index,
            });
            task.is_some_and(|task| task.crash_history.is_empty())
        });
        let without_crashes = others.len();
        let waiting: Vec<u32> = others.into_iter().chain(with_crashes).collect();
        if step.gang {
            self.place_gang(step_ref, &request, now, orders);
            return;
        }
        let waiting_count = waiting.len();
        let mut step_orders = Vec::new();
        let mut states_before = Vec::new();
        let mut cached = None;
        for (nth, index) in waiting.into_iter().enumerate() {
            let task = TaskRef {
                step: step_ref,
                index,
            };
            match self.choose_worker(task, &request, &mut cached, now) {
                WorkerChoice::Worker(chosen) => {
                    if request.begin_mode == BeginMode::Whole {
                        states_before.push(self.start_state(chosen.key));
                    }
                    step_orders.push(self.create_order(task, chosen, &request, None, now));
                    self.refresh_offer(step_ref, &request, &mut cached, chosen.key, now);
                    if request.begin_mode == BeginMode::SingleTask {
                        self.note_starved_start(&request.service, now);
                        break;
                    }
                }
                WorkerChoice::Wait(reason) => {
                    self.report_wait(task, request.waited, reason, now);
                    if nth < without_crashes {
                        self.delay_next_check(step_ref, now);
                        break;
                    }
                }
            }
        }
        match request.begin_mode {
            BeginMode::Whole => {
                step_orders = self.begin_or_postpone(
                    step_ref,
                    step_orders,
                    states_before,
                    waiting_count,
                    now,
                );
            }
            BeginMode::Partial if !step_orders.is_empty() => self.mark_begun(step_ref),
            BeginMode::Begun | BeginMode::Partial | BeginMode::SingleTask => {}
        }
        orders.append(&mut step_orders);
    }

    /// Places all members of a gang or none.
    fn place_gang(
        &mut self,
        step_ref: StepRef,
        request: &StepRequest<'_>,
        now: TimePoint,
        orders: &mut Vec<StartOrder>,
    ) {
        let count = request.step.count;
        let last_run = self.last_run(step_ref);
        let run = self.next_run(&self.jobs[step_ref.job], last_run);
        let mut members = Vec::with_capacity(count as usize);
        let mut cached = None;
        for index in 0..count {
            let task = TaskRef {
                step: step_ref,
                index,
            };
            match self.choose_worker(task, request, &mut cached, now) {
                WorkerChoice::Worker(chosen) => {
                    members.push(self.create_order(task, chosen, request, Some(run), now));
                    self.refresh_offer(step_ref, request, &mut cached, chosen.key, now);
                }
                WorkerChoice::Wait(reason) => {
                    let reason = match members.is_empty() {
                        true => reason,
                        false => WaitReason::Gang,
                    };
                    for member in members {
                        self.revoke_order(step_ref, &member, now);
                    }
                    self.report_wait(task, request.waited, reason, now);
                    self.delay_next_check(step_ref, now);
                    return;
                }
            }
        }
        orders.extend(members);
    }

    /// Records why a step's tasks wait, unless the reason is unchanged or a report was made a
    /// moment ago.
    pub(crate) fn report_wait(
        &mut self,
        task_ref: TaskRef,
        waited: Duration,
        reason: WaitReason,
        now: TimePoint,
    ) {
        let task = self.task_name(task_ref);
        let Some(occurrence) = self.jobs[task_ref.step.job]
            .occurrences
            .get_mut(&task_ref.step.occurrence)
        else {
            return;
        };
        let record = &mut occurrence.steps[usize::from(task_ref.step.step)];
        let last_report = record.reported_wait;
        if last_report.is_some_and(|(last_reason, reported_at)| {
            last_reason == reason || now.since(reported_at) < WAIT_REPORT_INTERVAL
        }) {
            return;
        }
        record.reported_wait = Some((reason, now));
        self.waits.push(StepWait {
            task,
            waiting: record.waiting,
            waited,
            reason,
        });
    }

    fn last_run(&self, step_ref: StepRef) -> u64 {
        let tasks = self.jobs[step_ref.job]
            .occurrences
            .get(&step_ref.occurrence)
            .map(|occurrence| &occurrence.steps[usize::from(step_ref.step)].tasks);
        tasks
            .into_iter()
            .flatten()
            .map(|task| task.last_run)
            .max()
            .unwrap_or(0)
    }

    /// Undoes the placement of a task whose start order was not returned to the caller.
    pub(crate) fn revoke_order(&mut self, step_ref: StepRef, order: &StartOrder, now: TimePoint) {
        let task = TaskRef {
            step: step_ref,
            index: order.run_id.task.index,
        };
        self.release_run(order.worker, order.run_id);
        self.reset_to_waiting(task, order.worker, now);
        // No run has this number, so the next order may have it.
        if let Some(task) = self.task_mut(task) {
            task.last_run = order.run_id.run - 1;
        }
    }

    /// Returns whether less than the share `low_use` of a service's processors is reserved. Counts
    /// ready workers in failure domains that are not drained.
    pub(crate) fn is_lightly_loaded(&self, service: &str) -> bool {
        let workers = self.workers.values();
        let ready = workers.filter(|worker| {
            *worker.view.service == *service
                && worker.view.state == WorkerState::Ready
                && !worker.drained
        });
        let (reserved, all) = ready.fold((0.0, 0.0), |(reserved, all), worker| {
            let capacity = f64::from(worker.view.capacity.cpu_milli);
            (
                reserved + f64::from(worker.reserved.cpu_milli),
                all + capacity,
            )
        });
        reserved < all * self.rules.low_use
    }

    /// Returns the rack that is preferred for a step's tasks.
    fn preferred_rack(
        &self,
        step_ref: StepRef,
        step: &StepSpec,
        service: &str,
        now: TimePoint,
    ) -> Option<Box<str>> {
        if step.data_rack.is_some() || !step.one_rack {
            return step.data_rack.clone();
        }
        let placed = self.rack_with_most_tasks(step_ref);
        placed.or_else(|| self.rack_with_most_capacity(step, service, now))
    }

    /// Returns the rack that runs the most tasks of a step.
    fn rack_with_most_tasks(&self, step_ref: StepRef) -> Option<Box<str>> {
        let occurrence = self
            .jobs
            .get(step_ref.job)?
            .occurrences
            .get(&step_ref.occurrence)?;
        let mut racks: BTreeMap<&str, u32> = BTreeMap::new();
        for (worker, tasks) in &occurrence.steps[usize::from(step_ref.step)].spread {
            let worker = self.workers.get(*worker).filter(|_| *tasks > 0);
            if let Some(rack) = worker.and_then(|worker| worker.view.rack.as_deref()) {
                *racks.entry(rack).or_default() += tasks;
            }
        }
        let best = racks.into_iter().max_by_key(|(_, tasks)| *tasks);
        best.map(|(rack, _)| rack.into())
    }

    /// Returns the rack with capacity for the most tasks of a step.
    fn rack_with_most_capacity(
        &self,
        step: &StepSpec,
        service: &str,
        now: TimePoint,
    ) -> Option<Box<str>> {
        let max_tasks = match step.max_per_worker {
            0 => u32::MAX,
            max_tasks => max_tasks,
        };
        let mut racks: BTreeMap<&str, u32> = BTreeMap::new();
        for worker in self.workers.values() {
            let Some(rack) = worker.view.rack.as_deref() else {
                continue;
            };
            if worker.accepts(service, step, now) {
                let count = step
                    .reserved()
                    .count_that_fit(worker.free_capacity())
                    .min(max_tasks);
                let total = racks.entry(rack).or_default();
                *total = total.saturating_add(count);
            }
        }
        let best = racks.into_iter().max_by_key(|(_, total)| *total);
        best.map(|(rack, _)| rack.into())
    }

    fn choose_worker(
        &mut self,
        task_ref: TaskRef,
        request: &StepRequest<'_>,
        cached: &mut Option<(PlacementRelaxation, StepOffers)>,
        now: TimePoint,
    ) -> WorkerChoice {
        let Some(relaxation) = self.relaxation(task_ref.step, request, now) else {
            return WorkerChoice::Wait(WaitReason::NoWorker);
        };
        let Some(task) = self.task(task_ref) else {
            return WorkerChoice::Wait(WaitReason::NoWorker);
        };
        if task.has_failures() {
            return self.choose_after_failures(task_ref, request, relaxation, now);
        }
        let mut offers = match cached
            .take()
            .filter(|(cached_for, _)| *cached_for == relaxation)
        {
            Some((_, offers)) => offers,
            None => self.collect_offers(None, task_ref.step, request, relaxation, now),
        };
        let mut best = offers.best();
        if best.is_err() && !offers.covers_all_workers() {
            offers = self.collect_offers(None, task_ref.step, request, relaxation, now);
            best = offers.best();
        }
        let is_slow = best.is_ok_and(|best| self.performance.avoids(best.worker, request.step));
        if is_slow && !offers.covers_all_workers() {
            offers = self.collect_all_offers(None, task_ref.step, request, relaxation, now);
            best = offers.best();
        }
        debug_assert!(
            self.workers.len() > SAMPLE_SIZE
                || best
                    == self
                        .collect_offers(None, task_ref.step, request, relaxation, now)
                        .best(),
            "a worker changed without a new offer"
        );
        *cached = Some((relaxation, offers));
        match best {
            Ok(best) => {
                let worker = &self.workers[best.worker];
                WorkerChoice::Worker(ChosenWorker {
                    key: best.worker,
                    cost: best.cost,
                    next_cost: best.next_cost,
                    pace: worker.pace_for(request.step, &self.pairs, &self.rules),
                })
            }
            Err(reason) => WorkerChoice::Wait(reason),
        }
    }

    /// Re-evaluates a worker on which a task of the step was just placed.
    fn refresh_offer(
        &self,
        step_ref: StepRef,
        request: &StepRequest<'_>,
        cached: &mut Option<(PlacementRelaxation, StepOffers)>,
        placed: WorkerKey,
        now: TimePoint,
    ) {
        let Some((relaxation, offers)) = cached else {
            return;
        };
        let position = self.workers.keys().position(|key| key == placed);
        if let (Some(position), Some(worker)) = (position, self.workers.get(placed)) {
            let offer =
                self.offer_cost(None, step_ref, (placed, worker), request, *relaxation, now);
            offers.update(placed, position, offer);
        }
    }

    pub(crate) fn relaxation(
        &self,
        step_ref: StepRef,
        request: &StepRequest<'_>,
        now: TimePoint,
    ) -> Option<PlacementRelaxation> {
        let job = self.jobs.get(step_ref.job)?;
        let record = self.step_record(step_ref)?;
        if let Some(relaxation) = request.begin_mode.relaxation() {
            return Some(relaxation);
        }
        Some(PlacementRelaxation::of(
            &self.rules,
            job,
            record,
            request.lightly_loaded,
            now,
        ))
    }

    pub(crate) fn task(&self, task_ref: TaskRef) -> Option<&TaskRecord> {
        self.step_record(task_ref.step)?
            .tasks
            .get(task_ref.index as usize)
    }

    fn collect_offers(
        &self,
        failed: Option<&FailedTask<'_>>,
        step_ref: StepRef,
        request: &StepRequest<'_>,
        relaxation: PlacementRelaxation,
        now: TimePoint,
    ) -> StepOffers {
        if failed.is_some() || !request.accepts_any_worker() {
            return self.collect_all_offers(failed, step_ref, request, relaxation, now);
        }
        let offer = |(position, (key, worker)): (usize, (WorkerKey, &WorkerRecord))| {
            self.workers_evaluated.update(|count| count + 1);
            let offer = self.offer_cost(None, step_ref, (key, worker), request, relaxation, now);
            (position, key, offer)
        };
        let workers = self.workers.iter().enumerate();
        let scan_start = request.scan_start % self.workers.len().max(1);
        let from_scan_start = workers
            .clone()
            .skip(scan_start)
            .chain(workers.take(scan_start));
        StepOffers::collect(
            from_scan_start.map(offer),
            SAMPLE_SIZE,
            request.enough_offers,
        )
    }

    /// Evaluates all workers, however large the pool is.
    fn collect_all_offers(
        &self,
        failed: Option<&FailedTask<'_>>,
        step_ref: StepRef,
        request: &StepRequest<'_>,
        relaxation: PlacementRelaxation,
        now: TimePoint,
    ) -> StepOffers {
        let workers = self.workers.iter().enumerate();
        let offers = workers.map(|(position, (key, worker))| {
            self.workers_evaluated.update(|count| count + 1);
            let offer = self.offer_cost(failed, step_ref, (key, worker), request, relaxation, now);
            (position, key, offer)
        });
        StepOffers::collect(offers, usize::MAX, usize::MAX)
    }

    /// Returns the cost of placing a task of the step on a worker, or why the worker takes none.
    /// `failed` is set for a task with failed runs or crashes.
    fn offer_cost(
        &self,
        failed: Option<&FailedTask<'_>>,
        step_ref: StepRef,
        (key, worker): (WorkerKey, &WorkerRecord),
        request: &StepRequest<'_>,
        relaxation: PlacementRelaxation,
        now: TimePoint,
    ) -> Result<f64, WaitReason> {
        let cost =
            self.approvable_cost(failed, step_ref, (key, worker), request, relaxation, now)?;
        match self.ticket(step_ref, key, now) {
            Some(_) => Ok(cost),
            None => Err(WaitReason::Advice),
        }
    }

    /// Returns the cost of placing a task of the step on a worker if the worker is approved, or why
    /// the worker takes none even then; see [`JobScheduler::offer_cost`].
    pub(crate) fn approvable_cost(
        &self,
        failed: Option<&FailedTask<'_>>,
        step_ref: StepRef,
        (key, worker): (WorkerKey, &WorkerRecord),
        request: &StepRequest<'_>,
        relaxation: PlacementRelaxation,
        now: TimePoint,
    ) -> Result<f64, WaitReason> {
        let step = request.step;
        let best_effort_limit = match relaxation {
            PlacementRelaxation::PreferredPace
            | PlacementRelaxation::RelaxedPace
            | PlacementRelaxation::AnyPace => request.best_effort_limit,
            PlacementRelaxation::Starved => f64::INFINITY,
        };
        if let Some(obstacle) = worker.placement_obstacle(
            &request.service,
            step,
            (best_effort_limit, &self.rules),
            now,
        ) {
            return Err(obstacle);
        }
        let record = self.step_record(step_ref).ok_or(WaitReason::NoWorker)?;
        if !record.allows_task_on(step, key) {
            return Err(WaitReason::Spread);
        }
        if failed.is_some_and(|task| {
            task.avoids_vms && task.record.crash_history.includes_vm(&worker.vm)
        }) {
            return Err(WaitReason::FailedThere);
        }
        if worker.is_isolated_from(failed.map(|task| task.task_ref), now) {
            return Err(WaitReason::Trial);
        }
        if !worker.can_keep_pace(
            step,
            relaxation.min_pace(&self.rules),
            &self.pairs,
            &self.rules,
        ) {
            return Err(WaitReason::Interference);
        }
        let mut cost = worker.cost(step, request.rack.as_deref(), &self.pairs, &self.rules)
            + self.performance.cost(key, step);
        if worker.start_limit.is_active() {
            cost += self.rules.failed_worker_cost;
        }
        match failed {
            None => Ok(cost),
            Some(task) if task.is_excluded(key, now) => Err(WaitReason::FailedThere),
            Some(task) => Ok(cost + self.failure_cost(task, key, worker, now)),
        }
    }

    /// Returns the cost that failed runs and crashes of a task add to [`WorkerRecord::cost`].
    fn failure_cost(
        &self,
        task: &FailedTask<'_>,
        key: WorkerKey,
        worker: &WorkerRecord,
        now: TimePoint,
    ) -> f64 {
        let mut cost = 0.0;
        if task
            .record
            .excluded_worker
            .is_some_and(|(excluded, _)| excluded == key)
        {
            cost += self.rules.failed_worker_cost;
        }
        if !task.record.crash_history.is_empty() {
            let last_crash = self.last_vm_crash.get(&worker.vm).copied();
            cost += worker.crash_cost(task.task_ref, task.is_suspected, last_crash, now);
        }
        cost
    }

    /// Returns a task with failed runs or crashes, or why it may start on no worker now.
    pub(crate) fn failed_task(
        &self,
        task_ref: TaskRef,
        request: &StepRequest<'_>,
        now: TimePoint,
    ) -> Result<FailedTask<'_>, WaitReason> {
        let is_suspected = self.isolation_of(task_ref).is_some();
        if is_suspected && self.is_isolation_limit_reached(task_ref, &request.service, now) {
            return Err(WaitReason::Trial);
        }
        let record = self.task(task_ref).ok_or(WaitReason::NoWorker)?;
        Ok(FailedTask {
            task_ref,
            record,
            is_suspected,
            avoids_vms: self.avoids_vms(&record.crash_history, &request.service, now),
        })
    }

    /// Chooses a worker for a task with failed runs or crashes. Such a task differs from the others
    /// of its step, so all workers are evaluated for it separately.
    fn choose_after_failures(
        &mut self,
        task_ref: TaskRef,
        request: &StepRequest<'_>,
        relaxation: PlacementRelaxation,
        now: TimePoint,
    ) -> WorkerChoice {
        let task = match self.failed_task(task_ref, request, now) {
            Ok(task) => task,
            Err(reason) => return WorkerChoice::Wait(reason),
        };
        let is_suspected = task.is_suspected;
        let mut offers = self.collect_offers(Some(&task), task_ref.step, request, relaxation, now);
        let best = match offers.best() {
            Ok(best) => best,
            Err(reason) => return WorkerChoice::Wait(reason),
        };
        if is_suspected && !self.prepare_isolated_start(task_ref, best.worker, now) {
            return WorkerChoice::Wait(WaitReason::Trial);
        }
        WorkerChoice::Worker(ChosenWorker {
            key: best.worker,
            cost: best.cost,
            next_cost: best.next_cost,
            pace: self.workers[best.worker].pace_for(request.step, &self.pairs, &self.rules),
        })
    }

    fn create_order(
        &mut self,
        task_ref: TaskRef,
        chosen: ChosenWorker,
        request: &StepRequest<'_>,
        run: Option<u64>,
        now: TimePoint,
    ) -> StartOrder {
        let worker = chosen.key;
        let last_contact = self.workers.get(worker).map(|worker| worker.last_contact);
        let reason = PlacementReason {
            eligibility: request.eligibility,
            waited: request.waited,
            rank: request.rank,
            cost: chosen.cost,
            next_cost: chosen.next_cost,
            pace: chosen.pace,
            view_age: now.since(last_contact.unwrap_or_default()),
        };
        let job = &self.jobs[task_ref.step.job];
        let spec = job.spec.clone();
        let occurrence = &job.occurrences[&task_ref.step.occurrence];
        let task =
            &occurrence.steps[usize::from(task_ref.step.step)].tasks[task_ref.index as usize];
        let checkpoint = task.checkpoint.clone();
        let ticket = self.ticket(task_ref.step, worker, now).unwrap_or_default();
        let run = run.unwrap_or_else(|| self.next_run(job, task.last_run));
        self.reserve_task(task_ref, worker, run, false, now);
        self.observe_order(worker, task_ref, run, now);
        let task = self.task_name(task_ref);
        let run_id = RunId { task, run };
        self.note_start_ordered(worker, run_id);
        StartOrder {
            worker,
            run_id,
            spec,
            checkpoint,
            ticket,
            reason,
        }
    }
}
