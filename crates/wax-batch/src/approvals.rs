//! Which workers a queue's policy lets run a step, as the platform's advisor has said.

use crate::rank::JobRank;
use crate::scheduler::{JobScheduler, StepRef};
use crate::worker::WorkerKey;
use std::collections::{HashMap, HashSet};
use std::time::Duration;
use wax_policy::ExpectedFinish;
use wax_types::TimePoint;

/// The advisor is asked for this many workers a waiting task.
const WORKERS_PER_WAITING_TASK: usize = 2;
/// It is asked for at least and at most so many at once; each costs time.
const MIN_WORKERS_PER_REQUEST: usize = 4;
const MAX_WORKERS_PER_REQUEST: usize = 30;
/// A step is asked for again no sooner.
const REQUEST_INTERVAL: Duration = Duration::from_millis(300);
/// A ticket that ends sooner than this is not used: the start takes its time.
const TICKET_MARGIN: Duration = Duration::from_millis(400);

/// What is known of one step.
#[derive(Debug, Clone, Default)]
pub(crate) struct StepApproval {
    tickets: HashMap<WorkerKey, (Box<str>, TimePoint)>,
    /// Workers that may not run the step; that does not change.
    denied: HashSet<WorkerKey>,
    requested_at: TimePoint,
}

/// A question to the advisor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdviceRequest {
    /// The step.
    pub step: StepRef,
    /// Its name, as the advisor knows it.
    pub name: Box<str>,
    /// The workers that are asked about.
    pub workers: Vec<(WorkerKey, Box<str>)>,
}

impl JobScheduler {
    /// The ticket with which a step's tasks may start on a worker; `None` where it may not.
    ///
    /// Steps of queues without advice need none: their ticket is empty.
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

    /// The next question to the advisor: the most urgent step that no approved worker can take.
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
        let rules = (self.rules.fill_limit(ExpectedFinish::InTime), &self.rules);
        let workers_with_capacity: Vec<(WorkerKey, &str)> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.can_fit(&job.queue.service, spec, rules, now))
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

    /// The advisor has answered: these workers may run the step, with these tickets.
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
