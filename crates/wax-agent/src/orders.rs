//! Carries out the owner's orders. Each runs in a task of its own until its result is known.

use crate::copies::CallCopies;
use crate::pace::PaceChange;
use crate::run_table::{PlacementInfo, RunState, RunTable};
use crate::state::{AgentState, WorkerBoot};
use compio::runtime::spawn;
use compio::time::sleep;
use platform::{CallError, OrderOutcome, StartRequest, WorkerRefusal};
use std::rc::Rc;
use std::time::Duration;
use wax_batch::{BootId, RunId, StartRefusal, WorkerState};
use wax_policy::ResendChoice;
use wax_trace::{Counter, Latency, count, count_many, record_latency};
use wax_types::TimePoint;
use wax_wire::{PlacementFrame, PoolBody, RefusalFrame, RunUpdates, StartRun};

/// Timeout for a start; an unanswered start is followed by a stop.
pub(crate) const START_TIMEOUT: Duration = Duration::from_millis(700);
/// Timeout for a stop or a change of pace.
const ORDER_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay between two attempts to send a stop.
const STOP_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time after the end of the authority at which runs are stopped whose leases no owner knows of. A new
/// link within this time keeps them, and the rest of the leases' grace is longer than a stop takes.
const UNREPORTED_LEASE_DELAY: Duration = Duration::from_millis(4_000);
/// Limit of a pace order as a multiple of the time without an answer after which other orders are
/// sent again.
const PACE_LIMIT_FACTOR: u32 = 4;

/// What becomes of a stop whose copies have been answered or given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StopProgress {
    /// The stop is acknowledged, or the run or its boot has ended.
    Over,
    /// The stop is sent again.
    Repeat,
}

impl From<&PlacementFrame> for PlacementInfo {
    fn from(frame: &PlacementFrame) -> Self {
        Self {
            reserved: frame.reserved(),
            cpu_milli: frame.cpu_milli,
            best_effort: frame.best_effort,
            tail_target_ms: frame.tail_target_ms,
            image: frame.image.as_str().into(),
        }
    }
}

impl AgentState {
    /// Starts a run, if the order is meant for the active boot and passes the admission checks.
    pub(crate) fn handle_start(self: &Rc<Self>, order: StartRun) {
        let run_id = RunId::from(&order.placement.run_id);
        match self.admit(&order, run_id) {
            Err(refusal) => self.report_refusal(run_id, refusal),
            Ok((boot, request)) => {
                let state = self.clone();
                if self.rules.orders.get().is_enabled() {
                    spawn(async move { state.send_start_copies(boot, request).await }).detach();
                } else {
                    spawn(async move { state.send_start(boot, request).await }).detach();
                }
            }
        }
    }

    /// Admission check: the worker's capacity must cover the run, the owner's authority must be
    /// valid now, and the worker's failure domain must not be drained.
    fn admit(
        &self,
        order: &StartRun,
        run_id: RunId,
    ) -> Result<(BootId, StartRequest), StartRefusal> {
        let target = order.boot();
        let now = self.now();
        let mut boot = self.boot.borrow_mut();
        let Some(boot) = boot
            .as_mut()
            .filter(|boot| boot.view.boot.may_match(&target) && !boot.is_replaced)
        else {
            return Err(StartRefusal::Stale);
        };
        if now >= self.authority_until.get() || !self.is_accepted(boot) {
            return Err(StartRefusal::Stale);
        }
        self.check_drains(now)?;
        let authority = self.authority_until.get();
        let Some(lease_until_ms) = boot.lease.extend(now, authority, &self.lease_rules) else {
            return Err(StartRefusal::Stale);
        };
        boot.table
            .reserve(run_id, (&order.placement).into(), &boot.view, now)?;
        let request = StartRequest {
            run_id,
            text: order.text.as_str().into(),
            lease_until_ms,
            token: self.fencing_token.get(),
            checkpoint: order.checkpoint.as_str().into(),
            ticket: order.ticket.as_str().into(),
        };
        Ok((boot.view.boot.clone(), request))
    }

