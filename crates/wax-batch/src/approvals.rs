//! Approvals of the platform's placement advisor: which workers may run the steps of a queue that
//! requires advice.

use crate::placement::StepRequest;
use crate::queue::AdviceRules;
use crate::rank::JobRank;
use crate::records::TaskRecord;
use crate::scheduler::{JobScheduler, StepRef, TaskRef};
use crate::sharing::BeginMode;
use crate::spec::StepSpec;
use crate::worker::WorkerKey;
use std::collections::{HashMap, HashSet};
use std::time::Duration;
use wax_types::TimePoint;

/// Number of workers per waiting task in a request to the advisor.
const WORKERS_PER_WAITING_TASK: usize = 2;
/// Bounds on the number of workers in one request. Each worker adds to the advisor's decision time.
const MIN_WORKERS_PER_REQUEST: usize = 4;
const MAX_WORKERS_PER_REQUEST: usize = 30;
/// Maximum number of workers in one request for tasks that start together. The advisor accepts no
/// more.
const MAX_WORKERS_PER_COMMON_START: usize = 100;
/// Maximum time that the advisor takes for a request with more than [`MAX_WORKERS_PER_REQUEST`]
/// workers. It answers one request at a time, and each has a timeout.
const MAX_DECISION_MS: f64 = 1_000.0;
/// Minimum interval between two requests for the same step.
const REQUEST_INTERVAL: Duration = Duration::from_millis(300);
/// A ticket that expires sooner than this is not used, because the start of the task takes time.
const TICKET_MARGIN: Duration = Duration::from_millis(400);

/// Answers of the advisor for one step, and the time of the last request.
#[derive(Debug, Clone, Default)]
pub(crate) struct StepApproval {
    tickets: HashMap<WorkerKey, (Box<str>, TimePoint)>,
    /// Workers that may not run the step. A denial is final.
    denied: HashSet<WorkerKey>,
    requested_at: TimePoint,
}

/// Workers on which a task would start if they were approved, with the cost of each.
#[derive(Debug, Default)]
struct ApprovableWorkers {
    /// Workers with a valid ticket.
    approved: Vec<(f64, WorkerKey)>,
    /// Number of tasks of the step that can at least start on the approved workers.
    room: usize,
    /// Workers without a valid ticket that the advisor has not denied.
    unapproved: Vec<(f64, WorkerKey)>,
}

impl ApprovableWorkers {
    /// Returns the workers to approve, the best ones first, so that `wanted` tasks can start; `None`
    /// if they can start already, or if no further worker may be approved. Tasks that start together
    /// need all tickets at the same time, so that earlier ones are renewed.
    fn workers_to_approve(
        mut self,
        wanted: usize,
        starts_together: bool,
    ) -> Option<Vec<WorkerKey>> {
        if self.room >= wanted || self.unapproved.is_empty() {
            return None;
        }
        let by_cost = |first: &(f64, WorkerKey), second: &(f64, WorkerKey)| {
            first.0.total_cmp(&second.0).then(first.1.cmp(&second.1))
        };
        self.unapproved.sort_unstable_by(by_cost);
        self.approved.sort_unstable_by(by_cost);
        let renewed = match starts_together {
            true => self.approved,
            false => Vec::new(),
        };
        let workers = self.unapproved.into_iter().chain(renewed);
        Some(workers.map(|(_, key)| key).collect())
    }
}

/// Request to the advisor for one step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdviceRequest {
    /// Step to be approved.
    pub step: StepRef,
    /// Name of the step in the advisor's terms: job, occurrence and step, separated by dots.
    pub name: Box<str>,
    /// Workers to be approved, each with its id.
    pub workers: Vec<(WorkerKey, Box<str>)>,
}

fn max_workers_per_common_start(rules: &AdviceRules) -> usize {
    let within_time = (MAX_DECISION_MS - rules.decision_ms) / rules.per_worker_ms;
    // The conversion saturates, also if the advisor needs no time for a worker.
    (within_time as usize).clamp(MAX_WORKERS_PER_REQUEST, MAX_WORKERS_PER_COMMON_START)
}

impl JobScheduler {
    /// Returns the ticket with which a step's tasks may start on a worker; `None` if they may not.
    ///
    /// The ticket is empty for queues that need no advice.
    pub(crate) fn ticket(
        &self,
        step_ref: StepRef,
        worker: WorkerKey,
        now: TimePoint,
    ) -> Option<Box<str>> {
        if self.jobs.get(step_ref.job)?.rules.advice().is_none() {
            return Some("".into());
        }
        let (ticket, until) = self.approvals.get(&step_ref)?.tickets.get(&worker)?;
        (now + TICKET_MARGIN < *until).then(|| ticket.clone())
    }

    /// Returns whether the advisor has denied a worker for a step.
    pub(crate) fn is_denied(&self, step_ref: StepRef, worker: WorkerKey) -> bool {
        let approval = self.approvals.get(&step_ref);
        approval.is_some_and(|approval| approval.denied.contains(&worker))
    }

