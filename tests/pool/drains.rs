//! Failure domains that the operator drains: nothing starts there until they are undrained.

use crate::site::{Site, job, name, run, wait_for};
use serde_json::{Value, json};

/// Number of tasks of a step that fills two workers, so that a job of it uses both workers of a site of two VMs.
const TASKS_FOR_TWO_WORKERS: u32 = 8;

/// Submits jobs one after the other until one starts nothing in the drained domain; returns the next job number.
async fn run_jobs_until_domain_unused(site: &Site, domain: &str, first: u64) -> u64 {
    let next = std::cell::Cell::new(first);
    wait_for("a job without starts in the drained domain", || async {
        let n = next.replace(next.get() + 1);
        site.submit(&name(n), &job(1, TASKS_FOR_TWO_WORKERS, 50))
            .await;
        site.wait_state(&name(n), "completed").await;
        (site.start_count_in(domain, &name(n)).await == 0).then_some(())
    })
    .await;
    next.get()
}

/// Submits jobs one after the other until one starts tasks in the domain too; returns the next job number.
async fn run_jobs_until_domain_used(site: &Site, domain: &str, first: u64) -> u64 {
    let next = std::cell::Cell::new(first);
    wait_for("a job to use the domain again", || async {
        let n = next.replace(next.get() + 1);
        site.submit(&name(n), &job(1, TASKS_FOR_TWO_WORKERS, 50))
            .await;
        site.wait_state(&name(n), "completed").await;
        (site.start_count_in(domain, &name(n)).await > 0).then_some(())
    })
    .await;
    next.get()
}

/// Runs four more jobs, none of which may start anything in the domain; returns the next job number.
async fn run_jobs_outside(site: &Site, domain: &str, first: u64) -> u64 {
    for n in first..first + 4 {
        site.submit(&name(n), &job(1, TASKS_FOR_TWO_WORKERS, 50))
            .await;
        site.wait_state(&name(n), "completed").await;
        let starts = site.start_count_in(domain, &name(n)).await;
        assert_eq!(starts, 0, "job {n} started in a drained domain");
    }
    first + 4
}

#[test]
fn nothing_starts_in_a_drained_domain_until_it_is_undrained() {
    run(async {
        let mut site = Site::start_across_domains("drain", 1, 2, 2).await;
        let mut n = run_jobs_until_domain_used(&site, "b", 1).await;
        for _ in 0..2 {
            site.drain("b").await;
            n = run_jobs_until_domain_unused(&site, "b", n).await;
            n = run_jobs_outside(&site, "b", n).await;
            site.undrain("b").await;
            n = run_jobs_until_domain_used(&site, "b", n).await;
        }
        site.audit().await;
    });
}

/// The owner is killed right after the drain: the next owner must read the drain before it orders a start.
#[test]
fn a_new_owner_starts_nothing_in_a_drained_domain() {
    run(async {
        let mut site = Site::start_across_domains("drain-owner", 2, 4, 2).await;
        site.make_first_front_owner(&name(1)).await;
        // A chain of steps, so that starts are due at all times.
        site.submit(&name(2), &job(12, TASKS_FOR_TWO_WORKERS, 100))
            .await;
        site.wait_running(&name(2)).await;
        site.drain("b").await;
        site.kill_front(0);
        site.wait_state(&name(2), "completed").await;
        let next = run_jobs_until_domain_unused(&site, "b", 3).await;
        site.start_front(0);
        run_jobs_outside(&site, "b", next).await;
        site.audit().await;
    });
}

/// The owner cannot read the drain because it is cut off from the store; the other front takes over.
#[test]
fn an_owner_cut_off_from_the_store_starts_nothing_in_a_drained_domain_beyond_the_bound() {
    run(async {
        let mut site = Site::start_across_domains("drain-cut", 2, 4, 2).await;
        site.make_first_front_owner(&name(1)).await;
        site.submit(&name(2), &job(60, TASKS_FOR_TWO_WORKERS, 100))
            .await;
        site.wait_running(&name(2)).await;
        site.store_proxies[0].cut();
        site.drain("b").await;
        site.wait_state(&name(2), "completed").await;
        let next = run_jobs_until_domain_unused(&site, "b", 3).await;
        site.store_proxies[0].restore();
        run_jobs_outside(&site, "b", next).await;
        site.audit().await;
    });
}

