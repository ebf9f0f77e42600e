//! All open jobs of a shard and the workers that run them, in their owner's memory.

use crate::approvals::StepApproval;
use crate::crashes::WorkerTrial;
use crate::life::{JobLife, OccurrenceLife};
use crate::names::{JobName, RunMark, TaskName};
use crate::progress::{JobOutcome, JobProgress, JobRow};
use crate::queue::{QueueConfig, QueueRules};
use crate::spec::{JobSpec, TaskSize};
use crate::unheard::UnheardRuns;
use crate::why::{PlaceReason, StepWait, StopReason};
use crate::worker::{WorkerKey, WorkerView};
use slotmap::SlotMap;
use std::cell::Cell;
use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use wax_policy::{InterferenceTable, PairInterference, PlacementRules, WorkerInterference};
use wax_types::TimePoint;

slotmap::new_key_type! {
    /// A job that an owner knows.
    pub struct JobKey;
}

/// A step of an occurrence of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StepAt {
    /// The job.
    pub job: JobKey,
    /// The occurrence.
    pub occurrence: u32,
    /// The step.
    pub step: u16,
}

/// A task of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskAt {
    /// The step.
    pub step: StepAt,
    /// The index within it.
    pub index: u32,
}

/// A run to start.
#[derive(Debug, Clone)]
pub struct StartOrder {
    /// Where.
    pub worker: WorkerKey,
    /// Which task, with the number of the start.
    pub mark: RunMark,
    /// The task's job.
    pub spec: Rc<JobSpec>,
    /// The checkpoint to resume from; empty for none.
    pub checkpoint: Box<str>,
    /// The advisor's ticket; empty where none is needed.
    pub ticket: Box<str>,
    /// What decided it; for the log.
    pub reason: PlaceReason,
}

/// A run to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopOrder {
    /// Where.
    pub worker: WorkerKey,
    /// Which run.
    pub mark: RunMark,
    /// Why; for the log.
    pub why: StopReason,
}

/// What a caller is told of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobInfo {
    /// How it ended, by the store.
    pub outcome: JobOutcome,
    /// Whether any task has begun.
    pub begun: bool,
}

/// Changes of a job for the store.
#[derive(Debug, Clone)]
pub struct BookNote {
    /// The job.
    pub job: JobKey,
    /// Its name.
    pub name: JobName,
    /// The count of changes that the note covers.
    pub changes: u64,
    /// What to write.
    pub progress: JobProgress,
}

/// An end that the store must learn before the worker may forget it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PendingEnd {
    pub(crate) number: u64,
    /// The job and the count of its changes that covers the end; `None` needs nothing stored.
    pub(crate) covered: Option<(JobKey, u64)>,
}

/// A worker and what is placed on it.
#[derive(Debug)]
pub struct WorkerLife {
    /// What it says of itself.
    pub view: WorkerView,
    /// Runs placed here; each books its size until it has ended.
    pub runs: HashMap<RunMark, RunSeat>,
    /// The sum of what the runs book.
    pub booked: TaskSize,
    /// Thousandths of a core that runs which fill ask for.
    pub filling_milli: u32,
    /// Thousandths of a core that lasting runs ask for.
    pub lasting_milli: u32,
    /// The last number of an end that was heard.
    pub heard: u64,
    /// Ends up to here may be forgotten by the worker.
    pub cursor: u64,
    pub(crate) pending: VecDeque<PendingEnd>,
    /// Tasks of which a run has failed since the last run that was done here.
    pub(crate) failed_tasks: HashSet<TaskName>,
    /// Until when it gets no work, after failures.
    pub shunned_until: TimePoint,
    /// Whether its agent can be reached now.
    pub reachable: bool,
    /// Whether its failure domain is drained: what runs there goes on, nothing new comes.
    pub(crate) drained: bool,
    /// When its agent was last heard.
    pub heard_at: TimePoint,
    /// What serves and what fills here, by image.
    pub press: WorkerInterference,
    /// Its machine: another boot of the worker is on the same one.
    pub(crate) machine: Box<str>,
    /// When a start was last ordered here.
    pub(crate) last_start: TimePoint,
    /// Set while it is kept for a task that may end its worker.
    pub(crate) trial: Option<WorkerTrial>,
}

