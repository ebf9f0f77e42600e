//! Drives the worker with one hold after another: a hold extends leases, and its answer lists runs.

use crate::boot_change::{
    end_boot, expire_boot, fence_next_boot, handle_restart, is_replaced, verify_candidate,
};
use crate::copies::CallCopies;
use crate::run_list::{HoldReport, LinkGeneration, ListNumber, RunListState};
use crate::run_table::HoldUpdates;
use crate::state::{AgentState, HoldResult, WorkerBoot};
use compio::time::{sleep, timeout};
use platform::{CallError, HoldReply, HoldRequest, WorkerRefusal};
use std::rc::Rc;
use std::time::Duration;
use wax_batch::{BootId, StartRefusal};
use wax_policy::{ResendChoice, ResendPlan};
use wax_trace::{Counter, count};
use wax_types::{ErrorKind, Step, TimePoint, WaxError};
use wax_wire::{
    HeadroomFrame, InterferenceFrame, InterferenceUpdate, PoolBody, RefusalFrame, RunUpdates,
    WorkerSnapshot,
};

/// How long the worker may wait for a run's end before it answers a hold. It also bounds the age of
/// the figures by which paces are planned.
const HOLD_WAIT: Duration = Duration::from_millis(250);
/// Timeout for a hold, including its wait.
pub(crate) const HOLD_TIMEOUT: Duration = Duration::from_millis(800);
/// Delay after a hold that failed, or that was answered early without updates.
const HOLD_RETRY_DELAY: Duration = Duration::from_millis(60);
/// Period of checks for a worker and an owner, if no event wakes the driver sooner.
const IDLE_POLL_PERIOD: Duration = Duration::from_millis(500);

/// Result of one hold.
enum HoldOutcome {
    /// The worker answered.
    Answered,
    /// The worker answered early and without updates.
    Idle,
    /// The worker did not answer, or refused the hold for now.
    Failed,
    /// Another boot answers at the worker's address.
    OtherBoot,
    /// The worker has restarted under the same id.
    Restarted,
}

/// A hold that was sent to the active boot.
#[derive(Debug, Clone, Copy)]
struct SentHold {
    /// Number of the hold.
    number: u64,
    /// Link to the owner when the hold was sent; `None` without a link.
    requested_on: Option<LinkGeneration>,
    /// Whether the boot's run list was due on that link.
    is_list_due: bool,
}

/// Drives the active boot, whichever it is, for the lifetime of the process.
pub(crate) async fn drive_worker(state: Rc<AgentState>) {
    loop {
        let keeps_idle = state.rules.orders.get().is_enabled();
        state.worker.set_keep_idle(keeps_idle);
        verify_candidate(&state).await;
        let Some(boot) = state
            .active_boot()
            .filter(|_| state.fencing_token.get() > 0)
        else {
            wait_for_change(&state).await;
            continue;
        };
        // The verification may have taken as long as a hold.
        state.update_contact(&boot);
        state.stop_runs_without_authority(&boot);
        if is_replaced(&state) {
            wait_for_change(&state).await;
            expire_boot(&state, &boot);
            continue;
        }
        match hold_once(&state, &boot).await {
            HoldOutcome::Answered => {}
            HoldOutcome::Idle | HoldOutcome::Failed => sleep(HOLD_RETRY_DELAY).await,
            HoldOutcome::OtherBoot => end_boot(&state, &boot, "another boot answers"),
            HoldOutcome::Restarted => {
                handle_restart(&state, &boot);
                if state.raise_token() {
                    fence_next_boot(&state, &boot).await;
                }
            }
        }
        expire_boot(&state, &boot);
    }
}

async fn wait_for_change(state: &AgentState) {
    let listener = state.changed.listen();
    // After the event as well as after the timeout, the caller checks again.
    let _ = timeout(IDLE_POLL_PERIOD, listener).await;
}

