//! Tasks that crash their workers.
//!
//! These tests guard against endless restarts of such a task. A run whose worker crashed is reported as ended
//! by no worker. When only reported ends counted as attempts, the owner ordered the next run within 3 ms of
//! the crash, the worker crashed 10 ms after each start and was back 3 s later, and each crash also lost
//! all other runs on that worker: a few such tasks among some hundred caused 271 starts of workers.

use crate::site::{Site, job, name, run};
use compio::time::sleep;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// Limit of starts: the owner may need three crashes to identify the task, and two more starts may follow.
const MAX_STARTS: usize = 5;
/// Time within which the job must have failed.
const JOB_TIMEOUT: Duration = Duration::from_secs(90);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A job whose first task crashes every worker that starts it, `crash_ms` after the start.
fn crashing_job(count: u32, crash_ms: u64) -> Value {
    let mut body = job(1, count, 200);
    let work =
        json!({ "ms": 200 + crash_ms, "cpu": 1000, "mem": 100, "crash": 0, "crash_ms": crash_ms });
    body["spec"] = json!(work.to_string());
    body
}

/// Restarts workers until the job has failed; panics if its first task is started more than [`MAX_STARTS`] times.
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
        assert!(
            began.elapsed() < JOB_TIMEOUT,
            "{job_name} has not failed in time"
        );
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

/// The crashed worker restarts under the same id, and its new boot does not list the crashed run.
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
