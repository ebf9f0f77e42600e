//! The calls to one worker: renewals on a beat, starts and stops when they are due.

use crate::shard::ShardShared;
use crate::shard_state::StartState;
use compio::time::sleep;
use std::rc::Rc;
use std::time::Duration;
use wax_platform::{
    ControlRequest, RenewReply, RenewRequest, StartReply, StartRequest, TaskReport, TaskRunId,
    TaskRunStatus, ThrottleRequest,
};
use wax_policy::ContactChoice;
use wax_trace::{Counter, count};
use wax_types::{ErrorKind, TimePoint, WaxError, WorkerId};

/// What a worker's link tells the shard.
#[derive(Debug)]
pub(crate) enum WorkerEvent {
    /// The worker answered a renewal that was sent at the given time.
    Report(WorkerId, RenewReply, TimePoint),
    /// One run changed, outside of a renewal.
    Run(WorkerId, TaskReport),
    /// The worker cannot run the task.
    Refused(WorkerId, TaskRunId, Box<str>),
    /// A stop did not get through.
    StopFailed(TaskRunId),
    /// Every lease at the worker has surely lapsed.
    Lapsed(WorkerId),
}

/// Renews the leases at one worker for as long as the term holds.
pub(crate) async fn keep_worker(shared: Rc<ShardShared>, worker: WorkerId) {
    loop {
        if !shared.holds() || !shared.state.borrow().workers.contains_key(&worker) {
            return;
        }
        let first = shared.clock_of(&worker).is_none();
        beat(&shared, &worker).await;
        // The first call only asks for the worker's clock: the leases are renewed at once after it.
        if first && shared.clock_of(&worker).is_some() {
            continue;
        }
        sleep(shared.options.renew).await;
    }
}

async fn beat(shared: &ShardShared, worker: &WorkerId) {
    let now = shared.now();
    let Some((choice, address)) = shared.look_at(worker, now) else {
        return;
    };
    if choice == ContactChoice::Lapsed {
        shared.send(WorkerEvent::Lapsed(worker.clone()));
    }
    let request = build_renewal(shared, worker, choice, now);
    count(Counter::LeaseRenewals);
    let result = shared.workers.renew(&address, &request).await;
    if !shared.holds() {
        return;
    }
    note_result(shared, worker, &result, now);
    match result {
        Ok(reply) => shared.send(WorkerEvent::Report(worker.clone(), reply, now)),
        Err(error) if error.kind == ErrorKind::Conflict => shared.fenced(&error),
        Err(_) => {}
    }
}

fn build_renewal(
    shared: &ShardShared,
    worker: &WorkerId,
    choice: ContactChoice,
    now: TimePoint,
) -> RenewRequest {
    let mut state = shared.state.borrow_mut();
    let renews = choice == ContactChoice::Renew;
    let renew = if renews {
        state.marks_at(worker)
    } else {
        Vec::new()
    };
    let valid_until_ms = valid_until(shared, state.workers.get(worker).and_then(|w| w.clock), now);
    let entry = state.workers.get_mut(worker);
    let (forget, usage_through) = entry.map_or_else(Default::default, |entry| {
        if renews {
            entry.contact.note_renewal(now, &shared.options.terms);
        }
        (entry.forget.iter().copied().collect(), entry.usage_through)
    });
    RenewRequest {
        owner: shared.term.epoch(),
        lease_ms: shared.options.terms.duration.as_millis() as u64,
        valid_until_ms,
        renew,
        forget,
        usage_through,
    }
}

/// Until when, on the worker's clock, a call that is sent now may take effect.
///
/// The worker's clock was read before its answer came, so the bound errs to the early side. Zero
/// until the worker has answered once: the first call only asks.
fn valid_until(shared: &ShardShared, clock: Option<(u64, TimePoint)>, now: TimePoint) -> u64 {
    let Some((clock_ms, at)) = clock else {
        return 0;
    };
    let end = (now + shared.options.terms.call_timeout).min(shared.term.expires());
    clock_ms + end.since(at).as_millis() as u64
}

fn note_result(
    shared: &ShardShared,
    worker: &WorkerId,
    result: &Result<RenewReply, WaxError>,
    sent: TimePoint,
) {
    let now = shared.now();
    let mut state = shared.state.borrow_mut();
    let Some(entry) = state.workers.get_mut(worker) else {
        return;
    };
    let was_reachable = entry.contact.is_reachable();
    match result {
        Ok(reply) => {
            entry.contact.note_answer(sent, &shared.options.terms);
            entry.clock = Some((reply.clock_ms, now));
        }
        Err(_) => entry.contact.note_failure(),
    }
    let reachable = entry.contact.is_reachable();
    let open = reachable && entry.quarantined_until.is_none_or(|until| until <= now);
    let key = entry.key;
    state.table.set_open(key, open);
    drop(state);
    if was_reachable != reachable {
        let error = result.as_ref().err().map(ToString::to_string);
        tracing::info!(%worker, reachable, error, "worker changed");
    }
}

