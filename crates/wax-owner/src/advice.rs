//! Asks the platform's placement advisor which workers may run steps of the queues that require its
//! approval.

use crate::owner_term::OwnerTerm;
use crate::shared::PoolShared;
use compio::time::{sleep, timeout};
use platform::AdviceClient;
use std::rc::Rc;
use std::time::Duration;
use wax_batch::AdviceRequest;
use wax_trace::FailureStreak;

/// Interval at which the scheduler is checked for queries if nothing changes.
const CHECK_PERIOD: Duration = Duration::from_millis(200);
/// Timeout for one query. The advisor handles queries one after another, so an answer may take
/// long.
const ADVICE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Delay after a failed query.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Sends queries, one at a time, until the term ends.
pub(crate) async fn query_advisor(
    shared: Rc<PoolShared>,
    term: Rc<OwnerTerm>,
    advisor: AdviceClient,
) {
    let streak = FailureStreak::new("placement advisor");
    while !term.ended.is_raised() {
        let listener = term.dispatch.listen();
        let request = term
            .scheduler
            .borrow_mut()
            .next_advice_request(shared.now());
        let Some(request) = request else {
            // Either a change or the timeout ends the wait; the loop checks again.
            let _ = timeout(CHECK_PERIOD, listener).await;
            continue;
        };
        if let Err(error) = query_once(&shared, &term, &advisor, &request).await {
            streak.record_failure(&error);
            sleep(RETRY_DELAY).await;
        } else {
            streak.record_success();
        }
    }
}

async fn query_once(
    shared: &PoolShared,
    term: &OwnerTerm,
    advisor: &AdviceClient,
    request: &AdviceRequest,
) -> Result<(), wax_types::WaxError> {
    let requested_at = shared.now();
    let workers: Vec<Box<str>> = request.workers.iter().map(|(_, id)| id.clone()).collect();
    let (tickets, validity) = advisor
        .advise(&request.name, &workers, ADVICE_TIMEOUT)
        .await?;
    tracing::info!(step = %request.name, asked = workers.len(), approved = tickets.len(), "advice given");
    let approved: Vec<(Box<str>, Box<str>)> = tickets
        .into_iter()
        .map(|ticket| (ticket.worker, ticket.ticket))
        .collect();
    // The validity is counted from when the query was sent, which is earlier than when it was
    // answered.
    term.scheduler
        .borrow_mut()
        .record_advice(request, &approved, requested_at + validity);
    term.dispatch.notify(usize::MAX);
    Ok(())
}