    async fn send_start(self: Rc<Self>, boot: BootId, request: StartRequest) {
        let run_id = request.run_id;
        let sent_at = self.now();
        let answer = self.worker.start(&boot, &request, START_TIMEOUT).await;
        record_latency(Latency::StartRun, self.now().since(sent_at));
        if answer.is_ok() {
            self.note_order_answer(&boot);
        }
        match answer.map(|reply| reply.outcome) {
            Ok(OrderOutcome::Done) => self.note_started(&boot, run_id),
            Ok(OrderOutcome::Refused(refusal)) => self.note_refused(&boot, run_id, refusal),
            Err(CallError::NotSent(error)) => {
                tracing::warn!(%error, task = %run_id.task, run = run_id.run, "start was not sent");
                self.note_refused(&boot, run_id, WorkerRefusal::Unwell);
            }
            Err(CallError::Unknown(error)) => {
                count(Counter::StartsUnanswered);
                tracing::warn!(%error, task = %run_id.task, run = run_id.run, "start was not answered");
                self.resolve_start(boot, run_id).await;
            }
        }
    }

    /// Starts a run, with further copies of the order while it has no answer. The first acceptance
    /// counts. A refusal counts only if no other copy was sent: of several copies one may have
    /// started the run, or may still do so, although another one is refused.
    pub(crate) async fn send_start_copies(self: Rc<Self>, boot: BootId, request: StartRequest) {
        let run_id = request.run_id;
        let began_at = self.now();
        let mut plan = self.order_plan(began_at, START_TIMEOUT);
        let mut copies = CallCopies::new();
        let (mut all_unsent, mut last_error) = (true, None);
        let answered = loop {
            if !self.is_starting(&boot, run_id) {
                // A hold has listed the run or its end, or a stop is being sent.
                break None;
            }
            let now = self.now();
            let wait = match plan.choose(now) {
                ResendChoice::GiveUp => match copies.grace(now) {
                    Some(wait) => wait,
                    None => break None,
                },
                ResendChoice::Wait(_) if plan.is_exhausted() && copies.is_idle() => break None,
                ResendChoice::Wait(wait) => wait,
                ResendChoice::Send if copies.sent() > 0 && !self.may_resend(&request, now) => {
                    plan.stop_sending();
                    continue;
                }
                ResendChoice::Send => {
                    plan.note_sent(now);
                    if copies.sent() > 0 {
                        count(Counter::StartsResent);
                        self.note_start_copy(&boot, run_id, now);
                    }
                    let limit = plan.time_left(now);
                    copies.push(now, self.worker.start(&boot, &request, limit));
                    continue;
                }
            };
            let Some(copy) = copies.next(wait).await else {
                continue;
            };
            match copy.answer {
                Ok(reply) => {
                    self.note_order_reply(&boot, copy.sent_at, reply.clock_ms);
                    break Some((copy.position, reply.outcome));
                }
                Err(CallError::NotSent(error)) => {
                    last_error = Some(error);
                    if copies.is_idle() && all_unsent {
                        break None;
                    }
                }
                Err(CallError::Unknown(error)) => {
                    copies.note_failed();
                    (all_unsent, last_error) = (false, Some(error));
                }
            }
        };
        record_latency(Latency::StartRun, self.now().since(began_at));
        let sent = copies.sent();
        self.note_losses(&boot, copies.lost(answered.map(|(position, _)| position)));
        let is_unsent = sent > 0 && all_unsent && copies.is_idle() && answered.is_none();
        // Closes the connections of the copies without an answer.
        drop(copies);
        match answered {
            Some((_, OrderOutcome::Done)) => {
                if sent > 1 {
                    count(Counter::StartsRecovered);
                }
                self.note_started(&boot, run_id);
            }
            Some((_, OrderOutcome::Refused(refusal))) if sent == 1 => {
                self.note_refused(&boot, run_id, refusal);
            }
            None if is_unsent => {
                let error = last_error.as_ref().map(tracing::field::display);
                tracing::warn!(error, task = %run_id.task, run = run_id.run, "start was not sent");
                self.note_refused(&boot, run_id, WorkerRefusal::Unwell);
            }
            _ => self.resolve_copies(boot, run_id, sent, answered).await,
        }
    }

    /// Resolves a start whose copies were not answered, or refused after copies without an answer.
    async fn resolve_copies(
        self: Rc<Self>,
        boot: BootId,
        run_id: RunId,
        copies: u32,
        answered: Option<(u32, OrderOutcome)>,
    ) {
        let state = self
            .with_table(&boot, |table| table.state(run_id))
            .flatten();
        match state {
            Some(RunState::Running) => {
                // A hold has listed the run.
                count(Counter::StartsRecovered);
                self.note_started(&boot, run_id);
            }
            Some(RunState::Starting) => {
                count(Counter::StartsUnanswered);
                let refusal = answered.map(|(_, outcome)| tracing::field::debug(outcome));
                tracing::warn!(task = %run_id.task, run = run_id.run, copies, refusal, "start was not answered");
                self.send_stop(boot, run_id).await;
            }
            Some(RunState::Stopping | RunState::Stopped { .. }) | None => {}
        }
    }

