//! Which workers a queue's policy lets run a step, as the platform's advisor has said.

use crate::book::{JobBook, StepAt};
use crate::rank::JobRank;
use crate::worker::WorkerKey;
use std::collections::{HashMap, HashSet};
use std::time::Duration;
use wax_policy::ExpectedFinish;
use wax_types::TimePoint;

/// The advisor is asked for this many workers a waiting task.
const ASKED_PER_TASK: usize = 2;
/// It is asked for at least and at most so many at once; each costs time.
const ASKED_LEAST: usize = 4;
const ASKED_MOST: usize = 30;
/// A step is asked for again no sooner.
const ASK_PAUSE: Duration = Duration::from_millis(300);
/// A ticket that ends sooner than this is not used: the start takes its time.
const TICKET_MARGIN: Duration = Duration::from_millis(400);

/// What is known of one step.
#[derive(Debug, Clone, Default)]
pub(crate) struct StepApproval {
    tickets: HashMap<WorkerKey, (Box<str>, TimePoint)>,
    /// Workers that may not run the step; that does not change.
    denied: HashSet<WorkerKey>,
    asked: TimePoint,
}

/// A question to the advisor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdviceAsk {
    /// The step.
    pub step: StepAt,
    /// Its name, as the advisor knows it.
    pub name: Box<str>,
    /// The workers that are asked about.
    pub workers: Vec<(WorkerKey, Box<str>)>,
}

impl JobBook {
    /// The ticket with which a step's tasks may start on a worker; `None` where it may not.
    ///
    /// Steps of queues without advice need none: their ticket is empty.
    pub(crate) fn ticket(&self, at: StepAt, worker: WorkerKey, now: TimePoint) -> Option<Box<str>> {
        if self.jobs.get(at.job)?.queue.advice.is_none() {
            return Some("".into());
        }
        let (ticket, until) = self.approvals.get(&at)?.tickets.get(&worker)?;
        (now + TICKET_MARGIN < *until).then(|| ticket.clone())
    }

    /// The next question to the advisor: the most urgent step that no approved worker can take.
    pub fn advice_wanted(&mut self, now: TimePoint) -> Option<AdviceAsk> {
        let jobs = &self.jobs;
        self.approvals
            .retain(|at, _| jobs.get(at.job).is_some_and(|job| !job.is_over()));
        let mut advised: Vec<(JobRank, StepAt)> = self
            .ready
            .iter()
            .filter(|at| self.jobs[at.job].queue.advice.is_some())
            .map(|at| {
                (
                    JobRank::new(&self.jobs[at.job], at.occurrence, at.step, now),
                    *at,
                )
            })
            .collect();
        advised.sort_unstable();
        let ask = advised
            .into_iter()
            .find_map(|(_, at)| self.ask_for(at, now))?;
        self.approvals.entry(ask.step).or_default().asked = now;
        Some(ask)
    }

    fn ask_for(&self, at: StepAt, now: TimePoint) -> Option<AdviceAsk> {
        let job = &self.jobs[at.job];
        let spec = &job.spec.steps[usize::from(at.step)];
        let waiting =
            job.occurrences.get(&at.occurrence)?.steps[usize::from(at.step)].waiting as usize;
        let known = self.approvals.get(&at);
        if known.is_some_and(|known| now.since(known.asked) < ASK_PAUSE) {
            return None;
        }
        let rules = (
            self.rules.best_effort_limit(ExpectedFinish::InTime),
            &self.rules,
        );
        let room: Vec<(WorkerKey, &str)> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.has_room(&job.queue.service, spec, rules, now))
            .map(|(key, worker)| (key, worker.view.boot.worker_id()))
            .collect();
        if room
            .iter()
            .any(|(key, _)| self.ticket(at, *key, now).is_some())
        {
            return None;
        }
        let most = (waiting * ASKED_PER_TASK).clamp(ASKED_LEAST, ASKED_MOST);
        let denied = |key: &WorkerKey| known.is_some_and(|known| known.denied.contains(key));
        let workers: Vec<(WorkerKey, Box<str>)> = room
            .into_iter()
            .filter(|(key, _)| !denied(key))
            .take(most)
            .map(|(key, id)| (key, id.into()))
            .collect();
        let name = format!("{}.{}.{}", job.name, at.occurrence, at.step);
        (!workers.is_empty()).then(|| AdviceAsk {
            step: at,
            name: name.into(),
            workers,
        })
    }

    /// The advisor has answered: these workers may run the step, with these tickets.
    pub fn advice_given(
        &mut self,
        ask: &AdviceAsk,
        approved: &[(Box<str>, Box<str>)],
        until: TimePoint,
    ) {
        let known = self.approvals.entry(ask.step).or_default();
        for (key, id) in &ask.workers {
            match approved.iter().find(|(worker, _)| worker == id) {
                Some((_, ticket)) => {
                    known.tickets.insert(*key, (ticket.clone(), until));
                }
                None => {
                    known.denied.insert(*key);
                }
            }
        }
    }
}
