//! What an owner takes from an agent's link, before and after the agent has told what is on its worker.

use crate::site::{Site, job, name, run, wait_for};
use compio::net::TcpStream;
use compio::runtime::{JoinHandle, spawn};
use compio::time::timeout;
use futures_channel::mpsc::{UnboundedSender, unbounded};
use std::net::SocketAddr;
use std::time::Duration;
use wax_batch::{BootId, RunEnd, RunEndKind, RunId, TaskSize, WorkerView};
use wax_wire::{
    AgentHello, LinkHeartbeat, PoolBody, PoolReader, PoolWriter, RunEndFrame, RunUpdates,
    WorkerSnapshot, split_stream,
};

/// A message that has not come by then will not come.
const PATIENCE: Duration = Duration::from_secs(60);
const WORKER: &str = "i-played";

/// An agent that a test plays by hand, frame by frame.
struct PlayedAgent {
    reader: PoolReader,
    outbox: UnboundedSender<PoolBody>,
    _writing: JoinHandle<()>,
}

impl PlayedAgent {
    /// Links to the owner; nothing is told yet.
    async fn link(owner: SocketAddr) -> Option<Self> {
        Self::link_as(owner, "played", None).await
    }

    /// Links to the owner as the agent of a machine; says that this boot is dead.
    async fn link_as(owner: SocketAddr, node: &str, dead: Option<BootId>) -> Option<Self> {
        let stream = TcpStream::connect(owner).await.ok()?;
        let (mut reader, mut writer): (PoolReader, PoolWriter) = split_stream(stream);
        let hello = AgentHello {
            node: node.into(),
            ended_boots: dead.iter().map(Into::into).collect(),
        };
        writer.write(PoolBody::AgentHello(hello)).await.ok()?;
        let answer = reader.read().await.ok()??;
        if !matches!(answer, PoolBody::Welcome(_)) {
            return None;
        }
        let (outbox, mut inbox) = unbounded();
        let writing = spawn(async move {
            // The owner's end closes the link.
            let _ = writer.forward(&mut inbox).await;
        });
        Some(Self {
            reader,
            outbox,
            _writing: writing,
        })
    }

    fn tell(&self, body: PoolBody) {
        self.outbox.unbounded_send(body).expect("the link stands");
    }

    fn tell_worker(&self, ends: &[RunEnd]) {
        self.tell_boot(WORKER.into(), ends);
    }

    fn tell_boot(&self, boot: BootId, ends: &[RunEnd]) {
        let view = WorkerView {
            boot,
            service: "svc".into(),
            capacity: TaskSize {
                cpu_milli: 4_000,
                memory_mb: 4_000,
                accelerators: 0,
            },
            ..Default::default()
        };
        self.tell(PoolBody::WorkerSnapshot(WorkerSnapshot {
            worker: (&view).into(),
            runs: Vec::new(),
            ends: ends.iter().map(RunEndFrame::from).collect(),
            known_pairs: 0,
        }));
    }

    /// The next message that `pick` takes; heartbeats go on meanwhile.
    async fn next<T>(&mut self, pick: impl Fn(PoolBody) -> Option<T>) -> T {
        timeout(PATIENCE, async {
            loop {
                self.tell(PoolBody::Heartbeat(LinkHeartbeat::default()));
                let body = self.reader.read().await.expect("the link stands");
                if let Some(picked) = pick(body.expect("the owner keeps the link")) {
                    return picked;
                }
            }
        })
        .await
        .expect("the message comes")
    }

    async fn next_start(&mut self) -> RunId {
        self.next(|body| match body {
            PoolBody::Start(order) => Some(RunId::from(&order.placement.run_id)),
            _ => None,
        })
        .await
    }

    async fn wait_kept(&mut self) {
        self.next(|body| matches!(body, PoolBody::WorkerAccepted(_)).then_some(()))
            .await;
    }
}

fn done(number: u64, mark: RunId) -> RunEnd {
    RunEnd {
        number,
        run_id: mark,
        kind: RunEndKind::Done,
        checkpoint: "".into(),
    }
}

/// Two runs end while the link is silent, so that the first of the two ends is lost with it. The second one is
/// told on the next link before all that the worker lists.
#[test]
fn an_end_that_was_lost_with_its_link_is_not_passed_over_for_a_later_one() {
    run(async {
        let site = Site::start("lost-end", 1, 0).await;
        let owner = site.fronts[0].peers;
        let mut agent = wait_for("the front to own the shard", || PlayedAgent::link(owner)).await;
        agent.tell_worker(&[]);
        agent.wait_kept().await;
        site.submit(&name(1), &job(1, 2, 50)).await;
        let (first, second) = (agent.next_start().await, agent.next_start().await);
        drop(agent);
        let mut agent = wait_for("another link", || PlayedAgent::link(owner)).await;
        agent.tell(PoolBody::RunUpdates(RunUpdates {
            ends: vec![(&done(2, second)).into()],
            ..Default::default()
        }));
        agent.tell_worker(&[done(1, first), done(2, second)]);
        agent.wait_kept().await;
        site.wait_state(&name(1), "completed").await;
        for mark in [first, second] {
            let starts = site.starts_ordered(&mark.task.to_string());
            assert_eq!(starts, 1, "{} was started again after its end", mark.task);
        }
    });
}

/// A worker dies while its agent has no link, so that the word of its end is lost.
#[test]
fn a_worker_that_died_between_two_links_is_not_waited_for() {
    run(async {
        let site = Site::start("dead-between", 1, 0).await;
        let owner = site.fronts[0].peers;
        let link = |node: &'static str, dead: Option<BootId>| async move {
            let open = || PlayedAgent::link_as(owner, node, dead.clone());
            wait_for("the front to own the shard", open).await
        };
        let (dying, other) = (BootId::new("i-dying", Some(1)), BootId::from("i-other"));
        let mut agent = link("one", None).await;
        agent.tell_boot(dying.clone(), &[]);
        agent.wait_kept().await;
        site.submit(&name(1), &job(1, 1, 50)).await;
        let first = agent.next_start().await;
        drop(agent);
        let mut second = link("two", None).await;
        second.tell_boot(other, &[]);
        second.wait_kept().await;
        let _agent = link("one", Some(dying)).await;
        let again = second.next_start().await;
        assert_eq!(again.task, first.task);
        let lapsed = site.log("front-0").contains("leases have lapsed");
        assert!(!lapsed, "the task waited for leases of a dead worker");
    });
}
