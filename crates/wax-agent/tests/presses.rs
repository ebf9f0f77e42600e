//! Presses are learned from recorded looks, and nobody is blamed for what he did not do.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::time::Duration;
use wax_agent::{FillingSample, PaceControl, PaceSample, ServingSample};
use wax_batch::{JobName, RunId, TaskName};
use wax_policy::PaceRules;
use wax_types::TimePoint;

/// One look at a worker, as the users' bench showed it: see `docs/REPLAY.md`.
#[derive(Debug, Deserialize)]
struct LookLine {
    ms: u64,
    worker: Box<str>,
    /// Task, image, tail as a share of its target.
    serving: Vec<(Box<str>, Box<str>, f64)>,
    /// Image, cores in use, cores wanted.
    filling: Vec<(Box<str>, f64, f64)>,
}

fn mark(task: &str) -> RunId {
    let mut parts = task.split('.');
    let mut next = || parts.next().expect("a task has four parts");
    let job = next().parse::<JobName>().expect("a job's name");
    let mut number = || next().parse::<u32>().expect("a number");
    RunId {
        task: TaskName {
            job,
            occurrence: number(),
            step: number() as u16,
            index: number(),
        },
        run: 1,
    }
}

impl LookLine {
    fn sample(&self) -> PaceSample {
        let serving = self
            .serving
            .iter()
            .map(|(task, image, tail)| ServingSample {
                mark: mark(task),
                image: image.clone(),
                tail: *tail,
            });
        let filling = self.filling.iter().map(|(image, used, wanted)| {
            let (used, wanted) = (*used, *wanted);
            (image.clone(), FillingSample { used, wanted })
        });
        PaceSample {
            serving: serving.collect(),
            filling: filling.collect(),
        }
    }
}

fn replay(text: &str) -> BTreeMap<Box<str>, PaceControl> {
    let rules = PaceRules::default();
    let mut controls: BTreeMap<Box<str>, PaceControl> = BTreeMap::new();
    for line in text.lines() {
        let look: LookLine = serde_json::from_str(line).expect("a look");
        let now = TimePoint::from_millis(100_000 + look.ms);
        let control = controls.entry(look.worker.clone()).or_default();
        control.look(&look.sample(), now, &rules);
    }
    controls
}

const RECORDED: &str = include_str!("../../../examples/traces/presses/riveneige.jsonl");

/// Three workers through 34 seconds in which the own loads swing by half every 20 seconds. What
/// the presses are is known from all workers of that day (`docs/MEASURES.md`).
macro_rules! recorded {
    ($($name:ident: $worker:literal, $serving:literal, $filling:literal => $range:expr;)*) => {$(
        #[test]
        fn $name() {
            let controls = replay(RECORDED);
            let press = controls[$worker].press($serving, $filling);
            assert!($range.contains(&press), "{press}");
        }
    )*};
}

recorded! {
    a_swing_of_the_own_load_is_not_blamed_on_what_works_beside_it: "a-2", "1ce7ff", "1f773b" => 0.0..0.06;
    what_presses_is_told_from_it: "a-2", "1ce7ff", "9f2ffc" => 0.05..0.4;
    a_light_image_is_seen_to_be_light: "b-1", "0eccf9", "db56b0" => 0.0..0.06;
    a_heavy_image_is_seen_to_be_heavy: "b-1", "0eccf9", "164f47" => 0.05..0.4;
    another_worker_learns_the_same: "c-2", "1ce6c8", "8d13e9" => 0.0..0.06;
}

/// Six runs of an image with one own load; every eighth look one of them is slow by itself.
#[test]
fn a_run_that_is_slow_by_itself_blames_nobody() {
    let rules = PaceRules::default();
    let mut control = PaceControl::default();
    for look in 0..60_u64 {
        let cores = [0.5, 4.0][usize::from(look % 3 == 0)];
        let line = LookLine {
            ms: 500 * look,
            worker: "w".into(),
            serving: (0..6_u64)
                .map(|index| {
                    let slow = look % 8 == 0 && index == look / 8 % 6;
                    let tail = if slow { 1.4 } else { 0.34 };
                    (
                        format!("00000000000000aa.0.0.{index}").into(),
                        "red".into(),
                        tail,
                    )
                })
                .collect(),
            filling: vec![("calm".into(), cores, 4.0)],
        };
        control.look(
            &line.sample(),
            TimePoint::from_millis(100_000 + line.ms),
            &rules,
        );
    }
    let press = control.press("red", "calm");
    assert!(press < 0.02, "{press}");
}

/// A core of `heavy` presses by 0.2; it works for four looks, then stands still for four.
#[test]
fn a_press_is_known_after_a_few_changes() {
    let rules = PaceRules::default();
    let mut control = PaceControl::default();
    let mut now = TimePoint::from_millis(100_000);
    let mut shown = 0.17 / 0.6;
    for look in 0..20_u64 {
        let cores = if look / 4 % 2 == 0 { 0.1 } else { 3.0 };
        let load = 0.4 * (1.0 + 0.2 * cores);
        // As the users' workers do it: a figure keeps a share of the one before.
        shown = 0.27 * shown + 0.73 * 0.17 / (1.0 - load);
        let line = LookLine {
            ms: 0,
            worker: "w".into(),
            serving: vec![("00000000000000aa.0.0.0".into(), "red".into(), shown)],
            filling: vec![("heavy".into(), cores, 3.0)],
        };
        control.look(&line.sample(), now, &rules);
        now = now + Duration::from_millis(500);
    }
    let press = control.press("red", "heavy");
    assert!((0.15..0.25).contains(&press), "{press}");
}

/// A worker hangs for two seconds, twice: nothing works, tails are hundreds of times their target.
/// Then all is as before. What presses is not taken as innocent for that.
#[test]
fn a_worker_that_stands_still_teaches_nothing() {
    let rules = PaceRules::default();
    let mut control = PaceControl::default();
    let known = wax_policy::PairInterference {
        per_core: 0.2,
        precision: 300.0,
    };
    control.set_pair("red", "heavy", known);
    let before = control.press("red", "heavy");
    for look in 0..40_u64 {
        let hangs = look % 20 >= 8 && look % 20 < 12;
        let cores = if hangs { 0.0 } else { 2.0 };
        let line = LookLine {
            ms: 500 * look,
            worker: "w".into(),
            serving: vec![(
                "00000000000000aa.0.0.0".into(),
                "red".into(),
                if hangs { 420.0 } else { 0.5 },
            )],
            filling: vec![("heavy".into(), cores, 2.0)],
        };
        let now = TimePoint::from_millis(100_000 + line.ms);
        control.look(&line.sample(), now, &rules);
    }
    let after = control.press("red", "heavy");
    assert!((before - after).abs() < 0.01, "{before} became {after}");
}
