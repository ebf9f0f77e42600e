//! Shared handle for all calls to the platform's store: circuit breaker, limit on concurrency, and metrics.

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

/// Limits on the calls of one process to the store.
#[derive(Debug, Clone, Copy)]
pub struct StoreLimits {
    /// Timeout of one call.
    pub call_timeout: Duration,
    /// Maximum number of concurrent calls.
    pub concurrency: usize,
}

/// Handle through which the table and object clients call the store. Clones share one circuit breaker.
#[derive(Debug, Clone)]
pub struct StoreHandle {
    shared: Rc<StoreShared>,
}

#[derive(Debug)]
struct StoreShared {
    base_url: Box<str>,
    caller: HttpCaller,
    clock: ProcessClock,
    permits: Semaphore,
    breaker: RefCell<StoreBreaker>,
    rng: RefCell<Rng>,
}

impl StoreHandle {
    /// Creates a handle for the store at `base_url`, a URL like `http://IP:port`. Opens no connection yet.
    ///
    /// # Errors
    ///
    /// The HTTP client cannot be built.
    pub fn new(base_url: &str, limits: StoreLimits, clock: ProcessClock) -> Result<Self, WaxError> {
        let shared = StoreShared {
            base_url: base_url.trim_end_matches('/').into(),
            caller: HttpCaller::new(limits.call_timeout)?,
            clock,
            permits: Semaphore::new(limits.concurrency),
            breaker: RefCell::default(),
            rng: RefCell::new(Rng::new()),
        };
        Ok(Self {
            shared: Rc::new(shared),
        })
    }

    /// Returns since when the store has been down, as seen by this process; `None` if it is up.
    pub fn down_since(&self) -> Option<TimePoint> {
        self.shared.breaker.borrow().down_since()
    }

    /// Returns the clock by which deadlines and the circuit breaker's times are measured.
    pub fn clock(&self) -> ProcessClock {
        self.shared.clock
    }

    pub(crate) fn caller(&self) -> &HttpCaller {
        &self.shared.caller
    }

    pub(crate) fn url(&self, path: &str) -> String {
        format!("{}{path}", self.shared.base_url)
    }

    /// Sends a POST request with a JSON body, subject to the circuit breaker and the limit on concurrency.
    pub(crate) async fn post<B: Serialize, R: DeserializeOwned>(
        &self,
        step: Step,
        path: &str,
        body: &B,
    ) -> Result<R, WaxError> {
        let url = self.url(path);
        self.run_call(step, self.shared.caller.post(step, &url, body))
            .await
    }

    /// Runs a call and records its result in the circuit breaker. Fails without running the call while the store
    /// is down.
    pub(crate) async fn run_call<T>(
        &self,
        step: Step,
        call: impl Future<Output = Result<T, WaxError>>,
    ) -> Result<T, WaxError> {
        let _permit = self.shared.permits.acquire().await;
        self.check_breaker(step)?;
        let result = call.await;
        self.record_result(&result);
        result
    }

    fn check_breaker(&self, step: Step) -> Result<(), WaxError> {
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
                    &*self.shared.base_url,
                    "the store is down",
                ))
            }
        }
    }

    fn record_result<T>(&self, result: &Result<T, WaxError>) {
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
