//! Registers boots of the worker, replaces the active boot, and ends it.

use crate::boots::{BootReport, CandidateAction};
use crate::driver::HOLD_TIMEOUT;
use crate::state::{AgentState, ServiceConflict, WorkerBoot};
use platform::{HoldReply, HoldRequest, WorkerRefusal};
use std::rc::Rc;
use wax_batch::{BootId, RunId, WorkerView};
use wax_trace::{Counter, count};
use wax_wire::{AllRunsEnded, BootCrashed, PoolBody};

/// What to do after an answer of a candidate boot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CandidateStep {
    /// The candidate is registered, rejected, or waits for a new link.
    Done,
    /// The candidate has to answer again, as the fencing token has been raised.
    VerifyAgain,
}

/// Checks with a hold whether the candidate boot answers; if it does, it becomes the active boot.
pub(crate) async fn verify_candidate(state: &Rc<AgentState>) {
    while state.fencing_token.get() > 0 && verify_once(state).await == CandidateStep::VerifyAgain {}
}

/// Sends a hold that only shows the worker a higher fencing token, after a restart was noticed. From
/// then on the worker's next boot refuses calls for the previous boot.
pub(crate) async fn fence_next_boot(state: &AgentState, previous: &BootId) {
    let request = fencing_hold(state);
    // After a failure, the verification of the next boot shows it the token as well.
    match state.worker.hold(previous, &request, HOLD_TIMEOUT).await {
        Ok(Ok(_)) => {}
        Ok(Err(refusal)) => tracing::info!(worker = %previous, ?refusal, "fencing hold refused"),
        Err(error) => tracing::info!(worker = %previous, %error, "fencing hold failed"),
    }
}

/// Returns a hold that changes nothing at the worker but its fencing token.
fn fencing_hold(state: &AgentState) -> HoldRequest {
    HoldRequest {
        lease_until_ms: None,
        token: state.fencing_token.get(),
        ack_cursor: 0,
        wait_ms: 0,
    }
}

async fn verify_once(state: &Rc<AgentState>) -> CandidateStep {
    let active = state.active_boot();
    let action = state.boots.borrow_mut().take_candidate(active.as_ref());
    let report = match action {
        CandidateAction::Verify(report) => report,
        CandidateAction::Update(report) => {
            log_conflict(state.update_boot(report));
            return CandidateStep::Done;
        }
        CandidateAction::None => return CandidateStep::Done,
    };
    let request = fencing_hold(state);
    let reported_boot = &report.view.boot;
    match state
        .worker
        .hold(reported_boot, &request, HOLD_TIMEOUT)
        .await
    {
        Ok(Ok(reply)) => return register_boot(state, report, &reply, request.token),
        Ok(Err(WorkerRefusal::OtherBoot)) => reject_candidate(state, reported_boot),
        Ok(Err(refusal)) => tracing::warn!(worker = %reported_boot, ?refusal, "first hold refused"),
        Err(error) => tracing::warn!(worker = %reported_boot, %error, "first hold failed"),
    }
    CandidateStep::Done
}

fn log_conflict(updated: Result<(), ServiceConflict>) {
    if let Err(error) = updated {
        tracing::warn!(%error, "left out a check-in");
    }
}

/// Registers the boot that has answered a call with the fencing token `token`. It may be an earlier
/// or a later one than the boot that has checked in.
fn register_boot(
    state: &Rc<AgentState>,
    report: BootReport,
    reply: &HoldReply,
    token: u64,
) -> CandidateStep {
    let BootReport { view, sequence } = report;
    let reported_boot = view.boot.clone();
    let answering_boot = BootId::new(reported_boot.worker_id(), reply.started_ms);
    if answering_boot.is_different_boot(&reported_boot) {
        reject_candidate(state, &reported_boot);
        return CandidateStep::Done;
    }
    let boot = reported_boot.or_started_ms(reply.started_ms);
    let active = state.active_boot();
    if active
        .as_ref()
        .is_some_and(|active| active.may_match(&boot))
    {
        log_conflict(state.update_boot(BootReport { view, sequence }));
        return CandidateStep::Done;
    }
    if state.boots.borrow().has_ended(&boot) {
        tracing::info!(worker = %boot, "boot ended before it was registered");
        return CandidateStep::Done;
    }
    if let Some(active) = active.filter(|active| active.is_different_boot(&boot)) {
        handle_restart(state, &active);
    }
    let needs_higher_token = state.boots.borrow().needs_higher_token(&boot, token);
    let view = WorkerView { boot, ..view };
    if needs_higher_token {
        let report = BootReport { view, sequence };
        state.boots.borrow_mut().set_candidate(report);
        // The token may have been raised after the call was sent, also by a new link.
        if state.fencing_token.get() > token || state.raise_token() {
            return CandidateStep::VerifyAgain;
        }
        state.higher_token_wanted.notify(usize::MAX);
        return CandidateStep::Done;
    }
    let mut on_next: Vec<RunId> = reply.run_ids().collect();
    if reply.ended.has_more
        && let Some(replaced) = &*state.boot.borrow()
    {
        // Each run of the replaced boot may be among the ends that are not listed.
        on_next.extend(replaced.table.run_ids());
    }
    replace_boot(state, view, sequence, &on_next);
    CandidateStep::Done
}

fn reject_candidate(state: &AgentState, boot: &BootId) {
    tracing::info!(worker = %boot, "ignored check-in of a boot that does not answer");
    state.boots.borrow_mut().note_replaced(boot);
}

