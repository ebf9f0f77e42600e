//! Simulates an owner's scheduler, roster and fronts with agents and fronts under virtual time.

use futures_channel::mpsc::{UnboundedReceiver, unbounded};
use prost::Message;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wax_batch::{
    BootId, EndPage, JobName, JobOutcome, JobRow, JobScheduler, JobSpec, OwnerClocks, QueueConfig,
    QueueRules, RunEnd, RunEndKind, RunId, RunReport, StepSpec, StoredProgress, TaskSize,
    UnreconciledRuns, VersionedRules, WorkerKey, WorkerView,
};
use wax_owner::{
    AgentRoster, AgentRow, AgentUpdate, EndedBoots, FrontRecord, FrontRoster, OwnerFitness,
    OwnerTimeouts,
};
use wax_policy::{ConfigRules, DrainRules, PlacementRules, front_heartbeat_period};
use wax_types::TimePoint;
use wax_wire::{LeaseGrant, PoolBody, PoolFrame};

/// Simulation step; changes within one step share a dispatch round.
const TICK: Duration = Duration::from_millis(2);
/// Number of ticks without a change after which a dispatch round runs.
const IDLE_TICKS: u64 = 50;
/// Run time of each task.
const TASK_DURATION: Duration = Duration::from_millis(1_200);
/// Number of tasks in a job.
const JOB_TASKS: u32 = 20;
/// Largest number of agent rows in one transaction. A transaction takes `TX_TICKS` ticks.
const ROWS_PER_TX: usize = 32;
const TX_TICKS: u64 = 5;

/// Size of a pool and its rate of tasks.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PoolSize {
    pub(crate) agents: usize,
    pub(crate) fronts: usize,
    pub(crate) tasks_per_second: u32,
}

impl PoolSize {
    pub(crate) fn of_agents(agents: usize) -> Self {
        Self {
            agents,
            fronts: agents / 5,
            tasks_per_second: (agents * 7 / 10) as u32,
        }
    }
}

/// Counts of the owner's work.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Cost {
    heartbeats: u64,
    messages: u64,
    bytes: u64,
    agents_visited: u64,
    workers_evaluated: u64,
    fronts_ranked: u64,
    transactions: u64,
}

impl Cost {
    pub(crate) fn counts(&self) -> [(&'static str, u64); 7] {
        [
            ("heartbeats", self.heartbeats),
            ("messages", self.messages),
            ("bytes", self.bytes),
            ("agents visited", self.agents_visited),
            ("workers evaluated", self.workers_evaluated),
            ("fronts ranked", self.fronts_ranked),
            ("transactions", self.transactions),
        ]
    }
}

/// An event that is due at some time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    AgentHeartbeat(usize),
    FrontHeartbeat(usize),
    SubmitJob,
    EndTask(usize, RunId),
    LinkAgent(usize),
    ReconcileWorker(usize),
    FinishWrite,
}

struct SimulatedAgent {
    boot: u64,
    link: u64,
    worker: Option<WorkerKey>,
    runs: BTreeSet<RunId>,
    ends: u64,
    /// Ends of runs that have not been reported to an owner.
    unreported_ends: Vec<RunEnd>,
    is_linked: bool,
    inbox: Option<UnboundedReceiver<PoolBody>>,
}

/// A simulated owner and its pool.
pub(crate) struct SimulatedPool {
    size: PoolSize,
    now: TimePoint,
    epoch: u64,
    scheduler: JobScheduler,
    /// Open jobs as the store holds them.
    jobs: BTreeMap<JobName, (JobRow, Option<StoredProgress>)>,
    roster: AgentRoster,
    rows: BTreeMap<Box<str>, AgentRow>,
    fronts: FrontRoster,
    ended_boots: EndedBoots,
    timeouts: OwnerTimeouts,
    rules: ConfigRules,
    config: u64,
    agents: Vec<SimulatedAgent>,
    front_configs: Vec<u64>,
    events: BTreeSet<(TimePoint, u64, Event)>,
    next_event: u64,
    next_job: u64,
    next_link: u64,
    starts: u64,
    cost: Cost,
    unreconciled_seen: Option<u64>,
    is_write_pending: bool,
    awaiting_row: BTreeSet<usize>,
    has_changes: bool,
}

