//! Loads the state of a shard from the table, at a takeover and after an unexpected change of the
//! table.

use crate::quota::{QUOTA_PREFIX, QuotaRow, ShardQuotas};
use crate::rows::{
    AllocRow, InboxRow, JobRow, PartRow, TasksRow, alloc_key, alloc_prefix, inbox_prefix, job_key,
    part_prefix, tasks_prefix,
};
use crate::shard_state::{ShardState, StartState, WorkerEntry};
use crate::split::shard_of_worker;
use crate::term::OwnerTerm;
use std::collections::{HashMap, HashSet};
use wax_platform::{RowEntry, TableClient, WorkerDirectory, WorkerInfo};
use wax_policy::{KindKey, LeaseTimings, MitigationState, RunningTask, WorkerContact};
use wax_settings::TaskClass;
use wax_trace::{Counter, count};
use wax_types::{RowVersion, ShardId, TaskId, TimePoint, WaxError, WorkerId, wall_clock_ms};

/// Loads the parts, tasks, workers, allocations, cancellations and quota grants of a shard.
///
/// `contacts` holds the contacts with workers from the previous loaded state of the same term; it
/// is empty at a takeover.
pub(crate) async fn load_shard(
    table: &TableClient,
    directory: &WorkerDirectory,
    term: &OwnerTerm,
    lease_timings: &LeaseTimings,
    shards: u16,
    contacts: &HashMap<WorkerId, WorkerContact>,
) -> Result<ShardState, WaxError> {
    let shard = term.shard();
    let mut state = ShardState::default();
    for entry in table.scan::<PartRow>(&part_prefix(shard)).await? {
        state.add_part(entry.value, entry.version);
    }
    for entry in table.scan::<TasksRow>(&tasks_prefix(shard)).await? {
        // After the prefix, the key has the format of the id of the part's first task.
        let first = entry.key[tasks_prefix(shard).len()..].parse::<TaskId>();
        if let Ok(first) = first {
            state.load_task_rows((first.job, first.index), entry.value, entry.version);
        }
    }
    let allocs = table.scan::<AllocRow>(&alloc_prefix(shard)).await?;
    let mut allocs: HashMap<Box<str>, RowEntry<AllocRow>> = allocs
        .into_iter()
        .map(|entry| (entry.key.clone(), entry))
        .collect();
    for info in directory.list().await? {
        if shard_of_worker(&info.id, shards) != shard {
            continue;
        }
        let alloc = allocs.remove(alloc_key(shard, &info.id).as_str());
        let contact = restored_contact(contacts, &info.id, term, lease_timings);
        add_worker(&mut state, info, alloc, contact, term.claimed_at());
    }
    for (_, alloc) in allocs {
        add_unlisted_worker(&mut state, shard, alloc, contacts, term, lease_timings);
    }
    load_cancelled(table, &mut state).await?;
    state.quotas = ShardQuotas::load(table.scan::<QuotaRow>(QUOTA_PREFIX).await?);
    Ok(state)
}

fn restored_contact(
    contacts: &HashMap<WorkerId, WorkerContact>,
    worker: &WorkerId,
    term: &OwnerTerm,
    lease_timings: &LeaseTimings,
) -> WorkerContact {
    contacts
        .get(worker)
        .copied()
        .unwrap_or_else(|| WorkerContact::after_takeover(term.claimed_at(), lease_timings))
}

/// Adds a worker with the tasks that are allocated on it. The worker stays closed to placements
/// until it answers.
pub(crate) fn add_worker(
    state: &mut ShardState,
    info: WorkerInfo,
    alloc: Option<RowEntry<AllocRow>>,
    contact: WorkerContact,
    now: TimePoint,
) {
    let (alloc, alloc_version) = match alloc {
        Some(entry) => (entry.value, entry.version),
        None => (AllocRow::default(), RowVersion::default()),
    };
    let key = state.worker_table.add(info.capacity);
    state.worker_table.set_open(key, false);
    for entry in &alloc.tasks {
        let part = state.part_of(entry.task);
        let urgent = part.is_some_and(|part| part.row.spec.class == TaskClass::LatencyCritical);
        let running = RunningTask {
            task: entry.task,
            kind: part.map_or_else(KindKey::default, |part| part.kind),
            size: entry.size,
            urgent,
            evictable: !urgent,
            saved_at: now,
            protected_until: now,
            due_today: false,
        };
        if state.worker_table.reserve(key, running) {
            count(Counter::TasksAdopted);
        }
        if let Some(task) = state.tasks.get_mut(&entry.task) {
            task.start = StartState::Unknown;
        }
    }
    let id = info.id.clone();
    state.worker_ids.insert(key, id.clone());
    let entry = WorkerEntry {
        info,
        key,
        alloc,
        alloc_version,
        contact,
        clock: None,
        boot: 0,
        orphans: HashMap::new(),
        forget: HashSet::new(),
        usage_through: 0,
        failures: 0,
        quarantined_until: None,
        tasks_changed_ms: wall_clock_ms(),
        mitigation: MitigationState::default(),
    };
    state.workers.insert(id, entry);
}

/// Adds a worker that the platform no longer lists but that has allocated tasks, so that their
/// leases are tracked until they expire.
fn add_unlisted_worker(
    state: &mut ShardState,
    shard: ShardId,
    alloc: RowEntry<AllocRow>,
    contacts: &HashMap<WorkerId, WorkerContact>,
    term: &OwnerTerm,
    lease_timings: &LeaseTimings,
) {
    if alloc.value.tasks.is_empty() {
        return;
    }
    let id: WorkerId = alloc.key[alloc_prefix(shard).len()..].into();
    let capacity = alloc.value.reserved().unwrap_or_default();
    let info = WorkerInfo {
        id: id.clone(),
        address: "0.0.0.0:0".into(),
        rack: "".into(),
        failure_domain: "".into(),
        capacity,
    };
    let contact = restored_contact(contacts, &id, term, lease_timings);
    add_worker(state, info, Some(alloc), contact, term.claimed_at());
}

/// Marks those of the loaded jobs that were cancelled.
async fn load_cancelled(table: &TableClient, state: &mut ShardState) -> Result<(), WaxError> {
    let keys: Vec<String> = state.parts.keys().map(|(job, _)| job_key(*job)).collect();
    for chunk in keys.chunks(200) {
        let chunk: Vec<&str> = chunk.iter().map(String::as_str).collect();
        for entry in table.read_many::<JobRow>(&chunk).await? {
            if entry.value.cancelled
                && let Ok(job) = entry.key["job/".len()..].parse()
            {
                state.cancelled.insert(job);
            }
        }
    }
    Ok(())
}

/// Reads the messages in the inbox of a shard.
pub(crate) async fn read_inbox(
    table: &TableClient,
    shard: ShardId,
) -> Result<Vec<RowEntry<InboxRow>>, WaxError> {
    table.scan::<InboxRow>(&inbox_prefix(shard)).await
}
