//! Failure domains that the operator drains: nothing starts there until they are taken back.

use crate::site::{Site, job, name, run, wait_for};

/// Jobs as wide as two workers: each takes all machines that there are.
const WIDE: u32 = 8;

/// Submits jobs one after the other until one has run without the drained domain; returns the next number.
async fn run_until_drained(site: &Site, domain: &str, first: u64) -> u64 {
    let next = std::cell::Cell::new(first);
    wait_for("a job to keep out of the drained domain", || async {
        let n = next.replace(next.get() + 1);
        site.submit(&name(n), &job(1, WIDE, 50)).await;
        site.wait_state(&name(n), "completed").await;
        (site.starts_in(domain, &name(n)).await == 0).then_some(())
    })
    .await;
    next.get()
}

/// Submits jobs one after the other until one has run in the domain too; returns the next number.
async fn run_until_used(site: &Site, domain: &str, first: u64) -> u64 {
    let next = std::cell::Cell::new(first);
    wait_for("a job to use the domain again", || async {
        let n = next.replace(next.get() + 1);
        site.submit(&name(n), &job(1, WIDE, 50)).await;
        site.wait_state(&name(n), "completed").await;
        (site.starts_in(domain, &name(n)).await > 0).then_some(())
    })
    .await;
    next.get()
}

/// Runs some more jobs, none of which may start anything in the domain.
async fn run_outside(site: &Site, domain: &str, first: u64) -> u64 {
    for n in first..first + 4 {
        site.submit(&name(n), &job(1, WIDE, 50)).await;
        site.wait_state(&name(n), "completed").await;
        let starts = site.starts_in(domain, &name(n)).await;
        assert_eq!(starts, 0, "job {n} started in a drained domain");
    }
    first + 4
}

#[test]
fn nothing_starts_in_a_drained_domain_until_it_is_taken_back() {
    run(async {
        let mut site = Site::start_across("drain", 1, 2, 2).await;
        let mut n = run_until_used(&site, "b", 1).await;
        for _ in 0..2 {
            site.drain("b").await;
            n = run_until_drained(&site, "b", n).await;
            n = run_outside(&site, "b", n).await;
            site.undrain("b").await;
            n = run_until_used(&site, "b", n).await;
        }
        site.audit().await;
    });
}