/// One run on a worker.
#[derive(Debug, Clone, Copy)]
pub struct RunSeat {
    /// The task; `None` for a run that no known job asked for.
    pub task: Option<TaskAt>,
    /// What it books.
    pub booked: TaskSize,
    /// Thousandths of a core that it asks for, if it fills.
    pub filling_milli: u32,
    /// Thousandths of a core that it asks for, if it lasts.
    pub lasting_milli: u32,
    /// Whether it lasts: then its worker counts its image.
    pub lasts: bool,
}

/// Runs started in a later term of ownership are numbered from a multiple of this.
pub(crate) const RUNS_PER_TERM: u64 = 1 << 16;

/// The owner's memory of a shard.
#[derive(Debug)]
pub struct JobBook {
    pub(crate) jobs: SlotMap<JobKey, JobLife>,
    pub(crate) names: HashMap<JobName, JobKey>,
    pub(crate) workers: SlotMap<WorkerKey, WorkerLife>,
    pub(crate) ready: BTreeSet<StepAt>,
    pub(crate) dirty: BTreeSet<JobKey>,
    pub(crate) stops: Vec<StopOrder>,
    /// Workers with ends that they may not forget yet.
    pub(crate) unacknowledged: BTreeSet<WorkerKey>,
    /// Waits that are to be told; see [`JobBook::take_waits`].
    pub(crate) waits: Vec<StepWait>,
    pub(crate) config: Rc<QueueConfig>,
    pub(crate) rules: PlacementRules,
    /// What the advisor has said of steps.
    pub(crate) approvals: HashMap<StepAt, StepApproval>,
    /// What filling images press on serving ones.
    pub(crate) pairs: InterferenceTable,
    /// The owner's term.
    pub(crate) epoch: u64,
    /// When a worker of a machine last crashed, for a while.
    pub(crate) crashed: HashMap<Box<str>, TimePoint>,
    /// What workers that were not heard may still run of earlier terms.
    pub(crate) unheard: UnheardRuns,
    /// Failure domains that get nothing new.
    pub(crate) drained: BTreeSet<Box<str>>,
    /// How often a worker was asked what it takes for a task.
    pub(crate) workers_asked: Cell<u64>,
    /// Which worker the last step began with, by its position.
    pub(crate) first_asked: usize,
}

impl JobBook {
    /// An empty book of the term `epoch`.
    pub fn new(epoch: u64, rules: PlacementRules) -> Self {
        Self {
            jobs: SlotMap::with_key(),
            names: HashMap::new(),
            workers: SlotMap::with_key(),
            ready: BTreeSet::new(),
            dirty: BTreeSet::new(),
            stops: Vec::new(),
            unacknowledged: BTreeSet::new(),
            waits: Vec::new(),
            config: Rc::default(),
            rules,
            approvals: HashMap::new(),
            pairs: InterferenceTable::default(),
            epoch,
            crashed: HashMap::new(),
            unheard: UnheardRuns::Any,
            drained: BTreeSet::new(),
            workers_asked: Cell::new(0),
            first_asked: 0,
        }
    }

    /// Takes a version of the config.
    pub fn set_config(&mut self, config: Rc<QueueConfig>) {
        for queue in &config.queues {
            for job in self.jobs.values_mut() {
                if job.queue.name == queue.name {
                    job.queue = queue.clone();
                }
            }
        }
        self.config = config;
    }

    /// Takes the failure domains that get nothing new from now on.
    pub fn set_drained(&mut self, domains: &BTreeSet<Box<str>>) {
        self.drained = domains.clone();
        for worker in self.workers.values_mut() {
            worker.drained = domains.contains(&worker.view.failure_domain);
        }
    }

    /// Takes other limits and weights of placement.
    pub fn set_rules(&mut self, rules: PlacementRules) {
        self.rules = rules;
    }

    /// Notes how much press an image that serves bears on a worker in all.
    pub fn set_press_room(&mut self, worker: WorkerKey, serving: &str, room: f64) {
        if let Some(life) = self.workers.get_mut(worker) {
            life.press.set_headroom(serving, room);
        }
    }

    /// What is known of all pairs of images.
    pub fn presses(&self) -> &InterferenceTable {
        &self.pairs
    }

    /// Takes what an earlier owner knew of a pair.
    pub fn restore_press(&mut self, serving: &str, filling: &str, press: PairInterference) {
        self.pairs.set(serving, filling, press);
    }

    /// Merges what an agent has learned of a pair of images; says what is known now.
    pub fn merge_press(
        &mut self,
        serving: &str,
        filling: &str,
        press: PairInterference,
    ) -> PairInterference {
        self.pairs.merge(serving, filling, press)
    }

