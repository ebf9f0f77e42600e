//! Completes whole best-effort jobs instead of parts of many while capacity is short.
//!
//! A job has begun once a step of it was started with most of its tasks at once, or a run of it was
//! adopted; each occurrence of a repeated job begins by itself. Begun jobs are placed before others. The state is rebuilt by a new owner from adopted
//! runs and stored progress.

use crate::crashes::WorkerIsolation;
use crate::order_backoff::StartLimit;
use crate::rank::JobRank;
use crate::reasons::WaitReason;
use crate::records::OccurrenceRecord;
use crate::relaxation::{PlacementRelaxation, is_starved};
use crate::scheduler::{JobScheduler, StartOrder, StepRef, TaskRef};
use crate::worker::WorkerKey;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wax_policy::{BeginChoice, BegunLoad, ExpectedFinish, SharingRules};
use wax_types::TimePoint;

/// Delay before the next search for workers for a job that could not begin. Each search evaluates
/// every worker for up to all tasks of a step, only to undo the placements.
const BEGIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Whether and how a step's job begins in a placement round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BeginMode {
    /// The job has begun, or the rules of sharing do not apply to the step.
    Begun,
    /// The job begins if enough tasks of the step find a worker.
    Whole,
    /// The job begins with the tasks that find a worker: it is starved although the service has
    /// capacity to spare, so that no other work explains why it waits.
    Partial,
    /// The step may start a single task, because it is starved; see [`is_starved`].
    SingleTask,
}

/// What a start order changes of its worker besides the reservations.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StartState {
    last_start: TimePoint,
    isolation: Option<WorkerIsolation>,
    start_limit: StartLimit,
}

impl BeginMode {
    /// Returns the demands of the step's waiting tasks; `None` if they depend on the waiting time.
    /// A job that has not begun does not lower its demands, because a job that begins at a low pace
    /// cannot end in time.
    pub(crate) fn relaxation(self) -> Option<PlacementRelaxation> {
        match self {
            Self::Begun | Self::Partial => None,
            Self::Whole => Some(PlacementRelaxation::PreferredPace),
            Self::SingleTask => Some(PlacementRelaxation::Starved),
        }
    }
}

impl OccurrenceRecord {
    /// Returns whether any task has run, by the stored progress.
    pub(crate) fn has_progress(&self) -> bool {
        self.steps
            .iter()
            .any(|step| step.done > 0 || step.tasks.iter().any(|task| task.last_run > 0))
    }
}

impl JobScheduler {
    /// Replaces the rules that decide which best-effort jobs begin.
    pub fn set_sharing_rules(&mut self, rules: SharingRules) {
        self.sharing_rules = rules;
    }

    /// Returns whether the step is a best-effort one of an occurrence that has not begun. Gangs start
    /// as a whole in any case.
    pub(crate) fn is_unbegun(&self, step_ref: StepRef) -> bool {
        if !self.sharing_rules.is_enabled() {
            return false;
        }
        let job = &self.jobs[step_ref.job];
        let step = &job.spec.steps[usize::from(step_ref.step)];
        let occurrence = job.occurrences.get(&step_ref.occurrence);
        step.best_effort && !step.gang && occurrence.is_some_and(|occurrence| !occurrence.begun)
    }

    /// Removes the steps of jobs that may not begin now from the ranked steps.
    pub(crate) fn retain_startable(
        &mut self,
        ranked: &mut Vec<(JobRank, StepRef)>,
        now: TimePoint,
    ) {
        if !ranked.iter().any(|(rank, _)| rank.unbegun) {
            return;
        }
        let loads = self.begun_loads(now);
        let lightly_loaded: BTreeMap<&str, bool> = loads
            .keys()
            .map(|service| (*service, self.is_lightly_loaded(service)))
            .collect();
        let mut held_back = Vec::new();
        let mut with_starved_start: BTreeSet<&str> = BTreeSet::new();
        ranked.retain(|(rank, step_ref)| {
            let service = self.jobs[step_ref.job].rules.service();
            let load = loads.get(service);
            let lightly_loaded = lightly_loaded.get(service).copied().unwrap_or(false);
            let may_start = !rank.unbegun
                || self
                    .sharing_rules
                    .may_begin(load.copied().unwrap_or_default())
                || match self.begin_mode(*step_ref, lightly_loaded, now) {
                    BeginMode::Begun | BeginMode::Partial => true,
                    BeginMode::SingleTask => with_starved_start.insert(service),
                    BeginMode::Whole => false,
                };
            if !may_start {
                held_back.push(*step_ref);
            }
            may_start
        });
        for step_ref in held_back {
            self.report_turn(step_ref, now);
        }
    }

    fn report_turn(&mut self, step_ref: StepRef, now: TimePoint) {
        let Some(record) = self.step_record(step_ref) else {
            return;
        };
        let waited = now.since(record.waiting_since);
        let first = record.tasks.iter().position(|task| task.is_waiting());
        let task_ref = TaskRef {
            step: step_ref,
            index: first.unwrap_or(0) as u32,
        };
        self.report_wait(task_ref, waited, WaitReason::Turn, now);
    }

