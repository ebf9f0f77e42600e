//! Jobs under kills, freezes, outages and lost replies.

use crate::site::{Site, job, long_running_job, name, run, wait_for};
use http::Method;
use serde_json::{Value, json};

#[test]
fn jobs_survive_a_kill_of_their_owner() {
    run(async {
        let mut site = Site::start("owner", 2, 2).await;
        for n in 1..=4 {
            site.submit(&name(n), &job(2, 4, 300)).await;
        }
        site.wait_running(&name(1)).await;
        site.kill_front(0);
        site.submit(&name(5), &job(1, 2, 50)).await;
        for n in 1..=5 {
            site.wait_state(&name(n), "completed").await;
        }
        site.audit().await;
    });
}

/// Ends between two owners reach the new one in the lists of the agents. These ends were not logged, so that
/// reports from the logs showed the runs as unfinished and in progress.
#[test]
fn the_end_of_each_run_is_logged_when_the_owner_is_killed() {
    run(async {
        let mut site = Site::start_across_domains("owner-ends", 2, 4, 2).await;
        site.make_first_front_owner(&name(1)).await;
        site.submit(&name(3), &long_running_job(3)).await;
        site.wait_running(&name(3)).await;
        site.submit(&name(2), &job(2, 8, 300)).await;
        site.wait_running(&name(2)).await;
        site.kill_front(0);
        site.wait_state(&name(2), "completed").await;
        let logs = [site.log("front-0"), site.log("front-1")].concat();
        let of_job = format!("\"task\":\"{}.", name(2));
        let ended = logs.lines().filter(|line| {
            line.contains(&of_job)
                && line.contains("run ended")
                && line.contains("\"how\":\"Done\"")
        });
        let tasks: std::collections::BTreeSet<&str> = ended
            .filter_map(|line| line.split(&of_job).nth(1)?.split('"').next())
            .collect();
        assert_eq!(tasks.len(), 16, "{tasks:?}");
        let report: Value =
            serde_json::from_str(&site.log_report(&["--json"])).expect("the report must be JSON");
        let last = report["windows"].as_array().and_then(|rows| rows.last());
        let running = last.expect("the report must have windows")["running"].as_u64();
        assert_eq!(
            running,
            Some(3),
            "only the long-running tasks go on: {report}"
        );
        site.audit().await;
    });
}

#[test]
fn jobs_survive_a_kill_of_all_fronts_and_agents() {
    run(async {
        let mut site = Site::start("all", 2, 2).await;
        for n in 1..=3 {
            site.submit(&name(n), &job(2, 4, 200)).await;
        }
        site.wait_running(&name(1)).await;
        for number in 0..2 {
            site.kill_front(number);
            site.kill_agent(number);
        }
        for number in 0..2 {
            site.start_front(number);
            site.start_agent(number);
        }
        for n in 1..=3 {
            site.wait_state(&name(n), "completed").await;
        }
        site.audit().await;
    });
}

#[test]
fn a_restarted_agent_adopts_running_tasks() {
    run(async {
        let mut site = Site::start("agent", 1, 1).await;
        site.submit(&name(1), &job(1, 3, 2_500)).await;
        site.wait_running(&name(1)).await;
        site.kill_agent(0);
        site.start_agent(0);
        site.wait_state(&name(1), "completed").await;
        assert_eq!(
            site.start_count(&name(1)).await,
            3,
            "no task must be started again"
        );
        site.audit().await;
    });
}

#[test]
fn tasks_of_a_killed_worker_run_elsewhere() {
    run(async {
        let mut site = Site::start("worker", 1, 2).await;
        site.submit(&name(1), &job(1, 6, 400)).await;
        let number = site.wait_running(&name(1)).await;
        site.kill_worker(number).await;
        site.start_worker(number);
        site.wait_state(&name(1), "completed").await;
        site.audit().await;
    });
}

