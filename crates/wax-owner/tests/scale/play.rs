//! An owner's book, roster and fronts, with agents and fronts that are played beside them.

use futures_channel::mpsc::{UnboundedReceiver, unbounded};
use prost::Message;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wax_batch::{
    BootId, JobBook, JobName, JobOutcome, JobProgress, JobRow, JobSpec, QueueConfig, QueueRules,
    RunEnd, RunEndKind, RunMark, RunReport, StepSpec, TaskSize, UnheardRuns, WorkerKey, WorkerView,
};
use wax_owner::{
    AgentNote, AgentRoster, AgentRow, FrontLife, FrontRoster, GoneBoots, OwnerFitness, OwnerSpans,
};
use wax_policy::{ConfigRules, DrainRules, PlaceRules, front_period};
use wax_types::TimePoint;
use wax_wire::{LeaseGrant, PoolBody, PoolFrame};

/// A round of the dispatcher gathers what has changed within this.
const TICK: Duration = Duration::from_millis(2);
/// Without a change the dispatcher looks again after this.
const IDLE_TICKS: u64 = 50;
/// How long a task runs.
const TASK_TIME: Duration = Duration::from_millis(1_200);
/// Tasks of a job.
const JOB_TASKS: u32 = 20;
/// Agents written down by one transaction, each of which takes so many ticks.
const ROWS_PER_TX: usize = 32;
const TX_TICKS: u64 = 5;

/// How large a pool is, and how much work it has.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PoolSize {
    pub(crate) agents: usize,
    pub(crate) fronts: usize,
    pub(crate) tasks_a_second: u32,
}

impl PoolSize {
    pub(crate) fn of_agents(agents: usize) -> Self {
        Self {
            agents,
            fronts: agents / 5,
            tasks_a_second: (agents * 7 / 10) as u32,
        }
    }
}

/// What was counted.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PlayedCost {
    heartbeats: u64,
    messages: u64,
    bytes: u64,
    agents_looked_at: u64,
    workers_asked: u64,
    fronts_ranked: u64,
    transactions: u64,
}

impl PlayedCost {
    pub(crate) fn counts(&self) -> [(&'static str, u64); 7] {
        [
            ("heartbeats", self.heartbeats),
            ("messages", self.messages),
            ("bytes", self.bytes),
            ("agents looked at", self.agents_looked_at),
            ("workers asked", self.workers_asked),
            ("fronts ranked", self.fronts_ranked),
            ("transactions", self.transactions),
        ]
    }
}

/// What is to happen at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Deed {
    AgentBeat(usize),
    FrontBeat(usize),
    Job,
    End(usize, RunMark),
    Link(usize),
    Return(usize),
    Stored,
}

struct PlayedAgent {
    boot: u64,
    link: u64,
    worker: Option<WorkerKey>,
    runs: BTreeSet<RunMark>,
    ends: u64,
    /// Ends that no owner has heard.
    unheard: Vec<RunEnd>,
    is_linked: bool,
    inbox: Option<UnboundedReceiver<PoolBody>>,
}

/// An owner and its pool.
pub(crate) struct PlayedPool {
    size: PoolSize,
    now: TimePoint,
    epoch: u64,
    book: JobBook,
    /// Open jobs as the store has them.
    jobs: BTreeMap<JobName, (JobRow, Option<JobProgress>)>,
    roster: AgentRoster,
    rows: BTreeMap<Box<str>, AgentRow>,
    fronts: FrontRoster,
    gone: GoneBoots,
    spans: OwnerSpans,
    rules: ConfigRules,
    config: u64,
    agents: Vec<PlayedAgent>,
    front_configs: Vec<u64>,
    deeds: BTreeSet<(TimePoint, u64, Deed)>,
    next_deed: u64,
    next_job: u64,
    next_link: u64,
    starts: u64,
    cost: PlayedCost,
    unheard_seen: Option<u64>,
    is_storing: bool,
    waits_row: BTreeSet<usize>,
    changed: bool,
}