fn config() -> QueueConfig {
    let queue = QueueRules {
        name: "gauges".into(),
        host: "h".into(),
        prefix: "/g/".into(),
        service: "svc".into(),
        priority: 0,
        max_attempts: 2,
        stretch: 2.0,
        target_latency_ms: 500,
        timeout_ms: 3_000,
        advice: None,
    };
    QueueConfig {
        version: 1,
        queues: vec![queue.into()],
        services: Vec::new(),
        max_body_bytes: 1 << 18,
    }
}

fn new_scheduler(epoch: u64) -> JobScheduler {
    let mut scheduler = JobScheduler::new(epoch, PlacementRules::default());
    scheduler.set_config(config().into(), 0);
    scheduler
}

impl SimulatedPool {
    /// Creates a pool whose owner has taken over and has reconciled all runs.
    pub(crate) fn settled(size: PoolSize) -> Self {
        let agents = (0..size.agents).map(|_| SimulatedAgent {
            boot: 1,
            link: 0,
            worker: None,
            runs: BTreeSet::new(),
            ends: 0,
            unreported_ends: Vec::new(),
            is_linked: false,
            inbox: None,
        });
        let mut pool = Self {
            size,
            now: TimePoint::from_millis(100_000),
            epoch: 1,
            scheduler: new_scheduler(1),
            jobs: BTreeMap::new(),
            roster: AgentRoster::default(),
            rows: BTreeMap::new(),
            fronts: FrontRoster::default(),
            ended_boots: EndedBoots::default(),
            timeouts: OwnerTimeouts::default(),
            rules: ConfigRules::new(Duration::from_secs(5), DrainRules::default()),
            config: 1,
            agents: agents.collect(),
            front_configs: vec![1; size.fronts],
            events: BTreeSet::new(),
            next_event: 0,
            next_job: 0,
            next_link: 0,
            starts: 0,
            cost: Cost::default(),
            unreconciled_seen: None,
            is_write_pending: false,
            awaiting_row: BTreeSet::new(),
            has_changes: true,
        };
        pool.link_all();
        pool.after(Duration::from_millis(1), Event::SubmitJob);
        pool.run(Duration::from_secs(4));
        assert_eq!(pool.roster.unreconciled_agents(), 0);
        pool
    }

    pub(crate) fn size(&self) -> PoolSize {
        self.size
    }

    pub(crate) fn starts(&self) -> u64 {
        self.starts
    }

    /// Returns the number of tasks that are held back because of unreconciled runs.
    pub(crate) fn held_back_tasks(&self) -> usize {
        self.scheduler.held_back_task_count()
    }

    /// Returns the counts since the last call.
    pub(crate) fn take_cost(&mut self) -> Cost {
        self.cost.workers_evaluated += self.scheduler.take_workers_evaluated();
        self.cost.agents_visited += self.roster.take_visited();
        self.cost.fronts_ranked += self.fronts.take_ranked();
        std::mem::take(&mut self.cost)
    }

    fn after(&mut self, span: Duration, event: Event) {
        self.next_event += 1;
        self.events
            .insert((self.now + span, self.next_event, event));
    }

    /// Links all agents and fronts within some hundred milliseconds.
    fn link_all(&mut self) {
        for agent in 0..self.agents.len() {
            let spread = Duration::from_micros(300_000 * agent as u64 / self.size.agents as u64);
            self.after(spread, Event::LinkAgent(agent));
        }
        for front in 0..self.size.fronts {
            self.next_link += 1;
            let (outbox, _) = unbounded();
            let record =
                FrontRecord::new(self.next_link, outbox, self.ended_boots.count(), self.now);
            self.fronts.insert(&format!("edge-{front}"), record);
            let spread = Duration::from_micros(200_000 * front as u64 / self.size.fronts as u64);
            self.after(spread, Event::FrontHeartbeat(front));
        }
    }

    /// Changes the config. Each front has the new version after its next heartbeat, as if it had
    /// read the version from the store.
    pub(crate) fn change_config(&mut self) {
        self.config += 1;
        let now_ms = unix_ms(self.now);
        self.scheduler.set_config(config().into(), now_ms);
        self.has_changes = true;
    }

