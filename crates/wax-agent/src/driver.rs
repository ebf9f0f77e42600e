//! Drives the worker: one hold after another, which extends leases and brings ends at once.

use crate::boot_change::{drop_boot, drop_lapsed, end_restarted, is_replaced, take_candidate};
use crate::state::AgentState;
use compio::time::{sleep, timeout};
use platform::{HoldReply, HoldRequest, WorkerRefusal};
use std::rc::Rc;
use std::time::Duration;
use wax_batch::BootId;
use wax_trace::{Counter, count};
use wax_types::TimePoint;
use wax_wire::{
    HeadroomFrame, InterferenceFrame, InterferenceUpdate, PoolBody, RefusalFrame, RunUpdates,
    WorkerSnapshot,
};

/// How long the worker may wait for an end before it answers a hold: no longer than paces may wait
/// for its figures.
const HOLD_WAIT: Duration = Duration::from_millis(250);
/// Longest time for a hold beside its wait.
pub(crate) const HOLD_LIMIT: Duration = Duration::from_millis(800);
/// After a hold that failed, or that brought nothing sooner than its wait.
const HOLD_PAUSE: Duration = Duration::from_millis(60);
/// Without a worker or an owner the driver looks again after this, if nothing wakes it.
const IDLE_PAUSE: Duration = Duration::from_millis(500);

/// What a hold has led to.
enum HoldStep {
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
        take_candidate(&state).await;
        let Some(boot) = state.driven().filter(|_| state.token.get() > 0) else {
            wait_change(&state).await;
            continue;
        };
        if is_replaced(&state) {
            wait_change(&state).await;
            drop_lapsed(&state, &boot);
            continue;
        }
        match hold_once(&state, &boot).await {
            HoldStep::Answered => {}
            HoldStep::Idle | HoldStep::Failed => sleep(HOLD_PAUSE).await,
            HoldStep::OtherBoot => drop_boot(&state, &boot, "another boot answers"),
            HoldStep::Restarted => end_restarted(&state, &boot),
        }
        drop_lapsed(&state, &boot);
    }
}

async fn wait_change(state: &AgentState) {
    let listener = state.changed.listen();
    // Either the change or the pause; both lead to another look.
    let _ = timeout(IDLE_PAUSE, listener).await;
}

async fn hold_once(state: &Rc<AgentState>, driven: &BootId) -> HoldStep {
    let generation = state
        .link
        .borrow()
        .as_ref()
        .map_or(0, |link| link.generation);
    let begun = state.now();
    let Some((request, told)) = prepare(state, driven, begun) else {
        return HoldStep::Failed;
    };
    let tells = generation != 0 && told != generation;
    let request = HoldRequest {
        wait_ms: if tells {
            0
        } else {
            HOLD_WAIT.as_millis() as u64
        },
        ..request
    };
    let answer = state.worker.hold(driven, &request, HOLD_LIMIT).await;
    if let Ok(Ok(reply)) = &answer
        && !is_answer_of(state, driven, reply)
    {
        return HoldStep::Restarted;
    }
    state.note_answer(driven, matches!(answer, Ok(Ok(_))));
    match answer {
        Ok(Ok(reply)) => {
            let fresh = note_reply(state, driven, &reply, generation, tells);
            pace(state, driven);
            let early = state.now().since(begun) < HOLD_WAIT / 4;
            if !fresh && early && !tells {
                HoldStep::Idle
            } else {
                HoldStep::Answered
            }
        }
        Ok(Err(WorkerRefusal::OtherBoot)) => HoldStep::OtherBoot,
        Ok(Err(refusal)) => {
            tracing::warn!(worker = %driven, ?refusal, "hold refused");
            HoldStep::Failed
        }
        Err(error) => {
            count(Counter::HoldsUnanswered);
            tracing::debug!(worker = %driven, %error, "hold failed");
            HoldStep::Failed
        }
    }
}

