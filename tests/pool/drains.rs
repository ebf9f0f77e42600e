//! Failure domains that the operator drains: nothing starts there until they are taken back.

use crate::site::{Site, job, name, run, wait_for};
use serde_json::{Value, json};

/// Jobs as wide as two workers: each takes all machines that there are.
const TASKS_FOR_ALL_VMS: u32 = 8;

/// Submits jobs one after the other until one has run without the drained domain; returns the next number.
async fn run_jobs_until_domain_unused(site: &Site, domain: &str, first: u64) -> u64 {
    let next = std::cell::Cell::new(first);
    wait_for("a job to keep out of the drained domain", || async {
        let n = next.replace(next.get() + 1);
        site.submit(&name(n), &job(1, TASKS_FOR_ALL_VMS, 50)).await;
        site.wait_state(&name(n), "completed").await;
        (site.start_count_in(domain, &name(n)).await == 0).then_some(())
    })
    .await;
    next.get()
}

/// Submits jobs one after the other until one has run in the domain too; returns the next number.
async fn run_jobs_until_domain_used(site: &Site, domain: &str, first: u64) -> u64 {
    let next = std::cell::Cell::new(first);
    wait_for("a job to use the domain again", || async {
        let n = next.replace(next.get() + 1);
        site.submit(&name(n), &job(1, TASKS_FOR_ALL_VMS, 50)).await;
        site.wait_state(&name(n), "completed").await;
        (site.start_count_in(domain, &name(n)).await > 0).then_some(())
    })
    .await;
    next.get()
}

/// Runs some more jobs, none of which may start anything in the domain.
async fn run_jobs_outside(site: &Site, domain: &str, first: u64) -> u64 {
    for n in first..first + 4 {
        site.submit(&name(n), &job(1, TASKS_FOR_ALL_VMS, 50)).await;
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

/// The owner dies right after the drain: the next one knows of it before its first start.
#[test]
fn a_new_owner_starts_nothing_in_a_drained_domain() {
    run(async {
        let mut site = Site::start_across_domains("drain-owner", 2, 4, 2).await;
        site.make_first_front_owner(&name(1)).await;
        // A chain of steps, so that there is something to start at every moment.
        site.submit(&name(2), &job(12, TASKS_FOR_ALL_VMS, 100))
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

/// The owner does not hear of the drain, as the store refuses it; a front that hears takes over.
#[test]
fn an_owner_cut_off_from_the_store_starts_nothing_in_a_drained_domain_beyond_the_bound() {
    run(async {
        let mut site = Site::start_across_domains("drain-cut", 2, 4, 2).await;
        site.make_first_front_owner(&name(1)).await;
        site.submit(&name(2), &job(60, TASKS_FOR_ALL_VMS, 100))
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

/// Nobody hears of the drain: starts end before the bound, everywhere, and go on once it is known.
#[test]
fn nothing_starts_while_the_drains_cannot_be_read() {
    run(async {
        let mut site = Site::start_across_domains("drain-deaf", 1, 2, 2).await;
        site.submit(&name(1), &job(90, TASKS_FOR_ALL_VMS, 100))
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

/// The drain is taken back while nobody hears, and the store forgets the history that tells of it.
#[test]
fn an_undrain_that_the_owner_missed_takes_effect_after_the_outage() {
    run(async {
        let mut site = Site::start_across_domains("drain-forgotten", 1, 2, 2).await;
        site.drain("b").await;
        let next = run_jobs_until_domain_unused(&site, "b", 1).await;
        site.store_proxies[0].cut();
        site.undrain("b").await;
        site.store_faults(json!({ "forget": true })).await;
        site.store_proxies[0].restore();
        run_jobs_until_domain_used(&site, "b", next).await;
        site.audit().await;
    });
}

/// Four lasting tasks, at most two on a worker where there are others.
fn long_running_job() -> Value {
    let spec = json!({ "ms": 600_000, "cpu": 500, "mem": 100 }).to_string();
    let step =
        json!({ "count": 4, "cpu": 500, "memMb": 100, "longRunning": true, "antiAffinity": 2 });
    json!({ "spec": spec, "phases": [step] })
}

/// A lasting task that fails in a drained domain is back elsewhere; those that run there are left alone.
#[test]
fn long_running_tasks_stay_in_a_drained_domain_until_they_end() {
    run(async {
        let mut site = Site::start_across_domains("drain-lasting", 1, 3, 3).await;
        site.submit(&name(1), &long_running_job()).await;
        let fully_used = wait_for("all four to run, two on a worker", || async {
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
            "none was started again"
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
            "its worker is new"
        );
        site.audit().await;
    });
}

/// What a worker says of its failure domain may be missing, or another's: its machine's counts as well.
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
