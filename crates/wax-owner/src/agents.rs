//! The owner's side of a link with an agent.

use crate::dispatch::seat_frame;
use crate::press_log::PressStep;
use crate::shared::PoolShared;
use crate::tenure::Tenure;
use crate::writer::silent_for;
use compio::runtime::spawn;
use compio::time::timeout;
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use futures_util::future::{Either, select};
use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use wax_batch::{BootId, CrashVerdict, LostRun, RunEnd, RunMark, RunReport, WorkerKey, WorkerView};
use wax_trace::{Counter, count_many};
use wax_types::{TimePoint, wall_clock_ms};
use wax_wire::{
    AckEnds, AgentHello, AllRunsEnded, BootCrashed, DrainFrame, InterferenceFrame,
    InterferenceUpdate, LeaseGrant, LinkHeartbeat, OwnerWelcome, PoolBody, PoolReader, PoolWriter,
    RunUpdates, WorkerAccepted, WorkerSnapshot,
};

/// Serves one link until it breaks, falls silent, or the term ends.
pub(crate) async fn serve_agent(
    shared: &PoolShared,
    tenure: &Rc<Tenure>,
    hello: AgentHello,
    reader: PoolReader,
    writer: PoolWriter,
) {
    let node: Box<str> = hello.node.into();
    let (link, token) = tenure.next_token();
    let (outbox, inbox) = unbounded();
    let welcome = OwnerWelcome {
        epoch: tenure.epoch,
        token,
    };
    // The queue is new: it takes the first message.
    let _ = outbox.unbounded_send(PoolBody::Welcome(welcome));
    open_link(shared, tenure, &node, link, &outbox);
    let dead: Vec<BootId> = hello.ended_boots.iter().map(BootId::from).collect();
    for boot in &dead {
        // The word of its end may have been lost with the link before.
        tenure.worker_gone(&node, boot, shared.now());
    }
    tenure.note_dead(shared, dead);
    let writing = spawn(write_link(writer, inbox));
    let link_life = AgentLink {
        shared,
        tenure,
        node: &node,
        link,
        outbox,
        is_compared: Cell::new(false),
        presses_told: Cell::new(tenure.press_log.borrow().closed()),
    };
    let why = {
        let read = pin!(link_life.read(reader));
        let over = pin!(tenure.over.wait());
        match select(read, over).await {
            Either::Left((why, _)) => why,
            Either::Right(_) => "the term has ended",
        }
    };
    drop(writing);
    close_link(shared, tenure, &node, link, why);
}

pub(crate) async fn write_link(mut writer: PoolWriter, mut inbox: UnboundedReceiver<PoolBody>) {
    if let Err(error) = writer.forward(&mut inbox).await {
        tracing::info!(%error, "writing to a peer failed");
    }
}

fn open_link(
    shared: &PoolShared,
    tenure: &Tenure,
    node: &str,
    link: u64,
    outbox: &UnboundedSender<PoolBody>,
) {
    let now = shared.now();
    let known = tenure
        .agents
        .borrow_mut()
        .open(node, link, outbox, now, &shared.spans);
    if let Some(worker) = known {
        tenure.book.borrow_mut().worker_reachable(worker, false);
    }
    tracing::info!(agent = node, link, epoch = tenure.epoch, "agent linked");
}

fn close_link(shared: &PoolShared, tenure: &Tenure, node: &str, link: u64, why: &str) {
    let now = shared.now();
    let closed = tenure
        .agents
        .borrow_mut()
        .close(node, link, now, &shared.spans);
    let Some(known) = closed else {
        return;
    };
    if let Some(worker) = known {
        tenure.book.borrow_mut().worker_reachable(worker, false);
    }
    tracing::warn!(agent = node, link, why, "agent unlinked");
}

struct AgentLink<'a> {
    shared: &'a PoolShared,
    tenure: &'a Rc<Tenure>,
    node: &'a str,
    link: u64,
    outbox: UnboundedSender<PoolBody>,
    /// Whether all that is on the worker was told on this link.
    is_compared: Cell<bool>,
    /// How many rounds of changed presses it was told.
    presses_told: Cell<u64>,
}

