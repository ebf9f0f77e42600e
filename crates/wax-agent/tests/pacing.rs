//! Best-effort images are throttled for serving runs, but only if they cause interference.

use std::time::Duration;
use wax_agent::{BestEffortSample, PaceControl, PaceSample, ServingSample};
use wax_batch::{JobName, RunId, TaskName};
use wax_policy::{PaceRules, PairInterference};
use wax_types::TimePoint;

fn run_id() -> RunId {
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

fn sample(tail_ratio: f64, best_effort: &[(&str, f64, f64)]) -> PaceSample {
    PaceSample {
        serving: vec![ServingSample {
            run_id: run_id(),
            image: "red".into(),
            tail_ratio,
        }],
        best_effort: best_effort
            .iter()
            .map(|(image, used, requested)| {
                let sample = BestEffortSample {
                    used_cores: *used,
                    requested_cores: *requested,
                };
                (Box::from(*image), sample)
            })
            .collect(),
    }
}

/// Tail latency, divided by its target, of a serving run with this baseline load and interference.
fn tail_ratio(baseline_load: f64, interference: f64) -> f64 {
    0.17 / (1.0 - (baseline_load * (1.0 + interference)).min(0.98))
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

    fn apply(&mut self, sample: &PaceSample) {
        self.now = self.now + Duration::from_millis(500);
        self.control.update(sample, self.now, &self.rules);
    }

    /// Simulates half a second of a worker on which each core of `heavy` causes interference of
    /// 0.3, and `light` causes none.
    fn simulate(&mut self, baseline_load: f64) -> f64 {
        let pace = |image: &str| f64::from(self.control.pace_percent(image)) / 100.0;
        let (heavy, light) = (4.0 * pace("heavy"), 4.0 * pace("light"));
        let tail_ratio = tail_ratio(baseline_load, 0.3 * heavy);
        self.apply(&sample(
            tail_ratio,
            &[("heavy", heavy, 4.0), ("light", light, 4.0)],
        ));
        tail_ratio
    }
}

#[test]
fn only_interfering_images_are_throttled() {
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
        world.simulate(0.55);
    }
    let mut samples = Vec::new();
    for _ in 0..20 {
        let tail_ratio = world.simulate(0.55);
        samples.push((
            tail_ratio,
            world.control.pace_percent("heavy"),
            world.control.pace_percent("light"),
        ));
    }
    let over_target = samples
        .iter()
        .filter(|(tail_ratio, ..)| *tail_ratio > 1.0)
        .count();
    assert!(
        over_target <= 2,
        "tail over its target in {over_target} of 20 samples: {samples:?}"
    );
    let unthrottled = samples.iter().filter(|(.., light)| *light == 100).count();
    assert!(
        unthrottled >= 18,
        "image without interference was throttled: {samples:?}"
    );
    assert!(
        samples.iter().all(|(_, heavy, _)| *heavy < 70),
        "{samples:?}"
    );
}

#[test]
fn nothing_is_throttled_at_low_load() {
    let mut world = World::new();
    for _ in 0..20 {
        world.simulate(0.1);
    }
    assert_eq!(world.control.pace_percent("light"), 100);
    assert_eq!(world.control.pace_percent("heavy"), 100);
}

#[test]
fn persistent_high_tail_stops_all_best_effort_tasks() {
    let mut world = World::new();
    world.control.set_pair(
        "red",
        "sly",
        PairInterference {
            per_core: 0.0,
            precision: 200.0,
        },
    );
    world.apply(&sample(0.4, &[("sly", 2.0, 2.0)]));
    let mut samples = 0;
    while world.control.pace_percent("sly") > 0 {
        world.control.set_pair(
            "red",
            "sly",
            PairInterference {
                per_core: 0.0,
                precision: 200.0,
            },
        );
        world.apply(&sample(1.2, &[("sly", 2.0, 2.0)]));
        samples += 1;
        assert!(
            samples <= 4,
            "tail latency over its target for more than two seconds"
        );
    }
}

#[test]
fn high_tail_without_interference_stops_others_only_for_a_while() {
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
        world.apply(&sample(1.5, &[("calm", 2.0, 2.0)]));
        stopped += u32::from(world.control.pace_percent("calm") == 0);
    }
    assert!(
        (10..50).contains(&stopped),
        "stopped in {stopped} of 60 samples"
    );
}

/// After an overload each reported tail latency still contains 0.27 of the one before. This
/// remainder must not throttle best-effort images.
#[test]
fn decaying_tail_is_not_taken_for_load() {
    let mut world = World::new();
    let pair = PairInterference {
        per_core: 0.15,
        precision: 2_000.0,
    };
    world.control.set_pair("red", "heavy", pair);
    for _ in 0..6 {
        world.apply(&sample(tail_ratio(0.4, 0.0), &[("heavy", 0.0, 3.0)]));
    }
    let mut reported_ratio = 9.0;
    world.apply(&sample(reported_ratio, &[("heavy", 3.0, 3.0)]));
    assert!(
        world.control.pace_percent("heavy") <= 5,
        "a saturated load stops images that cause interference"
    );
    for _ in 0..4 {
        reported_ratio = 0.27 * reported_ratio + 0.73 * tail_ratio(0.4, 0.0);
        world.apply(&sample(reported_ratio, &[("heavy", 0.1, 3.0)]));
    }
    assert_eq!(
        world.control.pace_percent("heavy"),
        100,
        "an interference of 0.45 is within the headroom"
    );
}
