//! The owner's in-memory state of a shard: its open jobs, the workers that run them, and what is
//! reserved on each worker.

use crate::approvals::StepApproval;
use crate::crashes::WorkerIsolation;
use crate::job_rules::JobRules;
use crate::names::{JobName, RunId, TaskName};
use crate::order_backoff::{StartLimit, StartLimits};
use crate::performance::PerformanceTracker;
use crate::progress::{JobOutcome, JobProgress, JobRow, OwnerClocks, StoredProgress};
use crate::progress_rows::{ProgressRow, RowChange};
use crate::queue::QueueConfig;
use crate::reasons::{PlacementReason, StepWait, StopReason};
use crate::records::{JobRecord, OccurrenceRecord};
use crate::spec::{JobSpec, TaskSize};
use crate::unreconciled::UnreconciledRuns;
use crate::worker::{WorkerKey, WorkerView};
use slotmap::SlotMap;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use wax_policy::{
    ExpiredVersion, InterferenceTable, PairInterference, PlacementRules, SharingRules,
    WorkerInterference,
};
use wax_types::TimePoint;

slotmap::new_key_type! {
    /// Key of a job within one [`JobScheduler`].
    pub struct JobKey;
}

/// Reference to a step of one occurrence of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StepRef {
    /// Job that the step belongs to.
    pub job: JobKey,
    /// Number of the occurrence, from 0.
    pub occurrence: u32,
    /// Index of the step in the job's specification.
    pub step: u16,
}

/// Reference to a single task of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskRef {
    /// Step that the task belongs to.
    pub step: StepRef,
    /// Index of the task within its step, from 0.
    pub index: u32,
}

/// Order to start a run on a worker.
#[derive(Debug, Clone)]
pub struct StartOrder {
    /// Worker that receives the order.
    pub worker: WorkerKey,
    /// Task to start and the number of this start.
    pub run_id: RunId,
    /// Specification of the task's job.
    pub spec: Rc<JobSpec>,
    /// Checkpoint to resume from; empty to start from scratch.
    pub checkpoint: Box<str>,
    /// Ticket of the placement advisor; empty if the queue needs no advice.
    pub ticket: Box<str>,
    /// Figures that decided the placement, for the log.
    pub reason: PlacementReason,
}

/// Order to stop a run on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopOrder {
    /// Worker that receives the order.
    pub worker: WorkerKey,
    /// Run to stop.
    pub run_id: RunId,
    /// Reason of the stop, for the log.
    pub reason: StopReason,
}

/// State of a job as shown to callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobInfo {
    /// Outcome as stored; [`JobOutcome::Open`] until the end of the job is stored.
    pub outcome: JobOutcome,
    /// Whether any task of the job has started.
    pub started: bool,
}

/// Progress of one job that is to be written to the store, as it was at one moment.
#[derive(Debug, Clone)]
pub struct ProgressUpdate {
    /// Key of the job.
    pub job: JobKey,
    /// Name of the job.
    pub name: JobName,
    /// Number of changes of the job that this update covers.
    pub changes: u64,
    /// Content of the head row.
    pub progress: JobProgress,
    /// Rows to write and to remove, in this order.
    pub rows: Vec<RowChange>,
    /// Number of crashed runs that have no room in their row and are not stored.
    pub omitted_crashes: usize,
    /// Size of a row that is too large for the store; `None` if all have room.
    pub oversized: Option<usize>,
    /// Whether earlier transactions have written rows of the same update.
    pub is_begun: bool,
}

impl ProgressUpdate {
    /// Returns whether the update writes the head row.
    pub fn has_head(&self) -> bool {
        let first = self.rows.first();
        first.is_some_and(|change| change.row == ProgressRow::Head)
    }

    /// Removes all rows but the first `count` and returns them as an update of their own; `None` if
    /// there are no others.
    pub fn split_off(&mut self, count: usize) -> Option<Self> {
        let rest = self.rows.split_off(count.min(self.rows.len()));
        (!rest.is_empty()).then(|| Self {
            rows: rest,
            omitted_crashes: 0,
            is_begun: true,
            progress: self.progress.clone(),
            ..*self
        })
    }
}

/// End of a run that must be stored before the worker may delete its record of it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PendingEnd {
    pub(crate) number: u64,
    /// Job and the number of its changes that must be stored first; `None` if nothing has to be
    /// stored.
    pub(crate) required_changes: Option<(JobKey, u64)>,
}