    /// Returns the load of each service. Steps that are not due for a check count as well: they wait
    /// all the same. Steps that need a label do not: what others leave free may not help them.
    fn begun_loads(&self, now: TimePoint) -> BTreeMap<&str, BegunLoad> {
        let mut loads: BTreeMap<&str, BegunLoad> = BTreeMap::new();
        for worker in self.workers.values() {
            let load = loads.entry(&worker.view.service).or_default();
            load.running_milli += u64::from(worker.best_effort_milli);
        }
        for step_ref in &self.ready_steps {
            let job = &self.jobs[step_ref.job];
            let step = &job.spec.steps[usize::from(step_ref.step)];
            let competes = step.best_effort && step.label.is_none();
            let Some(record) = self.step_record(*step_ref).filter(|_| competes) else {
                continue;
            };
            let is_begun =
                !self.is_unbegun(*step_ref) && self.has_startable_task(*step_ref, record);
            let rank = JobRank::new(job, step_ref.occurrence, step_ref.step, now);
            if is_begun && rank.finish == ExpectedFinish::InTime {
                let load = loads.entry(job.rules.service()).or_default();
                load.waiting_milli += u64::from(record.waiting) * u64::from(step.size.cpu_milli);
            }
        }
        loads
    }

    /// Returns how the step's job begins, if it may begin. Where capacity is short, a service starts
    /// one task of starved jobs in each `starvation_wait`: with a task of every old job, too little
    /// capacity would remain to complete the begun ones.
    pub(crate) fn begin_mode(
        &self,
        step_ref: StepRef,
        lightly_loaded: bool,
        now: TimePoint,
    ) -> BeginMode {
        let job = &self.jobs[step_ref.job];
        if !self.is_unbegun(step_ref) {
            return BeginMode::Begun;
        }
        let is_starved = self
            .step_record(step_ref)
            .is_some_and(|record| is_starved(&self.rules, job, record, lightly_loaded, now));
        let starved_start = self.starved_starts.get(job.rules.service());
        let is_single_due =
            starved_start.is_none_or(|at| now.since(*at) >= self.rules.starvation_wait);
        match (is_starved, lightly_loaded) {
            (true, true) => BeginMode::Partial,
            (true, false) if is_single_due => BeginMode::SingleTask,
            _ => BeginMode::Whole,
        }
    }

    pub(crate) fn mark_begun(&mut self, step_ref: StepRef) {
        let occurrences = &mut self.jobs[step_ref.job].occurrences;
        if let Some(occurrence) = occurrences.get_mut(&step_ref.occurrence) {
            occurrence.begun = true;
        }
    }

    /// Records that a starved job has started a single task, so that the next one waits.
    pub(crate) fn note_starved_start(&mut self, service: &str, now: TimePoint) {
        self.starved_starts.insert(service.into(), now);
    }

    /// Decides whether the step's job begins with the orders that were created for the step, and
    /// undoes their placements if it does not.
    pub(crate) fn begin_or_postpone(
        &mut self,
        step_ref: StepRef,
        step_orders: Vec<StartOrder>,
        states_before: Vec<StartState>,
        waiting: usize,
        now: TimePoint,
    ) -> Vec<StartOrder> {
        let placeable = step_orders.len();
        let waiting = match self.sharing_rules.begin_choice(placeable, waiting) {
            BeginChoice::Begin => waiting,
            BeginChoice::Postpone => {
                waiting.min(placeable + self.tasks_in_used_capacity(step_ref, &step_orders))
            }
        };
        match self.sharing_rules.begin_choice(placeable, waiting) {
            BeginChoice::Begin => {
                self.mark_begun(step_ref);
                step_orders
            }
            BeginChoice::Postpone => {
                for (order, before) in step_orders.iter().zip(states_before).rev() {
                    self.withdraw_order(step_ref, order, before, now);
                }
                self.set_next_check(step_ref, now + BEGIN_RETRY_DELAY);
                Vec::new()
            }
        }
    }

    /// Returns how many tasks of the step request as many processors as the runs that will end by
    /// themselves, without those of `step_orders`. A job that is wider than the service gets no more
    /// than these when it waits longer.
    fn tasks_in_used_capacity(&self, step_ref: StepRef, step_orders: &[StartOrder]) -> usize {
        let job = &self.jobs[step_ref.job];
        let step = &job.spec.steps[usize::from(step_ref.step)];
        let workers = self.workers.values();
        let of_service = workers.filter(|worker| *worker.view.service == *job.rules.service());
        let used_milli: u64 = of_service
            .map(|worker| {
                let short = worker
                    .reserved
                    .cpu_milli
                    .saturating_sub(worker.long_running_milli);
                u64::from(short) + u64::from(worker.best_effort_milli)
            })
            .sum();
        let task_milli = u64::from(step.size.cpu_milli.max(1));
        let of_orders = step_orders.len() as u64 * u64::from(step.size.cpu_milli);
        (used_milli.saturating_sub(of_orders) / task_milli) as usize
    }

    /// Returns what a start order changes of a worker besides its reservations.
    pub(crate) fn start_state(&self, worker: WorkerKey) -> StartState {
        let record = &self.workers[worker];
        StartState {
            last_start: record.last_start,
            isolation: record.isolation,
            start_limit: record.start_limit,
        }
    }

    /// Undoes a placement whose order was never sent, so that the worker does not count as one with a
    /// recent start.
    fn withdraw_order(
        &mut self,
        step_ref: StepRef,
        order: &StartOrder,
        before: StartState,
        now: TimePoint,
    ) {
        self.revoke_order(step_ref, order, now);
        if let Some(record) = self.workers.get_mut(order.worker) {
            record.last_start = before.last_start;
            record.isolation = before.isolation;
            record.start_limit = before.start_limit;
        }
    }
}
