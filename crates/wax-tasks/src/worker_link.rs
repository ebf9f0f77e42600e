//! Calls to one worker: periodic lease renewals, and starts, stops and throttling on demand.

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

/// Event that the link to a worker sends to the main loop of the shard.
#[derive(Debug)]
pub(crate) enum WorkerEvent {
    /// The worker has answered a renewal that was sent at the given time.
    Renewed(WorkerId, RenewReply, TimePoint),
    /// The answer to a start or stop shows a new status of one run.
    RunChanged(WorkerId, TaskReport),
    /// The worker has refused to start a run, for the given reason.
    StartRefused(WorkerId, TaskRunId, Box<str>),
    /// A call to stop a run has failed.
    StopFailed(TaskRunId),
    /// All leases on the worker are known to have expired.
    LeasesExpired(WorkerId),
}

/// Renews the leases on one worker periodically while the term is active and the shard has the
/// worker.
pub(crate) async fn run_worker_link(shared: Rc<ShardShared>, worker: WorkerId) {
    loop {
        if !shared.is_term_active() || !shared.state.borrow().workers.contains_key(&worker) {
            return;
        }
        let is_first_contact = shared.worker_clock(&worker).is_none();
        renew_leases(&shared, &worker).await;
        // The worker's clock is unknown at the first call, which therefore renews no lease. The
        // renewal follows immediately.
        if is_first_contact && shared.worker_clock(&worker).is_some() {
            continue;
        }
        sleep(shared.options.renew_period).await;
    }
}

async fn renew_leases(shared: &ShardShared, worker: &WorkerId) {
    let now = shared.now();
    let Some((choice, address)) = shared.contact_choice(worker, now) else {
        return;
    };
    if choice == ContactChoice::Lapsed {
        shared.send_event(WorkerEvent::LeasesExpired(worker.clone()));
    }
    let request = build_renewal(shared, worker, choice, now);
    count(Counter::LeaseRenewals);
    let result = shared.worker_client.renew(&address, &request).await;
    if !shared.is_term_active() {
        return;
    }
    record_result(shared, worker, &result, now);
    match result {
        Ok(reply) => shared.send_event(WorkerEvent::Renewed(worker.clone(), reply, now)),
        Err(error) if error.kind == ErrorKind::Conflict => shared.end_fenced_term(&error),
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
    let renewing = choice == ContactChoice::Renew;
    let renew = if renewing {
        state.run_ids_on(worker)
    } else {
        Vec::new()
    };
    let valid_until_ms = call_valid_until(
        shared,
        state.workers.get(worker).and_then(|entry| entry.clock),
        now,
    );
    let entry = state.workers.get_mut(worker);
    let (forget, usage_through) = entry.map_or_else(Default::default, |entry| {
        if renewing {
            entry
                .contact
                .record_renewal(now, &shared.options.lease_timings);
        }
        (entry.forget.iter().copied().collect(), entry.usage_through)
    });
    RenewRequest {
        owner: shared.term.epoch(),
        lease_ms: shared.options.lease_timings.duration.as_millis() as u64,
        valid_until_ms,
        renew,
        forget,
        usage_through,
    }
}

/// Returns the time, in milliseconds of the worker's clock, until which a call that is sent now may
/// take effect; 0 before the worker's first answer, so that the first call has no effect.
///
/// The worker reads its clock before its answer arrives here, so the bound is early rather than
/// late.
fn call_valid_until(shared: &ShardShared, clock: Option<(u64, TimePoint)>, now: TimePoint) -> u64 {
    let Some((clock_ms, answered_at)) = clock else {
        return 0;
    };
    let valid_until =
        (now + shared.options.lease_timings.call_timeout).min(shared.term.expires_at());
    clock_ms + valid_until.since(answered_at).as_millis() as u64
}

fn record_result(
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
            entry
                .contact
                .record_answer(sent, &shared.options.lease_timings);
            entry.clock = Some((reply.clock_ms, now));
        }
        Err(_) => entry.contact.record_failure(),
    }
    let reachable = entry.contact.is_reachable();
    let open = reachable && entry.quarantined_until.is_none_or(|until| until <= now);
    let key = entry.key;
    state.worker_table.set_open(key, open);
    drop(state);
    if was_reachable != reachable {
        let error = result.as_ref().err().map(ToString::to_string);
        tracing::info!(%worker, reachable, error, "reachability of the worker changed");
    }
}

