//! Further copies of orders, and silence, by the state of the agent.

use crate::boots::BootReport;
use crate::driver::drive_worker;
use crate::orders::START_TIMEOUT;
use crate::process::new_state;
use crate::rules::AgentRules;
use crate::run_list::{LinkGeneration, RunListState};
use crate::run_table::{PlacementInfo, RunState};
use crate::state::{AgentState, OwnerLink, WorkerBoot};
use compio::runtime::{Runtime, spawn};
use compio::time::sleep;
use futures_channel::mpsc::unbounded;
use platform::StartRequest;
use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};
use wax_batch::{BootId, JobName, RunId, TaskName, WorkerState, WorkerView};
use wax_policy::{DrainRules, OrderRules, PaceRules, PerformanceRules};
use wax_types::TimePoint;

pub(crate) fn run_id() -> RunId {
    RunId {
        task: TaskName {
            job: JobName(1),
            occurrence: 0,
            step: 0,
            index: 0,
        },
        run: 1,
    }
}

/// Returns an agent with an active boot and a link to an owner, whose unanswered calls are sent
/// again.
pub(crate) fn linked_agent(worker: SocketAddr) -> Rc<AgentState> {
    let orders = OrderRules {
        enabled: 1,
        ..OrderRules::default()
    };
    let rules = Rc::new(AgentRules {
        pace: Cell::new(PaceRules::default()),
        performance: Cell::new(PerformanceRules::default()),
        orders: Cell::new(orders),
    });
    let drain_rules = DrainRules {
        bound: Some(Duration::from_secs(60)),
    };
    let state = new_state(("vm", "domain"), worker, rules, drain_rules);
    state.fencing_token.set(1);
    let now = state.now();
    state.authority_until.set(now + Duration::from_secs(60));
    let (outbox, _) = unbounded();
    *state.link.borrow_mut() = Some(OwnerLink {
        generation: LinkGeneration(1),
        outbox,
    });
    let view = WorkerView {
        boot: BootId::new("worker", Some(1)),
        state: WorkerState::Ready,
        ..Default::default()
    };
    let mut boot = WorkerBoot::new(view, 1, now);
    boot.run_list = RunListState::Accepted(LinkGeneration(1));
    boot.lease.assume_granted(now, Duration::from_secs(60));
    *state.boot.borrow_mut() = Some(boot);
    Rc::new(state)
}

/// Guards against a further copy of a start that reaches the worker after it has announced its end.
#[test]
fn starts_are_not_sent_again_to_a_draining_worker() {
    let state = linked_agent(SocketAddr::from(([127, 0, 0, 1], 1)));
    let now = state.now();
    state
        .drains
        .borrow_mut()
        .replace(1, Default::default(), now);
    let request = start_request();
    assert!(state.may_resend(&request, now));
    let mut boot = state.boot.borrow_mut();
    boot.as_mut().expect("the active boot").view.state = WorkerState::Draining;
    drop(boot);
    assert!(!state.may_resend(&request, now));
}

pub(crate) fn reserve_run(state: &AgentState) {
    let mut boot = state.boot.borrow_mut();
    let boot = boot.as_mut().expect("the active boot");
    let (view, placement) = (boot.view.clone(), PlacementInfo::default());
    let reserved = boot.table.reserve(run_id(), placement, &view, state.now());
    assert_eq!(reserved, Ok(()));
}

fn start_request() -> StartRequest {
    StartRequest {
        run_id: run_id(),
        text: "".into(),
        lease_until_ms: 0,
        token: 1,
        checkpoint: "".into(),
        ticket: "".into(),
    }
}

/// Address at which no call is answered: connections are accepted by the system and never read.
fn unanswering_worker() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port must be free");
    let address = listener.local_addr().expect("the listener must be bound");
    (listener, address)
}

fn is_silent(state: &AgentState) -> bool {
    let boot = state.boot.borrow();
    boot.as_ref().expect("the active boot").is_silent
}

/// Guards against a worker that never counts as silent because another boot is verified between
/// two holds: the time of the verification was taken for a suspension of the agent.
#[test]
fn worker_becomes_silent_while_another_boot_is_verified() {
    let runtime = Runtime::new().expect("the runtime must start");
    runtime.block_on(async {
        let (_listener, address) = unanswering_worker();
        let state = linked_agent(address);
        spawn(drive_worker(state.clone())).detach();
        for _ in 0..50 {
            let view = WorkerView {
                boot: BootId::new("worker", Some(2)),
                ..Default::default()
            };
            let report = BootReport { view, sequence: 1 };
            state.boots.borrow_mut().set_candidate(report);
            sleep(Duration::from_millis(100)).await;
            if is_silent(&state) {
                return;
            }
        }
        panic!("the worker does not count as silent after 5 s");
    });
}

