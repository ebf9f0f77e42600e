//! Sends orders to agents: starts, stops and acknowledgements.

use crate::owner_term::OwnerTerm;
use crate::shared::PoolShared;
use crate::slow_workers::review_slow_workers;
use compio::time::timeout;
use std::rc::Rc;
use std::time::Duration;
use wax_batch::{BootId, StartOrder, UnreconciledRuns, WorkerKey};
use wax_trace::{Counter, Latency, count, count_many, record_latency};
use wax_types::{TimePoint, wall_clock_ms};
use wax_wire::{AckEnds, PlacementFrame, PoolBody, StartRun, StopRun};

/// Longest time between two dispatch rounds without a change; some decisions depend on time alone.
const IDLE_PERIOD: Duration = Duration::from_millis(100);
/// Gap between two dispatch rounds beyond which this process counts as stalled. Missing progress is
/// then not attributed to the workers.
const PROCESS_STALL_THRESHOLD: Duration = Duration::from_millis(500);
/// Time after a stall of this process within which new progress reports arrive.
const PROGRESS_CATCH_UP: Duration = Duration::from_millis(2_000);
/// Delay that lets changes which arrive together share a dispatch round.
const COALESCE_DELAY: Duration = Duration::from_millis(2);

/// Runs dispatch rounds until the term ends.
pub(crate) async fn dispatch_orders(shared: Rc<PoolShared>, term: Rc<OwnerTerm>) {
    while !term.ended.is_raised() {
        let listener = term.dispatch.listen();
        // Either a change or the timeout starts the next round.
        let wait = term
            .scheduler
            .borrow()
            .time_to_next_check(shared.now(), IDLE_PERIOD);
        if timeout(wait, listener).await.is_ok() {
            compio::time::sleep(COALESCE_DELAY).await;
        }
        dispatch_once(&shared, &term);
    }
}

fn dispatch_once(shared: &PoolShared, term: &OwnerTerm) {
    let now = shared.now();
    if !term.loaded.is_raised() || term.ended.is_raised() {
        return;
    }
    if now.since(term.dispatched_at.replace(now)) > PROCESS_STALL_THRESHOLD {
        term.progress_unreliable_until.set(now + PROGRESS_CATCH_UP);
        let mut scheduler = term.scheduler.borrow_mut();
        scheduler.ignore_performance_until(now + PROGRESS_CATCH_UP);
    }
    remove_expired(shared, term, now);
    queue_unlinked(term, now);
    update_unreconciled(term, now);
    if term.can_act(now, shared.timeouts.term_validity) {
        if now.since(term.checked_at.get()) >= IDLE_PERIOD {
            term.checked_at.set(now);
            run_periodic_checks(term, now);
            term.release_to_stronger_front(shared, now);
        }
        if are_drains_fresh(shared, term, now) {
            let orders = term.scheduler.borrow_mut().place(now);
            for order in orders {
                send_start(term, &order);
            }
            log_waits(term);
        }
    }
    count_many(
        Counter::WorkersEvaluated,
        term.scheduler.borrow().take_workers_evaluated(),
    );
    count_many(Counter::AgentsVisited, term.agents.borrow().take_visited());
    let stops = term.scheduler.borrow_mut().take_stops();
    for stop in stops {
        tracing::info!(task = %stop.run_id.task, run = stop.run_id.run, why = %stop.reason, "stop ordered");
        count(Counter::StopsOrdered);
        let run_id = stop.run_id.into();
        term.send_to_worker(stop.worker, PoolBody::Stop(StopRun { run_id }));
    }
    let cursors = term.scheduler.borrow_mut().advance_ack_cursors();
    for (worker, cursor) in cursors {
        let boot = worker_boot(term, worker);
        let ack = AckEnds::new(&boot, cursor);
        term.send_to_worker(worker, PoolBody::Ack(ack));
    }
    if term.scheduler.borrow().has_updates() {
        term.write.notify(usize::MAX);
    }
}

/// Returns whether the known drains are fresh enough to order starts; agents would refuse orders
/// based on an older view.
fn are_drains_fresh(shared: &PoolShared, term: &OwnerTerm, now: TimePoint) -> bool {
    let view = shared.drains.borrow();
    let is_stale = !view.is_fresh(now, shared.drain_rules.max_age_for_order());
    if term.drains_stale.replace(is_stale) != is_stale {
        tracing::info!(
            epoch = term.epoch,
            waits = is_stale,
            age_ms = view.age(now).map(millis),
            version = view.version(),
            "start orders were suspended or resumed, depending on the age of the drain view"
        );
    }
    !is_stale
}

/// Runs the checks that depend on time rather than on a change: due occurrences, stalled runs and
/// evacuations.
fn run_periodic_checks(term: &OwnerTerm, now: TimePoint) {
    let mut scheduler = term.scheduler.borrow_mut();
    scheduler.start_due_occurrences(now, wall_clock_ms());
    if now >= term.progress_unreliable_until.get() {
        scheduler.move_stalled(now);
        review_slow_workers(&mut scheduler, now);
    }
    scheduler.evacuate(now);
    term.overload.set(scheduler.overload(now));
}

