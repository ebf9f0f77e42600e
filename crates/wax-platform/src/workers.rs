//! Clients for the platform's list of workers and for the HTTP interface of a worker.

use crate::http_call::HttpCaller;
use crate::store::StoreHandle;
use crate::wire::{
    ControlReply, ControlRequest, RenewReply, RenewRequest, StartReply, StartRequest,
    ThrottleRequest, WorkerInfo, WorkerList,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time::Duration;
use wax_types::{Step, WaxError};

/// Client for the platform's list of workers.
#[derive(Debug, Clone)]
pub struct WorkerDirectory {
    store: StoreHandle,
}

impl WorkerDirectory {
    /// Creates a client that makes its calls through `store`.
    pub fn new(store: StoreHandle) -> Self {
        Self { store }
    }

    /// Lists all workers.
    ///
    /// # Errors
    ///
    /// The platform does not answer.
    pub async fn list(&self) -> Result<Vec<WorkerInfo>, WaxError> {
        let url = self.store.url("/workers");
        let call = self
            .store
            .caller()
            .get::<WorkerList>(Step::ListWorkers, &url);
        Ok(self.store.run_call(Step::ListWorkers, call).await?.workers)
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