#[test]
fn an_agent_frozen_beyond_its_leases_starts_nothing_twice() {
    run(async {
        let mut site = Site::start("frozen", 1, 2).await;
        site.submit(&name(1), &job(1, 8, 30_000)).await;
        let number = site.wait_running(&name(1)).await;
        let agent = site.vms[number]
            .agent
            .as_ref()
            .expect("the process must be running");
        agent.signal(libc::SIGSTOP);
        // The leases of this agent's worker expire, and its tasks restart on the other worker.
        let other = 1 - number;
        let url = format!("http://{}/history", site.vms[number].app);
        wait_for("the leases to expire", || async {
            let history = crate::calls::get_json(&url).await?;
            let expired = history
                .as_array()?
                .iter()
                .filter(|row| row["what"] == "lapsed")
                .count();
            (expired > 0).then_some(())
        })
        .await;
        agent.signal(libc::SIGCONT);
        let cancelled = site
            .request(0, Method::DELETE, &name(1), Vec::new())
            .await
            .expect("the front must answer");
        assert_eq!(cancelled.status, 200);
        site.submit(&name(2), &job(1, 8, 20)).await;
        site.wait_state(&name(2), "completed").await;
        let _ = other;
        site.audit().await;
        assert!(
            site.vms[number]
                .agent
                .as_mut()
                .expect("the process must be running")
                .is_running()
        );
    });
}

/// The capacity of a worker shrinks for a while. An owner that keeps using the capacity reported first orders
/// starts that the agent refuses for lack of capacity, ten times a second, and never uses capacity that is added.
#[test]
fn a_worker_whose_capacity_changes_gets_only_tasks_that_fit() {
    run(async {
        let site = Site::start("shrinks", 1, 1).await;
        site.wait_log("side-0", "worker registered").await;
        site.set_worker_faults(0, json!({ "cpu_milli": 2000 }))
            .await;
        site.wait_log("side-0", "\"cpu_milli\":2000").await;
        let mut large = job(1, 1, 20);
        large["phases"][0]["cpu"] = json!(3000);
        site.submit(&name(1), &large).await;
        site.wait_log("front-0", "\"reason\":\"capacity\"").await;
        assert_eq!(site.log("front-0").matches("start refused").count(), 0);
        site.submit(&name(2), &job(1, 2, 20)).await;
        site.wait_state(&name(2), "completed").await;
        site.set_worker_faults(0, json!({})).await;
        site.wait_state(&name(1), "completed").await;
        site.audit().await;
    });
}

/// A front that cannot reach the store relays the transaction of a submission through the owner and accepts the job.
#[test]
fn a_front_cut_off_from_the_store_accepts_jobs_through_the_owner() {
    run(async {
        let site = Site::start_with_proxies("relay", 2, 1).await;
        site.submit(&name(1), &job(1, 2, 20)).await;
        site.wait_state(&name(1), "completed").await;
        // Either front may own the shard, so each is cut off once.
        for number in 0..2 {
            site.store_proxies[number].cut();
            for n in 0..3 {
                let job_name = name(10 + 10 * number as u64 + n);
                let body = job(1, 1, 20).to_string().into_bytes();
                wait_for("the front to accept a job", || async {
                    let answer = site
                        .request(number, Method::POST, &job_name, body.clone())
                        .await
                        .ok()?;
                    (answer.status == 200).then_some(())
                })
                .await;
                site.wait_state(&job_name, "completed").await;
            }
            site.store_proxies[number].restore();
        }
        site.audit().await;
    });
}

#[test]
fn an_owner_frozen_past_its_term_is_superseded() {
    run(async {
        let site = Site::start("thaw", 2, 2).await;
        site.submit(&name(1), &job(3, 4, 400)).await;
        site.wait_running(&name(1)).await;
        // Either front may own the shard, so each is frozen once.
        for number in 0..2 {
            let front = site.fronts[number]
                .process
                .as_ref()
                .expect("the process must be running");
            front.signal(libc::SIGSTOP);
            let other = 1 - number;
            wait_for("the other front to accept and complete a job", || async {
                let job_name = name(100 + number as u64);
                let body = job(1, 1, 20).to_string().into_bytes();
                let answer = site
                    .request(other, Method::POST, &job_name, body)
                    .await
                    .ok()?;
                let status = site
                    .request(other, Method::GET, &job_name, Vec::new())
                    .await
                    .ok()?;
                (answer.status == 200 && status.json()["state"] == "completed").then_some(())
            })
            .await;
            front.signal(libc::SIGCONT);
        }
        site.wait_state(&name(1), "completed").await;
        site.audit().await;
    });
}