fn worker_boot(term: &OwnerTerm, worker: WorkerKey) -> BootId {
    let agents = term.agents.borrow();
    agents.boot(worker).cloned().unwrap_or_default()
}

/// Logs each step that waits for a new reason, at most once per second and step.
fn log_waits(term: &OwnerTerm) {
    for wait in term.scheduler.borrow_mut().take_waits() {
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

/// Rounds to three decimal places for the log.
fn rounded(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}

fn send_start(term: &OwnerTerm, order: &StartOrder) {
    count(Counter::StartsOrdered);
    let step = &order.spec.steps[usize::from(order.run_id.task.step)];
    let boot = worker_boot(term, order.worker);
    tracing::info!(
        task = %order.run_id.task,
        run = order.run_id.run,
        worker = %boot,
        resumes = !order.checkpoint.is_empty(),
        eligible = ?order.reason.eligibility,
        waited_ms = millis(order.reason.waited),
        finish = ?order.reason.rank.finish,
        left_ms = order.reason.rank.remaining_work_ms,
        cost = rounded(order.reason.cost),
        next_cost = order.reason.next_cost.map(rounded),
        pace = rounded(order.reason.pace),
        view_ms = millis(order.reason.view_age),
        "start ordered"
    );
    let start = StartRun {
        placement: placement_frame(order.run_id, step),
        text: order.spec.text.to_string(),
        checkpoint: order.checkpoint.to_string(),
        ticket: order.ticket.to_string(),
        worker: boot.worker_id().into(),
        started_ms: boot.started_ms(),
    };
    term.send_to_worker(order.worker, PoolBody::Start(start));
}

/// Describes a run's reservation to its agent.
pub(crate) fn placement_frame(
    run_id: wax_batch::RunId,
    step: &wax_batch::StepSpec,
) -> PlacementFrame {
    PlacementFrame {
        run_id: run_id.into(),
        cpu_milli: step.size.cpu_milli,
        memory_mb: step.size.memory_mb,
        accelerators: step.size.accelerators,
        best_effort: step.best_effort,
        tail_target_ms: step.tail_target_ms,
        image: step.image.to_string(),
    }
}

/// Removes workers whose leases expired before their agents reported to this owner.
fn remove_expired(shared: &PoolShared, term: &OwnerTerm, now: TimePoint) {
    let confirmed_at = term.confirmed_at.get();
    let awaited = {
        let scheduler = term.scheduler.borrow();
        term.agents.borrow_mut().await_unconfirmed(
            now.min(confirmed_at),
            &shared.timeouts,
            |worker| scheduler.has_unconfirmed_starts(worker),
        )
    };
    for worker in awaited {
        let mut scheduler = term.scheduler.borrow_mut();
        scheduler.end_confirmed_runs(worker, now, wall_clock_ms());
    }
    let expired = term.agents.borrow_mut().remove_expired(now, confirmed_at);
    for (node, grant_end) in expired.nodes.iter().zip(&expired.grant_ends) {
        let after_grant_ms = now.since(*grant_end).as_millis() as u64;
        tracing::warn!(agent = %node, after_grant_ms, "leases have lapsed unheard");
    }
    if !expired.nodes.is_empty() {
        term.write.notify(usize::MAX);
    }
    for worker in expired.workers {
        term.remove_worker(worker, now);
    }
}

/// Queues row changes for agents that have no link, with the jobs that may run there.
fn queue_unlinked(term: &OwnerTerm, now: TimePoint) {
    let scheduler = term.scheduler.borrow();
    let mut agents = term.agents.borrow_mut();
    agents.queue_unlinked(now, |worker| scheduler.jobs_on(worker));
    if agents.has_updates() {
        term.write.notify(usize::MAX);
    }
}

/// Updates which tasks of earlier terms are held back, because an agent that has not been
/// reconciled may still run them.
fn update_unreconciled(term: &OwnerTerm, now: TimePoint) {
    if term.scheduler.borrow().is_reconciled() {
        return;
    }
    let agents = term.agents.borrow();
    let changes = Some(agents.unreconciled_changes());
    if term.unreconciled_seen.replace(changes) == changes {
        return;
    }
    let runs = agents.unreconciled_runs();
    let mut scheduler = term.scheduler.borrow_mut();
    if *scheduler.unreconciled() == runs {
        return;
    }
    let bound = match &runs {
        UnreconciledRuns::Any => None,
        UnreconciledRuns::Only(jobs) => Some(jobs.len()),
    };
    scheduler.set_unreconciled(runs);
    tracing::info!(
        epoch = term.epoch,
        agents = agents.unreconciled_agents(),
        jobs = bound,
        held_back = scheduler.held_back_task_count(),
        "runs of earlier terms not reconciled yet"
    );
    if scheduler.is_reconciled() {
        record_latency(Latency::Settle, now.since(term.began_at));
        tracing::info!(epoch = term.epoch, "all workers heard or lapsed");
    }
}