/// Guards against a worker that gets starts for ever although it answers no hold: no end of a run
/// would be known, and its leases would expire.
#[test]
fn worker_that_answers_only_orders_becomes_silent() {
    let at = |millis: u64| TimePoint::from_millis(100_000 + millis);
    let rules = OrderRules {
        enabled: 1,
        ..OrderRules::default()
    };
    let mut boot = WorkerBoot::new(WorkerView::default(), 1, at(0));
    let mut silent_from = None;
    for millis in (0..8_000).step_by(250) {
        boot.silence.note_answer(at(millis));
        if boot.check_silence(at(millis), &rules) {
            silent_from = silent_from.or(Some(millis));
        }
    }
    assert_eq!(silent_from, Some(4_000));
    boot.note_hold_answer(at(8_000));
    assert!(!boot.check_silence(at(8_000), &rules));
}

/// Guards against calls that pile up while a worker does not answer: each owner that takes over
/// orders the stop again.
#[test]
fn repeated_stops_of_a_run_share_their_calls() {
    let runtime = Runtime::new().expect("the runtime must start");
    runtime.block_on(async {
        let (listener, address) = unanswering_worker();
        listener
            .set_nonblocking(true)
            .expect("the listener must not block");
        let state = linked_agent(address);
        reserve_run(&state);
        for _ in 0..20 {
            state.handle_stop(run_id());
        }
        sleep(Duration::from_millis(300)).await;
        let connections = std::iter::from_fn(|| listener.accept().ok()).count();
        assert_eq!(connections, 1);
    });
}

/// Worker that answers one start as soon as it may, and reports when it has read and answered it.
struct GatedWorker {
    address: SocketAddr,
    request_read: Receiver<()>,
    may_answer: Sender<()>,
    answered: Receiver<()>,
}

impl GatedWorker {
    fn start() -> Self {
        let (listener, address) = unanswering_worker();
        let (request_read_sender, request_read) = channel();
        let (may_answer, may_answer_receiver) = channel();
        let (answered_sender, answered) = channel();
        std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("the agent must connect");
            let mut request = [0; 4_096];
            let _ = stream.read(&mut request);
            let _ = request_read_sender.send(());
            let _: Result<(), _> = may_answer_receiver.recv();
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}");
            let _ = answered_sender.send(());
            // Keeps the connection open until the test has ended.
            let _: Result<(), _> = may_answer_receiver.recv();
        });
        Self {
            address,
            request_read,
            may_answer,
            answered,
        }
    }
}

/// Sends a start, suspends the agent beyond the time-out of the start, and has the worker answer
/// meanwhile. Returns the state of the run afterwards; `None` if the time-out passed before the
/// suspension, on a busy machine.
async fn answer_during_suspension() -> Option<RunState> {
    let worker = GatedWorker::start();
    let state = linked_agent(worker.address);
    reserve_run(&state);
    let boot = state.active_boot().expect("the active boot");
    let began_at = Instant::now();
    let copies = state
        .clone()
        .send_start_copies(boot.clone(), start_request());
    spawn(copies).detach();
    while worker.request_read.try_recv().is_err() {
        sleep(Duration::from_millis(1)).await;
    }
    // The runtime has one thread, so that nothing else runs from here on until the next await.
    if began_at.elapsed() >= START_TIMEOUT {
        return None;
    }
    worker.may_answer.send(()).expect("the worker must wait");
    worker.answered.recv().expect("the worker must answer");
    std::thread::sleep((START_TIMEOUT * 2).saturating_sub(began_at.elapsed()));
    while state.is_starting(&boot, run_id()) {
        sleep(Duration::from_millis(1)).await;
    }
    state
        .with_table(&boot, |table| table.state(run_id()))
        .flatten()
}

/// Guards against a run that is stopped although the worker has accepted its start: the answer
/// arrived while the agent was suspended, and the time-out of the start has passed meanwhile.
#[test]
fn answer_that_arrived_while_the_agent_was_suspended_counts() {
    let runtime = Runtime::new().expect("the runtime must start");
    runtime.block_on(async {
        let run_state = loop {
            if let Some(run_state) = answer_during_suspension().await {
                break run_state;
            }
        };
        assert_eq!(run_state, RunState::Running);
    });
}

/// Guards against a start that is resolved by stops although no copy of it could be sent.
#[test]
fn start_whose_connections_never_open_is_refused_as_not_sent() {
    let runtime = Runtime::new().expect("the runtime must start");
    runtime.block_on(async {
        let (_listener, address) = unanswering_worker();
        // Fills the backlog, so that the system opens no further connection.
        let connect = || std::net::TcpStream::connect_timeout(&address, Duration::from_millis(50));
        let _backlog: Vec<_> = std::iter::from_fn(|| connect().ok()).take(5_000).collect();
        let state = linked_agent(address);
        reserve_run(&state);
        let boot = state.active_boot().expect("the active boot");
        spawn(
            state
                .clone()
                .send_start_copies(boot.clone(), start_request()),
        )
        .detach();
        sleep(Duration::from_millis(900)).await;
        let run_state = state.with_table(&boot, |table| table.state(run_id()));
        assert_eq!(run_state.flatten(), None);
    });
}