/// Starts a run whose placement is committed. The call is idempotent.
pub(crate) async fn start_run(shared: Rc<ShardShared>, worker: WorkerId, run_id: TaskRunId) {
    if shared.is_worker_drained(&worker) {
        // The task was placed before the drain was known here, and no answer shows that it runs.
        // The stop prevents any later start of this run, and the task waits again.
        if let Some(task) = shared.state.borrow_mut().tasks.get_mut(&run_id.task) {
            task.stopping = true;
        }
        tracing::info!(
            %worker, task = %run_id.task, epoch = %run_id.epoch,
            "run not started: the worker or its failure domain is drained"
        );
        return stop_run(shared, worker, run_id).await;
    }
    let Some((address, request)) = build_start(&shared, &worker, run_id) else {
        return;
    };
    let result = shared.worker_client.start(&address, &request).await;
    if !shared.is_term_active() {
        return;
    }
    let (start, event) = match result {
        Ok(StartReply::Started | StartReply::Already) => (None, None),
        Ok(StartReply::Fenced) => {
            let run = TaskRunStatus::Stopped(None);
            let report = TaskReport { run_id, run };
            (None, Some(WorkerEvent::RunChanged(worker.clone(), report)))
        }
        Ok(StartReply::Refused(reason)) => {
            let event = WorkerEvent::StartRefused(worker.clone(), run_id, reason);
            (None, Some(event))
        }
        // The next renewal shows whether the run is in progress; if it is not, it is started again.
        Ok(StartReply::Late) => (Some(StartState::Unknown), None),
        Err(error) if error.kind == ErrorKind::Conflict => return shared.end_fenced_term(&error),
        Err(_) => (Some(StartState::Unknown), None),
    };
    {
        let mut state = shared.state.borrow_mut();
        let boot = state.workers.get(&worker).map_or(0, |entry| entry.boot);
        if let Some(entry) = state.tasks.get_mut(&run_id.task)
            && entry
                .row
                .as_ref()
                .is_some_and(|row| row.epoch == run_id.epoch)
        {
            entry.start = start.unwrap_or(StartState::Running(boot));
        }
    }
    if let Some(event) = event {
        shared.send_event(event);
    }
}

fn build_start(
    shared: &ShardShared,
    worker: &WorkerId,
    run_id: TaskRunId,
) -> Option<(Box<str>, StartRequest)> {
    let now = shared.now();
    if !shared.is_term_active() {
        return None;
    }
    let mut state = shared.state.borrow_mut();
    let spec = state.part_of(run_id.task)?.row.spec.clone();
    let allocs = &state.workers.get(worker)?.alloc.tasks;
    let size = allocs.iter().find(|alloc| alloc.task == run_id.task)?.size;
    let task = state.tasks.get_mut(&run_id.task)?;
    task.start = StartState::Sending;
    let checkpoint = task.row.as_ref()?.checkpoint.clone();
    let entry = state.workers.get_mut(worker)?;
    // The start grants a lease, so it counts as a renewal.
    entry
        .contact
        .record_renewal(now, &shared.options.lease_timings);
    let request = StartRequest {
        owner: shared.term.epoch(),
        run_id,
        size,
        kind: spec.kind,
        input: spec.input,
        checkpoint,
        lease_ms: shared.options.lease_timings.duration.as_millis() as u64,
        valid_until_ms: call_valid_until(shared, entry.clock, now),
    };
    Some((entry.info.address.clone(), request))
}

/// Stops a run after a checkpoint.
pub(crate) async fn stop_run(shared: Rc<ShardShared>, worker: WorkerId, run_id: TaskRunId) {
    let address = {
        let state = shared.state.borrow();
        state
            .workers
            .get(&worker)
            .map(|entry| entry.info.address.clone())
    };
    let Some(address) = address else { return };
    if !shared.is_term_active() {
        return;
    }
    let request = ControlRequest {
        owner: shared.term.epoch(),
        run_id,
    };
    let result = shared.worker_client.stop(&address, &request).await;
    if !shared.is_term_active() {
        return;
    }
    match result {
        Ok(reply) => {
            // A run that the worker does not know can no longer start there, and counts as stopped.
            let run = reply
                .run
                .unwrap_or(TaskRunStatus::Stopped(reply.checkpoint));
            let report = TaskReport { run_id, run };
            shared.send_event(WorkerEvent::RunChanged(worker, report));
        }
        Err(error) if error.kind == ErrorKind::Conflict => shared.end_fenced_term(&error),
        Err(_) => shared.send_event(WorkerEvent::StopFailed(run_id)),
    }
}

/// Limits a run to a share of its size. A failed call is not retried: the next usage report leads
/// to a new decision.
pub(crate) async fn throttle_run(
    shared: Rc<ShardShared>,
    worker: WorkerId,
    run_id: TaskRunId,
    percent: u8,
) {
    let Some((_, address)) = shared.contact_choice(&worker, shared.now()) else {
        return;
    };
    if !shared.is_term_active() {
        return;
    }
    let request = ThrottleRequest {
        owner: shared.term.epoch(),
        run_id,
        percent,
    };
    let result = shared.worker_client.throttle(&address, &request).await;
    tracing::debug!(%worker, task = %run_id.task, percent, ok = result.is_ok(), "throttled");
}

/// Delay between two iterations of the main loop of a shard.
pub(crate) const SHARD_LOOP_PERIOD: Duration = Duration::from_millis(25);