    /// Takes a job from its rows; a job that is known already is left as it is.
    pub fn add_job(
        &mut self,
        name: JobName,
        row: JobRow,
        progress: Option<&JobProgress>,
        now: TimePoint,
        now_ms: u64,
    ) {
        if self.names.contains_key(&name) {
            return;
        }
        let queue = self.queue_rules(&row);
        let age = Duration::from_millis(now_ms.saturating_sub(row.accepted_ms));
        let mut job = JobLife {
            name,
            queue,
            service: row.service.as_str().into(),
            epoch: row.epoch,
            accepted: now - age,
            occurrences: Default::default(),
            next_occurrence: 0,
            outcome: JobOutcome::Open,
            ended_ms: 0,
            stored_outcome: JobOutcome::Open,
            begun: false,
            reason: None,
            changes: 0,
            stored_changes: 0,
            spec: Rc::new(row.into_spec()),
        };
        if let Some(progress) = progress {
            job.restore(progress);
        }
        let over = job.is_over();
        let key = self.jobs.insert(job);
        self.names.insert(name, key);
        if !over {
            self.open_occurrences(key, now, now_ms);
            self.open_all(key, now);
            self.settle_job(key, now_ms);
        }
    }

    fn queue_rules(&self, row: &JobRow) -> Rc<QueueRules> {
        let known = self
            .config
            .queues
            .iter()
            .find(|queue| *queue.name == *row.queue);
        known.cloned().unwrap_or_else(|| {
            Rc::new(QueueRules {
                name: row.queue.as_str().into(),
                host: "".into(),
                prefix: "".into(),
                service: row.service.as_str().into(),
                priority: 1,
                most_attempts: 2,
                stretch: 2.0,
                target_latency_ms: 1_000,
                timeout_ms: 0,
                advice: None,
            })
        })
    }

    /// Begins occurrences that are due; says when the next one is, Unix milliseconds.
    fn open_occurrences(&mut self, key: JobKey, now: TimePoint, now_ms: u64) -> Option<u64> {
        let job = &mut self.jobs[key];
        let all = job.spec.occurrences();
        while job.next_occurrence < all {
            let due = match job.spec.repeat {
                Some(plan) if plan.due_ms(job.next_occurrence) > now_ms => {
                    return Some(plan.due_ms(job.next_occurrence));
                }
                Some(plan) => {
                    let late = now_ms - plan.due_ms(job.next_occurrence);
                    now - Duration::from_millis(late)
                }
                None => job.accepted,
            };
            let occurrence = OccurrenceLife::new(&job.spec, due);
            job.occurrences.insert(job.next_occurrence, occurrence);
            job.next_occurrence += 1;
        }
        None
    }