/// No front can read the drains: all starts stop before the bound, and resume once the drains are read again.
#[test]
fn nothing_starts_while_the_drains_cannot_be_read() {
    run(async {
        let mut site = Site::start_across_domains("drain-deaf", 1, 2, 2).await;
        site.submit(&name(1), &job(90, TASKS_FOR_TWO_WORKERS, 100))
            .await;
        site.wait_running(&name(1)).await;
        site.store_proxies[0].cut();
        site.drain("b").await;
        let waiting_line = "\"waits\":true,";
        site.wait_log("front-0", waiting_line).await;
        site.store_proxies[0].restore();
        site.wait_log("front-0", "\"waits\":false,").await;
        site.wait_state(&name(1), "completed").await;
        run_jobs_outside(&site, "b", 2).await;
        site.audit().await;
    });
}

/// The domain is undrained while the owner is cut off, and the store drops the history that contains the change.
#[test]
fn an_undrain_that_the_owner_missed_takes_effect_after_the_outage() {
    run(async {
        let mut site = Site::start_across_domains("drain-forgotten", 1, 2, 2).await;
        site.drain("b").await;
        let next = run_jobs_until_domain_unused(&site, "b", 1).await;
        site.store_proxies[0].cut();
        site.undrain("b").await;
        site.set_store_faults(json!({ "forget": true })).await;
        site.store_proxies[0].restore();
        run_jobs_until_domain_used(&site, "b", next).await;
        site.audit().await;
    });
}

/// A job of four long-running tasks, at most two on one worker while other workers have capacity.
fn long_running_job() -> Value {
    let spec = json!({ "ms": 600_000, "cpu": 500, "mem": 100 }).to_string();
    let step =
        json!({ "count": 4, "cpu": 500, "memMb": 100, "longRunning": true, "antiAffinity": 2 });
    json!({ "spec": spec, "phases": [step] })
}

/// A drain leaves long-running tasks running. When their worker is killed, they restart in another domain.
#[test]
fn long_running_tasks_stay_in_a_drained_domain_until_they_end() {
    run(async {
        let mut site = Site::start_across_domains("drain-lasting", 1, 3, 3).await;
        site.submit(&name(1), &long_running_job()).await;
        let fully_used = wait_for("four running tasks, two on each of two workers", || async {
            let mut fully_used_vms = Vec::new();
            for (number, domain) in ["a", "b", "c"].into_iter().enumerate() {
                let starts = site.start_count_in(domain, &name(1)).await;
                fully_used_vms.extend((starts == 2).then_some((number, domain)));
            }
            (fully_used_vms.len() == 2).then(|| fully_used_vms[0])
        })
        .await;
        let (vm, domain) = fully_used;
        site.drain(domain).await;
        let next = run_jobs_until_domain_unused(&site, domain, 2).await;
        run_jobs_outside(&site, domain, next).await;
        assert_eq!(
            site.start_count(&name(1)).await,
            4,
            "the drain must not restart a task"
        );
        site.kill_worker(vm).await;
        site.start_worker(vm);
        wait_for("the tasks of the lost worker to run elsewhere", || async {
            (site.start_count(&name(1)).await == 4).then_some(())
        })
        .await;
        assert_eq!(
            site.start_count_in(domain, &name(1)).await,
            0,
            "the new worker in the drained domain must get no task"
        );
        site.audit().await;
    });
}

/// A worker may report no failure domain, or a wrong one: the domain of its VM counts as well.
macro_rules! reported_domain_tests {
    ($($name:ident: $test:literal, $reported:literal,)*) => {
        $(
            #[test]
            fn $name() {
                run(async {
                    let mut site = Site::start_across_domains($test, 1, 2, 2).await;
                    site.kill_worker(1).await;
                    site.start_worker_reporting_domain(1, $reported);
                    let next = run_jobs_until_domain_used(&site, "b", 1).await;
                    site.drain("b").await;
                    let next = run_jobs_until_domain_unused(&site, "b", next).await;
                    run_jobs_outside(&site, "b", next).await;
                    site.audit().await;
                });
            }
        )*
    };
}

reported_domain_tests! {
    a_worker_that_reports_no_domain_is_drained_with_its_vm: "drain-nameless", "",
    a_worker_that_reports_another_domain_is_drained_with_its_vm: "drain-stranger", "elsewhere",
}
