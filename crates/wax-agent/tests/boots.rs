//! Registry of a worker's boots: which check-ins lead to a verification, and which are ignored.

use wax_agent::{BootRegistry, BootReport, CandidateAction, CheckInAction};
use wax_batch::{BootId, WorkerState, WorkerView};

/// Boot whose check-ins state no start time.
fn boot(id: &str) -> BootId {
    id.into()
}

fn boot_started_at(started_ms: u64) -> BootId {
    BootId::new("a", Some(started_ms))
}

fn report_of(boot: BootId, sequence: u64) -> BootReport {
    BootReport {
        view: WorkerView {
            boot,
            ..Default::default()
        },
        sequence,
    }
}

fn report(id: &str, sequence: u64) -> BootReport {
    report_of(boot(id), sequence)
}

/// Guards against a second registration of an active boot: all its runs would count as lost, and
/// their tasks would run twice.
#[test]
fn check_in_during_verification_updates_the_registered_boot() {
    let mut registry = BootRegistry::default();
    assert_eq!(
        registry.check_in(report("a", 1), None),
        CheckInAction::Verify
    );
    assert_eq!(
        registry.take_candidate(None),
        CandidateAction::Verify(report("a", 1))
    );
    assert_eq!(
        registry.check_in(report("a", 2), None),
        CheckInAction::Verify
    );
    assert_eq!(
        registry.take_candidate(Some(&boot("a"))),
        CandidateAction::Update(report("a", 2))
    );
    assert_eq!(
        registry.take_candidate(Some(&boot("a"))),
        CandidateAction::None
    );
}

#[test]
fn pending_check_in_still_reports_that_the_worker_drains() {
    let mut registry = BootRegistry::default();
    let mut leaving = report("a", 2);
    leaving.view.state = WorkerState::Draining;
    assert_eq!(
        registry.check_in(leaving.clone(), None),
        CheckInAction::Verify
    );
    assert_eq!(
        registry.take_candidate(Some(&boot("a"))),
        CandidateAction::Update(leaving)
    );
}

#[test]
fn new_boot_is_verified_while_another_is_active() {
    let mut registry = BootRegistry::default();
    assert_eq!(
        registry.check_in(report("b", 1), Some(&boot("a"))),
        CheckInAction::Verify
    );
    assert_eq!(
        registry.take_candidate(Some(&boot("a"))),
        CandidateAction::Verify(report("b", 1))
    );
}

#[test]
fn boot_that_ended_before_verification_is_not_verified() {
    let mut registry = BootRegistry::default();
    assert_eq!(
        registry.check_in(report("a", 1), None),
        CheckInAction::Verify
    );
    registry.note_ended(&boot("a"));
    assert_eq!(registry.take_candidate(None), CandidateAction::None);
    assert_eq!(
        registry.check_in(report("a", 2), None),
        CheckInAction::Ignore
    );
    assert!(registry.has_ended(&boot("a")));
}

/// Check-ins of the new boot are numbered from 1 again, so that they look older than those of the
/// boot before.
#[test]
fn restart_under_the_same_id_is_a_new_boot() {
    let mut registry = BootRegistry::default();
    let active = boot_started_at(1_000);
    let restart = report_of(boot_started_at(2_000), 1);
    assert_eq!(
        registry.check_in(restart.clone(), Some(&active)),
        CheckInAction::Verify
    );
    assert_eq!(
        registry.take_candidate(Some(&active)),
        CandidateAction::Verify(restart)
    );
}

/// The wall clock may have stepped back between the two starts.
#[test]
fn restart_with_an_earlier_start_time_is_verified() {
    let mut registry = BootRegistry::default();
    let action = registry.check_in(
        report_of(boot_started_at(500), 1),
        Some(&boot_started_at(1_000)),
    );
    assert_eq!(action, CheckInAction::Verify);
}

#[test]
fn late_check_in_of_an_ended_boot_does_not_affect_the_next_boot() {
    let mut registry = BootRegistry::default();
    registry.note_ended(&boot_started_at(1_000));
    let late = report_of(boot_started_at(1_000), 90);
    let active = boot_started_at(2_000);
    assert_eq!(
        registry.check_in(late, Some(&active)),
        CheckInAction::Ignore
    );
    assert!(!registry.has_ended(&active));
    let update = report_of(active.clone(), 2);
    assert_eq!(
        registry.check_in(update.clone(), Some(&active)),
        CheckInAction::Update(update)
    );
}

#[test]
fn check_in_without_a_start_time_updates_the_active_boot() {
    let mut registry = BootRegistry::default();
    registry.note_ended(&boot_started_at(1_000));
    let update = report("a", 7);
    assert_eq!(
        registry.check_in(update.clone(), Some(&boot_started_at(2_000))),
        CheckInAction::Update(update.clone())
    );
    assert_eq!(registry.check_in(update, None), CheckInAction::Verify);
}

#[test]
fn next_boot_under_an_id_needs_a_higher_token() {
    let (before, next) = (boot_started_at(1_000), boot_started_at(2_000));
    let mut registry = BootRegistry::default();
    registry.note_token(&before, 7);
    assert!(registry.needs_higher_token(&next, 7));
    assert!(
        !registry.needs_higher_token(&next, 8),
        "the token is higher than that of the earlier orders"
    );
    assert!(
        !registry.needs_higher_token(&before, 7),
        "the same boot is verified again"
    );
    assert!(
        !registry.needs_higher_token(&boot("b"), 7),
        "orders name the worker id, which is another one"
    );
}

#[test]
fn id_that_returns_after_another_id_needs_a_higher_token() {
    let mut registry = BootRegistry::default();
    registry.note_token(&boot_started_at(1_000), 7);
    registry.note_token(&boot("b"), 7);
    assert!(registry.needs_higher_token(&boot_started_at(2_000), 7));
}

#[test]
fn repeated_restarts_use_bounded_memory() {
    let mut registry = BootRegistry::default();
    for restart in 0..1_000 {
        registry.note_token(&boot_started_at(restart), restart);
        registry.note_ended(&boot_started_at(restart));
    }
    let known = (0..1_000).filter(|restart| registry.has_ended(&boot_started_at(*restart)));
    assert_eq!(known.count(), 256);
    let reported: Vec<&BootId> = registry.newest_ended().collect();
    assert_eq!(reported.len(), 8);
    assert_eq!(reported[0], &boot_started_at(999));
}
