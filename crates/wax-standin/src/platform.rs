//! Command `platform`: table service, object store and worker list in memory.

use crate::args::PlatformOptions;
use crate::faults::StoreFaults;
use crate::objects::MemoryObjects;
use crate::table::MemoryTable;
use bytes::Bytes;
use compio::time::sleep;
use http::{Method, Response, StatusCode};
use serde_json::json;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use wax_http::{
    HttpHandler, HttpReply, HttpRequest, HttpServer, OutgoingBody, ShutdownSignal, bind_listener,
    collect_body, empty_reply, error_reply, json_reply, parse_json,
};
use wax_platform::{CommitRequest, WorkerInfo, WorkerList};
use wax_types::{ErrorKind, Step, WaxError};

const MAX_BODY_BYTES: usize = 64 << 20;
/// Time before a commit with a lost reply is answered. Longer than the default timeout for one call
/// (`platform.call_ms`, 1 s), so that the caller sees no reply. A caller with a longer `call_ms` than
/// 30 s receives the status 504.
const LOST_REPLY_DELAY: Duration = Duration::from_secs(30);

#[derive(Default)]
struct PlatformState {
    table: RefCell<MemoryTable>,
    objects: RefCell<MemoryObjects>,
    workers: RefCell<BTreeMap<Box<str>, WorkerInfo>>,
    faults: RefCell<StoreFaults>,
}

pub(crate) async fn run(options: PlatformOptions) -> Result<(), WaxError> {
    let listener = bind_listener(options.listen)?;
    let address = listener
        .local_addr()
        .map_err(|error| WaxError::new(ErrorKind::Invalid, Step::Listen, "platform", error))?;
    println!("{}", json!({ "platform": address }));
    let state = Rc::new(PlatformState::default());
    HttpServer::new(listener, state, ShutdownSignal::default())
        .run()
        .await;
    Ok(())
}

impl HttpHandler for PlatformState {
    async fn handle(&self, request: HttpRequest) -> HttpReply {
        let path = request.uri().path().to_owned();
        match path.as_str() {
            "/faults" => return self.set_faults(request).await,
            "/stats" => return self.stats(),
            _ => {}
        }
        let (down, delay) = {
            let faults = self.faults.borrow();
            (faults.down, faults.delay_ms)
        };
        sleep(Duration::from_millis(delay)).await;
        if down {
            return empty_reply(StatusCode::SERVICE_UNAVAILABLE);
        }
        match path.as_str() {
            "/table/read" => match parse_json(request, MAX_BODY_BYTES).await {
                Ok(read) => json_reply(StatusCode::OK, &self.table.borrow_mut().read(&read)),
                Err(error) => error_reply(&error),
            },
            "/table/scan" => match parse_json(request, MAX_BODY_BYTES).await {
                Ok(scan) => json_reply(StatusCode::OK, &self.table.borrow_mut().scan(&scan)),
                Err(error) => error_reply(&error),
            },
            "/table/commit" => self.commit(request).await,
            "/workers" if request.method() == Method::GET => self.list_workers(),
            "/workers" => self.add_worker(request).await,
            _ if path.starts_with("/objects") => self.object(request, &path).await,
            _ => empty_reply(StatusCode::NOT_FOUND),
        }
    }
}

impl PlatformState {
    async fn set_faults(&self, request: HttpRequest) -> HttpReply {
        match parse_json::<StoreFaults>(request, MAX_BODY_BYTES).await {
            Ok(faults) => {
                *self.faults.borrow_mut() = faults.clone();
                json_reply(StatusCode::OK, &faults)
            }
            Err(error) => error_reply(&error),
        }
    }

    fn stats(&self) -> HttpReply {
        let table = self.table.borrow();
        let body = json!({
            "reads": table.reads,
            "commits": table.commits,
            "rows_written": table.rows_written,
        });
        json_reply(StatusCode::OK, &body)
    }

    async fn commit(&self, request: HttpRequest) -> HttpReply {
        let commit: CommitRequest = match parse_json(request, MAX_BODY_BYTES).await {
            Ok(commit) => commit,
            Err(error) => return error_reply(&error),
        };
        let lost = self.reply_is_lost(&commit);
        let reply = self.table.borrow_mut().commit(commit);
        if lost {
            sleep(LOST_REPLY_DELAY).await;
            return empty_reply(StatusCode::GATEWAY_TIMEOUT);
        }
        json_reply(StatusCode::OK, &reply)
    }

    fn reply_is_lost(&self, commit: &CommitRequest) -> bool {
        let faults = self.faults.borrow();
        let touched = commit
            .writes
            .iter()
            .any(|write| write.key.starts_with(&faults.lose_prefix));
        touched && fastrand::u32(0..100) < faults.lose_replies_percent
    }

    fn list_workers(&self) -> HttpReply {
        if self.faults.borrow().no_workers {
            return empty_reply(StatusCode::SERVICE_UNAVAILABLE);
        }
        let workers = self.workers.borrow().values().cloned().collect();
        json_reply(StatusCode::OK, &WorkerList { workers })
    }

    async fn add_worker(&self, request: HttpRequest) -> HttpReply {
        match parse_json::<WorkerInfo>(request, MAX_BODY_BYTES).await {
            Ok(info) => {
                let id = (*info.id).into();
                self.workers.borrow_mut().insert(id, info);
                empty_reply(StatusCode::NO_CONTENT)
            }
            Err(error) => error_reply(&error),
        }
    }

    async fn object(&self, request: HttpRequest, path: &str) -> HttpReply {
        let key = path.trim_start_matches("/objects").trim_start_matches('/');
        if request.method() == Method::GET && key.is_empty() {
            let query = request.uri().query().unwrap_or_default();
            let prefix = query.strip_prefix("prefix=").unwrap_or_default();
            let keys = self.objects.borrow().list(prefix);
            return json_reply(StatusCode::OK, &json!({ "keys": keys }));
        }
        if request.method() == Method::GET {
            return match self.objects.borrow().read(key) {
                Some(bytes) => Response::new(OutgoingBody::full(bytes)),
                None => empty_reply(StatusCode::NOT_FOUND),
            };
        }
        let key = key.to_owned();
        match collect_body(request, MAX_BODY_BYTES).await {
            Ok(bytes)
                if self
                    .objects
                    .borrow_mut()
                    .create(&key, Bytes::copy_from_slice(&bytes)) =>
            {
                empty_reply(StatusCode::CREATED)
            }
            Ok(_) => empty_reply(StatusCode::PRECONDITION_FAILED),
            Err(error) => error_reply(&error),
        }
    }
}
