//! Limits that must hold for any input: slots, quotas, capacity and ejections.

use fastrand::Rng;
use proptest::prelude::*;
use std::time::Duration;
use wax_policy::{
    AdmitChoice, AttemptEnd, CustomerWeights, DequeueChoice, GateChoice, KindKey, PairTable,
    PlacementChoice, PlacementContext, PlacementPolicy, RouteChoice, RoutePolicy, RouteTable,
    RunningTask, SlotGate, TaskDemand, TeamLimits, TeamTable, UpstreamLoad, UpstreamView,
    WorkerTable,
};
use wax_types::{JobId, ResourceVector, TaskId, TimePoint};

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(1_000_000 + millis)
}

proptest! {
    /// Arrivals and releases in any order must not lead to more running requests than slots, or to
    /// a longer queue than allowed.
    #[test]
    fn gate_never_exceeds_its_slots(
        slots in 1_usize..9,
        queue in 0_usize..20,
        steps in prop::collection::vec((any::<bool>(), 1_u64..2_000), 1..200),
    ) {
        let mut gate = SlotGate::new(slots, queue);
        let mut running = 0_usize;
        for (index, (arrives, millis)) in steps.into_iter().enumerate() {
            let now = at(index as u64);
            if arrives {
                let choice = gate.admit(now, now + Duration::from_millis(millis), index);
                running += usize::from(choice == GateChoice::Run);
            } else if running > 0 {
                gate.release(Duration::from_millis(millis / 100));
                running -= 1;
                loop {
                    match gate.dequeue(now) {
                        DequeueChoice::Run(_) => running += 1,
                        DequeueChoice::Drop(_) => {}
                        DequeueChoice::Idle => break,
                    }
                }
            }
            prop_assert!(running <= slots);
            prop_assert_eq!(running, gate.slots_used());
            prop_assert!(gate.queued() <= queue);
        }
    }

    /// Whatever the policy, a task must fit on the worker that is chosen for it, and evictions must
    /// free enough capacity and hit no urgent task.
    #[test]
    fn no_policy_reserves_more_than_worker_capacity(
        policy in prop::sample::select(vec![
            PlacementPolicy::Weighed, PlacementPolicy::Random, PlacementPolicy::RoundRobin,
            PlacementPolicy::LeastLoaded, PlacementPolicy::FirstFit,
        ]),
        sizes in prop::collection::vec((1_u32..5_000, 1_u32..9_000, any::<bool>()), 1..80),
        seed in any::<u64>(),
    ) {
        let mut rng = Rng::with_seed(seed);
        let mut table = WorkerTable::default();
        for _ in 0..4 {
            table.add(ResourceVector::new(8_000, 16_000, 0));
        }
        let pairs = PairTable::default();
        for (index, (cpu, memory, urgent)) in sizes.into_iter().enumerate() {
            let demand = TaskDemand {
                kind: KindKey::default(),
                size: ResourceVector::new(cpu, memory, 0),
                urgent,
            };
            let context = PlacementContext {
                pairs: &pairs,
                weights: CustomerWeights::default(),
                avoid: &[],
                policy,
            };
            let now = at(index as u64 * 1_000);
            match table.choose(now, demand, context, &mut rng) {
                PlacementChoice::Place(key) => {
                    let task = TaskId { job: JobId(1), index: index as u32 };
                    let running = RunningTask {
                        task, kind: demand.kind, size: demand.size, urgent,
                        evictable: !urgent, saved_at: now, protected_until: now, due_today: false,
                    };
                    prop_assert!(table.reserve(key, running), "the chosen worker must have enough free capacity");
                }
                PlacementChoice::Evict(key, victims) => {
                    prop_assert!(urgent, "only urgent tasks may evict");
                    for victim in victims {
                        let evicted = table.release(key, victim).expect("the victim runs on the worker");
                        prop_assert!(!evicted.urgent, "an urgent task must not be evicted");
                    }
                    let worker = table.get(key).expect("the worker is in the table");
                    prop_assert!(demand.size.fits_in(worker.free()), "the evictions must free enough capacity");
                }
                PlacementChoice::Wait | PlacementChoice::Impossible => {}
            }
            for key in table.keys() {
                let worker = table.get(key).expect("the worker is in the table");
                prop_assert!(worker.reserved().fits_in(worker.capacity()));
            }
        }
    }
}

const LIMITS: TeamLimits = TeamLimits {
    in_flight: 1_000,
    weight: 100,
    retry_percent: 10,
    hedge_percent: 0,
};

/// A team may use idle capacity, but two teams that send more than there is get equal shares.
#[test]
fn busy_team_leaves_others_their_fair_share() {
    let mut table = TeamTable::new(100);
    let greedy = (0..100)
        .filter(|_| matches!(table.admit("greedy", LIMITS), AdmitChoice::Admit(_)))
        .count();
    assert_eq!(greedy, 100, "a single team may use the whole capacity");
    let mut table = TeamTable::new(100);
    let mut admitted = [0, 0];
    for index in 0..200 {
        let name = ["one", "two"][index % 2];
        if let AdmitChoice::Admit(_) = table.admit(name, LIMITS) {
            admitted[index % 2] += 1;
        }
    }
    assert_eq!(admitted, [50, 50]);
}

