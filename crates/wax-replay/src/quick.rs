//! Quick requests in a replay: routing, admission at the sidecar, retries and hedges.

use crate::engine::ReplayRun;
use crate::events::ReplayEvent;
use crate::report::{LatencyHistogram, QuickReport};
use crate::world::ReplayWorld;
use std::time::Duration;
use wax_policy::{
    AttemptEnd, DequeueChoice, GateChoice, RetryBudget, RouteChoice, RoutePolicy, RouteTable,
    SlotGate, UpstreamKey, UpstreamLoad, UpstreamView,
};
use wax_types::TimePoint;

/// Budgets of retries and hedges as a percentage of the requests; the defaults of the settings.
const RETRY_PERCENT: u32 = 10;
const HEDGE_PERCENT: u32 = 4;
/// Limit on the requests that wait at a sidecar.
const MAX_QUEUED_REQUESTS: usize = 64;
/// Latency from an entry to a sidecar in the same failure domain.
const LOCAL_LATENCY: Duration = Duration::from_micros(100);

/// How an attempt ended at its sidecar; `Open` until it has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AttemptOutcome {
    Open,
    Answered,
    Refused,
    /// The connection is refused because the worker of the sidecar and its upstream is down.
    Unreachable,
}

#[derive(Debug)]
struct AttemptState {
    request: usize,
    upstream: usize,
    sent: TimePoint,
    started: TimePoint,
    outcome: AttemptOutcome,
    /// Whether the entry has stopped waiting for the attempt.
    closed: bool,
}

#[derive(Debug, Default)]
struct RequestState {
    arrived: TimePoint,
    deadline: TimePoint,
    open_attempts: Vec<usize>,
    tried: Vec<UpstreamKey>,
    ended: bool,
}

/// State of all quick requests.
pub(crate) struct QuickState {
    routes: RouteTable,
    pub(crate) keys: Vec<UpstreamKey>,
    gates: Vec<SlotGate<usize>>,
    requests: Vec<RequestState>,
    attempts: Vec<AttemptState>,
    retries: RetryBudget,
    hedges: RetryBudget,
    latency: LatencyHistogram,
    answered: u64,
    misses: u64,
    refused: u64,
    hedged: u64,
}

impl QuickState {
    pub(crate) fn new(world: &ReplayWorld, now: TimePoint) -> Self {
        let mut routes = RouteTable::default();
        // The entry is in the failure domain of the first worker.
        let entry_domain = world.workers.first().map(|worker| worker.domain.clone());
        let keys = world
            .upstreams
            .iter()
            .map(|upstream| {
                let domain = &world.workers[upstream.worker].domain;
                let local = Some(domain) == entry_domain.as_ref();
                let view = UpstreamView::new(&upstream.service, local, upstream.slots, now);
                routes.add(view)
            })
            .collect();
        let gates = world
            .upstreams
            .iter()
            .map(|upstream| SlotGate::new(upstream.slots as usize, MAX_QUEUED_REQUESTS))
            .collect();
        let requests = world.requests.iter().map(|_| RequestState::default());
        Self {
            routes,
            keys,
            gates,
            requests: requests.collect(),
            attempts: Vec::new(),
            retries: RetryBudget::default(),
            hedges: RetryBudget::default(),
            latency: LatencyHistogram::new(),
            answered: 0,
            misses: 0,
            refused: 0,
            hedged: 0,
        }
    }

    pub(crate) fn report(&self) -> QuickReport {
        QuickReport {
            requests: self.requests.len() as u64,
            answered: self.answered,
            misses: self.misses,
            refused: self.refused,
            hedges: self.hedged,
            p50_us: self.latency.quantile(0.5),
            p99_us: self.latency.quantile(0.99),
            p999_us: self.latency.quantile(0.999),
        }
    }

    fn index_of(&self, key: UpstreamKey) -> usize {
        self.keys
            .iter()
            .position(|known| *known == key)
            .unwrap_or(0)
    }
}

impl ReplayRun {
    fn entry_latency(&self, upstream: usize) -> Duration {
        let entry_domain = &self.world.workers[0].domain;
        let worker = self.world.upstreams[upstream].worker;
        if self.world.workers[worker].domain == *entry_domain {
            LOCAL_LATENCY
        } else {
            self.world.options.domain_latency
        }
    }

