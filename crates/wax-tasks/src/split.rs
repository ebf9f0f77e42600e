//! Splits a job into parts and chooses the shard of each part.

use crate::rows::PartLocation;
use fastrand::Rng;
use std::collections::BTreeMap;
use wax_policy::rank_score;
use wax_types::{ResourceVector, ShardId};

/// Maximum number of tasks in one part. One row holds the states of all of them.
const MAX_PART_TASKS: u32 = 32;

/// Properties of a worker on which the split depends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkerShape {
    /// Shard of the worker.
    pub shard: ShardId,
    /// Total resources of the worker.
    pub capacity: ResourceVector,
}

/// Error of [`split_job`]: no worker is large enough for one task of the job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ImpossibleJob {
    /// Explanation that names the worker that comes nearest.
    pub reason: Box<str>,
}

/// Returns the shard of a worker, which is determined by a hash of the worker's name.
pub fn shard_of_worker(worker: &str, shards: u16) -> ShardId {
    let index = rank_score(0, worker) % u64::from(shards.max(1));
    ShardId(index as u16)
}

/// Returns how many tasks of a size fit on an empty worker.
fn task_slots(capacity: ResourceVector, size: ResourceVector) -> u32 {
    let count_fitting =
        |available: u32, required: u32| available.checked_div(required).unwrap_or(u32::MAX);
    count_fitting(capacity.cpu_milli, size.cpu_milli)
        .min(count_fitting(capacity.memory_mib, size.memory_mib))
        .min(count_fitting(capacity.accelerators, size.accelerators))
}

/// Splits `tasks` tasks into parts. The shard of each part is drawn at random, in proportion to the
/// number of tasks that the shards' workers can hold.
///
/// # Errors
///
/// Returns an error if no worker is large enough for one task.
pub fn split_job(
    tasks: u32,
    size: ResourceVector,
    workers: &[WorkerShape],
    rng: &mut Rng,
) -> Result<Vec<PartLocation>, ImpossibleJob> {
    let mut slots_by_shard: BTreeMap<ShardId, u64> = BTreeMap::new();
    for worker in workers {
        let slots = u64::from(task_slots(worker.capacity, size));
        if slots > 0 {
            *slots_by_shard.entry(worker.shard).or_default() += slots;
        }
    }
    if slots_by_shard.is_empty() {
        return Err(impossible_job(size, workers));
    }
    let total: u64 = slots_by_shard.values().sum();
    let part_size = MAX_PART_TASKS.min(tasks.div_ceil(slots_by_shard.len() as u32).max(1));
    let mut parts = Vec::new();
    let mut first = 0;
    while first < tasks {
        let count = part_size.min(tasks - first);
        let shard = pick_shard(&slots_by_shard, rng.u64(..total));
        parts.push(PartLocation {
            shard,
            first,
            count,
        });
        first += count;
    }
    Ok(parts)
}

fn pick_shard(slots_by_shard: &BTreeMap<ShardId, u64>, mut index: u64) -> ShardId {
    for (shard, slots) in slots_by_shard {
        if index < *slots {
            return *shard;
        }
        index -= slots;
    }
    ShardId::default()
}

fn impossible_job(size: ResourceVector, workers: &[WorkerShape]) -> ImpossibleJob {
    let largest = workers
        .iter()
        .map(|worker| worker.capacity)
        .max_by_key(|capacity| {
            let excess = size.saturating_sub(*capacity);
            std::cmp::Reverse((excess.accelerators, excess.cpu_milli, excess.memory_mib))
        });
    let reason = match largest {
        None => "the platform lists no workers".to_owned(),
        Some(capacity) => format!(
            "a task of {size} fits no worker: {} exceeds the nearest worker, which has {capacity}",
            size.first_excess(capacity).unwrap_or("the sum"),
        ),
    };
    ImpossibleJob {
        reason: reason.into(),
    }
}
