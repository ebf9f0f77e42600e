//! Command `site-worker`: a worker of the users' platform. Carries out the orders of the agent on
//! its VM and keeps an independent history for audits.

use crate::args::SiteWorkerOptions;
use crate::site_runs::{OrderAnswer, RunOrder, SiteRuns};
use compio::runtime::spawn;
use compio::time::sleep;
use cyper::Client;
use http::StatusCode;
use serde::Deserialize;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use wax_http::{
    HttpHandler, HttpReply, HttpRequest, HttpServer, ShutdownSignal, bind_listener, empty_reply,
    error_reply, json_reply, parse_json,
};
use wax_types::{ErrorKind, Step, WaxError};

const MAX_BODY_BYTES: usize = 1 << 20;
const TICK_PERIOD: Duration = Duration::from_millis(5);
const CHECK_IN_PERIOD: Duration = Duration::from_millis(300);
/// Time before a start order with a lost reply is answered. Longer than the agent's timeout for an
/// order, so that the agent sees no reply.
const LOST_REPLY_DELAY: Duration = Duration::from_secs(30);

/// Exit code of a worker that was crashed by one of its tasks.
const CRASH_EXIT_CODE: i32 = 101;

/// Faults of the worker. `POST /faults` replaces all of them; fields that the request omits are
/// reset.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
struct SiteWorkerFaults {
    /// Every run that finishes its work ends as failed.
    fail: bool,
    /// Percentage of start orders that are processed only after `late_ms` and whose reply is lost.
    late_percent: u32,
    /// Delay of these start orders, milliseconds.
    late_ms: u64,
    /// Factor by which all runs are slower; 0 or 1 for full speed.
    slow_times: f64,
    /// Percentage of calls, of any kind, that are not answered and are executed later.
    lost_percent: u32,
    /// Number of first copies of each start that are not answered and are executed later.
    lost_start_copies: u32,
    /// Holds that may wait are not answered and are executed later.
    lost_waiting_holds: bool,
    /// Minimum and maximum delay until calls without an answer are executed, milliseconds.
    lost_ms: (u64, u64),
    /// The worker reports the state `draining`.
    draining: bool,
    /// Processor capacity that the worker reports, thousandths of a core; `None` reports the value
    /// of the command line.
    cpu_milli: Option<u32>,
}

