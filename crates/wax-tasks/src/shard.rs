//! The owner of one shard: takes reports, places tasks, commits, and starts what was placed.

use crate::commit::{ChangeGroup, build_group, build_removal};
use crate::ledger_feed::LedgerFeed;
use crate::quota::{adjust_grants, quota_of};
use crate::rows::{InboxRow, PartRow, TaskRow, TaskState, part_key};
use crate::shard_load::{add_worker, load_shard, read_inbox};
use crate::shard_state::{ShardState, StartState, TaskChange};
use crate::split::shard_of_worker;
use crate::term::OwnerTerm;
use crate::transition::{RunChoice, decide_run};
use crate::worker_link::{SHARD_TICK, WorkerEvent, keep_worker, start_run, stop_run, throttle_run};
use compio::runtime::spawn;
use compio::time::sleep;
use fastrand::Rng;
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use wax_platform::{
    CommitOutcome, ObjectClient, RenewReply, TableClient, TaskMark, TaskReport, TaskRun,
    UsageReport, WorkerClient, WorkerDirectory, WorkerInfo,
};
use wax_policy::{
    ContactChoice, FirmWeights, LeaseTerms, PlaceChoice, PlaceContext, PlacePolicy, ReliefChoice,
    RunningTask, THROTTLED_PERCENT, WorkerContact,
};
use wax_settings::{NodePath, SettingsHolder, SettingsTree};
use wax_trace::{Counter, count, count_many};
use wax_types::{ProcessClock, ResourceVector, TaskId, TimePoint, WaxError, WorkerId};

/// Between two looks at the notes of new jobs.
const INBOX_PERIOD: Duration = Duration::from_millis(200);
/// Between two looks at the grants of quotas.
const QUOTA_PERIOD: Duration = Duration::from_millis(100);
/// Between two looks at the platform's list of workers.
const DIRECTORY_PERIOD: Duration = Duration::from_secs(2);
/// After a load that failed.
const LOAD_PAUSE: Duration = Duration::from_millis(300);
/// Tasks placed in one transaction at most.
const PLACE_GROUP: usize = 64;
/// Tasks of the queue that are looked at in one tick.
const QUEUE_LOOK: usize = 256;
/// A commit is offered this long before its fate is looked at again.
const COMMIT_SPAN: Duration = Duration::from_secs(2);
/// After a commit that could not be sent.
const COMMIT_PAUSE: Duration = Duration::from_millis(100);
/// A task that is no longer throttled, in percent of its size.
const WHOLE_SIZE: u8 = 100;
/// Failed runs in a row after which a worker is quarantined.
const FAILURES_TO_QUARANTINE: u32 = 5;
/// After this time a quarantined worker gets a task again, as a probe.
const QUARANTINE_SPAN: Duration = Duration::from_secs(30);

/// Terms and periods of all shards of a process.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ShardOptions {
    pub(crate) shards: u16,
    pub(crate) terms: LeaseTerms,
    pub(crate) renew: Duration,
    pub(crate) policy: PlacePolicy,
}

/// What the tasks of one shard share for one term.
pub(crate) struct ShardShared {
    pub(crate) term: OwnerTerm,
    pub(crate) options: ShardOptions,
    pub(crate) clock: ProcessClock,
    pub(crate) table: TableClient,
    pub(crate) objects: ObjectClient,
    pub(crate) directory: WorkerDirectory,
    pub(crate) workers: WorkerClient,
    pub(crate) settings: SettingsHolder,
    pub(crate) state: RefCell<ShardState>,
    pub(crate) ledger: RefCell<LedgerFeed>,
    events: UnboundedSender<WorkerEvent>,
}

/// Clients that a shard needs.
#[derive(Debug, Clone)]
pub(crate) struct ShardClients {
    pub(crate) table: TableClient,
    pub(crate) objects: ObjectClient,
    pub(crate) directory: WorkerDirectory,
    pub(crate) workers: WorkerClient,
    pub(crate) settings: SettingsHolder,
}

/// Why a round of ownership ended.
#[derive(Debug, PartialEq, Eq)]
enum RoundEnd {
    /// The term is over.
    Ended,
    /// The table was not as remembered: load it again.
    Reload,
}