fn config() -> QueueConfig {
    let queue = QueueRules {
        name: "gauges".into(),
        host: "h".into(),
        prefix: "/g/".into(),
        service: "svc".into(),
        priority: 0,
        most_attempts: 2,
        stretch: 2.0,
        target_latency_ms: 500,
        timeout_ms: 3_000,
        advice: None,
    };
    QueueConfig {
        version: 1,
        queues: vec![queue.into()],
        services: Vec::new(),
        body_bytes: 1 << 18,
    }
}

fn new_book(epoch: u64) -> JobBook {
    let mut book = JobBook::new(epoch, PlaceRules::default());
    book.set_config(config().into());
    book
}

impl PlayedPool {
    /// A pool whose owner has taken over and has heard all.
    pub(crate) fn settled(size: PoolSize) -> Self {
        let agents = (0..size.agents).map(|_| PlayedAgent {
            boot: 1,
            link: 0,
            worker: None,
            runs: BTreeSet::new(),
            ends: 0,
            unheard: Vec::new(),
            is_linked: false,
            inbox: None,
        });
        let mut pool = Self {
            size,
            now: TimePoint::from_millis(100_000),
            epoch: 1,
            book: new_book(1),
            jobs: BTreeMap::new(),
            roster: AgentRoster::default(),
            rows: BTreeMap::new(),
            fronts: FrontRoster::default(),
            gone: GoneBoots::default(),
            spans: OwnerSpans::default(),
            rules: ConfigRules::new(Duration::from_secs(5), DrainRules::default()),
            config: 1,
            agents: agents.collect(),
            front_configs: vec![1; size.fronts],
            deeds: BTreeSet::new(),
            next_deed: 0,
            next_job: 0,
            next_link: 0,
            starts: 0,
            cost: PlayedCost::default(),
            unheard_seen: None,
            is_storing: false,
            waits_row: BTreeSet::new(),
            changed: true,
        };
        pool.link_all();
        pool.after(Duration::from_millis(1), Deed::Job);
        pool.run(Duration::from_secs(4));
        assert_eq!(pool.roster.unheard_agents(), 0);
        pool
    }

    pub(crate) fn size(&self) -> PoolSize {
        self.size
    }

    pub(crate) fn starts(&self) -> u64 {
        self.starts
    }

    /// Tasks that wait although their jobs were handed in a while ago.
    pub(crate) fn waiting(&self) -> usize {
        self.book.held_back()
    }

    /// What was counted since the last call.
    pub(crate) fn take_cost(&mut self) -> PlayedCost {
        self.cost.workers_asked += self.book.take_workers_asked();
        self.cost.agents_looked_at += self.roster.take_looked_at();
        self.cost.fronts_ranked += self.fronts.take_ranked();
        std::mem::take(&mut self.cost)
    }

    fn after(&mut self, span: Duration, deed: Deed) {
        self.next_deed += 1;
        self.deeds.insert((self.now + span, self.next_deed, deed));
    }

    /// All agents and fronts link within some hundred milliseconds.
    fn link_all(&mut self) {
        for agent in 0..self.agents.len() {
            let spread = Duration::from_micros(300_000 * agent as u64 / self.size.agents as u64);
            self.after(spread, Deed::Link(agent));
        }
        for front in 0..self.size.fronts {
            self.next_link += 1;
            let (outbox, _) = unbounded();
            let life = FrontLife::new(self.next_link, outbox, self.gone.count(), self.now);
            self.fronts.insert(&format!("edge-{front}"), life);
            let spread = Duration::from_micros(200_000 * front as u64 / self.size.fronts as u64);
            self.after(spread, Deed::FrontBeat(front));
        }
    }

    /// The operator writes another version, which fronts find in the store a moment later.
    pub(crate) fn change_config(&mut self) {
        self.config += 1;
        self.book.set_config(config().into());
        self.changed = true;
    }