struct SiteWorkerState {
    id: String,
    runs: Rc<RefCell<SiteRuns>>,
    /// Number of copies received of each start, by task and run.
    start_copies: RefCell<HashMap<(String, u64), u32>>,
    faults: RefCell<SiteWorkerFaults>,
    /// Number of the last check-in.
    sequence: Cell<u64>,
    /// Content of the last check-in.
    reported: RefCell<Value>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase", default)]
#[derive(Default)]
struct HoldBody {
    deadline_ms: Option<u64>,
    fencing_token: u64,
    ack_cursor: u64,
    wait_ms: u64,
}

pub(crate) async fn run(options: SiteWorkerOptions) -> Result<(), WaxError> {
    let listener = bind_listener(options.listen)?;
    let address = listener
        .local_addr()
        .map_err(|error| WaxError::new(ErrorKind::Invalid, Step::Listen, "worker", error))?;
    println!("{}", json!({ "worker": address }));
    let state = Rc::new(SiteWorkerState {
        id: options.id.clone(),
        runs: Rc::new(RefCell::new(SiteRuns::new(&options))),
        start_copies: RefCell::default(),
        faults: RefCell::default(),
        sequence: Cell::new(0),
        reported: RefCell::default(),
    });
    spawn(run_ticks(state.clone())).detach();
    spawn(send_check_ins(state.clone(), options, address)).detach();
    HttpServer::new(listener, state, ShutdownSignal::default())
        .run()
        .await;
    Ok(())
}

async fn run_ticks(state: Rc<SiteWorkerState>) {
    let mut last_tick_ms = state.runs.borrow().clock_ms();
    loop {
        sleep(TICK_PERIOD).await;
        // The delay of the runs and their ends go by the same reading: between two readings, a worker
        // under load may stand still for longer than a run lasts.
        let now_ms = state.runs.borrow().clock_ms();
        let slow_times = state.faults.borrow().slow_times;
        if slow_times > 1.0 {
            let elapsed_ms = now_ms - last_tick_ms;
            state.runs.borrow_mut().delay_runs(elapsed_ms, slow_times);
        }
        last_tick_ms = now_ms;
        if state.runs.borrow_mut().check_crash() {
            // The history is printed because it cannot be queried after the crash.
            println!("{}", json!({ "history": state.runs.borrow().history() }));
            std::process::exit(CRASH_EXIT_CODE);
        }
        let fail = state.faults.borrow().fail;
        state.runs.borrow_mut().end_finished_runs(now_ms, fail);
    }
}

async fn send_check_ins(
    state: Rc<SiteWorkerState>,
    options: SiteWorkerOptions,
    address: SocketAddr,
) {
    let Ok(client) = Client::new() else {
        return;
    };
    let url = format!(
        "http://{}/v1/instances/{}/heartbeat",
        options.agent, options.id
    );
    loop {
        state.sequence.set(state.sequence.get() + 1);
        let body = state.report(&options, address);
        *state.reported.borrow_mut() = body.clone();
        if let Ok(request) = client.post(&url)
            && let Ok(request) = request.json(&body)
        {
            // A check-in that fails is not retried; the next one follows after CHECK_IN_PERIOD.
            let _ = request.send().await;
        }
        sleep(CHECK_IN_PERIOD).await;
    }
}

impl HttpHandler for SiteWorkerState {
    async fn handle(&self, request: HttpRequest) -> HttpReply {
        let path = request.uri().path().to_owned();
        match path.as_str() {
            "/faults" => {
                return match parse_json::<SiteWorkerFaults>(request, MAX_BODY_BYTES).await {
                    Ok(faults) => {
                        *self.faults.borrow_mut() = faults;
                        empty_reply(StatusCode::OK)
                    }
                    Err(error) => error_reply(&error),
                };
            }
            "/report" => return json_reply(StatusCode::OK, &*self.reported.borrow()),
            "/token" => return json_reply(StatusCode::OK, &self.runs.borrow().token()),
            "/paces" => return json_reply(StatusCode::OK, self.runs.borrow().paces()),
            "/history" => return json_reply(StatusCode::OK, self.runs.borrow().history()),
            _ => {}
        }
        let expected = request.headers().get("waxwingfield-expected-instance");
        if expected.is_some_and(|id| id.as_bytes() != self.id.as_bytes()) {
            return empty_reply(StatusCode::MISDIRECTED_REQUEST);
        }
        match path.as_str() {
            "/v1/run-start" => self.start(request).await,
            "/v1/run-stop" => self.order(request, SiteRuns::stop).await,
            "/v1/pace" => self.order(request, SiteRuns::pace).await,
            "/v1/hold" => self.hold(request).await,
            _ => empty_reply(StatusCode::NOT_FOUND),
        }
    }
}

fn reply(answer: &OrderAnswer) -> HttpReply {
    let status = if answer.reason.is_some() {
        StatusCode::CONFLICT
    } else {
        StatusCode::OK
    };
    json_reply(status, answer)
}

impl SiteWorkerFaults {
    fn loses_call(&self) -> bool {
        fastrand::u32(0..100) < self.lost_percent
    }
}

impl SiteWorkerState {
    /// Executes a call later, also if the caller closes the connection, and sends no answer.
    async fn lose(
        &self,
        faults: &SiteWorkerFaults,
        execute: impl FnOnce(&mut SiteRuns) + 'static,
    ) -> HttpReply {
        let (min, max) = faults.lost_ms;
        let delay = Duration::from_millis(fastrand::u64(min..=max.max(min)));
        let runs = self.runs.clone();
        spawn(async move {
            sleep(delay).await;
            execute(&mut runs.borrow_mut());
        })
        .detach();
        sleep(LOST_REPLY_DELAY).await;
        empty_reply(StatusCode::GATEWAY_TIMEOUT)
    }

