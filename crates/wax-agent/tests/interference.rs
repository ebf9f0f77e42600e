//! Learning of interference from recorded and generated samples: changes of load that have other
//! causes must not be attributed to best-effort images.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::time::Duration;
use wax_agent::{BestEffortSample, PaceControl, PaceSample, ServingSample};
use wax_batch::{JobName, RunId, TaskName};
use wax_policy::PaceRules;
use wax_types::TimePoint;

/// Sample of a worker, as recorded on the users' benchmark site: see `docs/REPLAY.md`.
#[derive(Debug, Deserialize)]
struct RecordedSample {
    ms: u64,
    worker: Box<str>,
    /// Task, image, and tail latency divided by its target.
    serving: Vec<(Box<str>, Box<str>, f64)>,
    /// Image, cores in use, and cores requested.
    filling: Vec<(Box<str>, f64, f64)>,
}

fn run_id(task: &str) -> RunId {
    let mut parts = task.split('.');
    let mut next = || parts.next().expect("a task has four parts");
    let job = next().parse::<JobName>().expect("a job name");
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

impl RecordedSample {
    fn pace_sample(&self) -> PaceSample {
        let serving = self
            .serving
            .iter()
            .map(|(task, image, tail_ratio)| ServingSample {
                run_id: run_id(task),
                image: image.clone(),
                tail_ratio: *tail_ratio,
            });
        let best_effort = self.filling.iter().map(|(image, used, requested)| {
            let (used_cores, requested_cores) = (*used, *requested);
            (
                image.clone(),
                BestEffortSample {
                    used_cores,
                    requested_cores,
                },
            )
        });
        PaceSample {
            serving: serving.collect(),
            best_effort: best_effort.collect(),
        }
    }
}

fn replay(text: &str) -> BTreeMap<Box<str>, PaceControl> {
    let rules = PaceRules::default();
    let mut controls: BTreeMap<Box<str>, PaceControl> = BTreeMap::new();
    for line in text.lines() {
        let sample: RecordedSample = serde_json::from_str(line).expect("a recorded sample");
        let now = TimePoint::from_millis(100_000 + sample.ms);
        let control = controls.entry(sample.worker.clone()).or_default();
        control.update(&sample.pace_sample(), now, &rules);
    }
    controls
}

const RECORDED_SAMPLES: &str = include_str!("../../../examples/traces/presses/riveneige.jsonl");

/// Replays three workers for 34 seconds, in which baseline loads vary by half every 20 seconds. The
/// actual interference is known from all workers of this day (`docs/MEASURES.md`).
macro_rules! recorded {
    ($($name:ident: $worker:literal, $serving:literal, $best_effort:literal => $range:expr;)*) => {$(
        #[test]
        fn $name() {
            let controls = replay(RECORDED_SAMPLES);
            let interference = controls[$worker].interference($serving, $best_effort);
            assert!($range.contains(&interference), "{interference}");
        }
    )*};
}

recorded! {
    change_of_the_baseline_load_is_not_attributed_to_best_effort_tasks: "a-2", "1ce7ff", "1f773b" => 0.0..0.06;
    interfering_image_is_told_apart_from_load_changes: "a-2", "1ce7ff", "9f2ffc" => 0.05..0.4;
    light_image_is_learned_as_light: "b-1", "0eccf9", "db56b0" => 0.0..0.06;
    heavy_image_is_learned_as_heavy: "b-1", "0eccf9", "164f47" => 0.05..0.4;
    light_image_is_learned_as_light_on_another_worker: "c-2", "1ce6c8", "8d13e9" => 0.0..0.06;
}

/// Six runs of an image have the same baseline load; in every eighth sample one of them is slow for
/// a reason of its own. This must not count as interference.
#[test]
fn slow_run_alone_teaches_no_interference() {
    let rules = PaceRules::default();
    let mut control = PaceControl::default();
    for sample_number in 0..60_u64 {
        let cores = [0.5, 4.0][usize::from(sample_number % 3 == 0)];
        let sample = RecordedSample {
            ms: 500 * sample_number,
            worker: "w".into(),
            serving: (0..6_u64)
                .map(|index| {
                    let is_slow = sample_number % 8 == 0 && index == sample_number / 8 % 6;
                    let tail_ratio = if is_slow { 1.4 } else { 0.34 };
                    (
                        format!("00000000000000aa.0.0.{index}").into(),
                        "red".into(),
                        tail_ratio,
                    )
                })
                .collect(),
            filling: vec![("calm".into(), cores, 4.0)],
        };
        control.update(
            &sample.pace_sample(),
            TimePoint::from_millis(100_000 + sample.ms),
            &rules,
        );
    }
    let interference = control.interference("red", "calm");
    assert!(interference < 0.02, "{interference}");
}

/// Each core of `heavy` causes interference of 0.2; it runs for four samples, then stops for four.
#[test]
fn interference_is_learned_after_a_few_changes() {
    let rules = PaceRules::default();
    let mut control = PaceControl::default();
    let mut now = TimePoint::from_millis(100_000);
    let mut reported_ratio = 0.17 / 0.6;
    for sample_number in 0..20_u64 {
        let cores = if sample_number / 4 % 2 == 0 { 0.1 } else { 3.0 };
        let load = 0.4 * (1.0 + 0.2 * cores);
        // As on the users' workers, a reported tail latency keeps a share of the one before.
        reported_ratio = 0.27 * reported_ratio + 0.73 * 0.17 / (1.0 - load);
        let sample = RecordedSample {
            ms: 0,
            worker: "w".into(),
            serving: vec![(
                "00000000000000aa.0.0.0".into(),
                "red".into(),
                reported_ratio,
            )],
            filling: vec![("heavy".into(), cores, 3.0)],
        };
        control.update(&sample.pace_sample(), now, &rules);
        now = now + Duration::from_millis(500);
    }
    let interference = control.interference("red", "heavy");
    assert!((0.15..0.25).contains(&interference), "{interference}");
}

/// A worker is suspended for two seconds, twice: no task runs, and tail latencies are hundreds of
/// times their targets. Afterwards all is as before. Without the check for stalls the known
/// interference of `heavy` would be unlearned.
#[test]
fn suspended_worker_teaches_nothing() {
    let rules = PaceRules::default();
    let mut control = PaceControl::default();
    let pair = wax_policy::PairInterference {
        per_core: 0.2,
        precision: 300.0,
    };
    control.set_pair("red", "heavy", pair);
    let before = control.interference("red", "heavy");
    for sample_number in 0..40_u64 {
        let is_suspended = sample_number % 20 >= 8 && sample_number % 20 < 12;
        let cores = if is_suspended { 0.0 } else { 2.0 };
        let sample = RecordedSample {
            ms: 500 * sample_number,
            worker: "w".into(),
            serving: vec![(
                "00000000000000aa.0.0.0".into(),
                "red".into(),
                if is_suspended { 420.0 } else { 0.5 },
            )],
            filling: vec![("heavy".into(), cores, 2.0)],
        };
        let now = TimePoint::from_millis(100_000 + sample.ms);
        control.update(&sample.pace_sample(), now, &rules);
    }
    let after = control.interference("red", "heavy");
    assert!((before - after).abs() < 0.01, "{before} became {after}");
}
