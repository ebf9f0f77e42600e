//! Checks by simulation that no task starts in a drained failure domain after the bound. Readings
//! may arrive late or out of order, owners may follow one another, agents may be cut off, and
//! orders may be in transit.

use proptest::prelude::*;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::time::Duration;
use wax_policy::{DrainRules, DrainVerdict, DrainView};
use wax_types::TimePoint;
use wax_wire::DrainFrame;

/// The platform's bound `evacuateMs`, in milliseconds.
const BOUND_MS: u64 = 5_000;
/// Time after which an agent abandons a start that its worker has not answered.
const START_LIMIT_MS: u64 = 700;
const DOMAINS: usize = 3;
const OWNERS: usize = 2;

const RULES: DrainRules = DrainRules {
    bound: Some(Duration::from_millis(BOUND_MS)),
};

/// An action that is scheduled at some time; all durations are in milliseconds.
#[derive(Debug, Clone)]
enum Action {
    /// The operator drains a domain or lifts the drain: domain, whether drained.
    Operate(usize, bool),
    /// An owner reads all rows: owner, time until the store reads them, transit time of the answer.
    Read(usize, u64, u64),
    /// An owner's feed requests changes: owner, time until the store reads them, transit time of
    /// the answer.
    Follow(usize, u64, u64),
    /// An agent sends a heartbeat to an owner: agent, owner, transit time of the heartbeat, transit
    /// time of the answer.
    Heartbeat(usize, usize, u64, u64),
    /// An owner orders a start from the agent of a domain: owner, agent, transit time, duration of
    /// the start.
    Order(usize, usize, u64, u64),
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Operate(usize, bool),
    ReadAtStore {
        owner: usize,
        requested_at: u64,
        transit: u64,
    },
    ReadAnswered {
        owner: usize,
        requested_at: u64,
        version: usize,
    },
    FeedAtStore {
        owner: usize,
        requested_at: u64,
        transit: u64,
    },
    FeedAnswered {
        owner: usize,
        requested_at: u64,
        version: usize,
    },
    Heartbeat {
        agent: usize,
        owner: usize,
        requested_at: u64,
        transit: u64,
    },
    GrantArrived {
        agent: usize,
        requested_at: u64,
        version: u64,
        domains: Vec<String>,
        age_ms: u64,
    },
    Order {
        owner: usize,
        agent: usize,
        transit: u64,
        duration: u64,
    },
    OrderArrived {
        agent: usize,
        duration: u64,
    },
    Start(usize),
}

/// Returns the time on a process's own clock, which is offset from those of the other processes.
fn clock(process: usize, now: u64) -> TimePoint {
    TimePoint::from_millis(1_000_000 + 37_000 * process as u64 + now)
}

fn domain(number: usize) -> Box<str> {
    format!("zone-{number}").into()
}

#[derive(Default)]
struct Simulation {
    queue: BinaryHeap<Reverse<(u64, usize, Event)>>,
    events: usize,
    /// Changes by the operator: time, domain, whether drained. The version is the number of
    /// changes.
    history: Vec<(u64, usize, bool)>,
    owners: [DrainView; OWNERS],
    /// Position of each owner's feed, and whether a request is in transit.
    feeds: [(usize, bool); OWNERS],
    agents: [DrainView; DOMAINS],
    starts: Vec<(u64, usize)>,
}

impl Simulation {
    fn push(&mut self, at: u64, event: Event) {
        self.events += 1;
        self.queue.push(Reverse((at, self.events, event)));
    }

    fn schedule(&mut self, at: u64, action: Action) {
        match action {
            Action::Operate(domain, drained) => self.push(at, Event::Operate(domain, drained)),
            Action::Read(owner, until_read, transit) => {
                self.push(
                    at + until_read,
                    Event::ReadAtStore {
                        owner,
                        requested_at: at,
                        transit,
                    },
                );
            }
            Action::Follow(owner, until_read, transit) => {
                self.push(
                    at + until_read,
                    Event::FeedAtStore {
                        owner,
                        requested_at: at,
                        transit,
                    },
                );
            }
            Action::Heartbeat(agent, owner, transit_there, transit) => {
                self.push(
                    at + transit_there,
                    Event::Heartbeat {
                        agent,
                        owner,
                        requested_at: at,
                        transit,
                    },
                );
            }
            Action::Order(owner, agent, transit, duration) => {
                self.push(
                    at,
                    Event::Order {
                        owner,
                        agent,
                        transit,
                        duration,
                    },
                );
            }
        }
    }

