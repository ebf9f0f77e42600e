//! No start in a drained failure domain beyond the bound: over readings that come late or out of order,
//! owners that follow one another, agents that are cut off, and orders in flight.

use proptest::prelude::*;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::time::Duration;
use wax_policy::{DrainRules, DrainVerdict, DrainView};
use wax_types::TimePoint;
use wax_wire::DrainFrame;

/// The users' `evacuateMs`.
const BOUND_MS: u64 = 5_000;
/// An agent gives a start up that its worker has not answered for this long.
const START_LIMIT_MS: u64 = 700;
const DOMAINS: usize = 3;
const OWNERS: usize = 2;

const RULES: DrainRules = DrainRules {
    bound: Some(Duration::from_millis(BOUND_MS)),
};

/// What somebody sets out to do; delays in milliseconds.
#[derive(Debug, Clone)]
enum Deed {
    /// The operator drains a domain, or takes it back.
    Operate(usize, bool),
    /// An owner reads all: until the store answers, until the answer arrives.
    Read(usize, u64, u64),
    /// An owner's feed asks for what has changed; as above.
    Follow(usize, u64, u64),
    /// An agent's heartbeat to an owner: its way there, the answer's way back.
    Beat(usize, usize, u64, u64),
    /// An owner's order to the agent of a domain: its way, and how long the start takes.
    Order(usize, usize, u64, u64),
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Operate(usize, bool),
    Serve {
        owner: usize,
        asked: u64,
        way: u64,
    },
    Learn {
        owner: usize,
        asked: u64,
        version: usize,
    },
    ServeFeed {
        owner: usize,
        asked: u64,
        way: u64,
    },
    LearnFeed {
        owner: usize,
        asked: u64,
        version: usize,
    },
    Beat {
        agent: usize,
        owner: usize,
        asked: u64,
        way: u64,
    },
    Grant {
        agent: usize,
        asked: u64,
        version: u64,
        domains: Vec<String>,
        age_ms: u64,
    },
    Order {
        owner: usize,
        agent: usize,
        way: u64,
        takes: u64,
    },
    Arrive {
        agent: usize,
        takes: u64,
    },
    Start(usize),
}

/// Each process has a clock of its own.
fn clock(process: usize, now: u64) -> TimePoint {
    TimePoint::from_millis(1_000_000 + 37_000 * process as u64 + now)
}

fn domain(number: usize) -> Box<str> {
    format!("zone-{number}").into()
}

#[derive(Default)]
struct World {
    queue: BinaryHeap<Reverse<(u64, usize, Event)>>,
    events: usize,
    /// Changes by the operator: when, which, whether drained. Versions count them.
    history: Vec<(u64, usize, bool)>,
    owners: [DrainView; OWNERS],
    /// Where each owner's feed stands, and whether it waits for an answer.
    feeds: [(usize, bool); OWNERS],
    agents: [DrainView; DOMAINS],
    starts: Vec<(u64, usize)>,
}

impl World {
    fn push(&mut self, at: u64, event: Event) {
        self.events += 1;
        self.queue.push(Reverse((at, self.events, event)));
    }

