//! An upstream whose sidecar drains gets no new requests, and a planned stop aborts no request in flight.

use crate::support::calls::{Answer, call, get_json};
use crate::support::cluster::{Cluster, ClusterPlan, SERVICE, TEAM};
use crate::support::{run, wait_for};
use http::Method;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

/// Callers that send requests in the background until they are stopped.
struct SteadyLoad {
    stopped: Rc<Cell<bool>>,
    answers: Rc<RefCell<Vec<Result<Answer, String>>>>,
    tasks: Vec<compio::runtime::JoinHandle<()>>,
}

impl SteadyLoad {
    /// Starts callers that each send one request after another, at the given entries in turn.
    fn start(callers: usize, entries: Vec<String>) -> Self {
        let stopped = Rc::new(Cell::new(false));
        let answers = Rc::new(RefCell::new(Vec::new()));
        let tasks = (0..callers)
            .map(|n| {
                let (stopped, answers, entries) =
                    (stopped.clone(), answers.clone(), entries.clone());
                compio::runtime::spawn(async move {
                    let mut turn = n;
                    while !stopped.get() {
                        turn += 1;
                        let url =
                            format!("{}/v1/call/{SERVICE}/load", entries[turn % entries.len()]);
                        let headers = [("waxwing-team", TEAM), ("waxwing-deadline-ms", "15000")];
                        let answer = call(Method::POST, &url, &headers, b"x".to_vec()).await;
                        answers.borrow_mut().push(answer);
                        // Each call opens a connection; a load balancer would not open them faster.
                        compio::time::sleep(Duration::from_millis(2)).await;
                    }
                })
            })
            .collect();
        Self {
            stopped,
            answers,
            tasks,
        }
    }

    /// Waits until this number of answers has arrived.
    async fn wait_answers(&self, count: usize) {
        wait_for("answers under load", || async {
            (self.answers.borrow().len() >= count).then_some(())
        })
        .await;
    }

    async fn stop(self) -> Vec<Result<Answer, String>> {
        self.stopped.set(true);
        for task in self.tasks {
            task.await.expect("the task must not panic");
        }
        self.answers.take()
    }
}

#[test]
fn a_drained_sidecar_aborts_no_request() {
    run(async {
        let mut cluster = Cluster::start(ClusterPlan {
            service_ms: 20,
            ..ClusterPlan::default()
        })
        .await;
        let load = SteadyLoad::start(10, vec![cluster.callers(1), cluster.callers(2)]);
        load.wait_answers(50).await;
        assert_eq!(cluster.drain("sidecar-1").await, Some(0));
        let executed = cluster.record("upstream-1").await["executed"].clone();
        let seen = load.answers.borrow().len();
        load.wait_answers(seen + 100).await;
        let later = cluster.record("upstream-1").await["executed"].clone();
        assert_eq!(
            executed, later,
            "the upstream of a draining sidecar got a new request"
        );
        for answer in load.stop().await {
            let answer = answer.expect("the call must be answered");
            assert_eq!(
                (answer.status, answer.outcome.as_str()),
                (200, "ran"),
                "{}",
                answer.text()
            );
        }
    });
}

#[test]
fn a_rolling_restart_of_all_daemons_aborts_no_request() {
    run(async {
        let mut cluster = Cluster::start(ClusterPlan {
            entries: 2,
            sidecars: 3,
            service_ms: 10,
            ..ClusterPlan::default()
        })
        .await;
        for name in ["sidecar-1", "sidecar-2", "sidecar-3", "entry-1", "entry-2"] {
            // The load balancer sends no callers to an entry that is about to stop.
            let entries = (1..=2)
                .filter(|n| name != format!("entry-{n}"))
                .map(|n| cluster.callers(n))
                .collect();
            let load = SteadyLoad::start(6, entries);
            load.wait_answers(30).await;
            assert_eq!(cluster.drain(name).await, Some(0), "{name}");
            cluster.restart(name);
            for n in 1..=2 {
                cluster.wait_until_routing(n).await;
            }
            let seen = load.answers.borrow().len();
            load.wait_answers(seen + 30).await;
            for answer in load.stop().await {
                let answer = answer.unwrap_or_else(|error| panic!("{name}: {error}"));
                assert_eq!(answer.outcome, "ran", "{name}: {}", answer.text());
            }
        }
    });
}

#[test]
fn a_drained_entry_finishes_a_long_answer() {
    run(async {
        let mut cluster = Cluster::start(ClusterPlan::default()).await;
        let url = format!("{}/v1/call/{SERVICE}/long", cluster.callers(1));
        let waiting = compio::runtime::spawn(async move {
            let headers = [
                ("waxwing-team", TEAM),
                ("waxwing-deadline-ms", "20000"),
                ("x-service-ms", "1500"),
                ("x-answer-bytes", "6000000"),
            ];
            call(Method::GET, &url, &headers, Vec::new()).await
        });
        wait_for("the dispatch of the request", || async {
            let mut executed = 0;
            for n in 1..=2 {
                let record = cluster.record(&format!("upstream-{n}")).await;
                executed += record["executed"].as_u64()?;
            }
            (executed > 0).then_some(())
        })
        .await;
        assert_eq!(cluster.drain("entry-1").await, Some(0));
        let answer = waiting
            .await
            .expect("the task must not panic")
            .expect("the answer must be complete");
        assert_eq!((answer.status, answer.body.len()), (200, 6_000_000));
    });
}

#[test]
fn a_sidecar_frozen_while_it_drains_gets_no_new_requests() {
    run(async {
        let cluster = Cluster::start(ClusterPlan::default()).await;
        cluster.signal("sidecar-1", libc::SIGTERM);
        cluster.freeze("sidecar-1");
        // The entries remove the sidecar because it is silent. Later requests use the other upstream alone.
        let url = format!("{}/v1/status", cluster.operators(1));
        wait_for("the removal of the silent sidecar", || async {
            let status = get_json(&url).await?;
            let members = status["members"].as_array()?;
            let listed = members.iter().any(|member| member["name"] == "sidecar-1");
            (!listed).then_some(())
        })
        .await;
        for _ in 0..30 {
            let answer = cluster
                .request(1, "/elsewhere", &[])
                .await
                .expect("the call must be answered");
            assert_eq!(answer.outcome, "ran");
        }
        let before = cluster.record("upstream-1").await["executed"].clone();
        cluster.thaw("sidecar-1");
        for _ in 0..30 {
            let answer = cluster
                .request(1, "/elsewhere", &[])
                .await
                .expect("the call must be answered");
            assert_eq!(answer.outcome, "ran");
        }
        let after = cluster.record("upstream-1").await["executed"].clone();
        assert_eq!(
            before, after,
            "the upstream of a draining sidecar got a new request"
        );
    });
}

/// Guards against a failure seen in CI: another process had taken the port of a killed entry before the entry was
/// restarted. Each cluster therefore listens on its own loopback address.
#[test]
fn a_killed_process_restarts_although_its_port_is_used_on_another_address() {
    run(async {
        let mut cluster = Cluster::start(ClusterPlan::default()).await;
        let callers = cluster.callers(1);
        let port = callers
            .rsplit(':')
            .next()
            .expect("the address must have a port");
        let port: u16 = port.parse().expect("the port must be a number");
        cluster.kill("entry-1");
        // An outgoing connection or another test may take the port on another address.
        let _other = std::net::TcpListener::bind(("127.0.0.1", port))
            .expect("the port must be free on this address");
        cluster.restart("entry-1");
        cluster.wait_until_routing(1).await;
    });
}
