//! Which boot of a worker is driven.

use wax_agent::{BootReport, BootWatch, CandidateStep, CheckInStep};
use wax_batch::{WorkerState, WorkerView};

fn report(id: &str, sequence: u64) -> BootReport {
    BootReport {
        view: WorkerView {
            id: id.into(),
            ..Default::default()
        },
        sequence,
    }
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
        watch.take_candidate(Some("a")),
        CandidateStep::Update(report("a", 2))
    );
    assert_eq!(watch.take_candidate(Some("a")), CandidateStep::None);
}

#[test]
fn a_check_in_that_waited_still_tells_that_the_worker_leaves() {
    let mut watch = BootWatch::default();
    let mut leaving = report("a", 2);
    leaving.view.state = WorkerState::Draining;
    assert_eq!(watch.check_in(leaving.clone(), None), CheckInStep::Verify);
    assert_eq!(
        watch.take_candidate(Some("a")),
        CandidateStep::Update(leaving)
    );
}

#[test]
fn a_new_boot_is_verified_beside_the_one_that_is_driven() {
    let mut watch = BootWatch::default();
    assert_eq!(
        watch.check_in(report("b", 1), Some("a")),
        CheckInStep::Verify
    );
    assert_eq!(
        watch.take_candidate(Some("a")),
        CandidateStep::Verify(report("b", 1))
    );
}

#[test]
fn a_boot_that_ended_while_it_waited_is_not_verified() {
    let mut watch = BootWatch::default();
    assert_eq!(watch.check_in(report("a", 1), None), CheckInStep::Verify);
    watch.bury("a");
    assert_eq!(watch.take_candidate(None), CandidateStep::None);
    assert_eq!(watch.check_in(report("a", 2), None), CheckInStep::Dead);
    assert!(watch.is_dead("a"));
}
