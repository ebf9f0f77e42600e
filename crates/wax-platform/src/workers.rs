//! Clients for the platform's list of workers and for the HTTP interface of a worker.

use crate::http_call::HttpCaller;
use crate::store::StoreHandle;
use crate::wire::{
    ControlReply, ControlRequest, RenewReply, RenewRequest, StartReply, StartRequest,
    ThrottleRequest, WorkerInfo,
};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use wax_types::{Step, WaxError};

/// List of workers, whose entries are decoded one by one.
#[derive(Debug, Deserialize)]
struct WireWorkers {
    workers: Vec<Box<RawValue>>,
}

/// Reason why an entry of the list names no worker.
#[derive(Debug, displaydoc::Display)]
enum EntryError {
    /// {0}
    Malformed(serde_json::Error),
    /// the address is malformed: {0}
    Address(std::net::AddrParseError),
}

fn decode_worker(entry: &RawValue) -> Result<WorkerInfo, EntryError> {
    let worker: WorkerInfo = serde_json::from_str(entry.get()).map_err(EntryError::Malformed)?;
    let address: Result<SocketAddr, _> = worker.address.parse();
    address.map(|_| worker).map_err(EntryError::Address)
}

/// Maximum length of a skipped entry's text in the log.
const MAX_LOGGED_CHARS: usize = 200;

/// Client for the platform's list of workers.
#[derive(Debug, Clone)]
pub struct WorkerDirectory {
    store: StoreHandle,
    /// Entries of the last list that were skipped; each is logged once while it is in the list.
    skipped: Rc<RefCell<Vec<Box<str>>>>,
}

impl WorkerDirectory {
    /// Creates a client that makes its calls through `store`.
    pub fn new(store: StoreHandle) -> Self {
        Self {
            store,
            skipped: Rc::default(),
        }
    }

    /// Lists all workers. Entries that name no worker are logged and skipped.
    ///
    /// # Errors
    ///
    /// The platform does not answer.
    pub async fn list(&self) -> Result<Vec<WorkerInfo>, WaxError> {
        let url = self.store.url("/workers");
        let call = self
            .store
            .caller()
            .get::<WireWorkers>(Step::ListWorkers, &url);
        let list = self.store.run_call(Step::ListWorkers, call).await?;
        Ok(self.decode_workers(&list.workers))
    }

    fn decode_workers(&self, entries: &[Box<RawValue>]) -> Vec<WorkerInfo> {
        let mut workers = Vec::with_capacity(entries.len());
        let mut skipped = Vec::new();
        for entry in entries {
            match decode_worker(entry) {
                Ok(worker) => workers.push(worker),
                Err(error) => {
                    let text: Box<str> = entry.get().into();
                    if !self.skipped.borrow().contains(&text) {
                        let text: String = text.chars().take(MAX_LOGGED_CHARS).collect();
                        tracing::error!(%error, text, "skipped an entry of the list of workers");
                    }
                    skipped.push(text);
                }
            }
        }
        *self.skipped.borrow_mut() = skipped;
        workers
    }
}

/// Client for workers. Calls go directly to the worker, so they also work while the store is down.
#[derive(Debug, Clone)]
pub struct WorkerClient {
    caller: HttpCaller,
}

impl WorkerClient {
    /// Creates a client whose calls time out after `call_timeout`.
    ///
    /// # Errors
    ///
    /// The HTTP client cannot be built.
    pub fn new(call_timeout: Duration) -> Result<Self, WaxError> {
        let caller = HttpCaller::new(call_timeout)?;
        Ok(Self { caller })
    }

    /// Starts a run. Idempotent: a repeated start with the same epoch has no effect.
    ///
    /// # Errors
    ///
    /// The worker does not answer; the run may have started.
    pub async fn start(
        &self,
        address: &str,
        request: &StartRequest,
    ) -> Result<StartReply, WaxError> {
        self.post(address, "/start", request).await
    }

    /// Renews leases and returns the status of all runs of the worker.
    ///
    /// # Errors
    ///
    /// The worker does not answer; the leases may have been renewed.
    pub async fn renew(
        &self,
        address: &str,
        request: &RenewRequest,
    ) -> Result<RenewReply, WaxError> {
        self.post(address, "/renew", request).await
    }

    /// Writes a checkpoint of a run. The run continues.
    ///
    /// # Errors
    ///
    /// The worker does not answer.
    pub async fn checkpoint(
        &self,
        address: &str,
        request: &ControlRequest,
    ) -> Result<ControlReply, WaxError> {
        self.post(address, "/checkpoint", request).await
    }

    /// Stops a run. Later starts with the same epoch have no effect.
    ///
    /// # Errors
    ///
    /// The worker does not answer; the run may have stopped.
    pub async fn stop(
        &self,
        address: &str,
        request: &ControlRequest,
    ) -> Result<ControlReply, WaxError> {
        self.post(address, "/stop", request).await
    }

    /// Limits a run to a share of its resources.
    ///
    /// # Errors
    ///
    /// The worker does not answer.
    pub async fn throttle(
        &self,
        address: &str,
        request: &ThrottleRequest,
    ) -> Result<ControlReply, WaxError> {
        self.post(address, "/throttle", request).await
    }

    async fn post<B: Serialize, R: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        body: &B,
    ) -> Result<R, WaxError> {
        let url = format!("http://{address}{path}");
        self.caller.post(Step::CallWorker, &url, body).await
    }
}
