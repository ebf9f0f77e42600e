//! Asks the platform's advisor which workers may run steps of queues that it advises.

use crate::owner_term::OwnerTerm;
use crate::shared::PoolShared;
use compio::time::{sleep, timeout};
use platform::AdviceClient;
use std::rc::Rc;
use std::time::Duration;
use wax_batch::AdviceAsk;
use wax_trace::FailureStreak;

/// Without a change the book is looked through this often.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time for an answer: the advisor takes calls in turn.
const ADVICE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// After a call without an answer.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Asks, one question at a time, until the term ends.
pub(crate) async fn query_advisor(
    shared: Rc<PoolShared>,
    term: Rc<OwnerTerm>,
    advisor: AdviceClient,
) {
    let streak = FailureStreak::new("placement advisor");
    while !term.ended.is_raised() {
        let listener = term.dispatch.listen();
        let request = term.scheduler.borrow_mut().advice_wanted(shared.now());
        let Some(request) = request else {
            // Either a change or the time; both lead to another look.
            let _ = timeout(CHECK_INTERVAL, listener).await;
            continue;
        };
        if let Err(error) = query_once(&shared, &term, &advisor, &request).await {
            streak.fail(&error);
            sleep(RETRY_DELAY).await;
        } else {
            streak.succeed();
        }
    }
}

async fn query_once(
    shared: &PoolShared,
    term: &OwnerTerm,
    advisor: &AdviceClient,
    request: &AdviceAsk,
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
    // The validity is counted from the question, which came before the answer.
    term.scheduler
        .borrow_mut()
        .advice_given(request, &approved, requested_at + validity);
    term.dispatch.notify(usize::MAX);
    Ok(())
}
