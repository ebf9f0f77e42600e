//! Which boot of a worker is driven.

use wax_agent::{BootReport, BootWatch, CandidateStep, CheckInStep};
use wax_batch::{BootId, WorkerState, WorkerView};

/// A boot that doesn't tell its start time.
fn boot(id: &str) -> BootId {
    id.into()
}

fn started(started_ms: u64) -> BootId {
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

/// A second registration counts all that runs there as lost: a task then ran twice.
#[test]
fn a_boot_that_checks_in_while_it_is_verified_is_registered_once() {
    let mut watch = BootWatch::default();
    assert_eq!(watch.check_in(report("a", 1), None), CheckInStep::Verify);
    assert_eq!(
        watch.take_candidate(None),
        CandidateStep::Verify(report("a", 1))
    );
    assert_eq!(watch.check_in(report("a", 2), None), CheckInStep::Verify);
    assert_eq!(
        watch.take_candidate(Some(&boot("a"))),
        CandidateStep::Update(report("a", 2))
    );
    assert_eq!(watch.take_candidate(Some(&boot("a"))), CandidateStep::None);
}

#[test]
fn a_check_in_that_waited_still_tells_that_the_worker_leaves() {
    let mut watch = BootWatch::default();
    let mut leaving = report("a", 2);
    leaving.view.state = WorkerState::Draining;
    assert_eq!(watch.check_in(leaving.clone(), None), CheckInStep::Verify);
    assert_eq!(
        watch.take_candidate(Some(&boot("a"))),
        CandidateStep::Update(leaving)
    );
}

#[test]
fn a_new_boot_is_verified_beside_the_one_that_is_driven() {
    let mut watch = BootWatch::default();
    assert_eq!(
        watch.check_in(report("b", 1), Some(&boot("a"))),
        CheckInStep::Verify
    );
    assert_eq!(
        watch.take_candidate(Some(&boot("a"))),
        CandidateStep::Verify(report("b", 1))
    );
}

#[test]
fn a_boot_that_ended_while_it_waited_is_not_verified() {
    let mut watch = BootWatch::default();
    assert_eq!(watch.check_in(report("a", 1), None), CheckInStep::Verify);
    watch.bury(&boot("a"));
    assert_eq!(watch.take_candidate(None), CandidateStep::None);
    assert_eq!(watch.check_in(report("a", 2), None), CheckInStep::Dead);
    assert!(watch.is_dead(&boot("a")));
}

/// Check-ins are numbered from 1 again.
#[test]
fn a_restart_under_the_id_is_no_news_of_the_boot_before() {
    let mut watch = BootWatch::default();
    let driven = started(1_000);
    let restart = report_of(started(2_000), 1);
    assert_eq!(
        watch.check_in(restart.clone(), Some(&driven)),
        CheckInStep::Verify
    );
    assert_eq!(
        watch.take_candidate(Some(&driven)),
        CandidateStep::Verify(restart)
    );
}

/// The time of day may have stepped back between the two starts.
#[test]
fn a_restart_with_an_earlier_start_time_is_verified() {
    let mut watch = BootWatch::default();
    let step = watch.check_in(report_of(started(500), 1), Some(&started(1_000)));
    assert_eq!(step, CheckInStep::Verify);
}

#[test]
fn a_late_check_in_of_a_dead_boot_leaves_its_next_boot_alive() {
    let mut watch = BootWatch::default();
    watch.bury(&started(1_000));
    let late = report_of(started(1_000), 90);
    let driven = started(2_000);
    assert_eq!(watch.check_in(late, Some(&driven)), CheckInStep::Dead);
    assert!(!watch.is_dead(&driven));
    let news = report_of(driven.clone(), 2);
    assert_eq!(
        watch.check_in(news.clone(), Some(&driven)),
        CheckInStep::Update(news)
    );
}

#[test]
fn a_check_in_without_a_start_time_is_news_of_the_boot_that_is_driven() {
    let mut watch = BootWatch::default();
    watch.bury(&started(1_000));
    let news = report("a", 7);
    assert_eq!(
        watch.check_in(news.clone(), Some(&started(2_000))),
        CheckInStep::Update(news.clone())
    );
    assert_eq!(watch.check_in(news, None), CheckInStep::Verify);
}

#[test]
fn the_next_boot_under_an_id_needs_a_token_that_no_order_to_the_one_before_had() {
    let (before, next) = (started(1_000), started(2_000));
    let mut watch = BootWatch::default();
    watch.note_token(&before, 7);
    assert!(watch.needs_token(&next, 7));
    assert!(!watch.needs_token(&next, 8), "the token has risen");
    assert!(!watch.needs_token(&before, 7), "it is verified anew");
    assert!(!watch.needs_token(&boot("b"), 7), "its orders name its id");
}

#[test]
fn an_id_that_is_back_after_another_one_needs_a_higher_token_too() {
    let mut watch = BootWatch::default();
    watch.note_token(&started(1_000), 7);
    watch.note_token(&boot("b"), 7);
    assert!(watch.needs_token(&started(2_000), 7));
}

#[test]
fn a_worker_that_restarts_all_the_time_fills_no_memory() {
    let mut watch = BootWatch::default();
    for restart in 0..1_000 {
        watch.note_token(&started(restart), restart);
        watch.bury(&started(restart));
    }
    let known = (0..1_000).filter(|restart| watch.is_dead(&started(*restart)));
    assert_eq!(known.count(), 256);
    let told: Vec<&BootId> = watch.newest_dead().collect();
    assert_eq!(told.len(), 8);
    assert_eq!(told[0], &started(999));
}
