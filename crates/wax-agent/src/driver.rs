//! Drives the worker: one hold after another, which extends leases and brings ends at once.

use crate::boot_change::{end_boot, expire_boot, handle_restart, is_replaced, verify_candidate};
use crate::state::AgentState;
use compio::time::{sleep, timeout};
use platform::{HoldReply, HoldRequest, WorkerRefusal};
use std::rc::Rc;
use std::time::Duration;
use wax_batch::BootId;
use wax_trace::{Counter, count};
use wax_types::TimePoint;
use wax_wire::{PoolBody, PressFrame, PressNews, RefusalFrame, RoomFrame, RunNews, WorkerUp};

/// How long the worker may wait for an end before it answers a hold: no longer than paces may wait
/// for its figures.
const HOLD_WAIT: Duration = Duration::from_millis(250);
/// Longest time for a hold beside its wait.
pub(crate) const HOLD_TIMEOUT: Duration = Duration::from_millis(800);
/// After a hold that failed, or that brought nothing sooner than its wait.
const HOLD_RETRY_PAUSE: Duration = Duration::from_millis(60);
/// Without a worker or an owner the driver looks again after this, if nothing wakes it.
const IDLE_POLL_PERIOD: Duration = Duration::from_millis(500);

/// What a hold has led to.
enum HoldOutcome {
    /// It was answered.
    Answered,
    /// It brought nothing new, sooner than it might have.
    Idle,
    /// It was not answered, or refused for now.
    Failed,
    /// Another worker answers at the address.
    OtherBoot,
    /// The worker has started again under its id.
    Restarted,
}

/// Drives whatever boot of the worker there is, for the life of the process.
pub(crate) async fn drive_worker(state: Rc<AgentState>) {
    loop {
        verify_candidate(&state).await;
        let Some(boot) = state
            .active_boot()
            .filter(|_| state.fencing_token.get() > 0)
        else {
            wait_for_change(&state).await;
            continue;
        };
        if is_replaced(&state) {
            wait_for_change(&state).await;
            expire_boot(&state, &boot);
            continue;
        }
        match hold_once(&state, &boot).await {
            HoldOutcome::Answered => {}
            HoldOutcome::Idle | HoldOutcome::Failed => sleep(HOLD_RETRY_PAUSE).await,
            HoldOutcome::OtherBoot => end_boot(&state, &boot, "another boot answers"),
            HoldOutcome::Restarted => handle_restart(&state, &boot),
        }
        expire_boot(&state, &boot);
    }
}

async fn wait_for_change(state: &AgentState) {
    let listener = state.changed.listen();
    // Either the change or the pause; both lead to another look.
    let _ = timeout(IDLE_POLL_PERIOD, listener).await;
}

async fn hold_once(state: &Rc<AgentState>, active: &BootId) -> HoldOutcome {
    let generation = state
        .link
        .borrow()
        .as_ref()
        .map_or(0, |link| link.generation);
    let started_at = state.now();
    let Some((request, reported_link)) = prepare_hold(state, active, started_at) else {
        return HoldOutcome::Failed;
    };
    let sends_full_list = generation != 0 && reported_link != generation;
    let request = HoldRequest {
        wait_ms: if sends_full_list {
            0
        } else {
            HOLD_WAIT.as_millis() as u64
        },
        ..request
    };
    let answer = state.worker.hold(active, &request, HOLD_TIMEOUT).await;
    if let Ok(Ok(reply)) = &answer
        && !is_answer_of(state, active, reply)
    {
        return HoldOutcome::Restarted;
    }
    state.note_hold_answer(active, matches!(answer, Ok(Ok(_))));
    match answer {
        Ok(Ok(reply)) => {
            let has_updates = apply_hold_reply(state, active, &reply, generation, sends_full_list);
            update_paces(state, active);
            let is_early = state.now().since(started_at) < HOLD_WAIT / 4;
            if !has_updates && is_early && !sends_full_list {
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

/// Whether the driven boot gives this answer. A worker that has started again under its id takes the calls that
/// are meant for the boot before.
fn is_answer_of(state: &AgentState, active: &BootId, reply: &HoldReply) -> bool {
    let mut boot = state.boot.borrow_mut();
    let Some(boot) = boot.as_mut().filter(|boot| boot.view.boot == *active) else {
        return true;
    };
    boot.answering_start_ms = boot.answering_start_ms.or(reply.started_ms);
    reply.started_ms.is_none() || reply.started_ms == boot.answering_start_ms
}

fn prepare_hold(state: &AgentState, active: &BootId, now: TimePoint) -> Option<(HoldRequest, u64)> {
    let mut boot = state.boot.borrow_mut();
    let boot = boot.as_mut().filter(|boot| boot.view.boot == *active)?;
    boot.hold_number += 1;
    state
        .boots
        .borrow_mut()
        .note_token(active, state.fencing_token.get());
    // A boot that failed to answer may have been followed by another, whose ends have low numbers.
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
    Some((request, boot.reported_link))
}

/// Takes the lists into the table and tells the owner; says whether they brought anything.
fn apply_hold_reply(
    state: &AgentState,
    active: &BootId,
    reply: &HoldReply,
    generation: u64,
    sends_full_list: bool,
) -> bool {
    let now = state.now();
    let mut boot = state.boot.borrow_mut();
    let Some(boot) = boot.as_mut().filter(|boot| boot.view.boot == *active) else {
        return false;
    };
    boot.lease.note_clock(now, reply.clock_ms);
    let hold = boot.hold_number;
    let updates = boot.table.reconcile(&reply.running, &reply.ended, hold);
    for run_id in &updates.skipped_ends {
        tracing::warn!(worker = %active, task = %run_id.task, run = run_id.run, "end passed over");
    }
    if sends_full_list {
        boot.reported_link = generation;
        boot.updates.clear();
        // Not sooner on the link: the owner takes them once it has loaded its shard, and answers no
        // heartbeat until then.
        for crash in state.crashes.borrow().recent(now) {
            state.send(PoolBody::BootCrashed(crash.clone()));
        }
        let up = WorkerUp {
            worker: (&boot.reported_view()).into(),
            runs: boot.table.reports().iter().map(Into::into).collect(),
            ends: reply.ended.iter().map(Into::into).collect(),
            known_pairs: boot.pace.known_pairs() as u32,
        };
        state.send(PoolBody::WorkerUp(up));
        return true;
    }
    for report in updates.progressed {
        boot.updates.note_progress(report);
    }
    let has_updates = !updates.ended.is_empty() || !updates.never_started.is_empty();
    if has_updates {
        let refused = updates.never_started.iter();
        let refused =
            refused.map(|run_id| RefusalFrame::new(*run_id, wax_batch::StartRefusal::Unwell));
        let message = RunNews {
            refused: refused.collect(),
            ends: updates.ended.iter().map(Into::into).collect(),
            ..Default::default()
        };
        state.send(PoolBody::News(boot.updates.merge_into(message)));
    }
    has_updates
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
                PressFrame::new(serving, best_effort, *interference)
            });
            let headrooms = boot.pace.headrooms().iter();
            let headrooms = headrooms.map(|(serving, headroom)| RoomFrame {
                serving: serving.to_string(),
                room: *headroom as f32,
            });
            let message = PressNews {
                pairs: pairs.collect(),
                rooms: headrooms.collect(),
            };
            state.send(PoolBody::Presses(message));
        }
    }
    state.send_pace_orders();
}
