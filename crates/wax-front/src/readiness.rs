//! Tells the balancer whether this front takes connections, and looks after a lost store.

use crate::state::FrontState;
use compio::time::sleep;
use http::StatusCode;
use platform::READY_PATH;
use std::rc::Rc;
use std::time::Duration;
use wax_http::{HttpHandler, HttpReply, HttpRequest, ShutdownSignal, empty_reply};
use wax_owner::read_operator_rows;

/// Between two looks at a store that does not answer: callers are refused until it is seen to answer.
const CHECK_PERIOD: Duration = Duration::from_millis(250);
/// Longest time for a look.
const CHECK_TIMEOUT: Duration = Duration::from_millis(800);

/// Answers the balancer.
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

/// Looks after the store while it does not answer.
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