/// Whether the driven boot gives this answer. A worker that has started again under its id takes the calls that
/// are meant for the boot before.
fn is_answer_of(state: &AgentState, driven: &BootId, reply: &HoldReply) -> bool {
    let mut boot = state.boot.borrow_mut();
    let Some(boot) = boot.as_mut().filter(|boot| boot.view.boot == *driven) else {
        return true;
    };
    boot.answers = boot.answers.or(reply.started_ms);
    reply.started_ms.is_none() || reply.started_ms == boot.answers
}

fn prepare(state: &AgentState, driven: &BootId, now: TimePoint) -> Option<(HoldRequest, u64)> {
    let mut boot = state.boot.borrow_mut();
    let boot = boot.as_mut().filter(|boot| boot.view.boot == *driven)?;
    boot.hold += 1;
    state
        .boots
        .borrow_mut()
        .note_token(driven, state.token.get());
    // A boot that failed to answer may have been followed by another, whose ends have low numbers.
    let ack_cursor = if boot.unanswered > 0 {
        0
    } else {
        boot.ack_cursor
    };
    let request = HoldRequest {
        lease_until_ms: boot
            .lease
            .extend(now, state.authority.get(), &state.lease_rules),
        token: state.token.get(),
        ack_cursor,
        wait_ms: 0,
    };
    Some((request, boot.told))
}

/// Takes the lists into the table and tells the owner; says whether they brought anything.
fn note_reply(
    state: &AgentState,
    driven: &BootId,
    reply: &HoldReply,
    generation: u64,
    tells: bool,
) -> bool {
    let now = state.now();
    let mut boot = state.boot.borrow_mut();
    let Some(boot) = boot.as_mut().filter(|boot| boot.view.boot == *driven) else {
        return false;
    };
    boot.lease.note(now, reply.clock_ms);
    let hold = boot.hold;
    let news = boot.table.observe(&reply.running, &reply.ended, hold);
    for mark in &news.passed_over {
        tracing::warn!(worker = %driven, task = %mark.task, run = mark.run, "end passed over");
    }
    if tells {
        boot.told = generation;
        boot.news.clear();
        // Not sooner on the link: the owner takes them once it has loaded its shard, and answers no
        // heartbeat until then.
        for crash in state.crashes.borrow().lately(now) {
            state.tell(PoolBody::BootCrashed(crash.clone()));
        }
        let up = WorkerSnapshot {
            worker: (&boot.shown_view()).into(),
            runs: boot.table.reports().iter().map(Into::into).collect(),
            ends: reply.ended.iter().map(Into::into).collect(),
            known_pairs: boot.pace.known_pairs() as u32,
        };
        state.tell(PoolBody::WorkerSnapshot(up));
        return true;
    }
    for report in news.going {
        boot.news.note_going(report);
    }
    let fresh = !news.ends.is_empty() || !news.never.is_empty();
    if fresh {
        let refused = news.never.iter();
        let refused = refused.map(|mark| RefusalFrame::new(*mark, wax_batch::StartRefusal::Unwell));
        let news = RunUpdates {
            refused: refused.collect(),
            ends: news.ends.iter().map(Into::into).collect(),
            ..Default::default()
        };
        state.tell(PoolBody::RunUpdates(boot.news.complete(news)));
    }
    fresh
}

fn pace(state: &Rc<AgentState>, driven: &BootId) {
    let now = state.now();
    {
        let mut boot = state.boot.borrow_mut();
        let Some(boot) = boot.as_mut().filter(|boot| boot.view.boot == *driven) else {
            return;
        };
        let sample = boot.table.pace_sample();
        if !boot.pace.look(&sample, now, &state.pace_rules_now()) {
            return;
        }
        if boot.pace.has_news() {
            let fresh = boot.pace.take_fresh();
            let pairs = fresh
                .iter()
                .map(|(serving, filling, press)| InterferenceFrame::new(serving, filling, *press));
            let rooms = boot.pace.rooms().iter();
            let rooms = rooms.map(|(serving, room)| HeadroomFrame {
                serving: serving.to_string(),
                headroom: *room as f32,
            });
            let news = InterferenceUpdate {
                pairs: pairs.collect(),
                headrooms: rooms.collect(),
            };
            state.tell(PoolBody::Interference(news));
        }
    }
    state.order_paces();
}
