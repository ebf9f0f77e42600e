//! Approvals of the platform's placement advisor: which workers may run the steps of a queue that
//! requires advice.

use crate::rank::JobRank;
use crate::scheduler::{JobScheduler, StepRef};
use crate::worker::WorkerKey;
use std::collections::{HashMap, HashSet};
use std::time::Duration;
use wax_policy::ExpectedFinish;
use wax_types::TimePoint;

/// Number of workers per waiting task in a request to the advisor.
const WORKERS_PER_WAITING_TASK: usize = 2;
/// Bounds on the number of workers in one request. Each worker adds to the advisor's decision time.
const MIN_WORKERS_PER_REQUEST: usize = 4;
const MAX_WORKERS_PER_REQUEST: usize = 30;
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
        if self.jobs.get(step_ref.job)?.queue.advice.is_none() {
            return Some("".into());
        }
        let (ticket, until) = self.approvals.get(&step_ref)?.tickets.get(&worker)?;
        (now + TICKET_MARGIN < *until).then(|| ticket.clone())
    }

    /// Returns the next request to the advisor, for the most urgent waiting step that fits on no
    /// approved worker; `None` if no step needs a request now.
    pub fn next_advice_request(&mut self, now: TimePoint) -> Option<AdviceRequest> {
        let jobs = &self.jobs;
        self.approvals
            .retain(|step_ref, _| jobs.get(step_ref.job).is_some_and(|job| !job.is_over()));
        let mut advised: Vec<(JobRank, StepRef)> = self
            .ready_steps
            .iter()
            .filter(|step_ref| self.jobs[step_ref.job].queue.advice.is_some())
            .map(|step_ref| {
                (
                    JobRank::new(
                        &self.jobs[step_ref.job],
                        step_ref.occurrence,
                        step_ref.step,
                        now,
                    ),
                    *step_ref,
                )
            })
            .collect();
        advised.sort_unstable();
        let request = advised
            .into_iter()
            .find_map(|(_, step_ref)| self.advice_request_for(step_ref, now))?;
        self.approvals.entry(request.step).or_default().requested_at = now;
        Some(request)
    }

    fn advice_request_for(&self, step_ref: StepRef, now: TimePoint) -> Option<AdviceRequest> {
        let job = &self.jobs[step_ref.job];
        let spec = &job.spec.steps[usize::from(step_ref.step)];
        let waiting = job.occurrences.get(&step_ref.occurrence)?.steps[usize::from(step_ref.step)]
            .waiting as usize;
        let approval = self.approvals.get(&step_ref);
        if approval.is_some_and(|approval| now.since(approval.requested_at) < REQUEST_INTERVAL) {
            return None;
        }
        let limits = (
            self.rules.best_effort_limit(ExpectedFinish::InTime),
            &self.rules,
        );
        let workers_with_capacity: Vec<(WorkerKey, &str)> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.can_fit(&job.queue.service, spec, limits, now))
            .map(|(key, worker)| (key, worker.view.boot.worker_id()))
            .collect();
        if workers_with_capacity
            .iter()
            .any(|(key, _)| self.ticket(step_ref, *key, now).is_some())
        {
            return None;
        }
        let max_workers = (waiting * WORKERS_PER_WAITING_TASK)
            .clamp(MIN_WORKERS_PER_REQUEST, MAX_WORKERS_PER_REQUEST);
        let denied =
            |key: &WorkerKey| approval.is_some_and(|approval| approval.denied.contains(key));
        let workers: Vec<(WorkerKey, Box<str>)> = workers_with_capacity
            .into_iter()
            .filter(|(key, _)| !denied(key))
            .take(max_workers)
            .map(|(key, id)| (key, id.into()))
            .collect();
        let name = format!("{}.{}.{}", job.name, step_ref.occurrence, step_ref.step);
        (!workers.is_empty()).then(|| AdviceRequest {
            step: step_ref,
            name: name.into(),
            workers,
        })
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
