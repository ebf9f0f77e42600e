//! The owner's side of a link with an agent.

use crate::dispatch::placement_frame;
use crate::interference_log::PendingInterference;
use crate::owner_term::{OwnerTerm, RESERVED_TOKENS};
use crate::shared::PoolShared;
use crate::writer::store_silence;
use compio::runtime::spawn;
use compio::time::timeout;
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use futures_util::future::{Either, select};
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use wax_batch::{
    BootId, CrashVerdict, EndPage, JobScheduler, LostRun, RunEnd, RunId, RunReport, StartRefusal,
    WorkerKey, WorkerView,
};
use wax_trace::{Counter, count, count_many};
use wax_types::{TimePoint, wall_clock_ms};
use wax_wire::{
    AckEnds, AgentHello, AllRunsEnded, BootCrashed, DrainFrame, InterferenceFrame,
    InterferenceUpdate, LeaseGrant, LinkHeartbeat, OwnerWelcome, PoolBody, PoolReader, PoolWriter,
    RunUpdates, WorkerAccepted, WorkerSnapshot,
};

/// Serves one link until it breaks, becomes silent, or the term ends.
pub(crate) async fn serve_agent(
    shared: &PoolShared,
    term: &Rc<OwnerTerm>,
    hello: AgentHello,
    reader: PoolReader,
    writer: PoolWriter,
) {
    let node: Box<str> = hello.node.into();
    let (link, token) = term.next_fencing_token();
    let (outbox, inbox) = unbounded();
    let welcome = OwnerWelcome {
        epoch: term.epoch,
        token,
        reserved_tokens: RESERVED_TOKENS,
    };
    // The queue is new and accepts the first message.
    let _ = outbox.unbounded_send(PoolBody::Welcome(welcome));
    open_link(shared, term, &node, link, &outbox);
    let ended_boots: Vec<BootId> = hello.ended_boots.iter().map(BootId::from).collect();
    for boot in &ended_boots {
        // The report of the end may have been lost with the previous link.
        term.worker_ended(&node, boot, shared.now());
    }
    term.record_ended_boots(shared, ended_boots);
    let writer_task = spawn(write_link(writer, inbox));
    let agent_link = AgentLink {
        shared,
        term,
        node: &node,
        link,
        outbox,
        accepted_boot: RefCell::default(),
        rounds_sent: Cell::new(term.interference_log.borrow().closed_rounds()),
    };
    let reason = {
        let read = pin!(agent_link.read(reader));
        let ended = pin!(term.ended.wait());
        match select(read, ended).await {
            Either::Left((reason, _)) => reason,
            Either::Right(_) => "the term has ended",
        }
    };
    drop(writer_task);
    close_link(shared, term, &node, link, reason);
}

pub(crate) async fn write_link(mut writer: PoolWriter, mut inbox: UnboundedReceiver<PoolBody>) {
    if let Err(error) = writer.forward(&mut inbox).await {
        tracing::info!(%error, "could not write to a peer");
    }
}

fn open_link(
    shared: &PoolShared,
    term: &OwnerTerm,
    node: &str,
    link: u64,
    outbox: &UnboundedSender<PoolBody>,
) {
    let now = shared.now();
    let known = term
        .agents
        .borrow_mut()
        .open(node, link, outbox, now, &shared.timeouts);
    if let Some(worker) = known {
        term.scheduler
            .borrow_mut()
            .set_worker_reachable(worker, false);
    }
    tracing::info!(agent = node, link, epoch = term.epoch, "agent linked");
}

fn close_link(shared: &PoolShared, term: &OwnerTerm, node: &str, link: u64, reason: &str) {
    let now = shared.now();
    let closed = term
        .agents
        .borrow_mut()
        .close(node, link, now, &shared.timeouts);
    let Some(known) = closed else {
        return;
    };
    if let Some(worker) = known {
        term.scheduler
            .borrow_mut()
            .set_worker_reachable(worker, false);
    }
    tracing::warn!(agent = node, link, why = reason, "agent unlinked");
}