async fn hold_once(state: &Rc<AgentState>, active: &BootId) -> HoldOutcome {
    let started_at = state.now();
    let Some((request, hold)) = prepare_hold(state, active, started_at) else {
        return HoldOutcome::Failed;
    };
    let request = HoldRequest {
        wait_ms: if hold.is_list_due {
            0
        } else {
            HOLD_WAIT.as_millis() as u64
        },
        ..request
    };
    let (hold, answer) = if state.rules.orders.get().is_enabled() {
        send_hold_copies(state, active, request, hold).await
    } else {
        (
            hold,
            state.worker.hold(active, &request, HOLD_TIMEOUT).await,
        )
    };
    if let Ok(Ok(reply)) = &answer
        && !is_answer_of(state, active, reply)
    {
        return HoldOutcome::Restarted;
    }
    let result = match &answer {
        Ok(Ok(_)) => HoldResult::Answered,
        Ok(Err(_)) | Err(CallError::NotSent(_)) => HoldResult::Refused,
        Err(CallError::Unknown(_)) => HoldResult::Lost,
    };
    state.note_hold_result(active, result);
    match answer {
        Ok(Ok(reply)) => {
            let has_updates = apply_hold_reply(state, active, &reply, hold);
            update_paces(state, active);
            let is_early = state.now().since(started_at) < HOLD_WAIT / 4;
            if !has_updates && is_early {
                HoldOutcome::Idle
            } else {
                HoldOutcome::Answered
            }
        }
        Ok(Err(WorkerRefusal::OtherBoot)) => HoldOutcome::OtherBoot,
        Ok(Err(refusal)) => {
            tracing::warn!(worker = %active, ?refusal, "hold refused");
            HoldOutcome::Failed
        }
        Err(error) => {
            count(Counter::HoldsUnanswered);
            tracing::debug!(worker = %active, %error, "hold failed");
            HoldOutcome::Failed
        }
    }
}

/// Returns whether the answer comes from the active boot. A worker that has restarted under the
/// same id accepts calls that are meant for the earlier boot.
fn is_answer_of(state: &AgentState, active: &BootId, reply: &HoldReply) -> bool {
    let mut boot = state.boot.borrow_mut();
    let Some(boot) = boot.as_mut().filter(|boot| boot.view.boot == *active) else {
        return true;
    };
    boot.answering_start_ms = boot.answering_start_ms.or(reply.started_ms);
    reply.started_ms.is_none() || reply.started_ms == boot.answering_start_ms
}

/// Prepares a hold that is sent now, with the fencing token of the current link.
fn prepare_hold(
    state: &AgentState,
    active: &BootId,
    now: TimePoint,
) -> Option<(HoldRequest, SentHold)> {
    let requested_on = state.link_generation();
    let mut boot = state.boot.borrow_mut();
    let boot = boot.as_mut().filter(|boot| boot.view.boot == *active)?;
    boot.hold_number += 1;
    state
        .boots
        .borrow_mut()
        .note_token(active, state.fencing_token.get());
    // A boot that does not answer may have been followed by another one, which numbers its ends
    // from 1 again. With a cursor of 0 the worker keeps all ends.
    let ack_cursor = if boot.unanswered_holds > 0 {
        0
    } else {
        boot.ack_cursor
    };
    let request = HoldRequest {
        lease_until_ms: boot
            .lease
            .extend(now, state.authority_until.get(), &state.lease_rules),
        token: state.fencing_token.get(),
        ack_cursor,
        wait_ms: 0,
    };
    let hold = SentHold {
        number: boot.hold_number,
        requested_on,
        is_list_due: requested_on.is_some_and(|link| !boot.run_list.is_sent_on(link)),
    };
    Some((request, hold))
}

