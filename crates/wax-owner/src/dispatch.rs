//! Gives out orders: starts, stops and acknowledgements.

use crate::shared::PoolShared;
use crate::tenure::Tenure;
use compio::time::timeout;
use std::rc::Rc;
use std::time::Duration;
use wax_batch::{BootId, StartOrder, UnheardRuns, WorkerKey};
use wax_trace::{Counter, Latency, count, count_many, note_latency};
use wax_types::{TimePoint, wall_clock_ms};
use wax_wire::{AckEnds, PlacementFrame, PoolBody, StartRun, StopRun};

/// Without a change the book is looked through this often: times pass, too.
const IDLE_PERIOD: Duration = Duration::from_millis(100);
/// A gap between two rounds beyond this means that this process was stalled, not the workers.
const PROCESS_STALL: Duration = Duration::from_millis(500);
/// After that, progress comes in anew within this time.
const BLIND_AFTER: Duration = Duration::from_millis(2_000);
/// Changes that come together are dispatched together.
const GATHER: Duration = Duration::from_millis(2);

/// Dispatches until the term ends.
pub(crate) async fn dispatch_orders(shared: Rc<PoolShared>, tenure: Rc<Tenure>) {
    while !tenure.over.is_raised() {
        let listener = tenure.dispatch.listen();
        // Either a change or the time; both lead to another look.
        let wait = tenure.book.borrow().next_look(shared.now(), IDLE_PERIOD);
        if timeout(wait, listener).await.is_ok() {
            compio::time::sleep(GATHER).await;
        }
        dispatch_once(&shared, &tenure);
    }
}

fn dispatch_once(shared: &PoolShared, tenure: &Tenure) {
    let now = shared.now();
    if !tenure.loaded.is_raised() || tenure.over.is_raised() {
        return;
    }
    if now.since(tenure.dispatched.replace(now)) > PROCESS_STALL {
        tenure.blind_until.set(now + BLIND_AFTER);
    }
    drop_lapsed(tenure, now);
    note_unlinked(tenure, now);
    settle(tenure, now);
    if tenure.may_act(now, shared.spans.acting) {
        if now.since(tenure.looked_through.get()) >= IDLE_PERIOD {
            tenure.looked_through.set(now);
            look_through(tenure, now);
            tenure.look_for_stronger(shared, now);
        }
        if knows_drains(shared, tenure, now) {
            let orders = tenure.book.borrow_mut().place(now);
            for order in orders {
                send_start(tenure, &order);
            }
            log_waits(tenure);
        }
    }
    count_many(
        Counter::WorkersAsked,
        tenure.book.borrow().take_workers_asked(),
    );
    count_many(
        Counter::AgentsLookedAt,
        tenure.agents.borrow().take_looked_at(),
    );
    let stops = tenure.book.borrow_mut().take_stops();
    for stop in stops {
        tracing::info!(task = %stop.mark.task, run = stop.mark.run, why = %stop.why, "stop ordered");
        count(Counter::StopsOrdered);
        let run_id = stop.mark.into();
        tenure.tell_worker(stop.worker, PoolBody::Stop(StopRun { run_id }));
    }
    let cursors = tenure.book.borrow_mut().take_cursors();
    for (worker, cursor) in cursors {
        let boot = worker_boot(tenure, worker);
        let ack = AckEnds::new(&boot, cursor);
        tenure.tell_worker(worker, PoolBody::Ack(ack));
    }
    if tenure.book.borrow().has_notes() {
        tenure.write.notify(usize::MAX);
    }
}

/// Whether what is known of drains is fresh enough to order starts by it: the agents would refuse them.
fn knows_drains(shared: &PoolShared, tenure: &Tenure, now: TimePoint) -> bool {
    let view = shared.drains.borrow();
    let is_unsure = !view.is_fresh(now, shared.drain_rules.order_age());
    if tenure.drains_unsure.replace(is_unsure) != is_unsure {
        tracing::info!(
            epoch = tenure.epoch,
            waits = is_unsure,
            age_ms = view.age(now).map(millis),
            version = view.version(),
            "starts wait for a reading of the drains"
        );
    }
    !is_unsure
}

/// What depends on time more than on any one change: due occurrences, runs to move.
fn look_through(tenure: &Tenure, now: TimePoint) {
    let mut book = tenure.book.borrow_mut();
    book.open_due(now, wall_clock_ms());
    if now >= tenure.blind_until.get() {
        book.move_stalled(now);
    }
    book.evacuate(now);
    tenure.overload.set(book.overload(now));
}

