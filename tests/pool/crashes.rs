//! Tasks that take their workers with them.
//!
//! On a day with a few such tasks among some hundred, each was started again and again: its worker
//! ended 10 ms after the start and was back 3 s later, the owner took the run as lost, and ordered the
//! next one within 3 ms of hearing it ("worker is gone" at 24.715 s, "start ordered" run 6 at 24.718 s;
//! 27.927 s, run 7 at 27.930 s; 271 workers started within that day). A run that no worker lists as
//! ended was not an end: nothing counted it, so that nothing bounded its repeats, and with each one all
//! that ran beside it was lost as well.

use crate::site::{Site, job, name, run};
use compio::time::sleep;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// Three workers may end before it must be known, and two more starts may follow.
const MAX_STARTS: usize = 5;
/// A state that has not come after this time will not come.
const JOB_TIMEOUT: Duration = Duration::from_secs(90);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A job of which the first task ends every worker that starts it.
fn crashing_job(count: u32, crash_ms: u64) -> Value {
    let mut body = job(1, count, 200);
    let work =
        json!({ "ms": 200 + crash_ms, "cpu": 1000, "mem": 100, "crash": 0, "crash_ms": crash_ms });
    body["spec"] = json!(work.to_string());
    body
}

/// Plays on until the job has failed; its task must not be started too often by then.
async fn wait_until_failed(
    site: &mut Site,
    job_name: &str,
    restart_workers: fn(&mut Site),
    mut on_poll: impl FnMut(&mut Site, usize),
) {
    let task = format!("{job_name}.0.0.0");
    let began = Instant::now();
    loop {
        restart_workers(site);
        let starts = site.ordered_start_count(&task);
        assert!(starts <= MAX_STARTS, "{task} was started {starts} times");
        on_poll(site, starts);
        if site.state(job_name).await.as_deref() == Some("failed") {
            return;
        }
        assert!(began.elapsed() < JOB_TIMEOUT, "{job_name} is not given up");
        sleep(POLL_INTERVAL).await;
    }
}

#[test]
fn a_task_that_crashes_its_workers_fails_and_other_jobs_complete() {
    run(async {
        let mut site = Site::start("crashes", 1, 4).await;
        site.submit(&name(1), &crashing_job(3, 10)).await;
        site.submit(&name(2), &job(2, 6, 300)).await;
        wait_until_failed(&mut site, &name(1), Site::replace_ended_workers, |_, _| {}).await;
        site.replace_ended_workers();
        site.wait_state(&name(2), "completed").await;
        site.audit().await;
    });
}

#[test]
fn a_task_that_crashes_its_workers_late_fails() {
    run(async {
        let mut site = Site::start("crashes-late", 1, 3).await;
        site.submit(&name(1), &crashing_job(1, 900)).await;
        wait_until_failed(&mut site, &name(1), Site::replace_ended_workers, |_, _| {}).await;
        site.audit().await;
    });
}

#[test]
fn a_new_owner_knows_which_task_crashed_its_workers() {
    run(async {
        let mut site = Site::start("crashes-owner", 2, 4).await;
        site.make_first_front_owner(&name(9)).await;
        site.submit(&name(1), &crashing_job(1, 10)).await;
        let mut owner = Some(0);
        wait_until_failed(
            &mut site,
            &name(1),
            Site::replace_ended_workers,
            |site, starts| {
                if starts >= 2
                    && let Some(owner) = owner.take()
                {
                    site.kill_front(owner);
                    site.start_front(owner);
                }
            },
        )
        .await;
        site.audit().await;
    });
}

/// A run that its worker did not outlive is listed by no boot.
#[test]
fn a_task_that_crashes_workers_which_restart_under_their_ids_fails() {
    run(async {
        let mut site = Site::start("crashes-same-id", 1, 4).await;
        site.submit(&name(1), &crashing_job(3, 10)).await;
        site.submit(&name(2), &job(2, 6, 300)).await;
        wait_until_failed(
            &mut site,
            &name(1),
            Site::restart_crashed_workers,
            |_, _| {},
        )
        .await;
        site.restart_crashed_workers();
        site.wait_state(&name(2), "completed").await;
        site.audit().await;
    });
}