/// Makes the boot of `view` the active one. The boot has answered a call with a fencing token that
/// no earlier boot of this worker got. `on_next` lists all runs whose starts, sent with older
/// tokens, may have reached the boot.
fn replace_boot(state: &Rc<AgentState>, view: WorkerView, sequence: u64, on_next: &[RunId]) {
    if is_replaced(state) {
        end_replaced(state, on_next);
    } else if let Some(before) = state.active_boot() {
        end_boot(state, &before, "a new boot has checked in");
    }
    let crash = state
        .crashes
        .borrow_mut()
        .note_active(&view.boot, state.now());
    send_crash(state, crash);
    let mut boot = WorkerBoot::new(view, sequence, state.now());
    boot.has_unreported_leases = state.boots.borrow().had_earlier_boot(&boot.view.boot);
    // Until now the boot may have executed calls of an earlier agent process on this VM, and calls
    // for the worker's previous boot.
    boot.lease
        .assume_granted(state.now(), state.lease_rules.longest);
    let leases_ms = boot.lease.remaining(state.now()).as_millis() as u64;
    tracing::info!(worker = %boot.view.boot, service = %boot.view.service, state = ?boot.view.state, leases_ms, "worker registered");
    *state.boot.borrow_mut() = Some(boot);
}

fn send_crash(state: &AgentState, crash: Option<BootCrashed>) {
    if let Some(crash) = crash {
        state.send(PoolBody::BootCrashed(crash));
    }
}

pub(crate) fn end_boot(state: &Rc<AgentState>, active: &BootId, reason: &str) {
    let ended = state
        .boot
        .borrow_mut()
        .take_if(|boot| boot.view.boot == *active);
    if let Some(ended) = ended {
        state.boots.borrow_mut().note_ended(active);
        count(Counter::WorkersEnded);
        tracing::warn!(worker = %active, why = reason, "worker is gone");
        let now = state.now();
        let runs = ended.log_lost_runs(now, &[]);
        let crash = state
            .crashes
            .borrow_mut()
            .note_ended(&ended.view, &runs, now);
        // The crash is sent before the end of the boot, because the owner queues the boot's tasks
        // again when it receives the end.
        send_crash(state, crash);
        state.send(PoolBody::AllRunsEnded(AllRunsEnded::new(active, true)));
    }
}

/// Handles a restart of the worker under the same id. Runs that the active boot has listed are
/// lost with it, unless a copy of their start may still be executed. Such runs and unlisted ones may
/// have been started by the next boot; they are resolved once that boot is active.
pub(crate) fn handle_restart(state: &Rc<AgentState>, active: &BootId) {
    let is_unresolved = {
        let mut boot = state.boot.borrow_mut();
        let boot = boot.as_mut().filter(|boot| boot.view.boot == *active);
        let Some(boot) = boot.filter(|boot| !boot.is_replaced) else {
            return;
        };
        let now = state.now();
        boot.is_replaced = boot.table.may_be_on_next_boot(now);
        if boot.is_replaced {
            boot.table.reopen_stopped();
            let late_execution = state.rules.orders.get().late_execution;
            let latest = boot.table.latest_start_execution(now, late_execution);
            boot.lease.assume_granted(latest, state.lease_rules.longest);
        }
        boot.is_replaced
    };
    if is_unresolved {
        tracing::warn!(worker = %active, "worker restarted under the same id; some runs may be on its next boot");
    } else {
        end_boot(state, active, "worker restarted under the same id");
    }
}

/// Ends the replaced boot, except for the runs that are on the next boot. The end has no message of
/// its own: the owner learns of it from the next boot's run list. After a separate message, the
/// owner would start tasks elsewhere whose runs are on the next boot.
fn end_replaced(state: &Rc<AgentState>, on_next: &[RunId]) {
    let Some(ended) = state.boot.borrow_mut().take() else {
        return;
    };
    state.boots.borrow_mut().note_replaced(&ended.view.boot);
    count(Counter::WorkersEnded);
    tracing::warn!(worker = %ended.view.boot, on_next = on_next.len(), "worker is gone");
    let now = state.now();
    let runs = ended.log_lost_runs(now, on_next);
    let crash = state
        .crashes
        .borrow_mut()
        .note_ended(&ended.view, &runs, now);
    send_crash(state, crash);
}

/// Ends the active boot once all its leases have expired, so that nothing runs there any more. The
/// boot may become active again after a new verification.
pub(crate) fn expire_boot(state: &Rc<AgentState>, active: &BootId) {
    let now = state.now();
    let mut boot = state.boot.borrow_mut();
    let Some(expired) = boot
        .as_mut()
        .filter(|boot| boot.view.boot == *active && boot.lease.has_expired(now))
    else {
        return;
    };
    count(Counter::WorkersEnded);
    let after_authority_ms = now.since(state.authority_until.get()).as_millis() as u64;
    tracing::warn!(worker = %active, after_authority_ms, "leases have lapsed");
    let runs = expired.log_lost_runs(now, &[]);
    let view = expired.view.clone();
    state.crashes.borrow_mut().note_expired(&view, runs);
    let (sequence, is_replaced) = (expired.sequence, expired.is_replaced);
    *boot = None;
    state.send(PoolBody::AllRunsEnded(AllRunsEnded::new(active, false)));
    let mut boots = state.boots.borrow_mut();
    if is_replaced {
        boots.note_ended(active);
    } else {
        boots.set_candidate(BootReport { view, sequence });
    }
}

/// Returns whether the active boot was replaced and the next boot is not active yet.
pub(crate) fn is_replaced(state: &AgentState) -> bool {
    let boot = state.boot.borrow();
    boot.as_ref().is_some_and(|boot| boot.is_replaced)
}