/// State of a worker and of the runs placed on it.
#[derive(Debug)]
pub struct WorkerRecord {
    /// The worker's latest description of itself.
    pub view: WorkerView,
    /// Runs placed on the worker. Each keeps its reservation until it has ended.
    pub runs: HashMap<RunId, RunReservation>,
    /// Sum of the reservations of all runs.
    pub reserved: TaskSize,
    /// Processors requested by best-effort runs, in thousandths of a core.
    pub best_effort_milli: u32,
    /// Processors requested by long-running runs, in thousandths of a core.
    pub long_running_milli: u32,
    /// Highest number of a run's end that the worker has reported; 0 for none.
    pub last_end_number: u64,
    /// The worker may delete its records of ends up to and including this number.
    pub ack_cursor: u64,
    pub(crate) pending_ends: VecDeque<PendingEnd>,
    /// Runs that the worker's last report lacks while it has more ends than it could list: each may
    /// have ended in any way.
    pub(crate) unlisted_runs: HashSet<RunId>,
    /// Tasks with a failed run on this worker since a run last completed here.
    pub(crate) failed_tasks: HashSet<TaskName>,
    /// Time until which the worker gets no tasks, after failures or refusals.
    pub excluded_until: TimePoint,
    /// Whether the worker's agent can be reached.
    pub reachable: bool,
    /// Whether the worker's failure domain is drained: its runs continue, but no new tasks are
    /// placed.
    pub(crate) drained: bool,
    /// Time of the last message of the worker's agent.
    pub last_contact: TimePoint,
    /// Serving and best-effort images that run here, to estimate their interference.
    pub interference: WorkerInterference,
    /// VM of the worker. A restarted worker has a new boot but the same VM.
    pub(crate) vm: Box<str>,
    /// Time at which a start was last ordered here.
    pub(crate) last_start: TimePoint,
    /// Isolation of the worker for a task that is suspected of crashing its worker. It may have
    /// expired already.
    pub(crate) isolation: Option<WorkerIsolation>,
    /// Limit of the starts after starts without an answer.
    pub(crate) start_limit: StartLimit,
}

/// Resources that one run reserves on a worker.
#[derive(Debug, Clone, Copy)]
pub struct RunReservation {
    /// Task of the run; `None` for a run that no job needs.
    pub task: Option<TaskRef>,
    /// Resources reserved until the run has ended.
    pub reserved: TaskSize,
    /// Processors requested by a best-effort run, in thousandths of a core; 0 for other runs.
    pub best_effort_milli: u32,
    /// Processors requested by a long-running run, in thousandths of a core; 0 for other runs.
    pub long_running_milli: u32,
    /// Whether the task is long-running. Its image then counts as serving on this worker.
    pub long_running: bool,
}

/// Number of run numbers that a task has in each term. In a later term its run numbers start above
/// a multiple of this, and so above those of all earlier terms.
pub(crate) const RUNS_PER_TERM: u64 = 1 << 16;

/// Jobs, workers and placements of one shard, kept in the memory of its owner.
#[derive(Debug)]
pub struct JobScheduler {
    pub(crate) jobs: SlotMap<JobKey, JobRecord>,
    pub(crate) names: HashMap<JobName, JobKey>,
    pub(crate) workers: SlotMap<WorkerKey, WorkerRecord>,
    pub(crate) ready_steps: BTreeSet<StepRef>,
    pub(crate) dirty: BTreeSet<JobKey>,
    /// Updates of which earlier transactions have written a part.
    pub(crate) begun_updates: VecDeque<ProgressUpdate>,
    pub(crate) stops: Vec<StopOrder>,
    /// Workers with reported ends that they may not delete yet.
    pub(crate) unacknowledged: BTreeSet<WorkerKey>,
    /// Waiting steps to report; see [`JobScheduler::take_waits`].
    pub(crate) waits: Vec<StepWait>,
    /// Config in force; `None` while it is not known.
    pub(crate) config: Option<Rc<QueueConfig>>,
    pub(crate) rules: PlacementRules,
    pub(crate) sharing_rules: SharingRules,
    /// Time of the last start of a starved job, by service; see [`JobScheduler::begin_mode`].
    pub(crate) starved_starts: BTreeMap<Box<str>, TimePoint>,
    /// Answers of the placement advisor, by step.
    pub(crate) approvals: HashMap<StepRef, StepApproval>,
    /// Interference of best-effort images with serving images.
    pub(crate) pairs: InterferenceTable,
    /// The owner's term.
    pub(crate) epoch: u64,
    /// Time of the last crash of a worker on each VM; old entries are removed with the next crash.
    pub(crate) last_vm_crash: HashMap<Box<str>, TimePoint>,
    /// Runs of earlier terms that may still be running on workers without reconciliation in this
    /// term.
    pub(crate) unreconciled: UnreconciledRuns,
    /// Failure domains that get no new tasks.
    pub(crate) drained: BTreeSet<Box<str>>,
    /// Speeds of the workers.
    pub(crate) performance: PerformanceTracker,
    /// Number of times a worker was evaluated for a task; see
    /// [`JobScheduler::take_workers_evaluated`].
    pub(crate) workers_evaluated: Cell<u64>,
    /// Position of the worker at which the last evaluated step began its scan; unbounded, so taken
    /// modulo the number of workers.
    pub(crate) scan_start: usize,
    /// Workers whose starts are limited because they have left starts unanswered.
    pub(crate) start_limits: StartLimits,
}

