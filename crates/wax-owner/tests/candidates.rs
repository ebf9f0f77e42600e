//! Checks the delays before a takeover: strong fronts try first, weak ones only when no other does,
//! and equal ones in a fixed order.

use std::time::Duration;
use wax_owner::{
    Candidate, CandidateRank, HandoverCheck, OwnerFitness, TakeoverDelay, TimerLateness,
    VmCapacity, rank_candidates,
};
use wax_types::TimePoint;

const NOW: TimePoint = TimePoint::from_millis(100_000);
const STRONG: OwnerFitness = OwnerFitness(500);
const WEAK: OwnerFitness = OwnerFitness(69);

fn front(node: &str, fitness: OwnerFitness) -> Candidate<'_> {
    Candidate {
        node,
        fitness,
        store_lost: false,
        last_heartbeat_at: NOW,
    }
}

fn delay(own_fitness: OwnerFitness, last_rank: Option<CandidateRank>) -> TakeoverDelay {
    TakeoverDelay {
        own_fitness,
        last_rank,
        last_best: Some(STRONG),
        random: 1.0,
    }
}

fn last_rank(rank: u32, best_fitness: OwnerFitness) -> Option<CandidateRank> {
    Some(CandidateRank { rank, best_fitness })
}

#[test]
fn ranking_gives_each_front_a_distinct_rank() {
    let fronts = [
        front("b", STRONG),
        front("a", STRONG),
        front("c", WEAK),
        Candidate {
            store_lost: true,
            ..front("d", STRONG)
        },
    ];
    let ranked = rank_candidates(fronts.into_iter());
    let names: Vec<&str> = ranked.iter().map(|front| front.node).collect();
    assert_eq!(
        names,
        ["a", "b", "c", "d"],
        "a front that cannot reach the store is ranked last"
    );
}

#[test]
fn first_ranked_front_does_not_wait() {
    assert_eq!(
        delay(STRONG, last_rank(0, STRONG)).duration(),
        Duration::ZERO
    );
    assert_eq!(
        delay(WEAK, last_rank(0, WEAK)).duration(),
        Duration::ZERO,
        "a weak front does not wait if all fronts are weak"
    );
}

/// The releasing front knows of the release first. Without the longer delay, it would take the
/// shard over again at once.
#[test]
fn front_that_released_the_shard_waits_longer_than_others() {
    let last = delay(STRONG, Some(CandidateRank::last(STRONG))).duration();
    assert!(last >= Duration::from_millis(600));
    assert!(delay(STRONG, None).duration() < last);
}

#[test]
fn weak_front_waits_longer_than_strong_fronts_with_or_without_rank() {
    let strong = (0..40).map(|rank| delay(STRONG, last_rank(rank, STRONG)).duration());
    let strong_unranked = delay(STRONG, None).duration();
    let weak_unranked = TakeoverDelay {
        random: 0.0,
        ..delay(WEAK, None)
    };
    assert!(weak_unranked.duration() > strong_unranked);
    let weak = delay(WEAK, last_rank(20, STRONG)).duration();
    assert!(strong.into_iter().all(|wait| wait < weak));
    assert!(
        weak < Duration::from_millis(1_600),
        "the weak front tries to take over eventually"
    );
}

#[test]
fn first_takeover_favors_strong_fronts_and_bounds_the_wait() {
    let first = |own_fitness| TakeoverDelay {
        last_best: None,
        ..delay(own_fitness, None)
    };
    assert!(first(STRONG).duration() < first(WEAK).duration());
    let none = first(OwnerFitness(0)).duration();
    assert!(none <= Duration::from_millis(800));
}

#[test]
fn fitness_is_bounded_by_link_and_memory() {
    let nominal = |cores, link_mbps, memory_mb| {
        let vm_capacity = VmCapacity {
            cores,
            link_mbps,
            memory_mb,
        };
        vm_capacity.fitness(Duration::ZERO)
    };
    assert_eq!(nominal(0.5, 200.0, 512.0), STRONG);
    assert_eq!(nominal(0.5, 2.0, 512.0), OwnerFitness(100));
    assert_eq!(nominal(0.5, 200.0, 64.0), OwnerFitness(250));
    assert_eq!(nominal(-1.0, 200.0, 64.0), OwnerFitness(0));
}

#[test]
fn late_timers_reduce_fitness() {
    let nominal = VmCapacity::default();
    let mut lateness = TimerLateness::default();
    let span = Duration::from_millis(200);
    for _ in 0..40 {
        lateness.record(span, Duration::from_millis(300));
    }
    let late = nominal.fitness(lateness.mean());
    assert!((OwnerFitness(480)..OwnerFitness(520)).contains(&late));
    for _ in 0..40 {
        lateness.record(span, span);
    }
    assert!(nominal.fitness(lateness.mean()) > OwnerFitness(990));
}

#[test]
fn owner_hands_over_only_to_an_available_far_stronger_front() {
    let weak = HandoverCheck {
        nominal: WEAK,
        current: WEAK,
        term_age: Duration::from_secs(3),
    };
    let should_hand_over = |front| weak.should_hand_over([front].into_iter(), NOW);
    assert!(should_hand_over(front("a", STRONG)));
    assert!(!should_hand_over(front("a", OwnerFitness(100))));
    assert!(!should_hand_over(Candidate {
        store_lost: true,
        ..front("a", STRONG)
    }));
    assert!(!should_hand_over(Candidate {
        last_heartbeat_at: TimePoint::from_millis(90_000),
        ..front("a", STRONG)
    }));
    let young = HandoverCheck {
        term_age: Duration::from_secs(1),
        ..weak
    };
    assert!(!young.should_hand_over([front("a", STRONG)].into_iter(), NOW));
}

/// A load that makes the timers of every owner late would otherwise cause endless handovers.
#[test]
fn late_owner_on_a_strong_vm_hands_over_later() {
    let late = |seconds| HandoverCheck {
        nominal: STRONG,
        current: WEAK,
        term_age: Duration::from_secs(seconds),
    };
    let fronts = || [front("a", STRONG)].into_iter();
    assert!(!late(3).should_hand_over(fronts(), NOW));
    assert!(late(9).should_hand_over(fronts(), NOW));
}