    pub(crate) fn handle_quick_arrival(&mut self, now: TimePoint, request: usize) {
        let deadline = now + self.world.requests[request].timeout;
        let state = &mut self.quick.requests[request];
        state.arrived = now;
        state.deadline = deadline;
        self.quick.retries.deposit(RETRY_PERCENT);
        self.quick.hedges.deposit(HEDGE_PERCENT);
        let event = ReplayEvent::DeadlinePasses(request);
        self.world.queue.push(deadline, event);
        if !self.send_attempt(now, request) {
            self.refuse_request(now, request);
        }
    }

    /// Sends one attempt. Returns whether an upstream was available.
    fn send_attempt(&mut self, now: TimePoint, request: usize) -> bool {
        let quick = &mut self.quick;
        let state = &quick.requests[request];
        let choice = quick.routes.choose(
            now,
            &self.world.requests[request].service,
            state.deadline,
            &state.tried,
            self.world.policy.route,
            &mut self.world.rng,
        );
        let RouteChoice::Send(key) = choice else {
            return false;
        };
        quick.routes.begin_attempt(now, key);
        let upstream = quick.index_of(key);
        let attempt = quick.attempts.len();
        quick.attempts.push(AttemptState {
            request,
            upstream,
            sent: now,
            started: now,
            outcome: AttemptOutcome::Open,
            closed: false,
        });
        let state = &mut quick.requests[request];
        state.open_attempts.push(attempt);
        state.tried.push(key);
        let first = state.tried.len() == 1;
        let hedge_at = quick.routes.hedge_time(now, key, state.deadline);
        let arrival = now + self.entry_latency(upstream);
        let queue = &mut self.world.queue;
        queue.push(arrival, ReplayEvent::AttemptArrives(attempt));
        let hedges = first && self.world.policy.route == RoutePolicy::Weighed;
        if let Some(hedge_at) = hedge_at.filter(|_| hedges) {
            queue.push(hedge_at, ReplayEvent::HedgeDue(request));
        }
        true
    }

    pub(crate) fn handle_hedge(&mut self, now: TimePoint, request: usize) {
        let state = &self.quick.requests[request];
        if state.ended || state.tried.len() != 1 || state.open_attempts.is_empty() {
            return;
        }
        if self.quick.hedges.try_spend() && self.send_attempt(now, request) {
            self.quick.hedged += 1;
        }
    }

    pub(crate) fn handle_attempt_arrival(&mut self, now: TimePoint, attempt: usize) {
        let state = &self.quick.attempts[attempt];
        let (upstream, request) = (state.upstream, state.request);
        let worker = self.world.upstreams[upstream].worker;
        if state.closed {
            return;
        }
        if self.world.workers[worker].down {
            return self.send_answer(now, attempt, AttemptOutcome::Unreachable);
        }
        let deadline = self.quick.requests[request].deadline;
        match self.quick.gates[upstream].admit(now, deadline, attempt) {
            GateChoice::Run => self.start_attempt(now, attempt),
            GateChoice::Queue => {}
            GateChoice::Full(_) | GateChoice::CannotMeetDeadline(_) => {
                self.send_answer(now, attempt, AttemptOutcome::Refused);
            }
        }
    }

    fn start_attempt(&mut self, now: TimePoint, attempt: usize) {
        let state = &mut self.quick.attempts[attempt];
        state.started = now;
        let (upstream, request) = (state.upstream, state.request);
        let slowdown = self.service_slowdown(upstream);
        let pause_factor = self.world.draw_pause_factor();
        let work = self.world.requests[request]
            .work
            .mul_f64(slowdown * pause_factor);
        self.world
            .queue
            .push(now + work, ReplayEvent::AttemptEnds(attempt));
    }

    /// Returns the factor by which a request currently takes longer at an upstream than without
    /// faults and interference.
    fn service_slowdown(&self, upstream: usize) -> f64 {
        let state = &self.world.upstreams[upstream];
        let excess = self.excess_on_worker(state.worker, state.kind, None);
        state.slow_factor * (1.0 + excess)
    }

    pub(crate) fn handle_attempt_end(&mut self, now: TimePoint, attempt: usize) {
        let state = &self.quick.attempts[attempt];
        let upstream = state.upstream;
        let spent = now.since(state.started);
        self.quick.gates[upstream].release(spent);
        if self.world.workers[self.world.upstreams[upstream].worker].down {
            // The worker is down, so no answer is sent. The entry reacts only when the hedge is due
            // or the deadline passes.
            return;
        }
        self.send_answer(now, attempt, AttemptOutcome::Answered);
        self.start_queued(now, upstream);
    }

