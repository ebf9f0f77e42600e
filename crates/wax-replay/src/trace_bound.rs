//! Upper bound of the work that any scheduler could complete on a recorded trace, by the actual
//! work of its tasks.

use crate::bound::{BoundJob, BoundSlot, WorkBound, compute_bound};
use crate::trace::{ReplayPolicy, TraceError, TraceLine};
use crate::world::{ReplayWorld, TRACE_START};

/// Length of a slot, seconds. A worker counts as down only in slots that its outage covers whole,
/// so that an outage is shortened by less than one slot at each end.
const SLOT_S: f64 = 1.0;

/// Bounds the run time of the tasks that can end by the end of the trace with any policy. The value
/// of a job is the run time of its tasks alone with enough processors, in seconds, which is how a
/// replay counts work done.
///
/// # Errors
///
/// A line names something that no line before it declares.
pub fn bound_trace(lines: &[TraceLine], seed: u64) -> Result<WorkBound, TraceError> {
    let world = ReplayWorld::build(lines, ReplayPolicy::WEIGHED, seed)?;
    let until = world.options.until.since(TRACE_START).as_secs_f64();
    let jobs: Vec<BoundJob> = world
        .jobs
        .iter()
        .map(|job| {
            let kind = &world.kinds[job.kind];
            let cores = f64::from(kind.true_cpu_milli.min(kind.declared.cpu_milli)) / 1e3;
            let value = f64::from(job.tasks) * job.work.as_secs_f64();
            BoundJob {
                arrival_s: job.arrives.since(TRACE_START).as_secs_f64(),
                deadline_s: until,
                work_core_s: value * cores,
                value,
            }
        })
        .collect();
    Ok(compute_bound(&jobs, &slots(lines, until)))
}

/// Returns slots with the processors of all workers that are up. Processors that upstreams reserve
/// count as available.
fn slots(lines: &[TraceLine], until: f64) -> Vec<BoundSlot> {
    let count = (until / SLOT_S).ceil() as usize;
    let slot = |number: usize| {
        let from = number as f64 * SLOT_S;
        let to = (from + SLOT_S).min(until);
        let all: f64 = lines
            .iter()
            .map(|line| available_cores(line, lines, from, to))
            .sum();
        BoundSlot {
            start_s: from,
            end_s: to,
            cores: all,
        }
    };
    (0..count).map(slot).collect()
}

fn available_cores(line: &TraceLine, lines: &[TraceLine], from: f64, to: f64) -> f64 {
    let TraceLine::Worker {
        name, cpu_milli, ..
    } = line
    else {
        return 0.0;
    };
    let is_down = lines.iter().any(|fault| match fault {
        TraceLine::WorkerDown {
            at_ms,
            until_ms,
            worker,
        } => worker == name && *at_ms as f64 / 1e3 <= from && to <= *until_ms as f64 / 1e3,
        _ => false,
    });
    match is_down {
        true => 0.0,
        false => f64::from(*cpu_milli) / 1e3,
    }
}
