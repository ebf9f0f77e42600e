//! All open jobs of a shard and the workers that run them, in their owner's memory.

use crate::approvals::StepApproval;
use crate::crashes::WorkerIsolation;
use crate::names::{JobName, RunId, TaskName};
use crate::progress::{JobOutcome, JobProgress, JobRow};
use crate::queue::{QueueConfig, QueueRules};
use crate::reasons::{PlacementReason, StepWait, StopReason};
use crate::records::{JobRecord, OccurrenceRecord};
use crate::spec::{JobSpec, TaskSize};
use crate::unreconciled::UnreconciledRuns;
use crate::worker::{WorkerKey, WorkerView};
use slotmap::SlotMap;
use std::cell::Cell;
use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use wax_policy::{PairPress, PlaceRules, PressTable, WorkerPress};
use wax_types::TimePoint;

slotmap::new_key_type! {
    /// A job that an owner knows.
    pub struct JobKey;
}

/// A step of an occurrence of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StepRef {
    /// The job.
    pub job: JobKey,
    /// The occurrence.
    pub occurrence: u32,
    /// The step.
    pub step: u16,
}

/// A task of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskRef {
    /// The step.
    pub step: StepRef,
    /// The index within it.
    pub index: u32,
}

/// A run to start.
#[derive(Debug, Clone)]
pub struct StartOrder {
    /// Where.
    pub worker: WorkerKey,
    /// Which task, with the number of the start.
    pub run_id: RunId,
    /// The task's job.
    pub spec: Rc<JobSpec>,
    /// The checkpoint to resume from; empty for none.
    pub checkpoint: Box<str>,
    /// The advisor's ticket; empty where none is needed.
    pub ticket: Box<str>,
    /// What decided it; for the log.
    pub reason: PlacementReason,
}

/// A run to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopOrder {
    /// Where.
    pub worker: WorkerKey,
    /// Which run.
    pub run_id: RunId,
    /// Why; for the log.
    pub reason: StopReason,
}

/// What a caller is told of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobInfo {
    /// How it ended, by the store.
    pub outcome: JobOutcome,
    /// Whether any task has begun.
    pub started: bool,
}

