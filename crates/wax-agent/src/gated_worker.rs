//! A worker and an agent for tests: the worker answers each call when the test allows it.

use crate::orders_tests::linked_agent;
use crate::run_list::LinkGeneration;
use crate::state::{AgentState, OwnerLink};
use compio::time::sleep;
use futures_channel::mpsc::{UnboundedReceiver, unbounded};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};
use wax_batch::RunId;
use wax_policy::OrderRules;
use wax_wire::PoolBody;

/// Time within which an expected event must happen.
pub(crate) const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

const HOLD_PATH: &str = "/v1/hold";
const STOP_PATH: &str = "/v1/run-stop";

/// Worker that answers each call when the test allows it. It runs nothing.
pub(crate) struct GatedWorker {
    pub(crate) address: SocketAddr,
    calls: Receiver<GatedCall>,
}

/// A call that waits for its answer.
pub(crate) struct GatedCall {
    path: String,
    /// Body of the call.
    pub(crate) body: Value,
    answer: Sender<Value>,
}

impl GatedWorker {
    pub(crate) fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port must be free");
        let address = listener.local_addr().expect("the listener must be bound");
        let (sender, calls) = channel();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let sender = sender.clone();
                std::thread::spawn(move || serve_calls(stream, &sender));
            }
        });
        Self { address, calls }
    }

    /// Waits for the next hold, and answers all orders before it.
    pub(crate) async fn next_hold(&self) -> GatedCall {
        self.next_call(|path| path == HOLD_PATH).await
    }

    /// Waits for the next order, and answers all holds before it.
    pub(crate) async fn next_order(&self) -> GatedCall {
        self.next_call(|path| path != HOLD_PATH).await
    }

    /// Waits for the next call, whichever it is.
    pub(crate) async fn next_hold_or_order(&self) -> GatedCall {
        self.next_call(|_| true).await
    }

    async fn next_call(&self, is_awaited: impl Fn(&str) -> bool) -> GatedCall {
        let began_at = Instant::now();
        while began_at.elapsed() < EVENT_TIMEOUT {
            match self.calls.try_recv() {
                Ok(call) if is_awaited(&call.path) => return call,
                Ok(call) => call.answer(),
                Err(_) => sleep(Duration::from_millis(1)).await,
            }
        }
        panic!("the agent must call the worker");
    }
}

impl GatedCall {
    /// Answers that nothing runs and nothing has ended.
    pub(crate) fn answer(self) {
        self.answer_as(&json!({}));
    }

    /// Returns whether the call stops a run.
    pub(crate) fn is_stop(&self) -> bool {
        self.path == STOP_PATH
    }

    /// Returns the fencing token of the call.
    pub(crate) fn token(&self) -> Option<u64> {
        self.body["fencingToken"].as_u64()
    }

    /// Returns whether the call extends leases.
    pub(crate) fn extends_leases(&self) -> bool {
        !self.body["deadlineMs"].is_null()
    }

    /// Answers as the boot that started at `started_ms`, on which these runs are in progress.
    pub(crate) fn answer_as_boot(self, started_ms: u64, runs: &[RunId]) {
        let running: Vec<Value> = runs
            .iter()
            .map(|run_id| json!([run_id.task.to_string(), run_id.run, "", 0]))
            .collect();
        self.answer_as(&json!({ "born": started_ms, "running": running }));
    }

    /// Answers with further fields.
    pub(crate) fn answer_as(self, fields: &Value) {
        let mut answer = json!({ "clockMs": 1_000, "running": [], "finished": [] });
        for (name, value) in fields.as_object().expect("an object") {
            answer[name] = value.clone();
        }
        // The agent may have given up the call.
        let _ = self.answer.send(answer);
    }
}

/// Reads the calls of one connection, one after the other. Ends with the connection or the test.
fn serve_calls(stream: TcpStream, sender: &Sender<GatedCall>) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut stream = stream;
    loop {
        let (mut path, mut length) = (String::new(), 0);
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let line = line.trim().to_ascii_lowercase();
            if line.is_empty() {
                break;
            } else if path.is_empty() {
                path = line.split(' ').nth(1)?.into();
            } else if let Some(value) = line.strip_prefix("content-length:") {
                length = value.trim().parse().ok()?;
            }
        }
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        let body = serde_json::from_slice(&body).ok()?;
        let (answer, may_answer) = channel();
        sender.send(GatedCall { path, body, answer }).ok()?;
        let body = may_answer.recv().ok()?.to_string();
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        stream.write_all((head + &body).as_bytes()).ok()?;
    }
}

/// Replaces the agent's link. Returns the messages on the new one.
pub(crate) fn open_link(
    state: &AgentState,
    generation: LinkGeneration,
    token: u64,
) -> UnboundedReceiver<PoolBody> {
    let (outbox, inbox) = unbounded();
    state.fencing_token.set(token);
    *state.link.borrow_mut() = Some(OwnerLink { generation, outbox });
    inbox
}

/// Returns an agent whose unanswered calls are not sent again, so that each hold is a single call.
pub(crate) fn agent_without_copies(worker: SocketAddr) -> Rc<AgentState> {
    let state = linked_agent(worker);
    state.rules.orders.set(OrderRules::default());
    state
}