impl ShardShared {
    pub(crate) fn now(&self) -> TimePoint {
        self.clock.now()
    }

    /// Whether the owner may act now.
    pub(crate) fn holds(&self) -> bool {
        self.term.holds(self.now())
    }

    pub(crate) fn send(&self, event: WorkerEvent) {
        // The shard's loop outlives its links.
        let _ = self.events.unbounded_send(event);
    }

    /// A worker has refused us for a later owner.
    pub(crate) fn fenced(&self, error: &WaxError) {
        tracing::info!(shard = %self.term.shard(), %error, "fenced by a worker");
        self.term.end();
    }

    /// A worker's clock when it last answered, and our time then.
    pub(crate) fn clock_of(&self, worker: &WorkerId) -> Option<(u64, TimePoint)> {
        self.state.borrow().workers.get(worker)?.clock
    }

    /// What to send to a worker now, and where.
    pub(crate) fn look_at(
        &self,
        worker: &WorkerId,
        now: TimePoint,
    ) -> Option<(ContactChoice, Box<str>)> {
        let state = self.state.borrow();
        let entry = state.workers.get(worker)?;
        Some((entry.contact.decide(now), entry.info.address.clone()))
    }
}

/// Owns a shard until the term ends.
pub(crate) async fn run_shard(
    term: OwnerTerm,
    options: ShardOptions,
    clients: ShardClients,
    clock: ProcessClock,
    publish: impl Fn(Option<Rc<ShardShared>>),
) {
    let mut contacts = HashMap::new();
    while term.holds(clock.now()) {
        let loaded = load_shard(
            &clients.table,
            &clients.directory,
            &term,
            &options.terms,
            options.shards,
            &contacts,
        )
        .await;
        let state = match loaded {
            Ok(state) => state,
            Err(error) => {
                tracing::debug!(shard = %term.shard(), %error, "shard not loaded");
                sleep(LOAD_PAUSE).await;
                continue;
            }
        };
        let (events, inbox) = unbounded();
        let shared = Rc::new(ShardShared {
            term: term.clone(),
            options,
            clock,
            table: clients.table.clone(),
            objects: clients.objects.clone(),
            directory: clients.directory.clone(),
            workers: clients.workers.clone(),
            settings: clients.settings.clone(),
            state: RefCell::new(state),
            ledger: RefCell::default(),
            events,
        });
        publish(Some(shared.clone()));
        let end = ShardRound::new(shared.clone(), inbox).run().await;
        contacts = take_contacts(&shared);
        if end == RoundEnd::Ended {
            break;
        }
        tracing::warn!(shard = %term.shard(), "the table changed unexpectedly; loading again");
    }
    publish(None);
}

/// Takes the contacts over to the next round, and stops the links of this one.
fn take_contacts(shared: &ShardShared) -> HashMap<WorkerId, WorkerContact> {
    let mut state = shared.state.borrow_mut();
    state
        .workers
        .drain()
        .map(|(worker, entry)| (worker, entry.contact))
        .collect()
}

/// One round of ownership on one loaded state.
struct ShardRound {
    shared: Rc<ShardShared>,
    events: UnboundedReceiver<WorkerEvent>,
    rng: Rng,
    inbox_due: TimePoint,
    quota_due: TimePoint,
    directory_due: TimePoint,
}

impl ShardRound {
    fn new(shared: Rc<ShardShared>, events: UnboundedReceiver<WorkerEvent>) -> Self {
        let now = shared.now();
        Self {
            shared,
            events,
            rng: Rng::new(),
            inbox_due: now,
            quota_due: now,
            directory_due: now + DIRECTORY_PERIOD,
        }
    }

    async fn run(mut self) -> RoundEnd {
        let workers: Vec<WorkerId> = self.shared.state.borrow().workers.keys().cloned().collect();
        for worker in workers {
            spawn(keep_worker(self.shared.clone(), worker)).detach();
        }
        spawn(crate::ledger_feed::write_usage(self.shared.clone())).detach();
        self.shared.state.borrow_mut().queue_cancelled_stops();
        while self.shared.holds() {
            let mut changes = self.take_events();
            changes.extend(self.cancel_waiting());
            changes.extend(self.place_waiting(&changes));
            if let Some(end) = self.commit(changes).await {
                return end;
            }
            self.stop_cancelled();
            self.stop_orphans();
            self.read_notes().await;
            self.adjust_quotas().await;
            self.refresh_workers().await;
            sleep(SHARD_TICK).await;
        }
        RoundEnd::Ended
    }

