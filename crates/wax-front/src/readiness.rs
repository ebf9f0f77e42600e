//! Reports to the load balancer whether this front accepts connections, and checks a lost store.

use crate::state::FrontState;
use compio::time::sleep;
use http::StatusCode;
use platform::READY_PATH;
use std::rc::Rc;
use std::time::Duration;
use wax_http::{HttpHandler, HttpReply, HttpRequest, ShutdownSignal, empty_reply};
use wax_owner::read_operator_rows;

/// Period of checks of a store that does not answer. Callers are refused until a check succeeds.
const CHECK_PERIOD: Duration = Duration::from_millis(250);
/// Timeout for one check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(800);

/// Answers the load balancer's readiness checks.
pub(crate) struct ReadinessHandler {
    pub(crate) state: Rc<FrontState>,
    pub(crate) shutdown: ShutdownSignal,
}

impl HttpHandler for ReadinessHandler {
    async fn handle(&self, request: HttpRequest) -> HttpReply {
        if request.uri().path() != READY_PATH {
            return empty_reply(StatusCode::NOT_FOUND);
        }
        let has_config = self.state.shared.config.borrow().config().is_some();
        let can_store =
            self.state.store_lost_since.get().is_none() || self.state.is_owner_reachable();
        if has_config && can_store && !self.shutdown.is_raised() {
            empty_reply(StatusCode::OK)
        } else {
            empty_reply(StatusCode::SERVICE_UNAVAILABLE)
        }
    }
}

/// Checks the store periodically while it does not answer.
pub(crate) async fn watch_store(state: Rc<FrontState>) {
    loop {
        sleep(CHECK_PERIOD + CHECK_PERIOD.mul_f64(fastrand::f64() / 2.0)).await;
        if state.store_lost_since.get().is_none() && !state.is_store_overdue() {
            continue;
        }
        let result = read_operator_rows(&state.shared, CHECK_TIMEOUT).await;
        state.note_store_answer(result.is_ok());
    }
}