impl JobScheduler {
    /// Returns an empty scheduler for the term `epoch`.
    pub fn new(epoch: u64, rules: PlacementRules) -> Self {
        Self {
            jobs: SlotMap::with_key(),
            names: HashMap::new(),
            workers: SlotMap::with_key(),
            ready_steps: BTreeSet::new(),
            dirty: BTreeSet::new(),
            begun_updates: VecDeque::new(),
            stops: Vec::new(),
            unacknowledged: BTreeSet::new(),
            waits: Vec::new(),
            config: None,
            rules,
            sharing_rules: SharingRules::default(),
            starved_starts: BTreeMap::new(),
            approvals: HashMap::new(),
            pairs: InterferenceTable::default(),
            epoch,
            last_vm_crash: HashMap::new(),
            unreconciled: UnreconciledRuns::Any,
            drained: BTreeSet::new(),
            performance: PerformanceTracker::default(),
            workers_evaluated: Cell::new(0),
            scan_start: 0,
            start_limits: StartLimits::default(),
        }
    }

    /// Replaces the config and updates the rules of all known jobs. A job of which a task has used up
    /// its attempts under the new rules fails.
    pub fn set_config(&mut self, config: Rc<QueueConfig>, now_ms: u64) {
        for job in self.jobs.values_mut() {
            job.rules.update(&config);
        }
        self.config = Some(config);
        let open_jobs = self.jobs.iter().filter(|(_, job)| !job.is_over());
        let open_jobs: Vec<JobKey> = open_jobs.map(|(key, _)| key).collect();
        for key in open_jobs {
            self.fail_if_exhausted(key, now_ms);
        }
    }

    /// Returns the number of open jobs whose rules in force are not known.
    pub fn jobs_without_rules(&self) -> usize {
        let open_jobs = self.jobs.values().filter(|job| !job.is_over());
        open_jobs.filter(|job| !job.rules.are_in_force()).count()
    }

    /// Replaces the set of failure domains that get no new tasks.
    pub fn set_drained(&mut self, domains: &BTreeSet<Box<str>>) {
        self.drained = domains.clone();
        for worker in self.workers.values_mut() {
            worker.drained = domains.contains(&worker.view.failure_domain);
        }
    }

    /// Replaces the limits and weights used for placement.
    pub fn set_rules(&mut self, rules: PlacementRules) {
        self.rules = rules;
    }

    /// Sets how much interference a serving image tolerates on a worker in total.
    pub fn set_headroom(&mut self, worker: WorkerKey, serving: &str, headroom: f64) {
        if let Some(record) = self.workers.get_mut(worker) {
            record.interference.set_headroom(serving, headroom);
        }
    }

    /// Returns the interference known for all pairs of images.
    pub fn interference_table(&self) -> &InterferenceTable {
        &self.pairs
    }

    /// Restores the interference of a pair of images as an earlier owner knew it. Returns whether
    /// the estimate is in range; otherwise it is left out.
    pub fn restore_interference(
        &mut self,
        serving: &str,
        best_effort: &str,
        interference: PairInterference,
    ) -> bool {
        self.pairs.set(serving, best_effort, interference)
    }

