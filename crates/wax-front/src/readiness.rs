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
const LOOK_PERIOD: Duration = Duration::from_millis(250);
/// Longest time for a look.
const LOOK_LIMIT: Duration = Duration::from_millis(800);

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
        let configured = self.state.shared.config.borrow().config().is_some();
        let stored = self.state.store_lost.get().is_none() || self.state.hears_owner();
        if configured && stored && !self.shutdown.is_raised() {
            empty_reply(StatusCode::OK)
        } else {
            empty_reply(StatusCode::SERVICE_UNAVAILABLE)
        }
    }
}

/// Looks after the store while it does not answer.
pub(crate) async fn look_after_store(state: Rc<FrontState>) {
    loop {
        sleep(LOOK_PERIOD + LOOK_PERIOD.mul_f64(fastrand::f64() / 2.0)).await;
        if state.store_lost.get().is_none() && !state.is_store_overdue() {
            continue;
        }
        let look = read_operator_rows(&state.shared, LOOK_LIMIT).await;
        state.note_store(look.is_ok());
    }
}
