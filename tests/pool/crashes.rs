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
const MOST_STARTS: usize = 5;
/// A state that has not come after this time will not come.
const PATIENCE: Duration = Duration::from_secs(90);
const LOOK_PAUSE: Duration = Duration::from_millis(20);

/// A job of which the first task ends every worker that starts it.
fn crashing_job(count: u32, crash_ms: u64) -> Value {
    let mut body = job(1, count, 200);
    let work =
        json!({ "ms": 200 + crash_ms, "cpu": 1000, "mem": 100, "crash": 0, "crash_ms": crash_ms });
    body["spec"] = json!(work.to_string());
    body
}

/// Plays on until the job has failed; its task must not be started too often by then.
async fn wait_given_up(
    site: &mut Site,
    job_name: &str,
    revive: fn(&mut Site),
    mut at_start: impl FnMut(&mut Site, usize),
) {
    let task = format!("{job_name}.0.0.0");
    let begun = Instant::now();
    loop {
        revive(site);
        let starts = site.starts_ordered(&task);
        assert!(starts <= MOST_STARTS, "{task} was started {starts} times");
        at_start(site, starts);
        if site.state(job_name).await.as_deref() == Some("failed") {
            return;
        }
        assert!(begun.elapsed() < PATIENCE, "{job_name} is not given up");
        sleep(LOOK_PAUSE).await;
    }
}

#[test]
fn a_task_that_ends_its_workers_is_given_up_and_others_complete() {
    run(async {
        let mut site = Site::start("crashes", 1, 4).await;
        site.submit(&name(1), &crashing_job(3, 10)).await;
        site.submit(&name(2), &job(2, 6, 300)).await;
        wait_given_up(&mut site, &name(1), Site::revive_workers, |_, _| {}).await;
        site.revive_workers();
        site.wait_state(&name(2), "completed").await;
        site.audit().await;
    });
}

#[test]
fn a_task_that_ends_its_workers_late_is_given_up() {
    run(async {
        let mut site = Site::start("crashes-late", 1, 3).await;
        site.submit(&name(1), &crashing_job(1, 900)).await;
        wait_given_up(&mut site, &name(1), Site::revive_workers, |_, _| {}).await;
        site.audit().await;
    });
}

#[test]
fn an_owner_that_takes_over_knows_which_task_ended_its_workers() {
    run(async {
        let mut site = Site::start("crashes-owner", 2, 4).await;
        site.own_by_first(&name(9)).await;
        site.submit(&name(1), &crashing_job(1, 10)).await;
        let mut owner = Some(0);
        wait_given_up(&mut site, &name(1), Site::revive_workers, |site, starts| {
            if starts >= 2
                && let Some(owner) = owner.take()
            {
                site.kill_front(owner);
                site.start_front(owner);
            }
        })
        .await;
        site.audit().await;
    });
}

/// A run that its worker did not outlive is listed by no boot.
#[test]
fn a_task_that_ends_workers_which_restart_under_their_ids_is_given_up() {
    run(async {
        let mut site = Site::start("crashes-same-id", 1, 4).await;
        site.submit(&name(1), &crashing_job(3, 10)).await;
        site.submit(&name(2), &job(2, 6, 300)).await;
        wait_given_up(
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
