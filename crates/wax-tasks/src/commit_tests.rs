//! Tests of the group commit. A commit must not exceed the capacity of a worker, and a former owner
//! must not commit anything: each transaction requires the shard row that the owner has claimed.

use crate::commit::{build_group, build_inbox_removal};
use crate::rows::{JobSpec, PartLocation, PartRow, TaskRow, TaskState, shard_key};
use crate::shard_load::add_worker;
use crate::shard_state::{ShardState, TaskChange};
use crate::term::OwnerTerm;
use std::time::Duration;
use wax_platform::WorkerInfo;
use wax_policy::{LeaseTimings, WorkerContact};
use wax_settings::TaskClass;
use wax_types::{
    JobId, ResourceVector, RowVersion, ShardEpoch, ShardId, TaskEpoch, TaskId, TimePoint, WorkerId,
};

const LEASE_TIMINGS: LeaseTimings = LeaseTimings {
    duration: Duration::from_secs(1),
    call_timeout: Duration::from_secs(1),
    clock_margin: Duration::from_secs(1),
    renewal_grace: Duration::from_secs(1),
};
const SIZE: ResourceVector = ResourceVector::new(3_000, 100, 0);

fn term() -> OwnerTerm {
    let now = TimePoint::from_millis(1_000);
    let grace = Duration::from_secs(10);
    OwnerTerm::new(ShardId(2), ShardEpoch(7), RowVersion(41), grace, now, now)
}

/// Returns a shard with one worker of 8000 milli-cores and a job of five tasks of 3000 each.
fn shard_state() -> ShardState {
    let mut state = ShardState::default();
    let spec = JobSpec {
        team: "team".into(),
        service: "service".into(),
        kind: "kind".into(),
        tasks: 5,
        class: TaskClass::Batch,
        size: SIZE,
        run_time_s: 1,
        attempts: 3,
        input: serde_json::Value::Null,
    };
    let location = PartLocation {
        shard: ShardId(2),
        first: 0,
        count: 5,
    };
    let part = PartRow {
        job: JobId(9),
        location,
        spec,
        submitted_ms: 0,
    };
    state.add_part(part, RowVersion(5));
    let info = WorkerInfo {
        id: "worker".into(),
        address: "127.0.0.1:1".into(),
        rack: "rack".into(),
        failure_domain: "domain".into(),
        capacity: ResourceVector::new(8_000, 8_000, 0),
    };
    let now = TimePoint::from_millis(1_000);
    add_worker(
        &mut state,
        info,
        None,
        WorkerContact::after_takeover(now, &LEASE_TIMINGS),
        now,
    );
    state
}

fn placement(index: u32) -> TaskChange {
    let worker: WorkerId = "worker".into();
    TaskChange {
        task: TaskId {
            job: JobId(9),
            index,
        },
        next: TaskRow {
            epoch: TaskEpoch(1),
            state: TaskState::Placed(worker.clone()),
            failures: 0,
            failed_on: Vec::new(),
            checkpoint: None,
            evictions: 0,
        },
        release: None,
        reserve: Some((worker, SIZE)),
    }
}

#[test]
fn placements_beyond_worker_capacity_are_omitted() {
    let state = shard_state();
    let changes = (0..5).map(placement).collect();
    let group = build_group(&state, &term(), changes);
    assert_eq!(
        group.changes.len(),
        2,
        "a worker with 8000 milli-cores fits two tasks of 3000"
    );
}

#[test]
fn placements_add_to_existing_allocations() {
    let mut state = shard_state();
    let term = term();
    let now = TimePoint::from_millis(1_000);
    let group = build_group(&state, &term, vec![placement(0)]);
    group.apply(&mut state, now, RowVersion(50));
    let group = build_group(&state, &term, vec![placement(1), placement(2)]);
    assert_eq!(group.changes.len(), 1);
}

#[test]
fn commits_require_unchanged_shard_row() {
    let state = shard_state();
    let group = build_group(&state, &term(), vec![placement(0)]);
    let key = shard_key(ShardId(2));
    assert_eq!(
        group.transaction.required_version(&key),
        Some(RowVersion(41))
    );
}

#[test]
fn inbox_removal_requires_unchanged_shard_row() {
    let messages = vec![("inbox/0002/job.0".into(), RowVersion(12))];
    let transaction = build_inbox_removal(&term(), messages);
    let key = shard_key(ShardId(2));
    assert_eq!(transaction.required_version(&key), Some(RowVersion(41)));
}

#[test]
fn written_rows_are_conditions() {
    let state = shard_state();
    let group = build_group(&state, &term(), vec![placement(0), placement(1)]);
    for key in group.transaction.written_keys() {
        assert!(group.transaction.required_version(key).is_some(), "{key}");
    }
}

#[test]
fn part_is_closed_with_its_last_task() {
    let mut state = shard_state();
    let term = term();
    let now = TimePoint::from_millis(1_000);
    let done = |index| TaskChange {
        next: TaskRow {
            state: TaskState::Done("result".into()),
            ..placement(index).next
        },
        reserve: None,
        ..placement(index)
    };
    let group = build_group(&state, &term, (0..4).map(done).collect());
    group.apply(&mut state, now, RowVersion(60));
    assert_eq!(state.parts.len(), 1);
    let group = build_group(&state, &term, vec![done(4)]);
    group.apply(&mut state, now, RowVersion(61));
    assert!(state.parts.is_empty() && state.tasks.is_empty() && state.queue.is_empty());
}