    fn drained_at(&self, version: usize) -> BTreeSet<Box<str>> {
        let mut drained = BTreeSet::new();
        for (_, number, is_drained) in &self.history[..version] {
            match is_drained {
                true => drained.insert(domain(*number)),
                false => drained.remove(&domain(*number)),
            };
        }
        drained
    }

    fn run(&mut self) {
        while let Some(Reverse((now, _, event))) = self.queue.pop() {
            self.handle(now, event);
        }
    }

    fn handle(&mut self, now: u64, event: Event) {
        let version = self.history.len();
        match event {
            Event::Operate(domain, drained) => self.history.push((now, domain, drained)),
            Event::ReadAtStore {
                owner,
                requested_at,
                transit,
            } => {
                self.push(
                    now + transit,
                    Event::ReadAnswered {
                        owner,
                        requested_at,
                        version,
                    },
                );
            }
            Event::ReadAnswered {
                owner,
                requested_at,
                version,
            } => {
                let drained = self.drained_at(version);
                self.owners[owner].replace(version as u64, drained, clock(owner, requested_at));
            }
            Event::FeedAtStore {
                owner,
                requested_at,
                transit,
            } => {
                if !std::mem::replace(&mut self.feeds[owner].1, true) {
                    self.push(
                        now + transit,
                        Event::FeedAnswered {
                            owner,
                            requested_at,
                            version,
                        },
                    );
                }
            }
            Event::FeedAnswered {
                owner,
                requested_at,
                version,
            } => {
                let from = self.feeds[owner].0;
                self.feeds[owner] = (version, false);
                let changes = self.history[from..version].iter();
                let changes: Vec<_> = changes
                    .map(|(_, number, drained)| (domain(*number), *drained))
                    .collect();
                self.owners[owner].apply_changes(
                    version as u64,
                    changes,
                    clock(owner, requested_at),
                );
            }
            Event::Heartbeat {
                agent,
                owner,
                requested_at,
                transit,
            } => {
                if let Some(frame) = DrainFrame::new(&self.owners[owner], clock(owner, now)) {
                    let DrainFrame {
                        version,
                        domains,
                        age_ms,
                    } = frame;
                    self.push(
                        now + transit,
                        Event::GrantArrived {
                            agent,
                            requested_at,
                            version,
                            domains,
                            age_ms,
                        },
                    );
                }
            }
            Event::GrantArrived {
                agent,
                requested_at,
                version,
                domains,
                age_ms,
            } => {
                let frame = DrainFrame {
                    version,
                    domains,
                    age_ms,
                };
                frame.apply_to(&mut self.agents[agent], clock(OWNERS + agent, requested_at));
            }
            Event::Order {
                owner,
                agent,
                transit,
                duration,
            } => {
                let verdict = self.owners[owner].verdict(
                    &domain(agent),
                    clock(owner, now),
                    RULES.max_age_for_order(),
                );
                if verdict == DrainVerdict::Open {
                    self.push(now + transit, Event::OrderArrived { agent, duration });
                }
            }
            Event::OrderArrived { agent, duration } => {
                let verdict = self.agents[agent].verdict(
                    &domain(agent),
                    clock(OWNERS + agent, now),
                    RULES.max_age_for_start(),
                );
                if verdict == DrainVerdict::Open {
                    self.push(now + duration, Event::Start(agent));
                }
            }
            Event::Start(agent) => self.starts.push((now, agent)),
        }
    }

    /// Returns a start that came later than the bound after a drain that was still in force, if
    /// there is one.
    fn late_start(&self) -> Option<(u64, usize)> {
        let late = |(at, agent): &&(u64, usize)| {
            let seen = self
                .history
                .iter()
                .filter(|(when, number, _)| when <= at && number == agent);
            let mut since = None;
            for (when, _, drained) in seen {
                since = match drained {
                    true => since.or(Some(*when)),
                    false => None,
                };
            }
            since.is_some_and(|since| *at > since + BOUND_MS)
        };
        self.starts.iter().find(late).copied()
    }
}

