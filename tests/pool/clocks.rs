//! Fronts and owners whose wall clocks differ.

use crate::site::{Site, job, name, run};

const HOUR_MS: i64 = 3_600_000;
/// More than any job of these tests takes.
const MAX_AGE_MS: u64 = 90_000;

/// The front that accepts a job has a wall clock that differs by this from the owner's. Guards against jobs that the
/// owner takes for hours old, and so for too late to be worth a start before others.
async fn age_does_not_depend_on_the_wall_clock(test: &str, difference_ms: i64) {
    let site = Site::start(test, 1, 1).await;
    site.submit(&name(1), &job(1, 1, 50)).await;
    site.wait_state(&name(1), "completed").await;
    site.copy_job(&name(1), &name(2), difference_ms).await;
    site.wait_state(&name(2), "completed").await;
    let age_ms = site.logged_age_ms(&name(2)).await;
    assert!(age_ms < MAX_AGE_MS, "the owner found an age of {age_ms} ms");
    let first_ms = site.logged_age_ms(&name(1)).await;
    assert!(
        age_ms > first_ms,
        "the copy was accepted with the first job"
    );
}

macro_rules! clock_difference_tests {
    ($($name:ident: $difference_ms:expr;)*) => {
        $(
            #[test]
            fn $name() {
                run(age_does_not_depend_on_the_wall_clock(stringify!($name), $difference_ms));
            }
        )*
    };
}

clock_difference_tests! {
    a_job_accepted_by_a_front_whose_clock_is_behind_has_its_true_age: -HOUR_MS;
    a_job_accepted_by_a_front_whose_clock_is_ahead_has_its_true_age: HOUR_MS;
}
