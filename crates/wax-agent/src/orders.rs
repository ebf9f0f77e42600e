//! Carries out the owner's orders, one task each, until their fate is known.

use crate::pace::PaceChange;
use crate::state::{AgentState, WorkerBoot};
use crate::table::{RunStand, RunTable, SeatInfo};
use compio::runtime::spawn;
use compio::time::sleep;
use platform::{CallError, OrderOutcome, StartRequest, WorkerRefusal};
use std::rc::Rc;
use std::time::Duration;
use wax_batch::{BootId, RunId, StartRefusal};
use wax_trace::{Counter, Latency, count, count_many, record_latency};
use wax_wire::{PoolBody, RefusalFrame, RunNews, SeatFrame, StartRun};

/// A start that is not answered for this long is stopped instead.
const START_LIMIT: Duration = Duration::from_millis(700);
/// Longest time for a stop or a change of pace.
const ORDER_LIMIT: Duration = Duration::from_millis(500);
/// Between two tries of a stop.
const STOP_PAUSE: Duration = Duration::from_millis(100);

impl From<&SeatFrame> for SeatInfo {
    fn from(frame: &SeatFrame) -> Self {
        Self {
            booked: frame.booked(),
            cpu_milli: frame.cpu_milli,
            fills: frame.fills,
            tail_target_ms: frame.tail_target_ms,
            image: frame.image.as_str().into(),
        }
    }
}

impl AgentState {
    /// Starts a run, if the worker is the one that was meant and has room.
    pub(crate) fn order_start(self: &Rc<Self>, order: StartRun) {
        let mark = RunId::from(&order.seat.mark);
        match self.admit(&order, mark) {
            Err(refusal) => self.tell_refusal(mark, refusal),
            Ok((boot, request)) => {
                let state = self.clone();
                spawn(async move { state.start(boot, request).await }).detach();
            }
        }
    }

    /// The guard: what starts must fit, the owner's authority must reach to now, and the worker's failure
    /// domain must not be drained.
    fn admit(&self, order: &StartRun, mark: RunId) -> Result<(BootId, StartRequest), StartRefusal> {
        let meant = order.boot();
        let now = self.now();
        let mut boot = self.boot.borrow_mut();
        let Some(boot) = boot
            .as_mut()
            .filter(|boot| boot.view.boot.may_match(&meant) && !boot.is_replaced)
        else {
            return Err(StartRefusal::Stale);
        };
        if now >= self.authority.get() || !self.is_kept() {
            return Err(StartRefusal::Stale);
        }
        self.may_start(now)?;
        let authority = self.authority.get();
        let Some(lease_until_ms) = boot.lease.extend(now, authority, &self.lease_rules) else {
            return Err(StartRefusal::Stale);
        };
        boot.table
            .begin(mark, (&order.seat).into(), &boot.view, now)?;
        let request = StartRequest {
            mark,
            text: order.text.as_str().into(),
            lease_until_ms,
            token: self.token.get(),
            checkpoint: order.checkpoint.as_str().into(),
            ticket: order.ticket.as_str().into(),
        };
        Ok((boot.view.boot.clone(), request))
    }

    async fn start(self: Rc<Self>, boot: BootId, request: StartRequest) {
        let mark = request.mark;
        let sent = self.now();
        let answer = self.worker.start(&boot, &request, START_LIMIT).await;
        record_latency(Latency::StartRun, self.now().since(sent));
        if answer.is_ok() {
            self.note_heard(&boot);
        }
        match answer {
            Ok(OrderOutcome::Done) => self.note_started(&boot, mark),
            Ok(OrderOutcome::Refused(refusal)) => self.note_refused(&boot, mark, refusal),
            Err(CallError::NotSent(error)) => {
                tracing::warn!(%error, task = %mark.task, run = mark.run, "start was not sent");
                self.note_refused(&boot, mark, WorkerRefusal::Unwell);
            }
            Err(CallError::Unknown(error)) => {
                count(Counter::StartsUnanswered);
                tracing::warn!(%error, task = %mark.task, run = mark.run, "start without an answer");
                self.settle_start(boot, mark).await;
            }
        }
    }

    /// Ends the doubt about a start: a hold may have shown it running, else a stop forbids it.
    async fn settle_start(self: Rc<Self>, boot: BootId, mark: RunId) {
        let starting =
            self.with_table(&boot, |table| table.stand(mark) == Some(RunStand::Starting));
        if starting == Some(true) {
            self.stop(boot, mark).await;
        }
    }

    fn note_started(self: &Rc<Self>, boot: &BootId, mark: RunId) {
        let known = self.with_boot(boot, |boot| {
            boot.table.started(mark);
            let runs = boot.table.stand(mark) == Some(RunStand::Running);
            if runs {
                boot.news.note_started(mark);
            }
            runs
        });
        if known == Some(true) {
            self.order_paces();
        }
    }

