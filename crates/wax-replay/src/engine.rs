//! Event loop of a replay.

use crate::batch::{BatchState, LEASE_EXPIRY, SCHEDULING_PERIOD};
use crate::events::ReplayEvent;
use crate::quick::QuickState;
use crate::report::ReplayReport;
use crate::trace::{ReplayPolicy, TraceError, TraceLine};
use crate::world::{ReplayFault, ReplayWorld, TRACE_START};
use std::time::Duration;
use wax_types::TimePoint;

/// Interval between two load reports of the sidecars.
const LOAD_PERIOD: Duration = Duration::from_millis(100);
/// Interval between two measurements of usage.
const USAGE_PERIOD: Duration = Duration::from_secs(1);

/// State of a replay in progress.
pub(crate) struct ReplayRun {
    pub(crate) world: ReplayWorld,
    pub(crate) quick: QuickState,
    pub(crate) batch: BatchState,
}

/// Replays a trace with a policy. The same trace, policy and seed give the same report.
///
/// # Errors
///
/// A line names something that no line before it declares.
pub fn replay(
    lines: &[TraceLine],
    policy: ReplayPolicy,
    seed: u64,
) -> Result<ReplayReport, TraceError> {
    let world = ReplayWorld::build(lines, policy, seed)?;
    let mut run = ReplayRun::begin(world);
    run.run();
    Ok(run.report(seed))
}

impl ReplayRun {
    fn begin(world: ReplayWorld) -> Self {
        let mut run = Self {
            quick: QuickState::new(&world, TRACE_START),
            batch: BatchState::new(&world, TRACE_START),
            world,
        };
        let queue = &mut run.world.queue;
        queue.push(TRACE_START, ReplayEvent::LoadsReported);
        queue.push(TRACE_START, ReplayEvent::SchedulingDue);
        queue.push(TRACE_START + USAGE_PERIOD, ReplayEvent::UsageMeasured);
        run
    }

    fn run(&mut self) {
        while let Some((now, event)) = self.world.queue.pop() {
            if now > self.world.options.until {
                break;
            }
            self.handle_event(now, event);
        }
    }

    fn handle_event(&mut self, now: TimePoint, event: ReplayEvent) {
        match event {
            ReplayEvent::QuickArrives(request) => self.handle_quick_arrival(now, request),
            ReplayEvent::AttemptArrives(attempt) => self.handle_attempt_arrival(now, attempt),
            ReplayEvent::AttemptEnds(attempt) => self.handle_attempt_end(now, attempt),
            ReplayEvent::AnswerArrives(attempt) => self.handle_answer(now, attempt),
            ReplayEvent::HedgeDue(request) => self.handle_hedge(now, request),
            ReplayEvent::DeadlinePasses(request) => self.handle_deadline(now, request),
            ReplayEvent::JobArrives(job) => self.handle_job_arrival(now, job),
            ReplayEvent::RunEnds(task, generation) => self.handle_run_end(now, task, generation),
            ReplayEvent::StopDone(task, evictions) => self.finish_stop(now, task, evictions),
            ReplayEvent::UsageArrives(index) => self.apply_usage(now, index),
            ReplayEvent::FaultChanges(fault, active) => self.set_fault(now, fault, active),
            ReplayEvent::LeasesExpire(worker) => self.requeue_lost_tasks(now, worker),
            ReplayEvent::Cancelled(cancel) => self.cancel_jobs(now, cancel),
            ReplayEvent::LoadsReported => {
                self.report_loads(now);
                self.world.queue.push(now + LOAD_PERIOD, event);
            }
            ReplayEvent::SchedulingDue => {
                self.schedule_queue(now);
                self.world.queue.push(now + SCHEDULING_PERIOD, event);
            }
            ReplayEvent::UsageMeasured => {
                self.measure_usage(now);
                self.world.queue.push(now + USAGE_PERIOD, event);
            }
        }
    }

    fn set_fault(&mut self, now: TimePoint, fault: usize, active: bool) {
        match self.world.faults[fault] {
            ReplayFault::WorkerFails(worker) => {
                self.world.workers[worker].fails = active;
                self.replan_worker(now, worker);
            }
            ReplayFault::WorkerDown(worker) => {
                self.world.workers[worker].down = active;
                if active {
                    let expired_at = now + LEASE_EXPIRY;
                    let event = ReplayEvent::LeasesExpire(worker);
                    self.world.queue.push(expired_at, event);
                }
            }
            ReplayFault::UpstreamSlow(upstream, factor) => {
                self.world.upstreams[upstream].slow_factor = if active { factor } else { 1.0 };
            }
            ReplayFault::StoreDown => self.world.store_down = active,
        }
    }

    fn report(&mut self, seed: u64) -> ReplayReport {
        let end = self.world.options.until;
        ReplayReport {
            policy: self.world.policy.name.into(),
            seed,
            quick: self.quick.report(),
            batch: self.batch_report(end),
            urgent: self.urgent_report(),
            rows_per_placement: self.batch.rows_per_placement(),
            commits_per_placement: self.batch.commits_per_placement(),
            worst_over_milli: self.batch.max_overallocation_milli(),
        }
    }
}