/// Starts a run that was placed by a committed transaction; a repeated start changes nothing.
pub(crate) async fn start_run(shared: Rc<ShardShared>, worker: WorkerId, mark: TaskRunId) {
    if shared.is_drained(&worker) {
        // Placed before the drain was heard of, and not seen to run: a stop forbids the start for good,
        // and the task waits again.
        if let Some(task) = shared.state.borrow_mut().tasks.get_mut(&mark.task) {
            task.stopping = true;
        }
        tracing::info!(%worker, task = %mark.task, epoch = %mark.epoch, "not started: its failure domain is drained");
        return stop_run(shared, worker, mark).await;
    }
    let Some((address, request)) = build_start(&shared, &worker, mark) else {
        return;
    };
    let result = shared.workers.start(&address, &request).await;
    if !shared.holds() {
        return;
    }
    let (start, event) = match result {
        Ok(StartReply::Started | StartReply::Already) => (None, None),
        Ok(StartReply::Fenced) => {
            let run = TaskRunStatus::Stopped(None);
            let report = TaskReport { run_id: mark, run };
            (None, Some(WorkerEvent::Run(worker.clone(), report)))
        }
        Ok(StartReply::Refused(reason)) => {
            let event = WorkerEvent::Refused(worker.clone(), mark, reason);
            (None, Some(event))
        }
        // The next renewal shows whether it runs; if not, it is started again.
        Ok(StartReply::Late) => (Some(StartState::Unsure), None),
        Err(error) if error.kind == ErrorKind::Conflict => return shared.fenced(&error),
        Err(_) => (Some(StartState::Unsure), None),
    };
    {
        let mut state = shared.state.borrow_mut();
        let boot = state.workers.get(&worker).map_or(0, |entry| entry.boot);
        if let Some(entry) = state.tasks.get_mut(&mark.task)
            && entry
                .row
                .as_ref()
                .is_some_and(|row| row.epoch == mark.epoch)
        {
            entry.start = start.unwrap_or(StartState::Running(boot));
        }
    }
    if let Some(event) = event {
        shared.send(event);
    }
}

fn build_start(
    shared: &ShardShared,
    worker: &WorkerId,
    mark: TaskRunId,
) -> Option<(Box<str>, StartRequest)> {
    let now = shared.now();
    if !shared.holds() {
        return None;
    }
    let mut state = shared.state.borrow_mut();
    let spec = state.part_of(mark.task)?.row.spec.clone();
    let allocs = &state.workers.get(worker)?.alloc.tasks;
    let size = allocs.iter().find(|alloc| alloc.task == mark.task)?.size;
    let task = state.tasks.get_mut(&mark.task)?;
    task.start = StartState::Sending;
    let checkpoint = task.row.as_ref()?.checkpoint.clone();
    let entry = state.workers.get_mut(worker)?;
    // The start gives a lease too.
    entry.contact.note_renewal(now, &shared.options.terms);
    let request = StartRequest {
        owner: shared.term.epoch(),
        run_id: mark,
        size,
        kind: spec.kind,
        input: spec.input,
        checkpoint,
        lease_ms: shared.options.terms.duration.as_millis() as u64,
        valid_until_ms: valid_until(shared, entry.clock, now),
    };
    Some((entry.info.address.clone(), request))
}

/// Stops a run, with a checkpoint.
pub(crate) async fn stop_run(shared: Rc<ShardShared>, worker: WorkerId, mark: TaskRunId) {
    let address = {
        let state = shared.state.borrow();
        state
            .workers
            .get(&worker)
            .map(|entry| entry.info.address.clone())
    };
    let Some(address) = address else { return };
    if !shared.holds() {
        return;
    }
    let request = ControlRequest {
        owner: shared.term.epoch(),
        run_id: mark,
    };
    let result = shared.workers.stop(&address, &request).await;
    if !shared.holds() {
        return;
    }
    match result {
        Ok(reply) => {
            // A run that the worker never had is fenced there now, and counts as stopped.
            let run = reply
                .run
                .unwrap_or(TaskRunStatus::Stopped(reply.checkpoint));
            let report = TaskReport { run_id: mark, run };
            shared.send(WorkerEvent::Run(worker, report));
        }
        Err(error) if error.kind == ErrorKind::Conflict => shared.fenced(&error),
        Err(_) => shared.send(WorkerEvent::StopFailed(mark)),
    }
}

/// Lets a run use a share of its size; a call that does not get through is decided anew later.
pub(crate) async fn throttle_run(
    shared: Rc<ShardShared>,
    worker: WorkerId,
    mark: TaskRunId,
    percent: u8,
) {
    let Some((_, address)) = shared.look_at(&worker, shared.now()) else {
        return;
    };
    if !shared.holds() {
        return;
    }
    let request = ThrottleRequest {
        owner: shared.term.epoch(),
        run_id: mark,
        percent,
    };
    let result = shared.workers.throttle(&address, &request).await;
    tracing::debug!(%worker, task = %mark.task, percent, ok = result.is_ok(), "throttled");
}

/// The pause between two looks of a shard at its inbox and its queue.
pub(crate) const SHARD_TICK: Duration = Duration::from_millis(25);