    /// Turns what the workers said into changes, one at most for each task.
    fn take_events(&mut self) -> Vec<TaskChange> {
        let mut changes: HashMap<TaskId, TaskChange> = HashMap::new();
        while let Ok(event) = self.events.try_recv() {
            for change in self.take_event(event) {
                changes.entry(change.task).or_insert(change);
            }
        }
        changes.into_values().collect()
    }

    fn take_event(&mut self, event: WorkerEvent) -> Vec<TaskChange> {
        match event {
            WorkerEvent::Report(worker, reply, sent) => self.take_report(&worker, reply, sent),
            WorkerEvent::Run(worker, report) => {
                let mut state = self.shared.state.borrow_mut();
                if let Some(task) = state.tasks.get_mut(&report.mark.task) {
                    task.stopping = false;
                }
                drop(state);
                self.take_run(&worker, &report).into_iter().collect()
            }
            WorkerEvent::Refused(worker, mark, reason) => {
                let run = TaskRun::Failed(reason);
                let report = TaskReport { mark, run };
                self.take_run(&worker, &report).into_iter().collect()
            }
            WorkerEvent::StopFailed(mark) => {
                if let Some(task) = self.shared.state.borrow_mut().tasks.get_mut(&mark.task) {
                    task.stopping = false;
                }
                Vec::new()
            }
            WorkerEvent::Lapsed(worker) => self.take_lapse(&worker),
        }
    }

    fn take_report(
        &mut self,
        worker: &WorkerId,
        reply: RenewReply,
        sent: TimePoint,
    ) -> Vec<TaskChange> {
        let mut changes = Vec::new();
        self.note_boot(worker, reply.boot);
        for report in &reply.runs {
            changes.extend(self.take_run(worker, report));
        }
        let missing = self.find_missing(worker, &reply, sent);
        changes.extend(missing);
        self.relieve(worker, &reply.usage);
        for report in &reply.usage {
            if self.shared.ledger.borrow().is_new(worker, report) {
                self.shared.state.borrow_mut().learn(worker, report);
            }
        }
        self.shared
            .ledger
            .borrow_mut()
            .take(&self.shared.state.borrow(), worker, reply.usage);
        changes
    }

    /// Throttles, restores or evicts one neighbour of a slowed latency-critical task.
    fn relieve(&self, worker: &WorkerId, usage: &[UsageReport]) {
        let now = self.shared.now();
        let tree = self.shared.settings.tree();
        let choice = self
            .shared
            .state
            .borrow_mut()
            .choose_relief(now, worker, usage, &tree);
        match choice {
            ReliefChoice::Keep => {}
            ReliefChoice::Throttle(task) => self.throttle(worker, task, THROTTLED_PERCENT),
            ReliefChoice::Restore(task) => self.throttle(worker, task, WHOLE_SIZE),
            ReliefChoice::Evict(task) => self.stop(worker, task),
        }
    }

    fn throttle(&self, worker: &WorkerId, task: TaskId, percent: u8) {
        let state = self.shared.state.borrow();
        let Some(row) = state.tasks.get(&task).and_then(|entry| entry.row.as_ref()) else {
            return;
        };
        let mark = TaskMark {
            task,
            epoch: row.epoch,
        };
        let call = throttle_run(self.shared.clone(), worker.clone(), mark, percent);
        spawn(call).detach();
    }

    /// A worker that started anew has forgotten what it was told to keep.
    fn note_boot(&self, worker: &WorkerId, boot: u64) {
        let mut state = self.shared.state.borrow_mut();
        if let Some(entry) = state.workers.get_mut(worker)
            && entry.boot != boot
        {
            entry.boot = boot;
            entry.usage_through = 0;
            entry.orphans.clear();
            entry.forget.clear();
        }
    }