    /// Records until when copies of a start that is sent again now may be executed: the lease that
    /// they contain ends them, but its end is a time on the clock of the boot that executes them.
    fn note_start_copy(&self, boot: &BootId, run_id: RunId, now: TimePoint) {
        let late_until = now + self.rules.orders.get().late_execution;
        self.with_boot(boot, |boot| {
            let until = late_until.max(boot.lease.bound());
            boot.table.note_start_copy(run_id, until);
        });
    }

    pub(crate) fn is_starting(&self, boot: &BootId, run_id: RunId) -> bool {
        let state = self.with_table(boot, |table| table.state(run_id));
        state.flatten() == Some(RunState::Starting)
    }

    /// Returns whether a further copy of a start may be sent: all that allowed the first copy must
    /// still hold, and the owner must be the same.
    pub(crate) fn may_resend(&self, request: &StartRequest, now: TimePoint) -> bool {
        let boot = self.boot.borrow();
        let takes_starts = boot
            .as_ref()
            .is_some_and(|boot| !boot.is_replaced && boot.view.state != WorkerState::Draining);
        takes_starts
            && now < self.authority_until.get()
            && self.is_reconciled()
            && request.token == self.fencing_token.get()
            && self.check_drains(now).is_ok()
    }

    /// Resolves an unanswered start: unless a hold has listed the run meanwhile, it is stopped,
    /// which also prevents a late start.
    async fn resolve_start(self: Rc<Self>, boot: BootId, run_id: RunId) {
        if self.is_starting(&boot, run_id) {
            self.send_stop(boot, run_id).await;
        }
    }

    fn note_started(self: &Rc<Self>, boot: &BootId, run_id: RunId) {
        let is_running = self.with_boot(boot, |boot| {
            boot.table.mark_running(run_id);
            let is_running = boot.table.state(run_id) == Some(RunState::Running);
            if is_running {
                boot.updates.note_started(run_id);
            }
            is_running
        });
        if is_running == Some(true) {
            self.send_pace_orders();
        }
    }

    fn note_refused(&self, boot: &BootId, run_id: RunId, refusal: WorkerRefusal) {
        let refusal = match refusal {
            WorkerRefusal::Room => StartRefusal::Room,
            WorkerRefusal::Unwell | WorkerRefusal::Invalid => StartRefusal::Unwell,
            _ => StartRefusal::Stale,
        };
        if self.with_table(boot, |table| table.remove(run_id)) == Some(true) {
            self.report_refusal(run_id, refusal);
        }
    }

    fn report_refusal(&self, run_id: RunId, refusal: StartRefusal) {
        count(Counter::StartsRefused);
        tracing::info!(task = %run_id.task, run = run_id.run, why = ?refusal, "start refused");
        let message = RunUpdates {
            refused: vec![RefusalFrame::new(run_id, refusal)],
            ..Default::default()
        };
        let message = match self.boot.borrow_mut().as_mut() {
            Some(boot) => boot.updates.merge_into(message),
            None => message,
        };
        self.send(PoolBody::RunUpdates(message));
    }

    /// Stops a run on the owner's order.
    pub(crate) fn handle_stop(self: &Rc<Self>, run_id: RunId) {
        let Some(boot) = self
            .boot
            .borrow()
            .as_ref()
            .map(|boot| boot.view.boot.clone())
        else {
            return;
        };
        let state = self.clone();
        spawn(async move { state.send_stop(boot, run_id).await }).detach();
    }

    /// Sends a stop until it is answered or the boot is no longer active. If unanswered calls are
    /// sent again, a stop that is being sent already is not sent by a second task.
    pub(crate) async fn send_stop(self: Rc<Self>, boot: BootId, run_id: RunId) {
        let is_first = self.with_table(&boot, |table| table.begin_stop(run_id));
        if self.rules.orders.get().is_enabled() && is_first != Some(true) {
            return;
        }
        self.repeat_stop(&boot, run_id).await;
        self.with_table(&boot, |table| table.end_stop(run_id));
    }

