//! Drives the worker: one hold after another, which extends leases and brings ends at once.

use crate::boots::{BootReport, CandidateStep};
use crate::state::{AgentState, WorkerBoot};
use compio::time::{sleep, timeout};
use platform::{HoldReply, HoldRequest, WorkerRefusal};
use std::rc::Rc;
use std::time::Duration;
use wax_batch::WorkerView;
use wax_trace::{Counter, count};
use wax_types::TimePoint;
use wax_wire::{
    BootCrashed, PoolBody, PressFrame, PressNews, RefusalFrame, RoomFrame, RunNews, WorkerGone,
    WorkerUp,
};

/// How long the worker may wait for an end before it answers a hold: no longer than paces may wait
/// for its figures.
const HOLD_WAIT: Duration = Duration::from_millis(250);
/// Longest time for a hold beside its wait.
const HOLD_LIMIT: Duration = Duration::from_millis(800);
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
    /// Another boot answers at the address.
    OtherBoot,
}

/// Drives whatever boot of the worker there is, for the life of the process.
pub(crate) async fn drive_worker(state: Rc<AgentState>) {
    loop {
        take_candidate(&state).await;
        let Some(boot) = state.driven().filter(|_| state.token.get() > 0) else {
            wait_change(&state).await;
            continue;
        };
        match hold_once(&state, &boot).await {
            HoldStep::Answered => {}
            HoldStep::Idle | HoldStep::Failed => sleep(HOLD_PAUSE).await,
            HoldStep::OtherBoot => drop_boot(&state, &boot, "another boot answers"),
        }
        drop_lapsed(&state, &boot);
    }
}

async fn wait_change(state: &AgentState) {
    let listener = state.changed.listen();
    // Either the change or the pause; both lead to another look.
    let _ = timeout(IDLE_PAUSE, listener).await;
}

