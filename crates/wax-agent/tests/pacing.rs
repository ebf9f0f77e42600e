//! Tasks that fill give way to tasks that serve, and only where they press.

use std::time::Duration;
use wax_agent::{FillingSample, PaceControl, PaceSample, ServingSample};
use wax_batch::{JobName, RunId, TaskName};
use wax_policy::{PaceRules, PairInterference};
use wax_types::TimePoint;

fn mark() -> RunId {
    RunId {
        task: TaskName {
            job: JobName(1),
            occurrence: 0,
            step: 0,
            index: 0,
        },
        run: 1,
    }
}

fn sample(tail: f64, fills: &[(&str, f64, f64)]) -> PaceSample {
    PaceSample {
        serving: vec![ServingSample {
            mark: mark(),
            image: "red".into(),
            tail,
        }],
        filling: fills
            .iter()
            .map(|(image, used, wanted)| {
                let sample = FillingSample {
                    used: *used,
                    wanted: *wanted,
                };
                (Box::from(*image), sample)
            })
            .collect(),
    }
}

/// The tail of a serving task with this own load beside fills that press on it.
fn tail(own: f64, press: f64) -> f64 {
    0.17 / (1.0 - (own * (1.0 + press)).min(0.98))
}

struct World {
    control: PaceControl,
    rules: PaceRules,
    now: TimePoint,
}

impl World {
    fn new() -> Self {
        Self {
            control: PaceControl::default(),
            rules: PaceRules::default(),
            now: TimePoint::from_millis(100_000),
        }
    }

    fn look(&mut self, sample: &PaceSample) {
        self.now = self.now + Duration::from_millis(500);
        self.control.look(sample, self.now, &self.rules);
    }

    /// Half a second of a worker on which `heavy` presses with 0.3 a core and `light` not at all.
    fn live(&mut self, own: f64) -> f64 {
        let pace = |image: &str| f64::from(self.control.pace(image)) / 100.0;
        let (heavy, light) = (4.0 * pace("heavy"), 4.0 * pace("light"));
        let tail = tail(own, 0.3 * heavy);
        self.look(&sample(
            tail,
            &[("heavy", heavy, 4.0), ("light", light, 4.0)],
        ));
        tail
    }
}

#[test]
fn what_presses_is_slowed_and_what_does_not_goes_on() {
    let mut world = World::new();
    world.control.set_pair(
        "red",
        "light",
        PairInterference {
            per_core: 0.0,
            precision: 50.0,
        },
    );
    for _ in 0..40 {
        world.live(0.55);
    }
    let mut looks = Vec::new();
    for _ in 0..20 {
        let tail = world.live(0.55);
        looks.push((
            tail,
            world.control.pace("heavy"),
            world.control.pace("light"),
        ));
    }
    let over = looks.iter().filter(|(tail, ..)| *tail > 1.0).count();
    assert!(
        over <= 2,
        "over its target in {over} of 20 looks: {looks:?}"
    );
    let whole = looks.iter().filter(|(.., light)| *light == 100).count();
    assert!(whole >= 18, "what does not press was slowed: {looks:?}");
    assert!(looks.iter().all(|(_, heavy, _)| *heavy < 70), "{looks:?}");
}

#[test]
fn without_load_nothing_is_slowed() {
    let mut world = World::new();
    for _ in 0..20 {
        world.live(0.1);
    }
    assert_eq!(world.control.pace("light"), 100);
    assert_eq!(world.control.pace("heavy"), 100);
}

#[test]
fn a_tail_that_stays_too_long_stops_all_that_fills_whatever_was_learned() {
    let mut world = World::new();
    world.control.set_pair(
        "red",
        "sly",
        PairInterference {
            per_core: 0.0,
            precision: 200.0,
        },
    );
    world.look(&sample(0.4, &[("sly", 2.0, 2.0)]));
    let mut looks = 0;
    while world.control.pace("sly") > 0 {
        world.control.set_pair(
            "red",
            "sly",
            PairInterference {
                per_core: 0.0,
                precision: 200.0,
            },
        );
        world.look(&sample(1.2, &[("sly", 2.0, 2.0)]));
        looks += 1;
        assert!(looks <= 4, "longer than two seconds over its target");
    }
}

#[test]
fn a_tail_that_stays_long_by_itself_does_not_stop_others_for_ever() {
    let mut world = World::new();
    let mut stopped = 0;
    for _ in 0..60 {
        world.control.set_pair(
            "red",
            "calm",
            PairInterference {
                per_core: 0.0,
                precision: 200.0,
            },
        );
        world.look(&sample(1.5, &[("calm", 2.0, 2.0)]));
        stopped += u32::from(world.control.pace("calm") == 0);
    }
    assert!(
        (10..50).contains(&stopped),
        "stopped in {stopped} of 60 looks"
    );
}

/// After an overload the figure fades by 0.27 each half second; what is over holds nobody back.
#[test]
fn a_tail_that_fades_is_not_taken_for_a_load() {
    let mut world = World::new();
    let known = PairInterference {
        per_core: 0.15,
        precision: 2_000.0,
    };
    world.control.set_pair("red", "heavy", known);
    for _ in 0..6 {
        world.look(&sample(tail(0.4, 0.0), &[("heavy", 0.0, 3.0)]));
    }
    let mut shown = 9.0;
    world.look(&sample(shown, &[("heavy", 3.0, 3.0)]));
    assert!(
        world.control.pace("heavy") <= 5,
        "an alarm stops what presses"
    );
    for _ in 0..4 {
        shown = 0.27 * shown + 0.73 * tail(0.4, 0.0);
        world.look(&sample(shown, &[("heavy", 0.1, 3.0)]));
    }
    assert_eq!(
        world.control.pace("heavy"),
        100,
        "its press of 0.45 is borne"
    );
}