/// Changes of a job for the store.
#[derive(Debug, Clone)]
pub struct ProgressUpdate {
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
pub struct WorkerRecord {
    /// What it says of itself.
    pub view: WorkerView,
    /// Runs placed here; each books its size until it has ended.
    pub runs: HashMap<RunId, RunReservation>,
    /// The sum of what the runs book.
    pub reserved: TaskSize,
    /// Thousandths of a core that runs which fill ask for.
    pub best_effort_milli: u32,
    /// Thousandths of a core that lasting runs ask for.
    pub long_running_milli: u32,
    /// The last number of an end that was heard.
    pub last_end_number: u64,
    /// Ends up to here may be forgotten by the worker.
    pub ack_cursor: u64,
    pub(crate) pending_ends: VecDeque<PendingEnd>,
    /// Tasks of which a run has failed since the last run that was done here.
    pub(crate) failed_tasks: HashSet<TaskName>,
    /// Until when it gets no work, after failures.
    pub excluded_until: TimePoint,
    /// Whether its agent can be reached now.
    pub reachable: bool,
    /// Whether its failure domain is drained: what runs there goes on, nothing new comes.
    pub(crate) drained: bool,
    /// When its agent was last heard.
    pub last_contact: TimePoint,
    /// What serves and what fills here, by image.
    pub interference: WorkerPress,
    /// Its machine: another boot of the worker is on the same one.
    pub(crate) vm: Box<str>,
    /// When a start was last ordered here.
    pub(crate) last_start: TimePoint,
    /// Set while it is kept for a task that may end its worker.
    pub(crate) isolation: Option<WorkerIsolation>,
}

/// One run on a worker.
#[derive(Debug, Clone, Copy)]
pub struct RunReservation {
    /// The task; `None` for a run that no known job asked for.
    pub task: Option<TaskRef>,
    /// What it books.
    pub reserved: TaskSize,
    /// Thousandths of a core that it asks for, if it fills.
    pub best_effort_milli: u32,
    /// Thousandths of a core that it asks for, if it lasts.
    pub long_running_milli: u32,
    /// Whether it lasts: then its worker counts its image.
    pub long_running: bool,
}

/// Runs started in a later term of ownership are numbered from a multiple of this.
pub(crate) const RUNS_PER_TERM: u64 = 1 << 16;

/// The owner's memory of a shard.
#[derive(Debug)]
pub struct JobScheduler {
    pub(crate) jobs: SlotMap<JobKey, JobRecord>,
    pub(crate) names: HashMap<JobName, JobKey>,
    pub(crate) workers: SlotMap<WorkerKey, WorkerRecord>,
    pub(crate) ready_steps: BTreeSet<StepRef>,
    pub(crate) dirty: BTreeSet<JobKey>,
    pub(crate) stops: Vec<StopOrder>,
    /// Workers with ends that they may not forget yet.
    pub(crate) unacknowledged: BTreeSet<WorkerKey>,
    /// Waits that are to be told; see [`JobScheduler::take_waits`].
    pub(crate) waits: Vec<StepWait>,
    pub(crate) config: Rc<QueueConfig>,
    pub(crate) rules: PlaceRules,
    /// What the advisor has said of steps.
    pub(crate) approvals: HashMap<StepRef, StepApproval>,
    /// What filling images press on serving ones.
    pub(crate) pairs: PressTable,
    /// The owner's term.
    pub(crate) epoch: u64,
    /// When a worker of a machine last crashed, for a while.
    pub(crate) last_vm_crash: HashMap<Box<str>, TimePoint>,
    /// What workers that were not heard may still run of earlier terms.
    pub(crate) unreconciled: UnreconciledRuns,
    /// Failure domains that get nothing new.
    pub(crate) drained: BTreeSet<Box<str>>,
    /// How often a worker was asked what it takes for a task.
    pub(crate) workers_evaluated: Cell<u64>,
    /// Which worker the last step began with, by its position.
    pub(crate) scan_start: usize,
}

impl JobScheduler {
    /// An empty book of the term `epoch`.
    pub fn new(epoch: u64, rules: PlaceRules) -> Self {
        Self {
            jobs: SlotMap::with_key(),
            names: HashMap::new(),
            workers: SlotMap::with_key(),
            ready_steps: BTreeSet::new(),
            dirty: BTreeSet::new(),
            stops: Vec::new(),
            unacknowledged: BTreeSet::new(),
            waits: Vec::new(),
            config: Rc::default(),
            rules,
            approvals: HashMap::new(),
            pairs: PressTable::default(),
            epoch,
            last_vm_crash: HashMap::new(),
            unreconciled: UnreconciledRuns::Any,
            drained: BTreeSet::new(),
            workers_evaluated: Cell::new(0),
            scan_start: 0,
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
    pub fn set_rules(&mut self, rules: PlaceRules) {
        self.rules = rules;
    }

    /// Notes how much press an image that serves bears on a worker in all.
    pub fn set_headroom(&mut self, worker: WorkerKey, serving: &str, headroom: f64) {
        if let Some(record) = self.workers.get_mut(worker) {
            record.interference.set_room(serving, headroom);
        }
    }

    /// What is known of all pairs of images.
    pub fn interference_table(&self) -> &PressTable {
        &self.pairs
    }

    /// Takes what an earlier owner knew of a pair.
    pub fn restore_interference(
        &mut self,
        serving: &str,
        best_effort: &str,
        interference: PairPress,
    ) {
        self.pairs.set(serving, best_effort, interference);
    }

    /// Merges what an agent has learned of a pair of images; says what is known now.
    pub fn merge_interference(
        &mut self,
        serving: &str,
        best_effort: &str,
        interference: PairPress,
    ) -> PairPress {
        self.pairs.merge(serving, best_effort, interference)
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
        let mut job = JobRecord {
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
            started: false,
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
            self.start_due_occurrences_of(key, now, now_ms);
            self.open_ready_steps(key, now);
            self.close_finished(key, now_ms);
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
                max_attempts: 2,
                stretch: 2.0,
                target_latency_ms: 1_000,
                timeout_ms: 0,
                advice: None,
            })
        })
    }

