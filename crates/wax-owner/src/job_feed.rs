//! Follows the table of jobs: new ones and cancels reach the book within milliseconds.

use crate::load::{add_jobs, load};
use crate::rows::{JOB_TABLE, PART};
use crate::shared::PoolShared;
use crate::tenure::Tenure;
use compio::time::sleep;
use futures_util::future::{Either, select};
use platform::{FEED_TIMEOUT_MARGIN, FeedReply, RowChange, StoredRow};
use std::collections::HashMap;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use wax_trace::FailureStreak;
use wax_types::WaxError;

/// How long the store may wait for a change before it answers.
///
/// An answer without changes is word, too: it shows that no job is missing. On a connection that has gone
/// silent the call lasts for the store's slack longer, and jobs and cancels wait for it.
const FEED_WAIT: Duration = Duration::from_millis(500);
/// Longest time for one page of a read.
const PAGE_LIMIT: Duration = Duration::from_millis(1_500);
/// After a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Nothing of a cancelled job starts so long after the cancel was acknowledged: the users' shortest bound.
const CANCEL_BOUND: Duration = Duration::from_millis(3_000);
/// For the answer to the call after a silent one, of a store that is well.
const ANSWER_ROOM: Duration = Duration::from_millis(350);

// An owner that does not hear of a cancel in time would start what was cancelled.
const _: () = assert!(
    FEED_WAIT.as_millis()
        + FEED_TIMEOUT_MARGIN.as_millis()
        + RETRY_PAUSE.as_millis()
        + ANSWER_ROOM.as_millis()
        <= CANCEL_BOUND.as_millis()
);

/// Loads the shard and follows its jobs until the term ends.
pub(crate) async fn follow_jobs(shared: Rc<PoolShared>, tenure: Rc<Tenure>) {
    let over = tenure.over.clone();
    let follow = pin!(load_and_follow(shared, tenure));
    let stop = pin!(over.wait());
    if let Either::Left(((), _)) = select(follow, stop).await {
        tracing::error!("the feed of jobs has ended before its term");
    }
}

async fn load_and_follow(shared: Rc<PoolShared>, tenure: Rc<Tenure>) {
    let streak = FailureStreak::new("feed of jobs");
    let mut after = loop {
        match load(&shared, &tenure).await {
            Ok(version) => break version,
            Err(error) => {
                streak.fail(&error);
                sleep(RETRY_PAUSE).await;
            }
        }
    };
    tenure.jobs_heard.set(shared.now());
    tenure.loaded.raise();
    tenure.dispatch.notify(usize::MAX);
    loop {
        match follow_once(&shared, &tenure, after).await {
            Ok(version) => {
                streak.succeed();
                after = version;
            }
            Err(error) => {
                streak.fail(&error);
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

async fn follow_once(shared: &PoolShared, tenure: &Tenure, after: u64) -> Result<u64, WaxError> {
    let asked = shared.now();
    let reply = shared.store.follow(JOB_TABLE, after, FEED_WAIT).await?;
    tenure.jobs_heard.set(asked);
    match reply {
        FeedReply::Changes(changes, version) => {
            let rows: Vec<StoredRow> = changes.into_iter().filter_map(written).collect();
            if !rows.is_empty() {
                add_jobs(shared, tenure, &rows, &HashMap::new());
                tenure.dispatch.notify(usize::MAX);
                tenure.write.notify(usize::MAX);
            }
            Ok(version)
        }
        FeedReply::Forgotten => {
            // The history was dropped: what is known already is left as it is.
            let (rows, version) = shared.store.read_all(JOB_TABLE, PART, PAGE_LIMIT).await?;
            add_jobs(shared, tenure, &rows, &HashMap::new());
            tenure.dispatch.notify(usize::MAX);
            tenure.write.notify(usize::MAX);
            Ok(version)
        }
    }
}

fn written(change: RowChange) -> Option<StoredRow> {
    match change {
        RowChange::Written(row) if &*row.key.part == PART => Some(row),
        _ => None,
    }
}
