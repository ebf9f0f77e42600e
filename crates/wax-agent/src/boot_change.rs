//! Which boot of the worker is driven: how one is registered, replaced and given up.

use crate::boots::{BootReport, CandidateStep};
use crate::driver::HOLD_LIMIT;
use crate::state::{AgentState, WorkerBoot};
use platform::{HoldReply, HoldRequest, WorkerRefusal};
use std::rc::Rc;
use wax_batch::{BootId, RunId, WorkerView};
use wax_trace::{Counter, count};
use wax_wire::{BootCrashed, PoolBody, WorkerGone};

/// Looks whether a boot that has checked in answers; if so it replaces the one before.
pub(crate) async fn take_candidate(state: &Rc<AgentState>) {
    if state.token.get() == 0 {
        return;
    }
    let driven = state.driven();
    let step = state.boots.borrow_mut().take_candidate(driven.as_ref());
    let report = match step {
        CandidateStep::Verify(report) => report,
        CandidateStep::Update(report) => {
            state.update_boot(report);
            return;
        }
        CandidateStep::None => return,
    };
    let request = HoldRequest {
        lease_until_ms: None,
        token: state.token.get(),
        ack_cursor: 0,
        wait_ms: 0,
    };
    let said = &report.view.boot;
    match state.worker.hold(said, &request, HOLD_LIMIT).await {
        Ok(Ok(reply)) => take_first_answer(state, report, &reply),
        Ok(Err(WorkerRefusal::OtherBoot)) => refuse_candidate(state, said),
        Ok(Err(refusal)) => tracing::warn!(worker = %said, ?refusal, "first hold refused"),
        Err(error) => tracing::warn!(worker = %said, %error, "first hold failed"),
    }
}

/// The boot that answers may be an earlier or a later one than that which has checked in.
fn take_first_answer(state: &Rc<AgentState>, report: BootReport, reply: &HoldReply) {
    let BootReport { view, sequence } = report;
    let said = view.boot.clone();
    let answers = BootId::new(said.worker_id(), reply.started_ms);
    if answers.is_different_boot(&said) {
        refuse_candidate(state, &said);
        return;
    }
    let boot = said.or_started_ms(reply.started_ms);
    let driven = state.driven();
    if driven
        .as_ref()
        .is_some_and(|driven| driven.may_match(&boot))
    {
        state.update_boot(BootReport { view, sequence });
        return;
    }
    if state.boots.borrow().is_dead(&boot) {
        tracing::info!(worker = %boot, "boot has left before it was registered");
        return;
    }
    if let Some(driven) = driven.filter(|driven| driven.is_different_boot(&boot)) {
        end_restarted(state, &driven);
    }
    let token = state.token.get();
    let needs_token = state.boots.borrow().needs_token(&boot, token);
    let view = WorkerView { boot, ..view };
    if needs_token {
        state.token_wanted.notify(usize::MAX);
        let report = BootReport { view, sequence };
        state.boots.borrow_mut().offer(report);
        return;
    }
    let on_next: Vec<RunId> = reply.marks().collect();
    replace_boot(state, view, sequence, &on_next);
}

fn refuse_candidate(state: &AgentState, boot: &BootId) {
    tracing::info!(worker = %boot, "check-in of a boot that does not answer");
    state.boots.borrow_mut().bury(boot);
}

/// Drives a boot that has answered a call with a token that no boot of its worker has seen: `on_next` is all that
/// came to it with older ones.
fn replace_boot(state: &Rc<AgentState>, view: WorkerView, sequence: u64, on_next: &[RunId]) {
    if is_replaced(state) {
        settle_replaced(state, on_next);
    } else if let Some(before) = state.driven() {
        drop_boot(state, &before, "a new boot has checked in");
    }
    tracing::info!(worker = %view.boot, service = %view.service, state = ?view.state, "worker registered");
    let crash = state
        .crashes
        .borrow_mut()
        .note_driven(&view.boot, state.now());
    tell_crash(state, crash);
    let mut boot = WorkerBoot::new(view, sequence, state.now());
    // An earlier process on this machine may have extended leases this far.
    let longest = state.lease_rules.ahead + state.lease_rules.grace;
    boot.lease.assume(state.now(), longest);
    *state.boot.borrow_mut() = Some(boot);
}