    /// Begins occurrences that are due; says when the next one is, Unix milliseconds.
    fn start_due_occurrences_of(
        &mut self,
        key: JobKey,
        now: TimePoint,
        now_ms: u64,
    ) -> Option<u64> {
        let job = &mut self.jobs[key];
        let all = job.spec.occurrence_count();
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
            let occurrence = OccurrenceRecord::new(&job.spec, due);
            job.occurrences.insert(job.next_occurrence, occurrence);
            job.next_occurrence += 1;
        }
        None
    }

    /// Begins what is due now in all timed jobs; returns when to look again, Unix milliseconds.
    pub fn start_due_occurrences(&mut self, now: TimePoint, now_ms: u64) -> Option<u64> {
        let timed: Vec<JobKey> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.spec.repeat.is_some() && !job.is_over())
            .map(|(key, _)| key)
            .collect();
        let mut next = None;
        for key in timed {
            let due = self.start_due_occurrences_of(key, now, now_ms);
            self.open_ready_steps(key, now);
            next = [next, due].into_iter().flatten().min();
        }
        next
    }

    /// Opens every step that can be, in all occurrences of a job.
    pub(crate) fn open_ready_steps(&mut self, key: JobKey, now: TimePoint) {
        let job = &mut self.jobs[key];
        let spec = job.spec.clone();
        for (number, occurrence) in &mut job.occurrences {
            occurrence.open_steps(&spec, now);
            for (step, record) in occurrence.steps.iter().enumerate() {
                if record.open && record.waiting > 0 {
                    self.ready_steps.insert(StepRef {
                        job: key,
                        occurrence: *number,
                        step: step as u16,
                    });
                }
            }
        }
    }

    /// Closes finished occurrences, and the job if that was all.
    pub(crate) fn close_finished(&mut self, key: JobKey, now_ms: u64) {
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
        if job.occurrences.is_empty() && job.next_occurrence >= spec.occurrence_count() {
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
        self.mark_changed(key);
        self.stop_all(key, StopReason::JobEnded);
        let from = StepRef {
            job: key,
            occurrence: 0,
            step: 0,
        };
        let ready_steps: Vec<StepRef> = self
            .ready_steps
            .range(from..)
            .take_while(|step| step.job == key)
            .copied()
            .collect();
        for step in ready_steps {
            self.ready_steps.remove(&step);
        }
    }

    fn stop_all(&mut self, key: JobKey, reason: StopReason) {
        let job = &mut self.jobs[key];
        for (number, occurrence) in &mut job.occurrences {
            for (step, record) in occurrence.steps.iter_mut().enumerate() {
                for (index, task) in record.tasks.iter_mut().enumerate() {
                    let Some(placement) = task
                        .placement_mut()
                        .filter(|placement| !placement.stop_ordered)
                    else {
                        continue;
                    };
                    placement.stop_ordered = true;
                    let run_id = RunId {
                        task: TaskName {
                            job: job.name,
                            occurrence: *number,
                            step: step as u16,
                            index: index as u32,
                        },
                        run: placement.run,
                    };
                    self.stops.push(StopOrder {
                        worker: placement.worker,
                        run_id,
                        reason,
                    });
                }
            }
        }
    }

    /// Notes a change that the store must learn.
    pub(crate) fn mark_changed(&mut self, key: JobKey) {
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
    pub fn job_info(&self, name: JobName) -> Option<JobInfo> {
        let job = self.jobs.get(*self.names.get(&name)?)?;
        Some(JobInfo {
            outcome: job.stored_outcome,
            started: job.started,
        })
    }

    /// Accepted jobs of a queue of which no task has begun.
    pub fn pending_job_count(&self, queue: &str) -> u64 {
        let waits = |job: &&JobRecord| *job.queue.name == *queue && !job.started && !job.is_over();
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
    pub fn record_contact(&mut self, worker: WorkerKey, now: TimePoint) {
        if let Some(record) = self.workers.get_mut(worker) {
            record.last_contact = now;
        }
    }

    /// Jobs that ended before `before_ms` and can be forgotten.
    pub fn removable_jobs(&self, before_ms: u64, max_jobs: usize) -> Vec<JobName> {
        let is_removable = |job: &&JobRecord| {
            job.is_over()
                && job.ended_ms < before_ms
                && job.stored_changes == job.changes
                && job.stored_outcome != JobOutcome::Open
        };
        self.jobs
            .values()
            .filter(is_removable)
            .take(max_jobs)
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
    pub fn open_job_count(&self) -> usize {
        self.jobs.values().filter(|job| !job.is_over()).count()
    }

    /// A job by its name, for explanations.
    pub fn job(&self, name: JobName) -> Option<&JobRecord> {
        self.jobs.get(*self.names.get(&name)?)
    }

    /// How often a worker was asked what it takes for a task, since the last call.
    pub fn take_workers_evaluated(&self) -> u64 {
        self.workers_evaluated.take()
    }

    /// All workers.
    pub fn workers(&self) -> impl Iterator<Item = (WorkerKey, &WorkerRecord)> {
        self.workers.iter()
    }
}