/// Sends a hold, with further copies while it has no answer. The first answer counts, and the other
/// copies are given up before the next hold is sent, so that no older list follows a newer one.
/// Returns the copy that was answered.
async fn send_hold_copies(
    state: &Rc<AgentState>,
    active: &BootId,
    first: HoldRequest,
    first_hold: SentHold,
) -> (
    SentHold,
    Result<Result<HoldReply, WorkerRefusal>, CallError>,
) {
    let began_at = state.now();
    let wait = Duration::from_millis(first.wait_ms);
    let delay = state.hold_resend_delay(began_at, HOLD_TIMEOUT);
    let ends_at = began_at + wait + HOLD_TIMEOUT;
    let max_copies = state.rules.orders.get().max_copies;
    let mut plan = ResendPlan::new(began_at, delay, ends_at, max_copies).with_first_wait(wait);
    let mut holds = vec![first_hold];
    let mut copies = CallCopies::new();
    loop {
        let now = state.now();
        let pause = match plan.choose(now) {
            ResendChoice::GiveUp if let Some(pause) = copies.grace(now) => pause,
            ResendChoice::GiveUp => {
                state.note_losses(active, copies.lost(None));
                let text = "no copy was answered in time";
                let error = WaxError::new(ErrorKind::Timeout, Step::CallWorker, "worker", text);
                return (first_hold, Err(CallError::Unknown(error)));
            }
            ResendChoice::Wait(pause) => pause,
            ResendChoice::Send => {
                let request = if copies.sent() == 0 {
                    first
                } else if let Some((request, hold)) = prepare_hold(state, active, now) {
                    count(Counter::HoldsResent);
                    holds.push(hold);
                    // With a cursor of 0 the worker keeps all ends. The copy may reach another boot.
                    HoldRequest {
                        ack_cursor: 0,
                        ..request
                    }
                } else {
                    plan.stop_sending();
                    continue;
                };
                plan.note_sent(now);
                let sender = state.clone();
                copies.push(now, async move {
                    let wait = Duration::from_millis(request.wait_ms);
                    // The limit of a hold counts from the end of its wait.
                    let limit = ends_at.since(now).saturating_sub(wait);
                    sender.worker.hold(active, &request, limit).await
                });
                continue;
            }
        };
        let Some(copy) = copies.next(pause).await else {
            state.update_contact(active);
            continue;
        };
        if let Err(error) = &copy.answer {
            if matches!(error, CallError::Unknown(_)) {
                copies.note_failed();
            }
            if !copies.is_idle() {
                continue;
            }
        }
        let is_answered = copy.answer.is_ok();
        state.note_losses(active, copies.lost(is_answered.then_some(copy.position)));
        if is_answered {
            let wait = if copy.position == 0 {
                wait
            } else {
                Duration::ZERO
            };
            state.note_hold_time(copy.sent_at, wait);
        }
        let hold = holds.get(copy.position as usize).copied();
        return (hold.unwrap_or(first_hold), copy.answer);
    }
}

/// Applies the lists of running and ended runs in the answer to a hold, and sends the run list or
/// the changes to the owner. Returns whether there were any, or the next hold is due at once.
fn apply_hold_reply(
    state: &AgentState,
    active: &BootId,
    reply: &HoldReply,
    hold: SentHold,
) -> bool {
    let now = state.now();
    let mut boot = state.boot.borrow_mut();
    let Some(boot) = boot.as_mut().filter(|boot| boot.view.boot == *active) else {
        return false;
    };
    boot.lease.note_clock(now, reply.clock_ms);
    let updates = boot
        .table
        .reconcile(&reply.running, &reply.ended, hold.number);
    for run_id in &updates.skipped_ends {
        tracing::warn!(worker = %active, task = %run_id.task, run = run_id.run, "ignored a run's end with an already processed number");
    }
    let has_updates = !updates.ended.is_empty() || !updates.never_started.is_empty();
    let current = state.link_generation();
    match HoldReport::choose(hold.requested_on, current, boot.run_list) {
        HoldReport::RunList(link) => {
            send_run_list(state, boot, reply, link);
            true
        }
        HoldReport::Changes => {
            send_changes(state, boot, updates);
            has_updates
        }
        HoldReport::Nothing => {
            let is_list_due = current.is_some();
            if is_list_due {
                count(Counter::RunListsOutdated);
            }
            has_updates || is_list_due
        }
    }
}

