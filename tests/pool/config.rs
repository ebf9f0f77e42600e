//! Config changes take effect within their bound, also while the connections that announce them are silent.

use crate::site::{Site, job, name, run, wait_for};
use http::Method;
use serde_json::json;

/// Guards against a front that answers 404 for seconds for a route that was added and acknowledged.
///
/// All open connections go silent without being closed, while the store still answers new calls. Agents notice
/// missing heartbeats of their owner after 1.8 s and reconnect. A front follows the config by a long poll that
/// the store may hold for 8 s, and cannot distinguish a silent connection from a store without changes: the call
/// times out only 9.5 s after it began. In a reproduction a front missed 18 versions of the config for 10.5 s.
/// Fronts therefore also read the config on other connections before their copy becomes older than the bound.
#[test]
fn a_config_change_is_in_force_although_open_connections_are_silent() {
    run(async {
        let mut site = Site::start_with_proxies("silent-config", 2, 1).await;
        site.make_first_front_owner(&name(1)).await;
        // The feed's calls begin now and would time out 9.5 s later.
        site.put_config(&["/g/", "/first/"]).await;
        let version_line = "\"config in force\",\"version\":6,";
        for front in ["front-0", "front-1"] {
            site.wait_log(front, version_line).await;
        }
        for proxy in &site.store_proxies {
            proxy.silence_open_connections();
        }
        site.put_config(&["/g/", "/first/", "/new/"]).await;
        for front in 0..2 {
            wait_for("the new route", || async {
                let answer = site.request_path(front, Method::GET, "/new/").await.ok()?;
                (answer.status != 404).then_some(())
            })
            .await;
            // A call of the feed may take several times the bound. A front that found the change only after
            // that call had timed out was late.
            let log = site.log(&format!("front-{front}"));
            let feed_call_failed = log.contains("\"what\":\"feed of the config\",\"error\"");
            assert!(
                !feed_call_failed,
                "front {front} used its old config until its feed call timed out"
            );
        }
        // The front has also replaced the silent call of the feed, so the feed announces changes again. A
        // periodic read may find one of them first, so one of three versions is enough.
        let mut pushed_to_all = false;
        for version in [12, 15, 18] {
            site.put_config(&["/g/"]).await;
            let line = format!("\"version\":{version},\"from\":");
            for front in ["front-0", "front-1"] {
                site.wait_log(front, &line).await;
            }
            let pushed_line = format!("{line}\"the feed\"");
            pushed_to_all |=
                (0..2).all(|front| site.log(&format!("front-{front}")).contains(&pushed_line));
        }
        assert!(pushed_to_all, "the feed announced no change to both fronts");
        site.audit().await;
    });
}

/// A front that reaches neither the store nor an owner keeps its config. It must not answer 404 for a route
/// that this config lacks: a 404 is final for a caller, and the route may have been added since.
#[test]
fn a_front_with_a_possibly_stale_config_answers_503_for_an_unknown_route() {
    run(async {
        let site = Site::start_with_proxies("old-config", 1, 1).await;
        let answer = site.request_path(0, Method::GET, "/unknown/").await;
        assert_eq!(answer.expect("the front must answer").status, 404);
        site.store_proxies[0].cut();
        wait_for("503 for a route missing in a stale config", || async {
            let answer = site.request_path(0, Method::GET, "/unknown/").await.ok()?;
            (answer.status == 503 && answer.retry_after.is_some()).then_some(())
        })
        .await;
        site.store_proxies[0].restore();
        wait_for("404 after the config is fresh again", || async {
            let answer = site.request_path(0, Method::GET, "/unknown/").await.ok()?;
            (answer.status == 404).then_some(())
        })
        .await;
    });
}

/// Guards against a job that fails too early, or is started too often, because its queue was dropped from the config
/// before another front took over, which then made up the queue's rules.
#[test]
fn a_job_of_a_dropped_queue_keeps_its_attempts_under_a_new_owner() {
    run(async {
        let mut site = Site::start("dropped-queue", 2, 2).await;
        let queues = [("/g/", 4), ("/once/", 1)];
        site.put_config_with_attempts(&queues).await;
        for front in ["front-0", "front-1"] {
            site.wait_log(front, "\"config in force\",\"version\":6,")
                .await;
        }
        let mut body = job(1, 1, 1_500);
        body["spec"] = json!(json!({ "ms": 1_500, "fail": true }).to_string());
        site.submit(&name(1), &body).await;
        site.submit_to("/once/", &name(2), &body).await;
        site.put_config(&["/other/"]).await;
        for front in ["front-0", "front-1"] {
            site.wait_log(front, "\"config in force\",\"version\":9,")
                .await;
        }
        // One of them owns the shard, and the other takes over.
        for front in 0..2 {
            site.kill_front(front);
            site.start_front(front);
            site.wait_ready(front).await;
        }
        wait_for("the last start of the job", || async {
            (site.start_count(&name(1)).await >= 4).then_some(())
        })
        .await;
        site.put_config_with_attempts(&queues).await;
        site.wait_state(&name(1), "failed").await;
        wait_for("the state of the other job", || async {
            let path = format!("/once/{}", name(2));
            let answer = site.request_path(0, Method::GET, &path).await.ok()?;
            (answer.status == 200 && answer.json()["state"] == "failed").then_some(())
        })
        .await;
        assert_eq!(site.start_count(&name(1)).await, 4);
        assert_eq!(site.start_count(&name(2)).await, 1);
        site.audit().await;
    });
}
