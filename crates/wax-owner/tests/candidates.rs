//! Turns at a takeover: a strong front first, a weak one when no other does, equal ones in an order.

use std::time::Duration;
use wax_owner::{
    Candidate, CandidateRank, MachineStrength, OwnerFitness, OwnerStanding, TakeoverChance,
    TimerLateness, rank_all,
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
        heard_at: NOW,
    }
}

fn chance(own: OwnerFitness, told: Option<CandidateRank>) -> TakeoverChance {
    TakeoverChance {
        own,
        told,
        row_best: Some(STRONG),
        draw: 1.0,
    }
}

fn told(rank: u32, best: OwnerFitness) -> Option<CandidateRank> {
    Some(CandidateRank { rank, best })
}

#[test]
fn no_two_fronts_have_the_same_turn() {
    let fronts = [
        front("b", STRONG),
        front("a", STRONG),
        front("c", WEAK),
        Candidate {
            store_lost: true,
            ..front("d", STRONG)
        },
    ];
    let ranked = rank_all(fronts.into_iter());
    let names: Vec<&str> = ranked.iter().map(|front| front.node).collect();
    assert_eq!(
        names,
        ["a", "b", "c", "d"],
        "one that the store turns away is last"
    );
}

#[test]
fn the_first_in_rank_waits_for_nobody() {
    assert_eq!(chance(STRONG, told(0, STRONG)).wait(), Duration::ZERO);
    assert_eq!(
        chance(WEAK, told(0, WEAK)).wait(),
        Duration::ZERO,
        "also where all are weak"
    );
}

/// A front that hands over is free to take over at once, as it knows of the release first.
#[test]
fn a_front_that_has_let_go_tries_after_the_others() {
    let last = chance(STRONG, Some(CandidateRank::last(STRONG))).wait();
    assert!(last >= Duration::from_millis(600));
    assert!(chance(STRONG, None).wait() < last);
}

#[test]
fn a_weak_front_tries_after_all_strong_ones_told_or_not() {
    let strong = (0..40).map(|rank| chance(STRONG, told(rank, STRONG)).wait());
    let strong_drawn = chance(STRONG, None).wait();
    let weak_drawn = TakeoverChance {
        draw: 0.0,
        ..chance(WEAK, None)
    };
    assert!(weak_drawn.wait() > strong_drawn);
    let weak = chance(WEAK, told(20, STRONG)).wait();
    assert!(strong.into_iter().all(|wait| wait < weak));
    assert!(weak < Duration::from_millis(1_600), "it does try");
}

#[test]
fn where_nobody_has_ever_owned_the_strong_go_first_and_all_go() {
    let first = |own| TakeoverChance {
        row_best: None,
        ..chance(own, None)
    };
    assert!(first(STRONG).wait() < first(WEAK).wait());
    let none = first(OwnerFitness(0)).wait();
    assert!(none <= Duration::from_millis(800));
}

#[test]
fn link_and_memory_bound_what_a_core_is_worth() {
    let machine = |cores, link_mbps, memory_mb| {
        let strength = MachineStrength {
            cores,
            link_mbps,
            memory_mb,
        };
        strength.fitness(Duration::ZERO)
    };
    assert_eq!(machine(0.5, 200.0, 512.0), STRONG);
    assert_eq!(machine(0.5, 2.0, 512.0), OwnerFitness(100));
    assert_eq!(machine(0.5, 200.0, 64.0), OwnerFitness(250));
    assert_eq!(machine(-1.0, 200.0, 64.0), OwnerFitness(0));
}

#[test]
fn a_machine_whose_timers_are_late_is_worth_less() {
    let machine = MachineStrength::default();
    let mut lateness = TimerLateness::default();
    let span = Duration::from_millis(200);
    for _ in 0..40 {
        lateness.note(span, Duration::from_millis(300));
    }
    let late = machine.fitness(lateness.mean());
    assert!((OwnerFitness(480)..OwnerFitness(520)).contains(&late));
    for _ in 0..40 {
        lateness.note(span, span);
    }
    assert!(machine.fitness(lateness.mean()) > OwnerFitness(990));
}

#[test]
fn an_owner_gives_way_only_to_a_far_stronger_front_that_is_there() {
    let weak = OwnerStanding {
        machine: WEAK,
        present: WEAK,
        age: Duration::from_secs(3),
    };
    let gives_way = |front| weak.gives_way([front].into_iter(), NOW);
    assert!(gives_way(front("a", STRONG)));
    assert!(!gives_way(front("a", OwnerFitness(100))));
    assert!(!gives_way(Candidate {
        store_lost: true,
        ..front("a", STRONG)
    }));
    assert!(!gives_way(Candidate {
        heard_at: TimePoint::from_millis(90_000),
        ..front("a", STRONG)
    }));
    let young = OwnerStanding {
        age: Duration::from_secs(1),
        ..weak
    };
    assert!(!young.gives_way([front("a", STRONG)].into_iter(), NOW));
}

/// A load that makes every owner late would else be handed round without end.
#[test]
fn an_owner_that_is_only_late_gives_way_less_often() {
    let late = |seconds| OwnerStanding {
        machine: STRONG,
        present: WEAK,
        age: Duration::from_secs(seconds),
    };
    let fronts = || [front("a", STRONG)].into_iter();
    assert!(!late(3).gives_way(fronts(), NOW));
    assert!(late(9).gives_way(fronts(), NOW));
}
