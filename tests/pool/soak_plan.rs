//! Draws the faults of a soak and their times from a seed.

use crate::site::RestartClock;
use fastrand::Rng;
use std::collections::HashSet;
use std::time::Duration;

/// Number of processes of a soak, and its duration.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SoakSize {
    pub(crate) fronts: usize,
    pub(crate) vms: usize,
    /// Time during which faults begin.
    pub(crate) duration: Duration,
}

/// Process, connection or setting that a fault affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum FaultTarget {
    Front(usize),
    /// Proxy between a front and the store.
    StorePath(usize),
    Agent(usize),
    Worker(usize),
    Store,
    Domain(&'static str),
    Config,
    /// Callers of best-effort jobs.
    Callers,
}

/// Fault, or planned operation such as a drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SoakFault {
    /// SIGKILL at the beginning, a new start at the end.
    Kill,
    /// SIGKILL of a worker at the beginning, a start under the same id at the end.
    Restart(RestartClock),
    /// SIGTERM at the beginning, a new start at the end.
    Stop,
    /// SIGSTOP at the beginning, SIGCONT at the end.
    Freeze,
    /// The proxy refuses connections.
    Cut,
    /// Open connections go silent without being closed.
    Silence,
    /// The worker fails every task.
    FailAll,
    /// The worker executes some start orders late and does not answer them.
    LateStarts,
    /// The worker has less CPU capacity than before.
    Shrink,
    /// All runs of the worker are slower by this factor.
    SlowRuns(u32),
    /// The worker leaves some calls of every kind without an answer and executes them later.
    LoseCalls,
    /// The store refuses all calls.
    Down,
    /// The store answers late.
    Slow,
    /// Some replies of the store to transactions are lost.
    LoseReplies,
    /// The store drops its history.
    DropHistory,
    /// The operator drains the failure domain.
    Drain,
    /// The operator adds a route.
    AddRoute,
    /// Callers submit this number of best-effort jobs at once.
    Burst(u32),
}

/// Fault with its start, relative to the start of the soak, and its duration.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PlannedFault {
    pub(crate) at: Duration,
    pub(crate) duration: Duration,
    pub(crate) target: FaultTarget,
    pub(crate) fault: SoakFault,
}

/// Draws a plan from the seed. Faults are in the order of their start, and no target has two faults at a time.
pub(crate) fn draw_plan(seed: u64, size: SoakSize, domains: &[&'static str]) -> Vec<PlannedFault> {
    let mut rng = Rng::with_seed(seed);
    let mut plan: Vec<PlannedFault> = Vec::new();
    let mut at = Duration::from_millis(500);
    while at < size.duration {
        let (target, fault) = draw_fault(&mut rng, size, domains);
        let duration = Duration::from_millis(match fault {
            // Longer than `DRAIN_BOUND_MS`: starts are allowed for that time after a drain, so a shorter drain would
            // check nothing.
            SoakFault::Drain => rng.u64(6_000..9_000),
            // Some freezes are longer than the heartbeat timeout of a link and the duration of a lease.
            SoakFault::Freeze => rng.u64(300..6_000),
            // Long enough for two slow runs, which make a worker count as slow, and for moves off it.
            SoakFault::SlowRuns(_) => rng.u64(4_000..8_000),
            // From less than one hold, by which the agent extends leases, to longer than the leases remain valid.
            SoakFault::Restart(_) => rng.u64(0..1_500),
            // Long enough for some starts to be given up after all their copies.
            SoakFault::LoseCalls => rng.u64(2_000..5_000),
            _ => rng.u64(300..3_500),
        });
        let busy: HashSet<FaultTarget> = plan
            .iter()
            .filter(|planned| planned.at + planned.duration >= at)
            .map(|planned| planned.target)
            .collect();
        if !busy.contains(&target) {
            plan.push(PlannedFault {
                at,
                duration,
                target,
                fault,
            });
        }
        at += Duration::from_millis(rng.u64(50..600));
    }
    plan
}

fn draw_fault(rng: &mut Rng, size: SoakSize, domains: &[&'static str]) -> (FaultTarget, SoakFault) {
    let front = rng.usize(0..size.fronts);
    let vm = rng.usize(0..size.vms);
    match rng.u32(0..32) {
        0 => (FaultTarget::Front(front), SoakFault::Kill),
        1 => (FaultTarget::Front(front), SoakFault::Stop),
        2 | 3 => (FaultTarget::Front(front), SoakFault::Freeze),
        4 | 5 => (FaultTarget::StorePath(front), SoakFault::Cut),
        6 | 7 => (FaultTarget::StorePath(front), SoakFault::Silence),
        8 => (FaultTarget::Agent(vm), SoakFault::Kill),
        9 => (FaultTarget::Agent(vm), SoakFault::Freeze),
        10 => (FaultTarget::Worker(vm), SoakFault::Kill),
        11 => (FaultTarget::Worker(vm), SoakFault::FailAll),
        12 => (FaultTarget::Worker(vm), SoakFault::LateStarts),
        13 => (FaultTarget::Worker(vm), SoakFault::Shrink),
        14 => (FaultTarget::Store, SoakFault::Down),
        15 => (FaultTarget::Store, SoakFault::Slow),
        16 => (FaultTarget::Store, SoakFault::LoseReplies),
        17 => (FaultTarget::Store, SoakFault::DropHistory),
        18 => {
            let domain = domains[rng.usize(0..domains.len())];
            (FaultTarget::Domain(domain), SoakFault::Drain)
        }
        19 => (FaultTarget::Config, SoakFault::AddRoute),
        20 => (
            FaultTarget::Worker(vm),
            SoakFault::Restart(RestartClock::Ahead),
        ),
        21..=23 => (
            FaultTarget::Worker(vm),
            SoakFault::Restart(RestartClock::FromZero),
        ),
        // Always the same worker: at most a share of the workers counts as slow, which is one of three.
        24..=26 => (FaultTarget::Worker(0), SoakFault::SlowRuns(6)),
        27..=29 => (FaultTarget::Worker(vm), SoakFault::LoseCalls),
        _ => (FaultTarget::Callers, SoakFault::Burst(rng.u32(4..9))),
    }
}
