//! The margin of serving tasks goes to what fills only where that waits in vain.

use wax_policy::PaceRules;

#[test]
fn the_aim_moves_with_the_share_of_late_jobs() {
    let rules = PaceRules::default();
    assert_eq!(rules.strained(0.0).aim, rules.aim);
    assert!((rules.strained(1.0).aim - rules.strained_aim).abs() < 1e-9);
    let middle = (rules.aim + rules.strained_aim) / 2.0;
    assert!((rules.strained(0.5).aim - middle).abs() < 1e-9);
}

#[test]
fn a_share_that_is_no_share_changes_nothing_beyond_the_bounds() {
    let rules = PaceRules::default();
    assert_eq!(rules.strained(-3.0).aim, rules.aim);
    assert!((rules.strained(7.0).aim - rules.strained_aim).abs() < 1e-9);
}
