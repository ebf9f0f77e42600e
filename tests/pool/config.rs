//! Changes of the config: in force in time, also when what tells of them has gone silent.

use crate::site::{Site, name, run, wait_for};
use http::Method;

/// A route was added and acknowledged, and a front answered 404 for it for seconds. All open connections had
/// gone silent without being closed: at once every agent wrote "the owner is silent", 1.8 s after the last
/// it had heard, and found the same owner again. A front followed the config by a call that the store
/// may hold for 8 s, and took its silence for a store in which nothing changes: "dependency lost", "feed of
/// the config", "no answer in time" came 9.5 s after that call had begun, though the store answered new
/// calls all the while. Played again, 18 versions of the config went by before the next was in force
/// ("unheard_ms": 10542). Now what is known is read again, on other connections, before it is too old.
#[test]
fn a_config_change_is_in_force_although_open_connections_are_silent() {
    run(async {
        let mut site = Site::start_with_proxies("silent-config", 2, 1).await;
        site.make_first_front_owner(&name(1)).await;
        // Calls of the feed that have just begun: they are given up 9.5 s from now.
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
            // A call of the feed may take several times the bound: a front that learned of the change only
            // when it gave that call up was late.
            let log = site.log(&format!("front-{front}"));
            let feed_call_failed = log.contains("\"what\":\"feed of the config\",\"error\"");
            assert!(
                !feed_call_failed,
                "front {front} went by its old config until its feed had failed"
            );
        }
        // The call that was silent was given up with that: changes are told at once again, but for one that a
        // reading happens to meet first.
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
        assert!(pushed_to_all, "no change was told by the feed");
        site.audit().await;
    });
}

/// A front that hears neither of the store nor of an owner keeps its config. That a route is missing in
/// it is no reason for a 404 then: a 404 is final for a caller, and the route may be there by now.
#[test]
fn a_front_with_a_possibly_stale_config_answers_503_for_an_unknown_route() {
    run(async {
        let site = Site::start_with_proxies("old-config", 1, 1).await;
        let answer = site.request_path(0, Method::GET, "/unknown/").await;
        assert_eq!(answer.expect("the front answers").status, 404);
        site.store_proxies[0].cut();
        wait_for("the front to be unsure", || async {
            let answer = site.request_path(0, Method::GET, "/unknown/").await.ok()?;
            (answer.status == 503 && answer.retry_after.is_some()).then_some(())
        })
        .await;
        site.store_proxies[0].restore();
        wait_for("the front to be sure again", || async {
            let answer = site.request_path(0, Method::GET, "/unknown/").await.ok()?;
            (answer.status == 404).then_some(())
        })
        .await;
    });
}