    fn take_run(&self, worker: &WorkerId, report: &TaskReport) -> Option<TaskChange> {
        let now = self.shared.now();
        let mut state = self.shared.state.borrow_mut();
        let mark = report.mark;
        let attempts = state
            .part_of(mark.task)
            .map_or(1, |part| part.row.spec.attempts);
        let row = state
            .tasks
            .get(&mark.task)
            .and_then(|task| task.row.as_ref());
        let choice = decide_run(row, worker, mark, &report.run, attempts);
        match choice {
            RunChoice::Nothing => {
                let boot = state.workers.get(worker).map_or(0, |entry| entry.boot);
                if let Some(task) = state.tasks.get_mut(&mark.task) {
                    task.start = StartState::Running(boot);
                }
                None
            }
            RunChoice::Forget => {
                state.workers.get_mut(worker)?.forget.insert(mark);
                None
            }
            RunChoice::Orphan => {
                let entry = state.workers.get_mut(worker)?;
                entry.orphans.entry(mark).or_insert(now);
                None
            }
            RunChoice::Change(mut next) => {
                state.note_run_end(now, worker, &next);
                if next.state == TaskState::Waiting && state.cancelled.contains(&mark.task.job) {
                    next.state = TaskState::Cancelled;
                }
                Some(TaskChange {
                    task: mark.task,
                    next,
                    release: Some(worker.clone()),
                    reserve: None,
                })
            }
        }
    }

    /// Runs that should be at the worker and are not: started again, or lost with its memory.
    fn find_missing(
        &self,
        worker: &WorkerId,
        reply: &RenewReply,
        sent: TimePoint,
    ) -> Vec<TaskChange> {
        let mut state = self.shared.state.borrow_mut();
        let mut changes = Vec::new();
        for mark in state.marks_at(worker) {
            if reply.runs.iter().any(|run| run.mark == mark) {
                continue;
            }
            let Some(task) = state.tasks.get_mut(&mark.task) else {
                continue;
            };
            match task.start {
                StartState::Sending => {}
                StartState::Running(boot) if boot == reply.boot => {
                    // The report was on its way while the start was answered.
                    tracing::debug!(%worker, task = %mark.task, sent = sent.0, "run not in report");
                }
                StartState::Unsure => {
                    let shared = self.shared.clone();
                    spawn(start_run(shared, worker.clone(), mark)).detach();
                }
                StartState::Running(_) => {
                    let Some(mut next) = task.row.clone() else {
                        continue;
                    };
                    count(Counter::TasksLost);
                    next.state = TaskState::Waiting;
                    changes.push(TaskChange {
                        task: mark.task,
                        next,
                        release: Some(worker.clone()),
                        reserve: None,
                    });
                }
            }
        }
        changes
    }

    /// Every lease at a worker has lapsed: its tasks wait for another one.
    fn take_lapse(&self, worker: &WorkerId) -> Vec<TaskChange> {
        let state = self.shared.state.borrow();
        let lost: Vec<TaskChange> = state
            .marks_at(worker)
            .into_iter()
            .filter_map(|mark| {
                let mut next = state.tasks.get(&mark.task)?.row.clone()?;
                next.state = if state.cancelled.contains(&mark.task.job) {
                    TaskState::Cancelled
                } else {
                    TaskState::Waiting
                };
                Some(TaskChange {
                    task: mark.task,
                    next,
                    release: Some(worker.clone()),
                    reserve: None,
                })
            })
            .collect();
        if !lost.is_empty() {
            count_many(Counter::TasksLost, lost.len() as u64);
            tracing::warn!(%worker, tasks = lost.len(), "leases lapsed; tasks wait again");
        }
        lost
    }

    /// Waiting tasks of cancelled jobs end.
    fn cancel_waiting(&self) -> Vec<TaskChange> {
        let state = self.shared.state.borrow();
        if state.cancelled.is_empty() {
            return Vec::new();
        }
        state
            .queue
            .iter()
            .filter(|(_, _, task)| state.cancelled.contains(&task.job))
            .take(QUEUE_LOOK)
            .map(|(_, _, task)| TaskChange {
                task: *task,
                next: state.cancelled_row(*task),
                release: None,
                reserve: None,
            })
            .collect()
    }