    /// Another owner takes over: it knows the store's rows, and hears agents and fronts anew.
    pub(crate) fn take_over(&mut self) {
        self.epoch += 1;
        self.book = new_book(self.epoch);
        for (name, (row, progress)) in &self.jobs {
            let (now, now_ms) = (self.now, wall(self.now));
            self.book
                .add_job(*name, row.clone(), progress.as_ref(), now, now_ms);
        }
        self.roster = AgentRoster::default();
        let lapse_at = self.now + self.spans.lapse_after_takeover();
        for (node, row) in &self.rows {
            self.roster.load(node, row, lapse_at, &self.gone);
        }
        self.unheard_seen = None;
        self.fronts = FrontRoster::default();
        let is_link = |deed: &Deed| matches!(deed, Deed::AgentBeat(_) | Deed::FrontBeat(_));
        self.deeds.retain(|(_, _, deed)| !is_link(deed));
        self.waits_row.clear();
        for agent in &mut self.agents {
            agent.is_linked = false;
            agent.worker = None;
        }
        self.link_all();
    }

    /// A share of the workers at a time leaves and comes back as another boot, so many times.
    pub(crate) fn release(&mut self, share: f64, times: usize) {
        let batches = (1.0 / share) as usize;
        for round in 0..times {
            for agent in (round..self.agents.len()).step_by(batches) {
                self.leave(agent);
                self.after(Duration::from_millis(500), Deed::Return(agent));
            }
            self.run(Duration::from_millis(600));
        }
    }

    /// A share of the agents is gone without a word.
    pub(crate) fn kill_agents(&mut self, share: f64) {
        let killed = (self.agents.len() as f64 * share) as usize;
        for number in 0..killed {
            self.agents[number].is_linked = false;
            let (node, link) = (node(number), self.agents[number].link);
            let known = self.roster.close(&node, link, self.now, &self.spans);
            if let Some(worker) = known.flatten() {
                self.book.worker_reachable(worker, false);
            }
        }
        self.changed = true;
    }

    fn leave(&mut self, number: usize) {
        let boot = self.boot(number);
        let node = node(number);
        self.send(1, 40);
        if let Some(worker) = self.roster.worker_gone(&node, &boot) {
            self.book.worker_lost(worker, self.now, wall(self.now));
        }
        self.gone.note(&boot);
        self.roster.boot_dead(&boot);
        self.tell_watchers();
        let agent = &mut self.agents[number];
        agent.worker = None;
        agent.runs.clear();
        agent.unheard.clear();
        agent.boot += 1;
        agent.ends = 0;
        self.changed = true;
    }

    fn tell_watchers(&mut self) {
        let messages = self.fronts.tell_watchers(&self.gone) as u64;
        self.send(messages, messages * 40);
    }

    fn boot(&self, number: usize) -> BootId {
        format!("i-{number}-{}", self.agents[number].boot)
            .as_str()
            .into()
    }