    /// Returns the content of a check-in: identity, address, state and capacity.
    fn report(&self, options: &SiteWorkerOptions, address: SocketAddr) -> Value {
        let faults = self.faults.borrow();
        let runs = self.runs.borrow();
        let status = if faults.draining { "draining" } else { "ready" };
        let cpu_milli = faults.cpu_milli.unwrap_or(options.cpu_milli);
        json!({
            "service": options.service, "address": address.to_string(), "zone": options.domain, "version": "v1",
            "slots": 8, "state": status, "coldRemainingMs": 0,
            "capacity": { "cpu": cpu_milli, "memMb": options.memory_mb, "gpu": 0 },
            "labels": ["a", "r1"], "clockMs": runs.clock_ms(), "sequence": self.sequence.get(),
            "born": runs.started_ms(),
        })
    }

    async fn start(&self, request: HttpRequest) -> HttpReply {
        let order: RunOrder = match parse_json(request, MAX_BODY_BYTES).await {
            Ok(order) => order,
            Err(error) => return error_reply(&error),
        };
        let faults = self.faults.borrow().clone();
        let copies = {
            let mut copies = self.start_copies.borrow_mut();
            let copies = copies.entry(order.run_key()).or_default();
            *copies += 1;
            *copies
        };
        if copies <= faults.lost_start_copies || faults.loses_call() {
            return self
                .lose(&faults, move |runs| {
                    runs.start(order);
                })
                .await;
        }
        if fastrand::u32(0..100) < faults.late_percent {
            sleep(Duration::from_millis(faults.late_ms)).await;
            self.runs.borrow_mut().start(order);
            sleep(LOST_REPLY_DELAY).await;
            return empty_reply(StatusCode::GATEWAY_TIMEOUT);
        }
        reply(&self.runs.borrow_mut().start(order))
    }

    async fn order(
        &self,
        request: HttpRequest,
        apply: impl Fn(&mut SiteRuns, RunOrder) -> OrderAnswer + 'static,
    ) -> HttpReply {
        let faults = self.faults.borrow().clone();
        match parse_json(request, MAX_BODY_BYTES).await {
            Ok(order) if faults.loses_call() => {
                self.lose(&faults, move |runs| {
                    apply(runs, order);
                })
                .await
            }
            Ok(order) => reply(&apply(&mut self.runs.borrow_mut(), order)),
            Err(error) => error_reply(&error),
        }
    }

    async fn hold(&self, request: HttpRequest) -> HttpReply {
        let body: HoldBody = match parse_json(request, MAX_BODY_BYTES).await {
            Ok(body) => body,
            Err(error) => return error_reply(&error),
        };
        let faults = self.faults.borrow().clone();
        if (faults.lost_waiting_holds && body.wait_ms > 0) || faults.loses_call() {
            return self
                .lose(&faults, move |runs| {
                    runs.hold(body.fencing_token, body.deadline_ms, body.ack_cursor);
                })
                .await;
        }
        let answer =
            self.runs
                .borrow_mut()
                .hold(body.fencing_token, body.deadline_ms, body.ack_cursor);
        if answer.reason.is_some() {
            return reply(&answer);
        }
        let ended = self.runs.borrow().ended();
        let waits = (body.wait_ms / TICK_PERIOD.as_millis() as u64).max(1);
        for _ in 0..waits {
            if self.runs.borrow().ended() > ended || body.wait_ms == 0 {
                break;
            }
            sleep(TICK_PERIOD).await;
        }
        json_reply(StatusCode::OK, &self.runs.borrow().hold_reply())
    }
}