fn worker_boot(tenure: &Tenure, worker: WorkerKey) -> BootId {
    let agents = tenure.agents.borrow();
    agents.boot(worker).cloned().unwrap_or_default()
}

/// Each step that waits for a new reason, at most once a second a step.
fn log_waits(tenure: &Tenure) {
    for wait in tenure.book.borrow_mut().take_waits() {
        tracing::info!(
            task = %wait.task,
            waiting = wait.waiting,
            waited_ms = millis(wait.waited),
            reason = %wait.reason,
            "step waits"
        );
    }
}

fn millis(span: Duration) -> u64 {
    span.as_millis() as u64
}

/// To three digits after the point, for logs.
fn rounded(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}

fn send_start(tenure: &Tenure, order: &StartOrder) {
    count(Counter::StartsOrdered);
    let step = &order.spec.steps[usize::from(order.mark.task.step)];
    let boot = worker_boot(tenure, order.worker);
    tracing::info!(
        task = %order.mark.task,
        run = order.mark.run,
        worker = %boot,
        resumes = !order.checkpoint.is_empty(),
        waited_ms = millis(order.reason.waited),
        finish = ?order.reason.rank.finish,
        left_ms = order.reason.rank.left,
        cost = rounded(order.reason.cost),
        next_cost = order.reason.next_cost.map(rounded),
        pace = rounded(order.reason.pace),
        view_ms = millis(order.reason.view_age),
        "start ordered"
    );
    let start = StartRun {
        placement: seat_frame(order.mark, step),
        text: order.spec.text.to_string(),
        checkpoint: order.checkpoint.to_string(),
        ticket: order.ticket.to_string(),
        worker: boot.worker_id().into(),
        started_ms: boot.started_ms(),
    };
    tenure.tell_worker(order.worker, PoolBody::Start(start));
}

/// What an agent must know of a run.
pub(crate) fn seat_frame(mark: wax_batch::RunMark, step: &wax_batch::StepSpec) -> PlacementFrame {
    PlacementFrame {
        run_id: mark.into(),
        cpu_milli: step.size.cpu_milli,
        memory_mb: step.size.memory_mb,
        accelerators: step.size.accelerators,
        best_effort: step.fills,
        tail_target_ms: step.tail_target_ms,
        image: step.image.to_string(),
    }
}

/// Takes out workers of which nothing was heard until all their leases had lapsed.
fn drop_lapsed(tenure: &Tenure, now: TimePoint) {
    let lapsed = tenure
        .agents
        .borrow_mut()
        .drop_lapsed(now, tenure.confirmed.get());
    for node in &lapsed.nodes {
        tracing::warn!(agent = %node, "leases have lapsed unheard");
    }
    if !lapsed.nodes.is_empty() {
        tenure.write.notify(usize::MAX);
    }
    for worker in lapsed.workers {
        tenure.lose_worker(worker, now);
    }
}

/// Writes down which agents cannot be reached, and what may run there.
fn note_unlinked(tenure: &Tenure, now: TimePoint) {
    let book = tenure.book.borrow();
    let mut agents = tenure.agents.borrow_mut();
    agents.note_unlinked(now, |worker| book.jobs_on(worker));
    if agents.has_notes() {
        tenure.write.notify(usize::MAX);
    }
}

/// Tasks of earlier terms may start as far as no agent that was not heard may run them.
fn settle(tenure: &Tenure, now: TimePoint) {
    if tenure.book.borrow().is_settled() {
        return;
    }
    let agents = tenure.agents.borrow();
    let changes = Some(agents.unheard_changes());
    if tenure.unheard_seen.replace(changes) == changes {
        return;
    }
    let unheard = agents.unheard();
    let mut book = tenure.book.borrow_mut();
    if *book.unheard() == unheard {
        return;
    }
    let bound = match &unheard {
        UnheardRuns::Any => None,
        UnheardRuns::Only(jobs) => Some(jobs.len()),
    };
    book.set_unheard(unheard);
    tracing::info!(
        epoch = tenure.epoch,
        agents = agents.unheard_agents(),
        jobs = bound,
        held_back = book.held_back(),
        "runs of earlier terms that were not heard"
    );
    if book.is_settled() {
        note_latency(Latency::Settle, now.since(tenure.began));
        tracing::info!(epoch = tenure.epoch, "all workers heard or lapsed");
    }
}