#[test]
fn lost_replies_of_the_store_lose_and_duplicate_nothing() {
    run(async {
        let site = Site::start("lost", 2, 2).await;
        site.set_store_faults(json!({ "lose_percent": 30 })).await;
        for n in 1..=3 {
            site.submit(&name(n), &job(1, 3, 30)).await;
        }
        site.set_store_faults(json!({})).await;
        for n in 1..=3 {
            site.wait_state(&name(n), "completed").await;
            assert_eq!(site.start_count(&name(n)).await, 3);
        }
        site.audit().await;
    });
}

#[test]
fn a_store_outage_refuses_new_jobs_at_once_and_loses_no_accepted_job() {
    run(async {
        let site = Site::start("down", 1, 1).await;
        site.submit(&name(1), &job(2, 2, 300)).await;
        site.wait_running(&name(1)).await;
        site.set_store_faults(json!({ "down": true })).await;
        let body = job(1, 1, 10).to_string().into_bytes();
        let answer = site
            .request(0, Method::POST, &name(2), body)
            .await
            .expect("the front must answer");
        assert_eq!(answer.status, 503);
        assert!(
            answer.retry_after.is_some(),
            "the refusal must have a retry-after"
        );
        site.set_store_faults(json!({})).await;
        site.wait_state(&name(1), "completed").await;
        let refused_job = site
            .request(0, Method::GET, &name(2), Vec::new())
            .await
            .expect("the front must answer");
        assert_eq!(refused_job.status, 410, "a refused job must be unknown");
        site.audit().await;
    });
}

/// A front without any path to the store must refuse at once. If it held the request until the caller gives up, the
/// caller could not try another front.
#[test]
fn a_front_without_a_path_to_the_store_refuses_at_once() {
    run(async {
        let site = Site::start("refuses", 1, 1).await;
        site.set_store_faults(json!({ "down": true })).await;
        let body = job(1, 1, 10).to_string().into_bytes();
        wait_for(
            "a refusal because there is no path to the store",
            || async {
                let answer = site.request(0, Method::POST, &name(1), body.clone()).await;
                assert_eq!(answer.expect("the front must answer").status, 503);
                let reason = "neither the store nor the owner can be reached";
                site.log("front-0").contains(reason).then_some(())
            },
        )
        .await;
        site.set_store_faults(json!({})).await;
        site.submit(&name(1), &job(1, 1, 10)).await;
        site.wait_state(&name(1), "completed").await;
        assert_eq!(site.start_count(&name(1)).await, 1);
        site.audit().await;
    });
}

#[test]
fn a_store_that_drops_its_history_is_read_from_scratch() {
    run(async {
        let site = Site::start("forgets", 1, 1).await;
        for n in 1..=3 {
            site.set_store_faults(json!({ "forget": true })).await;
            site.submit(&name(n), &job(1, 1, 20)).await;
            site.wait_state(&name(n), "completed").await;
        }
        site.audit().await;
    });
}

#[test]
fn orders_executed_late_run_nothing_twice() {
    run(async {
        let site = Site::start("late", 1, 2).await;
        site.set_worker_faults(0, json!({ "late_percent": 60, "late_ms": 1500 }))
            .await;
        for n in 1..=4 {
            site.submit(&name(n), &job(1, 3, 60)).await;
        }
        for n in 1..=4 {
            site.wait_state(&name(n), "completed").await;
        }
        site.audit().await;
    });
}

#[test]
fn a_worker_that_fails_every_task_does_not_fail_the_jobs() {
    run(async {
        let site = Site::start("grey", 1, 3).await;
        site.set_worker_faults(0, json!({ "fail": true })).await;
        for n in 1..=6 {
            site.submit(&name(n), &job(1, 1, 60)).await;
            site.wait_state(&name(n), "completed").await;
        }
        site.audit().await;
    });
}