    /// Places waiting tasks, urgent ones first; starts evictions where an urgent one needs room.
    fn place_waiting(&mut self, before: &[TaskChange]) -> Vec<TaskChange> {
        let now = self.shared.now();
        let waiting: Vec<TaskId> = {
            let state = self.shared.state.borrow();
            let changing = |task: &TaskId| before.iter().any(|change| change.task == *task);
            let tasks = state.queue.iter().map(|(_, _, task)| *task);
            tasks
                .filter(|task| !changing(task))
                .take(QUEUE_LOOK)
                .collect()
        };
        if waiting.is_empty() {
            return Vec::new();
        }
        let mut scratch = self.shared.state.borrow().table_without_stopping();
        for change in before {
            if let Some(worker) = &change.release
                && let Some(entry) = self.shared.state.borrow().workers.get(worker)
            {
                scratch.release(entry.key, change.task);
            }
        }
        {
            let mut state = self.shared.state.borrow_mut();
            let placed = state.placed_by_team();
            let placed = placed.iter().map(|(team, size)| (&**team, *size));
            state.quotas.begin(placed);
        }
        let tree = self.shared.settings.tree();
        let mut changes = Vec::new();
        for task in waiting {
            if changes.len() >= PLACE_GROUP {
                break;
            }
            if !self.take_quota(&tree, task) {
                continue;
            }
            match self.place_one(now, &tree, task, &mut scratch) {
                Some(change) => changes.push(change),
                None => self.put_quota_back(task),
            }
        }
        changes
    }

    /// Takes room for a task from its team's quota.
    fn take_quota(&self, tree: &SettingsTree, task: TaskId) -> bool {
        let mut state = self.shared.state.borrow_mut();
        let Some((team, size)) = state.charge_of(task) else {
            return false;
        };
        let quota = quota_of(tree, &team);
        let shard = self.shared.term.shard();
        state.quotas.take(shard, &team, size, quota)
    }

    fn put_quota_back(&self, task: TaskId) {
        let mut state = self.shared.state.borrow_mut();
        if let Some((team, size)) = state.charge_of(task) {
            state.quotas.put_back(&team, size);
        }
    }

    /// Asks for grants that are missing, and gives back what is not used.
    async fn adjust_quotas(&mut self) {
        if self.shared.now() < self.quota_due {
            return;
        }
        self.quota_due = self.shared.now() + QUOTA_PERIOD;
        if self.shared.state.borrow().queue.is_empty() {
            let mut state = self.shared.state.borrow_mut();
            let placed = state.placed_by_team();
            let placed = placed.iter().map(|(team, size)| (&**team, *size));
            state.quotas.begin(placed);
        }
        let book =
            std::cell::RefCell::new(std::mem::take(&mut self.shared.state.borrow_mut().quotas));
        let shard = self.shared.term.shard();
        let key = crate::rows::shard_key(shard);
        let deadline = self.shared.now() + COMMIT_SPAN;
        let tree = self.shared.settings.tree();
        let guard = (key.as_str(), self.shared.term.version());
        // In an outage the grants stay as they are.
        let _ = adjust_grants(&book, &self.shared.table, &tree, shard, guard, deadline).await;
        self.shared.state.borrow_mut().quotas = book.into_inner();
    }

    fn place_one(
        &mut self,
        now: TimePoint,
        tree: &SettingsTree,
        task: TaskId,
        scratch: &mut wax_policy::WorkerTable,
    ) -> Option<TaskChange> {
        let state = self.shared.state.borrow();
        let demand = state.demand(task)?;
        let avoid = state.avoided(task);
        let context = PlaceContext {
            pairs: &state.pairs,
            weights: weights_of(tree, &state.part_of(task)?.row.spec.team),
            avoid: &avoid,
            policy: self.shared.options.policy,
        };
        match scratch.choose(now, demand, context, &mut self.rng) {
            PlaceChoice::Place(key) => {
                let worker = state.worker_ids.get(&key)?.clone();
                let next = state.placed_row(task, &worker)?;
                let running = RunningTask {
                    task,
                    kind: demand.kind,
                    size: demand.size,
                    urgent: demand.urgent,
                    evictable: false,
                    saved: now,
                    settled: now,
                    due_today: false,
                };
                scratch.reserve(key, running).then_some(TaskChange {
                    task,
                    next,
                    release: None,
                    reserve: Some((worker, demand.size)),
                })
            }
            PlaceChoice::Evict(key, victims) => {
                let worker = state.worker_ids.get(&key)?.clone();
                drop(state);
                for victim in victims {
                    scratch.release(key, victim);
                    self.stop(&worker, victim);
                }
                None
            }
            PlaceChoice::Wait | PlaceChoice::Impossible => None,
        }
    }

