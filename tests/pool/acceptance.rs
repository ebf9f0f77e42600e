//! Answers to callers, and accepted work, while the store is unavailable.

use crate::calls::{Answer, call};
use crate::site::{Site, job, name, run, wait_for};
use http::Method;
use serde_json::json;

/// Field of the log lines on changes of the store's state.
const STATE_FIELD: &str = "\"before\":";

async fn submit_once(site: &Site, front: usize, job_name: &str) -> Answer {
    let body = job(1, 1, 20).to_string().into_bytes();
    site.request(front, Method::POST, job_name, body)
        .await
        .expect("the front must answer")
}

/// Returns the retry delay of an answer in whole seconds; 0 if it has none.
fn retry_seconds(answer: &Answer) -> u64 {
    let header = answer.retry_after.as_deref();
    header.map_or(0, |text| text.parse().expect("the header must be a number"))
}

/// Submits new jobs until one is refused with at least this retry delay; returns the number of jobs.
async fn wait_for_delay(site: &Site, first: u64, seconds: u64) -> u64 {
    let count = std::cell::Cell::new(0);
    wait_for("a refusal with a longer retry delay", || async {
        let answer = submit_once(site, 0, &name(first + count.get())).await;
        count.set(count.get() + 1);
        assert_eq!(answer.status, 503);
        (retry_seconds(&answer) >= seconds).then_some(())
    })
    .await;
    count.get()
}

/// Callers have four retries. If all refusals name the delay of the start of an outage, they have
/// used them up within some 3 s.
#[test]
fn retry_delays_grow_with_the_age_of_an_outage() {
    run(async {
        let site = Site::start_with_acceptance("outage", 1, 1).await;
        site.submit(&name(1), &job(1, 1, 20)).await;
        site.wait_state(&name(1), "completed").await;
        site.set_store_faults(json!({ "down": true })).await;
        let refused = wait_for_delay(&site, 100, 4).await;
        let log = site.log("front-0");
        assert!(log.contains("the store is unavailable (Busy)"));
        // Queries that the owner cannot answer and cancellations fail for the same reason.
        for method in [Method::GET, Method::DELETE] {
            wait_for("the same retry delay for other requests", || async {
                let job_name = name(9_999);
                let answer = site.request(0, method.clone(), &job_name, Vec::new());
                let answer = answer.await.expect("the front must answer");
                assert_eq!(answer.status, 503);
                (retry_seconds(&answer) >= 4).then_some(())
            })
            .await;
        }
        site.set_store_faults(json!({})).await;
        for n in 0..refused {
            let status = wait_for("the front to read the job table", || async {
                let job_name = name(100 + n);
                let answer = site.request(0, Method::GET, &job_name, Vec::new()).await;
                let status = answer.ok()?.status;
                (status != 503).then_some(status)
            });
            assert_eq!(status.await, 410, "a refused job must be unknown");
        }
        site.submit(&name(2), &job(1, 1, 20)).await;
        site.wait_state(&name(2), "completed").await;
        site.audit().await;
    });
}

/// A front that refuses all requests gets no answers from the store unless it probes it.
#[test]
fn a_front_detects_the_end_of_an_outage_without_requests() {
    run(async {
        let site = Site::start_with_acceptance("probe", 2, 1).await;
        site.set_store_faults(json!({ "down": true })).await;
        for front in 0..2 {
            wait_for("a refusal at once", || async {
                let answer = submit_once(&site, front, &name(1)).await;
                assert_eq!(answer.status, 503);
                let log = site.log(&format!("front-{front}"));
                log.contains("the store is unavailable").then_some(())
            })
            .await;
        }
        site.set_store_faults(json!({})).await;
        for front in 0..2 {
            let log = format!("front-{front}");
            site.wait_log(&log, "\"state\":\"Recovering\"").await;
            let answer = submit_once(&site, front, &name(10 + front as u64)).await;
            assert_eq!(answer.status, 200);
            let changes = site.log(&log).matches(STATE_FIELD).count();
            assert!(changes < 10, "{changes} log lines of one outage");
        }
        site.audit().await;
    });
}

