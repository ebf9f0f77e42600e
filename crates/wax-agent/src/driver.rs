//! Drives the worker: one hold after another, which extends leases and brings ends at once.

use crate::boots::{BootReport, CandidateStep};
use crate::state::{AgentState, WorkerBoot};
use compio::time::{sleep, timeout};
use platform::{HoldReply, HoldRequest, WorkerRefusal};
use std::rc::Rc;
use std::time::Duration;
use wax_batch::{BootId, RunMark, WorkerView};
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

fn is_replaced(state: &AgentState) -> bool {
    let boot = state.boot.borrow();
    boot.as_ref().is_some_and(|boot| boot.is_replaced)
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
    if answers.is_other_boot(&said) {
        refuse_candidate(state, &said);
        return;
    }
    let boot = said.or_started(reply.started_ms);
    let driven = state.driven();
    if driven.as_ref().is_some_and(|driven| driven.may_be(&boot)) {
        state.update_boot(BootReport { view, sequence });
        return;
    }
    if let Some(driven) = driven.filter(|driven| driven.is_other_boot(&boot)) {
        end_restarted(state, &driven);
    }
    let needs_token = {
        let boots = state.boots.borrow();
        boots.needs_token(&boot, state.token.get())
    };
    if needs_token {
        state.token_wanted.notify(usize::MAX);
        let view = WorkerView { boot, ..view };
        state
            .boots
            .borrow_mut()
            .offer(BootReport { view, sequence });
    } else if state.boots.borrow().is_dead(&boot) {
        tracing::info!(worker = %boot, "boot has left before it was registered");
    } else {
        let on_next: Vec<RunMark> = reply.marks().collect();
        replace_boot(state, WorkerView { boot, ..view }, sequence, &on_next);
    }
}

fn refuse_candidate(state: &AgentState, boot: &BootId) {
    tracing::info!(worker = %boot, "check-in of a boot that does not answer");
    state.boots.borrow_mut().bury(boot);
}

/// Drives a boot that has answered a call with a token that no boot of its worker has seen: `on_next` is all that
/// came to it with older ones.
fn replace_boot(state: &Rc<AgentState>, view: WorkerView, sequence: u64, on_next: &[RunMark]) {
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

fn drop_boot(state: &Rc<AgentState>, driven: &BootId, why: &str) {
    let ended = state
        .boot
        .borrow_mut()
        .take_if(|boot| boot.view.boot == *driven);
    if let Some(ended) = ended {
        state.boots.borrow_mut().bury(driven);
        count(Counter::WorkersGone);
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
fn end_restarted(state: &Rc<AgentState>, driven: &BootId) {
    let has_unlisted = {
        let mut boot = state.boot.borrow_mut();
        let Some(boot) = boot.as_mut().filter(|boot| boot.view.boot == *driven) else {
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
fn settle_replaced(state: &Rc<AgentState>, on_next: &[RunMark]) {
    let Some(ended) = state.boot.borrow_mut().take() else {
        return;
    };
    state.boots.borrow_mut().bury(&ended.view.boot);
    count(Counter::WorkersGone);
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
fn drop_lapsed(state: &Rc<AgentState>, driven: &BootId) {
    let now = state.now();
    let mut boot = state.boot.borrow_mut();
    let Some(lapsed) = boot
        .as_mut()
        .filter(|boot| boot.view.boot == *driven && boot.lease.has_lapsed(now))
    else {
        return;
    };
    count(Counter::WorkersGone);
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