    /// Stops the runs that may hold leases by the clock of the worker's previous boot, if no owner
    /// knows of these leases and the authority has ended. An owner counts all leases as expired some
    /// seconds later.
    pub(crate) fn stop_runs_without_authority(self: &Rc<Self>, active: &BootId) {
        let now = self.now();
        if now < self.authority_until.get() + UNREPORTED_LEASE_DELAY {
            return;
        }
        let runs = self.with_boot(active, |boot| match boot {
            boot if boot.is_replaced => boot.table.unstopped_on_next_boot(now),
            boot if boot.has_unreported_leases => boot.table.unstopped(),
            _ => Vec::new(),
        });
        for run_id in runs.unwrap_or_default() {
            tracing::info!(worker = %active, task = %run_id.task, run = run_id.run, "stopping a run without authority");
            let (state, boot) = (self.clone(), active.clone());
            spawn(async move { state.send_stop(boot, run_id).await }).detach();
        }
    }

    async fn repeat_stop(&self, boot: &BootId, run_id: RunId) {
        loop {
            if self.rules.orders.get().is_enabled() {
                if self.send_stop_copies(boot, run_id).await == StopProgress::Over {
                    return;
                }
                sleep(STOP_RETRY_DELAY).await;
                continue;
            }
            if self.with_table(boot, |table| table.mark_stopping(run_id)) != Some(true) {
                // The run or its boot has ended. The owner learns of it from the end itself, on
                // this link or the next. A reply that the run never started would let a finished
                // task run again.
                return;
            }
            let answer = self
                .worker
                .stop(boot, run_id, self.fencing_token.get(), ORDER_TIMEOUT)
                .await;
            match answer.map(|reply| reply.outcome) {
                Ok(OrderOutcome::Done) => {
                    let mut state = self.boot.borrow_mut();
                    if let Some(state) = state.as_mut().filter(|state| state.view.boot == *boot) {
                        let hold = state.hold_number;
                        state.table.mark_stopped(run_id, hold);
                    }
                    return;
                }
                Ok(OrderOutcome::Refused(WorkerRefusal::OtherBoot)) => return,
                Ok(OrderOutcome::Refused(refusal)) => {
                    tracing::warn!(task = %run_id.task, run = run_id.run, ?refusal, "stop refused");
                }
                Err(error) => {
                    tracing::warn!(%error, task = %run_id.task, run = run_id.run, "stop was not answered");
                }
            }
            sleep(STOP_RETRY_DELAY).await;
        }
    }

    /// Sends a stop, with further copies while it has no answer. The first acknowledgement counts:
    /// whatever the other copies do later, the worker does not start the run again.
    async fn send_stop_copies(&self, boot: &BootId, run_id: RunId) -> StopProgress {
        let mut plan = self.order_plan(self.now(), ORDER_TIMEOUT);
        let mut copies = CallCopies::new();
        let mut is_refused = false;
        loop {
            if self.with_table(boot, |table| table.mark_stopping(run_id)) != Some(true) {
                // The run or its boot has ended; see `repeat_stop`.
                return StopProgress::Over;
            }
            let now = self.now();
            let wait = match plan.choose(now) {
                ResendChoice::GiveUp => match copies.grace(now) {
                    Some(wait) => wait,
                    None => break,
                },
                ResendChoice::Wait(_) if plan.is_exhausted() && copies.is_idle() => break,
                ResendChoice::Wait(wait) => wait,
                ResendChoice::Send => {
                    plan.note_sent(now);
                    if copies.sent() > 0 {
                        count(Counter::StopsResent);
                    }
                    let (token, limit) = (self.fencing_token.get(), plan.time_left(now));
                    copies.push(now, self.worker.stop(boot, run_id, token, limit));
                    continue;
                }
            };
            let Some(copy) = copies.next(wait).await else {
                continue;
            };
            let position = copy.position;
            match copy.answer {
                Ok(reply) => {
                    self.note_order_reply(boot, copy.sent_at, reply.clock_ms);
                    match reply.outcome {
                        OrderOutcome::Done => {
                            self.with_boot(boot, |boot| {
                                boot.table.mark_stopped(run_id, boot.hold_number);
                            });
                            self.note_losses(boot, copies.lost(Some(position)));
                            return StopProgress::Over;
                        }
                        OrderOutcome::Refused(WorkerRefusal::OtherBoot) => {
                            return StopProgress::Over;
                        }
                        OrderOutcome::Refused(refusal) => {
                            is_refused = true;
                            tracing::warn!(task = %run_id.task, run = run_id.run, ?refusal, "stop refused");
                        }
                    }
                }
                Err(CallError::Unknown(_)) => copies.note_failed(),
                Err(CallError::NotSent(error)) => {
                    tracing::debug!(%error, task = %run_id.task, run = run_id.run, "stop was not sent");
                }
            }
            if copies.is_idle() {
                // Neither a refusal nor a broken connection is resolved by an immediate copy.
                break;
            }
        }
        let sent = copies.sent();
        self.note_losses(boot, copies.lost(None));
        if !is_refused {
            tracing::warn!(task = %run_id.task, run = run_id.run, copies = sent, "stop was not answered");
        }
        StopProgress::Repeat
    }