fn any_action() -> impl Strategy<Value = Action> {
    let delay = || prop_oneof![4 => 0..60_u64, 1 => 0..9_000_u64];
    prop_oneof![
        2 => (0..DOMAINS, any::<bool>()).prop_map(|(number, drained)| Action::Operate(number, drained)),
        3 => (0..OWNERS, delay(), delay()).prop_map(|(owner, until_read, transit)| Action::Read(owner, until_read, transit)),
        2 => (0..OWNERS, delay(), delay()).prop_map(|(owner, until_read, transit)| Action::Follow(owner, until_read, transit)),
        6 => (0..DOMAINS, 0..OWNERS, delay(), delay())
            .prop_map(|(agent, owner, transit_there, transit)| Action::Heartbeat(agent, owner, transit_there, transit)),
        6 => (0..OWNERS, 0..DOMAINS, delay(), 0..=START_LIMIT_MS)
            .prop_map(|(owner, agent, transit, duration)| Action::Order(owner, agent, transit, duration)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn no_start_in_a_drained_domain_after_the_bound(actions in prop::collection::vec((0..25_000_u64, any_action()), 1..160)) {
        let mut simulation = Simulation::default();
        for (at, action) in actions {
            simulation.schedule(at, action);
        }
        simulation.run();
        prop_assert_eq!(simulation.late_start(), None, "of {} starts", simulation.starts.len());
    }
}

/// An owner that is cut off from the store reads no further drains. It must stop giving orders
/// within the bound, and its agents must refuse orders that are in transit.
#[test]
fn owner_cut_off_from_the_store_orders_no_start_after_the_bound() {
    let mut simulation = Simulation::default();
    simulation.schedule(0, Action::Read(0, 5, 5));
    simulation.schedule(11, Action::Operate(1, true));
    // Each order has a long transit time, and each start takes as long as allowed.
    for n in 0..800 {
        simulation.schedule(10 * n, Action::Heartbeat(1, 0, 1, 1));
        simulation.schedule(10 * n + 5, Action::Order(0, 1, 550, START_LIMIT_MS));
    }
    simulation.run();
    assert!(
        simulation.starts.len() > 20,
        "the owner continues to order starts until the bound"
    );
    assert_eq!(simulation.late_start(), None);
    let last = simulation.starts.last().map(|(at, _)| *at);
    assert!(last.is_some_and(|last| last <= 11 + BOUND_MS), "{last:?}");
}

/// The answer of a former owner, with an older version, arrives after that of its successor.
#[test]
fn older_version_does_not_lift_a_drain() {
    let mut simulation = Simulation::default();
    simulation.schedule(0, Action::Read(0, 5, 5));
    simulation.schedule(20, Action::Operate(0, true));
    simulation.schedule(30, Action::Read(1, 5, 5));
    simulation.schedule(50, Action::Heartbeat(0, 1, 1, 1));
    simulation.schedule(60, Action::Heartbeat(0, 0, 1, 1));
    simulation.schedule(70, Action::Order(0, 0, 1, 1));
    simulation.run();
    assert!(simulation.starts.is_empty(), "{:?}", simulation.starts);
}

/// After the store has dropped the history, all rows are read again, and drains without a row are
/// lifted.
#[test]
fn full_reading_lifts_drains_without_a_row() {
    let now = TimePoint::from_millis(10);
    let mut view = DrainView::default();
    assert!(view.replace(3, [domain(0), domain(1)].into(), now));
    assert!(view.replace(9, [domain(1)].into(), now));
    assert_eq!(view.verdict("zone-0", now, None), DrainVerdict::Open);
    assert_eq!(view.verdict("zone-1", now, None), DrainVerdict::Drained);
    assert!(
        !view.replace(9, [domain(1)].into(), now),
        "replacing the view with the same content is no change"
    );
}

/// If the platform sets no bound, a known drain view is valid at any age.
#[test]
fn without_a_bound_starts_do_not_wait_for_a_reading() {
    let rules = DrainRules::default();
    let now = TimePoint::from_millis(1);
    let view = DrainView::default();
    assert_eq!(
        view.verdict("a", now, rules.max_age_for_start()),
        DrainVerdict::Open
    );
    let bounded = view.verdict("a", now, RULES.max_age_for_start());
    assert_eq!(
        bounded,
        DrainVerdict::Unsure,
        "no reading has been made yet"
    );
}