    /// Begins what is due now in all timed jobs; returns when to look again, Unix milliseconds.
    pub fn open_due(&mut self, now: TimePoint, now_ms: u64) -> Option<u64> {
        let timed: Vec<JobKey> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.spec.repeat.is_some() && !job.is_over())
            .map(|(key, _)| key)
            .collect();
        let mut next = None;
        for key in timed {
            let due = self.open_occurrences(key, now, now_ms);
            self.open_all(key, now);
            next = [next, due].into_iter().flatten().min();
        }
        next
    }

    /// Opens every step that can be, in all occurrences of a job.
    pub(crate) fn open_all(&mut self, key: JobKey, now: TimePoint) {
        let job = &mut self.jobs[key];
        let spec = job.spec.clone();
        for (number, occurrence) in &mut job.occurrences {
            occurrence.open_steps(&spec, now);
            for (step, life) in occurrence.steps.iter().enumerate() {
                if life.open && life.waiting > 0 {
                    self.ready.insert(StepAt {
                        job: key,
                        occurrence: *number,
                        step: step as u16,
                    });
                }
            }
        }
    }

    /// Closes finished occurrences, and the job if that was all.
    pub(crate) fn settle_job(&mut self, key: JobKey, now_ms: u64) {
        let job = &mut self.jobs[key];
        if job.is_over() {
            return;
        }
        let spec = job.spec.clone();
        // Only a prefix is dropped, since the store keeps the first number that is not done.
        while let Some(first) = job.occurrences.first_entry() {
            if !first.get().is_done(&spec) {
                break;
            }
            first.remove();
        }
        if job.occurrences.is_empty() && job.next_occurrence >= spec.occurrences() {
            self.end_job(key, JobOutcome::Completed, None, now_ms);
        }
    }

    /// Ends a job; what still runs of it is stopped.
    pub(crate) fn end_job(
        &mut self,
        key: JobKey,
        outcome: JobOutcome,
        reason: Option<Box<str>>,
        now_ms: u64,
    ) {
        let job = &mut self.jobs[key];
        if job.is_over() {
            return;
        }
        job.outcome = outcome;
        job.reason = reason;
        job.ended_ms = now_ms;
        self.touch(key);
        self.stop_all(key, StopReason::JobEnded);
        let from = StepAt {
            job: key,
            occurrence: 0,
            step: 0,
        };
        let stale: Vec<StepAt> = self
            .ready
            .range(from..)
            .take_while(|step| step.job == key)
            .copied()
            .collect();
        for step in stale {
            self.ready.remove(&step);
        }
    }

    fn stop_all(&mut self, key: JobKey, why: StopReason) {
        let job = &mut self.jobs[key];
        for (number, occurrence) in &mut job.occurrences {
            for (step, life) in occurrence.steps.iter_mut().enumerate() {
                for (index, task) in life.tasks.iter_mut().enumerate() {
                    let Some(seat) = task.seat_mut().filter(|seat| !seat.stopping) else {
                        continue;
                    };
                    seat.stopping = true;
                    let mark = RunMark {
                        task: TaskName {
                            job: job.name,
                            occurrence: *number,
                            step: step as u16,
                            index: index as u32,
                        },
                        run: seat.run,
                    };
                    self.stops.push(StopOrder {
                        worker: seat.worker,
                        mark,
                        why,
                    });
                }
            }
        }
    }

    /// Notes a change that the store must learn.
    pub(crate) fn touch(&mut self, key: JobKey) {
        self.jobs[key].changes += 1;
        self.dirty.insert(key);
    }

    /// The caller of a job has cancelled it; the store knows.
    pub fn cancel(&mut self, name: JobName, now_ms: u64) {
        if let Some(key) = self.names.get(&name).copied() {
            self.end_job(key, JobOutcome::Cancelled, None, now_ms);
        }
    }

    /// What a caller may be told of a job; `None` if it is not known here.
    pub fn info(&self, name: JobName) -> Option<JobInfo> {
        let job = self.jobs.get(*self.names.get(&name)?)?;
        Some(JobInfo {
            outcome: job.stored_outcome,
            begun: job.begun,
        })
    }

    /// Accepted jobs of a queue of which no task has begun.
    pub fn pending(&self, queue: &str) -> u64 {
        let waits = |job: &&JobLife| *job.queue.name == *queue && !job.begun && !job.is_over();
        self.jobs.values().filter(waits).count() as u64
    }

    /// Orders to stop runs since the last call.
    pub fn take_stops(&mut self) -> Vec<StopOrder> {
        std::mem::take(&mut self.stops)
    }

    /// Steps whose tasks wait for a new reason, since the last call.
    pub fn take_waits(&mut self) -> Vec<StepWait> {
        std::mem::take(&mut self.waits)
    }

    /// Something was heard of a worker.
    pub fn worker_heard(&mut self, worker: WorkerKey, now: TimePoint) {
        if let Some(life) = self.workers.get_mut(worker) {
            life.heard_at = now;
        }
    }

    /// Jobs that ended before `before_ms` and can be forgotten.
    pub fn forgettable(&self, before_ms: u64, most: usize) -> Vec<JobName> {
        let old = |job: &&JobLife| {
            job.is_over()
                && job.ended_ms < before_ms
                && job.stored_changes == job.changes
                && job.stored_outcome != JobOutcome::Open
        };
        self.jobs
            .values()
            .filter(old)
            .take(most)
            .map(|job| job.name)
            .collect()
    }

    /// Forgets a job whose rows are gone.
    pub fn forget(&mut self, name: JobName) {
        if let Some(key) = self.names.remove(&name) {
            self.jobs.remove(key);
            self.dirty.remove(&key);
        }
    }

    /// How many jobs are open.
    pub fn open_jobs(&self) -> usize {
        self.jobs.values().filter(|job| !job.is_over()).count()
    }

    /// A job by its name, for explanations.
    pub fn job(&self, name: JobName) -> Option<&JobLife> {
        self.jobs.get(*self.names.get(&name)?)
    }

    /// How often a worker was asked what it takes for a task, since the last call.
    pub fn take_workers_asked(&self) -> u64 {
        self.workers_asked.take()
    }

    /// All workers.
    pub fn workers(&self) -> impl Iterator<Item = (WorkerKey, &WorkerLife)> {
        self.workers.iter()
    }
}
