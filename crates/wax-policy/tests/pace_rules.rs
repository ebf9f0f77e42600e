//! The margin kept for serving tasks may go to best-effort tasks only as far as their jobs are
//! late.

use wax_policy::PaceRules;

#[test]
fn max_tail_ratio_scales_with_the_share_of_late_jobs() {
    let rules = PaceRules::default();
    assert_eq!(rules.for_overload(0.0).max_tail_ratio, rules.max_tail_ratio);
    assert!((rules.for_overload(1.0).max_tail_ratio - rules.max_tail_ratio_overload).abs() < 1e-9);
    let middle = (rules.max_tail_ratio + rules.max_tail_ratio_overload) / 2.0;
    assert!((rules.for_overload(0.5).max_tail_ratio - middle).abs() < 1e-9);
}

#[test]
fn overload_share_is_clamped_to_0_and_1() {
    let rules = PaceRules::default();
    assert_eq!(
        rules.for_overload(-3.0).max_tail_ratio,
        rules.max_tail_ratio
    );
    assert!((rules.for_overload(7.0).max_tail_ratio - rules.max_tail_ratio_overload).abs() < 1e-9);
}