    /// Merges an agent's measurement of a pair of images and returns the combined interference.
    pub fn merge_interference(
        &mut self,
        serving: &str,
        best_effort: &str,
        interference: PairInterference,
    ) -> PairInterference {
        self.pairs.merge(serving, best_effort, interference)
    }

    /// Adds a job from its stored rows. Does nothing if the job is already known.
    pub fn add_job(
        &mut self,
        name: JobName,
        row: JobRow,
        progress: Option<&StoredProgress>,
        clocks: &OwnerClocks,
    ) {
        let (now, now_ms) = (clocks.now, clocks.wall_ms);
        if self.names.contains_key(&name) {
            return;
        }
        let rules = JobRules::of_job(
            &row.queue,
            &row.service,
            row.rules_at_acceptance(),
            self.config.as_deref(),
        );
        let mut job = JobRecord {
            name,
            rules,
            epoch: row.epoch,
            accepted: now - row.age(clocks),
            occurrences: Default::default(),
            next_occurrence: 0,
            outcome: JobOutcome::Open,
            ended_ms: 0,
            stored_outcome: JobOutcome::Open,
            end_version: None,
            end_stored_at: None,
            started: false,
            reason: None,
            changes: 0,
            stored_changes: 0,
            stored_rows: BTreeMap::new(),
            spec: Rc::new(row.into_spec()),
        };
        if let Some(progress) = progress {
            job.restore(progress);
            for occurrence in job.occurrences.values_mut() {
                occurrence.begun = occurrence.has_progress();
            }
        }
        let is_over = job.is_over();
        let has_parts = job.stored_rows.len() > 1;
        let key = self.jobs.insert(job);
        self.names.insert(name, key);
        if is_over && has_parts {
            // The former owner has not removed all of them.
            self.mark_changed(key);
        }
        if !is_over {
            self.start_due_occurrences_of(key, now, now_ms);
            self.open_ready_steps(key, now);
            self.close_finished(key, now_ms);
            self.fail_if_exhausted(key, now_ms);
        }
    }

    /// Starts the occurrences of a job that are due, as many as may be in progress together. Returns
    /// when the next one is due, Unix milliseconds; `None` if all have been started.
    fn start_due_occurrences_of(
        &mut self,
        key: JobKey,
        now: TimePoint,
        now_ms: u64,
    ) -> Option<u64> {
        let job = &mut self.jobs[key];
        let all = job.spec.occurrence_count();
        let max_open = job.spec.max_open_occurrences();
        while job.next_occurrence < all && job.occurrences.len() < max_open {
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
        let next = (job.next_occurrence < all).then_some(job.next_occurrence);
        next.zip(job.spec.repeat)
            .map(|(next, plan)| plan.due_ms(next))
    }

    /// Starts all due occurrences of repeated jobs. Returns when the next one is due, Unix
    /// milliseconds; `None` if there is none.
    pub fn start_due_occurrences(&mut self, now: TimePoint, now_ms: u64) -> Option<u64> {
        let repeated: Vec<JobKey> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.spec.repeat.is_some() && !job.is_over())
            .map(|(key, _)| key)
            .collect();
        let mut next = None;
        for key in repeated {
            let due = self.start_due_occurrences_of(key, now, now_ms);
            self.open_ready_steps(key, now);
            next = [next, due].into_iter().flatten().min();
        }
        next
    }

    /// Opens the steps of a job whose prerequisites are done, in all occurrences in progress.
    pub(crate) fn open_ready_steps(&mut self, key: JobKey, now: TimePoint) {
        let numbers: Vec<u32> = self.jobs[key].occurrences.keys().copied().collect();
        for number in numbers {
            self.open_steps_of(key, number, now);
        }
    }

    /// Opens the steps of one occurrence whose prerequisites are done.
    pub(crate) fn open_steps_of(&mut self, key: JobKey, number: u32, now: TimePoint) {
        let job = &mut self.jobs[key];
        let Some(occurrence) = job.occurrences.get_mut(&number) else {
            return;
        };
        occurrence.open_steps(&job.spec, now);
        for (step, record) in occurrence.steps.iter().enumerate() {
            if record.open && record.waiting > 0 {
                self.ready_steps.insert(StepRef {
                    job: key,
                    occurrence: number,
                    step: step as u16,
                });
            }
        }
    }

