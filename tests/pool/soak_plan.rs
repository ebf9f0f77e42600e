//! Which faults a soak brings about, and when: drawn from a seed alone.

use crate::site::RestartClock;
use fastrand::Rng;
use std::collections::HashSet;
use std::time::Duration;

/// How many processes a soak has.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SoakSize {
    pub(crate) fronts: usize,
    pub(crate) vms: usize,
    /// How long faults go on.
    pub(crate) length: Duration,
}

/// What a fault is brought about on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum FaultTarget {
    Front(usize),
    /// The way of a front to the store.
    StorePath(usize),
    Agent(usize),
    Worker(usize),
    Store,
    Domain(&'static str),
    Config,
}

/// A fault, or planned work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SoakFault {
    /// SIGKILL, and a start at the end.
    Kill,
    /// SIGKILL of a worker, and a start under its id at the end.
    Restart(RestartClock),
    /// SIGTERM, and a start at the end.
    Stop,
    /// SIGSTOP, and SIGCONT at the end.
    Freeze,
    /// Connections are refused.
    Cut,
    /// Open connections go silent without being closed.
    Silence,
    /// The worker fails all that it runs.
    FailAll,
    /// A part of its starts is carried out late and not answered.
    LateStarts,
    /// It has less than it said.
    Shrink,
    /// The store refuses all calls.
    Down,
    /// It answers late.
    Slow,
    /// A part of its answers to transactions is lost.
    LoseReplies,
    /// It drops its history.
    Forget,
    /// The operator drains the failure domain.
    Drain,
    /// A route is added.
    AddRoute,
}

/// A fault with its span.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PlannedFault {
    pub(crate) at: Duration,
    pub(crate) duration: Duration,
    pub(crate) target: FaultTarget,
    pub(crate) fault: SoakFault,
}

/// Faults in the order of their beginnings.
pub(crate) fn draw_plan(seed: u64, size: SoakSize, domains: &[&'static str]) -> Vec<PlannedFault> {
    let mut rng = Rng::with_seed(seed);
    let mut plan: Vec<PlannedFault> = Vec::new();
    let mut at = Duration::from_millis(500);
    while at < size.length {
        let (target, fault) = draw_fault(&mut rng, size, domains);
        let duration = Duration::from_millis(match fault {
            // Beyond the bound by which a drain holds: until then starts are allowed.
            SoakFault::Drain => rng.u64(6_000..9_000),
            // Beyond what a link may be silent, and leases last.
            SoakFault::Freeze => rng.u64(300..6_000),
            // From within one hold of the agent to beyond the room that leases leave.
            SoakFault::Restart(_) => rng.u64(0..1_500),
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
    match rng.u32(0..24) {
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
        17 => (FaultTarget::Store, SoakFault::Forget),
        18 => {
            let domain = domains[rng.usize(0..domains.len())];
            (FaultTarget::Domain(domain), SoakFault::Drain)
        }
        19 => (FaultTarget::Config, SoakFault::AddRoute),
        20 => (
            FaultTarget::Worker(vm),
            SoakFault::Restart(RestartClock::Ahead),
        ),
        _ => (
            FaultTarget::Worker(vm),
            SoakFault::Restart(RestartClock::FromZero),
        ),
    }
}