impl AgentLink<'_> {
    async fn read(&self, mut reader: PoolReader) -> &'static str {
        loop {
            let body = match timeout(self.shared.spans.link, reader.read()).await {
                Ok(Ok(Some(body))) => body,
                Ok(Ok(None)) => return "the agent closed it",
                Ok(Err(_)) => return "it broke",
                Err(_) => return "the agent is silent",
            };
            if !self.is_current() {
                return "the agent has a newer link";
            }
            self.note_heard();
            self.take(body).await;
        }
    }

    fn is_current(&self) -> bool {
        self.tenure.agents.borrow().is_current(self.node, self.link)
    }

    fn note_heard(&self) {
        if let Some(worker) = self.worker() {
            let now = self.shared.now();
            self.tenure.book.borrow_mut().worker_heard(worker, now);
        }
    }

    fn send(&self, body: PoolBody) {
        // A writer that has failed ends the link at its next read.
        let _ = self.outbox.unbounded_send(body);
    }

    async fn take(&self, body: PoolBody) {
        match body {
            PoolBody::Heartbeat(ping) => self.grant(&ping),
            PoolBody::WorkerSnapshot(up) => self.worker_up(up).await,
            PoolBody::WorkerChanged(frame) => self.worker_changed(frame.into()),
            PoolBody::BootCrashed(crash) => self.boot_crashed(&crash).await,
            PoolBody::AllRunsEnded(gone) => self.worker_gone(&gone),
            PoolBody::RunUpdates(news) => self.news(&news),
            PoolBody::Interference(news) => self.presses(&news),
            other => tracing::warn!(?other, agent = self.node, "unexpected message of an agent"),
        }
    }

    fn grant(&self, ping: &LinkHeartbeat) {
        let now = self.shared.now();
        let spans = &self.shared.spans;
        let acting_left = (self.tenure.confirmed.get() + spans.acting).since(now);
        let valid = if self.tenure.letting_go.is_raised() {
            Duration::ZERO
        } else {
            acting_left.min(spans.grant)
        };
        // The heartbeat was sent before now, so that the grant ends before this.
        self.tenure
            .agents
            .borrow_mut()
            .granted(self.node, now + valid);
        self.tell_presses(now);
        self.send(PoolBody::Grant(LeaseGrant {
            sent_us: ping.sent_us,
            valid_ms: valid.as_millis() as u64,
            store_lost: silent_for(self.tenure, now) > spans.patience,
            overload: self.tenure.overload.get() as f32,
            period_ms: self.tenure.agents.borrow().period().as_millis() as u32,
            drains: DrainFrame::new(&self.shared.drains.borrow(), now),
            ..Default::default()
        }));
    }

    /// Presses that have changed go with the answer to a heartbeat: the agent wakes up once for both.
    fn tell_presses(&self, now: TimePoint) {
        let mut log = self.tenure.press_log.borrow_mut();
        let step = log.news_after(self.presses_told.get(), now);
        self.presses_told.set(log.closed());
        drop(log);
        match step {
            PressStep::Nothing => {}
            PressStep::Changes(news) => self.send(PoolBody::Interference(news)),
            PressStep::All => self.send(PoolBody::Interference(self.tenure.all_presses())),
        }
    }

    /// Takes over a worker's runs, once the store knows that this agent may be given orders.
    async fn worker_up(&self, up: WorkerSnapshot) {
        self.tenure.loaded.wait().await;
        self.store_row(&up.worker.boot()).await;
        if self.tenure.over.is_raised() || !self.is_current() {
            return;
        }
        let (now, now_ms) = (self.shared.now(), wall_clock_ms());
        let view: WorkerView = up.worker.into();
        let runs: Vec<RunReport> = up.runs.iter().map(Into::into).collect();
        let ends: Vec<RunEnd> = up.ends.iter().map(Into::into).collect();
        let boot = view.boot.clone();
        let worker = self.join(view, now);
        let mut book = self.tenure.book.borrow_mut();
        book.sync_worker(worker, &runs, &ends, now, now_ms);
        self.is_compared.set(true);
        let mut seats = Vec::with_capacity(runs.len());
        for run in &runs {
            let task = run.mark.task;
            let step = book
                .job(task.job)
                .and_then(|job| job.spec.steps.get(usize::from(task.step)));
            seats.extend(step.map(|step| seat_frame(run.mark, step)));
        }
        let cursor = book.acknowledged(worker);
        drop(book);
        tracing::info!(agent = self.node, worker = %boot, runs = runs.len(), ends = ends.len(), "worker taken over");
        let kept = WorkerAccepted {
            worker: boot.worker_id().into(),
            placements: seats,
            started_ms: boot.started_ms(),
        };
        self.send(PoolBody::WorkerAccepted(kept));
        if self.tenure.is_news(up.known_pairs) {
            self.send(PoolBody::Interference(self.tenure.all_presses()));
        }
        // An acknowledgement may have been lost with the link before.
        self.send(PoolBody::Ack(AckEnds::new(&boot, cursor)));
        self.tenure.dispatch.notify(usize::MAX);
    }

    fn join(&self, view: WorkerView, now: TimePoint) -> WorkerKey {
        let before = self.tenure.agents.borrow().worker(self.node);
        let boot = view.boot.clone();
        let key = match before {
            Some((key, known)) if known == boot => {
                let mut book = self.tenure.book.borrow_mut();
                book.worker_changed(key, view);
                book.worker_reachable(key, true);
                key
            }
            Some((key, _)) => {
                self.tenure.lose_worker(key, now);
                self.tenure.book.borrow_mut().worker_joined(view, self.node)
            }
            None => self.tenure.book.borrow_mut().worker_joined(view, self.node),
        };
        self.tenure
            .agents
            .borrow_mut()
            .compared(self.node, key, &boot);
        key
    }

    /// Waits until the store says that the worker may be given orders.
    async fn store_row(&self, boot: &BootId) {
        loop {
            let is_stored = self.tenure.agents.borrow_mut().ask_row(self.node, boot);
            if is_stored || self.tenure.over.is_raised() || !self.is_current() {
                return;
            }
            let Some(listener) = self.tenure.agents.borrow().listen_row(self.node) else {
                return;
            };
            self.tenure.write.notify(usize::MAX);
            listener.await;
        }
    }

    fn worker(&self) -> Option<WorkerKey> {
        let known = self.tenure.agents.borrow().worker(self.node);
        known.map(|(key, _)| key)
    }

    fn worker_changed(&self, view: WorkerView) {
        let known = self.tenure.agents.borrow().worker(self.node);
        if let Some((key, _)) = known.filter(|(_, boot)| *boot == view.boot) {
            self.tenure.book.borrow_mut().worker_changed(key, view);
            self.tenure.dispatch.notify(usize::MAX);
        }
    }

    /// A worker crashed: the tasks that ran there may have ended it.
    async fn boot_crashed(&self, crash: &BootCrashed) {
        self.tenure.loaded.wait().await;
        if self.tenure.over.is_raised() {
            return;
        }
        let runs: Vec<LostRun> = crash.runs.iter().map(Into::into).collect();
        let (now, now_ms) = (self.shared.now(), wall_clock_ms());
        let notes = self
            .tenure
            .book
            .borrow_mut()
            .worker_crashed(self.node, &runs, now, now_ms);
        for note in notes {
            let given_up = note.verdict == CrashVerdict::GivenUp;
            count_many(Counter::TasksGivenUp, given_up.into());
            tracing::info!(
                task = %note.mark.task,
                run = note.mark.run,
                worker = %crash.boot(),
                ran_ms = note.ran.as_millis() as u64,
                crashes = note.crashes,
                verdict = ?note.verdict,
                "run ended with its worker"
            );
        }
        self.tenure.write.notify(usize::MAX);
    }

    fn worker_gone(&self, gone: &AllRunsEnded) {
        let boot = gone.boot();
        tracing::warn!(agent = self.node, worker = %boot, dead = gone.boot_ended, "worker is gone");
        self.tenure.worker_gone(self.node, &boot, self.shared.now());
        if gone.boot_ended {
            self.tenure.note_dead(self.shared, [boot]);
        }
    }

    /// Gathers what the agents have learned; all are told of what has changed.
    fn presses(&self, news: &InterferenceUpdate) {
        let Some(worker) = self.worker() else {
            return;
        };
        let mut book = self.tenure.book.borrow_mut();
        for told in &news.headrooms {
            book.set_press_room(worker, &told.serving, f64::from(told.headroom));
        }
        let mut told = Vec::with_capacity(news.pairs.len());
        for pair in &news.pairs {
            let known = book.merge_press(&pair.serving, &pair.best_effort, pair.interference());
            told.push(InterferenceFrame::new(
                &pair.serving,
                &pair.best_effort,
                known,
            ));
        }
        drop(book);
        self.tenure
            .press_unstored
            .set(!told.is_empty() || self.tenure.press_unstored.get());
        let now = self.shared.now();
        let mut log = self.tenure.press_log.borrow_mut();
        for pair in told {
            log.note(pair, now);
        }
    }

    fn news(&self, news: &RunUpdates) {
        let Some(worker) = self.worker() else {
            return;
        };
        if !self.is_compared.get() {
            // Ends that were lost with the link before have lower numbers: counted after a later one, they
            // would be passed over, and their tasks started again. The worker's list has this one too.
            tracing::info!(
                agent = self.node,
                ends = news.ends.len(),
                "news before the worker's list"
            );
            return;
        }
        let (now, now_ms) = (self.shared.now(), wall_clock_ms());
        let mut book = self.tenure.book.borrow_mut();
        for mark in &news.started {
            book.run_started(worker, RunMark::from(mark), now);
        }
        for refusal in &news.refused {
            let (mark, why) = refusal.decode();
            tracing::info!(task = %mark.task, run = mark.run, agent = self.node, ?why, "start refused");
            book.run_refused(worker, mark, why, now, now_ms);
        }
        for report in &news.running {
            book.adopt(worker, &report.into(), now);
        }
        for end in &news.ends {
            let end = RunEnd::from(end);
            tracing::info!(task = %end.mark.task, run = end.mark.run, agent = self.node, how = ?end.kind, "run ended");
            book.run_ended(worker, &end, now, now_ms);
        }
        drop(book);
        self.tenure.dispatch.notify(usize::MAX);
    }
}
