//! Tests of the pure decisions: ownership of shards, consequences of workers' reports, expiry of
//! terms, the split of a job into parts, and quota grants.

use fastrand::Rng;
use proptest::prelude::*;
use std::time::Duration;
use wax_platform::{TaskRunId, TaskRunStatus};
use wax_tasks::{
    OwnerTerm, ProcessIdentity, QuotaRow, RunChoice, ShardChoice, ShardRow, TaskRow, TaskState,
    WorkerShape, decide_run, decide_shard, split_job,
};
use wax_types::{
    JobId, ProcessIncarnation, ResourceVector, RowVersion, ShardEpoch, ShardId, TaskEpoch, TaskId,
    TimePoint, WorkerId,
};

fn own_identity(leaving: bool) -> ProcessIdentity<'static> {
    ProcessIdentity {
        name: "me",
        incarnation: ProcessIncarnation(1),
        leaving,
    }
}

fn owned_by(name: &str, incarnation: u64) -> ShardRow {
    ShardRow {
        owner: Some(name.into()),
        incarnation: ProcessIncarnation(incarnation),
        epoch: ShardEpoch(3),
    }
}

macro_rules! shard_cases {
    ($($name:ident: $row:expr, $leaving:expr, $top:expr, $alive:expr => $choice:ident;)*) => {
        $(
            #[test]
            fn $name() {
                let row: Option<ShardRow> = $row;
                let choice = decide_shard(row.as_ref(), own_identity($leaving), $top, $alive);
                assert_eq!(choice, ShardChoice::$choice);
            }
        )*
    };
}

shard_cases! {
    unowned_shard_is_claimed_by_top_member: None, false, Some("me"), false => Claim;
    unowned_shard_is_left_to_top_member: None, false, Some("other"), false => Yield;
    live_owner_is_not_replaced: Some(owned_by("other", 2)), false, Some("me"), true => Yield;
    dead_owner_is_replaced_by_top_member: Some(owned_by("other", 2)), false, Some("me"), false => Claim;
    own_shard_is_kept_by_top_member: Some(owned_by("me", 1)), false, Some("me"), true => Keep;
    own_shard_is_released_to_top_member: Some(owned_by("me", 1)), false, Some("other"), true => Release;
    own_shard_is_released_when_leaving: Some(owned_by("me", 1)), true, None, true => Release;
    earlier_incarnation_is_another_owner: Some(owned_by("me", 9)), false, Some("me"), false => Claim;
}

fn task_row(epoch: u32, state: TaskState) -> TaskRow {
    TaskRow {
        epoch: TaskEpoch(epoch),
        state,
        failures: 0,
        failed_on: Vec::new(),
        checkpoint: Some("old".into()),
        evictions: 0,
    }
}

fn run_id(epoch: u32) -> TaskRunId {
    TaskRunId {
        task: TaskId {
            job: JobId(1),
            index: 0,
        },
        epoch: TaskEpoch(epoch),
    }
}

fn worker_id() -> WorkerId {
    "here".into()
}

#[test]
fn run_of_earlier_epoch_is_ignored() {
    let current = task_row(2, TaskState::Placed(worker_id()));
    let done = TaskRunStatus::Done("result".into());
    assert_eq!(
        decide_run(Some(&current), &worker_id(), run_id(1), &done, 3),
        RunChoice::Forget
    );
    let running = decide_run(
        Some(&current),
        &worker_id(),
        run_id(1),
        &TaskRunStatus::Running,
        3,
    );
    assert_eq!(running, RunChoice::Orphan);
}

#[test]
fn run_on_other_worker_is_ignored() {
    let current = task_row(2, TaskState::Placed("elsewhere".into()));
    let done = TaskRunStatus::Done("result".into());
    assert_eq!(
        decide_run(Some(&current), &worker_id(), run_id(2), &done, 3),
        RunChoice::Forget
    );
}