/// The owner reaches the store: a front that the store refuses must not refuse its callers.
#[test]
fn a_front_that_alone_lost_the_store_refuses_nobody() {
    run(async {
        let site = Site::start_with_acceptance("alone", 2, 1).await;
        site.submit(&name(1), &job(1, 1, 20)).await;
        site.wait_state(&name(1), "completed").await;
        // Either front may own the shard, so each is cut off once.
        for number in 0..2 {
            site.store_proxies[number].cut();
            for n in 0..4 {
                let job_name = name(10 + 10 * number as u64 + n);
                wait_for("the front to accept a job", || async {
                    let answer = submit_once(&site, number, &job_name).await;
                    (answer.status == 200).then_some(())
                })
                .await;
                site.wait_state(&job_name, "completed").await;
            }
            site.store_proxies[number].restore();
        }
        let logs = site.log("front-0") + &site.log("front-1");
        assert!(logs.contains("transaction was relayed by the owner"));
        site.audit().await;
    });
}

/// The loss of replies must never turn into a refusal of a job that runs.
#[test]
fn lost_replies_refuse_no_job_that_runs() {
    run(async {
        let site = Site::start_with_acceptance("loses", 2, 2).await;
        site.set_store_faults(json!({ "lose_percent": 60 })).await;
        let mut refused = Vec::new();
        for n in 1..13 {
            let answer = submit_once(&site, n as usize % 2, &name(n)).await;
            assert!(
                [200, 503, 504].contains(&answer.status),
                "{}",
                answer.status
            );
            if answer.status == 503 {
                refused.push(name(n));
            }
        }
        site.set_store_faults(json!({})).await;
        site.submit(&name(100), &job(1, 1, 20)).await;
        site.wait_state(&name(100), "completed").await;
        for job_name in refused {
            assert_eq!(site.state(&job_name).await, None, "{job_name} was refused");
        }
        site.audit().await;
    });
}

/// The reply to a transaction that took effect is lost, and then the store refuses all calls. The
/// caller must not be told that its job is not accepted.
#[test]
fn an_outage_after_a_lost_reply_refuses_no_job_that_runs() {
    run(async {
        let site = Site::start_with_acceptance("unknown", 1, 1).await;
        site.submit(&name(1), &job(1, 1, 20)).await;
        site.wait_state(&name(1), "completed").await;
        site.set_store_faults(json!({ "lose_percent": 100 })).await;
        let job_name = name(2);
        let submission = submit_once(&site, 0, &job_name);
        let outage = async {
            site.wait_running(&job_name).await;
            site.set_store_faults(json!({ "down": true })).await;
        };
        let (answer, ()) = futures_util::future::join(submission, outage).await;
        assert_eq!(answer.status, 504);
        let repeated = submit_once(&site, 0, &job_name).await;
        assert!([200, 504].contains(&repeated.status), "{}", repeated.status);
        site.set_store_faults(json!({})).await;
        site.wait_state(&job_name, "completed").await;
        assert_eq!(site.start_count(&job_name).await, 1);
        site.audit().await;
    });
}

/// Accepted work goes on without the store: the steps of a known job are placed, ends are
/// processed, and a failed task is started again. The owner starts tasks until its view of the
/// drains is too old, some 3.6 s on this site.
#[test]
fn accepted_work_goes_on_during_an_outage() {
    run(async {
        let site = Site::start_with_acceptance("goes-on", 1, 2).await;
        let mut failing = job(1, 1, 400);
        failing["spec"] = json!(json!({ "ms": 400, "fail": true }).to_string());
        site.submit(&name(1), &failing).await;
        site.submit(&name(2), &job(3, 2, 200)).await;
        site.wait_running(&name(1)).await;
        site.wait_running(&name(2)).await;
        site.set_store_faults(json!({ "down": true })).await;
        wait_for("all steps to start without the store", || async {
            (site.start_count(&name(2)).await == 6).then_some(())
        })
        .await;
        wait_for("the failed task to start again", || async {
            (site.start_count(&name(1)).await == 2).then_some(())
        })
        .await;
        let answer = submit_once(&site, 0, &name(3)).await;
        assert_eq!(answer.status, 503, "the store must still be down");
        let repeated = submit_once(&site, 0, &name(2)).await;
        assert_eq!(repeated.status, 200, "an accepted job must not be refused");
        site.set_store_faults(json!({})).await;
        site.wait_state(&name(2), "completed").await;
        site.wait_state(&name(1), "failed").await;
        site.audit().await;
    });
}