#[test]
fn quota_is_enforced_and_gives_a_retry_delay() {
    let mut table = TeamTable::new(100);
    let limits = TeamLimits {
        in_flight: 2,
        ..LIMITS
    };
    let AdmitChoice::Admit(key) = table.admit("team", limits) else {
        panic!("the first request must be admitted");
    };
    assert!(matches!(table.admit("team", limits), AdmitChoice::Admit(_)));
    assert!(
        matches!(table.admit("team", limits), AdmitChoice::OverQuota(after) if !after.is_zero())
    );
    table.release(key, Duration::from_millis(80));
    assert!(matches!(table.admit("team", limits), AdmitChoice::Admit(_)));
}

fn route_table(count: usize) -> (RouteTable, Vec<wax_policy::UpstreamKey>) {
    let mut table = RouteTable::default();
    let keys = (0..count)
        .map(|index| table.add(UpstreamView::new("service", index % 2 == 0, 8, at(0))))
        .collect();
    (table, keys)
}

/// Ejecting every upstream that fails would leave a service without any when all of them fail.
#[test]
fn failures_eject_at_most_half_of_the_upstreams() {
    let (mut table, keys) = route_table(6);
    for _ in 0..50 {
        for key in &keys {
            table.begin_attempt(at(10), *key);
            table.end_attempt(at(10), *key, AttemptEnd::Failed);
        }
    }
    let mut rng = Rng::with_seed(1);
    let mut chosen = std::collections::BTreeSet::new();
    for _ in 0..200 {
        let deadline = at(5_000);
        let choice = table.choose(
            at(20),
            "service",
            deadline,
            &[],
            RoutePolicy::Random,
            &mut rng,
        );
        if let RouteChoice::Send(key) = choice {
            chosen.insert(key);
        }
    }
    assert_eq!(chosen.len(), 3);
}

#[test]
fn leaving_or_silent_upstream_gets_no_requests() {
    let (mut table, keys) = route_table(2);
    let mut rng = Rng::with_seed(1);
    let leaving = UpstreamLoad {
        leaving: true,
        up: true,
        ..UpstreamLoad::default()
    };
    table.update_load(at(10), keys[0], leaving);
    let mut choose = |table: &mut RouteTable, now: TimePoint| {
        let deadline = now + Duration::from_secs(1);
        table.choose(
            now,
            "service",
            deadline,
            &[],
            RoutePolicy::Weighed,
            &mut rng,
        )
    };
    for _ in 0..50 {
        assert_eq!(choose(&mut table, at(20)), RouteChoice::Send(keys[1]));
    }
    assert_eq!(choose(&mut table, at(60_000)), RouteChoice::NoUpstream);
}

/// An upstream that fails with few requests in flight looks less loaded than the others, and would
/// get the most requests if only the load counted.
#[test]
fn unresponsive_upstream_gets_no_further_requests() {
    let (mut table, keys) = route_table(4);
    let mut rng = Rng::with_seed(1);
    for key in &keys {
        table.begin_attempt(at(0), *key);
        table.end_attempt(
            at(10),
            *key,
            AttemptEnd::Answered(Duration::from_millis(10)),
        );
    }
    // The first upstream, in the own failure domain, fails with a request in flight.
    table.begin_attempt(at(20), keys[0]);
    // The other upstreams are busier, but they answer.
    for key in &keys[1..] {
        for _ in 0..4 {
            table.begin_attempt(at(95), *key);
        }
    }
    for millis in 100..130 {
        let deadline = at(5_000);
        let policy = RoutePolicy::Weighed;
        let choice = table.choose(at(millis), "service", deadline, &[], policy, &mut rng);
        assert_ne!(choice, RouteChoice::Send(keys[0]));
    }
}

/// Refusals and connection failures come faster than answers. If only the load counted, an upstream
/// that refuses every request would get the most requests.
#[test]
fn upstream_that_refuses_fast_attracts_no_requests() {
    for end in [AttemptEnd::Refused, AttemptEnd::Failed] {
        let (mut table, keys) = route_table(4);
        let mut rng = Rng::with_seed(1);
        // The other upstreams are busier and slower. The first one refuses at once and therefore
        // looks idle.
        for key in &keys[1..] {
            table.begin_attempt(at(0), *key);
            table.end_attempt(
                at(30),
                *key,
                AttemptEnd::Answered(Duration::from_millis(30)),
            );
            for _ in 0..4 {
                table.begin_attempt(at(95), *key);
            }
        }
        table.begin_attempt(at(99), keys[0]);
        table.end_attempt(at(100), keys[0], end);
        for millis in 100..130 {
            let deadline = at(5_000);
            let policy = RoutePolicy::Weighed;
            let choice = table.choose(at(millis), "service", deadline, &[], policy, &mut rng);
            assert_ne!(choice, RouteChoice::Send(keys[0]));
        }
    }
}

#[test]
fn request_that_cannot_meet_its_deadline_gets_a_retry_delay() {
    let (mut table, keys) = route_table(1);
    let busy = UpstreamLoad {
        slots_used: 8,
        queued: 64,
        service_time: Duration::from_millis(500),
        leaving: false,
        up: true,
    };
    table.update_load(at(10), keys[0], busy);
    let mut rng = Rng::with_seed(1);
    let choice = table.choose(
        at(20),
        "service",
        at(200),
        &[],
        RoutePolicy::Weighed,
        &mut rng,
    );
    assert!(matches!(choice, RouteChoice::Late(after) if after > Duration::from_secs(1)));
}
