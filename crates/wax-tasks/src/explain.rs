//! Explains to operators why a task is in its current state.

use crate::coordinator::CoordinatorHandle;
use crate::rows::TaskState;
use crate::shard::ShardShared;
use crate::shard_state::{ShardState, StartState};
use serde::{Deserialize, Serialize};
use wax_types::{JobId, ResourceVector, ShardId, TaskId, TimePoint};

/// Explanation of the state of one task by the owner of its shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskExplanation {
    /// Index of the task in its job.
    pub index: u32,
    /// Shard of the task.
    pub shard: ShardId,
    /// Reason for the state and, where there is one, what would change it.
    pub reason: Box<str>,
}

impl CoordinatorHandle {
    /// Returns an explanation for each task of a job whose shard this process owns.
    pub fn explain(&self, now: TimePoint, job: JobId) -> Vec<TaskExplanation> {
        let shards = self.shards.borrow();
        let mut explanations: Vec<TaskExplanation> = shards
            .values()
            .flat_map(|shared| explain_shard(shared, now, job))
            .collect();
        explanations.sort_by_key(|explanation| explanation.index);
        explanations
    }
}

fn explain_shard(shared: &ShardShared, now: TimePoint, job: JobId) -> Vec<TaskExplanation> {
    let state = shared.state.borrow();
    let tasks = state.tasks.keys().filter(|task| task.job == job);
    tasks
        .map(|task| TaskExplanation {
            index: task.index,
            shard: shared.term.shard(),
            reason: explain_task(shared, &state, now, *task).into(),
        })
        .collect()
}

fn explain_task(shared: &ShardShared, state: &ShardState, now: TimePoint, task: TaskId) -> String {
    let Some(entry) = state.tasks.get(&task) else {
        return "not known here".to_owned();
    };
    match entry.row.as_ref().map(|row| &row.state) {
        Some(TaskState::Placed(worker)) if entry.stopping => {
            format!("being stopped on {worker}, with a checkpoint")
        }
        Some(TaskState::Placed(worker)) => {
            let reachable = state
                .workers
                .get(worker)
                .is_some_and(|entry| entry.contact.is_reachable());
            match (entry.start, reachable) {
                (_, false) => format!(
                    "placed on {worker}, which does not answer; it waits until the lease has lapsed"
                ),
                (StartState::Running(_), _) => format!("runs on {worker}"),
                _ => format!("placed on {worker}, being started"),
            }
        }
        Some(TaskState::Done(result)) => format!("done, its result is {result}"),
        Some(TaskState::Failed(reason)) => format!("given up: {reason}"),
        Some(TaskState::Cancelled) => "cancelled".to_owned(),
        Some(TaskState::Waiting) | None => explain_waiting(shared, state, now, task),
    }
}

fn explain_waiting(
    shared: &ShardShared,
    state: &ShardState,
    now: TimePoint,
    task: TaskId,
) -> String {
    let (Some(demand), Some(part)) = (state.demand(task), state.part_of(task)) else {
        return "waits".to_owned();
    };
    let team = &part.row.spec.team;
    if state
        .quotas
        .limited_teams()
        .any(|limited| *limited == **team)
    {
        return format!("waits: the quota of team {team} is used; raise it or wait for its tasks");
    }
    let quarantined = state
        .workers
        .values()
        .filter(|entry| entry.quarantined_until.is_some_and(|until| until > now))
        .count();
    let unreachable = state
        .workers
        .values()
        .filter(|entry| !entry.contact.is_reachable())
        .count();
    let is_drained = |worker| shared.drains.is_drained(worker);
    let drained = state
        .workers
        .values()
        .filter(|entry| is_drained(&entry.info))
        .count();
    let max_free = state
        .workers
        .values()
        .filter(|entry| !is_drained(&entry.info))
        .filter_map(|entry| state.worker_table.get(entry.key))
        .map(wax_policy::WorkerCapacity::free)
        .max_by_key(|free| (free.accelerators, free.cpu_milli, free.memory_mib))
        .unwrap_or(ResourceVector::ZERO);
    let ahead = state
        .queue
        .iter()
        .take_while(|(_, _, other)| *other != task)
        .count();
    format!(
        "waits for room: needs {}; the most that one of {} workers has free is {max_free} \
         ({unreachable} do not answer, {quarantined} in quarantine, {drained} drained or in drained failure domains); {ahead} tasks are ahead",
        demand.size,
        state.workers.len(),
    )
}