    /// Plays for a while.
    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        let mut ticks = 0;
        while self.now < end {
            self.now = self.now + TICK;
            ticks += 1;
            while let Some(first) = self
                .deeds
                .first()
                .copied()
                .filter(|(at, ..)| *at <= self.now)
            {
                self.deeds.remove(&first);
                self.act(first.2);
            }
            if std::mem::take(&mut self.changed) || ticks % IDLE_TICKS == 0 {
                self.round();
            }
        }
    }

    fn act(&mut self, deed: Deed) {
        match deed {
            Deed::AgentBeat(number) => self.agent_beat(number),
            Deed::FrontBeat(number) => self.front_beat(number),
            Deed::Job => self.hand_in(),
            Deed::End(number, mark) => self.end(number, mark),
            Deed::Link(number) => self.link(number),
            Deed::Return(number) => self.compare(number),
            Deed::Stored => self.stored(),
        }
    }

    fn send(&mut self, messages: u64, bytes: u64) {
        self.cost.messages += messages;
        self.cost.bytes += bytes;
    }

    fn answer(&mut self, body: PoolBody) {
        let bytes = PoolFrame::from(body).encoded_len() as u64;
        self.send(1, bytes);
    }

    fn agent_beat(&mut self, number: usize) {
        if !self.agents[number].is_linked {
            return;
        }
        self.cost.heartbeats += 1;
        self.roster
            .granted(&node(number), self.now + self.spans.grant);
        if let Some(worker) = self.agents[number].worker {
            self.book.worker_heard(worker, self.now);
        }
        let period = self.roster.period();
        self.answer(PoolBody::Grant(LeaseGrant {
            sent_us: self.now.0,
            valid_ms: 2_500,
            period_ms: period.as_millis() as u32,
            ..Default::default()
        }));
        self.after(period, Deed::AgentBeat(number));
    }

    fn front_beat(&mut self, number: usize) {
        self.cost.heartbeats += 1;
        let (now, name) = (self.now, format!("edge-{number}"));
        let theirs = self.front_configs[number];
        let Some(front) = self.fronts.get_mut(&name) else {
            return;
        };
        front.heard(
            OwnerFitness(if number.is_multiple_of(4) { 1_000 } else { 120 }),
            false,
            now,
        );
        let is_due = front.is_due(theirs, self.config, now);
        let rank = self.fronts.rank(&name, now).rank;
        let period = front_period(self.fronts.len(), rank, &self.rules);
        self.tell_watchers();
        if is_due {
            self.send(1, 20_000);
        }
        self.answer(PoolBody::Grant(LeaseGrant {
            sent_us: self.now.0,
            takeover_rank: rank,
            period_ms: period.as_millis() as u32,
            ..Default::default()
        }));
        self.front_configs[number] = self.config;
        self.after(period, Deed::FrontBeat(number));
    }

    fn hand_in(&mut self) {
        self.next_job += 1;
        let step = StepSpec {
            count: JOB_TASKS,
            size: TaskSize {
                cpu_milli: 700,
                memory_mb: 1_400,
                accelerators: 0,
            },
            estimate_ms: 1_200,
            ..Default::default()
        };
        let spec = JobSpec {
            text: "work".into(),
            steps: vec![step].into(),
            repeat: None,
        };
        let mut row = JobRow::new(&spec, "gauges", "svc", wall(self.now), 1);
        row.epoch = self.epoch;
        let name = JobName(self.next_job);
        self.jobs.insert(name, (row.clone(), None));
        self.book.add_job(name, row, None, self.now, wall(self.now));
        self.changed = true;
        let pause = Duration::from_secs(1) * JOB_TASKS / self.size.tasks_a_second;
        self.after(pause, Deed::Job);
    }

    fn end(&mut self, number: usize, mark: RunMark) {
        let agent = &mut self.agents[number];
        if !agent.runs.remove(&mark) {
            return;
        }
        agent.ends += 1;
        let end = RunEnd {
            number: agent.ends,
            mark,
            kind: RunEndKind::Done,
            checkpoint: "".into(),
        };
        let Some(worker) = agent.worker.filter(|_| agent.is_linked) else {
            agent.unheard.push(end);
            return;
        };
        self.send(1, 60);
        self.book.run_ended(worker, &end, self.now, wall(self.now));
        self.changed = true;
    }

    fn link(&mut self, number: usize) {
        self.next_link += 1;
        let (outbox, inbox) = unbounded();
        let agent = &mut self.agents[number];
        (agent.link, agent.is_linked, agent.inbox) = (self.next_link, true, Some(inbox));
        let link = agent.link;
        self.roster
            .open(&node(number), link, &outbox, self.now, &self.spans);
        self.send(2, 60);
        self.compare(number);
        self.after(Duration::ZERO, Deed::AgentBeat(number));
    }

    /// The worker's list is compared once the store has the agent's row.
    fn compare(&mut self, number: usize) {
        let (node, boot) = (node(number), self.boot(number));
        if !self.roster.ask_row(&node, &boot) {
            self.waits_row.insert(number);
            self.store();
            return;
        }
        let agent = &self.agents[number];
        let reports: Vec<RunReport> = agent.runs.iter().map(|mark| report(*mark)).collect();
        let view = view(number, boot.clone());
        let worker = match self.roster.worker(&node) {
            Some((key, known)) if known == boot => {
                self.book.worker_reachable(key, true);
                key
            }
            _ => self.book.worker_joined(view, &node),
        };
        self.roster.compared(&node, worker, &boot);
        let ends = std::mem::take(&mut self.agents[number].unheard);
        self.book
            .sync_worker(worker, &reports, &ends, self.now, wall(self.now));
        self.agents[number].worker = Some(worker);
        self.send(2, 200);
        self.changed = true;
    }

    fn store(&mut self) {
        if !self.is_storing && self.roster.has_notes() {
            self.is_storing = true;
            self.after(TICK * TX_TICKS as u32, Deed::Stored);
        }
    }

    fn stored(&mut self) {
        self.is_storing = false;
        self.cost.transactions += 1;
        let notes = self.roster.take_notes(ROWS_PER_TX);
        for (node, note) in &notes {
            match note {
                AgentNote::Linked { boot } => {
                    let row = AgentRow {
                        node: node.to_string(),
                        worker: boot.worker_id().into(),
                        ..Default::default()
                    };
                    self.rows.insert(node.clone(), row);
                }
                AgentNote::Unlinked { .. } => {}
                AgentNote::Gone => {
                    self.rows.remove(node);
                }
            }
        }
        self.roster.notes_stored(&notes);
        for (stored, _) in &notes {
            let number = stored.trim_start_matches("side-").parse();
            if let Ok(number) = number
                && self.waits_row.remove(&number)
            {
                self.compare(number);
            }
        }
        self.store();
    }

    /// A round of the dispatcher.
    fn round(&mut self) {
        let lapsed = self.roster.drop_lapsed(self.now, self.now);
        for worker in lapsed.workers {
            self.book.worker_lost(worker, self.now, wall(self.now));
        }
        let book = &self.book;
        self.roster
            .note_unlinked(self.now, |worker| book.jobs_on(worker));
        self.store();
        self.settle();
        for order in self.book.place(self.now) {
            self.starts += 1;
            self.send(1, 150);
            let number = self.number_of(order.worker);
            self.agents[number].runs.insert(order.mark);
            self.book.run_started(order.worker, order.mark, self.now);
            self.after(TASK_TIME, Deed::End(number, order.mark));
        }
        let notes = self.book.take_notes(usize::MAX);
        self.cost.transactions += notes.len().div_ceil(32) as u64;
        self.book.notes_stored(&notes);
        for note in notes {
            match self.jobs.get_mut(&note.name) {
                Some(job) if note.progress.outcome() == JobOutcome::Open => {
                    job.1 = Some(note.progress);
                }
                _ => {
                    self.jobs.remove(&note.name);
                }
            }
        }
        let cursors = self.book.take_cursors();
        self.send(cursors.len() as u64, 20 * cursors.len() as u64);
    }

    fn settle(&mut self) {
        let changes = Some(self.roster.unheard_changes());
        if std::mem::replace(&mut self.unheard_seen, changes) != changes {
            let unheard: UnheardRuns = self.roster.unheard();
            self.book.set_unheard(unheard);
        }
    }

    fn number_of(&self, worker: WorkerKey) -> usize {
        let boot = self.roster.boot(worker).expect("it is linked");
        let id = boot.worker_id().trim_start_matches("i-");
        let number = id.split('-').next().and_then(|number| number.parse().ok());
        number.expect("a number")
    }
}

fn node(number: usize) -> String {
    format!("side-{number}")
}

/// Unix milliseconds of a played time.
fn wall(now: TimePoint) -> u64 {
    now.0 / 1_000
}

fn view(number: usize, boot: BootId) -> WorkerView {
    WorkerView {
        boot,
        service: "svc".into(),
        failure_domain: format!("domain-{}", number % 5).into(),
        rack: Some(format!("r{}", number / 12).into()),
        capacity: TaskSize {
            cpu_milli: 16_000,
            memory_mb: 64_000,
            accelerators: 0,
        },
        ..Default::default()
    }
}

fn report(mark: RunMark) -> RunReport {
    RunReport {
        mark,
        checkpoint: "".into(),
        percent: 10,
        figure: 700,
        listed: true,
    }
}