    fn start_queued(&mut self, now: TimePoint, upstream: usize) {
        loop {
            match self.quick.gates[upstream].dequeue(now) {
                DequeueChoice::Idle => return,
                DequeueChoice::Drop(attempt) => {
                    self.send_answer(now, attempt, AttemptOutcome::Refused)
                }
                DequeueChoice::Run(attempt) if self.quick.attempts[attempt].closed => {
                    self.quick.gates[upstream].release_unused();
                }
                DequeueChoice::Run(attempt) => self.start_attempt(now, attempt),
            }
        }
    }

    fn send_answer(&mut self, now: TimePoint, attempt: usize, outcome: AttemptOutcome) {
        self.quick.attempts[attempt].outcome = outcome;
        let arrival = now + self.entry_latency(self.quick.attempts[attempt].upstream);
        let event = ReplayEvent::AnswerArrives(attempt);
        self.world.queue.push(arrival, event);
    }

    pub(crate) fn handle_answer(&mut self, now: TimePoint, attempt: usize) {
        let state = &mut self.quick.attempts[attempt];
        if state.closed {
            return;
        }
        state.closed = true;
        let (request, sent, outcome) = (state.request, state.sent, state.outcome);
        let key = self.quick.keys[state.upstream];
        let end = match outcome {
            AttemptOutcome::Answered => AttemptEnd::Answered(now.since(sent)),
            AttemptOutcome::Unreachable => AttemptEnd::Failed,
            AttemptOutcome::Refused | AttemptOutcome::Open => AttemptEnd::Refused,
        };
        self.quick.routes.end_attempt(now, key, end);
        let state = &mut self.quick.requests[request];
        state.open_attempts.retain(|open| *open != attempt);
        if state.ended {
            return;
        }
        if outcome == AttemptOutcome::Answered {
            state.ended = true;
            let latency = now.since(state.arrived);
            self.quick.latency.add(latency);
            self.quick.answered += 1;
            return self.abandon_attempts(now, request);
        }
        let none_open = state.open_attempts.is_empty();
        let has_untried = state.tried.len() < self.quick.keys.len();
        if !none_open {
            return;
        }
        if !(has_untried && self.quick.retries.try_spend() && self.send_attempt(now, request)) {
            self.refuse_request(now, request);
        }
    }

    /// Closes the attempts of a request that have not ended.
    fn abandon_attempts(&mut self, now: TimePoint, request: usize) {
        let open_attempts = std::mem::take(&mut self.quick.requests[request].open_attempts);
        for attempt in open_attempts {
            let state = &mut self.quick.attempts[attempt];
            state.closed = true;
            let (key, upstream) = (self.quick.keys[state.upstream], state.upstream);
            self.quick.gates[upstream].remove(attempt);
            self.quick
                .routes
                .end_attempt(now, key, AttemptEnd::Abandoned);
        }
    }

    fn refuse_request(&mut self, now: TimePoint, request: usize) {
        self.quick.refused += 1;
        self.record_miss(now, request);
    }

    /// Records a request without an answer. Its latency counts as the whole deadline.
    fn record_miss(&mut self, now: TimePoint, request: usize) {
        let state = &mut self.quick.requests[request];
        state.ended = true;
        let timeout = self.world.requests[request].timeout;
        self.quick.latency.add(timeout);
        self.quick.misses += 1;
        self.abandon_attempts(now, request);
    }

    pub(crate) fn handle_deadline(&mut self, now: TimePoint, request: usize) {
        if self.quick.requests[request].ended {
            return;
        }
        for attempt in self.quick.requests[request].open_attempts.clone() {
            let key = self.quick.keys[self.quick.attempts[attempt].upstream];
            self.quick.attempts[attempt].closed = true;
            self.quick.routes.end_attempt(now, key, AttemptEnd::Failed);
        }
        self.quick.requests[request].open_attempts.clear();
        self.record_miss(now, request);
    }

    pub(crate) fn report_loads(&mut self, now: TimePoint) {
        for (upstream, state) in self.world.upstreams.iter().enumerate() {
            let gate = &self.quick.gates[upstream];
            let load = UpstreamLoad {
                slots_used: gate.slots_used() as u32,
                queued: gate.queued() as u32,
                service_time: gate.service_time(),
                leaving: false,
                up: true,
            };
            // A sidecar on a worker that is down sends no report.
            if !self.world.workers[state.worker].down {
                let key = self.quick.keys[upstream];
                self.quick.routes.update_load(now, key, load);
            }
        }
    }
}
