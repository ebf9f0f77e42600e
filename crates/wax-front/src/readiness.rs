//! Reports to the load balancer whether this front accepts connections, and checks a lost store.

use crate::state::FrontState;
use crate::store_view::classify_result;
use compio::time::{sleep, timeout};
use fastrand::Rng;
use http::StatusCode;
use platform::READY_PATH;
use std::rc::Rc;
use std::time::Duration;
use wax_http::{HttpHandler, HttpReply, HttpRequest, ShutdownSignal, empty_reply};
use wax_owner::{owner_key, read_operator_rows};
use wax_policy::probe_delay;
use wax_trace::{Counter, count};

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
        wait_for_check(&state).await;
        if state.store_lost_since.get().is_none() && !state.is_store_overdue() {
            continue;
        }
        if state.acceptance.get().is_enabled() {
            probe_store(&state).await;
        } else {
            let result = read_operator_rows(&state.shared, CHECK_TIMEOUT).await;
            state.note_store_answer(result.is_ok());
        }
    }
}

/// Waits until the next check of the store.
async fn wait_for_check(state: &FrontState) {
    let rules = state.acceptance.get();
    if !rules.is_enabled() || state.store_lost_since.get().is_none() {
        sleep(CHECK_PERIOD + CHECK_PERIOD.mul_f64(fastrand::f64() / 2.0)).await;
        return;
    }
    let delay = probe_delay(&rules, known_front_count(state), &mut Rng::new());
    // An error means that no earlier probe was requested.
    let _ = timeout(delay, state.probe_due.listen()).await;
}

/// Returns the number of fronts that this process knows of, including itself. Only the owner is
/// linked to all; other fronts know their rank and the peers that the settings name.
fn known_front_count(state: &FrontState) -> usize {
    let linked = state.shared.front_addresses.borrow().len() + 1;
    let rank = state.shared.rank.get();
    // The owner sends the maximum to a front that it has not ranked yet.
    let rank = rank.filter(|candidate| candidate.rank < u32::MAX);
    let ranked = rank.map_or(0, |candidate| candidate.rank as usize + 1);
    linked.max(ranked).max(state.peer_count)
}

/// Reads the smallest row that always exists, to detect the end of an outage.
async fn probe_store(state: &FrontState) {
    count(Counter::StoreProbes);
    let sent_at = state.shared.now();
    let row = state
        .shared
        .store
        .read_row(&owner_key(), CHECK_TIMEOUT)
        .await;
    state.record_store_call(classify_result(&row), sent_at);
}