    /// Begins to stop a placed task, unless that is under way.
    fn stop(&self, worker: &WorkerId, task: TaskId) {
        let mut state = self.shared.state.borrow_mut();
        let Some(entry) = state.tasks.get_mut(&task) else {
            return;
        };
        let Some(row) = entry.row.as_ref().filter(|_| !entry.stopping) else {
            return;
        };
        let mark = TaskMark {
            task,
            epoch: row.epoch,
        };
        entry.stopping = true;
        spawn(stop_run(self.shared.clone(), worker.clone(), mark)).detach();
    }

    fn stop_cancelled(&self) {
        let placed: Vec<(TaskId, WorkerId)> = {
            let state = self.shared.state.borrow();
            if state.cancelled.is_empty() {
                return;
            }
            state.cancelled_runs()
        };
        for (task, worker) in placed {
            self.stop(&worker, task);
        }
    }

    /// Stops runs without an allocation, once the ownership was confirmed after they were seen.
    fn stop_orphans(&self) {
        let confirmed = self.shared.term.confirmed();
        let due: Vec<(WorkerId, TaskMark)> = {
            let mut state = self.shared.state.borrow_mut();
            let mut due = Vec::new();
            for (worker, entry) in &mut state.workers {
                let marks: Vec<TaskMark> = entry
                    .orphans
                    .iter()
                    .filter(|(_, seen)| **seen < confirmed)
                    .map(|(mark, _)| *mark)
                    .collect();
                for mark in marks {
                    entry.orphans.remove(&mark);
                    due.push((worker.clone(), mark));
                }
            }
            due
        };
        for (worker, mark) in due {
            count(Counter::TasksOrphaned);
            tracing::warn!(%worker, task = %mark.task, epoch = %mark.epoch, "stopping an orphan");
            spawn(stop_run(self.shared.clone(), worker, mark)).detach();
        }
    }

    /// Commits a group; `None` where the round goes on.
    async fn commit(&mut self, changes: Vec<TaskChange>) -> Option<RoundEnd> {
        if changes.is_empty() {
            return None;
        }
        let group = build_group(&self.shared.state.borrow(), &self.shared.term, changes);
        if group.transaction.is_empty() {
            return None;
        }
        let mut sent = false;
        loop {
            let deadline = self.shared.now() + COMMIT_SPAN;
            let outcome = self
                .shared
                .table
                .commit_again(&group.transaction, deadline, sent)
                .await;
            match outcome {
                CommitOutcome::Committed(version) => {
                    self.finish_commit(&group, version);
                    return None;
                }
                CommitOutcome::Conflict(keys) => {
                    tracing::debug!(shard = %self.shared.term.shard(), ?keys, "commit refused");
                    let own = crate::rows::shard_key(self.shared.term.shard());
                    if keys.iter().any(|key| **key == *own) {
                        self.shared.term.end();
                        return Some(RoundEnd::Ended);
                    }
                    return Some(RoundEnd::Reload);
                }
                CommitOutcome::NotSent(_) => sleep(COMMIT_PAUSE).await,
                CommitOutcome::Unknown(_) => sent = true,
            }
            if !self.shared.holds() {
                return Some(RoundEnd::Ended);
            }
        }
    }

    fn finish_commit(&self, group: &ChangeGroup, version: wax_types::RowVersion) {
        let now = self.shared.now();
        group.apply(&mut self.shared.state.borrow_mut(), now, version);
        for change in &group.changes {
            count_change(&change.next);
            if let Some((worker, _)) = &change.reserve {
                let mark = TaskMark {
                    task: change.task,
                    epoch: change.next.epoch,
                };
                spawn(start_run(self.shared.clone(), worker.clone(), mark)).detach();
            }
        }
    }

