//! Which boot of the worker is driven: how one is registered, replaced and given up.

use crate::boots::{BootReport, CandidateAction};
use crate::driver::HOLD_TIMEOUT;
use crate::state::{AgentState, WorkerBoot};
use platform::{HoldReply, HoldRequest, WorkerRefusal};
use std::rc::Rc;
use wax_batch::{BootId, RunMark, WorkerView};
use wax_trace::{Counter, count};
use wax_wire::{BootCrashed, PoolBody, WorkerGone};

/// Looks whether a boot that has checked in answers; if so it replaces the one before.
pub(crate) async fn verify_candidate(state: &Rc<AgentState>) {
    if state.fencing_token.get() == 0 {
        return;
    }
    let active = state.active_boot();
    let action = state.boots.borrow_mut().take_candidate(active.as_ref());
    let report = match action {
        CandidateAction::Verify(report) => report,
        CandidateAction::Update(report) => {
            state.update_boot(report);
            return;
        }
        CandidateAction::None => return,
    };
    let request = HoldRequest {
        lease_until_ms: None,
        token: state.fencing_token.get(),
        ack_cursor: 0,
        wait_ms: 0,
    };
    let said = &report.view.boot;
    match state.worker.hold(said, &request, HOLD_TIMEOUT).await {
        Ok(Ok(reply)) => register_boot(state, report, &reply),
        Ok(Err(WorkerRefusal::OtherBoot)) => reject_candidate(state, said),
        Ok(Err(refusal)) => tracing::warn!(worker = %said, ?refusal, "first hold refused"),
        Err(error) => tracing::warn!(worker = %said, %error, "first hold failed"),
    }
}

/// The boot that answers may be an earlier or a later one than that which has checked in.
fn register_boot(state: &Rc<AgentState>, report: BootReport, reply: &HoldReply) {
    let BootReport { view, sequence } = report;
    let said = view.boot.clone();
    let answers = BootId::new(said.worker_id(), reply.started_ms);
    if answers.is_other_boot(&said) {
        reject_candidate(state, &said);
        return;
    }
    let boot = said.or_started(reply.started_ms);
    let active = state.active_boot();
    if active.as_ref().is_some_and(|active| active.may_be(&boot)) {
        state.update_boot(BootReport { view, sequence });
        return;
    }
    if state.boots.borrow().has_ended(&boot) {
        tracing::info!(worker = %boot, "boot has left before it was registered");
        return;
    }
    if let Some(active) = active.filter(|active| active.is_other_boot(&boot)) {
        handle_restart(state, &active);
    }
    let token = state.fencing_token.get();
    let needs_higher_token = state.boots.borrow().needs_higher_token(&boot, token);
    let view = WorkerView { boot, ..view };
    if needs_higher_token {
        state.higher_token_wanted.notify(usize::MAX);
        let report = BootReport { view, sequence };
        state.boots.borrow_mut().set_candidate(report);
        return;
    }
    let on_next: Vec<RunMark> = reply.marks().collect();
    replace_boot(state, view, sequence, &on_next);
}

fn reject_candidate(state: &AgentState, boot: &BootId) {
    tracing::info!(worker = %boot, "check-in of a boot that does not answer");
    state.boots.borrow_mut().note_ended(boot);
}

/// Drives a boot that has answered a call with a token that no boot of its worker has seen: `on_next` is all that
/// came to it with older ones.
fn replace_boot(state: &Rc<AgentState>, view: WorkerView, sequence: u64, on_next: &[RunMark]) {
    if is_replaced(state) {
        end_replaced(state, on_next);
    } else if let Some(before) = state.active_boot() {
        end_boot(state, &before, "a new boot has checked in");
    }
    tracing::info!(worker = %view.boot, service = %view.service, state = ?view.state, "worker registered");
    let crash = state
        .crashes
        .borrow_mut()
        .note_active(&view.boot, state.now());
    send_crash(state, crash);
    let mut boot = WorkerBoot::new(view, sequence, state.now());
    // An earlier process on this machine may have extended leases this far.
    let max_length = state.lease_rules.length + state.lease_rules.grace;
    boot.lease.assume_granted(state.now(), max_length);
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
        count(Counter::WorkersGone);
        tracing::warn!(worker = %active, why = reason, "worker is gone");
        let now = state.now();
        let runs = ended.log_lost_runs(now, &[]);
        let crash = state
            .crashes
            .borrow_mut()
            .note_ended(&ended.view, &runs, now);
        // Before the end itself: by that its tasks wait again.
        send_crash(state, crash);
        state.send(PoolBody::WorkerGone(WorkerGone::new(active, true)));
    }
}

/// The driven boot's worker has started again under its id. What the boot has listed is lost with it; other runs
/// may have come to the next one, which tells once it is driven.
pub(crate) fn handle_restart(state: &Rc<AgentState>, active: &BootId) {
    let has_unlisted = {
        let mut boot = state.boot.borrow_mut();
        let boot = boot.as_mut().filter(|boot| boot.view.boot == *active);
        let Some(boot) = boot.filter(|boot| !boot.is_replaced) else {
            return;
        };
        boot.is_replaced = boot.table.has_unlisted();
        if boot.is_replaced {
            let max_length = state.lease_rules.length + state.lease_rules.grace;
            boot.lease.assume_granted(state.now(), max_length);
        }
        boot.is_replaced
    };
    if has_unlisted {
        tracing::warn!(worker = %active, "worker has started again: some runs may be on its next boot");
    } else {
        end_boot(state, active, "it has started again under its id");
    }
}

/// Ends the replaced boot but for the runs that are on the next one. The owner hears of both at once, from what
/// the next boot lists: in between, the tasks of those runs would be started elsewhere.
fn end_replaced(state: &Rc<AgentState>, on_next: &[RunMark]) {
    let Some(ended) = state.boot.borrow_mut().take() else {
        return;
    };
    state.boots.borrow_mut().note_ended(&ended.view.boot);
    count(Counter::WorkersGone);
    tracing::warn!(worker = %ended.view.boot, on_next = on_next.len(), "worker is gone");
    let now = state.now();
    let runs = ended.log_lost_runs(now, on_next);
    let crash = state
        .crashes
        .borrow_mut()
        .note_ended(&ended.view, &runs, now);
    send_crash(state, crash);
}

/// Once all leases have lapsed nothing runs there any more; the boot must be verified anew.
pub(crate) fn expire_boot(state: &Rc<AgentState>, active: &BootId) {
    let now = state.now();
    let mut boot = state.boot.borrow_mut();
    let Some(expired) = boot
        .as_mut()
        .filter(|boot| boot.view.boot == *active && boot.lease.has_expired(now))
    else {
        return;
    };
    count(Counter::WorkersGone);
    tracing::warn!(worker = %active, "leases have lapsed");
    let runs = expired.log_lost_runs(now, &[]);
    let view = expired.view.clone();
    state.crashes.borrow_mut().note_expired(&view, runs);
    let (sequence, is_replaced) = (expired.sequence, expired.is_replaced);
    *boot = None;
    state.send(PoolBody::WorkerGone(WorkerGone::new(active, false)));
    let mut boots = state.boots.borrow_mut();
    if is_replaced {
        boots.note_ended(active);
    } else {
        boots.set_candidate(BootReport { view, sequence });
    }
}

/// Whether the driven boot was replaced, and the next one is not driven yet.
pub(crate) fn is_replaced(state: &AgentState) -> bool {
    let boot = state.boot.borrow();
    boot.as_ref().is_some_and(|boot| boot.is_replaced)
}
