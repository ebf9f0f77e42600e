//! How long callers can read the state of a job that has ended.

use crate::calls::call;
use crate::site::{Site, job, name, run, wait_for};
use compio::runtime::spawn;
use compio::time::sleep;
use fastrand::Rng;
use http::Method;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// `keep_ended_s` of the fronts, which is the users' `status_s`.
const RETENTION: Duration = Duration::from_secs(4);
const HOUR_MS: i64 = 3_600_000;
/// Number of faults of a run with drawn faults. Each is one on a front and one on the store.
const FAULTS: u32 = 8;
/// Interval at which a caller submits jobs and asks for their states.
const CALL_INTERVAL: Duration = Duration::from_millis(250);

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

/// The rows of a completed job are removed while a front reads them. Guards against a state that goes back to queued,
/// because the front finds the job's row and then misses its progress.
#[test]
fn a_job_that_is_removed_while_it_is_read_is_not_shown_as_queued() {
    run(async {
        let site = Site::start("removed-while-read", 1, 1).await;
        for number in 1..=12 {
            let job_name = name(number);
            site.put_unknown_completed_job(&job_name).await;
            site.set_store_faults(json!({ "delay_ms": 200 })).await;
            let removal = async {
                sleep(Duration::from_millis(50 * number)).await;
                site.remove_job(&job_name).await;
            };
            let read = site.request(0, Method::GET, &job_name, Vec::new());
            let (answer, ()) = futures_util::join!(read, removal);
            let answer = answer.expect("the front must answer");
            site.set_store_faults(json!({})).await;
            if answer.status == 200 {
                assert_eq!(answer.json()["state"], "completed", "removal {number}");
            } else {
                assert_eq!(answer.status, 410, "removal {number}");
            }
        }
    });
}

/// Asks for the state of a job at random fronts until it is removed; returns the time for which it was kept, counted
/// from the last answer that showed it as open.
async fn watch_state(fronts: Vec<SocketAddr>, job: String, mut rng: Rng) -> Duration {
    let mut answers = String::new();
    let mut open_at = Instant::now();
    let began = Instant::now();
    loop {
        let asked_at = Instant::now();
        let front = rng.usize(0..fronts.len());
        let url = format!("http://{}/g/{job}", fronts[front]);
        let answer = call(Method::GET, &url, &[("host", "h.example")], Vec::new()).await;
        if let Ok(answer) = answer {
            let state = match answer.status {
                200 => answer.json()["state"].as_str().unwrap_or("none").to_owned(),
                status => status.to_string(),
            };
            let (asked, answered) = (asked_at - began, began.elapsed());
            answers += &format!("{asked:?} to {answered:?} front {front}: {state}\n");
            match state.as_str() {
                "queued" | "running" => open_at = asked_at,
                "410" if open_at.elapsed() < RETENTION => {
                    println!("job {job}, kept for {:?}:\n{answers}", open_at.elapsed());
                    return open_at.elapsed();
                }
                "410" => return open_at.elapsed(),
                _ => {}
            }
        }
        sleep(CALL_INTERVAL).await;
    }
}

/// Injects one fault on a front, or on both, and one on the store, and ends both.
async fn inject_faults(site: &mut Site, rng: &mut Rng) {
    let faults: Value = match rng.u32(0..4) {
        0 => json!({ "down": true }),
        1 => json!({ "delay_ms": 250 }),
        2 => json!({ "lose_percent": 30 }),
        _ => json!({}),
    };
    let (fault, front) = (rng.u32(0..4), rng.usize(0..2));
    let length = Duration::from_millis(rng.u64(200..3_000));
    println!("fault {fault} on front {front}, {faults} on the store, for {length:?}");
    site.set_store_faults(faults).await;
    match fault {
        0 => site.kill_front(front),
        1 => site.signal_front(front, libc::SIGTERM),
        2 => site.signal_front(front, libc::SIGSTOP),
        _ => {
            site.kill_front(0);
            site.kill_front(1);
        }
    }
    sleep(length).await;
    site.set_store_faults(json!({})).await;
    match fault {
        2 => site.signal_front(front, libc::SIGCONT),
        0 | 1 => {
            site.kill_front(front);
            site.start_front(front);
        }
        _ => {
            site.start_front(0);
            site.start_front(1);
        }
    }
    sleep(Duration::from_millis(rng.u64(0..2_000))).await;
}

async fn states_are_kept_under_faults(seed: u64) {
    println!("seed {seed}");
    let mut rng = Rng::with_seed(seed);
    let mut site = Site::start(&format!("retention-{seed}"), 2, 1).await;
    site.set_retention(RETENTION).await;
    let fronts: Vec<SocketAddr> = site.fronts.iter().map(|front| front.callers).collect();
    let mut watches = Vec::new();
    for round in 0..FAULTS {
        for number in 1..=4 {
            let job_name = name(u64::from(round * 10 + number));
            site.submit(&job_name, &job(1, 1, rng.u64(10..600))).await;
            watches.push(spawn(watch_state(fronts.clone(), job_name, rng.fork())));
            sleep(CALL_INTERVAL).await;
        }
        inject_faults(&mut site, &mut rng).await;
    }
    for watch in watches {
        let kept = watch.await.expect("the watch must not panic");
        assert!(kept >= RETENTION, "seed {seed}: kept for {kept:?} only");
    }
}

/// Guards against states that are forgotten early, or never, as faults of fronts and of the store follow each other.
#[test]
fn states_of_ended_jobs_are_kept_under_the_faults_of_seed_1() {
    run(states_are_kept_under_faults(1));
}

/// Runs the same for a range of seeds. Does nothing unless `WAXWING_RETENTION` is set:
/// `WAXWING_RETENTION=FIRST,LAST cargo test --workspace --test pool retention_by_hand`.
#[test]
fn retention_by_hand() {
    let Ok(text) = std::env::var("WAXWING_RETENTION") else {
        return;
    };
    let (first, last) = text
        .split_once(',')
        .expect("WAXWING_RETENTION must have two numbers");
    let seed = |text: &str| text.parse::<u64>().expect("a seed must be a number");
    for seed in seed(first)..=seed(last) {
        run(states_are_kept_under_faults(seed));
    }
}