    /// Removes an occurrence if it is done, and completes the job if none is left or still to come.
    pub(crate) fn close_occurrence(&mut self, key: JobKey, number: u32, now_ms: u64) {
        let job = &mut self.jobs[key];
        let occurrence = job.occurrences.get(&number);
        if !job.is_over() && occurrence.is_some_and(|record| record.is_done(&job.spec)) {
            job.occurrences.remove(&number);
            self.complete_if_done(key, now_ms);
        }
    }

    /// Removes all occurrences that are done, and completes the job if none is left or still to
    /// come.
    fn close_finished(&mut self, key: JobKey, now_ms: u64) {
        let job = &mut self.jobs[key];
        job.occurrences
            .retain(|_, record| !record.is_done(&job.spec));
        self.complete_if_done(key, now_ms);
    }

    fn complete_if_done(&mut self, key: JobKey, now_ms: u64) {
        let job = &self.jobs[key];
        if job.occurrences.is_empty() && job.next_occurrence >= job.spec.occurrence_count() {
            self.end_job(key, JobOutcome::Completed, None, now_ms);
        }
    }

    /// Ends a job and orders the stop of its runs.
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

    /// Records that a job has changed and must be stored.
    pub(crate) fn mark_changed(&mut self, key: JobKey) {
        self.jobs[key].changes += 1;
        self.dirty.insert(key);
    }

    /// Ends a job that its caller has cancelled. The cancellation is already stored.
    pub fn cancel(&mut self, name: JobName, now_ms: u64) {
        if let Some(key) = self.names.get(&name).copied() {
            self.end_job(key, JobOutcome::Cancelled, None, now_ms);
        }
    }

    /// Returns the state of a job as shown to callers; `None` if the job is not known here.
    pub fn job_info(&self, name: JobName) -> Option<JobInfo> {
        let job = self.jobs.get(*self.names.get(&name)?)?;
        Some(JobInfo {
            outcome: job.stored_outcome,
            started: job.started,
        })
    }

    /// Returns the number of open jobs of a queue of which no task has started.
    pub fn pending_job_count(&self, queue: &str) -> u64 {
        let is_pending =
            |job: &&JobRecord| *job.rules.queue() == *queue && !job.started && !job.is_over();
        self.jobs.values().filter(is_pending).count() as u64
    }

    /// Returns the stops ordered since the last call.
    pub fn take_stops(&mut self) -> Vec<StopOrder> {
        std::mem::take(&mut self.stops)
    }

    /// Returns the steps that began to wait for a new reason since the last call.
    pub fn take_waits(&mut self) -> Vec<StepWait> {
        std::mem::take(&mut self.waits)
    }

    /// Records the time of a message from the worker's agent.
    pub fn record_contact(&mut self, worker: WorkerKey, now: TimePoint) {
        if let Some(record) = self.workers.get_mut(worker) {
            record.last_contact = now;
        }
    }

    /// Returns at most `max_jobs` jobs whose end was stored in an expired version and whose final
    /// state is stored.
    pub fn removable_jobs(&self, expired: ExpiredVersion, max_jobs: usize) -> Vec<JobName> {
        let is_removable = |job: &&JobRecord| {
            job.end_version
                .is_some_and(|version| expired.covers(version))
                && job.stored_changes == job.changes
        };
        self.jobs
            .values()
            .filter(is_removable)
            .take(max_jobs)
            .map(|job| job.name)
            .collect()
    }

    /// Removes a job whose rows were deleted from the store.
    pub fn remove_job(&mut self, name: JobName) {
        if let Some(key) = self.names.remove(&name) {
            self.jobs.remove(key);
            self.dirty.remove(&key);
            self.begun_updates.retain(|update| update.job != key);
        }
    }

    /// Returns the number of jobs that have not ended.
    pub fn open_job_count(&self) -> usize {
        self.jobs.values().filter(|job| !job.is_over()).count()
    }

    /// Returns a job by name, for explanations.
    pub fn job(&self, name: JobName) -> Option<&JobRecord> {
        self.jobs.get(*self.names.get(&name)?)
    }

    /// Returns how many times a worker was evaluated for a task since the last call.
    pub fn take_workers_evaluated(&self) -> u64 {
        self.workers_evaluated.take()
    }

    /// Iterates over all known workers.
    pub fn workers(&self) -> impl Iterator<Item = (WorkerKey, &WorkerRecord)> {
        self.workers.iter()
    }
}