fn tell_crash(state: &AgentState, crash: Option<BootCrashed>) {
    if let Some(crash) = crash {
        state.tell(PoolBody::BootCrashed(crash));
    }
}

pub(crate) fn drop_boot(state: &Rc<AgentState>, driven: &BootId, why: &str) {
    let ended = state
        .boot
        .borrow_mut()
        .take_if(|boot| boot.view.boot == *driven);
    if let Some(ended) = ended {
        state.boots.borrow_mut().bury(driven);
        count(Counter::WorkersEnded);
        tracing::warn!(worker = %driven, why, "worker is gone");
        let now = state.now();
        let runs = ended.lose_runs(now, &[]);
        let crash = state
            .crashes
            .borrow_mut()
            .note_ended(&ended.view, &runs, now);
        // Before the end itself: by that its tasks wait again.
        tell_crash(state, crash);
        state.tell(PoolBody::WorkerGone(WorkerGone::new(driven, true)));
    }
}

/// The driven boot's worker has started again under its id. What the boot has listed is lost with it; other runs
/// may have come to the next one, which tells once it is driven.
pub(crate) fn end_restarted(state: &Rc<AgentState>, driven: &BootId) {
    let has_unlisted = {
        let mut boot = state.boot.borrow_mut();
        let boot = boot.as_mut().filter(|boot| boot.view.boot == *driven);
        let Some(boot) = boot.filter(|boot| !boot.is_replaced) else {
            return;
        };
        boot.is_replaced = boot.table.has_unlisted();
        if boot.is_replaced {
            let longest = state.lease_rules.ahead + state.lease_rules.grace;
            boot.lease.assume(state.now(), longest);
        }
        boot.is_replaced
    };
    if has_unlisted {
        tracing::warn!(worker = %driven, "worker has started again: some runs may be on its next boot");
    } else {
        drop_boot(state, driven, "it has started again under its id");
    }
}

/// Ends the replaced boot but for the runs that are on the next one. The owner hears of both at once, from what
/// the next boot lists: in between, the tasks of those runs would be started elsewhere.
fn settle_replaced(state: &Rc<AgentState>, on_next: &[RunId]) {
    let Some(ended) = state.boot.borrow_mut().take() else {
        return;
    };
    state.boots.borrow_mut().bury(&ended.view.boot);
    count(Counter::WorkersEnded);
    tracing::warn!(worker = %ended.view.boot, on_next = on_next.len(), "worker is gone");
    let now = state.now();
    let runs = ended.lose_runs(now, on_next);
    let crash = state
        .crashes
        .borrow_mut()
        .note_ended(&ended.view, &runs, now);
    tell_crash(state, crash);
}

/// Once all leases have lapsed nothing runs there any more; the boot must be verified anew.
pub(crate) fn drop_lapsed(state: &Rc<AgentState>, driven: &BootId) {
    let now = state.now();
    let mut boot = state.boot.borrow_mut();
    let Some(lapsed) = boot
        .as_mut()
        .filter(|boot| boot.view.boot == *driven && boot.lease.has_lapsed(now))
    else {
        return;
    };
    count(Counter::WorkersEnded);
    tracing::warn!(worker = %driven, "leases have lapsed");
    let runs = lapsed.lose_runs(now, &[]);
    let view = lapsed.view.clone();
    state.crashes.borrow_mut().note_lapsed(&view, runs);
    let (sequence, is_replaced) = (lapsed.sequence, lapsed.is_replaced);
    *boot = None;
    state.tell(PoolBody::WorkerGone(WorkerGone::new(driven, false)));
    let mut boots = state.boots.borrow_mut();
    if is_replaced {
        boots.bury(driven);
    } else {
        boots.offer(BootReport { view, sequence });
    }
}

/// Whether the driven boot was replaced, and the next one is not driven yet.
pub(crate) fn is_replaced(state: &AgentState) -> bool {
    let boot = state.boot.borrow();
    boot.as_ref().is_some_and(|boot| boot.is_replaced)
}
