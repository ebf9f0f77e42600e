//! How long callers can read the state of a job that has ended.

use crate::site::{Site, job, name, run, wait_for};
use http::Method;
use serde_json::json;
use std::time::{Duration, Instant};

/// `keep_ended_s` of the fronts, which is the users' `status_s`.
const RETENTION: Duration = Duration::from_secs(4);
const HOUR_MS: i64 = 3_600_000;

/// Waits until the fronts answer that the job does not exist; returns the time since `submitted`.
async fn wait_removed(site: &Site, job: &str, submitted: Instant) -> Duration {
    wait_for("the state to be removed", || async {
        let answer = site.request(0, Method::GET, job, Vec::new()).await.ok()?;
        (answer.status == 410).then_some(())
    })
    .await;
    submitted.elapsed()
}

/// The wall clock of the owner that stored the end differs by this from that of the next owner. Guards against a
/// retention time that is cut short, or lasts for as long as the difference, because of a step of the clock.
async fn state_is_kept_whatever_the_wall_clock(test: &str, difference_ms: i64) {
    let mut site = Site::start(test, 2, 1).await;
    site.set_retention(RETENTION).await;
    let submitted = Instant::now();
    site.submit(&name(1), &job(1, 2, 50)).await;
    site.wait_state(&name(1), "completed").await;
    site.kill_front(0);
    site.kill_front(1);
    site.shift_end_of_job(&name(1), difference_ms).await;
    for number in 0..2 {
        site.start_front(number);
        site.wait_ready(number).await;
    }
    let kept = wait_removed(&site, &name(1), submitted).await;
    assert!(kept >= RETENTION, "kept for {kept:?} only");
}

macro_rules! clock_difference_tests {
    ($($name:ident: $difference_ms:expr;)*) => {
        $(
            #[test]
            fn $name() {
                run(state_is_kept_whatever_the_wall_clock(stringify!($name), $difference_ms));
            }
        )*
    };
}

clock_difference_tests! {
    an_ended_job_is_kept_if_the_clock_of_its_owner_was_behind: -HOUR_MS;
    an_ended_job_is_removed_if_the_clock_of_its_owner_was_ahead: HOUR_MS;
}

/// Guards against a retention time that has passed when the end becomes visible to callers.
#[test]
fn an_end_that_is_stored_late_is_kept_from_then_on() {
    run(async {
        let mut site = Site::start("stored-late", 1, 1).await;
        site.set_retention(RETENTION).await;
        let begun = Instant::now();
        site.submit(&name(1), &job(1, 1, 300)).await;
        site.wait_running(&name(1)).await;
        site.set_store_faults(json!({ "down": true })).await;
        wait_for("the retention time after the end to pass", || async {
            (begun.elapsed() > 2 * RETENTION).then_some(())
        })
        .await;
        let stored_after = Instant::now();
        site.set_store_faults(json!({})).await;
        site.wait_state(&name(1), "completed").await;
        let kept = wait_removed(&site, &name(1), stored_after).await;
        assert!(kept >= RETENTION, "kept for {kept:?} only");
    });
}

/// Guards against ended jobs that stay for ever because each owner counts their ages from its takeover.
#[test]
fn an_ended_job_is_removed_although_no_owner_lasts_for_its_retention_time() {
    run(async {
        let mut site = Site::start("owners-change", 1, 1).await;
        site.set_retention(RETENTION).await;
        let submitted = Instant::now();
        site.submit(&name(1), &job(1, 2, 50)).await;
        site.wait_state(&name(1), "completed").await;
        for terms in 1.. {
            site.kill_front(0);
            site.start_front(0);
            site.wait_ready(0).await;
            let began = Instant::now();
            wait_for("the end of the term", || async {
                (began.elapsed() > RETENTION / 2).then_some(())
            })
            .await;
            let answer = site.request(0, Method::GET, &name(1), Vec::new()).await;
            if answer.expect("the front must answer").status == 410 {
                break;
            }
            assert!(terms < 20, "kept for {:?}", submitted.elapsed());
        }
        let kept = submitted.elapsed();
        assert!(kept >= RETENTION, "kept for {kept:?} only");
    });
}