/// Submits jobs at the same time; returns the status of each, 0 without an answer.
async fn submit_together(site: &Site, front: usize, jobs: std::ops::Range<u64>) -> Vec<u16> {
    let body = job(1, 1, 20).to_string().into_bytes();
    let submissions = jobs.map(|n| {
        let body = body.clone();
        async move {
            let job_name = name(n);
            let answer = site.request(front, Method::POST, &job_name, body).await;
            answer.map_or(0, |answer| answer.status)
        }
    });
    futures_util::future::join_all(submissions).await
}

/// A batch of which one job is stored already must store the others, and each once.
#[test]
fn jobs_that_share_a_transaction_are_stored_once_each() {
    run(async {
        let site = Site::start_with_acceptance("shared", 1, 2).await;
        site.submit(&name(9), &job(1, 1, 20)).await;
        site.set_store_faults(json!({ "delay_ms": 100 })).await;
        for status in submit_together(&site, 0, 1..21).await {
            assert_eq!(status, 200);
        }
        site.set_store_faults(json!({})).await;
        let metrics = format!("http://{}/metrics", site.fronts[0].metrics);
        wait_for("a shared transaction in the metrics", || async {
            let answer = call(Method::GET, &metrics, &[], Vec::new()).await.ok()?;
            let text = answer.text();
            let line = text
                .lines()
                .find(|line| line.starts_with("waxwing_jobs_in_shared_transactions"))?;
            let count: f64 = line.rsplit(' ').next()?.parse().ok()?;
            (count >= 2.0).then_some(())
        })
        .await;
        for n in 1..21 {
            site.wait_state(&name(n), "completed").await;
            assert_eq!(site.start_count(&name(n)).await, 1);
        }
        site.audit().await;
    });
}

/// A front dies with shared transactions in flight, some of which took effect without an answer: each
/// job is stored or not, and callers that submit again by id get it run once.
#[test]
fn a_front_killed_with_a_batch_in_flight_loses_and_duplicates_nothing() {
    run(async {
        let mut site = Site::start_with_acceptance("batch", 2, 2).await;
        site.set_store_faults(json!({ "delay_ms": 100, "lose_percent": 50 }))
            .await;
        {
            let submissions = std::pin::pin!(submit_together(&site, 0, 1..13));
            let metrics = format!("http://{}/metrics", site.fronts[0].metrics);
            let in_flight = std::pin::pin!(wait_for("a batch in flight", || async {
                let answer = call(Method::GET, &metrics, &[], Vec::new()).await.ok()?;
                let text = answer.text();
                let mut lines = text.lines();
                let is_sent = lines.any(|line| {
                    line.starts_with("waxwing_jobs_in_shared_transactions") && !line.ends_with(" 0")
                });
                is_sent.then_some(())
            }));
            futures_util::future::select(submissions, in_flight).await;
        }
        site.kill_front(0);
        site.set_store_faults(json!({})).await;
        for n in 1..13 {
            site.submit(&name(n), &job(1, 1, 20)).await;
        }
        for n in 1..13 {
            site.wait_state(&name(n), "completed").await;
            assert_eq!(site.start_count(&name(n)).await, 1);
        }
        site.audit().await;
    });
}

/// The owner changes while jobs are submitted together: their transactions meet a conflict on the
/// owner's row and are sent again.
#[test]
fn a_change_of_the_owner_refuses_no_batch_for_good() {
    run(async {
        let mut site = Site::start_with_acceptance("changes", 2, 2).await;
        site.make_first_front_owner(&name(500)).await;
        site.set_store_faults(json!({ "delay_ms": 50 })).await;
        site.kill_front(0);
        for round in 0..5 {
            submit_together(&site, 1, round * 8 + 1..round * 8 + 9).await;
        }
        site.set_store_faults(json!({})).await;
        for n in 1..41 {
            site.submit(&name(n), &job(1, 1, 20)).await;
            site.wait_state(&name(n), "completed").await;
            assert_eq!(site.start_count(&name(n)).await, 1);
        }
        site.audit().await;
    });
}