    fn set_out(&mut self, at: u64, deed: Deed) {
        match deed {
            Deed::Operate(domain, drained) => self.push(at, Event::Operate(domain, drained)),
            Deed::Read(owner, serve, way) => {
                self.push(
                    at + serve,
                    Event::Serve {
                        owner,
                        asked: at,
                        way,
                    },
                );
            }
            Deed::Follow(owner, serve, way) => {
                self.push(
                    at + serve,
                    Event::ServeFeed {
                        owner,
                        asked: at,
                        way,
                    },
                );
            }
            Deed::Beat(agent, owner, to, way) => {
                self.push(
                    at + to,
                    Event::Beat {
                        agent,
                        owner,
                        asked: at,
                        way,
                    },
                );
            }
            Deed::Order(owner, agent, way, takes) => {
                self.push(
                    at,
                    Event::Order {
                        owner,
                        agent,
                        way,
                        takes,
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
            self.take(now, event);
        }
    }

    fn take(&mut self, now: u64, event: Event) {
        let version = self.history.len();
        match event {
            Event::Operate(domain, drained) => self.history.push((now, domain, drained)),
            Event::Serve { owner, asked, way } => {
                self.push(
                    now + way,
                    Event::Learn {
                        owner,
                        asked,
                        version,
                    },
                );
            }
            Event::Learn {
                owner,
                asked,
                version,
            } => {
                let drained = self.drained_at(version);
                self.owners[owner].replace(version as u64, drained, clock(owner, asked));
            }
            Event::ServeFeed { owner, asked, way } => {
                if !std::mem::replace(&mut self.feeds[owner].1, true) {
                    self.push(
                        now + way,
                        Event::LearnFeed {
                            owner,
                            asked,
                            version,
                        },
                    );
                }
            }
            Event::LearnFeed {
                owner,
                asked,
                version,
            } => {
                let from = self.feeds[owner].0;
                self.feeds[owner] = (version, false);
                let changes = self.history[from..version].iter();
                let changes: Vec<_> = changes
                    .map(|(_, number, drained)| (domain(*number), *drained))
                    .collect();
                self.owners[owner].change(version as u64, changes, clock(owner, asked));
            }
            Event::Beat {
                agent,
                owner,
                asked,
                way,
            } => {
                if let Some(frame) = DrainFrame::new(&self.owners[owner], clock(owner, now)) {
                    let DrainFrame {
                        version,
                        domains,
                        age_ms,
                    } = frame;
                    self.push(
                        now + way,
                        Event::Grant {
                            agent,
                            asked,
                            version,
                            domains,
                            age_ms,
                        },
                    );
                }
            }
            Event::Grant {
                agent,
                asked,
                version,
                domains,
                age_ms,
            } => {
                let frame = DrainFrame {
                    version,
                    domains,
                    age_ms,
                };
                frame.apply_to(&mut self.agents[agent], clock(OWNERS + agent, asked));
            }
            Event::Order {
                owner,
                agent,
                way,
                takes,
            } => {
                let verdict = self.owners[owner].verdict(
                    &domain(agent),
                    clock(owner, now),
                    RULES.order_age(),
                );
                if verdict == DrainVerdict::Open {
                    self.push(now + way, Event::Arrive { agent, takes });
                }
            }
            Event::Arrive { agent, takes } => {
                let verdict = self.agents[agent].verdict(
                    &domain(agent),
                    clock(OWNERS + agent, now),
                    RULES.start_age(),
                );
                if verdict == DrainVerdict::Open {
                    self.push(now + takes, Event::Start(agent));
                }
            }
            Event::Start(agent) => self.starts.push((now, agent)),
        }
    }

    /// A start beyond the bound after a drain and before it was taken back, if there is one.
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

fn deed() -> impl Strategy<Value = Deed> {
    let delay = || prop_oneof![4 => 0..60_u64, 1 => 0..9_000_u64];
    prop_oneof![
        2 => (0..DOMAINS, any::<bool>()).prop_map(|(number, drained)| Deed::Operate(number, drained)),
        3 => (0..OWNERS, delay(), delay()).prop_map(|(owner, serve, way)| Deed::Read(owner, serve, way)),
        2 => (0..OWNERS, delay(), delay()).prop_map(|(owner, serve, way)| Deed::Follow(owner, serve, way)),
        6 => (0..DOMAINS, 0..OWNERS, delay(), delay())
            .prop_map(|(agent, owner, to, way)| Deed::Beat(agent, owner, to, way)),
        6 => (0..OWNERS, 0..DOMAINS, delay(), 0..=START_LIMIT_MS)
            .prop_map(|(owner, agent, way, takes)| Deed::Order(owner, agent, way, takes)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn nothing_starts_beyond_the_bound(deeds in prop::collection::vec((0..25_000_u64, deed()), 1..160)) {
        let mut world = World::default();
        for (at, deed) in deeds {
            world.set_out(at, deed);
        }
        world.run();
        prop_assert_eq!(world.late_start(), None, "of {} starts", world.starts.len());
    }
}

/// An owner that is cut off from the store reads nothing more: within the bound its orders end, and its
/// agents refuse those that are on their way.
#[test]
fn an_owner_that_is_cut_off_orders_nothing_beyond_the_bound() {
    let mut world = World::default();
    world.set_out(0, Deed::Read(0, 5, 5));
    world.set_out(11, Deed::Operate(1, true));
    // Each order is long on its way, and each start takes as long as it may.
    for n in 0..800 {
        world.set_out(10 * n, Deed::Beat(1, 0, 1, 1));
        world.set_out(10 * n + 5, Deed::Order(0, 1, 550, START_LIMIT_MS));
    }
    world.run();
    assert!(world.starts.len() > 20, "it orders on for a while");
    assert_eq!(world.late_start(), None);
    let last = world.starts.last().map(|(at, _)| *at);
    assert!(last.is_some_and(|last| last <= 11 + BOUND_MS), "{last:?}");
}

/// The word of an owner of the past comes after that of its successor.
#[test]
fn an_older_version_takes_no_drain_back() {
    let mut world = World::default();
    world.set_out(0, Deed::Read(0, 5, 5));
    world.set_out(20, Deed::Operate(0, true));
    world.set_out(30, Deed::Read(1, 5, 5));
    world.set_out(50, Deed::Beat(0, 1, 1, 1));
    world.set_out(60, Deed::Beat(0, 0, 1, 1));
    world.set_out(70, Deed::Order(0, 0, 1, 1));
    world.run();
    assert!(world.starts.is_empty(), "{:?}", world.starts);
}

/// A history that was dropped is read anew: what it lacks is taken back.
#[test]
fn a_whole_reading_takes_back_what_it_lacks() {
    let now = TimePoint::from_millis(10);
    let mut view = DrainView::default();
    assert!(view.replace(3, [domain(0), domain(1)].into(), now));
    assert!(view.replace(9, [domain(1)].into(), now));
    assert_eq!(view.verdict("zone-0", now, None), DrainVerdict::Open);
    assert_eq!(view.verdict("zone-1", now, None), DrainVerdict::Drained);
    assert!(!view.replace(9, [domain(1)].into(), now), "it is no news");
}

/// Where the platform asks for no bound, what is known of drains holds, however old.
#[test]
fn without_a_bound_nothing_waits_for_a_reading() {
    let rules = DrainRules::default();
    let now = TimePoint::from_millis(1);
    let view = DrainView::default();
    assert_eq!(
        view.verdict("a", now, rules.start_age()),
        DrainVerdict::Open
    );
    let bounded = view.verdict("a", now, RULES.start_age());
    assert_eq!(bounded, DrainVerdict::Unsure, "nothing was read yet");
}