fn send_run_list(
    state: &AgentState,
    boot: &mut WorkerBoot,
    reply: &HoldReply,
    link: LinkGeneration,
) {
    let list = state.next_run_list();
    boot.run_list = RunListState::Sent(link, list);
    boot.updates.clear();
    // Crashes are not sent sooner on the link: the owner processes them only once it has loaded
    // its shard, and does not answer heartbeats until then.
    for crash in state.crashes.borrow().recent(state.now()) {
        state.send(PoolBody::BootCrashed(crash.clone()));
    }
    let ListNumber(number) = list;
    let snapshot = WorkerSnapshot {
        worker: (&boot.reported_view()).into(),
        runs: boot.table.reports().iter().map(Into::into).collect(),
        ends: reply.ended.ends.iter().map(Into::into).collect(),
        known_pairs: boot.pace.known_pairs() as u32,
        list: Some(number),
        has_more_ends: reply.ended.has_more,
        leases_ms: Some(boot.lease.remaining(state.now()).as_millis() as u64 + 1),
    };
    boot.owes_ends = snapshot.has_more_ends;
    tracing::info!(
        worker = %boot.view.boot,
        link = link.0,
        list = number,
        runs = snapshot.runs.len(),
        ends = snapshot.ends.len(),
        has_more_ends = snapshot.has_more_ends,
        "run list sent"
    );
    state.send(PoolBody::WorkerSnapshot(snapshot));
}

/// Sends ends and runs that never started at once; progress is sent with the next heartbeat.
fn send_changes(state: &AgentState, boot: &mut WorkerBoot, updates: HoldUpdates) {
    for report in updates.progressed {
        boot.updates.note_progress(report);
    }
    if state.rules.performance.get().enabled > 0 {
        for report in boot.table.tail_reports() {
            boot.updates.note_progress(report);
        }
    }
    let ends_complete = boot.owes_ends && updates.has_all_ends;
    if updates.ended.is_empty() && updates.never_started.is_empty() && !ends_complete {
        return;
    }
    boot.owes_ends &= !ends_complete;
    let refusal = if state.rules.orders.get().is_enabled() {
        StartRefusal::Unanswered
    } else {
        StartRefusal::Unwell
    };
    let refused = updates.never_started.iter();
    let refused = refused.map(|run_id| RefusalFrame::new(*run_id, refusal));
    let message = RunUpdates {
        refused: refused.collect(),
        ends: updates.ended.iter().map(Into::into).collect(),
        ends_complete,
        ..Default::default()
    };
    state.send(PoolBody::RunUpdates(boot.updates.merge_into(message)));
}

fn update_paces(state: &Rc<AgentState>, active: &BootId) {
    let now = state.now();
    {
        let mut boot = state.boot.borrow_mut();
        let Some(boot) = boot.as_mut().filter(|boot| boot.view.boot == *active) else {
            return;
        };
        let sample = boot.table.pace_sample();
        if !boot.pace.update(&sample, now, &state.current_pace_rules()) {
            return;
        }
        if boot.pace.has_unsent_updates() {
            let pairs = boot.pace.take_unsent_pairs();
            let pairs = pairs.iter().map(|(serving, best_effort, interference)| {
                InterferenceFrame::new(serving, best_effort, *interference)
            });
            let headrooms = boot.pace.headrooms().iter();
            let headrooms = headrooms.map(|(serving, headroom)| HeadroomFrame {
                serving: serving.to_string(),
                headroom: *headroom as f32,
            });
            let message = InterferenceUpdate {
                pairs: pairs.collect(),
                headrooms: headrooms.collect(),
            };
            state.send(PoolBody::Interference(message));
        }
    }
    state.send_pace_orders();
}