    /// Takes new parts and cancellations, then deletes the notes.
    async fn read_notes(&mut self) {
        if self.shared.now() < self.inbox_due {
            return;
        }
        self.inbox_due = self.shared.now() + INBOX_PERIOD;
        let shard = self.shared.term.shard();
        let Ok(notes) = read_inbox(&self.shared.table, shard).await else {
            return;
        };
        let mut taken = Vec::new();
        for note in notes {
            if self.take_note(note.value).await.is_err() {
                break;
            }
            taken.push((note.key, note.version));
        }
        if !taken.is_empty() {
            let transaction = build_removal(&self.shared.term, taken);
            let deadline = self.shared.now() + COMMIT_SPAN;
            // A note that stays is taken again, which changes nothing.
            let _ = self.shared.table.commit(&transaction, deadline).await;
        }
    }

    async fn take_note(&self, note: InboxRow) -> Result<(), WaxError> {
        match note {
            InboxRow::Cancel(job) => {
                self.shared.state.borrow_mut().cancelled.insert(job);
            }
            InboxRow::Part(job, first) => {
                let key = part_key(self.shared.term.shard(), job, first);
                if let Some(part) = self.shared.table.read::<PartRow>(&key).await? {
                    let mut state = self.shared.state.borrow_mut();
                    state.add_part(part.value, part.version);
                }
            }
        }
        Ok(())
    }

    /// Takes workers that the platform lists anew, and addresses that changed.
    async fn refresh_workers(&mut self) {
        if self.shared.now() < self.directory_due {
            return;
        }
        self.directory_due = self.shared.now() + DIRECTORY_PERIOD;
        let Ok(workers) = self.shared.directory.list().await else {
            return;
        };
        let shards = self.shared.options.shards;
        let own = self.shared.term.shard();
        for info in workers {
            if shard_of_worker(&info.id, shards) == own {
                self.refresh_worker(info);
            }
        }
    }

    fn refresh_worker(&self, info: WorkerInfo) {
        let now = self.shared.now();
        let mut state = self.shared.state.borrow_mut();
        if let Some(entry) = state.workers.get_mut(&info.id) {
            entry.info.address = info.address;
            return;
        }
        let worker = info.id.clone();
        tracing::info!(%worker, "worker listed");
        let contact = WorkerContact::after_takeover(now, &self.shared.options.terms);
        add_worker(&mut state, info, None, contact, now);
        drop(state);
        spawn(keep_worker(self.shared.clone(), worker)).detach();
    }
}

/// What counts for a team, from the settings in force.
fn weights_of(tree: &SettingsTree, team: &str) -> FirmWeights {
    let settings = tree.resolve(&NodePath::team(team));
    FirmWeights {
        tail: settings.weight_tail.into(),
        throughput: settings.weight_throughput.into(),
        eviction: settings.weight_eviction.into(),
    }
}

fn count_change(row: &TaskRow) {
    let counter = match &row.state {
        TaskState::Placed(_) => Counter::TasksPlaced,
        TaskState::Done(_) => Counter::TasksDone,
        TaskState::Waiting => Counter::TasksEvicted,
        TaskState::Failed(_) => Counter::TasksFailed,
        TaskState::Cancelled => return,
    };
    count(counter);
}

impl ShardState {
    /// Decides what to do about the worst slowdown of a latency-critical task at a worker.
    fn choose_relief(
        &mut self,
        now: TimePoint,
        worker: &WorkerId,
        usage: &[UsageReport],
        tree: &SettingsTree,
    ) -> ReliefChoice {
        let Some(entry) = self.workers.get_mut(worker) else {
            return ReliefChoice::Keep;
        };
        let Some(slot) = self.table.get(entry.key) else {
            return ReliefChoice::Keep;
        };
        let worst = usage
            .iter()
            .filter_map(|report| {
                let mut urgent = slot.tasks().iter().filter(|task| task.urgent);
                let task = urgent.find(|task| task.task == report.mark.task)?;
                Some((*task, f64::from(report.slowdown_percent) / 100.0 - 1.0))
            })
            .max_by(|(_, a), (_, b)| a.total_cmp(b));
        let Some((victim, excess)) = worst else {
            return ReliefChoice::Keep;
        };
        let part = self
            .tasks
            .get(&victim.task)
            .and_then(|task| self.parts.get(&task.part));
        let weights = part.map_or_else(FirmWeights::default, |part| {
            weights_of(tree, &part.row.spec.team)
        });
        entry
            .relief
            .decide(now, slot, &victim, excess, &self.pairs, weights)
    }