    fn note_refused(&self, boot: &BootId, mark: RunId, refusal: WorkerRefusal) {
        let refusal = match refusal {
            WorkerRefusal::Room => StartRefusal::Room,
            WorkerRefusal::Unwell | WorkerRefusal::Invalid => StartRefusal::Unwell,
            _ => StartRefusal::Stale,
        };
        if self.with_table(boot, |table| table.remove(mark)) == Some(true) {
            self.tell_refusal(mark, refusal);
        }
    }

    fn tell_refusal(&self, mark: RunId, refusal: StartRefusal) {
        count(Counter::StartsRefused);
        tracing::info!(task = %mark.task, run = mark.run, why = ?refusal, "start refused");
        let news = RunNews {
            refused: vec![RefusalFrame::new(mark, refusal)],
            ..Default::default()
        };
        let news = match self.boot.borrow_mut().as_mut() {
            Some(boot) => boot.news.complete(news),
            None => news,
        };
        self.tell(PoolBody::News(news));
    }

    /// Stops a run by the owner's order.
    pub(crate) fn order_stop(self: &Rc<Self>, mark: RunId) {
        let Some(boot) = self
            .boot
            .borrow()
            .as_ref()
            .map(|boot| boot.view.boot.clone())
        else {
            return;
        };
        let state = self.clone();
        spawn(async move { state.stop(boot, mark).await }).detach();
    }

    /// Sends a stop until it is answered, or the boot is another.
    pub(crate) async fn stop(self: Rc<Self>, boot: BootId, mark: RunId) {
        loop {
            if self.with_table(&boot, |table| table.stopping(mark)) != Some(true) {
                // The run has ended, or its boot has: the end tells, on this link or the next. To
                // answer that the run never began would let a task that is done run again.
                return;
            }
            let answer = self
                .worker
                .stop(&boot, mark, self.token.get(), ORDER_LIMIT)
                .await;
            match answer {
                Ok(OrderOutcome::Done) => {
                    let mut state = self.boot.borrow_mut();
                    if let Some(state) = state.as_mut().filter(|state| state.view.boot == boot) {
                        let hold = state.hold;
                        state.table.stopped(mark, hold);
                    }
                    return;
                }
                Ok(OrderOutcome::Refused(WorkerRefusal::OtherBoot)) => return,
                Ok(OrderOutcome::Refused(refusal)) => {
                    tracing::warn!(task = %mark.task, run = mark.run, ?refusal, "stop refused");
                }
                Err(error) => {
                    tracing::warn!(%error, task = %mark.task, run = mark.run, "stop without an answer");
                }
            }
            sleep(STOP_PAUSE).await;
        }
    }

    /// Sets the paces of runs that fill.
    pub(crate) fn order_paces(self: &Rc<Self>) {
        let (boot, marks) = {
            let mut boot = self.boot.borrow_mut();
            let Some(boot) = boot.as_mut() else {
                return;
            };
            let sample = boot.table.pace_sample();
            boot.pace.plan(&sample, self.now(), &self.pace_rules_now());
            log_changes(&boot.view.boot, &boot.pace.take_changes());
            (boot.view.boot.clone(), boot.table.repace(&boot.pace))
        };
        count_many(Counter::PaceOrders, marks.len() as u64);
        for (mark, percent) in marks {
            let state = self.clone();
            let boot = boot.clone();
            spawn(async move {
                let token = state.token.get();
                let answer = state
                    .worker
                    .pace(&boot, mark, percent, token, ORDER_LIMIT)
                    .await;
                if !matches!(answer, Ok(OrderOutcome::Done)) {
                    state.with_table(&boot, |table| table.pace_lost(mark));
                }
            })
            .detach();
        }
    }

    pub(crate) fn with_table<T>(
        &self,
        boot: &BootId,
        act: impl FnOnce(&mut RunTable) -> T,
    ) -> Option<T> {
        self.with_boot(boot, |boot| act(&mut boot.table))
    }

    fn with_boot<T>(&self, boot: &BootId, act: impl FnOnce(&mut WorkerBoot) -> T) -> Option<T> {
        let mut state = self.boot.borrow_mut();
        let state = state.as_mut().filter(|state| state.view.boot == *boot)?;
        Some(act(state))
    }
}

/// One line for each pace that has changed by much, with the run that it protects.
fn log_changes(worker: &BootId, changes: &[PaceChange]) {
    let rounded = |value: f64| (value * 1_000.0).round() / 1_000.0;
    for change in changes {
        let cause = change.cause.as_ref();
        tracing::info!(
            %worker,
            image = %change.filling,
            percent = change.percent,
            protects = cause.map(|cause| tracing::field::display(cause.run.task)),
            tail = cause.map(|cause| rounded(cause.tail)),
            own = cause.map(|cause| rounded(cause.own)),
            room = cause.map(|cause| rounded(cause.room)),
            press = cause.map(|cause| rounded(cause.press)),
            "pace changed"
        );
    }
}
