//! Who owns a shard, what a report means, how a job is cut, how quotas are granted.

use fastrand::Rng;
use proptest::prelude::*;
use std::time::Duration;
use wax_platform::{TaskRunId, TaskRunStatus};
use wax_tasks::{
    OwnIdentity, OwnerTerm, QuotaRow, RunChoice, ShardChoice, ShardRow, TaskRow, TaskState,
    WorkerShape, decide_run, decide_shard, split_job,
};
use wax_types::{
    JobId, ProcessIncarnation, ResourceVector, RowVersion, ShardEpoch, ShardId, TaskEpoch, TaskId,
    TimePoint, WorkerId,
};

fn own(leaving: bool) -> OwnIdentity<'static> {
    OwnIdentity {
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
                let choice = decide_shard(row.as_ref(), own($leaving), $top, $alive);
                assert_eq!(choice, ShardChoice::$choice);
            }
        )*
    };
}

shard_cases! {
    an_unowned_shard_is_claimed_by_the_top: None, false, Some("me"), false => Claim;
    an_unowned_shard_is_left_to_the_top: None, false, Some("other"), false => Leave;
    a_live_owner_is_not_replaced: Some(owned_by("other", 2)), false, Some("me"), true => Leave;
    a_dead_owner_is_replaced_by_the_top: Some(owned_by("other", 2)), false, Some("me"), false => Claim;
    our_shard_is_kept: Some(owned_by("me", 1)), false, Some("me"), true => Keep;
    our_shard_is_handed_to_a_higher_member: Some(owned_by("me", 1)), false, Some("other"), true => Release;
    our_shard_is_given_away_when_we_leave: Some(owned_by("me", 1)), true, None, true => Release;
    an_earlier_run_of_ours_is_not_us: Some(owned_by("me", 9)), false, Some("me"), false => Claim;
}

fn row(epoch: u32, state: TaskState) -> TaskRow {
    TaskRow {
        epoch: TaskEpoch(epoch),
        state,
        failures: 0,
        failed_on: Vec::new(),
        checkpoint: Some("old".into()),
        evictions: 0,
    }
}

fn mark(epoch: u32) -> TaskRunId {
    TaskRunId {
        task: TaskId {
            job: JobId(1),
            index: 0,
        },
        epoch: TaskEpoch(epoch),
    }
}

fn here() -> WorkerId {
    "here".into()
}

#[test]
fn a_run_of_an_earlier_epoch_changes_nothing() {
    let current = row(2, TaskState::Placed(here()));
    let done = TaskRunStatus::Done("result".into());
    assert_eq!(
        decide_run(Some(&current), &here(), mark(1), &done, 3),
        RunChoice::Forget
    );
    let running = decide_run(Some(&current), &here(), mark(1), &TaskRunStatus::Running, 3);
    assert_eq!(running, RunChoice::Orphan);
}

#[test]
fn a_run_at_another_worker_changes_nothing() {
    let current = row(2, TaskState::Placed("elsewhere".into()));
    let done = TaskRunStatus::Done("result".into());
    assert_eq!(
        decide_run(Some(&current), &here(), mark(2), &done, 3),
        RunChoice::Forget
    );
}

#[test]
fn a_stopped_run_keeps_the_newest_checkpoint() {
    let current = row(2, TaskState::Placed(here()));
    let newest = |checkpoint: Option<&str>| {
        let run = TaskRunStatus::Stopped(checkpoint.map(Into::into));
        match decide_run(Some(&current), &here(), mark(2), &run, 3) {
            RunChoice::Change(next) => next.checkpoint,
            other => panic!("expected a change: {other:?}"),
        }
    };
    assert_eq!(newest(Some("new")).as_deref(), Some("new"));
    assert_eq!(newest(None).as_deref(), Some("old"));
}

#[test]
fn a_task_is_given_up_after_its_attempts() {
    let mut current = row(2, TaskState::Placed(here()));
    let failed = TaskRunStatus::Failed("exit 1".into());
    for failures in 1..=3 {
        let RunChoice::Change(next) = decide_run(Some(&current), &here(), mark(2), &failed, 3)
        else {
            panic!("expected a change");
        };
        assert_eq!(next.failures, failures);
        let given_up = matches!(next.state, TaskState::Failed(_));
        assert_eq!(given_up, failures == 3);
        current = TaskRow {
            state: TaskState::Placed(here()),
            ..next
        };
    }
}

fn ten_second_term() -> OwnerTerm {
    let grace = Duration::from_secs(10);
    let (shard, epoch, version) = (ShardId(0), ShardEpoch(1), RowVersion(1));
    OwnerTerm::new(shard, epoch, version, grace, at(100), at(101))
}

fn at(seconds: u64) -> TimePoint {
    TimePoint::from_millis(seconds * 1_000)
}

#[test]
fn a_term_ends_with_its_grace_unless_it_is_confirmed() {
    let term = ten_second_term();
    assert!(term.holds(at(109)));
    term.confirm(at(108));
    assert!(term.holds(at(117)));
    term.confirm(at(105));
    assert!(
        term.holds(at(117)),
        "an older confirmation shortens nothing"
    );
    assert!(!term.holds(at(118)));
    let unconfirmed = ten_second_term();
    assert!(!unconfirmed.holds(at(110)));
    let ended = ten_second_term();
    ended.end();
    assert!(!ended.holds(at(109)));
}

#[test]
fn a_term_that_was_seen_to_have_ended_is_not_revived() {
    let term = ten_second_term();
    // Whoever saw this has stopped acting: the shard's round is over.
    assert!(!term.holds(at(110)));
    term.confirm(at(111));
    assert!(!term.holds(at(112)));
}

proptest! {
    #[test]
    fn grants_never_exceed_the_quota(
        quota in (0_u32..20_000, 0_u32..20_000),
        asks in prop::collection::vec((0_u16..6, 0_u32..15_000, 0_u32..15_000), 1..60),
    ) {
        let quota = ResourceVector::new(quota.0, quota.1, 0);
        let mut row = QuotaRow::default();
        for (shard, cpu, memory) in asks {
            row.adjust(ShardId(shard), ResourceVector::new(cpu, memory, 0), quota);
            prop_assert!(row.total().fits_in(quota));
        }
    }

    #[test]
    fn a_split_covers_each_task_once_and_only_shards_that_can_run_it(
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