    /// Lets another owner take over, which loads the store's rows and reconciles all agents again.
    pub(crate) fn take_over(&mut self) {
        self.epoch += 1;
        self.scheduler = new_scheduler(self.epoch);
        for (name, (row, progress)) in &self.jobs {
            let clocks = clocks(self.now);
            self.scheduler
                .add_job(*name, row.clone(), progress.as_ref(), &clocks);
        }
        self.roster = AgentRoster::default();
        let expires_at = self.now + self.timeouts.expiry_after_takeover();
        for (node, row) in &self.rows {
            self.roster.load(node, row, expires_at, &self.ended_boots);
        }
        self.unreconciled_seen = None;
        self.fronts = FrontRoster::default();
        let is_link =
            |event: &Event| matches!(event, Event::AgentHeartbeat(_) | Event::FrontHeartbeat(_));
        self.events.retain(|(_, _, event)| !is_link(event));
        self.awaiting_row.clear();
        for agent in &mut self.agents {
            agent.is_linked = false;
            agent.worker = None;
        }
        self.link_all();
    }

    /// Stops a share of the workers and starts them again as other boots; repeats this `times`
    /// times with other workers.
    pub(crate) fn restart_workers(&mut self, share: f64, times: usize) {
        let batches = (1.0 / share) as usize;
        for batch in 0..times {
            for agent in (batch..self.agents.len()).step_by(batches) {
                self.stop_worker(agent);
                self.after(Duration::from_millis(500), Event::ReconcileWorker(agent));
            }
            self.run(Duration::from_millis(600));
        }
    }

    /// Ends a share of the agents without notice.
    pub(crate) fn kill_agents(&mut self, share: f64) {
        let killed = (self.agents.len() as f64 * share) as usize;
        for number in 0..killed {
            self.agents[number].is_linked = false;
            let (node, link) = (node(number), self.agents[number].link);
            let known = self.roster.close(&node, link, self.now, &self.timeouts);
            if let Some(worker) = known.flatten() {
                self.scheduler.set_worker_reachable(worker, false);
            }
        }
        self.has_changes = true;
    }

    fn stop_worker(&mut self, number: usize) {
        let boot = self.boot(number);
        let node = node(number);
        self.send(1, 40);
        if let Some(worker) = self.roster.worker_ended(&node, &boot) {
            self.scheduler
                .remove_lost_worker(worker, self.now, unix_ms(self.now));
        }
        self.ended_boots.record(&boot);
        self.roster.boot_ended(&boot);
        self.notify_early_candidates();
        let agent = &mut self.agents[number];
        agent.worker = None;
        agent.runs.clear();
        agent.unreported_ends.clear();
        agent.boot += 1;
        agent.ends = 0;
        self.has_changes = true;
    }

    fn notify_early_candidates(&mut self) {
        let messages = self.fronts.notify_early_candidates(&self.ended_boots) as u64;
        self.send(messages, messages * 40);
    }

    fn boot(&self, number: usize) -> BootId {
        format!("i-{number}-{}", self.agents[number].boot)
            .as_str()
            .into()
    }