#[test]
fn a_draining_worker_gets_no_new_work() {
    run(async {
        let site = Site::start("leaves", 1, 2).await;
        site.submit(&name(1), &job(1, 8, 20)).await;
        site.wait_state(&name(1), "completed").await;
        site.set_worker_faults(0, json!({ "draining": true })).await;
        // The worker may get tasks until its agent has processed its report. Three jobs in a row without a
        // start on it show that it no longer gets any.
        let url = format!("http://{}/history", site.vms[0].app);
        let starts = || async {
            let history = crate::calls::get_json(&url).await.unwrap_or_default();
            history.as_array().map_or(0, |rows| {
                rows.iter().filter(|row| row["what"] == "start").count()
            })
        };
        let mut idle_rounds = 0;
        let mut n = 10;
        while idle_rounds < 3 {
            let before = starts().await;
            site.submit(&name(n), &job(1, 4, 20)).await;
            site.wait_state(&name(n), "completed").await;
            idle_rounds = if starts().await == before {
                idle_rounds + 1
            } else {
                0
            };
            n += 1;
            assert!(n < 200, "the draining worker still gets tasks");
        }
        site.audit().await;
    });
}

#[test]
fn a_planned_stop_hands_the_shard_over_and_aborts_nothing() {
    run(async {
        let mut site = Site::start("planned", 2, 2).await;
        site.submit(&name(1), &job(3, 4, 200)).await;
        site.wait_running(&name(1)).await;
        site.fronts[0]
            .process
            .as_ref()
            .expect("the process must be running")
            .signal(libc::SIGTERM);
        for n in 2..=4 {
            site.submit(&name(n), &job(1, 2, 50)).await;
        }
        for n in 1..=4 {
            site.wait_state(&name(n), "completed").await;
        }
        let front = site.fronts[0]
            .process
            .as_mut()
            .expect("the front was started");
        wait_for("the front to terminate", || {
            let ended = !front.is_running();
            async move { ended.then_some(()) }
        })
        .await;
        site.audit().await;
    });
}

#[test]
fn sighup_terminates_no_process() {
    run(async {
        let mut site = Site::start("hangup", 1, 1).await;
        site.submit(&name(1), &job(1, 1, 20)).await;
        site.fronts[0]
            .process
            .as_ref()
            .expect("the process must be running")
            .signal(libc::SIGHUP);
        site.vms[0]
            .agent
            .as_ref()
            .expect("the process must be running")
            .signal(libc::SIGHUP);
        site.submit(&name(2), &job(1, 1, 20)).await;
        site.wait_state(&name(2), "completed").await;
        assert!(
            site.fronts[0]
                .process
                .as_mut()
                .expect("the process must be running")
                .is_running()
        );
        assert!(
            site.vms[0]
                .agent
                .as_mut()
                .expect("the process must be running")
                .is_running()
        );
    });
}

#[test]
fn a_different_job_under_a_known_name_is_ignored_even_after_a_takeover() {
    run(async {
        let mut site = Site::start("renamed", 2, 2).await;
        site.submit(&name(1), &job(2, 2, 1_500)).await;
        site.wait_running(&name(1)).await;
        for front in 0..2 {
            let other = job(1, 5, 10).to_string().into_bytes();
            let answer = site
                .request(front, Method::POST, &name(1), other)
                .await
                .expect("a front must answer");
            assert_eq!(answer.status, 200, "the name is already accepted");
        }
        for number in 0..2 {
            site.kill_front(number);
            site.start_front(number);
        }
        site.wait_state(&name(1), "completed").await;
        assert_eq!(
            site.start_count(&name(1)).await,
            4,
            "the starts of the job that was accepted first"
        );
        site.audit().await;
    });
}

#[test]
fn an_agent_row_is_removed_with_its_worker_and_added_with_the_next() {
    run(async {
        let mut site = Site::start("gone", 2, 2).await;
        site.submit(&name(1), &job(1, 8, 50)).await;
        site.wait_state(&name(1), "completed").await;
        wait_for("rows of both agents", || async {
            site.agent_row_count().await.filter(|rows| *rows == 2)
        })
        .await;
        site.kill_worker(0).await;
        wait_for(
            "the removal of the row of the agent without a worker",
            || async { site.agent_row_count().await.filter(|rows| *rows == 1) },
        )
        .await;
        site.start_worker(0);
        wait_for("the agent's row after a new worker has started", || async {
            site.agent_row_count().await.filter(|rows| *rows == 2)
        })
        .await;
        site.submit(&name(2), &job(1, 8, 50)).await;
        site.wait_state(&name(2), "completed").await;
        site.audit().await;
    });
}