/// What to do after a message of an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LinkStep {
    /// Read the next message.
    Continue,
    /// Close the link for this reason. The agent opens another one and sends its run list there.
    Close(&'static str),
}

struct AgentLink<'a> {
    shared: &'a PoolShared,
    term: &'a Rc<OwnerTerm>,
    node: &'a str,
    link: u64,
    outbox: UnboundedSender<PoolBody>,
    /// Boot whose run list was accepted on this link. The owner may have ordered starts since, which
    /// a further list of the boot may lack.
    accepted_boot: RefCell<Option<BootId>>,
    /// Number of rounds of interference updates that the agent has received.
    rounds_sent: Cell<u64>,
}

impl AgentLink<'_> {
    async fn read(&self, mut reader: PoolReader) -> &'static str {
        loop {
            let body = match timeout(self.shared.timeouts.link, reader.read()).await {
                Ok(Ok(Some(body))) => body,
                Ok(Ok(None)) => return "the agent closed the link",
                Ok(Err(_)) => return "the link broke",
                Err(_) => return "the agent was silent",
            };
            if !self.is_current() {
                return "the agent has a newer link";
            }
            self.record_contact();
            if let LinkStep::Close(reason) = self.handle(body).await {
                return reason;
            }
        }
    }

    fn is_current(&self) -> bool {
        self.term.agents.borrow().is_current(self.node, self.link)
    }

    fn record_contact(&self) {
        if let Some(worker) = self.worker() {
            let now = self.shared.now();
            self.term.scheduler.borrow_mut().record_contact(worker, now);
        }
    }

    fn send(&self, body: PoolBody) {
        // If the writer has failed, the next read ends the link.
        let _ = self.outbox.unbounded_send(body);
    }

    async fn handle(&self, body: PoolBody) -> LinkStep {
        match body {
            PoolBody::WorkerSnapshot(snapshot) => return self.accept_worker(snapshot).await,
            PoolBody::Heartbeat(heartbeat) => self.grant_lease(&heartbeat),
            PoolBody::WorkerChanged(frame) => self.worker_changed(frame.into()),
            PoolBody::BootCrashed(crash) => self.boot_crashed(&crash).await,
            PoolBody::AllRunsEnded(message) => self.worker_ended(&message),
            PoolBody::RunUpdates(updates) => self.apply_run_updates(&updates),
            PoolBody::Interference(updates) => self.merge_interference(&updates),
            other => tracing::warn!(
                ?other,
                agent = self.node,
                "unexpected message from an agent"
            ),
        }
        LinkStep::Continue
    }

    fn grant_lease(&self, heartbeat: &LinkHeartbeat) {
        if heartbeat.leases_ms.is_some() {
            self.record_leases(heartbeat.leases_ms);
        }
        let now = self.shared.now();
        let timeouts = &self.shared.timeouts;
        let validity_left = (self.term.confirmed_at.get() + timeouts.term_validity).since(now);
        let valid = if self.term.releasing.is_raised() {
            Duration::ZERO
        } else {
            validity_left.min(timeouts.grant)
        };
        // The agent counts the grant from when it sent the heartbeat, so its authority ends before
        // this time.
        self.term
            .agents
            .borrow_mut()
            .extend_grant(self.node, now + valid);
        self.send_interference(now);
        self.send(PoolBody::Grant(LeaseGrant {
            sent_us: heartbeat.sent_us,
            valid_ms: valid.as_millis() as u64,
            store_lost: store_silence(self.term, now) > timeouts.takeover_if_reachable,
            overload: self.term.overload.get() as f32,
            period_ms: self.term.agents.borrow().heartbeat_period().as_millis() as u32,
            drains: DrainFrame::new(&self.shared.drains.borrow(), now),
            ..Default::default()
        }));
    }

    /// Sends changed interference estimates together with the answer to a heartbeat, so that the
    /// agent wakes up only once.
    fn send_interference(&self, now: TimePoint) {
        let mut log = self.term.interference_log.borrow_mut();
        let pending = log.updates_after(self.rounds_sent.get(), now);
        self.rounds_sent.set(log.closed_rounds());
        drop(log);
        match pending {
            PendingInterference::Nothing => {}
            PendingInterference::Changes(updates) => self.send(PoolBody::Interference(updates)),
            PendingInterference::All => {
                self.send(PoolBody::Interference(self.term.interference_snapshot()))
            }
        }
    }

    /// Takes over a worker's runs once the store has a row that permits orders to the worker. Only
    /// the first run list of a boot on a link is newer than all orders on that link.
    async fn accept_worker(&self, snapshot: WorkerSnapshot) -> LinkStep {
        let listed_boot = snapshot.worker.boot();
        if self.accepted_boot.borrow().as_ref() == Some(&listed_boot) {
            return LinkStep::Close("the agent sent a second run list");
        }
        self.record_leases(snapshot.leases_ms);
        self.term.loaded.wait().await;
        self.wait_row_stored(&listed_boot).await;
        if self.term.ended.is_raised() || !self.is_current() {
            return LinkStep::Continue;
        }
        let (now, now_ms) = (self.shared.now(), wall_clock_ms());
        let view: WorkerView = snapshot.worker.into();
        let runs: Vec<RunReport> = snapshot.runs.iter().map(Into::into).collect();
        let page = EndPage {
            ends: snapshot.ends.iter().map(Into::into).collect(),
            has_more: snapshot.has_more_ends,
        };
        let boot = view.boot.clone();
        let worker = self.register_worker(view, page.has_more, now);
        self.log_listed_ends(worker, &runs, &page);
        let mut scheduler = self.term.scheduler.borrow_mut();
        scheduler.reconcile_worker(worker, &runs, &page, now, now_ms);
        *self.accepted_boot.borrow_mut() = Some(boot.clone());
        let mut placements = Vec::with_capacity(runs.len());
        for run in &runs {
            let task = run.run_id.task;
            let step = scheduler
                .job(task.job)
                .and_then(|job| job.spec.steps.get(usize::from(task.step)));
            placements.extend(step.map(|step| placement_frame(run.run_id, step)));
        }
        let cursor = scheduler.acknowledged_end(worker);
        drop(scheduler);
        tracing::info!(agent = self.node, link = self.link, worker = %boot, list = snapshot.list, runs = runs.len(), ends = page.ends.len(), has_more_ends = page.has_more, "worker taken over");
        let accepted = WorkerAccepted {
            worker: boot.worker_id().into(),
            placements,
            started_ms: boot.started_ms(),
            list: snapshot.list,
        };
        self.send(PoolBody::WorkerAccepted(accepted));
        if self.term.needs_all_pairs(snapshot.known_pairs) {
            self.send(PoolBody::Interference(self.term.interference_snapshot()));
        }
        // An acknowledgement may have been lost with the previous link.
        self.send(PoolBody::Ack(AckEnds::new(&boot, cursor)));
        self.term.dispatch.notify(usize::MAX);
        LinkStep::Continue
    }

    /// Records for how long leases on the worker may be valid by its agent's account; `None` from an
    /// agent of an older version, whose worker may hold the longest lease.
    fn record_leases(&self, leases_ms: Option<u64>) {
        let timeouts = &self.shared.timeouts;
        let longest = timeouts.expiry_of_any_lease();
        let left = leases_ms.map_or(longest, |leases_ms| {
            Duration::from_millis(leases_ms).saturating_add(timeouts.clock_slack)
        });
        let end = self.shared.now() + left.min(longest);
        self.term.agents.borrow_mut().extend_leases(self.node, end);
    }

    /// Logs the ends in a worker's snapshot that this term has not received yet, and the runs that
    /// the worker should have but does not list. Without these lines the runs that end between two
    /// owners or two links would seem to go on.
    fn log_listed_ends(&self, worker: WorkerKey, runs: &[RunReport], page: &EndPage) {
        let scheduler = self.term.scheduler.borrow();
        let Some((_, record)) = scheduler.workers().find(|(key, _)| *key == worker) else {
            return;
        };
        for end in &page.ends {
            if end.number > record.last_end_number {
                log_run_end(self.node, end.run_id, &format!("{:?}", end.kind));
            }
        }
        let listed: HashSet<RunId> = runs
            .iter()
            .map(|run| run.run_id)
            .chain(page.ends.iter().map(|end| end.run_id))
            .collect();
        let unlisted = record.runs.keys().filter(|run| !listed.contains(run));
        if page.has_more {
            let unlisted = unlisted.count();
            tracing::info!(
                agent = self.node,
                unlisted,
                "waiting for further ends of the worker"
            );
            return;
        }
        for run_id in unlisted {
            log_run_end(self.node, *run_id, "Unlisted");
        }
    }

    fn register_worker(&self, view: WorkerView, has_more_ends: bool, now: TimePoint) -> WorkerKey {
        let before = self.term.agents.borrow().worker(self.node);
        let boot = view.boot.clone();
        let key = match before {
            Some((key, known)) if known == boot => {
                let mut scheduler = self.term.scheduler.borrow_mut();
                scheduler.update_worker(key, view);
                scheduler.set_worker_reachable(key, true);
                key
            }
            Some((before, _)) => {
                let key = self.term.scheduler.borrow_mut().add_worker(view, self.node);
                if has_more_ends {
                    // The end of the former boot was not reported: this one may have run its tasks.
                    self.term.scheduler.borrow_mut().move_runs(before, key, now);
                }
                self.term.remove_worker(before, now);
                key
            }
            None => self.term.scheduler.borrow_mut().add_worker(view, self.node),
        };
        let mut agents = self.term.agents.borrow_mut();
        if has_more_ends {
            agents.set_listed(self.node, key, &boot);
        } else {
            agents.set_reconciled(self.node, key, &boot);
        }
        key
    }

    /// Completes the reconciliation of a worker whose first report lacked ends.
    fn finish_reconciliation(&self, scheduler: &mut JobScheduler, now: TimePoint, now_ms: u64) {
        let mut agents = self.term.agents.borrow_mut();
        if let Some((worker, boot)) = agents.worker(self.node) {
            scheduler.finish_reconciliation(worker, now, now_ms);
            agents.set_reconciled(self.node, worker, &boot);
            tracing::info!(agent = self.node, worker = %boot, "all ends of the worker are known");
        }
    }

    /// Waits until the store has a row that permits orders to the worker.
    async fn wait_row_stored(&self, boot: &BootId) {
        loop {
            let is_stored = self.term.agents.borrow_mut().ensure_row(self.node, boot);
            if is_stored || self.term.ended.is_raised() || !self.is_current() {
                return;
            }
            let Some(listener) = self.term.agents.borrow().listen_row(self.node) else {
                return;
            };
            self.term.write.notify(usize::MAX);
            listener.await;
        }
    }

    fn worker(&self) -> Option<WorkerKey> {
        let known = self.term.agents.borrow().worker(self.node);
        known.map(|(key, _)| key)
    }

    fn worker_changed(&self, view: WorkerView) {
        let known = self.term.agents.borrow().worker(self.node);
        if let Some((key, _)) = known.filter(|(_, boot)| *boot == view.boot) {
            self.term.scheduler.borrow_mut().update_worker(key, view);
            self.term.dispatch.notify(usize::MAX);
        }
    }

    /// Handles the crash of a worker, which may have been caused by the tasks that ran there.
    async fn boot_crashed(&self, crash: &BootCrashed) {
        self.term.loaded.wait().await;
        if self.term.ended.is_raised() {
            return;
        }
        let runs: Vec<LostRun> = crash.runs.iter().map(Into::into).collect();
        let (now, now_ms) = (self.shared.now(), wall_clock_ms());
        let ended_runs = self
            .term
            .scheduler
            .borrow_mut()
            .record_crash(self.node, &runs, now, now_ms);
        for ended_run in ended_runs {
            let given_up = ended_run.verdict == CrashVerdict::GivenUp;
            count_many(Counter::TasksGivenUp, given_up.into());
            tracing::info!(
                task = %ended_run.run_id.task,
                run = ended_run.run_id.run,
                worker = %crash.boot(),
                ran_ms = ended_run.min_run_time.as_millis() as u64,
                crashes = ended_run.crashes,
                verdict = ?ended_run.verdict,
                "run ended with its worker"
            );
        }
        self.term.write.notify(usize::MAX);
    }

    fn worker_ended(&self, message: &AllRunsEnded) {
        let boot = message.boot();
        tracing::warn!(agent = self.node, worker = %boot, dead = message.boot_ended, "worker is gone");
        self.accepted_boot
            .borrow_mut()
            .take_if(|accepted_boot| *accepted_boot == boot);
        self.term.worker_ended(self.node, &boot, self.shared.now());
        if message.boot_ended {
            self.term.record_ended_boots(self.shared, [boot]);
        }
    }

    /// Merges the interference estimates of an agent, and queues the changed ones for all agents.
    fn merge_interference(&self, updates: &InterferenceUpdate) {
        let Some(worker) = self.worker() else {
            return;
        };
        let mut scheduler = self.term.scheduler.borrow_mut();
        for update in &updates.headrooms {
            scheduler.set_headroom(worker, &update.serving, f64::from(update.headroom));
        }
        let mut merged = Vec::with_capacity(updates.pairs.len());
        for pair in &updates.pairs {
            let estimate =
                scheduler.merge_interference(&pair.serving, &pair.best_effort, pair.interference());
            merged.push(InterferenceFrame::new(
                &pair.serving,
                &pair.best_effort,
                estimate,
            ));
        }
        drop(scheduler);
        self.term
            .interference_unstored
            .set(!merged.is_empty() || self.term.interference_unstored.get());
        let now = self.shared.now();
        let mut log = self.term.interference_log.borrow_mut();
        for pair in merged {
            log.record(pair, now);
        }
    }

    fn apply_run_updates(&self, updates: &RunUpdates) {
        let Some(worker) = self.worker() else {
            return;
        };
        if self.accepted_boot.borrow().is_none() {
            // Ends that were lost with the previous link have lower numbers. If the ends in this
            // message were recorded first, the lost ones would be skipped and their tasks started
            // again. The worker's snapshot contains the ends in this message, too.
            tracing::info!(
                agent = self.node,
                ends = updates.ends.len(),
                "ignored run updates before the worker's runs were reconciled"
            );
            return;
        }
        let (now, now_ms) = (self.shared.now(), wall_clock_ms());
        let mut scheduler = self.term.scheduler.borrow_mut();
        if !updates.started.is_empty()
            && let Some(limit) = scheduler.start_limit(worker)
        {
            tracing::info!(
                agent = self.node,
                unanswered = limit.unanswered,
                "worker answers starts again"
            );
        }
        for run_id in &updates.started {
            scheduler.record_start(worker, RunId::from(run_id), now);
        }
        for refusal in &updates.refused {
            let (run_id, reason) = refusal.decode();
            tracing::info!(task = %run_id.task, run = run_id.run, agent = self.node, why = ?reason, "start refused");
            scheduler.record_refusal(worker, run_id, reason, now, now_ms);
            if reason == StartRefusal::Unanswered
                && let Some(limit) = scheduler.start_limit(worker)
            {
                count(Counter::StartLimits);
                let backoff_ms = limit.until.since(now).as_millis() as u64;
                tracing::info!(
                    agent = self.node,
                    unanswered = limit.unanswered,
                    backoff_ms,
                    "starts on the worker are limited"
                );
            }
        }
        for report in &updates.running {
            scheduler.adopt_run(worker, &report.into(), now);
        }
        for end in &updates.ends {
            let end = RunEnd::from(end);
            log_run_end(self.node, end.run_id, &format!("{:?}", end.kind));
            scheduler.record_end(worker, &end, now, now_ms);
        }
        if updates.ends_complete {
            self.finish_reconciliation(&mut scheduler, now, now_ms);
        }
        drop(scheduler);
        self.term.dispatch.notify(usize::MAX);
    }
}

fn log_run_end(node: &str, run_id: RunId, how: &str) {
    tracing::info!(task = %run_id.task, run = run_id.run, agent = node, how, "run ended");
}
