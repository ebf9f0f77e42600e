//! The margin of serving tasks goes to what fills only where that waits in vain.

use wax_policy::PaceRules;

#[test]
fn the_aim_moves_with_the_share_of_late_jobs() {
    let rules = PaceRules::default();
    assert_eq!(rules.for_overload(0.0).max_tail_share, rules.max_tail_share);
    assert!((rules.for_overload(1.0).max_tail_share - rules.max_tail_share_overload).abs() < 1e-9);
    let middle = (rules.max_tail_share + rules.max_tail_share_overload) / 2.0;
    assert!((rules.for_overload(0.5).max_tail_share - middle).abs() < 1e-9);
}

#[test]
fn a_share_that_is_no_share_changes_nothing_beyond_the_bounds() {
    let rules = PaceRules::default();
    assert_eq!(
        rules.for_overload(-3.0).max_tail_share,
        rules.max_tail_share
    );
    assert!((rules.for_overload(7.0).max_tail_share - rules.max_tail_share_overload).abs() < 1e-9);
}