    /// Forgets stops that an earlier round began.
    fn queue_cancelled_stops(&mut self) {
        for task in self.tasks.values_mut() {
            task.stopping = false;
        }
    }

    /// Whose quota a task is taken from, and how much of it.
    fn charge_of(&self, task: TaskId) -> Option<(Box<str>, ResourceVector)> {
        let size = self.demand(task)?.size;
        let team = self.part_of(task)?.row.spec.team.clone();
        Some((team, size))
    }

    /// The row of a task that is cancelled before it runs again.
    fn cancelled_row(&self, task: TaskId) -> TaskRow {
        let row = self.tasks.get(&task).and_then(|entry| entry.row.clone());
        TaskRow {
            state: TaskState::Cancelled,
            ..row.unwrap_or(TaskRow {
                epoch: wax_types::TaskEpoch::default(),
                state: TaskState::Cancelled,
                failures: 0,
                failed_on: Vec::new(),
                checkpoint: None,
                evictions: 0,
            })
        }
    }

    /// The workers as they will be once the stops under way are done.
    ///
    /// A placement that comes too early is left out of the commit; it keeps others from evicting
    /// more than is needed.
    fn table_without_stopping(&self) -> wax_policy::WorkerTable {
        let mut table = self.table.clone();
        for (task, entry) in self.tasks.iter().filter(|(_, entry)| entry.stopping) {
            if let Some(TaskState::Placed(worker)) = entry.row.as_ref().map(|row| &row.state)
                && let Some(worker) = self.workers.get(worker)
            {
                table.release(worker.key, *task);
            }
        }
        table
    }

    /// Placed tasks of cancelled jobs.
    fn cancelled_runs(&self) -> Vec<(TaskId, WorkerId)> {
        self.tasks
            .iter()
            .filter(|(task, entry)| self.cancelled.contains(&task.job) && !entry.stopping)
            .filter_map(|(task, entry)| match &entry.row.as_ref()?.state {
                TaskState::Placed(worker) => Some((*task, worker.clone())),
                _ => None,
            })
            .collect()
    }

    /// The workers on which a task failed.
    fn avoided(&self, task: TaskId) -> Vec<wax_policy::WorkerKey> {
        let row = self.tasks.get(&task).and_then(|entry| entry.row.as_ref());
        row.map_or_else(Vec::new, |row| {
            let known = row.failed_on.iter();
            let keys: Vec<_> = known
                .filter_map(|worker| self.workers.get(worker).map(|entry| entry.key))
                .collect();
            // Where it failed everywhere, it may be tried anywhere.
            if keys.len() >= self.workers.len() {
                Vec::new()
            } else {
                keys
            }
        })
    }

    /// Learns about the worker from the end of a run: one that fails every task is quarantined.
    fn note_run_end(&mut self, now: TimePoint, worker: &WorkerId, next: &TaskRow) {
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        let failed = next.failed_on.last() == Some(worker) && next.failures > 0;
        if matches!(next.state, TaskState::Done(_)) {
            entry.failures = 0;
            entry.quarantined_until = None;
        } else if failed {
            entry.failures += 1;
        }
        if entry.failures >= FAILURES_TO_QUARANTINE {
            count(Counter::WorkersQuarantined);
            tracing::warn!(%worker, failures = entry.failures, "worker quarantined");
            entry.quarantined_until = Some(now + QUARANTINE_SPAN);
            // The probe after the quarantine must succeed, or it begins again.
            entry.failures = FAILURES_TO_QUARANTINE - 1;
            let key = entry.key;
            self.table.set_open(key, false);
        }
    }
}