/// An owner that is cut off from the store alone cannot notice that it was replaced. Its agents and the other
/// front must switch to the new owner without its help.
#[test]
fn work_continues_while_the_former_owner_runs_cut_off_from_the_store() {
    run(async {
        let mut site = Site::start_with_proxies("cut-off", 2, 2).await;
        site.make_first_front_owner(&name(1)).await;
        site.store_proxies[0].cut();
        for n in 2..=4 {
            site.submit(&name(n), &job(1, 3, 50)).await;
        }
        for n in 2..=4 {
            site.wait_state(&name(n), "completed").await;
        }
        assert!(site.is_front_running(0), "the former owner must still run");
        site.audit().await;
    });
}

/// A weak front may own the shard when it is the only front, and hands over when a much stronger front is linked.
#[test]
fn a_weak_front_takes_over_from_a_killed_owner_and_hands_back_to_a_strong_front() {
    run(async {
        let mut site = Site::start("unequal", 1, 1).await;
        let weak = site.add_front_with_cores(0.05);
        site.start_front(weak);
        site.wait_ready(weak).await;
        site.wait_log("front-1", "linked to the owner").await;
        // The weak front is the only one left and takes over.
        site.kill_front(0);
        site.wait_log("front-1", "took over the shard").await;
        site.submit(&name(1), &job(2, 3, 400)).await;
        site.start_front(0);
        site.wait_log("front-1", "a front is far stronger").await;
        site.wait_log_lines("front-0", "took over the shard", 2)
            .await;
        site.wait_state(&name(1), "completed").await;
        site.submit(&name(2), &job(1, 2, 50)).await;
        site.wait_state(&name(2), "completed").await;
        site.audit().await;
    });
}

/// An owner that is cut off from the store writes its release through another front. Without the release, a
/// takeover would wait until the owner's row has been unchanged for the takeover timeout, and tasks on workers
/// that have not reported would wait until the former owner's term can no longer be valid.
#[test]
fn an_owner_cut_off_from_the_store_releases_its_term_through_a_front() {
    run(async {
        let mut site = Site::start_with_proxies("handed", 2, 2).await;
        site.make_first_front_owner(&name(1)).await;
        site.submit(&name(2), &job(2, 3, 400)).await;
        site.wait_running(&name(2)).await;
        site.store_proxies[0].cut();
        site.wait_log("front-0", "let go").await;
        site.wait_log("front-1", "took over the shard").await;
        site.wait_state(&name(2), "completed").await;
        assert!(site.is_front_running(0), "the former owner must still run");
        site.audit().await;
    });
}

/// A front is suspended while another one takes over, and its connections to the store are silent when it resumes.
/// It knows only the former owner. Guards against a front that learns of the new owner only when the call of its
/// owner feed times out, 11.5 s after the call began.
#[test]
fn a_front_finds_the_new_owner_although_its_owner_feed_is_silent() {
    run(async {
        let site = Site::start_with_proxies("silent-owner", 3, 1).await;
        site.submit(&name(1), &job(1, 1, 20)).await;
        site.wait_state(&name(1), "completed").await;
        let owned = |site: &Site, front: usize| {
            site.log(&format!("front-{front}"))
                .contains("took over the shard")
        };
        let owner = (0..3)
            .find(|front| owned(&site, *front))
            .expect("one front must own the shard");
        let (next, resumed) = ((owner + 1) % 3, (owner + 2) % 3);
        let resumed_name = format!("front-{resumed}");
        for front in [next, resumed] {
            site.wait_log(&format!("front-{front}"), "linked to the owner")
                .await;
        }
        let linked = site
            .log(&resumed_name)
            .matches("linked to the owner")
            .count();
        for front in [owner, resumed] {
            site.signal_front(front, libc::SIGSTOP);
        }
        site.store_proxies[resumed].silence_open_connections();
        site.wait_log(&format!("front-{next}"), "took over the shard")
            .await;
        site.signal_front(resumed, libc::SIGCONT);
        site.wait_log_lines(&resumed_name, "\"linked to the owner\"", linked + 1)
            .await;
        let log = site.log(&resumed_name);
        let feed_call_failed = log.contains("\"what\":\"feed of owners\",\"error\"");
        assert!(
            !feed_call_failed,
            "the front found the new owner only after its feed call had timed out"
        );
        site.audit().await;
    });
}
