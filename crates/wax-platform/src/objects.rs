//! Client for the object store. Objects are immutable: written once, read many times.

use crate::store::StoreHandle;
use http::{Method, StatusCode};
use serde::Deserialize;
use wax_types::{ErrorKind, Step, WaxError};

/// Result of creating an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PutOutcome {
    /// The object was created by this call.
    Created,
    /// An object with this name already existed and is unchanged.
    Existed,
}

#[derive(Debug, Deserialize)]
struct ObjectList {
    keys: Vec<Box<str>>,
}

/// Client for the object store.
#[derive(Debug, Clone)]
pub struct ObjectClient {
    store: StoreHandle,
}

impl ObjectClient {
    /// Creates a client that makes its calls through `store`.
    pub fn new(store: StoreHandle) -> Self {
        Self { store }
    }

    /// Creates an object unless one with this name exists.
    ///
    /// # Errors
    ///
    /// The store does not answer. The object may have been created; a retry with the same arguments is safe.
    pub async fn create(&self, key: &str, bytes: Vec<u8>) -> Result<PutOutcome, WaxError> {
        let headers = [("if-none-match", "*")];
        let (status, _) = self
            .call(Step::WriteObject, Method::PUT, key, &headers, bytes)
            .await?;
        match status {
            StatusCode::CREATED | StatusCode::OK => Ok(PutOutcome::Created),
            StatusCode::PRECONDITION_FAILED => Ok(PutOutcome::Existed),
            status => Err(unexpected_status(Step::WriteObject, key, status)),
        }
    }

    /// Reads an object; `None` if none has this name.
    ///
    /// # Errors
    ///
    /// The store does not answer.
    pub async fn read(&self, key: &str) -> Result<Option<Vec<u8>>, WaxError> {
        let (status, bytes) = self
            .call(Step::ReadObject, Method::GET, key, &[], Vec::new())
            .await?;
        match status {
            StatusCode::OK => Ok(Some(bytes)),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(unexpected_status(Step::ReadObject, key, status)),
        }
    }

    /// Returns the names of all objects that start with `prefix`, in order.
    ///
    /// # Errors
    ///
    /// The store does not answer.
    pub async fn list(&self, prefix: &str) -> Result<Vec<Box<str>>, WaxError> {
        let url = self.store.url(&format!("/objects?prefix={prefix}"));
        let call = self
            .store
            .caller()
            .get::<ObjectList>(Step::ReadObject, &url);
        Ok(self.store.run_call(Step::ReadObject, call).await?.keys)
    }

    async fn call(
        &self,
        step: Step,
        method: Method,
        key: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> Result<(StatusCode, Vec<u8>), WaxError> {
        let url = self.store.url(&format!("/objects/{key}"));
        let caller = self.store.caller();
        let request = caller.request(step, method, &url, headers, body)?;
        let call = async {
            let (status, bytes) = caller.send(step, &url, request).await?;
            if status.is_server_error() {
                return Err(unexpected_status(step, key, status));
            }
            Ok((status, bytes))
        };
        self.store.run_call(step, call).await
    }
}

fn unexpected_status(step: Step, key: &str, status: StatusCode) -> WaxError {
    WaxError::new(ErrorKind::Ambiguous, step, key, status)
}
