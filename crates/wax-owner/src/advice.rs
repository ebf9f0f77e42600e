//! Asks the platform's advisor which workers may run steps of queues that it advises.

use crate::shared::PoolShared;
use crate::tenure::Tenure;
use compio::time::{sleep, timeout};
use platform::AdviceClient;
use std::rc::Rc;
use std::time::Duration;
use wax_batch::AdviceRequest;
use wax_trace::FailureStreak;

/// Without a change the book is looked through this often.
const LOOK_PERIOD: Duration = Duration::from_millis(200);
/// Longest time for an answer: the advisor takes calls in turn.
const ASK_LIMIT: Duration = Duration::from_millis(2_500);
/// After a call without an answer.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Asks, one question at a time, until the term ends.
pub(crate) async fn ask_advisor(shared: Rc<PoolShared>, tenure: Rc<Tenure>, advisor: AdviceClient) {
    let streak = FailureStreak::new("placement advisor");
    while !tenure.over.is_raised() {
        let listener = tenure.dispatch.listen();
        let ask = tenure.book.borrow_mut().next_advice_request(shared.now());
        let Some(ask) = ask else {
            // Either a change or the time; both lead to another look.
            let _ = timeout(LOOK_PERIOD, listener).await;
            continue;
        };
        if let Err(error) = ask_once(&shared, &tenure, &advisor, &ask).await {
            streak.fail(&error);
            sleep(RETRY_PAUSE).await;
        } else {
            streak.succeed();
        }
    }
}

async fn ask_once(
    shared: &PoolShared,
    tenure: &Tenure,
    advisor: &AdviceClient,
    ask: &AdviceRequest,
) -> Result<(), wax_types::WaxError> {
    let asked = shared.now();
    let workers: Vec<Box<str>> = ask.workers.iter().map(|(_, id)| id.clone()).collect();
    let (tickets, validity) = advisor.advise(&ask.name, &workers, ASK_LIMIT).await?;
    tracing::info!(step = %ask.name, asked = workers.len(), approved = tickets.len(), "advice given");
    let approved: Vec<(Box<str>, Box<str>)> = tickets
        .into_iter()
        .map(|ticket| (ticket.worker, ticket.ticket))
        .collect();
    // The validity is counted from the question, which came before the answer.
    tenure
        .book
        .borrow_mut()
        .record_advice(ask, &approved, asked + validity);
    tenure.dispatch.notify(usize::MAX);
    Ok(())
}