    /// Returns the next request to the advisor, for the most urgent waiting step of which a task
    /// lacks only the approval of a worker; `None` if no step needs a request now.
    pub fn next_advice_request(&mut self, now: TimePoint) -> Option<AdviceRequest> {
        let jobs = &self.jobs;
        self.approvals
            .retain(|step_ref, _| jobs.get(step_ref.job).is_some_and(|job| !job.is_over()));
        let is_due = |step_ref: StepRef| {
            let approval = self.approvals.get(&step_ref);
            self.jobs[step_ref.job].rules.advice().is_some()
                && approval
                    .is_none_or(|approval| now.since(approval.requested_at) >= REQUEST_INTERVAL)
        };
        let request = self
            .rank_ready_steps(now, is_due)
            .into_iter()
            .find_map(|(rank, step_ref)| self.advice_request_for(step_ref, rank, now))?;
        self.approvals.entry(request.step).or_default().requested_at = now;
        Some(request)
    }

    fn advice_request_for(
        &self,
        step_ref: StepRef,
        rank: JobRank,
        now: TimePoint,
    ) -> Option<AdviceRequest> {
        let job = &self.jobs[step_ref.job];
        let step = &job.spec.steps[usize::from(step_ref.step)];
        let (request, waiting) = self.step_request(step_ref, step, rank, now)?;
        let starts_together = step.gang || request.begin_mode == BeginMode::Whole;
        let max_workers = match starts_together {
            true => max_workers_per_common_start(&job.rules.advice()?),
            false => MAX_WORKERS_PER_REQUEST,
        };
        let count = waiting.len() * WORKERS_PER_WAITING_TASK;
        let count = count.clamp(MIN_WORKERS_PER_REQUEST, max_workers);
        let candidates = self
            .distinct_tasks(step_ref, &waiting)
            .find_map(|task_ref| {
                let approvable = self.approvable_workers(task_ref, &request, now)?;
                let wanted = match starts_together {
                    true => waiting.len(),
                    false => 1,
                };
                approvable.workers_to_approve(wanted, starts_together)
            })?;
        let workers = candidates
            .into_iter()
            .take(count)
            .map(|key| (key, self.workers[key].view.boot.worker_id().into()));
        let name = format!("{}.{}.{}", job.name, step_ref.occurrence, step_ref.step);
        Some(AdviceRequest {
            step: step_ref,
            name: name.into(),
            workers: workers.collect(),
        })
    }

    /// Returns the tasks of a step for which the same worker may be suitable or not: one that stands
    /// for all tasks without failures, and each task with failures.
    fn distinct_tasks<'a>(
        &'a self,
        step_ref: StepRef,
        waiting: &'a [u32],
    ) -> impl Iterator<Item = TaskRef> + 'a {
        let tasks = waiting.iter().map(move |index| TaskRef {
            step: step_ref,
            index: *index,
        });
        let has_failures =
            |task_ref: &TaskRef| self.task(*task_ref).is_some_and(TaskRecord::has_failures);
        let plain = tasks.clone().find(move |task_ref| !has_failures(task_ref));
        plain.into_iter().chain(tasks.filter(has_failures))
    }

    /// Returns the workers on which a task would start if they were approved; `None` if the task may
    /// start on no worker now.
    fn approvable_workers(
        &self,
        task_ref: TaskRef,
        request: &StepRequest<'_>,
        now: TimePoint,
    ) -> Option<ApprovableWorkers> {
        let step_ref = task_ref.step;
        let relaxation = self.relaxation(step_ref, request, now)?;
        let failed = match self.task(task_ref)?.has_failures() {
            true => Some(self.failed_task(task_ref, request, now).ok()?),
            false => None,
        };
        let mut approvable = ApprovableWorkers::default();
        for (key, worker) in &self.workers {
            if self.is_denied(step_ref, key) {
                continue;
            }
            let cost = self.approvable_cost(
                failed.as_ref(),
                step_ref,
                (key, worker),
                request,
                relaxation,
                now,
            );
            let Ok(cost) = cost else {
                continue;
            };
            match self.ticket(step_ref, key, now) {
                Some(_) => {
                    approvable.room += self.room_for_tasks(step_ref, key, request.step);
                    approvable.approved.push((cost, key));
                }
                None => approvable.unapproved.push((cost, key)),
            }
        }
        Some(approvable)
    }

    /// Returns how many tasks of a step can at least start on a worker that takes one.
    fn room_for_tasks(&self, step_ref: StepRef, key: WorkerKey, step: &StepSpec) -> usize {
        let worker = &self.workers[key];
        if step.best_effort || worker.start_limit.is_active() {
            return 1;
        }
        let record = self.step_record(step_ref);
        let tasks_here = record.and_then(|record| record.spread.get(&key).copied());
        let max_tasks = match step.max_per_worker {
            0 => u32::MAX,
            max_tasks => max_tasks.saturating_sub(tasks_here.unwrap_or(0)),
        };
        let room = step.reserved().count_that_fit(worker.free_capacity());
        room.min(max_tasks) as usize
    }

    /// Records the advisor's answer: workers in `approved` get their tickets, valid until `until`;
    /// the other workers of the request are denied.
    pub fn record_advice(
        &mut self,
        request: &AdviceRequest,
        approved: &[(Box<str>, Box<str>)],
        until: TimePoint,
    ) {
        let approval = self.approvals.entry(request.step).or_default();
        for (key, id) in &request.workers {
            match approved.iter().find(|(worker, _)| worker == id) {
                Some((_, ticket)) => {
                    approval.tickets.insert(*key, (ticket.clone(), until));
                }
                None => {
                    approval.denied.insert(*key);
                }
            }
        }
    }
}
