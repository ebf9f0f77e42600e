//! What all calls to the platform's store share: its health, the limit on concurrency, the counts.

use crate::http_call::HttpCaller;
use async_lock::Semaphore;
use fastrand::Rng;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use wax_policy::{BreakerChoice, StoreBreaker};
use wax_trace::{Counter, count};
use wax_types::{ErrorKind, ProcessClock, Step, TimePoint, WaxError};

/// Bounds on the calls of one process to the store.
#[derive(Debug, Clone, Copy)]
pub struct StoreLimits {
    /// Longest time for one call.
    pub call: Duration,
    /// Calls under way at once.
    pub concurrency: usize,
}

/// The store as this process sees it, shared by the table and object clients.
#[derive(Debug, Clone)]
pub struct StoreHealth {
    shared: Rc<HealthShared>,
}

#[derive(Debug)]
struct HealthShared {
    base: Box<str>,
    caller: HttpCaller,
    clock: ProcessClock,
    permits: Semaphore,
    breaker: RefCell<StoreBreaker>,
    rng: RefCell<Rng>,
}

impl StoreHealth {
    /// Prepares calls to the store at `base`, as `http://IP:port`.
    ///
    /// # Errors
    ///
    /// The HTTP client cannot be built.
    pub fn new(base: &str, limits: StoreLimits, clock: ProcessClock) -> Result<Self, WaxError> {
        let shared = HealthShared {
            base: base.trim_end_matches('/').into(),
            caller: HttpCaller::new(limits.call)?,
            clock,
            permits: Semaphore::new(limits.concurrency),
            breaker: RefCell::default(),
            rng: RefCell::new(Rng::new()),
        };
        Ok(Self {
            shared: Rc::new(shared),
        })
    }

    /// Since when the store has been down for this process.
    pub fn down_since(&self) -> Option<TimePoint> {
        self.shared.breaker.borrow().down_since()
    }

    /// The clock that the limits are counted on.
    pub fn clock(&self) -> ProcessClock {
        self.shared.clock
    }

    pub(crate) fn caller(&self) -> &HttpCaller {
        &self.shared.caller
    }

    pub(crate) fn url(&self, path: &str) -> String {
        format!("{}{path}", self.shared.base)
    }

    /// Posts JSON under the breaker and the limit on concurrency.
    pub(crate) async fn post<B: Serialize, R: DeserializeOwned>(
        &self,
        step: Step,
        path: &str,
        body: &B,
    ) -> Result<R, WaxError> {
        let url = self.url(path);
        self.guard(step, self.shared.caller.post(step, &url, body))
            .await
    }

    /// Runs a call unless the store is down, and records how it went.
    pub(crate) async fn guard<T>(
        &self,
        step: Step,
        call: impl Future<Output = Result<T, WaxError>>,
    ) -> Result<T, WaxError> {
        let _permit = self.shared.permits.acquire().await;
        self.admit(step)?;
        let result = call.await;
        self.record(&result);
        result
    }

    fn admit(&self, step: Step) -> Result<(), WaxError> {
        let now = self.shared.clock.now();
        let mut rng = self.shared.rng.borrow_mut();
        match self.shared.breaker.borrow_mut().check(now, &mut rng) {
            BreakerChoice::Send => Ok(()),
            BreakerChoice::Refuse(after) => {
                count(Counter::StoreCallsRejected);
                let kind = ErrorKind::Unavailable(after);
                Err(WaxError::new(
                    kind,
                    step,
                    &*self.shared.base,
                    "the store is down",
                ))
            }
        }
    }

    fn record<T>(&self, result: &Result<T, WaxError>) {
        let mut breaker = self.shared.breaker.borrow_mut();
        let was_down = breaker.down_since();
        let failed = matches!(
            result,
            Err(WaxError {
                kind: ErrorKind::Unavailable(_) | ErrorKind::Timeout | ErrorKind::Ambiguous,
                ..
            })
        );
        let now = self.shared.clock.now();
        if !failed {
            breaker.record_success();
            if let Some(since) = was_down {
                let seconds = now.since(since).as_secs_f64();
                tracing::info!(seconds, "store answers again");
            }
            return;
        }
        count(Counter::StoreFailures);
        if breaker.record_failure(now, &mut self.shared.rng.borrow_mut()) {
            let error = result.as_ref().err().map(ToString::to_string);
            tracing::warn!(error, "store is down");
        }
    }
}