#[test]
fn stopped_run_keeps_newest_checkpoint() {
    let current = task_row(2, TaskState::Placed(worker_id()));
    let newest = |checkpoint: Option<&str>| {
        let run = TaskRunStatus::Stopped(checkpoint.map(Into::into));
        match decide_run(Some(&current), &worker_id(), run_id(2), &run, 3) {
            RunChoice::Change(next) => next.checkpoint,
            other => panic!("expected a change: {other:?}"),
        }
    };
    assert_eq!(newest(Some("new")).as_deref(), Some("new"));
    assert_eq!(newest(None).as_deref(), Some("old"));
}

#[test]
fn task_fails_after_max_attempts() {
    let mut current = task_row(2, TaskState::Placed(worker_id()));
    let failed = TaskRunStatus::Failed("exit 1".into());
    for failures in 1..=3 {
        let RunChoice::Change(next) =
            decide_run(Some(&current), &worker_id(), run_id(2), &failed, 3)
        else {
            panic!("expected a change");
        };
        assert_eq!(next.failures, failures);
        let has_failed = matches!(next.state, TaskState::Failed(_));
        assert_eq!(has_failed, failures == 3);
        current = TaskRow {
            state: TaskState::Placed(worker_id()),
            ..next
        };
    }
}

fn ten_second_term() -> OwnerTerm {
    let grace = Duration::from_secs(10);
    let (shard, epoch, version) = (ShardId(0), ShardEpoch(1), RowVersion(1));
    OwnerTerm::new(shard, epoch, version, grace, time_at(100), time_at(101))
}

fn time_at(seconds: u64) -> TimePoint {
    TimePoint::from_millis(seconds * 1_000)
}

#[test]
fn term_expires_after_grace_unless_confirmed() {
    let term = ten_second_term();
    assert!(term.is_active(time_at(109)));
    term.confirm(time_at(108));
    assert!(term.is_active(time_at(117)));
    term.confirm(time_at(105));
    assert!(
        term.is_active(time_at(117)),
        "an older confirmation does not shorten the term"
    );
    assert!(!term.is_active(time_at(118)));
    let unconfirmed = ten_second_term();
    assert!(!unconfirmed.is_active(time_at(110)));
    let ended = ten_second_term();
    ended.end();
    assert!(!ended.is_active(time_at(109)));
}

#[test]
fn expired_term_is_not_revived() {
    let term = ten_second_term();
    // This answer ends the main loop of the shard. A later confirmation must not revive the term,
    // because the shard would then have an owner but no loop.
    assert!(!term.is_active(time_at(110)));
    term.confirm(time_at(111));
    assert!(!term.is_active(time_at(112)));
}

proptest! {
    #[test]
    fn grants_never_exceed_quota(
        quota in (0_u32..20_000, 0_u32..20_000),
        requests in prop::collection::vec((0_u16..6, 0_u32..15_000, 0_u32..15_000), 1..60),
    ) {
        let quota = ResourceVector::new(quota.0, quota.1, 0);
        let mut row = QuotaRow::default();
        for (shard, cpu, memory) in requests {
            row.adjust(ShardId(shard), ResourceVector::new(cpu, memory, 0), quota);
            prop_assert!(row.total().fits_in(quota));
        }
    }

    #[test]
    fn split_covers_each_task_once_in_capable_shards(
        tasks in 1_u32..500,
        cpu in 1_u32..20_000,
        workers in prop::collection::vec((0_u16..5, 1_000_u32..16_000), 1..20),
        seed in any::<u64>(),
    ) {
        let size = ResourceVector::new(cpu, 10, 0);
        let shapes: Vec<WorkerShape> = workers
            .iter()
            .map(|(shard, cpu)| WorkerShape {
                shard: ShardId(*shard),
                capacity: ResourceVector::new(*cpu, 1_000, 0),
            })
            .collect();
        let can_run = |shard: ShardId| {
            shapes.iter().any(|shape| shape.shard == shard && size.fits_in(shape.capacity))
        };
        match split_job(tasks, size, &shapes, &mut Rng::with_seed(seed)) {
            Ok(parts) => {
                let mut next = 0;
                for part in parts {
                    prop_assert_eq!(part.first, next);
                    prop_assert!(part.count > 0 && can_run(part.shard));
                    next += part.count;
                }
                prop_assert_eq!(next, tasks);
            }
            Err(_) => prop_assert!(!shapes.iter().any(|shape| size.fits_in(shape.capacity))),
        }
    }
}