/// Looks whether a boot that has checked in answers; if so it replaces the one before.
async fn take_candidate(state: &Rc<AgentState>) {
    if state.token.get() == 0 {
        return;
    }
    let driven = state.driven();
    let step = state.boots.borrow_mut().take_candidate(driven.as_deref());
    let BootReport { view, sequence } = match step {
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
    match state.worker.hold(&view.id, &request, HOLD_LIMIT).await {
        Ok(Ok(_)) if state.boots.borrow().is_dead(&view.id) => {
            tracing::info!(worker = %view.id, "boot has left before it was registered");
        }
        Ok(Ok(_)) => replace_boot(state, view, sequence),
        Ok(Err(WorkerRefusal::OtherBoot)) => {
            tracing::info!(worker = %view.id, "check-in of a boot that does not answer");
            state.boots.borrow_mut().bury(&view.id);
        }
        Ok(Err(refusal)) => tracing::warn!(worker = %view.id, ?refusal, "first hold refused"),
        Err(error) => tracing::warn!(worker = %view.id, %error, "first hold failed"),
    }
}

fn replace_boot(state: &Rc<AgentState>, view: WorkerView, sequence: u64) {
    if let Some(before) = state.driven() {
        drop_boot(state, &before, "a new boot has checked in");
    }
    tracing::info!(worker = %view.id, service = %view.service, state = ?view.state, "worker registered");
    let crash = state
        .crashes
        .borrow_mut()
        .note_driven(&view.id, state.now());
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

fn drop_boot(state: &Rc<AgentState>, id: &str, why: &str) {
    let ended = state.boot.borrow_mut().take_if(|boot| *boot.view.id == *id);
    if let Some(ended) = ended {
        state.boots.borrow_mut().bury(id);
        count(Counter::WorkersGone);
        tracing::warn!(worker = id, why, "worker is gone");
        let now = state.now();
        let runs = ended.lose_runs(now);
        let crash = state
            .crashes
            .borrow_mut()
            .note_ended(&ended.view, &runs, now);
        // Before the end itself: by that its tasks wait again.
        tell_crash(state, crash);
        state.tell(PoolBody::WorkerGone(WorkerGone {
            worker: id.into(),
            dead: true,
        }));
    }
}

/// Once all leases have lapsed nothing runs there any more; the boot must be verified anew.
fn drop_lapsed(state: &Rc<AgentState>, id: &str) {
    let now = state.now();
    let mut boot = state.boot.borrow_mut();
    let Some(lapsed) = boot
        .as_mut()
        .filter(|boot| *boot.view.id == *id && boot.lease.has_lapsed(now))
    else {
        return;
    };
    count(Counter::WorkersGone);
    tracing::warn!(worker = id, "leases have lapsed");
    let runs = lapsed.lose_runs(now);
    let view = lapsed.view.clone();
    state.crashes.borrow_mut().note_lapsed(&view, runs);
    let sequence = lapsed.sequence;
    *boot = None;
    state.tell(PoolBody::WorkerGone(WorkerGone {
        worker: id.into(),
        dead: false,
    }));
    let report = BootReport { view, sequence };
    state.boots.borrow_mut().offer(report);
}

async fn hold_once(state: &Rc<AgentState>, id: &str) -> HoldStep {
    let generation = state
        .link
        .borrow()
        .as_ref()
        .map_or(0, |link| link.generation);
    let begun = state.now();
    let Some((request, told)) = prepare(state, id, begun) else {
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
    let answer = state.worker.hold(id, &request, HOLD_LIMIT).await;
    state.note_answer(id, matches!(answer, Ok(Ok(_))));
    match answer {
        Ok(Ok(reply)) => {
            let fresh = note_reply(state, id, &reply, generation, tells);
            pace(state, id);
            let early = state.now().since(begun) < HOLD_WAIT / 4;
            if !fresh && early && !tells {
                HoldStep::Idle
            } else {
                HoldStep::Answered
            }
        }
        Ok(Err(WorkerRefusal::OtherBoot)) => HoldStep::OtherBoot,
        Ok(Err(refusal)) => {
            tracing::warn!(worker = id, ?refusal, "hold refused");
            HoldStep::Failed
        }
        Err(error) => {
            count(Counter::HoldsUnanswered);
            tracing::debug!(worker = id, %error, "hold failed");
            HoldStep::Failed
        }
    }
}

fn prepare(state: &AgentState, id: &str, now: TimePoint) -> Option<(HoldRequest, u64)> {
    let mut boot = state.boot.borrow_mut();
    let boot = boot.as_mut().filter(|boot| *boot.view.id == *id)?;
    boot.hold += 1;
    let request = HoldRequest {
        lease_until_ms: boot
            .lease
            .extend(now, state.authority.get(), &state.lease_rules),
        token: state.token.get(),
        ack_cursor: boot.ack_cursor,
        wait_ms: 0,
    };
    Some((request, boot.told))
}

/// Takes the lists into the table and tells the owner; says whether they brought anything.
fn note_reply(
    state: &AgentState,
    id: &str,
    reply: &HoldReply,
    generation: u64,
    tells: bool,
) -> bool {
    state.note_start_time(id, reply.started_ms, "hold");
    let now = state.now();
    let mut boot = state.boot.borrow_mut();
    let Some(boot) = boot.as_mut().filter(|boot| *boot.view.id == *id) else {
        return false;
    };
    boot.lease.note(now, reply.clock_ms);
    let hold = boot.hold;
    let news = boot.table.observe(&reply.running, &reply.ended, hold);
    for mark in &news.passed_over {
        tracing::warn!(worker = id, task = %mark.task, run = mark.run, "end passed over");
    }
    if tells {
        boot.told = generation;
        // Not sooner on the link: the owner takes them once it has loaded its shard, and answers no
        // heartbeat until then.
        for crash in state.crashes.borrow().lately(now) {
            state.tell(PoolBody::BootCrashed(crash.clone()));
        }
        let up = WorkerUp {
            worker: (&boot.shown_view()).into(),
            runs: boot.table.reports().iter().map(Into::into).collect(),
            ends: reply.ended.iter().map(Into::into).collect(),
            known_pairs: boot.pace.known_pairs() as u32,
        };
        state.tell(PoolBody::WorkerUp(up));
        return true;
    }
    let fresh = !news.ends.is_empty() || !news.never.is_empty();
    if fresh || !news.going.is_empty() {
        let refused = news.never.iter();
        let refused = refused.map(|mark| RefusalFrame::new(*mark, wax_batch::StartRefusal::Unwell));
        let news = RunNews {
            started: Vec::new(),
            refused: refused.collect(),
            going: news.going.iter().map(Into::into).collect(),
            ends: news.ends.iter().map(Into::into).collect(),
        };
        state.tell(PoolBody::News(news));
    }
    fresh
}

fn pace(state: &Rc<AgentState>, id: &str) {
    let now = state.now();
    {
        let mut boot = state.boot.borrow_mut();
        let Some(boot) = boot.as_mut().filter(|boot| *boot.view.id == *id) else {
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
                .map(|(serving, filling, press)| PressFrame::new(serving, filling, *press));
            let rooms = boot.pace.rooms().iter();
            let rooms = rooms.map(|(serving, room)| RoomFrame {
                serving: serving.to_string(),
                room: *room as f32,
            });
            let news = PressNews {
                pairs: pairs.collect(),
                rooms: rooms.collect(),
            };
            state.tell(PoolBody::Presses(news));
        }
    }
    state.order_paces();
}
