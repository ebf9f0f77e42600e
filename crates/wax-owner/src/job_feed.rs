//! Follows the job table, so that new jobs and cancel requests reach the scheduler within
//! milliseconds.

use crate::load::{add_jobs, end_if_begun, load_shard};
use crate::owner_term::OwnerTerm;
use crate::rows::{JOB_TABLE, PART};
use crate::shared::PoolShared;
use compio::time::sleep;
use futures_util::future::{Either, select};
use platform::{FEED_TIMEOUT_MARGIN, FeedReply, RowChange, StoredRow};
use std::collections::HashMap;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use wax_trace::FailureStreak;
use wax_types::WaxError;

/// Longest time for which the store holds a feed request without a change.
///
/// An answer without changes is useful, too: it shows that no job is missing. On a connection that
/// has become silent, the request fails only [`FEED_TIMEOUT_MARGIN`] later, and jobs and cancel
/// requests wait until then.
const FEED_WAIT: Duration = Duration::from_millis(500);
/// Timeout for one page of a read.
const PAGE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Time after the acknowledgement of a cancel request within which the job's tasks must stop
/// starting; the shortest such bound that users set.
const CANCEL_BOUND: Duration = Duration::from_millis(3_000);
/// Time for a healthy store to answer the call that follows a silent one.
const ANSWER_MARGIN: Duration = Duration::from_millis(350);

// If a cancel request reached the owner later than this, the owner would start tasks of the
// cancelled job.
const _: () = assert!(
    FEED_WAIT.as_millis()
        + FEED_TIMEOUT_MARGIN.as_millis()
        + RETRY_DELAY.as_millis()
        + ANSWER_MARGIN.as_millis()
        <= CANCEL_BOUND.as_millis()
);

/// Loads the shard and follows its jobs until the term ends.
pub(crate) async fn follow_jobs(shared: Rc<PoolShared>, term: Rc<OwnerTerm>) {
    let ended = term.ended.clone();
    let follow = pin!(load_and_follow(shared, term));
    let stop = pin!(ended.wait());
    if let Either::Left(((), _)) = select(follow, stop).await {
        tracing::error!("the job feed ended before its term");
    }
}

async fn load_and_follow(shared: Rc<PoolShared>, term: Rc<OwnerTerm>) {
    let streak = FailureStreak::new("feed of jobs");
    let mut after = loop {
        match load_shard(&shared, &term).await {
            Ok(version) => break version,
            Err(error) => {
                streak.record_failure(&error);
                sleep(RETRY_DELAY).await;
            }
        }
    };
    term.job_feed_confirmed_at.set(shared.now());
    term.loaded.raise();
    term.dispatch.notify(usize::MAX);
    loop {
        match follow_once(&shared, &term, after).await {
            Ok(version) => {
                streak.record_success();
                after = version;
            }
            Err(error) => {
                streak.record_failure(&error);
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn follow_once(shared: &PoolShared, term: &OwnerTerm, after: u64) -> Result<u64, WaxError> {
    let requested_at = shared.now();
    let reply = shared.store.follow(JOB_TABLE, after, FEED_WAIT).await?;
    term.job_feed_confirmed_at.set(requested_at);
    match reply {
        FeedReply::Changes(changes, version) => {
            let rows: Vec<StoredRow> = changes.into_iter().filter_map(shard_row).collect();
            if !rows.is_empty() {
                let later_term = add_jobs(shared, term, &rows, &HashMap::new());
                term.dispatch.notify(usize::MAX);
                term.write.notify(usize::MAX);
                end_if_begun(shared, term, later_term).await;
            }
            Ok(version)
        }
        FeedReply::Forgotten => {
            // The store has dropped the history of changes, so all rows are read again. Jobs that
            // are known already are not changed.
            let (rows, version) = shared.store.read_all(JOB_TABLE, PART, PAGE_TIMEOUT).await?;
            let later_term = add_jobs(shared, term, &rows, &HashMap::new());
            term.dispatch.notify(usize::MAX);
            term.write.notify(usize::MAX);
            end_if_begun(shared, term, later_term).await;
            Ok(version)
        }
    }
}

fn shard_row(change: RowChange) -> Option<StoredRow> {
    match change {
        RowChange::Written(row) if &*row.key.part == PART => Some(row),
        _ => None,
    }
}
