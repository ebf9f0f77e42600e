//! Command `worker`: runs simulated tasks under leases, with the API of the platform's workers.

use crate::args::WorkerOptions;
use crate::worker_runs::{RunAction, RunTable};
use compio::runtime::spawn;
use compio::time::{interval, sleep};
use http::StatusCode;
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use wax_http::{
    HttpHandler, HttpReply, HttpRequest, HttpServer, ShutdownSignal, bind_listener, empty_reply,
    error_reply, json_reply, parse_json,
};
use wax_platform::{
    ControlReply, ControlRequest, HttpCaller, ObjectClient, RenewReply, RenewRequest, StartRequest,
    StoreHandle, StoreLimits, TaskRunId, TaskRunStatus, ThrottleRequest, WorkerInfo,
};
use wax_types::{ErrorKind, ProcessClock, ShardEpoch, Step, WaxError};

const MAX_BODY_BYTES: usize = 4 << 20;
const TICK_PERIOD: Duration = Duration::from_millis(5);

struct WorkerState {
    runs: RefCell<RunTable>,
    objects: ObjectClient,
}

/// Content of a checkpoint object.
#[derive(Serialize, Deserialize)]
struct CheckpointData {
    done_ms: f64,
}

pub(crate) async fn run(options: WorkerOptions) -> Result<(), WaxError> {
    if options.count == 1 {
        let id = options.id.clone();
        let (address, server) = prepare(&options, id, options.listen).await?;
        println!("{}", json!({ "worker": address }));
        server.run().await;
        return Ok(());
    }
    let any_port = SocketAddr::new(options.listen.ip(), 0);
    for n in 1..=options.count {
        let (_, server) = prepare(&options, format!("{}-{n}", options.id), any_port).await?;
        spawn(server.run()).detach();
    }
    println!("{}", json!({ "workers": options.count }));
    std::future::pending().await
}

/// Binds the server of one worker and registers the worker with the platform.
async fn prepare(
    options: &WorkerOptions,
    id: String,
    listen: SocketAddr,
) -> Result<(SocketAddr, HttpServer<WorkerState>), WaxError> {
    let listener = bind_listener(listen)?;
    let address = listener
        .local_addr()
        .map_err(|error| WaxError::new(ErrorKind::Invalid, Step::Listen, "worker", error))?;
    let base = format!("http://{}", options.platform);
    let limits = StoreLimits {
        call_timeout: Duration::from_secs(2),
        concurrency: 16,
    };
    let store = StoreHandle::new(&base, limits, ProcessClock::start())?;
    let usage_period = Duration::from_millis(options.usage_ms);
    let state = Rc::new(WorkerState {
        runs: RefCell::new(RunTable::new(options.capacity, usage_period)),
        objects: ObjectClient::new(store),
    });
    let info = WorkerInfo {
        id: id.into(),
        address: address.to_string().into(),
        rack: options.rack.as_str().into(),
        failure_domain: options.domain.as_str().into(),
        capacity: options.capacity,
    };
    register(&base, &info).await?;
    spawn(advance_runs(state.clone())).detach();
    Ok((
        address,
        HttpServer::new(listener, state, ShutdownSignal::default()),
    ))
}

async fn register(base: &str, info: &WorkerInfo) -> Result<(), WaxError> {
    let caller = HttpCaller::new(Duration::from_secs(2))?;
    let url = format!("{base}/workers");
    let body = serde_json::to_vec(info).unwrap_or_default();
    let request = caller.request(Step::Connect, http::Method::POST, &url, &[], body)?;
    let (status, _) = caller.send(Step::Connect, &url, request).await?;
    if status.is_success() {
        return Ok(());
    }
    Err(WaxError::new(
        ErrorKind::Protocol,
        Step::Connect,
        url,
        status,
    ))
}

async fn advance_runs(state: Rc<WorkerState>) {
    let mut ticks = interval(TICK_PERIOD);
    loop {
        ticks.tick().await;
        let actions = state.runs.borrow_mut().advance(Instant::now());
        for RunAction::WriteResult(run_id) in actions {
            state.write_result(run_id).await;
        }
    }
}

impl WorkerState {
    async fn write_result(&self, run_id: TaskRunId) {
        let key = format!("results/{}", run_id.task);
        let body = json!({ "task": run_id.task, "epoch": run_id.epoch, "answer": "done" });
        let bytes = serde_json::to_vec(&body).unwrap_or_default();
        if self.objects.create(&key, bytes).await.is_err() {
            // The run stays in the state `Running`; the next tick writes the result again.
            return;
        }
        let mut runs = self.runs.borrow_mut();
        runs.end(Instant::now(), run_id, TaskRunStatus::Done(key.into()));
    }

    async fn write_checkpoint(&self, run_id: TaskRunId) -> Option<Box<str>> {
        let done_ms = self.runs.borrow().get(run_id)?.progress_ms(Instant::now());
        let key = format!(
            "checkpoints/{}/{}/{}",
            run_id.task,
            run_id.epoch,
            fastrand::u64(..)
        );
        let bytes = serde_json::to_vec(&CheckpointData { done_ms }).unwrap_or_default();
        self.objects.create(&key, bytes).await.ok()?;
        let key: Box<str> = key.into();
        self.runs.borrow_mut().get_mut(run_id)?.checkpoint = Some(key.clone());
        Some(key)
    }

