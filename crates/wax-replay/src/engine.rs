//! Runs a trace from its start to its end.

use crate::batch::{BatchState, LAPSE, LOOK_PERIOD};
use crate::events::ReplayEvent;
use crate::quick::QuickState;
use crate::report::ReplayReport;
use crate::trace::{ReplayPolicy, TraceError, TraceLine};
use crate::world::{FaultTruth, ReplayWorld, TRACE_START};
use std::time::Duration;
use wax_types::TimePoint;

/// Between two announcements of the sidecars' loads.
const LOAD_PERIOD: Duration = Duration::from_millis(100);
/// Between two measurements of usage.
const USAGE_PERIOD: Duration = Duration::from_secs(1);

/// One replay under way.
pub(crate) struct ReplayRun {
    pub(crate) world: ReplayWorld,
    pub(crate) quick: QuickState,
    pub(crate) batch: BatchState,
}

/// Replays a trace with a policy; the same trace, policy and seed give the same report.
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
        queue.push(TRACE_START, ReplayEvent::OwnerLooks);
        queue.push(TRACE_START + USAGE_PERIOD, ReplayEvent::UsageMeasured);
        run
    }

    fn run(&mut self) {
        while let Some((now, event)) = self.world.queue.pop() {
            if now > self.world.options.until {
                break;
            }
            self.take(now, event);
        }
    }

    fn take(&mut self, now: TimePoint, event: ReplayEvent) {
        match event {
            ReplayEvent::QuickArrives(request) => self.quick_arrives(now, request),
            ReplayEvent::AttemptArrives(attempt) => self.attempt_arrives(now, attempt),
            ReplayEvent::AttemptEnds(attempt) => self.attempt_ends(now, attempt),
            ReplayEvent::AnswerArrives(attempt) => self.answer_arrives(now, attempt),
            ReplayEvent::HedgeDue(request) => self.hedge_due(now, request),
            ReplayEvent::DeadlinePasses(request) => self.deadline_passes(now, request),
            ReplayEvent::JobArrives(job) => self.job_arrives(now, job),
            ReplayEvent::RunEnds(task, generation) => self.run_ends(now, task, generation),
            ReplayEvent::StopDone(task, evictions) => self.stop_done(now, task, evictions),
            ReplayEvent::UsageArrives(index) => self.usage_arrives(now, index),
            ReplayEvent::FaultChanges(fault, begins) => self.change_fault(now, fault, begins),
            ReplayEvent::LeasesLapse(worker) => self.lose_worker(now, worker),
            ReplayEvent::Cancelled(cancel) => self.cancel_wave(now, cancel),
            ReplayEvent::LoadsReported => {
                self.report_loads(now);
                self.world.queue.push(now + LOAD_PERIOD, event);
            }
            ReplayEvent::OwnerLooks => {
                self.owner_looks(now);
                self.world.queue.push(now + LOOK_PERIOD, event);
            }
            ReplayEvent::UsageMeasured => {
                self.measure_usage(now);
                self.world.queue.push(now + USAGE_PERIOD, event);
            }
        }
    }

    fn change_fault(&mut self, now: TimePoint, fault: usize, begins: bool) {
        match self.world.faults[fault] {
            FaultTruth::WorkerFails(worker) => {
                self.world.workers[worker].fails = begins;
                self.respeed_worker(now, worker);
            }
            FaultTruth::WorkerDown(worker) => {
                self.world.workers[worker].down = begins;
                if begins {
                    let lapsed = now + LAPSE;
                    let event = ReplayEvent::LeasesLapse(worker);
                    self.world.queue.push(lapsed, event);
                }
            }
            FaultTruth::UpstreamSlow(upstream, factor) => {
                self.world.upstreams[upstream].slow = if begins { factor } else { 1.0 };
            }
            FaultTruth::StoreDown => self.world.store_down = begins,
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
            worst_over_milli: self.batch.worst_over(),
        }
    }
}