    /// Plans the paces of best-effort runs and sends those that have changed to the worker.
    pub(crate) fn send_pace_orders(self: &Rc<Self>) {
        let (boot, orders) = {
            let mut boot = self.boot.borrow_mut();
            let Some(boot) = boot.as_mut() else {
                return;
            };
            let sample = boot.table.pace_sample();
            boot.pace
                .plan_paces(&sample, self.now(), &self.current_pace_rules());
            log_pace_changes(&boot.view.boot, &boot.pace.take_changes());
            let mut orders = boot.table.take_pace_orders(&boot.pace);
            let rules = self.rules.orders.get();
            if rules.is_enabled() {
                let now = self.now();
                boot.table.note_paces_sent(&orders, now);
                let repeated = boot
                    .table
                    .take_repeated_paces(&boot.pace, now, rules.pace_repeat);
                count_many(Counter::PacesRepeated, repeated.len() as u64);
                orders.extend(repeated);
            }
            (boot.view.boot.clone(), orders)
        };
        count_many(Counter::PaceOrders, orders.len() as u64);
        for (run_id, percent) in orders {
            let state = self.clone();
            let boot = boot.clone();
            spawn(async move { state.send_pace(&boot, run_id, percent).await }).detach();
        }
    }

    async fn send_pace(&self, boot: &BootId, run_id: RunId, percent: u32) {
        let rules = self.rules.orders.get();
        let (token, sent_at) = (self.fencing_token.get(), self.now());
        let limit = if rules.is_enabled() {
            // The pace is planned again by the time it would be sent again, so there are no copies.
            // A limit of a single time-out would close the connection at each slow answer.
            (self.order_resend_delay(sent_at, ORDER_TIMEOUT) * PACE_LIMIT_FACTOR).min(ORDER_TIMEOUT)
        } else {
            ORDER_TIMEOUT
        };
        let answer = self.worker.pace(boot, run_id, percent, token, limit).await;
        if rules.is_enabled() {
            match &answer {
                Ok(reply) => self.note_order_reply(boot, sent_at, reply.clock_ms),
                Err(CallError::Unknown(_)) => {
                    self.note_losses(boot, 1);
                    let until = sent_at + rules.late_execution;
                    self.with_table(boot, |table| table.note_pace_lost(run_id, until));
                }
                Err(CallError::NotSent(_)) => {}
            }
        }
        let outcome = answer.map(|reply| reply.outcome);
        if !matches!(outcome, Ok(OrderOutcome::Done)) {
            self.with_table(boot, |table| table.forget_pace(run_id));
        }
    }

    pub(crate) fn with_table<T>(
        &self,
        boot: &BootId,
        update: impl FnOnce(&mut RunTable) -> T,
    ) -> Option<T> {
        self.with_boot(boot, |boot| update(&mut boot.table))
    }

    pub(crate) fn with_boot<T>(
        &self,
        boot: &BootId,
        update: impl FnOnce(&mut WorkerBoot) -> T,
    ) -> Option<T> {
        let mut state = self.boot.borrow_mut();
        let state = state.as_mut().filter(|state| state.view.boot == *boot)?;
        Some(update(state))
    }
}

/// Logs each large change of a pace, with the serving run that it protects.
fn log_pace_changes(worker: &BootId, changes: &[PaceChange]) {
    let rounded = |value: f64| (value * 1_000.0).round() / 1_000.0;
    for change in changes {
        let cause = change.cause.as_ref();
        tracing::info!(
            %worker,
            image = %change.image,
            percent = change.percent,
            protects = cause.map(|cause| tracing::field::display(cause.run_id.task)),
            tail = cause.map(|cause| rounded(cause.tail_ratio)),
            own = cause.map(|cause| rounded(cause.baseline_load)),
            room = cause.map(|cause| rounded(cause.headroom)),
            press = cause.map(|cause| rounded(cause.interference)),
            "pace changed"
        );
    }
}