    /// Advances the simulation by `span`.
    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        let mut ticks = 0;
        while self.now < end {
            self.now = self.now + TICK;
            ticks += 1;
            while let Some(first) = self
                .events
                .first()
                .copied()
                .filter(|(at, ..)| *at <= self.now)
            {
                self.events.remove(&first);
                self.handle(first.2);
            }
            if std::mem::take(&mut self.has_changes) || ticks % IDLE_TICKS == 0 {
                self.dispatch();
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::AgentHeartbeat(number) => self.agent_heartbeat(number),
            Event::FrontHeartbeat(number) => self.front_heartbeat(number),
            Event::SubmitJob => self.submit_job(),
            Event::EndTask(number, run_id) => self.end_task(number, run_id),
            Event::LinkAgent(number) => self.link_agent(number),
            Event::ReconcileWorker(number) => self.reconcile(number),
            Event::FinishWrite => self.finish_write(),
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

    fn agent_heartbeat(&mut self, number: usize) {
        if !self.agents[number].is_linked {
            return;
        }
        self.cost.heartbeats += 1;
        self.roster
            .extend_grant(&node(number), self.now + self.timeouts.grant);
        if let Some(worker) = self.agents[number].worker {
            self.scheduler.record_contact(worker, self.now);
        }
        let period = self.roster.heartbeat_period();
        self.answer(PoolBody::Grant(LeaseGrant {
            sent_us: self.now.0,
            valid_ms: 2_500,
            period_ms: period.as_millis() as u32,
            ..Default::default()
        }));
        self.after(period, Event::AgentHeartbeat(number));
    }

    fn front_heartbeat(&mut self, number: usize) {
        self.cost.heartbeats += 1;
        let (now, name) = (self.now, format!("edge-{number}"));
        let front_version = self.front_configs[number];
        let Some(front) = self.fronts.get_mut(&name) else {
            return;
        };
        front.record_heartbeat(
            OwnerFitness(if number.is_multiple_of(4) { 1_000 } else { 120 }),
            false,
            now,
        );
        let pushes_config = front.should_push_config(front_version, self.config, now);
        let rank = self.fronts.rank(&name, now).rank;
        let period = front_heartbeat_period(self.fronts.len(), rank, &self.rules);
        self.notify_early_candidates();
        if pushes_config {
            self.send(1, 20_000);
        }
        self.answer(PoolBody::Grant(LeaseGrant {
            sent_us: self.now.0,
            takeover_rank: rank,
            period_ms: period.as_millis() as u32,
            ..Default::default()
        }));
        self.front_configs[number] = self.config;
        self.after(period, Event::FrontHeartbeat(number));
    }

    fn submit_job(&mut self) {
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
        let config = config();
        let rules = VersionedRules {
            version: config.version,
            rules: config.queues[0].clone(),
        };
        let mut row = JobRow::new(&spec, &rules, unix_ms(self.now), 1);
        row.epoch = self.epoch;
        let name = JobName(self.next_job);
        self.jobs.insert(name, (row.clone(), None));
        self.scheduler.add_job(name, row, None, &clocks(self.now));
        self.has_changes = true;
        let pause = Duration::from_secs(1) * JOB_TASKS / self.size.tasks_per_second;
        self.after(pause, Event::SubmitJob);
    }

    fn end_task(&mut self, number: usize, run_id: RunId) {
        let agent = &mut self.agents[number];
        if !agent.runs.remove(&run_id) {
            return;
        }
        agent.ends += 1;
        let end = RunEnd {
            number: agent.ends,
            run_id,
            kind: RunEndKind::Done,
            checkpoint: "".into(),
        };
        let Some(worker) = agent.worker.filter(|_| agent.is_linked) else {
            agent.unreported_ends.push(end);
            return;
        };
        self.send(1, 60);
        self.scheduler
            .record_end(worker, &end, self.now, unix_ms(self.now));
        self.has_changes = true;
    }

    fn link_agent(&mut self, number: usize) {
        self.next_link += 1;
        let (outbox, inbox) = unbounded();
        let agent = &mut self.agents[number];
        (agent.link, agent.is_linked, agent.inbox) = (self.next_link, true, Some(inbox));
        let link = agent.link;
        self.roster
            .open(&node(number), link, &outbox, self.now, &self.timeouts);
        self.send(2, 60);
        self.reconcile(number);
        self.after(Duration::ZERO, Event::AgentHeartbeat(number));
    }

    /// Reconciles a worker's runs once the store has the agent's row.
    fn reconcile(&mut self, number: usize) {
        let (node, boot) = (node(number), self.boot(number));
        if !self.roster.ensure_row(&node, &boot) {
            self.awaiting_row.insert(number);
            self.start_write();
            return;
        }
        let agent = &self.agents[number];
        let reports: Vec<RunReport> = agent.runs.iter().map(|run_id| report(*run_id)).collect();
        let view = view(number, boot.clone());
        let worker = match self.roster.worker(&node) {
            Some((key, known)) if known == boot => {
                self.scheduler.set_worker_reachable(key, true);
                key
            }
            _ => self.scheduler.add_worker(view, &node),
        };
        self.roster.set_reconciled(&node, worker, &boot);
        let ends = std::mem::take(&mut self.agents[number].unreported_ends);
        self.scheduler.reconcile_worker(
            worker,
            &reports,
            &EndPage::all(&ends),
            self.now,
            unix_ms(self.now),
        );
        self.agents[number].worker = Some(worker);
        self.send(2, 200);
        self.has_changes = true;
    }

    fn start_write(&mut self) {
        if !self.is_write_pending && self.roster.has_updates() {
            self.is_write_pending = true;
            self.after(TICK * TX_TICKS as u32, Event::FinishWrite);
        }
    }

    fn finish_write(&mut self) {
        self.is_write_pending = false;
        self.cost.transactions += 1;
        let updates = self.roster.take_updates(ROWS_PER_TX);
        for (node, update) in &updates {
            match update {
                AgentUpdate::Linked { boot } => {
                    let row = AgentRow {
                        node: node.to_string(),
                        worker: boot.worker_id().into(),
                        ..Default::default()
                    };
                    self.rows.insert(node.clone(), row);
                }
                AgentUpdate::Unlinked { .. } => {}
                AgentUpdate::Removed => {
                    self.rows.remove(node);
                }
            }
        }
        self.roster.updates_stored(&updates);
        for (node, _) in &updates {
            let number = node.trim_start_matches("side-").parse();
            if let Ok(number) = number
                && self.awaiting_row.remove(&number)
            {
                self.reconcile(number);
            }
        }
        self.start_write();
    }

    /// Runs one dispatch round.
    fn dispatch(&mut self) {
        let expired = self.roster.remove_expired(self.now, self.now);
        for worker in expired.workers {
            self.scheduler
                .remove_lost_worker(worker, self.now, unix_ms(self.now));
        }
        let scheduler = &self.scheduler;
        self.roster
            .queue_unlinked(self.now, |worker| scheduler.jobs_on(worker));
        self.start_write();
        self.update_unreconciled();
        for order in self.scheduler.place(self.now) {
            self.starts += 1;
            self.send(1, 150);
            let number = self.number_of(order.worker);
            self.agents[number].runs.insert(order.run_id);
            self.scheduler
                .record_start(order.worker, order.run_id, self.now);
            self.after(TASK_DURATION, Event::EndTask(number, order.run_id));
        }
        let updates = self.scheduler.take_updates(usize::MAX);
        self.cost.transactions += updates.len().div_ceil(32) as u64;
        self.scheduler.confirm_updates(&updates, 1, self.now);
        for update in updates {
            match self.jobs.get_mut(&update.name) {
                Some(job) if update.progress.outcome() == JobOutcome::Open => {
                    job.1 = Some(StoredProgress {
                        progress: update.progress,
                        version: 1,
                        ..Default::default()
                    });
                }
                _ => {
                    self.jobs.remove(&update.name);
                }
            }
        }
        let cursors = self.scheduler.advance_ack_cursors();
        self.send(cursors.len() as u64, 20 * cursors.len() as u64);
    }

    fn update_unreconciled(&mut self) {
        let changes = Some(self.roster.unreconciled_changes());
        if std::mem::replace(&mut self.unreconciled_seen, changes) != changes {
            let runs: UnreconciledRuns = self.roster.unreconciled_runs();
            self.scheduler.set_unreconciled(runs);
        }
    }

    fn number_of(&self, worker: WorkerKey) -> usize {
        let boot = self.roster.boot(worker).expect("the agent is linked");
        let id = boot.worker_id().trim_start_matches("i-");
        let number = id.split('-').next().and_then(|number| number.parse().ok());
        number.expect("the id contains the number of the agent")
    }
}

fn node(number: usize) -> String {
    format!("side-{number}")
}

/// Returns the clocks of the owner at a simulated time.
fn clocks(now: TimePoint) -> OwnerClocks {
    OwnerClocks {
        now,
        wall_ms: unix_ms(now),
        store_time: None,
    }
}

/// Returns the Unix milliseconds of a simulated time.
fn unix_ms(now: TimePoint) -> u64 {
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

fn report(run_id: RunId) -> RunReport {
    RunReport {
        run_id,
        checkpoint: "".into(),
        percent: 10,
        load_metric: 700,
        confirmed_by_worker: true,
    }
}