    async fn read_checkpoint(&self, key: Option<&str>) -> Result<f64, WaxError> {
        let Some(key) = key else { return Ok(0.0) };
        let bytes = self.objects.read(key).await?.ok_or_else(|| {
            WaxError::new(
                ErrorKind::NotFound,
                Step::ReadObject,
                key,
                "no such checkpoint",
            )
        })?;
        let data: CheckpointData = serde_json::from_slice(&bytes)
            .map_err(|error| WaxError::new(ErrorKind::Protocol, Step::ReadObject, key, error))?;
        Ok(data.done_ms)
    }

    /// Returns an error if an owner with a higher epoch has called this worker.
    fn check_owner(&self, owner: ShardEpoch) -> Result<(), WaxError> {
        if self.runs.borrow_mut().accept_owner(owner) {
            return Ok(());
        }
        let text = "a later owner has called this worker";
        Err(WaxError::new(
            ErrorKind::Conflict,
            Step::CallWorker,
            "worker",
            text,
        ))
    }

    async fn start(&self, request: StartRequest) -> Result<HttpReply, WaxError> {
        let delay = self.runs.borrow().faults.start_delay_ms;
        sleep(Duration::from_millis(delay)).await;
        let done_ms = self.read_checkpoint(request.checkpoint.as_deref()).await?;
        self.check_owner(request.owner)?;
        let reply = self
            .runs
            .borrow_mut()
            .start(Instant::now(), &request, done_ms);
        Ok(json_reply(StatusCode::OK, &reply))
    }

    fn renew(&self, request: &RenewRequest) -> Result<HttpReply, WaxError> {
        self.check_owner(request.owner)?;
        let now = Instant::now();
        let mut runs = self.runs.borrow_mut();
        if runs.clock_ms(now) <= request.valid_until_ms {
            runs.renew(now, &request.renew, request.lease_ms);
        }
        runs.forget(&request.forget);
        let reply = RenewReply {
            runs: runs.reports(),
            usage: runs.take_usage(now, request.usage_through),
            boot: runs.boot,
            clock_ms: runs.clock_ms(now),
        };
        Ok(json_reply(StatusCode::OK, &reply))
    }

    async fn stop(&self, request: ControlRequest) -> Result<HttpReply, WaxError> {
        self.check_owner(request.owner)?;
        let run_id = request.run_id;
        self.runs.borrow_mut().fence(run_id);
        let checkpoint = self.write_checkpoint(run_id).await;
        let mut runs = self.runs.borrow_mut();
        runs.end(Instant::now(), run_id, TaskRunStatus::Stopped(checkpoint));
        drop(runs);
        Ok(self.run_reply(run_id))
    }

    fn run_reply(&self, run_id: TaskRunId) -> HttpReply {
        let runs = self.runs.borrow();
        let run = runs.get(run_id);
        let reply = ControlReply {
            run: run.map(|run| run.status.clone()),
            checkpoint: run.and_then(|run| run.checkpoint.clone()),
        };
        json_reply(StatusCode::OK, &reply)
    }

    fn throttle(&self, request: &ThrottleRequest) -> Result<HttpReply, WaxError> {
        self.check_owner(request.owner)?;
        let speed = f64::from(request.percent.clamp(1, 100)) / 100.0;
        if let Some(run) = self.runs.borrow_mut().get_mut(request.run_id) {
            run.set_speed(Instant::now(), speed);
        }
        Ok(self.run_reply(request.run_id))
    }

    async fn answer(&self, request: HttpRequest) -> Result<HttpReply, WaxError> {
        let path = request.uri().path().to_owned();
        if path == "/faults" {
            self.runs.borrow_mut().faults = parse_json(request, MAX_BODY_BYTES).await?;
            return Ok(empty_reply(StatusCode::NO_CONTENT));
        }
        if path == "/audit" {
            let runs = self.runs.borrow();
            let body = json!({ "runs": runs.audit, "worst_over": runs.max_overload });
            return Ok(json_reply(StatusCode::OK, &body));
        }
        if self.runs.borrow().faults.cut {
            return Ok(empty_reply(StatusCode::SERVICE_UNAVAILABLE));
        }
        match path.as_str() {
            "/start" => self.start(parse_json(request, MAX_BODY_BYTES).await?).await,
            "/renew" => self.renew(&parse_json(request, MAX_BODY_BYTES).await?),
            "/stop" => self.stop(parse_json(request, MAX_BODY_BYTES).await?).await,
            "/checkpoint" => {
                let request: ControlRequest = parse_json(request, MAX_BODY_BYTES).await?;
                self.check_owner(request.owner)?;
                self.write_checkpoint(request.run_id).await;
                Ok(self.run_reply(request.run_id))
            }
            "/throttle" => self.throttle(&parse_json(request, MAX_BODY_BYTES).await?),
            _ => Ok(empty_reply(StatusCode::NOT_FOUND)),
        }
    }
}

impl HttpHandler for WorkerState {
    async fn handle(&self, request: HttpRequest) -> HttpReply {
        match self.answer(request).await {
            Ok(reply) => reply,
            Err(error) => error_reply(&error),
        }
    }
}
